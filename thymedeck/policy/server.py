"""What one balancer knows of a server."""

from typing import TYPE_CHECKING

from ..interface import ServerEntry

if TYPE_CHECKING:
    from .balancer import Session
    from .candidates import Group

SECOND = 10_000
FADE_TIME = 30 * SECOND  # a newcomer's head start of load is gone after this (design page)
RECENT_LIMIT = 8  # set-ups remembered of each server, and dials of the balancer
SLOW_LOADS_LIMIT = 3  # own sums remembered at which a server was slow
SETUP_WAITS_LIMIT = 3  # last set-ups at a server that tell of slow messages where nothing else does


def append_bounded(kept: list, new: object, most: int) -> None:
    """Keeps the latest so many. The lists are no deques, each of which takes 700 bytes even if empty."""
    kept.append(new)
    if len(kept) > most:
        del kept[0]


class Server:
    """A server as this balancer alone has seen it."""

    __slots__ = (
        "admission_draw", "cell", "draw_valid_until", "fading_load", "fading_since", "full_until", "group",
        "group_position", "index", "is_unhealthy", "kind", "known_load", "load_at_report", "message_delay",
        "open_sessions", "pending_dials", "probe_waiters", "probed_at", "ready_position", "recent_setups",
        "relieved_at", "report_valid_until", "sent_loads", "session_count", "setup_waits", "silent_until",
        "slow_load_limit", "slow_loads", "slow_streak", "slow_until", "started", "state", "trial_at",
        "trial_count", "unknown_load_count", "utilization", "weight", "zone",
    )  # fmt: skip

    def __init__(self, entry: ServerEntry) -> None:
        self.index = entry.server
        self.update_from(entry)
        self.group: Group | None = None  # of idle servers, to which it belongs
        self.group_position = 0  # in that group
        self.ready_position = -1  # among all that are ready
        self.session_count = 0  # sessions whose load counts here
        self.known_load = 0.0  # summed load of those whose load is known
        self.unknown_load_count = 0  # those whose load is not known yet
        self.fading_load = 0.0
        self.fading_since = 0
        self.pending_dials = 0  # outlives a restart: what is out still ends
        self.open_sessions: dict[int, Session] = {}
        self.sent_loads: list[tuple[int, float]] = []  # what went to it lately while cold
        self.probed_at = 0
        self.probe_waiters: list[int] = []  # sessions that wait for its report
        self.reset_history()

    def update_from(self, entry: ServerEntry) -> None:
        self.zone = entry.zone
        self.weight = entry.weight
        self.cell = entry.cell
        self.kind = entry.kind
        self.state = entry.state
        self.started = entry.started

    def reset_history(self) -> None:
        self.admission_draw = (
            1.0  # drawn for a window: with more room than this, in mean loads, a dial is let in
        )
        self.draw_valid_until = 0
        self.recent_setups: list[bool] = []  # set-ups: accepted or not
        self.is_unhealthy = False
        self.trial_at = 0
        self.trial_count = 0
        self.full_until = 0
        self.slow_loads: list[tuple[int, float]] = []  # own sums at which messages were slow
        self.slow_load_limit = 0.0  # the least of these
        self.slow_streak = 0  # notes in a row of messages past the shortest aim
        self.relieved_at = -FADE_TIME
        self.message_delay = 0
        self.slow_until = -1
        self.setup_waits: list[int] = []  # of its last set-ups
        self.utilization = 0.0
        self.load_at_report = 0.0
        self.report_valid_until = -1  # how long its last report tells on which side of the cap it is
        self.silent_until = 0

    def is_idle(self, now: int, window: int) -> bool:
        """Whether nothing but its entry in the list bears on a decision; `window` is that of `sent`."""
        if self.session_count or self.pending_dials or self.is_unhealthy or self.probe_waiters:
            return False
        if (
            max(self.full_until, self.silent_until) > now
            or max(self.slow_until, self.report_valid_until) >= now
        ):
            return False
        if self.fading_load and now < self.fading_since + FADE_TIME:
            return False
        if self.slow_loads and self.slow_loads[-1][0] >= now - FADE_TIME:
            return False
        return not (self.sent_loads and self.sent_loads[-1][0] > now - window)
