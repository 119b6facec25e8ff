"""Reads and validates change files: JSON, checked against a schema, each fault reported with its path.

A valid change file becomes rows; an invalid one is refused as a whole. docs/control.md lists the keys. Contradictions
with the state in force are found by state_index.py.
"""

import json
import zlib
from collections import Counter
from typing import Any, Iterator, Mapping, Sequence

from oakfork.configuration_schema import against
from oakfork.control import records
from oakfork.control.messages import (
    LARGEST_FRAME,
    MAX_FAULTS,
    MAX_NAME_BYTES,
    MAX_VALUE_BYTES,
    SUBMIT_OVERHEAD,
    Kind,
    Row,
)
from oakfork.errors import ChangeSetError

MAX_FILE_BYTES = 1 << 20
MAX_SUBMITTED_BYTES = LARGEST_FRAME - SUBMIT_OVERHEAD  # of the file as it is sent, compressed with zlib
MAX_CHANGES = 4096  # records put and dropped in one change set
MAX_NESTING = 16  # lists and objects inside one another
MAX_JSON_VALUES = 65_536  # scalars, lists and objects in all
MAX_FAULT_LENGTH = 300  # characters
MAX_PORT = 65_535
ZLIB_FIRST_BYTE = b"\x78"
PLURALS = {Kind.SERVICE: "services", Kind.SERVER: "servers", Kind.ROUTE: "routes", Kind.TENANT: "tenants"}
MAX_INTEGER = 1 << 53  # JSON numbers are exact up to here
MAX_NUMBER = 1e12


def _typed(kind: str, text: str, **more: Any) -> dict[str, Any]:
    return {"type": kind, "description": text} | more


def _word(text: str, shortest: int = 1) -> dict[str, Any]:
    return _typed(
        "string", text, minLength=shortest, maxLength=256, pattern="^[^\\u0000-\\u001f\\ud800-\\udfff]*(?!\\n)$"
    )


def _name(text: str) -> dict[str, Any]:
    return _typed("string", text, pattern=f"^[!-~]{{1,{MAX_NAME_BYTES}}}(?!\\n)$")


def _integer(text: str, low: int = 0, high: int = MAX_INTEGER) -> dict[str, Any]:
    return _typed("integer", text, minimum=low, maximum=high)


def _number(text: str) -> dict[str, Any]:
    return _typed("number", text, minimum=0, maximum=MAX_NUMBER)


def _table(text: str, properties: dict[str, Any], *required: str) -> dict[str, Any]:
    return {
        "type": "object",
        "additionalProperties": False,
        "description": text,
        "properties": properties,
        "required": list(required),
    }


METHOD = _table(
    "a method of the service",
    {
        "name": _word("method name, as sent in the X-Lane header"),
        "aim_ms": _number("soft deadline in milliseconds, at most `deadline_ms`"),
        "deadline_ms": _number("deadline in milliseconds"),
        "effect": {
            "enum": [effect.name.lower() for effect in records.Effect],
            "default": "read_like",
            "description": "repeat safety: idempotent, deduplicated, non-idempotent (the last two values)",
        },
    },
    "name",
    "aim_ms",
    "deadline_ms",
)
SERVICE = _table(
    "a service",
    {
        "name": _name("service name"),
        "methods": _typed("array", "methods of the service", items=METHOD, minItems=1, maxItems=64),
    },
    "name",
    "methods",
)
SERVER = _table(
    "a server",
    {
        "id": _name("server id, the same at every gateway"),
        "addr": _typed(
            "string",
            "HOST:PORT on which the server accepts connections",
            maxLength=256,
            pattern=r"^[!-9;-~]+:[0-9]{1,5}(?!\n)$",
        ),
        "zone": _word("zone of the server"),
        "kind": _word("machine type, may be empty", 0),
        "cell": _integer("number of the group of servers that deduplicates repeats"),
        "state": {
            "enum": [state.name.lower() for state in records.State],
            "description": "draining: the server gets no new call-outs",
        },
        "weight": _number("registered size of the server"),
        "started_ms": _integer("time of the last start, as Unix time in milliseconds; 0: long ago"),
        "service": _name("name of the service that the server runs"),
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
        "name": _name("route name"),
        "host": _word("host of matching RPCs"),
        "prefix": _word("path prefix of matching RPCs; empty: any path", 0),
        "method": _word("method of matching RPCs; empty: any method", 0),
        "service": _name("name of the service that receives matching RPCs"),
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
        "id": _name("tenant id"),
        "plan": _word("name of the tenant's plan"),
        "rate": _number("quota in units per second"),
        "burst": _number("burst of the quota in units"),
        "first": _integer("index of the first gateway that owns the quota", high=65_535),
        "spread": _integer(
            "number of consecutive gateways that own the quota, counted from `first`", low=1, high=65_535
        ),
    },
    "id",
    "plan",
    "rate",
    "burst",
    "first",
    "spread",
)
ITEMS = {Kind.SERVICE: SERVICE, Kind.SERVER: SERVER, Kind.ROUTE: ROUTE, Kind.TENANT: TENANT}


