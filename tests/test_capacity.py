"""The tables of docs/CAPACITY.md, which come from stored measures and the budget only."""

import ast
import dataclasses
import re
from pathlib import Path

import pytest
from click.testing import CliRunner
from lab_worlds import ROOT

from oakfork.cli import main
from oakfork.decision import quotas, servers
from oakfork.errors import MeasurementError
from oakfork.interface import SECOND
from oakfork.lab.scale import (
    budget as budgets,
    capacity_control,
    capacity_figures,
    capacity_gaps,
    capacity_tables,
    lease_costs,
    server_lists,
)
from oakfork.lab.scale.budget import Assumptions, Budget, ProgramBounds
from oakfork.lab.scale.capacity_figures import Figure, Store, exact, format_number
from oakfork.lab.scale.capacity_shared import FleetFigures
from oakfork.lab.scale.slopes import Measure, store
from oakfork.sockets import discovery, http_connection

PAGE, STORED = ROOT / "docs/CAPACITY.md", ROOT / "experiments/scale"
TABLE_FILES = sorted((ROOT / "oakfork/lab/scale").glob("capacity*.py"))
# Keys of stored files and names of measures that contain a digit.
KEYS = {"p50_ms", "p99_ms", "p99_over_p99_ms", "99 in 100", "p50", "p99", "p50 ms", "p99 ms"}
PLANNED = {
    "servers": 41_000,
    "peers": 2_700,
    "gateways": 2_700,
    "customers": 59_000,
    "rate": 240,
    "servers changed": 500,
}
QUANTILES = {"p50_ms": 1.5, "p99_ms": 7.5, "count": 901}


def names():
    """Every measure that a table asks for."""
    empty = Store(Path("/nowhere"))
    fleet = FleetFigures(empty, Budget(), Assumptions(), ProgramBounds())
    for rows in (
        *capacity_tables.BY_VIEW.values(),
        capacity_tables.days.partition_rows,
        capacity_tables.days.added_rows,
        capacity_gaps.missing_mechanisms,
    ):
        rows(fleet)
    return empty.wanted


def store_generated(folder, scale=1.0, overrides=None, left_out=()):
    """Stores generated measures: each is a line, and each costs more than the one before.

    `overrides` gives values at the planned size by name, `left_out` names measures that are not stored.
    """
    measures = []
    for number, name in enumerate(names(), 1):
        by = re.search(r" by (servers changed|\w+)", name)[1]
        last = PLANNED[by]
        end = (overrides or {}).get(name, number * 1e-5 * scale)
        points = [(size, [end * (1 + size / last) / 2]) for size in (1, last / 100, last / 10, last)]
        if name not in left_out:
            measures.append(Measure(name, "units", by, points, {"others": 3}))
    store(folder, "made", measures, {"python": "3"})
    day = {
        "added": {"p50_ms": scale, "p99_ms": 9 * scale, "p99_over_p99_ms": 8 * scale},
        "parts": {"ask": {key: value * scale for key, value in QUANTILES.items()}},
    } | {
        kind: {"beside the server": {key: value * scale for key, value in QUANTILES.items()}}
        for kind in ("direct", "through", "traced through")
    }
    store(
        folder,
        "added",
        [],
        {"held": {"servers": 8}, "quiet": day, "bad": day, "by servers": {"41000": {"with changes": day}}},
    )
    return folder


def cells(table):
    """The cells of a Markdown table by row, without the head."""
    return [[cell.strip() for cell in line.strip("|").split(" | ")] for line in table.splitlines()[2:]]


def test_page_has_the_tables_of_the_stored_measures():
    """Guards against a page that was not written again after a measurement or a change of the budget."""
    text = PAGE.read_text()
    assert (
        capacity_tables.fill_page(text, capacity_tables.tables(STORED)) == text
    ), "oakfork lab scale --page docs/CAPACITY.md"


