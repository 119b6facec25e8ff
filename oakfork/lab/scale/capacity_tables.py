"""The tables of docs/CAPACITY.md: a pure function of the stored measures and of budget.py, between the page's
markers."""

import re
from pathlib import Path
from typing import Callable

from oakfork.errors import MeasurementError
from oakfork.lab.scale import capacity_control, capacity_days as days, capacity_gaps, capacity_roles as roles
from oakfork.lab.scale.budget import Budget, Open, Today
from oakfork.lab.scale.capacity_figures import NOT_MEASURED, SURE, WHOLE, Row, Store, markdown, plain, shown
from oakfork.lab.scale.capacity_roles import Sums

MARKED = re.compile(r"^<!-- table: (?P<name>[a-z ]+) -->\n(?P<body>.*?)^<!-- end of table -->$", re.M | re.S)
MARKER = re.compile(r"^<!-- (?:table: .*|end of table) -->$", re.M)
BY_VIEW: dict[str, Callable[[Sums], list[Row]]] = {
    "path": roles.path,
    "owner": roles.owner,
    "control": roles.control,
    "machines": roles.machines,
    "voters": roles.voters,
    "asks": roles.asks,
    "peak": days.peak,
    "bursts": days.bursts,
    "zone": days.zone,
    "rollout": days.rollout,
    "bunched": days.bunched,
}


def _budget(sums: Sums) -> str:
    rows = [
        [name, "; ".join(f"{plain(value, WHOLE)} {what}" for what, value in told)] for name, told in sums.budget.rows()
    ]
    return markdown(["", "the operators' table"], rows)


def _assumptions(sums: Sums) -> str:
    rows = [
        [row.name, plain(row.value, SURE) if row.value is not None else "", row.taken, row.other]
        for row in sums.open.rows
    ]
    return markdown(["assumption", "figure", "taken here", "the other reading"], rows)


def _slopes(sums: Sums) -> str:
    """Every measure that is stored or that a table asks for."""
    store, rows = sums.store, []
    for name in sorted({*store.measures, *store.wanted}, key=lambda name: (store.groups.get(name, "~"), name)):
        measure = store.measures.get(name)
        if measure is None:
            rows.append([name, *[NOT_MEASURED] * len(HEAD[2:]), ""])
            continue
        fit, group = measure.fit(), store.groups[name]
        shape = "a line" if fit.linear else f"misses a line by {fit.bend:.0%}, exponent {fit.exponent:.2f}"
        slope = plain(fit.slope) + ("" if fit.low == fit.high else f" ({plain(fit.low)} to {plain(fit.high)})")
        sizes = ", ".join(plain(size, WHOLE) for size, _ in measure.points)
        values = ", ".join(f"{key} {value}" for key, value in sorted(measure.held.items()))
        rows.append(
            [
                name,
                slope,
                plain(fit.intercept),
                plain(fit.residual),
                shape,
                sizes,
                values,
                f"`oakfork lab scale {group}`",
            ]
        )
    return markdown(HEAD, rows)


HEAD = ["measure", "one more costs", "at none", "residual", "growth", "sizes", "held", "measured again by"]


def _runs(sums: Sums) -> str:
    """What holds of each run: what its group has stored beside its measures."""
    rows = []
    for group, told in sums.store.files.items():
        scalars = {
            key: value
            for key, value in told.items()
            if key not in ("group", "command", "measures") and isinstance(value, str | int | float)
        }
        said = "; ".join(
            f"{key}: {plain(value) if isinstance(value, float) else value}" for key, value in scalars.items()
        )
        rows.append([group, said, f"`oakfork lab scale {group}`"])
    return markdown(["group", "what holds of the run", "measured again by"], rows or [["", NOT_MEASURED, ""]])


def tables(
    folder: Path, budget: Budget | None = None, unknown: Open | None = None, today: Today | None = None
) -> dict[str, str]:
    """All tables by name; raises ValueError or OSError where a stored file is not one of ours."""
    sums = Sums(Store(folder), budget or Budget(), unknown or Open(), today or Today())
    groups, columns = sums.store.groups, [view.name for view in sums.budget.views]
    found = {"budget": _budget(sums), "assumptions": _assumptions(sums)}
    found |= {name: shown(columns, rows(sums), groups) for name, rows in BY_VIEW.items()}
    found["apart"] = shown([columns[0]], days.apart(sums), groups)
    found["relayed"] = shown([capacity_control.gateways_of(sums.budget)], capacity_control.relayed(sums), groups)
    found["agreed"] = shown(capacity_control.AGREED, capacity_control.agreed(sums), groups)
    found["added"] = shown(["p50", "p99"], days.added(sums), groups)
    found["parts"] = days.parts(sums)
    found["missing"] = capacity_gaps.missing(sums)
    return found | {"slopes": _slopes(sums), "runs": _runs(sums)}


def names_in(page: str) -> list[str]:
    """The tables that a page marks; raises ScaleError where a marker has no other end, or a name stands twice."""
    found = [match["name"] for match in MARKED.finditer(page)]
    if len(MARKER.findall(page)) != 2 * len(found) or len(set(found)) != len(found):
        raise MeasurementError("a marker without its other end, or a table marked twice")
    return found


def fill_page(page: str, found: dict[str, str]) -> str:
    """The page with the tables between its markers; raises ScaleError where either has one that the other has not."""
    marked = set(names_in(page))
    if marked != found.keys():
        raise MeasurementError(f"marked or written, but not both: {', '.join(sorted(marked ^ found.keys()))}")
    return MARKED.sub(
        lambda match: f"<!-- table: {match['name']} -->\n{found[match['name']]}\n<!-- end of table -->", page
    )
