"""The state that a balancer keeps for each server.

Times are whole tenths of a millisecond. "Load sum" is the sum of the loads of this balancer's own sessions
on a server, on the scale described in balancer.py.
"""

from typing import TYPE_CHECKING

from ..interface import ServerEntry

if TYPE_CHECKING:
    from .balancer import Session
    from .candidates import Group

SECOND = 10_000  # in tenths of a millisecond
# Time over which `fading_load` falls to zero, and for which learned load caps are kept (docs/design.md).
FADE_TIME = 30 * SECOND
RECENT_LIMIT = 8  # set-ups kept for each server and kind of machine, and dials kept for the balancer
LEARNED_CAPS_LIMIT = 3  # learned load caps kept for each server
SETUP_WAITS_LIMIT = 3  # set-ups from which slow messages are inferred where message delays are not reported


def append_bounded(items: list, new: object, limit: int) -> None:
    """Appends to a list that keeps the latest `limit` items. An empty deque would take 700 bytes."""
    items.append(new)
    if len(items) > limit:
        del items[0]


class Server:
    """A listed server, and what this balancer has observed of it."""

    __slots__ = (
        "admission_draw", "cell", "draw_valid_until", "fading_load", "fading_since", "full_until", "group",
        "group_position", "index", "is_unhealthy", "kind", "known_load", "last_moves_at", "learned_caps",
        "load_at_report", "lowest_learned_cap", "message_delay", "open_sessions", "pending_dials",
        "probe_waiters", "probed_at", "ready_position", "recent_setups", "report_valid_until", "sent_loads",
        "session_count", "setup_waits", "silent_until", "slow_streak", "slow_until", "started", "state",
        "trial_at", "trial_count", "unknown_load_count", "utilization", "weight", "zone",
    )  # fmt: skip

    def __init__(self, entry: ServerEntry) -> None:
        self.index = entry.server
        self.update_from(entry)
        self.group: Group | None = None  # of idle servers; None while the server is active or not ready
        self.group_position = 0  # in the members of that group
        self.ready_position = -1  # in the list of ready servers; -1: not ready
        self.session_count = 0  # sessions whose load counts here, those being dialled included
        self.known_load = 0.0  # load sum of the sessions whose load is known
        self.unknown_load_count = 0  # sessions whose load is not known yet; the mean is assumed
        # Load added to the sum of a newcomer or after a failure; it falls to zero over FADE_TIME.
        self.fading_load = 0.0
        self.fading_since = 0
        self.pending_dials = 0  # kept when the server restarts, since pending dials still end
        self.open_sessions: dict[int, Session] = {}
        # Time and load of recent dials, recorded while the load sent to it is limited.
        self.sent_loads: list[tuple[int, float]] = []
        self.probed_at = 0
        self.probe_waiters: list[int] = []  # sessions held until its report arrives
        self.reset_history()

    def update_from(self, entry: ServerEntry) -> None:
        self.zone = entry.zone
        self.weight = entry.weight
        self.cell = entry.cell
        self.kind = entry.kind
        self.state = entry.state
        self.started = entry.started

    def reset_history(self) -> None:
        """Forgets what was observed before a restart of the server; open sessions are kept."""
        # Random number from 0 to 1 for one window, see `Balancer.admits_by_draw`: a session that the
        # remaining budget does not cover is admitted if its admission probability is above this number.
        self.admission_draw = 1.0
        self.draw_valid_until = 0
        self.recent_setups: list[bool] = []  # whether each was accepted
        self.is_unhealthy = False  # ejected after failed set-ups, but for single trial dials
        self.trial_at = 0  # earliest time of the next trial dial
        self.trial_count = 0  # failed trials since the ejection
        self.full_until = 0  # end of the backoff after it refused a session as full; others come first
        self.learned_caps: list[tuple[int, float]] = []  # time and load cap learned, by slow messages
        self.lowest_learned_cap = 0.0  # of these; 0: none is known
        self.slow_streak = 0  # consecutive reports of a message delay above the shortest message aim
        self.last_moves_at = -FADE_TIME  # when sessions were last moved off it
        self.message_delay = 0  # as last reported; 0 up to a third of the shortest message aim
        self.slow_until = -1  # until then it counts as loaded to its cap, as its messages were slow
        self.setup_waits: list[int] = []  # time of the last set-ups beyond the quickest of the zone
        self.utilization = 0.0  # load divided by capacity, as last reported
        self.load_at_report = 0.0  # known_load at that time
        self.report_valid_until = -1  # until then the last report shows on which side of the load cap it is
        self.silent_until = 0  # end of the backoff after an unanswered probe; others come first

    def is_idle(self, now: int, window: int) -> bool:
        """Whether only its list entry affects decisions; `sent_loads` counts for the time `window`."""
        if self.session_count or self.pending_dials or self.is_unhealthy or self.probe_waiters:
            return False
        if (
            max(self.full_until, self.silent_until) > now
            or max(self.slow_until, self.report_valid_until) >= now
        ):
            return False
        if self.fading_load and now < self.fading_since + FADE_TIME:
            return False
        if self.learned_caps and self.learned_caps[-1][0] >= now - FADE_TIME:
            return False
        return not (self.sent_loads and self.sent_loads[-1][0] > now - window)
