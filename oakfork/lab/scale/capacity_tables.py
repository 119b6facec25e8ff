"""Writes the tables of docs/CAPACITY.md between the page's markers.

They depend on the stored measures and on budget.py only.
"""

import re
from pathlib import Path
from typing import Callable

from oakfork.errors import MeasurementError
from oakfork.lab.scale import capacity_control, capacity_days as days, capacity_gaps, capacity_roles as roles
from oakfork.lab.scale.budget import Assumptions, Budget, ProgramBounds
from oakfork.lab.scale.capacity_figures import (
    DERIVED_DIGITS,
    GIVEN_DIGITS,
    NOT_MEASURED,
    Row,
    Store,
    format_number,
    markdown_table,
    render_rows,
)
from oakfork.lab.scale.capacity_shared import FleetFigures

MARKED = re.compile(r"^<!-- table: (?P<name>[a-z ]+) -->\n(?P<body>.*?)^<!-- end of table -->$", re.M | re.S)
MARKER = re.compile(r"^<!-- (?:table: .*|end of table) -->$", re.M)
BY_VIEW: dict[str, Callable[[FleetFigures], list[Row]]] = {
    "path": roles.request_path_rows,
    "owner": roles.owner_rows,
    "control": roles.control_rows,
    "machines": roles.control_machine_rows,
    "voters": roles.voter_rows,
    "asks": roles.ask_rows,
    "peak": days.peak_rows,
    "bursts": days.burst_rows,
    "zone": days.zone_rows,
    "rollout": days.rollout_rows,
    "bunched": days.bunched_rows,
}


def _budget(fleet: FleetFigures) -> str:
    rows = [
        [name, "; ".join(f"{format_number(value, GIVEN_DIGITS)} {what}" for what, value in values)]
        for name, values in fleet.budget.rows()
    ]
    return markdown_table(["", "the operators' table"], rows)


def _assumptions(fleet: FleetFigures) -> str:
    rows = [
        [row.name, format_number(row.value, DERIVED_DIGITS) if row.value is not None else "", row.taken, row.other]
        for row in fleet.assumptions.rows
    ]
    return markdown_table(["assumption", "figure", "taken here", "the other reading"], rows)


SLOPES_HEAD = ["measure", "one more costs", "at none", "residual", "growth", "sizes", "held", "measured again by"]


def _slopes(fleet: FleetFigures) -> str:
    """The fitted line of every measure that is stored or that a table asks for."""
    store = fleet.store
    rows = []
    for name in sorted({*store.measures, *store.wanted}, key=lambda name: (store.groups.get(name, "~"), name)):
        measure = store.measures.get(name)
        if measure is None:
            rows.append([name, *[NOT_MEASURED] * len(SLOPES_HEAD[2:]), ""])
            continue
        fit = measure.fit()
        group = store.groups[name]
        shape = "a line" if fit.linear else f"misses a line by {fit.bend:.0%}, exponent {fit.exponent:.2f}"
        slope = format_number(fit.slope)
        if fit.low != fit.high:
            slope += f" ({format_number(fit.low)} to {format_number(fit.high)})"
        sizes = ", ".join(format_number(size, GIVEN_DIGITS) for size, _ in measure.points)
        values = ", ".join(f"{key} {value}" for key, value in sorted(measure.held.items()))
        rows.append(
            [
                name,
                slope,
                format_number(fit.intercept),
                format_number(fit.residual),
                shape,
                sizes,
                values,
                f"`oakfork lab scale {group}`",
            ]
        )
    return markdown_table(SLOPES_HEAD, rows)


def _runs(fleet: FleetFigures) -> str:
    """What holds of each run: the scalars that its group has stored beside its measures."""
    rows = []
    for group, document in fleet.store.files.items():
        scalars = {
            key: value
            for key, value in document.items()
            if key not in ("group", "command", "measures") and isinstance(value, str | int | float)
        }
        facts = "; ".join(
            f"{key}: {format_number(value) if isinstance(value, float) else value}" for key, value in scalars.items()
        )
        rows.append([group, facts, f"`oakfork lab scale {group}`"])
    return markdown_table(["group", "what holds of the run", "measured again by"], rows or [["", NOT_MEASURED, ""]])


def tables(
    folder: Path,
    budget: Budget | None = None,
    assumptions: Assumptions | None = None,
    bounds: ProgramBounds | None = None,
) -> dict[str, str]:
    """All tables by name, from the files of a folder and the planned fleet.

    Raises OSError, ValueError, KeyError or TypeError where a stored file has another format.
    """
    fleet = FleetFigures(Store(folder), budget or Budget(), assumptions or Assumptions(), bounds or ProgramBounds())
    groups = fleet.store.groups
    columns = [view.name for view in fleet.budget.views]
    by_name = {"budget": _budget(fleet), "assumptions": _assumptions(fleet)}
    by_name |= {name: render_rows(columns, rows(fleet), groups) for name, rows in BY_VIEW.items()}
    by_name["apart"] = render_rows([columns[0]], days.partition_rows(fleet), groups)
    planned = capacity_control.gateways_of(fleet.budget)
    by_name["relayed"] = render_rows([planned], capacity_control.relayed_rows(fleet), groups)
    by_name["agreed"] = render_rows(capacity_control.AGREED, capacity_control.agreement_rows(fleet), groups)
    by_name["added"] = render_rows(["p50", "p99"], days.added_rows(fleet), groups)
    by_name["parts"] = days.parts_table(fleet)
    by_name["missing"] = capacity_gaps.missing_table(fleet)
    return by_name | {"slopes": _slopes(fleet), "runs": _runs(fleet)}


def names_in(page: str) -> list[str]:
    """The tables that a page has markers for.

    Raises MeasurementError where a marker has no counterpart or a table is marked twice.
    """
    names = [match["name"] for match in MARKED.finditer(page)]
    if len(MARKER.findall(page)) != 2 * len(names) or len(set(names)) != len(names):
        raise MeasurementError("the page has a table marker without its counterpart, or marks a table twice")
    return names


def fill_page(page: str, by_name: dict[str, str]) -> str:
    """The page with the tables between its markers.

    Raises MeasurementError where the page marks a table that does not exist, or lacks the markers of one.
    """
    marked = set(names_in(page))
    if marked != by_name.keys():
        differences = ", ".join(sorted(marked ^ by_name.keys()))
        raise MeasurementError(f"the markers of the page and the tables differ: {differences}")
    return MARKED.sub(
        lambda match: f"<!-- table: {match['name']} -->\n{by_name[match['name']]}\n<!-- end of table -->", page
    )
