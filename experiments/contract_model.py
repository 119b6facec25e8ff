"""A contract in the model: even parts, allocated parts and an owner that is asked, at 3, 30 and 300 gateways.

    python experiments/contract_model.py [PNG]

Prints means over 8 seeds with 95% confidence intervals, and plots them into the file if one is named.
"""

import sys
from concurrent.futures import ProcessPoolExecutor

import numpy
from scipy import stats

from oakfork.lab.compare import interval
from oakfork.lab.contract_model import SCHEMES, ContractModel, Result

SEEDS = 8
SECONDS = 30
RATE = 400.0  # legs per second
WORKERS = 6
SIZES = (3, 30, 300)  # gateways
KILL_AT = 112 * 10_000  # tenths of a millisecond of the model's clock, which starts at 100 s
CASES = ((0.01, 0), (0.1, 0), (0.01, KILL_AT))  # fraction of frames lost, when the owner is killed (0: never)

Results = dict[tuple[int, float, int, str], list[Result]]  # by gateways, loss, kill time and scheme


def run_model(job: tuple[str, int, float, int, int]) -> Result:
    """Runs the model for a scheme, number of gateways, loss, seed and kill time."""
    scheme, gateways, loss, seed, kill_at = job
    return ContractModel(scheme, gateways, RATE, loss, seed, kill_at).run(SECONDS)


def format_interval(values: list[float]) -> str:
    """Mean and confidence interval."""
    mean, low, high = interval(values)
    return f"{mean:.3f} ({low:.3f} to {high:.3f})"


def summary(gateways: int, loss: float, kill_at: int, scheme: str, results: list[Result]) -> str:
    """One line about the runs of one case."""
    killed = ", allotter or owner dead for 4 s" if kill_at else ""
    return (
        f"{gateways} gateways, {loss:.0%} lost{killed}, {scheme}: "
        f"got {format_interval([result.got for result in results])} of what is reserved, "
        f"seconds kept {format_interval([result.seconds_kept for result in results])}, "
        f"over {max(result.over for result in results):.3f}, "
        f"frames a second {format_interval([result.frames for result in results])}, "
        f"waited {numpy.mean([result.waited for result in results]):.2f} ms, "
        f"state {max(result.state_bytes for result in results) / gateways:.0f} bytes a gateway"
    )


def plot(results: Results, path: str) -> None:
    """Plots what the tenant got, and the frames, over the number of gateways at 1% loss."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.5))
    for scheme in SCHEMES:
        for axis, field in zip(axes, ("got", "frames"), strict=True):
            values = [[getattr(result, field) for result in results[size, 0.01, 0, scheme]] for size in SIZES]
            means = [numpy.mean(of_size) for of_size in values]
            errors = [2 * stats.sem(of_size) for of_size in values]
            axis.errorbar(SIZES, means, errors, marker="o", label=scheme)
    for axis, label in zip(axes, ("share of what is reserved that the tenant got", "frames a second"), strict=True):
        axis.set(xlabel="gateways", ylabel=label, xscale="log")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    """Runs all cases, and prints and plots them."""
    results: Results = {}
    with ProcessPoolExecutor(WORKERS) as pool:
        for gateways in SIZES:
            for loss, kill_at in CASES:
                for scheme in SCHEMES:
                    jobs = [(scheme, gateways, loss, seed, kill_at) for seed in range(SEEDS)]
                    of_case = list(pool.map(run_model, jobs))
                    results[gateways, loss, kill_at, scheme] = of_case
                    print(summary(gateways, loss, kill_at, scheme, of_case), flush=True)
    if len(sys.argv) > 1:
        plot(results, sys.argv[1])


if __name__ == "__main__":
    main()
