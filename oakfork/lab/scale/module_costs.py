"""Group "module": the cost of the decision module by itself (oakfork/decision), by servers, peers, customers and plans.

A module is driven on a virtual clock until it is at rest, then through the units below. The recorded events are
replayed to another module with the same settings, and that one is measured (module_driver.py), so that counts are the
same each time.
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
from oakfork.lab.scale import module_driver
from oakfork.lab.scale.module_driver import ModuleDriver, Replay, Sizes
from oakfork.lab.scale.reference_cost import operations, reference_seconds, seconds_and_references
from oakfork.lab.scale.slopes import Measure, summary_line

GROUP = "module"
# Plans go up to what the byte that names them in a frame allows, the other sizes up to the planned fleet.
SIZES = {
    "servers": (100, 1000, 4000, 10_000, 41_000),
    "peers": (3, 30, 300, 1000, 2700),
    "customers": (100, 1000, 10_000, 59_000),
    "plans": (2, 8, 32, 128),
}
SMALL = {"servers": (20, 40, 80, 160), "peers": (2, 4, 8, 16), "customers": (10, 20, 40, 80), "plans": (2, 4, 8, 16)}
TIME_VALUES = 5  # of seconds, at each point
MEMORY_VALUES = 3  # of bytes of memory, at each point
RPCS = 100  # in a value
WARM_UP_RPCS = 600  # before the first value: 5 s, longer than any timer of an RPC
SMALL_RPCS = 5
SMALL_WARM_UP_RPCS = 20
WARM_UP_LISTS = 2
ENTRIES = 4000  # of lists that a value goes through at least
SMALL_ENTRIES_DIVISOR = 10
FRESH_PROCESS_TIMEOUT_S = 60
ROOT = Path(__file__).parents[3]
FRESH_PROCESS = (
    "import sys; from oakfork.lab.scale.module_driver import resident_bytes; print(resident_bytes(sys.argv[1]))"
)


class Unit(NamedTuple):
    """A unit of work whose cost is measured."""

    name: str
    begin: Callable[[ModuleDriver], None]
    by: tuple[str, ...]  # the sizes by which it is measured
    is_rpc: bool
    note: str  # what is counted


UNITS = (
    Unit(
        "rpc at its owner",
        ModuleDriver.rpc_at_owner,
        ("servers", "peers", "customers", "plans"),
        True,
        "an RPC whose customer has its bucket here: taken, one call-out, ok",
    ),
    Unit(
        "rpc that asks",
        ModuleDriver.rpc_that_asks,
        ("servers", "peers", "customers", "plans"),
        True,
        "an RPC whose customer has its bucket at a peer: ask sent, yes got, call-out, ok, place released; peers in "
        "turn",
    ),
    Unit(
        "ask served",
        ModuleDriver.ask_served,
        ("servers", "peers", "customers", "plans"),
        True,
        "the ask of a peer for a customer that has a bucket here: answered, place released later; peers in turn",
    ),
    Unit(
        "change of one server",
        ModuleDriver.server_changed,
        ("servers", "peers"),
        False,
        "a change that names one server, where another process is ready now; no call-out is out",
    ),
    Unit(
        "whole list",
        ModuleDriver.whole_list_again,
        ("servers", "peers"),
        False,
        "the whole list told again to a module that has it, as when a watch begins anew; no call-out is out",
    ),
)
BIRTH = "a module made and told its first whole list; the greetings to its peers come later and aren't counted"

OPERATIONS = "bytecode instructions by sys.settrace; work inside C functions (sorting, copying, packing) isn't counted"
SECONDS = "processor time; garbage is collected before each value"
REFERENCES = SECONDS + "; divided by that of the reference loop, run right before and right after"
RPC_NOTE = f"mean over {RPCS} in a row, with all timers that come between them"
MEMORY = "resident bytes of a fresh process: the interpreter and one module at rest, garbage collected; no RPC is open"


class Costs(NamedTuple):
    """The values of one unit at one point, each for one unit."""

    operations: list[float]
    seconds: list[float]
    references: list[float]


def _measured(call: Callable[[], Any], each: int, values: int) -> Costs:
    """The costs of a unit, from calls that do `each` units: `values` calls are timed, then one is counted."""
    seconds, references = seconds_and_references(call, values)
    return Costs([operations(call) / each], [value / each for value in seconds], [value / each for value in references])


def _replayed(replay: Replay, lengths: Iterable[int], each: int, values: int) -> Costs:
    steps = iter(lengths)

    def step() -> None:
        replay.advance(next(steps))

    return _measured(step, each, values)


def costs(sizes: Sizes, names: Iterable[str], small: bool = False) -> dict[str, Costs]:
    """The costs of units at one point, one after the other on one module.

    Operations are a single value, which is the same each time. `small` takes few RPCs and one value.
    """
    values = 1 if small else TIME_VALUES
    driver = ModuleDriver(sizes, recorded=True)
    parts = []
    for unit in (unit for unit in UNITS if unit.name in names):
        if unit.is_rpc:
            each = SMALL_RPCS if small else RPCS
            warm_up = SMALL_WARM_UP_RPCS if small else WARM_UP_RPCS
        else:
            each = _units_of_lists(sizes.servers, small)
            warm_up = WARM_UP_LISTS
        marks = driver.run_units(unit.begin, warm_up + each * (values + 1))
        parts.append((unit.name, each, marks[warm_up::each]))
    replay = Replay(sizes, driver.script)
    del driver
    replayed = 0  # events
    by_name: dict[str, Costs] = {}
    for name, each, stops in parts:
        replay.advance(stops[0] - replayed)
        by_name[name] = _replayed(replay, [end - begin for begin, end in pairwise(stops)], each, values)
        replayed = stops[-1]
    return by_name


def _units_of_lists(entries: int, small: bool) -> int:
    """Units in a value, each of which goes through that many entries."""
    return max(1, ENTRIES // entries // (SMALL_ENTRIES_DIVISOR if small else 1))


def birth_costs(sizes: Sizes, small: bool = False) -> Costs:
    """The costs of creating a module at one point, with its first list of servers."""
    first = module_driver.whole_list(sizes.servers)
    each = _units_of_lists(sizes.servers + sizes.peers, small)
    values = 1 if small else TIME_VALUES
    return _measured(lambda: [module_driver.create_module(sizes, first) for _ in range(each)], each, values)


def memory(sizes: Sizes) -> int:
    """Resident bytes of a fresh process with one module; raises CalledProcessError or TimeoutExpired if it fails."""
    paths = os.pathsep.join(filter(None, (str(ROOT), os.environ.get("PYTHONPATH"))))
    done = subprocess.run(
        [sys.executable, "-c", FRESH_PROCESS, json.dumps(asdict(sizes))],
        check=True,
        capture_output=True,
        text=True,
        timeout=FRESH_PROCESS_TIMEOUT_S,
        env=os.environ | {"PYTHONPATH": paths},
    )
    return int(done.stdout)


def held(by: str, sizes: Sizes) -> dict[str, Any]:
    """The sizes and settings that are held while one size varies."""
    plan = module_driver.PLAN
    return {size: value for size, value in asdict(sizes).items() if size != by} | {
        "gateways": "peers + 1",
        "mail_per_s": module_driver.MAIL_PER_S,
        "probe_price": module_driver.PROBE_PRICE,
        "seed": module_driver.SEED,
        "rpcs_per_s": round(SECOND / module_driver.GAP, 1),
        "reply_ms": module_driver.REPLY / 10,
        "answer_ms": module_driver.ANSWER / 10,
        "methods": len(module_driver.METHODS),
        "deadline_s": module_driver.METHODS[0].deadline / SECOND,
        "every_plan": {
            "rate": plan.rate,
            "burst": plan.burst,
            "concurrency": plan.concurrency,
            "ceiling_rate": plan.ceiling_rate,
        },
    }


def _three(name: str, by: str, note: str, points: list[tuple[int, Costs]]) -> list[Measure]:
    """The measures of one unit by one size, in operations, seconds and references."""
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
    names = [unit.name for unit in units]
    points_by_size = [(size, costs(replace(Sizes(), **{by: size}), names, small)) for size in sizes]
    measures = []
    for unit in units:
        note = f"{unit.note}; {RPC_NOTE}" if unit.is_rpc else unit.note
        measures += _three(unit.name, by, note, [(size, point[unit.name]) for size, point in points_by_size])
    if by != "customers":
        points = [(size, birth_costs(replace(Sizes(), **{by: size}), small)) for size in sizes]
        measures += _three("birth", by, BIRTH, points)
    return measures


def _without_price(sizes: Iterable[int], small: bool) -> list[Measure]:
    """The costs of lists where connections have no price, so that a gateway doesn't keep to sixteen servers."""
    units = [unit for unit in UNITS if not unit.is_rpc]
    free = Sizes(connection_price=0.0)
    names = [unit.name for unit in units]
    points_by_size = [(size, costs(replace(free, servers=size), names, small)) for size in sizes]
    return [
        Measure(
            f"{unit.name} by servers without connection price: operations",
            "operations",
            "servers",
            [(size, point[unit.name].operations) for size, point in points_by_size],
            held("servers", free),
            f"{unit.note}. {OPERATIONS}",
        )
        for unit in units
    ]


