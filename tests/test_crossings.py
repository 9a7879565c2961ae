"""The moments of docs/crossings.md: what comes between two turns of the loop is laid there by hand."""

from pathlib import Path

import pytest

from .crossings import Crossing

FOLDER = Path(__file__).parent / "scenarios" / "crossings"


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.txt")), ids=lambda path: path.stem)
def test_crossing(path: Path) -> None:
    Crossing(path).run()
