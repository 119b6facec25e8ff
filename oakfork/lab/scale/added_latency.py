"""Group "added": the time that a gateway adds to a request, taken apart, and what of it grows with the fleet.

Real processes over loopback. The same client asks the same stand-in servers straight, through gateways, and through
gateways that are traced, in blocks whose order a seed draws. Clients, servers and gateways note times by one clock.
"""

import platform
import random
import tempfile
from contextlib import ExitStack
from pathlib import Path
from time import monotonic
from typing import Any, Callable, NamedTuple

import numpy
import trio

from oakfork.errors import DrillProcessError
from oakfork.lab.scale.added_latency_backends import Parties, Served, listed
from oakfork.lab.scale.added_latency_gateways import MAIL_PER_S, PROGRAM, TRACED, Block, Row, Tier, play
from oakfork.lab.scale.slopes import Measure, summary_line
from oakfork.lab.scale.traced_gateway import ADMISSION, CALL_OUT, PARTS

GROUP = "added"
DIRECT, THROUGH, TRACED_THROUGH = KINDS = ("direct", "through", "traced through")
WITH, WITHOUT = "with changes", "without changes"
WORK = 0.002  # seconds of a server for an RPC
SERVERS, DOZEN = 8, 12  # on the two days; behind lists of any length
EVERY = 0.5  # seconds between changes of the list
LOSS, DELAY = 0.1, 0.002  # of frames between gateways on the bad day: share lost, mean seconds
SLOW, BREAKS = 0.04, 0.1  # seconds of a slow server; share of its RPCs over which one breaks its connection
NOTE = (
    "client's time of an RPC less its server's own work (came whole until answer begun), through gateways; less "
    "the median of the same straight at the servers in the same play"
)


class Sizes(NamedTuple):
    """How much is played. Times are seconds."""

    gateways: int = 3
    rate: float = 30.0  # RPCs a second a gateway
    aim_ms: float = 1000.0  # soft deadline; the deadline is twice that
    rounds: int = 5  # blocks of each kind a day
    block: float = 2.2
    stop: float = 0.5  # of one gateway in each block of the bad day
    warm: float = 1.0  # played first and not counted
    lists: tuple[int, ...] = (1, 1_000, 4_000, 41_000)
    plays: int = 3  # for each list, with changes and without
    through: float = 3.0
    straight: float = 1.0
    parts_at: tuple[int, ...] = (1, 41_000)  # lists at which the time is taken apart too


SMALL = Sizes(
    gateways=2,
    rate=60.0,
    aim_ms=500.0,
    rounds=1,
    block=0.3,
    stop=0.1,
    warm=0.1,
    lists=(1, 2, 3, 4),
    plays=1,
    through=0.2,
    straight=0.1,
    parts_at=(4,),
)


