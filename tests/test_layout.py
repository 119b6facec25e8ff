"""Checks the shape of the repository: file lengths, import cycles and what the decision module may import."""

import ast
import tomllib

from lab_worlds import ROOT

LONGEST_FILE, LONGEST_POLICY_LINE = 400, 110
SOURCES = sorted((ROOT / "oakfork").rglob("*.py"))


def _module(path):
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {_module(path): path for path in SOURCES}


def _imports(path):
    """The modules of ours that one imports while it is loaded or only for its types; not those inside functions."""
    tree, found, waiting = ast.parse(path.read_text()), set(), []
    waiting += tree.body
    while waiting:
        node = waiting.pop()
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found |= {f"{node.module}.{alias.name}" for alias in node.names} | {node.module}
        elif isinstance(node, ast.If | ast.Try):
            waiting += [*node.body, *node.orelse]
    return found & MODULES.keys() - {_module(path)}


def test_no_file_is_over_four_hundred_lines():
    files = [*SOURCES, *(ROOT / "tests").glob("*.py"), *(ROOT / "experiments").glob("*.py")]
    long = {str(path): lines for path in files if (lines := len(path.read_text().splitlines())) > LONGEST_FILE}
    assert not long


def test_no_import_goes_round_in_a_circle():
    below = {name: _imports(path) - {"oakfork"} for name, path in MODULES.items()}
    while leaves := [name for name, imported in below.items() if not imported]:
        for name in leaves:
            del below[name]
        below = {name: imported - set(leaves) for name, imported in below.items()}
    assert not below, f"among these or what they import: {sorted(below)}"


def test_the_decision_module_is_what_the_deploy_file_names_and_imports_nothing_else():
    policy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    assert {ROOT / path for path in policy} == set((ROOT / "oakfork/decision").glob("*.py"))
    lines = [line for path in policy for line in (ROOT / path).read_text().splitlines() if line.strip()]
    assert max(map(len, lines)) <= LONGEST_POLICY_LINE
    allowed = {"oakfork", "oakfork.interface", "oakfork.peer_codec"}
    for path in policy:
        ours = {name for name in _imports(ROOT / path) if not name.startswith("oakfork.decision")}
        assert ours <= allowed, f"{path} imports {ours - allowed}"
