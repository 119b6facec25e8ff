"""Group "lists": bytes of the lists of servers that discovery sends to one gateway.

The entries have the form of the protocol's example. Only the body of an answer is counted. Ids have one length, as in
the example; the lengths of the addresses vary by the seed.
"""

import json
import random
import sys
from typing import Any, Callable, Sequence

from oakfork.lab.scale.slopes import Measure
from oakfork.sockets.http_connection import LARGEST_BODY

GROUP = "lists"
SERVERS = (10, 100, 1000, 4000, 10_000, 41_000)
CHANGED = (1, 10, 100, 1000, 10_000, 41_000)
SMALL_SIZES = (1, 10, 50, 100)
SEEDS = (1, 2, 3)
REGIONS = 7
CELLS = 16
ZONE_COUNT = 16
ZONES = tuple(f"r{number % REGIONS + 1}-{'abc'[number // REGIONS]}" for number in range(ZONE_COUNT))
KINDS = ("m1", "m2", "m3", "m4")
RESTARTED_SHARE = 2500 / 41_000  # of the servers within the last day
DAY_MS = 86_400_000
TODAY_MS = 1_796_083_200_000  # 2026-12-01, Unix time
COMPACT_SEPARATORS = (",", ":")
WATCH_VERSION = 41  # of the lists that are counted
ID_MULTIPLIER = 0x9E3779B1  # 2**32 over the golden ratio, which spreads consecutive numbers


def row(number: int, random_source: random.Random, state: str = "up", started: bool = False) -> dict[str, Any]:
    """An entry of the list, with an id of its own; a server that is `started` has run for less than a day."""
    started_ms = 0
    if started or random_source.random() < RESTARTED_SHARE:
        started_ms = TODAY_MS - random_source.randrange(DAY_MS)
    address = ".".join(str(random_source.randrange(256)) for _ in range(3))
    return {
        "id": f"s-{number * ID_MULTIPLIER & 0xFFFFFFFF:08x}",
        "addr": f"10.{address}:8443",
        "zone": ZONES[number % len(ZONES)],
        "kind": random_source.choice(KINDS),
        "cell": number % CELLS,
        "state": state,
        "weight": random_source.choice((0.5, 1.0, 1.0, 2.0)),
        "started_ms": started_ms,
    }


def rows(servers: int, seed: int) -> list[dict[str, Any]]:
    """The entries of a list of that many servers, all of them up."""
    random_source = random.Random(seed)
    return [row(number, random_source) for number in range(servers)]


def changes(servers: int, seed: int) -> list[dict[str, Any]]:
    """That many changed entries: a third each drains, is removed, or has come up again."""
    random_source = random.Random(seed)
    states = ("draining", "removed", "up")
    return [row(number, random_source, states[number % 3], started=number % 3 == 2) for number in range(servers)]


def body(version: int, full: bool, servers: Sequence[dict[str, Any]], compact: bool = False) -> bytes:
    """The body of discovery's answer, formatted as by oakfork.lab.fake_services, or compact without blanks."""
    document = {"version": version, "full": full, "servers": list(servers)}
    return json.dumps(document, separators=COMPACT_SEPARATORS if compact else None).encode()


def measure(report: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """Measures the bytes of a whole list and of an answer with changes, for one watcher; the same on any machine."""
    measures = []
    seeds = SEEDS[:1] if small else SEEDS
    for what, by, full, make, sizes in (
        ("whole list by servers", "servers", True, rows, SERVERS),
        ("changes by servers changed", "servers changed", False, changes, CHANGED),
    ):
        for compact in (False, True):
            points = [
                (size, [float(len(body(WATCH_VERSION, full, make(size, seed), compact))) for seed in seeds])
                for size in (SMALL_SIZES if small else sizes)
            ]
            written = "with no blanks" if compact else "json.dumps as the lab's stand-in, with blanks after , and :"
            note = f"the body of one answer to one watcher, {written}; no heads, no compression"
            measures.append(
                Measure(
                    f"{what}{' compact' if compact else ''}: bytes",
                    "bytes",
                    by,
                    points,
                    {"watchers": 1, "zones": len(ZONES)},
                    note,
                )
            )
            report(measures[-1].name)
    held = {
        "python": sys.version.split()[0],
        "largest_body": LARGEST_BODY,
        "sizes_at_largest_body": {measure.name: measure.crosses(LARGEST_BODY) for measure in measures},
    }
    return measures, held
