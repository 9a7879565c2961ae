"""What many independent balancers do together, counted over fleets of placement policies."""

import random
from collections.abc import Callable

import msgspec
import pytest
from msgspec.structs import replace

from tests.helpers import DEPLOYMENT, list_only_service
from thymedeck import interface
from thymedeck.net.config_file import ServerList, ServerListEntry
from thymedeck.net.service import Service
from thymedeck.policy import Balancer

REPLICAS = 400
SESSIONS_HELD = 2
WARM, COLD = 0, 1
LISTED_AT = 1_000_000
WINDOW = DEPLOYMENT.overload_window


class BalancerWithSessions:
    """A balancer with two sessions on a warm server, whose list has just got a cold one."""

    def __init__(self, seed: int, replicas: int) -> None:
        self.balancer = Balancer(seed, replace(DEPLOYMENT, replicas=replicas))
        self.next_session_id = 0
        self.balancer.handle(0, interface.ServerListUpdated(interface.ListKind.SAVED, [ready_entry(WARM, 0)]))
        for _ in range(SESSIONS_HELD):
            self.place_session(1, stays_open=True)
        self.balancer.handle(
            LISTED_AT, interface.ServerListUpdated(interface.ListKind.CHANGES, [ready_entry(COLD, LISTED_AT)])
        )

    def place_session(self, now: int, stays_open: bool = False) -> int:
        """Opens a session and returns the server on which it is placed."""
        session_id, self.next_session_id = self.next_session_id, self.next_session_id + 1
        actions = self.balancer.handle(now, interface.SessionArrived(session_id, 0, 12000, None, None, False))
        (dial,) = [action for action in actions if isinstance(action, interface.Dial)]
        self.balancer.handle(now, interface.SessionEstablished(session_id, dial.server, 100))
        if not stays_open:
            self.balancer.handle(
                now, interface.DialEnded(session_id, dial.server, interface.DialOutcome.COMPLETED, True, None)
            )
        return dial.server


def ready_entry(server: int, started: int) -> interface.ServerEntry:
    return interface.ServerEntry(server, 0, 0, interface.ServerState.READY, started)


