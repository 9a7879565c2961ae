"""The index of idle servers: a placement that visits groups finds what a scan of all servers would."""

import random
from collections import Counter

import pytest
from msgspec.structs import replace

from thymedeck import interface
from thymedeck.lab.cold import DEPLOYMENT, LISTENER
from thymedeck.policy.balancer import LOAD_CAP, Balancer, Session
from thymedeck.policy.candidates import AgeStage, ColdGroup, Group, GroupKey
from thymedeck.policy.server import FADE_TIME, SECOND, Server

SERVER_COUNT = 40
EVENT_COUNT = 250
DEADLINE = 12_000
FAILURES = [
    interface.DialOutcome.REJECTED,
    interface.DialOutcome.ERROR,
    interface.DialOutcome.UNREACHABLE,
    interface.DialOutcome.RESET,
    interface.DialOutcome.TIMED_OUT,
]
DEDUPLICATED_LISTENERS = [
    replace(LISTENER, effect=interface.Effect.DEDUPLICATED, dedup_scope=scope, dedup_window=10**9)
    for scope in (interface.DedupScope.ALL, interface.DedupScope.ZONE, interface.DedupScope.CELL)
]


class RandomEvents:
    """Gives a balancer random events of every type that decides which servers are idle."""

    def __init__(self, seed: int, probes: bool) -> None:
        self.generator = random.Random(seed)
        listeners = (LISTENER, *DEDUPLICATED_LISTENERS)
        deployment = replace(
            DEPLOYMENT, listeners=listeners, replicas=3, may_probe=probes, cross_zone_price=0.1 * probes
        )
        self.balancer = Balancer(seed, deployment)
        self.now = 100 * SECOND
        self.next_session_id = 0
        self.pending: dict[int, int] = {}
        self.established: dict[int, int] = {}
        self.probed: list[int] = []
        self.handle(
            interface.ServerListUpdated(
                interface.ListKind.SAVED, [self.entry(index) for index in range(SERVER_COUNT)]
            )
        )

    def entry(self, index: int) -> interface.ServerEntry:
        generator = self.generator
        state = generator.choice(
            [interface.ServerState.READY] * 4 + [interface.ServerState.DRAINING, interface.ServerState.GONE]
        )
        started = generator.choice([0, 0, 1, self.now, self.now - DEPLOYMENT.warm_after - SECOND])
        return interface.ServerEntry(
            index, index % 2, index // 4, state, started, generator.choice([1e-6, 0.5, 1.0, 1e9]), index % 3
        )

    def handle(self, event: interface.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, interface.Dial):
                self.pending[action.session_id] = action.server
            elif isinstance(action, interface.Probe):
                self.probed.append(action.server)

    def step(self) -> None:
        generator = self.generator
        self.now += generator.choice([1, 200, SECOND, 5 * SECOND]) if generator.random() < 0.9 else FADE_TIME
        choice_of_event = generator.random()
        if choice_of_event < 0.35:
            self.next_session_id += 1
            listener = generator.randrange(1 + len(DEDUPLICATED_LISTENERS))
            self.handle(interface.SessionArrived(self.next_session_id, listener, DEADLINE, 1.0, None, False))
        elif choice_of_event < 0.65 and self.pending:
            self.end_dial()
        elif choice_of_event < 0.75 and self.established:
            session_id, server = self.established.popitem()
            outcome = generator.choice([interface.DialOutcome.COMPLETED, interface.DialOutcome.RESET])
            self.handle(interface.DialEnded(session_id, server, outcome, True, None))
        elif choice_of_event < 0.85:
            self.handle(
                interface.DelayReported(
                    -1, generator.randrange(SERVER_COUNT), generator.choice([0, 300, 900, 9000])
                )
            )
        elif choice_of_event < 0.9 and self.probed:
            self.end_probe()
        else:
            kind = generator.choice(
                [interface.ListKind.CHANGES, interface.ListKind.CHANGES, interface.ListKind.WHOLE]
            )
            some = generator.sample(
                range(SERVER_COUNT), 4 if kind is interface.ListKind.CHANGES else SERVER_COUNT - 4
            )
            self.handle(interface.ServerListUpdated(kind, [self.entry(index) for index in some]))

    def end_dial(self) -> None:
        session_id, server = self.pending.popitem()
        if self.generator.random() < 0.5:
            self.established[session_id] = server
            self.handle(interface.SessionEstablished(session_id, server, 20))
        else:
            self.handle(interface.DialEnded(session_id, server, self.generator.choice(FAILURES), False, None))

    def end_probe(self) -> None:
        """Times the first probe out or answers it, possibly long after its timeout."""
        server = self.probed[0]
        if self.generator.random() < 0.5:
            self.handle(interface.TimerFired(interface.Timer.PROBE_TIMEOUT, server))
        else:
            utilization = self.generator.choice([None, 0.2, 0.8, 1.2])
            self.handle(interface.ProbeEnded(self.probed.pop(0), utilization is not None, utilization))


