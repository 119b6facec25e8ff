"""What the operators tell a gateway when it starts: where the others are, and the module's GatewaySettings."""

import json
from dataclasses import dataclass
from typing import Any, Callable, Mapping, TypeVar

from oakfork.errors import ConfigurationError
from oakfork.interface import GatewaySettings
from oakfork.settings import read_settings, tenths

Address = tuple[str, int]
Read = TypeVar("Read")


@dataclass(frozen=True, slots=True)
class NameIndices:
    """The indices of what the settings list by name."""

    methods: Mapping[bytes, int]
    plans: Mapping[bytes, int]
    zones: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class GatewayConfiguration:
    """Where a gateway stands, what it may hold and whom it talks to. Times are seconds."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    sockets: int
    memory: int  # bytes
    connect_patience: float
    idle_patience: float
    count_patience: float
    longest_deadline: float
    tick: int  # tenths of a millisecond: the module's timers need not be finer
    known: Mapping[str, Any]
    names: NameIndices
    settings: GatewaySettings


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise ConfigurationError(f"not an address: {text!r}")
    return host, int(port)


def read_configuration(environment: Mapping[str, str]) -> GatewayConfiguration:
    """Reads LB_CONFIG; LB_NAME, LB_LISTEN and LB_DISCOVERY go before what stands in it."""
    variables = {"name": "LB_NAME", "listen": "LB_LISTEN", "discovery": "LB_DISCOVERY"}
    given = {key: environment[variable] for key, variable in variables.items() if environment.get(variable)}
    return _read(environment, lambda told: _surroundings(told | given))


def reread_addresses(environment: Mapping[str, str]) -> tuple[Address, Address | None]:
    """What a running gateway turns to: the addresses of discovery and the counter, as LB_CONFIG names them now. The
    variables were for the start."""
    return _read(environment, lambda told: (parse_address(told["discovery"]), _place(told, "counter")))


def _read(environment: Mapping[str, str], use: Callable[[dict[str, Any]], Read]) -> Read:
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigurationError("LB_CONFIG names no file")
    try:
        with open(path, encoding="utf-8") as file:
            return use(json.load(file))
    except (OSError, TypeError, ValueError, AttributeError, KeyError, RecursionError) as error:
        raise ConfigurationError(f"{path}: not usable: {error!r}") from error


def _place(told: dict[str, Any], key: str) -> Address | None:
    return parse_address(told[key]) if told.get(key) else None


def _surroundings(told: dict[str, Any]) -> GatewayConfiguration:
    info = told["settings"]
    limits, specifics, known = info.get("limits", {}), info.get("specifics", {}), told.get("known", {})
    if not isinstance(known, dict):
        raise ConfigurationError(f"not a list of servers: {known!r:.100}")
    settings = read_settings(int(told.get("seed", "0"), 16), info)

    def numbered(rows: list, key: str | None = None) -> dict[str, int]:
        return {(row[key] if key else row): number for number, row in enumerate(rows)}

    def encoded(numbers: dict[str, int]) -> dict[bytes, int]:
        return {name.encode(): number for name, number in numbers.items()}

    return GatewayConfiguration(
        name=str(told.get("name", "")),
        listen=parse_address(told["listen"]),
        discovery=parse_address(told["discovery"]),
        counter=_place(told, "counter") if specifics.get("shared-counter") else None,
        peer_listen=_place(told, "peer_listen") if settings.peers else None,
        peers=tuple(parse_address(text) for text in told.get("peers", ())),
        peers_all=_place(told, "peers_all"),
        sockets=int(told.get("limits", {}).get("sockets", 1024)),
        memory=int(told.get("limits", {}).get("memory_mb", 64) * 1024 * 1024),
        connect_patience=limits.get("connect-timeout-ms", 250.0) / 1000,
        idle_patience=limits.get("conn-idle-ms", 15_000.0) / 1000,
        count_patience=specifics.get("count-limit-ms", 50.0) / 1000,
        longest_deadline=max((method.deadline for method in settings.methods), default=0) / 10_000,
        tick=tenths(info.get("tick-ms", 1.0)),
        known=known,
        names=NameIndices(
            encoded(numbered(info.get("classes", ()), "name")),
            encoded(numbered(info.get("tiers-of-service", ()), "name")),
            numbered(info.get("zones", ())),
        ),
        settings=settings,
    )
