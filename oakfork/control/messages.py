"""Messages between publisher, relays and followers, and the records that changes consist of. Types only.

A *position* is (term, number): terms distinguish publishers, numbers count the change sets in force. Positions compare
as pairs. Messages of an older term have no effect.
"""

from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec

VERSION = 3  # 2 added the path to heartbeats; 3 lets relays request history that they haven't seen themselves
RANGES = 256  # parts of the state by the hash of a record's key; each has its own digest
LARGEST_FRAME = 256 * 1024  # bytes in one frame
MOST_ROWS = 4096  # in one frame
MAX_NAME_BYTES = 128
HEARTBEAT_INTERVAL = 2_000  # milliseconds between heartbeats on each connection
MAX_PATH_NAMES = 16  # in a heartbeat's path; chains of relays are shorter
MAX_VALUE_BYTES = 4096  # of a packed record
MAX_REPORT_NAMES = 1024  # connected, and disconnected, in one report
MAX_REPORT_LAGGING = 32  # lagging followers named in one report
MAX_HISTORY_STEPS = 1024  # in one history reply
MAX_FAULTS = 64  # in one submit result
MAX_REASON_LENGTH = 64  # characters of a goodbye's reason
SUBMIT_OVERHEAD = 1024  # bytes of a frame left for everything in a Submit but the change file

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_BYTES)]
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62) - 1)]
RelayPath = Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_PATH_NAMES)]
Digest = Annotated[int, msgspec.Meta(ge=0)]  # 64 bits, the most that msgpack can hold
Small = Annotated[int, msgspec.Meta(ge=0, le=0xFFFF)]
Value = Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
RangeNumber = Annotated[int, msgspec.Meta(ge=0, lt=RANGES)]


class Kind(IntEnum):
    """The kind of a record."""

    SERVICE = 0
    SERVER = 1
    ROUTE = 2
    TENANT = 3

    # Enum's own hash is computed from the name and costs a call; records are looked up by kind and name.
    __hash__ = int.__hash__


class Position(NamedTuple):
    """Identifies a state: the publisher's term and the number of change sets in force."""

    term: Number = 0
    number: Number = 0


EMPTY = Position()  # the position of an empty state, before any term


class Row(NamedTuple):
    """One record that is put (its packed value) or removed (None)."""

    kind: Kind
    name: Name
    value: Value | None


class Message(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The base class of all messages; `tag` identifies the type in a frame."""


# Upstream: from a follower to the process that it follows


class Hello(Message, tag=1):
    """The first message on a connection: who follows, and the state that it has."""

    version: Small
    name: Name
    relay: bool  # the follower serves others and will report on them
    position: Position
    digest: Digest


class Ack(Message, tag=2):
    """The position now in force at the sender. Requests what follows it, one frame at a time."""

    position: Position
    digest: Digest


class RangeRequest(Message, tag=3):
    """The ranges whose digests differ from those in Digests; empty if all agree."""

    ranges: Annotated[tuple[RangeNumber, ...], msgspec.Meta(max_length=RANGES)]


class LaggingFollower(NamedTuple):
    """A follower that is behind, and for how many milliseconds it has not been up to date."""

    name: Name
    position: Position
    behind_ms: Number


class Report(Message, tag=4):
    """A relay's report on all followers below it: who connected (`came`) and disconnected (`went`) since the last
    report, the lowest position in force among those connected, and who is behind the relay's own position (furthest
    behind first, MAX_REPORT_LAGGING at most)."""

    came: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_REPORT_NAMES)]
    went: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_REPORT_NAMES)]
    lowest: Position
    behind: Annotated[tuple[LaggingFollower, ...], msgspec.Meta(max_length=MAX_REPORT_LAGGING)]
    others_behind: Number  # lagging followers that are not named


class HistoryRequest(Message, tag=5):
    """A relay requests the changes before a position, the oldest that it can serve from. It may be sent at any time,
    independently of Hello, Ack and RangeRequest; each gets one HistoryReply."""

    before: Position


# Downstream


class Welcome(Message, tag=16):
    """The answer to Hello, with the sender's position."""

    version: Small
    name: Name
    position: Position


class Delta(Message, tag=17):
    """All changes between two positions, with only the last value of each record. Applied whole or not at all."""

    after: Position
    position: Position
    digest: Digest  # of the state at `position`
    rows: Annotated[tuple[Row, ...], msgspec.Meta(max_length=MOST_ROWS)]
    more: bool  # the rows continue in the next frame, which has the same positions; applied with the last one


class Digests(Message, tag=18):
    """Sent if the sender doesn't know the changes between the two positions: the digest of each range at `position`.
    The ranges that the follower requests and a Delta after that position come next."""

    position: Position
    sums: Annotated[tuple[Digest, ...], msgspec.Meta(min_length=RANGES, max_length=RANGES)]


