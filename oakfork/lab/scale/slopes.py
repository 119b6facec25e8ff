"""Measures of a cost at several sizes, the line fitted through them, and the files that store them.

A measure varies one size and holds the others. Its slope comes with its 95% interval (Student's t over all single
values), the residual, and whether the growth bends away from a line.
"""

import json
import math
from dataclasses import asdict, dataclass, field
from itertools import pairwise
from pathlib import Path
from statistics import mean, median
from typing import Any, NamedTuple

import numpy
from scipy import stats

from oakfork.errors import MeasurementError

MIN_SIZES = 4  # of a measure
MAX_BEND = 0.05  # of the largest mean: growth that misses its line by more at any size is not linear
CONFIDENCE_QUANTILE = 0.975  # of Student's t, for a two-sided 95% interval
EXACT_RESIDUAL = 1e-9  # of the largest value: a smaller residual is rounding


class Slope(NamedTuple):
    """A line by least squares; `slope` is what one more of the size costs, in the measure's unit."""

    slope: float
    low: float  # lower end of the slope's 95% interval; the slope itself where the line is exact
    high: float  # upper end, likewise
    intercept: float
    residual: float  # standard deviation of the values around the line
    bend: float  # the largest miss of a size's mean beyond its noise, as a share of the largest mean; 0 for a line
    exponent: float  # of the size in the growth between the last two sizes, beyond the first; 1 for a line

    @property
    def linear(self) -> bool:
        """Whether the growth counts as a line."""
        return self.bend <= MAX_BEND


class Estimate(NamedTuple):
    """The cost at one size, with its interval."""

    value: float
    low: float
    high: float
    measured: bool  # at this very size; otherwise taken from the line


