"""The list of tests that may fail: what passes with it, and what does not."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = "import pytest\ndef test_red():\n    assert False\ndef test_green():\n    pass\n"
RED = "test_it.py::test_red | breaks at once | issue 38"


def run(path, listed, tests=TESTS):
    (path / "test_it.py").write_text(tests)
    (path / "pyproject.toml").write_text("[tool.pytest.ini_options]\n")
    if listed is not None:
        (path / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "known_red", "-p", "no:cacheprovider"]
    env = os.environ | {"PYTHONPATH": str(Path(__file__).parent)}
    return subprocess.run(command, cwd=path, env=env, capture_output=True, text=True)


def test_a_listed_test_may_fail_and_its_outcome_is_printed(tmp_path):
    assert run(tmp_path, None).returncode == 1
    done = run(tmp_path, RED + "\n")
    assert done.returncode == 0
    assert "KNOWN-RED failed: test_it.py::test_red: breaks at once (issue 38)" in done.stdout
    done = run(tmp_path, RED, TESTS.replace("False", "True"))
    assert done.returncode == 0 and "KNOWN-RED passed: test_it.py::test_red" in done.stdout


def test_any_other_failure_fails(tmp_path):
    assert run(tmp_path, RED, TESTS + "def test_other():\n    assert 0\n").returncode == 1


@pytest.mark.parametrize(
    "listed",
    ["test_it.py::test_red", "test_it.py::test_red | cause", "test_red | cause | issue 3", RED + "\n" + RED]
    + ["\n" + RED, "\n".join(RED.replace("red", f"red[{n}]") for n in range(4))]
    + [RED.replace("test_red", "test_none"), RED.replace("test_it", "test_nowhere"), RED + "x"],
)
def test_a_list_that_is_malformed_too_long_or_names_no_test_fails(tmp_path, listed):
    done = run(tmp_path, listed)
    assert done.returncode not in (0, 1) and "KNOWN-RED" in done.stderr + done.stdout
