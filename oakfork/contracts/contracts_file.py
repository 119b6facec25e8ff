"""The operators' book of contracts, TOML: checked by a schema, then as a whole: at no instant may what is reserved
exceed what the sites can do with the largest one of them lost. Each fault is named by its path, or by the instant and
the contracts.
"""

from dataclasses import dataclass
from datetime import UTC, date, datetime, time, timedelta
from itertools import combinations
from pathlib import Path
from typing import Any, Iterator, Sequence

from oakfork.configuration_schema import against, read_toml
from oakfork.errors import ContractsFileError

LARGEST_FILE = 1024 * 1024
MOST_SITES = 10  # all unions of sites are looked at
MOST_INSTANTS = 100_000


def _a(kind: str, text: str, **more: Any) -> dict[str, Any]:
    return {"type": kind, "description": text} | more


def _table(text: str, properties: dict[str, Any], *required: str) -> dict[str, Any]:
    return {
        "type": "object",
        "additionalProperties": False,
        "description": text,
        "properties": properties,
        "required": list(required),
    }


HOUR = {"type": "string", "pattern": "^([01][0-9]|2[0-3]):[0-5][0-9]$"}
WINDOW = _table(
    "when it holds, in UTC",
    {
        "from": _a("string", "the first instant, with its offset: 2027-01-20T00:00:00Z", pattern="^....-..-..T.*$"),
        "until": _a("string", "the first instant after it", pattern="^....-..-..T.*$"),
        "daily_from": HOUR | {"description": "on each day from this time of day in UTC"},
        "daily_until": HOUR | {"description": "until this one; past midnight if it is not after the first"},
    },
    "from",
    "until",
)
SCHEMA = {"$schema": "https://json-schema.org/draft/2020-12/schema"} | _table(
    "the book",
    {
        "site": _a(
            "array",
            "what legs go to",
            minItems=1,
            maxItems=MOST_SITES,
            items=_table(
                "a site",
                {
                    "name": _a("string", "its name", minLength=1, maxLength=64),
                    "legs_per_s": _a("number", "what it can do", exclusiveMinimum=0, maximum=1e6),
                    "home": _a(
                        "boolean",
                        "it is what discovery lists: where an ordinary RPC's one leg goes; the first if none is",
                    ),
                },
                "name",
                "legs_per_s",
            ),
        ),
        "contract": _a(
            "array",
            "what is reserved",
            maxItems=500,
            items=_table(
                "a contract",
                {
                    "tenant": _a(
                        "string", "whose it is; its name in the log and in figures", minLength=1, maxLength=64
                    ),
                    "customers": _a(
                        "array",
                        "ids of the tenant's customers, 16 hex digits each",
                        minItems=1,
                        maxItems=10_000,
                        uniqueItems=True,
                        items={"type": "string", "pattern": "^[0-9a-f]{16}$"},
                    ),
                    "legs_per_s": _a("number", "reserved over the whole fleet", exclusiveMinimum=0, maximum=1e6),
                    "burst": _a("number", "legs at once beyond the rate, over the whole fleet", minimum=1, maximum=1e6),
                    "open": _a("integer", "legs open at once, over the whole fleet", minimum=1, maximum=1_000_000),
                    "sites": _a(
                        "array",
                        "where; all of them if left out",
                        items={"type": "string"},
                        minItems=1,
                        uniqueItems=True,
                    ),
                    "window": _a("array", "when", minItems=1, maxItems=100, items=WINDOW),
                    "goes": _a(
                        "integer",
                        "when the fleet falls below what is reserved, the highest number goes first",
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
            ),
        ),
    },
    "site",
)


@dataclass(frozen=True, slots=True)
class Window:
    begins: datetime
    ends: datetime
    daily: tuple[time, time] | None

    def holds(self, instant: datetime) -> bool:
        if not self.begins <= instant < self.ends:
            return False
        if self.daily is None:
            return True
        first, last = self.daily
        now = instant.time()
        return first <= now < last if first < last else now >= first or now < last


@dataclass(frozen=True, slots=True)
class Contract:
    tenant: str
    customers: frozenset[int]
    rate: float  # legs a second, over the whole fleet
    burst: float
    open: int
    sites: frozenset[str]
    windows: tuple[Window, ...]
    goes: int

    def holds(self, instant: datetime) -> bool:
        return any(window.holds(instant) for window in self.windows)


@dataclass(frozen=True, slots=True)
class ContractsFile:
    sites: tuple[tuple[str, float], ...]
    contracts: tuple[Contract, ...]
    home: str  # the site of an ordinary RPC's one leg

    @property
    def capacity(self) -> float:
        return sum(rate for _, rate in self.sites)


def read(path: str | Path) -> ContractsFile:
    """Reads and checks; raises ContractsFileError with every fault."""
    return checked(read_toml(path, LARGEST_FILE, ContractsFileError)[0])


def checked(told: dict[str, Any]) -> ContractsFile:
    if faults := against(SCHEMA, told):
        raise ContractsFileError(faults)
    faults = []
    homes = [site["name"] for site in told["site"] if site.get("home")]
    faults += [f"site: {' and '.join(homes)} are both home"] if len(homes) > 1 else []
    book = ContractsFile(
        tuple((site["name"], float(site["legs_per_s"])) for site in told["site"]),
        tuple(
            _contract(row, f"contract[{number}]", told, faults) for number, row in enumerate(told.get("contract", ()))
        ),
        (homes or [told["site"][0]["name"]])[0],
    )
    names = [name for name, _ in book.sites]
    faults += [f"site: {name!r} stands there twice" for name in dict.fromkeys(names) if names.count(name) > 1]
    owners: dict[int, str] = {}
    for number, contract in enumerate(book.contracts):
        for customer in sorted(contract.customers):
            if owners.setdefault(customer, contract.tenant) != contract.tenant:
                faults.append(f"contract[{number}].customers: {customer:016x} is also of {owners[customer]!r}")
    if faults := faults or list(_overbooked(book)):
        raise ContractsFileError(faults)
    return book


def _contract(row: dict[str, Any], path: str, told: dict[str, Any], faults: list[str]) -> Contract:
    known = {site["name"] for site in told["site"]}
    sites = frozenset(row.get("sites", known))
    faults += [f"{path}.sites: there is no site {site!r}" for site in sorted(sites - known)]
    windows = []
    for number, window in enumerate(row["window"]):
        place = f"{path}.window[{number}]"
        try:
            begins, ends = (datetime.fromisoformat(window[key]) for key in ("from", "until"))
            begins, ends = (
                at.astimezone(UTC) if at.tzinfo else _refused(f"{place}: without an offset, such as Z")
                for at in (begins, ends)
            )
            if begins >= ends:
                raise ContractsFileError([f"{place}.until: not after from"])
            if ("daily_from" in window) != ("daily_until" in window):
                raise ContractsFileError([f"{place}: daily_from and daily_until go together"])
            daily = (
                tuple(time.fromisoformat(window[key]) for key in ("daily_from", "daily_until"))
                if "daily_from" in window
                else None
            )
            windows.append(Window(begins, ends, daily))
        except ValueError as error:
            faults.append(f"{place}: {error}")
        except ContractsFileError as error:
            faults += error.faults
    customers = frozenset(int(text, 16) for text in row["customers"])
    return Contract(
        row["tenant"], customers, row["legs_per_s"], row["burst"], row["open"], sites, tuple(windows), row["goes"]
    )


def _refused(text: str) -> datetime:
    raise ContractsFileError([text])


def _instants(contracts: Sequence[Contract]) -> Iterator[datetime]:
    """Enough to meet every set of contracts that hold together: each boundary, and the daily beginnings of the day
    after it (between two boundaries every day is alike)."""
    windows = [window for contract in contracts for window in contract.windows]
    boundaries = sorted({window.begins for window in windows} | {window.ends for window in windows})
    hours = sorted({window.daily[0] for window in windows if window.daily})
    for boundary in boundaries:
        yield boundary
        for day in range(2):
            on: date = (boundary + timedelta(days=day)).date()
            for hour in hours:
                instant = datetime.combine(on, hour, UTC)
                if boundary <= instant < boundary + timedelta(days=1):
                    yield instant


def _overbooked(book: ContractsFile) -> Iterator[str]:
    """The first instant at which some contracts have more reserved than the sites they may use can do with the
    largest of all sites lost."""
    largest = max(rate for _, rate in book.sites)
    losses = [name for name, rate in book.sites if rate == largest]
    unions = [
        frozenset(chosen)
        for size in range(1, len(book.sites) + 1)
        for chosen in combinations([name for name, _ in book.sites], size)
    ]
    seen: set[frozenset[int]] = set()
    for number, instant in enumerate(_instants(book.contracts)):
        if number > MOST_INSTANTS:
            yield f"contract: over {MOST_INSTANTS} instants to look at; use fewer windows"
            return
        held = [contract for contract in book.contracts if contract.holds(instant)]
        key = frozenset(map(id, held))
        if key in seen:
            continue
        seen.add(key)
        for union in unions:
            inside = [contract for contract in held if contract.sites <= union]
            reserved = sum(contract.rate for contract in inside)
            for lost in losses:
                able = sum(rate for name, rate in book.sites if name in union and name != lost)
                if inside and reserved > able + 1e-9:
                    names = ", ".join(sorted(contract.tenant for contract in inside))
                    yield (
                        f"contract: at {instant.isoformat()} {names} have {reserved:g} legs a second reserved at "
                        f"{', '.join(sorted(union))}, which can do {able:g} without {lost}"
                    )
                    return
