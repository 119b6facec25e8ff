"""The operators' contracts file, TOML: checked by a schema, then as a whole.

At no instant may the contracts reserve more than the sites can do with the largest one of them lost. Each fault is
named by its path in the file, or by the instant and the contracts.
"""

from dataclasses import dataclass
from datetime import UTC, datetime, time, timedelta
from itertools import combinations
from pathlib import Path
from typing import Any, Iterator, Sequence

from oakfork.configuration_schema import against, read_toml
from oakfork.errors import ContractsFileError

LARGEST_FILE = 1024 * 1024  # bytes
MAX_SITES = 10  # the check goes through all sets of sites: 1023 of them
MAX_INSTANTS = 100_000  # that the check goes through
RATE_TOLERANCE = 1e-9  # legs a second, for the rounding of sums


def _value(kind: str, description: str, **more: Any) -> dict[str, Any]:
    return {"type": kind, "description": description} | more


def _table(description: str, properties: dict[str, Any], *required: str) -> dict[str, Any]:
    return {
        "type": "object",
        "additionalProperties": False,
        "description": description,
        "properties": properties,
        "required": list(required),
    }


_TIME_OF_DAY = {"type": "string", "pattern": "^([01][0-9]|2[0-3]):[0-5][0-9]$"}
_WINDOW = _table(
    "when it holds, in UTC",
    {
        "from": _value("string", "the first instant, with its offset: 2027-01-20T00:00:00Z", pattern="^....-..-..T.*$"),
        "until": _value("string", "the first instant after it", pattern="^....-..-..T.*$"),
        "daily_from": _TIME_OF_DAY | {"description": "on each day from this time of day in UTC"},
        "daily_until": _TIME_OF_DAY | {"description": "until this one; past midnight if it is not after the first"},
    },
    "from",
    "until",
)
_SITE = _table(
    "a site",
    {
        "name": _value("string", "its name", minLength=1, maxLength=64),
        "legs_per_s": _value("number", "what it can do", exclusiveMinimum=0, maximum=1e6),
        "home": _value(
            "boolean",
            "it has the servers that discovery lists: an ordinary RPC's one leg goes there; the first site if none is",
        ),
    },
    "name",
    "legs_per_s",
)
_CONTRACT = _table(
    "a contract",
    {
        "tenant": _value("string", "who has it; its name in the log and in metrics", minLength=1, maxLength=64),
        "customers": _value(
            "array",
            "ids of the tenant's customers, 16 hex digits each",
            minItems=1,
            maxItems=10_000,
            uniqueItems=True,
            items={"type": "string", "pattern": "^[0-9a-f]{16}$"},
        ),
        "legs_per_s": _value("number", "reserved over the whole fleet", exclusiveMinimum=0, maximum=1e6),
        "burst": _value("number", "legs at once beyond the rate, over the whole fleet", minimum=1, maximum=1e6),
        "open": _value("integer", "legs open at once, over the whole fleet", minimum=1, maximum=1_000_000),
        "sites": _value(
            "array",
            "where it reserves capacity; at all sites if left out",
            items={"type": "string"},
            minItems=1,
            uniqueItems=True,
        ),
        "window": _value("array", "when it holds", minItems=1, maxItems=100, items=_WINDOW),
        "goes": _value(
            "integer",
            "when the fleet can do less than is reserved, the contract with the highest number loses its reservation "
            "first",
            minimum=0,
            maximum=1000,
        ),
    },
    "tenant",
    "customers",
    "legs_per_s",
    "burst",
    "open",
    "window",
    "goes",
)
SCHEMA = {"$schema": "https://json-schema.org/draft/2020-12/schema"} | _table(
    "the contracts file",
    {
        "site": _value("array", "the sites that legs go to", minItems=1, maxItems=MAX_SITES, items=_SITE),
        "contract": _value("array", "reservations", maxItems=500, items=_CONTRACT),
    },
    "site",
)


