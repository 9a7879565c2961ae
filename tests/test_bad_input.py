"""Lists with entries that can't be used, and what waits at the door when it closes."""

import socket

import pytest
from msgspec.structs import replace

from tests.helpers import list_only_service
from thymedeck import interface
from thymedeck.net.clients import ACCEPT_BATCH, Acceptor
from thymedeck.net.loop import EventLoop
from thymedeck.net.serverlist import decode_list
from thymedeck.net.service import Service
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
def test_one_bad_entry_spoils_neither_the_list_nor_its_server(service: Service, bad: str) -> None:
    """Guards against a list refused whole, and against a server taken to be gone for a slip in its entry."""
    before = '{"version":1,"full":true,"servers":[{"id":"known","addr":"127.0.0.1:7"}]}'
    service.apply_list(decode_list(before), interface.ListKind.WHOLE)
    (known,) = (one for event in service.policy_events for one in event.entries)
    service.apply_list(
        decode_list(f'{{"version":2,"full":true,"servers":[{bad},{GOOD}]}}'), interface.ListKind.WHOLE
    )
    last = {one.server: one for event in service.policy_events for one in event.entries}
    assert last.pop(service.server_index["good"]).state is interface.ServerState.READY
    left_out = replace(known, state=interface.ServerState.GONE)
    assert list(last.values()) == [known if "known" in bad else left_out]
    assert service.logged_events.count("bad_entry") == 1


@pytest.mark.parametrize("address", ["somewhere:80", "127.0.0.1:0", "127.0.0.1", "1.2.3:4", "::1:80"])
def test_a_server_whose_address_is_no_figure_is_passed_over(service: Service, address: str) -> None:
    """Guards against a look-up that stops the loop, or fails in the middle of a dial."""
    text = f'{{"version":1,"full":true,"servers":[{{"id":"a","addr":"{address}"}},{GOOD}]}}'
    service.apply_list(decode_list(text), interface.ListKind.WHOLE)
    assert list(service.server_index) == ["good"]
    assert "bad_address" in service.logged_events


def test_all_that_waits_at_the_door_is_taken_in_before_it_closes() -> None:
    """Guards against resets of those that one turn does not reach, when a balancer is told to stop."""
    service = object.__new__(Service)
    service.loop = EventLoop(lambda fault: pytest.fail(str(fault)), 1024, System())
    service.evictable, service.sessions, service.connections, service.is_evicting = {}, {}, {}, False
    service.stop_deadline = service.loop.now() + 30_000
    service.log = lambda *_, **__: None
    service.acceptor = Acceptor(service, ("127.0.0.1", 0))
    count = 2 * ACCEPT_BATCH + 1
    waiting = [socket.create_connection(service.acceptor.sock.getsockname()) for _ in range(count)]
    try:
        service.stop_accepting()
        assert len(service.evictable) == count
    finally:
        for client in list(service.evictable):
            client.close()
        for sock in waiting:
            sock.close()


def test_a_list_with_nothing_new_is_told_too(service: Service) -> None:
    """Guards against a list that stays lost to the decisions when it is back with nothing new."""
    listing = decode_list(f'{{"version":1,"full":true,"servers":[{GOOD}]}}')
    for _ in range(2):
        service.apply_list(listing, interface.ListKind.WHOLE)
    assert [len(event.entries) for event in service.policy_events] == [1, 0]
