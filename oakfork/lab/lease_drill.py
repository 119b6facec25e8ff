"""Drills on real processes: what is played, what is judged, what is measured. Each is replayable from its seed."""

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


def plain_configuration(index: int, listen: str, gateways: int) -> dict[str, Any]:
    """A gateway that stands before nothing: for drills of what gateways do among themselves."""
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
    """What came of one drill. Times are seconds."""

    seed: int
    faults: list[str]
    acts: int
    terms: int
    refused: dict[str, int]
    done: list[str]  # the troubles as they were played
    without: list[tuple[str, float]] = field(default_factory=list)  # kind of trouble at the holder -> no act for
    frames: float = 0.0  # between gateways and the witness, a second


def lease_drill(
    seed: int,
    gateways: int = 3,
    voters: int = 3,
    length_ms: int = 400,
    seconds: float = 5.0,
    troubles: list[Trouble] | None = None,
    keep: Path | None = None,
) -> LeaseDrill:
    """Plays one schedule; the record goes to `keep`. Raises DrillProcessError where the processes don't start."""
    scale = length_ms / 1000
    drawn = troubles if troubles is not None else fault_schedule.draw(seed, gateways, seconds, scale, range(voters))

    def fleet(index: int, addresses: list[str], witness: str) -> dict[str, Any]:
        return {
            "revision": 1,
            "addresses": addresses,
            "drill": {"target": witness, "every_ms": 10},
            "leases": {
                "voters": list(range(voters)),
                "length_ms": length_ms,
                "act_ms": max(10, length_ms // 8),
                "drift_permille": 10,
            },
        }

    async def play(rig: GatewayProcesses) -> LeaseDrill:
        with trio.move_on_after(20 * scale + 10):  # the first lease: voters abstain at first
            while rig.witness.holder() is None:
                await trio.sleep(0.01)
        begun, carried = steady_clock(), rig.relays.carried
        with trio.move_on_after(3 * seconds + 30):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(rig.play, drawn)
                await trio.sleep(seconds)
        took = (steady_clock() - begun) / 10_000
        await trio.sleep(4 * scale)  # what is late has come
        acts = rig.witness.acts
        result = LeaseDrill(
            seed,
            faults(acts),
            len(acts),
            len({act.term for act in acts}),
            dict(rig.witness.refused),
            rig.log,
            frames=(rig.relays.carried - carried) / took,
        )
        for line in rig.log:
            at, kind, whom, *_ = line.split(" ")
            moment = begun + round(float(at) * 10_000)
            before = [act for act in acts if act.at <= moment]
            waited = gap(acts, moment, round(scale * 5_000))
            if before and str(before[-1].gateway) == whom and waited is not None:
                result.without.append((kind, waited / 10_000))
        return result

    with tempfile.TemporaryDirectory(prefix="oakfork-drill-") as folder:
        rig = GatewayProcesses(Path(folder), gateways, seed, partial(plain_configuration, gateways=gateways), fleet)
        result = trio.run(rig.run, play)
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        fault_schedule.write(
            keep / f"leases-{seed}.json",
            drawn,
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
