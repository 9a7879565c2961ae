"""Scenario files (TOML): the parties, the faults and actions over time, and the conditions at the end.

Decoding is strict. Raises SettingsFileError with one line that names the file, the entry and the reason.
Times ("300 ms") and rates ("20 /s") are written with their units.
"""

from typing import Literal

import msgspec

from ..peers.settings import RATE_UNITS, TIME_UNITS, SettingsFileError, load_toml, parse_quantity
from .faults import Fault

MAX_BALANCERS = 500


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True):
    pass


class FleetSpec(StrictStruct):
    balancers: int
    peers: bool = False


class ServerGroupSpec(StrictStruct):
    count: int
    kind: str = "m1"
    zone: str = "a"
    limit: int = 100_000  # established sessions at a time
    work: str = "5 ms"  # per session setup; setups are processed one at a time


class ListServiceSpec(StrictStruct):
    capacity: str = ""  # a rate of requests; empty: unlimited
    refusal_cost: float = 0.0  # of a refusal, as a fraction of an answer's cost
    known: bool = True  # whether balancers are given the servers at startup


class ClientGroupSpec(StrictStruct):
    rate: str
    life: str = "10 s"
    classes: tuple[str, ...] = ("chat",)
    deadline: str = "2 s"


class FaultSpec(StrictStruct):
    """A fault between two sides given as name patterns: both ways, or only from the first to the second."""

    at: str
    lasts: str
    between: tuple[str, str]
    one_way: bool = False
    cut: bool = False
    delay: str = ""
    spread: str = ""
    lose: float = 0.0
    repeat: float = 0.0
    garble: float = 0.0


class TimedAction(StrictStruct):
    """An action on each balancer or server whose name matches a pattern in `who`, or on the list service."""

    at: str
    what: Literal[
        "start", "kill", "stop", "freeze", "wake", "drain", "leave", "silent", "lose answers", "reset lines",
        "well", "cold", "list down", "list up", "list stale", "list fresh", "list wrong",
    ]  # fmt: skip
    who: list[str] = []
    budget: float = 0.0  # for `cold`: dials allowed per window, over all balancers


class ScenarioSpec(StrictStruct):
    """The file as written."""

    title: str
    length: str
    fleet: FleetSpec
    seed: int = 1
    servers: list[ServerGroupSpec] = []
    list_service: ListServiceSpec = msgspec.field(default_factory=ListServiceSpec)
    clients: list[ClientGroupSpec] = []
    broken: list[FaultSpec] = []
    deeds: list[TimedAction] = []
    # Time from the end within which every running balancer must know all other running ones and nobody else;
    # empty: not checked
    agree_within: str = ""
    grace: str = "2 s"  # how long after learning of a drain a balancer may still dial the server


class Scenario(msgspec.Struct):
    """A scenario with its times converted; faults are split by direction, actions are sorted by time."""

    spec: ScenarioSpec
    duration: int
    faults: list[Fault]
    actions: list[tuple[int, TimedAction]]
    agreement_timeout: int
    drain_grace: int


def read_scenario(path: str) -> Scenario:
    """Raises SettingsFileError."""
    spec: ScenarioSpec = load_toml(path, ScenarioSpec)
    where = ""

    def parse_time(text: str) -> int:
        return parse_quantity(text, TIME_UNITS)

    try:
        where = "length"
        duration = parse_time(spec.length)
        where = "fleet"
        if not 0 < spec.fleet.balancers <= MAX_BALANCERS:
            raise ValueError(f"balancers is {spec.fleet.balancers}, must be 1 to {MAX_BALANCERS}")
        for index, servers in enumerate(spec.servers):
            where = f"servers[{index}]"
            parse_time(servers.work)
            if servers.count < 1 or servers.limit < 0:
                raise ValueError("count must be at least 1 and limit must not be negative")
        where = "list_service"
        if spec.list_service.capacity:
            parse_quantity(spec.list_service.capacity, RATE_UNITS)
        if not 0 <= spec.list_service.refusal_cost <= 1:
            raise ValueError("refusal_cost must be between 0 and 1")
        for index, clients in enumerate(spec.clients):
            where = f"clients[{index}]"
            parse_quantity(clients.rate, RATE_UNITS)
            parse_time(clients.life), parse_time(clients.deadline)
        faults = []
        for index, fault_spec in enumerate(spec.broken):
            where = f"broken[{index}]"
            faults += to_faults(fault_spec)
        actions = []
        for index, action in enumerate(spec.deeds):
            where = f"deeds[{index}]"
            if not action.who and not action.what.startswith("list"):
                raise ValueError(f"{action.what!r} needs `who`")
            actions.append((parse_time(action.at), action))
        where = "agree_within"
        agreement_timeout = parse_time(spec.agree_within) if spec.agree_within else 0
        where = "grace"
        drain_grace = parse_time(spec.grace)
    except ValueError as error:
        raise SettingsFileError(f"{path}: {where}: {error}") from None
    return Scenario(
        spec, duration, faults, sorted(actions, key=lambda timed: timed[0]), agreement_timeout, drain_grace
    )


def to_faults(spec: FaultSpec) -> list[Fault]:
    """Converts one entry of the file to one fault per direction. Raises ValueError."""
    if not all(0 <= probability <= 1 for probability in (spec.lose, spec.repeat, spec.garble)):
        raise ValueError("lose, repeat and garble must be between 0 and 1")
    since = parse_quantity(spec.at, TIME_UNITS)
    effects = {
        "cut": spec.cut,
        "delay": parse_quantity(spec.delay, TIME_UNITS) if spec.delay else 0,
        "spread": parse_quantity(spec.spread, TIME_UNITS) if spec.spread else 0,
        "lose": spec.lose,
        "repeat": spec.repeat,
        "garble": spec.garble,
    }
    if not any(effects.values()):
        raise ValueError("the entry has no effect")
    until = since + parse_quantity(spec.lasts, TIME_UNITS)
    first, second = spec.between
    directions = [(first, second)] if spec.one_way else [(first, second), (second, first)]
    return [Fault(since, until, source, target, **effects) for source, target in directions]
