"""Encodings of what publisher, relays and followers say, weighed by measured bytes: msgpack arrays (as
oakfork/control/messages.py has them), msgpack maps, JSON, each with and without zlib; of one server's change, of a
zone's servers, of a snapshot of full size. Prints them and stores them in control_codec.json beside this file.

The state is made up from a seed. A snapshot is counted as the frames that it is split into.
"""

import json
import random
import time
import zlib
from pathlib import Path
from typing import Any, Callable, Iterator

import msgspec

from oakfork.control import records
from oakfork.control.messages import LARGEST_FRAME, MOST_ROWS, Delta, Kind, Position, Row, pack, unpack_down

SERVICES, SERVERS, ROUTES, TENANTS, ZONE = 2_000, 41_000, 58_000, 59_000, 2_560
PLAYS = 7


def state(seed: int) -> Iterator[tuple[Row, dict[str, Any]]]:
    """Each record of a made-up state, as a row and as a table."""
    chance = random.Random(seed)
    services = [f"service-{number:04}" for number in range(SERVICES)]
    for name in services:
        yield put(
            Kind.SERVICE,
            name,
            records.Service(
                tuple(
                    records.Method(method, aim, 4 * aim, records.Effect(chance.randrange(4)))
                    for method, aim in (
                        ("read", chance.choice((50, 100, 250))),
                        ("write", chance.choice((250, 500, 1000))),
                    )
                )
            ),
        )
    for number in range(SERVERS):
        host = f"10.{number // ZONE}.{number % ZONE // 250}.{number % 250 + 1}"
        yield put(
            Kind.SERVER,
            f"server-{number:05}",
            records.Server(
                records.pack_address(f"{host}:{chance.choice((8080, 8443))}"),
                f"zone-{number // ZONE:02}",
                chance.choice(("small", "large")),
                number // 40,
                records.State.UP,
                chance.choice((1, 1, 2, 2.5)),
                1_796_000_000_000 + chance.randrange(86_400_000),
                services[number % SERVICES],
            ),
        )
    for number in range(ROUTES):
        yield put(
            Kind.ROUTE,
            f"route-{number:05}",
            records.Route(
                f"{chance.randrange(400):03}.example.org",
                f"/v{chance.randrange(3)}/part-{number:05}/",
                chance.choice(services),
                chance.choice(("", "GET", "POST")),
            ),
        )
    for _ in range(TENANTS):
        yield put(
            Kind.TENANT,
            f"{chance.getrandbits(64):016x}",
            records.Tenant(
                chance.choice(("basic", "plus")),
                chance.choice((10, 50, 200.5)),
                chance.choice((20, 100)),
                chance.randrange(2_700),
                chance.choice((1, 2, 4)),
            ),
        )


def put(kind: Kind, name: str, record: records.Record) -> tuple[Row, dict[str, Any]]:
    table = {field: getattr(record, field) for field in record.__struct_fields__}
    if kind is Kind.SERVER:
        table |= {"addr": records.unpack_address(record.addr), "state": record.state.name.lower()}
    if kind is Kind.SERVICE:
        table["methods"] = [
            {field: getattr(method, field) for field in method.__struct_fields__}
            | {"effect": method.effect.name.lower()}
            for method in record.methods
        ]
    return Row(kind, name, records.pack(record)), {"kind": kind.name.lower(), "name": name, "value": table}


def arrays(rows: list[tuple[Row, dict[str, Any]]]) -> bytes:
    return pack(Delta(Position(3, 1_000_000), Position(3, 1_000_001), 1 << 63, tuple(row for row, _ in rows), False))


def tables(rows: list[tuple[Row, dict[str, Any]]]) -> dict[str, Any]:
    return {
        "kind": "delta",
        "after": [3, 1_000_000],
        "position": [3, 1_000_001],
        "digest": 1 << 63,
        "rows": [table for _, table in rows],
        "more": False,
    }


def maps(rows: list[tuple[Row, dict[str, Any]]]) -> bytes:
    return msgspec.msgpack.encode(tables(rows))


def text(rows: list[tuple[Row, dict[str, Any]]]) -> bytes:
    return msgspec.json.encode(tables(rows))


ENCODINGS: dict[str, tuple[Callable, Callable]] = {
    "msgpack arrays": (arrays, unpack_down),
    "msgpack maps": (maps, msgspec.msgpack.decode),
    "JSON": (text, msgspec.json.decode),
}


def frames(encode: Callable, rows: list[tuple[Row, dict[str, Any]]]) -> list[bytes]:
    """As few as hold the rows; each of at most MOST_ROWS rows and LARGEST_FRAME bytes."""
    whole = encode(rows)
    if len(rows) <= MOST_ROWS and len(whole) <= LARGEST_FRAME:
        return [whole]
    half = len(rows) // 2
    return frames(encode, rows[:half]) + frames(encode, rows[half:])


def least_ms(work: Callable[[], Any]) -> float:
    times = []
    for _ in range(PLAYS):
        begun = time.perf_counter()
        work()
        times.append(time.perf_counter() - begun)
    return round(min(times) * 1000, 3)


def main() -> None:
    rows = list(state(1))
    servers = [pair for pair in rows if pair[0].kind is Kind.SERVER]
    cases = {
        "one server": servers[:1],
        "a zone's servers": servers[:ZONE],
        "a zone's servers gone": [(row._replace(value=None), table | {"value": None}) for row, table in servers[:ZONE]],
        "all": rows,
    }
    found = []
    for case, part in cases.items():
        for name, (encode, decode) in ENCODINGS.items():
            plain = frames(encode, part)
            for packed, bodies in (("", plain), (" and zlib", [zlib.compress(body) for body in plain])):

                def read(bodies: list[bytes] = bodies, decode: Callable = decode, packed: str = packed) -> None:
                    for body in bodies:
                        decode(zlib.decompress(body) if packed else body)

                found.append(
                    {
                        "case": case,
                        "records": len(part),
                        "encoding": name + packed,
                        "frames": len(bodies),
                        "bytes": sum(map(len, bodies)),
                        "unpack_ms": least_ms(read),
                    }
                )
                line = "{case} ({records}): {encoding}: {bytes} bytes in {frames} frames, unpacked in {unpack_ms} ms"
                print(line.format(**found[-1]), flush=True)
    Path(__file__).with_suffix(".json").write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
