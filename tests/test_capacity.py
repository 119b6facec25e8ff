"""docs/CAPACITY.md: its tables come from stored measures and the budget alone; and the command that measures."""

import ast
import dataclasses
import json
import re
import subprocess
import sys
import types
from pathlib import Path

import pytest
from click.testing import CliRunner
from lab_worlds import ROOT

from oakfork.cli import main
from oakfork.errors import MeasurementError
from oakfork.lab.scale import (
    budget as budgets,
    capacity_control,
    capacity_figures,
    capacity_gaps,
    capacity_tables,
    cli,
    lease_costs,
    server_lists,
)
from oakfork.lab.scale.budget import Budget, Open, Today
from oakfork.lab.scale.capacity_figures import Figure, Store, exact, plain
from oakfork.lab.scale.capacity_roles import Sums
from oakfork.lab.scale.slopes import Measure, store
from oakfork.sockets import discovery, http_connection

PAGE, STORED = ROOT / "docs/CAPACITY.md", ROOT / "experiments/scale"
TABLE_FILES = sorted((ROOT / "oakfork/lab/scale").glob("capacity*.py"))
# Keys of stored files and names of measures that hold a digit.
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
    asked = Store(Path("/nowhere"))
    sums = Sums(asked, Budget(), Open(), Today())
    for rows in (
        *capacity_tables.BY_VIEW.values(),
        capacity_tables.days.apart,
        capacity_tables.days.added,
        capacity_gaps.lacks,
    ):
        rows(sums)
    return asked.wanted


def stored(folder, scale=1.0, but=None, left_out=()):
    """A made store: each measure a line, a costlier one the later it stands; `but` names values at the planned size."""
    measures = []
    for number, name in enumerate(names(), 1):
        by = re.search(r" by (servers changed|\w+)", name)[1]
        last = PLANNED[by]
        end = (but or {}).get(name, number * 1e-5 * scale)
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
    """Rows of cells, without the head."""
    return [[cell.strip() for cell in line.strip("|").split(" | ")] for line in table.splitlines()[2:]]


def test_the_page_is_what_the_stored_measures_and_the_budget_give():
    text = PAGE.read_text()
    assert (
        capacity_tables.fill_page(text, capacity_tables.tables(STORED)) == text
    ), "oakfork lab scale --page docs/CAPACITY.md"


def test_a_page_that_differs_is_found(tmp_path):
    found = capacity_tables.tables(stored(tmp_path))
    page = capacity_tables.fill_page(PAGE.read_text(), found)
    assert capacity_tables.fill_page(page, found) == page
    for number in re.findall(r"(?<=\| )\d[\d,.]*(?= )", page)[::40]:
        changed = page.replace(f"| {number} ", "| 77777 ", 1)
        assert changed != page and capacity_tables.fill_page(changed, found) == page
    (tmp_path / "page.md").write_text(page.replace("| 2,700 gateways", "| 2,701 gateways", 1))
    words = ["lab", "scale", "--page", str(tmp_path / "page.md"), "--to", str(tmp_path), "--check"]
    assert CliRunner().invoke(main, words).exit_code == 1
    assert CliRunner().invoke(main, words[:-1]).exit_code == 0
    assert (tmp_path / "page.md").read_text() == page and CliRunner().invoke(main, words).exit_code == 0


def test_every_marker_has_a_table_and_every_table_a_marker(tmp_path):
    text, found = PAGE.read_text(), capacity_tables.tables(stored(tmp_path))
    assert set(capacity_tables.names_in(text)) == found.keys()
    with pytest.raises(MeasurementError, match="zone"):
        capacity_tables.fill_page(text.replace("table: zone", "table: zones"), found)
    with pytest.raises(MeasurementError, match="peak"):
        capacity_tables.fill_page(text, {name: table for name, table in found.items() if name != "peak"})
    for broken in (
        text.replace("<!-- end of table -->", "", 1),
        text.replace("<!-- table: zone -->", "", 1),
        text + "\n<!-- table: zone -->\n<!-- end of table -->\n",
    ):
        with pytest.raises(MeasurementError, match="twice"):
            capacity_tables.fill_page(broken, found)


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


def test_no_figure_is_typed_where_tables_are_made():
    for path in TABLE_FILES:
        for literal in strings_and_numbers(path):
            if isinstance(literal, str):
                cut = literal == "0" and path.stem == "capacity_figures"  # behind a point
                assert cut or literal in KEYS or not re.search(r"\d", literal), (path.name, literal)
            elif isinstance(literal, int | float) and path.stem != "capacity_figures":
                assert literal in (0, 1, 2), (path.name, literal)


def test_figures_follow_the_stored_measures(tmp_path):
    one, two = (capacity_tables.tables(stored(tmp_path / str(scale), scale)) for scale in (1.0, 1.7))
    followed = 0
    for name in (*capacity_tables.BY_VIEW, "apart", "added"):
        for first, second in zip(cells(one[name]), cells(two[name]), strict=True):
            measured = "`" in first[-2]
            for before, after in zip(first[1:-4], second[1:-4], strict=True):
                same = before == after
                assert same != measured or before == "none" or before.startswith("not "), (name, first, second)
                followed += measured
    assert followed > 80
    assert one["parts"] != two["parts"] and one["slopes"] != two["slopes"] and one["missing"] != two["missing"]


