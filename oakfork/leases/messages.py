"""Messages between voters, contenders and the resources that holders act upon; `fleet.codec` packs them.

Messages are packed as arrays: the order, types and tags of their fields are the wire format. Every message names its
task by the task's index, and a contender by its gateway and its life: a random number drawn at each start, so that an
answer to an earlier life is ignored.
"""

from typing import Annotated

import msgspec

UInt16 = Annotated[int, msgspec.Meta(ge=0, le=0xFFFF)]
UInt63 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Time = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]  # tenths of a millisecond; three years


class Message(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The base of all messages of a fleet; `tag` distinguishes them in a frame."""


class Ask(Message, tag=1):
    """A contender asks a voter for its vote in a term, or to extend that vote."""

    task: UInt16
    gateway: UInt16  # the contender
    life: UInt63  # of the contender
    term: UInt63
    round: UInt63
    length: Time  # of the lease


class Grant(Message, tag=2):
    """A voter gives its vote to the contender that asked in this round."""

    task: UInt16
    voter: UInt16
    life: UInt63  # of the contender
    term: UInt63
    round: UInt63


class Refusal(Message, tag=3):
    """A voter does not give its vote."""

    task: UInt16
    voter: UInt16
    life: UInt63  # of the contender
    round: UInt63
    highest_term: UInt63  # that the voter knows of
    wait: Time  # until the voter could give its vote; 0: at once, for a higher term


class Release(Message, tag=4):
    """The contender will not act in that term any more, and gives the vote back."""

    task: UInt16
    gateway: UInt16
    life: UInt63
    term: UInt63


class VoteFreed(Message, tag=5):
    """A hint to the contender that was refused last: the vote is free."""

    task: UInt16
    voter: UInt16


class ClockRequest(Message, tag=6):
    """A holder asks a resource for the time on its clock."""

    task: UInt16
    gateway: UInt16
    nonce: UInt63


class ClockReply(Message, tag=7):
    """A resource's life and the time on its clock when it answered."""

    task: UInt16
    nonce: UInt63
    life: UInt63  # of the resource
    clock: UInt63


class ActRequest(Message, tag=8):
    """An act upon a fenced resource: it has its effect before `end` on the resource's clock, or never."""

    task: UInt16
    gateway: UInt16
    life: UInt63  # of the resource
    holder: UInt63  # the holder's life
    term: UInt63
    end: Time
    number: UInt63


class ActReply(Message, tag=9):
    """What the fence decided on an act."""

    task: UInt16
    number: UInt63  # of the act
    verdict: UInt16  # the position of the member of `fence.Verdict`
    highest_term: UInt63  # of an act that the fence has accepted
    life: UInt63  # of the resource
    clock: UInt63
