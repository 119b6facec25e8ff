"""Generates a state of a given size and change sets upon it, from a seed; every process generates the same.

No value comes twice and no name is dropped twice: the values that hollow followers share (hollow_gateways.py) rely on
that. Each change set that is `paired` also puts two tenants with equal records, so that half a change set is visible.
"""

import json
import random
from pathlib import Path
from typing import Any, Iterator, NamedTuple, Sequence

from oakfork.control import records
from oakfork.control.database import Database
from oakfork.control.messages import Kind, Position, Row
from oakfork.control.state import Records, as_changes, total_digest, updated_sums

NAMES = {Kind.SERVICE: "services", Kind.SERVER: "servers", Kind.ROUTE: "routes", Kind.TENANT: "tenants"}
ZONES = 16  # of 41,000 servers each zone has 2,562
ZONE_SERVERS = 2_560  # of a zone that fail or come back at once
PRELOAD_ROWS = 4_096  # stored as one change set
MAX_SERVERS_PUT = 1_000  # by one change file, which is limited to 255 KB
PAIR = ("pair-a", "pair-b")  # tenants that paired change sets change together
FIRST_STARTED_MS = 1_700_000_000_000  # of servers, Unix time
NAME_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio, which spreads consecutive numbers

Item = dict[str, Any]


class Sizes(NamedTuple):
    """Numbers of records of each kind."""

    servers: int
    services: int
    routes: int
    tenants: int  # the pair included


SMALL = Sizes(400, 20, 580, 500)
FULL = Sizes(41_000, 2_000, 58_000, 59_000)


class Change(NamedTuple):
    """A change set: its id, its file, and the rows that the publisher is to read from the file."""

    id: str
    file: bytes
    rows: tuple[Row, ...]


def service(number: int) -> Item:
    """A service of two methods, as a change file has it."""
    return {
        "name": f"service-{number}",
        "methods": [
            {"name": "read", "aim_ms": 100, "deadline_ms": 400},
            {"name": "write", "aim_ms": 250, "deadline_ms": 1000, "effect": "idempotency_key"},
        ],
    }


def server(sizes: Sizes, number: int, serial: int = 0) -> Item:
    """A server, as a change file has it; each `serial` makes another value."""
    return {
        "id": f"s{number:05}",
        "addr": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080",
        "zone": f"zone-{number % ZONES}",
        "kind": "large",
        "cell": number % 8,
        "state": "up",
        "weight": 1,
        "started_ms": FIRST_STARTED_MS + serial * 1000,
        "service": f"service-{number % sizes.services}",
    }


def route(sizes: Sizes, number: int, serial: int = 0) -> Item:
    """A route, as a change file has it; each `serial` makes another value."""
    return {
        "name": f"route-{number}",
        "host": f"h{number % 512}.example.org",
        "prefix": f"/p{number}/{serial}/",
        "method": "",
        "service": f"service-{number % sizes.services}",
    }


def tenant(name: str, number: int, serial: int = 0) -> Item:
    """A tenant, as a change file has it; each `serial` makes another value."""
    return {
        "id": name,
        "plan": ("basic", "plus", "large")[number % 3],
        "rate": 20,
        "burst": 40 + serial,
        "first": number % 2_700,
        "spread": 2,
    }


def tenant_name(number: int) -> str:
    """The id of a tenant: 16 hexadecimal digits that look random."""
    return f"{number * NAME_MULTIPLIER % (1 << 64):016x}"


def row(kind: Kind, item: Item) -> Row:
    """The record that the publisher is to read from an item of a change file."""
    if kind is Kind.SERVICE:
        record: records.Record = records.Service(
            tuple(
                records.Method(
                    method["name"],
                    method["aim_ms"],
                    method["deadline_ms"],
                    records.Effect[method.get("effect", "read_like").upper()],
                )
                for method in item["methods"]
            )
        )
    elif kind is Kind.SERVER:
        record = records.Server(
            records.pack_address(item["addr"]),
            item["zone"],
            item["kind"],
            item["cell"],
            records.State[item["state"].upper()],
            item["weight"],
            item["started_ms"],
            item["service"],
        )
    elif kind is Kind.ROUTE:
        record = records.Route(item["host"], item["prefix"], item["service"], item["method"])
    else:
        record = records.Tenant(item["plan"], item["rate"], item["burst"], item["first"], item["spread"])
    return Row(kind, item.get("id") or item["name"], records.pack(record))