def check_index(balancer: Balancer) -> None:
    """Each ready server is either active or in the group of its properties, and no other server is."""
    candidates = balancer.candidates
    ready = {
        index: one for index, one in balancer.servers.items() if one.state is interface.ServerState.READY
    }
    assert {one.index for one in candidates.ready} == set(ready) == set(candidates.by_index)
    assert all(candidates.ready[one.ready_position] is one for one in ready.values())
    assert +candidates.zone_counts == Counter(one.zone for one in ready.values())
    assert {index for cell in candidates.by_cell.values() for index in cell} == set(ready)
    grouped: dict[int, Server] = {}
    for group in candidates.groups.values():
        assert group.weight == pytest.approx(sum(one.weight for one in group.members), rel=1e-3)
        for index, server in enumerate(group.members):
            assert (server.group_position, server.group) == (index, group)
            assert (server.kind, server.zone) == group.key[:2]
            assert server.is_idle(balancer.now, candidates.window) and not balancer.load_sum(server)
            assert not (server.is_unhealthy or server.open_sessions or server.pending_dials)
            grouped[server.index] = server
        if isinstance(group, ColdGroup):
            assert group.draws == sorted((one.admission_draw, one.index) for one in group.members)
    assert not set(grouped) & set(candidates.active)
    assert set(grouped) | set(candidates.active) == set(ready)
    assert balancer.listed_count == sum(
        one.state is not interface.ServerState.GONE for one in balancer.servers.values()
    )


def ties_by_scan(balancer: Balancer, session: Session, new_load: float) -> set[int]:
    """Returns the servers that tie, by a scan of all ready servers without the index."""
    now, deployment = balancer.now, balancer.deployment
    keys: dict[int, tuple[int, float]] = {}
    for server in balancer.servers.values():
        if server.state is not interface.ServerState.READY or not balancer.shares_deduplication(
            session, server
        ):
            continue
        is_unobserved = not (server.open_sessions or server.pending_dials or balancer.is_cold(server))
        if server.index in session.tried_servers:
            rank = 4
        elif server.is_unhealthy and (now < server.trial_at or server.pending_dials):
            rank = 3
        elif server.full_until > now or server.silent_until > now:
            rank = 2
        elif (
            now <= server.slow_until
            or (now <= server.report_valid_until and balancer.estimated_utilization(server) >= LOAD_CAP)
            or balancer.exceeds_learned_cap(server, new_load)
            or (balancer.assumes_unobserved_full and is_unobserved)
        ):
            rank = 1
        else:
            rank = (
                -1
                if deployment.may_probe and deployment.cross_zone_price and server.zone == deployment.zone
                else 0
            )
        load = balancer.load_sum(server) + balancer.remaining_fading_load(server)
        keys[server.index] = (rank, load * balancer.load_factors.get(server.kind, 1.0))
    return {index for index, key in keys.items() if key == min(keys.values())}


# A fault in the index would lose servers, or treat one as idle while there is state that affects decisions.
@pytest.mark.parametrize("probes", [False, True])
@pytest.mark.parametrize("seed", range(12))
def test_groups_match_a_scan_of_all_servers(seed: int, probes: bool) -> None:
    events = RandomEvents(seed, probes)
    balancer = events.balancer
    generator = random.Random(seed)
    compared = 0
    for _ in range(EVENT_COUNT):
        events.step()
        check_index(balancer)
        session = Session(
            generator.randrange(1 + len(DEDUPLICATED_LISTENERS)), events.now + DEADLINE, 1.0, None
        )
        session.tried_servers = generator.sample(range(SERVER_COUNT), generator.randrange(3))
        session.possible_executor = generator.choice(
            [None, balancer.servers[generator.randrange(SERVER_COUNT)]]
        )
        balancer.assumes_unobserved_full = not probes and generator.random() < 0.3
        fading_loads = {index: balancer.remaining_fading_load(one) for index, one in balancer.servers.items()}
        balancer.update_candidates(session)
        assert {
            index: balancer.remaining_fading_load(one) for index, one in balancer.servers.items()
        } == fading_loads
        check_index(balancer)
        ties = balancer.best_ties(session, 1.0, set(), False)
        found = (
            [] if ties is None else [*ties.servers, *(one for group in ties.groups for one in group.members)]
        )
        assert len({one.index for one in found}) == len(found)
        assert {one.index for one in found} == ties_by_scan(balancer, session, 1.0)
        compared += len(found) > 1
    assert compared > EVENT_COUNT / 4


