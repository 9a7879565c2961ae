"""What many balancers do together that share nothing: counted over whole fleets of the decision module."""

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
HELD = 2
WARM, COLD = 0, 1
LISTED = 1_000_000
WINDOW = DEPLOYMENT.overload_window


class One:
    """One balancer with two sessions on a warm server, told of a cold one that has just started."""

    def __init__(self, seed: int, told: int) -> None:
        self.balancer = Balancer(seed, replace(DEPLOYMENT, replicas=told))
        self.next = 0
        self.balancer.handle(0, interface.ServerListUpdated(interface.ListKind.SAVED, [entry(WARM, 0)]))
        for _ in range(HELD):
            self.session(1, stays=True)
        self.balancer.handle(
            LISTED, interface.ServerListUpdated(interface.ListKind.CHANGES, [entry(COLD, LISTED)])
        )

    def session(self, now: int, stays: bool = False) -> int:
        """Where a session that comes now is placed."""
        sess, self.next = self.next, self.next + 1
        out = self.balancer.handle(now, interface.SessionArrived(sess, 0, 12000, None, None, False))
        (dial,) = [action for action in out if isinstance(action, interface.Dial)]
        self.balancer.handle(now, interface.SessionEstablished(sess, dial.server, 100))
        if not stays:
            self.balancer.handle(
                now, interface.DialEnded(sess, dial.server, interface.DialOutcome.COMPLETED, True, None)
            )
        return dial.server


def entry(server: int, started: int) -> interface.ServerEntry:
    return interface.ServerEntry(server, 0, 0, interface.ServerState.READY, started)