def test_check_finds_a_page_that_differs(tmp_path):
    """A number changed by hand is replaced when the page is filled, and `--check` fails for such a page."""
    by_name = capacity_tables.tables(store_generated(tmp_path))
    page = capacity_tables.fill_page(PAGE.read_text(), by_name)
    assert capacity_tables.fill_page(page, by_name) == page
    for number in re.findall(r"(?<=\| )\d[\d,.]*(?= )", page)[::40]:
        changed = page.replace(f"| {number} ", "| 77777 ", 1)
        assert changed != page
        assert capacity_tables.fill_page(changed, by_name) == page
    (tmp_path / "page.md").write_text(page.replace("| 2,700 gateways", "| 2,701 gateways", 1))
    words = ["lab", "scale", "--page", str(tmp_path / "page.md"), "--to", str(tmp_path), "--check"]
    assert CliRunner().invoke(main, words).exit_code == 1
    assert CliRunner().invoke(main, words[:-1]).exit_code == 0
    assert (tmp_path / "page.md").read_text() == page
    assert CliRunner().invoke(main, words).exit_code == 0


def test_markers_and_tables_must_match(tmp_path):
    """Every marker of the page has a table and the reverse; broken markers are errors."""
    text = PAGE.read_text()
    by_name = capacity_tables.tables(store_generated(tmp_path))
    assert set(capacity_tables.names_in(text)) == by_name.keys()
    with pytest.raises(MeasurementError, match="zone"):
        capacity_tables.fill_page(text.replace("table: zone", "table: zones"), by_name)
    with pytest.raises(MeasurementError, match="peak"):
        capacity_tables.fill_page(text, {name: table for name, table in by_name.items() if name != "peak"})
    for broken in (
        text.replace("<!-- end of table -->", "", 1),
        text.replace("<!-- table: zone -->", "", 1),
        text + "\n<!-- table: zone -->\n<!-- end of table -->\n",
    ):
        with pytest.raises(MeasurementError, match="twice"):
            capacity_tables.fill_page(broken, by_name)


def strings_and_numbers(path):
    """Literals of a file that could reach a table: no docstrings, no format specifications."""
    tree = ast.parse(path.read_text())
    beside = {
        id(part)
        for node in ast.walk(tree)
        if isinstance(node, ast.FormattedValue) and node.format_spec
        for part in ast.walk(node.format_spec)
    }
    beside |= {
        id(node.body[0].value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Module | ast.FunctionDef | ast.ClassDef) and isinstance(node.body[0], ast.Expr)
    }
    return [node.value for node in ast.walk(tree) if isinstance(node, ast.Constant) and id(node) not in beside]


def test_table_modules_contain_no_literal_figures():
    """Figures must come from measures and the budget: no literal number can reach a table."""
    for path in TABLE_FILES:
        for literal in strings_and_numbers(path):
            if isinstance(literal, str):
                trailing_zero = literal == "0" and path.stem == "capacity_figures"  # cut off decimals
                assert trailing_zero or literal in KEYS or not re.search(r"\d", literal), (path.name, literal)
            elif isinstance(literal, int | float) and path.stem != "capacity_figures":
                assert literal in (0, 1, 2), (path.name, literal)


def test_figures_follow_the_stored_measures(tmp_path):
    """Every figure that names a measure changes when all measures change, and no other one does."""
    one, two = (capacity_tables.tables(store_generated(tmp_path / str(scale), scale)) for scale in (1.0, 1.7))
    changed = 0
    for name in (*capacity_tables.BY_VIEW, "apart", "added"):
        for first, second in zip(cells(one[name]), cells(two[name]), strict=True):
            measured = "`" in first[-2]
            for before, after in zip(first[1:-4], second[1:-4], strict=True):
                same = before == after
                assert same != measured or before == "none" or before.startswith("not "), (name, first, second)
                changed += measured
    assert changed > 80
    for name in ("parts", "slopes", "missing"):
        assert one[name] != two[name], name


def test_figures_follow_the_budget_the_assumptions_and_the_program_bounds(tmp_path):
    """Guards against a field that no table uses any more, and against a value that was copied into a table."""
    folder = store_generated(tmp_path)
    fields = [field.name for field in dataclasses.fields(Budget)]
    base = capacity_tables.tables(folder)
    for field in fields:
        changed = capacity_tables.tables(
            folder, dataclasses.replace(Budget(), **{field: getattr(Budget(), field) * 0.9})
        )
        assert changed["budget"] != base["budget"], field
        if field not in ("routes", "services", "machines", "partition_s", "failed", "restarted", "tenants", "requests"):
            assert changed["missing"] != base["missing"], field
    for row in Assumptions().rows:
        if row.value is not None:
            rows = tuple(
                one._replace(value=one.value * 2) if one.name == row.name else one for one in Assumptions().rows
            )
            changed = capacity_tables.tables(folder, None, Assumptions(rows))
            assert any(changed[name] != base[name] for name in base if name != "assumptions"), row.name
    for field in dataclasses.fields(ProgramBounds):
        if field.name != "silent_after" and field.name != "wait_part":
            changed = capacity_tables.tables(
                folder,
                None,
                None,
                dataclasses.replace(ProgramBounds(), **{field.name: getattr(ProgramBounds(), field.name) * 4}),
            )
            assert changed != base, field.name


