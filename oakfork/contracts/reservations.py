"""What a contracts file that has passed its checks says: sites, contracts, and the windows in which they hold."""

from dataclasses import dataclass
from datetime import datetime, time


@dataclass(frozen=True, slots=True)
class Window:
    """When a contract holds, in UTC."""

    begins: datetime
    ends: datetime  # the first instant after it
    daily: tuple[time, time] | None  # from, until; past midnight if the second is not after the first

    def holds(self, instant: datetime) -> bool:
        """Whether an instant, in UTC, is inside the window."""
        if not self.begins <= instant < self.ends:
            return False
        if self.daily is None:
            return True
        first, last = self.daily
        now = instant.time()
        if first < last:
            return first <= now < last
        return now >= first or now < last


@dataclass(frozen=True, slots=True)
class Contract:
    """Capacity that a tenant has reserved. Amounts are over the whole fleet."""

    tenant: str
    customers: frozenset[int]  # ids
    rate: float  # legs a second
    burst: float  # legs
    max_open: int  # legs
    sites: frozenset[str]  # names
    windows: tuple[Window, ...]
    shed_order: int  # the contract with the highest number loses its reservation first

    def holds(self, instant: datetime) -> bool:
        """Whether an instant, in UTC, is inside a window of the contract."""
        return any(window.holds(instant) for window in self.windows)


@dataclass(frozen=True, slots=True)
class ContractsFile:
    """A contracts file that has passed its checks."""

    sites: tuple[tuple[str, float], ...]  # name, legs a second
    contracts: tuple[Contract, ...]
    home: str  # the site of an ordinary RPC's one leg

    @property
    def capacity(self) -> float:
        """What all sites together can do, in legs a second."""
        return sum(rate for _, rate in self.sites)
