"""Groups of idle servers: a placement that visits groups has to see what a walk over all servers would."""

import random
from collections import Counter

import pytest
from msgspec.structs import replace

from thymedeck import interface
from thymedeck.lab.cold import DEPLOYMENT, LISTENER
from thymedeck.policy.balancer import CAP, Balancer, Session
from thymedeck.policy.candidates import AgeStage, ColdGroup, Group, GroupKey
from thymedeck.policy.server import FADE_TIME, SECOND, Server

SERVERS = 40
EVENTS = 250
DEADLINE = 12_000
ENDED = [
    interface.DialOutcome.REJECTED,
    interface.DialOutcome.ERROR,
    interface.DialOutcome.UNREACHABLE,
    interface.DialOutcome.RESET,
    interface.DialOutcome.TIMED_OUT,
]
SCOPES = [
    replace(LISTENER, effect=interface.Effect.DEDUPLICATED, dedup_scope=scope, dedup_window=10**9)
    for scope in (interface.DedupScope.ALL, interface.DedupScope.ZONE, interface.DedupScope.CELL)
]


class Day:
    """Events by chance, of every kind that bears on which servers are idle."""

    def __init__(self, seed: int, probes: bool) -> None:
        self.chance = random.Random(seed)
        listeners = (LISTENER, *SCOPES)
        site = replace(
            DEPLOYMENT, listeners=listeners, replicas=3, may_probe=probes, cross_zone_price=0.1 * probes
        )
        self.balancer = Balancer(seed, site)
        self.now = 100 * SECOND
        self.next_sess = 0
        self.dialled: dict[int, int] = {}
        self.standing: dict[int, int] = {}
        self.asked: list[int] = []
        self.tell(
            interface.ServerListUpdated(interface.ListKind.SAVED, [self.entry(at) for at in range(SERVERS)])
        )

    def entry(self, at: int) -> interface.ServerEntry:
        chance = self.chance
        state = chance.choice(
            [interface.ServerState.READY] * 4 + [interface.ServerState.DRAINING, interface.ServerState.GONE]
        )
        started = chance.choice([0, 0, 1, self.now, self.now - DEPLOYMENT.warm_after - SECOND])
        return interface.ServerEntry(
            at, at % 2, at // 4, state, started, chance.choice([1e-6, 0.5, 1.0, 1e9]), at % 3
        )

    def tell(self, event: interface.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, interface.Dial):
                self.dialled[action.session_id] = action.server
            elif isinstance(action, interface.Probe):
                self.asked.append(action.server)

    def step(self) -> None:
        chance = self.chance
        self.now += chance.choice([1, 200, SECOND, 5 * SECOND]) if chance.random() < 0.9 else FADE_TIME
        what = chance.random()
        if what < 0.35:
            self.next_sess += 1
            listener = chance.randrange(1 + len(SCOPES))
            self.tell(interface.SessionArrived(self.next_sess, listener, DEADLINE, 1.0, None, False))
        elif what < 0.65 and self.dialled:
            self.end_dial()
        elif what < 0.75 and self.standing:
            sess, server = self.standing.popitem()
            outcome = chance.choice([interface.DialOutcome.COMPLETED, interface.DialOutcome.RESET])
            self.tell(interface.DialEnded(sess, server, outcome, True, None))
        elif what < 0.85:
            self.tell(
                interface.DelayReported(-1, chance.randrange(SERVERS), chance.choice([0, 300, 900, 9000]))
            )
        elif what < 0.9 and self.asked:
            self.end_probe()
        else:
            kind = chance.choice(
                [interface.ListKind.CHANGES, interface.ListKind.CHANGES, interface.ListKind.WHOLE]
            )
            some = chance.sample(range(SERVERS), 4 if kind is interface.ListKind.CHANGES else SERVERS - 4)
            self.tell(interface.ServerListUpdated(kind, [self.entry(at) for at in some]))

    def end_dial(self) -> None:
        sess, server = self.dialled.popitem()
        if self.chance.random() < 0.5:
            self.standing[sess] = server
            self.tell(interface.SessionEstablished(sess, server, 20))
        else:
            self.tell(interface.DialEnded(sess, server, self.chance.choice(ENDED), False, None))

    def end_probe(self) -> None:
        """It is answered, also long after its time."""
        server = self.asked[0]
        if self.chance.random() < 0.5:
            self.tell(interface.TimerFired(interface.Timer.PROBE_TIMEOUT, server))
        else:
            pressure = self.chance.choice([None, 0.2, 0.8, 1.2])
            self.tell(interface.ProbeEnded(self.asked.pop(0), pressure is not None, pressure))


