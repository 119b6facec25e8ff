"""The TOML files of a publisher and of a relay: read, checked by a schema, each fault by its path. docs/control.md has
all keys.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from oakfork.configuration_schema import ADDRESS, against, read_toml
from oakfork.control.database import MOST_IDS, MOST_LOG
from oakfork.control.follower_server import EGRESS, LINKS
from oakfork.errors import ControlConfigError
from oakfork.sockets.configuration import Address, parse_address

LARGEST_FILE = 64 * 1024
NAME = {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,47}(?!\n)$"}


def _whole(low: int, high: int, text: str, default: int) -> dict[str, Any]:
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
        "name": NAME | {"description": "its name in status and log; no other has it"},
        "region": NAME | {"description": "where it runs"},
        "listen": ADDRESS | {"description": "where those connect that follow it, and operators"},
    }
    limits = _table(
        "what it may use",
        {
            "egress_bytes_per_s": _whole(
                1024, 1 << 30, "sent to all below it where state is made up for; the rest waits", EGRESS
            ),
            "connections": _whole(8, 65_536, "at once; one more is closed at once", LINKS),
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
            "description": "its file, on a disk of its own; from the working directory",
        },
        "others": {
            "type": "array",
            "items": ADDRESS,
            "maxItems": 8,
            "uniqueItems": True,
            "description": "where other publishers may be: the one of the older term steps back",
        },
        "above_term": _whole(
            0, 1 << 40, "it begins above this term; after an older copy of the database was brought back", 0
        ),
    },
    {
        "log_sets": _whole(1, 65_536, "change sets kept one by one; older ones are folded", MOST_LOG),
        "ids": _whole(64, 1 << 24, "of change sets, by which one that is sent again is known", MOST_IDS),
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
            "description": "the publisher or other relays, in the order in which they are turned to",
        },
    },
    {},
    "upstreams",
)


@dataclass(frozen=True, slots=True)
class PublisherFile:
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

    @property
    def who(self) -> str:
        return f"{self.region}/{self.name}"


@dataclass(frozen=True, slots=True)
class RelayFile:
    name: str
    region: str
    listen: Address
    upstreams: tuple[str, ...]
    egress: int
    connections: int

    @property
    def who(self) -> str:
        return f"{self.region}/{self.name}"


def read_publisher(path: str | Path) -> PublisherFile:
    """Reads and checks; raises ControlError with every fault by its path."""
    told = _checked(PUBLISHER, path)
    bounds = told.get("bounds", {})
    return PublisherFile(
        told["name"],
        told["region"],
        parse_address(told["listen"]),
        told["database"],
        bounds.get("egress_bytes_per_s", EGRESS),
        bounds.get("connections", LINKS),
        bounds.get("log_sets", MOST_LOG),
        bounds.get("ids", MOST_IDS),
        told.get("above_term", 0),
        tuple(told.get("others", ())),
    )


def read_relay(path: str | Path) -> RelayFile:
    """Reads and checks; raises ControlError with every fault by its path."""
    told = _checked(RELAY, path)
    bounds = told.get("bounds", {})
    return RelayFile(
        told["name"],
        told["region"],
        parse_address(told["listen"]),
        tuple(told["upstreams"]),
        bounds.get("egress_bytes_per_s", EGRESS),
        bounds.get("connections", LINKS),
    )


def _checked(schema: dict[str, Any], path: str | Path) -> dict[str, Any]:
    told = read_toml(path, LARGEST_FILE, ControlConfigError)[0]
    faults = against(schema, told)
    if not faults:
        places = {"listen": told["listen"]} | {
            f"{key}[{number}]": text for key in ("upstreams", "others") for number, text in enumerate(told.get(key, ()))
        }
        faults = [f"{place}: no such port" for place, text in places.items() if int(text.rpartition(":")[2]) > 65_535]
        if told["listen"] in told.get("upstreams", ()):
            faults.append("upstreams: it would follow itself")
    if faults:
        raise ControlConfigError(faults)
    return told
