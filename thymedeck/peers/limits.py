"""A rate limit over a sliding window, and a replay filter. No I/O, no clock: the caller passes the time.

A limit holds in every window of its length, whatever the size of the fleet.
"""

from collections import deque

SECOND = 10_000


class SlidingWindow:
    """Amounts taken within the last `span` (one second by default); never more than `limit` in any span."""

    def __init__(self, limit: int, span: int = SECOND) -> None:
        self.limit = limit
        self.span = span
        self.entries: deque[tuple[int, int]] = deque()
        self.total = 0

    def remaining(self, now: int) -> int:
        while self.entries and self.entries[0][0] <= now - self.span:
            self.total -= self.entries.popleft()[1]
        return self.limit - self.total

    def try_take(self, now: int, amount: int) -> bool:
        """Whether the amount is within the limit; if so, records it."""
        if self.remaining(now) < amount:
            return False
        self.entries.append((now, amount))
        self.total += amount
        return True


class ReplayFilter:
    """Message counters seen from one sender: each is accepted once, and none far behind the latest."""

    __slots__ = ("bits", "latest")

    SPAN = 256

    def __init__(self) -> None:
        self.latest = 0
        self.bits = 0

    def accept(self, counter: int) -> bool:
        """Whether the counter is new; records it."""
        if counter > self.latest:
            self.bits = (self.bits << min(counter - self.latest, self.SPAN) | 1) & ((1 << self.SPAN) - 1)
            self.latest = counter
            return True
        bit = 1 << (self.latest - counter)
        if self.latest - counter >= self.SPAN or self.bits & bit:
            return False
        self.bits |= bit
        return True
