"""Every way in which a connection can end, and what each means to the module."""

from enum import Enum, auto

from oakfork.interface import Status


class Ending(Enum):
    """How the use of a connection for one exchange ended."""

    ANSWERED = auto()  # 200, whole
    ERROR = auto()  # another answer, whole
    TURNED_AWAY = auto()  # 503 or 504 with the mark that it never ran
    NO_ROOM = auto()  # no descriptor left for one more connection
    REFUSED = auto()  # the connection was refused
    NEVER_UP = auto()  # the connection did not come up in time
    UNSENT = auto()  # it broke before the last byte was written
    BROKEN = auto()  # it broke after that, before the whole answer
    ENDED = auto()  # the other side ended it after that
    MALFORMED = auto()  # what came is not HTTP
    OVERSIZED = auto()  # what came is larger than the protocol allows
    STALLED = auto()  # the answer began and did not go on
    SILENT = auto()  # nothing came in time
    GIVEN_UP = auto()  # this side gave it up
    TOO_LATE = auto()  # what was decided did not hold any more before anything was written


STATUS = {
    Ending.ANSWERED: Status.OK,
    Ending.ERROR: Status.ERROR,
    Ending.TURNED_AWAY: Status.FULL,
    Ending.NO_ROOM: Status.CONNECT_FAILED,
    Ending.REFUSED: Status.CONNECT_FAILED,
    Ending.NEVER_UP: Status.CONNECT_FAILED,
    Ending.UNSENT: Status.CONNECT_FAILED,
    Ending.BROKEN: Status.RESET,
    Ending.ENDED: Status.RESET,
    Ending.MALFORMED: Status.RESET,
    Ending.OVERSIZED: Status.RESET,
    Ending.STALLED: Status.RESET,
    Ending.SILENT: Status.TIMED_OUT,
    Ending.GIVEN_UP: Status.CANCELLED,
    Ending.TOO_LATE: Status.NEVER_STARTED,
}
