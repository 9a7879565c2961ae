"""Warm-ups in virtual time: the dials that a whole fleet sends to servers that have just started.

Runs the real decisions (`Balancer`) and nothing else: dials succeed at once, and each session that arrives
ends another one, so that the number of open sessions stays the same. N is the number of dials that the
settings allow in a window, from the sessions per server over the whole fleet or, where that is more, from the
promised sessions (at least one session). A server fails in a window with more than N + 2 sqrt(N) + 2 dials;
the column marked (3) has 3 in both places, the limit of an earlier version of the operators' bench.
"""

import argparse
from collections import deque
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from itertools import product
from math import floor, sqrt
from random import Random

from msgspec import Struct
from msgspec.structs import replace

from .. import interface
from ..policy import SECOND, Balancer, admission_probability

LISTENER = interface.Listener(
    3000, 12000, interface.Effect.IDEMPOTENT, interface.DedupScope.ALL, 50000, 1.0, 500
)
DEPLOYMENT = interface.Deployment(
    listeners=(LISTENER,), zone=0, replicas=1, tick=20, connect_timeout=1500, max_dials=4, may_probe=False,
    max_retry_after=0, list_on_request=False, list_poll_within=100000, start_capacity=0.3, warm_after=88000,
    overload_factor=2.5, overload_window=20000, reports_load=True, reports_delay=True, is_passthrough=False,
    cross_zone_price=0.0, drain_grace=20000, quota_connections=0.0,
)  # fmt: skip
START_TIME = 100 * SECOND  # late enough that servers started at 1 are warm
ARRIVAL_PATTERNS = ("even", "skewed", "bursts", "herd")
BURST_LENGTH = SECOND / 20


class Case(Struct, frozen=True):
    """Parameters of a warm-up: the size of the fleet and its load. All servers are alike."""

    balancers: int
    sessions_per_server: int  # on each warm server
    arrivals: str = "even"  # one of ARRIVAL_PATTERNS
    warm_servers: int = 20
    cold_servers: int = 1
    arrivals_per_second: float = 60.0  # over the whole fleet
    promised: int = 0  # sessions for each server

    def deployment(self) -> interface.Deployment:
        promised_total = float(self.promised * (self.warm_servers + self.cold_servers))
        return replace(DEPLOYMENT, replicas=self.balancers, quota_connections=promised_total)


class WarmUp(Struct):
    """Results of one warm-up, over all of its cold servers; a window ends at each dial."""

    sent: int
    allowed: float  # sum of the budgets of consecutive windows
    peak_of_allowed: float  # the fullest window as a fraction of N
    peak_of_limit: float  # as a fraction of N + 2 sqrt(N) + 2
    failed: int  # servers above N + 2 sqrt(N) + 2
    failed_at_three: int  # above N + 3 sqrt(N) + 3
    refused: int
    arrived: int


def failure_limit(allowed: float, factor: int) -> float:
    return allowed + factor * sqrt(allowed) + factor


def probability_of_at_least(probabilities: Sequence[float], count: int) -> float:
    """The exact probability that `count` or more of independent events with these probabilities occur."""
    if count <= 0:
        return 1.0
    distribution = [1.0] + [0.0] * (count - 1)  # probabilities of 0, 1, ... count - 1 events
    for probability in probabilities:
        for index in range(count - 1, 0, -1):
            distribution[index] += probability * (distribution[index - 1] - distribution[index])
        distribution[0] *= 1 - probability
    return max(1 - sum(distribution), 0.0)


def failure_bounds(case: Case, seed: int, steps: int = 22) -> tuple[float, float]:
    """Upper bounds of the share of warm-ups with a failed server, from the budget shares of a fleet.

    The first assumes dials at every moment: it sums, over all sessions sent, the probability that the other
    sessions of the window that ends with it put the window above the limit. The second assumes that all
    balancers dial at once after a window without a dial, at a uniformly distributed time, and at every moment
    from then on.
    """
    fleet = WarmUpFleet(case, seed)
    window, length = DEPLOYMENT.overload_window, DEPLOYMENT.warm_after
    dense = simultaneous = 0.0
    for step in range(steps):
        age = (step + 0.5) * length / steps
        failing_count = floor(failure_limit(fleet.allowed(age), 2)) + 1
        # The shares in the middle of the window.
        shares = fleet.budget_shares(START_TIME + int(max(age - window / 2, age / 2)))
        certain = [floor(share) for share in shares]
        shares = sorted(
            admission_probability(share - whole, case.balancers)
            for share, whole in zip(shares, certain, strict=True)
        )
        sent = (sum(certain) + sum(shares)) * length / steps / window
        dense += sent * probability_of_at_least(shares[1:], failing_count - 1 - sum(certain))
        simultaneous += probability_of_at_least(shares, failing_count - sum(certain)) / steps
    return min(case.cold_servers * dense, 1.0), min(case.cold_servers * simultaneous, 1.0)