def test_program_bounds_equal_the_constants_of_the_program():
    """Figures that rest on a constant of the program must change with it."""
    bounds = ProgramBounds()
    assert quotas.SILENT_ASK_INTERVAL / SECOND == bounds.retry_s
    assert quotas.ASK_WAIT_PARTS == 1 / bounds.wait_part
    assert (quotas.REPEATED_ASKS, quotas.SILENT_AFTER) == (bounds.tries, bounds.silent_after)
    assert servers.SUBSET_SIZE == bounds.kept_servers
    quotas_text, servers_text = ((ROOT / f"oakfork/decision/{name}.py").read_text() for name in ("quotas", "servers"))
    assert "peer.next_ask_at = now + SILENT_ASK_INTERVAL\n" in quotas_text
    assert "shortest = soft_deadline // ASK_WAIT_PARTS\n" in quotas_text and "max(shortest, " in quotas_text
    assert "tries = REPEATED_ASKS if has_ceiling or " in quotas_text
    assert "peer.unanswered_asks < SILENT_AFTER or self.context.now >= peer.next_ask_at" in quotas_text
    assert "end = first + SUBSET_SIZE\n" in servers_text
    assert "SUBSET_SIZE * gateways / max(SUBSET_SIZE, len(self.ready))" in servers_text
    assert discovery.HOLD == bounds.watch_s
    assert discovery.TOLD == bounds.change_delay_s
    assert http_connection.LARGEST_BODY == bounds.max_body


def test_budget_has_the_planned_values():
    """The planned fleet and its budgets must not change by accident."""
    budget = Budget()
    fleet = (budget.gateways, budget.servers, budget.services, budget.regions, budget.zones)
    assert fleet == (2700, 41000, 2000, 7, 16)
    load = (budget.requests, budget.routes, budget.tenants, budget.added_ms, budget.changes)
    assert load == (320000, 58000, 59000, 4.9, 2000)
    control = (budget.in_force, budget.core, budget.memory, budget.traffic, budget.machines)
    assert control == (16, 0.011, 128e6, 2000, 12)
    assert (budget.failed, budget.restarted) == (63, 2500)
    assert round(budget.requests_per_gateway, 1) == 118.5
    assert budgets.sharing_gateways(budget.all_services, 16) == 3
    assert budgets.cold_server_budget(16) == 26


def test_missing_measures_show_as_not_measured(tmp_path):
    """Without any measure, or without a single one, all tables are written and say so."""
    found = capacity_tables.tables(tmp_path)
    assert all(
        "not measured" in found[name]
        for name in (
            "path",
            "owner",
            "control",
            "machines",
            "voters",
            "asks",
            "bursts",
            "rollout",
            "bunched",
            "added",
            "parts",
            "missing",
            "slopes",
            "runs",
        )
    )
    assert not re.search(r"\bnan\b", "".join(found.values()))
    for place, name in enumerate(names()[::9]):
        found = capacity_tables.tables(store_generated(tmp_path / str(place), left_out=[name]))
        assert next(row for row in cells(found["slopes"]) if row[0] == name)[1] == "not measured", name


def outcomes(folder):
    """Mechanism and outcome of each row of the table of missing mechanisms."""
    return [(row[1], row[4]) for row in cells(capacity_tables.tables(folder)["missing"])]


