"""Figures with their intervals and their origin, the store that they come from, and how the page shows them."""

import json
import math
from dataclasses import dataclass, replace
from itertools import pairwise
from pathlib import Path
from statistics import median
from typing import Any, Callable, Iterable, NamedTuple, Sequence

from oakfork.lab.scale.slopes import MIN_SIZES, Measure, load

NOT_MEASURED = "not measured"
# Significant digits
MEASURED_DIGITS = 3
DERIVED_DIGITS = 4  # of figures computed from the budget alone
GIVEN_DIGITS = 6  # of figures of the budget


@dataclass(frozen=True)
class Figure:
    """A value with its interval, and the measures and assumptions that it rests on.

    The value is None where one of the measures has not been taken. Arithmetic combines the ends of the intervals.
    """

    value: float | None
    low: float | None = None
    high: float | None = None
    measures: tuple[str, ...] = ()
    assumed: tuple[str, ...] = ()

    def _combine(self, other: "Figure | float", operation: Callable[[float, float], float]) -> "Figure":
        other = other if isinstance(other, Figure) else exact(other)
        measures = tuple(dict.fromkeys(self.measures + other.measures))
        assumed = tuple(dict.fromkeys(self.assumed + other.assumed))
        if self.value is None or other.value is None:
            return Figure(None, None, None, measures, assumed)
        corners = [operation(one, two) for one in (self.low, self.high) for two in (other.low, other.high)]
        return Figure(operation(self.value, other.value), min(corners), max(corners), measures, assumed)

    def __add__(self, other: "Figure | float") -> "Figure":
        return self._combine(other, lambda one, two: one + two)

    def __sub__(self, other: "Figure | float") -> "Figure":
        return self._combine(other, lambda one, two: one - two)

    def __mul__(self, other: "Figure | float") -> "Figure":
        return self._combine(other, lambda one, two: one * two if one and two else 0.0)

    def __truediv__(self, other: "Figure | float") -> "Figure":
        return self._combine(other, lambda one, two: one / two if two else math.inf)

    def __str__(self) -> str:
        if self.value is None:
            return NOT_MEASURED
        digits = MEASURED_DIGITS if self.measures else DERIVED_DIGITS
        value, low, high = (format_number(each, digits) for each in (self.value, self.low, self.high))
        return value if low == value == high else f"{value} ({low} to {high})"


def exact(value: float, *assumed: str) -> Figure:
    """A figure without interval: of the budget, or one that rests on assumptions."""
    return Figure(value, value, value, (), assumed)


def format_number(value: float, digits: int = MEASURED_DIGITS) -> str:
    """A number with so many significant digits and thousands separators; an exponent only below a ten-thousandth."""
    if not math.isfinite(value):
        return "none" if value > 0 else "-none"
    if value and abs(value) < 1e-4:
        return f"{value:.{digits - 1}e}"
    decimals = digits - 1 - math.floor(math.log10(abs(value))) if value else 0
    render_rows = f"{round(value, decimals):,.{max(0, decimals)}f}"
    return render_rows.rstrip("0").rstrip(".") if "." in render_rows else render_rows


