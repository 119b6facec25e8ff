"""The state that all gateways share, as records by kind and name, with digests by range.

The digest of a record is a hash of its kind, name and value; that of a range, and of the whole, the sum modulo 2**64 of
its records': so a change costs its own records, in any order, and two states of one digest are taken for equal (by
chance once in 2**64; against malice the connections' authors are known, docs/control.md).
"""

from array import array
from hashlib import blake2b
from typing import Collection, Iterable, Iterator, Mapping, Protocol

from oakfork.control.messages import RANGES, Kind, Row

MASK = (1 << 64) - 1


def range_of(kind: Kind, name: str) -> int:
    """Of the record's key: the first byte of its hash."""
    return blake2b(name.encode(), digest_size=1, person=bytes((kind,))).digest()[0]


def record_digest(kind: Kind, name: str, value: bytes) -> int:
    told = name.encode()
    hashed = blake2b(len(told).to_bytes(2, "big") + told + value, digest_size=8, person=bytes((kind,)))
    return int.from_bytes(hashed.digest(), "big")


class Store(Protocol):
    """What a follower keeps its state in. A gateway's has the records; a hollow one's may share them."""

    sums: array  # of "Q", one a range

    def value(self, kind: Kind, name: str) -> bytes | None:
        """What is in force; None where there is no such record."""
        ...

    def digest_of(self, kind: Kind, name: str) -> int:
        """Of the record in force; 0 where there is none."""
        ...

    def names(self, ranges: Collection[int]) -> Iterator[tuple[int, Kind, str] | None]:
        """The keys in force of some ranges, in one pass over the state, and None for each of the others: so that who
        goes through them in slices can count. Not to be held over a `commit` or `fold`."""
        ...

    def commit(self, changes: Mapping[tuple[Kind, str], bytes | None], sums: array) -> None:
        """In force from here on, all at once; `sums` are those afterwards."""
        ...

    def compact(self, most: int | None = None) -> bool:
        """Brings so many records of the last commit (all, if none is said) where they belong; whether some are left.
        What is looked up is the same before and after."""
        ...


def total_digest(sums: array) -> int:
    """The digest of a state, from those of its ranges."""
    return sum(sums) & MASK


def updated_sums(store: Store, changes: Mapping[tuple[Kind, str], bytes | None]) -> array:
    """The digests by range after some changes. Costs the changes, not the state."""
    sums = array("Q", store.sums)
    for (kind, name), value in changes.items():
        number = range_of(kind, name)
        after = 0 if value is None else record_digest(kind, name, value)
        sums[number] = (sums[number] - store.digest_of(kind, name) + after) & MASK
    return sums


class Records:
    """A store with the records themselves. What has just been committed lies in an overlay, from where `fold` brings it
    into the records by and by: a commit so is one assignment, whatever its size, and a request's look-ups, made without
    a wait between them, see it whole or not at all."""

    def __init__(self) -> None:
        self.records: list[dict[str, bytes]] = [{} for _ in Kind]
        self.overlay: Mapping[tuple[Kind, str], bytes | None] = {}
        self.folding: Iterator[tuple[tuple[Kind, str], bytes | None]] = iter(())
        self.sums = array("Q", bytes(8 * RANGES))

    def value(self, kind: Kind, name: str) -> bytes | None:
        if (kind, name) in self.overlay:
            return self.overlay[kind, name]
        return self.records[kind].get(name)

    def digest_of(self, kind: Kind, name: str) -> int:
        value = self.value(kind, name)
        return 0 if value is None else record_digest(kind, name, value)

    def names(self, ranges: Collection[int]) -> Iterator[tuple[int, Kind, str] | None]:
        for kind in Kind:
            for name in self.all_names(kind):
                number = range_of(kind, name)
                yield (number, kind, name) if number in ranges else None

    def all_names(self, kind: Kind) -> Iterator[str]:
        """In force, of one kind."""
        for name in self.records[kind]:
            if self.overlay.get((kind, name), b"") is not None:
                yield name
        for (other, name), value in self.overlay.items():
            if other == kind and value is not None and name not in self.records[kind]:
                yield name

    def commit(self, changes: Mapping[tuple[Kind, str], bytes | None], sums: array) -> None:
        self.compact()  # what is left of the one before
        self.overlay, self.sums = changes, sums
        self.folding = iter(changes.items())

    def compact(self, most: int | None = None) -> bool:
        """Brings so many records of the overlay (all, if none is said) where they belong; whether some are left. They
        are looked up alike before, between and afterwards."""
        for (kind, name), value in self.folding:
            if value is None:
                self.records[kind].pop(name, None)
            else:
                self.records[kind][name] = value
            if most is not None and (most := most - 1) <= 0:
                return True
        self.overlay, self.folding = {}, iter(())
        return False

    def __len__(self) -> int:
        return sum(1 for kind in Kind for _ in self.all_names(kind))


def as_changes(rows: Iterable[Row]) -> dict[tuple[Kind, str], bytes | None]:
    return {(row.kind, row.name): row.value for row in rows}
