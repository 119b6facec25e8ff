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
        "name": {"type": "string", "maxLength": 64, "description": "method name in results"},
        "share": _number(1.0, 0.001, 1000, "weight of the method in the mix of RPCs, relative to the other methods"),
        "work_ms": _number(150.0, 0.1, 60_000, "mean work in milliseconds on one core"),
        "spread": _enum("exponential", ("exponential", "fixed", "lognormal"), "distribution of the work"),
        "soft_ms": _number(2000.0, 1, 600_000, "soft deadline in milliseconds"),
        "deadline_ms": _number(4000.0, 1, 600_000, "deadline in milliseconds"),
        "repeat": _enum("idempotent", ("idempotent", "deduplicated", "non-idempotent"), "repeat safety"),
        "group": _enum(
            "all",
            ("all", "zone", "cell"),
            "servers that deduplicate repeats: all, those of one zone, or those of one cell",
        ),
        "remembered_ms": _number(6000.0, 0, 600_000, "milliseconds for which servers recognize a repeat"),
        "utility": _number(1.0, 0, 1000, "utility of an answer within the soft deadline"),
        "late_utility": _number(0.0, 0, 1, "fraction of the utility left between the soft deadline and the deadline"),
    },
    ("name",),
    "a method",
)
PLAN = _table(
    {
        "name": {"type": "string", "maxLength": 64, "description": "plan name in results"},
        "customers": _integer(100, 1, 200_000, "number of customers on the plan"),
        "rate": _number(1.0, 0, 100_000, "quota of a customer in units per second; 0: no quota"),
        "burst": _number(5.0, 0, 100_000, "burst of the quota in units"),
        "ceiling_rate": _number(0.0, 0, 100_000, "hard ceiling of a customer in units per second; 0: no ceiling"),
        "ceiling_burst": _number(0.0, 0, 100_000, "burst of the ceiling in units"),
        "ceiling_slack": _number(1.0, 0, 100_000, "units by which the ceiling may be exceeded"),
        "demand": _number(
            0.5, 0.001, 100, "demand of a customer as a fraction of its rate, or of one per second without a quota"
        ),
        "greedy": _number(0.0, 0, 1, "fraction of customers whose demand is multiplied by `greed`"),
        "greed": _number(1.0, 0.01, 100, "factor on the demand of greedy customers"),
        "gateways": _integer(3, 1, 1000, "number of gateways that receive a customer's RPCs"),
        "price": _number(1.0, 0, 1000, "factor on the utility of the plan's RPCs"),
        "beyond_cost": _number(1.0, 0, 100, "cost of an RPC beyond the quota, as a fraction of its utility"),
    },
    ("name",),
    "a plan and its customers",
)
WORLD = _table(
    {
        "seconds": _integer(20, 1, 3600, "simulated seconds during which clients send RPCs"),
        "gateways": _integer(3, 1, 1000, "number of gateways in the tier"),
        "zones": _integer(1, 1, 16, "number of zones, over which gateways and servers are distributed evenly"),
        "load": _number(
            0.6, 0, 5, "demand inside the quotas as a fraction of server capacity; 0: use each plan's `demand`"
        ),
        "drain_grace_ms": _number(
            500.0, 0, 60_000, "milliseconds after which a draining server must get no new call-outs"
        ),
        "answer_grace_ms": _number(
            16.0, 0, 10_000, "milliseconds after the deadline by which an answer is still accepted"
        ),
        "probing": _boolean(True, "whether gateways may probe servers"),
        "second_copies": _boolean(True, "whether an RPC may have two call-outs open at once"),
        "retry_after": _boolean(True, "whether pushbacks include a retry-after"),
        "max_call_outs": _integer(4, 1, 16, "maximum number of call-outs per RPC"),
        "probe_price": _number(0.01, 0, 1, "cost of sending one probe per RPC, as a fraction of all utility"),
        "connection_price": _number(0.0, 0, 1, "cost of opening one connection per RPC, as a fraction of all utility"),
        "methods": {"type": "array", "minItems": 1, "maxItems": 32, "items": METHOD},
        "plans": {"type": "array", "minItems": 1, "maxItems": 32, "items": PLAN},
        "servers": _table(
            {
                "count": _integer(12, 1, 2000, "number of servers at the start of the run"),
                "cores": _integer(3, 1, 128, "cores per server"),
                "waiting": _integer(30, 0, 100_000, "maximum queue length of a server; further call-outs are rejected"),
                "connections": _integer(1000, 1, 1_000_000, "maximum number of open connections to a server"),
                "cold_share": _number(0.25, 0.01, 1, "fraction of its capacity that a server has when it starts"),
                "cold_s": _number(15.0, 0, 600, "seconds from the start of a server until it has its full capacity"),
                "fall_multiple": _number(3.0, 1, 100, "multiple of its capacity above which a cold server fails"),
                "fall_s": _number(
                    3.0, 0.1, 60, "window in seconds over which the work sent to a cold server is summed"
                ),
                "cells": _integer(4, 1, 1000, "number of cells, groups of servers that deduplicate repeats together"),
            },
            (),
            "the servers",
        ),
        "clients": _table(
            {
                "retries": _integer(1, 0, 100, "maximum number of retries after the first try"),
                "wait_ms": _number(100.0, 0, 60_000, "milliseconds before a retry"),
                "heeds_advice": _boolean(
                    True, "whether a client waits for the retry-after where it is longer than `wait_ms`"
                ),
                "uneven": _number(
                    0.5, 0, 1, "unevenness of a customer's RPCs over its gateways; 0: evenly distributed"
                ),
            },
            (),
            "the clients",
        ),
        "links": _table(
            {
                "client_ms": _number(0.5, 0, 10_000, "one-way delay between client and gateway in milliseconds"),
                "server_ms": _number(0.5, 0, 10_000, "one-way delay between gateway and server in milliseconds"),
                "peer_ms": _number(5.0, 0, 10_000, "mean one-way delay between gateways in milliseconds"),
                "zone_ms": _number(1.0, 0, 10_000, "additional one-way delay between zones in milliseconds"),
                "peer_loss": _number(0.01, 0, 1, "fraction of the frames between gateways that is lost"),
                "mail_per_s": _number(100.0, 0, 1e6, "frames per second that a gateway accepts from its peers"),
                "handshake_ms": _number(3.0, 0, 10_000, "milliseconds to open a connection"),
                "idle_s": _number(15.0, 0, 3600, "seconds after which an idle connection is closed"),
                "connect_ms": _number(250.0, 1, 60_000, "timeout for opening a connection in milliseconds"),
            },
            (),
            "the network links",
        ),
        "discovery": _table(
            {
                "late_ms": _number(
                    1000.0, 0, 60_000, "mean delay in milliseconds until a gateway receives a changed server list"
                ),
                "notice_ms": _number(2000.0, 0, 60_000, "milliseconds until clients stop using a gateway that is down"),
            },
            (),
            "discovery of servers",
        ),
        "counter": _table(
            {
                "takes_ms": _number(2.0, 0, 10_000, "duration of a call to the shared counter in milliseconds"),
                "patience_ms": _number(50.0, 1, 60_000, "timeout of a call to the shared counter in milliseconds"),
            },
            (),
            "the shared counter of the central-bucket policy",
        ),
    },
    ("methods", "plans"),
    "the simulated system",
)
FAULT = _table(
    {
        "kind": _enum("kill_gateways", FAULT_KINDS, "kind of the fault"),
        "at_s": _number(0.0, 0, 3600, "start of the fault in seconds from the start of the run"),
        "until_s": _number(0.0, 0, 3600, "end of the fault in seconds from the start of the run"),
        "share": _number(0.2, 0, 1, "fraction of the gateways or servers that is affected, at least one"),
        "size": _number(
            0.0,
            0,
            1000,
            "magnitude: a factor (slow, surge), a fraction (fail_fast, lose_frames) or seconds (late_lists)",
        ),
        "zone": _integer(0, 0, 15, "index of the zone that is disconnected (cut_zone)"),
    },
    ("kind", "at_s", "until_s"),
    "a fault",
)
SCHEMA = {"$schema": "https://json-schema.org/draft/2020-12/schema"} | _table(
    {
        "name": {
            "type": "string",
            "pattern": "^[a-z0-9-]{1,64}$",
            "description": "name of the experiment, used for its results",
        },
        "policies": {
            "type": "array",
            "minItems": 1,
            "uniqueItems": True,
            "items": {"enum": list(POLICIES)},
            "description": "policies to run",
        },
        "seeds": {
            "type": "array",
            "minItems": 1,
            "maxItems": 1000,
            "uniqueItems": True,
            "items": {"type": "integer", "minimum": 0, "maximum": 2**53},
            "description": "seeds of the random generators; each policy runs once per seed",
        },
        "world": WORLD,
        "faults": {"type": "array", "maxItems": 200, "items": FAULT},
        "sweep": {
            "type": "object",
            "maxProperties": 4,
            "description": "values for each swept key, named by its path, such as world.gateways",
            "additionalProperties": {"type": "array", "minItems": 1, "maxItems": 100},
        },
    },
    ("name", "policies", "seeds", "world"),
)
