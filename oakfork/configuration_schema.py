"""The operators' configuration format as a JSON Schema: the one source for the check and for docs/configuration.md.

Imported by `oakfork check`, by `oakfork serve` before it serves, and, to name what is wrong, once a configuration
could not be read; never by `python -m oakfork` alone on the way to serving. Unknown keys are allowed: the platform
adds some.
"""

import math
import tomllib
from pathlib import Path
from typing import Any, Iterable

from oakfork.errors import FileError

ADDRESS = {"type": "string", "pattern": r"^[^\s:]+:\d{1,5}$"}


def _a(kind: str, text: str, **more: Any) -> dict[str, Any]:
    return {"type": kind, "description": text} | more


def _address(text: str) -> dict[str, Any]:
    return ADDRESS | {"description": text}


def _table(text: str, properties: dict[str, Any], *required: str) -> dict[str, Any]:
    return {"type": "object", "description": text, "properties": properties, "required": list(required)}


def _number(text: str, **more: Any) -> dict[str, Any]:
    return _a("number", text, minimum=0, **more)


SERVER = _table(
    "a server",
    {
        "id": _a("string", "the same at every gateway", minLength=1),
        "addr": _address("where it listens"),
        "zone": _a("string", "its zone"),
        "kind": _a("string", "its kind of machine"),
        "cell": _a("integer", "the group that drops a repeat"),
        "state": {"enum": ["up", "draining", "removed"], "description": "draining: nothing new goes to it"},
        "weight": _number("its registered size"),
        "started_ms": _number("when it last started, as Unix time in milliseconds; 0: long ago"),
    },
    "id",
    "state",
)
METHOD = _table(
    "a method",
    {
        "name": _a("string", "as X-Lane names it", minLength=1),
        "aim-ms": _number("soft deadline"),
        "deadline-ms": _number("deadline"),
        "effect": {
            "enum": ["read_like", "idempotency_key", "non_idempotent", "unsafe"],
            "description": "idempotent, deduplicated, non-idempotent (both of the last)",
        },
        "group": {"enum": ["all", "zone", "cell"], "description": "the servers that drop a repeat"},
        "key-ttl-ms": _number("for how long they drop it"),
        "value": _number("utility"),
        "late-worth": _number("part of the utility after the soft deadline", maximum=1),
        "streamed": _a("boolean", "answers come as streams"),
    },
    "name",
    "aim-ms",
    "deadline-ms",
)
PLAN = _table(
    "a plan",
    {
        "name": _a("string", "as X-Tier names it", minLength=1),
        "refill": _number("units a second of a customer's quota; 0: none"),
        "peak-units": _number("units at once"),
        "concurrency": _a("integer", "call-outs out at once; 0: any", minimum=0),
        "never-over-rate": _number("units a second of the hard ceiling; 0: none"),
        "ceiling-burst": _number("units of the ceiling at once"),
        "cap-slack": _number("units by which it may be passed"),
        "value-factor": _number("factor on utility"),
        "over-worth": _number("utility beyond the quota"),
        "beyond-costs": _number("cost beyond the quota"),
    },
    "name",
)
SETTINGS = _table(
    "the settings of the deployment",
    {
        "balancers": _a("integer", "gateways in the tier", minimum=1),
        "index": _a("integer", "this one's", minimum=0),
        "zones": _a("array", "their names", items={"type": "string"}),
        "zone": _a("integer", "this one's", minimum=0),
        "tick-ms": _number("the grain of timers"),
        "discovery": {"enum": ["automatic", "subscribe"], "description": "whether changes come by themselves"},
        "classes": _a("array", "the methods", items=METHOD, minItems=1),
        "tiers-of-service": _a("array", "the plans", items=PLAN, minItems=1),
        "limits": _table(
            "what the platform allows",
            {
                "attempts-cap": _a("integer", "call-outs for an RPC", minimum=1),
                "cancel": _a("boolean", "call-outs may be given up"),
                "parallel-tries": _a("boolean", "second copies"),
                "retry-after": _a("boolean", "pushbacks carry an advice"),
                "probing": _a("boolean", "servers may be probed"),
                "peers": _a("boolean", "gateways may talk"),
                "conn-idle-ms": _number("servers close connections idle for so long"),
                "connect-timeout-ms": _number("patience for a connection"),
            },
        ),
        "specifics": _table(
            "of this kind of service",
            {
                "mail-per-s": _number("frames that a gateway takes in"),
                "units-top": _number("most units of an RPC"),
                "shared-counter": _a("boolean", "there is a counter"),
                "count-limit-ms": _number("patience for it"),
                "settles": _a("boolean", "true units come with the answer"),
            },
        ),
        "invariants": _table(
            "figures of the rules",
            {
                "stop-sending-within-ms": _number("drains"),
                "cold-share": _number("a server starts at", maximum=1),
                "cold-ms": _number("and is warm after"),
                "fall-multiple": _number("sent more, it falls"),
                "fall-ms": _number("the time over which that counts"),
                "ask-within-ms": _number("patience for asked lists"),
            },
        ),
        "tariffs": _table(
            "prices, as parts of all utility",
            {"probe": _number("of one probe for each RPC"), "handshake": _number("of one new connection for each RPC")},
        ),
        "stats": _table(
            "load reports",
            {
                "how": {"enum": ["inline", "on_probe", "off"], "description": "where they come"},
                "names": _a("array", "their values", items={"type": "string"}, maxItems=4),
            },
        ),
    },
    "classes",
    "tiers-of-service",
)
SCHEMA = {"$schema": "https://json-schema.org/draft/2020-12/schema"} | _table(
    "what a gateway is told",
    {
        "name": _a("string", "its name in the log"),
        "listen": _address("where clients connect"),
        "discovery": _address("the agent that tells the servers"),
        "counter": _address("the shared counter"),
        "peer_listen": _address("where datagrams of peers come"),
        "peers": _a("array", "every gateway of the tier, in order", items=ADDRESS),
        "peers_all": _address("all of them at once"),
        "seed": _a("string", "for chance, in hex", pattern="^[0-9a-fA-F]{1,16}$"),
        "limits": _table(
            "of this process",
            {
                "cores": _number("part of a core"),
                "memory_mb": _number("over it the gateway is killed", exclusiveMinimum=0),
                "sockets": _a("integer", "descriptors", minimum=64),
            },
        ),
        "known": _table(
            "the servers as last known",
            {
                "version": _a("integer", "of the list"),
                "full": _a("boolean", "whether it is whole"),
                "servers": _a("array", "the servers", items=SERVER),
            },
        ),
        "settings": SETTINGS,
    },
    "listen",
    "discovery",
    "settings",
)


