"""Judges a play of publisher, relays and hollow gateways from outside: by what operators were answered and by what the
followers told, with its own reckoning of digests (docs/control.md has how they are made). Imports no machine.
"""

from hashlib import blake2b
from typing import Iterable, Mapping, NamedTuple, Sequence

from oakfork.control.messages import Position, Row

MOST = 32  # faults told


class Acked(NamedTuple):
    """A change set that the publisher said is in force, and when the operator heard so (CLOCK_MONOTONIC)."""

    id: str
    position: Position
    ms: int
    rows: Sequence[Row]


class Reached(NamedTuple):
    """What a follower told when it had a position in force."""

    position: Position
    ms: int
    digest: int


class End(NamedTuple):
    """Where a follower was in the end; `brute`: the digest of its records one by one, where it keeps any."""

    position: Position
    digest: int
    brute: int | None


class Seen(NamedTuple):
    """All that is known of a play. `half`: times that a change set was seen in half; `conflicts`: times that two
    followers of one process were told different values of one position."""

    base: Iterable[Row]
    start: int  # the number at which all is as in `base`
    acked: Sequence[Acked]
    reached: Mapping[str, Sequence[Reached]]
    ends: Mapping[str, End]
    followers: Sequence[str]
    half: int = 0
    conflicts: int = 0


def digest_of(row: Row) -> int:
    told = row.name.encode()
    size = len(told).to_bytes(2, "big")
    return int.from_bytes(blake2b(size + told + row.value, digest_size=8, person=bytes([row.kind])).digest(), "big")


def expected(base: Iterable[Row], start: int, acked: Sequence[Acked]) -> dict[int, int]:
    """The digest at each number, with all acknowledged change sets in the order of their numbers."""
    digests = {(row.kind, row.name): digest_of(row) for row in base}
    total = sum(digests.values())
    found = {start: total % (1 << 64)}
    for one in sorted(acked, key=lambda each: each.position.number):
        for row in one.rows:
            total -= digests.pop((row.kind, row.name), 0)
            if row.value is not None:
                digests[row.kind, row.name] = told = digest_of(row)
                total += told
        found[one.position.number] = total % (1 << 64)
    return found


def judge(seen: Seen) -> list[str]:
    """Each fault in a line, MOST at most; none: nothing acknowledged is lost, nobody went back, no change set was in
    force in half, all are equal in the end."""
    faults: list[str] = []
    numbers = sorted(one.position.number for one in seen.acked)
    if numbers != list(range(seen.start + 1, seen.start + 1 + len(numbers))):
        faults.append(
            f"numbers of what was acknowledged are not one after another from {seen.start + 1}: "
            f"{numbers[:8]} to {numbers[-1:]}, {len(numbers)} of them"
        )
    if len({one.id for one in seen.acked}) < len(seen.acked):
        faults.append("an id was acknowledged twice")
    right = expected(seen.base, seen.start, seen.acked)
    for who in seen.followers:
        before = Position()
        for one in seen.reached.get(who, ()):
            if one.position <= before:
                faults.append(f"{who} went from {tuple(before)} to {tuple(one.position)}")
            if one.position.number not in right:
                faults.append(f"{who} was at {tuple(one.position)}, which nobody was acknowledged")
            elif one.digest != right[one.position.number]:
                faults.append(f"{who} had at {tuple(one.position)} what is not the state there")
            before = one.position
    last = max(right)
    for who in seen.followers:
        if (end := seen.ends.get(who)) is None:
            faults.append(f"{who} told no end")
        elif end.position.number != last or end.digest != right[last]:
            faults.append(
                f"{who} ended at {tuple(end.position)}, {last} was acknowledged, "
                f"with {'the' if end.digest == right[last] else 'another'} state of that"
            )
        elif end.brute not in (None, end.digest):
            faults.append(f"{who} has records that are not those of its digest")
    if len({end.position for end in seen.ends.values()}) > 1:
        faults.append(f"not all ended at one position: {sorted({tuple(end.position) for end in seen.ends.values()})}")
    if seen.half:
        faults.append(f"a change set was seen in half {seen.half} times")
    if seen.conflicts:
        faults.append(f"two followers had different values at one position {seen.conflicts} times")
    return faults[:MOST]
