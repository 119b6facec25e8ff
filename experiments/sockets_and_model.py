"""The same small world on loopback sockets and in the model: three gateways, eight servers of three cores, no fault.

    python experiments/sockets_and_model.py [REPETITIONS]

Prints, for each load, the shares and latencies of both, with their range over the repetitions. Five repetitions, the
default, take some minutes.
"""

import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any

import trio

from oakfork.lab import experiment
from oakfork.lab.fake_services import FakeDiscovery, FakeServer, ServerWorkload, SocketTier, entry
from oakfork.lab.load_generator import LoadGenerator, LoadSettings, Report
from oakfork.lab.sweep import play

GATEWAYS = 3
SERVERS = 8
CORES = 3  # of each server
WORK_MS = 60.0  # mean work of an RPC
CUSTOMERS = 200
DEADLINE_MS = 3000
SECONDS = 10.0
LOADS = (0.2, 0.5, 0.75)  # of the servers' capacity
SETTINGS: dict[str, Any] = {
    "zones": ["z"],
    "zone": 0,
    "tick-ms": 1.0,
    "discovery": "automatic",
    "classes": [{"name": "read", "aim-ms": 1000.0, "deadline-ms": 3000.0, "effect": "read_like", "value": 1.0}],
    "tiers-of-service": [{"name": "basic", "refill": 2.0, "peak-units": 5.0, "over-worth": 0.0, "beyond-costs": 1.0}],
    "limits": {
        "attempts-cap": 4,
        "cancel": True,
        "parallel-tries": True,
        "peers": True,
        "probing": True,
        "retry-after": True,
        "conn-idle-ms": 15000.0,
        "connect-timeout-ms": 250.0,
    },
    "specifics": {"mail-per-s": 100.0, "units-top": 1},
    "invariants": {"stop-sending-within-ms": 500.0},
    "stats": {"how": "off", "names": []},
}


async def _run_on_sockets(rate: float, seed: int, folder: Path) -> Report:
    servers = [FakeServer(ServerWorkload(WORK_MS / 1000, CORES, 30, seed * 100 + number)) for number in range(SERVERS)]
    rows = [entry(number, server.address) for number, server in enumerate(servers)]
    discovery = FakeDiscovery(rows)
    tier = SocketTier(folder, GATEWAYS, discovery.address, rows, SETTINGS)
    async with trio.open_nursery() as nursery:
        for service in (*servers, discovery):
            nursery.start_soon(service.run)
        with tier.started():
            await tier.ready()
            load = LoadSettings(
                gateways=tuple(tier.listens),
                rate=rate,
                seconds=SECONDS,
                connections=200,
                customers=CUSTOMERS,
                method="GET",
                lane="read",
                tier="basic",
                deadline_ms=DEADLINE_MS,
                seed=seed,
            )
            report = await LoadGenerator(load).run()
        nursery.cancel_scope.cancel()
    return report


def on_sockets(rate: float, seed: int) -> dict[str, float]:
    """Figures of a run with real gateways, at a rate in RPCs per second."""
    with tempfile.TemporaryDirectory() as folder:
        report = trio.run(_run_on_sockets, rate, seed, Path(folder))
    return {
        "ok": report.answers.get("200", 0) / report.asked,
        "p50 ms": report.latency_ms["p50"],
        "p90 ms": report.latency_ms["p90"],
        "p99 ms": report.latency_ms["p99"],
    }


def in_model(rate: float, seed: int) -> dict[str, float]:
    """The same figures of a run of the model."""
    plan_rate = 2  # units per second
    plan = {
        "name": "basic",
        "customers": CUSTOMERS,
        "rate": plan_rate,
        "burst": 5,
        "gateways": GATEWAYS,
        "demand": rate / CUSTOMERS / plan_rate,
    }
    document = {
        "name": "same",
        "policies": ["oakfork"],
        "seeds": [seed],
        "world": {
            "seconds": int(SECONDS),
            "gateways": GATEWAYS,
            "load": 0,
            "answer_grace_ms": 16,
            "methods": [{"name": "read", "work_ms": WORK_MS, "soft_ms": 1000, "deadline_ms": DEADLINE_MS}],
            "plans": [plan],
            "servers": {"count": SERVERS, "cores": CORES},
            "clients": {"retries": 0, "uneven": 0},
            "links": {"client_ms": 0.1, "server_ms": 0.1, "peer_ms": 0.2, "peer_loss": 0, "handshake_ms": 0.1},
        },
    }
    result = play(experiment.checked(document).runs[0])
    latencies = {f"{name} ms": value for name, value in result["latency_ms"].items()}
    return {"ok": result["sums"]["ok"] / result["sums"]["asked"]} | latencies


def format_range(values: list[float]) -> str:
    """Mean and range."""
    return f"{statistics.mean(values):.4g} ({min(values):.4g} to {max(values):.4g})"


def main() -> None:
    """Runs all loads both ways, and prints a line for each."""
    repetitions = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    capacity = SERVERS * CORES / (WORK_MS / 1000)  # RPCs per second
    for load in LOADS:
        for name, run in (("sockets", on_sockets), ("model", in_model)):
            results = [run(load * capacity, seed) for seed in range(1, repetitions + 1)]
            figures = [f"{key} {format_range([result[key] for result in results])}" for key in results[0]]
            print(f"{load:.0%} of {capacity:.0f} RPCs a second, {name}: " + ", ".join(figures), flush=True)


if __name__ == "__main__":
    main()
