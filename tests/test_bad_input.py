"""Server lists with invalid entries, and clients in the backlog when the listener closes."""

import socket

import pytest
from msgspec.structs import replace

from tests.helpers import list_only_service
from thymedeck import interface
from thymedeck.net.clients import ACCEPT_BATCH, Acceptor
from thymedeck.net.loop import EventLoop
from thymedeck.net.serverlist import decode_list
from thymedeck.net.service import Service
from thymedeck.net.shutdown import Shutdown
from thymedeck.net.system import System

GOOD = '{"id":"good","addr":"127.0.0.1:9"}'
BAD = [
    '{"id":"known","addr":"127.0.0.1:8","weight":"x"}',
    '{"id":"known","addr":"127.0.0.1:8","started_ms":1e308}',
    '{"id":"known","addr":"127.0.0.1:8","weight":1e300}',
    '{"id":"known","addr":"127.0.0.1:8","cell":1e99}',
    '{"id":7,"addr":"127.0.0.1:8"}',
    '{"addr":"127.0.0.1:8"}',
    "[]",
    "null",
]


@pytest.fixture
def service() -> Service:
    return list_only_service()


@pytest.mark.parametrize("bad", BAD)
def test_one_bad_entry_invalidates_neither_the_list_nor_its_server(service: Service, bad: str) -> None:
    """A bad entry neither rejects the whole list nor marks its server as gone."""
    before = '{"version":1,"full":true,"servers":[{"id":"known","addr":"127.0.0.1:7"}]}'
    service.apply_list(decode_list(before), interface.ListKind.WHOLE)
    (known_entry,) = (entry for event in service.policy_events for entry in event.entries)
    service.apply_list(
        decode_list(f'{{"version":2,"full":true,"servers":[{bad},{GOOD}]}}'), interface.ListKind.WHOLE
    )
    latest = {entry.server: entry for event in service.policy_events for entry in event.entries}
    assert latest.pop(service.server_index["good"]).state is interface.ServerState.READY
    gone_entry = replace(known_entry, state=interface.ServerState.GONE)
    assert list(latest.values()) == [known_entry if "known" in bad else gone_entry]
    assert service.logged_events.count("bad_entry") == 1


@pytest.mark.parametrize("address", ["somewhere:80", "127.0.0.1:0", "127.0.0.1", "1.2.3:4", "::1:80"])
def test_a_server_without_a_numeric_address_is_skipped(service: Service, address: str) -> None:
    """Names would need a look-up that blocks the loop; other bad addresses would fail during a dial."""
    text = f'{{"version":1,"full":true,"servers":[{{"id":"a","addr":"{address}"}},{GOOD}]}}'
    service.apply_list(decode_list(text), interface.ListKind.WHOLE)
    assert list(service.server_index) == ["good"]
    assert "bad_address" in service.logged_events


def test_the_backlog_is_accepted_before_the_listener_closes() -> None:
    """At shutdown, clients beyond one accept batch would otherwise be reset."""
    service = object.__new__(Service)
    service.loop = EventLoop(lambda error: pytest.fail(str(error)), 1024, System())
    service.evictable, service.sessions, service.connections, service.is_evicting = {}, {}, {}, False
    service.shutdown = Shutdown(service)
    service.shutdown.deadline = service.loop.now() + 30_000
    service.log = lambda *_, **__: None
    service.acceptor = Acceptor(service, ("127.0.0.1", 0))
    count = 2 * ACCEPT_BATCH + 1
    waiting = [socket.create_connection(service.acceptor.sock.getsockname()) for _ in range(count)]
    try:
        service.shutdown.stop_accepting()
        assert len(service.evictable) == count
    finally:
        for client in list(service.evictable):
            client.close()
        for sock in waiting:
            sock.close()


def test_a_list_without_changes_is_reported_too(service: Service) -> None:
    """Otherwise the policy would not learn that the list is available again after an outage."""
    server_list = decode_list(f'{{"version":1,"full":true,"servers":[{GOOD}]}}')
    for _ in range(2):
        service.apply_list(server_list, interface.ListKind.WHOLE)
    assert [len(event.entries) for event in service.policy_events] == [1, 0]