def read_toml(path: str | Path, largest: int, refuse: type[FileError]) -> tuple[dict[str, Any], bytes]:
    """What a TOML file says, and its bytes, at most `largest`; raises `refuse` where it can't be read."""
    try:
        with open(path, "rb") as file:
            text = file.read(largest + 1)
        if len(text) > largest:
            raise refuse([f"the file: over {largest} bytes"])
        return tomllib.loads(text.decode()), text
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise refuse([f"the file: {error}"]) from None


def place(path: Iterable[str | int]) -> str:
    return "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path).lstrip(".") or "the file"


def against(schema: dict[str, Any], told: Any) -> list[str]:
    """All that a schema finds wrong, each by its path; and numbers that are none, which compare with nothing."""
    from jsonschema import Draft202012Validator

    errors = sorted(Draft202012Validator(schema).iter_errors(told), key=lambda error: list(map(str, error.path)))
    return [f"{place(error.absolute_path)}: {error.message[:200]}" for error in errors] + _no_numbers(told, ())


def _no_numbers(told: Any, path: tuple[str | int, ...]) -> list[str]:
    if isinstance(told, dict | list):
        items = told.items() if isinstance(told, dict) else enumerate(told)
        return [fault for key, part in items for fault in _no_numbers(part, (*path, key))]
    return [f"{place(path)}: {told} is not a number"] if isinstance(told, float) and not math.isfinite(told) else []


def faults_in(told: Any) -> list[str]:
    """All that is wrong, each by its path in the file."""
    found = against(SCHEMA, told)
    if not found:
        found += _contradictions(told)
    return found


def _contradictions(told: dict[str, Any]) -> list[str]:
    found, settings = [], told["settings"]
    if settings.get("index", 0) >= settings.get("balancers", 1):
        found.append("settings.index: not below balancers")
    if told.get("peers") and len(told["peers"]) != settings.get("balancers", 1):
        found.append(f"peers: {len(told['peers'])} addresses for {settings.get('balancers', 1)} gateways")
    for number, row in enumerate(settings["classes"]):
        if row["aim-ms"] > row["deadline-ms"]:
            found.append(f"settings.classes[{number}].aim-ms: beyond the deadline")
    for number, row in enumerate(settings["tiers-of-service"]):
        if row.get("never-over-rate") and row["never-over-rate"] < row.get("refill", 0):
            found.append(f"settings.tiers-of-service[{number}].never-over-rate: below the quota's rate")
    for key in ("classes", "tiers-of-service"):
        names = [row["name"] for row in settings[key]]
        twice = [name for name in dict.fromkeys(names) if names.count(name) > 1]
        found += [f"settings.{key}: {name!r} stands there twice" for name in twice]
    return found


def table(schema: dict[str, Any] = SCHEMA, path: str = "") -> list[tuple[str, str, str]]:
    """Path, type and meaning of every key, for the docs."""
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
