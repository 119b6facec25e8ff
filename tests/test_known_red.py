"""How a test run treats KNOWN-RED.txt: pytest itself is run on a small project."""

import subprocess
import sys

import pytest
from lab_worlds import ROOT

TESTS = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"
RED, GREEN = "tests/test_it.py::test_red", "tests/test_it.py::test_green"


@pytest.mark.parametrize(
    "lines, status, expected",
    [
        ([], 1, "1 failed, 1 passed"),
        ([f"{RED} | the sky | 7"], 0, f"known red: {RED}: the sky (7)"),
        ([f"{RED} | the sky | 7", f"{GREEN} | nothing | 8"], 1, "XPASS(strict)"),
        ([f"{RED} | no issue"], 4, "each: test | cause | issue"),
        ([f"{RED} |  | 7"], 4, "each: test | cause | issue"),
        ([f"{RED}{number} | the sky | 7" for number in range(4)], 4, "3 lines at most"),
        ([f"{RED}_gone | the sky | 7"], 4, "names no test"),
    ],
)
@pytest.mark.parametrize("workers", [[], ["-n", "2"]])
def test_known_red_file_is_obeyed_or_refused(tmp_path, lines, status, expected, workers):
    """Guards against a listed test that passes unnoticed, and against a malformed list that is ignored."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (tmp_path / "tests/test_it.py").write_text(TESTS)
    (tmp_path / "tests/conftest.py").write_text("from known_red import *\n")
    (tmp_path / "tests/known_red.py").write_text((ROOT / "tests/known_red.py").read_text())
    (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines))
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *workers],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert (run.returncode == status or workers and run.returncode > 0 < status) and (
        expected in run.stdout + run.stderr or workers
    )
