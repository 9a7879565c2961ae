"""Bounds on what is sent and taken in: so much in any second, whatever the fleet's size. No I/O, no clock."""

from collections import deque

SECOND = 10_000


class Window:
    """What was spent within the last second, or `span`; never more than `most` in any."""

    def __init__(self, most: int, span: int = SECOND) -> None:
        self.most = most
        self.span = span
        self.spent: deque[tuple[int, int]] = deque()
        self.total = 0

    def left(self, now: int) -> int:
        while self.spent and self.spent[0][0] <= now - self.span:
            self.total -= self.spent.popleft()[1]
        return self.most - self.total

    def take(self, now: int, amount: int) -> bool:
        if self.left(now) < amount:
            return False
        self.spent.append((now, amount))
        self.total += amount
        return True


class Seen:
    """Counters of one sender that have come: each counts once, and none far behind the latest."""

    __slots__ = ("bits", "latest")

    SPAN = 256

    def __init__(self) -> None:
        self.latest = 0
        self.bits = 0

    def is_new(self, counter: int) -> bool:
        """Notes it too."""
        if counter > self.latest:
            self.bits = (self.bits << min(counter - self.latest, self.SPAN) | 1) & ((1 << self.SPAN) - 1)
            self.latest = counter
            return True
        bit = 1 << (self.latest - counter)
        if self.latest - counter >= self.SPAN or self.bits & bit:
            return False
        self.bits |= bit
        return True
