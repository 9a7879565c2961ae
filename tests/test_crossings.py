"""Races between events (docs/crossings.md): the scenarios place events between two loop iterations."""

from pathlib import Path

import pytest

from .crossings import SteppedScenario

FOLDER = Path(__file__).parent / "scenarios" / "crossings"


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.txt")), ids=lambda path: path.stem)
def test_race(path: Path) -> None:
    SteppedScenario(path).run()
