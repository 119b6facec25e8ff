"""One contract in simulated time at sizes that processes don't reach: fixed even parts, parts dealt and lent, or an
owner that is asked for each leg. Times are whole tenths of a millisecond.

The allotter's lease is taken as given but for a time without one after it is killed (measured in docs/leases.md).
"""

import sys
from dataclasses import dataclass
from typing import Any

import numpy

from oakfork.contracts import allocation, shares
from oakfork.contracts.admission import ContractAdmission, Tenant
from oakfork.interface import SECOND
from oakfork.lab.event_loop import EventKind, EventLoop
from oakfork.leases.durations import LeaseDurations

LENGTHS = LeaseDurations(2 * SECOND, 10, 0, 2 * SECOND)
DEAL, KEPT, DELAY = SECOND // 2, 4, 50
WAYS = ("even parts", "dealt parts", "an owner asked")
WAIT = SECOND // 20  # for the owner's answer; then the even part decides, as slices do for quotas


@dataclass(frozen=True, slots=True)
class Result:
    way: str
    gateways: int
    loss: float
    seed: int
    got: float  # legs that went, over what was reserved in the same time
    seconds_kept: float  # share of the seconds with 99% of what is reserved
    over: float  # the most that went in any second beyond rate and burst, over the rate
    frames: float  # a second, the whole fleet
    waited: float  # ms a leg, for an answer
    state_bytes: int  # of all gateways' parts


