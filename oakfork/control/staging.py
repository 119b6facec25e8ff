"""Collects received rows until they are complete and can be put in force. No I/O.

Staged rows are kept apart from the store, invisible to look-ups. Work on many records is a generator, to be run one
slice at a time.
"""

from array import array
from typing import Generator, Sequence

from oakfork.control.events import Changes, Key
from oakfork.control.messages import Kind, Row
from oakfork.control.state import DIGEST_MASK, Store, range_of, record_digest

# Records handled between two turns of other tasks. One costs three hashes at most; a slice is to stay within a tenth
# of the 4.9 ms that may be added to an RPC (docs/control.md has the measurements).
SLICE = 64
# Rows staged at once, a bound on frames that never end: two and a half times the 160,000 records of the full size.
MAX_STAGED_ROWS = 400_000

SlicedWork = Generator[None, None, bool]  # yields between slices; returns whether all rows were valid


class Staged:
    """Changes to the state in the store, or complete ranges followed by the changes since.

    `sums` are the resulting digests by range. A Staged is discarded as a whole, after its commit or with its
    connection.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.sums = array("Q", store.sums)
        self.changes: dict[Key, bytes | None] = {}
        self.ranges: dict[int, dict[Key, bytes]] = {}  # completely received ranges
        self.range_records: dict[Key, bytes] = {}  # of the range being received
        self.range_number: int | None = None  # of the range being received
        self.range_sum = 0  # digest of the range being received, so far
        self.row_count = 0  # received in all

    def take(self, rows: Sequence[Row]) -> SlicedWork:
        """Stages changes to the store and to the ranges received; False if MAX_STAGED_ROWS is exceeded."""
        for count, (kind, name, value) in enumerate(rows, 1):
            number = range_of(kind, name)
            before = self._staged_digest(number, kind, name)
            after = 0 if value is None else record_digest(kind, name, value)
            self.sums[number] = (self.sums[number] - before + after) & DIGEST_MASK
            self.changes[kind, name] = value
            if not count % SLICE:
                yield
        return self._counted(len(rows))

    def _staged_digest(self, number: int, kind: Kind, name: str) -> int:
        """The digest of a record as it is staged so far; 0 if there is none. `number` is its range."""
        key = (kind, name)
        if key in self.changes:
            value = self.changes[key]
        elif number in self.ranges:
            value = self.ranges[number].get(key)
        else:
            return self.store.digest_of(kind, name)
        return 0 if value is None else record_digest(kind, name, value)

    def take_range(self, number: int, rows: Sequence[Row], more: bool) -> SlicedWork:
        """Stages rows of a range, which replaces the store's records of that range once its last frame is in.

        Its digest is computed from the rows themselves, not from what the store holds. Returns False for rows that are
        repeated, without value or of another range, and if MAX_STAGED_ROWS is exceeded.
        """
        if self.range_number != number:
            self._begin_range(number)
        for count, (kind, name, value) in enumerate(rows, 1):
            key = (kind, name)
            if value is None or key in self.range_records or range_of(kind, name) != number:
                return False
            self.range_records[key] = value
            self.range_sum = (self.range_sum + record_digest(kind, name, value)) & DIGEST_MASK
            if not count % SLICE:
                yield
        if not more:
            self.ranges[number] = self.range_records
            self.sums[number] = self.range_sum
            self._begin_range(None)
        return self._counted(len(rows))

    def _begin_range(self, number: int | None) -> None:
        self.range_number = number
        self.range_records = {}
        self.range_sum = 0

    def _counted(self, rows: int) -> bool:
        self.row_count += rows
        return self.row_count <= MAX_STAGED_ROWS

    def difference(self) -> Generator[None, None, Changes]:
        """Returns exactly the changes from the store to the staged state. The store must not change meanwhile.

        Consumes the staged ranges one by one, so that their memory isn't freed all at once.
        """
        found: dict[Key, bytes | None] = {}
        value_in_force = self.store.value
        steps = 0
        for located in self.store.names(self.ranges) if self.ranges else ():
            if located is not None and located[1:] not in self.ranges[located[0]]:
                found[located[1:]] = None
            steps += 1
            if not steps % SLICE:
                yield
        while self.ranges:
            _, records = self.ranges.popitem()
            for key, value in records.items():
                if value_in_force(*key) != value:
                    found[key] = value
                steps += 1
                if not steps % SLICE:
                    yield
        for key, value in self.changes.items():
            if value_in_force(*key) != value:
                found[key] = value
            else:
                found.pop(key, None)
            steps += 1
            if not steps % SLICE:
                yield
        return found
