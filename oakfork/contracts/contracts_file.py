"""The operators' contracts file, TOML: checked by a schema, then as a whole.

At no instant may the contracts reserve more than the sites can do with the largest one of them lost. Each fault is
named by its path in the file, or by the instant and the contracts.
"""

from datetime import UTC, datetime, time
from pathlib import Path
from typing import Any, Sequence

from oakfork.configuration_schema import against, read_toml
from oakfork.contracts.overbooking import fault_at, first_overbooked
from oakfork.contracts.reservations import Contract, ContractsFile, Window
from oakfork.errors import ContractsFileError

LARGEST_FILE = 1024 * 1024  # bytes
MAX_SITES = 10  # the check goes through all sets of sites: 1023 of them


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
    if not faults and (instant := first_overbooked(file)):
        faults = [f"contract: at {instant.isoformat()} {fault_at(file, instant)}"]
    if faults:
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
    begins = _in_utc(begins, "from", path)
    ends = _in_utc(ends, "until", path)
    if begins >= ends:
        raise ContractsFileError([f"{path}.until: {window['until']} is not after from, {window['from']}"])
    if ("daily_from" in window) != ("daily_until" in window):
        raise ContractsFileError([f"{path}: only one of daily_from and daily_until is given"])
    if "daily_from" not in window:
        return Window(begins, ends, None)
    daily = time.fromisoformat(window["daily_from"]), time.fromisoformat(window["daily_until"])
    return Window(begins, ends, daily)


def _in_utc(instant: datetime, key: str, path: str) -> datetime:
    """Raises ContractsFileError for an instant that its offset carries past the first or the last day there is."""
    try:
        return instant.astimezone(UTC)
    except OverflowError:
        raise ContractsFileError([f"{path}.{key}: {instant.isoformat()} is not within the years 1 to 9999 in UTC"])


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