class ContractModel:
    def __init__(self, way: str, gateways: int, rate: float, loss: float, seed: int, kill_at: int = 0) -> None:
        self.way, self.gateways, self.rate, self.loss = way, gateways, rate, loss
        self.loop, self.dice, self.seed = EventLoop(), numpy.random.default_rng(seed), seed
        self.loop.now = 100 * SECOND
        self.even = [shares.even_share(rate, me, gateways) for me in range(gateways)]
        self.parts = [shares.Share(even, 0) for even in self.even]
        self.gates = [ContractAdmission(self.loop.now) for _ in range(gateways)]
        self.owner = ContractAdmission(self.loop.now)
        # Every gateway is asked, a tenth of them for half of it all; these change at half time.
        self.weights = self.dice.random(gateways) + 0.05
        self._shift()
        self.asked = [0] * gateways
        self.demand = [0.0] * gateways
        self.heard: dict[int, int] = {}
        self.deals: list[tuple[int, int, tuple[tuple[int, int], ...]]] = [(0, 0, ())] * gateways
        self.went: list[int] = []
        self.frames, self.waited, self.legs, self.dead = 0, 0, 0, (kill_at, kill_at + 4 * SECOND if kill_at else 0)

    def _shift(self) -> None:
        hot = self.dice.choice(self.gateways, max(1, self.gateways // 10), replace=False)
        self.weights = self.dice.random(self.gateways) + 0.05
        self.weights[hot] += self.weights.sum() / len(hot)
        self.weights /= self.weights.sum()

    def send(self, act: Any, *args: Any) -> None:
        self.frames += 1
        if self.dice.random() >= self.loss:
            self.loop.after(DELAY // 2 + round(self.dice.exponential(DELAY / 2)), EventKind.NEWS, act, *args)

    def tenant(self, me: int) -> dict[int, Tenant]:
        part = self.parts[me].now(self.loop.now)
        return {1: Tenant(part, max(1.0, self.rate * 0.5 / self.gateways), 1_000_000, 0)}

    def leg(self, per_second: float) -> None:
        me = int(self.dice.choice(self.gateways, p=self.weights))
        self.asked[me] += 1
        self.legs += 1
        if self.way != "an owner asked":
            self._local(me)
        elif me == 0:
            ask = [False]
            self._owner(me, self.loop.now, ask)
        else:
            ask = [False]
            self.send(self._owner, me, self.loop.now, ask)
            self.loop.after(WAIT, EventKind.TIMER, self._fallback, me, ask)
        self.loop.after(
            max(1, round(self.dice.exponential(SECOND / per_second))), EventKind.CLIENT, self.leg, per_second
        )

    def _local(self, me: int) -> None:
        if self.gates[me].admit(self.loop.now, 1, 0, self.tenant(me)).reserved:
            self.went.append(self.loop.now)

    def _owner(self, me: int, asked_at: int, ask: list[bool]) -> None:
        whole = {1: Tenant(int(self.rate * 1000), self.rate * 0.5, 1_000_000, 0)}
        if self.dead[0] <= self.loop.now < self.dead[1]:
            return
        yes = self.owner.admit(self.loop.now, 1, 0, whole).reserved
        if me == 0:
            self._answer(asked_at, yes, ask)
        else:
            self.send(self._answer, asked_at, yes, ask)

    def _answer(self, asked_at: int, yes: bool, ask: list[bool]) -> None:
        if not ask[0]:
            ask[0] = True
            self.waited += self.loop.now - asked_at
            if yes:
                self.went.append(self.loop.now)

    def _fallback(self, me: int, ask: list[bool]) -> None:
        if not ask[0]:
            ask[0] = True
            self.waited += WAIT
            self._local(me)

    def deal(self) -> None:
        """What `runner` does each half second: count, deal, be told, tell back."""
        now = self.loop.now
        for me in range(self.gateways):
            self.demand[me] = 0.4 * self.asked[me] * SECOND / DEAL + 0.6 * self.demand[me]
            self.asked[me] = 0
        if not self.dead[0] <= now < self.dead[1]:
            for me, deal in enumerate(allocation.allocate(self.even, self.heard)):
                self.send(self._dealt, me, deal)
        self.loop.after(DEAL, EventKind.TIMER, self.deal)

    def _dealt(self, me: int, deal: allocation.Allocation) -> None:
        self.deals[me] = self.loop.now + KEPT * DEAL, deal.lends, deal.borrows
        self.send(self.heard.__setitem__, me, round(self.demand[me] * 1000))

    def renew(self) -> None:
        for me, (until, _, borrows) in enumerate(self.deals):
            for lender, amount in borrows if self.loop.now < until else ():
                self.send(self._borrow, me, lender, amount, self.loop.now)
        self.loop.after(LENGTHS.lease // 3, EventKind.TIMER, self.renew)

    def _borrow(self, me: int, lender: int, amount: int, asked_at: int) -> None:
        until, lends, _ = self.deals[lender]
        if self.loop.now < until:
            self.parts[lender], amount = shares.lends(self.parts[lender], self.loop.now, me, amount, lends, LENGTHS)
            if amount:
                self.send(self._lent, me, lender, amount, asked_at)

    def _lent(self, me: int, lender: int, amount: int, asked_at: int) -> None:
        self.parts[me] = shares.borrowed(self.parts[me], self.loop.now, lender, amount, asked_at, LENGTHS)

    def run(self, seconds: int, greed: float = 1.5) -> Result:
        begun = self.loop.now
        self.leg(self.rate * greed)
        if self.way == "dealt parts":
            self.deal()
            self.renew()
        self.loop.after(seconds * SECOND // 2, EventKind.FAULT, self._shift)
        self.loop.run(begun + seconds * SECOND)
        first = begun + 5 * SECOND  # what began empty is full, and demand is known
        by_second = numpy.bincount([(at - first) // SECOND for at in self.went if at >= first], minlength=seconds - 5)[
            : seconds - 5
        ]
        size = sum(sys.getsizeof(part) + 64 * (len(part.given) + len(part.taken)) for part in self.parts)
        return Result(
            self.way,
            self.gateways,
            self.loss,
            self.seed,
            float(by_second.mean() / self.rate),
            float((by_second >= 0.99 * self.rate).mean()),
            max(0.0, float(by_second.max() - 1.5 * self.rate) / self.rate),
            self.frames / seconds,
            self.waited / 10 / max(1, self.legs),
            size,
        )
