"""What the decision module is told and what it answers, in the users' words.

Times and durations are whole tenths of a millisecond. Servers and sessions are small indices that the
caller hands out; loads are millionths of a standard core. Nothing here belongs to any protocol.
"""

from enum import IntEnum, StrEnum

from msgspec import Struct


class Effect(IntEnum):
    REPEATABLE = 0
    REFERENCED = 1
    ONCE_ONLY = 2


class Scope(IntEnum):
    """Which servers drop the repeats of a referenced session."""

    ALL = 0
    ZONE = 1
    CELL = 2


class State(IntEnum):
    READY = 0
    DRAINING = 1
    GONE = 2


class Outcome(IntEnum):
    ENDED = 0  # the session was served to its end
    ERROR = 1  # the server answered with an error
    FULL = 2  # turned down unseen
    OVERDUE = 3  # no reply in time
    UNREACHABLE = 4  # no connection in time
    RESET = 5  # the connection was dropped
    CANCELLED = 6
    UNSENT = 7  # the dial never left
    UNKNOWN = 8
    SENT_AWAY = 9  # the server asked the client to move, as it drains


NEVER_RAN = frozenset((Outcome.FULL, Outcome.UNREACHABLE, Outcome.UNSENT))


class ListKind(IntEnum):
    CHANGES = 0
    WHOLE = 1
    SAVED = 2
    FAILED = 3


class Reason(StrEnum):
    """Why a session is refused or torn down."""

    PACED = "set-ups fail all over the fleet"
    TIME_UP = "no time left for a dial"
    DIALS_USED = "all dials used"
    MAY_HAVE_RUN = "it may have run and must not run again"
    FULL = "no server has room"
    NO_SERVER = "no server is ready"


class Timer(IntEnum):
    LIST = 0
    ASK = 1


class Listener(Struct, frozen=True):
    handshake_target: int
    dial_timeout: int
    effect: Effect
    scope: Scope
    memory: int
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
    come_back_max: int
    list_on_request: bool
    ask_within: int
    cold_share: float
    warm_after: int
    fall_multiple: float
    fall_window: int
    present_load: bool
    tells_delay: bool  # how long messages take is told
    passes_through: bool
    crossing_price: float
    drain_grace: int  # within which what is sent to a server that drains has to stop
    promised: float  # connections that the fleet is to carry, the members' shares together; 0: not stated


class Entry(Struct):
    server: int
    zone: int
    cell: int
    state: State
    started: int
    weight: float = 1.0  # above 0, as the list gives it
    kind: int = -1  # of machine; -1: not told


# Events


class ServerList(Struct):
    kind: ListKind
    entries: list[Entry]
    out: int = 0  # FAILED: for how long the call was out; 0 for a watch, which was told all until it broke
    in_turn: bool = False  # FAILED: the call went out by `FollowList`, and not as others did in that moment
    listed: int = 0  # servers on the list, where some of them are still to be told


class SessionCame(Struct):
    sess: int
    listener: int
    budget: int
    hint: float | None
    subject: str | None
    mid_flow: bool


class SessionStands(Struct):
    """A session that already stood on a server when this balancer started."""

    sess: int
    listener: int
    hint: float | None
    subject: str | None
    server: int


class SessionLeft(Struct):
    sess: int


class Established(Struct):
    sess: int
    server: int
    took: int


class DialEnded(Struct):
    sess: int
    server: int
    outcome: Outcome
    complete: bool
    pressure: float | None


class LoadTold(Struct):
    sess: int
    load: float


class DelayTold(Struct):
    """How long a message takes at this server now."""

    sess: int
    server: int
    delay: int


class Probed(Struct):
    server: int
    answered: bool
    pressure: float | None


class TimerDue(Struct):
    timer: Timer
    index: int


Event = (
    ServerList | SessionCame | SessionStands | SessionLeft | Established | DialEnded | LoadTold
    | DelayTold | Probed | TimerDue
)  # fmt: skip


# Actions


class Dial(Struct):
    sess: int
    server: int
    limit: int


class Refuse(Struct):
    sess: int
    come_back: int
    reason: Reason


class TearDown(Struct):
    sess: int
    reason: Reason


class Move(Struct):
    sess: int


class Probe(Struct):
    server: int


class FollowList(Struct):
    pass


class SetTimer(Struct):
    timer: Timer
    index: int
    after: int


class Log(Struct):
    text: str


Action = Dial | Refuse | TearDown | Move | Probe | FollowList | SetTimer | Log
