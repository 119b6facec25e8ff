"""Decides at one gateway which leg is inside reserved capacity, and which has to wait. Pure: time is an argument.

Each tenant has a token bucket that refills at the gateway's share of its contract (`shares`) while its window holds.
All legs to a site draw on a bucket for what the site can do, of which this gateway has a share as well. A reserved leg
may draw the site's bucket below zero, by its burst at most; any other leg has to leave in it what the tenants could
take within `RECLAIM_TIME`. So reserved capacity that is idle is lent without any message, and is back within
`RECLAIM_TIME` of being asked for.
"""

from dataclasses import dataclass
from typing import NamedTuple

SECOND = 10_000  # tenths of a millisecond
RECLAIM_TIME = SECOND // 5  # within which lent capacity is back
THOUSAND = 1000  # buckets and rates count thousandths of legs
MIN_SITE_BURST = 2 * THOUSAND  # thousandths of legs that a site's bucket holds at least beyond the tenants' margin


class AdmissionResult(NamedTuple):
    """What was decided on a leg."""

    reserved: bool  # inside reserved capacity
    wait: int  # tenths of a millisecond until it could go; 0: it may go now


@dataclass(slots=True)
class Bucket:
    """A token bucket."""

    tokens: float  # thousandths of legs
    updated: int  # tenths of a millisecond

    def refill(self, now: int, rate: int, capacity: float) -> None:
        """Adds what has accrued since the last refill, at a rate in thousandths of a leg a second."""
        self.tokens = min(capacity, self.tokens + (now - self.updated) * rate / SECOND)
        self.updated = now


class Tenant(NamedTuple):
    """One contract at this gateway while its window holds."""

    share: int  # thousandths of a leg a second
    burst: float  # legs
    max_open: int  # legs
    shed_order: int  # the contract with the highest number loses its reservation first


def fit_to_capacity(tenants: dict[int, Tenant], capacity: int) -> dict[int, Tenant]:
    """Reduces shares where the sites can do less than is reserved: those of the highest shed order first.

    `capacity` is in thousandths of a leg a second. Tenants of the same order are reduced from the highest key down.
    """
    left = capacity
    fitted = {}
    for key, tenant in sorted(tenants.items(), key=lambda item: (item[1].shed_order, item[0])):
        fitted[key] = tenant._replace(share=max(0, min(tenant.share, left)))
        left -= tenant.share
    return fitted


class ContractAdmission:
    """The token buckets of one gateway, and its count of open reserved legs.

    A bucket starts empty, so that a gateway that restarts does not grant a second burst.
    """

    def __init__(self, now: int) -> None:
        """Starts with empty buckets, which refill from `now`."""
        self.site_buckets: dict[int, Bucket] = {}  # one a site
        self.tenant_buckets: dict[int, Bucket] = {}  # one a contract
        self.open_legs: dict[int, int] = {}  # reserved legs, by contract
        self.started = now

    def admit(
        self, now: int, key: int | None, site_rate: int, tenants: dict[int, Tenant], legs: int = 1, site: int = 0
    ) -> AdmissionResult:
        """Admits one leg or more to a site together, or says how long to wait.

        `tenants` are those with a reservation at the site now. `key` is the one that asks; None is anybody else.
        `site_rate` is what the site can do for this gateway, in thousandths of a leg a second.
        """
        cost = legs * THOUSAND
        margin = sum(tenant.share for tenant in tenants.values()) * RECLAIM_TIME / SECOND
        site_bucket = self.site_buckets.setdefault(site, Bucket(0.0, self.started))
        site_bucket.refill(now, site_rate, margin + max(MIN_SITE_BURST, site_rate * RECLAIM_TIME / SECOND))
        tenant = tenants.get(key) if key is not None else None
        if tenant is not None and self._take_reserved(now, key, tenant, legs):
            site_bucket.tokens = max(-tenant.burst * THOUSAND - margin, site_bucket.tokens - cost)
            return AdmissionResult(True, 0)
        # Beyond its reservation a tenant has the same chance as everybody else.
        if site_bucket.tokens - cost < margin:
            missing = margin + cost - site_bucket.tokens
            return AdmissionResult(False, max(1, int(missing * SECOND / max(1, site_rate))))
        site_bucket.tokens -= cost
        return AdmissionResult(False, 0)

    def _take_reserved(self, now: int, key: int, tenant: Tenant, legs: int) -> bool:
        """Takes legs from the tenant's reservation; False if it has too few tokens or too many open legs."""
        bucket = self.tenant_buckets.setdefault(key, Bucket(0.0, self.started))
        bucket.refill(now, tenant.share, max(THOUSAND, tenant.burst * THOUSAND))
        open_legs = self.open_legs.get(key, 0)
        if bucket.tokens < legs * THOUSAND or open_legs + legs > tenant.max_open:
            return False
        bucket.tokens -= legs * THOUSAND
        self.open_legs[key] = open_legs + legs
        return True

    def end_reserved(self, key: int, legs: int = 1) -> None:
        """Reserved legs of a contract have ended."""
        self.open_legs[key] = max(0, self.open_legs.get(key, 0) - legs)

    def refund(self, key: int | None, reserved: bool, legs: int = 1, site: int = 0) -> None:
        """Returns the tokens of legs that were never sent."""
        if site in self.site_buckets:
            self.site_buckets[site].tokens += legs * THOUSAND
        if reserved and key in self.tenant_buckets:
            self.tenant_buckets[key].tokens += legs * THOUSAND
