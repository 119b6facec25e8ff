"""Bytes of the lists of servers that discovery tells one gateway, in the form of PROTOCOL's example.

An answer's body only. Ids have one length, as in the example; the addresses' lengths vary by the seed.
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
SMALL = (1, 10, 50, 100)
SEEDS = (1, 2, 3)
REGIONS, CELLS = 7, 16
ZONES = tuple(f"r{number % REGIONS + 1}-{'abc'[number // REGIONS]}" for number in range(16))
KINDS = ("m1", "m2", "m3", "m4")
RESTARTED = 2500 / 41_000  # of the servers within the last day
DAY = 86_400_000
TODAY = 1_796_083_200_000  # 2026-12-01, Unix time in milliseconds
COMPACT = ",", ":"


def row(number: int, dice: random.Random, state: str = "up", started: bool = False) -> dict[str, Any]:
    """A server of the list, with an id of its own; `started`: it runs for less than a day."""
    started_ms = TODAY - dice.randrange(DAY) if started or dice.random() < RESTARTED else 0
    place = ".".join(str(dice.randrange(256)) for _ in range(3))
    return {
        "id": f"s-{number * 0x9E3779B1 & 0xFFFFFFFF:08x}",
        "addr": f"10.{place}:8443",
        "zone": ZONES[number % len(ZONES)],
        "kind": dice.choice(KINDS),
        "cell": number % CELLS,
        "state": state,
        "weight": dice.choice((0.5, 1.0, 1.0, 2.0)),
        "started_ms": started_ms,
    }


def rows(servers: int, seed: int) -> list[dict[str, Any]]:
    dice = random.Random(seed)
    return [row(number, dice) for number in range(servers)]


def changes(servers: int, seed: int) -> list[dict[str, Any]]:
    """As many entries that changed: a third each drains, is removed, has come up anew."""
    dice = random.Random(seed)
    return [row(number, dice, ("draining", "removed", "up")[number % 3], number % 3 == 2) for number in range(servers)]


def body(version: int, full: bool, servers: Sequence[dict[str, Any]], compact: bool = False) -> bytes:
    """An answer of discovery, by json.dumps as the lab's stand-in has it, or without the blanks."""
    told = {"version": version, "full": full, "servers": list(servers)}
    return json.dumps(told, separators=COMPACT if compact else None).encode()


def measure(told: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """Bytes of a whole list and of an answer that tells changes, for one watcher; the same on any machine."""
    measures = []
    for what, by, full, make, sizes in (
        ("whole list by servers", "servers", True, rows, SERVERS),
        ("changes by servers changed", "servers changed", False, changes, CHANGED),
    ):
        for compact in (False, True):
            points = [
                (
                    size,
                    [float(len(body(41, full, make(size, seed), compact))) for seed in (SEEDS[:1] if small else SEEDS)],
                )
                for size in (SMALL if small else sizes)
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
            told(measures[-1].name)
    held = {
        "python": sys.version.split()[0],
        "largest_body": LARGEST_BODY,
        "sizes_at_largest_body": {one.name: one.crosses(LARGEST_BODY) for one in measures},
    }
    return measures, held
