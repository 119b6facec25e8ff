"""What publisher, relays and followers say to each other, and the records that changes are made of. Types only.

A *position* is (term, number): terms tell publishers apart, numbers count the change sets in force. Positions are
compared as pairs; what one says of an older term has no effect.
"""

from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec

VERSION = 3  # 2: a Beat tells its way; 3: relays recall what they have not seen themselves
RANGES = 256  # parts of the state by the hash of a record's key; each has a digest of its own
LARGEST_FRAME = 256 * 1024  # bytes of one frame
MOST_ROWS = 4096  # of one frame
LONGEST_NAME = 128  # bytes
BEAT = 2_000  # milliseconds from one Beat to the next, on every connection

MOST_WAY = 16  # names of a Beat's way; relays that follow one another in a chain are fewer

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=LONGEST_NAME)]
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62) - 1)]
Way = Annotated[tuple[Name, ...], msgspec.Meta(max_length=MOST_WAY)]
Digest = Annotated[int, msgspec.Meta(ge=0)]  # 64 bits, more than which msgpack has no room for
Small = Annotated[int, msgspec.Meta(ge=0, le=0xFFFF)]
Value = Annotated[bytes, msgspec.Meta(max_length=4096)]


class Kind(IntEnum):
    """Of records."""

    SERVICE = 0
    SERVER = 1
    ROUTE = 2
    TENANT = 3

    __hash__ = int.__hash__  # an Enum's own is of its name and costs a call; records are looked up by kind and name


class Position(NamedTuple):
    term: Number = 0
    number: Number = 0


EMPTY = Position()  # of no term: where there is no record yet


class Row(NamedTuple):
    """One record put (its packed value), or taken away (None)."""

    kind: Kind
    name: Name
    value: Value | None


class Message(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The base of all; `tag` tells the kinds apart in a frame."""


# Up: from who follows to whom it follows


class Hello(Message, tag=1):
    """The first on a connection: who follows, and what it has."""

    version: Small
    who: Name
    relay: bool  # it serves others, and will report on them
    position: Position
    digest: Digest


class Ack(Message, tag=2):
    """What the sender has in force now: asks for what is beyond it, one frame at a time."""

    position: Position
    digest: Digest


class Want(Message, tag=3):
    """The ranges whose digests differ from those in Digests; none: they all agree."""

    ranges: Annotated[tuple[Annotated[int, msgspec.Meta(ge=0, lt=RANGES)], ...], msgspec.Meta(max_length=RANGES)]


class Behind(NamedTuple):
    who: Name
    position: Position
    since: Number  # milliseconds that it has not been up to date


class Report(Message, tag=4):
    """From a relay, of all below it: who came and who went since its last report, the lowest position in force among
    those that are connected, and who is behind the position that the relay has itself (the worst first, 32 at most)."""

    came: Annotated[tuple[Name, ...], msgspec.Meta(max_length=1024)]
    went: Annotated[tuple[Name, ...], msgspec.Meta(max_length=1024)]
    lowest: Position
    behind: Annotated[tuple[Behind, ...], msgspec.Meta(max_length=32)]
    others_behind: Number  # beyond those named


class Recall(Message, tag=5):
    """From a relay: what changed before a position, the oldest that it can tell from. At any time, by its side of the
    turns; one Past comes for each."""

    before: Position


# Down


class Welcome(Message, tag=16):
    version: Small
    who: Name
    position: Position  # of the sender


class Delta(Message, tag=17):
    """All changes between two positions, the last value of each record only: in force whole or not at all."""

    after: Position
    position: Position
    digest: Digest  # of the state at `position`
    rows: Annotated[tuple[Row, ...], msgspec.Meta(max_length=MOST_ROWS)]
    more: bool  # the rows go on in the next frame, which has the same positions; in force with the last


class Digests(Message, tag=18):
    """Where the sender can't tell what lies between: the digest of each range at a position; the ranges asked for and
    a Delta after that position follow."""

    position: Position
    sums: Annotated[tuple[Digest, ...], msgspec.Meta(min_length=RANGES, max_length=RANGES)]


class Range(Message, tag=19):
    """The records of one range, as they are at the sender now; what else the receiver has in it is gone."""

    range: Annotated[int, msgspec.Meta(ge=0, lt=RANGES)]
    rows: Annotated[tuple[Row, ...], msgspec.Meta(max_length=MOST_ROWS)]
    more: bool  # of this range, in the next frame


class Beat(Message, tag=20):
    """Nothing new: the sender lives, and heard from the publisher so many milliseconds ago. `way`: itself, whom it
    follows, and so on upward, as far as it knows and as many as there is room for; told to relays alone."""

    position: Position
    age: Number
    way: Way = ()


class Goodbye(Message, tag=21):
    """The sender ends the connection, and why: "older term", "version", "full", "leaving", "malformed"."""

    reason: Annotated[str, msgspec.Meta(max_length=64)]
    position: Position


class Before(NamedTuple):
    """A position, and whose records changed from there to the next one; their values are those now in force."""

    position: Position
    digest: Digest | None  # of the state there, where it is known
    keys: Annotated[tuple[tuple[Kind, Name], ...], msgspec.Meta(max_length=MOST_ROWS)]


class Past(Message, tag=22):
    """What led to a position, the latest step first; none: nothing older is known."""

    before: Position
    steps: Annotated[tuple[Before, ...], msgspec.Meta(max_length=1024)]


# Operators and the publisher, on the same port


class Submit(Message, tag=32):
    """A change set, JSON of docs/control.md. Sent again under the same id it is in force once, and answered alike."""

    id: Name
    change: Annotated[bytes, msgspec.Meta(max_length=LARGEST_FRAME - 1024)]


class Verdict(Message, tag=33):
    """In force whole and durable at a position, or refused whole, each fault by its path."""

    id: Name
    position: Position | None
    faults: Annotated[tuple[str, ...], msgspec.Meta(max_length=64)]


class Ask(Message, tag=34):
    """For the status."""


class Status(Message, tag=35):
    """JSON of docs/control.md."""

    told: bytes


Up = Hello | Ack | Want | Report | Recall | Submit | Ask
Down = Welcome | Delta | Digests | Range | Beat | Goodbye | Past | Verdict | Status

_encoder = msgspec.msgpack.Encoder()
_up, _down = msgspec.msgpack.Decoder(Up), msgspec.msgpack.Decoder(Down)


def pack(message: Message) -> bytes:
    """The frame's body; the four bytes of its length are the connection's."""
    return _encoder.encode(message)


def unpack_up(data: bytes) -> Up | None:
    """What one who follows says; None where it is not whole, not ours or too long."""
    return _unpacked(_up, data)


def unpack_down(data: bytes) -> Down | None:
    return _unpacked(_down, data)


def _unpacked(decoder: msgspec.msgpack.Decoder, data: bytes):
    if len(data) > LARGEST_FRAME:
        return None
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError):
        return None
