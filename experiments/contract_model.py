"""A contract in the model: even parts, dealt parts and an owner asked, at 3, 30 and 300 gateways; 8 seeds, 95%
intervals.

    python experiments/contract_model.py [PNG]
"""

import sys
from concurrent.futures import ProcessPoolExecutor

import numpy
from scipy import stats

from oakfork.lab.compare import interval
from oakfork.lab.contract_model import WAYS, ContractModel, Result

SEEDS, SECONDS, RATE = 8, 30, 400.0


def play(job: tuple[str, int, float, int, int]) -> Result:
    way, gateways, loss, seed, kill_at = job
    return ContractModel(way, gateways, RATE, loss, seed, kill_at).run(SECONDS)


def told(values: list[float]) -> str:
    mean, low, high = interval(values)
    return f"{mean:.3f} ({low:.3f} to {high:.3f})"


def main() -> None:
    rows = {}
    with ProcessPoolExecutor(6) as pool:
        for gateways in (3, 30, 300):
            for loss, kill_at in ((0.01, 0), (0.1, 0), (0.01, 112 * 10_000)):
                for way in WAYS:
                    results = list(pool.map(play, [(way, gateways, loss, seed, kill_at) for seed in range(SEEDS)]))
                    rows[gateways, loss, kill_at, way] = results
                    print(
                        f"{gateways} gateways, {loss:.0%} lost{', allotter or owner dead for 4 s' * bool(kill_at)}, "
                        f"{way}: got {told([r.got for r in results])} of what is reserved, "
                        f"seconds kept {told([r.seconds_kept for r in results])}, "
                        f"over {max(r.over for r in results):.3f}, "
                        f"frames a second {told([r.frames for r in results])}, "
                        f"waited {numpy.mean([r.waited for r in results]):.2f} ms, "
                        f"state {max(r.state_bytes for r in results) / gateways:.0f} bytes a gateway",
                        flush=True,
                    )
    if len(sys.argv) > 1:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.5))
        sizes = (3, 30, 300)
        for way in WAYS:
            for axis, field in zip(axes, ("got", "frames"), strict=True):
                chosen = [[getattr(r, field) for r in rows[size, 0.01, 0, way]] for size in sizes]
                axis.errorbar(
                    sizes,
                    [numpy.mean(values) for values in chosen],
                    [2 * stats.sem(values) for values in chosen],
                    marker="o",
                    label=way,
                )
        for axis, what in zip(axes, ("share of what is reserved that the tenant got", "frames a second"), strict=True):
            axis.set(xlabel="gateways", ylabel=what, xscale="log")
            axis.legend()
        figure.tight_layout()
        figure.savefig(sys.argv[1], dpi=110)


if __name__ == "__main__":
    main()
