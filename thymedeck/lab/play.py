"""Plays a scenario on either stage, then has the rules checked on what the stand-ins saw."""

from collections.abc import Callable
from fnmatch import fnmatchcase

from msgspec import Struct, structs

from ..peers.settings import RATE_UNITS, TIME_UNITS, parse_quantity
from . import checks
from .scenario import Deed, Scenario
from .stage import SECOND, Processes, Stage, Virtual
from .standins import Listed

EFFECTS = {"chat": "repeatable", "once": "once"}
CALM = 5 * SECOND  # after the length, for what is under way to be answered


def listener(name: str, effect: str) -> dict:
    return {
        "name": name, "handshake_target_us": 300_000, "deadline_us": 2_000_000, "effect": effect,
        "utility": 1.0, "dedup_scope": "all", "memory_span_us": 5_000_000,
    }  # fmt: skip


def settings(balancers: int, kinds: list[str], zones: list[str]) -> dict:
    """The deployment's object as balancers are told it in every play."""
    return {
        "listeners": [listener("chat", "pure"), listener("once", "side_effect")],
        "limits": {"max_dials": 4, "dial_timeout_us": 150_000},
        "contract": {
            "ask_within_us": 10_000_000, "start_capacity": 0.3, "warm_after_us": 8_000_000,
            "overload_factor": 2.5, "overload_for_us": 2_000_000,
        },
        "discovery": "on_request",
        "tick_us": 2000,
        "extra": {"message_aim_us": [50_000, 50_000], "tells_load": True},
        "replicas_of_me": balancers,
        "zones": zones,
        "kinds": kinds,
    }  # fmt: skip


class Row(Struct):
    """What one check saw."""

    check: str
    looked_at: int
    wrong: list[str]


def stage_for(scenario: Scenario, seed: int, processes: bool) -> Stage:
    sheet = scenario.sheet
    kinds = list(dict.fromkeys(one.kind for one in sheet.servers))
    zones = list(dict.fromkeys(one.zone for one in sheet.servers))
    told = settings(sheet.fleet.balancers, kinds, zones)
    peers = {} if sheet.fleet.peers else None
    return (Processes if processes else Virtual)(seed, told, peers)


class Run:
    def __init__(self, scenario: Scenario, seed: int, processes: bool) -> None:
        self.scenario = scenario
        self.seed = seed
        self.stage = stage_for(scenario, seed, processes)
        self.names = [f"b{at}" for at in range(scenario.sheet.fleet.balancers)]
        self.agreed_at = -1

    def set_up(self) -> None:
        sheet, stage = self.scenario.sheet, self.stage
        made = []
        for group in sheet.servers:
            for _ in range(group.count):
                ident = f"s{len(made)}"
                stage.add_server(ident, limit=group.limit, work=parse_quantity(group.work, TIME_UNITS))
                made.append(Listed(ident, zone=group.zone, kind=group.kind))
        stage.list.set(*made)
        if sheet.list_service.known:
            stage.known = made
        if sheet.list_service.capacity:
            stage.list.capacity = parse_quantity(sheet.list_service.capacity, RATE_UNITS)
            stage.list.refusal_cost = sheet.list_service.refusal_cost
        for name in self.names:
            stage.start(name)
        stage.started(*self.names)

    def play(self, say: Callable[[str], None] = lambda text: None) -> list[Row]:
        stage, scenario = self.stage, self.scenario
        try:
            self.set_up()
            begin = stage.now()
            stage.faults.entries += [
                structs.replace(one, since=one.since + begin, until=one.until + begin)
                for one in scenario.faults
            ]
            for at, one in enumerate(scenario.sheet.clients):
                rate = parse_quantity(one.rate, RATE_UNITS)
                stage.add_crowd(
                    self.seed * 1000 + at, rate, parse_quantity(one.life, TIME_UNITS), tuple(one.classes),
                    parse_quantity(one.deadline, TIME_UNITS),
                )  # fmt: skip
            for at, deed in scenario.deeds:
                stage.run(max(begin + at - stage.now(), 0))
                say(f"{at / SECOND:.1f} s: {deed.what} {' '.join(deed.who)}")
                self.do(deed)
            stage.run(max(begin + scenario.length - stage.now(), 0))
            if scenario.agree_within:
                since = stage.now()
                if stage.run_until(self.agree, scenario.agree_within):
                    self.agreed_at = stage.now() - since
            for crowd in stage.crowds:
                crowd.stopped = True
            stage.run(CALM)
            return self.check()
        finally:
            stage.close()

    def do(self, deed: Deed) -> None:
        stage = self.stage
        if deed.what.startswith("list"):
            self.do_to_list(deed.what.partition(" ")[2])
            return
        names = [*self.names, *stage.servers]
        meant = [one for one in names if any(fnmatchcase(one, pattern) for pattern in deed.who)]
        for name in meant:
            if name in stage.servers:
                self.do_to_server(deed, name)
            else:
                getattr(stage, deed.what)(name)
        if deed.what == "start":
            stage.started(*meant)

    def do_to_list(self, what: str) -> None:
        service = self.stage.list
        if what == "down":
            service.fall()
        elif what == "up":
            service.down = False
        elif what == "stale":
            service.stale = dict(service.servers)
        elif what == "wrong":
            service.wrong = True
        else:
            service.stale, service.wrong = None, False

    def do_to_server(self, deed: Deed, name: str) -> None:
        stage = self.stage
        server = stage.servers[name]
        match deed.what:
            case "drain":
                server.draining = True
                stage.list.change(name, state="DRAINING")
            case "leave" | "kill":
                if deed.what == "leave":
                    stage.list.change(name, state="DELETED")
                server.stop()
            case "cold":
                # It comes back under its name, and the list tells when it started.
                server.stop()
                server.draining = server.silent = server.fallen = False
                stage.open_server(server)
                server.start_cold(deed.budget, 8 * SECOND)
                stage.list.change(name, state="SERVING", started_ms=stage.loop.system.time_ns() / 1_000_000)
            case "silent":
                server.silent = True
            case "lose answers":
                server.lose_answers = True
            case "reset lines":
                server.reset_lines = True
            case "well":
                server.silent = server.lose_answers = server.reset_lines = False

    # The end

    def agree(self) -> bool:
        """Each balancer that runs holds all others that run to be here, and nobody else."""
        stage = self.stage
        running = set(self.names) & stage.alive
        if isinstance(stage, Virtual):
            return all(
                {peer.name for peer in stage.carriers[name].membership.alive_peers()} == running - {name}
                for name in running
            )
        return all(stage.here(name) == len(running) - 1 for name in running)

    def check(self) -> list[Row]:
        stage, scenario = self.stage, self.scenario
        entries = stage.record.entries
        lines, dials = len(stage.record.of("client line")), len(stage.record.of("server line"))
        rows = [
            Row("one final answer in time", lines, checks.one_answer(entries, stage.now())),
            Row("no effect twice", dials, checks.no_effect_twice(entries, EFFECTS)),
            Row("drains kept", dials, checks.drains_kept(entries, scenario.grace)),
            Row("no cold server pushed over", len(stage.record.of("cold")), checks.cold_spared(entries)),
        ]
        faults = [f"{name}: {one}"[:300] for name in self.names for one in stage.log(name) if is_fault(one)]
        rows.append(Row("no fault logged", len(self.names), faults))
        if scenario.agree_within:
            wrong = [] if self.agreed_at >= 0 else ["they did not agree"]
            rows.append(Row("all know who runs", len(stage.alive), wrong))
        return rows


def is_fault(entry: dict) -> bool:
    return entry["event"] in ("fault", "text", "unanswered")
