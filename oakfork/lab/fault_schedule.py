"""Schedules of faults for drills on real processes: drawn from a seed, stored as a record, and replayed from either."""

import json
import random
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Iterable, Sequence

KINDS = ("kill", "stop", "leave", "cut", "cut one way", "lose", "delay", "double", "witness restarts")
KIND_WEIGHTS = (4, 4, 2, 3, 3, 2, 2, 2, 1)
HOLDER = -1  # placeholder gateway number: the current lease holder
ALL_OTHERS = -1  # placeholder for the other side of a cut: all other gateways
FIRST_FAULT = 0.2  # seconds from the start of the drill


@dataclass(frozen=True, slots=True)
class Trouble:
    """One fault. Times are seconds."""

    at: float  # from the start of the drill
    kind: str
    whom: int  # a gateway, or HOLDER
    other: int  # the other side of a cut, or ALL_OTHERS
    lasts: float  # until the fault is undone
    size: float  # fraction lost, mean delay in seconds, or fraction doubled


def draw(seed: int, gateways: int, seconds: float, scale: float, voters: Sequence[int] = ()) -> list[Trouble]:
    """Draws single and overlapping faults for a drill of `seconds` seconds.

    `scale` is the duration of a lease in seconds: faults last between a tenth of it and twice as long. Faults that are
    not at the holder are at one of `voters`, by default any gateway.
    """
    rng = random.Random(seed)
    troubles: list[Trouble] = []
    at = FIRST_FAULT
    voters = list(voters) or list(range(gateways))
    while at < seconds - scale:
        troubles.append(_draw_one(rng, at, gateways, scale, voters))
        at += rng.expovariate(1 / scale) * rng.choice((0.3, 1.0, 2.0))  # some overlap
    return troubles


def _draw_one(rng: random.Random, at: float, gateways: int, scale: float, voters: Sequence[int]) -> Trouble:
    kind = rng.choices(KINDS, KIND_WEIGHTS)[0]
    whom = HOLDER if rng.random() < 0.6 else rng.choice(voters)
    other = rng.choice([ALL_OTHERS, *range(gateways)])
    # All three are drawn whatever the kind, so that the draws after them do not depend on it.
    sizes = {
        "lose": rng.uniform(0.1, 0.7),
        "delay": rng.uniform(0.01, 0.6) * scale,
        "double": rng.uniform(0.1, 1.0),
    }
    size = sizes.get(kind, 0.0)
    lasts = rng.uniform(0.1, 2.0) * scale
    return Trouble(round(at, 3), kind, whom, other, round(lasts, 3), round(size, 3))


def write(path: Path, troubles: Iterable[Trouble], **record: object) -> None:
    """Writes a schedule as JSON, with what else belongs to the record of its drill."""
    document = record | {"troubles": [asdict(trouble) for trouble in troubles]}
    path.write_text(json.dumps(document, indent=1) + "\n")


def read(path: Path) -> tuple[list[Trouble], dict[str, object]]:
    """The schedule of a record, and the rest of the record."""
    record = json.loads(path.read_text())
    troubles = [Trouble(**trouble) for trouble in record.pop("troubles")]
    return troubles, record