def arrivals_of(case: Case, rng: Random) -> Iterator[tuple[float, int]]:
    """The time of each arrival since the start of the cold servers, and the index of its balancer."""
    length = DEPLOYMENT.warm_after
    count = round(case.arrivals_per_second * length / SECOND)
    balancers = range(case.balancers)
    if case.arrivals == "skewed":
        weights = [1 / (1 + index) for index in balancers]
        chosen = rng.choices(balancers, weights, k=count)
    else:
        chosen = rng.choices(balancers, k=count)
    if case.arrivals == "bursts":
        # The arrivals of each 1.5 seconds come within a twentieth of a second.
        period = 1.5 * SECOND
        times = [
            rng.uniform(0, length) // period * period + rng.uniform(0, BURST_LENGTH) for _ in range(count)
        ]
    elif case.arrivals == "herd":
        # No arrivals until clients of all balancers reconnect at once: a fifth of all arrivals. The others
        # follow at random times.
        first = rng.uniform(0, length - DEPLOYMENT.overload_window)
        times = [
            rng.uniform(first, length) if index % 5 else first + rng.uniform(0, BURST_LENGTH)
            for index in range(count)
        ]
    else:
        times = [rng.uniform(0, length) for _ in range(count)]
    return zip(sorted(times), chosen, strict=True)


