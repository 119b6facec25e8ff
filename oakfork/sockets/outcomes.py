"""Every way in which the use of a connection can end, and the status that each has in the decision module."""

from enum import Enum, auto

from oakfork.interface import Status


class Outcome(Enum):
    """How the use of a connection for one exchange ended."""

    ANSWERED = auto()  # a complete answer with status 200
    ERROR = auto()  # a complete answer with another status
    TURNED_AWAY = auto()  # 503 or 504 with the header that says that the request never ran
    NO_ROOM = auto()  # no descriptor was left for another connection
    REFUSED = auto()  # the connection was refused
    NEVER_UP = auto()  # the connection was not established in time
    UNSENT = auto()  # the connection broke before the last byte was written
    BROKEN = auto()  # it broke after the last byte was written and before the complete answer
    ENDED = auto()  # the other side closed it after the last byte was written and before the complete answer
    MALFORMED = auto()  # the bytes received are not HTTP
    OVERSIZED = auto()  # the message received is larger than the protocol allows
    OUT_OF_MEMORY = auto()  # there is no memory left for what was received
    STALLED = auto()  # the answer began and did not continue
    SILENT = auto()  # nothing was received in time
    GIVEN_UP = auto()  # this side cancelled the exchange
    TOO_LATE = auto()  # the decision was no longer valid before the first byte was written


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
    Outcome.OUT_OF_MEMORY: Status.RESET,
    Outcome.STALLED: Status.RESET,
    Outcome.SILENT: Status.TIMED_OUT,
    Outcome.GIVEN_UP: Status.CANCELLED,
    Outcome.TOO_LATE: Status.NEVER_STARTED,
}
