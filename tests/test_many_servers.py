"""Fleets of thousands of servers: the cost of a decision must not grow with the list."""

import sys
from collections.abc import Callable
from types import FrameType

import msgspec
import pytest

from thymedeck import interface
from thymedeck.lab import checks
from thymedeck.lab.scenario_run import EFFECTS, deployment_settings
from thymedeck.lab.standins import ListedServer
from thymedeck.lab.testbed import SECOND, BaseTestbed, ProcessTestbed, VirtualTestbed
from thymedeck.net.clients import Client
from thymedeck.net.config_file import ServerList
from thymedeck.net.service import LIST_BATCH, Service

SERVERS = 3_200
FLEET = 200  # balancers according to the settings; one of them runs
RATE = 20.0  # sessions a second at this one
DEADLINE = 12_000
DRAIN_GRACE = 2 * SECOND


def now_ms(testbed: BaseTestbed) -> float:
    return testbed.loop.system.time_ns() / 1_000_000


def update_every(testbed: BaseTestbed, every: int, **more: object) -> None:
    """Changes every n-th server of the list in one answer."""
    part = list(testbed.list_service.servers.values())[::every]
    testbed.list_service.update_servers(*(msgspec.structs.replace(one, **more) for one in part))


def restart_half(testbed: ProcessTestbed) -> None:
    update_every(testbed, 2, started_ms=now_ms(testbed))


def restart_all(testbed: ProcessTestbed) -> None:
    update_every(testbed, 1, started_ms=now_ms(testbed))


def drain_half(testbed: ProcessTestbed) -> None:
    update_every(testbed, 2, state="DRAINING")


def hang_half(testbed: ProcessTestbed) -> None:
    for server in list(testbed.servers.values())[::2]:
        server.is_silent = True


def stop_a_third(testbed: ProcessTestbed) -> None:
    for server in list(testbed.servers.values())[::3]:
        server.stop()


