"""The contracts file: what is accepted, and how each fault is named."""

from datetime import UTC, datetime

import pytest
from contract_documents import DOCUMENT, WINDOW, changed

from oakfork.contracts import contracts_file
from oakfork.errors import ContractsFileError


def test_file_within_capacity_is_accepted_and_windows_past_midnight_hold():
    """Guards against a daily window that ends before it begins, and against an end that is still inside."""
    file = contracts_file.parse(DOCUMENT)
    contract = file.contracts[0]
    assert file.capacity == 300 and contract.customers == {0xA1}
    holds = [contract.holds(datetime(2027, 1, 20, hour, 59, tzinfo=UTC)) for hour in (21, 22, 3, 4)]
    assert holds == [False, True, True, False]
    assert not contract.holds(datetime(2027, 3, 1, 23, tzinfo=UTC))


@pytest.mark.parametrize(
    "document, fault",
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
def test_each_fault_is_named_by_its_path_or_instant(document, fault):
    """An operator has to find the entry that is wrong."""
    with pytest.raises(ContractsFileError) as refused:
        contracts_file.parse(document)
    assert any(found.startswith(fault) for found in refused.value.faults), refused.value.faults


def test_overbooking_is_found_only_where_daily_windows_overlap():
    """Guards against instants that the check skips, and against contracts that never hold together."""
    at_noon = WINDOW | {"daily_from": "10:00", "daily_until": "14:00"}
    assert contracts_file.parse(changed(contract__0__legs_per_s=150.0, contract__1__window=[at_noon]))
    late = {
        "from": "2027-02-20T12:00:00Z",
        "until": "2027-02-25T00:00:00Z",
        "daily_from": "03:30",
        "daily_until": "05:00",
    }
    with pytest.raises(ContractsFileError, match="2027-02-21T03:30"):
        contracts_file.parse(changed(contract__0__legs_per_s=150.0, contract__1__window=[late]))
