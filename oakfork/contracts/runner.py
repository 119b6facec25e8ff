"""The trio part of contracts at one gateway: what it deals if it holds the lease, what it lends and borrows, and its
gate."""

import time
import zlib
from collections import Counter
from datetime import UTC, datetime
from typing import Any

import trio
from structlog.stdlib import BoundLogger

from oakfork.contracts import allocation, shares
from oakfork.contracts.admission import AdmissionResult, ContractAdmission, Tenant, fit_to_capacity
from oakfork.contracts.contracts_file import Contract, ContractsFile, read
from oakfork.contracts.messages import Borrow, Dealt, Demand, Lent
from oakfork.errors import ContractsFileError, log_fields
from oakfork.fleet.config import FleetFile
from oakfork.fleet.transport import DatagramTransport, steady_clock
from oakfork.leases.durations import LeaseDurations
from oakfork.leases.fence import Verdict as Judged
from oakfork.leases.runner import LeaseRunner

DEAL_EVERY = 0.5  # seconds
KEPT = 4  # deals are heeded, and demand believed, for so many times that
LOAN = 20_000  # tenths of a millisecond that a loan is counted by who borrows
FRESH = 200  # what is in force is looked up anew after that
LATELY = 0.4  # weight of the last interval in the demand


def key_of(contract: Contract, place: int) -> int:
    return zlib.crc32(f"{contract.tenant}/{place}".encode())


def key_of_site(name: str) -> int:
    return zlib.crc32(f"site/{name}".encode())


