"""Leases in the model: 3, 30 and 300 gateways, three to seven voters, and a part of the frames lost.

    python experiments/lease_model.py [PNG]

Prints means over 16 seeds with 95% confidence intervals, and plots them into the file if one is named.
"""

import sys
from concurrent.futures import ProcessPoolExecutor

import numpy
from scipy import stats

from oakfork.lab.compare import interval
from oakfork.lab.lease_model import LeaseFleetModel, Result

SEEDS = 16
SECONDS = 600
KILL_EVERY = 30 * 10_000  # tenths of a millisecond
SIZES = ((3, 3), (30, 3), (300, 3), (300, 5), (300, 7))  # gateways, voters
LOSSES = (0.0, 0.1, 0.3)  # fraction of frames

Results = dict[tuple[int, int, float], list[Result]]  # by gateways, voters and loss


def run_model(job: tuple[int, int, float, int]) -> Result:
    """Runs the model for a number of gateways, of voters, a loss and a seed."""
    return LeaseFleetModel(*job).run(SECONDS, KILL_EVERY)


def format_interval(values: list[float]) -> str:
    """Mean and confidence interval."""
    mean, low, high = interval(values)
    return f"{mean:.3f} ({low:.3f} to {high:.3f})"


def summary(gateways: int, voters: int, loss: float, results: list[Result]) -> str:
    """One line about the runs of one case."""
    waits = [wait for result in results for wait in result.waits]
    return (
        f"{gateways} gateways, {voters} voters, {loss:.0%} lost: frames a second "
        f"{format_interval([result.frames for result in results])}, "
        f"of a watcher {max(result.frames_of_a_watcher for result in results):g}, "
        f"held {format_interval([result.held for result in results])}, "
        f"overlaps {sum(result.overlaps for result in results)}, "
        f"wait after a kill p50 {numpy.quantile(waits, 0.5):.2f} s p99 {numpy.quantile(waits, 0.99):.2f} s "
        f"({len(waits)}), state {max(result.state_bytes for result in results)} bytes"
    )


def plot(results: Results, path: str) -> None:
    """Plots frames and waits over the loss, for 300 gateways."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.5))
    for voters in (3, 5, 7):
        cases = [results[300, voters, loss] for loss in LOSSES]
        frames = [[result.frames for result in case] for case in cases]
        waits = [[wait for result in case for wait in result.waits] for case in cases]
        label = f"{voters} voters"
        means = [numpy.mean(values) for values in frames]
        errors = [2 * stats.sem(values) for values in frames]
        axes[0].errorbar(LOSSES, means, errors, label=label)
        axes[1].plot(LOSSES, [numpy.quantile(values, 0.9) for values in waits], marker="o", label=label)
    labels = ("frames a second, 300 gateways", "s without a holder after a kill, p90")
    for axis, label in zip(axes, labels, strict=True):
        axis.set(xlabel="share of frames lost", ylabel=label)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    """Runs all cases, and prints and plots them."""
    results: Results = {}
    with ProcessPoolExecutor() as pool:
        for gateways, voters in SIZES:
            for loss in LOSSES:
                jobs = [(gateways, voters, loss, seed) for seed in range(SEEDS)]
                of_case = list(pool.map(run_model, jobs))
                results[gateways, voters, loss] = of_case
                print(summary(gateways, voters, loss, of_case), flush=True)
    if len(sys.argv) > 1:
        plot(results, sys.argv[1])


if __name__ == "__main__":
    main()
