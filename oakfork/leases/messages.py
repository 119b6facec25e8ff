"""What voters, contenders and what is acted upon say to each other. Types only; packing is fleet/codec.py's.

Every message names its task by its number in the fleet file, and a contender by its gateway and its life: a number
drawn anew at each start, so that an answer to an earlier life is nobody's.
"""

from typing import Annotated

import msgspec

Small = Annotated[int, msgspec.Meta(ge=0, le=0xFFFF)]
Time = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]  # tenths of a millisecond; three years
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class Message(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The base of all; `tag` tells the kinds apart in a frame."""


class Ask(Message, tag=1):
    """A contender wants the voter's vote for a term, or has it longer."""

    task: Small
    gateway: Small
    life: Number
    term: Number
    round: Number
    length: Time


class Grant(Message, tag=2):
    task: Small
    voter: Small
    life: Number  # of the contender
    term: Number
    round: Number


class Refusal(Message, tag=3):
    task: Small
    voter: Small
    life: Number
    round: Number
    highest: Number  # term that the voter knows of
    wait: Time  # until it could vote otherwise; 0: at once, for a higher term


class Release(Message, tag=4):
    """The contender will not act in that term any more."""

    task: Small
    gateway: Small
    life: Number
    term: Number


class VoteFreed(Message, tag=5):
    """A hint to the contender that was refused last: the vote is free."""

    task: Small
    voter: Small


class ClockRequest(Message, tag=6):
    """A holder asks what it acts upon for its clock."""

    task: Small
    gateway: Small
    nonce: Number


class ClockReply(Message, tag=7):
    task: Small
    nonce: Number
    life: Number  # of what is acted upon
    clock: Number  # its clock when it answered


class ActRequest(Message, tag=8):
    """An act upon what has a guard: it has its effect before its end on the guard's clock, or never."""

    task: Small
    gateway: Small
    life: Number  # of what is acted upon
    holder: Number  # the holder's life
    term: Number
    end: Time
    number: Number


class ActReply(Message, tag=9):
    task: Small
    number: Number
    verdict: Small
    highest: Number  # term that the guard has seen
    life: Number
    clock: Number
