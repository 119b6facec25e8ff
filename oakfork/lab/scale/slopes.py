"""Costs measured at several sizes, the line through them, and where they are kept.

A measure varies one size and holds the others. Its slope comes with its 95% interval (Student's t over all single
values), the residual, and whether the growth bends away from a line.
"""

import json
import math
from dataclasses import asdict, dataclass, field
from pathlib import Path
from statistics import mean, median
from typing import Any, NamedTuple

import numpy
from scipy import stats

from oakfork.errors import MeasurementError

FEWEST = 4  # sizes of a measure
BENT = 0.05  # a line that misses the mean at any size by more of the largest is no line


class Slope(NamedTuple):
    """A line by least squares: what one more of the size costs, in the measure's unit."""

    slope: float
    low: float  # 95% interval of the slope; equal to it where the line is exact
    high: float
    intercept: float
    residual: float  # standard deviation of the values around the line
    bend: float  # the largest miss of a size's mean beyond its noise, as a part of the largest mean; 0: a line
    exponent: float  # of the size in the growth between the last two sizes, beyond the first: 1 is a line

    @property
    def linear(self) -> bool:
        return self.bend <= BENT


class Estimate(NamedTuple):
    value: float
    low: float
    high: float
    measured: bool  # at this very size; otherwise by the line


@dataclass(frozen=True)
class Measure:
    """Values of one cost at four sizes or more; raises ScaleError where there are fewer."""

    name: str  # what/by, for example "change of one server: operations"
    unit: str  # "operations", "bytes", "frames", "seconds", "references" ...
    by: str  # the size that varies
    points: list[tuple[float, list[float]]]  # size, values; by size
    held: dict[str, Any] = field(default_factory=dict)  # the other sizes
    note: str = ""  # what is counted and what is not

    def __post_init__(self) -> None:
        sizes = [size for size, _ in self.points]
        if len(sizes) < FEWEST or sizes != sorted(set(sizes)) or not all(values for _, values in self.points):
            raise MeasurementError(
                f"{self.name}: at least {FEWEST} sizes with a value each are needed, the smallest first"
            )

    def fit(self) -> Slope:
        sizes = numpy.array([size for size, values in self.points for _ in values], float)
        values = numpy.array([value for _, values in self.points for value in values], float)
        line = stats.linregress(sizes, values)
        left = values - line.intercept - line.slope * sizes
        free = len(values) - 2
        residual = math.sqrt(float(left @ left) / free)
        exact = residual <= 1e-9 * abs(values).max()
        reach = 0.0 if exact else float(stats.t.ppf(0.975, free) * line.stderr)
        means = [(size, mean(told)) for size, told in self.points]
        largest = max(abs(value) for _, value in means) or 1.0
        bend = float(
            max(
                abs(value - line.intercept - line.slope * size) - noise
                for (size, value), noise in zip(means, self._noise(), strict=True)
            )
            / largest
        )
        (first, base), (size, value), (last, end) = means[0], means[-2], means[-1]
        grown = (end - base) / (value - base) if value != base else math.inf
        exponent = math.log(grown) / math.log((last - first) / (size - first)) if 0 < grown < math.inf else 0.0
        return Slope(
            float(line.slope),
            float(line.slope) - reach,
            float(line.slope) + reach,
            float(line.intercept),
            residual,
            max(0.0, bend),
            exponent,
        )

    def _noise(self) -> list[float]:
        """How far each size's mean may be off by chance: 95%, by the scatter within the sizes; 0 for single values."""
        free = sum(len(values) - 1 for _, values in self.points)
        if not free:
            return [0.0] * len(self.points)
        scatter = math.sqrt(sum((value - mean(values)) ** 2 for _, values in self.points for value in values) / free)
        return [float(stats.t.ppf(0.975, free)) * scatter / math.sqrt(len(values)) for _, values in self.points]

    def at(self, size: float) -> Estimate:
        """The cost at a size: the median of what was measured there, with its smallest and largest, or by the line."""
        for there, values in self.points:
            if there == size:
                return Estimate(median(values), min(values), max(values), True)
        # The 95% interval of the line's mean there: it turns about the middle of the sizes.
        line, sizes = self.fit(), numpy.array([there for there, values in self.points for _ in values], float)
        off = (size - sizes.mean()) ** 2 / ((sizes - sizes.mean()) ** 2).sum()
        reach = float(stats.t.ppf(0.975, len(sizes) - 2)) * line.residual * math.sqrt(1 / len(sizes) + off)
        value = line.intercept + line.slope * size
        return Estimate(value, value - reach, value + reach, False)

    def crosses(self, budget: float) -> float:
        """The smallest size at which the cost is over a budget: between measured sizes by a straight line, beyond them
        by the fitted one; infinite where it never is."""
        means = [(size, mean(values)) for size, values in self.points]
        if means[0][1] > budget:
            return means[0][0]
        for (size, value), (beyond, more) in zip(means, means[1:], strict=False):
            if value <= budget < more:
                return size + (budget - value) / (more - value) * (beyond - size)
        line = self.fit()
        # A slope that is not told from none crosses nothing.
        return max(means[-1][0], (budget - line.intercept) / line.slope) if line.low > 0 else math.inf


def store(folder: Path, group: str, measures: list[Measure], more: dict[str, Any] | None = None) -> Path:
    """Writes a group's measures with their fits, as FOLDER/GROUP.json; `more` says what else holds of the run."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = [
        asdict(measure) | {"fit": measure.fit()._asdict() | {"linear": measure.fit().linear}} for measure in measures
    ]
    path = folder / f"{group}.json"
    told = {"group": group, "command": f"oakfork lab scale {group}", **(more or {}), "measures": rows}
    path.write_text(json.dumps(told, indent=1) + "\n")
    return path


def load(folder: Path) -> dict[str, Measure]:
    """All stored measures by name; raises ValueError or OSError where a file is not one of ours."""
    found: dict[str, Measure] = {}
    for path in sorted(folder.glob("*.json")):
        for row in json.loads(path.read_bytes()).get("measures", ()):
            points = [(size, list(values)) for size, values in row["points"]]
            found[row["name"]] = Measure(row["name"], row["unit"], row["by"], points, row["held"], row["note"])
    return found


def line_of(measure: Measure) -> str:
    """One line for people."""
    fit = measure.fit()
    shape = "" if fit.linear else f"; NOT LINEAR: misses by {fit.bend:.0%}, exponent {fit.exponent:.2f} at the end"
    return (
        f"{measure.name}: {fit.slope:.4g} {measure.unit} for one more of {measure.by} "
        f"({fit.low:.4g} to {fit.high:.4g}), {fit.intercept:.4g} at none, residual {fit.residual:.3g}{shape}"
    )
