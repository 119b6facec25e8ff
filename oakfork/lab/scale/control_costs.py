"""Group "control": how changes reach every gateway (oakfork/control), at several numbers of hollow gateways: real
processes over loopback on one machine, played by fleet_run.py and judged by fleet_verifier.py.

At each size: at rest, single changes, one relay gone. At the largest, which is played first, also the bursts, real
gateways beside and a cold zone. control_faults.py has the play of faults.
The time to everywhere holds the processors' share that one machine has for all: it is no less than on many.
"""

import sys
import tempfile
from pathlib import Path
from typing import Any, Callable, NamedTuple, Sequence

import trio

from oakfork.control.messages import EMPTY
from oakfork.errors import DrillProcessError
from oakfork.lab.scale import generated_state, real_gateways as besides
from oakfork.lab.scale.fleet_run import FULL, PUBLISHER, Fleet, Shape, drawn
from oakfork.lab.scale.fleet_verifier import Acked
from oakfork.lab.scale.hollow_gateways import now_ms
from oakfork.lab.scale.process_costs import memory
from oakfork.lab.scale.slopes import Measure

GROUP = "control"
A_DAY = 2_000  # changes of the mean day
DAY = 86_400
MARK = 10.0  # seconds at most for the next mark of all hollow processes, told once a second


class Sizes(NamedTuple):
    """How much is played. Times are seconds."""

    gateways: tuple[int, ...] = (30, 100, 300, 1_000, 2_700)
    shape: Shape = FULL
    rest: float = 6.0
    changes: int = 6  # single ones, `every` seconds
    every: float = 0.7
    gone: int = 5  # change sets with one relay gone
    bunched: int = 2_000  # a day's, as fast as they are taken, which is far denser than in an hour
    operators: int = 8  # who submit the bunched ones, one after another each
    cold: int = 170
    cold_processes: int = 7  # beside the publisher and the relays: one for each processor
    spread: float = 60.0  # for a change set to be in force everywhere
    cold_wait: float = 180.0  # then those that are ready are counted
    seed: int = 1
    span: float = 30.0  # of the play of faults, and how long some last
    holds: float = 20.0
    settled: float = 60.0
    beside: besides.Sizes = besides.Sizes()


SMALL = Sizes(
    (4, 6, 8, 12, 16),
    Shape(generated_state.SMALL, 4, 1, 2, 1),
    1.0,
    2,
    0.1,
    2,
    20,
    2,
    3,
    1,
    30.0,
    30.0,
    1,
    0.5,
    0.5,
    30.0,
    besides.SMALL,
)


class Cost(NamedTuple):
    """Of a while: of all hollow gateways together, and of the publisher and all relays."""

    lasted: float  # seconds of what went on
    seconds: float  # between the marks around it, in which the following were taken
    came: float  # bytes to gateways
    went: float  # bytes from gateways
    gateways_s: float  # processor seconds
    serving_s: float

    def beyond(self, rest: "Cost") -> "Cost":
        """Less what rest takes in that time."""
        part = self.seconds / rest.seconds
        return self._replace(
            came=self.came - part * rest.came,
            went=self.went - part * rest.went,
            gateways_s=self.gateways_s - part * rest.gateways_s,
            serving_s=self.serving_s - part * rest.serving_s,
        )


async def cost(fleet: Fleet, work: Callable[[], Any]) -> Cost:
    """Of some work: from the last mark before it to the first one after it, of each hollow process."""
    before, begun = fleet.taken(), now_ms()
    await work()
    ended = now_ms()
    with trio.move_on_after(MARK):
        while any(marks[-1]["mark"] <= ended for marks in fleet.marks.values()):
            await trio.sleep(0.05)
            fleet.read()
    after = fleet.taken()
    totals, windows = [0.0, 0.0, 0.0], []
    for marks in fleet.marks.values():
        one = [mark for mark in marks if mark["mark"] <= begun][-1]
        other = next((mark for mark in marks if mark["mark"] > ended), marks[-1])
        windows.append((other["mark"] - one["mark"]) / 1000)
        for place, key in enumerate(("in", "out", "processor_s")):
            totals[place] += other.get(key, 0.0) - one.get(key, 0.0)
    serving = sum(told["processor_s"] - before[name]["processor_s"] for name, told in after.items() if name in before)
    return Cost((ended - begun) / 1000, sum(windows) / len(windows), *totals, serving)


