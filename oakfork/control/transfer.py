"""A transfer of state from upstream that is under way: which frames are valid next, and what is staged. No I/O."""

from oakfork.control.messages import RANGES, Delta, Digests, Position, Range
from oakfork.control.staging import Staged
from oakfork.control.state import Store


class Transfer:
    """Consists of a Delta, or of Digests, ranges and a Delta. It is discarded as a whole, never resumed."""

    def __init__(self) -> None:
        self.staged: Staged | None = None
        self.base: Position | None = None  # while ranges are received: the position of their Digests
        self.wanted_ranges: set[int] = set()  # not completely received yet
        self.delta_header: tuple | None = None  # the positions and digest of a Delta that continues

    def accepts_delta(self, delta: Delta, position: Position) -> bool:
        """Whether a Delta follows the state in force at `position`, or the ranges received."""
        expected = position if self.base is None else self.base
        forward = delta.position > position or (self.base is not None and delta.position == position)
        return (
            delta.after == expected
            and forward
            and delta.position >= expected
            and not self.wanted_ranges
            and self.delta_header in (None, _header(delta))
        )

    def begin_delta(self, store: Store, delta: Delta) -> None:
        """Begins or continues a Delta."""
        self.staged = self.staged or Staged(store)
        self.delta_header = _header(delta)

    def accepts_digests(self, digests: Digests, position: Position) -> bool:
        """Whether Digests aren't older than the state in force at `position`, and no Delta is unfinished."""
        return digests.position >= position and self.delta_header is None

    def begin_ranges(self, store: Store, digests: Digests) -> tuple[int, ...]:
        """Returns the ranges that differ from what is staged so far, in ascending order; they are to be requested."""
        self.staged = self.staged or Staged(store)
        self.staged.range_number = None
        self.base = digests.position
        self.wanted_ranges = {number for number in range(RANGES) if self.staged.sums[number] != digests.sums[number]}
        return tuple(sorted(self.wanted_ranges))

    def accepts_range(self, message: Range) -> bool:
        """Whether a range is wanted, and no other one is unfinished."""
        return message.range in self.wanted_ranges and self.staged.range_number in (None, message.range)

    def range_received(self, message: Range) -> None:
        """Called after a frame of a range was staged; after its last frame the range is no longer wanted."""
        if not message.more:
            self.wanted_ranges.discard(message.range)


def _header(delta: Delta) -> tuple:
    """What all frames of one Delta have in common."""
    return delta.after, delta.position, delta.digest
