"""Which leg is inside reserved capacity, and which must wait, at one gateway. Pure: time is an argument.

Each tenant in its window has a bucket that fills at the gateway's part (`shares`), refilled and taken in one step.
All legs to a site draw on a bucket of what it can do, of which this gateway has a part like any contract's. A reserved
leg may draw it down to below nothing by its burst; any other has to leave in it what the tenants could take in
`BACK`. So what is reserved and idle is lent by itself, and is back within `BACK` of being asked for.
"""

from dataclasses import dataclass
from typing import NamedTuple

SECOND = 10_000
RECLAIM_TIME = SECOND // 5  # lent capacity is back after that
THOUSAND = 1000


class AdmissionResult(NamedTuple):
    reserved: bool
    wait: int  # 0: it may go; otherwise after that, it could


@dataclass(slots=True)
class Bucket:
    """Thousandths of legs."""

    tokens: float
    updated: int

    def refill(self, now: int, part: int, most: float) -> None:
        self.tokens = min(most, self.tokens + (now - self.updated) * part / SECOND)
        self.updated = now


class Tenant(NamedTuple):
    """One contract at this gateway while its window holds."""

    part: int  # thousandths of a leg a second
    burst: float  # legs
    open: int
    goes: int  # the highest goes first


def fit_to_capacity(tenants: dict[int, Tenant], whole: int) -> dict[int, Tenant]:
    """What is left of the parts where the sites can do less than is reserved: who goes first has the least."""
    left, fits = whole, {}
    for key, tenant in sorted(tenants.items(), key=lambda row: (row[1].goes, row[0])):
        fits[key] = tenant._replace(part=max(0, min(tenant.part, left)))
        left -= tenant.part
    return fits


class ContractAdmission:
    """One bucket a tenant, as many as contracts; `open` counts legs that are out. A bucket begins empty: a gateway
    that starts again grants no second burst."""

    def __init__(self, now: int) -> None:
        self.sites: dict[int, Bucket] = {}  # as many as sites
        self.buckets: dict[int, Bucket] = {}
        self.open: dict[int, int] = {}
        self.born = now

    def admit(
        self, now: int, who: int | None, whole: int, tenants: dict[int, Tenant], legs: int = 1, site: int = 0
    ) -> AdmissionResult:
        """One leg or more to a site, of one of the `tenants` in force there, or of anybody else (None). `whole` is what
        the site can do for this gateway, in thousandths of a leg a second."""
        cost = legs * THOUSAND
        margin = sum(tenant.part for tenant in tenants.values()) * RECLAIM_TIME / SECOND
        there = self.sites.setdefault(site, Bucket(0.0, self.born))
        there.refill(now, whole, margin + max(THOUSAND * 2, whole * RECLAIM_TIME / SECOND))
        tenant = tenants.get(who) if who is not None else None
        if tenant is not None:
            bucket = self.buckets.setdefault(who, Bucket(0.0, self.born))
            bucket.refill(now, tenant.part, max(THOUSAND, tenant.burst * THOUSAND))
            if bucket.tokens >= cost and self.open.get(who, 0) + legs <= tenant.open:
                bucket.tokens -= cost
                there.tokens = max(-tenant.burst * THOUSAND - margin, there.tokens - cost)
                self.open[who] = self.open.get(who, 0) + legs
                return AdmissionResult(True, 0)
        if there.tokens - cost < margin:  # beyond what is reserved a tenant is as all others are
            lacks = margin + cost - there.tokens
            return AdmissionResult(False, max(1, int(lacks * SECOND / max(1, whole))))
        there.tokens -= cost
        return AdmissionResult(False, 0)

    def over(self, who: int, legs: int = 1) -> None:
        """Reserved legs have ended."""
        self.open[who] = max(0, self.open.get(who, 0) - legs)

    def unsent(self, who: int | None, reserved: bool, legs: int = 1, site: int = 0) -> None:
        """Legs that were never sent come back."""
        if site in self.sites:
            self.sites[site].tokens += legs * THOUSAND
        if reserved and who in self.buckets:
            self.buckets[who].tokens += legs * THOUSAND
