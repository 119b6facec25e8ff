"""The operators' fleet file, TOML: read, checked by a schema, each fault by its path. docs/fleet.md has all keys.

Gateways may run two editions of it while it is being changed, one after the other. What makes that safe is checked here
(the voters of two editions differ by one at most, so that any two majorities share a voter) and on every frame
(`agrees`).
"""

import hashlib
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from oakfork.configuration_schema import ADDRESS, against, read_toml
from oakfork.errors import FleetError
from oakfork.leases.durations import LeaseDurations
from oakfork.sockets.configuration import Address, parse_address

LARGEST_FILE = 256 * 1024
MOST_GATEWAYS = 4096


def _whole(low: int, high: int, text: str) -> dict[str, Any]:
    return {"type": "integer", "minimum": low, "maximum": high, "description": text}


def _voters(text: str) -> dict[str, Any]:
    return {
        "type": "array",
        "items": _whole(0, MOST_GATEWAYS - 1, "a gateway's number"),
        "minItems": 1,
        "maxItems": 7,
        "uniqueItems": True,
        "description": text,
    }


def _table(text: str, properties: dict[str, Any], *required: str) -> dict[str, Any]:
    return {
        "type": "object",
        "additionalProperties": False,
        "description": text,
        "properties": properties,
        "required": list(required),
    }


SCHEMA = {"$schema": "https://json-schema.org/draft/2020-12/schema"} | _table(
    "the fleet",
    {
        "revision": _whole(1, 1 << 31, "one more with each change of `leases`"),
        "addresses": {
            "type": "array",
            "items": ADDRESS,
            "minItems": 1,
            "maxItems": MOST_GATEWAYS,
            "description": "where each gateway takes datagrams, in order; as this one reaches them",
        },
        "listen": ADDRESS
        | {"description": "this gateway's own address, where it differs from its place in `addresses`"},
        "leases": _table(
            "who does what one gateway does for all",
            {
                "voters": _voters(
                    "three, five or seven gateways, on machines that fail apart; they alone contend as well"
                ),
                "length_ms": _whole(
                    50, 60_000, "a lease lasts so long from its asking; a third of it between renewals"
                ),
                "act_ms": _whole(5, 60_000, "one act ends within that"),
                "drift_permille": _whole(0, 200, "the rate of any machine's clock is that close to true time"),
                "before": _table(
                    "the edition before this one, while gateways may still run it",
                    {
                        "edition": {
                            "type": "string",
                            "pattern": "^[0-9a-f]{16}$",
                            "description": "as `fleet check` printed it",
                        },
                        "voters": _voters("its voters"),
                        "length_ms": _whole(50, 60_000, "its length"),
                    },
                    "edition",
                    "voters",
                    "length_ms",
                ),
            },
            "voters",
            "length_ms",
            "act_ms",
            "drift_permille",
        ),
        "drill": _table(
            "an act again and again on a stand-in, to see that leases hold (docs/leases.md)",
            {
                "target": ADDRESS | {"description": "the witness, as this gateway reaches it"},
                "every_ms": _whole(5, 60_000, "between two acts"),
            },
            "target",
            "every_ms",
        ),
        "control": _table(
            "whence changes of configuration come (docs/control.md); the list of servers then comes from "
            "there and not from discovery",
            {
                "relays": {
                    "type": "array",
                    "items": ADDRESS,
                    "minItems": 1,
                    "maxItems": 16,
                    "uniqueItems": True,
                    "description": "which are followed, one at a time: this gateway's own first",
                },
                "service": {
                    "type": "string",
                    "minLength": 1,
                    "maxLength": 128,
                    "description": "whose servers it sends to; " "all if left out",
                },
            },
            "relays",
        ),
    },
    "revision",
    "addresses",
    "leases",
)


class FleetRevision(NamedTuple):
    """What frames carry, so that a majority of one file is never mixed with one of another that it may miss."""

    revision: int
    digest: int
    before: int

    def agrees(self, other: "FleetRevision") -> bool:
        """The same file, or one that says it comes right after the other."""
        if other.revision == self.revision:
            return other.digest == self.digest
        if other.revision == self.revision + 1:
            return other.before == self.digest
        return other.revision == self.revision - 1 and other.digest == self.before


@dataclass(frozen=True, slots=True)
class DrillConfig:
    target: Address
    every: float  # seconds


@dataclass(frozen=True, slots=True)
class ControlConfig:
    relays: tuple[str, ...]  # HOST:PORT
    service: str | None


@dataclass(frozen=True, slots=True)
class FleetFile:
    edition: FleetRevision
    addresses: tuple[Address, ...]
    listen: Address | None
    voters: tuple[int, ...]
    durations: LeaseDurations
    drill: DrillConfig | None
    control: ControlConfig | None


def read(path: str | Path) -> FleetFile:
    """Reads and checks; raises FleetError with every fault by its path."""
    return checked(read_toml(path, LARGEST_FILE, FleetError)[0])


def checked(told: dict[str, Any]) -> FleetFile:
    if faults := against(SCHEMA, told) or _contradictions(told):
        raise FleetError(faults)
    leases, before = told["leases"], told["leases"].get("before")
    longest = max(leases["length_ms"], before["length_ms"] if before else 0)
    durations = LeaseDurations(leases["length_ms"] * 10, leases["drift_permille"], leases["act_ms"] * 10, longest * 10)
    drill, control = told.get("drill"), told.get("control")
    return FleetFile(
        FleetRevision(told["revision"], int(digest(told), 16), int(before["edition"], 16) if before else 0),
        tuple(parse_address(text) for text in told["addresses"]),
        parse_address(told["listen"]) if "listen" in told else None,
        tuple(sorted(leases["voters"])),
        durations,
        DrillConfig(parse_address(drill["target"]), drill["every_ms"] / 1000) if drill else None,
        ControlConfig(tuple(control["relays"]), control.get("service")) if control else None,
    )


def digest(told: dict[str, Any]) -> str:
    """Of what leases rest on: the same at every gateway, whatever its own view of the addresses."""
    leases = told["leases"]
    rests = [told["revision"], sorted(leases["voters"]), leases["length_ms"], leases["drift_permille"]]
    return hashlib.blake2b(json.dumps(rests).encode(), digest_size=8).hexdigest()


def _contradictions(told: dict[str, Any]) -> list[str]:
    leases, found = told["leases"], []
    gateways, voters = len(told["addresses"]), set(leases["voters"])
    if outside := sorted(voter for voter in voters if voter >= gateways):
        found.append(f"leases.voters: there are {gateways} addresses, none for {outside}")
    if len(voters) % 2 == 0 and "before" not in leases:
        found.append(f"leases.voters: {len(voters)} can lose no more than {len(voters) - 1} can; take an odd number")
    if leases["act_ms"] > leases["length_ms"] // 2:
        found.append("leases.act_ms: over half of length_ms: an act could not end before the lease has to be renewed")
    if "before" in leases:
        if len(voters ^ set(leases["before"]["voters"])) > 1:
            found.append(
                "leases.before.voters: differ by more than one from leases.voters: two majorities may miss "
                "each other; change one voter at a time"
            )
        if told["revision"] < 2:
            found.append("leases.before: there is none before revision 1")
    if len(set(told["addresses"])) < gateways:
        found.append("addresses: one stands there twice")
    return found
