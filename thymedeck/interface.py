"""The types between the placement policy and its callers: events that go in and actions that come out.

Times and durations are whole tenths of a millisecond. Servers and sessions are small integer indices that the
caller assigns; loads are millionths of a standard core. Nothing here depends on a wire protocol.
"""

from enum import IntEnum, StrEnum

from msgspec import Struct


class Effect(IntEnum):
    """Whether the opening line of a session may be sent to a server again."""

    IDEMPOTENT = 0
    DEDUPLICATED = 1  # it carries a reference by which servers drop repeats for some time
    AT_MOST_ONCE = 2


class DedupScope(IntEnum):
    """The servers that share deduplication state with the one that received the first copy."""

    ALL = 0
    ZONE = 1
    CELL = 2


class ServerState(IntEnum):
    READY = 0
    DRAINING = 1
    GONE = 2  # deleted, or no longer listed


class DialOutcome(IntEnum):
    """How a dial ended, before or after its session was established."""

    COMPLETED = 0  # the session was served to its end
    ERROR = 1  # the server answered with an error
    REJECTED = 2  # refused without looking at the request
    TIMED_OUT = 3  # no reply within the dial's time limit
    UNREACHABLE = 4  # no connection within the connect timeout
    RESET = 5  # the connection was dropped
    CANCELLED = 6
    NOT_SENT = 7  # the request was not sent
    UNKNOWN = 8
    MOVED = 9  # the server asked the client to move, as it does when it drains


NEVER_EXECUTED = frozenset((DialOutcome.REJECTED, DialOutcome.UNREACHABLE, DialOutcome.NOT_SENT))


class ListKind(IntEnum):
    CHANGES = 0  # the changed servers only
    WHOLE = 1  # all servers; those not among the entries are gone
    SAVED = 2  # all servers, from the start-up configuration
    FAILED = 3  # the list could not be fetched


class Reason(StrEnum):
    """Why a session is refused or torn down."""

    THROTTLED = "set-ups are failing across the fleet"
    DEADLINE = "no time left for a dial"
    DIALS_EXHAUSTED = "all dials used"
    MAY_HAVE_RUN = "it may have run and must not be repeated"
    NO_CAPACITY = "no server has capacity"
    NO_SERVER = "no server is ready"


class Timer(IntEnum):
    LIST_REQUEST = 0  # the server list is to be requested
    PROBE_TIMEOUT = 1  # the time for the answer to a probe is over; the index is the server's


class Listener(Struct, frozen=True):
    """A class of sessions and what is promised to them."""

    handshake_target: int  # time within which a session should be established
    dial_timeout: int  # time within which a session has to be answered
    effect: Effect
    dedup_scope: DedupScope
    dedup_window: int  # for how long servers drop repeats
    utility: float  # value of one session; the lowest are moved first when no other server has capacity
    message_aim: int  # target for the time that a message takes


class Deployment(Struct, frozen=True):
    """The settings of a balancer that its decisions read."""

    listeners: tuple[Listener, ...]
    zone: int  # of this balancer
    replicas: int  # balancers, this one among them
    tick: int  # resolution of the clock; two ticks of each deadline are left unused
    connect_timeout: int
    max_dials: int  # per session
    may_probe: bool  # servers answer probes with their utilization
    max_retry_after: int  # longest delay that a refusal may ask of the client; 0: refusals carry no delay
    list_on_request: bool  # the server list is sent on request; otherwise it is pushed
    list_poll_within: int  # time within which the list has to be requested again
    start_capacity: float  # capacity of a server that has just started, as a fraction of its warm capacity
    warm_after: int  # time from a server's start until it is warm
    # In any `overload_window`, a cold server may be sent `overload_factor` * `overload_window` /
    # `warm_after` times the load that it can carry at that time.
    overload_factor: float
    overload_window: int
    reports_load: bool  # the loads of open sessions are reported
    reports_delay: bool  # the time that messages take is reported
    is_passthrough: bool  # the packets of a flow may move to another balancer
    cross_zone_price: float  # above 0: the own zone is preferred, where servers may be probed
    drain_grace: int  # time within which sending to a draining server has to stop
    quota_connections: float  # connections the fleet has to carry, summed over all tenants; 0: not set


class ServerEntry(Struct):
    """A server as the list describes it."""

    server: int
    zone: int
    cell: int
    state: ServerState
    started: int  # time of its start; 0: unknown
    weight: float = 1.0  # above 0
    kind: int = -1  # of machine; -1: unknown


# Events


class ServerListUpdated(Struct):
    """A server list or changes of it, or a failed request for it."""

    kind: ListKind
    entries: list[ServerEntry]
    # FAILED: how long the request was pending; 0 for a watch, as the list was current until it broke.
    call_duration: int = 0
    # FAILED: the request was made on `RequestList`, at a time of this balancer's own; otherwise other
    # balancers may have failed at the same moment.
    is_scheduled: bool = False
    listed_count: int = 0  # size of the whole list while some of its entries are still to be delivered
    # FAILED: how many times the delay between requests should be doubled, as the service is crowded.
    backoff: int = 0


class SessionArrived(Struct):
    session_id: int
    listener: int
    budget: int  # time until the final answer is due
    hint: float | None  # load that the client predicts
    subject: str | None  # the client's key, which a flow keeps when it moves
    mid_flow: bool  # the flow has begun earlier and moved here


class SessionRestored(Struct):
    """A session that was already open on a server when this balancer started."""

    session_id: int
    listener: int
    hint: float | None
    subject: str | None
    server: int


class SessionLeft(Struct):
    """The client ended the session."""

    session_id: int


class SessionEstablished(Struct):
    """A dial succeeded: the server accepted the session."""

    session_id: int
    server: int
    setup_duration: int


class DialEnded(Struct):
    session_id: int
    server: int
    outcome: DialOutcome
    complete: bool  # the session is over as well; otherwise it needs another dial
    utilization: float | None  # as the server reported with it: load divided by capacity


class LoadReported(Struct):
    """The measured load of a session."""

    session_id: int
    load: float


class DelayReported(Struct):
    """The time that a message currently takes at this server."""

    session_id: int
    server: int
    delay: int


class ProbeEnded(Struct):
    server: int
    answered: bool
    utilization: float | None  # load divided by capacity


class TimerFired(Struct):
    timer: Timer
    index: int


Event = (
    ServerListUpdated | SessionArrived | SessionRestored | SessionLeft | SessionEstablished | DialEnded
    | LoadReported | DelayReported | ProbeEnded | TimerFired
)  # fmt: skip


# Actions


class Dial(Struct):
    """Connects the session to the server."""

    session_id: int
    server: int
    limit: int  # time until the session has to be established


class Refuse(Struct):
    """Rejects a session that the client may safely open again."""

    session_id: int
    retry_after: int  # delay that the client is asked for; 0: none
    reason: Reason


class TearDown(Struct):
    """Fails a session that may have run already and must not be repeated."""

    session_id: int
    reason: Reason


class Move(Struct):
    """Asks the client of an open session to reconnect, so that it is placed again."""

    session_id: int


class Probe(Struct):
    server: int


class RequestList(Struct):
    """Requests the server list."""


class SetTimer(Struct):
    timer: Timer
    index: int  # handed back with `TimerFired`
    after: int


class Log(Struct):
    text: str


Action = Dial | Refuse | TearDown | Move | Probe | RequestList | SetTimer | Log
