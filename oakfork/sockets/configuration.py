"""The configuration of a gateway: its addresses, its limits and the settings of its decision module."""

import json
from dataclasses import dataclass
from typing import Any, Callable, Mapping, TypeVar

from oakfork.errors import ConfigurationError
from oakfork.interface import GatewaySettings
from oakfork.settings import read_settings, tenths

Address = tuple[str, int]
Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class NameIndices:
    """The indices of methods, plans and zones, by the names that the settings give them."""

    methods: Mapping[bytes, int]
    plans: Mapping[bytes, int]
    zones: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class GatewayConfiguration:
    """What a gateway needs to run: its addresses, those of the other services, and its limits. Times are seconds."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    sockets: int  # file descriptors
    memory: int  # bytes
    connect_timeout: float
    idle_timeout: float  # after which servers close an idle connection
    counter_timeout: float
    longest_deadline: float
    tick: int  # tenths of a millisecond: the module's timers need not be finer
    known: Mapping[str, Any]  # the list of servers at the start, in the format of discovery
    names: NameIndices
    settings: GatewaySettings


def parse_address(text: str) -> Address:
    """Splits HOST:PORT; raises ConfigurationError if it is none."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise ConfigurationError(f"not an address: {text!r}")
    return host, int(port)


def read_configuration(environment: Mapping[str, str]) -> GatewayConfiguration:
    """Reads the file that LB_CONFIG names; LB_NAME, LB_LISTEN and LB_DISCOVERY override what the file says.

    Raises ConfigurationError if the file can't be used.
    """
    variables = {"name": "LB_NAME", "listen": "LB_LISTEN", "discovery": "LB_DISCOVERY"}
    overrides = {key: environment[variable] for key, variable in variables.items() if environment.get(variable)}
    return _read(environment, lambda document: _configuration(document | overrides))


def reread_addresses(environment: Mapping[str, str]) -> tuple[Address, Address | None]:
    """The addresses of discovery and of the counter that the file of LB_CONFIG names now, for a running gateway.

    The variables that override the file count at the start only. Raises ConfigurationError if the file can't be used.
    """
    return _read(
        environment,
        lambda document: (parse_address(document["discovery"]), _optional_address(document, "counter")),
    )


def _read(environment: Mapping[str, str], convert: Callable[[dict[str, Any]], Result]) -> Result:
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigurationError("LB_CONFIG names no file")
    try:
        with open(path, encoding="utf-8") as file:
            return convert(json.load(file))
    except (OSError, TypeError, ValueError, AttributeError, KeyError, RecursionError) as error:
        raise ConfigurationError(f"{path}: not usable: {error!r}") from error


def _optional_address(document: dict[str, Any], key: str) -> Address | None:
    return parse_address(document[key]) if document.get(key) else None


def _indices(rows: list, key: str | None = None) -> dict[str, int]:
    return {(row[key] if key else row): index for index, row in enumerate(rows)}


def _encoded(indices: dict[str, int]) -> dict[bytes, int]:
    return {name.encode(): index for name, index in indices.items()}


def _configuration(document: dict[str, Any]) -> GatewayConfiguration:
    info = document["settings"]
    limits = info.get("limits", {})
    specifics = info.get("specifics", {})
    known = document.get("known", {})
    if not isinstance(known, dict):
        raise ConfigurationError(f"not a list of servers: {known!r:.100}")
    settings = read_settings(int(document.get("seed", "0"), 16), info)
    return GatewayConfiguration(
        name=str(document.get("name", "")),
        listen=parse_address(document["listen"]),
        discovery=parse_address(document["discovery"]),
        counter=_optional_address(document, "counter") if specifics.get("shared-counter") else None,
        peer_listen=_optional_address(document, "peer_listen") if settings.peers else None,
        peers=tuple(parse_address(text) for text in document.get("peers", ())),
        peers_all=_optional_address(document, "peers_all"),
        sockets=int(document.get("limits", {}).get("sockets", 1024)),
        memory=int(document.get("limits", {}).get("memory_mb", 64) * 1024 * 1024),
        connect_timeout=limits.get("connect-timeout-ms", 250.0) / 1000,
        idle_timeout=limits.get("conn-idle-ms", 15_000.0) / 1000,
        counter_timeout=specifics.get("count-limit-ms", 50.0) / 1000,
        longest_deadline=max((method.deadline for method in settings.methods), default=0) / 10_000,
        tick=tenths(info.get("tick-ms", 1.0)),
        known=known,
        names=NameIndices(
            _encoded(_indices(info.get("classes", ()), "name")),
            _encoded(_indices(info.get("tiers-of-service", ()), "name")),
            _indices(info.get("zones", ())),
        ),
        settings=settings,
    )
