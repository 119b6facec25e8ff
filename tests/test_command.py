"""The command line: exit codes, messages, and what it imports."""

import copy
import json
import os
import subprocess
import sys

import pytest
from click.testing import CliRunner
from lab_worlds import ROOT

from oakfork import configuration_schema
from oakfork.cli import main
from oakfork.contracts import contracts_file
from oakfork.fleet import config as fleet_config
from oakfork.lab import experiment


@pytest.mark.parametrize(
    "arguments, status, expected",
    [
        (["contracts", "check", str(ROOT / "deploy/contracts.example.toml")], 0, "1 contracts"),
        (["contracts", "check", "/nowhere"], 2, "No such file"),
        (["check", str(ROOT / "deploy/example.json")], 0, "usable"),
        (["check", "/nowhere"], 2, "No such file"),
        (["lab", "run", str(ROOT / "README.md")], 2, "the file: "),
        (["lab", "run"], 2, "Missing argument"),
        (["lab", "compare", "/nowhere"], 2, "no results"),
        (["nonsense"], 2, "No such command"),
        (["lab", "load", "10.1.2.3:80"], 2, "only loopback"),
        (["lab", "load", "example.org:80"], 2, "not an address"),
        (["lab", "load", "127.0.0.1:9", "--rate", "-3"], 2, "--rate"),
        (["--version"], 0, "."),
    ],
)
def test_mistakes_give_exit_code_2_and_one_line(arguments, status, expected):
    """Guards against tracebacks, wrong exit codes and errors that name no cause."""
    done = CliRunner().invoke(main, arguments)
    assert done.exit_code == status and expected in done.output and "Traceback" not in done.output
    assert status == 0 or len(done.output.strip().splitlines()) == 1


def test_check_names_each_fault_by_its_path(tmp_path):
    """Guards against a check that stops at the first fault, or does not say where a fault is."""
    valid = json.loads((ROOT / "deploy/example.json").read_text())
    bad = copy.deepcopy(valid) | {"listen": 7, "seed": "xyz"}
    bad["settings"]["classes"][1]["aim-ms"] = "soon"
    bad["settings"]["classes"][0]["value"] = float("nan")
    bad["known"]["servers"][0]["state"] = "asleep"
    (tmp_path / "bad.json").write_text(json.dumps(bad))
    done = CliRunner().invoke(main, ["check", "--json", str(tmp_path / "bad.json")])
    faults = json.loads(done.output)["faults"]
    places = {fault.split(": ")[0] for fault in faults}
    assert (
        places
        == {"listen", "seed", "settings.classes[1].aim-ms", "settings.classes[0].value", "known.servers[0].state"}
        and done.exit_code == 2
    )
    valid["settings"]["classes"][0]["aim-ms"] = 9e9
    valid["peers"] = ["127.0.0.1:1"] * 3
    assert {fault.split(": ")[0] for fault in configuration_schema.faults_in(valid)} == {
        "settings.classes[0].aim-ms",
        "peers",
    }


def test_serve_refuses_what_the_schema_refuses_and_serves_otherwise(tmp_path):
    """Guards against serving with a faulty configuration, and against refusing a valid one."""
    document = json.loads((ROOT / "deploy/example.json").read_text()) | {"listen": "127.0.0.1:0"}
    path = tmp_path / "n0.json"
    path.write_text(json.dumps(document | {"limits": {"sockets": 3}}))
    done = CliRunner().invoke(main, ["serve", "--config", str(path)])
    assert done.exit_code == 2 and "limits.sockets: 3 is less than" in done.output
    path.write_text(json.dumps(document))
    process = subprocess.Popen(
        [sys.executable, "-m", "oakfork", "serve", "--config", str(path)], stderr=subprocess.PIPE, text=True
    )
    try:
        assert json.loads(process.stderr.readline())["event"] == "serving"
        process.terminate()
        assert process.wait(10) == 0
    finally:
        process.kill()


def test_docs_have_each_key_of_the_schemas():
    """Guards against documentation of a format that differs from its schema."""
    for page, rows in (
        ("configuration.md", configuration_schema.table()),
        ("lab.md", configuration_schema.table(experiment.SCHEMA)),
        ("fleet.md", configuration_schema.table(fleet_config.SCHEMA)),
        ("contracts.md", configuration_schema.table(contracts_file.SCHEMA)),
    ):
        text = (ROOT / "docs" / page).read_text()
        for path, kind, meaning in rows:
            assert f"| `{path}` | {kind} | {meaning} |" in text, (page, path)


def test_serving_imports_neither_the_laboratory_nor_its_libraries():
    """Guards against a gateway that needs libraries which are not installed with it, or starts slowly."""
    heavy = "numpy", "click", "jsonschema", "hdrh", "scipy", "matplotlib", "oakfork.lab", "oakfork.cli"
    code = f"import sys, oakfork.serving; print([name for name in {heavy!r} if name in sys.modules])"
    with os.popen(f'{sys.executable} -c "{code}"') as output:
        assert output.read().strip() == "[]"