def _memories(by: str, sizes: Iterable[int], small: bool) -> Measure:
    points = [
        (size, [float(memory(replace(Sizes(), **{by: size}))) for _ in range(1 if small else MEMORY_VALUES)])
        for size in sizes
    ]
    return Measure(f"memory of the module by {by}: bytes", "bytes", by, points, held(by, Sizes()), MEMORY)


def measure(report: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """Returns all measures of the group and what else holds of the run; `report` gets a line for each measure.

    `small` takes tiny sizes and one value each, for tests. Raises CalledProcessError or TimeoutExpired if a fresh
    process fails.
    """
    measures: list[Measure] = []

    def add(new: Iterable[Measure]) -> None:
        for one in new:
            measures.append(one)
            report(summary_line(one))

    sizes = SMALL if small else SIZES
    loops = []
    with module_driver.collect_garbage_as_served():
        for by in sizes:
            loops.append(reference_seconds())
            add(_by(by, sizes[by], small))
        add(_without_price(sizes["servers"], small))
        loops.append(reference_seconds())
    for by in sizes:
        add([_memories(by, sizes[by], small)])
    return measures, {
        "python": platform.python_version(),
        "small": small,
        "reference_seconds": median(loops),
        "reference_seconds_all": loops,
        "values": 1 if small else TIME_VALUES,
        "garbage": "frozen at the start, thresholds as in a gateway that serves",
    }
