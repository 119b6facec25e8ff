"""Draws faults from a seed and injects them into a running fleet of publisher, relays and hollow gateways.

A fault is a process killed or stopped, an answer lost, connections ended in the middle of a frame, or a region cut off.
Each one ends by itself after its time.
"""

import random
import signal
from contextlib import suppress
from functools import partial
from typing import NamedTuple, Sequence

import trio

from oakfork.control import client
from oakfork.errors import DrillProcessError, PublisherTimeoutError
from oakfork.lab.port_allocator import text
from oakfork.lab.scale import generated_state
from oakfork.lab.scale.fleet_run import PUBLISHER, START_TIMEOUT_S, Fleet, Shape
from oakfork.lab.scale.hollow_gateways import now_ms

KINDS = ("kill relay", "stop relay", "kill publisher", "lose answer", "end in a frame", "cut region")
PUBLISHER_KINDS = ("kill publisher", "lose answer")  # injected while a change set is being published
LASTING_KINDS = ("stop relay", "cut region")
SHORTEST_S = 0.2  # how long a fault of another kind lasts at least
LONGEST_S = 1.5  # how long a fault of another kind lasts at most
LOST_ANSWER_TIMEOUT_S = 4.0  # for a change set to be in force somewhere while its answer is dropped
KILL_DELAY_DIVISOR = 100  # of `lasts`: the publisher is killed at most 15 ms after a change set was submitted
CHANGE_SET_RECORDS = 4  # at most, of each change set that is published beside the faults


class Fault(NamedTuple):
    """A fault to inject. Times are seconds; `whom` is a relay or a region, where the kind needs one."""

    at: float
    kind: str
    whom: int
    lasts: float


def draw_faults(seed: int, shape: Shape, span: float, hold: float) -> list[Fault]:
    """Draws one fault of each kind, in a random order, all beginning within `span` seconds.

    A relay stays stopped, or a region cut off, for `hold` seconds.
    """
    random_source = random.Random(seed)
    faults = []
    for kind in random_source.sample(KINDS, len(KINDS)):
        candidates = shape.relays
        if kind == "cut region":
            # A region that is cut off has at least two relays, so that its gateways keep one to follow
            candidates = max(1, shape.relays - shape.regions)
        whom = random_source.randrange(candidates)
        lasts = hold if kind in LASTING_KINDS else random_source.uniform(SHORTEST_S, LONGEST_S)
        faults.append(Fault(random_source.uniform(0, span), kind, whom, lasts))
    return sorted(faults)


class FaultInjector:
    """Injects faults into one fleet and undoes each of them after its time."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.log: list[str] = []  # a line for each injected fault, with the time of now_ms()

    async def run(
        self, plan: Sequence[Fault], changes: generated_state.Changes, interval: float, settle_timeout: float
    ) -> None:
        """Injects the planned faults while change sets go out, then waits until the last one is in force everywhere.

        `interval` is the number of seconds between two change sets, `settle_timeout` the number of seconds for the
        last one. Raises DrillProcessError where a change set is not acknowledged or not in force in time.
        """
        begun = trio.current_time()
        done = trio.Event()

        async def inject_all() -> None:
            async with trio.open_nursery() as nursery:
                for fault in plan:
                    await trio.sleep_until(begun + fault.at)
                    nursery.start_soon(self.inject, fault)
            done.set()

        failure = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(inject_all)
            try:
                while not done.is_set() or self.fleet.during_next_publish:
                    await self.fleet.publish(changes.some(CHANGE_SET_RECORDS))
                    await trio.sleep(interval)
            except DrillProcessError as error:
                failure = error
                nursery.cancel_scope.cancel()
        if failure is not None:
            raise DrillProcessError(str(failure))
        position = await self.fleet.publish(changes.some(CHANGE_SET_RECORDS))
        await self.fleet.wait_until_in_force(position, settle_timeout)

    async def inject(self, fault: Fault) -> None:
        """Injects a fault and undoes it after its time; a fault of the publisher waits for the next change set."""
        self.log.append(f"{now_ms()} {fault.at:.3f} {fault.kind} {fault.whom} {fault.lasts:.3f}")
        if fault.kind in PUBLISHER_KINDS:
            self.fleet.during_next_publish.append(partial(self._fail_publisher, fault))
        elif fault.kind == "kill relay":
            await self._restart_relay(fault)
        elif fault.kind == "stop relay":
            await self._stop_relay(fault)
        elif fault.kind == "end in a frame":
            for proxy in self.fleet.proxies.values():
                proxy.pending_truncations = 1
        else:
            await self._cut_region(fault)

    async def _restart_relay(self, fault: Fault) -> None:
        name = f"relay-{fault.whom}"
        await self.fleet.kill(name)
        await trio.sleep(fault.lasts)
        self.fleet.start_process(name)

    async def _stop_relay(self, fault: Fault) -> None:
        process = self.fleet.processes[f"relay-{fault.whom}"]
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(fault.lasts)
        process.send_signal(signal.SIGCONT)

    async def _cut_region(self, fault: Fault) -> None:
        """Blocks every connection that has one end in the region and the other end outside."""
        regions = self.fleet.shape.regions
        crossing = []
        for (relay, upstream), proxy in self.fleet.proxies.items():
            relay_inside = relay % regions == fault.whom
            upstream_inside = upstream >= 0 and upstream % regions == fault.whom
            if relay_inside != upstream_inside:
                crossing.append(proxy)
        for proxy in crossing:
            proxy.block()
        await trio.sleep(fault.lasts)
        for proxy in crossing:
            proxy.unblock()

    async def _fail_publisher(self, fault: Fault) -> None:
        """Kills and restarts the publisher while it handles a change set.

        It is killed after a drawn delay, or once the change set is in force somewhere and its answer was dropped.
        """
        fleet = self.fleet
        if fault.kind == "lose answer":
            await self._drop_answer()
        else:
            await trio.sleep(fault.lasts / KILL_DELAY_DIVISOR)
        await fleet.kill(PUBLISHER)
        fleet.operator_proxy.drops_answers = False
        await trio.sleep(fault.lasts)
        fleet.start_process(PUBLISHER)
        with suppress(PublisherTimeoutError):  # publishing the next change set fails then
            await client.status(text(fleet.publisher_address), START_TIMEOUT_S)

    async def _drop_answer(self) -> None:
        fleet = self.fleet
        newest = max(fleet.positions.values())
        fleet.operator_proxy.drops_answers = True
        with trio.move_on_after(LOST_ANSWER_TIMEOUT_S):
            while max(fleet.positions.values()) <= newest:
                await trio.sleep(0.02)
                fleet.read_reports()
