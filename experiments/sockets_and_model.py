"""The same small world on loopback sockets and in the model: three gateways, eight servers of three cores, no fault.

    python experiments/sockets_and_model.py [PLAYS]

Prints, for each load and each way, the shares and latencies with their spread over the plays; some minutes at five.
"""

import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any

import trio

from oakfork.lab import experiment as files
from oakfork.lab.fake_services import FakeDiscovery, FakeServer, ServerWorkload, SocketTier, entry
from oakfork.lab.load_generator import LoadGenerator, LoadSettings, Report
from oakfork.lab.sweep import play

GATEWAYS, SERVERS, CORES, WORK_MS, SECONDS = 3, 8, 3, 60.0, 10.0
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


async def _sockets(rate: float, seed: int, folder: Path) -> Report:
    servers = [FakeServer(ServerWorkload(WORK_MS / 1000, CORES, 30, seed * 100 + number)) for number in range(SERVERS)]
    listed = [entry(number, server.address) for number, server in enumerate(servers)]
    discovery = FakeDiscovery(listed)
    tier = SocketTier(folder, GATEWAYS, discovery.address, listed, SETTINGS)
    async with trio.open_nursery() as nursery:
        for party in (*servers, discovery):
            nursery.start_soon(party.run)
        with tier.started():
            await tier.ready()
            load = LoadSettings(tuple(tier.listens), rate, SECONDS, 200, 200, "GET", "read", "basic", 3000, seed)
            report = await LoadGenerator(load).run()
        nursery.cancel_scope.cancel()
    return report


def on_sockets(rate: float, seed: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        report = trio.run(_sockets, rate, seed, Path(folder))
    return {
        "ok": report.answers.get("200", 0) / report.asked,
        "p50 ms": report.latency_ms["p50"],
        "p90 ms": report.latency_ms["p90"],
        "p99 ms": report.latency_ms["p99"],
    }


def in_model(rate: float, seed: int) -> dict[str, float]:
    told = {
        "name": "same",
        "policies": ["oakfork"],
        "seeds": [seed],
        "world": {
            "seconds": int(SECONDS),
            "gateways": GATEWAYS,
            "load": 0,
            "answer_grace_ms": 16,
            "methods": [{"name": "read", "work_ms": WORK_MS, "soft_ms": 1000, "deadline_ms": 3000}],
            "plans": [
                {
                    "name": "basic",
                    "customers": 200,
                    "rate": 2,
                    "burst": 5,
                    "gateways": GATEWAYS,
                    "demand": rate / 200 / 2,
                }
            ],
            "servers": {"count": SERVERS, "cores": CORES},
            "clients": {"retries": 0, "uneven": 0},
            "links": {"client_ms": 0.1, "server_ms": 0.1, "peer_ms": 0.2, "peer_loss": 0, "handshake_ms": 0.1},
        },
    }
    result = play(files.checked(told).runs[0])
    return {"ok": result["sums"]["ok"] / result["sums"]["asked"]} | {
        f"{name} ms": value for name, value in result["latency_ms"].items()
    }


def main() -> None:
    plays = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    capacity = SERVERS * CORES / (WORK_MS / 1000)
    for part in (0.2, 0.5, 0.75):
        for name, way in (("sockets", on_sockets), ("model", in_model)):
            rows = [way(part * capacity, seed) for seed in range(1, plays + 1)]
            words = [
                f"{key} {statistics.mean(row[key] for row in rows):.4g} "
                f"({min(row[key] for row in rows):.4g} to {max(row[key] for row in rows):.4g})"
                for key in rows[0]
            ]
            print(f"{part:.0%} of {capacity:.0f} RPCs a second, {name}: " + ", ".join(words), flush=True)


if __name__ == "__main__":
    main()
