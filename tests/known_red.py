"""A pytest plugin for known failures: tests that fail because of a real fault that is not fixed yet.

KNOWN-RED.txt at the root lists them. Their failures, and no others, are reported as expected. A run fails if
a listed test does not fail, if a listed test does not exist (in a run of all tests), and if the list is
malformed or too long.
"""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

LIST_FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3
ENTRY_FORMAT = "TEST | CAUSE | ISSUE, as in: tests/test_a.py::test_b[c] | why it fails, in words | 32"


class KnownFailure(NamedTuple):
    test: str  # the complete node id, with parameters
    cause: str
    issue: int


def parse_entries(text: str) -> list[KnownFailure]:
    """Raises ValueError with the number of the malformed line and the reason."""
    entries: list[KnownFailure] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.rsplit(" | ", 2)]
        if len(parts) < 3 or not re.fullmatch(r"\S+\.py::\S.*", parts[0]) or not parts[1]:
            raise ValueError(f"line {number} is not {ENTRY_FORMAT}")
        if not re.fullmatch(r"[1-9]\d*", parts[2], re.ASCII):
            raise ValueError(f"line {number}: {parts[2]!r} is not an issue number; expected {ENTRY_FORMAT}")
        if any(entry.test == parts[0] for entry in entries):
            raise ValueError(f"line {number}: {parts[0]} is listed twice")
        entries.append(KnownFailure(parts[0], parts[1], int(parts[2])))
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"{len(entries)} tests are listed, at most {MAX_ENTRIES} are allowed: fix one first")
    return entries


class KnownFailuresPlugin:
    """Reports the failures of the listed tests as expected. Registered in conftest.py."""

    def __init__(self, root: Path) -> None:
        path = root / LIST_FILE
        try:
            self.entries = {
                entry.test: entry for entry in parse_entries(path.read_text() if path.exists() else "")
            }
        except ValueError as error:
            raise pytest.UsageError(f"{LIST_FILE}: {error}") from error
        self.failed: set[str] = set()
        self.finished: set[str] = set()

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        missing = set(self.entries) - {item.nodeid for item in items}
        if missing and config.args_source is pytest.Config.ArgsSource.TESTPATHS:
            raise pytest.UsageError(f"{LIST_FILE}: there is no test {', '.join(sorted(missing))}")

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(self, item: pytest.Item) -> Iterator[None]:
        report = yield
        entry = self.entries.get(item.nodeid)
        if entry is None:
            return report
        if report.failed:
            self.failed.add(item.nodeid)
            report.outcome = "skipped"
            report.wasxfail = f"known: {entry.cause} (issue {entry.issue})"
        elif report.when == "teardown" and item.nodeid not in self.failed:
            # All phases have passed: the fault is fixed or the test is skipped, and the entry is out of date.
            report.outcome = "failed"
            report.longrepr = f"{LIST_FILE} lists {item.nodeid}, which does not fail: remove its line"
        if report.when == "teardown":
            self.finished.add(item.nodeid)
        return report

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if self.entries:
            terminalreporter.section(LIST_FILE)
        outcomes = {**dict.fromkeys(self.finished, "did not fail"), **dict.fromkeys(self.failed, "failed")}
        for entry in self.entries.values():
            line = f"{entry.test} | {entry.cause} | issue {entry.issue}"
            terminalreporter.line(f"{outcomes.get(entry.test, 'not run')}: {line}")
