"""The change file, JSON: checked by a schema and against the state, each fault by its path; docs/control.md has its
keys. A change set is refused whole, or becomes rows.
"""

import json
import zlib
from collections import Counter
from typing import Any, Mapping, Sequence

from oakfork.configuration_schema import against
from oakfork.control import records
from oakfork.control.messages import LARGEST_FRAME, LONGEST_NAME, Kind, Row
from oakfork.control.state import Records
from oakfork.errors import ChangeSetError

LARGEST_CHANGE = 1 << 20  # bytes of the file
LARGEST_SUBMITTED = LARGEST_FRAME - 1024  # of what is sent for it, by zlib
MOST_CHANGES = 4096  # records put and dropped in one set
MOST_FAULTS = 64  # told of one set
LARGEST_VALUE = 4096  # bytes of a packed record
DEEPEST = 16  # lists and tables in one another
MOST_PARTS = 65_536  # values, lists and tables in all
LONGEST_FAULT = 300  # characters
NAMES = {Kind.SERVICE: "services", Kind.SERVER: "servers", Kind.ROUTE: "routes", Kind.TENANT: "tenants"}
WHOLE = 1 << 53  # numbers of JSON are exact up to it


def _a(kind: str, text: str, **more: Any) -> dict[str, Any]:
    return {"type": kind, "description": text} | more


def _word(text: str, shortest: int = 1) -> dict[str, Any]:
    return _a("string", text, minLength=shortest, maxLength=256, pattern="^[^\\u0000-\\u001f\\ud800-\\udfff]*(?!\\n)$")


def _name(text: str) -> dict[str, Any]:
    return _a("string", text, pattern=f"^[!-~]{{1,{LONGEST_NAME}}}(?!\\n)$")


def _whole(text: str, low: int = 0, high: int = WHOLE) -> dict[str, Any]:
    return _a("integer", text, minimum=low, maximum=high)


def _number(text: str) -> dict[str, Any]:
    return _a("number", text, minimum=0, maximum=1e12)


def _table(text: str, properties: dict[str, Any], *required: str) -> dict[str, Any]:
    return {
        "type": "object",
        "additionalProperties": False,
        "description": text,
        "properties": properties,
        "required": list(required),
    }


METHOD = _table(
    "a method",
    {
        "name": _word("as X-Lane names it"),
        "aim_ms": _number("soft deadline"),
        "deadline_ms": _number("deadline"),
        "effect": {
            "enum": [effect.name.lower() for effect in records.Effect],
            "default": "read_like",
            "description": "idempotent, deduplicated, non-idempotent (both of the last)",
        },
    },
    "name",
    "aim_ms",
    "deadline_ms",
)
SERVICE = _table(
    "a service",
    {"name": _name("its name"), "methods": _a("array", "its methods", items=METHOD, minItems=1, maxItems=64)},
    "name",
    "methods",
)
SERVER = _table(
    "a server",
    {
        "id": _name("the same at every gateway"),
        "addr": _a("string", "where it listens", maxLength=256, pattern=r"^[!-9;-~]+:[0-9]{1,5}(?!\n)$"),
        "zone": _word("its zone"),
        "kind": _word("its kind of machine", 0),
        "cell": _whole("the group that drops a repeat"),
        "state": {
            "enum": [state.name.lower() for state in records.State],
            "description": "draining: nothing new goes to it",
        },
        "weight": _number("its registered size"),
        "started_ms": _whole("when it last started, as Unix time in milliseconds; 0: long ago"),
        "service": _name("what it serves"),
    },
    "id",
    "addr",
    "zone",
    "kind",
    "cell",
    "state",
    "weight",
    "started_ms",
    "service",
)
ROUTE = _table(
    "a route",
    {
        "name": _name("its name"),
        "host": _word("of the RPC"),
        "prefix": _word("how its path begins", 0),
        "method": _word("its method; empty: any", 0),
        "service": _name("where it goes"),
    },
    "name",
    "host",
    "prefix",
    "method",
    "service",
)
TENANT = _table(
    "a tenant",
    {
        "id": _name("the tenant's"),
        "plan": _word("its plan"),
        "rate": _number("units a second of its quota"),
        "burst": _number("units at once"),
        "first": _whole("the first gateway that keeps its quota", high=65_535),
        "spread": _whole("how many gateways keep it", low=1, high=65_535),
    },
    "id",
    "plan",
    "rate",
    "burst",
    "first",
    "spread",
)
ITEMS = {Kind.SERVICE: SERVICE, Kind.SERVER: SERVER, Kind.ROUTE: ROUTE, Kind.TENANT: TENANT}


