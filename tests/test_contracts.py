"""Contracts: the book, parts that never sum to more than the whole, dealing by demand, and the gate."""

import copy
import socket
from datetime import UTC, datetime

import pytest
import structlog
import tomli_w
from fake_services import free_port
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from oakfork.contracts import allocation, contracts_file as books, runner, shares
from oakfork.contracts.admission import RECLAIM_TIME, SECOND, ContractAdmission, Tenant, fit_to_capacity
from oakfork.contracts.runner import Contracts, key_of_site
from oakfork.errors import ContractsFileError
from oakfork.fleet import config as fleetfile
from oakfork.fleet.transport import DatagramTransport
from oakfork.leases.durations import LeaseDurations
from oakfork.leases.runner import LeaseRunner

WINDOW = {"from": "2027-01-01T00:00:00Z", "until": "2027-03-01T00:00:00Z"}
BOOK = {
    "site": [{"name": name, "legs_per_s": 100.0} for name in ("hai-phong", "cai-mep", "can-tho")],
    "contract": [
        {
            "tenant": "gemadept",
            "customers": ["00000000000000a1"],
            "legs_per_s": 80.0,
            "burst": 20,
            "open": 40,
            "window": [WINDOW | {"daily_from": "22:00", "daily_until": "04:00"}],
            "goes": 1,
        },
        {
            "tenant": "viconship",
            "customers": ["00000000000000b1"],
            "legs_per_s": 120.0,
            "burst": 20,
            "open": 40,
            "window": [WINDOW],
            "goes": 2,
        },
    ],
}


def changed(**places):
    told = copy.deepcopy(BOOK)
    for place, value in places.items():
        *path, last = place.split("__")
        where = told
        for part in path:
            where = where[int(part)] if part.isdigit() else where[part]
        where[last] = value
    return told


def test_a_book_within_what_the_sites_can_do_is_taken():
    book = books.checked(BOOK)
    contract = book.contracts[0]
    assert book.capacity == 300 and contract.customers == {0xA1}
    assert [contract.holds(datetime(2027, 1, 20, hour, 59, tzinfo=UTC)) for hour in (21, 22, 3, 4)] == [
        False,
        True,
        True,
        False,
    ]
    assert not contract.holds(datetime(2027, 3, 1, 23, tzinfo=UTC))


@pytest.mark.parametrize(
    "told, place",
    [
        (changed(contract__0__legs_per_s=81.0), "contract: at 2027-01-01T00:00:00+00:00 gemadept, viconship have 201"),
        (changed(contract__1__sites=["can-tho", "cai-mep"], contract__1__legs_per_s=101.0), "contract: at 2027-01-01"),
        (changed(site=[{"name": n, "legs_per_s": 100.0, "home": True} for n in "ab"]), "site: a and b"),
        (changed(contract__1__sites=["nowhere"]), "contract[1].sites"),
        (changed(contract__0__goes=-1), "contract[0].goes"),
        (changed(contract__1__customers=["00000000000000a1"]), "contract[1].customers"),
        (
            changed(contract__0__window=[{"from": "2027-01-01T00:00:00", "until": "2027-02-01T00:00:00Z"}]),
            "contract[0].window[0]",
        ),
        (changed(contract__0__customers=["xyz"]), "contract[0].customers[0]"),
        (
            changed(contract__0__window=[{"from": "2027-02-01T00:00:00Z", "until": "2027-01-01T00:00:00Z"}]),
            "contract[0].window[0].until",
        ),
        (changed(contract__0__burst="much"), "contract[0].burst"),
        (changed(contract__0__window=[WINDOW | {"daily_from": "22:00"}]), "contract[0].window[0]"),
    ],
)
def test_a_book_that_is_not_is_refused_with_the_place_or_the_instant(told, place):
    with pytest.raises(ContractsFileError) as refused:
        books.checked(told)
    assert any(fault.startswith(place) for fault in refused.value.faults), refused.value.faults


