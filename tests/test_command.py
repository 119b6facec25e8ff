"""The command line."""

import copy
import json
import os
import subprocess
import sys

import pytest
from click.testing import CliRunner
from lab_worlds import ROOT

from oakfork import configuration_schema as configuration_format
from oakfork.cli import main
from oakfork.contracts import contracts_file
from oakfork.fleet import config as fleetfile
from oakfork.lab import experiment as files


@pytest.mark.parametrize(
    "words, status, said",
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
def test_exit_codes_and_errors_on_one_line(words, status, said):
    done = CliRunner().invoke(main, words)
    assert done.exit_code == status and said in done.output and "Traceback" not in done.output
    assert status == 0 or len(done.output.strip().splitlines()) == 1


def test_check_names_each_fault_by_its_path(tmp_path):
    good = json.loads((ROOT / "deploy/example.json").read_text())
    bad = copy.deepcopy(good) | {"listen": 7, "seed": "xyz"}
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
    good["settings"]["classes"][0]["aim-ms"], good["peers"] = 9e9, ["127.0.0.1:1"] * 3
    assert {fault.split(": ")[0] for fault in configuration_format.faults_in(good)} == {
        "settings.classes[0].aim-ms",
        "peers",
    }


def test_serve_refuses_what_the_schema_refuses_and_serves_the_rest(tmp_path):
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


def test_docs_have_the_formats_as_the_checks_know_them():
    for page, rows in (
        ("configuration.md", configuration_format.table()),
        ("lab.md", configuration_format.table(files.SCHEMA)),
        ("fleet.md", configuration_format.table(fleetfile.SCHEMA)),
        ("contracts.md", configuration_format.table(contracts_file.SCHEMA)),
    ):
        text = (ROOT / "docs" / page).read_text()
        for path, kind, meaning in rows:
            assert f"| `{path}` | {kind} | {meaning} |" in text, (page, path)


def test_serving_imports_nothing_of_the_laboratory():
    heavy = "numpy", "click", "jsonschema", "hdrh", "scipy", "matplotlib", "oakfork.lab", "oakfork.cli"
    code = f"import sys, oakfork.serving; print([name for name in {heavy!r} if name in sys.modules])"
    with os.popen(f'{sys.executable} -c "{code}"') as said:
        assert said.read().strip() == "[]"
