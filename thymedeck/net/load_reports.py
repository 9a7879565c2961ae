"""Distinguishes the two reports that servers send as `LOAD X`: a session's load and a message delay.

The settings offer both, and the protocol has one word for them. A load is reported when it changes. The delay
of messages at a slow server, in milliseconds, is reported exactly once a second, on any of its connections.
Therefore a line one second after another on the same connection reveals the phase of the delay reports, and
lines in that phase are not loads. Times are tenths of a millisecond.
"""

REPORT_PERIOD = 10_000
DETECTION_TOLERANCE = 10  # around one period after a connection's last line, where loads rarely arrive
TRACKING_TOLERANCE = 20  # around the next expected report; once one is missed, the phase must be found again


class SessionLoads:
    """The last loads reported on a session's connection."""

    __slots__ = ("last_at", "previous", "load")

    def __init__(self) -> None:
        self.last_at = 0
        self.load: float | None = None
        self.previous: float | None = None  # the load before the last one

    def record(self, now: int, load: float) -> None:
        self.last_at, self.load, self.previous = now, load, self.load

    def is_one_period_old(self, now: int) -> bool:
        """Whether the last line came one period ago; a connection's first line does not count as such.

        Many sessions are established at once at a start, and each first line reports a load.
        """
        return self.previous is not None and abs(now - self.last_at - REPORT_PERIOD) <= DETECTION_TOLERANCE


class DelaySchedule:
    """The phase of one server's periodic delay reports."""

    __slots__ = ("last_at",)

    def __init__(self) -> None:
        self.last_at = -1

    def is_delay_report(self, now: int, loads: SessionLoads) -> bool:
        """Whether a line that arrives now reports a message delay; if so, its time is the new phase."""
        is_tracked = self.last_at >= 0 and abs(now - self.last_at - REPORT_PERIOD) <= TRACKING_TOLERANCE
        is_report = is_tracked or loads.is_one_period_old(now)
        if is_report:
            self.last_at = now
        return is_report
