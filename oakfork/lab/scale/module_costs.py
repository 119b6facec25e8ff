"""Group "module": the cost of the decision module by itself (oakfork/decision), by servers, peers, customers and plans.

A module is driven on a virtual clock until it is at rest, then through the units below; what it was told is told
again to another one of the same birth, and that one is measured (module_driver.py). So counts are the same each time.
"""

import json
import os
import platform
import subprocess
import sys
from dataclasses import asdict, replace
from itertools import pairwise
from pathlib import Path
from statistics import median
from typing import Any, Callable, Iterable, NamedTuple

from oakfork.interface import SECOND
from oakfork.lab.scale import module_driver as rig
from oakfork.lab.scale.module_driver import Driven, Replay, Sizes
from oakfork.lab.scale.reference_cost import operations, reference_seconds, seconds_and_references
from oakfork.lab.scale.slopes import Measure, summary_line

GROUP = "module"
# By plans: as many as frames can name by their byte, and fewer; the others up to the planned size.
SIZES = {
    "servers": (100, 1000, 4000, 10_000, 41_000),
    "peers": (3, 30, 300, 1000, 2700),
    "customers": (100, 1000, 10_000, 59_000),
    "plans": (2, 8, 32, 128),
}
SMALL = {"servers": (20, 40, 80, 160), "peers": (2, 4, 8, 16), "customers": (10, 20, 40, 80), "plans": (2, 4, 8, 16)}
VALUES, MEMORIES = 5, 3  # of a point: seconds, and bytes of memory
RPCS, WARM = 100, 600  # RPCs in a value; before the first: 5 s, longer than any of their timers
ENTRIES = 4000  # entries of lists that a value goes through at least
PATIENCE = 60  # seconds for a fresh process
ROOT = Path(__file__).parents[3]
FRESH = "import sys; from oakfork.lab.scale.module_driver import resident; print(resident(sys.argv[1]))"


class Unit(NamedTuple):
    name: str
    act: Callable[[Driven], None]
    by: tuple[str, ...]
    rpc: bool
    told: str  # what is counted


UNITS = (
    Unit(
        "rpc at its owner",
        Driven.rpc_at_owner,
        ("servers", "peers", "customers", "plans"),
        True,
        "an RPC whose customer has its bucket here: taken, one call-out, ok",
    ),
    Unit(
        "rpc that asks",
        Driven.rpc_that_asks,
        ("servers", "peers", "customers", "plans"),
        True,
        "an RPC whose customer has its bucket at a peer: ask sent, yes got, call-out, ok, place released; peers in "
        "turn",
    ),
    Unit(
        "ask served",
        Driven.ask_served,
        ("servers", "peers", "customers", "plans"),
        True,
        "the ask of a peer for a customer that has a bucket here: answered, place released later; peers in turn",
    ),
    Unit(
        "change of one server",
        Driven.server_changed,
        ("servers", "peers"),
        False,
        "a change that names one server, where another process is ready now; no call-out is out",
    ),
    Unit(
        "whole list",
        Driven.list_again,
        ("servers", "peers"),
        False,
        "the whole list told again to a module that has it, as when a watch begins anew; no call-out is out",
    ),
)
BIRTH = "a module made and told its first whole list; the greetings to its peers come later and aren't counted"

OPERATIONS = (
    "bytecode instructions by sys.settrace; work inside C functions (sorting, copying, packing) isn't " "counted"
)
SECONDS = "processor time; garbage is collected before each value"
REFERENCES = SECONDS + "; divided by that of the reference loop, run right before and right after"
RPC_NOTE = f"mean over {RPCS} in a row, with all timers that come between them"
MEMORY = (
    "resident bytes of a fresh process: the interpreter and one module at rest, garbage collected; no " "RPC is open"
)


class Costs(NamedTuple):
    """Of one unit at one point; a value each."""

    operations: list[float]
    seconds: list[float]
    references: list[float]


def _measured(call: Callable[[], Any], each: int, values: int) -> Costs:
    """The costs of calls that do `each` units: `values` of them timed, then one counted."""
    seconds, references = seconds_and_references(call, values)
    return Costs([operations(call) / each], [value / each for value in seconds], [value / each for value in references])


def _replayed(replay: Replay, lengths: Iterable[int], each: int, values: int) -> Costs:
    steps = iter(lengths)

    def step() -> None:
        replay.advance(next(steps))

    return _measured(step, each, values)


