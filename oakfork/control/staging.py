"""What is on its way into force: rows that have come, beside the store and unseen by those who look things up. Pure.

All that costs more than a few records is a generator, to be taken a slice at a time.
"""

from array import array
from typing import Generator, Sequence

from oakfork.control.events import Changes, Key
from oakfork.control.messages import Row
from oakfork.control.state import MASK, Store, range_of, record_digest

# Records between two turns of others. One costs three hashes at most, so a slice is meant to stay within a tenth of
# the 4.9 ms that may be added to an RPC; docs/control.md has what was measured.
SLICE = 64
# Rows staged at once, from frames that go on and on: two and a half times the 160,000 records of the full size.
MOST_STAGED = 400_000

Sliced = Generator[None, None, bool]  # in the end, whether all was well


class Staged:
    """Either some changes to what is in the store, or whole ranges and then the changes since: `sums` are the digests
    by range that come of it. Emptied by being thrown away, after its commit or with its connection."""

    def __init__(self, store: Store) -> None:
        self.store, self.sums = store, array("Q", store.sums)
        self.changes: dict[Key, bytes | None] = {}
        self.parts: dict[int, dict[Key, bytes]] = {}  # ranges that have come whole
        self.part: dict[Key, bytes] = {}  # the one that is coming
        self.coming: int | None = None  # its number
        self.sum = 0  # its digest so far
        self.rows = 0  # that came, in all

    def take(self, rows: Sequence[Row]) -> Sliced:
        """Changes, upon the store and the ranges that have come."""
        for count, (kind, name, value) in enumerate(rows, 1):
            key, number = (kind, name), range_of(kind, name)
            if key in self.changes:
                old = self.changes[key]
                before = 0 if old is None else record_digest(kind, name, old)
            elif number in self.parts:
                old = self.parts[number].get(key)
                before = 0 if old is None else record_digest(kind, name, old)
            else:
                before = self.store.digest_of(kind, name)
            after = 0 if value is None else record_digest(kind, name, value)
            self.sums[number] = (self.sums[number] - before + after) & MASK
            self.changes[key] = value
            if not count % SLICE:
                yield
        return self._counted(len(rows))

    def take_range(self, number: int, rows: Sequence[Row], more: bool) -> Sliced:
        """Of a whole range; with the last frame it counts in place of what there was. Its digest is made of the rows
        themselves, not of what the store holds."""
        if self.coming != number:
            self.coming, self.part, self.sum = number, {}, 0
        for count, (kind, name, value) in enumerate(rows, 1):
            key = (kind, name)
            if value is None or key in self.part or range_of(kind, name) != number:
                return False
            self.part[key] = value
            self.sum = (self.sum + record_digest(kind, name, value)) & MASK
            if not count % SLICE:
                yield
        if not more:
            self.parts[number], self.sums[number] = self.part, self.sum
            self.coming, self.part, self.sum = None, {}, 0
        return self._counted(len(rows))

    def _counted(self, rows: int) -> bool:
        self.rows += rows
        return self.rows <= MOST_STAGED

    def difference(self) -> Generator[None, None, Changes]:
        """Exactly what differs from the store, which must not change meanwhile. Uses up the ranges, one by one, so that
        they aren't all given back at once."""
        found: dict[Key, bytes | None] = {}
        value, steps = self.store.value, 0
        for told in self.store.names(self.parts) if self.parts else ():
            if told is not None and told[1:] not in self.parts[told[0]]:
                found[told[1:]] = None
            if not (steps := steps + 1) % SLICE:
                yield
        while self.parts:
            _, part = self.parts.popitem()
            for key, new in part.items():
                if value(*key) != new:
                    found[key] = new
                if not (steps := steps + 1) % SLICE:
                    yield
        for key, new in self.changes.items():
            if value(*key) != new:
                found[key] = new
            else:
                found.pop(key, None)
            if not (steps := steps + 1) % SLICE:
                yield
        return found
