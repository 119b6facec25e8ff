"""`oakfork lab scale`: what it measures, stores and shows, and its errors."""

import json
import subprocess
import sys
import types

import pytest
from click.testing import CliRunner
from lab_worlds import ROOT

from oakfork.cli import main
from oakfork.lab.scale import cli
from oakfork.lab.scale.slopes import Measure


@pytest.fixture
def group(monkeypatch):
    """A group whose measurement takes no time."""

    def measure(report, small):
        report("a line")
        points = [(size, [size + small]) for size in (1, 2, 3, 4)]
        return [Measure("cost by servers", "bytes", "servers", points)], {"python": "3"}

    module = types.ModuleType("fake_group")
    module.GROUP = "lists"
    module.measure = measure
    monkeypatch.setitem(sys.modules, "fake_group", module)
    monkeypatch.setattr(cli, "GROUPS", {"lists": "fake_group"})


def test_command_measures_stores_and_shows(tmp_path, group, monkeypatch):
    """Full measurements are stored by default, small ones only where a folder is named."""
    monkeypatch.chdir(tmp_path)
    done = CliRunner().invoke(main, ["lab", "scale", "lists"])
    assert done.exit_code == 0
    assert "cost by servers: 1 bytes" in done.output
    assert json.loads((tmp_path / "experiments/scale/lists.json").read_text())["group"] == "lists"
    assert "cost by servers: 1 bytes" in CliRunner().invoke(main, ["lab", "scale", "--show"]).output
    before = (tmp_path / "experiments/scale/lists.json").read_text()
    assert CliRunner().invoke(main, ["lab", "scale", "--small"]).exit_code == 0
    assert (tmp_path / "experiments/scale/lists.json").read_text() == before
    assert CliRunner().invoke(main, ["lab", "scale", "lists", "--small", "--to", "tried"]).exit_code == 0
    assert (tmp_path / "tried/lists.json").exists()
    assert "nothing is stored" in CliRunner().invoke(main, ["lab", "scale", "--show", "--to", "nowhere"]).output


@pytest.mark.parametrize(
    "words, message",
    [
        (["sizes"], "'sizes' is not one of"),
        (["--check"], "--check needs --page"),
        (["--show", "lists"], "measure nothing"),
        (["--page", "/nowhere"], "No such file"),
        (["--page", str(ROOT / "README.md")], "the markers of the page and the tables differ"),
    ],
)
def test_usage_errors_take_one_line(words, message):
    """A wrong command line or file ends with status 2 and a single line that names the error."""
    done = CliRunner().invoke(main, ["lab", "scale", *words])
    assert done.exit_code == 2
    assert message in done.output
    assert len(done.output.strip().splitlines()) == 1


def test_command_line_does_not_import_the_measurements():
    """Other commands must start without numpy, scipy and the measuring modules."""
    code = (
        "import sys, oakfork.cli; "
        "print([name for name in ('numpy', 'scipy', 'oakfork.lab.scale') if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, cwd=ROOT)
    assert done.stdout.strip() == "[]"