def test_figures_follow_the_operators_table_the_assumptions_and_the_program(tmp_path):
    folder = stored(tmp_path)
    fields = [field.name for field in dataclasses.fields(Budget)]
    base = capacity_tables.tables(folder)
    for field in fields:
        changed = capacity_tables.tables(
            folder, dataclasses.replace(Budget(), **{field: getattr(Budget(), field) * 0.9})
        )
        assert changed["budget"] != base["budget"], field
        if field not in ("routes", "services", "machines", "apart", "failed", "restarted", "tenants", "requests"):
            assert changed["missing"] != base["missing"], field
    for row in Open().rows:
        if row.value is not None:
            rows = tuple(one._replace(value=one.value * 2) if one.name == row.name else one for one in Open().rows)
            changed = capacity_tables.tables(folder, None, Open(rows))
            assert any(changed[name] != base[name] for name in base if name != "assumptions"), row.name
    for field in dataclasses.fields(Today):
        if field.name != "silent_after" and field.name != "wait_part":
            changed = capacity_tables.tables(
                folder, None, None, dataclasses.replace(Today(), **{field.name: getattr(Today(), field.name) * 4})
            )
            assert changed != base, field.name


def test_what_figures_take_from_the_program_stands_there():
    today = Today()
    quotas, servers = ((ROOT / f"oakfork/decision/{name}.py").read_text() for name in ("quotas", "servers"))
    assert f"SECOND // {1 / today.retry_s:g}, serial" in quotas and f"soft // {1 / today.wait_part:g}," in quotas
    assert f"tries = {today.tries:g} if plan.ceiling_rate" in quotas
    assert f"(peer.missed < {today.silent_after:g} or now >= peer.next_try)" in quotas
    assert (
        f"first : first + {today.row:g}]" in servers and f"{today.row:g} * total / max({today.row:g}, size)" in servers
    )
    assert (discovery.HOLD, discovery.TOLD, http_connection.LARGEST_BODY) == (today.watch_s, today.told_s, today.body)


def test_the_operators_table():
    told = Budget()
    assert (told.gateways, told.servers, told.services, told.regions, told.zones) == (2700, 41000, 2000, 7, 16)
    assert (told.requests, told.routes, told.tenants, told.added_ms, told.changes) == (320000, 58000, 59000, 4.9, 2000)
    assert (told.in_force, told.core, told.memory, told.traffic, told.machines) == (16, 0.011, 128e6, 2000, 12)
    assert (told.failed, told.restarted) == (63, 2500) and round(told.asked, 1) == 118.5
    assert budgets.sharing(told.all_services, 16) == 3 and budgets.cold_budget(16) == 26


def test_what_is_not_measured_is_said_so_and_breaks_nothing(tmp_path):
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
        found = capacity_tables.tables(stored(tmp_path / str(place), left_out=[name]))
        assert next(row for row in cells(found["slopes"]) if row[0] == name)[1] == "not measured", name


def outcomes(folder):
    return [(row[1], row[4]) for row in cells(capacity_tables.tables(folder)["missing"])]


def test_missing_mechanisms_stand_in_the_order_of_what_breaks_first(tmp_path):
    sums = Sums(Store(stored(tmp_path / "one")), Budget(), Open(), Today())
    order = [lack.outcome for lack in capacity_gaps.lacks(sums)]
    assert order == sorted(order, key=("no way at all", "misses", "not measured", "holds").index)
    assert order[0] == "no way at all"
    parts = [lack.part for lack in capacity_gaps.lacks(sums) if lack.outcome == "misses"]
    assert parts == sorted(parts) and all(part <= 1 for part in parts)
    stall = "change of one server by servers: seconds"
    for cost, outcome in ((1.0, "misses"), (1e-9, "holds")):
        found = outcomes(stored(tmp_path / str(cost), but={stall: cost}))
        assert next(said for name, said in found if name.startswith("a change of one server at a cost")) == outcome
    assert ("many changes at once, in parts or taken in at that length", "no way at all") in outcomes(
        stored(tmp_path / "long", but={"changes by servers changed: bytes": 1e6})
    )[:3]
    assert [outcome for _, outcome in outcomes(tmp_path / "one")[:2]] == ["no way at all"] * 2  # decisions, the tier
    first = outcomes(stored(tmp_path / "dear", but={"process by servers: seconds to ready": 1e6}))[2]
    assert first == ("a start within the time of a change, while a restart is its only way", "misses")


def test_the_groups_have_the_names_that_the_page_asks_for():
    wanted = names()
    for group in (server_lists, lease_costs):
        measures, _ = group.measure(lambda line: None, True)
        found = {measure.name: measure for measure in measures}
        kind = "leases " if group is lease_costs else "whole list by servers: b"
        assert all(name in found for name in wanted if name.startswith(kind))
    assert all(
        value == 0 for _, values in found["leases by gateways: frames a second of a watcher"].points for value in values
    )