class Contracts:
    def __init__(
        self, path: str, file: FleetFile, me: int, transport: DatagramTransport, leases: LeaseRunner, log: BoundLogger
    ) -> None:
        self.path, self.file, self.me, self.transport, self.leases, self.log = path, file, me, transport, leases, log
        self.gateways, self.life = len(file.addresses), leases.life
        self.durations = LeaseDurations(LOAN, file.durations.drift, 0, LOAN)
        self.gate = ContractAdmission(steady_clock())
        self.parts: dict[int, shares.Share] = {}  # as many as contracts and sites
        self.asked: Counter[int] = Counter()  # legs in this interval, by key
        self.demand: dict[int, float] = {}  # legs a second, by key
        self.heard: dict[int, tuple[int, dict[int, int]]] = {}  # as allotter: gateway -> when, demand by key
        self.deal: dict[int, tuple[int, int, tuple[tuple[int, int], ...]]] = {}  # key -> until, lends, borrows
        self.out: dict[int, tuple[int, int, int]] = {}  # an asking -> key, lender, when; dropped after LOAN
        self.number = 0
        self.ready, self.most = 0, 0  # servers that are listed as ready; the most so far
        # When what is in force was looked up, and that: by site what it can do here, and whose windows hold there.
        self.looked, self.force = -FRESH, {}
        self.take(read(path))
        for kind, handler in ((Dealt, self._dealt), (Demand, self._demand), (Borrow, self._borrow), (Lent, self._lent)):
            transport.handlers[kind] = handler

    def take(self, book: ContractsFile) -> None:
        """A book: parts of contracts that are in both go on."""
        now = steady_clock()
        self.book = book
        self.keys = {key_of(contract, place): contract for place, contract in enumerate(book.contracts)}
        self.owners: dict[int, list[int]] = {}
        for key, contract in self.keys.items():
            for customer in contract.customers:
                self.owners.setdefault(customer, []).append(key)
        self.home = key_of_site(book.home)
        rates = self.rates()
        for key in [key for key in self.parts if key not in rates]:
            del self.parts[key]
        for key, rate in rates.items():
            even = shares.even_share(rate, self.me, self.gateways)
            self.parts[key] = (
                self.parts[key]._replace(even=even)
                if key in self.parts
                else shares.initial_share(even, now, self.durations)
            )
        self.looked = -FRESH

    def rates(self) -> dict[int, float]:
        """What is dealt: each contract, and what each site can do."""
        return {key: contract.rate for key, contract in self.keys.items()} | {
            key_of_site(name): rate for name, rate in self.book.sites
        }

    def reread(self) -> None:
        """On SIGHUP. A book that is not usable changes nothing."""
        try:
            self.take(read(self.path))
        except ContractsFileError as error:
            self.log.error("the new book is not usable, the old one holds", **log_fields(error))
        else:
            self.log.info("book read anew", contracts=len(self.book.contracts))

    # The gate

    def in_force(self, now: int) -> dict[int, tuple[int, dict[int, Tenant]]]:
        """By site: what it can do here, and the tenants that may use it and whose window holds."""
        if now >= self.looked + FRESH:
            instant, self.looked = datetime.now(UTC), now
            held = {key: contract for key, contract in self.keys.items() if contract.holds(instant)}
            tenants = {
                key: Tenant(
                    self.parts[key].now(now),
                    contract.burst / self.gateways,
                    shares.even(contract.open, self.me, self.gateways),
                    contract.goes,
                )
                for key, contract in held.items()
            }
            self.force = {}
            for name, _ in self.book.sites:
                site = key_of_site(name)
                able = self.ready / self.most if site == self.home and self.most else 1.0
                whole = int(self.parts[site].now(now) * able)
                there = {key: tenant for key, tenant in tenants.items() if name in held[key].sites}
                self.force[site] = whole, fit_to_capacity(there, whole)
        return self.force

    def admit_rpc(self, customer: int, legs: int = 1, site: int | None = None) -> tuple[int | None, AdmissionResult]:
        """Whether legs of that customer may go to that site (home if none) now, and what contract reserves them."""
        now, site = steady_clock(), self.home if site is None else site
        whole, tenants = self.in_force(now)[site]
        who = next((key for key in self.owners.get(customer, ()) if key in tenants), None)
        self.asked[site] += legs
        if who is not None:
            self.asked[who] += legs
        verdict = self.gate.admit(now, who, whole, tenants, legs, site)
        return (who if verdict.reserved else None), verdict

    def rpc_ended(self, contract: int | None, sent: bool) -> None:
        """An ordinary RPC's leg has ended; one that was never sent comes back."""
        if contract is not None:
            self.gate.over(contract)
        if not sent:
            self.gate.unsent(contract, contract is not None, site=self.home)

    def set_ready_servers(self, ready: int) -> None:
        self.ready, self.most = ready, max(self.most, ready)
        self.looked = -FRESH

    # Dealing

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._count)
            nursery.start_soon(self._deal)
            nursery.start_soon(self._renew)

    async def _count(self) -> None:
        last = time.monotonic()
        while True:
            await trio.sleep(DEAL_EVERY)
            now = time.monotonic()
            for key in self.parts:
                rate = self.asked[key] / max(1e-3, now - last)
                self.demand[key] = rate * LATELY + self.demand.get(key, rate) * (1 - LATELY)
            self.asked.clear()
            last = now

    async def _deal(self) -> None:
        while True:
            await trio.sleep(DEAL_EVERY)
            if not self.leases.holds("allot"):
                self.heard.clear()
                continue
            since = steady_clock() - round(KEPT * DEAL_EVERY * 10_000)
            self.heard = {gateway: told for gateway, told in self.heard.items() if told[0] > since}
            rates = self.rates()
            deals: list[list[Any]] = [[] for _ in range(self.gateways)]
            for key, rate in rates.items():
                even = [shares.even_share(rate, gateway, self.gateways) for gateway in range(self.gateways)]
                demand = {gateway: asked[key] for gateway, (_, asked) in self.heard.items() if key in asked}
                for gateway, deal in enumerate(allocation.allocate(even, demand)):
                    deals[gateway].append((key, deal.lends, list(deal.borrows)))
            for gateway, rows in enumerate(deals):
                for first in range(0, len(rows), 8):
                    if (may := self.leases.may_act("allot", gateway)) is not None:
                        term, life, end = may
                        self.transport.send(gateway, Dealt(self.me, life, term, end, rows[first : first + 8]))
                await trio.lowlevel.checkpoint()

    def _dealt(self, sender: int, dealt: Dealt) -> None:
        if self.leases.judge("allot", dealt.life, dealt.term, dealt.end) is not Judged.TAKEN:
            return
        now = steady_clock()
        for key, lends, borrows in dealt.deals:
            if key in self.parts:
                self.deal[key] = now + round(KEPT * DEAL_EVERY * 10_000), lends, tuple(borrows)
        rows = [
            (key, min(1_000_000_000, round(self.demand.get(key, 0.0) * 1000)), part.now(now))
            for key, part in self.parts.items()
        ]
        for first in range(0, len(rows), 40):
            self.transport.send(sender, Demand(self.me, rows[first : first + 40]))

    def _demand(self, sender: int, demand: Demand) -> None:
        if demand.gateway == sender:
            _, asked = self.heard.get(sender, (0, {}))
            self.heard[sender] = (
                steady_clock(),
                asked | {key: amount for key, amount, _ in demand.asked if key in self.parts},
            )

    # Loans

    async def _renew(self) -> None:
        while True:
            await trio.sleep(LOAN / 30_000)
            now = steady_clock()
            self.out = {number: asking for number, asking in self.out.items() if now < asking[2] + LOAN}
            for key, (until, _, borrows) in self.deal.items():
                for lender, amount in borrows if now < until and key in self.parts else ():
                    if lender < self.gateways and lender != self.me:
                        self.number += 1
                        self.out[self.number] = key, lender, steady_clock()
                        self.transport.send(lender, Borrow(self.me, self.life, self.number, key, amount, LOAN))

    def _borrow(self, sender: int, borrow: Borrow) -> None:
        now, (until, lends, _) = steady_clock(), self.deal.get(borrow.key, (0, 0, ()))
        if borrow.gateway != sender or borrow.key not in self.parts or now >= until or borrow.length > LOAN:
            return
        self.parts[borrow.key], amount = shares.lends(
            self.parts[borrow.key], now, sender, borrow.amount, lends, self.durations
        )
        self.looked = -FRESH
        if amount:
            self.transport.send(sender, Lent(self.me, borrow.life, borrow.number, borrow.key, amount))

    def _lent(self, sender: int, lent: Lent) -> None:
        key, lender, asked_at = self.out.get(lent.number, (-1, -1, 0))
        if lent.life == self.life and lent.lender == sender == lender and lent.key == key and key in self.parts:
            self.parts[key] = shares.borrowed(
                self.parts[key], steady_clock(), lender, lent.amount, asked_at, self.durations
            )
            self.looked = -FRESH
