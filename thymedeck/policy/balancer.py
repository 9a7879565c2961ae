"""Every decision of thymedeck; read it top to bottom.

Make one Balancer(seed, deployment) for each balancer process, then call handle(now, event) for whatever
happens and carry out the actions it returns, in order. `now` is the clock in tenths of a millisecond. The
types of events and actions are in thymedeck/interface.py; a session stays in `sessions` while it is held.
A decision visits the servers of which something is known, and groups of the others (candidates.py).
"""

import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..interface import (
    NEVER_EXECUTED,
    Action,
    DedupScope,
    DelayReported,
    Deployment,
    Dial,
    DialEnded,
    DialOutcome,
    Effect,
    Event,
    ListKind,
    LoadReported,
    Log,
    Move,
    Probe,
    ProbeEnded,
    Reason,
    Refuse,
    RequestList,
    ServerEntry,
    ServerListUpdated,
    ServerState,
    SessionArrived,
    SessionEstablished,
    SessionLeft,
    SessionRestored,
    SetTimer,
    TearDown,
    Timer,
    TimerFired,
)
from .candidates import AgeStage, Candidates, ColdGroup, Group
from .server import (
    FADE_TIME,
    RECENT_LIMIT,
    SECOND,
    SETUP_WAITS_LIMIT,
    SLOW_LOADS_LIMIT,
    Server,
    append_bounded,
)

LOG_PAUSE = 10 * SECOND  # a mode that has rested this long is logged again when it returns
HISTORY = 100  # connections whose mean stands in for a load not yet told (design page)
TRIAL_WAIT = SECOND  # a sick server gets its first single trial after about this
NOTE_LIFE = 25_000  # notes on slow messages come every second; two missed ones make a third unlikely
REPORT_LIFE = 5 * SECOND  # no report older than this is trusted
DRIFT = 0.15 / SECOND  # how fast a load may come nearer to the cap than reported
ASKS = 8  # servers found at their cap for one session before it is refused
HEADROOM = 0.9  # of a sum at which messages were slow, what the server is taken to carry
FLEET_RECENT = 16  # set-ups remembered over the whole fleet
TRY_WAIT = SECOND / 6  # for each balancer, before one tries again what has just turned it down
TRY_WAIT_LEAST, TRY_WAIT_MOST = SECOND / 2, 5 * SECOND
CAP = 0.75  # load over what a server can do above which it is passed over while others are below
RELIEF_FROM = 0.9  # reported load from which sessions are moved off: past 1 before the next report
RELIEF_TO = 0.7  # and down to which, a little under the cap so that it is not back at once
STUCK = SECOND // 2  # a message that takes longer tells of a server that hangs, not of a full one
SHARE_STEP = 0.05  # of the own sum, what each further note of slow messages adds to what is moved
BLIND = 2 * SHARE_STEP  # of what a server is to carry, what it may be sent before a note can tell of it
BLIND_FOR = SECOND  # notes come as often
MOST_MOVED = 0.5  # of the own sum that these steps come to: the next note may tell that it was enough
LOOK_EVERY = SECOND  # full servers are counted again after this; notes come as often
RELIEF_PAUSE = 3 * SECOND  # until a report shows what the last moves brought
SETTLE_EVERY = SECOND // 10
LIST_PART = 0.005  # of the time within which the list is to be asked, left to each balancer's call
LEAST_PULL = 1e-6  # so that ties without newcomers have a chance
MOST_SPREAD = 0.4  # of that time, over all of them: a call that fails then still leaves time for another
LIST_WITHIN = 3.8 * SECOND  # from a call to the next: told 6 s after it could be had, 2 s to be answered
STRAY = 2.3  # of the root of such a sum, a Poisson's: more comes in less than one window of 50,000
PLANNED_DIALS = 3  # dials for which the time to the dial timeout is divided


class Session:
    __slots__ = (
        "asked", "asked_last", "deadline", "dialled_at", "dials", "erred", "finished", "listener", "load",
        "may_have_run", "ran_at", "server", "standing", "subject", "tried",
    )  # fmt: skip

    def __init__(self, listener: int, deadline: int, load: float | None, subject: str | None) -> None:
        self.listener = listener
        self.deadline = deadline
        self.load = load  # None: not told yet, counts the mean
        self.subject = subject
        self.asked = 0  # servers that answered that they are at their cap
        self.asked_last: Server | None = None
        self.dials = 0
        self.dialled_at = 0
        self.tried: list[int] = []
        self.erred: list[Server] = []  # that answered with an error, not yet held against them
        self.server: Server | None = None  # where its predicted or told load is counted
        self.may_have_run: Server | None = None  # first server that may have run it
        self.ran_at = 0
        self.standing = False
        self.finished = False


class Ties(NamedTuple):
    """Servers that tie, those with something known one by one."""

    servers: list[Server]
    groups: list[Group]

    def __bool__(self) -> bool:
        return bool(self.servers or self.groups)


class Holding:
    """Servers of a kind, and the own sessions that stand on them."""

    __slots__ = ("servers", "sessions")

    def __init__(self) -> None:
        self.servers = 0
        self.sessions = 0

    @property
    def mean(self) -> float:
        return self.sessions / self.servers


class WarmSums:
    """The own summed loads of warm servers, in all and by kind of machine."""

    def __init__(self) -> None:
        self.servers = 0
        self.total = 0.0
        self.by_kind: dict[int, tuple[float, int]] = {}  # summed load, servers

    def add(self, kind: int, load: float, servers: int) -> None:
        self.servers += servers
        self.total += load
        before, count = self.by_kind.get(kind, (0.0, 0))
        self.by_kind[kind] = (before + load, count + servers)

    def mean(self) -> float:
        return self.total / self.servers if self.servers else 0.0

    def mean_of(self, kind: int) -> float:
        """Of all kinds where there is no warm server of this one."""
        load, servers = self.by_kind.get(kind, (0.0, 0))
        return load / servers if servers else self.mean()


def kind_of(part: Server | Group) -> int:
    return part.key.kind if isinstance(part, Group) else part.kind


def chance_for(part: float, replicas: int) -> float:
    """With which a part of a session, 0 to 1, is granted to a cold server in a window.

    Guards against the sum of many such parts, which strays by its root and is to stay under N + 2 root N + 2.
    """
    total = max(part * replicas, 1)
    least = max((((total**0.5 + 1) ** 2 + 1) ** 0.5 - STRAY) ** 2 / total if total > 5 else 0, 0.3)
    return part * (least + (1 - least) * part**0.8)