def test_the_largest_size_is_foretold_by_the_smaller_ones_alone(tmp_path):
    few = [(size, [10.0 * size]) for size in (1, 2, 3, 4)]
    name, other = capacity_control.CAME, capacity_control.WENT
    store(
        tmp_path,
        "control",
        [
            Measure(name, "bytes", "gateways", [*few, (10, [140.0, 150.0, 160.0])]),
            Measure(other, "bytes", "gateways", few),
        ],
    )
    foretold, played = Store(tmp_path).foretold(name)
    assert (round(foretold.value, 6), played.value, played.low, played.high) == (100, 150, 140, 160)
    told = [row[1:4] for row in cells(capacity_tables.tables(tmp_path)["agreed"])]
    assert told[0] == ["100", "150 (140 to 160)", "1.5"] and told[1] == ["not measured"] * 3


def test_figures_keep_intervals_and_what_they_rest_on():
    one, two = Figure(10.0, 8.0, 12.0, ("a",)), Figure(2.0, 1.0, 4.0, ("b",), ("x",))
    assert (one - two) == Figure(8.0, 4.0, 11.0, ("a", "b"), ("x",))
    assert (one / two) == Figure(5.0, 2.0, 12.0, ("a", "b"), ("x",)) and str(one * 2) == "20 (16 to 24)"
    assert (one + Figure(None, measures=("c",))).value is None and str(exact(1) / 0) == "none"
    assert capacity_figures.origin([one * two], {"a": "module"}) == "`a` (module); `b`; assumed: x"
    assert [plain(value) for value in (0.0, 41_000, 118.518, 0.01234, 1.234e-6, 2_562.5, 1e9)] == [
        "0",
        "41,000",
        "119",
        "0.0123",
        "1.23e-06",
        "2,560",
        "1,000,000,000",
    ]


def test_costs_between_measured_sizes_lie_between_their_neighbours(tmp_path):
    points = [(size, [size**2]) for size in (1, 10, 100, 1000)]
    store(tmp_path, "bent", [Measure("square", "units", "servers", points)])
    told = Store(tmp_path)
    assert told.at("square", 55).value == 100 + 45 / 90 * 9900 and told.at("square", 100).value == 10_000
    assert told.grown("square", 10).value == 99 and told.crosses("square", 1e12).value > 1000
    assert told.at("circle", 1).value is None and told.wanted == ["square", "circle"]


@pytest.fixture
def group(monkeypatch):
    """A group that takes no time."""

    def measure(told, small):
        told("a line")
        points = [(size, [size + small]) for size in (1, 2, 3, 4)]
        return [Measure("cost by servers", "bytes", "servers", points)], {"python": "3"}

    made = types.ModuleType("made")
    made.GROUP, made.measure = "lists", measure
    monkeypatch.setitem(sys.modules, "made", made)
    monkeypatch.setattr(cli, "GROUPS", {"lists": "made"})


def test_the_command_measures_stores_and_shows(tmp_path, group, monkeypatch):
    monkeypatch.chdir(tmp_path)
    done = CliRunner().invoke(main, ["lab", "scale", "lists"])
    assert done.exit_code == 0 and "cost by servers: 1 bytes" in done.output
    assert json.loads((tmp_path / "experiments/scale/lists.json").read_text())["group"] == "lists"
    assert "cost by servers: 1 bytes" in CliRunner().invoke(main, ["lab", "scale", "--show"]).output
    before = (tmp_path / "experiments/scale/lists.json").read_text()
    assert CliRunner().invoke(main, ["lab", "scale", "--small"]).exit_code == 0
    assert (tmp_path / "experiments/scale/lists.json").read_text() == before
    assert CliRunner().invoke(main, ["lab", "scale", "lists", "--small", "--to", "tried"]).exit_code == 0
    assert (tmp_path / "tried/lists.json").exists()
    assert "nothing is stored" in CliRunner().invoke(main, ["lab", "scale", "--show", "--to", "nowhere"]).output


@pytest.mark.parametrize(
    "words, said",
    [
        (["sizes"], "'sizes' is not one of"),
        (["--check"], "--check needs --page"),
        (["--show", "lists"], "measure nothing"),
        (["--page", "/nowhere"], "No such file"),
        (["--page", str(ROOT / "README.md")], "marked or written, but not both"),
    ],
)
def test_mistakes_on_the_line_are_told_on_one(words, said):
    done = CliRunner().invoke(main, ["lab", "scale", *words])
    assert done.exit_code == 2 and said in done.output and len(done.output.strip().splitlines()) == 1


def test_the_command_line_imports_nothing_of_it_before_it_is_asked_for():
    code = (
        "import sys, oakfork.cli; "
        "print([name for name in ('numpy', 'scipy', 'oakfork.lab.scale') if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, cwd=ROOT)
    assert done.stdout.strip() == "[]"
