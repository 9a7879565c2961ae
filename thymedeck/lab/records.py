"""What the stand-ins saw, with the time of each thing; the checks go by this alone."""

from collections.abc import Callable
from typing import Any

import orjson

Entry = dict[str, Any]


class Record:
    def __init__(self, now: Callable[[], int]) -> None:
        """`now` in tenths of a millisecond since the play began."""
        self.now = now
        self.entries: list[Entry] = []

    def note(self, what: str, **more: object) -> None:
        self.entries.append({"at": self.now(), "what": what, **more})

    def of(self, *kinds: str) -> list[Entry]:
        return [entry for entry in self.entries if entry["what"] in kinds]

    def as_bytes(self) -> bytes:
        """The same for the same play, to the byte."""
        return b"".join(orjson.dumps(entry, option=orjson.OPT_APPEND_NEWLINE) for entry in self.entries)