def _all(text: str, items: Mapping[Kind, dict[str, Any]]) -> dict[str, Any]:
    return _table(
        text,
        {NAMES[kind]: _a("array", f"the {NAMES[kind]}", items=items[kind], maxItems=MOST_CHANGES) for kind in Kind},
    )


SCHEMA = {"$schema": "https://json-schema.org/draft/2020-12/schema"} | _table(
    "a change set",
    {
        "id": _a(
            "string",
            "names this change set, in the log as well; the same file again has no second effect",
            pattern="^[!-~]{1,100}(?!\\n)$",
        ),
        "put": _all("records that are new, or take the place of those of the same name", ITEMS),
        "drop": _all("names of records that go", {kind: _name("of one that is there") for kind in Kind}),
    },
    "id",
)


def submitted(data: bytes) -> bytes:
    """A change file as it goes to the publisher, by zlib where that is shorter; raises ChangeError where it is too long
    all the same."""
    if len(data) > LARGEST_CHANGE:
        raise ChangeSetError([f"the file: over {LARGEST_CHANGE} bytes"])
    shorter = min(zlib.compress(data), data, key=len)
    if len(shorter) > LARGEST_SUBMITTED:
        raise ChangeSetError([f"the file: over {LARGEST_SUBMITTED} bytes by zlib"])
    return shorter


def _plain(data: bytes) -> bytes | None:
    """No JSON begins as what goes by zlib does. None where that is not whole, or too long."""
    if data[:1] != b"\x78":
        return data
    work = zlib.decompressobj()
    try:
        plain = work.decompress(data, LARGEST_CHANGE + 1)
    except zlib.error:
        return None
    return plain if work.eof and not work.unused_data else None


def read(data: bytes) -> tuple[Any, list[str]]:
    """What a change file says, also by zlib, and the faults that keep it from being read."""
    if (data := _plain(data)) is None:
        return None, [f"the file: not whole by zlib, or over {LARGEST_CHANGE} bytes"]
    if len(data) > LARGEST_CHANGE:
        return None, [f"the file: over {LARGEST_CHANGE} bytes"]
    try:
        told = json.loads(data, object_pairs_hook=_once)
    except ChangeSetError as error:
        return None, _bounded(error.faults)
    except (ValueError, RecursionError) as error:
        return None, _bounded([f"the file: {error}"])
    if _parts(told, DEEPEST) > MOST_PARTS:
        return None, [f"the file: over {MOST_PARTS} parts, or over {DEEPEST} in one another"]
    return told, []


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """A key that stands there twice is a contradiction, not a choice."""
    told = dict(pairs)
    if len(told) < len(pairs):
        twice = next(key for key, times in Counter(key for key, _ in pairs).items() if times > 1)
        raise ChangeSetError([f"the file: {twice!r} stands twice in one table"])
    return told


def _parts(told: Any, left: int) -> int:
    """How many there are; more than MOST_PARTS where they lie too deep in one another."""
    if not isinstance(told, dict | list):
        return 1
    if left <= 0:
        return MOST_PARTS + 1
    return 1 + sum(_parts(part, left - 1) for part in (told.values() if isinstance(told, dict) else told))


