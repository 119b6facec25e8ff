"""Every way in which a connection can end, and what each means to the module."""

from enum import Enum, auto

from oakfork.interface import Status


class Outcome(Enum):
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


STATUS_OF_OUTCOME = {
    Outcome.ANSWERED: Status.OK,
    Outcome.ERROR: Status.ERROR,
    Outcome.TURNED_AWAY: Status.FULL,
    Outcome.NO_ROOM: Status.CONNECT_FAILED,
    Outcome.REFUSED: Status.CONNECT_FAILED,
    Outcome.NEVER_UP: Status.CONNECT_FAILED,
    Outcome.UNSENT: Status.CONNECT_FAILED,
    Outcome.BROKEN: Status.RESET,
    Outcome.ENDED: Status.RESET,
    Outcome.MALFORMED: Status.RESET,
    Outcome.OVERSIZED: Status.RESET,
    Outcome.STALLED: Status.RESET,
    Outcome.SILENT: Status.TIMED_OUT,
    Outcome.GIVEN_UP: Status.CANCELLED,
    Outcome.TOO_LATE: Status.NEVER_STARTED,
}
