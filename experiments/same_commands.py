"""Prints a digest of every event the decision module is given, and of every command it answers with, over runs of the
laboratory. Two revisions that print the same lines decide alike, to the byte:

    python experiments/same_commands.py experiments/*.toml

Each file is played with the decision module, at the first four points of its sweep, three seeds each.
"""

import hashlib
import sys

from oakfork.decision import DecisionModule
from oakfork.lab.experiment import read
from oakfork.lab.world import World

SEEDS = (11, 12, 13)


class Recorded:
    """The decision module, with a digest kept of all that goes in and comes out."""

    digest = hashlib.sha256()
    events = commands = 0

    def __init__(self, settings, now):
        self.module = DecisionModule(settings, now)

    def handle(self, now, event):
        commands = self.module.handle(now, event)
        # What an older revision's events did not have yet is left out where it says nothing.
        Recorded.digest.update(repr((now, event, commands)).replace(", reserved=False", "").encode())
        Recorded.events += 1
        Recorded.commands += len(commands)
        return commands


def main() -> None:
    for path in sys.argv[1:]:
        worlds = {run.point: run.world for run in read(path).runs}
        for point, world in list(worlds.items())[:4]:
            for seed in SEEDS:
                Recorded.digest, Recorded.events, Recorded.commands = hashlib.sha256(), 0, 0
                World(world, Recorded, seed).run()
                print(
                    path,
                    dict(point),
                    f"seed {seed}: {Recorded.events} events, {Recorded.commands} commands,",
                    Recorded.digest.hexdigest()[:16],
                    flush=True,
                )


if __name__ == "__main__":
    main()
