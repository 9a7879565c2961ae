"""Tells apart the two notes that servers send under one word: a session's load, and what a message takes.

The settings promise both and the protocol has only `LOAD X`. A load is told when it changes. The milliseconds
that a message takes at a slow server are told every second to the beat, on any one of its connections. So a
line that comes a second after another on the same connection finds the beat, and what comes on it is no load.
"""

REPORT_PERIOD = 10_000
DETECTION_TOLERANCE = 10  # of a second after the last line on the same connection: two loads rarely come so
TRACKING_TOLERANCE = 20  # of the next beat; once missed it has to be found again


class SessionLoads:
    """What one session's connection has told."""

    __slots__ = ("last_at", "previous", "load")

    def __init__(self) -> None:
        self.last_at = 0
        self.load: float | None = None
        self.previous: float | None = None  # the load before that one

    def record(self, now: int, load: float) -> None:
        self.last_at, self.load, self.previous = now, load, self.load

    def is_one_period_old(self, now: int) -> bool:
        """Never of the first line: guards against all that are told as they stand, at a start together."""
        return self.previous is not None and abs(now - self.last_at - REPORT_PERIOD) <= DETECTION_TOLERANCE


class DelaySchedule:
    """Of one server."""

    __slots__ = ("last_at",)

    def __init__(self) -> None:
        self.last_at = -1

    def is_delay_report(self, now: int, loads: SessionLoads) -> bool:
        """Whether the line that comes now tells a message's time."""
        is_tracked = self.last_at >= 0 and abs(now - self.last_at - REPORT_PERIOD) <= TRACKING_TOLERANCE
        is_report = is_tracked or loads.is_one_period_old(now)
        if is_report:
            self.last_at = now
        return is_report