@pytest.mark.parametrize("weights", [[1.0] * 5, [1e-6, 1.0, 3.0], [1e12, 1e-6, 1e-6, 2e-6]], ids=str)
def test_group_draws_by_weight(weights: list[float]) -> None:
    group = Group(GroupKey(0, 0, AgeStage.SETTLED))
    for index, weight in enumerate(weights):
        group.add(Server(interface.ServerEntry(index, 0, 0, interface.ServerState.READY, 0, weight)))
    uniform = random.Random(1).uniform
    rounds = 6000
    for left in (weights, weights[1:]):
        drawn = Counter(group.draw(uniform).index for _ in range(rounds))
        start = len(weights) - len(left)
        for index, weight in enumerate(left, start):
            share = weight / sum(left)
            assert abs(drawn[index] / rounds - share) < 5 * (share * (1 - share) / rounds) ** 0.5 + 1e-9
        assert group.weight == pytest.approx(sum(left))
        group.remove(next(one for one in group.members if one.index == start))


# The draw among cold servers that admit a session keeps to weights and kinds of machine.
def test_cold_servers_are_drawn_by_weight_and_kind() -> None:
    deployment = replace(DEPLOYMENT, replicas=1, quota_connections=1e6)
    balancer = Balancer(1, deployment)
    now = 100 * SECOND
    weights = {0: 1.0, 1: 3.0, 2: 1.0}
    drawn: Counter[int] = Counter()
    rounds = 3000
    for session_id in range(rounds):
        now += deployment.overload_window + 1
        cold = [
            interface.ServerEntry(
                index, 0, 0, interface.ServerState.READY, now, weights[index], kind=index // 2
            )
            for index in weights
        ]
        balancer.handle(now, interface.ServerListUpdated(interface.ListKind.WHOLE, cold))
        (dial,) = balancer.handle(now, interface.SessionArrived(session_id, 0, DEADLINE, 1.0, None, False))
        drawn[dial.server] += 1
        balancer.handle(
            now, interface.DialEnded(session_id, dial.server, interface.DialOutcome.COMPLETED, True, None)
        )
    # Two of three servers are of the first kind, and the first server has a quarter of its weight.
    for index, share in {0: 2 / 3 / 4, 1: 2 / 3 * 3 / 4, 2: 1 / 3}.items():
        assert abs(drawn[index] / rounds - share) < 5 * (share * (1 - share) / rounds) ** 0.5, drawn


# When most servers fail, ejection stops, as the fault may be the balancer's own. That must not keep servers
# of an unreachable zone in use while the own zone is healthy.
def test_other_zone_is_ejected_while_own_zone_is_healthy() -> None:
    balancer = Balancer(1, DEPLOYMENT)
    listed = [
        interface.ServerEntry(index, int(index > 0), 0, interface.ServerState.READY, 0) for index in range(4)
    ]
    balancer.handle(SECOND, interface.ServerListUpdated(interface.ListKind.SAVED, listed))
    for index in (1, 2, 3):
        for _ in range(2):
            balancer.record_setup(balancer.servers[index], False)
    assert [one.index for one in balancer.servers.values() if one.is_unhealthy] == [1, 2, 3]
    assert not balancer.is_ejection_suspended


def test_load_sum_without_sessions_is_exactly_zero() -> None:
    balancer = Balancer(1, DEPLOYMENT)
    balancer.handle(
        SECOND,
        interface.ServerListUpdated(
            interface.ListKind.SAVED, [interface.ServerEntry(0, 0, 0, interface.ServerState.READY, 0)]
        ),
    )
    loads = [0.1, 0.2, 0.3, 0.6]  # added and subtracted in this order they leave 1e-16
    for session_id, load in enumerate(loads):
        balancer.handle(SECOND, interface.SessionRestored(session_id, 0, None, None, 0))
        balancer.handle(SECOND, interface.LoadReported(session_id, load))
    for session_id in range(len(loads)):
        balancer.handle(
            SECOND, interface.DialEnded(session_id, 0, interface.DialOutcome.COMPLETED, True, None)
        )
    assert balancer.servers[0].known_load == 0.0
