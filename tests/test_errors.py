"""Every error that the program raises says what an operator can do, in the log and in the documentation alike."""

import ast
import builtins
import importlib
import json
import subprocess
import sys

import pytest
from fake_services import FakeDiscovery, configuration_document
from lab_worlds import ROOT

from oakfork import errors

SOURCES = sorted((ROOT / "oakfork").rglob("*.py"))


def _name(node):
    node = node.func if isinstance(node, ast.Call) else node
    return node.attr if isinstance(node, ast.Attribute) else node.id


def _raised(tree):
    """The names of all types that a module raises.

    A bare `raise` and `raise error` of a caught error raise what is there; an argument annotated `type[X]` is an X.
    """
    caught = {handler.name for handler in ast.walk(tree) if isinstance(handler, ast.ExceptHandler)}
    given = {
        arg.arg: arg.annotation.slice.id
        for arg in ast.walk(tree)
        if isinstance(arg, ast.arg)
        and isinstance(arg.annotation, ast.Subscript)
        and ast.unparse(arg.annotation).startswith("type[")
    }
    names = [_name(node.exc) for node in ast.walk(tree) if isinstance(node, ast.Raise) and node.exc is not None]
    return [given.get(name, name) for name in names if name not in caught]


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(ROOT)))
def test_every_raised_error_says_what_to_do(path):
    """Guards against an error that leaves an operator without advice."""
    module = (
        importlib.import_module(".".join(path.relative_to(ROOT).with_suffix("").parts))
        if path.name not in ("__main__.py",)
        else errors
    )
    for name in _raised(ast.parse(path.read_text())):
        kind = getattr(module, name, None) or getattr(errors, name, None) or getattr(builtins, name)
        assert issubclass(kind, errors.OakforkError) and kind.todo, f"{name} says nothing of what to do"


def test_raised_types_are_found_in_source_code():
    """Guards against a check of raised errors that passes whatever is raised."""
    assert _raised(ast.parse("raise ValueError('x')")) == ["ValueError"]
    assert _raised(ast.parse("def f(kind: type[ValueError]):\n  raise kind('x')")) == ["ValueError"]
    assert _raised(ast.parse("try:\n  pass\nexcept OSError as e:\n  raise e\nraise lab.LoadError")) == ["LoadError"]


def test_docs_have_the_texts_of_all_errors():
    """Guards against documentation of errors that differs from what the program prints."""
    page = (ROOT / "docs/oncall.md").read_text()
    assert errors.table() in page, "docs/oncall.md: put in what `python -m oakfork.errors` prints"


def test_log_line_of_an_error_says_what_to_do(tmp_path):
    """Guards against an address in use that ends the process without its exit code or advice."""
    discovery = FakeDiscovery([])
    document = configuration_document(discovery.address, []) | {"listen": discovery.address}  # in use
    (tmp_path / "n0.json").write_text(json.dumps(document))
    done = subprocess.run(
        [sys.executable, "-m", "oakfork"],
        env={"LB_CONFIG": str(tmp_path / "n0.json")},
        capture_output=True,
        text=True,
        timeout=20,
        cwd=ROOT,
    )
    discovery.stop()
    line = json.loads(done.stderr.splitlines()[0])
    assert done.returncode == errors.AddressInUseError.status and line["todo"] == errors.AddressInUseError.todo


def test_each_fault_has_a_line_and_the_advice_comes_once():
    """Guards against faults that are joined on one line, or repeat the advice."""
    one, two = errors.ExperimentError(["a: bad"]), errors.ExperimentError(["a: bad", "b: worse"])
    assert errors.error_lines(one, "f.toml") == f"f.toml: a: bad; {one.todo}"
    assert errors.error_lines(two, "f.toml").splitlines() == ["f.toml: a: bad", "f.toml: b: worse", two.todo]
