"""Fleets of thousands of servers: what a decision costs must not grow with the list."""

import sys
from collections.abc import Callable
from types import FrameType

import msgspec
import pytest

from thymedeck import interface
from thymedeck.lab import checks
from thymedeck.lab.play import EFFECTS, settings
from thymedeck.lab.stage import SECOND, Processes, Stage, Virtual
from thymedeck.lab.standins import Listed
from thymedeck.net.clients import Client
from thymedeck.net.config_file import ServerList
from thymedeck.net.service import LIST_BATCH, Service

SERVERS = 3_200
FLEET = 200  # balancers that the settings tell of; one of them runs
RATE = 20.0  # sessions a second at this one
DEADLINE = 12_000
DRAIN_GRACE = 2 * SECOND


def now_ms(stage: Stage) -> float:
    return stage.loop.system.time_ns() / 1_000_000


def list_part(stage: Stage, every: int, **more: object) -> None:
    """The list tells this of every so-manieth server, in one answer."""
    part = list(stage.list.servers.values())[::every]
    stage.list.set(*(msgspec.structs.replace(one, **more) for one in part))


def restart_half(stage: Processes) -> None:
    list_part(stage, 2, started_ms=now_ms(stage))


def restart_all(stage: Processes) -> None:
    list_part(stage, 1, started_ms=now_ms(stage))


def drain_half(stage: Processes) -> None:
    list_part(stage, 2, state="DRAINING")


def hang_half(stage: Processes) -> None:
    for server in list(stage.servers.values())[::2]:
        server.silent = True


def stop_a_third(stage: Processes) -> None:
    for server in list(stage.servers.values())[::3]:
        server.stop()


