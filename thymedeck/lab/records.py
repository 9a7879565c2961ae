"""The event record of a run: what the stand-ins observed, with times. The checks use nothing else."""

from collections.abc import Callable
from typing import Any

import orjson

Entry = dict[str, Any]


class Record:
    def __init__(self, now: Callable[[], int]) -> None:
        """`now` returns tenths of a millisecond since the start of the run."""
        self.now = now
        self.entries: list[Entry] = []

    def note(self, what: str, **more: object) -> None:
        """Appends an entry of kind `what` with the current time and the given fields."""
        self.entries.append({"at": self.now(), "what": what, **more})

    def of_kind(self, *kinds: str) -> list[Entry]:
        return [entry for entry in self.entries if entry["what"] in kinds]

    def as_bytes(self) -> bytes:
        """Returns the record as JSON lines. Identical runs give identical bytes."""
        return b"".join(orjson.dumps(entry, option=orjson.OPT_APPEND_NEWLINE) for entry in self.entries)
