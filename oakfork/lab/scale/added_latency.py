"""Group "added": the time that a gateway adds to a request, broken down into parts, and its growth with the fleet.

Real processes run over loopback. The same client calls the same fake servers directly, through gateways, and through
gateways that are traced, in blocks whose order a seed draws. Clients, servers and gateways take times from one clock.
"""

import platform
import random
import tempfile
from contextlib import ExitStack
from pathlib import Path
from time import monotonic
from typing import Any, Callable, NamedTuple

import trio

from oakfork.lab.scale.added_latency_backends import Backends, server_entries
from oakfork.lab.scale.added_latency_figures import (
    Records,
    Served,
    added_figures,
    added_over,
    answered_ok,
    client_figures,
    gateway_figures,
    part_figures,
    quantiles,
    records_by_rpc,
    sum_counts,
)
from oakfork.lab.scale.added_latency_gateways import (
    MAIL_PER_S,
    PROGRAM,
    TRACED,
    Block,
    GatewayTier,
    RpcTiming,
    run_block,
)
from oakfork.lab.scale.slopes import Measure, summary_line

GROUP = "added"
DIRECT = "direct"
THROUGH = "through"
TRACED_THROUGH = "traced through"
KINDS = (DIRECT, THROUGH, TRACED_THROUGH)
WITH_CHANGES = "with changes"
WITHOUT_CHANGES = "without changes"
SERVER_WORK_S = 0.002  # of a server for an RPC
DAY_SERVERS = 8  # on the quiet and the bad day
LIST_SERVERS = 12  # behind lists of any length
CHANGE_INTERVAL_S = 0.5  # between changes of the list
# Of the bad day:
FRAME_LOSS = 0.1  # share of frames between gateways
FRAME_DELAY_S = 0.002  # mean, of frames between gateways
SLOW_WORK_S = 0.04  # of the slow server
BREAK_SHARE = 0.1  # of the RPCs of a server that breaks their connections
NOTE = (
    "client's time of an RPC less its server's own work (came whole until answer begun), through gateways; less "
    "the median of the same straight at the servers in the same play"
)


class Sizes(NamedTuple):
    """How much is run. Times are seconds."""

    gateways: int = 3
    rate: float = 30.0  # RPCs a second a gateway
    aim_ms: float = 1000.0  # soft deadline; the deadline is twice that
    rounds: int = 5  # blocks of each kind a day
    block: float = 2.2
    stop: float = 0.5  # of one gateway in each block of the bad day
    warm: float = 1.0  # run first and not counted
    lists: tuple[int, ...] = (1, 1_000, 4_000, 41_000)
    plays: int = 3  # for each list, with changes and without
    through: float = 3.0
    straight: float = 1.0
    parts_at: tuple[int, ...] = (1, 41_000)  # lists at which the time is broken down too


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


class Stop(NamedTuple):
    """When a gateway was stopped, by perf_counter_ns."""

    target: str
    begun: int
    ended: int


