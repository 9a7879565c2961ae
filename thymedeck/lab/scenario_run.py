"""Runs a scenario on either testbed, then checks the invariants against what the stand-ins recorded."""

from collections.abc import Callable
from fnmatch import fnmatchcase

from msgspec import Struct, structs

from ..peers.settings import RATE_UNITS, TIME_UNITS, parse_quantity
from . import checks
from .scenario import Scenario, TimedAction
from .standins import ListedServer
from .testbed import SECOND, BaseTestbed, ProcessTestbed, VirtualTestbed

EFFECTS = {"chat": "repeatable", "once": "once"}  # by class of clients, for `check_effects`
SETTLE_TIME = 5 * SECOND  # after the scenario's length, so that pending requests are answered


def listener_settings(name: str, effect: str) -> dict:
    return {
        "name": name, "handshake_target_us": 300_000, "deadline_us": 2_000_000, "effect": effect,
        "utility": 1.0, "dedup_scope": "all", "memory_span_us": 5_000_000,
    }  # fmt: skip


def deployment_settings(balancers: int, kinds: list[str], zones: list[str]) -> dict:
    """Returns the `settings` object that balancers get in every run."""
    return {
        "listeners": [listener_settings("chat", "pure"), listener_settings("once", "side_effect")],
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


class CheckResult(Struct):
    check: str
    examined: int  # how many cases the check looked at
    violations: list[str]


def make_testbed(scenario: Scenario, seed: int, processes: bool) -> BaseTestbed:
    spec = scenario.spec
    kinds = list(dict.fromkeys(group.kind for group in spec.servers))
    zones = list(dict.fromkeys(group.zone for group in spec.servers))
    settings = deployment_settings(spec.fleet.balancers, kinds, zones)
    peers_options = {} if spec.fleet.peers else None
    return (ProcessTestbed if processes else VirtualTestbed)(seed, settings, peers_options)


class ScenarioRun:
    """One run of a scenario: sets up the testbed, applies faults and actions when due, checks the record."""

    def __init__(self, scenario: Scenario, seed: int, processes: bool) -> None:
        self.scenario = scenario
        self.seed = seed
        self.testbed = make_testbed(scenario, seed, processes)
        self.names = [f"b{index}" for index in range(scenario.spec.fleet.balancers)]
        self.agreement_time = -1  # from the end of the scenario; -1: no agreement

    def set_up(self) -> None:
        spec, testbed = self.scenario.spec, self.testbed
        listed = []
        for group in spec.servers:
            for _ in range(group.count):
                server_id = f"s{len(listed)}"
                testbed.add_server(server_id, limit=group.limit, work=parse_quantity(group.work, TIME_UNITS))
                listed.append(ListedServer(server_id, zone=group.zone, kind=group.kind))
        testbed.list_service.update_servers(*listed)
        if spec.list_service.known:
            testbed.known_servers = listed
        if spec.list_service.capacity:
            testbed.list_service.capacity = parse_quantity(spec.list_service.capacity, RATE_UNITS)
            testbed.list_service.refusal_cost = spec.list_service.refusal_cost
        for name in self.names:
            testbed.start(name)
        testbed.wait_until_started(*self.names)

    def run(self, report_progress: Callable[[str], None] = lambda text: None) -> list[CheckResult]:
        testbed, scenario = self.testbed, self.scenario
        try:
            self.set_up()
            begin = testbed.now()
            testbed.faults.entries += [
                structs.replace(fault, since=fault.since + begin, until=fault.until + begin)
                for fault in scenario.faults
            ]
            for index, group in enumerate(scenario.spec.clients):
                rate = parse_quantity(group.rate, RATE_UNITS)
                testbed.add_clients(
                    self.seed * 1000 + index, rate, parse_quantity(group.life, TIME_UNITS),
                    tuple(group.classes), parse_quantity(group.deadline, TIME_UNITS),
                )  # fmt: skip
            for at, action in scenario.actions:
                testbed.run(max(begin + at - testbed.now(), 0))
                report_progress(f"{at / SECOND:.1f} s: {action.what} {' '.join(action.who)}")
                self.apply_action(action)
            testbed.run(max(begin + scenario.duration - testbed.now(), 0))
            if scenario.agreement_timeout:
                since = testbed.now()
                if testbed.run_until(self.is_membership_agreed, scenario.agreement_timeout):
                    self.agreement_time = testbed.now() - since
            for clients in testbed.client_groups:
                clients.is_stopped = True
            testbed.run(SETTLE_TIME)
            return self.check()
        finally:
            testbed.close()

    def apply_action(self, action: TimedAction) -> None:
        testbed = self.testbed
        if action.what.startswith("list"):
            self.apply_to_list_service(action.what.partition(" ")[2])
            return
        names = [*self.names, *testbed.servers]
        matching = [party for party in names if any(fnmatchcase(party, pattern) for pattern in action.who)]
        for name in matching:
            if name in testbed.servers:
                self.apply_to_server(action, name)
            else:
                # The methods of the testbed are named as the actions in scenario files.
                getattr(testbed, action.what)(name)
        if action.what == "start":
            testbed.wait_until_started(*matching)

    def apply_to_list_service(self, what: str) -> None:
        service = self.testbed.list_service
        if what == "down":
            service.take_down()
        elif what == "up":
            service.is_down = False
        elif what == "stale":
            service.stale_servers = dict(service.servers)
        elif what == "wrong":
            service.sends_malformed_body = True
        else:
            service.stale_servers, service.sends_malformed_body = None, False

    def apply_to_server(self, action: TimedAction, name: str) -> None:
        testbed = self.testbed
        server = testbed.servers[name]
        match action.what:
            case "drain":
                server.is_draining = True
                testbed.list_service.change_server(name, state="DRAINING")
            case "leave" | "kill":
                if action.what == "leave":
                    testbed.list_service.change_server(name, state="DELETED")
                server.stop()
            case "cold":
                # The server restarts under the same name, and the list gives its new start time.
                server.stop()
                server.is_draining = server.is_silent = server.has_failed = False
                testbed.open_server(server)
                server.start_cold(action.budget, 8 * SECOND)
                testbed.list_service.change_server(
                    name, state="SERVING", started_ms=testbed.loop.system.time_ns() / 1_000_000
                )
            case "silent":
                server.is_silent = True
            case "lose answers":
                server.loses_answers = True
            case "reset lines":
                server.resets_connections = True
            case "well":
                server.is_silent = server.loses_answers = server.resets_connections = False

    # Evaluation

    def is_membership_agreed(self) -> bool:
        """Whether each running balancer regards all other running ones as alive, and nobody else."""
        testbed = self.testbed
        running = set(self.names) & testbed.alive
        if isinstance(testbed, VirtualTestbed):
            return all(
                {peer.name for peer in testbed.transports[name].membership.alive_peers()} == running - {name}
                for name in running
            )
        return all(testbed.live_peer_count(name) == len(running) - 1 for name in running)

    def check(self) -> list[CheckResult]:
        testbed, scenario = self.testbed, self.scenario
        entries = testbed.record.entries
        requests, dials = (
            len(testbed.record.of_kind("client line")),
            len(testbed.record.of_kind("server line")),
        )
        results = [
            CheckResult("one final answer in time", requests, checks.check_answers(entries, testbed.now())),
            CheckResult("no effect twice", dials, checks.check_effects(entries, EFFECTS)),
            CheckResult("drains respected", dials, checks.check_drains(entries, scenario.drain_grace)),
            CheckResult(
                "no cold server overloaded",
                len(testbed.record.of_kind("cold")),
                checks.check_cold_budgets(entries),
            ),
        ]
        faults = [
            f"{name}: {entry}"[:300] for name in self.names for entry in testbed.log(name) if is_fault(entry)
        ]
        results.append(CheckResult("no fault logged", len(self.names), faults))
        if scenario.agreement_timeout:
            violations = [] if self.agreement_time >= 0 else ["the balancers did not agree"]
            results.append(CheckResult("membership agreed", len(testbed.alive), violations))
        return results


def is_fault(entry: dict) -> bool:
    """Whether a log entry shows an error; `text` stands for a line that is not JSON, such as a traceback."""
    return entry["event"] in ("fault", "text", "unanswered")
