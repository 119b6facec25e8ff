"""The records that change sets consist of, and their encoding.

Records are packed as msgspec arrays. Digests are computed from the packed bytes, so a record must always pack to the
same bytes. Only the publisher packs records; all others unpack the ones that they look up.
"""

import socket
from enum import IntEnum
from typing import Annotated, Any

import msgspec

from oakfork.control.messages import Kind

Text = Annotated[str, msgspec.Meta(max_length=256)]
Amount = Annotated[int, msgspec.Meta(ge=0)] | Annotated[float, msgspec.Meta(ge=0)]  # whole numbers pack as integers
IPV4_ADDRESS_LIMIT = 1 << 48  # four bytes of IPv4 address and two of port


class Effect(IntEnum):
    """How repeats of a method are treated: idempotent, deduplicated, non-idempotent (the last two alike)."""

    READ_LIKE = 0
    IDEMPOTENCY_KEY = 1
    NON_IDEMPOTENT = 2
    UNSAFE = 3


class State(IntEnum):
    """The state of a server; a removed server has no record."""

    UP = 0
    DRAINING = 1


class Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The base class of all records."""


class Method(Record):
    """A method of a service, with its soft deadline and deadline in milliseconds."""

    name: Text
    aim_ms: Amount
    deadline_ms: Amount
    effect: Effect = Effect.READ_LIKE


class Service(Record):
    """A service and its methods."""

    methods: tuple[Method, ...]


class Server(Record):
    """A server of a service. `addr` is HOST:PORT, or a number for an IPv4 address (see `pack_address`); `started_ms` is
    Unix time in milliseconds, 0 for long ago."""

    addr: int | Text
    zone: Text
    kind: Text
    cell: Annotated[int, msgspec.Meta(ge=0)]
    state: State
    weight: Amount
    started_ms: Annotated[int, msgspec.Meta(ge=0)]
    service: Text


class Route(Record):
    """RPCs to `host` whose path begins with `prefix` and whose method is `method` ("": any) go to `service`."""

    host: Text
    prefix: Text
    service: Text
    method: Text


class Tenant(Record):
    """A tenant's quota: rate in units per second, burst in units; the `spread` gateways from `first` on own it."""

    plan: Text
    rate: Amount
    burst: Amount
    first: Annotated[int, msgspec.Meta(ge=0)]
    spread: Annotated[int, msgspec.Meta(ge=1)]


TYPES: dict[Kind, type[Record]] = {Kind.SERVICE: Service, Kind.SERVER: Server, Kind.ROUTE: Route, Kind.TENANT: Tenant}
_encoder = msgspec.msgpack.Encoder()
_decoders = {kind: msgspec.msgpack.Decoder(struct) for kind, struct in TYPES.items()}


def pack(record: Record) -> bytes:
    """Encodes a record."""
    return _encoder.encode(record)


def unpack(kind: Kind, value: bytes) -> Any:
    """Decodes a record; None if the bytes are no record of that kind, since values come from the network unchecked."""
    try:
        return _decoders[kind].decode(value)
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError):
        return None


def parse_amount(number: float) -> int | float:
    """Converts a whole number to an integer, which packs into fewer bytes; other numbers stay as they are."""
    return int(number) if number == int(number) else number


def pack_address(text: str) -> int | str:
    """Packs an IPv4 HOST:PORT into one number, four bytes of address and two of port, if `unpack_address` restores the
    same text from it; otherwise returns the text."""
    host, _, port = text.rpartition(":")
    try:
        number = int.from_bytes(socket.inet_pton(socket.AF_INET, host), "big") << 16 | int(port)
    except (OSError, ValueError):
        return text
    return number if unpack_address(number) == text else text


def unpack_address(packed: int | str) -> str:
    """Restores HOST:PORT from the result of `pack_address`; empty for a number out of range."""
    if isinstance(packed, str):
        return packed
    if not 0 <= packed < IPV4_ADDRESS_LIMIT:
        return ""
    host = socket.inet_ntop(socket.AF_INET, (packed >> 16).to_bytes(4, "big"))
    return f"{host}:{packed & 0xFFFF}"


def discovery_row(name: str, value: bytes | None) -> dict[str, Any]:
    """A server in the form that discovery returns; one without a value, or with an unreadable one, is "removed"."""
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
