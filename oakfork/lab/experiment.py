"""Experiment files: checked by a schema, expanded to runs. What is wrong is named with its place, before anything runs.

The schema is the one source for the check and for the table in docs/lab.md.
"""

import hashlib
import itertools
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Iterator

from oakfork.configuration_schema import against, read_toml
from oakfork.errors import ExperimentError
from oakfork.interface import SECOND, RepeatSafety
from oakfork.lab import world_config
from oakfork.lab.baseline_policies import POLICIES
from oakfork.settings import tenths

LARGEST_FILE = 256 * 1024
MOST_RUNS = 5_000
FAULTS = (
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
SIZED = frozenset(("slow", "fail_fast", "lose_frames", "late_lists", "surge"))


def _number(default: float, low: float, high: float, text: str) -> dict[str, Any]:
    return {"type": "number", "default": default, "minimum": low, "maximum": high, "description": text}


def _whole(default: int, low: int, high: int, text: str) -> dict[str, Any]:
    return _number(default, low, high, text) | {"type": "integer"}


def _words(default: str, words: tuple[str, ...], text: str) -> dict[str, Any]:
    return {"enum": list(words), "default": default, "description": text}


def _truth(default: bool, text: str) -> dict[str, Any]:
    return {"type": "boolean", "default": default, "description": text}


def _table(properties: dict[str, Any], required: tuple[str, ...] = (), text: str = "") -> dict[str, Any]:
    return {
        "type": "object",
        "additionalProperties": False,
        "properties": properties,
        "required": list(required),
        "description": text,
    }


METHOD = _table(
    {
        "name": {"type": "string", "maxLength": 64, "description": "its name in results"},
        "share": _number(1.0, 0.001, 1000, "how often it is asked for, against the others"),
        "work_ms": _number(150.0, 0.1, 60_000, "mean work of one core"),
        "spread": _words("exponential", ("exponential", "fixed", "lognormal"), "how work is distributed"),
        "soft_ms": _number(2000.0, 1, 600_000, "soft deadline"),
        "deadline_ms": _number(4000.0, 1, 600_000, "deadline"),
        "repeat": _words("idempotent", ("idempotent", "deduplicated", "non-idempotent"), "whether it may run again"),
        "group": _words("all", ("all", "zone", "cell"), "the servers that drop a repeat"),
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
        "customers": _whole(100, 1, 200_000, "how many"),
        "rate": _number(1.0, 0, 100_000, "units a second inside the quota; 0: no quota"),
        "burst": _number(5.0, 0, 100_000, "units that may be used at once"),
        "ceiling_rate": _number(0.0, 0, 100_000, "units a second of the hard ceiling; 0: none"),
        "ceiling_burst": _number(0.0, 0, 100_000, "units of the ceiling at once"),
        "ceiling_slack": _number(1.0, 0, 100_000, "units by which it may be passed"),
        "demand": _number(0.5, 0.001, 100, "what a customer asks for, as a part of its rate"),
        "greedy": _number(0.0, 0, 1, "the share of customers that ask for `greed` times as much"),
        "greed": _number(1.0, 0.01, 100, "how much more those ask for"),
        "gateways": _whole(3, 1, 1000, "that a customer's RPCs come through"),
        "price": _number(1.0, 0, 1000, "factor on utility"),
        "beyond_cost": _number(1.0, 0, 100, "part of its utility that an RPC beyond the quota costs"),
    },
    ("name",),
    "a plan",
)
WORLD = _table(
    {
        "seconds": _whole(20, 1, 3600, "simulated seconds in which clients ask"),
        "gateways": _whole(3, 1, 1000, "in the tier"),
        "zones": _whole(1, 1, 16, "gateways and servers are dealt out over them"),
        "load": _number(0.6, 0, 5, "use inside the quotas as a part of what the fleet can do; 0: as demand says"),
        "drain_grace_ms": _number(500.0, 0, 60_000, "after which nothing goes to a draining server"),
        "answer_grace_ms": _number(16.0, 0, 10_000, "beyond a deadline"),
        "probing": _truth(True, "gateways may probe"),
        "second_copies": _truth(True, "an RPC may have two call-outs out"),
        "retry_after": _truth(True, "pushbacks carry an advice"),
        "max_call_outs": _whole(4, 1, 16, "for an RPC"),
        "probe_price": _number(0.01, 0, 1, "of one probe for each RPC"),
        "connection_price": _number(0.0, 0, 1, "of one new connection for each RPC"),
        "methods": {"type": "array", "minItems": 1, "maxItems": 32, "items": METHOD},
        "plans": {"type": "array", "minItems": 1, "maxItems": 32, "items": PLAN},
        "servers": _table(
            {
                "count": _whole(12, 1, 2000, "at the start"),
                "cores": _whole(3, 1, 128, "of each"),
                "waiting": _whole(30, 0, 100_000, "that wait beyond the cores"),
                "connections": _whole(1000, 1, 1_000_000, "that one holds"),
                "cold_share": _number(0.25, 0.01, 1, "of its work that a server can do at its start"),
                "cold_s": _number(15.0, 0, 600, "until it is warm"),
                "fall_multiple": _number(3.0, 1, 100, "of what it can do: sent more, a cold server falls over"),
                "fall_s": _number(3.0, 0.1, 60, "the time over which that counts"),
                "cells": _whole(4, 1, 1000, "groups that know repeats"),
            },
            (),
            "servers",
        ),
        "clients": _table(
            {
                "retries": _whole(1, 0, 100, "after the first try"),
                "wait_ms": _number(100.0, 0, 60_000, "before a retry"),
                "heeds_advice": _truth(True, "waits for the retry-after"),
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
        "kind": _words("kill_gateways", FAULTS, "what goes wrong"),
        "at_s": _number(0.0, 0, 3600, "begins"),
        "until_s": _number(0.0, 0, 3600, "ends"),
        "share": _number(0.2, 0, 1, "of the gateways or servers"),
        "size": _number(0.0, 0, 1000, "how much, by its kind"),
        "zone": _whole(0, 0, 15, "which"),
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


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a sweep; `point` has the swept values."""

    number: int
    policy: str
    seed: int
    point: tuple[tuple[str, Any], ...]
    world: world_config.WorldConfig

    @property
    def key(self) -> str:
        return json.dumps([self.policy, self.seed, self.point])


@dataclass(frozen=True, slots=True)
class Experiment:
    name: str
    digest: str
    policies: tuple[str, ...]
    seeds: tuple[int, ...]
    runs: tuple[Run, ...]


def faults_in(told: Any, schema: dict[str, Any] = SCHEMA) -> list[str]:
    """Each fault by its path in the file."""
    return against(schema, told)


def _filled(told: Any, schema: dict[str, Any]) -> Any:
    """With the schema's defaults."""
    if schema.get("type") == "object" and "properties" in schema:
        told = told if told is not None else {}
        return {
            key: _filled(told.get(key), part)
            for key, part in schema["properties"].items()
            if key in told or "default" in part or part.get("type") in ("object", "array")
        }
    if schema.get("type") == "array":
        return [_filled(item, schema["items"]) for item in told or ()]
    return schema.get("default") if told is None else told


def _contradictions(told: dict[str, Any]) -> list[str]:
    found, world = [], told["world"]
    for number, method in enumerate(world["methods"]):
        if method["soft_ms"] > method["deadline_ms"]:
            found.append(f"world.methods[{number}].soft_ms: beyond the deadline")
    for number, group in enumerate(world["plans"]):
        if group["ceiling_rate"] and group["ceiling_rate"] < group["rate"]:
            found.append(f"world.plans[{number}].ceiling_rate: below the quota's rate")
        if group["ceiling_rate"] and group["ceiling_burst"] < group["burst"]:
            found.append(f"world.plans[{number}].ceiling_burst: below the quota's burst")
    for number, fault in enumerate(told["faults"]):
        if fault["until_s"] <= fault["at_s"]:
            found.append(f"faults[{number}].until_s: not after at_s")
        if fault["kind"] in SIZED and not fault["size"]:
            found.append(f"faults[{number}].size: {fault['kind']} needs one")
        if fault["kind"] == "cut_zone" and fault["zone"] >= world["zones"]:
            found.append(f"faults[{number}].zone: there is no such zone")
    most = sum(group["customers"] for group in world["plans"])
    if world["seconds"] * world["gateways"] > 1_000_000 or most > 500_000:
        found.append("world: larger than can be run (a million gateway seconds, half a million customers)")
    return found


def _set(told: dict[str, Any], path: str, value: Any) -> bool:
    """Puts a swept value in its place; False where there is none."""
    where: Any = told
    *parents, last = path.replace("[", ".").replace("]", "").split(".")
    try:
        for part in parents:
            where = where[int(part)] if isinstance(where, list) else where[part]
        if isinstance(where, list):
            where[int(last)] = value
        elif last in where:
            where[last] = value
        else:
            return False
    except (KeyError, IndexError, ValueError, TypeError):
        return False
    return True


def _world(told: dict[str, Any], faults: list[dict[str, Any]]) -> world_config.WorldConfig:
    repeats = {
        "idempotent": RepeatSafety.IDEMPOTENT,
        "deduplicated": RepeatSafety.DEDUPLICATED,
        "non-idempotent": RepeatSafety.NON_IDEMPOTENT,
    }
    servers, clients, links = told["servers"], told["clients"], told["links"]
    return world_config.WorldConfig(
        seconds=told["seconds"],
        gateways=told["gateways"],
        zones=told["zones"],
        load=told["load"],
        drain_grace=tenths(told["drain_grace_ms"]),
        answer_grace=tenths(told["answer_grace_ms"]),
        probing=told["probing"],
        second_copies=told["second_copies"],
        retry_after=told["retry_after"],
        max_call_outs=told["max_call_outs"],
        probe_price=told["probe_price"],
        connection_price=told["connection_price"],
        methods=tuple(
            world_config.MethodConfig(
                m["name"],
                m["share"],
                tenths(m["work_ms"]),
                m["spread"],
                tenths(m["soft_ms"]),
                tenths(m["deadline_ms"]),
                repeats[m["repeat"]],
                m["group"],
                tenths(m["remembered_ms"]),
                m["utility"],
                m["late_utility"],
            )
            for m in told["methods"]
        ),
        plans=tuple(world_config.PlanConfig(**p) for p in told["plans"]),
        servers=world_config.ServerConfig(
            servers["count"],
            servers["cores"],
            servers["waiting"],
            servers["connections"],
            servers["cold_share"],
            round(servers["cold_s"] * SECOND),
            servers["fall_multiple"],
            round(servers["fall_s"] * SECOND),
            servers["cells"],
        ),
        clients=world_config.ClientConfig(
            clients["retries"], tenths(clients["wait_ms"]), clients["heeds_advice"], clients["uneven"]
        ),
        links=world_config.LinkConfig(
            tenths(links["client_ms"]),
            tenths(links["server_ms"]),
            tenths(links["peer_ms"]),
            tenths(links["zone_ms"]),
            links["peer_loss"],
            links["mail_per_s"],
            tenths(links["handshake_ms"]),
            round(links["idle_s"] * SECOND),
            tenths(links["connect_ms"]),
        ),
        discovery=world_config.DiscoveryConfig(
            tenths(told["discovery"]["late_ms"]), tenths(told["discovery"]["notice_ms"])
        ),
        counter=world_config.CounterConfig(tenths(told["counter"]["takes_ms"]), tenths(told["counter"]["patience_ms"])),
        faults=tuple(
            world_config.Fault(
                f["kind"], round(f["at_s"] * SECOND), round(f["until_s"] * SECOND), f["share"], f["size"], f["zone"]
            )
            for f in faults
        ),
    )


def _points(told: dict[str, Any]) -> Iterator[tuple[tuple[str, Any], ...]]:
    sweep = told.get("sweep", {})
    for values in itertools.product(*sweep.values()):
        yield tuple(zip(sweep, values, strict=True))


def read(path: str | Path) -> Experiment:
    """Reads and checks a file; raises ExperimentError with all that is wrong."""
    told, text = read_toml(path, LARGEST_FILE, ExperimentError)
    return checked(told, hashlib.sha256(text).hexdigest())


def checked(told: dict[str, Any], digest: str = "") -> Experiment:
    if found := faults_in(told):
        raise ExperimentError(found)
    number, found = itertools.count(), []
    count = len(told["policies"]) * len(told["seeds"])
    for values in told.get("sweep", {}).values():
        count *= len(values)
    if count > MOST_RUNS:
        raise ExperimentError([f"sweep: {count} runs, at most {MOST_RUNS}"])
    runs: list[Run] = []
    for point in _points(told):
        full = {key: told.get(key) for key in ("name", "policies", "seeds")}
        full |= {"world": _filled(told["world"], WORLD), "faults": [_filled(f, FAULT) for f in told.get("faults", ())]}
        for path, value in point:
            if not _set(full, path, value):
                found.append(f"sweep.{path}: there is no such place")
        found += faults_in(full) or _contradictions(full)
        if found:
            raise ExperimentError(list(dict.fromkeys(found)))
        world = _world(full["world"], full["faults"])
        runs += [Run(next(number), policy, seed, point, world) for seed in told["seeds"] for policy in told["policies"]]
    return Experiment(told["name"], digest, tuple(told["policies"]), tuple(told["seeds"]), tuple(runs))
