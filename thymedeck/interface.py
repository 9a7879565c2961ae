"""What the decision module is told and what it answers, in the users' words.

Times and durations are whole tenths of a millisecond. Servers and sessions are small indices that the
caller hands out; loads are millionths of a standard core. Nothing here belongs to any protocol.
"""

from dataclasses import dataclass
from enum import IntEnum


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


NEVER_RAN = frozenset((Outcome.FULL, Outcome.UNREACHABLE, Outcome.UNSENT))


class ListKind(IntEnum):
    CHANGES = 0
    WHOLE = 1
    SAVED = 2
    FAILED = 3


class Timer(IntEnum):
    LIST = 0
    ASK = 1


@dataclass(slots=True, frozen=True)
class Listener:
    handshake_target: int
    dial_timeout: int
    effect: Effect
    scope: Scope
    memory: int
    utility: float
    message_aim: int


@dataclass(slots=True, frozen=True)
class Deployment:
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
    promised: float  # connections that the fleet is to carry, the members' shares together; 0: not stated


@dataclass(slots=True)
class Entry:
    server: int
    zone: int
    cell: int
    state: State
    started: int
    weight: float = 1.0  # above 0, as the list gives it


# Events


@dataclass(slots=True)
class ServerList:
    kind: ListKind
    entries: list[Entry]


@dataclass(slots=True)
class SessionCame:
    sess: int
    listener: int
    budget: int
    hint: float | None
    subject: str | None
    mid_flow: bool


@dataclass(slots=True)
class SessionStands:
    """A session that already stood on a server when this balancer started."""

    sess: int
    listener: int
    hint: float | None
    subject: str | None
    server: int


@dataclass(slots=True)
class SessionLeft:
    sess: int


@dataclass(slots=True)
class Established:
    sess: int
    server: int
    took: int


@dataclass(slots=True)
class DialEnded:
    sess: int
    server: int
    outcome: Outcome
    complete: bool
    pressure: float | None


@dataclass(slots=True)
class LoadTold:
    sess: int
    load: float


@dataclass(slots=True)
class DelayTold:
    """How long a message takes at this server now."""

    sess: int
    server: int
    delay: int


@dataclass(slots=True)
class Probed:
    server: int
    answered: bool
    pressure: float | None


@dataclass(slots=True)
class TimerDue:
    timer: Timer
    index: int


Event = (
    ServerList | SessionCame | SessionStands | SessionLeft | Established | DialEnded | LoadTold
    | DelayTold | Probed | TimerDue
)  # fmt: skip


# Actions


@dataclass(slots=True)
class Dial:
    sess: int
    server: int
    limit: int


@dataclass(slots=True)
class Refuse:
    sess: int
    come_back: int


@dataclass(slots=True)
class TearDown:
    sess: int


@dataclass(slots=True)
class Move:
    sess: int


@dataclass(slots=True)
class Probe:
    server: int


@dataclass(slots=True)
class FollowList:
    pass


@dataclass(slots=True)
class SetTimer:
    timer: Timer
    index: int
    after: int


@dataclass(slots=True)
class Log:
    text: str


Action = Dial | Refuse | TearDown | Move | Probe | FollowList | SetTimer | Log
