"""Runs every scenario under tests/scenarios/ with a new balancer; those in net/ use sockets."""

from pathlib import Path

import pytest

from thymedeck.net.load_reports import DelaySchedule, SessionLoads

from .helpers import PolicyScenario, SocketScenario

SCENARIOS = Path(__file__).parent / "scenarios"


@pytest.mark.parametrize("path", sorted(SCENARIOS.glob("*.txt")), ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    PolicyScenario(path).run()


@pytest.mark.parametrize("path", sorted(SCENARIOS.glob("net/*.txt")), ids=lambda path: path.stem)
def test_scenario_on_sockets(path: Path) -> None:
    SocketScenario(path).run()


def test_load_and_delay_reports_are_distinguished() -> None:
    """A line of the file: time, connection, and whether its report is a load or a message delay."""
    schedule, loads_by_connection = DelaySchedule(), {}
    for line in (SCENARIOS / "report_kinds" / "load_or_delay.txt").read_text().splitlines():
        if words := line.split("#")[0].split():
            now, loads = int(words[0]), loads_by_connection.setdefault(words[1], SessionLoads())
            kind = "delay" if schedule.is_delay_report(now, loads) else "load"
            if kind == "load":
                loads.record(now, float(now))
            assert kind == words[2], line
