"""The service's own code in a world of virtual time: served, cut off, and the same log for the same seed."""

import errno
import json
import socket

import msgspec
import pytest

from tests.helpers import SETTINGS
from thymedeck.lab.world import BUFFER, Machine, MemorySocket, World
from thymedeck.net.config_file import BalancerConfig, StartupConfig
from thymedeck.net.connection import Connection
from thymedeck.net.loop import READ, EventLoop
from thymedeck.net.service import Service

SECOND = 1_000_000_000
BALANCER, SERVER = ("10.0.0.1", 8000), ("10.1.0.1", 8000)


class Answering(Connection):
    """A server's end: takes the session, then sends every line back."""

    def on_data(self, count: int) -> None:
        data = self.inbound.read_all()
        self.write(b"UP receipt\r\n" if data.startswith(b"OPEN ") else data)


class Calling(Connection):
    """A client's end; keeps what it is told."""

    def __init__(self, loop: EventLoop, sock: MemorySocket, ident: bytes) -> None:
        super().__init__(loop, sock)
        self.heard = b""
        self.outbound.append(b"OPEN %s key c=chat,d=2000\r\n" % ident)
        self.connect(BALANCER)
        self.update_events()

    def on_data(self, count: int) -> None:
        self.heard += self.inbound.read_all()

    def on_connection_lost(self) -> None:
        self.heard += b"<broken>"
        self.close()


class Door:
    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.sock = loop.system.listen(SERVER, 16)
        loop.watch(self.sock, 0, READ, self)

    def on_ready(self, mask: int) -> None:
        Answering(self.loop, self.sock.accept()[0]).update_events()


class Play:
    """One balancer, one server and no list but the one that the balancer knows."""

    def __init__(self, seed: int = 1) -> None:
        self.world = World(delay_ns=1_000_000)
        told = {
            "name": "b", "listen": "10.0.0.1:8000", "discovery": "10.2.0.1:8500", "settings": SETTINGS,
            "known": {"version": 1, "servers": [{"id": "s", "addr": "10.1.0.1:8000"}]},
            "limits": {"sockets": 256},
        }  # fmt: skip
        self.machine = Machine(self.world, BALANCER[0])
        start = StartupConfig(
            "",
            msgspec.json.decode(msgspec.json.encode(told), type=BalancerConfig),
            BALANCER,
            ("10.2.0.1", 8500),
            seed,
        )
        self.service = Service(start, self.machine)
        self.service.start_accepting()
        Door(self.loop("10.1.0.1"))
        self.outside = self.loop("10.9.0.1")
        self.add(self.service.loop)

    def loop(self, host: str) -> EventLoop:
        return self.add(EventLoop(self.fault, 4096, Machine(self.world, host)))

    def add(self, loop: EventLoop) -> EventLoop:
        loop.running = True
        self.world.loops.append(loop)
        return loop

    def call(self, ident: bytes) -> Calling:
        return Calling(self.outside, self.outside.system.stream(), ident)

    @staticmethod
    def fault(why: BaseException) -> None:
        raise why

    def events(self, name: str) -> list[dict]:
        return [one for one in map(json.loads, self.machine.lines) if one["event"] == name]


def test_a_session_stands_and_its_lines_pass_in_virtual_time() -> None:
    play = Play()
    client = play.call(b"a1")
    play.world.run(SECOND)
    assert client.heard == b"UP receipt\r\n"
    client.write(b"hello\r\n")
    play.world.run(SECOND)
    assert client.heard == b"UP receipt\r\nhello\r\n"
    (up,) = play.events("up")
    assert up["took"] == 40  # there and back twice, a millisecond each way


def test_a_server_that_is_cut_off_is_left_after_three_silent_seconds() -> None:
    play = Play()
    client = play.call(b"a1")
    play.world.run(SECOND)
    play.world.cut.add(SERVER[0])
    client.write(b"hello\r\n")
    play.world.run(2 * SECOND)
    assert client.heard == b"UP receipt\r\n"
    play.world.run(2 * SECOND)
    assert client.heard.endswith(b"MOVE\r\n")
    late = play.call(b"a2")  # its dials never come up: it is told so, and not left waiting
    play.world.run(3 * SECOND)
    assert late.heard == b"BUSY\r\n"


def test_the_same_seed_writes_the_same_log_to_the_byte() -> None:
    logs = []
    for seed in (3, 3, 4):
        play = Play(seed)
        for at in range(20):
            play.call(b"c%d" % at)
            play.world.run(SECOND // 7)
        logs.append(b"".join(play.machine.lines))
    assert logs[0] == logs[1] != logs[2]


def test_a_full_buffer_holds_its_sender_back_and_a_reset_is_an_error() -> None:
    world = World(delay_ns=1_000)
    near, far = Machine(world, "10.0.0.1"), Machine(world, "10.0.0.2")
    door = far.listen(("10.0.0.2", 1), 4)
    sock = near.stream()
    sock.connect_ex(("10.0.0.2", 1))
    world.run(10_000)
    other = door.accept()[0]
    assert sock.sendmsg([memoryview(bytes(BUFFER + 1))]) == BUFFER
    assert not sock.can()
    world.run(10_000)
    assert len(other.recv(100)) == 100
    assert sock.sendmsg([memoryview(bytes(200))]) == 100
    other.close()  # with bytes unread
    world.run(10_000)
    with pytest.raises(ConnectionResetError):
        sock.recv(1)


def test_nobody_listens() -> None:
    world = World(delay_ns=1_000)
    sock = Machine(world, "10.0.0.1").stream()
    sock.connect_ex(("10.0.0.2", 1))
    world.run(10_000)
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNREFUSED
