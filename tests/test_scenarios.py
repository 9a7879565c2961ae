"""Every scenario under tests/scenarios/ is played against a balancer of its own, net/ on sockets."""

from pathlib import Path

import pytest

from .helpers import NetPlay, Play

FOLDER = Path(__file__).parent / "scenarios"


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.txt")), ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    Play(path).run()


@pytest.mark.parametrize("path", sorted(FOLDER.glob("net/*.txt")), ids=lambda path: path.stem)
def test_scenario_on_sockets(path: Path) -> None:
    NetPlay(path).run()
