"""Warm-ups in virtual time: what a whole fleet sends to servers that have just started, against their budget.

Real decisions (`Balancer`) and nothing else: dials stand at once, and as one session comes another ends, so
that what is held stays. N is what the settings allow in a window, by what servers hold over the whole fleet
or, where more, by what is promised (at least one session). A server falls over in a window with more than
N + 2 root N + 2 sessions; the column marked (3) has 3 in both places, as the operators' bench still had it.
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
SITE = interface.Deployment(
    listeners=(LISTENER,), zone=0, replicas=1, tick=20, connect_timeout=1500, max_dials=4, may_probe=False,
    max_retry_after=0, list_on_request=False, list_poll_within=100000, start_capacity=0.3, warm_after=88000,
    overload_factor=2.5, overload_window=20000, reports_load=True, reports_delay=True, is_passthrough=False,
    cross_zone_price=0.0, drain_grace=20000, quota_connections=0.0,
)  # fmt: skip
BEGIN = 100 * SECOND  # warm servers started long before
ARRIVALS = ("even", "skewed", "bursts", "herd")
BURST = SECOND / 20


class Case(Struct, frozen=True):
    """`held` sessions stand on each warm server; `rate` come a second over the fleet; all are alike."""

    balancers: int
    held: int
    arrivals: str = "even"
    warm: int = 20
    cold: int = 1
    rate: float = 60.0
    promised: int = 0  # for each server

    def site(self) -> interface.Deployment:
        total = float(self.promised * (self.warm + self.cold))
        return replace(SITE, replicas=self.balancers, quota_connections=total)


class WarmUp(Struct):
    """Of all cold servers of one warm-up together; windows are ends of windows, at each dial."""

    sent: int
    allowed: float  # the budgets of all windows side by side
    worst: float  # window, as a part of what it falls over at
    worst_two: float  # over N + 2 root N + 2
    fell: int  # servers past N + 2 root N + 2
    fell_three: int  # past N + 3 root N + 3
    refused: int
    came: int


def limit(allowed: float, roots: int) -> float:
    return allowed + roots * sqrt(allowed) + roots


def tail(parts: Sequence[float], count: int) -> float:
    """The chance that of so many who each send one by such a chance `count` or more do. Exact."""
    if count <= 0:
        return 1.0
    chances = [1.0] + [0.0] * (count - 1)  # of 0, 1, ... count - 1
    for part in parts:
        for at in range(count - 1, 0, -1):
            chances[at] += part * (chances[at - 1] - chances[at])
        chances[0] *= 1 - part
    return max(1 - sum(chances), 0.0)


def bounds(case: Case, seed: int, steps: int = 22) -> tuple[float, float]:
    """At most so many of all warm-ups see a fall, by the parts that the decisions of a fleet have.

    First with dials at every moment: the sum over all sessions sent of the chance that the others of the
    window before it fill it up. Then where all balancers dial at once after a window with no dial, at a time
    drawn evenly, and at every moment from then on.
    """
    fleet = Fleet(case, seed)
    window, length = SITE.overload_window, SITE.warm_after
    dense = rush = 0.0
    for step in range(steps):
        age = (step + 0.5) * length / steps
        counts = floor(limit(fleet.allowed(age), 2)) + 1
        parts = fleet.parts(BEGIN + int(max(age - window / 2, age / 2)))  # in the middle of the window
        sure = [floor(part) for part in parts]
        parts = sorted(
            admission_probability(part - one, case.balancers) for part, one in zip(parts, sure, strict=True)
        )
        sent = (sum(sure) + sum(parts)) * length / steps / window
        dense += sent * tail(parts[1:], counts - 1 - sum(sure))
        rush += tail(parts, counts - sum(sure)) / steps
    return min(case.cold * dense, 1.0), min(case.cold * rush, 1.0)


def times(case: Case, chance: Random) -> Iterator[tuple[float, int]]:
    """When sessions come, and to which balancer."""
    length = SITE.warm_after
    count = round(case.rate * length / SECOND)
    everyone = range(case.balancers)
    if case.arrivals == "skewed":
        weights = [1 / (1 + at) for at in everyone]
        who = chance.choices(everyone, weights, k=count)
    else:
        who = chance.choices(everyone, k=count)
    if case.arrivals == "bursts":
        # What comes within a second and a half comes within a twentieth of a second.
        every = 1.5 * SECOND
        ats = [chance.uniform(0, length) // every * every + chance.uniform(0, BURST) for _ in range(count)]
    elif case.arrivals == "herd":
        # Hardly anything until all come back at once, a fifth of the sessions on all balancers.
        first = chance.uniform(0, length - SITE.overload_window)
        ats = [
            chance.uniform(first, length) if at % 5 else first + chance.uniform(0, BURST)
            for at in range(count)
        ]
    else:
        ats = [chance.uniform(0, length) for _ in range(count)]
    return zip(sorted(ats), who, strict=True)


class Fleet:
    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.chance = chance = Random(seed)
        site = case.site()
        self.balancers = [Balancer(chance.randrange(1 << 48), site) for _ in range(case.balancers)]
        self.standing: list[tuple[int, int, int]] = []  # balancer, session, server
        self.next = 0
        self.on_warm = 0
        warm = [interface.ServerEntry(at, 0, 0, interface.ServerState.READY, 1) for at in range(case.warm)]
        for balancer in self.balancers:
            balancer.handle(1, interface.ServerListUpdated(interface.ListKind.SAVED, warm))
        for at in range(case.warm * case.held):
            who = chance.randrange(case.balancers)
            self.balancers[who].handle(BEGIN, interface.SessionRestored(at, 0, None, None, at % case.warm))
            self.balancers[who].handle(BEGIN, interface.LoadReported(at, 1.0))
            self.standing.append((who, at, at % case.warm))
        self.next = self.on_warm = len(self.standing)
        cold = [
            interface.ServerEntry(case.warm + at, 0, 0, interface.ServerState.READY, BEGIN)
            for at in range(case.cold)
        ]
        kind = interface.ListKind.CHANGES if warm else interface.ListKind.SAVED
        for balancer in self.balancers:
            balancer.handle(BEGIN, interface.ServerListUpdated(kind, cold))

    def allowed(self, age: float) -> float:
        """N."""
        case = self.case
        held = self.on_warm / case.warm if case.warm else len(self.standing) / case.cold
        able = SITE.start_capacity + (1 - SITE.start_capacity) * age / SITE.warm_after
        part = SITE.overload_factor * able * SITE.overload_window / SITE.warm_after
        return part * max(held, case.promised, 1)

    def parts(self, now: int) -> list[float]:
        """What each balancer may send to the first of the cold servers in a window, in sessions."""
        parts = []
        for balancer in self.balancers:
            balancer.now = now
            server = balancer.servers[self.case.warm]
            carried = balancer.warm_capacity_share(server.kind, balancer.warm_loads()) / balancer.mean_load
            parts.append(balancer.cold_budget_ratio(server) * carried)
        return parts

    def play(self) -> WarmUp:
        case = self.case
        seen = WarmUp(0, 0.0, 0.0, 0.0, 0, 0, 0, 0)
        windows: dict[int, deque[float]] = {case.warm + at: deque() for at in range(case.cold)}
        fell: set[int] = set()
        fell_three: set[int] = set()
        before = 0.0
        for age, who in times(case, self.chance):
            seen.allowed += (
                case.cold * self.allowed((age + before) / 2) * (age - before) / SITE.overload_window
            )
            before = age
            seen.came += 1
            server = self.come(who, BEGIN + int(age))
            if server is None:
                seen.refused += 1
                continue
            window = windows.get(server)
            if window is None:
                continue
            seen.sent += 1
            window.append(age)
            while window[0] <= age - SITE.overload_window:
                window.popleft()
            allowed = self.allowed(age)
            seen.worst = max(seen.worst, len(window) / allowed)
            seen.worst_two = max(seen.worst_two, len(window) / limit(allowed, 2))
            if len(window) > limit(allowed, 2):
                fell.add(server)
            if len(window) > limit(allowed, 3):
                fell_three.add(server)
        seen.fell, seen.fell_three = len(fell), len(fell_three)
        return seen

    def come(self, who: int, now: int) -> int | None:
        """One comes, another ends; the server that it went to."""
        if len(self.standing) >= max(self.case.held, 1) * max(self.case.warm, 1) and self.case.warm:
            at = self.chance.randrange(len(self.standing))
            self.standing[at], self.standing[-1] = self.standing[-1], self.standing[at]
            holder, ended, server = self.standing.pop()
            self.balancers[holder].handle(
                now, interface.DialEnded(ended, server, interface.DialOutcome.COMPLETED, True, None)
            )
            self.on_warm -= server < self.case.warm
        sess = self.next
        self.next += 1
        balancer = self.balancers[who]
        out = balancer.handle(now, interface.SessionArrived(sess, 0, 12000, None, None, False))
        for action in out:
            if isinstance(action, interface.Dial):
                balancer.handle(now, interface.SessionEstablished(sess, action.server, 20))
                balancer.handle(now, interface.LoadReported(sess, 1.0))
                self.standing.append((who, sess, action.server))
                self.on_warm += action.server < self.case.warm
                return action.server
        return None


def play(case: Case, seed: int) -> WarmUp:
    return Fleet(case, seed).play()


HEADS = (
    "balancers", "held", "arrivals", "warm", "cold", "promised", "warm-ups", "fell", "fell (3)", "used of N",
    "worst window / N", "/ limit", "refused", "bound, dense", "bound, all at once",
)  # fmt: skip


def measure(case: Case, rounds: int, seed: int, jobs: int) -> list[str]:
    """One row of HEADS."""
    with ProcessPoolExecutor(jobs) as pool:
        seen = list(pool.map(partial(play, case), range(seed, seed + rounds), chunksize=max(rounds // 50, 1)))
    dense, rush = bounds(case, seed)
    return [
        *map(str, (case.balancers, case.held, case.arrivals, case.warm, case.cold, case.promised, rounds)),
        str(sum(one.fell > 0 for one in seen)), str(sum(one.fell_three > 0 for one in seen)),
        f"{sum(one.sent for one in seen) / sum(one.allowed for one in seen):.2f}",
        f"{max(one.worst for one in seen):.2f}", f"{max(one.worst_two for one in seen):.2f}",
        f"{sum(one.refused for one in seen) / sum(one.came for one in seen):.2f}",
        f"{dense:.0e}", f"{rush:.0e}",
    ]  # fmt: skip


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--balancers", type=int, nargs="+", default=[2, 8, 20, 30, 200, 420])
    parser.add_argument("--held", type=int, nargs="+", default=[10, 40], help="sessions on each warm server")
    parser.add_argument("--arrivals", nargs="+", choices=ARRIVALS, default=["even"])
    parser.add_argument("--warm", type=int, default=20, help="servers; 0: all have just restarted")
    parser.add_argument("--cold", type=int, default=1, help="servers")
    parser.add_argument("--promised", type=int, default=0, help="sessions for each server; 0: not stated")
    parser.add_argument("--rate", type=float, default=60.0, help="sessions a second over the fleet")
    parser.add_argument("--rounds", type=int, default=100, help="warm-ups")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=1)


def main(given: argparse.Namespace) -> int:
    """A row as soon as a case is measured; 1 if a server fell."""
    print("| " + " | ".join(HEADS) + " |\n" + "| --- " * len(HEADS) + "|")
    fell = False
    stand = given.held if given.warm else [0]
    for held, arrivals, balancers in product(stand, given.arrivals, given.balancers):
        case = Case(balancers, held, arrivals, given.warm, given.cold, given.rate, given.promised)
        row = measure(case, given.rounds, given.seed, given.jobs)
        print("| " + " | ".join(row) + " |", flush=True)
        fell = fell or row[HEADS.index("fell")] != "0"
    return int(fell)
