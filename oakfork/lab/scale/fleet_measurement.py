"""Measures one fleet of hollow gateways: at rest, during changes and bursts, and with faults.

fleet_run.py runs the processes and fleet_verifier.py checks what the gateways report. control_costs.py and
control_faults.py make groups of the results.
"""

import tempfile
from pathlib import Path
from typing import Any, Awaitable, Callable, NamedTuple, Sequence

import trio

from oakfork.control.messages import EMPTY, Position
from oakfork.errors import DrillProcessError
from oakfork.lab.scale import generated_state, real_gateways
from oakfork.lab.scale.fleet_faults import FaultInjector, draw_faults
from oakfork.lab.scale.fleet_run import FULL, PUBLISHER, Fleet, Shape
from oakfork.lab.scale.fleet_verifier import AcknowledgedChange
from oakfork.lab.scale.hollow_gateways import now_ms
from oakfork.lab.scale.process_costs import memory

MARK_TIMEOUT_S = 10.0  # for the next mark of all hollow processes, which report one each second
WARM_UP_S = 3.0  # at most, until the marks and the beats have begun
FAULT_RUN_INTERVAL_S = 0.5  # between change sets of the run with faults


class Sizes(NamedTuple):
    """How much is run. Times are seconds."""

    gateways: tuple[int, ...] = (30, 100, 300, 1_000, 2_700)
    shape: Shape = FULL
    rest: float = 6.0
    changes: int = 6  # single change sets, `every` seconds
    every: float = 0.7
    gone: int = 5  # change sets with one relay gone
    bunched: int = 2_000  # a day's change sets, as fast as they are accepted, which is far denser than in an hour
    operators: int = 8  # who submit the bunched change sets, each of them one after another
    cold: int = 170  # cold gateways that start at once
    cold_processes: int = 7  # beside the publisher and the relays: one for each processor
    spread: float = 60.0  # timeout for a change set to be in force everywhere
    cold_wait: float = 180.0  # then the cold gateways that are ready are counted
    seed: int = 1
    span: float = 30.0  # within which the faults of the run with faults begin
    holds: float = 20.0  # how long a relay is stopped or a region cut off
    settled: float = 60.0  # timeout for the last change set of the run with faults
    beside: real_gateways.Sizes = real_gateways.Sizes()


SMALL = Sizes(
    gateways=(4, 6, 8, 12, 16),
    shape=Shape(generated_state.SMALL, 4, 1, 2, 1),
    rest=1.0,
    changes=2,
    every=0.1,
    gone=2,
    bunched=20,
    operators=2,
    cold=3,
    cold_processes=1,
    spread=30.0,
    cold_wait=30.0,
    seed=1,
    span=0.5,
    holds=0.5,
    settled=30.0,
    beside=real_gateways.SMALL,
)


class Cost(NamedTuple):
    """What some work took, of all hollow gateways together, and of the publisher and all relays together."""

    duration: float  # seconds that the work lasted
    seconds: float  # between the marks around the work, in which the following were taken
    received: float  # bytes to gateways
    sent: float  # bytes from gateways
    gateways_s: float  # processor seconds
    serving_s: float  # processor seconds of publisher and relays

    def beyond(self, rest: "Cost") -> "Cost":
        """This cost less what a fleet at rest takes in the same time."""
        ratio = self.seconds / rest.seconds
        return self._replace(
            received=self.received - ratio * rest.received,
            sent=self.sent - ratio * rest.sent,
            gateways_s=self.gateways_s - ratio * rest.gateways_s,
            serving_s=self.serving_s - ratio * rest.serving_s,
        )


async def measure_cost(fleet: Fleet, work: Callable[[], Awaitable[Any]]) -> Cost:
    """The cost of some work, from each hollow process's last mark before it to its first mark after it."""
    before = fleet.resource_use()
    begun = now_ms()
    await work()
    ended = now_ms()
    with trio.move_on_after(MARK_TIMEOUT_S):
        while any(marks[-1]["mark"] <= ended for marks in fleet.marks.values()):
            await trio.sleep(0.05)
            fleet.read_reports()
    after = fleet.resource_use()
    totals = [0.0, 0.0, 0.0]
    windows = []
    for marks in fleet.marks.values():
        first = [mark for mark in marks if mark["mark"] <= begun][-1]
        last = next((mark for mark in marks if mark["mark"] > ended), marks[-1])
        windows.append((last["mark"] - first["mark"]) / 1000)
        for index, key in enumerate(("in", "out", "processor_s")):
            totals[index] += last.get(key, 0.0) - first.get(key, 0.0)
    return Cost((ended - begun) / 1000, sum(windows) / len(windows), *totals, _processor_seconds(before, after))


def _processor_seconds(before: dict[str, dict[str, float]], after: dict[str, dict[str, float]]) -> float:
    """Processor seconds between two results of `Fleet.resource_use`, of the processes that are in both."""
    return sum(use["processor_s"] - before[name]["processor_s"] for name, use in after.items() if name in before)


