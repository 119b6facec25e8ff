"""Shares of a contract never sum to more than the whole, and are allocated by demand."""

import pytest
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from oakfork.contracts import allocation, shares
from oakfork.leases.durations import LeaseDurations

DURATIONS = LeaseDurations(lease=1_000, drift=100, act=0, longest=1_000)
GATEWAYS = 4
GATEWAY = st.integers(0, GATEWAYS - 1)
ANY_INDEX = st.integers(0, 1 << 30)  # taken modulo the length of a list


class Shares(RuleBasedStateMachine):
    """The gateways' shares of one contract.

    Requests and grants may be lost, late, repeated and out of order; gateways restart with nothing; clocks differ.
    """

    @initialize(rates=st.lists(st.integers(900, 1_100), min_size=GATEWAYS, max_size=GATEWAYS), total=st.integers(1, 90))
    def start(self, rates, total):
        """Starts all gateways; `rates` are their clock rates per mille, `total` is in legs a second."""
        self.now, self.rates, self.total = 1_000_000, rates, total
        self.shares = [
            shares.initial_share(shares.even_share(total, gateway, GATEWAYS), 0, DURATIONS)
            for gateway in range(GATEWAYS)
        ]
        self.lives, self.requests, self.grants = [0] * GATEWAYS, [], []
        self.loans = 0

    def clock(self, gateway):
        """A gateway's clock."""
        return self.now * self.rates[gateway] // 1_000

    @rule(duration=st.integers(1, 700))
    def time_passes(self, duration):
        """True time goes on."""
        self.now += duration

    @rule(borrower=GATEWAY, lender=GATEWAY, amount=st.integers(1, 30_000))
    def loan_is_requested(self, borrower, lender, amount):
        """A gateway asks another for a loan."""
        if borrower != lender:
            self.requests.append((borrower, self.lives[borrower], lender, amount, self.clock(borrower)))

    @rule(index=ANY_INDEX, allowed=st.integers(0, 30_000))
    def request_arrives(self, index, allowed):
        """Any request that was ever sent arrives; `allowed` is what the allocation lets the lender lend."""
        if self.requests:
            borrower, life, lender, amount, asked_at = self.requests[index % len(self.requests)]
            self.shares[lender], amount = shares.lends(
                self.shares[lender], self.clock(lender), borrower, amount, allowed, DURATIONS
            )
            if amount:
                self.loans += 1
                self.grants.append((borrower, life, lender, amount, asked_at))

    @rule(index=ANY_INDEX)
    def grant_arrives(self, index):
        """Any grant that was ever sent arrives."""
        if self.grants:
            borrower, life, lender, amount, asked_at = self.grants[index % len(self.grants)]
            if life == self.lives[borrower]:
                self.shares[borrower] = shares.borrowed(
                    self.shares[borrower], self.clock(borrower), lender, amount, asked_at, DURATIONS
                )

    @rule(gateway=GATEWAY)
    def gateway_restarts(self, gateway):
        """A gateway forgets its loans."""
        self.lives[gateway] += 1
        self.shares[gateway] = shares.initial_share(self.shares[gateway].even, self.clock(gateway), DURATIONS)

    @invariant()
    def shares_never_sum_to_more_than_the_total(self):
        """Holds after every step; loans are bounded as well."""
        if hasattr(self, "shares"):
            used = [share.now(self.clock(gateway)) for gateway, share in enumerate(self.shares)]
            assert sum(used) <= self.total * 1000 and min(used) >= 0
            assert all(len(share.given) <= shares.MAX_LOANS for share in self.shares)


Shares.TestCase.settings = settings(max_examples=80, stateful_step_count=100, deadline=None, derandomize=True)
TestShares = Shares.TestCase


def replay(*steps):
    """Plays one written history, and checks the sum after each step."""
    machine = Shares()
    machine.start(rates=[1_100, 900, 900, 1_000], total=80)
    machine.now += 2_000
    for name, *args in steps:
        getattr(machine, name)(*args)
        machine.shares_never_sum_to_more_than_the_total()
    assert machine.loans


TWO_BORROW = [
    ("loan_is_requested", 1, 0, 10_000),
    ("request_arrives", 0, 15_000),
    ("grant_arrives", 0),
    ("loan_is_requested", 2, 0, 10_000),
    ("request_arrives", 1, 15_000),
    ("grant_arrives", 1),
]
LATE_GRANT = [
    *TWO_BORROW[:2],
    ("time_passes", 900),
    TWO_BORROW[2],
    ("time_passes", 300),
    ("time_passes", 300),
]


def no_margin_for_drift(durations, time):
    """A lender counts a loan for its length on its own clock."""
    return time


def usable_at_once(even, now, durations):
    """A gateway that restarts uses its share at once."""
    return shares.Share(even, now)


def counts_the_last_loan_alone(share, now):
    """A lender counts the last loan that it gave, and no other."""
    return sum(loan.amount for loan in share.given[-1:] if now < loan.until)


def counted_from_the_grant(share, now, lender, amount, asked_at, durations):
    """A borrower counts a loan from its grant, not from its request."""
    return share._replace(taken=(*share.taken, shares.Loan(lender, amount, now + durations.lease)))


@pytest.mark.parametrize(
    "owner, name, faulty, steps",
    [
        (LeaseDurations, "upper_bound", no_margin_for_drift, [*TWO_BORROW, ("time_passes", 950)]),
        (shares, "initial_share", usable_at_once, [*TWO_BORROW, ("gateway_restarts", 0)]),
        (shares, "lent", counts_the_last_loan_alone, TWO_BORROW),
        (shares, "borrowed", counted_from_the_grant, LATE_GRANT),
    ],
)
def test_invariant_finds_each_faulty_variant(owner, name, faulty, steps, monkeypatch):
    """Guards against an invariant that would hold whatever the rules were."""
    replay(*steps)
    monkeypatch.setattr(owner, name, faulty)
    with pytest.raises(AssertionError):
        replay(*steps)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(total=st.integers(1, 500), demand=st.dictionaries(st.integers(0, 9), st.integers(0, 400_000)))
def test_allocations_stay_within_the_total_and_what_each_gateway_can_lend(total, demand):
    """Borrowers must not be sent to a lender for more than it may lend."""
    even = [shares.even_share(total, gateway, 10) for gateway in range(10)]
    targets = allocation.target_shares(even, demand)
    assert sum(targets) <= sum(even) and min(targets) >= 0
    allocations = allocation.allocate(even, demand)
    for lender, allocated in enumerate(allocations):
        borrowed = sum(amount for other in allocations for who, amount in other.borrows if who == lender)
        assert borrowed <= allocated.lends <= even[lender] * shares.LENDABLE_TENTHS // 10
        assert len(allocated.borrows) <= allocation.MAX_LENDERS and (lender in demand or not allocated.lends)


def test_gateway_with_all_the_demand_gets_what_the_others_can_spare():
    """A tenth stays with each of the others; without any report all keep their even share."""
    even = [shares.even_share(40, gateway, 4) for gateway in range(4)]
    assert allocation.target_shares(even, {0: 60_000, 1: 0, 2: 0, 3: 0})[0] == 37_000
    assert allocation.target_shares(even, {}) == even
