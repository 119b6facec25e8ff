"""One contract in simulated time, at numbers of gateways that drills on processes do not reach.

Compares three ways to enforce it: fixed even parts; parts that are allocated by demand and lent between gateways; and
one owner that is asked for each leg. Times are whole tenths of a millisecond.

The allocating gateway is taken to hold its lease, except for a time after it is killed; docs/leases.md has how long
that takes.
"""

import sys
from dataclasses import dataclass
from typing import Any, Callable

import numpy

from oakfork.contracts import allocation, shares
from oakfork.contracts.admission import ContractAdmission, Tenant
from oakfork.interface import SECOND
from oakfork.lab.event_loop import EventKind, EventLoop
from oakfork.leases.durations import LeaseDurations

LOANS = LeaseDurations(2 * SECOND, 10, 0, 2 * SECOND)
ALLOCATION_PERIOD = SECOND // 2
ALLOCATION_PERIODS_KEPT = 4  # periods for which a gateway uses an allocation that is not renewed
DELAY = 50  # mean delay of a frame: half of it is fixed, the rest exponential
SCHEMES = ("even parts", "dealt parts", "an owner asked")
OWNER_TIMEOUT = SECOND // 20  # then the even part decides, as slices do for quotas
OWNER_DOWNTIME = 4 * SECOND  # after the owner or allocating gateway is killed
WARM_UP = 5  # seconds until buckets, which start empty, are full and demand is known
BURST = 0.5  # seconds of the rate
DEMAND_WEIGHT = 0.4  # of the last period in the moving average of a gateway's demand


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one run."""

    scheme: str
    gateways: int
    loss: float
    seed: int
    got: float  # admitted legs over the legs reserved in the same time
    seconds_kept: float  # fraction of seconds with at least 99% of what is reserved
    over: float  # most legs in any second beyond rate and burst, over the rate
    frames: float  # per second, in the whole fleet
    waited: float  # milliseconds per leg that legs waited for the owner
    state_bytes: int  # of all gateways' shares


class ContractModel:
    """Gateways that admit the legs of one contract in one of SCHEMES."""

    def __init__(self, scheme: str, gateways: int, rate: float, loss: float, seed: int, kill_at: int = 0) -> None:
        """`rate` is in legs per second, `loss` the fraction of frames lost; 0 as `kill_at` kills nothing."""
        self.scheme = scheme
        self.gateways = gateways
        self.rate = rate
        self.loss = loss
        self.seed = seed
        self.loop = EventLoop()
        self.rng = numpy.random.default_rng(seed)
        self.loop.now = 100 * SECOND
        self.even = [shares.even_share(rate, gateway, gateways) for gateway in range(gateways)]
        self.shares = [shares.Share(even, 0) for even in self.even]
        self.admissions = [ContractAdmission(self.loop.now) for _ in range(gateways)]
        self.owner = ContractAdmission(self.loop.now)
        self.weights = self.rng.random(gateways) + 0.05  # drawn and replaced: the later draws depend on it
        self._redraw_weights()
        self.asked = [0] * gateways  # legs in this period
        self.demand = [0.0] * gateways  # legs per second
        self.reported_demand: dict[int, int] = {}  # thousandths of a leg per second, by gateway
        self.allocations: list[tuple[int, int, tuple[tuple[int, int], ...]]] = [(0, 0, ())] * gateways
        self.admitted: list[int] = []  # when each leg was admitted
        self.frames = 0
        self.waited = 0
        self.legs = 0
        self.owner_down_from = kill_at
        self.owner_down_until = kill_at + OWNER_DOWNTIME if kill_at else 0

    def _redraw_weights(self) -> None:
        """Spreads demand: every gateway is asked, and a tenth of them for half of it all."""
        busy = self.rng.choice(self.gateways, max(1, self.gateways // 10), replace=False)
        self.weights = self.rng.random(self.gateways) + 0.05
        self.weights[busy] += self.weights.sum() / len(busy)
        self.weights /= self.weights.sum()

    def _owner_is_down(self) -> bool:
        return self.owner_down_from <= self.loop.now < self.owner_down_until

    def send(self, receive: Callable[..., None], *args: Any) -> None:
        """Sends a frame, which calls `receive` after a delay or is lost."""
        self.frames += 1
        if self.rng.random() >= self.loss:
            delay = DELAY // 2 + round(self.rng.exponential(DELAY / 2))
            self.loop.after(delay, EventKind.NEWS, receive, *args)

    # Legs

    def leg(self, per_second: float) -> None:
        """One leg arrives at a gateway drawn by weight; schedules the next one."""
        gateway = int(self.rng.choice(self.gateways, p=self.weights))
        self.asked[gateway] += 1
        self.legs += 1
        if self.scheme != "an owner asked":
            self._admit_locally(gateway)
        else:
            self._ask_owner(gateway)
        delay = max(1, round(self.rng.exponential(SECOND / per_second)))
        self.loop.after(delay, EventKind.CLIENT, self.leg, per_second)

    def _admit_locally(self, gateway: int) -> None:
        share = self.shares[gateway].now(self.loop.now)
        burst = max(1.0, self.rate * BURST / self.gateways)
        tenants = {1: Tenant(share, burst, 1_000_000, 0)}
        if self.admissions[gateway].admit(self.loop.now, 1, 0, tenants).reserved:
            self.admitted.append(self.loop.now)

    def _ask_owner(self, gateway: int) -> None:
        """Asks gateway 0 for one leg; without an answer in time the gateway's own part decides."""
        now = self.loop.now
        answered = [False]
        if gateway == 0:
            self._owner_asked(gateway, now, answered)
        else:
            self.send(self._owner_asked, gateway, now, answered)
            self.loop.after(OWNER_TIMEOUT, EventKind.TIMER, self._owner_timed_out, gateway, answered)

    def _owner_asked(self, gateway: int, asked_at: int, answered: list[bool]) -> None:
        tenants = {1: Tenant(int(self.rate * 1000), self.rate * BURST, 1_000_000, 0)}
        if self._owner_is_down():
            return
        admitted = self.owner.admit(self.loop.now, 1, 0, tenants).reserved
        if gateway == 0:
            self._owner_answered(asked_at, admitted, answered)
        else:
            self.send(self._owner_answered, asked_at, admitted, answered)

    def _owner_answered(self, asked_at: int, admitted: bool, answered: list[bool]) -> None:
        if not answered[0]:
            answered[0] = True
            self.waited += self.loop.now - asked_at
            if admitted:
                self.admitted.append(self.loop.now)

    def _owner_timed_out(self, gateway: int, answered: list[bool]) -> None:
        if not answered[0]:
            answered[0] = True
            self.waited += OWNER_TIMEOUT
            self._admit_locally(gateway)

    # Allocation and loans

    def allocate(self) -> None:
        """Does each period what `oakfork.contracts.runner` does: measures demand, allocates, and sends the result."""
        for gateway in range(self.gateways):
            last_period = DEMAND_WEIGHT * self.asked[gateway] * SECOND / ALLOCATION_PERIOD
            self.demand[gateway] = last_period + (1 - DEMAND_WEIGHT) * self.demand[gateway]
            self.asked[gateway] = 0
        if not self._owner_is_down():
            for gateway, allocated in enumerate(allocation.allocate(self.even, self.reported_demand)):
                self.send(self._receive_allocation, gateway, allocated)
        self.loop.after(ALLOCATION_PERIOD, EventKind.TIMER, self.allocate)

    def _receive_allocation(self, gateway: int, allocated: allocation.Allocation) -> None:
        until = self.loop.now + ALLOCATION_PERIODS_KEPT * ALLOCATION_PERIOD
        self.allocations[gateway] = until, allocated.lends, allocated.borrows
        demand = round(self.demand[gateway] * 1000)
        self.send(self.reported_demand.__setitem__, gateway, demand)

    def renew_loans(self) -> None:
        """Asks for the loans of all allocations that are still in use, three times in the duration of a loan."""
        for gateway, (until, _, borrows) in enumerate(self.allocations):
            if self.loop.now < until:
                for lender, amount in borrows:
                    self.send(self._lend, gateway, lender, amount, self.loop.now)
        self.loop.after(LOANS.lease // 3, EventKind.TIMER, self.renew_loans)

    def _lend(self, borrower: int, lender: int, amount: int, asked_at: int) -> None:
        until, lends, _ = self.allocations[lender]
        if self.loop.now < until:
            self.shares[lender], amount = shares.lends(
                self.shares[lender], self.loop.now, borrower, amount, lends, LOANS
            )
            if amount:
                self.send(self._borrow, borrower, lender, amount, asked_at)

    def _borrow(self, borrower: int, lender: int, amount: int, asked_at: int) -> None:
        self.shares[borrower] = shares.borrowed(self.shares[borrower], self.loop.now, lender, amount, asked_at, LOANS)

    def run(self, seconds: int, greed: float = 1.5) -> Result:
        """Runs with a demand of `greed` times the rate, which moves to other gateways at half time."""
        begun = self.loop.now
        self.leg(self.rate * greed)
        if self.scheme == "dealt parts":
            self.allocate()
            self.renew_loans()
        self.loop.after(seconds * SECOND // 2, EventKind.FAULT, self._redraw_weights)
        self.loop.run(begun + seconds * SECOND)
        by_second = self._admitted_by_second(begun, seconds)
        size = sum(sys.getsizeof(share) + 64 * (len(share.given) + len(share.taken)) for share in self.shares)
        return Result(
            scheme=self.scheme,
            gateways=self.gateways,
            loss=self.loss,
            seed=self.seed,
            got=float(by_second.mean() / self.rate),
            seconds_kept=float((by_second >= 0.99 * self.rate).mean()),
            over=max(0.0, float(by_second.max() - (1 + BURST) * self.rate) / self.rate),
            frames=self.frames / seconds,
            waited=self.waited / 10 / max(1, self.legs),
            state_bytes=size,
        )

    def _admitted_by_second(self, begun: int, seconds: int) -> numpy.ndarray:
        """Admitted legs in each full second after WARM_UP."""
        first = begun + WARM_UP * SECOND
        counted = seconds - WARM_UP
        numbers = [(at - first) // SECOND for at in self.admitted if at >= first]
        return numpy.bincount(numbers, minlength=counted)[:counted]
