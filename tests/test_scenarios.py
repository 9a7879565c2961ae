"""Every scenario under tests/scenarios/ is played against a balancer of its own."""

from pathlib import Path

import pytest

from .helpers import Play

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    Play(path).run()