def measure(told: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """About four minutes; `small` takes seconds.

    Raises DrillProcessError where processes do not start, answer or leave."""
    sizes, begun = SMALL if small else Sizes(), monotonic()
    with tempfile.TemporaryDirectory(prefix="oakfork-added-") as folder, Parties(DOZEN, WORK) as parties:
        more: dict[str, Any] = {}
        for name in ("quiet", "bad"):
            more[name] = _day(Path(folder), name, parties, sizes, name == "bad", seed=len(more) + 1)
            added = more[name]["added"]
            told(f"{name} day: added {added['p50_ms']} ms median, {added['p99_ms']} ms for 99 in 100")
        measures, more["by servers"] = _by_servers(Path(folder), parties, sizes, told)
    more |= {
        "python": platform.python_version(),
        "seconds": round(monotonic() - begun, 1),
        "held": _held(sizes) | {"servers": SERVERS, "soft deadline, ms": sizes.aim_ms},
    }
    return measures, more


def _held(sizes: Sizes) -> dict[str, Any]:
    return {
        "gateways": sizes.gateways,
        "RPCs a second a gateway": sizes.rate,
        "work of a server, ms": WORK * 1000,
        "frames a second that a gateway takes in": MAIL_PER_S,
    }


# The two days


def _day(folder: Path, name: str, parties: Parties, sizes: Sizes, bad: bool, seed: int) -> dict[str, Any]:
    servers = parties.addresses[:SERVERS]
    parties.do("list", servers=SERVERS, among=SERVERS)
    try:
        if bad:  # a quarter slow or hanging, and one more that breaks connections
            parties.server(0, work_s=SLOW)
            parties.server(1, hangs=True)
            parties.server(2, breaks=BREAKS)
        with ExitStack() as stack:
            tiers = {
                kind: stack.enter_context(
                    Tier(
                        folder,
                        name + module.rpartition(".")[2],
                        module,
                        sizes.gateways,
                        parties.discovery,
                        listed(SERVERS, servers),
                        sizes.aim_ms,
                        bad,
                        seed,
                    )
                )
                for kind, module in ((THROUGH, PROGRAM), (TRACED_THROUGH, TRACED))
            }
            blocks, stops = trio.run(_alternate, tiers, servers, sizes, bad, seed)
            lines = tiers[TRACED_THROUGH].leave()
    finally:
        parties.sound()
    told = _day_told(blocks, stops, parties.served(), _records(lines))
    told[TRACED_THROUGH]["ask at its owner"] = _quantiles([took for line in lines for took in line.get("served", ())])
    return told


async def _alternate(
    tiers: dict[str, Tier], servers: list[str], sizes: Sizes, bad: bool, seed: int
) -> tuple[dict[str, list[Block]], list[tuple[str, int, int]]]:
    """The blocks of each kind, and when which gateway was stopped."""
    dice, stops = random.Random(seed), []
    blocks: dict[str, list[Block]] = {kind: [] for kind in KINDS}

    async def stop(tier: Tier) -> None:
        await trio.sleep(sizes.block / 4)
        stops.append((tier.listens[-1], *await tier.stop(sizes.gateways - 1, sizes.stop)))

    for tier in tiers.values():
        await tier.ready()
    async with trio.open_nursery() as nursery:
        for relays in (tier.relays for tier in tiers.values() if tier.relays):
            nursery.start_soon(relays.run)
            for one, other in list(relays.ways):
                relays.set(one, other, both=False, loss=LOSS, delay=DELAY)
        targets = {DIRECT: servers} | {kind: tier.listens for kind, tier in tiers.items()}
        for kind in KINDS:
            await play(targets[kind], *_load_for(sizes, sizes.warm), dice.getrandbits(32))
        for kind in [kind for _ in range(sizes.rounds) for kind in dice.sample(KINDS, len(KINDS))]:
            async with trio.open_nursery() as during:
                if bad and kind in tiers:
                    during.start_soon(stop, tiers[kind])
                blocks[kind].append(await play(targets[kind], *_load_for(sizes, sizes.block), dice.getrandbits(32)))
        nursery.cancel_scope.cancel()
    return blocks, stops


def _load_for(sizes: Sizes, seconds: float) -> tuple[float, float, float]:
    """Rate, seconds, deadline."""
    return sizes.rate * sizes.gateways, seconds, 2 * sizes.aim_ms


def _day_told(
    blocks: dict[str, list[Block]],
    stops: list[tuple[str, int, int]],
    served: dict[str, list[Served]],
    records: dict[str, dict[str, Any]],
) -> dict[str, Any]:
    told: dict[str, Any] = {"parts": {}}
    apart: dict[str, Any] = {}
    answered: dict[str, list[Row]] = {}
    for kind in KINDS:
        rows = [row for block in blocks[kind] for row in block.rows if row.status == "200"]
        held = {
            row
            for row in rows
            if any(row.target == at and row.begun < end and begun < row.ended for at, begun, end in stops)
        }
        answered[kind] = [row for row in rows if row not in held]
        told[kind] = client_of(answered[kind], served, kind)
        if held:
            apart[kind] = _quantiles([row.ended - row.begun for row in held])
    told["parts"] = _parts(answered[TRACED_THROUGH], records)
    told[TRACED_THROUGH] |= _gateway(answered[TRACED_THROUGH], records, served)
    told["added"] = _added(*(told[kind]["beside the server"] for kind in KINDS))
    told["at the stopped gateway"] = apart  # in no other figure
    told["answers"] = {kind: summed(block.answers for block in blocks[kind]) for kind in KINDS}
    told["sent late by the client"] = {kind: sum(block.behind for block in blocks[kind]) for kind in KINDS}
    return told


def summed(counts: Any) -> dict[str, int]:
    total: dict[str, int] = {}
    for one in counts:
        for word, number in one.items():
            total[word] = total.get(word, 0) + number
    return total


# Figures of RPCs


def _quantiles(nanoseconds: list[int]) -> dict[str, Any]:
    """Milliseconds; None where there is nothing to count."""
    found = numpy.quantile(nanoseconds, (0.5, 0.99), method="higher") / 1e6 if nanoseconds else (None, None)
    return {
        name: None if value is None else round(float(value), 4)
        for name, value in zip(("p50_ms", "p99_ms"), found, strict=True)
    } | {"count": len(nanoseconds)}


def _work(row: Row, served: dict[str, list[Served]]) -> int | None:
    """What the server took whose answer came first; None where none is known."""
    return next(
        (
            one.answered - one.came
            for one in served.get(row.rpc, ())
            if row.begun <= one.came and one.answered <= row.ended
        ),
        None,
    )


def _beside(rows: list[Row], served: dict[str, list[Served]]) -> list[int]:
    return [row.ended - row.begun - work for row in rows if (work := _work(row, served)) is not None]


def client_of(rows: list[Row], served: dict[str, list[Served]], kind: str) -> dict[str, Any]:
    beside = _beside(rows, served)
    if not beside:
        raise DrillProcessError(f"no RPC was answered: {kind}")
    return {"total": _quantiles([row.ended - row.begun for row in rows]), "beside the server": _quantiles(beside)}


def over(direct: dict[str, Any], through: dict[str, Any]) -> dict[str, float]:
    """Over the median of the bare calls, which is the stricter."""
    return {quantile: round(through[quantile] - direct["p50_ms"], 4) for quantile in ("p50_ms", "p99_ms")}


def _added(direct: dict[str, Any], through: dict[str, Any], traced: dict[str, Any]) -> dict[str, float]:
    """Over their own 99 in 100 besides."""
    return over(direct, through) | {
        "p99_over_p99_ms": round(through["p99_ms"] - direct["p99_ms"], 4),
        "tracing_p50_ms": round(traced["p50_ms"] - through["p50_ms"], 4),
        "tracing_p99_ms": round(traced["p99_ms"] - through["p99_ms"], 4),
    }


def _records(lines: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    return {line["rpc"]: line for line in lines if "rpc" in line}


def _joined(rows: list[Row], records: dict[str, dict[str, Any]]) -> list[tuple[Row, dict[str, Any]]]:
    """Rows with what their gateway noted, which is of the same exchange."""
    return [
        (row, record)
        for row in rows
        if (record := records.get(row.rpc))
        and record["ended"]
        and row.begun <= record["begun"]
        and record["ended"] <= row.ended
    ]


def _parts(rows: list[Row], records: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Of the RPCs that have the part. Way in and out are the client's, the loopback's and the gateway's wake-up: they
    and the parts of an RPC add up to what its client saw."""
    joined = _joined(rows, records)
    parts = {"way in": [record["begun"] - row.begun for row, record in joined]}
    for number, name in enumerate(PARTS):
        parts[name] = [record["parts"][number] for _, record in joined if record["parts"][number]]
    parts["way out"] = [row.ended - record["ended"] for row, record in joined]
    return {name: _quantiles(values) for name, values in parts.items()}


def _gateway(rows: list[Row], records: dict[str, dict[str, Any]], served: dict[str, list[Served]]) -> dict[str, Any]:
    """What the gateways saw of their RPCs, and without the call-out by who owns the customer."""
    joined = _joined(rows, records)
    own = {True: [], False: []}
    for _, record in joined:
        if record["parts"][ADMISSION]:  # not shed before
            own[record["asks"] > 0].append(record["ended"] - record["begun"] - record["parts"][CALL_OUT])
    return {
        "gateway saw": _quantiles([record["ended"] - record["begun"] for _, record in joined]),
        "at the server": _quantiles([work for row, _ in joined if (work := _work(row, served)) is not None]),
        "beside the call-out, owner here": _quantiles(own[False]),
        "beside the call-out, owner asked": _quantiles(own[True]),
        "asked without a reply": sum(record["asks"] > 0 and not record["replies"] for _, record in joined),
        "call-outs": sum(record["call_outs"] for _, record in joined),
        "new connections": sum(record["connections"] for _, record in joined),
    }


# What grows with the fleet


def _by_servers(
    folder: Path, parties: Parties, sizes: Sizes, told: Callable[[str], None]
) -> tuple[list[Measure], dict[str, Any]]:
    dice, values, parts = random.Random(3), {}, {}
    for size in sizes.lists:
        with _started(folder, f"list{size}-", PROGRAM, parties, sizes, size) as tier:
            plays = trio.run(_plays, tier, parties, sizes, size, sizes.plays, True, dice.getrandbits(32))
        served = parties.served()
        for mode, straight, through in plays:
            base, seen = (
                client_of(_ok(block), served, f"{size} servers, {mode}")["beside the server"]
                for block in (straight, through)
            )
            added = over(base, seen)
            for which, quantile in (("median", "p50_ms"), ("99 in 100", "p99_ms")):
                values.setdefault((mode, which), {}).setdefault(size, []).append(added[quantile])
        if size in sizes.parts_at:
            with _started(folder, f"traced{size}-", TRACED, parties, sizes, size) as tier:
                plays = trio.run(_plays, tier, parties, sizes, size, 1, False, dice.getrandbits(32))
                records = _records(tier.leave())
            parties.served()
            parts[str(size)] = {mode: {"parts": _parts(_ok(through), records)} for mode, _, through in plays}
    measures = []
    for mode in (WITH, WITHOUT):
        for which in ("99 in 100", "median"):
            points = [(size, values[mode, which][size]) for size in sizes.lists]
            held = _held(sizes) | {
                "stand-in servers": DOZEN,
                "seconds between changes": EVERY if mode == WITH else None,
            }
            measures.append(
                Measure(
                    f"added by servers, {mode}: milliseconds, {which}", "milliseconds", "servers", points, held, NOTE
                )
            )
            told(summary_line(measures[-1]))
    return measures, parts


def _ok(block: Block) -> list[Row]:
    return [row for row in block.rows if row.status == "200"]


def _started(folder: Path, name: str, module: str, parties: Parties, sizes: Sizes, size: int) -> Tier:
    """A tier that knows a list of this length, of which discovery has told no change yet."""
    parties.do("list", servers=size, among=DOZEN)
    return Tier(folder, name, module, sizes.gateways, parties.discovery, listed(size, parties.addresses), sizes.aim_ms)


async def _plays(
    tier: Tier, parties: Parties, sizes: Sizes, size: int, plays: int, straight: bool, seed: int
) -> list[tuple[str, Block, Block]]:
    """Plays with and without changes of the list, in an order that the seed draws: which, bare calls, gateway calls."""
    dice, found = random.Random(seed), []
    servers = parties.addresses[:size]
    await tier.ready()
    await play(tier.listens, *_load_for(sizes, sizes.warm), dice.getrandbits(32))
    try:
        for mode in [mode for _ in range(plays) for mode in dice.sample((WITH, WITHOUT), 2)]:
            parties.do("changes", every_s=EVERY * (mode == WITH))
            await trio.sleep(sizes.warm / 2)
            blocks = {}
            for kind in dice.sample((DIRECT, THROUGH), 2):
                targets, seconds = (servers, sizes.straight) if kind == DIRECT else (tier.listens, sizes.through)
                blocks[kind] = (
                    Block([], {}, 0)
                    if kind == DIRECT and not straight
                    else await play(targets, *_load_for(sizes, seconds), dice.getrandbits(32))
                )
            found.append((mode, blocks[DIRECT], blocks[THROUGH]))
    finally:
        parties.do("changes", every_s=0.0)
    return found
