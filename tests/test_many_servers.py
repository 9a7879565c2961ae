"""Fleets of thousands of servers: the cost of a decision must not grow with the list."""

import sys
from collections.abc import Callable
from types import FrameType

import msgspec
import pytest

from thymedeck import interface
from thymedeck.lab import checks
from thymedeck.lab.play import EFFECTS, deployment_settings
from thymedeck.lab.stage import SECOND, BaseTestbed, ProcessTestbed, VirtualTestbed
from thymedeck.lab.standins import ListedServer
from thymedeck.net.clients import Client
from thymedeck.net.config_file import ServerList
from thymedeck.net.service import LIST_BATCH, Service

SERVERS = 3_200
FLEET = 200  # balancers according to the settings; one of them runs
RATE = 20.0  # sessions a second at this one
DEADLINE = 12_000
DRAIN_GRACE = 2 * SECOND


def now_ms(stage: BaseTestbed) -> float:
    return stage.loop.system.time_ns() / 1_000_000


def update_every(stage: BaseTestbed, every: int, **more: object) -> None:
    """Changes every n-th server of the list in one answer."""
    part = list(stage.list_service.servers.values())[::every]
    stage.list_service.update_servers(*(msgspec.structs.replace(one, **more) for one in part))


def restart_half(stage: ProcessTestbed) -> None:
    update_every(stage, 2, started_ms=now_ms(stage))


def restart_all(stage: ProcessTestbed) -> None:
    update_every(stage, 1, started_ms=now_ms(stage))


def drain_half(stage: ProcessTestbed) -> None:
    update_every(stage, 2, state="DRAINING")


def hang_half(stage: ProcessTestbed) -> None:
    for server in list(stage.servers.values())[::2]:
        server.is_silent = True


def stop_a_third(stage: ProcessTestbed) -> None:
    for server in list(stage.servers.values())[::3]:
        server.stop()


