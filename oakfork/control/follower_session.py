"""What a server of followers knows about one link: the state of its exchange, and what it is being sent. No I/O."""

from dataclasses import dataclass, field
from enum import Enum

from oakfork.control.encoded_frames import EncodedChange
from oakfork.control.messages import EMPTY, Position


class SessionState(Enum):
    """Whose turn it is to send, and what is awaited."""

    AWAITING_HELLO = "awaiting Hello"
    UP_TO_DATE = "up to date"
    AWAITING_ACK = "a frame was sent, awaiting Ack"
    AWAITING_RANGE_REQUEST = "Digests were sent, awaiting RangeRequest"
    QUEUED = "waiting to be sent ranges or a Delta"


@dataclass(slots=True)
class FollowerSession:
    """One link. Times are in milliseconds of the machine's clock."""

    state_since: int
    state: SessionState = SessionState.AWAITING_HELLO
    name: str = ""
    relay: bool = False
    position: Position = EMPTY  # as the follower last said
    digest: int = 0  # as the follower last said
    delta: EncodedChange | None = None  # a Delta of several frames that is partly sent
    frames_sent: int = 0  # of that Delta
    # A position between two known ones from which the follower was sent a Delta once.
    skipped_position: Position | None = None
    base: Position | None = None  # while the follower is sent ranges: the position of its Digests
    wanted_ranges: list[int] = field(default_factory=list)  # requested and not begun, the next one last
    range_frames: list[bytes] = field(default_factory=list)  # left of the range that is partly sent, the next one last