class WarmUpFleet:
    """All balancers of one warm-up, with the sessions that they hold."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = rng = Random(seed)
        deployment = case.deployment()
        self.balancers = [Balancer(rng.randrange(1 << 48), deployment) for _ in range(case.balancers)]
        self.sessions: list[tuple[int, int, int]] = []  # balancer, session, server
        self.next_session = 0
        self.sessions_on_warm = 0
        warm = [
            interface.ServerEntry(server, 0, 0, interface.ServerState.READY, 1)
            for server in range(case.warm_servers)
        ]
        for balancer in self.balancers:
            balancer.handle(1, interface.ServerListUpdated(interface.ListKind.SAVED, warm))
        for session in range(case.warm_servers * case.sessions_per_server):
            index = rng.randrange(case.balancers)
            self.balancers[index].handle(
                START_TIME, interface.SessionRestored(session, 0, None, None, session % case.warm_servers)
            )
            self.balancers[index].handle(START_TIME, interface.LoadReported(session, 1.0))
            self.sessions.append((index, session, session % case.warm_servers))
        self.next_session = self.sessions_on_warm = len(self.sessions)
        cold = [
            interface.ServerEntry(case.warm_servers + offset, 0, 0, interface.ServerState.READY, START_TIME)
            for offset in range(case.cold_servers)
        ]
        list_kind = interface.ListKind.CHANGES if warm else interface.ListKind.SAVED
        for balancer in self.balancers:
            balancer.handle(START_TIME, interface.ServerListUpdated(list_kind, cold))

    def allowed(self, age: float) -> float:
        """N, the dials allowed in a window to a server that started `age` ago."""
        case = self.case
        mean_sessions = (
            self.sessions_on_warm / case.warm_servers
            if case.warm_servers
            else len(self.sessions) / case.cold_servers
        )
        capacity = DEPLOYMENT.start_capacity + (1 - DEPLOYMENT.start_capacity) * age / DEPLOYMENT.warm_after
        share = DEPLOYMENT.overload_factor * capacity * DEPLOYMENT.overload_window / DEPLOYMENT.warm_after
        return share * max(mean_sessions, case.promised, 1)

    def budget_shares(self, now: int) -> list[float]:
        """How many sessions each balancer may send to the first cold server in a window."""
        shares = []
        for balancer in self.balancers:
            balancer.now = now
            server = balancer.servers[self.case.warm_servers]
            mean_sessions = (
                balancer.warm_capacity_share(server.kind, balancer.warm_loads()) / balancer.mean_load
            )
            shares.append(balancer.cold_budget_ratio(server) * mean_sessions)
        return shares

    def run(self) -> WarmUp:
        case = self.case
        result = WarmUp(0, 0.0, 0.0, 0.0, 0, 0, 0, 0)
        windows: dict[int, deque[float]] = {
            case.warm_servers + offset: deque() for offset in range(case.cold_servers)
        }
        failed: set[int] = set()
        failed_at_three: set[int] = set()
        previous_age = 0.0
        for age, index in arrivals_of(case, self.rng):
            result.allowed += (
                case.cold_servers
                * self.allowed((age + previous_age) / 2)
                * (age - previous_age)
                / DEPLOYMENT.overload_window
            )
            previous_age = age
            result.arrived += 1
            server = self.replace_session(index, START_TIME + int(age))
            if server is None:
                result.refused += 1
                continue
            window = windows.get(server)
            if window is None:
                continue
            result.sent += 1
            window.append(age)
            while window[0] <= age - DEPLOYMENT.overload_window:
                window.popleft()
            allowed = self.allowed(age)
            result.peak_of_allowed = max(result.peak_of_allowed, len(window) / allowed)
            result.peak_of_limit = max(result.peak_of_limit, len(window) / failure_limit(allowed, 2))
            if len(window) > failure_limit(allowed, 2):
                failed.add(server)
            if len(window) > failure_limit(allowed, 3):
                failed_at_three.add(server)
        result.failed, result.failed_at_three = len(failed), len(failed_at_three)
        return result

    def replace_session(self, index: int, now: int) -> int | None:
        """Ends a random session once enough are open, and opens one at a balancer.

        Returns the server of the new session, or None if it is refused.
        """
        if (
            len(self.sessions) >= max(self.case.sessions_per_server, 1) * max(self.case.warm_servers, 1)
            and self.case.warm_servers
        ):
            position = self.rng.randrange(len(self.sessions))
            self.sessions[position], self.sessions[-1] = self.sessions[-1], self.sessions[position]
            holder, ended, server = self.sessions.pop()
            self.balancers[holder].handle(
                now, interface.DialEnded(ended, server, interface.DialOutcome.COMPLETED, True, None)
            )
            self.sessions_on_warm -= server < self.case.warm_servers
        session = self.next_session
        self.next_session += 1
        balancer = self.balancers[index]
        actions = balancer.handle(now, interface.SessionArrived(session, 0, 12000, None, None, False))
        for action in actions:
            if isinstance(action, interface.Dial):
                balancer.handle(now, interface.SessionEstablished(session, action.server, 20))
                balancer.handle(now, interface.LoadReported(session, 1.0))
                self.sessions.append((index, session, action.server))
                self.sessions_on_warm += action.server < self.case.warm_servers
                return action.server
        return None


def run_warm_up(case: Case, seed: int) -> WarmUp:
    return WarmUpFleet(case, seed).run()


COLUMNS = (
    "balancers", "held", "arrivals", "warm", "cold", "promised", "warm-ups", "fell", "fell (3)", "used of N",
    "worst window / N", "/ limit", "refused", "bound, dense", "bound, all at once",
)  # fmt: skip


def measure_case(case: Case, rounds: int, seed: int, jobs: int) -> list[str]:
    """The values of COLUMNS for one case, over `rounds` warm-ups in `jobs` processes."""
    with ProcessPoolExecutor(jobs) as pool:
        results = list(
            pool.map(partial(run_warm_up, case), range(seed, seed + rounds), chunksize=max(rounds // 50, 1))
        )
    dense, simultaneous = failure_bounds(case, seed)
    return [
        *map(
            str,
            (
                case.balancers, case.sessions_per_server, case.arrivals, case.warm_servers, case.cold_servers,
                case.promised, rounds,
            ),
        ),
        str(sum(result.failed > 0 for result in results)),
        str(sum(result.failed_at_three > 0 for result in results)),
        f"{sum(result.sent for result in results) / sum(result.allowed for result in results):.2f}",
        f"{max(result.peak_of_allowed for result in results):.2f}",
        f"{max(result.peak_of_limit for result in results):.2f}",
        f"{sum(result.refused for result in results) / sum(result.arrived for result in results):.2f}",
        f"{dense:.0e}", f"{simultaneous:.0e}",
    ]  # fmt: skip


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--balancers", type=int, nargs="+", default=[2, 8, 20, 30, 200, 420])
    parser.add_argument(
        "--held", type=int, nargs="+", default=[10, 40], help="open sessions on each warm server"
    )
    parser.add_argument("--arrivals", nargs="+", choices=ARRIVAL_PATTERNS, default=["even"])
    parser.add_argument("--warm", type=int, default=20, help="warm servers; 0: all have just restarted")
    parser.add_argument("--cold", type=int, default=1, help="cold servers")
    parser.add_argument(
        "--promised", type=int, default=0, help="promised sessions for each server; 0: not stated"
    )
    parser.add_argument(
        "--rate", type=float, default=60.0, help="arriving sessions per second over the whole fleet"
    )
    parser.add_argument("--rounds", type=int, default=100, help="warm-ups for each row")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=1)


def main(arguments: argparse.Namespace) -> int:
    """Prints each row once it is measured; returns 1 if a server failed, else 0."""
    print("| " + " | ".join(COLUMNS) + " |\n" + "| --- " * len(COLUMNS) + "|")
    has_failure = False
    sessions_per_server = arguments.held if arguments.warm else [0]
    for sessions, arrivals, balancers in product(
        sessions_per_server, arguments.arrivals, arguments.balancers
    ):
        case = Case(
            balancers,
            sessions,
            arrivals,
            arguments.warm,
            arguments.cold,
            arguments.rate,
            arguments.promised,
        )
        row = measure_case(case, arguments.rounds, arguments.seed, arguments.jobs)
        print("| " + " | ".join(row) + " |", flush=True)
        has_failure = has_failure or row[COLUMNS.index("fell")] != "0"
    return int(has_failure)