@dataclass(frozen=True)
class Measure:
    """Values of one cost at four sizes or more; raises MeasurementError where there are fewer."""

    name: str  # what is measured and by which size, for example "change of one server: operations"
    unit: str  # "operations", "bytes", "frames", "seconds", "references" ...
    by: str  # the size that varies
    points: list[tuple[float, list[float]]]  # size and values, in the order of the sizes
    held: dict[str, Any] = field(default_factory=dict)  # the other sizes
    note: str = ""  # what is counted and what is not

    def __post_init__(self) -> None:
        sizes = [size for size, _ in self.points]
        if len(sizes) < MIN_SIZES or sizes != sorted(set(sizes)) or not all(values for _, values in self.points):
            raise MeasurementError(
                f"measure {self.name!r}: at least {MIN_SIZES} sizes with a value each are needed, in ascending order; "
                f"got {sizes}"
            )

    def fit(self) -> Slope:
        """The line by least squares through all values."""
        sizes = numpy.array([size for size, values in self.points for _ in values], float)
        values = numpy.array([value for _, values in self.points for value in values], float)
        line = stats.linregress(sizes, values)
        residuals = values - line.intercept - line.slope * sizes
        degrees_of_freedom = len(values) - 2
        residual = math.sqrt(float(residuals @ residuals) / degrees_of_freedom)
        is_exact = residual <= EXACT_RESIDUAL * abs(values).max()
        half_width = 0.0 if is_exact else float(stats.t.ppf(CONFIDENCE_QUANTILE, degrees_of_freedom) * line.stderr)
        return Slope(
            float(line.slope),
            float(line.slope) - half_width,
            float(line.slope) + half_width,
            float(line.intercept),
            residual,
            self._bend(line),
            self._exponent(),
        )

    def _means(self) -> list[tuple[float, float]]:
        return [(size, mean(values)) for size, values in self.points]

    def _bend(self, line: Any) -> float:
        """`Slope.bend` of a fitted line."""
        means = self._means()
        largest = max(abs(value) for _, value in means) or 1.0
        misses = [
            abs(value - line.intercept - line.slope * size) - noise
            for (size, value), noise in zip(means, self._noise(), strict=True)
        ]
        return max(0.0, float(max(misses) / largest))

    def _exponent(self) -> float:
        """`Slope.exponent`; 0 where the cost does not grow."""
        means = self._means()
        first_size, first_mean = means[0]
        size, value = means[-2]
        last_size, last_mean = means[-1]
        growth = (last_mean - first_mean) / (value - first_mean) if value != first_mean else math.inf
        if not 0 < growth < math.inf:
            return 0.0
        return math.log(growth) / math.log((last_size - first_size) / (size - first_size))

    def _noise(self) -> list[float]:
        """How far each size's mean may be off by chance: 95%, by the scatter within the sizes; 0 for single values."""
        degrees_of_freedom = sum(len(values) - 1 for _, values in self.points)
        if not degrees_of_freedom:
            return [0.0] * len(self.points)
        squares = sum((value - mean(values)) ** 2 for _, values in self.points for value in values)
        scatter = math.sqrt(squares / degrees_of_freedom)
        quantile = float(stats.t.ppf(CONFIDENCE_QUANTILE, degrees_of_freedom))
        return [quantile * scatter / math.sqrt(len(values)) for _, values in self.points]

    def at(self, size: float) -> Estimate:
        """The cost at a size: the median, smallest and largest of the values there, or else what the line gives."""
        for measured_size, values in self.points:
            if measured_size == size:
                return Estimate(median(values), min(values), max(values), True)
        # The 95% interval of the line's mean at that size, which widens with the distance from the mean of the sizes.
        line = self.fit()
        sizes = numpy.array([measured_size for measured_size, values in self.points for _ in values], float)
        distance = (size - sizes.mean()) ** 2 / ((sizes - sizes.mean()) ** 2).sum()
        quantile = float(stats.t.ppf(CONFIDENCE_QUANTILE, len(sizes) - 2))
        half_width = quantile * line.residual * math.sqrt(1 / len(sizes) + distance)
        value = line.intercept + line.slope * size
        return Estimate(value, value - half_width, value + half_width, False)

    def crosses(self, budget: float) -> float:
        """The smallest size at which the cost exceeds a budget; infinite where it never does.

        Interpolated between measured sizes; beyond them taken from the fitted line.
        """
        means = self._means()
        first_size, first_mean = means[0]
        if first_mean > budget:
            return first_size
        for (size, value), (next_size, next_value) in pairwise(means):
            if value <= budget < next_value:
                return size + (budget - value) / (next_value - value) * (next_size - size)
        line = self.fit()
        if not line.low > 0:  # the slope does not differ significantly from 0
            return math.inf
        last_size, _ = means[-1]
        return max(last_size, (budget - line.intercept) / line.slope)


def store(folder: Path, group: str, measures: list[Measure], run_facts: dict[str, Any] | None = None) -> Path:
    """Writes a group's measures with their fits to FOLDER/GROUP.json; `run_facts` is what else holds of the run."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = [
        asdict(measure) | {"fit": measure.fit()._asdict() | {"linear": measure.fit().linear}} for measure in measures
    ]
    path = folder / f"{group}.json"
    document = {"group": group, "command": f"oakfork lab scale {group}", **(run_facts or {}), "measures": rows}
    path.write_text(json.dumps(document, indent=1) + "\n")
    return path


def load(folder: Path) -> dict[str, Measure]:
    """All stored measures by name; raises OSError, ValueError, KeyError or TypeError for a file of another format."""
    measures: dict[str, Measure] = {}
    for path in sorted(folder.glob("*.json")):
        for row in json.loads(path.read_bytes()).get("measures", ()):
            points = [(size, list(values)) for size, values in row["points"]]
            measures[row["name"]] = Measure(row["name"], row["unit"], row["by"], points, row["held"], row["note"])
    return measures


def summary_line(measure: Measure) -> str:
    """One line of text: the slope with its interval, the intercept and the residual."""
    fit = measure.fit()
    shape = "" if fit.linear else f"; NOT LINEAR: misses by {fit.bend:.0%}, exponent {fit.exponent:.2f} at the end"
    return (
        f"{measure.name}: {fit.slope:.4g} {measure.unit} for one more of {measure.by} "
        f"({fit.low:.4g} to {fit.high:.4g}), {fit.intercept:.4g} at none, residual {fit.residual:.3g}{shape}"
    )
