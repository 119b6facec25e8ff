"""Reads the TOML configuration files of a publisher and of a relay.

Files are checked against a JSON Schema; each fault is reported with its path. docs/control.md lists all keys.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from oakfork.configuration_schema import ADDRESS, against, read_toml
from oakfork.control.database import MAX_IDS, MAX_LOG_SETS
from oakfork.control.follower_server import EGRESS, MAX_LINKS
from oakfork.errors import ControlConfigError
from oakfork.sockets.configuration import Address, parse_address

MAX_FILE_BYTES = 64 * 1024
MAX_PORT = 65_535
NAME = {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,47}(?!\n)$"}


def _integer(low: int, high: int, text: str, default: int) -> dict[str, Any]:
    return {"type": "integer", "minimum": low, "maximum": high, "description": text, "default": default}


def _table(text: str, properties: dict[str, Any], *required: str) -> dict[str, Any]:
    return {
        "type": "object",
        "additionalProperties": False,
        "description": text,
        "properties": properties,
        "required": list(required),
    }


def _schema(text: str, properties: dict[str, Any], bounds: dict[str, Any], *required: str) -> dict[str, Any]:
    common = {
        "name": NAME | {"description": "name in the status and the log, unique among publishers and relays"},
        "region": NAME | {"description": "region of the process, shown before its name in the status and the log"},
        "listen": ADDRESS | {"description": "HOST:PORT on which to accept connections from followers and operators"},
    }
    limits = _table(
        "resource limits",
        {
            "egress_bytes_per_s": _integer(
                1024,
                1 << 30,
                "bytes per second for state transfers to all followers together; transfers over the limit wait",
                EGRESS,
            ),
            "connections": _integer(
                8, 65_536, "maximum number of open connections; further ones are closed immediately", MAX_LINKS
            ),
        }
        | bounds,
    )
    return {"$schema": "https://json-schema.org/draft/2020-12/schema"} | _table(
        text, common | properties | {"bounds": limits}, "name", "region", "listen", *required
    )


PUBLISHER = _schema(
    "a publisher",
    {
        "database": {
            "type": "string",
            "minLength": 1,
            "maxLength": 4096,
            "description": "path of the database file, relative to the working directory; use a dedicated disk",
        },
        "others": {
            "type": "array",
            "items": ADDRESS,
            "maxItems": 8,
            "uniqueItems": True,
            "description": "addresses of all other possible publishers, and of relays; asked before this one decides",
        },
        "voters": {
            "type": "array",
            "items": ADDRESS,
            "maxItems": 7,
            "uniqueItems": True,
            "description": "addresses of relays that vote, the same at all publishers; a majority records change sets",
        },
        "above_term": _integer(
            0,
            1 << 40,
            "an operator's word, once: take over from all up to this term, with the loss of what the database lacks",
            0,
        ),
    },
    {
        "log_sets": _integer(
            1, 65_536, "change sets kept individually in the log; older ones are compacted", MAX_LOG_SETS
        ),
        "ids": _integer(
            64, 1 << 24, "change set ids kept to recognize resubmitted change sets; the oldest are dropped", MAX_IDS
        ),
    },
    "database",
)
RELAY = _schema(
    "a relay",
    {
        "upstreams": {
            "type": "array",
            "items": ADDRESS,
            "minItems": 1,
            "maxItems": 16,
            "uniqueItems": True,
            "description": "addresses of the publisher or of other relays, in order of preference",
        },
        "votes": {
            "type": "string",
            "minLength": 1,
            "maxLength": 4096,
            "description": "path of the file in which this relay keeps what it votes; without it, it is no voter",
        },
    },
    {},
    "upstreams",
)


@dataclass(frozen=True, slots=True)
class PublisherConfig:
    """A publisher's configuration; `egress` in bytes per second, `log_sets` and `ids` in change sets."""

    name: str
    region: str
    listen: Address
    database: str
    egress: int
    connections: int
    log_sets: int
    ids: int
    above_term: int
    others: tuple[str, ...] = ()
    voters: tuple[str, ...] = ()

    @property
    def full_name(self) -> str:
        """The name in the status and the log: the region and the name."""
        return f"{self.region}/{self.name}"


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """A relay's configuration; `egress` in bytes per second."""

    name: str
    region: str
    listen: Address
    upstreams: tuple[str, ...]
    egress: int
    connections: int
    votes: str | None = None

    @property
    def full_name(self) -> str:
        """The name in the status and the log: the region and the name."""
        return f"{self.region}/{self.name}"


def read_publisher(path: str | Path) -> PublisherConfig:
    """Reads a publisher's file; raises ControlConfigError with every fault by its path."""
    document = _checked(PUBLISHER, path)
    bounds = document.get("bounds", {})
    return PublisherConfig(
        document["name"],
        document["region"],
        parse_address(document["listen"]),
        document["database"],
        bounds.get("egress_bytes_per_s", EGRESS),
        bounds.get("connections", MAX_LINKS),
        bounds.get("log_sets", MAX_LOG_SETS),
        bounds.get("ids", MAX_IDS),
        document.get("above_term", 0),
        tuple(document.get("others", ())),
        tuple(document.get("voters", ())),
    )


def read_relay(path: str | Path) -> RelayConfig:
    """Reads a relay's file; raises ControlConfigError with every fault by its path."""
    document = _checked(RELAY, path)
    bounds = document.get("bounds", {})
    return RelayConfig(
        document["name"],
        document["region"],
        parse_address(document["listen"]),
        tuple(document["upstreams"]),
        bounds.get("egress_bytes_per_s", EGRESS),
        bounds.get("connections", MAX_LINKS),
        document.get("votes"),
    )


def _checked(schema: dict[str, Any], path: str | Path) -> dict[str, Any]:
    document = read_toml(path, MAX_FILE_BYTES, ControlConfigError)[0]
    faults = against(schema, document) or _address_faults(document)
    if faults:
        raise ControlConfigError(faults)
    return document


def _address_faults(document: dict[str, Any]) -> list[str]:
    """Faults that the schema doesn't express: ports out of range, and a relay that follows itself."""
    addresses = {"listen": document["listen"]}
    for key in ("upstreams", "others", "voters"):
        for number, address in enumerate(document.get(key, ())):
            addresses[f"{key}[{number}]"] = address
    faults = [
        f"{path}: port {port} is over {MAX_PORT}"
        for path, address in addresses.items()
        if (port := int(address.rpartition(":")[2])) > MAX_PORT
    ]
    if document["listen"] in document.get("upstreams", ()):
        faults.append(f"upstreams: the relay would follow itself at {document['listen']}")
    return faults
