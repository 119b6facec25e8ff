"""What the machines of this package are told (events) and what they want done (commands). Types only.

A machine has `handle(now, event) -> list[Command]`, `now` in whole milliseconds of a steady clock. It does no I/O. Who
drives it (runner.py; a simulated network in the tests) does the commands in their order and brings their outcomes back
as events.

Links are numbered: those that a machine opens are below 0 and numbered by the machine (`Connect`), those that come in
are above 0 and numbered by who drives it. No number is used twice in a machine's life. Frames of links above 0 are
read with `unpack_up`, of links below 0 with `unpack_down`.
"""

from typing import Mapping, NamedTuple

from oakfork.control.messages import Kind, Message, Position, Row

Key = tuple[Kind, str]
Changes = Mapping[Key, bytes | None]  # the value of each record afterwards; None: gone

UNKNOWN = (1 << 62) - 1  # as Beat.age: the sender has never heard of the publisher


# Events


class Connected(NamedTuple):
    """The link is there: one that was asked for, or one that came in."""

    link: int


class Lost(NamedTuple):
    """The link has ended, or could not be made. Not told of links that the machine closed itself."""

    link: int


class Heard(NamedTuple):
    """A frame; None: one that was not whole, not ours, of the other direction, or too long."""

    link: int
    message: Message | None


class TimeCame(NamedTuple):
    """The time of the last `Wake`. Sooner or twice does no harm."""


class Step(NamedTuple):
    """After a `More`, when others have had a turn."""


class Stored(NamedTuple):
    """The publisher's store has committed what `Keep` of that number said: a crash from here on doesn't lose it."""

    number: int


class NotStored(NamedTuple):
    """The store could not, and holds nothing of it (rolled back)."""

    number: int
    reason: str


class Unkept(NamedTuple):
    """What `Keep` of that number had committed is not in the store any more: a restart doesn't bring it back."""

    number: int


class NotUnkept(NamedTuple):
    """The store could not: it may be there, and in force after a restart."""

    number: int
    reason: str


class Left(NamedTuple):
    """The process is about to end: says goodbye and opens nothing more."""


Event = Connected | Lost | Heard | TimeCame | Step | Stored | NotStored | Unkept | NotUnkept | Left


# Commands


class Connect(NamedTuple):
    """Open a link; answered by `Connected` or `Lost`."""

    place: str
    link: int


class Close(NamedTuple):
    """After what has been said on it. No event of this link is told from here on; one that is has no effect."""

    link: int
    reason: str


class Say(NamedTuple):
    """Send a frame: a body; its length is the connection's to add."""

    link: int
    frame: bytes


class Wake(NamedTuple):
    """`TimeCame` at that time (as `now`), in place of any told before."""

    at: int


class More(NamedTuple):
    """There is work left: one `Step`, when others have had a turn. Said once until that `Step` comes."""


class InForce(NamedTuple):
    """The state of `position` is in force: from `before` (which may be of another lineage) exactly these records
    changed."""

    before: Position
    position: Position
    changes: Changes


class Keep(NamedTuple):
    """Commit durably, all or nothing: a change set's id, its rows, and the digest of the state with them, which gets
    that position. Then `Stored(position.number)`, or `NotStored`. One is out at a time."""

    position: Position
    id: str
    rows: tuple[Row, ...]
    digest: int


class Unkeep(NamedTuple):
    """Take back, durably, what was kept last at that position. Then `Unkept(position.number)`, or `NotUnkept`."""

    position: Position


class Note(NamedTuple):
    """To be counted by its reason (a fixed set of words) and logged, with what it was about."""

    reason: str
    about: str = ""


Command = Connect | Close | Say | Wake | More | InForce | Keep | Unkeep | Note
