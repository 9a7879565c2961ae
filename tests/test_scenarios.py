"""Every scenario under tests/scenarios/ is played against a balancer of its own, net/ on sockets."""

from pathlib import Path

import pytest

from thymedeck.net.load_reports import Beat, Figures

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
    beat, told = Beat(), {}
    for line in (FOLDER / "told" / "notes_on_the_beat.txt").read_text().splitlines():
        if words := line.split("#")[0].split():
            now, figures = int(words[0]), told.setdefault(words[1], Figures())
            kind = "delay" if beat.is_on(now, figures) else "load"
            if kind == "load":
                figures.take(now, float(now))
            assert kind == words[2], line
