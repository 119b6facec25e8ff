"""Small experiments and worlds of the laboratory, for tests."""

import copy
import tomllib
from pathlib import Path

from oakfork.decision import DecisionModule
from oakfork.lab import experiment
from oakfork.lab.world import World

ROOT = Path(__file__).parent.parent

SMALL = tomllib.loads((ROOT / "experiments/small.toml").read_text())

QUICK = {"name": "read", "work_ms": 50.0, "soft_ms": 60_000, "deadline_ms": 60_000}


def small_experiment(**changes):
    """The small experiment with one seed and policy, and with parts of its world replaced.

    A change is named by its path in the world, with "__" between the parts; `faults` replaces the faults.
    """
    document = copy.deepcopy(SMALL) | {"seeds": [1], "policies": ["oakfork"], "faults": changes.pop("faults", [])}
    for path, value in changes.items():
        table = document["world"]
        *parents, last = path.split("__")
        for part in parents:
            table = table.setdefault(part, {})
        table[last] = value
    return document


def small_world(policy_factory=DecisionModule, seed=1, **changes) -> World:
    """The world of the small experiment, changed as in `small_experiment`."""
    run = experiment.checked(small_experiment(**changes)).runs[0]
    return World(run.world, policy_factory, seed)
