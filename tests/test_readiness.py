"""The modules that a gateway loads at its start, which decide how soon it is ready: counts and names only."""

import json
import subprocess
import sys

from lab_worlds import ROOT

NOT_LOADED = {
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
OWN_NOT_LOADED = (
    "oakfork.lab",
    "oakfork.fleet",
    "oakfork.leases",
    "oakfork.contracts",
    "oakfork.cli",
    "oakfork.configuration_schema",
    "oakfork.simulator_adapter",
)
MAX_MODULES = 340  # with the interpreter's own; each takes some tenths of a millisecond to load


def loaded_modules(statement):
    """The names of all modules that are loaded after a statement in a new interpreter."""
    code = f"import sys\n{statement}\nimport json\nprint(json.dumps(sorted(sys.modules)))"
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    return json.loads(run.stdout.splitlines()[-1])


def test_serving_loads_only_the_modules_that_it_needs():
    """Guards against a slow start on part of a core, by libraries and parts that serving does not use."""
    modules = loaded_modules("import oakfork.serving")
    assert not NOT_LOADED & {name.partition(".")[0] for name in modules}
    assert not [name for name in modules if name.startswith(OWN_NOT_LOADED)]
    assert len(modules) <= MAX_MODULES


def test_signal_handlers_are_installed_before_anything_large_is_loaded():
    """Guards against SIGHUP or SIGTERM that ends the process with an error while it loads its modules."""
    before = set(loaded_modules("pass"))
    assert {name for name in set(loaded_modules("from oakfork import early_signals")) - before if "." in name} <= {
        "oakfork.early_signals"
    }
    source = (ROOT / "oakfork/__main__.py").read_text()
    assert source.index("early_signals.install_handlers()") < source.index("from oakfork.serving")
