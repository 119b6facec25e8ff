"""Many lease drills on real processes, four at a time: faults, and how long nobody acted after a trouble at the holder.

python experiments/lease_drills.py schedules 200 3        # seeds 1 to 200, three gateways; records in found/drills
python experiments/lease_drills.py single 30 3            # kill, stop, cut and leave by themselves, 30 of each
"""

import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import numpy

from oakfork.lab.fault_schedule import HOLDER, Trouble
from oakfork.lab.lease_drill import LeaseDrill, lease_drill

LENGTH = 0.4  # seconds, of a lease
AT_ONCE = 4


def single(job: tuple[str, int, int]) -> LeaseDrill:
    kind, seed, gateways = job
    return lease_drill(
        seed,
        gateways,
        seconds=0.3 + 6 * LENGTH,
        length_ms=round(LENGTH * 1000),
        troubles=[Trouble(0.3 + seed % 10 * LENGTH / 30, kind, HOLDER, -1, 8 * LENGTH, 0.0)],
    )


def told(name: str, drills: list[LeaseDrill]) -> None:
    waits = numpy.array([wait for drill in drills for _, wait in drill.without]) / LENGTH
    quantiles = " ".join(f"p{q} {numpy.quantile(waits, q / 100):.2f}" for q in (10, 50, 90, 99)) if len(waits) else ""
    print(
        f"{name}: {len(drills)} drills, {sum(drill.acts for drill in drills)} acts, "
        f"{sum(len(drill.faults) for drill in drills)} faults, {len(waits)} waits over a lease's length: {quantiles}",
        flush=True,
    )
    for drill in drills:
        for fault in drill.faults:
            print(f"  seed {drill.seed}: {fault}")


def main() -> None:
    what, number, gateways = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    with ThreadPoolExecutor(AT_ONCE) as pool:
        if what == "single":
            for kind in ("kill", "stop", "cut", "leave"):
                told(kind, list(pool.map(single, [(kind, seed, gateways) for seed in range(1, number + 1)])))
        else:
            told(
                "schedules",
                list(
                    pool.map(lambda seed: lease_drill(seed, gateways, keep=Path("found/drills")), range(1, number + 1))
                ),
            )


if __name__ == "__main__":
    main()