@pytest.mark.parametrize(("dials", "told"), [(4, REPLICAS), (40, REPLICAS), (4, REPLICAS // 8)])
def test_cold_budget_of_a_fleet_is_used_and_kept(dials: int, told: int) -> None:
    """Guards against a budget that holds only if the dials to come or the balancers are counted well."""
    fleet = [One(seed, told) for seed in range(REPLICAS)]
    for window in range(3):
        times = [LISTED + (window * dials + at) * WINDOW // dials for at in range(dials)]
        granted = sum(one.session(now) == COLD for now in times for one in fleet)
        able = [
            DEPLOYMENT.start_capacity
            + (1 - DEPLOYMENT.start_capacity) * (now - LISTED) / DEPLOYMENT.warm_after
            for now in times
        ]
        budget = DEPLOYMENT.overload_factor * max(able) * HELD * WINDOW / DEPLOYMENT.warm_after * REPLICAS
        assert 0.6 * budget < granted < 1.1 * budget, (window, granted, budget)


class Clock:
    """Notes when calls are due instead of making them."""

    def __init__(self) -> None:
        self.waits: list[int] = []

    def after(self, wait: int, call: Callable[[], None]) -> None:
        self.waits.append(wait)


class Standing:
    def move(self) -> None:
        pass


def test_balancers_move_the_sessions_of_a_draining_server_out_of_step() -> None:
    """Guards against the first session of every balancer leaving at the instant all are told."""
    first = []
    for seed in range(40):
        service = object.__new__(Service)
        service.loop, service.uniform = Clock(), random.Random(seed).uniform
        service.move_spread(10_000, [Standing(), Standing()])
        early, late = service.loop.waits
        assert 0 <= early <= 5_000 <= late <= 10_000
        first.append(early)
    quarters = [sum(at // 1_250 == quarter for at in first) for quarter in range(4)]
    assert min(quarters) >= 4, quarters


@pytest.mark.parametrize("failures", [0, 1, 4])
def test_calls_for_the_list_are_out_of_step_at_a_start_and_after_any_failure(failures: int) -> None:
    """Guards against a list that is called by all balancers at once, turns them away, and is called again."""
    waits = []
    for seed in range(40):
        balancer = Balancer(seed, replace(DEPLOYMENT, replicas=40, list_on_request=True))
        out = balancer.handle(0, interface.ServerListUpdated(interface.ListKind.SAVED, [entry(WARM, 0)]))
        for count in range(failures):
            out = balancer.handle(
                (count + 1) * 30_000, interface.ServerListUpdated(interface.ListKind.FAILED, [])
            )
        waits += [action.after for action in out if isinstance(action, interface.SetTimer)]
    assert len(waits) == 40
    waits.sort()
    spread = waits[-1] - waits[0]
    assert spread >= 8_000
    # No tenth of the spread takes in more than a third of the calls.
    tenths = [sum(1 for wait in waits if (wait - waits[0]) * 10 // (spread + 1) == at) for at in range(10)]
    assert max(tenths) <= 13, tenths


def test_a_server_that_comes_back_under_its_id_is_known_by_its_new_address_and_start() -> None:
    """Guards against dials to where it was, and against taking a cold server for the warm one it was."""
    service = list_only_service()
    for address, started_ms in (("127.0.0.1:1", 0), ("127.0.0.2:2", 700), ("nowhere", 900)):
        row = ServerListEntry(id="s", addr=address, zone="z", kind="big", started_ms=started_ms)
        raw = msgspec.Raw(msgspec.json.encode(row))
        service.apply_list(ServerList(version=1, full=True, servers=[raw]), interface.ListKind.WHOLE)
    assert [known.address for known in service.servers] == [("127.0.0.2", 2)]
    assert [one.entries[0].started for one in service.policy_events] == [0, 7_005, 9_005]
    assert {one.entries[0].kind for one in service.policy_events} == {0}


FAST, SLOW = 0, 1  # kinds of machine


def of_kinds(count: int) -> list[interface.ServerEntry]:
    """Servers of two kinds by turns, all of them warm."""
    return [
        interface.ServerEntry(at, 0, 0, interface.ServerState.READY, 0, kind=at % 2) for at in range(count)
    ]


def test_ties_of_a_fleet_keep_to_each_kind_of_machine_the_part_it_held() -> None:
    """Guards against sums that are zero nearly everywhere, by which all balancers level what is not alike."""
    chance = random.Random(3)
    placed = [0, 0]
    for seed in range(200):
        balancer = Balancer(seed, replace(DEPLOYMENT, replicas=200))
        balancer.handle(0, interface.ServerListUpdated(interface.ListKind.SAVED, of_kinds(40)))
        for sess in range(8):
            at = 2 * chance.randrange(20) + chance.choices((FAST, SLOW), (3, 1))[0]
            balancer.handle(0, interface.SessionRestored(sess, 0, None, None, at))
        for sess in range(8, 12):
            (dial,) = balancer.handle(20_000, interface.SessionArrived(sess, 0, 12_000, None, None, False))
            placed[dial.server % 2] += 1
    assert 0.66 < placed[FAST] / sum(placed) < 0.78, placed


def test_sums_are_compared_by_what_servers_of_a_kind_hold() -> None:
    """Guards against one balancer with many sessions that fills slow servers until their sums are level."""
    balancer = Balancer(1, replace(DEPLOYMENT, replicas=200))
    balancer.handle(0, interface.ServerListUpdated(interface.ListKind.SAVED, of_kinds(4)))
    for sess in range(90):
        balancer.handle(0, interface.SessionRestored(sess, 0, None, None, (0, 2, 0, 2, 1, 3)[sess % 6]))
    placed = [0, 0]
    for sess in range(90, 120):
        (dial,) = balancer.handle(20_000, interface.SessionArrived(sess, 0, 12_000, None, None, False))
        placed[dial.server % 2] += 1
    assert 17 <= placed[FAST] <= 23, placed


def test_a_kind_of_which_nothing_is_held_is_tried_like_any_other() -> None:
    placed = [0, 0]
    for seed in range(200):
        balancer = Balancer(seed, replace(DEPLOYMENT, replicas=200))
        balancer.handle(0, interface.ServerListUpdated(interface.ListKind.SAVED, of_kinds(6)))
        (dial,) = balancer.handle(20_000, interface.SessionArrived(0, 0, 12_000, None, None, False))
        placed[dial.server % 2] += 1
    assert 70 < placed[FAST] < 130, placed


def test_ties_go_to_newcomers_while_they_lack_sessions() -> None:
    """Guards against newcomers that stay empty where every balancer's sum is zero on most servers."""
    placed, chance = [0, 0], random.Random(5)
    for seed in range(100):
        now = LISTED + DEPLOYMENT.warm_after + 1
        balancer = Balancer(seed, replace(DEPLOYMENT, replicas=200))
        old = [entry(at, 0) for at in range(20)]
        balancer.handle(0, interface.ServerListUpdated(interface.ListKind.SAVED, old))
        for sess, at in enumerate(chance.sample(range(20), 8)):
            balancer.handle(0, interface.SessionRestored(sess, 0, None, None, at))
        balancer.handle(
            LISTED,
            interface.ServerListUpdated(
                interface.ListKind.CHANGES, [entry(at, LISTED) for at in range(20, 30)]
            ),
        )
        for sess in range(8, 14):
            (dial,) = balancer.handle(now, interface.SessionArrived(sess, 0, 12_000, None, None, False))
            balancer.handle(now, interface.SessionEstablished(sess, dial.server, 100))
            placed[dial.server >= 20] += 1
            now += 20_000
    # Four of these six level 8 on 20 servers with 10 newcomers; an even draw brings two or three there.
    assert placed[True] / sum(placed) > 0.55, placed


def test_a_kind_listed_between_two_looks_is_drawn_too() -> None:
    """Guards against a fault in the draw: kinds are looked at once a second, lists come at any time."""
    balancer = Balancer(1, replace(DEPLOYMENT, replicas=200))
    balancer.handle(0, interface.ServerListUpdated(interface.ListKind.SAVED, of_kinds(4)))
    balancer.handle(20_000, interface.SessionArrived(0, 0, 12_000, None, None, False))
    late = [interface.ServerEntry(at, 0, 0, interface.ServerState.READY, 0, kind=7) for at in range(4, 40)]
    balancer.handle(20_001, interface.ServerListUpdated(interface.ListKind.CHANGES, late))
    came = [interface.SessionArrived(sess, 0, 12_000, None, None, False) for sess in range(1, 9)]
    drawn = {balancer.handle(20_002, one)[0].server for one in came}
    assert max(drawn) >= 4


def test_first_calls_of_many_balancers_leave_time_for_another_within_what_is_stated() -> None:
    """Guards against balancers that restart together and hear of new servers only as the time to ask ends."""
    site = replace(DEPLOYMENT, replicas=200, list_on_request=True)
    waits = []
    for seed in range(200):
        out = Balancer(seed, site).handle(
            0, interface.ServerListUpdated(interface.ListKind.SAVED, [entry(WARM, 0)])
        )
        waits += [action.after for action in out if isinstance(action, interface.SetTimer)]
    assert len(waits) == 200
    assert 0.35 * site.list_poll_within < max(waits) < 0.42 * site.list_poll_within
    assert max(sum(at <= wait < at + 4_000 for wait in waits) for at in range(0, 40_000, 4_000)) < 40