def test_windows_that_meet_only_at_night_are_found_and_those_that_never_meet_are_not():
    at_noon = WINDOW | {"daily_from": "10:00", "daily_until": "14:00"}
    assert books.checked(changed(contract__0__legs_per_s=150.0, contract__1__window=[at_noon]))
    late = {
        "from": "2027-02-20T12:00:00Z",
        "until": "2027-02-25T00:00:00Z",
        "daily_from": "03:30",
        "daily_until": "05:00",
    }
    with pytest.raises(ContractsFileError, match="2027-02-21T03:30"):
        books.checked(changed(contract__0__legs_per_s=150.0, contract__1__window=[late]))


LENGTHS = LeaseDurations(lease=1_000, drift=100, act=0, longest=1_000)
GATEWAYS = 4


class Parts(RuleBasedStateMachine):
    """Askings and answers may be lost, late, doubled, out of order; gateways restart with nothing; clocks run apart."""

    @initialize(rates=st.lists(st.integers(900, 1_100), min_size=GATEWAYS, max_size=GATEWAYS), whole=st.integers(1, 90))
    def start(self, rates, whole):
        self.now, self.rates, self.whole = 1_000_000, rates, whole
        self.parts = [
            shares.initial_share(shares.even_share(whole, me, GATEWAYS), 0, LENGTHS) for me in range(GATEWAYS)
        ]
        self.lives, self.asks, self.answers = [0] * GATEWAYS, [], []
        self.loans = 0

    def clock(self, me):
        return self.now * self.rates[me] // 1_000

    @rule(step=st.integers(1, 700))
    def time_goes_on(self, step):
        self.now += step

    @rule(me=st.integers(0, GATEWAYS - 1), other=st.integers(0, GATEWAYS - 1), amount=st.integers(1, 30_000))
    def asks_for(self, me, other, amount):
        if me != other:
            self.asks.append((me, self.lives[me], other, amount, self.clock(me)))

    @rule(which=st.integers(0, 1 << 30), may=st.integers(0, 30_000))
    def an_asking_arrives(self, which, may):
        if self.asks:
            me, life, other, amount, asked_at = self.asks[which % len(self.asks)]
            self.parts[other], amount = shares.lends(self.parts[other], self.clock(other), me, amount, may, LENGTHS)
            if amount:
                self.loans += 1
                self.answers.append((me, life, other, amount, asked_at))

    @rule(which=st.integers(0, 1 << 30))
    def an_answer_arrives(self, which):
        if self.answers:
            me, life, other, amount, asked_at = self.answers[which % len(self.answers)]
            if life == self.lives[me]:
                self.parts[me] = shares.borrowed(self.parts[me], self.clock(me), other, amount, asked_at, LENGTHS)

    @rule(me=st.integers(0, GATEWAYS - 1))
    def restarts(self, me):
        self.lives[me] += 1
        self.parts[me] = shares.initial_share(self.parts[me].even, self.clock(me), LENGTHS)

    @invariant()
    def the_parts_never_sum_to_more_than_the_whole(self):
        if hasattr(self, "parts"):
            used = [part.now(self.clock(me)) for me, part in enumerate(self.parts)]
            assert sum(used) <= self.whole * 1000 and min(used) >= 0
            assert all(len(part.given) <= shares.MOST_LOANS for part in self.parts)


Parts.TestCase.settings = settings(max_examples=80, stateful_step_count=100, deadline=None, derandomize=True)
TestParts = Parts.TestCase


def played(*steps):
    """One history by hand, with the sum looked at after each step."""
    machine = Parts()
    machine.start(rates=[1_100, 900, 900, 1_000], whole=80)
    machine.now += 2_000
    for name, *args in steps:
        getattr(machine, name)(*args)
        machine.the_parts_never_sum_to_more_than_the_whole()
    assert machine.loans


TWO_BORROW = [
    ("asks_for", 1, 0, 10_000),
    ("an_asking_arrives", 0, 15_000),
    ("an_answer_arrives", 0),
    ("asks_for", 2, 0, 10_000),
    ("an_asking_arrives", 1, 15_000),
    ("an_answer_arrives", 1),
]
LATE = [*TWO_BORROW[:2], ("time_goes_on", 900), TWO_BORROW[2], ("time_goes_on", 300), ("time_goes_on", 300)]


