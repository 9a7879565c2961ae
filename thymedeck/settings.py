"""The deployment settings as they are spelled in the configuration file, and their conversion for the policy.

The simulator's adapter and the socket service read the same structure.
"""

from msgspec import Struct, field

from . import interface

EFFECTS = {
    "pure": interface.Effect.IDEMPOTENT,
    "token": interface.Effect.DEDUPLICATED,
    "side_effect": interface.Effect.AT_MOST_ONCE,
}
SCOPES = {
    "all": interface.DedupScope.ALL,
    "zone": interface.DedupScope.ZONE,
    "cell": interface.DedupScope.CELL,
}
NO_MESSAGE_AIM = 10_000_000.0  # microseconds, for a listener that states no message_aim_us
MIN_WEIGHT = 1e-6  # of a server in the list
MIN_DRAIN_GRACE = 1_000  # tenths of a millisecond; retries of list requests are paced by fractions of it


class Listener(Struct):
    """A class of sessions."""

    handshake_target_us: int
    deadline_us: int
    effect: str
    utility: float
    dedup_scope: str = "all"
    memory_span_us: int = 0
    name: str = ""


class Extra(Struct):
    message_aim_us: list[float] = []  # by listener
    mode: str = "proxy"  # with "pass", the packets of a flow may move to another balancer
    tells_load: bool = False  # the loads of open sessions are reported
    tells_delay: bool = True  # the time that messages take is reported
    tenant_quota_connections: list[float] = []  # by tenant


class Limits(Struct):
    max_dials: int
    dial_timeout_us: int = 0
    probes: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    peers: bool = True  # whether balancers may exchange messages with one another


class Contract(Struct):
    """What the servers and the list service promise or demand."""

    ask_within_us: int = 10_000_000
    drain_grace_us: int = 1_000_000
    start_capacity: float = 1.0
    warm_after_us: int = 0
    overload_factor: float = 1.0
    overload_for_us: int = 0


class Report(Struct):
    """The fields that servers report; `x0` is their utilization."""

    fields: list[str] = []


class Prices(Struct):
    cross_zone: float = 0.0


class Settings(Struct):
    """All settings of a deployment: the key `settings` of the configuration file, `env` in the simulator."""

    listeners: list[Listener]
    limits: Limits
    contract: Contract
    tick_us: int
    discovery: str = "pushed"
    extra: Extra = field(default_factory=Extra)
    prices: Prices = field(default_factory=Prices)
    report: Report = field(default_factory=Report)
    zone: int = 0
    replicas_of_me: int = 1
    zones: list[str] = []
    kinds: list[str] = []


def floor_tenths_ms(us: float) -> int:
    """Converts microseconds to whole tenths of a millisecond, rounded down."""
    return int(us // 100)


def ceil_tenths_ms(us: float) -> int:
    """Converts microseconds to whole tenths of a millisecond, rounded up."""
    return int(-(-us // 100))


def deployment_from(settings: Settings) -> interface.Deployment:
    """Converts the settings to the policy's types. Budgets are rounded down, waiting times up."""
    aims = settings.extra.message_aim_us
    listeners = tuple(
        interface.Listener(
            handshake_target=floor_tenths_ms(li.handshake_target_us),
            dial_timeout=floor_tenths_ms(li.deadline_us),
            # An unknown effect or scope is treated as the strictest one.
            effect=EFFECTS.get(li.effect, interface.Effect.AT_MOST_ONCE),
            dedup_scope=SCOPES.get(li.dedup_scope, interface.DedupScope.CELL),
            dedup_window=floor_tenths_ms(li.memory_span_us),
            utility=li.utility,
            message_aim=floor_tenths_ms(aims[at] if at < len(aims) else NO_MESSAGE_AIM),
        )
        for at, li in enumerate(settings.listeners)
    )
    limits, contract = settings.limits, settings.contract
    return interface.Deployment(
        listeners=listeners,
        zone=settings.zone,
        replicas=max(settings.replicas_of_me, 1),
        tick=ceil_tenths_ms(settings.tick_us),
        connect_timeout=ceil_tenths_ms(limits.dial_timeout_us),
        max_dials=limits.max_dials,
        may_probe=limits.probes and "x0" in settings.report.fields,
        max_retry_after=floor_tenths_ms(limits.max_retry_after_us) if limits.retry_after else 0,
        list_on_request=settings.discovery == "on_request",
        list_poll_within=floor_tenths_ms(contract.ask_within_us),
        start_capacity=contract.start_capacity,
        warm_after=ceil_tenths_ms(contract.warm_after_us),
        overload_factor=contract.overload_factor,
        overload_window=ceil_tenths_ms(contract.overload_for_us),
        reports_load=settings.extra.tells_load,
        reports_delay=settings.extra.tells_delay,
        is_passthrough=settings.extra.mode == "pass",
        cross_zone_price=settings.prices.cross_zone,
        drain_grace=max(floor_tenths_ms(contract.drain_grace_us), MIN_DRAIN_GRACE),
        quota_connections=sum(settings.extra.tenant_quota_connections),
    )
