"""Figures with their intervals and where they come from, and how the page shows them."""

import json
import math
from dataclasses import dataclass, replace
from itertools import pairwise
from pathlib import Path
from statistics import median
from typing import Any, Callable, Iterable, NamedTuple, Sequence

from oakfork.lab.scale.slopes import MIN_SIZES, Measure, load

NOT_MEASURED = "not measured"
MEASURED, SURE, WHOLE = 3, 4, 6  # digits that count: of what is measured; derived from the table; of the table


@dataclass(frozen=True)
class Figure:
    """A value with its interval; None: a measure that it rests on has not been taken."""

    value: float | None
    low: float | None = None
    high: float | None = None
    measures: tuple[str, ...] = ()
    assumed: tuple[str, ...] = ()

    def _with(self, other: "Figure | float", act: Callable[[float, float], float]) -> "Figure":
        other = other if isinstance(other, Figure) else exact(other)
        measures = tuple(dict.fromkeys(self.measures + other.measures))
        assumed = tuple(dict.fromkeys(self.assumed + other.assumed))
        if self.value is None or other.value is None:
            return Figure(None, None, None, measures, assumed)
        corners = [act(one, two) for one in (self.low, self.high) for two in (other.low, other.high)]
        return Figure(act(self.value, other.value), min(corners), max(corners), measures, assumed)

    def __add__(self, other: "Figure | float") -> "Figure":
        return self._with(other, lambda one, two: one + two)

    def __sub__(self, other: "Figure | float") -> "Figure":
        return self._with(other, lambda one, two: one - two)

    def __mul__(self, other: "Figure | float") -> "Figure":
        return self._with(other, lambda one, two: one * two if one and two else 0.0)

    def __truediv__(self, other: "Figure | float") -> "Figure":
        return self._with(other, lambda one, two: one / two if two else math.inf)

    def __str__(self) -> str:
        if self.value is None:
            return NOT_MEASURED
        digits = MEASURED if self.measures else SURE
        value, low, high = (plain(each, digits) for each in (self.value, self.low, self.high))
        return value if low == value == high else f"{value} ({low} to {high})"


def exact(value: float, *assumed: str) -> Figure:
    """A figure of the table, or one that rests on assumptions."""
    return Figure(value, value, value, (), assumed)


def plain(value: float, digits: int = MEASURED) -> str:
    """With so many digits that count, thousands apart, no exponent above a ten-thousandth."""
    if not math.isfinite(value):
        return "none" if value > 0 else "-none"
    if value and abs(value) < 1e-4:
        return f"{value:.{digits - 1}e}"
    places = digits - 1 - math.floor(math.log10(abs(value))) if value else 0
    shown = f"{round(value, places):,.{max(0, places)}f}"
    return shown.rstrip("0").rstrip(".") if "." in shown else shown


class Store:
    """What has been measured, by name; remembers what it was asked for, so that the page can say what is missing."""

    def __init__(self, folder: Path) -> None:
        """Raises ValueError or OSError where a stored file is not one of ours."""
        self.measures: dict[str, Measure] = load(folder)
        self.files: dict[str, dict[str, Any]] = {}
        self.groups: dict[str, str] = {}
        self.wanted: list[str] = []
        for path in sorted(folder.glob("*.json")):
            told = json.loads(path.read_bytes())
            self.files[path.stem] = told
            self.groups |= {row["name"]: path.stem for row in told.get("measures", ())}

    def _get(self, name: str) -> Measure | None:
        if name not in self.wanted:
            self.wanted.append(name)
        return self.measures.get(name)

    def at(self, name: str, size: float) -> Figure:
        """The cost at a size: what was measured there, between measured sizes by a straight line, beyond them by the
        fitted one."""
        measure = self._get(name)
        if measure is None:
            return Figure(None, None, None, (name,))
        told = measure.at(size)
        for (small, few), (large, many) in pairwise(measure.points):
            if small < size < large:
                part = (size - small) / (large - small)
                ends = [(act(few), act(many)) for act in (median, min, max)]
                return Figure(*(one + part * (two - one) for one, two in ends), (name,))
        return Figure(told.value, told.low, told.high, (name,))

    def foretold(self, name: str) -> tuple[Figure, Figure]:
        """At the largest size: by the line through the smaller ones, with its 95% interval, and as measured."""
        measure = self._get(name)
        if measure is None or len(measure.points) <= MIN_SIZES:
            return Figure(None, None, None, (name,)), Figure(None, None, None, (name,))
        size, _ = measure.points[-1]
        told = replace(measure, points=measure.points[:-1]).at(size)
        return Figure(told.value, told.low, told.high, (name,)), self.at(name, size)

    def grown(self, name: str, size: float) -> Figure:
        """What it costs there beyond the smallest size measured."""
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
        """The smallest size at which the cost is over a limit; infinite where it never is."""
        measure, limit = self._get(name), limit if isinstance(limit, Figure) else exact(limit)
        names = tuple(dict.fromkeys((name, *limit.measures)))
        if measure is None or limit.value is None:
            return Figure(None, None, None, names, limit.assumed)
        size = measure.crosses(limit.value)
        return Figure(size, size, size, names, limit.assumed)

    def part(self, group: str, *path: str) -> Figure:
        """A figure of what a group has stored beside its measures."""
        told: Any = self.files.get(group)
        for key in path:
            told = told.get(key) if isinstance(told, dict) else None
        name = f"{group}: {', '.join(path)}"
        if group in self.files:
            self.groups[name] = group
        told = float(told) if isinstance(told, int | float) and not isinstance(told, bool) else None
        return Figure(told, told, told, (name,))


class Row(NamedTuple):
    """A line of a table: one figure a column, a budget where there is one, the mechanism that carries it."""

    what: str
    figures: Sequence[Figure]
    budget: float | None = None
    why: str = ""


def origin(figures: Iterable[Figure], groups: dict[str, str]) -> str:
    """The measures and assumptions that figures rest on; a measure with the group that measures it again."""
    figures = list(figures)
    names = dict.fromkeys(name for figure in figures for name in figure.measures)
    assumed = dict.fromkeys(name for figure in figures for name in figure.assumed)
    said = [f"`{name}`" + (f" ({groups[name]})" if name in groups else "") for name in names]
    said += [f"assumed: {name}" for name in assumed]
    return "; ".join(said) or ("no run" if all(figure.value is None for figure in figures) else "the operators' table")


def markdown(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(cell.replace("|", "/") for cell in line) + " |" for line in lines)


def shown(columns: Sequence[str], rows: Iterable[Row], groups: dict[str, str]) -> str:
    """A table of rows; factors stand in the order of the columns."""

    def cells(row: Row) -> list[str]:
        factors = [str(figure / row.budget) for figure in row.figures] if row.budget else []
        return [
            row.what,
            *map(str, row.figures),
            plain(row.budget, SURE) if row.budget else "",
            " / ".join(factors),
            origin(row.figures, groups),
            row.why,
        ]

    return markdown(["", *columns, "budget", "factor", "from", "carried by"], map(cells, rows))
