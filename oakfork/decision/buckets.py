"""Token buckets of customers, and which of them makes room for another one where a table is full."""

import itertools
from dataclasses import dataclass, field
from typing import Sequence

from oakfork.decision.context import QuotaLimits
from oakfork.interface import Plan

EVICTION_CANDIDATES = 16  # buckets of which the fullest makes room for another customer's


@dataclass(slots=True)
class DropTimer:
    """The timer that checks whether a bucket is full; one that takes an evicted one's place takes it over."""

    key: tuple[int, int]


@dataclass(slots=True)
class Bucket:
    """Tokens of one customer under one plan, here as owner or as local slice; dropped when full."""

    tokens: float
    updated: int
    limits: QuotaLimits
    timer: DropTimer
    missing: float = 0.0  # what it would hold besides, had it begun full
    # Holder of an open call-out -> when its place lapses.
    leases: dict[tuple, int] = field(default_factory=dict)

    def refill(self, now: int) -> None:
        """Brings the tokens up to a time on the gateway's clock."""
        tokens = self.tokens + (now - self.updated) * (self.limits.rate or 0.0)
        self.tokens = min(self.limits.capacity, tokens)
        self.updated = now

    def is_full(self, now: int) -> bool:
        """Whether it holds all it can, and no open call-out does; it is refilled to that time."""
        self.refill(now)
        return self.tokens >= self.limits.capacity and all(lapses <= now for lapses in self.leases.values())


def evict_fullest(buckets: dict[tuple[int, int], Bucket], plans: Sequence[Plan], now: int) -> Bucket | None:
    """Drops the fullest of some buckets, so that it counts as full; None where none of them may be dropped.

    Exception, only where the table is full: guards against clients that ask under ever new names. What is
    granted twice is what the bucket lacks, mostly one request of such a name. Under a ceiling, and while
    call-outs are open, nothing is dropped.
    """
    fullest = None
    fullest_share = -1.0
    for key in list(itertools.islice(buckets, EVICTION_CANDIDATES)):
        bucket = buckets[key] = buckets.pop(key)  # others are looked at next time
        bucket.refill(now)
        share = bucket.tokens / max(1e-9, bucket.limits.capacity)
        if share > fullest_share and not bucket.leases and not plans[key[1]].ceiling_rate:
            fullest, fullest_share = key, share
    return None if fullest is None else buckets.pop(fullest)
