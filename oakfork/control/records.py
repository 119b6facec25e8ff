"""The records that change sets are made of, and how they are packed: msgspec arrays, the same bytes for the same record
at all times, since digests rest on them. Only the publisher packs; all others unpack what they look up.
"""

import socket
from enum import IntEnum
from typing import Annotated, Any

import msgspec

from oakfork.control.messages import Kind

Word = Annotated[str, msgspec.Meta(max_length=256)]
Amount = Annotated[int, msgspec.Meta(ge=0)] | Annotated[float, msgspec.Meta(ge=0)]  # whole ones pack as integers


class Effect(IntEnum):
    """Of a method: idempotent, deduplicated, non-idempotent (both of the last)."""

    READ_LIKE = 0
    IDEMPOTENCY_KEY = 1
    NON_IDEMPOTENT = 2
    UNSAFE = 3


class State(IntEnum):
    """Of a server; one that is gone has no record."""

    UP = 0
    DRAINING = 1


class Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The base of all."""


class Method(Record):
    """Soft deadline and deadline in milliseconds."""

    name: Word
    aim_ms: Amount
    deadline_ms: Amount
    effect: Effect = Effect.READ_LIKE


class Service(Record):
    methods: tuple[Method, ...]


class Server(Record):
    """`addr` as told, or as a number where it is an IPv4 address; `started_ms` in Unix time, 0: long ago."""

    addr: int | Word
    zone: Word
    kind: Word
    cell: Annotated[int, msgspec.Meta(ge=0)]
    state: State
    weight: Amount
    started_ms: Annotated[int, msgspec.Meta(ge=0)]
    service: Word


class Route(Record):
    """An RPC to that host, whose path begins so, of that method ("": any), goes to that service."""

    host: Word
    prefix: Word
    service: Word
    method: Word


class Tenant(Record):
    """Rate in units a second, burst in units; its quota is kept by `spread` gateways from `first` on."""

    plan: Word
    rate: Amount
    burst: Amount
    first: Annotated[int, msgspec.Meta(ge=0)]
    spread: Annotated[int, msgspec.Meta(ge=1)]


TYPES: dict[Kind, type[Record]] = {Kind.SERVICE: Service, Kind.SERVER: Server, Kind.ROUTE: Route, Kind.TENANT: Tenant}
_encoder = msgspec.msgpack.Encoder()
_decoders = {kind: msgspec.msgpack.Decoder(struct) for kind, struct in TYPES.items()}


def pack(record: Record) -> bytes:
    return _encoder.encode(record)


def unpack(kind: Kind, value: bytes) -> Any:
    """The record; None where the bytes are none of that kind: a frame is believed only as far as it can be read."""
    try:
        return _decoders[kind].decode(value)
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError):
        return None


def parse_amount(told: float) -> int | float:
    """Whole numbers pack into fewer bytes."""
    return int(told) if told == int(told) else told


def pack_address(text: str) -> int | str:
    """The address's four bytes and the port's two as one number, where that says the same; the text otherwise."""
    host, _, port = text.rpartition(":")
    try:
        number = int.from_bytes(socket.inet_pton(socket.AF_INET, host), "big") << 16 | int(port)
    except (OSError, ValueError):
        return text
    return number if unpack_address(number) == text else text


def unpack_address(told: int | str) -> str:
    """Of what `packed_address` made; empty for any other number."""
    if isinstance(told, str):
        return told
    if not 0 <= told < 1 << 48:
        return ""
    return f"{socket.inet_ntop(socket.AF_INET, (told >> 16).to_bytes(4, 'big'))}:{told & 0xFFFF}"


def discovery_row(name: str, value: bytes | None) -> dict[str, Any]:
    """A server as discovery would tell it; one that is gone, or whose bytes are no server, has state "removed"."""
    server = unpack(Kind.SERVER, value) if value is not None else None
    if server is None:
        return {"id": name, "state": "removed"}
    return {
        "id": name,
        "addr": unpack_address(server.addr),
        "zone": server.zone,
        "kind": server.kind,
        "cell": server.cell,
        "state": server.state.name.lower(),
        "weight": server.weight,
        "started_ms": server.started_ms,
    }
