"""Compares encodings of what publisher, relays and followers send, by bytes and by the time to decode them.

    python experiments/control_codec.py

The encodings are msgpack arrays (as in oakfork/control/messages.py), msgpack maps and JSON, each with and without
zlib. They are measured on one server's change, on a zone's servers, and on a snapshot of full size, which counts as the
frames that it is split into. The state is generated from a seed. Prints the results, and stores them in
control_codec.json beside this file.
"""

import json
import random
import time
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from oakfork.control import records
from oakfork.control.messages import LARGEST_FRAME, MOST_ROWS, Delta, Kind, Position, Row, pack, unpack_down

SERVICES = 2_000
SERVERS = 41_000
ROUTES = 58_000
TENANTS = 59_000
SERVERS_OF_A_ZONE = 2_560
REPETITIONS = 7


class Entry(NamedTuple):
    """One record in both forms: as a row of the protocol, and as a table with named fields."""

    row: Row
    table: dict[str, Any]


class Encoding(NamedTuple):
    """How a list of entries becomes a frame, and how a frame is decoded."""

    encode: Callable[[list[Entry]], bytes]
    decode: Callable[[bytes], Any]


def generated_state(seed: int) -> Iterator[Entry]:
    """Every record of a state of full size."""
    rng = random.Random(seed)
    services = [f"service-{number:04}" for number in range(SERVICES)]
    for name in services:
        yield entry(Kind.SERVICE, name, service(rng))
    for number in range(SERVERS):
        yield entry(Kind.SERVER, f"server-{number:05}", server(rng, number, services))
    for number in range(ROUTES):
        yield entry(Kind.ROUTE, f"route-{number:05}", route(rng, number, services))
    for _ in range(TENANTS):
        yield entry(Kind.TENANT, f"{rng.getrandbits(64):016x}", tenant(rng))


def service(rng: random.Random) -> records.Service:
    """A service with a fast and a slow method."""
    aims_ms = (("read", rng.choice((50, 100, 250))), ("write", rng.choice((250, 500, 1000))))
    methods = (
        records.Method(method, aim_ms, 4 * aim_ms, records.Effect(rng.randrange(4))) for method, aim_ms in aims_ms
    )
    return records.Service(tuple(methods))


def server(rng: random.Random, number: int, services: list[str]) -> records.Server:
    """A server that is up."""
    zone, place = divmod(number, SERVERS_OF_A_ZONE)
    host = f"10.{zone}.{place // 250}.{number % 250 + 1}"
    return records.Server(
        records.pack_address(f"{host}:{rng.choice((8080, 8443))}"),
        f"zone-{zone:02}",
        rng.choice(("small", "large")),
        number // 40,
        records.State.UP,
        rng.choice((1, 1, 2, 2.5)),
        1_796_000_000_000 + rng.randrange(86_400_000),
        services[number % SERVICES],
    )


def route(rng: random.Random, number: int, services: list[str]) -> records.Route:
    """A route to a service drawn at random."""
    return records.Route(
        f"{rng.randrange(400):03}.example.org",
        f"/v{rng.randrange(3)}/part-{number:05}/",
        rng.choice(services),
        rng.choice(("", "GET", "POST")),
    )


def tenant(rng: random.Random) -> records.Tenant:
    """A tenant with a plan and its limits."""
    return records.Tenant(
        rng.choice(("basic", "plus")),
        rng.choice((10, 50, 200.5)),
        rng.choice((20, 100)),
        rng.randrange(2_700),
        rng.choice((1, 2, 4)),
    )


def entry(kind: Kind, name: str, record: records.Record) -> Entry:
    """A record in both forms."""
    table = {field: getattr(record, field) for field in record.__struct_fields__}
    if kind is Kind.SERVER:
        table |= {"addr": records.unpack_address(record.addr), "state": record.state.name.lower()}
    if kind is Kind.SERVICE:
        table["methods"] = [
            {field: getattr(method, field) for field in method.__struct_fields__}
            | {"effect": method.effect.name.lower()}
            for method in record.methods
        ]
    row = Row(kind, name, records.pack(record))
    return Entry(row, {"kind": kind.name.lower(), "name": name, "value": table})


def encode_arrays(entries: list[Entry]) -> bytes:
    """A delta as the protocol encodes it."""
    rows = tuple(one.row for one in entries)
    return pack(Delta(Position(3, 1_000_000), Position(3, 1_000_001), 1 << 63, rows, False))


def delta_table(entries: list[Entry]) -> dict[str, Any]:
    """A delta with named fields."""
    return {
        "kind": "delta",
        "after": [3, 1_000_000],
        "position": [3, 1_000_001],
        "digest": 1 << 63,
        "rows": [one.table for one in entries],
        "more": False,
    }


def encode_maps(entries: list[Entry]) -> bytes:
    """A delta as msgpack maps."""
    return msgspec.msgpack.encode(delta_table(entries))


def encode_json(entries: list[Entry]) -> bytes:
    """A delta as JSON."""
    return msgspec.json.encode(delta_table(entries))


ENCODINGS = {
    "msgpack arrays": Encoding(encode_arrays, unpack_down),
    "msgpack maps": Encoding(encode_maps, msgspec.msgpack.decode),
    "JSON": Encoding(encode_json, msgspec.json.decode),
}


def frames(encode: Callable[[list[Entry]], bytes], entries: list[Entry]) -> list[bytes]:
    """Frames with all entries, halved until each has at most MOST_ROWS rows and LARGEST_FRAME bytes."""
    whole = encode(entries)
    if len(entries) <= MOST_ROWS and len(whole) <= LARGEST_FRAME:
        return [whole]
    half = len(entries) // 2
    return frames(encode, entries[:half]) + frames(encode, entries[half:])


def shortest_ms(call: Callable[[], Any]) -> float:
    """The shortest time of several calls, in milliseconds."""
    times = []
    for _ in range(REPETITIONS):
        begun = time.perf_counter()
        call()
        times.append(time.perf_counter() - begun)
    return round(min(times) * 1000, 3)


def measure(case: str, entries: list[Entry], name: str, encoding: Encoding) -> Iterator[dict[str, Any]]:
    """The results of one encoding on one case, without and with zlib."""

    def decode_plain() -> None:
        for body in plain:
            encoding.decode(body)

    def decode_compressed() -> None:
        for body in compressed:
            encoding.decode(zlib.decompress(body))

    plain = frames(encoding.encode, entries)
    compressed = [zlib.compress(body) for body in plain]
    for suffix, bodies, decode in (("", plain, decode_plain), (" and zlib", compressed, decode_compressed)):
        yield {
            "case": case,
            "records": len(entries),
            "encoding": name + suffix,
            "frames": len(bodies),
            "bytes": sum(map(len, bodies)),
            "unpack_ms": shortest_ms(decode),
        }


def main() -> None:
    """Measures all cases and encodings, prints and stores them."""
    entries = list(generated_state(1))
    servers = [one for one in entries if one.row.kind is Kind.SERVER]
    zone = servers[:SERVERS_OF_A_ZONE]
    cases = {
        "one server": servers[:1],
        "a zone's servers": zone,
        "a zone's servers gone": [Entry(one.row._replace(value=None), one.table | {"value": None}) for one in zone],
        "all": entries,
    }
    line = "{case} ({records}): {encoding}: {bytes} bytes in {frames} frames, unpacked in {unpack_ms} ms"
    results = []
    for case, of_case in cases.items():
        for name, encoding in ENCODINGS.items():
            for result in measure(case, of_case, name, encoding):
                results.append(result)
                print(line.format(**result), flush=True)
    Path(__file__).with_suffix(".json").write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
