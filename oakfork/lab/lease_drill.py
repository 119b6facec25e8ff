"""Lease drills on real processes: injects a schedule of faults and checks the acts on a fenced resource.

Each drill can be replayed from its seed.
"""

import tempfile
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import trio

from oakfork.fleet.transport import steady_clock
from oakfork.lab import fault_schedule
from oakfork.lab.fault_schedule import Trouble
from oakfork.lab.fenced_resource import faults, gap
from oakfork.lab.gateway_processes import GatewayProcesses

CLOCK_TICKS = 10_000  # of steady_clock in a second
ACT_EVERY_MS = 10
DRIFT_PERMILLE = 10


def plain_configuration(index: int, listen: str, gateways: int) -> dict[str, Any]:
    """A gateway's configuration without servers, for drills of what gateways do among themselves."""
    method = {"name": "read", "aim-ms": 1000.0, "deadline-ms": 2000.0, "effect": "read_like", "value": 1.0}
    return {
        "name": f"n{index}",
        "listen": listen,
        "discovery": "127.0.0.1:9",
        "seed": f"{index + 1:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"version": 1, "full": True, "servers": []},
        "settings": {
            "balancers": gateways,
            "index": index,
            "zones": ["z"],
            "zone": 0,
            "tick-ms": 4.0,
            "discovery": "subscribe",
            "classes": [method],
            "invariants": {"ask-within-ms": 60_000},
            "tiers-of-service": [{"name": "free", "refill": 0.0, "peak-units": 0.0}],
            "limits": {"attempts-cap": 2, "cancel": True, "peers": False, "retry-after": True},
        },
    }


@dataclass(slots=True)
class LeaseDrill:
    """The result of one drill."""

    seed: int
    faults: list[str]
    acts: int
    terms: int
    refused: dict[str, int]  # acts by verdict
    done: list[str]  # the troubles as they were injected
    waits: list[tuple[str, float]] = field(default_factory=list)  # kind of trouble at the holder, seconds without acts
    frames_per_s: float = 0.0  # between gateways and the fenced resource


def lease_drill(
    seed: int,
    gateways: int = 3,
    voters: int = 3,
    length_ms: int = 400,
    seconds: float = 5.0,
    troubles: list[Trouble] | None = None,
    keep: Path | None = None,
) -> LeaseDrill:
    """Runs one drill with leases of `length_ms` under `troubles`, or under a schedule drawn from the seed.

    A record of the drill goes into the folder `keep`. Raises DrillProcessError if the processes do not start.
    """
    lease_s = length_ms / 1000
    schedule = troubles
    if schedule is None:
        schedule = fault_schedule.draw(seed, gateways, seconds, lease_s, range(voters))
    with tempfile.TemporaryDirectory(prefix="oakfork-drill-") as folder:
        configure = partial(plain_configuration, gateways=gateways)
        fleet = partial(_fleet_file, voters=voters, length_ms=length_ms)
        processes = GatewayProcesses(Path(folder), gateways, seed, configure, fleet)
        result = trio.run(processes.run, partial(_run, seed=seed, schedule=schedule, seconds=seconds, lease_s=lease_s))
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        fault_schedule.write(
            keep / f"leases-{seed}.json",
            schedule,
            seed=seed,
            gateways=gateways,
            voters=voters,
            length_ms=length_ms,
            seconds=seconds,
            played=result.done,
            faults=result.faults,
            acts=result.acts,
            refused=result.refused,
        )
    return result


def _fleet_file(index: int, addresses: list[str], resource: str, voters: int, length_ms: int) -> dict[str, Any]:
    return {
        "revision": 1,
        "addresses": addresses,
        "drill": {"target": resource, "every_ms": ACT_EVERY_MS},
        "leases": {
            "voters": list(range(voters)),
            "length_ms": length_ms,
            "act_ms": max(10, length_ms // 8),
            "drift_permille": DRIFT_PERMILLE,
        },
    }


async def _run(
    processes: GatewayProcesses, seed: int, schedule: list[Trouble], seconds: float, lease_s: float
) -> LeaseDrill:
    """Injects the schedule, and checks the acts."""
    resource, relays = processes.resource, processes.relays
    with trio.move_on_after(20 * lease_s + 10):  # for the first lease: voters abstain after their start
        while resource.holder() is None:
            await trio.sleep(0.01)
    begun, carried = steady_clock(), relays.carried
    with trio.move_on_after(3 * seconds + 30):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(processes.play, schedule)
            await trio.sleep(seconds)
    duration_s = (steady_clock() - begun) / CLOCK_TICKS
    await trio.sleep(4 * lease_s)  # for acts and frames that are late
    acts = resource.acts
    result = LeaseDrill(
        seed,
        faults(acts),
        len(acts),
        len({act.term for act in acts}),
        dict(resource.refused),
        processes.log,
        frames_per_s=(relays.carried - carried) / duration_s,
    )
    for line in processes.log:
        at, kind, gateway, *_ = line.split(" ")
        moment = begun + round(float(at) * CLOCK_TICKS)
        before = [act for act in acts if act.at <= moment]
        wait = gap(acts, moment, round(lease_s * CLOCK_TICKS / 2))
        if before and str(before[-1].gateway) == gateway and wait is not None:
            result.waits.append((kind, wait / CLOCK_TICKS))
    return result
