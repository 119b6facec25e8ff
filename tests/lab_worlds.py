"""Worlds of the laboratory, in the small."""

import copy
import tomllib
from pathlib import Path

from oakfork.decision import DecisionModule
from oakfork.lab import experiment as files
from oakfork.lab.world import World

ROOT = Path(__file__).parent.parent

SMALL = tomllib.loads((ROOT / "experiments/small.toml").read_text())

QUICK = {"name": "read", "work_ms": 50.0, "soft_ms": 60_000, "deadline_ms": 60_000}


def told(**changes):
    """The small experiment, with parts of its world replaced."""
    document = copy.deepcopy(SMALL) | {"seeds": [1], "policies": ["oakfork"], "faults": changes.pop("faults", [])}
    for path, value in changes.items():
        table = document["world"]
        *parents, last = path.split("__")
        for part in parents:
            table = table.setdefault(part, {})
        table[last] = value
    return document


def world(decide=DecisionModule, seed=1, **changes) -> World:
    return World(files.checked(told(**changes)).runs[0].world, decide, seed)
