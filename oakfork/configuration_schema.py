"""The format of a gateway's configuration as a JSON Schema, the one source for the checks and docs/configuration.md.

Imported by `oakfork check`, by `oakfork serve` before it serves, and, to name what is wrong, once a configuration could
not be read; never by `python -m oakfork` alone on the way to serving. Unknown keys are allowed: the platform adds some.
"""

import math
import tomllib
from pathlib import Path
from typing import Any, Iterable

from oakfork.errors import FileError

ADDRESS = {"type": "string", "pattern": r"^[^\s:]+:\d{1,5}$"}


def _value(kind: str, text: str, **constraints: Any) -> dict[str, Any]:
    return {"type": kind, "description": text} | constraints


def _address(text: str) -> dict[str, Any]:
    return ADDRESS | {"description": text}


def _object(text: str, properties: dict[str, Any], *required: str) -> dict[str, Any]:
    return {"type": "object", "description": text, "properties": properties, "required": list(required)}


def _number(text: str, **constraints: Any) -> dict[str, Any]:
    return _value("number", text, minimum=0, **constraints)


SERVER = _object(
    "a server",
    {
        "id": _value("string", "its id, the same at every gateway", minLength=1),
        "addr": _address("where it listens"),
        "zone": _value("string", "its zone"),
        "kind": _value("string", "its kind of machine"),
        "cell": _value("integer", "the group of servers that drop a repeat together"),
        "state": {"enum": ["up", "draining", "removed"], "description": "draining: it gets no new RPCs"},
        "weight": _number("its registered size"),
        "started_ms": _number("when it last started, as Unix time in ms; 0: long ago"),
    },
    "id",
    "state",
)
METHOD = _object(
    "a method",
    {
        "name": _value("string", "its name in X-Lane", minLength=1),
        "aim-ms": _number("soft deadline, ms"),
        "deadline-ms": _number("deadline, ms"),
        "effect": {
            "enum": ["read_like", "idempotency_key", "non_idempotent", "unsafe"],
            "description": "idempotent, deduplicated, non-idempotent (the last two)",
        },
        "group": {"enum": ["all", "zone", "cell"], "description": "the servers that drop a repeat"},
        "key-ttl-ms": _number("how long they drop it, ms"),
        "value": _number("utility of an answer within the soft deadline"),
        "late-worth": _number("fraction of the utility after the soft deadline", maximum=1),
        "streamed": _value("boolean", "its answers are streams"),
    },
    "name",
    "aim-ms",
    "deadline-ms",
)
PLAN = _object(
    "a plan",
    {
        "name": _value("string", "its name in X-Tier", minLength=1),
        "refill": _number("units a second of a customer's quota; 0: no quota"),
        "peak-units": _number("burst of the quota, units"),
        "concurrency": _value("integer", "open call-outs of a customer; 0: any number", minimum=0),
        "never-over-rate": _number("units a second of the hard ceiling; 0: no ceiling"),
        "ceiling-burst": _number("burst of the ceiling, units"),
        "cap-slack": _number("units by which the ceiling may be exceeded"),
        "value-factor": _number("factor of the utility"),
        "over-worth": _number("utility of an RPC beyond the quota"),
        "beyond-costs": _number("cost of an RPC beyond the quota"),
    },
    "name",
)
SETTINGS = _object(
    "the settings of the deployment",
    {
        "balancers": _value("integer", "gateways in the tier", minimum=1),
        "index": _value("integer", "index of this gateway", minimum=0),
        "zones": _value("array", "names of the zones", items={"type": "string"}),
        "zone": _value("integer", "index of this gateway's zone", minimum=0),
        "tick-ms": _number("resolution of timers, ms"),
        "discovery": {
            "enum": ["automatic", "subscribe"],
            "description": "whether changes of the server list come unasked",
        },
        "classes": _value("array", "the methods", items=METHOD, minItems=1),
        "tiers-of-service": _value("array", "the plans", items=PLAN, minItems=1),
        "limits": _object(
            "what the platform allows",
            {
                "attempts-cap": _value("integer", "call-outs of an RPC", minimum=1),
                "cancel": _value("boolean", "call-outs may be cancelled"),
                "parallel-tries": _value("boolean", "a second copy of an RPC may be sent"),
                "retry-after": _value("boolean", "pushbacks have a Retry-After"),
                "probing": _value("boolean", "servers may be probed"),
                "peers": _value("boolean", "gateways may exchange frames"),
                "conn-idle-ms": _number("servers close connections that have been idle so long, ms"),
                "connect-timeout-ms": _number("timeout of a connection, ms"),
            },
        ),
        "specifics": _object(
            "settings of this kind of service",
            {
                "mail-per-s": _number("frames a second that a gateway accepts"),
                "units-top": _number("maximum of units of an RPC"),
                "shared-counter": _value("boolean", "there is a shared counter"),
                "count-limit-ms": _number("timeout of a call to the counter, ms"),
                "settles": _value("boolean", "answers report the true units"),
            },
        ),
        "invariants": _object(
            "parameters of the rules",
            {
                "stop-sending-within-ms": _number("time after which a draining server gets nothing new, ms"),
                "cold-share": _number("fraction of its capacity that a server has at its start", maximum=1),
                "cold-ms": _number("time until it is warm, ms"),
                "fall-multiple": _number("multiple of its capacity over which a cold server fails"),
                "fall-ms": _number("time over which that counts, ms"),
                "ask-within-ms": _number("timeout of lists on request, ms"),
            },
        ),
        "tariffs": _object(
            "prices, as fractions of all utility",
            {
                "probe": _number("price of one probe for each RPC"),
                "handshake": _number("price of one new connection for each RPC"),
            },
        ),
        "stats": _object(
            "load reports",
            {
                "how": {"enum": ["inline", "on_probe", "off"], "description": "where servers report their load"},
                "names": _value("array", "names of the values", items={"type": "string"}, maxItems=4),
            },
        ),
    },
    "classes",
    "tiers-of-service",
)
SCHEMA = {"$schema": "https://json-schema.org/draft/2020-12/schema"} | _object(
    "the configuration of a gateway",
    {
        "name": _value("string", "name of the gateway in its log"),
        "listen": _address("address for clients"),
        "discovery": _address("the discovery agent"),
        "counter": _address("the shared counter"),
        "peer_listen": _address("address for datagrams of peers"),
        "peers": _value("array", "all gateways of the tier, by index", items=ADDRESS),
        "peers_all": _address("address that reaches all of them"),
        "seed": _value("string", "seed of random numbers, in hex", pattern="^[0-9a-fA-F]{1,16}$"),
        "limits": _object(
            "limits of this process",
            {
                "cores": _number("processor cores; may be a fraction"),
                "memory_mb": _number("memory, MB; above it the gateway is killed", exclusiveMinimum=0),
                "sockets": _value("integer", "file descriptors", minimum=64),
            },
        ),
        "known": _object(
            "the last known list of servers",
            {
                "version": _value("integer", "version of the list"),
                "full": _value("boolean", "whether the list is complete"),
                "servers": _value("array", "the servers", items=SERVER),
            },
        ),
        "settings": SETTINGS,
    },
    "listen",
    "discovery",
    "settings",
)


