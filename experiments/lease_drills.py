"""Lease drills on real processes, four at a time: faults, and how long nobody acted after a trouble at the holder.

python experiments/lease_drills.py schedules 200 3        # seeds 1 to 200, three gateways; records in found/drills
python experiments/lease_drills.py single 30 3            # kill, stop, cut and leave by themselves, 30 of each
"""

import sys
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import numpy

from oakfork.lab.fault_schedule import ALL_OTHERS, HOLDER, Trouble
from oakfork.lab.lease_drill import LeaseDrill, lease_drill

LEASE_S = 0.4
WORKERS = 4
SINGLE_KINDS = ("kill", "stop", "cut", "leave")


def run_single(job: tuple[str, int, int]) -> LeaseDrill:
    """Runs a drill with one trouble at the holder; its time varies with the seed over a third of a lease."""
    kind, seed, gateways = job
    at = 0.3 + seed % 10 * LEASE_S / 30
    return lease_drill(
        seed,
        gateways,
        seconds=0.3 + 6 * LEASE_S,
        length_ms=round(LEASE_S * 1000),
        troubles=[Trouble(at, kind, HOLDER, ALL_OTHERS, 8 * LEASE_S, 0.0)],
    )


def report(name: str, drills: list[LeaseDrill]) -> None:
    """Prints a line about some drills, and one for each fault in them."""
    waits = numpy.array([wait for drill in drills for _, wait in drill.waits]) / LEASE_S
    quantiles = ""
    if len(waits):
        quantiles = " ".join(f"p{q} {numpy.quantile(waits, q / 100):.2f}" for q in (10, 50, 90, 99))
    print(
        f"{name}: {len(drills)} drills, {sum(drill.acts for drill in drills)} acts, "
        f"{sum(len(drill.faults) for drill in drills)} faults, {len(waits)} waits over a lease's length: {quantiles}",
        flush=True,
    )
    for drill in drills:
        for fault in drill.faults:
            print(f"  seed {drill.seed}: {fault}")


def main() -> None:
    """Runs the drills that the command line asks for."""
    mode, number, gateways = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    seeds = range(1, number + 1)
    with ThreadPoolExecutor(WORKERS) as pool:
        if mode == "single":
            for kind in SINGLE_KINDS:
                report(kind, list(pool.map(run_single, [(kind, seed, gateways) for seed in seeds])))
        else:
            run_drawn = partial(lease_drill, gateways=gateways, keep=Path("found/drills"))
            report("schedules", list(pool.map(run_drawn, seeds)))


if __name__ == "__main__":
    main()
