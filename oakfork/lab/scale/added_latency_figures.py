"""Figures of RPCs for group "added": quantiles of what clients, gateways and servers recorded of them."""

from typing import Any, Iterable, Mapping

import numpy

from oakfork.errors import DrillProcessError
from oakfork.lab.scale.added_latency_backends import ServedRpc
from oakfork.lab.scale.added_latency_gateways import Block, RpcTiming
from oakfork.lab.scale.trace_records import ADMISSION, CALL_OUT, PARTS

Records = dict[str, dict[str, Any]]  # of traced gateways, by RPC
Served = dict[str, list[ServedRpc]]  # of the servers, by RPC


def answered_ok(block: Block) -> list[RpcTiming]:
    """The RPCs of a block that were answered with status 200."""
    return [timing for timing in block.timings if timing.status == "200"]


def sum_counts(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """The sum of several counts by key."""
    total: dict[str, int] = {}
    for one in counts:
        for key, number in one.items():
            total[key] = total.get(key, 0) + number
    return total


def quantiles(nanoseconds: list[int]) -> dict[str, Any]:
    """The median and the 99th percentile in milliseconds, None where there are no values, and their count."""
    values = (None, None)
    if nanoseconds:
        values = numpy.quantile(nanoseconds, (0.5, 0.99), method="higher") / 1e6
    figures: dict[str, Any] = {}
    for name, value in zip(("p50_ms", "p99_ms"), values, strict=True):
        figures[name] = None if value is None else round(float(value), 4)
    return figures | {"count": len(nanoseconds)}


def _server_time(timing: RpcTiming, served: Served) -> int | None:
    """Nanoseconds of the server whose answer came first; None where none is known."""
    for rpc in served.get(timing.rpc, ()):
        if timing.begun <= rpc.came and rpc.answered <= timing.ended:
            return rpc.answered - rpc.came
    return None


def _beside_server(timings: list[RpcTiming], served: Served) -> list[int]:
    """Nanoseconds of each RPC less its server's own work, where that is known."""
    found = []
    for timing in timings:
        server_time = _server_time(timing, served)
        if server_time is not None:
            found.append(timing.ended - timing.begun - server_time)
    return found


def client_figures(timings: list[RpcTiming], served: Served, kind: str) -> dict[str, Any]:
    """Quantiles of what the client saw, with the server's work and without; raises DrillProcessError for no RPC."""
    beside = _beside_server(timings, served)
    if not beside:
        raise DrillProcessError(f"no RPC was answered: {kind}")
    total = quantiles([timing.ended - timing.begun for timing in timings])
    return {"total": total, "beside the server": quantiles(beside)}


def added_over(direct: dict[str, Any], through: dict[str, Any]) -> dict[str, float]:
    """Milliseconds over the median of the direct calls, which is stricter than over the same quantile."""
    return {quantile: round(through[quantile] - direct["p50_ms"], 4) for quantile in ("p50_ms", "p99_ms")}


def added_figures(direct: dict[str, Any], through: dict[str, Any], traced: dict[str, Any]) -> dict[str, float]:
    """What gateways add over the median of the direct calls, over their 99th percentile, and what tracing adds."""
    return added_over(direct, through) | {
        "p99_over_p99_ms": round(through["p99_ms"] - direct["p99_ms"], 4),
        "tracing_p50_ms": round(traced["p50_ms"] - through["p50_ms"], 4),
        "tracing_p99_ms": round(traced["p99_ms"] - through["p99_ms"], 4),
    }


def records_by_rpc(lines: list[dict[str, Any]]) -> Records:
    """The records among the lines that traced gateways wrote."""
    return {line["rpc"]: line for line in lines if "rpc" in line}


def _joined(timings: list[RpcTiming], records: Records) -> list[tuple[RpcTiming, dict[str, Any]]]:
    """Each RPC with its gateway's record, where that is of the same exchange."""
    joined = []
    for timing in timings:
        record = records.get(timing.rpc)
        if not record or not record["ended"]:
            continue
        if timing.begun <= record["begun"] and record["ended"] <= timing.ended:
            joined.append((timing, record))
    return joined


def part_figures(timings: list[RpcTiming], records: Records) -> dict[str, Any]:
    """Quantiles of each part, over the RPCs that have it.

    Way in and way out are the time of the client, the loopback and the gateway's wake-up: together with the parts of an
    RPC they add up to what its client saw.
    """
    joined = _joined(timings, records)
    parts = {"way in": [record["begun"] - timing.begun for timing, record in joined]}
    for number, name in enumerate(PARTS):
        parts[name] = [record["parts"][number] for _, record in joined if record["parts"][number]]
    parts["way out"] = [timing.ended - record["ended"] for timing, record in joined]
    return {name: quantiles(values) for name, values in parts.items()}


def gateway_figures(timings: list[RpcTiming], records: Records, served: Served) -> dict[str, Any]:
    """What the gateways saw of their RPCs, and, by who owns the customer, their time without the call-out."""
    joined = _joined(timings, records)
    beside_call_out: dict[bool, list[int]] = {True: [], False: []}  # by whether the owner was asked
    server_times = []
    for timing, record in joined:
        if record["parts"][ADMISSION]:  # not shed before admission
            duration = record["ended"] - record["begun"] - record["parts"][CALL_OUT]
            beside_call_out[record["asks"] > 0].append(duration)
        server_time = _server_time(timing, served)
        if server_time is not None:
            server_times.append(server_time)
    return {
        "gateway saw": quantiles([record["ended"] - record["begun"] for _, record in joined]),
        "at the server": quantiles(server_times),
        "beside the call-out, owner here": quantiles(beside_call_out[False]),
        "beside the call-out, owner asked": quantiles(beside_call_out[True]),
        "asked without a reply": sum(record["asks"] > 0 and not record["replies"] for _, record in joined),
        "call-outs": sum(record["call_outs"] for _, record in joined),
        "new connections": sum(record["connections"] for _, record in joined),
    }
