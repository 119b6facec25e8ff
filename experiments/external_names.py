"""Lists the names that leave the process, so that a renaming can be checked to keep them.

    python experiments/external_names.py collect TREE > names.txt     # one "category: name" a line
    python experiments/external_names.py missing names.txt TREE       # prints the names that TREE no longer has

Names are read from the syntax trees of oakfork/ and from the data files under deploy/ and experiments/. The list is a
superset: a key of a dictionary that never leaves the process is listed as well.
"""

import ast
import json
import re
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

LOG_METHODS = frozenset({"debug", "info", "warning", "error", "exception"})
CLICK_DECORATORS = frozenset({"command", "group", "option", "argument"})
# Classes whose fields are written out by name, with asdict, _asdict, msgspec's JSON encoder or a data file's reader.
SERIALIZED_CLASSES = {
    "oakfork/control/status.py": ["_StatusPosition"],
    "oakfork/lab/load_generator.py": ["Report"],
    "oakfork/lab/scale/added_latency_gateways.py": ["RpcTiming"],
    "oakfork/lab/scale/hollow_gateways.py": ["FollowerConfig", "Config"],
    "oakfork/lab/scale/slopes.py": ["Measure", "Fit"],
    "oakfork/lab/fault_schedule.py": ["Trouble"],
    "oakfork/lab/sweep.py": ["Row"],
}
SERIALIZED_NAMES = re.compile(r"^(Sizes|Trouble|Row|Report|Measure|Fit|Compared|Difference)$")
ENVIRONMENT_VARIABLE = re.compile(r"\b(?:LB|OAKFORK)_[A-Z_]+\b")
FILE_NAME = re.compile(r"[\w{}.-]*\.(?:json|toml|sqlite|csv|png|txt|log|md)\b")
HEADER_OR_PATH = re.compile(r"^(?:X-[A-Za-z-]+|/[-\w/]+)$")
SQL = re.compile(r"\b(?:CREATE|INSERT|SELECT|UPDATE|DELETE|PRAGMA)\b", re.IGNORECASE)
WORD = re.compile(r"[A-Za-z_]\w*")


def string_names(text: str) -> Iterator[tuple[str, str]]:
    """The external names inside one string literal."""
    for name in ENVIRONMENT_VARIABLE.findall(text):
        yield "environment variable", name
    if "\n" not in text:
        for name in FILE_NAME.findall(text):
            yield "file name", name
    if HEADER_OR_PATH.match(text):
        yield "header or path", text
    if text.startswith("--"):
        yield "flag", text
    if SQL.search(text):
        for name in WORD.findall(text):
            yield "SQL word", name


def key_names(node: ast.AST) -> Iterator[tuple[str, str]]:
    """The keys that a dictionary, a subscript or a call of get, pop or setdefault names."""
    keys: list[ast.AST | None] = []
    if isinstance(node, ast.Dict):
        keys = list(node.keys)
    elif isinstance(node, ast.Subscript):
        keys = [node.slice]
    elif isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
        keys = node.args[:1] if node.func.attr in ("get", "pop", "setdefault") else []
    for key in keys:
        if isinstance(key, ast.Constant) and isinstance(key.value, str):
            yield "key", key.value


def call_names(node: ast.AST) -> Iterator[tuple[str, str]]:
    """The keys of log lines, and the commands and arguments of click's decorators."""
    if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
        return
    if node.func.attr in LOG_METHODS:
        for keyword in node.keywords:
            if keyword.arg:
                yield "log key", keyword.arg
    if node.func.attr in CLICK_DECORATORS:
        for argument in node.args:
            if isinstance(argument, ast.Constant) and isinstance(argument.value, str):
                yield "command line", argument.value


def command_names(node: ast.AST) -> Iterator[tuple[str, str]]:
    """The name of a command that click takes from its function."""
    if isinstance(node, ast.FunctionDef):
        for decorator in node.decorator_list:
            called = decorator.func if isinstance(decorator, ast.Call) else decorator
            named = isinstance(decorator, ast.Call) and decorator.args
            if isinstance(called, ast.Attribute) and called.attr in ("command", "group") and not named:
                yield "command line", node.name.replace("_", "-")


def field_names(path: str, node: ast.AST) -> Iterator[tuple[str, str]]:
    """The fields of classes that are written out under their own names."""
    if not isinstance(node, ast.ClassDef):
        return
    if node.name in SERIALIZED_CLASSES.get(path, ()) or SERIALIZED_NAMES.match(node.name):
        for statement in node.body:
            if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
                yield "written field", statement.target.id


def documentation(tree: ast.AST) -> set[int]:
    """The ids of the constants that are docstrings."""
    return {
        id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }


def source_names(root: Path) -> Iterator[tuple[str, str]]:
    """The external names in the source below a tree."""
    for path in sorted((root / "oakfork").rglob("*.py")):
        tree = ast.parse(path.read_text())
        docstrings = documentation(tree)
        for node in ast.walk(tree):
            if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in docstrings:
                yield from string_names(node.value)
            yield from key_names(node)
            yield from call_names(node)
            yield from command_names(node)
            yield from field_names(str(path.relative_to(root)), node)


def data_keys(value: object) -> Iterator[str]:
    """Every key in nested dictionaries and lists."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield key
            yield from data_keys(inner)
    elif isinstance(value, list):
        for inner in value:
            yield from data_keys(inner)


def data_names(root: Path) -> Iterator[tuple[str, str]]:
    """The keys of the configuration examples and of stored results."""
    for path in sorted([*(root / "deploy").glob("*"), *(root / "experiments").rglob("*")]):
        if path.suffix == ".json":
            loaded = json.loads(path.read_text())
        elif path.suffix == ".toml":
            loaded = tomllib.loads(path.read_text())
        else:
            continue
        for key in data_keys(loaded):
            yield f"key of {path.relative_to(root)}", key
        for measure in loaded.get("measures", ()) if isinstance(loaded, dict) else ():
            yield f"measure of {path.relative_to(root)}", measure["name"]


def collect(root: Path) -> list[str]:
    """All external names of a tree, one line each."""
    return sorted({f"{category}: {name}" for category, name in (*source_names(root), *data_names(root)) if name})


def missing(lines: list[str], root: Path) -> list[str]:
    """The lines whose names a tree no longer has."""
    present = set(collect(root))
    return [line for line in lines if line not in present]


def main() -> int:
    """Runs the command that the module's docstring describes; 1 where a name is missing."""
    if sys.argv[1:2] == ["collect"]:
        print("\n".join(collect(Path(sys.argv[2]))))
        return 0
    absent = missing(Path(sys.argv[2]).read_text().splitlines(), Path(sys.argv[3]))
    print("\n".join(absent) or "no name is missing")
    return bool(absent)


if __name__ == "__main__":
    sys.exit(main())
