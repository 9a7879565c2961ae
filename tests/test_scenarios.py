"""Every scenario under tests/scenarios/ is played against a balancer of its own, net/ on sockets."""

from pathlib import Path

import pytest

from thymedeck.net.load_reports import DelaySchedule, SessionLoads

from .helpers import PolicyScenario, SocketScenario

FOLDER = Path(__file__).parent / "scenarios"


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.txt")), ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    PolicyScenario(path).run()


@pytest.mark.parametrize("path", sorted(FOLDER.glob("net/*.txt")), ids=lambda path: path.stem)
def test_scenario_on_sockets(path: Path) -> None:
    SocketScenario(path).run()


def test_notes_are_told_apart() -> None:
    """The lines of a file: time, connection, and whether its line is a load or a message's time."""
    schedule, loads_by_connection = DelaySchedule(), {}
    for line in (FOLDER / "told" / "notes_on_the_beat.txt").read_text().splitlines():
        if words := line.split("#")[0].split():
            now, loads = int(words[0]), loads_by_connection.setdefault(words[1], SessionLoads())
            kind = "delay" if schedule.is_delay_report(now, loads) else "load"
            if kind == "load":
                loads.record(now, float(now))
            assert kind == words[2], line
