"""Whether contracts reserve more than their sites can do at any instant, with the largest of all sites lost. Pure.

A sweep over the boundaries of all windows. Between two of them each day is alike, so what is reserved is kept for each
part of a day (day_grid.py), and only changes at a boundary. A window is added to all parts by one multiplication and
one addition, so the cost of a boundary does not grow with the number of windows that hold.

Not all sets of sites need a look: if no contract joins two parts of a set, the parts are checked by themselves, since
together they can do at least what both can do.
"""

from dataclasses import dataclass, field
from datetime import datetime
from heapq import merge
from itertools import combinations, groupby
from operator import itemgetter
from typing import Iterator, Mapping, NamedTuple, Sequence

from oakfork.contracts.day_grid import FLAG, DayGrid, Parts
from oakfork.contracts.reservations import Contract, ContractsFile

UNITS = 10**12  # of a leg a second, so that sums are exact for rates of up to twelve decimals
TOLERANCE = 1000  # units, for the rounding of each rate


class Change(NamedTuple):
    """The parts of each day in which a contract holds from an instant on, up to its next change."""

    instant: datetime
    contract: int  # its position in the file
    before: Parts
    after: Parts


@dataclass(slots=True)
class SiteSet:
    """A set of sites, and what the contracts that reserve at these alone have reserved in each part of a day."""

    sites: frozenset[str]
    capacity: int  # units, with the largest of all sites lost
    grid: DayGrid
    load: int = 0  # units, by the part of a day
    unchecked: Parts = 0  # with more load than when they were last checked
    headroom: int = field(init=False)  # added to the load, sets the flag of each field that is over the capacity

    def __post_init__(self) -> None:
        self.headroom = self.grid.all * (FLAG - 1 - self.capacity - TOLERANCE)

    def change(self, rate: int, change: Change) -> None:
        """Takes a contract's change into account."""
        added = change.after & ~change.before
        self.load += rate * added - rate * (change.before & ~change.after)
        self.unchecked |= added

    def overbooked(self, parts: Parts) -> Parts:
        """Of these parts, those in which too much is reserved; they count as checked."""
        checked = self.unchecked & parts
        if not checked:
            return 0
        self.unchecked &= ~parts
        return self.grid.flagged(self.load + self.headroom) & checked


def first_overbooked(file: ContractsFile) -> datetime | None:
    """The first instant at which contracts reserve more than their sites can do; None if there is none."""
    rates = [units(contract.rate) for contract in file.contracts]
    grid = DayGrid(window for contract in file.contracts for window in contract.windows)
    site_sets = _site_sets(file, rates, grid)
    sets_of = [[one for one in site_sets if contract.sites <= one.sites] for contract in file.contracts]
    changes = merge(
        *(_changes(contract, position, grid) for position, contract in enumerate(file.contracts) if sets_of[position])
    )
    unchecked: dict[frozenset[str], SiteSet] = {}
    for begins, ends, at_once in _segments(changes):
        for change in at_once:
            for one in sets_of[change.contract]:
                one.change(rates[change.contract], change)
                unchecked[one.sites] = one
        parts = grid.parts_between(begins, ends)
        over = 0
        for one in list(unchecked.values()):
            over |= one.overbooked(parts)
            if not one.unchecked:
                del unchecked[one.sites]
        if over:
            return grid.first_instant(begins, over)
    return None


def units(rate: float) -> int:
    """A rate in legs a second as units, rounded."""
    return round(rate * UNITS)


def fault_at(file: ContractsFile, instant: datetime) -> str:
    """Which contracts reserve too much at an instant, and at which sites: the first set of sites by size and order."""
    names = [name for name, _ in file.sites]
    capacities = {name: units(rate) for name, rate in file.sites}
    largest = max(capacities.values())
    holding = [contract for contract in file.contracts if contract.holds(instant)]
    for size in range(1, len(names) + 1):
        for chosen in combinations(names, size):
            inside = [contract for contract in holding if contract.sites.issubset(chosen)]
            reserved = sum(units(contract.rate) for contract in inside)
            for lost in (name for name in names if capacities[name] == largest):
                capacity = sum(capacities[name] for name in chosen if name != lost)
                if inside and reserved > capacity + TOLERANCE:
                    tenants = ", ".join(sorted(contract.tenant for contract in inside))
                    return (
                        f"{tenants} have {reserved / UNITS:g} legs a second reserved at {', '.join(sorted(chosen))}, "
                        f"whose capacity without {lost} is {capacity / UNITS:g}"
                    )
    return "the contracts have more reserved than the sites can do"


# Sets of sites


def _site_sets(file: ContractsFile, rates: Sequence[int], grid: DayGrid) -> list[SiteSet]:
    """The sets of sites to look at, but for those in which all contracts together reserve no more than there is."""
    bits = {name: 1 << number for number, (name, _) in enumerate(file.sites)}
    of_contracts = [sum(bits[name] for name in contract.sites) for contract in file.contracts]
    capacities = {bits[name]: units(rate) for name, rate in file.sites}
    sets = []
    for joined in sorted(_joined(set(of_contracts))):
        reserved = sum(rate for rate, sites in zip(rates, of_contracts, strict=True) if sites & ~joined == 0)
        capacity = _capacity(joined, capacities)
        if reserved > capacity + TOLERANCE:
            sets.append(SiteSet(frozenset(name for name, bit in bits.items() if bit & joined), capacity, grid))
    return sets


def _joined(groups: set[int]) -> set[int]:
    """All unions of sets of sites that are joined by sites in common; sets are bits."""
    found = set(groups)
    waiting = list(groups)
    while waiting:
        sites = waiting.pop()
        for group in groups:
            union = sites | group
            if sites & group and union not in found:
                found.add(union)
                waiting.append(union)
    return found


def _capacity(sites: int, capacities: Mapping[int, int]) -> int:
    """What some sites can do with the largest of all sites lost."""
    largest = max(capacities.values())
    rates = [rate for bit, rate in capacities.items() if bit & sites]
    return sum(rates) - (largest if largest in rates else 0)


# Changes over time


def _changes(contract: Contract, position: int, grid: DayGrid) -> Iterator[Change]:
    """The changes of one contract in their order: it holds while any of its windows does."""
    boundaries = [(window.begins, 1, grid.parts_of(window)) for window in contract.windows]
    boundaries += [(window.ends, -1, grid.parts_of(window)) for window in contract.windows]
    boundaries.sort(key=itemgetter(0))
    windows = 0  # that hold, by the part of a day
    before = 0
    for instant, group in groupby(boundaries, key=itemgetter(0)):
        for _, sign, parts in group:
            windows += sign * parts
        after = grid.positive(windows)
        if after != before:
            yield Change(instant, position, before, after)
        before = after


def _segments(changes: Iterator[Change]) -> Iterator[tuple[datetime, datetime, list[Change]]]:
    """The changes of each instant, with the instant of the next ones; none hold after the last ones."""
    waiting: tuple[datetime, list[Change]] | None = None
    for instant, group in groupby(changes, key=itemgetter(0)):
        if waiting is not None:
            yield waiting[0], instant, waiting[1]
        waiting = (instant, list(group))
