"""Prints a digest of all events and commands of the decision module over simulated runs.

Two revisions that print the same lines make the same decisions:

    python experiments/same_commands.py experiments/*.toml

Each file is run with the decision module, at the first four points of its sweep, with three seeds each. The digest
covers values by their position and a fixed number for each kind of event and command, so that renaming a type or a
field does not change it.
"""

import hashlib
import struct
import sys
from collections.abc import Iterable
from typing import get_args

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.lab.experiment import read
from oakfork.lab.world import World

SEEDS = (11, 12, 13)
POINTS = 4
# Kinds are numbered by their place in the two unions, events first.
KINDS = {kind: number for number, kind in enumerate((*get_args(interface.Event), *get_args(interface.Command)))}


def encoded(value: object) -> bytes:
    """The bytes of a value, each with a letter for its type and the length of what can vary in length."""
    if isinstance(value, bytes):
        return b"b%d:" % len(value) + value
    if isinstance(value, str):
        return b"s" + encoded(value.encode())
    if isinstance(value, int):  # with bool and IntEnum
        return b"i%d;" % int(value)
    if isinstance(value, float):
        return b"f" + struct.pack("<d", value)
    if isinstance(value, tuple | list):
        kind = b"k%d" % KINDS[type(value)] if type(value) in KINDS else b"t"
        return kind + b"%d(" % len(value) + b"".join(map(encoded, value)) + b")"
    if value is None:
        return b"n"
    raise TypeError(f"no encoding for {type(value).__name__}")


class Recorder:
    """The decision module, with a digest of its events and commands."""

    digest = hashlib.sha256()
    events = commands = 0

    def __init__(self, settings: interface.GatewaySettings, now: int) -> None:
        self.module = DecisionModule(settings, now)

    @classmethod
    def reset(cls) -> None:
        """Starts a new digest; all instances of a run share it."""
        cls.digest, cls.events, cls.commands = hashlib.sha256(), 0, 0

    def handle(self, now: int, event: interface.Event) -> Iterable[interface.Command]:
        """Handles an event, and adds it and its commands to the digest."""
        commands = self.module.handle(now, event)
        Recorder.digest.update(encoded((now, event, commands)))
        Recorder.events += 1
        Recorder.commands += len(commands)
        return commands


def main() -> None:
    """Runs the files named on the command line."""
    for path in sys.argv[1:]:
        worlds = {run.point: run.world for run in read(path).runs}
        for point, world in list(worlds.items())[:POINTS]:
            for seed in SEEDS:
                Recorder.reset()
                World(world, Recorder, seed).run()
                print(
                    f"{path} {dict(point)} seed {seed}: {Recorder.events} events, {Recorder.commands} commands,",
                    Recorder.digest.hexdigest()[:16],
                    flush=True,
                )


if __name__ == "__main__":
    main()
