"""Of one who follows: whose turn it is to speak, and what it is in the middle of being sent. Pure."""

from dataclasses import dataclass, field
from enum import Enum

from oakfork.control.encoded_frames import EncodedChange
from oakfork.control.messages import EMPTY, Position


class SessionState(Enum):
    NAMELESS = "Hello awaited"
    OURS = "it has what there is"
    THEIRS = "a frame was sent, Ack awaited"
    WANTS = "Digests were sent, Want awaited"
    QUEUED = "waits for ranges, or for its Delta"


@dataclass(slots=True)
class FollowerSession:
    since: int  # in its turn
    turn: SessionState = SessionState.NAMELESS
    who: str = ""
    relay: bool = False
    position: Position = EMPTY
    digest: int = 0
    delta: EncodedChange | None = None  # half sent
    sent: int = 0  # of its frames
    passed_over: Position | None = None  # it stood there, and got what changed since the one before
    base: Position | None = None  # while it mends: of the Digests that it got
    ranges: list[int] = field(default_factory=list)  # wanted and not begun, the next one last
    frames: list[bytes] = field(default_factory=list)  # of the range that is half sent, the next one last