def parse(data: bytes) -> tuple[list[Row], list[str]]:
    """The rows of a change file: those put by kind in the file's order, then those dropped; or every fault by its path
    (MOST_FAULTS of them at most), and no rows."""
    told, faults = read(data)
    if faults or (faults := against(SCHEMA, told)):
        return [], _bounded(faults)
    put, drop, rows = told.get("put", {}), told.get("drop", {}), []
    count = sum(len(part) for parts in (put, drop) for part in parts.values())
    if not 0 < count <= MOST_CHANGES:
        return [], [f"the file: {count} records, 1 to {MOST_CHANGES} may change at once"]
    for kind in Kind:
        for number, item in enumerate(put.get(NAMES[kind], ())):
            value = records.pack(_record(kind, item))
            if len(value) > LARGEST_VALUE:
                faults.append(f"put.{NAMES[kind]}[{number}]: over {LARGEST_VALUE} bytes")
            if kind is Kind.SERVICE:
                faults += _methods(f"put.services[{number}]", item["methods"])
            elif kind is Kind.SERVER and int(item["addr"].rpartition(":")[2]) > 65_535:
                faults.append(f"put.servers[{number}].addr: no such port")
            rows.append(Row(kind, _key(item), value))
    for kind in Kind:
        rows += [Row(kind, name, None) for name in drop.get(NAMES[kind], ())]
    return ([], _bounded(faults)) if faults else (rows, [])


def id_of(data: bytes) -> str | None:
    """Of a change file that can be read."""
    told, faults = read(data)
    return told["id"] if not faults and isinstance(told, dict) and isinstance(told.get("id"), str) else None


def _bounded(faults: list[str]) -> list[str]:
    """As many, and as long, as a Verdict holds, and such as can be written in UTF-8."""
    if len(faults) > MOST_FAULTS:
        faults = [*faults[: MOST_FAULTS - 1], f"and {len(faults) - MOST_FAULTS + 1} more"]
    return [fault[:LONGEST_FAULT].encode(errors="backslashreplace").decode() for fault in faults]


def _key(item: Mapping[str, Any]) -> str:
    return item["id"] if "id" in item else item["name"]


def _methods(path: str, methods: Sequence[Mapping[str, Any]]) -> list[str]:
    found = [
        f"{path}.methods[{number}].aim_ms: beyond the deadline"
        for number, method in enumerate(methods)
        if method["aim_ms"] > method["deadline_ms"]
    ]
    names = Counter(method["name"] for method in methods)
    return found + [f"{path}.methods: {name!r} stands there twice" for name, times in names.items() if times > 1]


def _record(kind: Kind, item: Mapping[str, Any]) -> records.Record:
    number = records.parse_amount
    if kind is Kind.SERVICE:
        return records.Service(
            tuple(
                records.Method(
                    method["name"],
                    number(method["aim_ms"]),
                    number(method["deadline_ms"]),
                    records.Effect[method.get("effect", "read_like").upper()],
                )
                for method in item["methods"]
            )
        )
    if kind is Kind.SERVER:
        return records.Server(
            records.pack_address(item["addr"]),
            item["zone"],
            item["kind"],
            int(item["cell"]),
            records.State[item["state"].upper()],
            number(item["weight"]),
            int(item["started_ms"]),
            item["service"],
        )
    if kind is Kind.ROUTE:
        return records.Route(item["host"], item["prefix"], item["service"], item["method"])
    return records.Tenant(
        item["plan"], number(item["rate"]), number(item["burst"]), int(item["first"]), int(item["spread"])
    )