def costs(sizes: Sizes, names: Iterable[str], small: bool = False) -> dict[str, Costs]:
    """The costs of units at one point, each after the others on one module; operations are one value, the same each
    time. `small`: few RPCs, one value."""
    values = 1 if small else VALUES
    driven = Driven(sizes, kept=True)
    parts = []
    for unit in (unit for unit in UNITS if unit.name in names):
        each = (5 if small else RPCS) if unit.rpc else max(1, ENTRIES // sizes.servers // (10 if small else 1))
        warm = (20 if small else WARM) if unit.rpc else 2
        marks = driven.play(unit.act, warm + each * (values + 1))
        parts.append((unit.name, each, marks[warm::each]))
    replay, told, found = Replay(sizes, driven.script), 0, {}
    del driven
    for name, each, stops in parts:
        replay.advance(stops[0] - told)
        found[name] = _replayed(replay, [end - begin for begin, end in pairwise(stops)], each, values)
        told = stops[-1]
    return found


def birth_costs(sizes: Sizes, small: bool = False) -> Costs:
    """The costs of a module's birth at one point."""
    first = rig.whole_list(sizes.servers)
    each = max(1, ENTRIES // (sizes.servers + sizes.peers) // (10 if small else 1))
    return _measured(lambda: [rig.newborn(sizes, first) for _ in range(each)], each, 1 if small else VALUES)


def memory(sizes: Sizes) -> int:
    """Resident bytes of a fresh process with one module; raises CalledProcessError or TimeoutExpired if it fails."""
    paths = os.pathsep.join(filter(None, (str(ROOT), os.environ.get("PYTHONPATH"))))
    done = subprocess.run(
        [sys.executable, "-c", FRESH, json.dumps(asdict(sizes))],
        check=True,
        capture_output=True,
        text=True,
        timeout=PATIENCE,
        env=os.environ | {"PYTHONPATH": paths},
    )
    return int(done.stdout)


def held(by: str, sizes: Sizes) -> dict[str, Any]:
    """What is held while one size varies."""
    plan = rig.PLAN
    return {size: value for size, value in asdict(sizes).items() if size != by} | {
        "gateways": "peers + 1",
        "mail_per_s": rig.MAIL_PER_S,
        "probe_price": rig.PROBE_PRICE,
        "seed": rig.SEED,
        "rpcs_per_s": round(SECOND / rig.GAP, 1),
        "reply_ms": rig.REPLY / 10,
        "answer_ms": rig.ANSWER / 10,
        "methods": len(rig.METHODS),
        "deadline_s": rig.METHODS[0].deadline / SECOND,
        "every_plan": {
            "rate": plan.rate,
            "burst": plan.burst,
            "concurrency": plan.concurrency,
            "ceiling_rate": plan.ceiling_rate,
        },
    }


def _three(name: str, by: str, note: str, points: list[tuple[int, Costs]]) -> list[Measure]:
    """The measures of one unit by one size."""
    return [
        Measure(
            f"{name} by {by}: {unit}",
            unit,
            by,
            [(size, getattr(cost, unit)) for size, cost in points],
            held(by, Sizes()),
            f"{note}. {how}",
        )
        for unit, how in (("operations", OPERATIONS), ("seconds", SECONDS), ("references", REFERENCES))
    ]


def _by(by: str, sizes: Iterable[int], small: bool) -> list[Measure]:
    """All costs by one size."""
    units = [unit for unit in UNITS if by in unit.by]
    found = [(size, costs(replace(Sizes(), **{by: size}), [unit.name for unit in units], small)) for size in sizes]
    measures = []
    for unit in units:
        note = f"{unit.told}; {RPC_NOTE}" if unit.rpc else unit.told
        measures += _three(unit.name, by, note, [(size, point[unit.name]) for size, point in found])
    if by != "customers":
        points = [(size, birth_costs(replace(Sizes(), **{by: size}), small)) for size in sizes]
        measures += _three("birth", by, BIRTH, points)
    return measures


def _without_price(sizes: Iterable[int], small: bool) -> list[Measure]:
    """What lists cost where connections cost nothing, so that a gateway doesn't keep to sixteen servers."""
    units = [unit for unit in UNITS if not unit.rpc]
    free = Sizes(connection_price=0.0)
    found = [(size, costs(replace(free, servers=size), [unit.name for unit in units], small)) for size in sizes]
    return [
        Measure(
            f"{unit.name} by servers without connection price: operations",
            "operations",
            "servers",
            [(size, point[unit.name].operations) for size, point in found],
            held("servers", free),
            f"{unit.told}. {OPERATIONS}",
        )
        for unit in units
    ]


def _memories(by: str, sizes: Iterable[int], small: bool) -> Measure:
    points = [
        (size, [float(memory(replace(Sizes(), **{by: size}))) for _ in range(1 if small else MEMORIES)])
        for size in sizes
    ]
    return Measure(f"memory of the module by {by}: bytes", "bytes", by, points, held(by, Sizes()), MEMORY)


def measure(told: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """All measures of the group, and what holds of the run; `told` gets a line each. `small`: tiny sizes, one value
    each, for tests. Raises CalledProcessError or TimeoutExpired if a fresh process fails."""
    measures: list[Measure] = []

    def take(more: Iterable[Measure]) -> None:
        for one in more:
            measures.append(one)
            told(summary_line(one))

    sizes, loops = SMALL if small else SIZES, []
    with rig.collected_as_served():
        for by in sizes:
            loops.append(reference_seconds())
            take(_by(by, sizes[by], small))
        take(_without_price(sizes["servers"], small))
        loops.append(reference_seconds())
    for by in sizes:
        take([_memories(by, sizes[by], small)])
    return measures, {
        "python": platform.python_version(),
        "small": small,
        "reference_seconds": median(loops),
        "reference_seconds_all": loops,
        "values": 1 if small else VALUES,
        "garbage": "frozen at the start, thresholds as in a gateway that serves",
    }
