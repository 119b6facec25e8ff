"""The guard at what is acted upon, and the holder's knowledge of its clock. Pure.

An act carries its term, the life of what it acts upon, and an end on that one's clock. So an act that was delayed
for any time, by the network or by a process that stood still, has no effect after its lease; and one of an older
term has none after a newer one was seen.
"""

from enum import Enum
from typing import NamedTuple

from oakfork.leases.durations import LeaseDurations
from oakfork.leases.messages import ClockReply, ClockRequest


class Verdict(Enum):
    TAKEN = "taken"
    LATE = "late"  # its end has passed
    OLDER = "of an older term"
    STRANGE = "meant for another life"


class Fence(NamedTuple):
    life: int
    highest: int = 0


def check_act(fence: Fence, now: int, life: int, term: int, end: int) -> tuple[Fence, Verdict]:
    """Whether an act has its effect. `end` is on this clock."""
    if life != fence.life:
        return fence, Verdict.STRANGE
    if now >= end:
        return fence, Verdict.LATE
    if term < fence.highest:
        return fence, Verdict.OLDER
    return fence._replace(highest=term), Verdict.TAKEN


def clock_reply(fence: Fence, now: int, hello: ClockRequest) -> ClockReply:
    return ClockReply(hello.task, hello.nonce, fence.life, now)


class ClockView(NamedTuple):
    """What a holder knows of the clock of what it acts upon."""

    life: int
    clock: int  # there, not later than
    at: int  # here


def end_on_their_clock(view: ClockView, end: int, durations: LeaseDurations) -> int:
    """An end on the other's clock that comes no later than `end` does here, whatever the rates."""
    return view.clock + durations.shrunk(end - view.at) if end > view.at else 0