class StateIndex:
    """What is looked up to find contradictions without going through the state: who names a service, whose an address
    is and a route's match. Built once of a state and told of each change set in force; as large as the state."""

    def __init__(self, store: Records) -> None:
        self.store = store
        self.known: dict[tuple[Kind, str], tuple[str, Any]] = {}  # a server's or route's service and place
        self.users: Counter[str] = Counter()  # service -> servers and routes that name it
        self.at: dict[tuple[Kind, Any], str] = {}  # place -> the server or route there
        for kind in (Kind.SERVER, Kind.ROUTE):
            for name in store.all_names(kind):
                self._put(kind, name, store.value(kind, name) or b"")

    def _put(self, kind: Kind, name: str, value: bytes) -> None:
        if (record := records.unpack(kind, value)) is not None:
            place = _place(record)
            self.known[kind, name] = record.service, place
            self.users[record.service] += 1
            self.at[kind, place] = name

    def in_force(self, changes: Mapping[tuple[Kind, str], bytes | None]) -> None:
        touched = [key for key in changes if key[0] in (Kind.SERVER, Kind.ROUTE)]
        for kind, name in touched:
            if (was := self.known.pop((kind, name), None)) is not None:
                service, place = was
                self.users[service] -= 1
                if self.users[service] <= 0:
                    del self.users[service]
                if self.at.get((kind, place)) == name:
                    del self.at[kind, place]
        for kind, name in touched:
            if (value := changes[kind, name]) is not None:
                self._put(kind, name, value)

    def contradictions(self, rows: Sequence[Row]) -> list[str]:
        """Of rows in the order of `parse`, with the state and with one another: each by its path in the change file."""
        paths, found = _paths(rows), []
        seen: dict[tuple[Kind, str], int] = {}
        for number, row in enumerate(rows):
            if (first := seen.setdefault((row.kind, row.name), number)) != number:
                way = "put and dropped" if (rows[first].value is None) != (row.value is None) else "there twice"
                found.append(f"{paths[number]}: {row.name!r} is {way} in this change set")
            elif row.value is None and self.store.value(row.kind, row.name) is None:
                found.append(f"{paths[number]}: there is no {row.name!r}")
        return _bounded(found or self._services(rows, paths) + self._twice(rows, paths))

    def _services(self, rows: Sequence[Row], paths: Sequence[str]) -> list[str]:
        """Servers and routes of a service that would not exist, and services dropped that some would still name."""
        found, users = [], Counter()
        put = {row.name for row in rows if row.kind is Kind.SERVICE and row.value is not None}
        dropped = {
            row.name: path
            for row, path in zip(rows, paths, strict=True)
            if row.kind is Kind.SERVICE and row.value is None
        }
        for row, path in zip(rows, paths, strict=True):
            if row.kind not in (Kind.SERVER, Kind.ROUTE):
                continue
            if (was := self.known.get((row.kind, row.name))) is not None:
                users[was[0]] -= 1
            if row.value is None:
                continue
            service = records.unpack(row.kind, row.value).service
            users[service] += 1
            if service not in put and (service in dropped or self.store.value(Kind.SERVICE, service) is None):
                found.append(f"{path}.service: there would be no service {service!r}")
        return found + [
            f"{path}: {left} servers and routes would still name {service!r}"
            for service, path in dropped.items()
            if (left := self.users[service] + users[service]) > 0
        ]

    def _twice(self, rows: Sequence[Row], paths: Sequence[str]) -> list[str]:
        """Two servers at one address, two routes of one host, prefix and method."""
        found: list[str] = []
        changed = {(row.kind, row.name) for row in rows}
        mine: dict[tuple[Kind, Any], str] = {}
        for row, path in zip(rows, paths, strict=True):
            if row.kind not in (Kind.SERVER, Kind.ROUTE) or row.value is None:
                continue
            place = _place(records.unpack(row.kind, row.value))
            other = self.at.get((row.kind, place))
            if other is not None and (row.kind, other) in changed:
                other = None  # it goes, or is put anew by this change set and then looked at itself
            other = mine.setdefault((row.kind, place), row.name) if other is None else other
            if other != row.name:
                found.append(
                    f"{path}.addr: {other!r} is there"
                    if row.kind is Kind.SERVER
                    else f"{path}: {other!r} has that host, prefix and method"
                )
        return found


def _place(record: Any) -> Any:
    return record.addr if isinstance(record, records.Server) else (record.host, record.prefix, record.method)


def _paths(rows: Sequence[Row]) -> list[str]:
    count: Counter[tuple[str, Kind]] = Counter()
    paths = []
    for row in rows:
        way = "drop" if row.value is None else "put"
        paths.append(f"{way}.{NAMES[row.kind]}[{count[way, row.kind]}]")
        count[way, row.kind] += 1
    return paths


def contradictions(store: Records, rows: Sequence[Row], index: StateIndex | None = None) -> list[str]:
    """As Index.contradictions; without an index one is built for this once, which goes through the whole state."""
    return (index or StateIndex(store)).contradictions(rows)
