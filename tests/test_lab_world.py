"""The unmodified service on the simulated network: sessions, isolation, reproducible logs, socket errors."""

import errno
import json
import socket

import msgspec
import pytest

from tests.helpers import SETTINGS
from thymedeck.lab.virtual_network import BUFFER_BYTES, Machine, MemorySocket, VirtualNetwork
from thymedeck.net.config_file import BalancerConfig, StartupConfig
from thymedeck.net.connection import Connection
from thymedeck.net.loop import READ, EventLoop
from thymedeck.net.service import Service

SECOND = 1_000_000_000
BALANCER, SERVER = ("10.0.0.1", 8000), ("10.1.0.1", 8000)


class EchoConnection(Connection):
    """The server end of a session: accepts it, then echoes every line."""

    def on_data(self, count: int) -> None:
        data = self.inbound.read_all()
        self.write(b"UP receipt\r\n" if data.startswith(b"OPEN ") else data)


class ClientConnection(Connection):
    """The client end of a session; keeps all that it receives."""

    def __init__(self, loop: EventLoop, sock: MemorySocket, session_id: bytes) -> None:
        super().__init__(loop, sock)
        self.received = b""
        self.outbound.append(b"OPEN %s key c=chat,d=2000\r\n" % session_id)
        self.connect(BALANCER)
        self.update_events()

    def on_data(self, count: int) -> None:
        self.received += self.inbound.read_all()

    def on_connection_lost(self) -> None:
        self.received += b"<broken>"
        self.close()


class EchoServer:
    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.sock = loop.system.listen(SERVER, 16)
        loop.watch(self.sock, 0, READ, self)

    def on_ready(self, mask: int) -> None:
        EchoConnection(self.loop, self.sock.accept()[0]).update_events()


class Simulation:
    """One balancer and one server. There is no list service; the balancer has its saved list."""

    def __init__(self, seed: int = 1) -> None:
        self.network = VirtualNetwork(delay_ns=1_000_000)
        config = {
            "name": "b", "listen": "10.0.0.1:8000", "discovery": "10.2.0.1:8500", "settings": SETTINGS,
            "known": {"version": 1, "servers": [{"id": "s", "addr": "10.1.0.1:8000"}]},
            "limits": {"sockets": 256},
        }  # fmt: skip
        self.machine = Machine(self.network, BALANCER[0])
        start = StartupConfig(
            "",
            msgspec.json.decode(msgspec.json.encode(config), type=BalancerConfig),
            BALANCER,
            ("10.2.0.1", 8500),
            seed,
        )
        self.service = Service(start, self.machine)
        self.service.start_accepting()
        EchoServer(self.add_machine("10.1.0.1"))
        self.client_loop = self.add_machine("10.9.0.1")
        self.add_loop(self.service.loop)

    def add_machine(self, host: str) -> EventLoop:
        return self.add_loop(EventLoop(self.handle_fault, 4096, Machine(self.network, host)))

    def add_loop(self, loop: EventLoop) -> EventLoop:
        loop.running = True
        self.network.loops.append(loop)
        return loop

    def connect_client(self, session_id: bytes) -> ClientConnection:
        return ClientConnection(self.client_loop, self.client_loop.system.stream(), session_id)

    @staticmethod
    def handle_fault(error: BaseException) -> None:
        raise error

    def log_entries(self, name: str) -> list[dict]:
        return [entry for entry in map(json.loads, self.machine.log_lines) if entry["event"] == name]


def test_session_is_established_and_lines_are_forwarded() -> None:
    simulation = Simulation()
    client = simulation.connect_client(b"a1")
    simulation.network.run(SECOND)
    assert client.received == b"UP receipt\r\n"
    client.write(b"hello\r\n")
    simulation.network.run(SECOND)
    assert client.received == b"UP receipt\r\nhello\r\n"
    (up,) = simulation.log_entries("up")
    assert up["took"] == 40  # two round trips at one millisecond each way


def test_client_moves_from_an_isolated_server_after_three_seconds() -> None:
    simulation = Simulation()
    client = simulation.connect_client(b"a1")
    simulation.network.run(SECOND)
    simulation.network.isolated_hosts.add(SERVER[0])
    client.write(b"hello\r\n")
    simulation.network.run(2 * SECOND)
    assert client.received == b"UP receipt\r\n"
    simulation.network.run(2 * SECOND)
    assert client.received.endswith(b"MOVE\r\n")
    # The dials of a new client all fail, so it is refused and not left waiting.
    late_client = simulation.connect_client(b"a2")
    simulation.network.run(3 * SECOND)
    assert late_client.received == b"BUSY\r\n"


def test_the_same_seed_writes_the_same_log_to_the_byte() -> None:
    logs = []
    for seed in (3, 3, 4):
        simulation = Simulation(seed)
        for at in range(20):
            simulation.connect_client(b"c%d" % at)
            simulation.network.run(SECOND // 7)
        logs.append(b"".join(simulation.machine.log_lines))
    assert logs[0] == logs[1] != logs[2]


def test_full_buffer_blocks_the_sender_and_a_reset_is_an_error() -> None:
    network = VirtualNetwork(delay_ns=1_000)
    near, far = Machine(network, "10.0.0.1"), Machine(network, "10.0.0.2")
    listener = far.listen(("10.0.0.2", 1), 4)
    sock = near.stream()
    sock.connect_ex(("10.0.0.2", 1))
    network.run(10_000)
    other = listener.accept()[0]
    assert sock.sendmsg([memoryview(bytes(BUFFER_BYTES + 1))]) == BUFFER_BYTES
    assert not sock.ready_mask()
    network.run(10_000)
    assert len(other.recv(100)) == 100
    assert sock.sendmsg([memoryview(bytes(200))]) == 100
    other.close()  # with bytes unread
    network.run(10_000)
    with pytest.raises(ConnectionResetError):
        sock.recv(1)


def test_connection_without_a_listener_is_refused() -> None:
    network = VirtualNetwork(delay_ns=1_000)
    sock = Machine(network, "10.0.0.1").stream()
    sock.connect_ex(("10.0.0.2", 1))
    network.run(10_000)
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNREFUSED
