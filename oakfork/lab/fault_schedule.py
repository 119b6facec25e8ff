"""What goes wrong in a drill, and when: drawn from a seed, kept as a record, played again from either."""

import json
import random
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Iterable, Sequence

KINDS = ("kill", "stop", "leave", "cut", "cut one way", "lose", "delay", "double", "witness restarts")
HOLDER = -1  # whoever holds the lease then


@dataclass(frozen=True, slots=True)
class Trouble:
    at: float  # seconds from the start of the drill
    kind: str
    whom: int  # a gateway, or HOLDER
    other: int  # the other side of a cut; -1: all others
    lasts: float  # until it is back, continued, healed
    size: float  # loss, mean delay in seconds, share doubled


def draw(seed: int, gateways: int, seconds: float, scale: float, voters: Sequence[int] = ()) -> list[Trouble]:
    """Troubles single and overlapping; `scale` is the length of a lease in seconds: they last a tenth of it to
    twice."""
    dice, found, at = random.Random(seed), [], 0.2
    voters = list(voters) or list(range(gateways))
    while at < seconds - scale:
        kind = dice.choices(KINDS, (4, 4, 2, 3, 3, 2, 2, 2, 1))[0]
        whom = HOLDER if dice.random() < 0.6 else dice.choice(voters)
        other = dice.choice([-1, *range(gateways)])
        size = {
            "lose": dice.uniform(0.1, 0.7),
            "delay": dice.uniform(0.01, 0.6) * scale,
            "double": dice.uniform(0.1, 1.0),
        }.get(kind, 0.0)
        found.append(Trouble(round(at, 3), kind, whom, other, round(dice.uniform(0.1, 2.0) * scale, 3), round(size, 3)))
        at += dice.expovariate(1 / scale) * dice.choice((0.3, 1.0, 2.0))  # some overlap
    return found


def write(path: Path, troubles: Iterable[Trouble], **more: object) -> None:
    path.write_text(json.dumps(more | {"troubles": [asdict(trouble) for trouble in troubles]}, indent=1) + "\n")


def read(path: Path) -> tuple[list[Trouble], dict[str, object]]:
    told = json.loads(path.read_text())
    return [Trouble(**trouble) for trouble in told.pop("troubles")], told
