"""What a deployment states, as it is spelled there, and its one decoding for the decisions.

The simulator's adapter and the balancer on sockets are told the same object.
"""

from msgspec import Struct, field

from . import interface as own

EFFECTS = {
    "pure": own.Effect.REPEATABLE,
    "token": own.Effect.REFERENCED,
    "side_effect": own.Effect.ONCE_ONLY,
}
SCOPES = {"all": own.Scope.ALL, "zone": own.Scope.ZONE, "cell": own.Scope.CELL}
NO_AIM = 10_000_000.0
LEAST_WEIGHT = 1e-6
LEAST_GRACE = 1_000  # calls for the list are paced by parts of it


class Listener(Struct):
    handshake_target_us: int
    deadline_us: int
    effect: str
    utility: float
    dedup_scope: str = "all"
    memory_span_us: int = 0
    name: str = ""


class Extra(Struct):
    message_aim_us: list[float] = []
    mode: str = "proxy"
    tells_load: bool = False
    tells_delay: bool = True
    tenant_quota_connections: list[float] = []


class Limits(Struct):
    max_dials: int
    dial_timeout_us: int = 0
    probes: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    peers: bool = True  # whether balancers may talk to one another


class Contract(Struct):
    ask_within_us: int = 10_000_000
    drain_grace_us: int = 1_000_000
    start_capacity: float = 1.0
    warm_after_us: int = 0
    overload_factor: float = 1.0
    overload_for_us: int = 0


class Report(Struct):
    fields: list[str] = []


class Prices(Struct):
    cross_zone: float = 0.0


class Env(Struct):
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


def down(us: float) -> int:
    return int(us // 100)


def up(us: float) -> int:
    return int(-(-us // 100))


def deployment(env: Env) -> own.Deployment:
    aims = env.extra.message_aim_us
    listeners = tuple(
        own.Listener(
            handshake_target=down(li.handshake_target_us),
            dial_timeout=down(li.deadline_us),
            # An effect or a scope that is not known is taken for the strictest.
            effect=EFFECTS.get(li.effect, own.Effect.ONCE_ONLY),
            scope=SCOPES.get(li.dedup_scope, own.Scope.CELL),
            memory=down(li.memory_span_us),
            utility=li.utility,
            message_aim=down(aims[at] if at < len(aims) else NO_AIM),
        )
        for at, li in enumerate(env.listeners)
    )
    limits, contract = env.limits, env.contract
    return own.Deployment(
        listeners=listeners,
        zone=env.zone,
        replicas=max(env.replicas_of_me, 1),
        tick=up(env.tick_us),
        connect_timeout=up(limits.dial_timeout_us),
        max_dials=limits.max_dials,
        may_probe=limits.probes and "x0" in env.report.fields,
        come_back_max=down(limits.max_retry_after_us) if limits.retry_after else 0,
        list_on_request=env.discovery == "on_request",
        ask_within=down(contract.ask_within_us),
        cold_share=contract.start_capacity,
        warm_after=up(contract.warm_after_us),
        fall_multiple=contract.overload_factor,
        fall_window=up(contract.overload_for_us),
        present_load=env.extra.tells_load,
        tells_delay=env.extra.tells_delay,
        passes_through=env.extra.mode == "pass",
        crossing_price=env.prices.cross_zone,
        drain_grace=max(down(contract.drain_grace_us), LEAST_GRACE),
        promised=sum(env.extra.tenant_quota_connections),
    )