def drain_and_return(stage: ProcessTestbed) -> None:
    """Half of the servers drain and return repeatedly, with a reload each time."""
    for turn in range(6):
        state = "SERVING" if turn % 2 else "DRAINING"
        stage.loop.after(turn * SECOND // 2, lambda state=state: update_every(stage, 2, state=state))
        stage.loop.after(turn * SECOND // 2, lambda: stage.reload("b0"))


# A loop iteration that works through thousands of servers would delay answers past their deadlines.
@pytest.mark.parametrize(
    "trouble", [restart_half, restart_all, drain_half, hang_half, stop_a_third, drain_and_return]
)
def test_requests_are_answered_while_thousands_of_servers_are_in_trouble(
    trouble: Callable[[ProcessTestbed], None],
) -> None:
    with ProcessTestbed(1, deployment_settings(FLEET, ["m1", "m2"], ["a", "b"])) as stage:
        for at in range(SERVERS):
            stage.add_server(f"s{at}", work=0)
        stage.known_servers = [
            ListedServer(f"s{at}", zone="ab"[at % 2], kind=f"m{1 + at // 2 % 2}", cell=at // 4)
            for at in range(SERVERS)
        ]
        stage.list_service.update_servers(*stage.known_servers)
        stage.start("b0")
        stage.wait_until_started("b0")
        clients = stage.add_clients(1, RATE, 3 * SECOND, ("chat", "once"), DEADLINE)
        assert stage.run_until(lambda: bool(stage.record.of_kind("list answer")), 6 * SECOND)
        trouble(stage)
        stage.run(4 * SECOND)
        clients.is_stopped = True
        stage.run(4 * SECOND)
        entries, end, log = stage.record.entries, stage.now(), stage.log("b0")
    assert len(stage.record.of_kind("client line")) > RATE * 3
    assert not checks.check_answers(entries, end)
    assert not checks.check_effects(entries, EFFECTS)
    assert not checks.check_drains(entries, DRAIN_GRACE)
    assert not [one for one in log if one["event"] in ("fault", "text", "unanswered")]
    versions = [one["version"] for one in stage.record.of_kind("list answer")]
    assert stage.list_service.version in versions  # all changes were delivered


SMALL_FLEET = 200  # servers
SESSIONS = 100  # established, with any number of servers
CHANGED_SERVERS = 20  # in one change of the list
MAX_GROWTH = 1.5  # of the lines run; iterating over all servers would run 16 times as many


def lines_run(call: Callable[[], object]) -> int:
    """Counts the executed lines of Python: a measure of work that does not depend on the machine."""
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


def service_with_sessions(servers: int) -> Service:
    """A balancer with that many servers, a third of them just started, and SESSIONS on the others."""
    stage = VirtualTestbed(1, deployment_settings(FLEET, ["m1", "m2"], ["a", "b"]))
    now_ms = stage.stand_in_machine.time_ns() / 1_000_000
    stage.known_servers = [
        ListedServer(
            f"s{at}", zone="ab"[at % 2], kind=f"m{1 + at // 2 % 2}", started_ms=0 if at % 3 else now_ms
        )
        for at in range(servers)
    ]
    stage.start("b0")
    service = stage.services["b0"]
    warm = [at for at in range(servers) if at % 3][:SESSIONS]
    for session_id, server in enumerate(warm):
        service.balancer.handle(
            service.loop.now(), interface.SessionRestored(session_id, 0, None, None, server)
        )
    return service


def lines_of_placements(service: Service) -> int:
    """Lines run by ten placements, none of them the first in an overload window of the cold servers."""
    now = service.loop.now()
    arrivals = [interface.SessionArrived(10_000 + at, 0, DEADLINE, None, None, False) for at in range(11)]
    service.balancer.handle(now, arrivals[0])
    return lines_run(lambda: [service.balancer.handle(now, one) for one in arrivals[1:]])


def listing(version: int, states: dict[int, str], full: bool = False) -> ServerList:
    rows = [{"id": f"s{at}", "state": state, "addr": "10.9.9.9:8000"} for at, state in states.items()]
    return ServerList(version, full, [msgspec.Raw(msgspec.json.encode(row)) for row in rows])


def lines_of_list_change(service: Service) -> int:
    drained = listing(2, dict.fromkeys(range(CHANGED_SERVERS), "DRAINING"))
    return lines_run(lambda: service.on_list(drained))


# Decisions and periodic checks have to be made in time however long the list is.
@pytest.mark.parametrize(
    "work",
    [lines_of_placements, lines_of_list_change, lambda service: lines_run(service.check_servers)],
    ids=["placements", "change of the list", "look at what stands"],
)
def test_work_does_not_grow_with_the_list(work: Callable[[Service], int]) -> None:
    assert work(service_with_sessions(SERVERS)) < MAX_GROWTH * work(service_with_sessions(SMALL_FLEET))


# A long list must not hold up other work, and drains must not wait for it.
def test_a_long_list_is_delivered_in_batches_and_drains_at_once() -> None:
    service = service_with_sessions(SERVERS)
    balancer = service.balancer
    handle, deliveries = balancer.handle, []

    def recording(now: int, event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.ServerListUpdated):
            deliveries.append([(one.server, one.state) for one in event.entries])
        return handle(now, event)

    balancer.handle = recording
    drained = range(1, SERVERS, 2)
    states = dict.fromkeys(range(SERVERS), "SERVING") | dict.fromkeys(drained, "DRAINING")
    service.on_list(listing(2, states, full=True))
    assert [at for at, _ in deliveries[0]] == list(drained)
    assert balancer.max_listed_count == SERVERS
    assert {balancer.servers[at].state for at in drained} == {interface.ServerState.DRAINING}
    # Before the rest is delivered one of its servers drains too, and one leaves the list.
    late, gone = SERVERS - 2, SERVERS - 4
    states[late] = "DRAINING"
    del states[gone]
    service.on_list(listing(3, states, full=True))
    while service.pending_updates:
        before = len(deliveries)
        service.deliver_batch()
        assert all(len(part) <= LIST_BATCH for part in deliveries[before:])
    assert balancer.servers[late].state is interface.ServerState.DRAINING
    assert balancer.servers[gone].state is interface.ServerState.GONE
    ready = {one.index for one in balancer.candidates.ready}
    assert ready == {at for at, state in states.items() if state == "SERVING"}


# The budget of cold servers must not be computed from the first batch of a new list.
def test_the_whole_size_of_a_new_list_counts_from_its_first_batch_on() -> None:
    service = service_with_sessions(0)
    service.on_list(listing(2, dict.fromkeys(range(SERVERS), "SERVING")))
    assert service.pending_updates
    assert service.balancer.max_listed_count == SERVERS


def test_a_restored_session_reaches_a_server_that_is_still_queued() -> None:
    service = service_with_sessions(SMALL_FLEET)
    states = dict.fromkeys(range(SMALL_FLEET, SMALL_FLEET + 2 * LIST_BATCH), "SERVING")
    service.on_list(listing(2, states))
    last = SMALL_FLEET + 2 * LIST_BATCH - 1
    assert last in service.pending_updates and last not in service.balancer.servers
    client = Client(service, service.loop.system.stream())
    service.on_open_line(client, b"OPEN id1 key1 c=chat,d=1000,at=s%d" % last)
    assert client.restored_server == last and last in service.balancer.servers