class Store:
    """The stored measures by name; records which ones are asked for, so that the page can list the missing ones."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError, ValueError, KeyError or TypeError where a stored file has another format."""
        self.measures: dict[str, Measure] = load(folder)
        self.files: dict[str, dict[str, Any]] = {}
        self.groups: dict[str, str] = {}
        self.wanted: list[str] = []
        for path in sorted(folder.glob("*.json")):
            document = json.loads(path.read_bytes())
            self.files[path.stem] = document
            self.groups |= {row["name"]: path.stem for row in document.get("measures", ())}

    def _get(self, name: str) -> Measure | None:
        if name not in self.wanted:
            self.wanted.append(name)
        return self.measures.get(name)

    def at(self, name: str, size: float) -> Figure:
        """The cost at a size: as measured there, interpolated between measured sizes, or by the fitted line beyond."""
        measure = self._get(name)
        if measure is None:
            return Figure(None, None, None, (name,))
        estimate = measure.at(size)
        for (smaller, smaller_values), (larger, larger_values) in pairwise(measure.points):
            if smaller < size < larger:
                share = (size - smaller) / (larger - smaller)
                ends = [(statistic(smaller_values), statistic(larger_values)) for statistic in (median, min, max)]
                return Figure(*(low_end + share * (high_end - low_end) for low_end, high_end in ends), (name,))
        return Figure(estimate.value, estimate.low, estimate.high, (name,))

    def predicted(self, name: str) -> tuple[Figure, Figure]:
        """The cost at the largest size: by the line through the smaller ones (with a 95% interval), and as measured."""
        measure = self._get(name)
        if measure is None or len(measure.points) <= MIN_SIZES:
            return Figure(None, None, None, (name,)), Figure(None, None, None, (name,))
        size, _ = measure.points[-1]
        estimate = replace(measure, points=measure.points[:-1]).at(size)
        return Figure(estimate.value, estimate.low, estimate.high, (name,)), self.at(name, size)

    def growth(self, name: str, size: float) -> Figure:
        """The cost at a size less that at the smallest measured size."""
        measure = self._get(name)
        if measure is None:
            return Figure(None, None, None, (name,))
        values = measure.points[0][1]
        return self.at(name, size) - Figure(median(values), min(values), max(values))

    def slope(self, name: str) -> Figure:
        """What one more of the size costs, with its 95% interval."""
        measure = self._get(name)
        fit = measure.fit() if measure else None
        return Figure(fit.slope, fit.low, fit.high, (name,)) if fit else Figure(None, None, None, (name,))

    def crosses(self, name: str, limit: Figure | float) -> Figure:
        """The smallest size at which the cost exceeds a limit; infinite where it never does."""
        measure = self._get(name)
        limit = limit if isinstance(limit, Figure) else exact(limit)
        names = tuple(dict.fromkeys((name, *limit.measures)))
        if measure is None or limit.value is None:
            return Figure(None, None, None, names, limit.assumed)
        size = measure.crosses(limit.value)
        return Figure(size, size, size, names, limit.assumed)

    def stored_figure(self, group: str, *path: str) -> Figure:
        """A figure that a group has stored beside its measures."""
        value: Any = self.files.get(group)
        for key in path:
            value = value.get(key) if isinstance(value, dict) else None
        name = f"{group}: {', '.join(path)}"
        if group in self.files:
            self.groups[name] = group
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        number = float(value) if is_number else None
        return Figure(number, number, number, (name,))


class Row(NamedTuple):
    """A row of a table: one figure a column, the budget if there is one, and the mechanism behind the cost."""

    what: str
    figures: Sequence[Figure]
    budget: float | None = None
    why: str = ""


def origin(figures: Iterable[Figure], groups: dict[str, str]) -> str:
    """The measures and assumptions that figures rest on; each measure with its group."""
    figures = list(figures)
    names = dict.fromkeys(name for figure in figures for name in figure.measures)
    assumed = dict.fromkeys(name for figure in figures for name in figure.assumed)
    parts = [f"`{name}`" + (f" ({groups[name]})" if name in groups else "") for name in names]
    parts += [f"assumed: {name}" for name in assumed]
    return "; ".join(parts) or ("no run" if all(figure.value is None for figure in figures) else "the operators' table")


def markdown_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A table in Markdown."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(cell.replace("|", "/") for cell in line) + " |" for line in lines)


def render_rows(columns: Sequence[str], rows: Iterable[Row], groups: dict[str, str]) -> str:
    """A Markdown table of rows; the factors over the budget are in the order of the columns."""

    def cells(row: Row) -> list[str]:
        factors = [str(figure / row.budget) for figure in row.figures] if row.budget else []
        return [
            row.what,
            *map(str, row.figures),
            format_number(row.budget, DERIVED_DIGITS) if row.budget else "",
            " / ".join(factors),
            origin(row.figures, groups),
            row.why,
        ]

    return markdown_table(["", *columns, "budget", "factor", "from", "carried by"], map(cells, rows))
