"""Sessions that existed before this balancer started: each is dialled at its own server until it is up.

Times are whole tenths of a millisecond.
"""

from typing import TYPE_CHECKING

from ..interface import NEVER_EXECUTED, Listener, Reason
from ..policy import repeat_deadline
from .endings import OUTCOMES, Ending

if TYPE_CHECKING:
    from .clients import Client
    from .servers import DialConnection
    from .service import Service

RESTORE_TIMEOUT = 350_000  # the protocol gives up such a session after 40 s
RETRY_PAUSE = 2_000
PLANNED_DIALS = 3  # dials among which the time that is left is divided
MIN_DIAL_TIME = 20_000
CONNECT_ALLOWANCE = 2_000  # for the connection of a repeat, before the line is due
STALL_ALLOWANCE = 1_500  # the process may be held up for this long before it writes


class RestoredSession:
    """Dials one server until the session is up, its line must not be sent again, or the time is over."""

    def __init__(self, service: "Service", client: "Client", server: int, listener: Listener) -> None:
        self.service = service
        self.client = client
        self.server = server
        self.listener = listener
        self.deadline = service.loop.now() + RESTORE_TIMEOUT
        self.first_execution: int | None = None  # earliest time at which the server may have got the line

    def dial(self) -> None:
        """Starts a dial if one is still allowed: the first as well as each repeat."""
        if self.client.is_finished:
            return
        now = self.service.loop.now()
        if reason := self.reason_against_dial(now):
            self.service.fail_restored(self, reason)
            return
        time_left = self.deadline - now
        share = min(max(time_left // PLANNED_DIALS, MIN_DIAL_TIME), time_left)
        connect_timeout = int(min(share, self.line_due() - now))
        limit = self.dial_limit(now, share)
        if not self.service.start_dial(self.client, self.server, connect_timeout, limit):
            self.retry_later()

    def on_dial_ended(self, dial: "DialConnection", ending: Ending) -> None:
        """Schedules another dial, or fails the session at once if none will be allowed."""
        if OUTCOMES[ending] not in NEVER_EXECUTED and self.first_execution is None:
            self.first_execution = dial.started_at
        if reason := self.reason_against_dial(self.service.loop.now()):
            self.service.fail_restored(self, reason)
        else:
            self.retry_later()

    def retry_later(self) -> None:
        """Schedules another dial; half of the time in which the line may be sent is left for connecting."""
        time_left = self.line_due() - self.service.loop.now()
        self.service.loop.after(int(min(RETRY_PAUSE, time_left / 2)), self.dial)

    def reason_against_dial(self, time: int) -> Reason | None:
        """Returns what forbids a dial at this time, or None."""
        if self.service.shutdown.is_closing or time >= self.deadline:
            return Reason.DEADLINE
        return Reason.MAY_HAVE_RUN if time >= self.line_due() else None

    def dial_limit(self, now: int, share: int) -> int:
        """How long a dial may wait for its answer: all of the time left, unless another may follow it."""
        first_execution = now if self.first_execution is None else self.first_execution
        last_retry = self.repeat_due(first_execution) - CONNECT_ALLOWANCE
        limit = min(share, last_retry - RETRY_PAUSE - now)
        return int(limit) if limit >= MIN_DIAL_TIME else self.deadline - now

    def line_due(self) -> float:
        """The time by which the line must be sent; in the past if it must not be sent again."""
        return self.deadline if self.first_execution is None else self.repeat_due(self.first_execution)

    def repeat_due(self, first_execution: int) -> float:
        return min(self.deadline, repeat_deadline(self.listener, first_execution) - STALL_ALLOWANCE)