def drain_and_return(testbed: ProcessTestbed) -> None:
    """Half of the servers drain and return repeatedly, with a reload each time."""
    for step in range(6):
        state = "SERVING" if step % 2 else "DRAINING"
        testbed.loop.after(step * SECOND // 2, lambda state=state: update_every(testbed, 2, state=state))
        testbed.loop.after(step * SECOND // 2, lambda: testbed.reload("b0"))


# A loop iteration that works through thousands of servers would delay answers past their deadlines.
@pytest.mark.parametrize(
    "disturbance", [restart_half, restart_all, drain_half, hang_half, stop_a_third, drain_and_return]
)
def test_requests_are_answered_while_thousands_of_servers_change_or_fail(
    disturbance: Callable[[ProcessTestbed], None],
) -> None:
    with ProcessTestbed(1, deployment_settings(FLEET, ["m1", "m2"], ["a", "b"])) as testbed:
        for index in range(SERVERS):
            testbed.add_server(f"s{index}", work=0)
        testbed.known_servers = [
            ListedServer(f"s{index}", zone="ab"[index % 2], kind=f"m{1 + index // 2 % 2}", cell=index // 4)
            for index in range(SERVERS)
        ]
        testbed.list_service.update_servers(*testbed.known_servers)
        testbed.start("b0")
        testbed.wait_until_started("b0")
        clients = testbed.add_clients(1, RATE, 3 * SECOND, ("chat", "once"), DEADLINE)
        assert testbed.run_until(lambda: bool(testbed.record.of_kind("list answer")), 6 * SECOND)
        disturbance(testbed)
        testbed.run(4 * SECOND)
        clients.is_stopped = True
        testbed.run(4 * SECOND)
        entries, end, log = testbed.record.entries, testbed.now(), testbed.log("b0")
    assert len(testbed.record.of_kind("client line")) > RATE * 3
    assert not checks.check_answers(entries, end)
    assert not checks.check_effects(entries, EFFECTS)
    assert not checks.check_drains(entries, DRAIN_GRACE)
    assert not [one for one in log if one["event"] in ("fault", "text", "unanswered")]
    versions = [one["version"] for one in testbed.record.of_kind("list answer")]
    assert testbed.list_service.version in versions  # all changes were delivered


SMALL_FLEET = 200  # servers
SESSIONS = 100  # established, with any number of servers
CHANGED_SERVERS = 20  # in one change of the list
MAX_GROWTH = 1.5  # of the lines run; iterating over all servers would run 16 times as many


def count_executed_lines(call: Callable[[], object]) -> int:
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
    testbed = VirtualTestbed(1, deployment_settings(FLEET, ["m1", "m2"], ["a", "b"]))
    now_ms = testbed.stand_in_machine.time_ns() / 1_000_000
    testbed.known_servers = [
        ListedServer(
            f"s{index}",
            zone="ab"[index % 2],
            kind=f"m{1 + index // 2 % 2}",
            started_ms=0 if index % 3 else now_ms,
        )
        for index in range(servers)
    ]
    testbed.start("b0")
    service = testbed.services["b0"]
    warm = [index for index in range(servers) if index % 3][:SESSIONS]
    for session_id, server in enumerate(warm):
        service.balancer.handle(
            service.loop.now(), interface.SessionRestored(session_id, 0, None, None, server)
        )
    return service


def lines_of_placements(service: Service) -> int:
    """Lines run by ten placements, none of them the first in an overload window of the cold servers."""
    now = service.loop.now()
    arrivals = [
        interface.SessionArrived(10_000 + index, 0, DEADLINE, None, None, False) for index in range(11)
    ]
    service.balancer.handle(now, arrivals[0])
    return count_executed_lines(lambda: [service.balancer.handle(now, one) for one in arrivals[1:]])


def server_list(version: int, states: dict[int, str], full: bool = False) -> ServerList:
    rows = [{"id": f"s{index}", "state": state, "addr": "10.9.9.9:8000"} for index, state in states.items()]
    return ServerList(version, full, [msgspec.Raw(msgspec.json.encode(row)) for row in rows])


def lines_of_list_change(service: Service) -> int:
    drained = server_list(2, dict.fromkeys(range(CHANGED_SERVERS), "DRAINING"))
    return count_executed_lines(lambda: service.on_list(drained))


# Decisions and periodic checks have to be made in time however long the list is.
@pytest.mark.parametrize(
    "work",
    [lines_of_placements, lines_of_list_change, lambda service: count_executed_lines(service.check_servers)],
    ids=["placements", "change of the list", "check of the sessions"],
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
    service.on_list(server_list(2, states, full=True))
    assert [index for index, _ in deliveries[0]] == list(drained)
    assert balancer.max_listed_count == SERVERS
    assert {balancer.servers[index].state for index in drained} == {interface.ServerState.DRAINING}
    # Before the rest is delivered one of its servers drains too, and one leaves the list.
    late, gone = SERVERS - 2, SERVERS - 4
    states[late] = "DRAINING"
    del states[gone]
    service.on_list(server_list(3, states, full=True))
    while service.pending_updates:
        before = len(deliveries)
        service.deliver_batch()
        assert all(len(part) <= LIST_BATCH for part in deliveries[before:])
    assert balancer.servers[late].state is interface.ServerState.DRAINING
    assert balancer.servers[gone].state is interface.ServerState.GONE
    ready = {one.index for one in balancer.candidates.ready}
    assert ready == {index for index, state in states.items() if state == "SERVING"}


# The budget of cold servers must not be computed from the first batch of a new list.
def test_the_whole_size_of_a_new_list_counts_from_its_first_batch_on() -> None:
    service = service_with_sessions(0)
    service.on_list(server_list(2, dict.fromkeys(range(SERVERS), "SERVING")))
    assert service.pending_updates
    assert service.balancer.max_listed_count == SERVERS


def test_a_restored_session_reaches_a_server_that_is_still_queued() -> None:
    service = service_with_sessions(SMALL_FLEET)
    states = dict.fromkeys(range(SMALL_FLEET, SMALL_FLEET + 2 * LIST_BATCH), "SERVING")
    service.on_list(server_list(2, states))
    last = SMALL_FLEET + 2 * LIST_BATCH - 1
    assert last in service.pending_updates and last not in service.balancer.servers
    client = Client(service, service.loop.system.stream())
    service.on_open_line(client, b"OPEN id1 key1 c=chat,d=1000,at=s%d" % last)
    assert client.restored.server == last and last in service.balancer.servers