@dataclass(frozen=True, slots=True)
class Window:
    """When a contract holds, in UTC."""

    begins: datetime
    ends: datetime  # the first instant after it
    daily: tuple[time, time] | None  # from, until; past midnight if the second is not after the first

    def holds(self, instant: datetime) -> bool:
        """Whether an instant, in UTC, is inside the window."""
        if not self.begins <= instant < self.ends:
            return False
        if self.daily is None:
            return True
        first, last = self.daily
        now = instant.time()
        if first < last:
            return first <= now < last
        return now >= first or now < last


@dataclass(frozen=True, slots=True)
class Contract:
    """Capacity that a tenant has reserved. Amounts are over the whole fleet."""

    tenant: str
    customers: frozenset[int]  # ids
    rate: float  # legs a second
    burst: float  # legs
    max_open: int  # legs
    sites: frozenset[str]  # names
    windows: tuple[Window, ...]
    shed_order: int  # the contract with the highest number loses its reservation first

    def holds(self, instant: datetime) -> bool:
        """Whether an instant, in UTC, is inside a window of the contract."""
        return any(window.holds(instant) for window in self.windows)


@dataclass(frozen=True, slots=True)
class ContractsFile:
    """A contracts file that has passed its checks."""

    sites: tuple[tuple[str, float], ...]  # name, legs a second
    contracts: tuple[Contract, ...]
    home: str  # the site of an ordinary RPC's one leg

    @property
    def capacity(self) -> float:
        """What all sites together can do, in legs a second."""
        return sum(rate for _, rate in self.sites)


def read(path: str | Path) -> ContractsFile:
    """Reads and checks a file; raises ContractsFileError with every fault."""
    document, _ = read_toml(path, LARGEST_FILE, ContractsFileError)
    return parse(document)


def parse(document: dict[str, Any]) -> ContractsFile:
    """Checks a parsed TOML document; raises ContractsFileError with every fault.

    Overbooking is checked only where there is no other fault.
    """
    if faults := against(SCHEMA, document):
        raise ContractsFileError(faults)
    faults = []
    sites = tuple((site["name"], float(site["legs_per_s"])) for site in document["site"])
    home = _home(document["site"], faults)
    names = [name for name, _ in sites]
    contracts = tuple(
        _contract(entry, f"contract[{index}]", frozenset(names), faults)
        for index, entry in enumerate(document.get("contract", ()))
    )
    faults += [f"site: {name!r} is listed more than once" for name in dict.fromkeys(names) if names.count(name) > 1]
    faults += _shared_customers(contracts)
    file = ContractsFile(sites, contracts, home)
    if faults := faults or list(_overbooked(file)):
        raise ContractsFileError(faults)
    return file


def _home(sites: list[dict[str, Any]], faults: list[str]) -> str:
    homes = [site["name"] for site in sites if site.get("home")]
    if len(homes) > 1:
        faults.append(f"site: {' and '.join(homes)} are marked as home; only one may be")
    return homes[0] if homes else sites[0]["name"]


def _contract(entry: dict[str, Any], path: str, known_sites: frozenset[str], faults: list[str]) -> Contract:
    sites = frozenset(entry.get("sites", known_sites))
    faults += [f"{path}.sites: there is no site {site!r}" for site in sorted(sites - known_sites)]
    windows = []
    for index, window in enumerate(entry["window"]):
        window_path = f"{path}.window[{index}]"
        try:
            windows.append(_window(window, window_path))
        except ValueError as error:
            faults.append(f"{window_path}: {error}")
        except ContractsFileError as error:
            faults += error.faults
    return Contract(
        tenant=entry["tenant"],
        customers=frozenset(int(text, 16) for text in entry["customers"]),
        rate=entry["legs_per_s"],
        burst=entry["burst"],
        max_open=entry["open"],
        sites=sites,
        windows=tuple(windows),
        shed_order=entry["goes"],
    )


