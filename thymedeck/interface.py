"""What the decision module is told and what it answers, in the users' words.

Times and durations are whole tenths of a millisecond. Servers and sessions are small indices that the
caller hands out; loads are millionths of a standard core. Nothing here belongs to any protocol.
"""

from enum import IntEnum, StrEnum

from msgspec import Struct


class Effect(IntEnum):
    IDEMPOTENT = 0
    DEDUPLICATED = 1
    AT_MOST_ONCE = 2


class DedupScope(IntEnum):
    """Which servers drop the repeats of a referenced session."""

    ALL = 0
    ZONE = 1
    CELL = 2


class ServerState(IntEnum):
    READY = 0
    DRAINING = 1
    GONE = 2


class DialOutcome(IntEnum):
    COMPLETED = 0  # the session was served to its end
    ERROR = 1  # the server answered with an error
    REJECTED = 2  # turned down unseen
    TIMED_OUT = 3  # no reply in time
    UNREACHABLE = 4  # no connection in time
    RESET = 5  # the connection was dropped
    CANCELLED = 6
    NOT_SENT = 7  # the dial never left
    UNKNOWN = 8
    MOVED = 9  # the server asked the client to move, as it drains


NEVER_EXECUTED = frozenset((DialOutcome.REJECTED, DialOutcome.UNREACHABLE, DialOutcome.NOT_SENT))


class ListKind(IntEnum):
    CHANGES = 0
    WHOLE = 1
    SAVED = 2
    FAILED = 3


class Reason(StrEnum):
    """Why a session is refused or torn down."""

    THROTTLED = "set-ups fail all over the fleet"
    DEADLINE = "no time left for a dial"
    DIALS_EXHAUSTED = "all dials used"
    MAY_HAVE_RUN = "it may have run and must not run again"
    NO_CAPACITY = "no server has room"
    NO_SERVER = "no server is ready"


class Timer(IntEnum):
    LIST_REQUEST = 0
    PROBE_TIMEOUT = 1


class Listener(Struct, frozen=True):
    handshake_target: int
    dial_timeout: int
    effect: Effect
    dedup_scope: DedupScope
    dedup_window: int
    utility: float
    message_aim: int


class Deployment(Struct, frozen=True):
    """What the deployment states when a balancer starts; only what the decisions read."""

    listeners: tuple[Listener, ...]
    zone: int
    replicas: int  # balancers, this one among them
    tick: int
    connect_timeout: int
    max_dials: int
    may_probe: bool
    max_retry_after: int
    list_on_request: bool
    list_poll_within: int
    start_capacity: float
    warm_after: int
    overload_factor: float
    overload_window: int
    reports_load: bool
    reports_delay: bool  # how long messages take is told
    is_passthrough: bool
    cross_zone_price: float
    drain_grace: int  # within which what is sent to a server that drains has to stop
    quota_connections: (
        float  # connections that the fleet is to carry, the members' shares together; 0: not stated
    )


class ServerEntry(Struct):
    server: int
    zone: int
    cell: int
    state: ServerState
    started: int
    weight: float = 1.0  # above 0, as the list gives it
    kind: int = -1  # of machine; -1: not told


# Events


class ServerListUpdated(Struct):
    kind: ListKind
    entries: list[ServerEntry]
    call_duration: int = (
        0  # FAILED: for how long the call was out; 0 for a watch, which was told all until it broke
    )
    is_scheduled: bool = (
        False  # FAILED: the call went out by `RequestList`, and not as others did in that moment
    )
    listed_count: int = 0  # servers on the list, where some of them are still to be told


class SessionArrived(Struct):
    session_id: int
    listener: int
    budget: int
    hint: float | None
    subject: str | None
    mid_flow: bool


class SessionRestored(Struct):
    """A session that already stood on a server when this balancer started."""

    session_id: int
    listener: int
    hint: float | None
    subject: str | None
    server: int


class SessionLeft(Struct):
    session_id: int


class SessionEstablished(Struct):
    session_id: int
    server: int
    setup_duration: int


class DialEnded(Struct):
    session_id: int
    server: int
    outcome: DialOutcome
    complete: bool
    utilization: float | None


class LoadReported(Struct):
    session_id: int
    load: float


class DelayReported(Struct):
    """How long a message takes at this server now."""

    session_id: int
    server: int
    delay: int


class ProbeEnded(Struct):
    server: int
    answered: bool
    utilization: float | None


class TimerFired(Struct):
    timer: Timer
    index: int


Event = (
    ServerListUpdated | SessionArrived | SessionRestored | SessionLeft | SessionEstablished | DialEnded
    | LoadReported | DelayReported | ProbeEnded | TimerFired
)  # fmt: skip


# Actions


class Dial(Struct):
    session_id: int
    server: int
    limit: int


class Refuse(Struct):
    session_id: int
    retry_after: int
    reason: Reason


class TearDown(Struct):
    session_id: int
    reason: Reason


class Move(Struct):
    session_id: int


class Probe(Struct):
    server: int


class RequestList(Struct):
    pass


class SetTimer(Struct):
    timer: Timer
    index: int
    after: int


class Log(Struct):
    text: str


Action = Dial | Refuse | TearDown | Move | Probe | RequestList | SetTimer | Log