@pytest.mark.parametrize(("dials", "replicas"), [(4, REPLICAS), (40, REPLICAS), (4, REPLICAS // 8)])
def test_fleet_uses_and_keeps_the_budget_of_a_cold_server(dials: int, replicas: int) -> None:
    """The budget is kept whatever the number of dials, and with a wrong number of balancers too."""
    balancers = [BalancerWithSessions(seed, replicas) for seed in range(REPLICAS)]
    for window in range(3):
        dial_times = [LISTED_AT + (window * dials + index) * WINDOW // dials for index in range(dials)]
        admitted = sum(one.place_session(now) == COLD for now in dial_times for one in balancers)
        capacities = [
            DEPLOYMENT.start_capacity
            + (1 - DEPLOYMENT.start_capacity) * (now - LISTED_AT) / DEPLOYMENT.warm_after
            for now in dial_times
        ]
        budget = (
            DEPLOYMENT.overload_factor
            * max(capacities)
            * SESSIONS_HELD
            * WINDOW
            / DEPLOYMENT.warm_after
            * REPLICAS
        )
        assert 0.6 * budget < admitted < 1.1 * budget, (window, admitted, budget)


class RecordingLoop:
    """Records the delays of scheduled callbacks instead of calling them."""

    def __init__(self) -> None:
        self.delays: list[int] = []

    def after(self, delay: int, callback: Callable[[], None]) -> None:
        self.delays.append(delay)


class OpenSession:
    def move(self) -> None:
        pass


def test_moves_off_a_draining_server_are_spread_over_balancers() -> None:
    """All balancers learn of a drain at once; their first moves must not coincide."""
    first_delays = []
    for seed in range(40):
        service = object.__new__(Service)
        service.loop, service.uniform = RecordingLoop(), random.Random(seed).uniform
        service.move_spread(10_000, [OpenSession(), OpenSession()])
        earliest, latest = service.loop.delays
        assert 0 <= earliest <= 5_000 <= latest <= 10_000
        first_delays.append(earliest)
    quarters = [sum(delay // 1_250 == quarter for delay in first_delays) for quarter in range(4)]
    assert min(quarters) >= 4, quarters


@pytest.mark.parametrize("failures", [0, 1, 4])
def test_list_requests_are_spread_at_start_and_after_failures(failures: int) -> None:
    """Simultaneous requests overload the list service, which refuses them and gets them again at once."""
    delays = []
    for seed in range(40):
        balancer = Balancer(seed, replace(DEPLOYMENT, replicas=40, list_on_request=True))
        actions = balancer.handle(
            0, interface.ServerListUpdated(interface.ListKind.SAVED, [ready_entry(WARM, 0)])
        )
        for count in range(failures):
            actions = balancer.handle(
                (count + 1) * 30_000, interface.ServerListUpdated(interface.ListKind.FAILED, [])
            )
        delays += [action.after for action in actions if isinstance(action, interface.SetTimer)]
    assert len(delays) == 40
    delays.sort()
    spread = delays[-1] - delays[0]
    assert spread >= 8_000
    # No tenth of the spread has more than a third of the requests.
    tenths = [
        sum(1 for delay in delays if (delay - delays[0]) * 10 // (spread + 1) == tenth) for tenth in range(10)
    ]
    assert max(tenths) <= 13, tenths


def test_restarted_server_gets_its_new_address_and_start_time() -> None:
    """Otherwise its old address would be dialled, and the cold server would be treated as warm."""
    service = list_only_service()
    for address, started_ms in (("127.0.0.1:1", 0), ("127.0.0.2:2", 700), ("nowhere", 900)):
        row = ServerListEntry(id="s", addr=address, zone="z", kind="big", started_ms=started_ms)
        raw_row = msgspec.Raw(msgspec.json.encode(row))
        service.apply_list(ServerList(version=1, full=True, servers=[raw_row]), interface.ListKind.WHOLE)
    assert [known.address for known in service.servers] == [("127.0.0.2", 2)]
    assert [one.entries[0].started for one in service.policy_events] == [0, 7_005, 9_005]
    assert {one.entries[0].kind for one in service.policy_events} == {0}


FAST, SLOW = 0, 1  # kinds of machine


def entries_of_two_kinds(count: int) -> list[interface.ServerEntry]:
    """Returns warm servers of alternating kinds."""
    return [
        interface.ServerEntry(index, 0, 0, interface.ServerState.READY, 0, kind=index % 2)
        for index in range(count)
    ]


def test_ties_keep_the_share_of_each_kind() -> None:
    """Where most load sums are zero, even draws would give slow kinds as many sessions as fast ones."""
    generator = random.Random(3)
    placed = [0, 0]
    for seed in range(200):
        balancer = Balancer(seed, replace(DEPLOYMENT, replicas=200))
        balancer.handle(0, interface.ServerListUpdated(interface.ListKind.SAVED, entries_of_two_kinds(40)))
        for session_id in range(8):
            server = 2 * generator.randrange(20) + generator.choices((FAST, SLOW), (3, 1))[0]
            balancer.handle(0, interface.SessionRestored(session_id, 0, None, None, server))
        for session_id in range(8, 12):
            (dial,) = balancer.handle(
                20_000, interface.SessionArrived(session_id, 0, 12_000, None, None, False)
            )
            placed[dial.server % 2] += 1
    assert 0.66 < placed[FAST] / sum(placed) < 0.78, placed


def test_load_sums_are_scaled_by_kind() -> None:
    """A balancer with many sessions would otherwise fill slow servers until all sums are equal."""
    balancer = Balancer(1, replace(DEPLOYMENT, replicas=200))
    balancer.handle(0, interface.ServerListUpdated(interface.ListKind.SAVED, entries_of_two_kinds(4)))
    for session_id in range(90):
        balancer.handle(
            0, interface.SessionRestored(session_id, 0, None, None, (0, 2, 0, 2, 1, 3)[session_id % 6])
        )
    placed = [0, 0]
    for session_id in range(90, 120):
        (dial,) = balancer.handle(20_000, interface.SessionArrived(session_id, 0, 12_000, None, None, False))
        placed[dial.server % 2] += 1
    assert 17 <= placed[FAST] <= 23, placed


def test_kinds_without_sessions_are_drawn_evenly() -> None:
    placed = [0, 0]
    for seed in range(200):
        balancer = Balancer(seed, replace(DEPLOYMENT, replicas=200))
        balancer.handle(0, interface.ServerListUpdated(interface.ListKind.SAVED, entries_of_two_kinds(6)))
        (dial,) = balancer.handle(20_000, interface.SessionArrived(0, 0, 12_000, None, None, False))
        placed[dial.server % 2] += 1
    assert 70 < placed[FAST] < 130, placed


def test_ties_prefer_new_servers_that_lack_sessions() -> None:
    """Where each balancer's load sum is zero on most servers, even draws would leave newcomers empty."""
    placed, generator = [0, 0], random.Random(5)
    for seed in range(100):
        now = LISTED_AT + DEPLOYMENT.warm_after + 1
        balancer = Balancer(seed, replace(DEPLOYMENT, replicas=200))
        settled = [ready_entry(index, 0) for index in range(20)]
        balancer.handle(0, interface.ServerListUpdated(interface.ListKind.SAVED, settled))
        for session_id, index in enumerate(generator.sample(range(20), 8)):
            balancer.handle(0, interface.SessionRestored(session_id, 0, None, None, index))
        balancer.handle(
            LISTED_AT,
            interface.ServerListUpdated(
                interface.ListKind.CHANGES, [ready_entry(index, LISTED_AT) for index in range(20, 30)]
            ),
        )
        for session_id in range(8, 14):
            (dial,) = balancer.handle(now, interface.SessionArrived(session_id, 0, 12_000, None, None, False))
            balancer.handle(now, interface.SessionEstablished(session_id, dial.server, 100))
            placed[dial.server >= 20] += 1
            now += 20_000
    # Four of the six sessions give the 10 newcomers as many per server as the 20 others have with 8; even
    # draws would give two or three.
    assert placed[True] / sum(placed) > 0.55, placed


def test_new_kind_is_drawn_at_once() -> None:
    """A draw needs the share of each kind; they are updated once a second, but lists arrive at any time."""
    balancer = Balancer(1, replace(DEPLOYMENT, replicas=200))
    balancer.handle(0, interface.ServerListUpdated(interface.ListKind.SAVED, entries_of_two_kinds(4)))
    balancer.handle(20_000, interface.SessionArrived(0, 0, 12_000, None, None, False))
    new_kind = [
        interface.ServerEntry(index, 0, 0, interface.ServerState.READY, 0, kind=7) for index in range(4, 40)
    ]
    balancer.handle(20_001, interface.ServerListUpdated(interface.ListKind.CHANGES, new_kind))
    arrivals = [
        interface.SessionArrived(session_id, 0, 12_000, None, None, False) for session_id in range(1, 9)
    ]
    drawn = {balancer.handle(20_002, one)[0].server for one in arrivals}
    assert max(drawn) >= 4


def test_first_list_requests_leave_time_for_a_second() -> None:
    """Balancers that restart together must learn of new servers before the time to request the list ends."""
    deployment = replace(DEPLOYMENT, replicas=200, list_on_request=True)
    delays = []
    for seed in range(200):
        actions = Balancer(seed, deployment).handle(
            0, interface.ServerListUpdated(interface.ListKind.SAVED, [ready_entry(WARM, 0)])
        )
        delays += [action.after for action in actions if isinstance(action, interface.SetTimer)]
    assert len(delays) == 200
    assert 0.35 * deployment.list_poll_within < max(delays) < 0.42 * deployment.list_poll_within
    assert (
        max(sum(start <= delay < start + 4_000 for delay in delays) for start in range(0, 40_000, 4_000)) < 40
    )