def _by_kind(text: str, items: Mapping[Kind, dict[str, Any]]) -> dict[str, Any]:
    return _table(
        text,
        {
            PLURALS[kind]: _typed("array", f"list of {PLURALS[kind]}", items=items[kind], maxItems=MAX_CHANGES)
            for kind in Kind
        },
    )


SCHEMA = {"$schema": "https://json-schema.org/draft/2020-12/schema"} | _table(
    "a change set",
    {
        "id": _typed(
            "string",
            "unique id of the change set, also used in the log; submitting the same file again has no further effect",
            pattern="^[!-~]{1,100}(?!\\n)$",
        ),
        "put": _by_kind("records to add, or to replace where the name or id exists already", ITEMS),
        "drop": _by_kind(
            "names or ids of the records to remove", {kind: _name("name or id of an existing record") for kind in Kind}
        ),
    },
    "id",
)


def submitted(data: bytes) -> bytes:
    """A change file in the form in which it is submitted: compressed with zlib if that is shorter.

    Raises ChangeSetError if the file is over MAX_FILE_BYTES, or over MAX_SUBMITTED_BYTES in the shorter form.
    """
    if len(data) > MAX_FILE_BYTES:
        raise ChangeSetError([f"the file: over {MAX_FILE_BYTES} bytes"])
    shorter = min(zlib.compress(data), data, key=len)
    if len(shorter) > MAX_SUBMITTED_BYTES:
        raise ChangeSetError([f"the file: over {MAX_SUBMITTED_BYTES} bytes after zlib compression"])
    return shorter


def _decompressed(data: bytes) -> bytes | None:
    """Decompresses what begins as zlib data does, which no JSON text does; None if it is malformed or too long."""
    if data[:1] != ZLIB_FIRST_BYTE:
        return data
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_FILE_BYTES + 1)
    except zlib.error:
        return None
    return plain if decompressor.eof and not decompressor.unused_data else None


def read(data: bytes) -> tuple[Any, list[str]]:
    """The JSON value of a change file, compressed or not, and the faults that make it unreadable."""
    plain = _decompressed(data)
    if plain is None:
        return None, [f"the file: malformed zlib data, or over {MAX_FILE_BYTES} bytes"]
    if len(plain) > MAX_FILE_BYTES:
        return None, [f"the file: over {MAX_FILE_BYTES} bytes"]
    try:
        document = json.loads(plain, object_pairs_hook=_without_duplicates)
    except ChangeSetError as error:
        return None, bounded(error.faults)
    except (ValueError, RecursionError) as error:
        return None, bounded([f"the file: {error}"])
    if _count_values(document, MAX_NESTING) > MAX_JSON_VALUES:
        return None, [f"the file: over {MAX_JSON_VALUES} values, or nested over {MAX_NESTING} deep"]
    return document, []


def _without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """An object from its pairs; a repeated key is a fault, since either value may be meant."""
    document = dict(pairs)
    if len(document) < len(pairs):
        counts = Counter(key for key, _ in pairs)
        duplicate = next(key for key, count in counts.items() if count > 1)
        raise ChangeSetError([f"the file: duplicate key {duplicate!r} in one object"])
    return document


