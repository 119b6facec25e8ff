"""A publisher, relays and processes of hollow gateways on loopback: started, loaded with change sets, struck by faults
that a seed draws, watched and ended. fleet_verifier.py judges. Every wait is bounded, nothing is left running.
"""

import json
import random
import signal
import socket
import subprocess
import sys
from bisect import bisect_left
from contextlib import suppress
from pathlib import Path
from typing import Any, Awaitable, Callable, NamedTuple, Sequence

import numpy
import tomli_w
import trio

from oakfork.control import client
from oakfork.control.follower_server import EGRESS
from oakfork.control.messages import EMPTY, Position
from oakfork.errors import DrillProcessError, PublisherTimeoutError
from oakfork.lab.port_allocator import free_addresses, text
from oakfork.lab.scale import fleet_verifier, generated_state
from oakfork.lab.scale.faulty_connections import Way
from oakfork.lab.scale.fleet_verifier import Acked, End, Reached
from oakfork.lab.scale.hollow_gateways import now_ms
from oakfork.lab.scale.process_costs import memory, processor_seconds

START, END = 90.0, 15.0  # seconds until all have begun, until all have ended
PATIENCE = 60.0  # for a verdict, also with the publisher killed and started again
LOST = 4.0  # for a change set to be in force somewhere whose answer is swallowed
PUBLISHER = "publisher"
KINDS = ("kill relay", "stop relay", "kill publisher", "lose answer", "end in a frame", "cut region")


class Shape(NamedTuple):
    """Of a fleet. The publisher's egress is above the default so that a play's relays, which begin with nothing, have
    the state soon."""

    sizes: generated_state.Sizes = generated_state.SMALL
    gateways: int = 60
    processes: int = 2
    relays: int = 3
    regions: int = 2
    publisher_egress: int = 50_000_000
    relay_egress: int = EGRESS  # bytes a second


FULL = Shape(generated_state.FULL, 2_700, 5, 12, 7)


class Fault(NamedTuple):
    """Times in seconds; `whom`: a relay or region, where that matters."""

    at: float
    kind: str
    whom: int
    lasts: float


def drawn(seed: int, shape: Shape, span: float, holds: float) -> list[Fault]:
    """One of each kind in a drawn order, begun within `span`; a relay stands still, or a region is apart, for
    `holds`."""
    chance, found = random.Random(seed), []
    for kind in chance.sample(KINDS, len(KINDS)):
        # A region that is cut has two relays at least, which its gateways stay with
        whom = chance.randrange(max(1, shape.relays - shape.regions) if kind == "cut region" else shape.relays)
        lasts = holds if kind in ("stop relay", "cut region") else chance.uniform(0.2, 1.5)
        found.append(Fault(chance.uniform(0, span), kind, whom, lasts))
    return sorted(found)