def drain_and_return(stage: Processes) -> None:
    """Half of them by turns, with a new configuration at each."""
    for turn in range(6):
        state = "SERVING" if turn % 2 else "DRAINING"
        stage.loop.after(turn * SECOND // 2, lambda state=state: list_part(stage, 2, state=state))
        stage.loop.after(turn * SECOND // 2, lambda: stage.reload("b0"))


# Guards against requests that get no answer because a turn of the loop works through thousands of servers.
@pytest.mark.parametrize(
    "trouble", [restart_half, restart_all, drain_half, hang_half, stop_a_third, drain_and_return]
)
def test_requests_are_answered_while_thousands_of_servers_are_in_trouble(
    trouble: Callable[[Processes], None],
) -> None:
    with Processes(1, settings(FLEET, ["m1", "m2"], ["a", "b"])) as stage:
        for at in range(SERVERS):
            stage.add_server(f"s{at}", work=0)
        stage.known = [
            Listed(f"s{at}", zone="ab"[at % 2], kind=f"m{1 + at // 2 % 2}", cell=at // 4)
            for at in range(SERVERS)
        ]
        stage.list.set(*stage.known)
        stage.start("b0")
        stage.started("b0")
        crowd = stage.add_crowd(1, RATE, 3 * SECOND, ("chat", "once"), DEADLINE)
        assert stage.run_until(lambda: bool(stage.record.of("list answer")), 6 * SECOND)
        trouble(stage)
        stage.run(4 * SECOND)
        crowd.stopped = True
        stage.run(4 * SECOND)
        entries, end, log = stage.record.entries, stage.now(), stage.log("b0")
    assert len(stage.record.of("client line")) > RATE * 3
    assert not checks.one_answer(entries, end)
    assert not checks.no_effect_twice(entries, EFFECTS)
    assert not checks.drains_kept(entries, DRAIN_GRACE)
    assert not [one for one in log if one["event"] in ("fault", "text", "unanswered")]
    told = [one["version"] for one in stage.record.of("list answer")]
    assert stage.list.version in told  # it heard of all changes


USUAL = 200  # servers
HELD = 100  # sessions that stand, whatever the servers
CHANGED = 20  # servers, in a change of the list
GROWTH = 1.5  # of the lines run; a walk over all servers would run 16 times as many


def lines_run(call: Callable[[], object]) -> int:
    """How many lines of Python it runs: a measure of its work that does not depend on the machine."""
    count = 0

    def trace(frame: FrameType, event: str, argument: object) -> Callable:
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def holding(servers: int) -> Service:
    """A balancer with that many servers, a third of them just started, and HELD sessions on the others."""
    stage = Virtual(1, settings(FLEET, ["m1", "m2"], ["a", "b"]))
    now_ms = stage.ground.time_ns() / 1_000_000
    stage.known = [
        Listed(f"s{at}", zone="ab"[at % 2], kind=f"m{1 + at // 2 % 2}", started_ms=0 if at % 3 else now_ms)
        for at in range(servers)
    ]
    stage.start("b0")
    service = stage.services["b0"]
    warm = [at for at in range(servers) if at % 3][:HELD]
    for sess, server in enumerate(warm):
        service.balancer.handle(service.loop.now(), interface.SessionRestored(sess, 0, None, None, server))
    return service


def place(service: Service) -> int:
    """Lines of ten placements, none of which is the first in a window of the cold servers."""
    now = service.loop.now()
    came = [interface.SessionArrived(10_000 + at, 0, DEADLINE, None, None, False) for at in range(11)]
    service.balancer.handle(now, came[0])
    return lines_run(lambda: [service.balancer.handle(now, one) for one in came[1:]])


def listing(version: int, states: dict[int, str], full: bool = False) -> ServerList:
    rows = [{"id": f"s{at}", "state": state, "addr": "10.9.9.9:8000"} for at, state in states.items()]
    return ServerList(version, full, [msgspec.Raw(msgspec.json.encode(row)) for row in rows])


def change(service: Service) -> int:
    drained = listing(2, dict.fromkeys(range(CHANGED), "DRAINING"))
    return lines_run(lambda: service.on_list(drained))


# Guards against work that grows with the list of servers where a decision or a look has to be made in time.
@pytest.mark.parametrize(
    "work",
    [place, change, lambda service: lines_run(service.check_servers)],
    ids=["placements", "change of the list", "look at what stands"],
)
def test_work_does_not_grow_with_the_list(work: Callable[[Service], int]) -> None:
    assert work(holding(SERVERS)) < GROWTH * work(holding(USUAL))


# Guards against a long list that holds up all else, and against drains told late for it.
def test_a_long_list_is_told_in_parts_and_drains_at_once() -> None:
    service = holding(SERVERS)
    balancer = service.balancer
    handle, told = balancer.handle, []

    def noted(now: int, event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.ServerListUpdated):
            told.append([(one.server, one.state) for one in event.entries])
        return handle(now, event)

    balancer.handle = noted
    drained = range(1, SERVERS, 2)
    states = dict.fromkeys(range(SERVERS), "SERVING") | dict.fromkeys(drained, "DRAINING")
    service.on_list(listing(2, states, full=True))
    assert [at for at, _ in told[0]] == list(drained)
    assert balancer.most_listed == SERVERS
    assert {balancer.servers[at].state for at in drained} == {interface.ServerState.DRAINING}
    # Before the rest is told one of it drains too, and one leaves the list.
    late, gone = SERVERS - 2, SERVERS - 4
    states[late] = "DRAINING"
    del states[gone]
    service.on_list(listing(3, states, full=True))
    while service.pending_updates:
        before = len(told)
        service.deliver_batch()
        assert all(len(part) <= LIST_BATCH for part in told[before:])
    assert balancer.servers[late].state is interface.ServerState.DRAINING
    assert balancer.servers[gone].state is interface.ServerState.GONE
    ready = {one.index for one in balancer.candidates.ready}
    assert ready == {at for at, state in states.items() if state == "SERVING"}


# Guards against a budget of cold servers that is taken from the first part of a list that is new.
def test_all_that_a_new_list_names_counts_from_its_first_part_on() -> None:
    service = holding(0)
    service.on_list(listing(2, dict.fromkeys(range(SERVERS), "SERVING")))
    assert service.pending_updates
    assert service.balancer.most_listed == SERVERS


def test_a_session_that_stood_on_a_server_not_told_yet_goes_there() -> None:
    service = holding(USUAL)
    states = dict.fromkeys(range(USUAL, USUAL + 2 * LIST_BATCH), "SERVING")
    service.on_list(listing(2, states))
    last = USUAL + 2 * LIST_BATCH - 1
    assert last in service.pending_updates and last not in service.balancer.servers
    client = Client(service, service.loop.system.stream())
    service.on_open_line(client, b"OPEN id1 key1 c=chat,d=1000,at=s%d" % last)
    assert client.restored_server == last and last in service.balancer.servers