def check_places(balancer: Balancer) -> None:
    """Each ready server is in one place, the right one, and nothing else is in any."""
    candidates = balancer.candidates
    ready = {at: one for at, one in balancer.servers.items() if one.state is interface.ServerState.READY}
    assert {one.index for one in candidates.ready} == set(ready) == set(candidates.by_index)
    assert all(candidates.ready[one.ready_position] is one for one in ready.values())
    assert +candidates.zone_counts == Counter(one.zone for one in ready.values())
    assert {at for cell in candidates.by_cell.values() for at in cell} == set(ready)
    grouped: dict[int, Server] = {}
    for group in candidates.groups.values():
        assert group.weight == pytest.approx(sum(one.weight for one in group.members), rel=1e-3)
        for at, server in enumerate(group.members):
            assert (server.group_position, server.group) == (at, group)
            assert (server.kind, server.zone) == group.key[:2]
            assert server.is_idle(balancer.now, candidates.window) and not balancer.own_sum(server)
            assert not (server.is_unhealthy or server.open_sessions or server.pending_dials)
            grouped[server.index] = server
        if isinstance(group, ColdGroup):
            assert group.draws == sorted((one.admission_draw, one.index) for one in group.members)
    assert not set(grouped) & set(candidates.active)
    assert set(grouped) | set(candidates.active) == set(ready)
    assert balancer.listed == sum(
        one.state is not interface.ServerState.GONE for one in balancer.servers.values()
    )


def by_walk(balancer: Balancer, sess: Session, ahead: float) -> set[int]:
    """The servers that tie, told from each ready server alone."""
    now, site = balancer.now, balancer.site
    keys: dict[int, tuple[int, float]] = {}
    for server in balancer.servers.values():
        if server.state is not interface.ServerState.READY or not balancer.drops_repeat(sess, server):
            continue
        unheard = not (server.open_sessions or server.pending_dials or balancer.is_cold(server))
        if server.index in sess.tried:
            rank = 4
        elif server.is_unhealthy and (now < server.trial_at or server.pending_dials):
            rank = 3
        elif server.full_until > now or server.silent_until > now:
            rank = 2
        elif (
            now <= server.slow_until
            or (now <= server.report_valid_until and balancer.load_now(server) >= CAP)
            or balancer.would_crowd(server, ahead)
            or (balancer.wary and unheard)
        ):
            rank = 1
        else:
            rank = -1 if site.may_probe and site.cross_zone_price and server.zone == site.zone else 0
        load = balancer.own_sum(server) + balancer.faded(server)
        keys[server.index] = (rank, load * balancer.ease.get(server.kind, 1.0))
    return {at for at, key in keys.items() if key == min(keys.values())}


# Guards against servers lost between groups, or taken for idle while something is known of them.
@pytest.mark.parametrize("probes", [False, True])
@pytest.mark.parametrize("seed", range(12))
def test_groups_hold_what_a_walk_over_all_servers_sees(seed: int, probes: bool) -> None:
    day = Day(seed, probes)
    balancer = day.balancer
    chance = random.Random(seed)
    compared = 0
    for _ in range(EVENTS):
        day.step()
        check_places(balancer)
        sess = Session(chance.randrange(1 + len(SCOPES)), day.now + DEADLINE, 1.0, None)
        sess.tried = chance.sample(range(SERVERS), chance.randrange(3))
        sess.may_have_run = chance.choice([None, balancer.servers[chance.randrange(SERVERS)]])
        balancer.wary = not probes and chance.random() < 0.3
        burdens = {at: balancer.faded(one) for at, one in balancer.servers.items()}
        balancer.prepare(sess)
        assert {at: balancer.faded(one) for at, one in balancer.servers.items()} == burdens
        check_places(balancer)
        ties = balancer.least(sess, 1.0, set(), False)
        found = (
            [] if ties is None else [*ties.servers, *(one for group in ties.groups for one in group.members)]
        )
        assert len({one.index for one in found}) == len(found)
        assert {one.index for one in found} == by_walk(balancer, sess, 1.0)
        compared += len(found) > 1
    assert compared > EVENTS / 4