def _window(window: dict[str, Any], path: str) -> Window:
    """Raises ValueError for a date or time that there is not, ContractsFileError for any other fault."""
    begins = datetime.fromisoformat(window["from"])
    ends = datetime.fromisoformat(window["until"])
    for key, instant in (("from", begins), ("until", ends)):
        if not instant.tzinfo:
            raise ContractsFileError([f"{path}: {key} is {window[key]!r}, without an offset such as Z"])
    begins = begins.astimezone(UTC)
    ends = ends.astimezone(UTC)
    if begins >= ends:
        raise ContractsFileError([f"{path}.until: {window['until']} is not after from, {window['from']}"])
    if ("daily_from" in window) != ("daily_until" in window):
        raise ContractsFileError([f"{path}: only one of daily_from and daily_until is given"])
    if "daily_from" not in window:
        return Window(begins, ends, None)
    daily = time.fromisoformat(window["daily_from"]), time.fromisoformat(window["daily_until"])
    return Window(begins, ends, daily)


def _shared_customers(contracts: Sequence[Contract]) -> list[str]:
    """A fault for each customer that two tenants claim."""
    tenants: dict[int, str] = {}  # by customer
    faults = []
    for index, contract in enumerate(contracts):
        for customer in sorted(contract.customers):
            tenant = tenants.setdefault(customer, contract.tenant)
            if tenant != contract.tenant:
                faults.append(f"contract[{index}].customers: {customer:016x} already belongs to tenant {tenant!r}")
    return faults


def _instants(contracts: Sequence[Contract]) -> Iterator[datetime]:
    """Instants that together meet every set of contracts that hold at the same time.

    These are each boundary of a window, and the daily beginnings within the day after it: between two boundaries every
    day is alike.
    """
    windows = [window for contract in contracts for window in contract.windows]
    boundaries = sorted({window.begins for window in windows} | {window.ends for window in windows})
    daily_beginnings = sorted({window.daily[0] for window in windows if window.daily})
    for boundary in boundaries:
        yield boundary
        for days in range(2):
            day = (boundary + timedelta(days=days)).date()
            for time_of_day in daily_beginnings:
                instant = datetime.combine(day, time_of_day, UTC)
                if boundary <= instant < boundary + timedelta(days=1):
                    yield instant


def _overbooked(file: ContractsFile) -> Iterator[str]:
    """The first instant at which contracts reserve more than their sites can do with the largest of all sites lost."""
    checked: set[frozenset[int]] = set()  # sets of contracts, by identity
    for number, instant in enumerate(_instants(file.contracts)):
        if number > MAX_INSTANTS:
            yield f"contract: over {MAX_INSTANTS} instants to check; use fewer windows"
            return
        holding = [contract for contract in file.contracts if contract.holds(instant)]
        identities = frozenset(map(id, holding))
        if identities in checked:
            continue
        checked.add(identities)
        if fault := _overbooked_sites(file, holding):
            yield f"contract: at {instant.isoformat()} {fault}"
            return


def _overbooked_sites(file: ContractsFile, holding: Sequence[Contract]) -> str | None:
    """The first set of sites at which contracts that hold together reserve too much; None if there is none."""
    names = [name for name, _ in file.sites]
    largest = max(rate for _, rate in file.sites)
    losses = [name for name, rate in file.sites if rate == largest]
    for size in range(1, len(names) + 1):
        for chosen in combinations(names, size):
            inside = [contract for contract in holding if contract.sites.issubset(chosen)]
            reserved = sum(contract.rate for contract in inside)
            for lost in losses:
                capacity = sum(rate for name, rate in file.sites if name in chosen and name != lost)
                if inside and reserved > capacity + RATE_TOLERANCE:
                    tenants = ", ".join(sorted(contract.tenant for contract in inside))
                    return (
                        f"{tenants} have {reserved:g} legs a second reserved at {', '.join(sorted(chosen))}, whose "
                        f"capacity without {lost} is {capacity:g}"
                    )
    return None
