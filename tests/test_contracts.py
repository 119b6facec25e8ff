"""Contracts at one gateway: admission by token buckets, and what is in force at each site."""

import pytest
from contract_documents import gateway_contracts

from oakfork.contracts import runner
from oakfork.contracts.admission import RECLAIM_TIME, SECOND, ContractAdmission, Tenant, fit_to_capacity
from oakfork.contracts.runner import key_of_site

TENANT = 7  # the key of a contract
ANYBODY = None  # in place of a key: who has no contract
SITE_RATE = 30_000  # thousandths of a leg a second


def one_tenant(share=10_000, burst=3, max_open=9):
    """The only tenant in force, by its key."""
    return {TENANT: Tenant(share, burst, max_open, 0)}


def admitted(admission, tenants, seconds, legs_per_second):
    """Plays load for some seconds, in steps of a millisecond.

    `legs_per_second` is by the key that asks: a number, or a function of the time in seconds. Returns the legs admitted
    in each second, and the reserved legs altogether, both by key.
    """
    legs = {key: [0] * seconds for key in legs_per_second}
    reserved = {key: 0 for key in legs_per_second}
    for tick in range(seconds * 1000):
        now = SECOND + tick * 10
        for key, rate in legs_per_second.items():
            rate = rate(tick / 1000) if callable(rate) else rate
            if (tick * rate) // 1000 != ((tick + 1) * rate) // 1000:
                result = admission.admit(now, key, SITE_RATE, tenants)
                legs[key][tick // 1000] += not result.wait
                reserved[key] += result.reserved
                if result.reserved:
                    admission.end_reserved(key)
    return legs, reserved


def test_tenant_gets_its_reservation_under_any_load_of_others():
    """Others must neither take what is reserved nor be kept from the rest."""
    legs, _ = admitted(ContractAdmission(SECOND), one_tenant(), 10, {TENANT: 10, ANYBODY: 300})
    assert all(count >= 10 for count in legs[TENANT][1:]) and all(18 <= count <= 22 for count in legs[ANYBODY][2:])


def test_idle_reservation_is_lent_and_comes_back_at_once():
    """Others get all that the sites can do until the tenant asks."""
    load = {TENANT: lambda second: 0 if second < 4 else 10, ANYBODY: 300}
    legs, _ = admitted(ContractAdmission(SECOND), one_tenant(), 8, load)
    assert all(27 <= count <= 31 for count in legs[ANYBODY][2:4])
    assert legs[TENANT][4] >= 9 and all(count >= 10 for count in legs[TENANT][5:])
    assert RECLAIM_TIME <= SECOND // 5


def test_tenant_beyond_its_reservation_competes_with_all_and_open_legs_are_bounded():
    """Reserved legs are bounded by rate and burst, and by how many are open at once."""
    legs, reserved = admitted(ContractAdmission(SECOND), one_tenant(), 5, {TENANT: 100, ANYBODY: 300})
    assert reserved[TENANT] <= 3 + 10 * 5 + 1 < sum(legs[TENANT])
    admission = ContractAdmission(0)
    tenants = one_tenant(share=50_000, burst=20, max_open=2)
    admission.admit(0, TENANT, 100_000, tenants)
    results = [admission.admit(SECOND + n, TENANT, 100_000, tenants).reserved for n in range(4)]
    assert results == [True, True, False, False]
    admission.end_reserved(TENANT)
    assert admission.admit(SECOND + 9, TENANT, 100_000, tenants).reserved


def test_unsent_leg_is_refunded_and_start_grants_no_burst():
    """A gateway that restarts must not grant a second burst; a leg that was never sent must not cost its tenant."""
    admission = ContractAdmission(SECOND)
    tenants = one_tenant()
    assert admission.admit(SECOND, TENANT, SITE_RATE, tenants).wait
    assert admission.admit(SECOND + 1_000, TENANT, SITE_RATE, tenants).reserved
    admission.refund(TENANT, True)
    admission.end_reserved(TENANT)
    assert admission.admit(SECOND + 1_000, TENANT, SITE_RATE, tenants).reserved


def test_highest_shed_order_loses_its_reservation_first():
    """Shares are reduced only where the sites can do less than is reserved."""
    tenants = {1: Tenant(10_000, 1, 1, 5), 2: Tenant(10_000, 1, 1, 0), 3: Tenant(10_000, 1, 1, 9)}
    fitted = fit_to_capacity(tenants, 15_000)
    assert {key: tenant.share for key, tenant in fitted.items()} == {1: 5_000, 2: 10_000, 3: 0}
    assert fit_to_capacity(tenants, 40_000) == tenants


def test_each_site_has_a_bucket_of_its_own():
    """Guards against one bucket for all sites: what is taken at one must not be missing at another."""
    admission, here, there = ContractAdmission(0), 1, 2
    tenants = one_tenant(burst=5)
    assert admission.admit(SECOND, TENANT, 20_000, tenants, site=here).reserved
    assert not admission.admit(SECOND, TENANT, 20_000, {}, site=there).reserved
    for _ in range(40):
        admission.admit(SECOND, ANYBODY, 20_000, tenants, site=here)
    assert admission.admit(SECOND, ANYBODY, 20_000, tenants, site=here).wait
    assert not admission.admit(SECOND, ANYBODY, 20_000, {}, site=there).wait


def test_gateway_has_its_share_at_the_sites_of_a_contract_and_home_follows_ready_servers(tmp_path, monkeypatch):
    """A contract reserves nothing at other sites, and lost servers reduce the home site alone."""
    gateway = gateway_contracts(tmp_path, contract__1__sites=["cai-mep", "can-tho"], contract__1__legs_per_s=90.0)
    home, other = key_of_site("hai-phong"), key_of_site("cai-mep")
    now = runner.steady_clock() + 60 * SECOND
    monkeypatch.setattr(runner, "steady_clock", lambda: now)
    in_force = gateway.in_force(now)
    gemadept, viconship = gateway.book.keys
    assert set(in_force[home].tenants) == {gemadept} and set(in_force[other].tenants) == {gemadept, viconship}
    assert in_force[home].rate == pytest.approx(100_000 / 3, abs=1)
    assert in_force[home].tenants[gemadept].share == 26_667
    gateway.set_ready_servers(9)
    gateway.set_ready_servers(6)  # a third of the servers at home are gone
    assert gateway.in_force(now)[home].rate == pytest.approx(200_000 / 9, abs=1)
    assert gateway.in_force(now)[other].rate == pytest.approx(100_000 / 3, abs=1)
    contract, result = gateway.admit_rpc(0xB1)  # an ordinary RPC goes home, where viconship has nothing reserved
    assert contract is None and not result.reserved
    assert gateway.admit_rpc(0xB1, site=other)[0] == viconship
