"""JSON schema of experiment files.

The schema is the only source for the check of a file and for the table of keys in docs/lab.md. Defaults in it fill
what a file leaves out.
"""

from typing import Any

from oakfork.lab.baseline_policies import POLICIES

FAULT_KINDS = (
    "kill_gateways",
    "roll_gateways",
    "kill_servers",
    "replace_servers",
    "hang",
    "slow",
    "fail_fast",
    "cut_servers",
    "lose_frames",
    "cut_peers",
    "deafen",
    "cut_zone",
    "late_lists",
    "surge",
    "counter_down",
)
FAULTS_WITH_SIZE = frozenset(("slow", "fail_fast", "lose_frames", "late_lists", "surge"))


def _number(default: float, low: float, high: float, description: str) -> dict[str, Any]:
    return {"type": "number", "default": default, "minimum": low, "maximum": high, "description": description}


def _integer(default: int, low: int, high: int, description: str) -> dict[str, Any]:
    return _number(default, low, high, description) | {"type": "integer"}


def _enum(default: str, values: tuple[str, ...], description: str) -> dict[str, Any]:
    return {"enum": list(values), "default": default, "description": description}


def _boolean(default: bool, description: str) -> dict[str, Any]:
    return {"type": "boolean", "default": default, "description": description}


def _table(properties: dict[str, Any], required: tuple[str, ...] = (), description: str = "") -> dict[str, Any]:
    return {
        "type": "object",
        "additionalProperties": False,
        "properties": properties,
        "required": list(required),
        "description": description,
    }


