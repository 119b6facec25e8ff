"""Checks the shape of the repository: file lengths, import cycles and what the decision module may import."""

import ast
import tomllib

from lab_worlds import ROOT

MAX_FILE_LINES = 400
MAX_POLICY_LINE = 110  # characters
SOURCES = sorted((ROOT / "oakfork").rglob("*.py"))


def _module(path):
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {_module(path): path for path in SOURCES}


def _imports(path):
    """The modules of the program that a file imports while it is loaded, or for its types; not inside functions."""
    found = set()
    waiting = list(ast.parse(path.read_text()).body)
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
    """Guards against files that grow until no reader can keep them in mind."""
    files = [*SOURCES, *(ROOT / "tests").glob("*.py"), *(ROOT / "experiments").glob("*.py")]
    long = {str(path): lines for path in files if (lines := len(path.read_text().splitlines())) > MAX_FILE_LINES}
    assert not long


def test_imports_have_no_cycle():
    """Guards against modules that can only be loaded in one order."""
    remaining = {name: _imports(path) - {"oakfork"} for name, path in MODULES.items()}
    while leaves := [name for name, imported in remaining.items() if not imported]:
        for name in leaves:
            del remaining[name]
        remaining = {name: imported - set(leaves) for name, imported in remaining.items()}
    assert not remaining, f"there is a cycle among these modules: {sorted(remaining)}"


def test_decision_module_consists_of_the_deployed_files_and_imports_nothing_else():
    """Guards against a decision module that depends on files which are not deployed with it, or on long lines."""
    policy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    assert {ROOT / path for path in policy} == set((ROOT / "oakfork/decision").glob("*.py"))
    lines = [line for path in policy for line in (ROOT / path).read_text().splitlines() if line.strip()]
    assert max(map(len, lines)) <= MAX_POLICY_LINE
    allowed = {"oakfork", "oakfork.interface", "oakfork.peer_codec"}
    for path in policy:
        imported = {name for name in _imports(ROOT / path) if not name.startswith("oakfork.decision")}
        assert imported <= allowed, f"{path} imports {imported - allowed}"
