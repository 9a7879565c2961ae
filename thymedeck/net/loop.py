"""The one loop: the selectors module, a monotonic clock in tenths of a millisecond, a heap of timers."""

import heapq
import selectors
import socket
from collections.abc import Callable
from typing import Protocol

from .system import System

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
OWN_DESCRIPTORS = 10  # that the program holds beside connections
LATE = 1_000  # this process stood still if a timer is so late
RESERVE = 8  # the part of what it may hold that clients leave to dials and to the list
KEPT = 2  # and what dials leave: for the call for the list, and for one at the door


class Ready(Protocol):
    def ready(self, mask: int) -> None: ...


class Due:
    """A timer that is out; `cancel` makes it do nothing."""

    __slots__ = ("at", "call")

    def __init__(self, at: int, call: Callable[[], None]) -> None:
        self.at = at
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Loop:
    def __init__(self, on_fault: Callable[[BaseException], None], most: int, system: System) -> None:
        self.system = system
        self.monotonic_ns = system.monotonic_ns
        self.most = self.free = 0  # descriptors for connections, and those of them not in use
        self.limit(most)
        self.selector = system.selector()
        self.timers: list[tuple[int, int, Due]] = []
        self.count = 0
        self.on_fault = on_fault
        self.running = False
        self.looked_at = self.now()
        self.longest_turn = 0  # from one look at what is ready to the next, since somebody set it to 0
        self.behind = 0  # what is read now may have waited so long, as this process stood still
        self.first: Ready | None = None  # has its turn before all others that are ready

    def limit(self, most: int) -> None:
        """How many descriptors the program may hold."""
        self.free += most - OWN_DESCRIPTORS - self.most
        self.most = most - OWN_DESCRIPTORS
        self.reserve = most // RESERVE

    def now(self) -> int:
        return self.monotonic_ns() // 100_000

    def after(self, wait: int, call: Callable[[], None]) -> Due:
        due = Due(self.now() + max(wait, 0), call)
        self.count += 1
        heapq.heappush(self.timers, (due.at, self.count, due))
        return due

    def waited(self) -> int:
        """For how long at the most what is read now may have lain unread."""
        return self.behind + self.now() - self.looked_at

    def watch(self, sock: socket.socket | int, before: int, mask: int, ready: Ready) -> None:
        """Changes what is awaited of a socket from the mask before to this one; 0 is nothing."""
        if mask == before:
            return
        if not before:
            self.selector.register(sock, mask, ready)
        elif not mask:
            self.selector.unregister(sock)
        else:
            self.selector.modify(sock, mask, ready)

    def run(self) -> None:
        self.running = True
        while self.running:
            self.turn()

    def turn(self) -> None:
        timers = self.timers
        while timers and timers[0][2].call is None:
            heapq.heappop(timers)
        # A timer is never early: what is left of its tenth is waited for too.
        wait = max(timers[0][0] + 1 - self.now(), 0) / 10_000 if timers else None
        self.look(wait)
        if timers and self.now() - timers[0][0] > LATE:
            # Guards against what waits to be read being taken for missing: this process stood still, in its
            # wait or in the middle of its turn.
            self.look(0)
        now = self.now()
        while timers and timers[0][0] <= now:
            call = heapq.heappop(timers)[2].call
            if call is not None:
                self.guard(call)

    def look(self, wait: float | None) -> None:
        self.longest_turn = max(self.longest_turn, self.now() - self.looked_at)
        found = self.selector.select(wait)
        now = self.now()
        late = self.timers and now - self.timers[0][0] > LATE
        self.behind = now - self.looked_at if late else 0
        self.looked_at = now
        if len(found) > 1 and self.first is not None:
            # Guards against sessions sent by a list that is old where what is new waits to be read, as after
            # this process stood still.
            found.sort(key=lambda one: one[0].data is not self.first)
        for key, mask in found:
            self.guard(key.data.ready, mask)

    def guard(self, call: Callable[..., None], *given: object) -> None:
        """Guards against one connection or action whose handling fails and stops all others."""
        try:
            call(*given)
        except Exception as fault:
            self.on_fault(fault)

    def stop(self) -> None:
        self.running = False