class Range(Message, tag=19):
    """All records of one range as the sender has them now; the receiver removes any others in that range."""

    range: RangeNumber
    rows: Annotated[tuple[Row, ...], msgspec.Meta(max_length=MOST_ROWS)]
    more: bool  # this range continues in the next frame


class Heartbeat(Message, tag=20):
    """The sender is alive and heard from the publisher `age` milliseconds ago. `path` names the sender, the process
    that it follows and so on upstream, as far as known and up to MAX_PATH_NAMES; only relays receive it."""

    position: Position
    age: Number
    path: RelayPath = ()


class Goodbye(Message, tag=21):
    """The sender ends the connection. Reasons: "older term", "claiming", "version", "full", "leaving",
    "malformed"."""

    reason: Annotated[str, msgspec.Meta(max_length=MAX_REASON_LENGTH)]
    position: Position


class HistoryStep(NamedTuple):
    """A position and the keys of the records that changed from there to the next one; their values are those now in
    force."""

    position: Position
    digest: Digest | None  # of the state there, if known
    keys: Annotated[tuple[tuple[Kind, Name], ...], msgspec.Meta(max_length=MOST_ROWS)]


class HistoryReply(Message, tag=22):
    """The steps that led to a position, latest first; empty if nothing older is known."""

    before: Position
    steps: Annotated[tuple[HistoryStep, ...], msgspec.Meta(max_length=MAX_HISTORY_STEPS)]


# Between operators and the publisher, on the same port


class Submit(Message, tag=32):
    """A change set, as JSON (docs/control.md). Submitting the same id again has no second effect and gets the same
    answer."""

    id: Name
    change: Annotated[bytes, msgspec.Meta(max_length=LARGEST_FRAME - SUBMIT_OVERHEAD)]


class SubmitResult(Message, tag=33):
    """The change set is in force and durable at a position, or refused as a whole with each fault by its path."""

    id: Name
    position: Position | None
    faults: Annotated[tuple[str, ...], msgspec.Meta(max_length=MAX_FAULTS)]


class StatusRequest(Message, tag=34):
    """Requests the status."""


class Status(Message, tag=35):
    """The status, as JSON (docs/control.md)."""

    document: bytes


# Between a publisher and the relays that vote, on connections that the publisher opens to the same port


class GrantRequest(Message, tag=48):
    """A publisher asks a voter to grant it a term: to grant and record nothing of an older one any more.

    `mark` is a random number of the publisher's start. `by_operator`: an operator's word stands in for the memory that
    the voter of that incarnation has lost, or never had.
    """

    term: Number
    mark: Number
    incarnation: Number  # 0 if it is not known yet
    round: Number
    by_operator: bool


class RecordRequest(Message, tag=49):
    """A publisher has a position recorded by a voter of that incarnation, which has granted the term.

    `round` comes back in the report. `readmits`: the voter's memory was lost, and a majority of the others has
    confirmed the term since; it may count again from this position on.
    """

    term: Number
    mark: Number
    incarnation: Number
    position: Position
    round: Number
    readmits: bool


class VoterReport(Message, tag=50):
    """What a voter has on its disk once a request is handled; the answer to both requests.

    `round` is that of the request, if the term of that is granted to the one who asked; 0 otherwise.
    """

    incarnation: Number  # grows with each new file
    has_memory: bool  # false: its file is new, so the voter may have forgotten what it granted and recorded
    term: Number  # that it granted last
    mark: Number  # of the publisher that it granted it to
    recorded: Position
    round: Number


Up = Hello | Ack | RangeRequest | Report | HistoryRequest | Submit | StatusRequest | GrantRequest | RecordRequest
Down = Welcome | Delta | Digests | Range | Heartbeat | Goodbye | HistoryReply | SubmitResult | Status | VoterReport

_encoder = msgspec.msgpack.Encoder()
_up_decoder = msgspec.msgpack.Decoder(Up)
_down_decoder = msgspec.msgpack.Decoder(Down)


def pack(message: Message) -> bytes:
    """Encodes a message as a frame's body; the connection adds the four bytes of length."""
    return _encoder.encode(message)


def unpack_up(data: bytes) -> Up | None:
    """Decodes a message from a follower; None if it is malformed, of another type or over LARGEST_FRAME bytes."""
    return _unpack(_up_decoder, data)


def unpack_down(data: bytes) -> Down | None:
    """Decodes a message to a follower; None if it is malformed, of another type or over LARGEST_FRAME bytes."""
    return _unpack(_down_decoder, data)


def _unpack(decoder: msgspec.msgpack.Decoder, data: bytes):
    if len(data) > LARGEST_FRAME:
        return None
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError):
        return None
