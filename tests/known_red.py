"""Tests that fail for a real fault which could not be mended yet, as KNOWN-RED.txt at the root names them.

A run passes over just these. It fails if one of them does not fail, if a run of all tests lacks one, and on a
list that is malformed or too long.
"""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

NAME = "KNOWN-RED.txt"
MOST = 3
FORM = "TEST | CAUSE | ISSUE, as in: tests/test_a.py::test_b[c] | why it fails, in words | 32"


class Known(NamedTuple):
    test: str  # its whole id, parameters and all
    cause: str
    issue: int


def read(text: str) -> list[Known]:
    """Raises ValueError, which says what is wrong in which line."""
    known: list[Known] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.rsplit(" | ", 2)]
        if len(parts) < 3 or not re.fullmatch(r"\S+\.py::\S.*", parts[0]) or not parts[1]:
            raise ValueError(f"line {number} is not {FORM}")
        if not re.fullmatch(r"[1-9]\d*", parts[2], re.ASCII):
            raise ValueError(f"line {number}: {parts[2]!r} is no issue's number; wanted is {FORM}")
        if any(one.test == parts[0] for one in known):
            raise ValueError(f"line {number}: {parts[0]} is listed twice")
        known.append(Known(parts[0], parts[1], int(parts[2])))
    if len(known) > MOST:
        raise ValueError(f"{len(known)} tests are listed, {MOST} at most may be: mend one first")
    return known


class KnownRed:
    """The plugin; a conftest registers it."""

    def __init__(self, root: Path) -> None:
        path = root / NAME
        try:
            self.known = {one.test: one for one in read(path.read_text() if path.exists() else "")}
        except ValueError as why:
            raise pytest.UsageError(f"{NAME}: {why}") from why
        self.failed: set[str] = set()
        self.ended: set[str] = set()

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        lacking = set(self.known) - {item.nodeid for item in items}
        if lacking and config.args_source is pytest.Config.ArgsSource.TESTPATHS:
            raise pytest.UsageError(f"{NAME}: there is no test {', '.join(sorted(lacking))}")

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(self, item: pytest.Item) -> Iterator[None]:
        report = yield
        known = self.known.get(item.nodeid)
        if known is None:
            return report
        if report.failed:
            self.failed.add(item.nodeid)
            report.outcome = "skipped"
            report.wasxfail = f"known: {known.cause} (issue {known.issue})"
        elif report.when == "teardown" and item.nodeid not in self.failed:
            # By now every phase is over. Guards against a fault that is mended, or a test that is skipped.
            report.outcome = "failed"
            report.longrepr = f"{NAME} lists {item.nodeid}, which does not fail: take its line out"
        if report.when == "teardown":
            self.ended.add(item.nodeid)
        return report

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if self.known:
            terminalreporter.section(NAME)
        how = {**dict.fromkeys(self.ended, "did not fail"), **dict.fromkeys(self.failed, "failed")}
        for one in self.known.values():
            line = f"{one.test} | {one.cause} | issue {one.issue}"
            terminalreporter.line(f"{how.get(one.test, 'not run')}: {line}")
