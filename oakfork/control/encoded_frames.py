"""Splits rows into frames and encodes each frame once for all followers that receive it. No I/O."""

from typing import Iterator, Sequence

from oakfork.control.events import Changes, Key
from oakfork.control.messages import RANGES, Delta, Position, Range, Row, pack
from oakfork.control.staging import SLICE
from oakfork.control.state import Store, range_of

# The receiver reads a frame in one step, so frames stay well below the limits of messages.py. One of the 256 ranges of
# the full size, 160,000 records, is one frame.
FRAME_ROWS = 1_024
FRAME_BYTES = 64 * 1024
ROW_OVERHEAD = 10  # bytes of a row beside its name and value, at most
MAX_BACKLOG = 16  # change sets not indexed yet; beyond that the oldest is indexed at once


def frame_end(rows: Sequence[Row], start: int) -> int:
    """The index after the last row of the frame that begins at `start`, which has at least one row if any is left."""
    size = 0
    limit = min(start + FRAME_ROWS, len(rows))
    for index in range(start, limit):
        _, name, value = rows[index]
        size += len(name.encode()) + len(value or b"") + ROW_OVERHEAD
        if size > FRAME_BYTES and index > start:
            return index
    return limit


class EncodedChange:
    """A Delta whose frames are encoded when they are first requested."""

    def __init__(self, after: Position, position: Position, digest: int, changes: Changes) -> None:
        self.after = after
        self.position = position
        self.digest = digest
        self.rows = [Row(kind, name, value) for (kind, name), value in changes.items()]
        self.start = 0  # index of the first row that isn't in a frame yet
        self.frames: list[bytes] = []
        self.users = 0  # links that have received a frame and not the last one
        self.frame(0)
        self.long = self.start < len(self.rows)  # has more than one frame

    def frame(self, number: int) -> bytes:
        """The body of a frame, counted from 0."""
        while len(self.frames) <= number:
            end = frame_end(self.rows, self.start)
            rows = tuple(self.rows[self.start : end])
            more = end < len(self.rows)
            self.frames.append(pack(Delta(self.after, self.position, self.digest, rows, more)))
            self.start = end
        return self.frames[number]

    def last(self, number: int) -> bool:
        """Whether a frame that has been requested is the last one."""
        return self.start == len(self.rows) and number == len(self.frames) - 1


class EncodedRanges:
    """The ranges of a store, each encoded once until a record in it changes.

    The keys of each range are indexed: at once on creation, when no one is served yet, and afterwards in slices after
    each change set. The encoded frames take at most as much memory as the state, and are dropped on changes.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.keys: dict[int, set[Key]] = {}
        for located in store.names(range(RANGES)):
            if located is not None:
                self.keys.setdefault(located[0], set()).add(located[1:])
        self.encoded: dict[int, list[bytes]] = {}
        self.backlog: list[Iterator[Key]] = []  # change sets to index, oldest first; emptied by `work`

    def changed(self, changes: Changes) -> None:
        """Queues a change set for indexing; the store must have it already."""
        self.backlog.append(iter(changes))
        while len(self.backlog) > MAX_BACKLOG:
            self.work(None)

    @property
    def ready(self) -> bool:
        """Whether the index is up to date, so that `frames` may be called."""
        return not self.backlog

    def work(self, limit: int | None = SLICE) -> None:
        """Indexes up to `limit` changes of the oldest change set in the backlog; None: all of them."""
        for kind, name in self.backlog[0]:
            number = range_of(kind, name)
            self.encoded.pop(number, None)
            if self.store.value(kind, name) is None:
                self.keys.get(number, set()).discard((kind, name))
            else:
                self.keys.setdefault(number, set()).add((kind, name))
            if limit is not None:
                limit -= 1
                if limit <= 0:
                    return
        del self.backlog[0]

    def frames(self, number: int) -> list[bytes]:
        """The frame bodies of one range as it is in force now."""
        if number not in self.encoded:
            self.encoded[number] = self._encode(number)
        return self.encoded[number]

    def _encode(self, number: int) -> list[bytes]:
        rows = [Row(kind, name, self.store.value(kind, name)) for kind, name in sorted(self.keys.get(number, ()))]
        frames = []
        start = 0
        more = True
        while more:
            end = frame_end(rows, start)
            more = end < len(rows)
            frames.append(pack(Range(number, tuple(rows[start:end]), more)))
            start = end
        return frames
