"""The operators' fleet file, TOML: read, and checked by a schema. docs/fleet.md has all keys.

Gateways may run two revisions of it while it is being changed, one after the other. Two checks make that safe: the
voters of both differ by one at most, so that any two majorities share a voter, and every frame carries the revision of
its sender (`FleetRevision.agrees`).
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

LARGEST_FILE = 256 * 1024  # bytes
MAX_GATEWAYS = 4096
TENTHS_PER_MS = 10  # durations of leases are tenths of a millisecond


def _integer(minimum: int, maximum: int, description: str) -> dict[str, Any]:
    return {"type": "integer", "minimum": minimum, "maximum": maximum, "description": description}


def _voters(description: str) -> dict[str, Any]:
    return {
        "type": "array",
        "items": _integer(0, MAX_GATEWAYS - 1, "a gateway's number"),
        "minItems": 1,
        "maxItems": 7,
        "uniqueItems": True,
        "description": description,
    }


def _table(description: str, properties: dict[str, Any], *required: str) -> dict[str, Any]:
    return {
        "type": "object",
        "additionalProperties": False,
        "description": description,
        "properties": properties,
        "required": list(required),
    }


_ADDRESSES = {
    "type": "array",
    "items": ADDRESS,
    "minItems": 1,
    "maxItems": MAX_GATEWAYS,
    "description": "where each gateway takes datagrams, in order; as this one reaches them",
}
_LISTEN = ADDRESS | {"description": "this gateway's own address, where it differs from its place in `addresses`"}
_BEFORE = _table(
    "the edition before this one, while gateways may still run it",
    {
        "edition": {
            "type": "string",
            "pattern": "^[0-9a-f]{16}$",
            "description": "as `fleet check` printed it",
        },
        "voters": _voters("its voters"),
        "length_ms": _integer(50, 60_000, "its length"),
    },
    "edition",
    "voters",
    "length_ms",
)
_LEASES = _table(
    "leases for the tasks that one gateway does for all",
    {
        "voters": _voters("three, five or seven gateways, on machines that fail apart; only they contend as well"),
        "length_ms": _integer(
            50, 60_000, "a lease lasts that long from when it was asked for; it is renewed after a third of that"
        ),
        "act_ms": _integer(5, 60_000, "one act ends within that"),
        "drift_permille": _integer(
            0, 200, "the most by which the rate of any machine's clock differs from that of true time"
        ),
        "before": _BEFORE,
    },
    "voters",
    "length_ms",
    "act_ms",
    "drift_permille",
)
_DRILL = _table(
    "acts repeatedly upon a resource outside the fleet, to check that leases hold (docs/leases.md)",
    {
        "target": ADDRESS | {"description": "that resource, as this gateway reaches it"},
        "every_ms": _integer(5, 60_000, "between two acts"),
    },
    "target",
    "every_ms",
)
_CONTROL = _table(
    "where changes of configuration come from (docs/control.md); the list of servers then comes from there and not "
    "from discovery",
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
            "description": "whose servers it sends to; all if left out",
        },
    },
    "relays",
)
SCHEMA = {"$schema": "https://json-schema.org/draft/2020-12/schema"} | _table(
    "the fleet",
    {
        "revision": _integer(1, 1 << 31, "one more with each change of `leases`"),
        "addresses": _ADDRESSES,
        "listen": _LISTEN,
        "leases": _LEASES,
        "drill": _DRILL,
        "control": _CONTROL,
    },
    "revision",
    "addresses",
    "leases",
)


class FleetRevision(NamedTuple):
    """Identifies a revision of the fleet file. Every frame carries its sender's.

    A majority of one revision must never be mixed with one of another that may have no voter in common with it.
    """

    revision: int
    digest: int  # of what leases rest on: `leases_digest`
    previous_digest: int  # of the revision before; 0 if the file names none

    def agrees(self, other: "FleetRevision") -> bool:
        """Whether this is the same revision, or one of the two is named as the one right before the other."""
        if other.revision == self.revision:
            return other.digest == self.digest
        if other.revision == self.revision + 1:
            return other.previous_digest == self.digest
        return other.revision == self.revision - 1 and other.digest == self.previous_digest


@dataclass(frozen=True, slots=True)
class DrillConfig:
    """The `drill` table: acts repeatedly upon a resource outside the fleet."""

    target: Address
    interval: float  # seconds between two acts


@dataclass(frozen=True, slots=True)
class ControlConfig:
    """The `control` table: where changes of configuration come from."""

    relays: tuple[str, ...]  # HOST:PORT
    service: str | None  # whose servers the gateway sends to; None: all


@dataclass(frozen=True, slots=True)
class FleetFile:
    """A fleet file that has passed its checks."""

    edition: FleetRevision
    addresses: tuple[Address, ...]  # by the gateway's number
    listen: Address | None  # this gateway's own address, where it differs from its place in `addresses`
    voters: tuple[int, ...]  # gateways' numbers, in order
    durations: LeaseDurations
    drill: DrillConfig | None
    control: ControlConfig | None


def read(path: str | Path) -> FleetFile:
    """Reads and checks a file; raises FleetError, which names each fault by its path in the file."""
    document, _ = read_toml(path, LARGEST_FILE, FleetError)
    return parse(document)


def parse(document: dict[str, Any]) -> FleetFile:
    """Checks a parsed TOML document; raises FleetError, which names each fault by its path in the file."""
    if faults := against(SCHEMA, document) or _contradictions(document):
        raise FleetError(faults)
    drill = document.get("drill")
    control = document.get("control")
    return FleetFile(
        edition=_revision(document),
        addresses=tuple(parse_address(text) for text in document["addresses"]),
        listen=parse_address(document["listen"]) if "listen" in document else None,
        voters=tuple(sorted(document["leases"]["voters"])),
        durations=_durations(document["leases"]),
        drill=DrillConfig(parse_address(drill["target"]), drill["every_ms"] / 1000) if drill else None,
        control=ControlConfig(tuple(control["relays"]), control.get("service")) if control else None,
    )


def _revision(document: dict[str, Any]) -> FleetRevision:
    before = document["leases"].get("before")
    return FleetRevision(
        document["revision"], int(leases_digest(document), 16), int(before["edition"], 16) if before else 0
    )


def _durations(leases: dict[str, Any]) -> LeaseDurations:
    before = leases.get("before")
    longest_ms = max(leases["length_ms"], before["length_ms"] if before else 0)
    return LeaseDurations(
        lease=leases["length_ms"] * TENTHS_PER_MS,
        drift=leases["drift_permille"],
        act=leases["act_ms"] * TENTHS_PER_MS,
        longest=longest_ms * TENTHS_PER_MS,
    )


def leases_digest(document: dict[str, Any]) -> str:
    """A digest, 16 hex digits, of the values that the safety of leases rests on.

    It is the same at every gateway, whatever addresses the gateway reaches the others by.
    """
    leases = document["leases"]
    values = [document["revision"], sorted(leases["voters"]), leases["length_ms"], leases["drift_permille"]]
    return hashlib.blake2b(json.dumps(values).encode(), digest_size=8).hexdigest()


def _contradictions(document: dict[str, Any]) -> list[str]:
    """Faults that the schema can't express, each by its path."""
    addresses = document["addresses"]
    leases = document["leases"]
    voters = set(leases["voters"])
    faults = []
    if outside := sorted(voter for voter in voters if voter >= len(addresses)):
        faults.append(f"leases.voters: no address for {outside}, there are {len(addresses)} addresses")
    if len(voters) % 2 == 0 and "before" not in leases:
        faults.append(
            f"leases.voters: {len(voters)} voters tolerate no more failures than {len(voters) - 1} do; "
            "name an odd number of them"
        )
    if leases["act_ms"] > leases["length_ms"] // 2:
        faults.append(
            f"leases.act_ms: {leases['act_ms']} is over half of length_ms, {leases['length_ms']}: an act could not end "
            "before the lease has to be renewed"
        )
    if "before" in leases:
        faults += _contradictions_with_previous(document["revision"], voters, set(leases["before"]["voters"]))
    if len(set(addresses)) < len(addresses):
        repeated = [address for address in dict.fromkeys(addresses) if addresses.count(address) > 1]
        faults.append(f"addresses: listed more than once: {', '.join(repeated)}")
    return faults


def _contradictions_with_previous(revision: int, voters: set[int], previous_voters: set[int]) -> list[str]:
    faults = []
    differing = sorted(voters ^ previous_voters)
    if len(differing) > 1:
        faults.append(
            f"leases.before.voters: {differing} are in only one of it and leases.voters: two majorities may have no "
            "voter in common; change one voter at a time"
        )
    if revision < 2:
        faults.append(f"leases.before: revision {revision} has no revision before it")
    return faults
