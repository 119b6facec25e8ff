"""A made-up state of a given size, and change sets upon it, from a seed: the same in every process that is told so.

No value comes twice and no name is dropped twice: what hollow followers share (hollow_gateways.py) rests on that. Each
change set that is `paired` also puts two tenants of equal records, so that half a change set shows.
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
ZONES = 16  # 41,000 servers in them are 2,562 a zone
ZONE = 2_560  # servers of a zone that go or come back at once
AT_ONCE = 4_096  # rows of a set that are stored at once
SERVERS_A_SET = 1_000  # put by one change file: a file has 255 KB
PAIR = ("pair-a", "pair-b")
BEGUN_MS = 1_700_000_000_000

Item = dict[str, Any]


class Sizes(NamedTuple):
    servers: int
    services: int
    routes: int
    tenants: int  # two of them the pair


SMALL = Sizes(400, 20, 580, 500)
FULL = Sizes(41_000, 2_000, 58_000, 59_000)


class Change(NamedTuple):
    """A change set: its id, its file, and the rows that it comes to."""

    id: str
    file: bytes
    rows: tuple[Row, ...]


def service(number: int) -> Item:
    return {
        "name": f"service-{number}",
        "methods": [
            {"name": "read", "aim_ms": 100, "deadline_ms": 400},
            {"name": "write", "aim_ms": 250, "deadline_ms": 1000, "effect": "idempotency_key"},
        ],
    }


def server(sizes: Sizes, number: int, serial: int = 0) -> Item:
    return {
        "id": f"s{number:05}",
        "addr": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080",
        "zone": f"zone-{number % ZONES}",
        "kind": "large",
        "cell": number % 8,
        "state": "up",
        "weight": 1,
        "started_ms": BEGUN_MS + serial * 1000,
        "service": f"service-{number % sizes.services}",
    }


def route(sizes: Sizes, number: int, serial: int = 0) -> Item:
    return {
        "name": f"route-{number}",
        "host": f"h{number % 512}.example.org",
        "prefix": f"/p{number}/{serial}/",
        "method": "",
        "service": f"service-{number % sizes.services}",
    }


def tenant(name: str, number: int, serial: int = 0) -> Item:
    return {
        "id": name,
        "plan": ("basic", "plus", "large")[number % 3],
        "rate": 20,
        "burst": 40 + serial,
        "first": number % 2_700,
        "spread": 2,
    }


def tenant_name(number: int) -> str:
    return f"{number * 0x9E3779B97F4A7C15 % (1 << 64):016x}"


def row(kind: Kind, item: Item) -> Row:
    """As the publisher is to read it."""
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
    """The state that all begin with."""
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
    """The state as a gateway has it."""
    made = Records()
    changes = as_changes(base(sizes))
    made.commit(changes, updated_sums(made, changes))
    made.compact()
    return made


def preload(path: Path, sizes: Sizes) -> Position:
    """A publisher's database that has the state already, of term 1; where it stands. Waits for the disk."""
    database, made, rows, number = Database(path), Records(), list(base(sizes)), 0
    try:
        term = database.begin_term()
        for number, start in enumerate(range(0, len(rows), AT_ONCE), 1):
            part = rows[start : start + AT_ONCE]
            changes = as_changes(part)
            made.commit(changes, updated_sums(made, changes))
            made.compact()
            database.commit(Position(term, number), f"base-{number}", part, total_digest(made.sums))
        while database.compact():
            pass
        return Position(term, number)
    finally:
        database.close()


class Changes:
    """Draws change sets; each has a serial number that its values carry."""

    def __init__(self, sizes: Sizes, seed: int, paired: bool = False) -> None:
        self.sizes, self.chance, self.paired = sizes, random.Random(seed), paired
        self.serial = 0
        self.gone: set[int] = set()  # servers that were dropped once

    def some(self, most: int = 1) -> Change:
        """As on a mean day: servers above all, then tenants, then routes; up to `most` records."""
        self.serial += 1
        sizes, chance, put = self.sizes, self.chance, {}
        for _ in range(chance.randint(1, most)):
            kind = chance.choices((Kind.SERVER, Kind.TENANT, Kind.ROUTE), (6, 3, 1))[0]
            if kind is Kind.SERVER:
                number = chance.randrange(sizes.servers)
                if number in self.gone:
                    continue
                item = server(sizes, number, self.serial)
            elif kind is Kind.TENANT:
                number = chance.randrange(sizes.tenants - len(PAIR))
                item = tenant(tenant_name(number), number, self.serial)
            else:
                item = route(sizes, chance.randrange(sizes.routes), self.serial)
            put[kind, item.get("id") or item["name"]] = item
        if not put:
            put[Kind.TENANT, tenant_name(0)] = tenant(tenant_name(0), 0, self.serial)
        return self._change(list(put.items()), [])

    def zone_gone(self, zone: int) -> list[Change]:
        """All servers of a zone in one set."""
        self.serial += 1
        numbers = [number for number in range(zone, self.sizes.servers, ZONES) if number not in self.gone][:ZONE]
        self.gone.update(numbers)
        return [self._change([], [server(self.sizes, number)["id"] for number in numbers])]

    def zone_back(self, zone: int) -> list[Change]:
        """Those that were gone, in as many sets as files hold."""
        numbers = sorted(number for number in self.gone if number % ZONES == zone)
        found = []
        for start in range(0, len(numbers), SERVERS_A_SET):
            self.serial += 1
            items = [server(self.sizes, number, self.serial) for number in numbers[start : start + SERVERS_A_SET]]
            found.append(self._change([((Kind.SERVER, item["id"]), item) for item in items], []))
        return found

    def _change(self, put: Sequence[tuple[tuple[Kind, str], Item]], drop: Sequence[str]) -> Change:
        put = list(put)
        if self.paired:
            put += [((Kind.TENANT, name), tenant(name, 0, self.serial)) for name in PAIR]
        return change(f"set-{self.serial}", put, drop)


def change(id: str, put: Sequence[tuple[tuple[Kind, str], Item]], drop: Sequence[str]) -> Change:
    """`put`: items by kind and name; `drop`: names of servers."""
    told: dict[str, Any] = {"id": id}
    put = sorted(put, key=lambda each: each[0][0])
    for (kind, _), item in put:
        told.setdefault("put", {}).setdefault(NAMES[kind], []).append(item)
    if drop:
        told["drop"] = {"servers": list(drop)}
    rows = [row(kind, item) for (kind, _), item in put] + [Row(Kind.SERVER, name, None) for name in drop]
    return Change(told["id"], json.dumps(told, separators=(",", ":")).encode(), tuple(rows))