@pytest.mark.parametrize(
    "name, broken, steps",
    [
        ("stretched", lambda self, time: time, [*TWO_BORROW, ("time_goes_on", 950)]),  # a lender counts no margin
        (
            "initial_share",
            lambda even, now, durations: shares.Share(even, now),
            [*TWO_BORROW, ("restarts", 0)],
        ),  # used at once
        ("lent", lambda part, now: sum(loan.amount for loan in part.given[-1:] if now < loan.until), TWO_BORROW),
        (
            "borrowed",
            lambda part, now, lender, amount, asked_at, durations: part._replace(
                taken=(*part.taken, shares.Loan(lender, amount, now + durations.lease))
            ),
            LATE,
        ),  # counted from the answer
    ],
)
def test_parts_that_are_counted_wrong_are_found_out(name, broken, steps, monkeypatch):
    played(*steps)
    monkeypatch.setattr(LeaseDurations if name == "stretched" else shares, name, broken)
    with pytest.raises(AssertionError):
        played(*steps)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(whole=st.integers(1, 500), demand=st.dictionaries(st.integers(0, 9), st.integers(0, 400_000)))
def test_what_is_dealt_sums_to_the_whole_and_takes_from_nobody_more_than_is_lendable(whole, demand):
    even = [shares.even_share(whole, gateway, 10) for gateway in range(10)]
    aims = allocation.target_shares(even, demand)
    assert sum(aims) <= sum(even) and min(aims) >= 0
    deals = allocation.allocate(even, demand)
    for lender, deal in enumerate(deals):
        borrowed = sum(amount for other in deals for who, amount in other.borrows if who == lender)
        assert borrowed <= deal.lends <= even[lender] * shares.LENDABLE[0] // shares.LENDABLE[1]
        assert len(deal.borrows) <= allocation.MOST_LENDERS and (lender in demand or not deal.lends)


def test_one_that_has_all_the_demand_is_dealt_what_the_others_can_spare():
    even = [shares.even_share(40, gateway, 4) for gateway in range(4)]
    assert (
        allocation.target_shares(even, {0: 60_000, 1: 0, 2: 0, 3: 0})[0] == 37_000
    )  # a tenth stays with each of the others
    assert allocation.target_shares(even, {}) == even  # nobody was heard