class Fleet:
    def __init__(self, folder: Path, shape: Shape, seed: int) -> None:
        self.folder, self.shape, self.seed = folder, shape, seed
        self.processes: dict[str, subprocess.Popen] = {}
        self.files: dict[str, tuple[Any, bytes]] = {}  # what hollow processes tell, and the line that is coming
        self.followers: dict[str, list[str]] = {}  # by process, in its order
        self.reached: dict[str, list[Reached]] = {}
        self.at: dict[str, Position] = {}
        self.marks: dict[str, list[dict[str, float]]] = {}  # by process
        self.served: dict[str, int] = {}  # by process, when it began, as now_ms()
        self.ends: dict[str, End] = {}
        self.told: list[dict[str, Any]] = []  # the last line of each process
        self.acked: list[Acked] = []
        self.doomed: list[Fault] = []  # of the publisher, for the next change sets
        self.log: list[str] = []  # what was done
        self.start_at = EMPTY
        places = free_addresses(1 + shape.relays, socket.SOCK_STREAM)
        self.publisher, self.relays = places[0], places[1:]
        self.ways: dict[tuple[int, int], Way] = {}  # from a relay to another one, or the publisher: -1
        self.operator: Way | None = None
        self.nursery: trio.Nursery | None = None

    # Begin and end

    async def run(self, play: Callable[["Fleet"], Awaitable[Any]]) -> Any:
        """Starts all, plays, ends all; raises DrillProcessError."""
        result, failed = None, None
        try:
            async with trio.open_nursery() as self.nursery:
                try:
                    await self._begin()
                    result = await play(self)
                    await self.end()
                except (DrillProcessError, PublisherTimeoutError) as error:  # by itself, not inside the nursery's group
                    failed = error
                self.nursery.cancel_scope.cancel()
        finally:
            for process in self.processes.values():
                process.kill()
            for process in self.processes.values():
                with suppress(subprocess.TimeoutExpired):
                    process.wait(END)
            for file, _ in self.files.values():
                file.close()
        if failed is not None:
            raise DrillProcessError(str(failed)) from failed
        return result

    async def _begin(self) -> None:
        shape = self.shape
        self.start_at = await trio.to_thread.run_sync(
            generated_state.preload, self.folder / "control.sqlite", shape.sizes
        )
        self.operator = await self._way(self.publisher)
        for number in range(shape.relays):
            for other in self._upstreams(number):
                self.ways[number, other] = await self._way(self.publisher if other < 0 else self.relays[other])
        self._write(
            PUBLISHER, "here", self.publisher, shape.publisher_egress, database=str(self.folder / "control.sqlite")
        )
        self.start(PUBLISHER)
        position = Position(*(await client.status(text(self.publisher), START))["position"])
        for number, place in enumerate(self.relays):
            upstreams = [self.ways[number, other].place for other in self._upstreams(number)]
            self._write(f"relay-{number}", f"r{number % shape.regions}", place, shape.relay_egress, upstreams=upstreams)
            self.start(f"relay-{number}")
        with trio.move_on_after(START) as scope:
            for place in self.relays:
                while Position(*(await client.status(text(place), START))["position"]) < position:
                    await trio.sleep(0.1)
        if scope.cancelled_caught:
            raise DrillProcessError(f"not all relays had the state after {START:g} s")
        for process in range(shape.processes):
            self.hollow(f"hollow-{process}", range(process, shape.gateways, shape.processes))
        await self.everywhere(position, START)

    async def _way(self, target: tuple[str, int]) -> Way:
        way = await Way.to(target)
        self.nursery.start_soon(way.run)
        return way

    def _upstreams(self, relay: int) -> list[int]:
        """The first of a region follows the publisher, or the first of the next region; others the first of theirs,
        or the publisher."""
        shape, region = self.shape, relay % self.shape.regions
        if relay != region:
            return [region, -1]
        return [-1, (region + 1) % shape.regions] if shape.regions > 1 else [-1]

    def _write(self, name: str, region: str, listen: tuple[str, int], egress: int, **more: Any) -> None:
        (self.folder / f"{name}.toml").write_bytes(
            tomli_w.dumps(
                {
                    "name": name,
                    "region": region,
                    "listen": text(listen),
                    **more,
                    "bounds": {"egress_bytes_per_s": egress},
                }
            ).encode()
        )

    def start(self, name: str) -> None:
        """The publisher or a relay, by its file."""
        kind = "relay" if name.startswith("relay") else "publisher"
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "oakfork.control.cli", kind, str(self.folder / f"{name}.toml")],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def relays_of(self, gateway: int) -> list[int]:
        """Its own, and another one, of its region where that has two."""
        shape, home = self.shape, gateway % self.shape.relays
        others = [relay for relay in range(shape.relays) if relay != home and (relay - home) % shape.regions == 0] or [
            (home + 1) % shape.relays
        ]
        return [home, others[gateway // shape.relays % len(others)]]

    def hollow(self, name: str, gateways: Sequence[int], cold: bool = False) -> None:
        """A process of hollow ones; its first one keeps records. They follow as `relays_of` says."""
        who = [f"{'cold' if cold else 'gateway'}-{gateway}" for gateway in gateways]
        config = {
            "sizes": self.shape.sizes,
            "start": self.start_at,
            "followers": [
                {
                    "who": one,
                    "relays": [text(self.relays[relay]) for relay in self.relays_of(gateway)],
                    "seed": self.seed * 10_000 + gateway,
                    "cold": cold,
                    "full": number == 0,
                }
                for number, (one, gateway) in enumerate(zip(who, gateways, strict=True))
            ],
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        with open(path.with_suffix(".told"), "wb") as told, open(path.with_suffix(".log"), "wb") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "oakfork.lab.scale.hollow_gateways", str(path)],
                stdin=subprocess.DEVNULL,
                stdout=told,
                stderr=log,
            )
        self.files[name] = (open(path.with_suffix(".told"), "rb"), b"")
        self.followers[name] = who
        self.at |= dict.fromkeys(who, EMPTY)

    async def end(self) -> None:
        """The hollow ones tell where they are and end."""
        for name in self.files:
            self.processes[name].terminate()
        with trio.move_on_after(END):
            while any(self.processes[name].poll() is None for name in self.files):
                await trio.sleep(0.05)
        self.read()

    # What is told

    def read(self) -> None:
        for name, (file, rest) in self.files.items():
            *lines, rest = (rest + file.read()).split(b"\n")
            self.files[name] = (file, rest)
            for line in lines:
                self._line(name, json.loads(line))

    def _line(self, name: str, told: dict[str, Any]) -> None:
        who = self.followers[name]
        if "mark" in told:
            self.marks.setdefault(name, []).append(told)
        elif "in_force" in told:
            for number, term, count, ms, digest in told["in_force"]:
                self.reached.setdefault(who[number], []).append(Reached(Position(term, count), ms, digest))
                self.at[who[number]] = Position(term, count)
        elif "serving" in told:
            self.served[name] = told["ms"]
        elif "end" in told:
            self.told.append(told)
            for one, (term, count, digest, brute) in zip(who, told["end"], strict=True):
                self.ends[one] = End(Position(term, count), digest, brute)

    async def everywhere(self, position: Position, seconds: float) -> None:
        """Until all hollow ones have it; raises DrillProcessError."""
        with trio.move_on_after(seconds):
            while True:
                self.read()
                if not any(there < position for there in self.at.values()):
                    return
                for name in self.files:
                    if self.processes[name].poll() is not None:
                        raise DrillProcessError(f"{name} ended: {self._last(name)}")
                await trio.sleep(0.1)
        late = [who for who, there in self.at.items() if there < position]
        raise DrillProcessError(
            f"{len(late)} of {len(self.at)} not at {tuple(position)} after {seconds:g} s: {late[:5]}"
        )

    def _last(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()[-400:]

    def judged(self) -> list[str]:
        """The witness's faults; none: all is well."""
        counts: dict[str, int] = {}
        for told in self.told:
            for reason, count in told["counts"].items():
                counts[reason] = counts.get(reason, 0) + count
        self.counts = counts
        return fleet_verifier.judge(
            fleet_verifier.Seen(
                generated_state.base(self.shape.sizes),
                self.start_at.number,
                self.acked,
                self.reached,
                {who: end for who, end in self.ends.items() if who in self.at},
                list(self.at),
                sum(told["half"] for told in self.told),
                sum(told["conflicts"] for told in self.told),
            )
        )

    def spread(self, acked: Sequence[Acked], who: Sequence[str] | None = None) -> dict[str, float]:
        """Milliseconds from acknowledged to in force, over all change sets and followers: median, 99 in 100, the
        last."""
        found = []
        for one in self.at if who is None else who:
            reached = self.reached.get(one, [])
            positions = [each.position for each in reached]
            for each in acked:
                place = bisect_left(positions, each.position)
                if place < len(reached):
                    found.append(max(0, reached[place].ms - each.ms))
        if not found:
            return {}
        return {
            "median_ms": float(numpy.median(found)),
            "p99_ms": float(numpy.percentile(found, 99)),
            "last_ms": float(max(found)),
            "values": len(found),
        }

    def taken(self) -> dict[str, dict[str, float]]:
        """Processor seconds and bytes of memory of the publisher and each relay, so far."""
        return {
            name: {"processor_s": processor_seconds(process.pid), "memory_bytes": memory(process.pid)[0]}
            for name, process in self.processes.items()
            if name not in self.files and process.poll() is None
        }

    # What is done

    async def publish(self, change: generated_state.Change) -> Position:
        """Until it is acknowledged; raises DrillProcessError where it is not.

        The one that comes upon a fault of the publisher's
        also waits until that answers again."""
        verdict, failed, ms = None, None, 0
        async with trio.open_nursery() as nursery:
            if self.doomed:
                nursery.start_soon(self._doom, self.doomed.pop(0))
                await trio.lowlevel.checkpoint()
            try:  # by itself, not inside the nursery's group
                verdict, ms = await client.publish(self.operator.place, change.id, change.file, PATIENCE), now_ms()
            except PublisherTimeoutError as error:
                failed = error
        if failed is not None or verdict.position is None:
            raise DrillProcessError(f"{change.id} was not taken: {failed or verdict.faults[:3]}")
        self.acked.append(Acked(change.id, verdict.position, ms, change.rows))
        return verdict.position

    async def _doom(self, fault: Fault) -> None:
        """The publisher is killed while it has a change set in hand: at a drawn moment, or once that is in force
        somewhere and its answer swallowed."""
        if fault.kind == "lose answer":
            known = max(self.at.values())
            self.operator.mute = True
            with trio.move_on_after(LOST):
                while max(self.at.values()) <= known:
                    await trio.sleep(0.02)
                    self.read()
        else:
            await trio.sleep(fault.lasts / 100)  # to 15 ms
        await self.kill(PUBLISHER)
        self.operator.mute = False
        await trio.sleep(fault.lasts)
        self.start(PUBLISHER)
        with suppress(PublisherTimeoutError):  # which the next change set tells
            await client.status(text(self.publisher), START)

    async def kill(self, name: str) -> None:
        self.processes[name].kill()
        await trio.to_thread.run_sync(self.processes[name].wait, 5)

    async def strike(self, fault: Fault) -> None:
        """One that undoes itself after its time; the publisher's wait for the next change set."""
        self.log.append(f"{now_ms()} {fault.at:.3f} {fault.kind} {fault.whom} {fault.lasts:.3f}")
        name = f"relay-{fault.whom}"
        if fault.kind in ("kill publisher", "lose answer"):
            self.doomed.append(fault)
        elif fault.kind == "kill relay":
            await self.kill(name)
            await trio.sleep(fault.lasts)
            self.start(name)
        elif fault.kind == "stop relay":
            process = self.processes[name]
            process.send_signal(signal.SIGSTOP)
            await trio.sleep(fault.lasts)
            process.send_signal(signal.SIGCONT)
        elif fault.kind == "end in a frame":
            for way in self.ways.values():
                way.tears = 1
        else:
            region = self.shape.regions
            ways = [
                way
                for (relay, other), way in self.ways.items()
                if (relay % region == fault.whom) != (other >= 0 and other % region == fault.whom)
            ]
            for way in ways:
                way.shut()
            await trio.sleep(fault.lasts)
            for way in ways:
                way.open()

    async def faults(
        self, plan: Sequence[Fault], changes: generated_state.Changes, every: float, settled: float
    ) -> None:
        """Strikes as planned while change sets go on, then waits until all have the last one."""
        begun, done = trio.current_time(), trio.Event()

        async def strike_all() -> None:
            async with trio.open_nursery() as nursery:
                for fault in plan:
                    await trio.sleep_until(begun + fault.at)
                    nursery.start_soon(self.strike, fault)
            done.set()

        failed = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(strike_all)
            try:
                while not done.is_set() or self.doomed:
                    await self.publish(changes.some(4))
                    await trio.sleep(every)
            except DrillProcessError as error:
                failed = error
                nursery.cancel_scope.cancel()
        if failed is not None:
            raise DrillProcessError(str(failed))
        await self.everywhere(await self.publish(changes.some(4)), settled)