def measure(report: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """Measures both days and all lists, which takes about four minutes, and seconds with `small`.

    Raises DrillProcessError where processes do not start, answer or leave.
    """
    sizes = SMALL if small else Sizes()
    begun = monotonic()
    with (
        tempfile.TemporaryDirectory(prefix="oakfork-added-") as folder,
        Backends(LIST_SERVERS, SERVER_WORK_S) as backends,
    ):
        run_facts: dict[str, Any] = {}
        for name in ("quiet", "bad"):
            run_facts[name] = _measure_day(Path(folder), name, backends, sizes, name == "bad", seed=len(run_facts) + 1)
            added = run_facts[name]["added"]
            report(f"{name} day: added {added['p50_ms']} ms median, {added['p99_ms']} ms for 99 in 100")
        measures, run_facts["by servers"] = _measure_lists(Path(folder), backends, sizes, report)
    run_facts |= {
        "python": platform.python_version(),
        "seconds": round(monotonic() - begun, 1),
        "held": _held(sizes) | {"servers": DAY_SERVERS, "soft deadline, ms": sizes.aim_ms},
    }
    return measures, run_facts


def _held(sizes: Sizes) -> dict[str, Any]:
    return {
        "gateways": sizes.gateways,
        "RPCs a second a gateway": sizes.rate,
        "work of a server, ms": SERVER_WORK_S * 1000,
        "frames a second that a gateway takes in": MAIL_PER_S,
    }


# The quiet and the bad day


def _measure_day(folder: Path, name: str, backends: Backends, sizes: Sizes, bad: bool, seed: int) -> dict[str, Any]:
    servers = backends.addresses[:DAY_SERVERS]
    backends.do("list", servers=DAY_SERVERS, among=DAY_SERVERS)
    try:
        if bad:  # a quarter slow or hanging, and one more that breaks connections
            backends.set_server(0, work_s=SLOW_WORK_S)
            backends.set_server(1, hangs=True)
            backends.set_server(2, breaks=BREAK_SHARE)
        with ExitStack() as stack:
            tiers = {
                kind: stack.enter_context(
                    GatewayTier(
                        folder,
                        name + module.rpartition(".")[2],
                        module,
                        sizes.gateways,
                        backends.discovery,
                        server_entries(DAY_SERVERS, servers),
                        sizes.aim_ms,
                        bad,
                        seed,
                    )
                )
                for kind, module in ((THROUGH, PROGRAM), (TRACED_THROUGH, TRACED))
            }
            blocks, stops = trio.run(_run_day, tiers, servers, sizes, bad, seed)
            lines = tiers[TRACED_THROUGH].leave()
    finally:
        backends.reset_servers()
    figures = _day_figures(blocks, stops, backends.served(), records_by_rpc(lines))
    asks = [duration for line in lines for duration in line.get("served", ())]
    figures[TRACED_THROUGH]["ask at its owner"] = quantiles(asks)
    return figures


async def _run_day(
    tiers: dict[str, GatewayTier], servers: list[str], sizes: Sizes, bad: bool, seed: int
) -> tuple[dict[str, list[Block]], list[Stop]]:
    """Runs the blocks of each kind in a drawn order; returns them, and when which gateway was stopped."""
    random_source = random.Random(seed)
    stops: list[Stop] = []
    blocks: dict[str, list[Block]] = {kind: [] for kind in KINDS}

    async def stop(tier: GatewayTier) -> None:
        await trio.sleep(sizes.block / 4)
        begun, ended = await tier.stop(sizes.gateways - 1, sizes.stop)
        stops.append(Stop(tier.listens[-1], begun, ended))

    for tier in tiers.values():
        await tier.ready()
    async with trio.open_nursery() as nursery:
        for relays in (tier.relays for tier in tiers.values() if tier.relays):
            nursery.start_soon(relays.run)
            for one, other in list(relays.ways):
                relays.set(one, other, both=False, loss=FRAME_LOSS, delay=FRAME_DELAY_S)
        targets = {DIRECT: servers} | {kind: tier.listens for kind, tier in tiers.items()}
        for kind in KINDS:
            await run_block(targets[kind], *_load(sizes, sizes.warm), random_source.getrandbits(32))
        order = [kind for _ in range(sizes.rounds) for kind in random_source.sample(KINDS, len(KINDS))]
        for kind in order:
            async with trio.open_nursery() as during:
                if bad and kind in tiers:
                    during.start_soon(stop, tiers[kind])
                block = await run_block(targets[kind], *_load(sizes, sizes.block), random_source.getrandbits(32))
                blocks[kind].append(block)
        nursery.cancel_scope.cancel()
    return blocks, stops


def _load(sizes: Sizes, seconds: float) -> tuple[float, float, float]:
    """RPCs a second, seconds, and the deadline in milliseconds."""
    return sizes.rate * sizes.gateways, seconds, 2 * sizes.aim_ms


def _day_figures(blocks: dict[str, list[Block]], stops: list[Stop], served: Served, records: Records) -> dict[str, Any]:
    figures: dict[str, Any] = {"parts": {}}
    at_stopped: dict[str, Any] = {}
    answered: dict[str, list[RpcTiming]] = {}
    for kind in KINDS:
        timings = [timing for block in blocks[kind] for timing in answered_ok(block)]
        held_up = {timing for timing in timings if any(_overlaps(timing, stop) for stop in stops)}
        answered[kind] = [timing for timing in timings if timing not in held_up]
        figures[kind] = client_figures(answered[kind], served, kind)
        if held_up:
            at_stopped[kind] = quantiles([timing.ended - timing.begun for timing in held_up])
    figures["parts"] = part_figures(answered[TRACED_THROUGH], records)
    figures[TRACED_THROUGH] |= gateway_figures(answered[TRACED_THROUGH], records, served)
    figures["added"] = added_figures(*(figures[kind]["beside the server"] for kind in KINDS))
    figures["at the stopped gateway"] = at_stopped  # these RPCs are in no other figure
    figures["answers"] = {kind: sum_counts(block.answers for block in blocks[kind]) for kind in KINDS}
    figures["sent late by the client"] = {kind: sum(block.behind for block in blocks[kind]) for kind in KINDS}
    return figures


def _overlaps(timing: RpcTiming, stop: Stop) -> bool:
    """Whether an RPC was in flight at a gateway while that was stopped."""
    return timing.target == stop.target and timing.begun < stop.ended and stop.begun < timing.ended


# Growth with the list of servers


def _measure_lists(
    folder: Path, backends: Backends, sizes: Sizes, report: Callable[[str], None]
) -> tuple[list[Measure], dict[str, Any]]:
    random_source = random.Random(3)
    values: dict[tuple[str, str], dict[int, list[float]]] = {}
    parts: dict[str, Any] = {}
    for size in sizes.lists:
        with _tier(folder, f"list{size}-", PROGRAM, backends, sizes, size) as tier:
            seed = random_source.getrandbits(32)
            runs = trio.run(_run_list, tier, backends, sizes, size, sizes.plays, True, seed)
        served = backends.served()
        for run in runs:
            kind = f"{size} servers, {run.mode}"
            direct = client_figures(answered_ok(run.direct), served, kind)["beside the server"]
            through = client_figures(answered_ok(run.through), served, kind)["beside the server"]
            added = added_over(direct, through)
            for which, quantile in (("median", "p50_ms"), ("99 in 100", "p99_ms")):
                values.setdefault((run.mode, which), {}).setdefault(size, []).append(added[quantile])
        if size in sizes.parts_at:
            with _tier(folder, f"traced{size}-", TRACED, backends, sizes, size) as tier:
                seed = random_source.getrandbits(32)
                runs = trio.run(_run_list, tier, backends, sizes, size, 1, False, seed)
                records = records_by_rpc(tier.leave())
            backends.served()  # discards what was served meanwhile
            parts[str(size)] = {run.mode: {"parts": part_figures(answered_ok(run.through), records)} for run in runs}
    return _list_measures(sizes, values, report), parts


def _list_measures(
    sizes: Sizes, values: dict[tuple[str, str], dict[int, list[float]]], report: Callable[[str], None]
) -> list[Measure]:
    measures = []
    for mode in (WITH_CHANGES, WITHOUT_CHANGES):
        for which in ("99 in 100", "median"):
            points = [(size, values[mode, which][size]) for size in sizes.lists]
            held = _held(sizes) | {
                "stand-in servers": LIST_SERVERS,
                "seconds between changes": CHANGE_INTERVAL_S if mode == WITH_CHANGES else None,
            }
            name = f"added by servers, {mode}: milliseconds, {which}"
            measures.append(Measure(name, "milliseconds", "servers", points, held, NOTE))
            report(summary_line(measures[-1]))
    return measures


def _tier(folder: Path, name: str, module: str, backends: Backends, sizes: Sizes, size: int) -> GatewayTier:
    """A tier that knows a list of this length, to which discovery has made no change yet."""
    backends.do("list", servers=size, among=LIST_SERVERS)
    servers = server_entries(size, backends.addresses)
    return GatewayTier(folder, name, module, sizes.gateways, backends.discovery, servers, sizes.aim_ms)


class ListRun(NamedTuple):
    """One run behind a list: with changes of the list or without, the direct calls and those through gateways."""

    mode: str
    direct: Block
    through: Block


async def _run_list(
    tier: GatewayTier, backends: Backends, sizes: Sizes, size: int, runs: int, with_direct: bool, seed: int
) -> list[ListRun]:
    """Runs with and without changes of the list, in an order that the seed draws.

    Direct calls are left out, as an empty block, unless `with_direct` is set.
    """
    random_source = random.Random(seed)
    finished: list[ListRun] = []
    servers = backends.addresses[:size]
    await tier.ready()
    await run_block(tier.listens, *_load(sizes, sizes.warm), random_source.getrandbits(32))
    modes = (WITH_CHANGES, WITHOUT_CHANGES)
    try:
        for mode in [mode for _ in range(runs) for mode in random_source.sample(modes, len(modes))]:
            backends.do("changes", every_s=CHANGE_INTERVAL_S if mode == WITH_CHANGES else 0.0)
            await trio.sleep(sizes.warm / 2)
            blocks: dict[str, Block] = {}
            for kind in random_source.sample((DIRECT, THROUGH), 2):
                if kind == THROUGH:
                    load = _load(sizes, sizes.through)
                    blocks[kind] = await run_block(tier.listens, *load, random_source.getrandbits(32))
                elif with_direct:
                    load = _load(sizes, sizes.straight)
                    blocks[kind] = await run_block(servers, *load, random_source.getrandbits(32))
                else:
                    blocks[kind] = Block([], {}, 0)
            finished.append(ListRun(mode, blocks[DIRECT], blocks[THROUGH]))
    finally:
        backends.do("changes", every_s=0.0)
    return finished