def _count_values(value: Any, depth_left: int) -> int:
    """The number of values in a JSON value; more than MAX_JSON_VALUES if it is nested too deep."""
    if not isinstance(value, dict | list):
        return 1
    if depth_left <= 0:
        return MAX_JSON_VALUES + 1
    children = value.values() if isinstance(value, dict) else value
    return 1 + sum(_count_values(child, depth_left - 1) for child in children)


def parse(data: bytes) -> tuple[list[Row], list[str]]:
    """The rows of a change file, or no rows and every fault by its path (MAX_FAULTS of them at most).

    Rows that are put come first, by kind and in the file's order; dropped ones follow.
    """
    document, faults = read(data)
    if not faults:
        faults = against(SCHEMA, document)
    if faults:
        return [], bounded(faults)
    put = document.get("put", {})
    drop = document.get("drop", {})
    count = sum(len(items) for section in (put, drop) for items in section.values())
    if not 0 < count <= MAX_CHANGES:
        return [], [f"the file: {count} records, but a change set has 1 to {MAX_CHANGES}"]
    rows = []
    for kind, number, item in _items(put):
        value = records.pack(_record(kind, item))
        faults += _item_faults(kind, f"put.{PLURALS[kind]}[{number}]", item, value)
        rows.append(Row(kind, _key(item), value))
    rows += [Row(kind, name, None) for kind, _, name in _items(drop)]
    return ([], bounded(faults)) if faults else (rows, [])


def _items(section: Mapping[str, Sequence[Any]]) -> Iterator[tuple[Kind, int, Any]]:
    """The items of the "put" or "drop" section, with their kind and their index in its list."""
    for kind in Kind:
        for number, item in enumerate(section.get(PLURALS[kind], ())):
            yield kind, number, item


def _item_faults(kind: Kind, path: str, item: Mapping[str, Any], value: bytes) -> list[str]:
    """Faults of one record that the schema doesn't express."""
    faults = []
    if len(value) > MAX_VALUE_BYTES:
        faults.append(f"{path}: {len(value)} bytes when packed, over {MAX_VALUE_BYTES}")
    if kind is Kind.SERVICE:
        faults += _method_faults(path, item["methods"])
    elif kind is Kind.SERVER:
        port = int(item["addr"].rpartition(":")[2])
        if port > MAX_PORT:
            faults.append(f"{path}.addr: port {port} is over {MAX_PORT}")
    return faults


def id_of(data: bytes) -> str | None:
    """The id of a change file; None if it can't be read or has none."""
    document, faults = read(data)
    if faults or not isinstance(document, dict) or not isinstance(document.get("id"), str):
        return None
    return document["id"]


def bounded(faults: list[str]) -> list[str]:
    """Cuts faults to the number and length that a SubmitResult holds, and makes them encodable as UTF-8."""
    if len(faults) > MAX_FAULTS:
        faults = [*faults[: MAX_FAULTS - 1], f"and {len(faults) - MAX_FAULTS + 1} more"]
    return [fault[:MAX_FAULT_LENGTH].encode(errors="backslashreplace").decode() for fault in faults]


def _key(item: Mapping[str, Any]) -> str:
    return item["id"] if "id" in item else item["name"]


def _method_faults(path: str, methods: Sequence[Mapping[str, Any]]) -> list[str]:
    faults = [
        f"{path}.methods[{number}].aim_ms: {method['aim_ms']} is over the deadline, {method['deadline_ms']}"
        for number, method in enumerate(methods)
        if method["aim_ms"] > method["deadline_ms"]
    ]
    counts = Counter(method["name"] for method in methods)
    faults += [f"{path}.methods: duplicate method {name!r}" for name, count in counts.items() if count > 1]
    return faults


def _record(kind: Kind, item: Mapping[str, Any]) -> records.Record:
    """The record of an item that the schema accepts."""
    number = records.parse_amount
    if kind is Kind.SERVICE:
        return records.Service(tuple(_method(method) for method in item["methods"]))
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


def _method(item: Mapping[str, Any]) -> records.Method:
    return records.Method(
        item["name"],
        records.parse_amount(item["aim_ms"]),
        records.parse_amount(item["deadline_ms"]),
        records.Effect[item.get("effect", "read_like").upper()],
    )