class Balancer:
    def __init__(self, seed: int, deployment: Deployment) -> None:
        self.site = deployment
        self.shortest_aim = min(listener.message_aim for listener in deployment.listeners)
        # A set-up that takes half the shortest handshake target is late: what it needs is filling up.
        self.late_after = min(listener.handshake_target for listener in deployment.listeners) // 2
        # Guards against balancers that ask together and queue up at a list that does not grow with them.
        self.list_spread = min(LIST_PART * deployment.replicas, MOST_SPREAD) * deployment.list_poll_within
        # Guards against what many balancers try again one by one: together they must let it recover.
        self.try_wait = min(max(TRY_WAIT * deployment.replicas, TRY_WAIT_LEAST), TRY_WAIT_MOST)
        chance = random.Random(seed)
        self.uniform = chance.uniform
        self.choice = chance.choice
        self.choices = chance.choices
        self.ask_wait = self.late_after // 2  # four asks fit the shortest handshake target
        self.now = 0
        self.out: list[Action] = []
        self.servers: dict[int, Server] = {}
        self.candidates = Candidates(deployment.warm_after, max(deployment.overload_window, BLIND_FOR))
        self.settled_at = 0  # when active servers were last looked at for idle ones
        self.listed = 0  # servers on the list, in whatever state
        self.most_listed = 0  # servers on the list at once
        self.sessions: dict[int, Session] = {}
        self.figures: deque[float] = deque(maxlen=HISTORY)  # loads of recent connections, on the one scale
        self.mean = 1.0  # of these
        self.homes: dict[str, int] = {}  # subject -> server of a standing session, for packets that move
        self.list_failures = 0
        self.doubt = False
        self.quickest: dict[int, int] = {}  # set-up by zone
        self.waits: deque[int] = deque(maxlen=HISTORY)  # what set-ups took beyond these
        self.set_ups: deque[tuple[Server, bool]] = deque(maxlen=FLEET_RECENT)
        self.came: deque[int] = deque((0,), maxlen=RECENT_LIMIT)  # when dials were due lately
        self.setting_up = 0  # dials out
        self.storm = False  # set-ups fail all over the fleet
        self.room = 1  # dials that may be out in a storm
        self.pause_until = 0
        self.wary = False  # whether servers not heard of are taken to be full, drawn for each pick
        self.full_share = 0.0  # of the servers heard of, those at their cap
        self.with_room = 0  # servers not known to be full
        self.looked_at = -LOOK_EVERY - 1
        self.kind_parts: dict[int, float] = {}  # what the servers of a kind of machine carry, of own sessions
        self.ease: dict[int, float] = {}  # by kind, what the mean server holds over what one of it holds
        self.pull: dict[int, float] = {}  # by kind, the chance of settled servers among ties, over newcomers'
        self.kinds_at = -LOOK_EVERY - 1
        self.nearest: dict[bool, int] = {}  # quickest set-up, in the own zone or not
        self.work: dict[int, deque[tuple[bool, int]]] = {}  # by kind, the last set-ups: own zone or not, took
        self.crowd_at = -LOG_PAUSE - 1  # last refusal because every server was at its cap
        self.handlers: dict[type, Callable[[Event], None]] = {
            ServerListUpdated: self.on_list, SessionArrived: self.on_came,
            SessionRestored: self.on_stands, SessionLeft: self.on_left,
            SessionEstablished: self.on_established, DialEnded: self.on_dial_ended,
            LoadReported: self.on_load, DelayReported: self.on_delay, ProbeEnded: self.on_probed,
            TimerFired: self.on_timer,
        }  # fmt: skip

    def handle(self, now: int, event: Event) -> list[Action]:
        self.now = now
        self.out = []
        self.handlers[type(event)](event)
        return self.out

    # The list of servers

    def on_list(self, event: ServerListUpdated) -> None:
        site = self.site
        if event.kind is ListKind.SAVED and site.list_on_request:
            self.set_timer(Timer.LIST_REQUEST, 0, self.uniform(0, min(self.list_spread, LIST_WITHIN)))
        elif event.kind is ListKind.FAILED:
            self.list_failures += 1
            base = max(site.list_poll_within / 20 * 2 ** min(self.list_failures, 3), self.list_spread)
            # Guards against a drain heard of too late: what is pushed counts as told while nobody asks.
            base = min(
                base,
                LIST_WITHIN - event.call_duration,
                base if site.list_on_request else site.drain_grace / 4,
            )
            low = max(base / 2, min(base, self.list_spread)) if event.is_scheduled else 0  # a turn is kept
            self.set_timer(Timer.LIST_REQUEST, 0, self.uniform(low, base))
            if self.list_failures == 1:
                self.log("list lost; going on with the last one")
            return
        elif self.list_failures:
            self.log(f"list back after {self.list_failures} failures")
            self.list_failures = 0
        known = list(self.candidates.ready)  # a newcomer starts by one of those before this list
        changed = any([self.take_entry(entry, known) for entry in event.entries])
        if event.kind is not ListKind.CHANGES:
            named = {entry.server for entry in event.entries}
            for server in self.servers.values():
                if server.index not in named:
                    self.list_gone(server)
        self.candidates.regroup_idle(self.now, list(self.candidates.active.values()))
        if changed or event.kind is not ListKind.CHANGES:
            self.kinds_at = -LOOK_EVERY - 1  # guards against a draw among kinds not looked at yet
            self.most_listed = max(self.most_listed, self.listed, event.listed_count)

    def take_entry(self, entry: ServerEntry, known: list[Server]) -> bool:
        """Whether more than the weight is new."""
        server = self.servers.get(entry.server)
        if server is None:
            server = self.servers[entry.server] = Server(entry)
            self.listed += entry.state is not ServerState.GONE
            self.start(server, known)
            self.offer(server)
            return True
        if entry.started == server.started and entry.state is server.state:
            self.candidates.set_weight(server, entry.weight)
            return False
        self.candidates.remove(server)
        self.listed += (entry.state is not ServerState.GONE) - (server.state is not ServerState.GONE)
        again = entry.started > server.started
        server.update_from(entry)
        if again:
            # Guards against a restarted server that draws a rush because its sum was emptied.
            server.reset_history()
            self.start(server, known)
        self.offer(server)
        return True

    def list_gone(self, server: Server) -> None:
        if server.state is not ServerState.GONE:
            self.candidates.remove(server)
            self.listed -= 1
            server.state = ServerState.GONE

    def offer(self, server: Server) -> None:
        if server.state is ServerState.READY:
            self.candidates.add(server, self.now)

    def start(self, server: Server, known: list[Server]) -> None:
        """Burdens a newcomer with the sum of one of the others by chance, unless the cold budget guards it.

        Their mean in the mean; but where most sums are zero a newcomer that started at the mean itself
        would come after nearly all until it has faded. Both guards at once leave a cold server empty while
        all balancers crowd the warm ones.
        """
        if known and not self.is_cold(server):
            self.burden(server, self.own_sum(self.choice(known)))

    # The sums

    def learn_load(self, load: float) -> None:
        self.figures.append(load)
        self.mean = sum(self.figures) / len(self.figures)

    def load_of(self, sess: Session) -> float:
        return self.mean if sess.load is None else sess.load

    def own_sum(self, server: Server) -> float:
        return server.known_load + server.unknown_load_count * self.mean

    def faded(self, server: Server) -> float:
        """What is left of the load that the server was burdened with."""
        left = FADE_TIME - (self.now - server.fading_since)
        return server.fading_load * left / FADE_TIME if left > 0 else 0.0

    def burden(self, server: Server, load: float) -> None:
        """Adds load that fades: a newcomer's start, or what a reset or failure has taken off the sum."""
        self.candidates.activate(server)
        server.fading_load = load + self.faded(server)
        server.fading_since = self.now

    def join(self, sess: Session, server: Server) -> None:
        self.candidates.activate(server)
        sess.server = server
        server.session_count += 1
        server.unknown_load_count += sess.load is None
        server.known_load += sess.load or 0.0

    def leave(self, sess: Session) -> None:
        server = sess.server
        if server is None:
            return
        server.session_count -= 1
        if sess.load is None:
            server.unknown_load_count -= 1
        elif server.session_count > server.unknown_load_count:
            server.known_load = max(server.known_load - sess.load, 0.0)
        else:
            server.known_load = 0.0  # nothing is left of it, whatever the rounding
        sess.server = None

    def on_load(self, event: LoadReported) -> None:
        sess = self.sessions.get(event.session_id)
        if sess is None or not self.site.reports_load:
            return
        if sess.load is None:
            self.learn_load(event.load)
        server = sess.server
        self.leave(sess)
        sess.load = event.load
        if server is not None:
            self.join(sess, server)

    # Sessions

    def on_came(self, event: SessionArrived) -> None:
        load = None
        if not self.site.reports_load and event.hint is not None:
            load = event.hint
            self.learn_load(load)
        self.came.append(self.now)
        sess = Session(event.listener, self.now + event.budget, load, event.subject)
        self.sessions[event.session_id] = sess
        if event.mid_flow and event.subject is not None:
            home = self.servers.get(self.homes.get(event.subject, -1))
            if home is not None and home.state is not ServerState.GONE:
                self.dial(event.session_id, sess, home)
                return
        self.place(event.session_id, sess)

    def on_stands(self, event: SessionRestored) -> None:
        load = None if self.site.reports_load else event.hint
        sess = Session(event.listener, 0, load, event.subject)
        sess.dials = 1
        sess.standing = True
        self.sessions[event.session_id] = sess
        server = self.servers.get(event.server)
        if server is not None:
            self.join(sess, server)
            server.open_sessions[event.session_id] = sess
            if self.site.is_passthrough and event.subject is not None:
                self.homes[event.subject] = server.index

    def on_left(self, event: SessionLeft) -> None:
        sess = self.sessions.get(event.session_id)
        if sess is None:
            return
        if sess.server is None:
            del self.sessions[event.session_id]  # no dial is out: it waited for a report
            return
        sess.server.open_sessions.pop(event.session_id, None)
        self.leave(sess)
        sess.finished = True  # its dial is still out and will end; then the session is let go

    def place(self, index: int, sess: Session) -> None:
        """Dials the best server, or gives the final answer at once when no dial can help."""
        left = sess.deadline - self.now
        if self.storm and (self.setting_up >= self.room or self.now < self.pause_until):
            self.give_up(index, sess, Reason.THROTTLED)
            return
        reason = self.why_no_dial(sess, left)
        if reason is None:
            server = None
            if sess.asked < ASKS and not self.is_crowded_out():
                server = self.pick(sess)
            # Guards against an overload in which one more session spoils those that stand.
            fits = server is not None and not self.is_pressed(server)
            if fits and not (self.wary and self.is_unheard(server)):
                if self.site.may_probe and left > 2 * self.ask_wait and self.is_unknown(server):
                    sess.asked_last = server
                    self.ask(index, server)
                else:
                    self.dial(index, sess, server)
                return
            reason = Reason.NO_CAPACITY if self.candidates.ready else Reason.NO_SERVER
            if self.candidates.ready:
                if self.now - self.crowd_at > LOG_PAUSE:
                    self.log(f"no room: {self.full_share:.2f} of the servers heard of at their cap; refusing")
                self.crowd_at = self.now
        self.give_up(index, sess, reason)

    def why_no_dial(self, sess: Session, left: int) -> Reason | None:
        """What forbids one more dial, whatever the servers."""
        if sess.dials >= self.site.max_dials:
            return Reason.DIALS_EXHAUSTED
        if left <= 2 * self.site.tick:
            return Reason.DEADLINE
        return None if self.may_repeat(sess) else Reason.MAY_HAVE_RUN

    def is_unknown(self, server: Server) -> bool:
        """Whether asking could help: no report that tells, and no question just left unanswered."""
        return self.now > server.report_valid_until and self.now >= server.silent_until

    def ask(self, index: int, server: Server) -> None:
        """Holds the session until the server that it would go to has told its load.

        Only what a decision needs is probed: the probes of all balancers grow with the sessions, not with
        balancers times servers.
        """
        self.candidates.activate(server)
        if not server.probe_waiters:
            server.probed_at = self.now
            self.out.append(Probe(server.index))
            self.set_timer(Timer.PROBE_TIMEOUT, server.index, self.ask_wait)
        server.probe_waiters.append(index)

    def answer(self, server: Server) -> None:
        """Places the sessions that waited for this server's report, which has come or is overdue."""
        asking, server.probe_waiters = server.probe_waiters, []
        for index in asking:
            sess = self.sessions.get(index)
            if sess is not None:
                sess.asked += self.is_pressed(server)
                self.place(index, sess)

    def may_repeat(self, sess: Session) -> bool:
        if sess.may_have_run is None:
            return True
        listener = self.site.listeners[sess.listener]
        if listener.effect is Effect.IDEMPOTENT:
            return True
        if listener.effect is Effect.AT_MOST_ONCE:
            return False
        return (
            self.now + self.site.connect_timeout - sess.ran_at <= listener.dedup_window
        )  # the line goes by then

    def blame(self, sess: Session) -> None:
        for server in sess.erred:
            self.burden(server, self.load_of(sess))
            self.set_up_went(server, False)
        sess.erred = []

    def give_up(self, index: int, sess: Session, reason: Reason) -> None:
        if len(set(sess.erred)) == 1:
            # Of several none is blamed: guards against a line that no server can use, taken for their fault.
            self.blame(sess)
        listener = self.site.listeners[sess.listener]
        harmless = (
            sess.may_have_run is None
            or listener.effect is Effect.IDEMPOTENT
            or (listener.effect is Effect.DEDUPLICATED and listener.dedup_scope is DedupScope.ALL)
        )
        if harmless:
            most = self.site.max_retry_after
            self.out.append(Refuse(index, int(self.uniform(most / 4, most)) if most else 0, reason))
        else:
            self.out.append(TearDown(index, reason))
        del self.sessions[index]

    def dial(self, index: int, sess: Session, server: Server) -> None:
        left = sess.deadline - self.now - 2 * self.site.tick
        planned = min(PLANNED_DIALS, self.site.max_dials) - sess.dials
        limit = left
        if planned > 1 and not self.storm:
            # A dial that does not stand within the handshake target gives way while another still fits.
            target = self.site.listeners[sess.listener].handshake_target
            limit = min(left // planned, max(target, self.site.connect_timeout))
        sess.dials += 1
        sess.dialled_at = self.now
        sess.tried.append(server.index)
        self.join(sess, server)
        server.pending_dials += 1
        self.setting_up += 1
        if server.is_unhealthy:
            server.trial_at = self.trial_time(server)
        if self.is_cold(server) or self.is_gated():
            server.sent_loads.append((self.now, self.load_of(sess)))
        self.out.append(Dial(index, server.index, max(limit, 1)))

    def on_established(self, event: SessionEstablished) -> None:
        sess = self.sessions.get(event.session_id)
        server = self.servers[event.server]
        server.pending_dials -= 1
        self.setting_up -= 1
        self.set_up_went(server, True, late=event.setup_duration > self.late_after)
        if not self.site.reports_delay:
            self.judge_set_up(server, event.setup_duration)
        if not self.is_cold(server):
            own = server.zone == self.site.zone
            self.nearest[own] = min(event.setup_duration, self.nearest.get(own, event.setup_duration))
            self.work.setdefault(server.kind, deque(maxlen=RECENT_LIMIT)).append((own, event.setup_duration))
        if sess is None:
            return
        self.blame(sess)
        sess.standing = True
        if sess.finished:
            return
        server.open_sessions[event.session_id] = sess
        if self.site.is_passthrough and sess.subject is not None:
            self.homes[sess.subject] = server.index

    def on_dial_ended(self, event: DialEnded) -> None:
        server = self.servers[event.server]
        if event.utilization is not None:
            self.take_report(server, event.utilization)
        sess = self.sessions.get(event.session_id)
        if sess is None:
            return
        outcome = event.outcome
        lost = self.load_of(sess)
        self.leave(sess)
        if sess.standing:
            server.open_sessions.pop(event.session_id, None)
            if outcome not in (DialOutcome.COMPLETED, DialOutcome.CANCELLED, DialOutcome.MOVED):
                # Guards against a server that resets its connections and so empties its sum.
                self.burden(server, lost)
            if self.site.is_passthrough and sess.subject is not None:
                self.homes.pop(sess.subject, None)
        else:
            server.pending_dials -= 1
            self.setting_up -= 1
            if outcome is DialOutcome.COMPLETED:
                self.set_up_went(server, True)  # answered in one piece, without being established first
            elif outcome is DialOutcome.REJECTED:
                server.full_until = self.now + int(self.uniform(self.try_wait / 2, self.try_wait))
            elif outcome is DialOutcome.ERROR:
                sess.erred.append(server)
            elif outcome not in (DialOutcome.CANCELLED, DialOutcome.MOVED, DialOutcome.NOT_SENT):
                self.burden(server, lost)
                self.set_up_went(server, False, outcome is DialOutcome.UNREACHABLE)
        if event.complete or sess.standing or sess.finished:
            del self.sessions[event.session_id]
            return
        if outcome not in NEVER_EXECUTED and sess.may_have_run is None:
            sess.may_have_run = server
            sess.ran_at = sess.dialled_at
        self.came.append(self.now)
        self.place(event.session_id, sess)

    # The pick

    def pick(self, sess: Session) -> Server | None:
        """The smallest own summed load among the servers that may be used; random among ties.

        Where the list gives weights the chances of tied servers go by them, and by nothing else.
        """
        ahead = self.load_of(sess)
        # Guards against an overload in which a balancer with few sessions keeps filling servers of which
        # it hears nothing, as their sums are zero: by chance they are taken to be like those heard of.
        self.wary = not self.site.may_probe and self.uniform(0, 1) < self.full_share
        self.prepare(sess)
        if self.now - self.kinds_at > LOOK_EVERY:
            self.look_at_kinds()
        passed: set[int] = set()  # without room, cold or under the bound on blind growth
        spent = False  # no idle cold server has room
        sums: WarmSums | None = None
        while ties := self.least(sess, ahead, passed, spent):
            asked = sess.asked_last  # its report was waited for
            if asked is not None and asked in ties.servers:
                sums = sums or self.warm_sums()
                if self.lets_in(asked, ahead, ties, sums):
                    return asked
                passed.add(asked.index)
                ties.servers.remove(asked)
            # Cold ones come first among ties: guards against windows that pass unused where many tie.
            cold, warm = self.split(ties)
            if cold:
                sums = sums or self.warm_sums()
                server = self.pick_cold(cold, ahead, sums)
                if server is not None:
                    return server
                passed.update(one.index for one in cold.servers)
                spent = spent or bool(cold.groups)
            server = self.pick_warm(warm, ahead, passed, sums)
            if server is not None:
                return server
        return None

    def prepare(self, sess: Session) -> None:
        """Brings what is idle up to date, and takes out of it what this session can't be sent to alike."""
        candidates = self.candidates
        candidates.advance_stages(self.now)
        if self.now - self.settled_at >= SETTLE_EVERY:
            self.settled_at = self.now
            candidates.regroup_idle(self.now, list(candidates.active.values()))
        for index in sess.tried:
            candidates.activate(self.servers[index])
        if self.keeps_to_cell(sess):
            for server in candidates.by_cell.get(sess.may_have_run.cell, {}).values():
                candidates.activate(server)

    def split(self, ties: Ties) -> tuple[Ties, Ties]:
        """The cold ones and the others."""
        cold, warm = Ties([], []), Ties([], [])
        for server in ties.servers:
            (cold if self.is_cold(server) else warm).servers.append(server)
        for group in ties.groups:
            (cold if isinstance(group, ColdGroup) else warm).groups.append(group)
        return cold, warm

    def pick_cold(self, ties: Ties, ahead: float, sums: WarmSums) -> Server | None:
        """Drawn among those whose budget lets this session in; None if there is none."""
        site = self.site
        granted = [one for one in ties.servers if self.lets_in(one, ahead, ties, sums)]
        for group in ties.groups:
            group.renew_draws(self.now, site.overload_window, self.uniform)
            most = self.able_part(max(site.start_capacity, 1.0)) * self.sum_of_kind(group.key.kind, sums)
            chance = 1.0 if most >= ahead else chance_for(most / max(ahead, self.mean), site.replicas)
            granted += [one for one in group.drawn_below(chance) if self.lets_in(one, ahead, ties, sums)]
        if len(granted) < 2:
            return granted[0] if granted else None
        shares = self.shares_of_kinds(ties)
        return self.choices(granted, [self.draw_weight(one) * shares[one.kind] for one in granted])[0]

    def pick_warm(self, ties: Ties, ahead: float, passed: set[int], sums: WarmSums | None) -> Server | None:
        """Drawn among these; None if the bound on blind growth lets none of them take the session."""
        while ties:
            drawn = self.draw(ties)
            if isinstance(drawn, Group):
                return drawn.draw(self.uniform)  # where that bound acts, idle ones are refused by `place`
            if not self.is_gated():
                return drawn
            sums = sums or self.warm_sums()
            if self.lets_in(drawn, ahead, ties, sums):
                return drawn
            passed.add(drawn.index)
            ties.servers.remove(drawn)
        return None

    def lets_in(self, server: Server, ahead: float, ties: Ties, sums: WarmSums) -> bool:
        """Whether the budget of a cold server, or the bound on blind growth, has room for this session."""
        cold = self.is_cold(server)
        if not (cold or self.is_gated()):
            return True
        share = self.cold_part(server) if cold else BLIND
        window = self.site.overload_window if cold else BLIND_FOR
        room = self.room_left(server, share * self.sum_of_kind(server.kind, sums), window)
        return room >= ahead or (room > 0 and self.may_grant(server, room, ahead, window, ties))

    def draw(self, ties: Ties) -> Server | Group:
        """By the list's weights, of each kind of machine by its part, and within it by what newcomers lack.

        Guards against many balancers whose sums are zero nearly everywhere, so that all their ties together
        level what is not alike: slow kinds came to hold as many as fast ones, newcomers stayed empty.
        """
        parts: list[Server | Group] = [*ties.servers, *ties.groups]
        if len(parts) == 1:
            return parts[0]
        if len(self.kind_parts) > 1:
            tied: dict[int, list[Server | Group]] = {}
            for part in parts:
                tied.setdefault(kind_of(part), []).append(part)
            parts = tied[self.choices(list(tied), [self.kind_parts[kind] for kind in tied])[0]]
        return self.choices(parts, [self.draw_weight(part) for part in parts])[0]

    def draw_weight(self, part: Server | Group) -> float:
        """Less for settled servers while newcomers of their kind lack sessions."""
        pull = self.pull.get(kind_of(part), 1.0)
        if pull < 1.0:
            stage = part.key.stage if isinstance(part, Group) else self.candidates.stage_of(part, self.now)
            pull = pull if stage is AgeStage.SETTLED else 1.0
        return part.weight * pull

    def shares_of_kinds(self, ties: Ties) -> dict[int, float]:
        """By kind, what makes a member's weight its chance to be drawn among all of these."""
        weights: dict[int, float] = {}
        for part in (*ties.servers, *ties.groups):
            kind = kind_of(part)
            weights[kind] = weights.get(kind, 0.0) + self.draw_weight(part)
        if len(self.kind_parts) < 2:
            return dict.fromkeys(weights, 1.0)
        return {kind: self.kind_parts[kind] / weight for kind, weight in weights.items()}

    def chance_of(self, server: Server, ties: Ties) -> float:
        """That these ties are drawn for it."""
        parts = self.kind_parts
        tied = (*ties.servers, *ties.groups)
        part = parts[server.kind] / sum(parts[kind] for kind in {kind_of(one) for one in tied})
        alike = sum(self.draw_weight(one) for one in tied if kind_of(one) == server.kind)
        return part * self.draw_weight(server) / alike

    def look_at_kinds(self) -> None:
        """Sessions and not their loads, which differ too much; one more is taken to be spread over all.

        What a kind carries is told by servers that have been there for long; newcomers hold less for a while.
        """
        self.kinds_at = self.now
        settled: dict[int, Holding] = {}
        young: dict[int, Holding] = {}
        for group in self.candidates.idle_groups():
            among = settled if group.key.stage is AgeStage.SETTLED else young
            among.setdefault(group.key.kind, Holding()).servers += len(group.members)
        for server in self.candidates.active.values():
            is_settled = self.candidates.stage_of(server, self.now) is AgeStage.SETTLED
            holding = (settled if is_settled else young).setdefault(server.kind, Holding())
            holding.servers += 1
            holding.sessions += len(server.open_sessions)
        told = settled or young
        count = sum(one.servers for one in told.values())
        usual = (sum(one.sessions for one in told.values()) + 1) / max(count, 1)
        carries = dict.fromkeys([*settled, *young], usual)
        carries |= {kind: one.mean + 1 / count for kind, one in told.items()}
        lack = {kind: min(one.mean / carries[kind], 1.0) for kind, one in young.items()}
        self.heed_work(carries, usual)
        self.kind_parts = {
            kind: carried * sum(among[kind].servers for among in (settled, young) if kind in among)
            for kind, carried in carries.items()
        }
        self.ease = {kind: usual / carried for kind, carried in carries.items()}
        self.pull = {kind: max(part, LEAST_PULL) for kind, part in lack.items()}

    def heed_work(self, carries: dict[int, float], usual: float) -> None:
        """Corrects what kinds carry by what set-ups took beyond the quickest as far, which goes by speed.

        Guards against a fleet filled without regard to speeds, whose parts a few sessions would repeat. The
        median: guards against one slow server that speaks for its kind.
        """
        excess = {k: sorted(one - self.nearest[own] for own, one in self.work.get(k, ())) for k in carries}
        took = {k: len(each) * each[len(each) // 2] if each else 0 for k, each in excess.items()}
        due = sum(len(each) * usual / carries[kind] for kind, each in excess.items())
        unit = sum(took.values()) / max(due, 1)  # of work, of a kind that carries the usual
        for k, each in excess.items() if unit else ():
            work = took[k] + SETUP_WAITS_LIMIT * unit * usual / carries[k]
            carries[k] = usual * unit * (len(each) + SETUP_WAITS_LIMIT) / work

    def least(self, sess: Session, ahead: float, passed: set[int], spent: bool) -> Ties | None:
        """The servers of the best rank that tie for the smallest sum; `spent`: no idle cold ones."""
        now = self.now
        mean = self.mean
        home, dear = self.site.zone, self.site.may_probe and self.site.cross_zone_price > 0
        wary = self.wary
        best: list[Server] = []
        best_key = (9, 0.0)
        for server in self.candidates.active.values():
            if sess.may_have_run is not None and not self.drops_repeat(sess, server):
                continue
            if passed and server.index in passed:
                continue
            rank = 0
            if sess.tried and server.index in sess.tried:
                rank = 4
            elif server.is_unhealthy and (now < server.trial_at or server.pending_dials):
                rank = 3
            elif server.full_until > now or server.silent_until > now:
                rank = 2
            elif (  # spares calls, as it runs for each server: is_pressed, then what else tells of a cap
                now <= server.slow_until
                or (now <= server.report_valid_until and self.load_now(server) >= CAP)
                or (server.slow_loads and self.would_crowd(server, ahead))
                or (wary and not server.open_sessions and self.is_unheard(server))
            ):
                rank = 1
            elif dear and server.zone == home:
                # Guards against paying for a crossing while no report denies room in the own zone.
                rank = -1
            if rank > best_key[0]:
                continue
            load = server.known_load + server.unknown_load_count * mean
            if now < server.fading_since + FADE_TIME:
                load += self.faded(server)
            key = (rank, load * self.ease.get(server.kind, 1.0))
            if key < best_key:
                best_key = key
                best = [server]
            elif key == best_key:
                best.append(server)
        groups: list[Group] = []
        for group in self.idle_for(sess, spent):
            is_cold = isinstance(group, ColdGroup)
            rank = 1 if wary and not is_cold else -1 if dear and group.key.zone == home else 0
            key = (rank, 0.0)
            if key < best_key:
                best_key = key
                best = []
                groups = [group]
            elif key == best_key:
                groups.append(group)
        return Ties(best, groups) if best or groups else None

    def idle_for(self, sess: Session, spent: bool) -> list[Group]:
        """The idle servers that this session may be sent to, by groups."""
        if self.keeps_to_cell(sess):
            return []  # those of its cell are active now
        groups = self.candidates.idle_groups()
        if spent:
            groups = [group for group in groups if not isinstance(group, ColdGroup)]
        if sess.may_have_run is not None and self.scope_of(sess) is DedupScope.ZONE:
            groups = [group for group in groups if group.key.zone == sess.may_have_run.zone]
        return groups

    def scope_of(self, sess: Session) -> DedupScope:
        """Within which servers drop a repeat of this session's line."""
        listener = self.site.listeners[sess.listener]
        return listener.dedup_scope if listener.effect is Effect.DEDUPLICATED else DedupScope.ALL

    def keeps_to_cell(self, sess: Session) -> bool:
        return sess.may_have_run is not None and self.scope_of(sess) is DedupScope.CELL

    def drops_repeat(self, sess: Session, server: Server) -> bool:
        ran, scope = sess.may_have_run, self.scope_of(sess)
        if ran is None or scope is DedupScope.ALL:
            return True
        return server.zone == ran.zone if scope is DedupScope.ZONE else server.cell == ran.cell

    # Cold servers

    def is_cold(self, server: Server) -> bool:
        return server.started > 0 and self.now - server.started < self.site.warm_after

    def warm_sums(self) -> WarmSums:
        """What the warm servers hold of this balancer's sessions; all servers, where none is warm."""
        candidates = self.candidates
        candidates.advance_stages(self.now)
        any_warm = any(group.key.stage is not AgeStage.COLD for group in candidates.idle_groups())
        any_warm = any_warm or any(not self.is_cold(one) for one in candidates.active.values())
        sums = WarmSums()
        for group in candidates.idle_groups():
            if not any_warm or group.key.stage is not AgeStage.COLD:
                sums.add(group.key.kind, 0.0, len(group.members))
        for server in candidates.active.values():
            if not any_warm or not self.is_cold(server):
                sums.add(server.kind, self.own_sum(server), 1)
        return sums

    def sum_of_kind(self, kind: int, sums: WarmSums) -> float:
        """This balancer's part of what a warm server of this kind is known to be able to carry.

        It is what they hold, or where that is less, what the members' shares promise of each server: guards
        against cold servers held to what the warm ones happen to carry, far under what they could.
        """
        site = self.site
        fair = max(site.quota_connections / max(self.most_listed, 1), 1) * self.mean / site.replicas
        mean = sums.mean()
        if not mean:
            return fair
        # Less a session: guards against balancers that hold more than promised by chance, which add up.
        held = mean - self.mean / sums.servers if site.quota_connections else mean
        return max(sums.mean_of(kind) / mean * max(fair, held), self.mean / site.replicas)

    def is_gated(self) -> bool:
        """By the chance that a server is full, what the others are sent until the next note is bounded.

        Guards against all balancers crowding in turn whatever server is not yet known to be full. Only where
        the deployment states what servers are to carry: a tenth of a sum of one or two would be nothing.
        """
        return self.wary and self.site.quota_connections > 0

    def cold_part(self, server: Server) -> float:
        """What a cold server may be sent in a window, of what a warm one carries."""
        site = self.site
        age = max(self.now - server.started, 0)
        return self.able_part(site.start_capacity + (1 - site.start_capacity) * age / site.warm_after)

    def able_part(self, able: float) -> float:
        """The same, where it can surely do this much of what it can when warm."""
        site = self.site
        return site.overload_factor * able * site.overload_window / site.warm_after

    def room_left(self, server: Server, budget: float, window: int) -> float:
        """What is left of this balancer's part of what the server may be sent in a window."""
        sent = server.sent_loads
        while sent and sent[0][0] <= self.now - window:
            del sent[0]
        return budget - sum(load for _, load in sent)

    def may_grant(self, server: Server, room: float, ahead: float, window: int, ties: Ties) -> bool:
        """Grants less room than a dial by chance, drawn once for a window however many dials ask in it.

        Guards against many balancers that send one dial each and push the server over together. For a warm
        one it is as much higher as less than one dial is likely to ask, as one of these that tie.
        """
        if self.now >= server.draw_valid_until:
            server.admission_draw = self.uniform(0, 1)
            server.draw_valid_until = self.now + window
        if self.is_cold(server):
            return server.admission_draw < chance_for(room / max(ahead, self.mean), self.site.replicas)
        due = len(self.came) * window / max(self.now - self.came[0], 1) * self.chance_of(server, ties)
        return server.admission_draw * self.mean * min(due, 1) < room

    # Health

    def set_up_went(self, server: Server, well: bool, unreachable: bool = False, late: bool = False) -> None:
        if not unreachable:
            self.watch_fleet(server, well and not late, well)
        recent = server.recent_setups
        append_bounded(recent, well, RECENT_LIMIT)
        if well:
            if server.is_unhealthy and (len(recent) < 2 or recent[-2]):
                server.is_unhealthy = False
                server.trial_count = 0
                recent.clear()
                self.log(f"server {server.index} back, {self.count_sick()} still out")
            return
        if server.is_unhealthy:
            server.trial_count += 1
            server.trial_at = self.trial_time(server)
            return
        if self.storm:
            return
        failed = len(recent) - sum(recent)
        if failed < 3 and not (len(recent) > 1 and not recent[-2]):
            return
        out = self.count_sick() + 1
        home = self.site.zone
        if 2 * out > len(self.candidates.ready) and not self.others_well(server, home):
            # Guards against shutting out the fleet for a fault of the own link, the list or the store;
            # with servers of the own zone well, it is the other zones that are cut off.
            if not self.doubt:
                self.doubt = True
                self.log(f"most servers fail, {out} of {len(self.candidates.ready)}; none more taken out")
            return
        self.doubt = False
        self.candidates.activate(server)
        server.is_unhealthy = True
        server.trial_at = self.trial_time(server)
        self.log(f"server {server.index} out: {failed} of {len(recent)} set-ups failed, {out} out")

    def watch_fleet(self, server: Server, well: bool, stood: bool) -> None:
        """Guards against a storm of dials that keeps down what all set-ups need, such as a shared store.

        Told from sick servers and cut links by set-ups that are late or fail all over the fleet, in the
        own zone too.
        """
        self.set_ups.append((server, well))
        bad = [one for one, ok in self.set_ups if not ok]
        if self.storm:
            if well:
                self.room += 1
                if not bad:
                    self.storm = False
                    self.log(f"set-ups work again, {self.room} dials at once")
            elif stood:
                self.room = max(1, self.room - 1)
            else:
                self.room = max(1, self.room // 2)
                self.pause_until = self.now + int(self.uniform(self.try_wait / 5, self.try_wait))
            return
        if 2 * len(bad) < FLEET_RECENT:
            return
        failing = {one.index for one in bad}
        own_zone = self.site.zone
        seen = not self.candidates.zone_counts[own_zone] or any(one.zone == own_zone for one in bad)
        if 3 * len(failing) >= min(len(self.candidates.ready), FLEET_RECENT) and seen:
            self.storm = True
            self.room = 1
            self.log(
                f"{len(bad)} of the last {len(self.set_ups)} set-ups late or failed on {len(failing)} servers"
            )

    def trial_time(self, server: Server) -> int:
        wait = TRIAL_WAIT * 2 ** min(server.trial_count, 2)
        return self.now + int(self.uniform(0.75 * wait, 1.25 * wait))

    def count_sick(self) -> int:
        return sum(s.is_unhealthy for s in self.candidates.active.values())

    def others_well(self, server: Server, zone: int) -> bool:
        """Whether this zone has a server that is not out, beside this one, which is not out yet."""
        sick = sum(s.is_unhealthy and s.zone == zone for s in self.candidates.active.values())
        itself = server.zone == zone and server.ready_position >= 0
        return self.candidates.zone_counts[zone] > sick + itself

    def load_now(self, server: Server) -> float:
        """Load over what the server can do as last reported, 0 where no fresh report tells."""
        if self.now > server.report_valid_until:
            return 0.0
        carried = self.own_sum(server)
        others = (self.site.replicas - 1) * self.mean
        if carried > server.load_at_report and server.load_at_report + others > 0:
            # Guards against a rush to a server whose late report does not yet show what was sent since. The
            # others are taken to hold one session each there, so that sums of one or two say little.
            return server.utilization * (carried + others) / (server.load_at_report + others)
        return server.utilization

    def is_pressed(self, server: Server) -> bool:
        """The load cap: the server says it is nearly full, or its messages are slow."""
        return self.now <= server.slow_until or self.load_now(server) >= CAP

    def would_crowd(self, server: Server, ahead: float) -> bool:
        """The paper's maximum load, learned: own sums at which this server's messages were slow of late.

        Guards against refilling a slow machine as soon as it has recovered, over and over.
        """
        crowded = server.slow_loads
        while crowded and crowded[0][0] < self.now - FADE_TIME:
            del crowded[0]
            server.slow_load_limit = min((load for _, load in crowded), default=0.0)
        return bool(crowded) and server.known_load + ahead > server.slow_load_limit

    def look_round(self) -> None:
        """Counts the servers with room, and the share at their cap of those heard of, only now and then."""
        if self.now - self.looked_at <= LOOK_EVERY:
            return
        self.looked_at = self.now
        full = heard = 0
        self.with_room = self.candidates.count_idle()
        for server in self.candidates.active.values():
            pressed = self.is_pressed(server)
            if (server.open_sessions or self.now <= server.report_valid_until) and not self.is_stuck(server):
                heard += 1
                full += pressed
            if not pressed and not server.is_unhealthy and server.full_until <= self.now:
                self.with_room += 1
        self.full_share = full / (heard + 1)

    def is_crowded_out(self) -> bool:
        """By chance, when most servers are full: by the part of the dials that this balancer does not see.

        Guards against all balancers filling the few good servers of a full fleet at once.
        """
        self.look_round()
        unseen = 0 if self.site.may_probe else 1 - 1 / self.site.replicas
        return self.uniform(0, 1) < unseen * (4 * self.full_share - 2)

    def is_unheard(self, server: Server) -> bool:
        """Nothing tells how this server does: no own session there, and it is no new one."""
        return not (server.open_sessions or server.pending_dials or self.is_cold(server))

    def is_stuck(self, server: Server) -> bool:
        return self.now <= server.slow_until and server.message_delay >= STUCK

    def is_jammed(self, server: Server) -> bool:
        """So far past its cap that its sessions are served badly whatever else happens."""
        slow = self.now <= server.slow_until and server.message_delay > self.shortest_aim
        return slow or self.load_now(server) >= 1

    def judge_set_up(self, server: Server, took: int) -> None:
        """Guards against full servers that nobody tells of: set-ups wait for the same cores as messages.

        What the last few took beyond the quickest in that zone, less the usual, counts as a message's delay.
        """
        quickest = self.quickest[server.zone] = min(took, self.quickest.get(server.zone, took))
        append_bounded(server.setup_waits, took - quickest, SETUP_WAITS_LIMIT)
        self.waits.append(took - quickest)
        if len(server.setup_waits) == SETUP_WAITS_LIMIT:
            usual = sorted(self.waits)[len(self.waits) // 2]
            self.take_delay(server, sum(server.setup_waits) // SETUP_WAITS_LIMIT - usual)

    def on_delay(self, event: DelayReported) -> None:
        self.take_delay(self.servers[event.server], event.delay)

    def take_delay(self, server: Server, delay: int) -> None:
        self.candidates.activate(server)
        server.message_delay = delay if 3 * delay > self.shortest_aim else 0
        server.slow_until = self.now + NOTE_LIFE if server.message_delay else -1
        if server.message_delay:
            self.look_round()
            if self.with_room and not self.is_stuck(server):
                # With all of them slow, or where it hangs, it is not this sum that makes it slow.
                append_bounded(server.slow_loads, (self.now, HEADROOM * server.known_load), SLOW_LOADS_LIMIT)
                server.slow_load_limit = min(load for _, load in server.slow_loads)
        if delay <= self.shortest_aim:
            server.slow_streak = 0
            return
        # A message waits for the work piled up before it: what was sent in that time has to go elsewhere for
        # the pile to be worked off in a second. The share also grows with each further note past the aim: a
        # heavy session that fits no small share must go too.
        server.slow_streak += 1
        share = max(min(SHARE_STEP * (1 + server.slow_streak), MOST_MOVED), min(delay / SECOND, 1))
        self.relieve(server, share, SECOND // 2)

    def relieve(self, server: Server, share: float, pause: int) -> None:
        """Last resort: moves own sessions off a server that stays past its cap while others have room."""
        if self.storm or self.now - server.relieved_at < pause:
            return
        self.look_round()
        room_elsewhere = self.with_room > 0
        if not room_elsewhere and not self.is_jammed(server):
            return
        if not room_elsewhere:
            # Guards against emptying the fleet for a fault that strikes all of it and passes.
            share = min(share, 2 * SHARE_STEP)
        surplus = room = share * self.own_sum(server)
        # The heaviest that fit come first and light ones stay: few moves, each worth its price.
        order = sorted(
            server.open_sessions.items(), key=lambda item: self.move_order(item[1], room_elsewhere)
        )
        least = max(surplus / 20, self.mean / 2)
        moved = 0
        for index, sess in order:
            load = self.load_of(sess)
            if room <= 0:
                break
            if load < least:
                continue
            if load <= 1.5 * room:
                room -= load
                moved += 1
                self.out.append(Move(index))
        if not moved and order and self.uniform(0, self.load_of(order[0][1])) < room:
            # Guards against few sessions, none of which fits the share, left on a slow server for good:
            # one goes by chance, so that over many balancers the share is kept.
            moved = 1
            self.out.append(Move(order[0][0]))
        if moved:
            if self.now - server.relieved_at > LOG_PAUSE:
                self.log(
                    f"server {server.index} past its cap: load {self.load_now(server):.2f}, message "
                    f"{server.message_delay / 10:.0f} ms; "
                    f"moving, {moved} of {len(server.open_sessions)} first"
                )
            server.relieved_at = self.now

    def move_order(self, sess: Session, room_elsewhere: bool) -> tuple[float, float]:
        """Heaviest first; where no other server has room, those of the least utility before that."""
        utility = 0.0 if room_elsewhere else self.site.listeners[sess.listener].utility
        return utility, -self.load_of(sess)

    def on_probed(self, event: ProbeEnded) -> None:
        if event.answered and event.utilization is not None:
            server = self.servers[event.server]
            self.take_report(server, event.utilization)
            server.silent_until = 0
            self.answer(server)

    def take_report(self, server: Server, pressure: float) -> None:
        self.candidates.activate(server)
        server.utilization = pressure
        # An old report tells only what is far from the cap.
        server.report_valid_until = self.now + int(min(REPORT_LIFE, abs(pressure - CAP) / DRIFT))
        server.load_at_report = server.known_load
        if pressure >= RELIEF_FROM:
            self.relieve(server, (pressure - RELIEF_TO) / pressure, RELIEF_PAUSE)

    # Timers

    def on_timer(self, event: TimerFired) -> None:
        if event.timer is Timer.LIST_REQUEST:
            self.out.append(RequestList())
        elif event.timer is Timer.PROBE_TIMEOUT:
            server = self.servers[event.index]
            if server.probe_waiters and self.now - server.probed_at >= self.ask_wait:
                # Guards against waiting for a server out of reach; it is passed over while others answer.
                self.candidates.activate(server)
                server.silent_until = self.now + REPORT_LIFE
                self.answer(server)

    def set_timer(self, timer: Timer, index: int, after: float) -> None:
        self.out.append(SetTimer(timer, index, int(after) + 1))

    def log(self, text: str) -> None:
        self.out.append(Log(text))
