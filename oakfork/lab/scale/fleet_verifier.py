"""Checks a run of publisher, relays and hollow gateways by what operators were answered and what followers reported.

It shares no code with the control machines: it computes the digests by itself (docs/control.md defines them).
"""

from hashlib import blake2b
from typing import Iterable, Mapping, NamedTuple, Sequence

from oakfork.control.messages import Position, Row

MAX_VIOLATIONS = 32  # violations that are listed
NUMBERS_QUOTED = 8  # numbers of change sets that a violation quotes
DIGEST_RANGE = 1 << 64  # digests are sums modulo this


class AcknowledgedChange(NamedTuple):
    """A change set that the publisher said is in force, and when the operator received that (CLOCK_MONOTONIC)."""

    id: str
    position: Position
    ms: int
    rows: Sequence[Row]


class InForceReport(NamedTuple):
    """What a follower reported when a position came into force (`ms`: CLOCK_MONOTONIC)."""

    position: Position
    ms: int
    digest: int


class FinalState(NamedTuple):
    """Where a follower ended; `record_digest` is computed from its records one by one, where it keeps them."""

    position: Position
    digest: int
    record_digest: int | None


class Observations(NamedTuple):
    """All that is known of a run.

    `half` counts how often a change set was visible in half, `conflicts` how often two followers of one process got
    different values for one position.
    """

    base: Iterable[Row]
    start: int  # the number at which the state is that of `base`
    acknowledged: Sequence[AcknowledgedChange]
    in_force_reports: Mapping[str, Sequence[InForceReport]]
    final_states: Mapping[str, FinalState]
    followers: Sequence[str]
    half: int = 0
    conflicts: int = 0


def digest_of(row: Row) -> int:
    """The 64-bit digest of one record."""
    name = row.name.encode()
    size = len(name).to_bytes(2, "big")
    return int.from_bytes(blake2b(size + name + row.value, digest_size=8, person=bytes([row.kind])).digest(), "big")


def expected_digests(base: Iterable[Row], start: int, acknowledged: Sequence[AcknowledgedChange]) -> dict[int, int]:
    """The digest of the state at each number, with the acknowledged change sets in the order of their numbers."""
    digests = {(row.kind, row.name): digest_of(row) for row in base}
    total = sum(digests.values())
    by_number = {start: total % DIGEST_RANGE}
    for change in sorted(acknowledged, key=lambda each: each.position.number):
        for row in change.rows:
            total -= digests.pop((row.kind, row.name), 0)
            if row.value is not None:
                digest = digest_of(row)
                digests[row.kind, row.name] = digest
                total += digest
        by_number[change.position.number] = total % DIGEST_RANGE
    return by_number


def find_violations(seen: Observations) -> list[str]:
    """One line for each violation, at most MAX_VIOLATIONS.

    No line means that nothing acknowledged is lost, no follower went back, no change set was in force in half, and all
    followers are equal in the end.
    """
    expected = expected_digests(seen.base, seen.start, seen.acknowledged)
    violations = _check_acknowledged(seen)
    for follower in seen.followers:
        violations += _check_reports(follower, seen.in_force_reports.get(follower, ()), expected)
    for follower in seen.followers:
        violations += _check_final_state(follower, seen.final_states.get(follower), expected)
    final_positions = {state.position for state in seen.final_states.values()}
    if len(final_positions) > 1:
        positions = sorted({tuple(position) for position in final_positions})
        violations.append(f"followers ended at different positions: {positions}")
    if seen.half:
        violations.append(f"a change set was seen in half {seen.half} times")
    if seen.conflicts:
        violations.append(f"two followers had different values at one position {seen.conflicts} times")
    return violations[:MAX_VIOLATIONS]


def _check_acknowledged(seen: Observations) -> list[str]:
    violations = []
    numbers = sorted(change.position.number for change in seen.acknowledged)
    if numbers != list(range(seen.start + 1, seen.start + 1 + len(numbers))):
        violations.append(
            f"numbers of acknowledged change sets are not consecutive from {seen.start + 1}: "
            f"{numbers[:NUMBERS_QUOTED]} to {numbers[-1:]}, {len(numbers)} of them"
        )
    if len({change.id for change in seen.acknowledged}) < len(seen.acknowledged):
        violations.append("an id was acknowledged twice")
    return violations


def _check_reports(follower: str, reports: Iterable[InForceReport], expected: Mapping[int, int]) -> list[str]:
    violations = []
    before = Position()
    for report in reports:
        position = report.position
        if position <= before:
            violations.append(f"{follower} went back from {tuple(before)} to {tuple(position)}")
        if position.number not in expected:
            violations.append(f"{follower} reported {tuple(position)}, which was never acknowledged")
        elif report.digest != expected[position.number]:
            violations.append(f"{follower} had a state at {tuple(position)} that differs from the expected one")
        before = position
    return violations


def _check_final_state(follower: str, state: FinalState | None, expected: Mapping[int, int]) -> list[str]:
    last = max(expected)
    if state is None:
        return [f"{follower} reported no final state"]
    if state.position.number != last or state.digest != expected[last]:
        comparison = "the expected" if state.digest == expected[last] else "a different"
        return [f"{follower} ended at {tuple(state.position)}, {last} was acknowledged, with {comparison} state"]
    if state.record_digest not in (None, state.digest):
        return [f"{follower} has records that do not match its digest"]
    return []
