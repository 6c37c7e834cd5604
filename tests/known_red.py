"""Tests that are known to fail for a real fault: `KNOWN-RED.txt` beside pyproject.toml, three lines at most.

A line is `test | cause | issue N`, the test by its id as pytest prints it. They are run and their outcome
is printed; whatever they do the run may pass. Any other failure fails, and so does a file that is malformed,
too long, or names a test that is not there.
"""

import re
from pathlib import Path

import pytest

MOST = 3
_LINE = re.compile(r"(?P<test>\S+::\S.*?) \| (?P<cause>\S.*?) \| issue (?P<issue>[0-9]+)")


def read(path):
    """Give the listed tests with their causes. Raises ValueError."""
    if not path.exists():
        return {}
    lines = path.read_text(encoding="utf-8").splitlines()
    if len(lines) > MOST:
        raise ValueError(f"{path.name} has {len(lines)} lines, {MOST} at most")
    found = {}
    for number, line in enumerate(lines, 1):
        match = _LINE.fullmatch(line)
        if match is None or match["test"] in found:
            raise ValueError(f"{path.name}, line {number}: not `test | cause | issue N`, or a test twice")
        found[match["test"]] = f"{match['cause']} (issue {match['issue']})"
    return found


class KnownRed:
    """Lets the listed tests fail, and says what became of them."""

    def __init__(self, listed):
        self.listed, self.outcomes = listed, {}

    def pytest_collection_modifyitems(self, config, items):
        here = {item.nodeid: item for item in items}
        files = {item.nodeid.partition("::")[0] for item in items}
        whole = not config.option.keyword and not any("::" in each for each in config.args)
        for test in self.listed:
            if test in here:
                here[test].add_marker(pytest.mark.xfail(reason=self.listed[test], strict=False))
            elif whole and (
                test.partition("::")[0] in files or not (config.rootpath / test.partition("::")[0]).exists()
            ):
                raise pytest.UsageError(f"KNOWN-RED.txt names {test}, and there is no such test")

    def pytest_runtest_logreport(self, report):
        if report.nodeid in self.listed and (report.when == "call" or report.failed):
            self.outcomes[report.nodeid] = "passed" if report.passed else "failed"

    def pytest_terminal_summary(self, terminalreporter):
        for test, outcome in self.outcomes.items():
            terminalreporter.write_line(f"KNOWN-RED {outcome}: {test}: {self.listed[test]}")


def pytest_configure(config):
    try:
        listed = read(Path(config.rootpath) / "KNOWN-RED.txt")
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    config.pluginmanager.register(KnownRed(listed), "known-red-tests")
