"""What `run` loads: a process is ready within seconds on part of a core. No clock: counts and names only."""

import json
import subprocess
import sys

from lab_worlds import ROOT

LATER = {
    "click",
    "jsonschema",
    "msgspec",
    "numpy",
    "scipy",
    "matplotlib",
    "hdrh",
    "hypothesis",
    "pytest",
    "referencing",
    "rpds",
    "tomllib",
    "multiprocessing",
    "http",
    "email",
    "urllib3",
}
OURS_LATER = (
    "oakfork.lab",
    "oakfork.fleet",
    "oakfork.leases",
    "oakfork.contracts",
    "oakfork.cli",
    "oakfork.configuration_schema",
    "oakfork.simulator_adapter",
)
MOST = 340  # 327 today, with the interpreter's own; each some tenths of a millisecond


def loaded(statement):
    code = f"import sys\n{statement}\nimport json\nprint(json.dumps(sorted(sys.modules)))"
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    return json.loads(run.stdout.splitlines()[-1])


def test_run_loads_what_it_needs_and_no_more():
    modules = loaded("import oakfork.serving")
    assert not LATER & {name.partition(".")[0] for name in modules}
    assert not [name for name in modules if name.startswith(OURS_LATER)]
    assert len(modules) <= MOST


def test_signals_are_held_before_anything_large_is_loaded():
    before = set(loaded("pass"))
    assert {name for name in set(loaded("from oakfork import early_signals")) - before if "." in name} <= {
        "oakfork.early_signals"
    }
    main = (ROOT / "oakfork/__main__.py").read_text()
    assert main.index("early_signals.install_handlers()") < main.index("from oakfork.serving")