def base(sizes: Sizes) -> Iterator[Row]:
    """The records of the state that a run begins with."""
    for number in range(sizes.services):
        yield row(Kind.SERVICE, service(number))
    for number in range(sizes.servers):
        yield row(Kind.SERVER, server(sizes, number))
    for number in range(sizes.routes):
        yield row(Kind.ROUTE, route(sizes, number))
    for number in range(sizes.tenants - len(PAIR)):
        yield row(Kind.TENANT, tenant(tenant_name(number), number))
    for name in PAIR:
        yield row(Kind.TENANT, tenant(name, 0))


def store(sizes: Sizes) -> Records:
    """The state of `base` as a gateway stores it."""
    state = Records()
    changes = as_changes(base(sizes))
    state.commit(changes, updated_sums(state, changes))
    state.compact()
    return state


def preload(path: Path, sizes: Sizes) -> Position:
    """Writes a publisher's database that holds the state already, in term 1, and returns its position.

    Blocks on the disk.
    """
    database = Database(path)
    state = Records()
    rows = list(base(sizes))
    number = 0
    try:
        term = database.begin_term()
        for number, start in enumerate(range(0, len(rows), PRELOAD_ROWS), 1):
            part = rows[start : start + PRELOAD_ROWS]
            changes = as_changes(part)
            state.commit(changes, updated_sums(state, changes))
            state.compact()
            database.commit(Position(term, number), f"base-{number}", part, total_digest(state.sums))
        while database.compact():
            pass
        return Position(term, number)
    finally:
        database.close()


class Changes:
    """Draws change sets from a seed; each has a serial number that its values contain."""

    def __init__(self, sizes: Sizes, seed: int, paired: bool = False) -> None:
        self.sizes = sizes
        self.random = random.Random(seed)
        self.paired = paired
        self.serial = 0
        self.dropped: set[int] = set()  # servers that were dropped once

    def some(self, most: int = 1) -> Change:
        """A change set of 1 to `most` records as on a mean day: mostly servers, then tenants, then routes."""
        self.serial += 1
        sizes = self.sizes
        put: dict[tuple[Kind, str], Item] = {}
        for _ in range(self.random.randint(1, most)):
            kind = self.random.choices((Kind.SERVER, Kind.TENANT, Kind.ROUTE), (6, 3, 1))[0]
            if kind is Kind.SERVER:
                number = self.random.randrange(sizes.servers)
                if number in self.dropped:
                    continue
                item = server(sizes, number, self.serial)
            elif kind is Kind.TENANT:
                number = self.random.randrange(sizes.tenants - len(PAIR))
                item = tenant(tenant_name(number), number, self.serial)
            else:
                item = route(sizes, self.random.randrange(sizes.routes), self.serial)
            put[kind, item.get("id") or item["name"]] = item
        if not put:
            put[Kind.TENANT, tenant_name(0)] = tenant(tenant_name(0), 0, self.serial)
        return self._change(list(put.items()), [])

    def zone_gone(self, zone: int) -> list[Change]:
        """One change set that drops the servers of a zone."""
        self.serial += 1
        numbers = [number for number in range(zone, self.sizes.servers, ZONES) if number not in self.dropped]
        numbers = numbers[:ZONE_SERVERS]
        self.dropped.update(numbers)
        return [self._change([], [server(self.sizes, number)["id"] for number in numbers])]

    def zone_back(self, zone: int) -> list[Change]:
        """Change sets that put the dropped servers of a zone again, as many as the limit of a file requires."""
        numbers = sorted(number for number in self.dropped if number % ZONES == zone)
        sets = []
        for start in range(0, len(numbers), MAX_SERVERS_PUT):
            self.serial += 1
            items = [server(self.sizes, number, self.serial) for number in numbers[start : start + MAX_SERVERS_PUT]]
            sets.append(self._change([((Kind.SERVER, item["id"]), item) for item in items], []))
        return sets

    def _change(self, put: Sequence[tuple[tuple[Kind, str], Item]], drop: Sequence[str]) -> Change:
        put = list(put)
        if self.paired:
            put += [((Kind.TENANT, name), tenant(name, 0, self.serial)) for name in PAIR]
        return change(f"set-{self.serial}", put, drop)


def change(id: str, put: Sequence[tuple[tuple[Kind, str], Item]], drop: Sequence[str]) -> Change:
    """Builds a change set that puts items, given by kind and name, and drops servers, given by name."""
    document: dict[str, Any] = {"id": id}
    put = sorted(put, key=lambda each: each[0][0])
    for (kind, _), item in put:
        document.setdefault("put", {}).setdefault(NAMES[kind], []).append(item)
    if drop:
        document["drop"] = {"servers": list(drop)}
    rows = [row(kind, item) for (kind, _), item in put] + [Row(Kind.SERVER, name, None) for name in drop]
    return Change(document["id"], json.dumps(document, separators=(",", ":")).encode(), tuple(rows))
