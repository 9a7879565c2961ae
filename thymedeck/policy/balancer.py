"""Placement policy: all decisions of a balancer, without I/O.

The caller creates a Balancer(seed, deployment) for each balancer, passes each event to `handle(now, event)`
and carries out the returned actions in order. The types of events and actions are in
thymedeck/interface.py. `now` and all times are whole tenths of a millisecond; durations may be fractions of
one. Loads are on one scale: that of the loads reported for sessions where the deployment has them reported,
otherwise that of the clients' hints. A session is in `Balancer.sessions` from its arrival until its final
answer or its end.

Sessions are placed on the server with the smallest sum of the loads of this balancer's own sessions, as
balancers don't know one another's sessions. Around that rule there are: an initial load for new servers,
slow start for cold ones, a learned load cap, a circuit breaker for each server, throttling when set-ups fail
on the whole fleet, and moves of sessions off overloaded servers. A decision visits the servers of which this
balancer has observed something one by one, and all others in groups (candidates.py).
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
from .repeats import repeat_deadline
from .server import (
    FADE_TIME,
    LEARNED_CAPS_LIMIT,
    RECENT_LIMIT,
    SECOND,
    SETUP_WAITS_LIMIT,
    Server,
    append_bounded,
)

LOG_REPEAT_INTERVAL = 10 * SECOND  # a condition absent for longer is logged again when it returns
HISTORY_LIMIT = 100  # recent sessions whose mean load stands in for an unknown load (docs/design.md)
TRIAL_DELAY = SECOND  # mean delay until the first trial dial to an ejected server
# Slow messages are reported every second; after two missing reports they are likely over.
DELAY_REPORT_LIFETIME = 25_000
UTILIZATION_REPORT_LIFETIME = 5 * SECOND  # older reports are not trusted
UTILIZATION_DRIFT = 0.15 / SECOND  # assumed fastest change towards the load cap after a report
MAX_FULL_ANSWERS = 8  # probed servers found at their load cap before the session is refused
LEARNED_CAP_FACTOR = 0.9  # learned load cap, as a part of the load sum at which messages were slow
FLEET_SETUPS_LIMIT = 16  # latest set-ups over the whole fleet, from which throttling is decided
# Backoff of a balancer after a server has refused a session, or after a failed set-up while dials are
# throttled. Within limits, it is proportional to the number of balancers, as the retries of all add up.
BACKOFF_PER_BALANCER = SECOND / 6
MIN_BACKOFF, MAX_BACKOFF = SECOND / 2, 5 * SECOND
LOAD_CAP = 0.75  # utilization from which a server is passed over; if all are at it, sessions are refused
MOVE_ABOVE = 0.9  # utilization from which sessions are moved off: it may pass 1 before the next report
MOVE_DOWN_TO = 0.7  # a little under the load cap, so that the server is not at the cap again at once
HUNG_DELAY = SECOND // 2  # a message delay from here on means a server that hangs, not one that is full
MOVE_SHARE_STEP = 0.05  # part of the load sum that each further report of slow messages adds to what is moved
GROWTH_LIMIT = 2 * MOVE_SHARE_STEP  # part of a server's expected load that it may be sent in GROWTH_WINDOW
GROWTH_WINDOW = SECOND  # delay reports come as often
MAX_STEPPED_SHARE = 0.5  # limit of the steps above, as the next report may show that the moves were enough
RECOUNT_INTERVAL = SECOND  # between counts over all active servers; delay reports come as often
MOVE_PAUSE = 3 * SECOND  # between moves by utilization, until a report shows the effect of the last ones
REGROUP_INTERVAL = SECOND // 10  # between checks for active servers that have become idle
LIST_SPREAD_PER_BALANCER = 0.005  # time for each balancer's list request, as a part of `list_poll_within`
MIN_SETTLED_WEIGHT = 1e-6  # least factor; above zero, as a draw among settled servers alone needs weights
# Longest spread of the list requests of all balancers, as a part of `list_poll_within`. It leaves time for a
# second request if the first fails.
MAX_LIST_SPREAD = 0.4
# A list must be known 6 s after it becomes available, and a request may take 2 s to be answered.
MAX_LIST_REQUEST_INTERVAL = 3.8 * SECOND
# Difference kept between the square roots of a limit and of the expected value of a Poisson-distributed
# sum: the sum then exceeds the limit in fewer than one window of 50,000.
POISSON_ROOT_MARGIN = 2.3
PLANNED_DIALS = 3  # dials among which the time until the dial timeout is divided


class Session:
    """A session held by this balancer."""

    __slots__ = (
        "deadline", "dial_count", "dialled_at", "errored_servers", "full_answers", "has_left",
        "is_established", "listener", "load", "possible_executor", "possibly_ran_at", "probed_server",
        "server", "subject", "tried_servers",
    )  # fmt: skip

    def __init__(self, listener: int, deadline: int, load: float | None, subject: str | None) -> None:
        self.listener = listener
        self.deadline = deadline  # when the final answer is due
        self.load = load  # None: not known yet, counts as the mean
        self.subject = subject
        self.full_answers = 0  # probed servers that were at their load cap
        self.probed_server: Server | None = None  # the last one whose report this session waited for
        self.dial_count = 0
        self.dialled_at = 0
        self.tried_servers: list[int] = []  # indices
        self.errored_servers: list[Server] = []  # answered with an error that is not yet counted against them
        self.server: Server | None = None  # whose load sum contains this session
        self.possible_executor: Server | None = None  # first server that may have executed the opening line
        self.possibly_ran_at = 0  # when that server was dialled
        self.is_established = False
        self.has_left = False  # the client has left, but the end of the dial is still to come


class Ties(NamedTuple):
    """Servers that tie for a session: active ones one by one, idle ones in groups."""

    servers: list[Server]
    groups: list[Group]

    def __bool__(self) -> bool:
        return bool(self.servers or self.groups)


class KindCounts:
    """The number of servers of a kind of machine, and of this balancer's open sessions on them."""

    __slots__ = ("servers", "sessions")

    def __init__(self) -> None:
        self.servers = 0
        self.sessions = 0

    @property
    def sessions_per_server(self) -> float:
        return self.sessions / self.servers


class WarmLoads:
    """The load sums of warm servers, in total and by kind of machine."""

    def __init__(self) -> None:
        self.server_count = 0
        self.total = 0.0
        self.by_kind: dict[int, tuple[float, int]] = {}  # load, number of servers

    def add(self, kind: int, load: float, servers: int) -> None:
        self.server_count += servers
        self.total += load
        before, count = self.by_kind.get(kind, (0.0, 0))
        self.by_kind[kind] = (before + load, count + servers)

    def mean(self) -> float:
        return self.total / self.server_count if self.server_count else 0.0

    def mean_of_kind(self, kind: int) -> float:
        """Returns the mean over this kind, or over all kinds where this one has no warm server."""
        load, servers = self.by_kind.get(kind, (0.0, 0))
        return load / servers if servers else self.mean()


def kind_of(candidate: Server | Group) -> int:
    return candidate.key.kind if isinstance(candidate, Group) else candidate.kind


def admission_probability(share: float, replicas: int) -> float:
    """Returns the probability with which a cold server admits a session in a window.

    `share` is this balancer's budget for the window in sessions, from 0 to 1; N is the sum of the shares
    of all balancers. A cold server is taken to fail with more than N + 2 sqrt(N) + 2 sessions in a window
    (see lab/cold.py). All balancers draw independently. If each admitted a session with the probability
    `share`, the sum would vary like a Poisson distribution for small shares, and would exceed that limit
    too often; so the probability is reduced to the fraction `least` of a small share. The sum varies less
    the closer the draws are to certainty, and not at all with a share of 1. So the factor rises with the
    share, up to 1.
    """
    total = max(share * replicas, 1)
    least = max(
        (((total**0.5 + 1) ** 2 + 1) ** 0.5 - POISSON_ROOT_MARGIN) ** 2 / total if total > 5 else 0, 0.3
    )
    return share * (least + (1 - least) * share**0.8)


