"""The state that all gateways share: records by kind and name, with digests by range.

The digest of a record is a hash of its kind, name and value. The digest of a range, and of the whole state, is the sum
of its records' digests modulo 2**64, so that updating it costs only the changed records, in any order. Two states with
the same digest are taken to be equal: a collision by chance has probability 2**-64, and peers are known, so malicious
collisions are out of scope (docs/control.md).
"""

from array import array
from hashlib import blake2b
from typing import Collection, Iterable, Iterator, Mapping, Protocol

from oakfork.control.messages import RANGES, Kind, Row

DIGEST_BYTES = 8
DIGEST_MASK = (1 << 8 * DIGEST_BYTES) - 1


def range_of(kind: Kind, name: str) -> int:
    """The range of a record: the first byte of a hash of its key."""
    return blake2b(name.encode(), digest_size=1, person=bytes((kind,))).digest()[0]


def record_digest(kind: Kind, name: str, value: bytes) -> int:
    """The digest of one record, 64 bits unsigned."""
    encoded_name = name.encode()
    data = len(encoded_name).to_bytes(2, "big") + encoded_name + value
    hashed = blake2b(data, digest_size=DIGEST_BYTES, person=bytes((kind,)))
    return int.from_bytes(hashed.digest(), "big")


class Store(Protocol):
    """Where a follower keeps its state. A gateway's store has the records; hollow gateways may share them."""

    sums: array  # of type "Q": the digest of each range

    def value(self, kind: Kind, name: str) -> bytes | None:
        """The value in force; None if there is no such record."""
        ...

    def digest_of(self, kind: Kind, name: str) -> int:
        """The digest of the record in force; 0 if there is none."""
        ...

    def names(self, ranges: Collection[int]) -> Iterator[tuple[int, Kind, str] | None]:
        """Iterates once over all records: the range and key of those in `ranges`, None for each of the others, so that
        the caller can count records and pause between slices. Not valid across a `commit` or `compact`."""
        ...

    def commit(self, changes: Mapping[tuple[Kind, str], bytes | None], sums: array) -> None:
        """Puts changes in force, all at once; `sums` are the digests by range afterwards."""
        ...

    def compact(self, limit: int | None = None) -> bool:
        """Moves up to `limit` records of the last commit (None: all) to their final place; returns whether any are
        left. Look-ups give the same results before and after."""
        ...


def total_digest(sums: array) -> int:
    """The digest of a state, from the digests of its ranges."""
    return sum(sums) & DIGEST_MASK


def updated_sums(store: Store, changes: Mapping[tuple[Kind, str], bytes | None]) -> array:
    """The digests by range after some changes. The cost depends on the changes, not on the size of the state."""
    sums = array("Q", store.sums)
    for (kind, name), value in changes.items():
        number = range_of(kind, name)
        after = 0 if value is None else record_digest(kind, name, value)
        sums[number] = (sums[number] - store.digest_of(kind, name) + after) & DIGEST_MASK
    return sums


class Records:
    """A store that holds the records themselves.

    The last commit lies in an overlay, from which `compact` moves it into the records step by step. A commit is
    therefore one assignment, whatever its size, and look-ups of one request, made without waiting in between, see it
    completely or not at all.
    """

    def __init__(self) -> None:
        self.records: list[dict[str, bytes]] = [{} for _ in Kind]
        self.overlay: Mapping[tuple[Kind, str], bytes | None] = {}
        self.uncompacted: Iterator[tuple[tuple[Kind, str], bytes | None]] = iter(())
        self.sums = array("Q", bytes(DIGEST_BYTES * RANGES))

    def value(self, kind: Kind, name: str) -> bytes | None:
        """As Store.value."""
        if (kind, name) in self.overlay:
            return self.overlay[kind, name]
        return self.records[kind].get(name)

    def digest_of(self, kind: Kind, name: str) -> int:
        """As Store.digest_of."""
        value = self.value(kind, name)
        return 0 if value is None else record_digest(kind, name, value)

    def names(self, ranges: Collection[int]) -> Iterator[tuple[int, Kind, str] | None]:
        """As Store.names."""
        for kind in Kind:
            for name in self.all_names(kind):
                number = range_of(kind, name)
                yield (number, kind, name) if number in ranges else None

    def all_names(self, kind: Kind) -> Iterator[str]:
        """The names of all records of a kind that are in force."""
        for name in self.records[kind]:
            if self.overlay.get((kind, name), b"") is not None:
                yield name
        for (overlay_kind, name), value in self.overlay.items():
            if overlay_kind == kind and value is not None and name not in self.records[kind]:
                yield name

    def commit(self, changes: Mapping[tuple[Kind, str], bytes | None], sums: array) -> None:
        """As Store.commit."""
        self.compact()  # the rest of the previous commit
        self.overlay = changes
        self.sums = sums
        self.uncompacted = iter(changes.items())

    def compact(self, limit: int | None = None) -> bool:
        """As Store.compact."""
        for (kind, name), value in self.uncompacted:
            if value is None:
                self.records[kind].pop(name, None)
            else:
                self.records[kind][name] = value
            if limit is not None:
                limit -= 1
                if limit <= 0:
                    return True
        self.overlay = {}
        self.uncompacted = iter(())
        return False

    def __len__(self) -> int:
        return sum(1 for kind in Kind for _ in self.all_names(kind))


def as_changes(rows: Iterable[Row]) -> dict[tuple[Kind, str], bytes | None]:
    """The changes that rows make, by key; of several rows with the same key the last one counts."""
    return {(row.kind, row.name): row.value for row in rows}