def test_missing_mechanisms_are_ordered_by_what_breaks_first(tmp_path):
    """Those without any way come first, then by the share of the planned size; outcomes follow the measures."""
    fleet = FleetFigures(Store(store_generated(tmp_path / "one")), Budget(), Assumptions(), ProgramBounds())
    order = [mechanism.outcome for mechanism in capacity_gaps.missing_mechanisms(fleet)]
    assert order == sorted(order, key=("no way at all", "misses", "not measured", "holds").index)
    assert order[0] == "no way at all"
    parts = [
        mechanism.planned_share
        for mechanism in capacity_gaps.missing_mechanisms(fleet)
        if mechanism.outcome == "misses"
    ]
    assert parts == sorted(parts)
    assert all(part <= 1 for part in parts)
    stall = "change of one server by servers: seconds"
    for cost, outcome in ((1.0, "misses"), (1e-9, "holds")):
        found = outcomes(store_generated(tmp_path / str(cost), overrides={stall: cost}))
        assert next(result for name, result in found if name.startswith("a change of one server at a cost")) == outcome
    assert ("many changes at once, in parts or taken in at that length", "no way at all") in outcomes(
        store_generated(tmp_path / "long", overrides={"changes by servers changed: bytes": 1e6})
    )[:3]
    assert [outcome for _, outcome in outcomes(tmp_path / "one")[:2]] == ["no way at all"] * 2  # decisions, the tier
    first = outcomes(store_generated(tmp_path / "dear", overrides={"process by servers: seconds to ready": 1e6}))[2]
    assert first == ("a start within the time of a change, while a restart is its only way", "misses")


def test_groups_measure_what_the_tables_ask_for():
    """A measure that is renamed in its group would be missing on the page."""
    wanted = names()
    for group in (server_lists, lease_costs):
        measures, _ = group.measure(lambda line: None, True)
        found = {measure.name: measure for measure in measures}
        kind = "leases " if group is lease_costs else "whole list by servers: b"
        assert all(name in found for name in wanted if name.startswith(kind))
    assert all(
        value == 0 for _, values in found["leases by gateways: frames a second of a watcher"].points for value in values
    )


def test_largest_size_is_predicted_from_smaller_sizes_only(tmp_path):
    """A prediction that used the largest size itself would always agree with it."""
    few = [(size, [10.0 * size]) for size in (1, 2, 3, 4)]
    name = capacity_control.RECEIVED_AT_REST
    other = capacity_control.SENT_AT_REST
    store(
        tmp_path,
        "control",
        [
            Measure(name, "bytes", "gateways", [*few, (10, [140.0, 150.0, 160.0])]),
            Measure(other, "bytes", "gateways", few),
        ],
    )
    predicted, measured = Store(tmp_path).predicted(name)
    assert round(predicted.value, 6) == 100
    assert (measured.value, measured.low, measured.high) == (150, 140, 160)
    rows = [row[1:4] for row in cells(capacity_tables.tables(tmp_path)["agreed"])]
    assert rows[0] == ["100", "150 (140 to 160)", "1.5"]
    assert rows[1] == ["not measured"] * 3


def test_arithmetic_of_figures_keeps_intervals_and_origin():
    """Sums, quotients and missing values carry their interval, measures and assumptions; numbers are shown plainly."""
    one = Figure(10.0, 8.0, 12.0, ("a",))
    two = Figure(2.0, 1.0, 4.0, ("b",), ("x",))
    assert (one - two) == Figure(8.0, 4.0, 11.0, ("a", "b"), ("x",))
    assert (one / two) == Figure(5.0, 2.0, 12.0, ("a", "b"), ("x",))
    assert str(one * 2) == "20 (16 to 24)"
    assert (one + Figure(None, measures=("c",))).value is None
    assert str(exact(1) / 0) == "none"
    assert capacity_figures.origin([one * two], {"a": "module"}) == "`a` (module); `b`; assumed: x"
    assert [format_number(value) for value in (0.0, 41_000, 118.518, 0.01234, 1.234e-6, 2_562.5, 1e9)] == [
        "0",
        "41,000",
        "119",
        "0.0123",
        "1.23e-06",
        "2,560",
        "1,000,000,000",
    ]


def test_costs_between_measured_sizes_are_interpolated(tmp_path):
    """Where growth bends, the fitted line would be far from the measured neighbours."""
    points = [(size, [size**2]) for size in (1, 10, 100, 1000)]
    store(tmp_path, "bent", [Measure("square", "units", "servers", points)])
    measures = Store(tmp_path)
    assert measures.at("square", 55).value == 100 + 45 / 90 * 9900
    assert measures.at("square", 100).value == 10_000
    assert measures.growth("square", 10).value == 99
    assert measures.crosses("square", 1e12).value > 1000
    assert measures.at("circle", 1).value is None
    assert measures.wanted == ["square", "circle"]
