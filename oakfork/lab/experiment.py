"""Reads experiment files, checks them by the schema, and expands them into runs.

Every fault in a file is reported with its place before anything runs.
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
from oakfork.lab.experiment_schema import FAULT, FAULTS_WITH_SIZE, SCHEMA, WORLD
from oakfork.settings import tenths

LARGEST_FILE = 256 * 1024  # bytes
MAX_RUNS = 5_000
MAX_GATEWAY_SECONDS = 1_000_000  # gateways times simulated seconds
MAX_CUSTOMERS = 500_000
REPEAT_SAFETY = {
    "idempotent": RepeatSafety.IDEMPOTENT,
    "deduplicated": RepeatSafety.DEDUPLICATED,
    "non-idempotent": RepeatSafety.NON_IDEMPOTENT,
}


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a sweep; `point` has the swept paths with their values."""

    number: int
    policy: str
    seed: int
    point: tuple[tuple[str, Any], ...]
    world: world_config.WorldConfig

    @property
    def key(self) -> str:
        """Identifies the run among those of its experiment."""
        return json.dumps([self.policy, self.seed, self.point])


@dataclass(frozen=True, slots=True)
class Experiment:
    """A checked experiment file; `digest` is the SHA-256 of the file."""

    name: str
    digest: str
    policies: tuple[str, ...]
    seeds: tuple[int, ...]
    runs: tuple[Run, ...]


def read(path: str | Path) -> Experiment:
    """Reads and checks a file; raises ExperimentError with every fault in it."""
    document, text = read_toml(path, LARGEST_FILE, ExperimentError)
    return checked(document, hashlib.sha256(text).hexdigest())


def checked(document: dict[str, Any], digest: str = "") -> Experiment:
    """Checks a parsed file and expands its runs; raises ExperimentError with every fault in it."""
    if faults := faults_in(document):
        raise ExperimentError(faults)
    _check_run_count(document)
    numbers = itertools.count()
    runs: list[Run] = []
    for point in _points(document):
        world = _world_at(document, point)
        runs += [
            Run(next(numbers), policy, seed, point, world)
            for seed in document["seeds"]
            for policy in document["policies"]
        ]
    policies, seeds = tuple(document["policies"]), tuple(document["seeds"])
    return Experiment(document["name"], digest, policies, seeds, tuple(runs))


def faults_in(document: Any, schema: dict[str, Any] = SCHEMA) -> list[str]:
    """The faults that the schema finds, each with its path in the file."""
    return against(schema, document)


def _check_run_count(document: dict[str, Any]) -> None:
    count = len(document["policies"]) * len(document["seeds"])
    for values in document.get("sweep", {}).values():
        count *= len(values)
    if count > MAX_RUNS:
        raise ExperimentError([f"sweep: {count} runs, at most {MAX_RUNS}"])


def _points(document: dict[str, Any]) -> Iterator[tuple[tuple[str, Any], ...]]:
    """Every combination of the swept values."""
    sweep = document.get("sweep", {})
    for values in itertools.product(*sweep.values()):
        yield tuple(zip(sweep, values, strict=True))


def _world_at(document: dict[str, Any], point: tuple[tuple[str, Any], ...]) -> world_config.WorldConfig:
    """The world at one point of the sweep; raises ExperimentError with every fault at that point."""
    full = {key: document.get(key) for key in ("name", "policies", "seeds")}
    full["world"] = _with_defaults(document["world"], WORLD)
    full["faults"] = [_with_defaults(fault, FAULT) for fault in document.get("faults", ())]
    found: list[str] = []
    for path, value in point:
        if not _set(full, path, value):
            found.append(f"sweep.{path}: there is no such place")
    found += faults_in(full) or _contradictions(full)
    if found:
        raise ExperimentError(list(dict.fromkeys(found)))
    return _world_config(full["world"], full["faults"])


def _with_defaults(value: Any, schema: dict[str, Any]) -> Any:
    """A value completed by the defaults of its schema."""
    if schema.get("type") == "object" and "properties" in schema:
        table = value if value is not None else {}
        return {
            key: _with_defaults(table.get(key), part)
            for key, part in schema["properties"].items()
            if key in table or "default" in part or part.get("type") in ("object", "array")
        }
    if schema.get("type") == "array":
        return [_with_defaults(item, schema["items"]) for item in value or ()]
    return schema.get("default") if value is None else value


def _set(document: dict[str, Any], path: str, value: Any) -> bool:
    """Sets a swept value at its path; returns False if there is no such place."""
    table: Any = document
    *parents, last = path.replace("[", ".").replace("]", "").split(".")
    try:
        for part in parents:
            table = table[int(part)] if isinstance(table, list) else table[part]
        if isinstance(table, list):
            table[int(last)] = value
        elif last in table:
            table[last] = value
        else:
            return False
    except (KeyError, IndexError, ValueError, TypeError):
        return False
    return True


