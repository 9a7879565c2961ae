"""A play as a file of TOML: who is there, what breaks between them and when, and what is asked of the end.

Decoded strictly. Raises SettingsFileError with one line that names the file, the entry and the reason.
Times are figures with a unit ("300 ms"), rates too ("20 /s").
"""

from typing import Literal

import msgspec

from ..peers.settings import RATE_UNITS, TIME_UNITS, SettingsFileError, load_toml, parse_quantity
from .faults import Fault

MOST_BALANCERS = 500


class Strict(msgspec.Struct, forbid_unknown_fields=True):
    pass


class Fleet(Strict):
    balancers: int
    peers: bool = False


class Servers(Strict):
    count: int
    kind: str = "m1"
    zone: str = "a"
    limit: int = 100_000  # connections
    work: str = "5 ms"  # for a set-up, one after the other


class TheList(Strict):
    capacity: str = ""  # calls a second; none given: unbounded
    refusal_cost: float = 0.0  # of a refusal, in parts of an answer's
    known: bool = True  # the servers are told to balancers at their start


class Clients(Strict):
    rate: str
    life: str = "10 s"
    classes: tuple[str, ...] = ("chat",)
    deadline: str = "2 s"


class Broken(Strict):
    """Between two sides, given as patterns of names: both ways, or only from the first to the second."""

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


class Deed(Strict):
    """Done to each of `who`, given as patterns of names; or to the list."""

    at: str
    what: Literal[
        "start", "kill", "stop", "freeze", "wake", "drain", "leave", "silent", "lose answers", "reset lines",
        "well", "cold", "list down", "list up", "list stale", "list fresh", "list wrong",
    ]  # fmt: skip
    who: list[str] = []
    budget: float = 0.0  # of `cold`: dials in a window, over all balancers


class Sheet(Strict):
    title: str
    length: str
    fleet: Fleet
    seed: int = 1
    servers: list[Servers] = []
    list_service: TheList = msgspec.field(default_factory=TheList)
    clients: list[Clients] = []
    broken: list[Broken] = []
    deeds: list[Deed] = []
    agree_within: str = ""  # at the end: all know all that run, and nobody else
    grace: str = "2 s"  # for drains


class Scenario(msgspec.Struct):
    sheet: Sheet
    length: int
    faults: list[Fault]
    deeds: list[tuple[int, Deed]]
    agree_within: int
    grace: int


def read(path: str) -> Scenario:
    """Raises SettingsFileError."""
    sheet: Sheet = load_toml(path, Sheet)
    where = ""

    def time(text: str) -> int:
        return parse_quantity(text, TIME_UNITS)

    try:
        where = "length"
        length = time(sheet.length)
        where = "fleet"
        if not 0 < sheet.fleet.balancers <= MOST_BALANCERS:
            raise ValueError(f"{sheet.fleet.balancers} balancers, 1 to {MOST_BALANCERS} are possible")
        for at, servers in enumerate(sheet.servers):
            where = f"servers[{at}]"
            time(servers.work)
            if servers.count < 1 or servers.limit < 0:
                raise ValueError("a count under 1, or a limit below zero")
        where = "list_service"
        if sheet.list_service.capacity:
            parse_quantity(sheet.list_service.capacity, RATE_UNITS)
        if not 0 <= sheet.list_service.refusal_cost <= 1:
            raise ValueError("refusal_cost is a part, 0 to 1")
        for at, clients in enumerate(sheet.clients):
            where = f"clients[{at}]"
            parse_quantity(clients.rate, RATE_UNITS)
            time(clients.life), time(clients.deadline)
        faults = []
        for at, one in enumerate(sheet.broken):
            where = f"broken[{at}]"
            faults += as_faults(one)
        deeds = []
        for at, deed in enumerate(sheet.deeds):
            where = f"deeds[{at}]"
            if not deed.who and not deed.what.startswith("list"):
                raise ValueError(f"{deed.what!r} names nobody")
            deeds.append((time(deed.at), deed))
        where = "agree_within"
        agree = time(sheet.agree_within) if sheet.agree_within else 0
        where = "grace"
        grace = time(sheet.grace)
    except ValueError as why:
        raise SettingsFileError(f"{path}: {where}: {why}") from None
    return Scenario(sheet, length, faults, sorted(deeds, key=lambda one: one[0]), agree, grace)


def as_faults(one: Broken) -> list[Fault]:
    if not all(0 <= part <= 1 for part in (one.lose, one.repeat, one.garble)):
        raise ValueError("lose, repeat and garble are parts, 0 to 1")
    since = parse_quantity(one.at, TIME_UNITS)
    more = {
        "cut": one.cut,
        "delay": parse_quantity(one.delay, TIME_UNITS) if one.delay else 0,
        "spread": parse_quantity(one.spread, TIME_UNITS) if one.spread else 0,
        "lose": one.lose,
        "repeat": one.repeat,
        "garble": one.garble,
    }
    if not any(more.values()):
        raise ValueError("nothing is broken")
    until = since + parse_quantity(one.lasts, TIME_UNITS)
    first, second = one.between
    ways = [(first, second)] if one.one_way else [(first, second), (second, first)]
    return [Fault(since, until, source, target, **more) for source, target in ways]