class FleetResult(NamedTuple):
    """What was measured at one size.

    `last_s` holds, for each single change, the seconds until the last gateway had it, `median_s` those of the median.
    `details` goes into the stored file.
    """

    rest: Cost
    changes: Cost
    last_s: list[float]
    median_s: list[float]
    details: dict[str, Any]


class FleetMeasurement:
    """Measures a fleet of one number of gateways; `report` is called with a line on each step."""

    def __init__(self, sizes: Sizes, gateways: int, report: Callable[[str], None]) -> None:
        self.sizes = sizes
        self.report = report
        self.gateways = gateways
        self.shape = sizes.shape._replace(gateways=gateways, processes=min(sizes.shape.processes, gateways))
        self.changes = generated_state.Changes(self.shape.sizes, sizes.seed)
        self.details: dict[str, Any] = {}

    def run(self) -> FleetResult:
        """Runs all steps; raises DrillProcessError where one fails or the verifier finds a violation."""
        with tempfile.TemporaryDirectory(prefix="oakfork-fleet-") as folder:
            fleet = Fleet(Path(folder), self.shape, self.sizes.seed)
            result = trio.run(fleet.run, self._measure)
            if violations := fleet.verify():
                raise DrillProcessError(f"fleet of {self.gateways} gateways: " + "; ".join(violations))
            return result._replace(details=result.details | {"counts": fleet.counts})

    def run_faults(self) -> dict[str, Any]:
        """Runs the fleet with faults; raises DrillProcessError where the verifier finds a violation."""
        sizes = self.sizes
        plan = draw_faults(sizes.seed, self.shape, sizes.span, sizes.holds)
        with tempfile.TemporaryDirectory(prefix="oakfork-fleet-") as folder:
            fleet = Fleet(Path(folder), self.shape, sizes.seed)

            async def scenario(fleet: Fleet) -> None:
                changes = generated_state.Changes(self.shape.sizes, sizes.seed, paired=True)
                await FaultInjector(fleet).run(plan, changes, FAULT_RUN_INTERVAL_S, sizes.settled)

            trio.run(fleet.run, scenario)
            if violations := fleet.verify():
                raise DrillProcessError(f"faults of seed {sizes.seed}: " + "; ".join(violations))
            return {
                "seed": sizes.seed,
                "plan": [fault._asdict() for fault in plan],
                "change_sets": len(fleet.acknowledged),
                "spread": fleet.propagation_times(fleet.acknowledged),
                "counts": fleet.counts,
                "judged": "no fault found",
            }

    async def _measure(self, fleet: Fleet) -> FleetResult:
        sizes = self.sizes
        is_largest = self.gateways == sizes.gateways[-1]
        await trio.sleep(min(WARM_UP_S, sizes.rest))
        rest = await measure_cost(fleet, lambda: trio.sleep(sizes.rest))
        self.report(f"{self.gateways} gateways: at rest")
        begun = len(fleet.acknowledged)
        changes = await measure_cost(fleet, lambda: self._publish_singly(fleet, sizes.changes, sizes.every))
        single = fleet.acknowledged[begun:]
        times = [fleet.propagation_times([change]) for change in single]
        self.details["single"] = fleet.propagation_times(single)
        self.report(f"{self.gateways} gateways: single changes, {self.details['single']}")
        if is_largest:
            await self._measure_bursts(fleet, rest)
            load = real_gateways.RealGatewayLoad(fleet, self.changes, sizes.beside, sizes.seed)
            self.details["beside"] = await load.run()
            self.report(f"{self.gateways} gateways: real ones beside, {self.details['beside']['added']}")
        await self._measure_relay_gone(fleet)
        resources = fleet.resource_use()
        self.details["taken"] = resources
        self.details["relay_memory_bytes"] = max(
            use["memory_bytes"] for name, use in resources.items() if name != PUBLISHER
        )
        if is_largest:
            await self._measure_cold(fleet)
        await fleet.wait_until_in_force(fleet.acknowledged[-1].position, sizes.spread)
        last_s = [each["last_ms"] / 1000 for each in times]
        median_s = [each["median_ms"] / 1000 for each in times]
        return FleetResult(rest, changes, last_s, median_s, self.details)

    async def _publish_singly(self, fleet: Fleet, count: int, interval: float) -> None:
        """Publishes change sets `interval` seconds apart and waits until the last one is in force everywhere."""
        for _ in range(count):
            position = await fleet.publish(self.changes.some())
            await trio.sleep(interval)
        await fleet.wait_until_in_force(position, self.sizes.spread)

    async def _measure_relay_gone(self, fleet: Fleet) -> None:
        await fleet.kill("relay-0")
        begun = len(fleet.acknowledged)
        await self._publish_singly(fleet, self.sizes.gone, self.sizes.every / 2)
        self.details["one relay gone"] = fleet.propagation_times(fleet.acknowledged[begun:])
        fleet.start_process("relay-0")

    async def _measure_bursts(self, fleet: Fleet, rest: Cost) -> None:
        """Measures each burst until its last change set is in force everywhere."""
        operators = self.sizes.operators
        bursts: list[tuple[str, Callable[[], Awaitable[None]]]] = [
            ("zone gone", lambda: self._publish_all(fleet, self.changes.zone_gone(0), 1)),
            ("zone back", lambda: self._publish_all(fleet, self.changes.zone_back(0), 1)),
            ("bunched", lambda: self._publish_all(fleet, self._draw_changes(self.sizes.bunched), operators)),
        ]
        for name, work in bursts:
            begun = len(fleet.acknowledged)
            cost = await measure_cost(fleet, work)
            self.details[name] = self._burst_figures(cost.beyond(rest), fleet, fleet.acknowledged[begun:])
            self.report(f"{self.gateways} gateways: {name}, {self.details[name]}")

    def _draw_changes(self, count: int) -> list[generated_state.Change]:
        return [self.changes.some() for _ in range(count)]

    def _burst_figures(self, cost: Cost, fleet: Fleet, acknowledged: Sequence[AcknowledgedChange]) -> dict[str, Any]:
        gateways = self.gateways
        return {
            "change_sets": len(acknowledged),
            "records": sum(len(change.rows) for change in acknowledged),
            "seconds": cost.duration,
            "bytes_to_a_gateway": cost.received / gateways,
            "bytes_from_a_gateway": cost.sent / gateways,
            "bytes_a_second_a_gateway": (cost.received + cost.sent) / gateways / cost.duration,
            "processor_s_a_gateway": cost.gateways_s / gateways,
            "processor_s_serving": cost.serving_s,
            "spread": fleet.propagation_times(acknowledged),
        }

    async def _publish_all(self, fleet: Fleet, sets: Sequence[generated_state.Change], operators: int) -> None:
        """Publishes change sets by several operators at once, and waits until all are in force everywhere.

        Each operator submits one change set after another.
        """
        remaining = list(sets)[::-1]
        failures: list[DrillProcessError] = []

        async def submit() -> None:
            try:
                while remaining and not failures:
                    await fleet.publish(remaining.pop())
            except DrillProcessError as error:
                failures.append(error)

        async with trio.open_nursery() as nursery:
            for _ in range(operators):
                nursery.start_soon(submit)
        for error in failures[:1]:  # outside the nursery, which would wrap it in a group
            raise error
        await fleet.wait_until_in_force(max(change.position for change in fleet.acknowledged), self.sizes.spread)

    async def _measure_cold(self, fleet: Fleet) -> None:
        """Measures one cold gateway alone, for its memory, then a zone's cold gateways at once.

        A cold gateway is ready when it has the state.
        """
        wanted = fleet.acknowledged[-1].position
        figures = await self._measure_lone_cold(fleet, wanted)
        figures |= await self._measure_cold_zone(fleet, wanted)
        self.details["cold"] = figures
        self.report(f"{self.gateways} gateways: cold, {figures}")

    async def _measure_lone_cold(self, fleet: Fleet, wanted: Position) -> dict[str, Any]:
        fleet.start_hollow("lone", [0], cold=True)
        await self._wait_until_started(fleet, "lone")
        process_id = fleet.processes["lone"].pid
        bare = memory(process_id)[0]
        begun = fleet.started_ms["lone"]
        await fleet.wait_until_in_force(wanted, self.sizes.spread)
        await trio.sleep(1.0)
        return {
            "one_alone_s": (fleet.in_force_reports["cold-0"][0].ms - begun) / 1000,
            "memory_bytes_with_nothing": bare,
            "memory_bytes_with_the_state": memory(process_id)[0],
        }

    async def _measure_cold_zone(self, fleet: Fleet, wanted: Position) -> dict[str, Any]:
        sizes = self.sizes
        names = [f"colds-{number}" for number in range(sizes.cold_processes)]
        for number, name in enumerate(names):
            fleet.start_hollow(name, range(1 + number, 1 + sizes.cold, sizes.cold_processes), cold=True)
        cold = [follower for name in names for follower in fleet.followers[name]]
        before = fleet.resource_use()
        for name in names:
            await self._wait_until_started(fleet, name)
        begun = min(fleet.started_ms[name] for name in names)
        with trio.move_on_after(sizes.cold_wait):
            while any(fleet.positions[follower] < wanted for follower in cold):
                await trio.sleep(0.2)
                fleet.read_reports()
        after = fleet.resource_use()
        ready_s = sorted(
            (fleet.in_force_reports[follower][0].ms - begun) / 1000
            for follower in cold
            if fleet.positions[follower] >= wanted
        )
        figures = {
            "gateways": len(cold),
            "ready": len(ready_s),
            "waited_s": (now_ms() - begun) / 1000,
            "median_s": ready_s[len(ready_s) // 2] if ready_s else None,
            "last_s": ready_s[-1] if ready_s else None,
            "processor_s_serving": _processor_seconds(before, after),
        }
        # A gateway that has no state yet is counted above; it has no final state that the verifier could check
        for follower in cold:
            if fleet.positions[follower] == EMPTY:
                del fleet.positions[follower]
        return figures

    async def _wait_until_started(self, fleet: Fleet, name: str) -> None:
        with trio.move_on_after(self.sizes.spread):
            while not fleet.marks.get(name):
                await trio.sleep(0.02)
                fleet.read_reports()
            return
        raise DrillProcessError(f"process {name} did not begin within {self.sizes.spread:g} s")