class Balancer:
    """The decisions of one balancer, see the module's docstring."""

    def __init__(self, seed: int, deployment: Deployment) -> None:
        self.deployment = deployment
        self.shortest_message_aim = min(listener.message_aim for listener in deployment.listeners)
        # A set-up that takes half the shortest handshake target is late: what it needs, such as a shared
        # store, is nearly exhausted.
        self.late_setup_threshold = min(listener.handshake_target for listener in deployment.listeners) // 2
        # Jitter for list requests: the list service does not grow with the balancers, whose simultaneous
        # requests would queue up there.
        self.list_request_spread = (
            min(LIST_SPREAD_PER_BALANCER * deployment.replicas, MAX_LIST_SPREAD) * deployment.list_poll_within
        )
        # Balancers retry independently, and all of them together must let a server or a shared resource
        # recover.
        self.backoff = min(max(BACKOFF_PER_BALANCER * deployment.replicas, MIN_BACKOFF), MAX_BACKOFF)
        generator = random.Random(seed)
        self.uniform = generator.uniform
        self.choice = generator.choice
        self.choices = generator.choices
        self.probe_timeout = self.late_setup_threshold // 2  # four probes fit the shortest handshake target
        self.now = 0
        self.actions: list[Action] = []
        self.servers: dict[int, Server] = {}
        self.candidates = Candidates(deployment.warm_after, max(deployment.overload_window, GROWTH_WINDOW))
        self.regrouped_at = 0  # when active servers were last checked for idle ones
        self.listed_count = 0  # servers on the list, in any state
        self.max_listed_count = 0  # highest number of servers on the list at once
        self.sessions: dict[int, Session] = {}
        self.recent_loads: deque[float] = deque(maxlen=HISTORY_LIMIT)
        self.mean_load = 1.0  # of these; 1 until a load is known
        self.subject_servers: dict[str, int] = {}  # server of the open session of a subject, for moved flows
        self.list_failures = 0  # consecutive
        self.is_ejection_suspended = False  # most of the fleet fails, so no more servers are ejected
        self.quickest_setups: dict[int, int] = {}  # by zone
        self.recent_setup_waits: deque[int] = deque(maxlen=HISTORY_LIMIT)  # set-up times beyond the quickest
        self.fleet_setups: deque[tuple[Server, bool]] = deque(maxlen=FLEET_SETUPS_LIMIT)  # succeeded in time
        self.dial_times: deque[int] = deque((0,), maxlen=RECENT_LIMIT)  # when sessions last needed a dial
        self.pending_dials = 0  # set-ups in progress
        self.is_throttling = False  # dials are limited, as set-ups fail on the whole fleet
        self.dial_limit = 1  # concurrent dials allowed while throttling
        self.dials_paused_until = 0  # while throttling
        # Whether servers of which this balancer observes nothing are assumed to be full; drawn for each pick.
        self.assumes_unobserved_full = False
        self.full_fraction = 0.0  # of the observed servers, those at their load cap
        self.available_count = 0  # servers neither known to be full nor ejected
        self.recounted_at = -RECOUNT_INTERVAL - 1  # when these two were last computed
        self.kind_shares: dict[int, float] = {}  # by kind of machine: weight of all its servers in a draw
        # By kind: multiplies its load sums, which count half for a kind that carries twice the mean.
        self.load_factors: dict[int, float] = {}
        # By kind: multiplies the weights of settled servers in a draw, below 1 while newcomers lack sessions.
        self.settled_weights: dict[int, float] = {}
        self.kinds_updated_at = -RECOUNT_INTERVAL - 1
        self.quickest_by_distance: dict[bool, int] = {}  # quickest set-up, True: in the own zone
        # By kind: the last set-ups, whether in the own zone and how long they took.
        self.kind_setups: dict[int, deque[tuple[bool, int]]] = {}
        self.no_capacity_at = -LOG_REPEAT_INTERVAL - 1  # last refusal because every server was at its cap
        self.handlers: dict[type, Callable[[Event], None]] = {
            ServerListUpdated: self.on_list_updated, SessionArrived: self.on_session_arrived,
            SessionRestored: self.on_session_restored, SessionLeft: self.on_session_left,
            SessionEstablished: self.on_session_established, DialEnded: self.on_dial_ended,
            LoadReported: self.on_load_reported, DelayReported: self.on_delay_reported,
            ProbeEnded: self.on_probe_ended, TimerFired: self.on_timer_fired,
        }  # fmt: skip

    def handle(self, now: int, event: Event) -> list[Action]:
        """Processes an event and returns the actions to carry out, in order."""
        self.now = now
        self.actions = []
        self.handlers[type(event)](event)
        return self.actions

    # Server list

    def on_list_updated(self, event: ServerListUpdated) -> None:
        deployment = self.deployment
        if event.kind is ListKind.SAVED and deployment.list_on_request:
            self.set_timer(
                Timer.LIST_REQUEST,
                0,
                self.uniform(0, min(self.list_request_spread, MAX_LIST_REQUEST_INTERVAL)),
            )
        elif event.kind is ListKind.FAILED:
            self.list_failures += 1
            max_delay = max(
                deployment.list_poll_within / 20 * 2 ** min(self.list_failures, 3), self.list_request_spread
            )
            # What the list service pushes counts as received by this balancer even while it has no watch
            # open. So that a drain is not noticed too late, the delay is at most a quarter of its grace time.
            pushed_delay = deployment.drain_grace / 4 * 2**event.backoff
            max_delay = min(
                max_delay,
                MAX_LIST_REQUEST_INTERVAL - event.call_duration,
                max_delay if deployment.list_on_request else pushed_delay,
            )
            # Balancers whose requests were scheduled at different times keep that distance; after
            # simultaneous failures the jitter starts at zero.
            min_delay = (
                max(max_delay / 2, min(max_delay, self.list_request_spread)) if event.is_scheduled else 0
            )
            self.set_timer(Timer.LIST_REQUEST, 0, self.uniform(min_delay, max_delay))
            if self.list_failures == 1:
                self.log("server list unavailable; using the last one")
            return
        elif self.list_failures:
            self.log(f"server list available again after {self.list_failures} failures")
            self.list_failures = 0
        known = list(self.candidates.ready)  # before this list; initial loads are taken from these servers
        # A list and not a generator, as every entry has to be applied.
        changed = any([self.apply_entry(entry, known) for entry in event.entries])
        if event.kind is not ListKind.CHANGES:
            named = {entry.server for entry in event.entries}
            for server in self.servers.values():
                if server.index not in named:
                    self.mark_gone(server)
        self.candidates.regroup_idle(self.now, list(self.candidates.active.values()))
        if changed or event.kind is not ListKind.CHANGES:
            # `draw_candidate` looks up the share of each kind; a kind that is new on the list has none before
            # the next update.
            self.kinds_updated_at = -RECOUNT_INTERVAL - 1
            self.max_listed_count = max(self.max_listed_count, self.listed_count, event.listed_count)

    def apply_entry(self, entry: ServerEntry, known: list[Server]) -> bool:
        """Applies an entry of the list and returns whether more than the weight has changed."""
        server = self.servers.get(entry.server)
        if server is None:
            server = self.servers[entry.server] = Server(entry)
            self.listed_count += entry.state is not ServerState.GONE
            self.add_initial_load(server, known)
            self.add_if_ready(server)
            return True
        if entry.started == server.started and entry.state is server.state:
            self.candidates.set_weight(server, entry.weight)
            return False
        self.candidates.remove(server)
        self.listed_count += (entry.state is not ServerState.GONE) - (server.state is not ServerState.GONE)
        restarted = entry.started > server.started
        server.update_from(entry)
        if restarted:
            # Its load sum drops as its sessions end, which would attract a rush of new ones.
            server.reset_history()
            self.add_initial_load(server, known)
        self.add_if_ready(server)
        return True

    def mark_gone(self, server: Server) -> None:
        if server.state is not ServerState.GONE:
            self.candidates.remove(server)
            self.listed_count -= 1
            server.state = ServerState.GONE

    def add_if_ready(self, server: Server) -> None:
        if server.state is ServerState.READY:
            self.candidates.add(server, self.now)

    def add_initial_load(self, server: Server, known: list[Server]) -> None:
        """Adds the load sum of a random other server to that of a new one, as a load that fades.

        On average over the balancers that is the mean sum. The mean itself would put the newcomer behind
        nearly all servers wherever most sums are zero, until it has faded. A cold server gets no initial
        load, as its slow start budget limits it: both together would leave it empty while all balancers
        crowd the warm ones.
        """
        if known and not self.is_cold(server):
            self.add_fading_load(server, self.load_sum(self.choice(known)))

    # Load sums

    def record_load(self, load: float) -> None:
        """Takes a known load into the mean that stands in for unknown ones."""
        self.recent_loads.append(load)
        self.mean_load = sum(self.recent_loads) / len(self.recent_loads)

    def load_of(self, session: Session) -> float:
        return self.mean_load if session.load is None else session.load

    def load_sum(self, server: Server) -> float:
        """Returns the sum of the loads of this balancer's sessions on the server, without the fading load."""
        return server.known_load + server.unknown_load_count * self.mean_load

    def remaining_fading_load(self, server: Server) -> float:
        remaining = FADE_TIME - (self.now - server.fading_since)
        return server.fading_load * remaining / FADE_TIME if remaining > 0 else 0.0

    def add_fading_load(self, server: Server, load: float) -> None:
        """Adds load that fades linearly over FADE_TIME; what remains of earlier ones starts to fade anew.

        It is the initial load of a new server, or the load that a failure or a reset has taken off the sum.
        """
        self.candidates.activate(server)
        server.fading_load = load + self.remaining_fading_load(server)
        server.fading_since = self.now

    def add_to_sum(self, session: Session, server: Server) -> None:
        self.candidates.activate(server)
        session.server = server
        server.session_count += 1
        server.unknown_load_count += session.load is None
        server.known_load += session.load or 0.0

    def remove_from_sum(self, session: Session) -> None:
        server = session.server
        if server is None:
            return
        server.session_count -= 1
        if session.load is None:
            server.unknown_load_count -= 1
        elif server.session_count > server.unknown_load_count:
            server.known_load = max(server.known_load - session.load, 0.0)
        else:
            # No session of known load is left; a subtraction may leave a rounding error.
            server.known_load = 0.0
        session.server = None

    def on_load_reported(self, event: LoadReported) -> None:
        session = self.sessions.get(event.session_id)
        if session is None or not self.deployment.reports_load:
            return
        if session.load is None:
            self.record_load(event.load)
        server = session.server
        self.remove_from_sum(session)
        session.load = event.load
        if server is not None:
            self.add_to_sum(session, server)

    # Sessions

    def on_session_arrived(self, event: SessionArrived) -> None:
        load = None
        if not self.deployment.reports_load and event.hint is not None:
            load = event.hint
            self.record_load(load)
        self.dial_times.append(self.now)
        session = Session(event.listener, self.now + event.budget, load, event.subject)
        self.sessions[event.session_id] = session
        if event.mid_flow and event.subject is not None:
            # A flow that has moved here goes on at its server, also while that drains.
            server = self.servers.get(self.subject_servers.get(event.subject, -1))
            if server is not None and server.state is not ServerState.GONE:
                self.dial(event.session_id, session, server)
                return
        self.place(event.session_id, session)

    def on_session_restored(self, event: SessionRestored) -> None:
        load = None if self.deployment.reports_load else event.hint
        session = Session(event.listener, 0, load, event.subject)
        session.dial_count = 1
        session.is_established = True
        self.sessions[event.session_id] = session
        server = self.servers.get(event.server)
        if server is not None:
            self.add_to_sum(session, server)
            server.open_sessions[event.session_id] = session
            if self.deployment.is_passthrough and event.subject is not None:
                self.subject_servers[event.subject] = server.index

    def on_session_left(self, event: SessionLeft) -> None:
        session = self.sessions.get(event.session_id)
        if session is None:
            return
        if session.server is None:
            del self.sessions[event.session_id]  # no dial is pending: it waited for a probe
            return
        session.server.open_sessions.pop(event.session_id, None)
        self.remove_from_sum(session)
        session.has_left = True  # the end of its dial is still to come; the session is deleted then

    def place(self, session_id: int, session: Session) -> None:
        """Dials or probes the best server; gives the final answer at once when no dial can help."""
        time_left = session.deadline - self.now
        if self.is_throttling and (
            self.pending_dials >= self.dial_limit or self.now < self.dials_paused_until
        ):
            self.reject(session_id, session, Reason.THROTTLED)
            return
        reason = self.reason_against_dial(session, time_left)
        if reason is None:
            server = None
            if session.full_answers < MAX_FULL_ANSWERS and not self.sheds_session():
                server = self.pick(session)
            # One more session on a full server would spoil the service of those already open.
            fits = server is not None and not self.is_at_cap(server)
            if fits and not (self.assumes_unobserved_full and self.is_unobserved(server)):
                # A probe needs twice its timeout: if it is not answered, as much time is left for the dial.
                if (
                    self.deployment.may_probe
                    and time_left > 2 * self.probe_timeout
                    and self.needs_probe(server)
                ):
                    session.probed_server = server
                    self.probe(session_id, server)
                else:
                    self.dial(session_id, session, server)
                return
            reason = Reason.NO_CAPACITY if self.candidates.ready else Reason.NO_SERVER
            if self.candidates.ready:
                if self.now - self.no_capacity_at > LOG_REPEAT_INTERVAL:
                    self.log(
                        f"no capacity: {self.full_fraction:.2f} of the observed servers at their load cap; "
                        "refusing"
                    )
                self.no_capacity_at = self.now
        self.reject(session_id, session, reason)

    def reason_against_dial(self, session: Session, time_left: int) -> Reason | None:
        """Returns what forbids another dial of the session to any server, or None."""
        if session.dial_count >= self.deployment.max_dials:
            return Reason.DIALS_EXHAUSTED
        if time_left <= 2 * self.deployment.tick:
            return Reason.DEADLINE
        return None if self.may_repeat(session) else Reason.MAY_HAVE_RUN

    def needs_probe(self, server: Server) -> bool:
        """Whether there is no valid report of the utilization, and no probe was left unanswered recently."""
        return self.now > server.report_valid_until and self.now >= server.silent_until

    def probe(self, session_id: int, server: Server) -> None:
        """Holds the session until the server that it would go to has reported its utilization.

        Servers are probed for decisions only, so that the probes of all balancers grow with the sessions
        and not with balancers times servers. Sessions that need the same report wait for one probe.
        """
        self.candidates.activate(server)
        if not server.probe_waiters:
            server.probed_at = self.now
            self.actions.append(Probe(server.index))
            self.set_timer(Timer.PROBE_TIMEOUT, server.index, self.probe_timeout)
        server.probe_waiters.append(session_id)

    def place_probe_waiters(self, server: Server) -> None:
        """Places the sessions that waited for this server's report, which has arrived or is overdue."""
        waiters, server.probe_waiters = server.probe_waiters, []
        for session_id in waiters:
            session = self.sessions.get(session_id)
            if session is not None:
                session.full_answers += self.is_at_cap(server)
                self.place(session_id, session)

    def may_repeat(self, session: Session) -> bool:
        """Whether the opening line may be sent again, as regards an earlier execution."""
        if session.possible_executor is None:
            return True
        listener = self.deployment.listeners[session.listener]
        # The line is sent within the connect timeout.
        sent_by = self.now + self.deployment.connect_timeout
        return sent_by <= repeat_deadline(listener, session.possibly_ran_at)

    def count_errors(self, session: Session) -> None:
        """Counts the errors that servers answered this session with as their failures."""
        for server in session.errored_servers:
            self.add_fading_load(server, self.load_of(session))
            self.record_setup(server, False)
        session.errored_servers = []

    def reject(self, session_id: int, session: Session, reason: Reason) -> None:
        """Gives the final answer to a session without a server, and forgets it.

        It is refused if the client may safely open it again, with a random delay for that, or else torn down.
        """
        if len(set(session.errored_servers)) == 1:
            # Errors from several servers count against none: the fault is likely in the client's line.
            self.count_errors(session)
        listener = self.deployment.listeners[session.listener]
        harmless = (
            session.possible_executor is None
            or listener.effect is Effect.IDEMPOTENT
            or (listener.effect is Effect.DEDUPLICATED and listener.dedup_scope is DedupScope.ALL)
        )
        if harmless:
            longest = self.deployment.max_retry_after
            self.actions.append(
                Refuse(session_id, int(self.uniform(longest / 4, longest)) if longest else 0, reason)
            )
        else:
            self.actions.append(TearDown(session_id, reason))
        del self.sessions[session_id]

    def dial(self, session_id: int, session: Session, server: Server) -> None:
        """Dials the server and adds the session to its load sum."""
        time_left = session.deadline - self.now - 2 * self.deployment.tick
        planned = min(PLANNED_DIALS, self.deployment.max_dials) - session.dial_count
        limit = time_left
        if planned > 1 and not self.is_throttling:
            # A dial that is not established within the handshake target is given up while there is still time
            # for another.
            target = self.deployment.listeners[session.listener].handshake_target
            limit = min(time_left // planned, max(target, self.deployment.connect_timeout))
        session.dial_count += 1
        session.dialled_at = self.now
        session.tried_servers.append(server.index)
        self.add_to_sum(session, server)
        server.pending_dials += 1
        self.pending_dials += 1
        if server.is_unhealthy:
            server.trial_at = self.next_trial_time(server)
        if self.is_cold(server) or self.is_growth_limited():
            server.sent_loads.append((self.now, self.load_of(session)))
        self.actions.append(Dial(session_id, server.index, max(limit, 1)))

    def on_session_established(self, event: SessionEstablished) -> None:
        session = self.sessions.get(event.session_id)
        server = self.servers[event.server]
        server.pending_dials -= 1
        self.pending_dials -= 1
        self.record_setup(server, True, is_late=event.setup_duration > self.late_setup_threshold)
        if not self.deployment.reports_delay:
            self.infer_delay(server, event.setup_duration)
        if not self.is_cold(server):
            in_own_zone = server.zone == self.deployment.zone
            self.quickest_by_distance[in_own_zone] = min(
                event.setup_duration, self.quickest_by_distance.get(in_own_zone, event.setup_duration)
            )
            self.kind_setups.setdefault(server.kind, deque(maxlen=RECENT_LIMIT)).append(
                (in_own_zone, event.setup_duration)
            )
        if session is None:
            return
        self.count_errors(session)
        session.is_established = True
        if session.has_left:
            return
        server.open_sessions[event.session_id] = session
        if self.deployment.is_passthrough and session.subject is not None:
            self.subject_servers[session.subject] = server.index

    def on_dial_ended(self, event: DialEnded) -> None:
        """Ends an established session; otherwise evaluates the set-up and may place the session again."""
        server = self.servers[event.server]
        if event.utilization is not None:
            self.record_utilization(server, event.utilization)
        session = self.sessions.get(event.session_id)
        if session is None:
            return
        outcome = event.outcome
        lost_load = self.load_of(session)
        self.remove_from_sum(session)
        if session.is_established:
            server.open_sessions.pop(event.session_id, None)
            if outcome not in (DialOutcome.COMPLETED, DialOutcome.CANCELLED, DialOutcome.MOVED):
                # A server that drops its sessions would attract new ones by its emptied load sum.
                self.add_fading_load(server, lost_load)
            if self.deployment.is_passthrough and session.subject is not None:
                self.subject_servers.pop(session.subject, None)
        else:
            server.pending_dials -= 1
            self.pending_dials -= 1
            if outcome is DialOutcome.COMPLETED:
                self.record_setup(server, True)  # answered in one piece, without being established before
            elif outcome is DialOutcome.REJECTED:
                server.full_until = self.now + int(self.uniform(self.backoff / 2, self.backoff))
            elif outcome is DialOutcome.ERROR:
                session.errored_servers.append(server)
            elif outcome not in (DialOutcome.CANCELLED, DialOutcome.MOVED, DialOutcome.NOT_SENT):
                self.add_fading_load(server, lost_load)
                self.record_setup(server, False, outcome is DialOutcome.UNREACHABLE)
        if event.complete or session.is_established or session.has_left:
            del self.sessions[event.session_id]
            return
        if outcome not in NEVER_EXECUTED and session.possible_executor is None:
            session.possible_executor = server
            session.possibly_ran_at = session.dialled_at
        self.dial_times.append(self.now)
        self.place(event.session_id, session)

    # Choice of the server

    def pick(self, session: Session) -> Server | None:
        """Returns the server with the smallest load sum in the best rank, a random one among ties.

        Ties are drawn by the list's weights and by kinds of machine, with a preference for newcomers that
        lack sessions (`draw_candidate`). Cold servers, and others while their growth is limited, are passed
        over when their budget is used up. Returns None if no server may take the session.
        """
        load = self.load_of(session)
        # A balancer with few sessions observes few servers; the sums of the others are zero, so that in an
        # overload it would keep filling them. They are assumed to be full with the probability that an
        # observed server is.
        self.assumes_unobserved_full = (
            not self.deployment.may_probe and self.uniform(0, 1) < self.full_fraction
        )
        self.update_candidates(session)
        if self.now - self.kinds_updated_at > RECOUNT_INTERVAL:
            self.update_kinds()
        excluded: set[int] = set()  # servers whose budget does not admit the session
        skips_idle_cold = False  # no idle cold server admits it
        warm_loads: WarmLoads | None = None
        while ties := self.best_ties(session, load, excluded, skips_idle_cold):
            probed = session.probed_server  # preferred, as the session has waited for its report
            if probed is not None and probed in ties.servers:
                warm_loads = warm_loads or self.warm_loads()
                if self.admits(probed, load, ties, warm_loads):
                    return probed
                excluded.add(probed.index)
                ties.servers.remove(probed)
            # Cold servers come first among ties, as their windows would pass unused where many servers tie.
            cold, warm = self.split_cold(ties)
            if cold:
                warm_loads = warm_loads or self.warm_loads()
                server = self.pick_cold(cold, load, warm_loads)
                if server is not None:
                    return server
                excluded.update(one.index for one in cold.servers)
                skips_idle_cold = skips_idle_cold or bool(cold.groups)
            server = self.pick_warm(warm, load, excluded, warm_loads)
            if server is not None:
                return server
        return None

    def update_candidates(self, session: Session) -> None:
        """Updates the groups of idle servers; activates those that this session has to treat one by one."""
        candidates = self.candidates
        candidates.advance_stages(self.now)
        if self.now - self.regrouped_at >= REGROUP_INTERVAL:
            self.regrouped_at = self.now
            candidates.regroup_idle(self.now, list(candidates.active.values()))
        for index in session.tried_servers:
            candidates.activate(self.servers[index])
        if self.is_bound_to_cell(session):
            for server in candidates.by_cell.get(session.possible_executor.cell, {}).values():
                candidates.activate(server)

    def split_cold(self, ties: Ties) -> tuple[Ties, Ties]:
        """Returns the cold candidates and the others."""
        cold, warm = Ties([], []), Ties([], [])
        for server in ties.servers:
            (cold if self.is_cold(server) else warm).servers.append(server)
        for group in ties.groups:
            (cold if isinstance(group, ColdGroup) else warm).groups.append(group)
        return cold, warm

    def pick_cold(self, ties: Ties, load: float, warm_loads: WarmLoads) -> Server | None:
        """Draws one of the cold servers whose budget admits the session; None if there is none."""
        deployment = self.deployment
        admitting = [one for one in ties.servers if self.admits(one, load, ties, warm_loads)]
        for group in ties.groups:
            group.renew_draws(self.now, deployment.overload_window, self.uniform)
            # An upper bound of the members' budgets selects those worth checking.
            highest = self.budget_ratio(max(deployment.start_capacity, 1.0)) * self.warm_capacity_share(
                group.key.kind, warm_loads
            )
            probability = (
                1.0
                if highest >= load
                else admission_probability(highest / max(load, self.mean_load), deployment.replicas)
            )
            admitting += [
                one for one in group.drawn_below(probability) if self.admits(one, load, ties, warm_loads)
            ]
        if len(admitting) < 2:
            return admitting[0] if admitting else None
        scales = self.kind_scales(ties)
        return self.choices(admitting, [self.draw_weight(one) * scales[one.kind] for one in admitting])[0]

    def pick_warm(
        self, ties: Ties, load: float, excluded: set[int], warm_loads: WarmLoads | None
    ) -> Server | None:
        """Draws one of these servers; None if the growth limit lets none of them take the session."""
        while ties:
            drawn = self.draw_candidate(ties)
            if isinstance(drawn, Group):
                return drawn.draw(self.uniform)  # while growth is limited, `place` refuses idle servers
            if not self.is_growth_limited():
                return drawn
            warm_loads = warm_loads or self.warm_loads()
            if self.admits(drawn, load, ties, warm_loads):
                return drawn
            excluded.add(drawn.index)
            ties.servers.remove(drawn)
        return None

    def admits(self, server: Server, load: float, ties: Ties, warm_loads: WarmLoads) -> bool:
        """Whether the slow start budget of a cold server or the growth limit of another admits this load."""
        is_cold = self.is_cold(server)
        if not (is_cold or self.is_growth_limited()):
            return True
        ratio = self.cold_budget_ratio(server) if is_cold else GROWTH_LIMIT
        window = self.deployment.overload_window if is_cold else GROWTH_WINDOW
        budget = self.remaining_budget(
            server, ratio * self.warm_capacity_share(server.kind, warm_loads), window
        )
        return budget >= load or (budget > 0 and self.admits_by_draw(server, budget, load, window, ties))

    def draw_candidate(self, ties: Ties) -> Server | Group:
        """Draws a kind of machine by its share of the sessions, then one of that kind by `draw_weight`.

        Where balancers have few sessions, nearly all load sums are zero and nearly all placements are ties.
        Drawn evenly, slow kinds would come to hold as many sessions as fast ones, and newcomers would stay
        empty.
        """
        candidates: list[Server | Group] = [*ties.servers, *ties.groups]
        if len(candidates) == 1:
            return candidates[0]
        if len(self.kind_shares) > 1:
            by_kind: dict[int, list[Server | Group]] = {}
            for candidate in candidates:
                by_kind.setdefault(kind_of(candidate), []).append(candidate)
            candidates = by_kind[self.choices(list(by_kind), [self.kind_shares[kind] for kind in by_kind])[0]]
        return self.choices(candidates, [self.draw_weight(candidate) for candidate in candidates])[0]

    def draw_weight(self, candidate: Server | Group) -> float:
        """Returns the listed weight, less for settled servers while newcomers of the kind lack sessions."""
        factor = self.settled_weights.get(kind_of(candidate), 1.0)
        if factor < 1.0:
            stage = (
                candidate.key.stage
                if isinstance(candidate, Group)
                else self.candidates.stage_of(candidate, self.now)
            )
            factor = factor if stage is AgeStage.SETTLED else 1.0
        return candidate.weight * factor

    def kind_scales(self, ties: Ties) -> dict[int, float]:
        """Returns factors for `draw_weight`, by which one draw over all kinds keeps to their shares."""
        weights: dict[int, float] = {}
        for candidate in (*ties.servers, *ties.groups):
            kind = kind_of(candidate)
            weights[kind] = weights.get(kind, 0.0) + self.draw_weight(candidate)
        if len(self.kind_shares) < 2:
            return dict.fromkeys(weights, 1.0)
        return {kind: self.kind_shares[kind] / weight for kind, weight in weights.items()}

    def draw_probability(self, server: Server, ties: Ties) -> float:
        """Returns the probability with which `draw_candidate` draws the server."""
        shares = self.kind_shares
        candidates = (*ties.servers, *ties.groups)
        kind_probability = shares[server.kind] / sum(
            shares[kind] for kind in {kind_of(one) for one in candidates}
        )
        kind_weight = sum(self.draw_weight(one) for one in candidates if kind_of(one) == server.kind)
        return kind_probability * self.draw_weight(server) / kind_weight

    def update_kinds(self) -> None:
        """Computes from the open sessions what servers of each kind of machine carry.

        Sessions are counted, as their loads differ too much. One more session is taken to be spread over
        all servers, so that no kind has a share of zero. Settled servers show what a kind carries;
        newcomers hold less for a while.
        """
        self.kinds_updated_at = self.now
        settled: dict[int, KindCounts] = {}
        young: dict[int, KindCounts] = {}
        for group in self.candidates.idle_groups():
            counts = settled if group.key.stage is AgeStage.SETTLED else young
            counts.setdefault(group.key.kind, KindCounts()).servers += len(group.members)
        for server in self.candidates.active.values():
            is_settled = self.candidates.stage_of(server, self.now) is AgeStage.SETTLED
            kind_counts = (settled if is_settled else young).setdefault(server.kind, KindCounts())
            kind_counts.servers += 1
            kind_counts.sessions += len(server.open_sessions)
        representative = settled or young
        count = sum(one.servers for one in representative.values())
        mean = (sum(one.sessions for one in representative.values()) + 1) / max(count, 1)
        carried = dict.fromkeys([*settled, *young], mean)  # sessions per server, by kind
        carried |= {kind: one.sessions_per_server + 1 / count for kind, one in representative.items()}
        young_fractions = {
            kind: min(one.sessions_per_server / carried[kind], 1.0) for kind, one in young.items()
        }
        self.correct_by_setup_times(carried, mean)
        self.kind_shares = {
            kind: sessions * sum(counts[kind].servers for counts in (settled, young) if kind in counts)
            for kind, sessions in carried.items()
        }
        self.load_factors = {kind: mean / sessions for kind, sessions in carried.items()}
        self.settled_weights = {
            kind: max(fraction, MIN_SETTLED_WEIGHT) for kind, fraction in young_fractions.items()
        }

    def correct_by_setup_times(self, carried: dict[int, float], mean: float) -> None:
        """Corrects the sessions per server by the time that set-ups take on each kind, which shows its speed.

        Without it, a fleet once filled regardless of speed would keep its distribution. The time of a
        set-up is what it took beyond the quickest at the same distance (own zone or another). The median is
        used, so that one slow server does not speak for its kind. SETUP_WAITS_LIMIT assumed set-ups of the
        expected time are added, so that few observations change little.
        """
        excess = {
            k: sorted(
                duration - self.quickest_by_distance[in_own_zone]
                for in_own_zone, duration in self.kind_setups.get(k, ())
            )
            for k in carried
        }
        total = {k: len(each) * each[len(each) // 2] if each else 0 for k, each in excess.items()}
        expected = sum(len(each) * mean / carried[kind] for kind, each in excess.items())
        unit = sum(total.values()) / max(expected, 1)  # time per set-up, on a kind that carries the mean
        for k, each in excess.items() if unit else ():
            time = total[k] + SETUP_WAITS_LIMIT * unit * mean / carried[k]
            carried[k] = mean * unit * (len(each) + SETUP_WAITS_LIMIT) / time

    def best_ties(
        self, session: Session, load: float, excluded: set[int], skips_idle_cold: bool
    ) -> Ties | None:
        """Returns the servers of the lowest rank that tie for the smallest scaled load sum.

        Ranks: -1 in the own zone where crossings cost; 0 usable; 1 at its load cap, or unobserved and
        assumed to be; 2 backing off after a refusal or an unanswered probe; 3 ejected, with no trial due or
        with a dial pending; 4 already tried.
        """
        now = self.now
        mean_load = self.mean_load
        own_zone, prefers_own_zone = (
            self.deployment.zone,
            self.deployment.may_probe and self.deployment.cross_zone_price > 0,
        )
        assumes_unobserved_full = self.assumes_unobserved_full
        best: list[Server] = []
        best_key = (9, 0.0)
        for server in self.candidates.active.values():
            if session.possible_executor is not None and not self.shares_deduplication(session, server):
                continue
            if excluded and server.index in excluded:
                continue
            rank = 0
            if session.tried_servers and server.index in session.tried_servers:
                rank = 4
            elif server.is_unhealthy and (now < server.trial_at or server.pending_dials):
                rank = 3
            elif server.full_until > now or server.silent_until > now:
                rank = 2
            elif (  # the first two are `is_at_cap`, inlined as this runs for each server
                now <= server.slow_until
                or (now <= server.report_valid_until and self.estimated_utilization(server) >= LOAD_CAP)
                or (server.learned_caps and self.exceeds_learned_cap(server, load))
                or (assumes_unobserved_full and not server.open_sessions and self.is_unobserved(server))
            ):
                rank = 1
            elif prefers_own_zone and server.zone == own_zone:
                # The price of a crossing is paid only when reports show no capacity in the own zone.
                rank = -1
            if rank > best_key[0]:
                continue
            load_sum = server.known_load + server.unknown_load_count * mean_load
            if now < server.fading_since + FADE_TIME:
                load_sum += self.remaining_fading_load(server)
            key = (rank, load_sum * self.load_factors.get(server.kind, 1.0))
            if key < best_key:
                best_key = key
                best = [server]
            elif key == best_key:
                best.append(server)
        groups: list[Group] = []
        for group in self.eligible_groups(session, skips_idle_cold):
            is_cold = isinstance(group, ColdGroup)
            rank = (
                1
                if assumes_unobserved_full and not is_cold
                else -1
                if prefers_own_zone and group.key.zone == own_zone
                else 0
            )
            key = (rank, 0.0)
            if key < best_key:
                best_key = key
                best = []
                groups = [group]
            elif key == best_key:
                groups.append(group)
        return Ties(best, groups) if best or groups else None

    def eligible_groups(self, session: Session, skips_idle_cold: bool) -> list[Group]:
        """Returns the groups of idle servers that this session may be sent to."""
        if self.is_bound_to_cell(session):
            return []  # `update_candidates` has activated the servers of its cell
        groups = self.candidates.idle_groups()
        if skips_idle_cold:
            groups = [group for group in groups if not isinstance(group, ColdGroup)]
        if session.possible_executor is not None and self.dedup_scope_of(session) is DedupScope.ZONE:
            groups = [group for group in groups if group.key.zone == session.possible_executor.zone]
        return groups

    def dedup_scope_of(self, session: Session) -> DedupScope:
        """Returns the scope of the servers that may get the opening line again after a possible execution."""
        listener = self.deployment.listeners[session.listener]
        return listener.dedup_scope if listener.effect is Effect.DEDUPLICATED else DedupScope.ALL

    def is_bound_to_cell(self, session: Session) -> bool:
        return session.possible_executor is not None and self.dedup_scope_of(session) is DedupScope.CELL

    def shares_deduplication(self, session: Session, server: Server) -> bool:
        """Whether the server would recognize a repeat of the line that another server may have executed."""
        executor, scope = session.possible_executor, self.dedup_scope_of(session)
        if executor is None or scope is DedupScope.ALL:
            return True
        return server.zone == executor.zone if scope is DedupScope.ZONE else server.cell == executor.cell

    # Slow start of cold servers, and the growth limit

    def is_cold(self, server: Server) -> bool:
        return server.started > 0 and self.now - server.started < self.deployment.warm_after

    def warm_loads(self) -> WarmLoads:
        """Returns the load sums of the warm servers; of all servers, where none is warm."""
        candidates = self.candidates
        candidates.advance_stages(self.now)
        any_warm = any(group.key.stage is not AgeStage.COLD for group in candidates.idle_groups())
        any_warm = any_warm or any(not self.is_cold(one) for one in candidates.active.values())
        loads = WarmLoads()
        for group in candidates.idle_groups():
            if not any_warm or group.key.stage is not AgeStage.COLD:
                loads.add(group.key.kind, 0.0, len(group.members))
        for server in candidates.active.values():
            if not any_warm or not self.is_cold(server):
                loads.add(server.kind, self.load_sum(server), 1)
        return loads

    def warm_capacity_share(self, kind: int, warm_loads: WarmLoads) -> float:
        """Returns this balancer's share of the load that a warm server of this kind can certainly carry.

        That is the load that they hold from this balancer or, where it is more, this balancer's part of the
        connections that the fleet has to carry, divided by the servers. Otherwise cold servers would be
        limited by what the warm ones happen to carry, which may be far below their capacity.
        """
        deployment = self.deployment
        fair = (
            max(deployment.quota_connections / max(self.max_listed_count, 1), 1)
            * self.mean_load
            / deployment.replicas
        )
        mean = warm_loads.mean()
        if not mean:
            return fair
        # The maximum with `fair` counts the balancers that happen to hold more, but not those that hold
        # less; over many balancers the excess adds up, so one session over all warm servers is subtracted.
        held = mean - self.mean_load / warm_loads.server_count if deployment.quota_connections else mean
        return max(
            warm_loads.mean_of_kind(kind) / mean * max(fair, held), self.mean_load / deployment.replicas
        )

    def is_growth_limited(self) -> bool:
        """Whether this pick limits what a server is sent until its next delay report.

        That is so with the probability that a server is full: otherwise all balancers would crowd each
        server that is not yet known to be full, one after another. The limit needs the quota, since a tenth
        of a load sum of one or two sessions would be nothing.
        """
        return self.assumes_unobserved_full and self.deployment.quota_connections > 0

    def cold_budget_ratio(self, server: Server) -> float:
        """Returns what a cold server may be sent in a window, relative to the load that a warm one carries.

        Its capacity grows linearly from `start_capacity` at its start to 1 at `warm_after`.
        """
        deployment = self.deployment
        age = max(self.now - server.started, 0)
        return self.budget_ratio(
            deployment.start_capacity + (1 - deployment.start_capacity) * age / deployment.warm_after
        )

    def budget_ratio(self, capacity: float) -> float:
        """Returns the budget ratio of a server that has this part of its warm capacity."""
        deployment = self.deployment
        return deployment.overload_factor * capacity * deployment.overload_window / deployment.warm_after

    def remaining_budget(self, server: Server, budget: float, window: int) -> float:
        """Subtracts what this balancer has sent to the server in the window from its budget, all as loads."""
        sent = server.sent_loads
        while sent and sent[0][0] <= self.now - window:
            del sent[0]
        return budget - sum(load for _, load in sent)

    def admits_by_draw(self, server: Server, budget: float, load: float, window: int, ties: Ties) -> bool:
        """Whether a budget below the session's load admits it, by one random draw per server and window.

        Many balancers with such budgets would overload the server together if each of them sent one
        session. The draw is made once for a window, so that more dials in it do not raise the probability.
        A warm server is asked only by the dials for which it is drawn among its ties. Where fewer than one of
        these is expected in the window, the probability is divided by the expected number.
        """
        if self.now >= server.draw_valid_until:
            server.admission_draw = self.uniform(0, 1)
            server.draw_valid_until = self.now + window
        if self.is_cold(server):
            return server.admission_draw < admission_probability(
                budget / max(load, self.mean_load), self.deployment.replicas
            )
        expected = (
            len(self.dial_times) * window / max(self.now - self.dial_times[0], 1)
            * self.draw_probability(server, ties)
        )  # fmt: skip
        return server.admission_draw * self.mean_load * min(expected, 1) < budget

    # Health: circuit breaker for each server, throttling for the fleet

    def record_setup(
        self, server: Server, succeeded: bool, is_unreachable: bool = False, is_late: bool = False
    ) -> None:
        """Evaluates the result of a set-up: ejects the server, plans its next trial or takes it back.

        Two consecutive failures or three among the last RECENT_LIMIT eject a server. It then gets single
        trial dials; two consecutive successes take it back, as one may be luck.
        """
        if not is_unreachable:
            self.update_throttling(server, succeeded and not is_late, succeeded)
        recent = server.recent_setups
        append_bounded(recent, succeeded, RECENT_LIMIT)
        if succeeded:
            if server.is_unhealthy and (len(recent) < 2 or recent[-2]):
                server.is_unhealthy = False
                server.trial_count = 0
                recent.clear()
                self.log(f"server {server.index} healthy again, {self.count_unhealthy()} still ejected")
            return
        if server.is_unhealthy:
            server.trial_count += 1
            server.trial_at = self.next_trial_time(server)
            return
        if self.is_throttling:
            return
        failed = len(recent) - sum(recent)
        if failed < 3 and not (len(recent) > 1 and not recent[-2]):
            return
        ejected = self.count_unhealthy() + 1
        own_zone = self.deployment.zone
        if 2 * ejected > len(self.candidates.ready) and not self.has_other_healthy(server, own_zone):
            # When most of the fleet fails, the fault is likely in the own network link, in the list or in a
            # shared store, and ejecting the fleet would not help. With a healthy server in the own zone, it
            # is the other zones that are cut off.
            if not self.is_ejection_suspended:
                self.is_ejection_suspended = True
                self.log(
                    f"set-ups fail on {ejected} of {len(self.candidates.ready)} servers; no more ejected"
                )
            return
        self.is_ejection_suspended = False
        self.candidates.activate(server)
        server.is_unhealthy = True
        server.trial_at = self.next_trial_time(server)
        self.log(
            f"server {server.index} ejected: {failed} of {len(recent)} set-ups failed, {ejected} ejected"
        )

    def update_throttling(self, server: Server, in_time: bool, succeeded: bool) -> None:
        """Limits concurrent dials while set-ups are late or fail on the whole fleet.

        Retries would otherwise keep down what all set-ups need, such as a shared store. Throttling starts
        when half of the last FLEET_SETUPS_LIMIT set-ups were late or failed, on a third of the servers (of
        FLEET_SETUPS_LIMIT servers in a larger fleet) and in the own zone too; otherwise the fault is that of
        some servers, or of zones that are cut off. Set-ups to unreachable servers don't count. It ends when
        all of the last FLEET_SETUPS_LIMIT set-ups were in time. The limit grows by one with each set-up in
        time, falls by one with each late one and is halved, with a pause, by each failure.
        """
        self.fleet_setups.append((server, in_time))
        failures = [one for one, ok in self.fleet_setups if not ok]
        if self.is_throttling:
            if in_time:
                self.dial_limit += 1
                if not failures:
                    self.is_throttling = False
                    self.log(f"set-ups succeed again; throttling ends at {self.dial_limit} concurrent dials")
            elif succeeded:
                self.dial_limit = max(1, self.dial_limit - 1)
            else:
                self.dial_limit = max(1, self.dial_limit // 2)
                self.dials_paused_until = self.now + int(self.uniform(self.backoff / 5, self.backoff))
            return
        if 2 * len(failures) < FLEET_SETUPS_LIMIT:
            return
        failing = {one.index for one in failures}
        own_zone = self.deployment.zone
        in_own_zone = not self.candidates.zone_counts[own_zone] or any(
            one.zone == own_zone for one in failures
        )
        if 3 * len(failing) >= min(len(self.candidates.ready), FLEET_SETUPS_LIMIT) and in_own_zone:
            self.is_throttling = True
            self.dial_limit = 1
            self.log(
                f"throttling dials: {len(failures)} of the last {len(self.fleet_setups)} set-ups late or "
                f"failed on {len(failing)} servers"
            )

    def next_trial_time(self, server: Server) -> int:
        """Exponential backoff by failed trials, up to four times TRIAL_DELAY, with jitter."""
        delay = TRIAL_DELAY * 2 ** min(server.trial_count, 2)
        return self.now + int(self.uniform(0.75 * delay, 1.25 * delay))

    def count_unhealthy(self) -> int:
        return sum(s.is_unhealthy for s in self.candidates.active.values())

    def has_other_healthy(self, server: Server, zone: int) -> bool:
        """Whether this zone has a healthy server other than this one, which is not ejected yet."""
        unhealthy = sum(s.is_unhealthy and s.zone == zone for s in self.candidates.active.values())
        itself = server.zone == zone and server.ready_position >= 0
        return self.candidates.zone_counts[zone] > unhealthy + itself

    # Overload

    def estimated_utilization(self, server: Server) -> float:
        """Returns the reported utilization, corrected for sessions sent since; 0 if no report is valid."""
        if self.now > server.report_valid_until:
            return 0.0
        load_sum = self.load_sum(server)
        others = (self.deployment.replicas - 1) * self.mean_load
        if load_sum > server.load_at_report and server.load_at_report + others > 0:
            # Reports lag behind and don't show what was sent since, so that a server with a low one would
            # be rushed. The other balancers are taken to hold one session each there, so that the growth of
            # a load sum of one or two sessions says little.
            return server.utilization * (load_sum + others) / (server.load_at_report + others)
        return server.utilization

    def is_at_cap(self, server: Server) -> bool:
        """Whether the server is at the load cap by its utilization, or its messages are slow."""
        return self.now <= server.slow_until or self.estimated_utilization(server) >= LOAD_CAP

    def exceeds_learned_cap(self, server: Server, load: float) -> bool:
        """Whether this load would take the load sum over the cap learned from slow messages on this server.

        The paper behind the placement rule (docs/design.md) has a maximum load for a server. Here it is
        learned: the smallest of the last LEARNED_CAPS_LIMIT load sums at which the server's messages were
        slow, times LEARNED_CAP_FACTOR. A slow machine would otherwise be filled again as soon as it has
        recovered, over and over. What was learned is forgotten after FADE_TIME.
        """
        learned = server.learned_caps
        while learned and learned[0][0] < self.now - FADE_TIME:
            del learned[0]
            server.lowest_learned_cap = min((load_sum for _, load_sum in learned), default=0.0)
        return bool(learned) and server.known_load + load > server.lowest_learned_cap

    def count_full_servers(self) -> None:
        """Updates `available_count` and `full_fraction`, at most once in RECOUNT_INTERVAL.

        A server counts as observed if it holds own sessions or a report is valid. Hung servers are left
        out, as they say nothing about how full the others are.
        """
        if self.now - self.recounted_at <= RECOUNT_INTERVAL:
            return
        self.recounted_at = self.now
        full = observed = 0
        self.available_count = self.candidates.count_idle()
        for server in self.candidates.active.values():
            at_cap = self.is_at_cap(server)
            if (server.open_sessions or self.now <= server.report_valid_until) and not self.is_hung(server):
                observed += 1
                full += at_cap
            if not at_cap and not server.is_unhealthy and server.full_until <= self.now:
                self.available_count += 1
        self.full_fraction = full / (observed + 1)

    def sheds_session(self) -> bool:
        """Load shedding: whether to refuse a session at random, as most observed servers are full.

        All balancers would otherwise fill the few good servers of a full fleet at once. The probability
        rises from 0 with half of the servers full to 1 with three quarters, times the part of the dials that
        this balancer does not see. Where servers are probed, no session is shed.
        """
        self.count_full_servers()
        unseen = 0 if self.deployment.may_probe else 1 - 1 / self.deployment.replicas
        return self.uniform(0, 1) < unseen * (4 * self.full_fraction - 2)

    def is_unobserved(self, server: Server) -> bool:
        """Whether nothing shows the server's state: it has no own session or dial, and it is not cold."""
        return not (server.open_sessions or server.pending_dials or self.is_cold(server))

    def is_hung(self, server: Server) -> bool:
        return self.now <= server.slow_until and server.message_delay >= HUNG_DELAY

    def is_overloaded(self, server: Server) -> bool:
        """Whether the server is so far past its cap that its sessions are served badly in any case."""
        is_slow = self.now <= server.slow_until and server.message_delay > self.shortest_message_aim
        return is_slow or self.estimated_utilization(server) >= 1

    def infer_delay(self, server: Server, duration: int) -> None:
        """Infers the delay of messages from set-up times, where message delays are not reported.

        Set-ups wait for the same cores as messages. The mean of the server's last set-ups beyond the
        quickest of its zone, less the median over all servers, counts as the delay of a message.
        """
        quickest = self.quickest_setups[server.zone] = min(
            duration, self.quickest_setups.get(server.zone, duration)
        )
        append_bounded(server.setup_waits, duration - quickest, SETUP_WAITS_LIMIT)
        self.recent_setup_waits.append(duration - quickest)
        if len(server.setup_waits) == SETUP_WAITS_LIMIT:
            median = sorted(self.recent_setup_waits)[len(self.recent_setup_waits) // 2]
            self.record_delay(server, sum(server.setup_waits) // SETUP_WAITS_LIMIT - median)

    def on_delay_reported(self, event: DelayReported) -> None:
        self.record_delay(self.servers[event.server], event.delay)

    def record_delay(self, server: Server, delay: int) -> None:
        """Evaluates the time that a message takes at the server.

        Above a third of the shortest message aim the server counts as at its cap, and its load sum teaches
        the learned cap. Above the aim, sessions are moved off.
        """
        self.candidates.activate(server)
        server.message_delay = delay if 3 * delay > self.shortest_message_aim else 0
        server.slow_until = self.now + DELAY_REPORT_LIFETIME if server.message_delay else -1
        if server.message_delay:
            self.count_full_servers()
            if self.available_count and not self.is_hung(server):
                # With the whole fleet slow, or a server that hangs, the cause is not this load sum.
                append_bounded(
                    server.learned_caps,
                    (self.now, LEARNED_CAP_FACTOR * server.known_load),
                    LEARNED_CAPS_LIMIT,
                )
                server.lowest_learned_cap = min(load for _, load in server.learned_caps)
        if delay <= self.shortest_message_aim:
            server.slow_streak = 0
            return
        # The delay is the work queued before a message. To clear the queue within a second, the part
        # delay / SECOND of the load has to go elsewhere. The share also grows with each further report above
        # the aim, as a heavy session that fits no small share must go too.
        server.slow_streak += 1
        share = max(
            min(MOVE_SHARE_STEP * (1 + server.slow_streak), MAX_STEPPED_SHARE), min(delay / SECOND, 1)
        )
        self.move_sessions(server, share, SECOND // 2)

    def move_sessions(self, server: Server, share: float, pause: int) -> None:
        """Moves sessions with this share of the load sum off a server that stays past its cap.

        This is the last resort: only while others have capacity, or in small steps off an overloaded server.
        Nothing moves within `pause` of the last moves.
        """
        if self.is_throttling or self.now - server.last_moves_at < pause:
            return
        self.count_full_servers()
        others_available = self.available_count > 0
        if not others_available and not self.is_overloaded(server):
            return
        if not others_available:
            # A fault that strikes the whole fleet and passes must not empty it.
            share = min(share, 2 * MOVE_SHARE_STEP)
        surplus = remaining = share * self.load_sum(server)
        # The heaviest sessions that fit go first and light ones stay: few moves, each worth its cost.
        order = sorted(
            server.open_sessions.items(), key=lambda item: self.move_order(item[1], others_available)
        )
        # Lighter sessions are not worth a move. The bound by the surplus keeps it to twenty moves at a time.
        lightest = max(surplus / 20, self.mean_load / 2)
        moved = 0
        for session_id, session in order:
            load = self.load_of(session)
            if remaining <= 0:
                break
            if load < lightest:
                continue
            if load <= 1.5 * remaining:
                remaining -= load
                moved += 1
                self.actions.append(Move(session_id))
        if not moved and order and self.uniform(0, self.load_of(order[0][1])) < remaining:
            # A few heavy sessions, none of which fits the share, would stay on a slow server for good. One
            # goes with the probability that keeps the share on average over many balancers.
            moved = 1
            self.actions.append(Move(order[0][0]))
        if moved:
            if self.now - server.last_moves_at > LOG_REPEAT_INTERVAL:
                self.log(
                    f"server {server.index} overloaded: load {self.estimated_utilization(server):.2f}, "
                    f"message {server.message_delay / 10:.0f} ms; "
                    f"moving {moved} of {len(server.open_sessions)} sessions at first"
                )
            server.last_moves_at = self.now

    def move_order(self, session: Session, others_available: bool) -> tuple[float, float]:
        """Sort key: heaviest first; where no other server has capacity, lowest utility before that."""
        utility = 0.0 if others_available else self.deployment.listeners[session.listener].utility
        return utility, -self.load_of(session)

    def on_probe_ended(self, event: ProbeEnded) -> None:
        if event.answered and event.utilization is not None:
            server = self.servers[event.server]
            self.record_utilization(server, event.utilization)
            server.silent_until = 0
            self.place_probe_waiters(server)

    def record_utilization(self, server: Server, utilization: float) -> None:
        """Takes a reported load divided by capacity, and moves sessions off a server that is nearly full."""
        self.candidates.activate(server)
        server.utilization = utilization
        # The closer to the load cap, the sooner the real utilization may be on the other side of it.
        server.report_valid_until = self.now + int(
            min(UTILIZATION_REPORT_LIFETIME, abs(utilization - LOAD_CAP) / UTILIZATION_DRIFT)
        )
        server.load_at_report = server.known_load
        if utilization >= MOVE_ABOVE:
            self.move_sessions(server, (utilization - MOVE_DOWN_TO) / utilization, MOVE_PAUSE)

    # Timers

    def on_timer_fired(self, event: TimerFired) -> None:
        if event.timer is Timer.LIST_REQUEST:
            self.actions.append(RequestList())
        elif event.timer is Timer.PROBE_TIMEOUT:
            server = self.servers[event.index]
            if server.probe_waiters and self.now - server.probed_at >= self.probe_timeout:
                # It may be unreachable; it is passed over for a while as long as others answer.
                self.candidates.activate(server)
                server.silent_until = self.now + UTILIZATION_REPORT_LIFETIME
                self.place_probe_waiters(server)

    def set_timer(self, timer: Timer, index: int, after: float) -> None:
        """Sets a timer that fires at the next whole tenth of a millisecond after this duration."""
        self.actions.append(SetTimer(timer, index, int(after) + 1))

    def log(self, text: str) -> None:
        self.actions.append(Log(text))
