"""Runs the contracts of one gateway under trio: admission, loans, and allocation while it holds the "allot" lease."""

import time
from collections import Counter
from collections.abc import Iterator
from datetime import UTC, datetime
from itertools import islice
from typing import Any, Iterable, NamedTuple, TypeVar

import trio
from structlog.stdlib import BoundLogger

from oakfork.contracts import allocation, shares
from oakfork.contracts.admission import AdmissionResult, ContractAdmission, Tenant, fit_to_capacity
from oakfork.contracts.book import Book, key_of_site, read_book
from oakfork.contracts.messages import (
    MAX_ALLOCATIONS,
    MAX_AMOUNT,
    MAX_DEMANDS,
    AllocationUpdate,
    DemandReport,
    LoanGrant,
    LoanRequest,
)
from oakfork.errors import ContractsFileError, log_fields
from oakfork.fleet.config import FleetFile
from oakfork.fleet.transport import DatagramTransport, steady_clock
from oakfork.leases.durations import LeaseDurations
from oakfork.leases.fence import Verdict
from oakfork.leases.runner import LeaseRunner

TENTHS_PER_SECOND = 10_000
ALLOCATION_INTERVAL = 0.5  # seconds
# For that long allocations are followed, and reports of demand count, without newer ones: four intervals.
REPORT_LIFETIME = round(4 * ALLOCATION_INTERVAL * TENTHS_PER_SECOND)  # tenths of a millisecond
LOAN_LENGTH = 20_000  # tenths of a millisecond that a borrower counts a loan for
RENEWALS_PER_LOAN = 3  # requests within the length of a loan, so that one lost request costs no loan
IN_FORCE_LIFETIME = 200  # tenths of a millisecond for which `Contracts.in_force` is not computed again
DEMAND_WEIGHT = 0.4  # of the last interval in the moving average of demand
MIN_INTERVAL = 1e-3  # seconds; a shorter interval counts as this one for a rate

Item = TypeVar("Item")


class DemandOfGateway(NamedTuple):
    """What a gateway has reported to the allocator."""

    received: int  # tenths of a millisecond
    by_key: dict[int, int]  # thousandths of a leg a second


class CurrentAllocation(NamedTuple):
    """What this gateway may lend and should borrow of one contract or site."""

    until: int  # tenths of a millisecond
    lends: int
    borrows: tuple[tuple[int, int], ...]  # (lender, amount)


class PendingLoan(NamedTuple):
    """A request for a loan; a grant counts until LOAN_LENGTH after it."""

    key: int
    lender: int
    asked_at: int  # tenths of a millisecond


class SiteInForce(NamedTuple):
    """What a site can do for this gateway now, and the tenants that have reserved capacity there."""

    rate: int  # thousandths of a leg a second
    tenants: dict[int, Tenant]  # by key


NOT_RELOADED = "contracts file not reloaded: it is not usable, the previous one stays in force"
NO_ALLOCATION = CurrentAllocation(0, 0, ())


def _batches(items: list[Item], size: int) -> Iterator[list[Item]]:
    remaining = iter(items)
    while batch := list(islice(remaining, size)):
        yield batch