def read_toml(path: str | Path, max_bytes: int, error_type: type[FileError]) -> tuple[dict[str, Any], bytes]:
    """The document of a TOML file and its bytes, `max_bytes` at most; raises an `error_type` if it can't be read."""
    try:
        with open(path, "rb") as file:
            text = file.read(max_bytes + 1)
        if len(text) > max_bytes:
            raise error_type([f"the file: over {max_bytes} bytes"])
        return tomllib.loads(text.decode()), text
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise error_type([f"the file: {error}"]) from None


def path_text(path: Iterable[str | int]) -> str:
    """A place in a document as faults name it, such as 'settings.classes[1].name'."""
    return "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path).lstrip(".") or "the file"


def against(schema: dict[str, Any], document: Any) -> list[str]:
    """All faults that a schema finds in a document, each by its path.

    NaN and infinite numbers are faults too: they pass the bounds of a schema, since NaN compares with nothing.
    """
    from jsonschema import Draft202012Validator

    errors = sorted(Draft202012Validator(schema).iter_errors(document), key=lambda error: list(map(str, error.path)))
    faults = [f"{path_text(error.absolute_path)}: {error.message[:200]}" for error in errors]
    return faults + _not_finite(document, ())


def _not_finite(part: Any, path: tuple[str | int, ...]) -> list[str]:
    if isinstance(part, dict | list):
        items = part.items() if isinstance(part, dict) else enumerate(part)
        return [fault for key, item in items for fault in _not_finite(item, (*path, key))]
    if isinstance(part, float) and not math.isfinite(part):
        return [f"{path_text(path)}: {part} is not a number"]
    return []


def faults_in(document: Any) -> list[str]:
    """All faults of a gateway's configuration, each by its path in the file."""
    return against(SCHEMA, document) or _contradictions(document)


def _contradictions(document: dict[str, Any]) -> list[str]:
    """Faults between several values, in a document that the schema accepts."""
    settings = document["settings"]
    gateways = settings.get("balancers", 1)
    faults = []
    if settings.get("index", 0) >= gateways:
        faults.append("settings.index: not below balancers")
    if document.get("peers") and len(document["peers"]) != gateways:
        faults.append(f"peers: {len(document['peers'])} addresses for {gateways} gateways")
    for index, method in enumerate(settings["classes"]):
        if method["aim-ms"] > method["deadline-ms"]:
            faults.append(f"settings.classes[{index}].aim-ms: beyond the deadline")
    for index, plan in enumerate(settings["tiers-of-service"]):
        if plan.get("never-over-rate") and plan["never-over-rate"] < plan.get("refill", 0):
            faults.append(f"settings.tiers-of-service[{index}].never-over-rate: below the quota's rate")
    for key in ("classes", "tiers-of-service"):
        names = [row["name"] for row in settings[key]]
        duplicates = [name for name in dict.fromkeys(names) if names.count(name) > 1]
        faults += [f"settings.{key}: {name!r} stands there twice" for name in duplicates]
    return faults


def table(schema: dict[str, Any] = SCHEMA, path: str = "") -> list[tuple[str, str, str]]:
    """Path, type and meaning of every key, for the documentation."""
    rows = []
    for key, part in schema.get("properties", {}).items():
        place = f"{path}.{key}".lstrip(".")
        kind = part.get("type") or "one of " + ", ".join(map(str, part["enum"]))
        default = f"; {part['default']} if left out" if "default" in part else ""
        needed = ", needed" if key in schema.get("required", ()) else ""
        rows.append((place, kind + needed, part.get("description", "") + default))
        rows += table(part, place)
        if isinstance(part.get("items"), dict):
            rows += table(part["items"], place + "[]")
    return rows