def pressed(gate, tenants, seconds, per_second, who_asks, whole=30_000):
    """Legs that go in each second, by who asks; each of `who_asks` asks so often."""
    went = {who: [0] * seconds for who in who_asks}
    reserved = {who: 0 for who in who_asks}
    for tick in range(seconds * 1000):
        now = SECOND + tick * 10
        for who, rate in zip(who_asks, per_second, strict=True):
            rate = rate(tick / 1000) if callable(rate) else rate
            if (tick * rate) // 1000 != ((tick + 1) * rate) // 1000:
                verdict = gate.admit(now, who, whole, tenants)
                went[who][tick // 1000] += not verdict.wait
                reserved[who] += verdict.reserved
                if verdict.reserved:
                    gate.over(who)
    return went, reserved


def test_a_tenant_gets_what_is_reserved_however_hard_all_others_press():
    went, _ = pressed(ContractAdmission(SECOND), {7: Tenant(10_000, 3, 9, 0)}, 10, (10, 300), (7, None))
    assert all(legs >= 10 for legs in went[7][1:]) and all(18 <= legs <= 22 for legs in went[None][2:])


def test_what_is_reserved_and_idle_is_lent_and_back_at_once():
    asks = (lambda at: 0 if at < 4 else 10), 300
    went, _ = pressed(ContractAdmission(SECOND), {7: Tenant(10_000, 3, 9, 0)}, 8, asks, (7, None))
    assert all(27 <= legs <= 31 for legs in went[None][2:4])  # all that the sites can do
    assert went[7][4] >= 9 and all(legs >= 10 for legs in went[7][5:])
    assert RECLAIM_TIME <= SECOND // 5


def test_beyond_what_is_reserved_a_tenant_is_as_all_others_are_and_open_legs_are_bounded():
    went, reserved = pressed(ContractAdmission(SECOND), {7: Tenant(10_000, 3, 9, 0)}, 5, (100, 300), (7, None))
    assert reserved[7] <= 3 + 10 * 5 + 1 < sum(went[7])
    gate = ContractAdmission(0)
    gate.admit(0, 7, 100_000, {7: Tenant(50_000, 20, 2, 0)})
    verdicts = [gate.admit(SECOND + n, 7, 100_000, {7: Tenant(50_000, 20, 2, 0)}).reserved for n in range(4)]
    assert verdicts == [True, True, False, False]
    gate.over(7)
    assert gate.admit(SECOND + 9, 7, 100_000, {7: Tenant(50_000, 20, 2, 0)}).reserved


def test_a_leg_that_was_never_sent_comes_back_and_a_start_grants_no_burst():
    gate, tenants = ContractAdmission(SECOND), {7: Tenant(10_000, 3, 9, 0)}
    assert gate.admit(SECOND, 7, 30_000, tenants).wait
    assert gate.admit(SECOND + 1_000, 7, 30_000, tenants).reserved
    gate.unsent(7, True)
    gate.over(7)
    assert gate.admit(SECOND + 1_000, 7, 30_000, tenants).reserved


def test_when_the_sites_can_do_less_than_is_reserved_who_goes_first_has_the_least():
    tenants = {1: Tenant(10_000, 1, 1, 5), 2: Tenant(10_000, 1, 1, 0), 3: Tenant(10_000, 1, 1, 9)}
    assert {key: tenant.part for key, tenant in fit_to_capacity(tenants, 15_000).items()} == {1: 5_000, 2: 10_000, 3: 0}
    assert fit_to_capacity(tenants, 40_000) == tenants


def test_sites_are_told_apart():
    """Guards against one bucket for all sites: what is taken at one must not be missing at another."""
    gate, here, there = ContractAdmission(0), 1, 2
    tenants = {7: Tenant(10_000, 5, 9, 0)}
    assert gate.admit(SECOND, 7, 20_000, tenants, site=here).reserved
    assert not gate.admit(SECOND, 7, 20_000, {}, site=there).reserved
    for _ in range(40):
        gate.admit(SECOND, None, 20_000, tenants, site=here)
    assert gate.admit(SECOND, None, 20_000, tenants, site=here).wait
    assert not gate.admit(SECOND, None, 20_000, {}, site=there).wait


def contracts(tmp_path, **more):
    path = tmp_path / "book.toml"
    always = [{"from": "2020-01-01T00:00:00Z", "until": "2099-01-01T00:00:00Z"}]
    path.write_bytes(tomli_w.dumps(changed(contract__0__window=always, contract__1__window=always, **more)).encode())
    file = fleetfile.checked(
        {
            "revision": 1,
            "addresses": [free_port(socket.SOCK_DGRAM), "127.0.0.1:1", "127.0.0.1:2"],
            "leases": {"voters": [0], "length_ms": 300, "act_ms": 50, "drift_permille": 10},
        }
    )
    transport = DatagramTransport(file, 0)
    transport.sock.close()
    return Contracts(
        str(path), file, 0, transport, LeaseRunner(file, 0, transport, structlog.get_logger()), structlog.get_logger()
    )


def test_a_gateway_uses_its_part_at_the_sites_of_the_contract_and_what_the_ready_servers_can_do(tmp_path, monkeypatch):
    one = contracts(tmp_path, contract__1__sites=["cai-mep", "can-tho"], contract__1__legs_per_s=90.0)
    home, other = key_of_site("hai-phong"), key_of_site("cai-mep")
    now = runner.steady_clock() + 60 * SECOND
    monkeypatch.setattr(runner, "steady_clock", lambda: now)
    force = one.in_force(now)
    gemadept, viconship = one.keys
    assert set(force[home][1]) == {gemadept} and set(force[other][1]) == {gemadept, viconship}
    assert force[home][0] == pytest.approx(100_000 / 3, abs=1) and force[home][1][gemadept].part == 26_667
    one.set_ready_servers(9)
    one.set_ready_servers(6)  # a third of the servers at home are gone
    assert one.in_force(now)[home][0] == pytest.approx(200_000 / 9, abs=1)
    assert one.in_force(now)[other][0] == pytest.approx(100_000 / 3, abs=1)
    contract, verdict = one.admit_rpc(0xB1)  # an ordinary RPC goes home, where viconship has nothing reserved
    assert contract is None and not verdict.reserved
    assert one.admit_rpc(0xB1, site=other)[0] == viconship