@pytest.mark.parametrize("weights", [[1.0] * 5, [1e-6, 1.0, 3.0], [1e12, 1e-6, 1e-6, 2e-6]], ids=str)
def test_a_group_draws_by_weight(weights: list[float]) -> None:
    group = Group(GroupKey(0, 0, AgeStage.SETTLED))
    for at, weight in enumerate(weights):
        group.add(Server(interface.ServerEntry(at, 0, 0, interface.ServerState.READY, 0, weight)))
    uniform = random.Random(1).uniform
    rounds = 6000
    for left in (weights, weights[1:]):
        drawn = Counter(group.draw(uniform).index for _ in range(rounds))
        start = len(weights) - len(left)
        for at, weight in enumerate(left, start):
            share = weight / sum(left)
            assert abs(drawn[at] / rounds - share) < 5 * (share * (1 - share) / rounds) ** 0.5 + 1e-9
        assert group.weight == pytest.approx(sum(left))
        group.remove(next(one for one in group.members if one.index == start))


# Guards against cold servers with room being drawn without regard to weights and kinds of machine.
def test_cold_servers_are_drawn_by_weight_and_kind() -> None:
    site = replace(DEPLOYMENT, replicas=1, quota_connections=1e6)
    balancer = Balancer(1, site)
    now = 100 * SECOND
    weights = {0: 1.0, 1: 3.0, 2: 1.0}
    drawn: Counter[int] = Counter()
    rounds = 3000
    for sess in range(rounds):
        now += site.overload_window + 1
        cold = [
            interface.ServerEntry(at, 0, 0, interface.ServerState.READY, now, weights[at], kind=at // 2)
            for at in weights
        ]
        balancer.handle(now, interface.ServerListUpdated(interface.ListKind.WHOLE, cold))
        (dial,) = balancer.handle(now, interface.SessionArrived(sess, 0, DEADLINE, 1.0, None, False))
        drawn[dial.server] += 1
        balancer.handle(
            now, interface.DialEnded(sess, dial.server, interface.DialOutcome.COMPLETED, True, None)
        )
    # Two of three servers are of the first kind, and a quarter of its weight is the first one's.
    for at, share in {0: 2 / 3 / 4, 1: 2 / 3 * 3 / 4, 2: 1 / 3}.items():
        assert abs(drawn[at] / rounds - share) < 5 * (share * (1 - share) / rounds) ** 0.5, drawn


# Guards against a zone that is cut off being kept in use, as if the fault were the balancer's own.
def test_another_zone_is_taken_out_while_the_own_one_is_well() -> None:
    balancer = Balancer(1, DEPLOYMENT)
    listed = [interface.ServerEntry(at, int(at > 0), 0, interface.ServerState.READY, 0) for at in range(4)]
    balancer.handle(SECOND, interface.ServerListUpdated(interface.ListKind.SAVED, listed))
    for at in (1, 2, 3):
        for _ in range(2):
            balancer.set_up_went(balancer.servers[at], False)
    assert [one.index for one in balancer.servers.values() if one.is_unhealthy] == [1, 2, 3]
    assert not balancer.doubt


def test_a_server_that_holds_nothing_has_the_sum_zero_whatever_the_rounding() -> None:
    balancer = Balancer(1, DEPLOYMENT)
    balancer.handle(
        SECOND,
        interface.ServerListUpdated(
            interface.ListKind.SAVED, [interface.ServerEntry(0, 0, 0, interface.ServerState.READY, 0)]
        ),
    )
    loads = [0.1, 0.2, 0.3, 0.6]  # added and taken off in this order they leave 1e-16
    for sess, load in enumerate(loads):
        balancer.handle(SECOND, interface.SessionRestored(sess, 0, None, None, 0))
        balancer.handle(SECOND, interface.LoadReported(sess, load))
    for sess in range(len(loads)):
        balancer.handle(SECOND, interface.DialEnded(sess, 0, interface.DialOutcome.COMPLETED, True, None))
    assert balancer.servers[0].known_load == 0.0
