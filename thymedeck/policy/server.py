"""What one balancer knows of a server."""

from typing import TYPE_CHECKING

from ..interface import Entry

if TYPE_CHECKING:
    from .balancer import Session
    from .candidates import Group

SECOND = 10_000
FADE = 30 * SECOND  # a newcomer's head start of load is gone after this (design page)
RECENT = 8  # set-ups remembered of each server, and dials of the balancer
CROWDED = 3  # own sums remembered at which a server was slow
SLOW_RUN = 3  # last set-ups at a server that tell of slow messages where nothing else does


def remember(kept: list, new: object, most: int) -> None:
    """Keeps the latest so many. The lists are no deques, each of which takes 700 bytes even if empty."""
    kept.append(new)
    if len(kept) > most:
        del kept[0]


class Server:
    """A server as this balancer alone has seen it."""

    __slots__ = (
        "asked_at", "asking", "cell", "crowded", "delay", "dials_out", "full_until", "group", "handicap",
        "handicap_at", "index", "joined", "kind", "lacking", "luck", "luck_until", "most", "over",
        "position", "pressure", "ready_position", "recent", "relieved_at", "sent", "sick", "silent_until",
        "slow_until", "standing", "started", "state", "told", "told_at_report", "told_until", "trial_at",
        "trials", "waits", "weight", "zone",
    )  # fmt: skip

    def __init__(self, entry: Entry) -> None:
        self.index = entry.server
        self.list_as(entry)
        self.group: Group | None = None  # of idle servers, to which it belongs
        self.position = 0  # in that group
        self.ready_position = -1  # among all that are ready
        self.joined = 0  # sessions whose load counts here
        self.told = 0.0  # summed load of those whose load is known
        self.lacking = 0  # those whose load is not known yet
        self.handicap = 0.0
        self.handicap_at = 0
        self.dials_out = 0  # outlives a restart: what is out still ends
        self.standing: dict[int, Session] = {}
        self.sent: list[tuple[int, float]] = []  # what went to it lately while cold
        self.asked_at = 0
        self.asking: list[int] = []  # sessions that wait for its report
        self.forget()

    def list_as(self, entry: Entry) -> None:
        self.zone = entry.zone
        self.weight = entry.weight
        self.cell = entry.cell
        self.kind = entry.kind
        self.state = entry.state
        self.started = entry.started

    def forget(self) -> None:
        self.luck = 1.0  # drawn for a window: with more room than this, in mean loads, a dial is let in
        self.luck_until = 0
        self.recent: list[bool] = []  # set-ups: accepted or not
        self.sick = False
        self.trial_at = 0
        self.trials = 0
        self.full_until = 0
        self.crowded: list[tuple[int, float]] = []  # own sums at which messages were slow
        self.most = 0.0  # the least of these
        self.over = 0  # notes in a row of messages past the shortest aim
        self.relieved_at = -FADE
        self.delay = 0
        self.slow_until = -1
        self.waits: list[int] = []  # of its last set-ups
        self.pressure = 0.0
        self.told_at_report = 0.0
        self.told_until = -1  # how long its last report tells on which side of the cap it is
        self.silent_until = 0

    def is_idle(self, now: int, window: int) -> bool:
        """Whether nothing but its entry in the list bears on a decision; `window` is that of `sent`."""
        if self.joined or self.dials_out or self.sick or self.asking:
            return False
        if max(self.full_until, self.silent_until) > now or max(self.slow_until, self.told_until) >= now:
            return False
        if self.handicap and now < self.handicap_at + FADE:
            return False
        if self.crowded and self.crowded[-1][0] >= now - FADE:
            return False
        return not (self.sent and self.sent[-1][0] > now - window)
