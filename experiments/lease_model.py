"""Leases in the model: 3, 30 and 300 gateways, three to seven voters, frames lost; 16 seeds, 95% intervals, a plot.

python experiments/lease_model.py [PNG]
"""

import sys
from concurrent.futures import ProcessPoolExecutor

import numpy
from scipy import stats

from oakfork.lab.compare import interval
from oakfork.lab.lease_model import LeaseFleetModel, Result

SEEDS, SECONDS, KILL_EVERY = 16, 600, 30 * 10_000


def play(job: tuple[int, int, float, int]) -> Result:
    return LeaseFleetModel(*job).run(SECONDS, KILL_EVERY)


def told(values: list[float]) -> str:
    mean, low, high = interval(values)
    return f"{mean:.3f} ({low:.3f} to {high:.3f})"


def main() -> None:
    points = [
        (gateways, voters, loss)
        for gateways, voters in ((3, 3), (30, 3), (300, 3), (300, 5), (300, 7))
        for loss in (0.0, 0.1, 0.3)
    ]
    rows = {}
    with ProcessPoolExecutor() as pool:
        for point in points:
            results = list(pool.map(play, [(*point, seed) for seed in range(SEEDS)]))
            waits = [wait for result in results for wait in result.waits]
            rows[point] = results
            print(
                f"{point[0]} gateways, {point[1]} voters, {point[2]:.0%} lost: frames a second "
                f"{told([r.frames for r in results])}, "
                f"of a watcher {max(r.frames_of_a_watcher for r in results):g}, "
                f"held {told([r.held for r in results])}, overlaps {sum(r.overlaps for r in results)}, "
                f"wait after a kill p50 {numpy.quantile(waits, 0.5):.2f} s p99 {numpy.quantile(waits, 0.99):.2f} s "
                f"({len(waits)}), state {max(r.state_bytes for r in results)} bytes",
                flush=True,
            )
    if len(sys.argv) > 1:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.5))
        for voters in (3, 5, 7):
            chosen = [(loss, rows[300, voters, loss]) for loss in (0.0, 0.1, 0.3)]
            axes[0].errorbar(
                [loss for loss, _ in chosen],
                [numpy.mean([r.frames for r in rs]) for _, rs in chosen],
                [2 * stats.sem([r.frames for r in rs]) for _, rs in chosen],
                label=f"{voters} voters",
            )
            axes[1].plot(
                [loss for loss, _ in chosen],
                [numpy.quantile([w for r in rs for w in r.waits], 0.9) for _, rs in chosen],
                marker="o",
                label=f"{voters} voters",
            )
        named = ("frames a second, 300 gateways", "s without a holder after a kill, p90")
        for axis, what in zip(axes, named, strict=True):
            axis.set(xlabel="share of frames lost", ylabel=what)
            axis.legend()
        figure.tight_layout()
        figure.savefig(sys.argv[1], dpi=110)


if __name__ == "__main__":
    main()
