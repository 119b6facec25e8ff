"""The fence of a resource that holders act upon, and what a holder knows of that resource's clock. Pure.

An act carries its term, the life of the resource it is meant for, and an end on the resource's clock. So an act that
was delayed for any time, by the network or by a stopped process, has no effect after its lease; and an act of an older
term has none after one of a newer term was accepted.
"""

from enum import Enum
from typing import NamedTuple

from oakfork.leases.durations import LeaseDurations
from oakfork.leases.messages import ClockReply, ClockRequest


class Verdict(Enum):
    """Whether a fence accepts an act. Replies carry the position of the member; the values are log keys."""

    TAKEN = "taken"
    EXPIRED = "late"  # its end has passed
    OLDER_TERM = "of an older term"
    OTHER_LIFE = "meant for another life"  # the resource has restarted since the holder asked for its clock


class Fence(NamedTuple):
    """The state that a resource keeps to check acts."""

    life: int  # a random number drawn when the resource starts
    highest: int = 0  # term of an act that was accepted


def check_act(fence: Fence, now: int, life: int, term: int, end: int) -> tuple[Fence, Verdict]:
    """Decides whether an act has its effect. `now` and `end` are on the resource's clock."""
    if life != fence.life:
        return fence, Verdict.OTHER_LIFE
    if now >= end:
        return fence, Verdict.EXPIRED
    if term < fence.highest:
        return fence, Verdict.OLDER_TERM
    return fence._replace(highest=term), Verdict.TAKEN


def clock_reply(fence: Fence, now: int, request: ClockRequest) -> ClockReply:
    """The resource's answer to a holder that asks for its clock."""
    return ClockReply(request.task, request.nonce, fence.life, now)


class ClockView(NamedTuple):
    """What a holder knows of a resource's clock from its last reply."""

    life: int  # of the resource
    their_time: int  # on the resource's clock, when it answered; no later than that clock at `our_time`
    our_time: int  # on the holder's clock, when the reply arrived


def end_on_their_clock(view: ClockView, end: int, durations: LeaseDurations) -> int:
    """A time on the resource's clock that comes no later than `end` does on the holder's, whatever the rates."""
    if end <= view.our_time:
        return 0
    return view.their_time + durations.lower_bound(end - view.our_time)
