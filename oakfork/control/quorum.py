"""What a majority of voters has recorded, by the answers of some of them. Pure."""

from typing import Iterable

from oakfork.control.messages import EMPTY, Position


def majority(voters: int) -> int:
    """How many of so many voters are more than half."""
    return voters // 2 + 1


def surely_recorded(answers: Iterable[Position], voters: int) -> Position:
    """The latest position that a majority has recorded; EMPTY if too few answer to tell.

    `answers` are the positions that different voters have recorded; who has recorded one has all that came before it.
    """
    latest_first = sorted(answers, reverse=True)
    least = majority(voters)
    return latest_first[least - 1] if len(latest_first) >= least else EMPTY


def possibly_recorded(answers: Iterable[Position], voters: int) -> Position | None:
    """The latest position that a majority may have recorded, if those that do not answer have all; None: any."""
    latest_first = sorted(answers, reverse=True)
    least = majority(voters) - (voters - len(latest_first))
    return latest_first[least - 1] if least > 0 else None
