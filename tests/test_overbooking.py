"""The check of a book of contracts against what its sites can do: by a sweep, and at the ends of the calendar."""

import time as clock
from datetime import UTC, datetime, time, timedelta

import pytest
from contract_documents import DOCUMENT, changed
from hypothesis import given, settings, strategies as st

from oakfork.contracts import contracts_file
from oakfork.contracts.overbooking import fault_at, first_overbooked
from oakfork.contracts.reservations import Contract, ContractsFile, Window
from oakfork.errors import ContractsFileError

START = datetime(2027, 1, 1, 22, 30, tzinfo=UTC)
DAY = timedelta(days=1)
TIMES_OF_DAY = (time(0, 0), time(6, 0), time(6, 1), time(21, 59), time(23, 59))
SITES = ("a", "b", "c")
# Seconds from one boundary to another: within a minute, within a day, over midnight, and days.
STEPS = (1, 59, 60, 3600, 30_000, 86_399, 86_400, 86_401, 200_000)


def window(begins, length, daily):
    """A window that begins and ends so many seconds after the start."""
    return Window(START + timedelta(seconds=begins), START + timedelta(seconds=begins + length), daily)


WINDOWS = st.builds(
    window,
    st.lists(st.sampled_from(STEPS), max_size=3).map(sum),
    st.lists(st.sampled_from(STEPS), min_size=1, max_size=3).map(sum),
    st.none() | st.tuples(st.sampled_from(TIMES_OF_DAY), st.sampled_from(TIMES_OF_DAY)),
)
CONTRACTS = st.builds(
    Contract,
    tenant=st.sampled_from("xyz"),
    customers=st.just(frozenset()),
    rate=st.sampled_from((0.1, 1.0, 2.5, 4.0)),
    burst=st.just(1.0),
    max_open=st.just(1),
    sites=st.sets(st.sampled_from(SITES), min_size=1).map(frozenset),
    windows=st.lists(WINDOWS, min_size=1, max_size=3).map(tuple),
    shed_order=st.just(0),
)
FILES = st.builds(
    ContractsFile,
    sites=st.tuples(*(st.sampled_from((1.0, 2.5, 5.0)).map(lambda rate, name=name: (name, rate)) for name in SITES)),
    contracts=st.lists(CONTRACTS, min_size=1, max_size=5).map(tuple),
    home=st.just("a"),
)


def instants(file):
    """All instants at which another set of contracts may begin to hold."""
    windows = [window for contract in file.contracts for window in contract.windows]
    for boundary in sorted({window.begins for window in windows} | {window.ends for window in windows}):
        yield boundary
        for day in (boundary.date(), boundary.date() + DAY):
            for daily in sorted({window.daily[0] for window in windows if window.daily}):
                instant = datetime.combine(day, daily, UTC)
                if boundary <= instant < boundary + DAY:
                    yield instant


def is_overbooked(file, instant):
    """Whether contracts reserve too much at an instant, by all sets of sites."""
    largest = max(rate for _, rate in file.sites)
    for chosen in range(1, 1 << len(SITES)):
        sites = [(name, rate) for number, (name, rate) in enumerate(file.sites) if chosen >> number & 1]
        names = {name for name, _ in sites}
        inside = [one.rate for one in file.contracts if one.holds(instant) and one.sites <= names]
        for lost in (name for name, rate in file.sites if rate == largest):
            if inside and sum(inside) > sum(rate for name, rate in sites if name != lost) + 1e-9:
                return True
    return False


@settings(max_examples=400, deadline=None, derandomize=True)
@given(FILES)
def test_the_sweep_finds_the_first_instant_that_a_look_at_all_of_them_finds(file):
    """Guards against instants that the sweep passes over, and against faults where there are none."""
    expected = min((instant for instant in instants(file) if is_overbooked(file, instant)), default=None)
    found = first_overbooked(file)
    assert found == expected
    if found is not None:
        assert "legs a second reserved at" in fault_at(file, found)


