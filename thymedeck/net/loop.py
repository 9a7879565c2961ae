"""The event loop: a selector and a heap of timers, with times in tenths of a millisecond."""

import heapq
import selectors
import socket
from collections.abc import Callable
from typing import Protocol

from .system import System

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
BASE_DESCRIPTORS = 10  # used by the process for other things than connections
STALL_THRESHOLD = 1_000  # a timer that is this late shows that the process was stalled
CLIENT_RESERVE_DIVISOR = 8  # clients leave one in eight descriptors to dials and the list request
DIAL_RESERVE = 2  # descriptors that dials leave free: for the list request and for accepting one client


class EventHandler(Protocol):
    """Receives the events of a socket."""

    def on_ready(self, mask: int) -> None: ...


class TimerHandle:
    """A pending timer; `cancel` drops its callback."""

    __slots__ = ("expires_at", "callback")

    def __init__(self, expires_at: int, callback: Callable[[], None]) -> None:
        self.expires_at = expires_at
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class EventLoop:
    """Dispatches socket events and timers in one thread, and counts the descriptors in use."""

    def __init__(
        self, on_exception: Callable[[BaseException], None], descriptor_limit: int, system: System
    ) -> None:
        self.system = system
        self.monotonic_ns = system.monotonic_ns
        # Descriptors for connections, and those of them not in use.
        self.max_connections = self.free_descriptors = 0
        self.set_descriptor_limit(descriptor_limit)
        self.selector = system.selector()
        self.timers: list[tuple[int, int, TimerHandle]] = []
        self.timer_count = 0
        self.on_exception = on_exception
        self.running = False
        self.polled_at = self.now()
        self.longest_iteration = 0  # longest time between two polls since its reader last reset it
        self.stall_duration = 0  # data read now may have waited this long because the process was stalled
        self.priority_handlers: list[EventHandler] = []  # dispatched before all others

    def set_descriptor_limit(self, descriptor_limit: int) -> None:
        """Sets how many descriptors the process may use."""
        self.free_descriptors += descriptor_limit - BASE_DESCRIPTORS - self.max_connections
        self.max_connections = descriptor_limit - BASE_DESCRIPTORS
        self.client_reserve = descriptor_limit // CLIENT_RESERVE_DIVISOR

    def now(self) -> int:
        return self.monotonic_ns() // 100_000

    def after(self, wait: int, callback: Callable[[], None]) -> TimerHandle:
        """Calls the callback once this time has passed."""
        timer = TimerHandle(self.now() + max(wait, 0), callback)
        self.timer_count += 1
        heapq.heappush(self.timers, (timer.expires_at, self.timer_count, timer))
        return timer

    def max_unread_time(self) -> int:
        """Upper bound for the time that data read now has waited in the socket."""
        return self.stall_duration + self.now() - self.polled_at

    def watch(self, sock: socket.socket | int, old_mask: int, mask: int, handler: EventHandler) -> None:
        """Changes the events watched on a socket from `old_mask` to `mask`; 0: none."""
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
        # `now` is rounded down: waiting one unit longer ensures that a timer is never early.
        wait = max(timers[0][0] + 1 - self.now(), 0) / 10_000 if timers else None
        self.poll(wait)
        if timers and self.now() - timers[0][0] > STALL_THRESHOLD:
            # The process was stalled, in its wait or within an iteration. Data may have arrived meanwhile: it
            # is read before the timers run, which would take it for missing.
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
        if len(ready_events) > 1 and self.priority_handlers:
            # After a stall a new server list may be waiting; sessions must not be placed by the old one.
            ready_events.sort(key=lambda event: event[0].data not in self.priority_handlers)
        for key, mask in ready_events:
            self.run_guarded(key.data.on_ready, mask)

    def run_guarded(self, callback: Callable[..., None], *arguments: object) -> None:
        """Calls the callback and reports an exception: a failing handler must not stop the others."""
        try:
            callback(*arguments)
        except Exception as error:
            self.on_exception(error)

    def stop(self) -> None:
        self.running = False