class Contracts:
    """The contracts at one gateway. Contracts and sites are known by their keys."""

    def __init__(
        self,
        path: str,
        fleet_file: FleetFile,
        gateway: int,
        transport: DatagramTransport,
        leases: LeaseRunner,
        log: BoundLogger,
    ) -> None:
        """Reads the contracts file at `path`, and registers the handlers of messages with the transport.

        `gateway` is this gateway's number. Raises ContractsFileError.
        """
        self.path = path
        self.gateway = gateway
        self.gateways = len(fleet_file.addresses)
        self.transport = transport
        self.leases = leases
        self.log = log
        self.durations = LeaseDurations(LOAN_LENGTH, fleet_file.durations.drift, 0, LOAN_LENGTH)
        self.admission = ContractAdmission(steady_clock())
        self.shares: dict[int, shares.Share] = {}  # of each contract and site
        self.legs_asked: Counter[int] = Counter()  # in this interval, by key
        self.demand: dict[int, float] = {}  # legs a second, by key
        self.reported_demand: dict[int, DemandOfGateway] = {}  # by gateway, while this one allocates
        self.allocations: dict[int, CurrentAllocation] = {}  # by key
        self.pending_loans: dict[int, PendingLoan] = {}  # by the request's number; dropped after LOAN_LENGTH
        self.last_loan_request = 0  # number
        self.ready_servers = 0  # that are listed now
        self.most_ready_servers = 0  # so far
        self.in_force_computed = -IN_FORCE_LIFETIME  # tenths of a millisecond
        self.sites_in_force: dict[int, SiteInForce] = {}  # by key
        self.reload_requested = trio.Event()
        self._use(read_book(path))
        transport.handlers |= {
            AllocationUpdate: self._on_allocations,
            DemandReport: self._on_demand,
            LoanRequest: self._on_loan_request,
            LoanGrant: self._on_loan_grant,
        }

    def _use(self, book: Book) -> None:
        """Puts a book in force; shares of contracts and sites that were there before keep their loans."""
        now = steady_clock()
        self.book = book
        self.home = key_of_site(book.file.home)
        rates = book.rates
        for key in [key for key in self.shares if key not in rates]:
            del self.shares[key]
        for key, rate in rates.items():
            even = shares.even_share(rate, self.gateway, self.gateways)
            if key in self.shares:
                self.shares[key] = self.shares[key]._replace(even=even)
            else:
                self.shares[key] = shares.initial_share(even, now, self.durations)
        self._expire_in_force()

    def reread(self) -> None:
        """On SIGHUP, has the file read again; one that is not usable changes nothing."""
        self.reload_requested.set()

    async def _reload(self) -> None:
        """Reads the file again whenever that is requested, and once more if it is requested meanwhile.

        It is read in a thread: the event loop has its turns every few milliseconds, whatever the file's size.
        """
        while True:
            await self.reload_requested.wait()
            self.reload_requested = trio.Event()
            try:
                book = await trio.to_thread.run_sync(read_book, self.path, abandon_on_cancel=True)
            except ContractsFileError as error:
                self.log.error(NOT_RELOADED, **log_fields(error))
            except Exception:  # whatever the file says, the gateway goes on
                self.log.exception(NOT_RELOADED)
            else:
                self._use(book)
                self.log.info("contracts file reloaded", contracts=len(book.file.contracts))

    # Admission

    def in_force(self, now: int) -> dict[int, SiteInForce]:
        """What each site can do for this gateway now, and the tenants that have reserved capacity there, by key."""
        if now >= self.in_force_computed + IN_FORCE_LIFETIME:
            self.in_force_computed = now
            self.sites_in_force = self._compute_in_force(now, datetime.now(UTC))
        return self.sites_in_force

    def _compute_in_force(self, now: int, instant: datetime) -> dict[int, SiteInForce]:
        holding = {key: contract for key, contract in self.book.keys.items() if contract.holds(instant)}
        tenants = {
            key: Tenant(
                share=self.shares[key].now(now),
                burst=contract.burst / self.gateways,
                max_open=shares.even_split(contract.max_open, self.gateway, self.gateways),
                shed_order=contract.shed_order,
            )
            for key, contract in holding.items()
        }
        in_force = {}
        for name, _ in self.book.file.sites:
            site = key_of_site(name)
            available = 1.0  # share of what the site can do
            if site == self.home and self.most_ready_servers:
                available = self.ready_servers / self.most_ready_servers
            rate = int(self.shares[site].now(now) * available)
            at_site = {key: tenant for key, tenant in tenants.items() if name in holding[key].sites}
            in_force[site] = SiteInForce(rate, fit_to_capacity(at_site, rate))
        return in_force

    def _expire_in_force(self) -> None:
        self.in_force_computed = -IN_FORCE_LIFETIME

    def admit_rpc(self, customer: int, legs: int = 1, site: int | None = None) -> tuple[int | None, AdmissionResult]:
        """Admits legs of a customer to a site, the home site if none is given, or says how long to wait.

        Returns the key of the contract that reserves the legs, None if none does, and the result.
        """
        now = steady_clock()
        if site is None:
            site = self.home
        rate, tenants = self.in_force(now)[site]
        key = next((key for key in self.book.keys_of_customer.get(customer, ()) if key in tenants), None)
        self.legs_asked[site] += legs
        if key is not None:
            self.legs_asked[key] += legs
        result = self.admission.admit(now, key, rate, tenants, legs, site)
        return (key if result.reserved else None), result

    def rpc_ended(self, contract: int | None, sent: bool) -> None:
        """Ends an ordinary RPC's one leg; one that was never sent is refunded.

        `contract` is the key that `admit_rpc` returned.
        """
        if contract is not None:
            self.admission.end_reserved(contract)
        if not sent:
            self.admission.refund(contract, contract is not None, site=self.home)

    def set_ready_servers(self, ready: int) -> None:
        """Takes the number of listed servers that are ready; the home site's capacity follows it."""
        self.ready_servers = ready
        self.most_ready_servers = max(self.most_ready_servers, ready)
        self._expire_in_force()

    # Allocation

    async def run(self) -> None:
        """Measures demand, allocates while this gateway holds the lease, renews loans and reloads, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._measure_demand)
            nursery.start_soon(self._allocate)
            nursery.start_soon(self._renew_loans)
            nursery.start_soon(self._reload)

    async def _measure_demand(self) -> None:
        measured = time.monotonic()
        while True:
            await trio.sleep(ALLOCATION_INTERVAL)
            now = time.monotonic()
            interval = max(MIN_INTERVAL, now - measured)
            for key in self.shares:
                rate = self.legs_asked[key] / interval
                self.demand[key] = rate * DEMAND_WEIGHT + self.demand.get(key, rate) * (1 - DEMAND_WEIGHT)
            self.legs_asked.clear()
            measured = now

    async def _allocate(self) -> None:
        while True:
            await trio.sleep(ALLOCATION_INTERVAL)
            if not self.leases.holds("allot"):
                self.reported_demand.clear()
                continue
            oldest = steady_clock() - REPORT_LIFETIME
            self.reported_demand = {
                gateway: reported for gateway, reported in self.reported_demand.items() if reported.received > oldest
            }
            for gateway, rows in enumerate(self._allocations_of_gateways()):
                self._send_allocations(gateway, rows)
                await trio.lowlevel.checkpoint()

    def _allocations_of_gateways(self) -> list[list[Any]]:
        """Rows of `AllocationUpdate.allocations`, by gateway."""
        rows: list[list[Any]] = [[] for _ in range(self.gateways)]
        for key, rate in self.book.rates.items():
            even = [shares.even_share(rate, gateway, self.gateways) for gateway in range(self.gateways)]
            demand = {
                gateway: reported.by_key[key]
                for gateway, reported in self.reported_demand.items()
                if key in reported.by_key
            }
            for gateway, allocated in enumerate(allocation.allocate(even, demand)):
                rows[gateway].append((key, allocated.lends, list(allocated.borrows)))
        return rows

    def _send_allocations(self, gateway: int, rows: list[Any]) -> None:
        for batch in _batches(rows, MAX_ALLOCATIONS):
            permit = self.leases.begin_act("allot", gateway)
            if permit is not None:
                update = AllocationUpdate(self.gateway, permit.life, permit.term, permit.end, batch)
                self.transport.send(gateway, update)

    def _on_allocations(self, sender: int, update: AllocationUpdate) -> None:
        """Follows the allocations if the fence accepts the act, and reports this gateway's demand to the allocator."""
        if self.leases.check_act("allot", update.life, update.term, update.end) is not Verdict.TAKEN:
            return
        now = steady_clock()
        for key, lends, borrows in update.allocations:
            if key in self.shares:
                self.allocations[key] = CurrentAllocation(now + REPORT_LIFETIME, lends, tuple(borrows))
        demands = [
            (key, min(MAX_AMOUNT, round(self.demand.get(key, 0.0) * 1000)), share.now(now))
            for key, share in self.shares.items()
        ]
        for batch in _batches(demands, MAX_DEMANDS):
            self.transport.send(sender, DemandReport(self.gateway, batch))

    def _on_demand(self, sender: int, report: DemandReport) -> None:
        if report.gateway != sender:
            return
        demand = {key: amount for key, amount, _ in report.demands if key in self.shares}
        if sender in self.reported_demand:
            demand = self.reported_demand[sender].by_key | demand
        self.reported_demand[sender] = DemandOfGateway(steady_clock(), demand)

    # Loans

    async def _renew_loans(self) -> None:
        while True:
            await trio.sleep(LOAN_LENGTH / RENEWALS_PER_LOAN / TENTHS_PER_SECOND)
            now = steady_clock()
            self.pending_loans = {
                number: loan for number, loan in self.pending_loans.items() if now < loan.asked_at + LOAN_LENGTH
            }
            for key, current in self.allocations.items():
                if now < current.until and key in self.shares:
                    self._ask_for_loans(key, current.borrows)

    def _ask_for_loans(self, key: int, borrows: Iterable[tuple[int, int]]) -> None:
        for lender, amount in borrows:
            if lender >= self.gateways or lender == self.gateway:
                continue
            self.last_loan_request += 1
            number = self.last_loan_request
            self.pending_loans[number] = PendingLoan(key, lender, steady_clock())
            request = LoanRequest(self.gateway, self.leases.life, number, key, amount, LOAN_LENGTH)
            self.transport.send(lender, request)

    def _on_loan_request(self, sender: int, request: LoanRequest) -> None:
        now = steady_clock()
        key = request.key
        current = self.allocations.get(key, NO_ALLOCATION)
        if request.gateway != sender or key not in self.shares:
            return
        if now >= current.until or request.length > LOAN_LENGTH:
            return
        self.shares[key], amount = shares.lends(
            self.shares[key], now, sender, request.amount, current.lends, self.durations
        )
        self._expire_in_force()
        if amount:
            self.transport.send(sender, LoanGrant(self.gateway, request.life, request.number, key, amount))

    def _on_loan_grant(self, sender: int, grant: LoanGrant) -> None:
        loan = self.pending_loans.get(grant.number)
        if loan is None or grant.life != self.leases.life:
            return
        from_lender = grant.lender == sender == loan.lender
        if not from_lender or grant.key != loan.key or loan.key not in self.shares:
            return
        self.shares[loan.key] = shares.borrowed(
            self.shares[loan.key], steady_clock(), loan.lender, grant.amount, loan.asked_at, self.durations
        )
        self._expire_in_force()