METHOD = _table(
    {
        "name": {"type": "string", "maxLength": 64, "description": "its name in results"},
        "share": _number(1.0, 0.001, 1000, "how often it is asked for, against the others"),
        "work_ms": _number(150.0, 0.1, 60_000, "mean work of one core"),
        "spread": _enum("exponential", ("exponential", "fixed", "lognormal"), "how work is distributed"),
        "soft_ms": _number(2000.0, 1, 600_000, "soft deadline"),
        "deadline_ms": _number(4000.0, 1, 600_000, "deadline"),
        "repeat": _enum("idempotent", ("idempotent", "deduplicated", "non-idempotent"), "whether it may run again"),
        "group": _enum("all", ("all", "zone", "cell"), "the servers that drop a repeat"),
        "remembered_ms": _number(6000.0, 0, 600_000, "for how long they drop it"),
        "utility": _number(1.0, 0, 1000, "of an answer within the soft deadline"),
        "late_utility": _number(0.0, 0, 1, "the part of it that is left until the deadline"),
    },
    ("name",),
    "a method",
)
PLAN = _table(
    {
        "name": {"type": "string", "maxLength": 64, "description": "its name in results"},
        "customers": _integer(100, 1, 200_000, "how many"),
        "rate": _number(1.0, 0, 100_000, "units a second inside the quota; 0: no quota"),
        "burst": _number(5.0, 0, 100_000, "units that may be used at once"),
        "ceiling_rate": _number(0.0, 0, 100_000, "units a second of the hard ceiling; 0: none"),
        "ceiling_burst": _number(0.0, 0, 100_000, "units of the ceiling at once"),
        "ceiling_slack": _number(1.0, 0, 100_000, "units by which it may be passed"),
        "demand": _number(0.5, 0.001, 100, "what a customer asks for, as a part of its rate"),
        "greedy": _number(0.0, 0, 1, "the share of customers that ask for `greed` times as much"),
        "greed": _number(1.0, 0.01, 100, "how much more those ask for"),
        "gateways": _integer(3, 1, 1000, "that a customer's RPCs come through"),
        "price": _number(1.0, 0, 1000, "factor on utility"),
        "beyond_cost": _number(1.0, 0, 100, "part of its utility that an RPC beyond the quota costs"),
    },
    ("name",),
    "a plan",
)
WORLD = _table(
    {
        "seconds": _integer(20, 1, 3600, "simulated seconds in which clients ask"),
        "gateways": _integer(3, 1, 1000, "in the tier"),
        "zones": _integer(1, 1, 16, "gateways and servers are dealt out over them"),
        "load": _number(0.6, 0, 5, "use inside the quotas as a part of what the fleet can do; 0: as demand says"),
        "drain_grace_ms": _number(500.0, 0, 60_000, "after which nothing goes to a draining server"),
        "answer_grace_ms": _number(16.0, 0, 10_000, "beyond a deadline"),
        "probing": _boolean(True, "gateways may probe"),
        "second_copies": _boolean(True, "an RPC may have two call-outs out"),
        "retry_after": _boolean(True, "pushbacks carry an advice"),
        "max_call_outs": _integer(4, 1, 16, "for an RPC"),
        "probe_price": _number(0.01, 0, 1, "of one probe for each RPC"),
        "connection_price": _number(0.0, 0, 1, "of one new connection for each RPC"),
        "methods": {"type": "array", "minItems": 1, "maxItems": 32, "items": METHOD},
        "plans": {"type": "array", "minItems": 1, "maxItems": 32, "items": PLAN},
        "servers": _table(
            {
                "count": _integer(12, 1, 2000, "at the start"),
                "cores": _integer(3, 1, 128, "of each"),
                "waiting": _integer(30, 0, 100_000, "that wait beyond the cores"),
                "connections": _integer(1000, 1, 1_000_000, "that one holds"),
                "cold_share": _number(0.25, 0.01, 1, "of its work that a server can do at its start"),
                "cold_s": _number(15.0, 0, 600, "until it is warm"),
                "fall_multiple": _number(3.0, 1, 100, "of what it can do: sent more, a cold server falls over"),
                "fall_s": _number(3.0, 0.1, 60, "the time over which that counts"),
                "cells": _integer(4, 1, 1000, "groups that know repeats"),
            },
            (),
            "servers",
        ),
        "clients": _table(
            {
                "retries": _integer(1, 0, 100, "after the first try"),
                "wait_ms": _number(100.0, 0, 60_000, "before a retry"),
                "heeds_advice": _boolean(True, "waits for the retry-after"),
                "uneven": _number(0.5, 0, 1, "how unevenly a customer's RPCs come through its gateways"),
            },
            (),
            "clients",
        ),
        "links": _table(
            {
                "client_ms": _number(0.5, 0, 10_000, "one way"),
                "server_ms": _number(0.5, 0, 10_000, "one way"),
                "peer_ms": _number(5.0, 0, 10_000, "mean, one way"),
                "zone_ms": _number(1.0, 0, 10_000, "more between zones"),
                "peer_loss": _number(0.01, 0, 1, "of frames"),
                "mail_per_s": _number(100.0, 0, 1e6, "frames a gateway takes in"),
                "handshake_ms": _number(3.0, 0, 10_000, "of a new connection"),
                "idle_s": _number(15.0, 0, 3600, "it lasts unused"),
                "connect_ms": _number(250.0, 1, 60_000, "patience for a connection"),
            },
            (),
            "links",
        ),
        "discovery": _table(
            {
                "late_ms": _number(1000.0, 0, 60_000, "mean, to each gateway"),
                "notice_ms": _number(2000.0, 0, 60_000, "until clients leave a gateway that is down"),
            }
        ),
        "counter": _table(
            {
                "takes_ms": _number(2.0, 0, 10_000, "for a call"),
                "patience_ms": _number(50.0, 1, 60_000, "for its answer"),
            }
        ),
    },
    ("methods", "plans"),
    "the world",
)
FAULT = _table(
    {
        "kind": _enum("kill_gateways", FAULT_KINDS, "what goes wrong"),
        "at_s": _number(0.0, 0, 3600, "begins"),
        "until_s": _number(0.0, 0, 3600, "ends"),
        "share": _number(0.2, 0, 1, "of the gateways or servers"),
        "size": _number(0.0, 0, 1000, "how much, by its kind"),
        "zone": _integer(0, 0, 15, "which"),
    },
    ("kind", "at_s", "until_s"),
    "a fault",
)
SCHEMA = {"$schema": "https://json-schema.org/draft/2020-12/schema"} | _table(
    {
        "name": {"type": "string", "pattern": "^[a-z0-9-]{1,64}$", "description": "names its results"},
        "policies": {
            "type": "array",
            "minItems": 1,
            "uniqueItems": True,
            "items": {"enum": list(POLICIES)},
            "description": "what decides",
        },
        "seeds": {
            "type": "array",
            "minItems": 1,
            "maxItems": 1000,
            "uniqueItems": True,
            "items": {"type": "integer", "minimum": 0, "maximum": 2**53},
            "description": "a run for each",
        },
        "world": WORLD,
        "faults": {"type": "array", "maxItems": 200, "items": FAULT},
        "sweep": {
            "type": "object",
            "maxProperties": 4,
            "description": "paths such as world.gateways, with their values",
            "additionalProperties": {"type": "array", "minItems": 1, "maxItems": 100},
        },
    },
    ("name", "policies", "seeds", "world"),
)
