"""The one loop: the selectors module, a monotonic clock in tenths of a millisecond, a heap of timers."""

import heapq
import selectors
import socket
from collections.abc import Callable
from typing import Protocol

from .system import System

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
BASE_DESCRIPTORS = 10  # that the program holds beside connections
STALL_THRESHOLD = 1_000  # this process stood still if a timer is so late
CLIENT_RESERVE_DIVISOR = 8  # the part of what it may hold that clients leave to dials and to the list
DIAL_RESERVE = 2  # and what dials leave: for the call for the list, and for one at the door


class EventHandler(Protocol):
    def on_ready(self, mask: int) -> None: ...


class TimerHandle:
    """A timer that is out; `cancel` makes it do nothing."""

    __slots__ = ("expires_at", "callback")

    def __init__(self, expires_at: int, callback: Callable[[], None]) -> None:
        self.expires_at = expires_at
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class EventLoop:
    def __init__(
        self, on_exception: Callable[[BaseException], None], descriptor_limit: int, system: System
    ) -> None:
        self.system = system
        self.monotonic_ns = system.monotonic_ns
        self.max_connections = self.free_descriptors = (
            0  # descriptors for connections, and those of them not in use
        )
        self.set_descriptor_limit(descriptor_limit)
        self.selector = system.selector()
        self.timers: list[tuple[int, int, TimerHandle]] = []
        self.timer_count = 0
        self.on_exception = on_exception
        self.running = False
        self.polled_at = self.now()
        self.longest_iteration = 0  # from one look at what is ready to the next, since somebody set it to 0
        self.stall_duration = 0  # what is read now may have waited so long, as this process stood still
        self.priority_handler: EventHandler | None = None  # has its turn before all others that are ready

    def set_descriptor_limit(self, descriptor_limit: int) -> None:
        """How many descriptors the program may hold."""
        self.free_descriptors += descriptor_limit - BASE_DESCRIPTORS - self.max_connections
        self.max_connections = descriptor_limit - BASE_DESCRIPTORS
        self.client_reserve = descriptor_limit // CLIENT_RESERVE_DIVISOR

    def now(self) -> int:
        return self.monotonic_ns() // 100_000

    def after(self, wait: int, callback: Callable[[], None]) -> TimerHandle:
        timer = TimerHandle(self.now() + max(wait, 0), callback)
        self.timer_count += 1
        heapq.heappush(self.timers, (timer.expires_at, self.timer_count, timer))
        return timer

    def max_unread_time(self) -> int:
        """For how long at the most what is read now may have lain unread."""
        return self.stall_duration + self.now() - self.polled_at

    def watch(self, sock: socket.socket | int, old_mask: int, mask: int, handler: EventHandler) -> None:
        """Changes what is awaited of a socket from the mask before to this one; 0 is nothing."""
        if mask == old_mask:
            return
        if not old_mask:
            self.selector.register(sock, mask, handler)
        elif not mask:
            self.selector.unregister(sock)
        else:
            self.selector.modify(sock, mask, handler)

    def run(self) -> None:
        self.running = True
        while self.running:
            self.run_once()

    def run_once(self) -> None:
        timers = self.timers
        while timers and timers[0][2].callback is None:
            heapq.heappop(timers)
        # A timer is never early: what is left of its tenth is waited for too.
        wait = max(timers[0][0] + 1 - self.now(), 0) / 10_000 if timers else None
        self.poll(wait)
        if timers and self.now() - timers[0][0] > STALL_THRESHOLD:
            # Guards against what waits to be read being taken for missing: this process stood still, in its
            # wait or in the middle of its turn.
            self.poll(0)
        now = self.now()
        while timers and timers[0][0] <= now:
            callback = heapq.heappop(timers)[2].callback
            if callback is not None:
                self.run_guarded(callback)

    def poll(self, wait: float | None) -> None:
        self.longest_iteration = max(self.longest_iteration, self.now() - self.polled_at)
        ready_events = self.selector.select(wait)
        now = self.now()
        late = self.timers and now - self.timers[0][0] > STALL_THRESHOLD
        self.stall_duration = now - self.polled_at if late else 0
        self.polled_at = now
        if len(ready_events) > 1 and self.priority_handler is not None:
            # Guards against sessions sent by a list that is old where what is new waits to be read, as after
            # this process stood still.
            ready_events.sort(key=lambda event: event[0].data is not self.priority_handler)
        for key, mask in ready_events:
            self.run_guarded(key.data.on_ready, mask)

    def run_guarded(self, callback: Callable[..., None], *arguments: object) -> None:
        """Guards against one connection or action whose handling fails and stops all others."""
        try:
            callback(*arguments)
        except Exception as error:
            self.on_exception(error)

    def stop(self) -> None:
        self.running = False
