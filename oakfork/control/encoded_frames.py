"""Rows cut into frames, and encoded once for all who are sent the same. Pure."""

from typing import Iterator, Sequence

from oakfork.control.events import Changes, Key
from oakfork.control.messages import RANGES, Delta, Position, Range, Row, pack
from oakfork.control.staging import SLICE
from oakfork.control.state import Store, range_of

# A frame is read in one step by who gets it: so well below what may come (messages.py). A range of the full size,
# 160,000 records in 256, is one frame.
FRAME_ROWS, FRAME_BYTES = 1_024, 64 * 1024
ROW_BYTES = 10  # of a row beside its name and value, at most
BACKLOG = 16  # change sets that are not in the index yet; beyond, the oldest is brought in at once


def cut(rows: Sequence[Row], start: int) -> int:
    """Where the frame ends that begins at `start`; one row it has at least."""
    size = 0
    for place in range(start, min(start + FRAME_ROWS, len(rows))):
        _, name, value = rows[place]
        size += len(name.encode()) + len(value or b"") + ROW_BYTES
        if size > FRAME_BYTES and place > start:
            return place
    return min(start + FRAME_ROWS, len(rows))


class EncodedChange:
    """A Delta, its frames encoded as they are asked for."""

    def __init__(self, after: Position, position: Position, digest: int, changes: Changes) -> None:
        self.after, self.position, self.digest = after, position, digest
        self.rows = [Row(kind, name, value) for (kind, name), value in changes.items()]
        self.start = 0  # of the first row that isn't in a frame yet
        self.frames: list[bytes] = []
        self.users = 0  # links that have had a frame and not the last one
        self.frame(0)
        self.long = self.start < len(self.rows)  # has more than one frame

    def frame(self, number: int) -> bytes:
        while len(self.frames) <= number:
            end = cut(self.rows, self.start)
            self.frames.append(
                pack(
                    Delta(
                        self.after, self.position, self.digest, tuple(self.rows[self.start : end]), end < len(self.rows)
                    )
                )
            )
            self.start = end
        return self.frames[number]

    def last(self, number: int) -> bool:
        return self.start == len(self.rows) and number == len(self.frames) - 1


class EncodedRanges:
    """The ranges of a store, each encoded once until something in it changes. The keys of each range are kept: built
    in the beginning, in one go, since no one is served yet; then brought up to date with each change set, in slices.
    The encoded frames take as much as the state at most, and go with the changes."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.keys: dict[int, set[Key]] = {}
        for told in store.names(range(RANGES)):
            if told is not None:
                self.keys.setdefault(told[0], set()).add(told[1:])
        self.encoded: dict[int, list[bytes]] = {}
        self.behind: list[Iterator[Key]] = []  # change sets to bring in, the oldest first; emptied by `work`

    def changed(self, changes: Changes) -> None:
        """In the store already."""
        self.behind.append(iter(changes))
        while len(self.behind) > BACKLOG:
            self.work(None)

    @property
    def ready(self) -> bool:
        """Whether `frames` may be asked for."""
        return not self.behind

    def work(self, most: int | None = SLICE) -> None:
        """Brings so many changes of the oldest set in, None: all of them."""
        for kind, name in self.behind[0]:
            number = range_of(kind, name)
            self.encoded.pop(number, None)
            if self.store.value(kind, name) is None:
                self.keys.get(number, set()).discard((kind, name))
            else:
                self.keys.setdefault(number, set()).add((kind, name))
            if most is not None and (most := most - 1) <= 0:
                return
        del self.behind[0]

    def frames(self, number: int) -> list[bytes]:
        """Of one range as it is in force now."""
        if (told := self.encoded.get(number)) is None:
            rows = [Row(kind, name, self.store.value(kind, name)) for kind, name in sorted(self.keys.get(number, ()))]
            told, start, more = [], 0, True
            while more:
                end = cut(rows, start)
                more = end < len(rows)
                told.append(pack(Range(number, tuple(rows[start:end]), more)))
                start = end
            self.encoded[number] = told
        return told
