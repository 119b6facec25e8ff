"""Events that the state machines of this package receive, and commands that they return. Types only.

A machine has `handle(now, event) -> list[Command]`, with `now` in whole milliseconds of a steady clock. It does no I/O.
Its driver (engine.py, or a simulated network in the tests) executes the commands in order and reports their outcomes
as events.

Links are connections identified by number. The machine numbers those that it opens (`Connect`) with negative numbers;
the driver numbers incoming ones with positive numbers. No number is used twice in a machine's lifetime. Frames of
incoming links are decoded with `unpack_up`, frames of links that the machine opened with `unpack_down`.
"""

from typing import Mapping, NamedTuple

from oakfork.control.messages import EMPTY, Kind, Message, Position, Row

Key = tuple[Kind, str]
Changes = Mapping[Key, bytes | None]  # the new value of each changed record; None: the record is removed

AGE_UNKNOWN = (1 << 62) - 1  # as Heartbeat.age: the sender has never heard of the publisher


class VoterState(NamedTuple):
    """What a voter keeps on its disk."""

    incarnation: int  # of its file; higher than those of the files before
    term: int = 0  # granted last
    mark: int = 0  # of the publisher to which it was granted
    recorded: Position = EMPTY
    has_memory: bool = False  # false until publishers may rely on this voter to remember


# Events


class Connected(NamedTuple):
    """A link is established, either a requested one or an incoming one."""

    link: int


class Disconnected(NamedTuple):
    """A link has ended or could not be established. Not reported for links that the machine itself closed."""

    link: int


class FrameReceived(NamedTuple):
    """A frame arrived; `message` is None if it is malformed, too long or of the other direction."""

    link: int
    message: Message | None


class TimerFired(NamedTuple):
    """The time of the last `SetTimer` has come. Early and repeated events do no harm."""


class Step(NamedTuple):
    """Follows a `ScheduleStep` after other tasks have run."""


class Stored(NamedTuple):
    """The `StoreChangeSet` with that position number is committed: a crash from here on doesn't lose it."""

    number: int


class StoreFailed(NamedTuple):
    """The `StoreChangeSet` with that position number failed and was rolled back completely."""

    number: int
    reason: str


class Reverted(NamedTuple):
    """The change set with that position number is durably removed: a restart doesn't bring it back."""

    number: int


class RevertFailed(NamedTuple):
    """Removing a stored change set failed: it may still be stored, and in force after a restart."""

    number: int
    reason: str


class TermBegun(NamedTuple):
    """The term that `BeginTerm` asked for is begun, and durable."""

    term: int


class TermFailed(NamedTuple):
    """`BeginTerm` failed."""

    reason: str


class VoteStored(NamedTuple):
    """The last `StoreVote` is durable."""


class VoteFailed(NamedTuple):
    """The last `StoreVote` failed."""

    reason: str


class ShuttingDown(NamedTuple):
    """The process is about to end: the machine says goodbye and opens no more links."""


Event = (
    Connected
    | Disconnected
    | FrameReceived
    | TimerFired
    | Step
    | Stored
    | StoreFailed
    | Reverted
    | RevertFailed
    | TermBegun
    | TermFailed
    | VoteStored
    | VoteFailed
    | ShuttingDown
)


# Commands


class Connect(NamedTuple):
    """Open a link to HOST:PORT; answered by `Connected` or `Disconnected`."""

    address: str
    link: int


class Close(NamedTuple):
    """Close a link after sending what is queued on it. Later events of this link have no effect."""

    link: int
    reason: str


class SendFrame(NamedTuple):
    """Send a frame. `frame` is its body; the connection adds the length."""

    link: int
    frame: bytes


class SetTimer(NamedTuple):
    """Deliver `TimerFired` at that time (on the clock of `now`), replacing any earlier timer."""

    at: int


class ScheduleStep(NamedTuple):
    """Work is left: deliver one `Step` after other tasks have run. Not repeated until that `Step` comes."""


class InForce(NamedTuple):
    """The state of `position` is in force: exactly these records differ from the state at `before`, which may belong to
    another lineage."""

    before: Position
    position: Position
    changes: Changes


class StoreChangeSet(NamedTuple):
    """Commit a change set durably, all or nothing: its id, its rows and the digest of the resulting state, at
    `position`. Answered by `Stored` or `StoreFailed` with the position's number. One is outstanding at a time."""

    position: Position
    id: str
    rows: tuple[Row, ...]
    digest: int


class RevertChangeSet(NamedTuple):
    """Durably remove the change set stored last, at that position. Answered by `Reverted` or `RevertFailed`."""

    position: Position


class BeginTerm(NamedTuple):
    """Durably begin a term: above `above` and all terms of the database, and `beyond` further. Answered by `TermBegun`
    or `TermFailed`."""

    above: int
    beyond: int


class StoreVote(NamedTuple):
    """Durably replace what the voter keeps. Answered by `VoteStored` or `VoteFailed`. One is outstanding at a time."""

    state: VoterState


class CountEvent(NamedTuple):
    """Count an occurrence by its reason (one of a fixed set) and log it with what it concerns."""

    reason: str
    about: str = ""


Command = (
    Connect
    | Close
    | SendFrame
    | SetTimer
    | ScheduleStep
    | InForce
    | StoreChangeSet
    | RevertChangeSet
    | BeginTerm
    | StoreVote
    | CountEvent
)