def season(contracts, windows, sites=3):
    """A usable book: each contract has so many windows of three nights, a week apart.

    All contracts together have more reserved than there is, but never at one time.
    """
    book = {
        "site": [{"name": f"site {number}", "legs_per_s": 10_000.0} for number in range(sites)],
        "contract": [],
    }
    for number in range(contracts):
        entries = []
        for week in range(windows):
            begins = datetime(2027, 1, 1, tzinfo=UTC) + timedelta(
                days=7 * week, hours=7 * number % 168, minutes=number % 60
            )
            entries.append(
                {
                    "from": begins.isoformat(),
                    "until": (begins + 3 * DAY).isoformat(),
                    "daily_from": f"{8 + number % 12:02d}:{number * 5 % 60:02d}",
                    "daily_until": f"{20 + number % 4:02d}:00",
                }
            )
        book["contract"].append(
            {
                "tenant": f"firm {number}",
                "customers": [f"{number + 4096:016x}"],
                "legs_per_s": 1.2 * 10_000 * (sites - 1) / contracts,
                "burst": 10.0,
                "open": 10,
                "window": entries,
                "goes": number,
            }
        )
    return book


def checked_in(book):
    """Seconds of processor time that the check of a book takes."""
    begin = clock.process_time()
    contracts_file.parse(book)
    return clock.process_time() - begin


def test_the_check_grows_little_faster_than_the_number_of_windows():
    """Guards against a usable book that takes as long as a gateway's answers may; a square would be sixteen times."""
    small = min(checked_in(season(40, 13)) for _ in range(3))
    large = min(checked_in(season(80, 26)) for _ in range(3))
    assert large < 8 * small


@pytest.mark.parametrize(
    "begins, ends",
    [
        ("2027-01-01T00:00:00Z", "9999-12-31T23:59:59Z"),
        ("2027-01-01T00:00:00Z", "9999-12-31T23:59:59.999999Z"),
        ("2027-01-01T00:00:00Z", "9999-12-31T23:59:59+14:00"),
        ("0001-01-01T00:00:00Z", "2027-01-01T00:00:00Z"),
        ("0001-01-01T00:00:00-14:00", "9999-12-31T00:00:00Z"),
    ],
)
def test_windows_may_reach_to_the_ends_of_the_calendar(begins, ends):
    """Guards against an OverflowError, which ended the gateway."""
    for daily in ({}, {"daily_from": "23:59", "daily_until": "00:00"}):
        file = contracts_file.parse(changed(contract__0__window=[{"from": begins, "until": ends} | daily]))
        [window] = file.contracts[0].windows
        assert window.begins < window.ends
    # Too much from the last minute of the calendar on, and from its first one.
    with pytest.raises(ContractsFileError, match="legs a second reserved"):
        windows = [{"from": begins, "until": ends, "daily_from": "23:59", "daily_until": "00:00"}]
        contracts_file.parse(changed(contract__0__window=windows, contract__0__legs_per_s=1000.0))


@pytest.mark.parametrize(
    "key, text",
    [
        ("until", "9999-12-31T23:59:59-00:01"),
        ("until", "9999-12-31T23:59:59-23:59"),
        ("from", "0001-01-01T00:00:00+00:01"),
        ("until", "10000-01-01T00:00:00Z"),
        ("from", "0000-01-01T00:00:00Z"),
        ("until", "2027-06-30T23:59:60Z"),
        ("until", "2027-06-30T24:00:00Z"),
        ("from", "2027-02-29T00:00:00Z"),
        ("from", "2027-01-01T00:00:00+24:00"),
        ("until", "2027-06-01T00:00:00+99:99"),
        ("from", "2027-01-01T"),
        ("until", "٢٠٢٧-06-01T00:00:00Z"),
    ],
)
def test_dates_beyond_the_calendar_are_named_by_their_path(key, text):
    """Guards against a date that ends the gateway in place of a fault that an operator can find."""
    entry = DOCUMENT["contract"][0]["window"][0] | {"from": "2027-01-01T00:00:00Z", "until": "2028-01-01T00:00:00Z"}
    with pytest.raises(ContractsFileError) as refused:
        contracts_file.parse(changed(contract__0__window=[entry | {key: text}]))
    assert all(fault.startswith("contract[0].window[0]") for fault in refused.value.faults)
