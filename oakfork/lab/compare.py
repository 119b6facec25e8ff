"""Compares policies by runs of the same seeds: differences with confidence intervals, from a library."""

import math
from typing import Any, NamedTuple

import numpy
from scipy import stats

CONFIDENCE = 0.95


class Difference(NamedTuple):
    """Of a figure, between two policies at one point of the sweep; paired by seed."""

    point: tuple[tuple[str, Any], ...]
    figure: str
    base: float
    other: float
    mean: float
    low: float
    high: float
    pairs: int

    @property
    def told_apart(self) -> bool:
        """Whether it can be told from noise."""
        return self.pairs > 1 and (self.low > 0 or self.high < 0)


def figures(result: dict[str, Any]) -> dict[str, float]:
    """What is compared of a run."""
    sums = result["sums"]
    asked, tries = max(1e-9, sums.get("utility asked", 0.0)), max(1.0, sums.get("tries", 0.0))
    return {
        "utility share": sums.get("utility", 0.0) / asked,
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
    """Mean, and the ends of its confidence interval by Student's t."""
    mean = float(numpy.mean(values))
    if len(values) < 2 or not (spread := float(stats.sem(values))):
        return mean, mean, mean
    low, high = stats.t.interval(CONFIDENCE, len(values) - 1, loc=mean, scale=spread)
    return mean, float(low), float(high)


def grouped(results: list[dict[str, Any]]) -> dict[tuple, dict[str, dict[int, dict[str, float]]]]:
    """By point of the sweep, policy and seed; failed runs are left out."""
    groups: dict[tuple, dict[str, dict[int, dict[str, float]]]] = {}
    for row in results:
        if "failed" not in row["result"]:
            point = tuple(row["run"]["point"].items())
            of_policy = groups.setdefault(point, {}).setdefault(row["run"]["policy"], {})
            of_policy[row["run"]["seed"]] = figures(row["result"])
    return groups


def compare(
    results: list[dict[str, Any]], base: str, other: str, others: list[dict[str, Any]] | None = None
) -> list[Difference]:
    """`others`: results of another sweep of the same seeds, such as of other code, to take `other` from."""
    found = []
    second = grouped(others) if others is not None else grouped(results)
    for point, policies in grouped(results).items():
        one, two = policies.get(base, {}), second.get(point, {}).get(other, {})
        seeds = sorted(one.keys() & two.keys())
        if not seeds:
            continue
        for figure in one[seeds[0]]:
            mean, low, high = interval([two[seed][figure] - one[seed][figure] for seed in seeds])
            found.append(
                Difference(
                    point,
                    figure,
                    float(numpy.mean([one[seed][figure] for seed in seeds])),
                    float(numpy.mean([two[seed][figure] for seed in seeds])),
                    mean,
                    low,
                    high,
                    len(seeds),
                )
            )
    return found


def plain(value: float) -> str:
    return "0" if not value else f"{value:.{max(0, 3 - math.ceil(math.log10(abs(value))))}f}"
