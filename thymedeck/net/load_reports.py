"""Tells apart the two notes that servers send under one word: a session's load, and what a message takes.

The settings promise both and the protocol has only `LOAD X`. A load is told when it changes. The milliseconds
that a message takes at a slow server are told every second to the beat, on any one of its connections. So a
line that comes a second after another on the same connection finds the beat, and what comes on it is no load.
"""

BEAT = 10_000
FOUND_WITHIN = 10  # of a second after the last line on the same connection: two loads rarely come so
KEPT_WITHIN = 20  # of the next beat; once missed it has to be found again


class Figures:
    """What one session's connection has told."""

    __slots__ = ("at", "before", "load")

    def __init__(self) -> None:
        self.at = 0
        self.load: float | None = None
        self.before: float | None = None  # the load before that one

    def take(self, now: int, load: float) -> None:
        self.at, self.load, self.before = now, load, self.load

    def came_a_beat_ago(self, now: int) -> bool:
        """Never of the first line: guards against all that are told as they stand, at a start together."""
        return self.before is not None and abs(now - self.at - BEAT) <= FOUND_WITHIN


class Beat:
    """Of one server."""

    __slots__ = ("at",)

    def __init__(self) -> None:
        self.at = -1

    def is_on(self, now: int, figures: Figures) -> bool:
        """Whether the line that comes now tells a message's time."""
        kept = self.at >= 0 and abs(now - self.at - BEAT) <= KEPT_WITHIN
        is_on = kept or figures.came_a_beat_ago(now)
        if is_on:
            self.at = now
        return is_on
