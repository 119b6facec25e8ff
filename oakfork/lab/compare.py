"""Compares policies by runs of the same seeds: paired differences with confidence intervals by Student's t."""

import math
from typing import Any, NamedTuple

import numpy
from scipy import stats

CONFIDENCE = 0.95

Figures = dict[str, float]  # by name
FiguresBySeed = dict[int, Figures]


class Difference(NamedTuple):
    """The difference of one figure between two policies at one point of a sweep; values are paired by seed."""

    point: tuple[tuple[str, Any], ...]
    figure: str
    base: float  # mean
    other: float  # mean
    mean: float  # of the differences
    low: float
    high: float
    pairs: int

    @property
    def told_apart(self) -> bool:
        """Whether the confidence interval excludes zero."""
        return self.pairs > 1 and (self.low > 0 or self.high < 0)


def figures(result: dict[str, Any]) -> Figures:
    """The figures of a run's result that are compared."""
    sums = result["sums"]
    utility_asked = max(1e-9, sums.get("utility asked", 0.0))
    tries = max(1.0, sums.get("tries", 0.0))
    return {
        "utility share": sums.get("utility", 0.0) / utility_asked,
        "goodput share": sums.get("ok", 0.0) / max(1.0, sums.get("asked", 0.0)),
        "beyond quota per try": sums.get("granted beyond quota", 0.0) / tries,
        "pushed back with room per try": sums.get("pushed back with room", 0.0) / tries,
        "probes per try": sums.get("probes", 0.0) / tries,
        "new connections per try": sums.get("connections", 0.0) / tries,
        "frames per try": sums.get("frames", 0.0) / tries,
        "frame bytes per try": sums.get("frame bytes", 0.0) / tries,
        "p50 ms": result["latency_ms"]["p50"],
        "p99 ms": result["latency_ms"]["p99"],
        "to first call-out p50 ms": result["to_first_call_out_ms"]["p50"],
        "rules broken": float(sum(result["broken"].values())),
    }


def interval(values: list[float]) -> tuple[float, float, float]:
    """The mean and the ends of its confidence interval; all three are the mean where there is no spread."""
    mean = float(numpy.mean(values))
    if len(values) < 2:
        return mean, mean, mean
    standard_error = float(stats.sem(values))
    if not standard_error:
        return mean, mean, mean
    low, high = stats.t.interval(CONFIDENCE, len(values) - 1, loc=mean, scale=standard_error)
    return mean, float(low), float(high)


def grouped(results: list[dict[str, Any]]) -> dict[tuple, dict[str, FiguresBySeed]]:
    """Figures by point of the sweep, policy and seed; failed runs are left out."""
    groups: dict[tuple, dict[str, FiguresBySeed]] = {}
    for row in results:
        if "failed" not in row["result"]:
            point = tuple(row["run"]["point"].items())
            by_seed = groups.setdefault(point, {}).setdefault(row["run"]["policy"], {})
            by_seed[row["run"]["seed"]] = figures(row["result"])
    return groups


def compare(
    results: list[dict[str, Any]], base: str, other: str, others: list[dict[str, Any]] | None = None
) -> list[Difference]:
    """Differences of every figure at every point where both policies have runs of the same seeds.

    `others` are the results of another sweep, such as of another revision, that `other` is taken from.
    """
    differences: list[Difference] = []
    other_groups = grouped(others) if others is not None else grouped(results)
    for point, policies in grouped(results).items():
        base_runs = policies.get(base, {})
        other_runs = other_groups.get(point, {}).get(other, {})
        seeds = sorted(base_runs.keys() & other_runs.keys())
        if not seeds:
            continue
        for figure in base_runs[seeds[0]]:
            base_values = [base_runs[seed][figure] for seed in seeds]
            other_values = [other_runs[seed][figure] for seed in seeds]
            mean, low, high = interval([b - a for a, b in zip(base_values, other_values, strict=True)])
            differences.append(
                Difference(
                    point,
                    figure,
                    float(numpy.mean(base_values)),
                    float(numpy.mean(other_values)),
                    mean,
                    low,
                    high,
                    len(seeds),
                )
            )
    return differences


def plain(value: float) -> str:
    """A number to about three significant digits, without an exponent."""
    if not value:
        return "0"
    digits = max(0, 3 - math.ceil(math.log10(abs(value))))
    return f"{value:.{digits}f}"