def _contradictions(document: dict[str, Any]) -> list[str]:
    """Faults between values that are valid by themselves."""
    world = document["world"]
    found: list[str] = []
    for number, method in enumerate(world["methods"]):
        if method["soft_ms"] > method["deadline_ms"]:
            found.append(f"world.methods[{number}].soft_ms: beyond the deadline")
    for number, plan in enumerate(world["plans"]):
        if plan["ceiling_rate"] and plan["ceiling_rate"] < plan["rate"]:
            found.append(f"world.plans[{number}].ceiling_rate: below the quota's rate")
        if plan["ceiling_rate"] and plan["ceiling_burst"] < plan["burst"]:
            found.append(f"world.plans[{number}].ceiling_burst: below the quota's burst")
    for number, fault in enumerate(document["faults"]):
        if fault["until_s"] <= fault["at_s"]:
            found.append(f"faults[{number}].until_s: not after at_s")
        if fault["kind"] in FAULTS_WITH_SIZE and not fault["size"]:
            found.append(f"faults[{number}].size: {fault['kind']} needs one")
        if fault["kind"] == "cut_zone" and fault["zone"] >= world["zones"]:
            found.append(f"faults[{number}].zone: there is no such zone")
    customers = sum(plan["customers"] for plan in world["plans"])
    if world["seconds"] * world["gateways"] > MAX_GATEWAY_SECONDS or customers > MAX_CUSTOMERS:
        found.append("world: larger than can be run (a million gateway seconds, half a million customers)")
    return found


def _world_config(world: dict[str, Any], faults: list[dict[str, Any]]) -> world_config.WorldConfig:
    """Converts a complete world, with times in tenths of a millisecond."""
    discovery, counter = world["discovery"], world["counter"]
    return world_config.WorldConfig(
        seconds=world["seconds"],
        gateways=world["gateways"],
        zones=world["zones"],
        load=world["load"],
        drain_grace=tenths(world["drain_grace_ms"]),
        answer_grace=tenths(world["answer_grace_ms"]),
        probing=world["probing"],
        second_copies=world["second_copies"],
        retry_after=world["retry_after"],
        max_call_outs=world["max_call_outs"],
        probe_price=world["probe_price"],
        connection_price=world["connection_price"],
        methods=tuple(_method_config(method) for method in world["methods"]),
        plans=tuple(world_config.PlanConfig(**plan) for plan in world["plans"]),
        servers=_server_config(world["servers"]),
        clients=_client_config(world["clients"]),
        links=_link_config(world["links"]),
        discovery=world_config.DiscoveryConfig(
            list_delay=tenths(discovery["late_ms"]), notice_time=tenths(discovery["notice_ms"])
        ),
        counter=world_config.CounterConfig(
            round_trip=tenths(counter["takes_ms"]), timeout=tenths(counter["patience_ms"])
        ),
        faults=tuple(_fault(fault) for fault in faults),
    )


def _method_config(method: dict[str, Any]) -> world_config.MethodConfig:
    return world_config.MethodConfig(
        name=method["name"],
        share=method["share"],
        work=tenths(method["work_ms"]),
        spread=method["spread"],
        soft_deadline=tenths(method["soft_ms"]),
        deadline=tenths(method["deadline_ms"]),
        repeat=REPEAT_SAFETY[method["repeat"]],
        group=method["group"],
        deduplication_time=tenths(method["remembered_ms"]),
        utility=method["utility"],
        late_utility=method["late_utility"],
    )


def _server_config(servers: dict[str, Any]) -> world_config.ServerConfig:
    return world_config.ServerConfig(
        count=servers["count"],
        cores=servers["cores"],
        queue_length=servers["waiting"],
        connections=servers["connections"],
        cold_share=servers["cold_share"],
        cold_time=round(servers["cold_s"] * SECOND),
        fall_multiple=servers["fall_multiple"],
        fall_time=round(servers["fall_s"] * SECOND),
        cells=servers["cells"],
    )


def _client_config(clients: dict[str, Any]) -> world_config.ClientConfig:
    return world_config.ClientConfig(
        retries=clients["retries"],
        retry_delay=tenths(clients["wait_ms"]),
        honors_retry_after=clients["heeds_advice"],
        unevenness=clients["uneven"],
    )


def _link_config(links: dict[str, Any]) -> world_config.LinkConfig:
    return world_config.LinkConfig(
        client_delay=tenths(links["client_ms"]),
        server_delay=tenths(links["server_ms"]),
        peer_delay=tenths(links["peer_ms"]),
        zone_delay=tenths(links["zone_ms"]),
        peer_loss=links["peer_loss"],
        peer_frames_per_s=links["mail_per_s"],
        handshake_time=tenths(links["handshake_ms"]),
        idle_timeout=round(links["idle_s"] * SECOND),
        connect_timeout=tenths(links["connect_ms"]),
    )


def _fault(fault: dict[str, Any]) -> world_config.Fault:
    return world_config.Fault(
        kind=fault["kind"],
        at=round(fault["at_s"] * SECOND),
        until=round(fault["until_s"] * SECOND),
        share=fault["share"],
        size=fault["size"],
        zone=fault["zone"],
    )