class Played(NamedTuple):
    """Of one size. `lasts_s`: of each single change, until the last gateway had it; `medians_s` likewise."""

    rest: Cost
    changes: Cost
    lasts_s: list[float]
    medians_s: list[float]
    more: dict[str, Any]


class Player:
    """Plays at one number of gateways."""

    def __init__(self, sizes: Sizes, gateways: int, told: Callable[[str], None]) -> None:
        self.sizes, self.told, self.gateways = sizes, told, gateways
        self.shape = sizes.shape._replace(gateways=gateways, processes=min(sizes.shape.processes, gateways))
        self.changes = generated_state.Changes(self.shape.sizes, sizes.seed)
        self.more: dict[str, Any] = {}

    def run(self) -> Played:
        """Raises DrillProcessError, also where the witness finds a fault."""
        with tempfile.TemporaryDirectory(prefix="oakfork-fleet-") as folder:
            fleet = Fleet(Path(folder), self.shape, self.sizes.seed)
            played = trio.run(fleet.run, self._play)
            if faults := fleet.judged():
                raise DrillProcessError(f"{self.gateways} gateways: " + "; ".join(faults))
            return played._replace(more=played.more | {"counts": fleet.counts})

    def faults(self) -> dict[str, Any]:
        """A play of faults; raises DrillProcessError where the witness finds a fault."""
        sizes = self.sizes
        plan = drawn(sizes.seed, self.shape, sizes.span, sizes.holds)
        with tempfile.TemporaryDirectory(prefix="oakfork-fleet-") as folder:
            fleet = Fleet(Path(folder), self.shape, sizes.seed)

            async def play(fleet: Fleet) -> None:
                await fleet.faults(
                    plan, generated_state.Changes(self.shape.sizes, sizes.seed, paired=True), 0.5, sizes.settled
                )

            trio.run(fleet.run, play)
            if found := fleet.judged():
                raise DrillProcessError(f"faults of seed {sizes.seed}: " + "; ".join(found))
            return {
                "seed": sizes.seed,
                "plan": [one._asdict() for one in plan],
                "change_sets": len(fleet.acked),
                "spread": fleet.spread(fleet.acked),
                "counts": fleet.counts,
                "judged": "no fault found",
            }

    async def _play(self, fleet: Fleet) -> Played:
        sizes = self.sizes
        await trio.sleep(min(3.0, sizes.rest))  # the marks and beats have begun
        rest = await cost(fleet, lambda: trio.sleep(sizes.rest))
        self.told(f"{self.gateways} gateways: at rest")
        begun = len(fleet.acked)
        changes = await cost(fleet, lambda: self._single(fleet, sizes.changes, sizes.every))
        single = fleet.acked[begun:]
        each = [fleet.spread([one]) for one in single]
        self.more["single"] = fleet.spread(single)
        self.told(f"{self.gateways} gateways: single changes, {self.more['single']}")
        if self.gateways == sizes.gateways[-1]:
            await self._bursts(fleet, rest)
            self.more["beside"] = await besides.Beside(fleet, self.changes, sizes.beside, sizes.seed).run()
            self.told(f"{self.gateways} gateways: real ones beside, {self.more['beside']['added']}")
        await fleet.kill("relay-0")
        self.more["one relay gone"] = await self._spread(
            fleet, lambda: self._single(fleet, sizes.gone, sizes.every / 2)
        )
        fleet.start("relay-0")
        self.more["taken"] = taken = fleet.taken()
        self.more["relay_memory_bytes"] = max(told["memory_bytes"] for name, told in taken.items() if name != PUBLISHER)
        if self.gateways == sizes.gateways[-1]:
            await self._cold(fleet)
        await fleet.everywhere(fleet.acked[-1].position, sizes.spread)
        return Played(
            rest, changes, [one["last_ms"] / 1000 for one in each], [one["median_ms"] / 1000 for one in each], self.more
        )

    async def _single(self, fleet: Fleet, count: int, every: float) -> None:
        for _ in range(count):
            position = await fleet.publish(self.changes.some())
            await trio.sleep(every)
        await fleet.everywhere(position, self.sizes.spread)

    async def _spread(self, fleet: Fleet, work: Callable[[], Any]) -> dict[str, Any]:
        begun: int = len(fleet.acked)
        await work()
        return fleet.spread(fleet.acked[begun:])

    async def _bursts(self, fleet: Fleet, rest: Cost) -> None:
        """Each is over when its last change set is in force everywhere."""
        bursts = [
            ("zone gone", lambda: self._sets(fleet, self.changes.zone_gone(0), 1)),
            ("zone back", lambda: self._sets(fleet, self.changes.zone_back(0), 1)),
            (
                "bunched",
                lambda: self._sets(
                    fleet, [self.changes.some() for _ in range(self.sizes.bunched)], self.sizes.operators
                ),
            ),
        ]
        for name, work in bursts:
            begun = len(fleet.acked)
            taken = await cost(fleet, work)
            self.more[name] = self._told(taken.beyond(rest), fleet, fleet.acked[begun:])
            self.told(f"{self.gateways} gateways: {name}, {self.more[name]}")

    def _told(self, taken: Cost, fleet: Fleet, acked: Sequence[Acked]) -> dict[str, Any]:
        each = self.gateways
        return {
            "change_sets": len(acked),
            "records": sum(len(one.rows) for one in acked),
            "seconds": taken.lasted,
            "bytes_to_a_gateway": taken.came / each,
            "bytes_from_a_gateway": taken.went / each,
            "bytes_a_second_a_gateway": (taken.came + taken.went) / each / taken.lasted,
            "processor_s_a_gateway": taken.gateways_s / each,
            "processor_s_serving": taken.serving_s,
            "spread": fleet.spread(acked),
        }

    async def _sets(self, fleet: Fleet, sets: Sequence[generated_state.Change], operators: int) -> None:
        """Several operators at once, one after another each, until all is in force everywhere."""
        left, failed = list(sets)[::-1], []

        async def submit() -> None:
            try:
                while left and not failed:
                    await fleet.publish(left.pop())
            except DrillProcessError as error:
                failed.append(error)

        async with trio.open_nursery() as nursery:
            for _ in range(operators):
                nursery.start_soon(submit)
        for error in failed[:1]:
            raise error
        await fleet.everywhere(max(one.position for one in fleet.acked), self.sizes.spread)

    async def _cold(self, fleet: Fleet) -> None:
        """One alone, for its memory; then a zone's at once. Ready: it has the state."""
        sizes = self.sizes
        wanted = fleet.acked[-1].position
        fleet.hollow("lone", [0], cold=True)
        await self._began(fleet, "lone")
        bare, begun = memory(fleet.processes["lone"].pid)[0], fleet.served["lone"]
        await fleet.everywhere(wanted, sizes.spread)
        await trio.sleep(1.0)
        told = {
            "one_alone_s": (fleet.reached["cold-0"][0].ms - begun) / 1000,
            "memory_bytes_with_nothing": bare,
            "memory_bytes_with_the_state": memory(fleet.processes["lone"].pid)[0],
        }
        names = [f"colds-{number}" for number in range(sizes.cold_processes)]
        for number, name in enumerate(names):
            fleet.hollow(name, range(1 + number, 1 + sizes.cold, sizes.cold_processes), cold=True)
        cold = [who for name in names for who in fleet.followers[name]]
        before = fleet.taken()
        for name in names:
            await self._began(fleet, name)
        begun = min(fleet.served[name] for name in names)
        with trio.move_on_after(sizes.cold_wait):
            while any(fleet.at[who] < wanted for who in cold):
                await trio.sleep(0.2)
                fleet.read()
        after = fleet.taken()
        ready = sorted((fleet.reached[who][0].ms - begun) / 1000 for who in cold if fleet.at[who] >= wanted)
        told |= {
            "gateways": len(cold),
            "ready": len(ready),
            "waited_s": (now_ms() - begun) / 1000,
            "median_s": ready[len(ready) // 2] if ready else None,
            "last_s": ready[-1] if ready else None,
            "processor_s_serving": sum(
                after[name]["processor_s"] - before[name]["processor_s"] for name in after if name in before
            ),
        }
        for who in cold:  # one that has nothing yet is counted here, and has no end to be judged by
            if fleet.at[who] == EMPTY:
                del fleet.at[who]
        self.more["cold"] = told
        self.told(f"{self.gateways} gateways: cold, {told}")

    async def _began(self, fleet: Fleet, name: str) -> None:
        with trio.move_on_after(self.sizes.spread):
            while not fleet.marks.get(name):
                await trio.sleep(0.02)
                fleet.read()
            return
        raise DrillProcessError(f"{name} did not begin within {self.sizes.spread:g} s")


def measure(told: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """Raises DrillProcessError
    where processes do not start or end, a change set is not in force everywhere in time, or the
    witness finds a fault."""
    sizes = SMALL if small else Sizes()
    played = {gateways: Player(sizes, gateways, told).run() for gateways in reversed(sizes.gateways)}
    shape = sizes.shape
    held = {
        "relays": shape.relays,
        "regions": shape.regions,
        "records": sum(shape.sizes),
        "relay_egress": shape.relay_egress,
    }

    def single(one: Played, value: str) -> float:
        """Of one change."""
        return getattr(one.changes.beyond(one.rest), value) / sizes.changes

    rows: list[tuple[str, str, Callable[[Played], list[float]], str]] = [
        ("bytes to all a second, at rest", "bytes", lambda one: [one.rest.came / one.rest.seconds], "beats"),
        ("bytes from all a second, at rest", "bytes", lambda one: [one.rest.went / one.rest.seconds], ""),
        (
            "processor seconds of all a second, at rest",
            "seconds",
            lambda one: [one.rest.gateways_s / one.rest.seconds],
            "of hollow processes, their own reports included",
        ),
        (
            "processor seconds of publisher and relays a second, at rest",
            "seconds",
            lambda one: [one.rest.serving_s / one.rest.seconds],
            "",
        ),
        ("bytes to all for a change", "bytes", lambda one: [single(one, "came")], "of one record, beyond rest"),
        ("bytes from all for a change", "bytes", lambda one: [single(one, "went")], "beyond rest"),
        ("processor seconds of all for a change", "seconds", lambda one: [single(one, "gateways_s")], "beyond rest"),
        (
            "processor seconds of publisher and relays for a change",
            "seconds",
            lambda one: [single(one, "serving_s")],
            "beyond rest",
        ),
        ("seconds to everywhere, the last", "seconds", lambda one: one.lasts_s, "from acknowledged; one machine"),
        ("seconds to everywhere, the median", "seconds", lambda one: one.medians_s, "from acknowledged; one machine"),
    ]
    measures = [
        Measure(
            f"control by gateways: {what}",
            unit,
            "gateways",
            [(gateways, values(played[gateways])) for gateways in sizes.gateways],
            held,
            note,
        )
        for what, unit, values, note in rows
    ]
    largest = played[sizes.gateways[-1]]
    each = sizes.gateways[-1]
    mean_day = {
        "bytes_a_second_a_gateway": (largest.rest.came + largest.rest.went) / largest.rest.seconds / each
        + (single(largest, "came") + single(largest, "went")) * A_DAY / DAY / each,
        "processor_part_of_a_core_a_gateway": largest.rest.gateways_s / largest.rest.seconds / each
        + single(largest, "gateways_s") * A_DAY / DAY / each,
    }
    return measures, {
        "python": sys.version.split()[0],
        "plays": {str(at): one.more for at, one in played.items()},
        "mean_day": mean_day,
    }
