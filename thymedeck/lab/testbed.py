"""Testbeds: balancers among stand-ins for everything they connect to, in virtual time or as real processes.

Both testbeds have the same interface, so that a scenario runs on either. Faults refer to the parties by name:
`b0`, `b1`, ... are balancers, `list` is the list service, servers go by their ids, and `clients` is all
clients. Times are integers in tenths of a millisecond.
"""

import contextlib
import os
import random
import signal
import subprocess
import sys
import tempfile
from collections import deque
from collections.abc import Callable
from pathlib import Path

import msgspec
import orjson

from ..net.config_file import BalancerConfig, StartupConfig, server_address
from ..net.connection import Connection
from ..net.loop import READ, EventLoop
from ..net.service import Service
from ..net.system import System
from ..peers.events import Event, MessageReceived, Send, Tick
from ..peers.membership import TICK, Membership, Peer
from ..peers.messages import (
    MAX_DATAGRAM_BYTES,
    VERSION,
    DatagramCodec,
    DatagramError,
    Message,
    MessageKind,
    encode,
)
from ..peers.settings import PeerSettings, format_address, load_peer_settings
from ..peers.transport import PeerTransport
from .faults import FaultInjector
from .membership_simulation import peer_settings
from .records import Record
from .standins import ClientGroup, ListedServer, ListeningSocket, ListService, Server
from .virtual_network import Machine, VirtualNetwork

SECOND = 10_000
MS = 10
SHARED_KEY = "00112233445566778899aabbccddeeff"  # with which the peers sign their datagrams, in hex
LOG_POLL_INTERVAL = 200  # how often the logs of processes are read while waiting, in real time
START_TIMEOUT = 60 * SECOND


class BaseTestbed:
    """The common part of both testbeds. `settings` is the deployment object that balancers are given."""

    def __init__(self, loop: EventLoop, seed: int, settings: dict, peers_options: dict | None) -> None:
        self.loop = loop
        self.started_at = loop.now()
        self.record = Record(lambda: loop.now() - self.started_at)
        self.settings = settings
        self.peers_options = peers_options  # entries of the peers settings file; None: no peers
        self.faults = FaultInjector(seed)
        self.list_service = ListService(loop, self.record, self.server_address_for)
        self.servers: dict[str, Server] = {}
        self.known_servers: list[ListedServer] = []  # given to balancers as their last known list
        self.client_groups: list[ClientGroup] = []
        self.alive: set[str] = set()  # balancers that run and have not been asked to stop

    def now(self) -> int:
        """Returns the time since the start of the run."""
        return self.loop.now() - self.started_at

    def add_server(self, server_id: str, **options: int) -> Server:
        server = self.servers[server_id] = Server(self.loop, self.record, server_id, **options)
        self.open_server(server)
        return server

    def add_clients(
        self, seed: int, rate: float, life: int, classes: tuple[str, ...], deadline: int
    ) -> ClientGroup:
        clients = ClientGroup(
            self.loop, self.record, self.client_endpoints, seed, rate, life, classes, deadline
        )
        self.client_groups.append(clients)
        clients.schedule_arrival()
        return clients

    def client_endpoints(self) -> list[tuple[str, tuple[str, int]]]:
        """Returns where a front load balancer would send clients now: the balancers in `alive`."""
        return [(name, self.client_address(name)) for name in sorted(self.alive)]

    def balancer_config(self, name: str, seed: int) -> dict:
        return {
            "name": name,
            "listen": format_address(self.listen_address(name)),
            "discovery": format_address(self.list_address(name)),
            "seed": f"{seed:x}",
            "settings": self.settings,
            "known": {
                "version": 1,
                "servers": [
                    msgspec.structs.asdict(listed) | {"addr": self.server_address_for(listed.id, name)}
                    for listed in self.known_servers
                ],
            },
            "limits": {"sockets": 1024},
        }

    # Implemented by each testbed

    def open_server(self, server: Server) -> None:
        """Makes a server listen at its address."""
        raise NotImplementedError

    def wait_until_started(self, *names: str) -> None:
        """Returns once all of these balancers accept clients."""
        raise NotImplementedError

    def server_address_for(self, server: str, balancer: str) -> str:
        """Returns the address at which that balancer reaches the server."""
        raise NotImplementedError

    def listen_address(self, name: str) -> tuple[str, int]:
        raise NotImplementedError

    def list_address(self, name: str) -> tuple[str, int]:
        """Returns the address at which that balancer reaches the list service."""
        raise NotImplementedError

    def client_address(self, name: str) -> tuple[str, int]:
        """Returns the address at which clients reach that balancer."""
        raise NotImplementedError

    def run(self, duration: int) -> None:
        raise NotImplementedError

    def run_until(self, condition: Callable[[], bool], timeout: int) -> bool:
        """Returns whether the condition came true before the timeout."""
        raise NotImplementedError


class VirtualTestbed(BaseTestbed):
    """Runs in one process in virtual time. The same seed and calls give a byte-identical record.

    All clients connect from the host of the list service, so here faults of `list` apply to them as well and
    faults of `clients` have no effect.
    """

    def __init__(self, seed: int, settings: dict, peers_options: dict | None = None, delay: int = 5) -> None:
        """`delay`: one way, between any two machines."""
        self.network = VirtualNetwork(delay_ns=delay * 100_000)
        self.rng = random.Random(seed)
        # Runs all stand-ins; listens under the hosts of the list service and of the servers.
        self.stand_in_machine = Machine(self.network, "10.2.0.1")
        loop = EventLoop(self.handle_fault, 1 << 24, self.stand_in_machine)
        loop.running = True
        self.network.loops.append(loop)
        super().__init__(loop, seed, settings, peers_options)
        self.network.faults = self.faults
        self.network.host_names |= {"10.2.0.1": "list", "10.3.0.1": "clients"}
        self.machines: dict[str, Machine] = {}
        self.services: dict[str, Service] = {}
        self.transports: dict[str, PeerTransport] = {}
        self.names_by_host: dict[str, str] = {}
        self.hosts: dict[str, str] = {}

    @staticmethod
    def handle_fault(error: BaseException) -> None:
        raise error

    def host_of(self, name: str) -> str:
        """Returns the host of a balancer or server; hosts are assigned in the order of first use."""
        if name not in self.hosts:
            index = len(self.hosts)
            net = 0 if name in self.servers else 1
            self.hosts[name] = f"10.{10 + net}.{index // 250}.{index % 250 + 1}"
            self.network.host_names[self.hosts[name]] = name
        return self.hosts[name]

    def open_server(self, server: Server) -> None:
        server.listen((self.host_of(server.server_id), 8000), lambda source: self.network.name_of(source[0]))

    def server_address_for(self, server: str, balancer: str) -> str:
        return f"{self.host_of(server)}:8000"

    def listen_address(self, name: str) -> tuple[str, int]:
        return self.host_of(name), 8000

    client_address = listen_address

    def list_address(self, name: str) -> tuple[str, int]:
        port = 10_000 + int(name[1:])
        if name not in self.list_service.listening_sockets:
            self.list_service.listen_for(name, ("10.2.0.1", port))
        return "10.2.0.1", port

    def peer_settings_for(self, name: str) -> PeerSettings:
        address = (self.host_of(name), 7946)
        join = tuple(f"{self.host_of(f'b{index}')}:7946" for index in range(3))
        own = {"listen": address, "advertise": format_address(address), "keys": (bytes.fromhex(SHARED_KEY),)}
        return peer_settings(0, join, **(self.peers_options | own))

    def start(self, name: str) -> None:
        machine = self.machines[name] = Machine(self.network, self.host_of(name))
        config = orjson.dumps(self.balancer_config(name, self.rng.getrandbits(60)))
        configuration = msgspec.json.decode(config, type=BalancerConfig)
        listen, discovery = self.listen_address(name), self.list_address(name)
        start = StartupConfig("none", configuration, listen, discovery, int(configuration.seed, 16))
        service = self.services[name] = Service(start, machine)
        service.start_accepting()
        service.loop.running = True
        self.network.loops.append(service.loop)
        if self.peers_options is not None:
            self.transports[name] = PeerTransport(
                service, self.peer_settings_for(name), machine, name, start.seed
            )
        self.alive.add(name)
        self.record.note("started", balancer=name)

    def wait_until_started(self, *names: str) -> None:
        """Does nothing: in virtual time a balancer accepts clients as soon as `start` returns."""

    def kill(self, name: str) -> None:
        self.alive.discard(name)
        self.record.note("killed", balancer=name)
        loop = self.services[name].loop
        self.network.loops.remove(loop)
        self.network.frozen_loops.discard(loop)
        self.machines[name].crash()

    def stop(self, name: str) -> None:
        self.alive.discard(name)
        self.record.note("stopped", balancer=name)
        self.services[name].stop()

    def freeze(self, name: str) -> None:
        self.record.note("frozen", balancer=name)
        self.network.frozen_loops.add(self.services[name].loop)

    def wake(self, name: str) -> None:
        self.record.note("woken", balancer=name)
        self.network.frozen_loops.discard(self.services[name].loop)

    def run(self, duration: int) -> None:
        self.network.run(duration * 100_000)

    def run_until(self, condition: Callable[[], bool], timeout: int) -> bool:
        end = self.now() + timeout
        while not condition():
            if self.now() >= end:
                return False
            self.run(SECOND // 10)
        return True

    def log(self, name: str) -> list[dict]:
        return [orjson.loads(line) for line in self.machines[name].log_lines]

    def close(self) -> None:
        pass


class Pipe(Connection):
    """One end of a relayed stream; forwards its bytes to the other end as the faults allow."""

    def __init__(self, relay: "StreamRelay", sock: object, source: str, target: str) -> None:
        super().__init__(relay.testbed.loop, sock)
        self.relay = relay
        self.source = source  # sends what is read here
        self.target = target
        self.other_end: Pipe | None = None
        self.queue: deque[tuple[int, bytes]] = deque()  # (when due, data); b"" is the end of the stream
        self.is_forward_scheduled = False

    def on_data(self, count: int) -> None:
        self.enqueue(self.inbound.read_all())

    def on_eof(self) -> None:
        self.enqueue(b"")

    def enqueue(self, data: bytes) -> None:
        testbed = self.relay.testbed
        delay = testbed.faults.stream_delay(testbed.now(), self.source, self.target)
        self.queue.append((testbed.now() + delay, data))
        self.forward()

    def forward(self) -> None:
        """Writes what is due to the other end; closes both once both directions have ended."""
        self.is_forward_scheduled = False
        testbed, other_end = self.relay.testbed, self.other_end
        while self.queue and other_end.is_open:
            due, data = self.queue[0]
            wait = due - testbed.now()
            if wait <= 0 and testbed.faults.is_cut(testbed.now(), self.source, self.target):
                wait = 50 * MS
            if wait > 0:
                self.is_forward_scheduled = True
                self.loop.after(wait, self.forward)
                return
            if data and not other_end.outbound.append(data):
                self.is_forward_scheduled = True
                self.loop.after(MS, self.forward)
                return
            self.queue.popleft()
            if data:
                other_end.flush()
            else:
                other_end.shutdown_write()
        if (
            self.received_eof
            and other_end.received_eof
            and not self.queue
            and not other_end.queue
            and not other_end.outbound.used
        ):
            self.close()
            other_end.close()

    def on_output_flushed(self) -> None:
        if (
            self.other_end is not None
            and self.other_end.received_eof
            and not self.other_end.is_forward_scheduled
        ):
            self.other_end.forward()

    def on_connection_lost(self) -> None:
        """Resets the other end; while the direction to it is cut, the reset is delayed."""
        self.close()
        other_end = self.other_end
        if other_end is not None and other_end.is_open:
            testbed = self.relay.testbed
            if testbed.faults.is_cut(testbed.now(), self.source, self.target):
                self.loop.after(50 * MS, self.on_connection_lost)
            else:
                other_end.close(reset=True)


class StreamRelay:
    """Listens on behalf of one party for another and forwards each connection through the faults."""

    def __init__(
        self, testbed: "ProcessTestbed", source: str, target: str, destination: tuple[str, int]
    ) -> None:
        self.testbed = testbed
        self.source = source
        self.target = target
        self.destination = destination
        self.listening_socket = ListeningSocket(testbed.loop, ("127.0.0.1", 0), self.accept)

    def accept(self, sock: object, source: tuple[str, int]) -> None:
        near = Pipe(self, sock, self.source, self.target)
        far = Pipe(self, self.testbed.loop.system.stream(), self.target, self.source)
        near.other_end, far.other_end = far, near
        if far.connect(self.destination):
            far.on_connection_lost()
            return
        self.testbed.source_names[far.sock.getsockname()] = self.source
        far.update_events()
        near.update_events()


class DatagramRelay:
    """The address at which one balancer is reached by the others; identifies senders by source address."""

    def __init__(self, testbed: "ProcessTestbed", target: str, destination: tuple[str, int]) -> None:
        self.testbed = testbed
        self.target = target
        self.destination = destination
        self.sock = testbed.loop.system.datagram(("127.0.0.1", 0))
        self.sock.setblocking(False)
        testbed.loop.watch(self.sock, 0, READ, self)

    def on_ready(self, mask: int) -> None:
        testbed = self.testbed
        while True:
            try:
                data, source = self.sock.recvfrom(65536)
            except BlockingIOError:
                return
            name = testbed.datagram_source_names.get(source, "?")
            testbed.datagram_bytes[name] = testbed.datagram_bytes.get(name, 0) + len(data)
            for wait, copy in testbed.faults.deliveries(testbed.now(), name, self.target, data):
                if wait:
                    testbed.loop.after(wait, lambda copy=copy: self.send(copy))
                else:
                    self.send(copy)

    def send(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.sock.sendto(data, self.destination)


class ProcessTestbed(BaseTestbed):
    """Runs real daemons on loopback; all traffic between two parties goes through a relay in this process.

    While a direction is cut, connections to the relay still succeed and what is written waits.
    `close` ends all processes and removes all files.
    """

    def __init__(self, seed: int, settings: dict, peers_options: dict | None = None) -> None:
        self.system = System()
        super().__init__(EventLoop(self.handle_fault, 1 << 20, self.system), seed, settings, peers_options)
        self.rng = random.Random(seed)
        self.temporary_directory = tempfile.TemporaryDirectory(prefix="thymedeck-lab-")
        self.directory = Path(self.temporary_directory.name)
        self.processes: dict[str, subprocess.Popen] = {}
        self.stream_relays: dict[tuple[str, str], StreamRelay] = {}
        self.server_addresses: dict[str, tuple[str, int]] = {}
        self.balancer_addresses: dict[str, tuple[str, int]] = {}
        self.source_names: dict[tuple[str, int], str] = {}  # by the local address of a relay's connection
        self.datagram_relays: dict[str, DatagramRelay] = {}
        self.datagram_source_names: dict[tuple[str, int], str] = {}
        self.datagram_bytes: dict[str, int] = {}  # sent, by sender
        self.log_entries: dict[str, list[dict]] = {}
        self.log_positions: dict[
            str, tuple[int, bytes]
        ] = {}  # offset of the unread part; incomplete last line
        self.errors: list[BaseException] = []
        # A loopback host of its own, so that the system never assigns one of these ports to a connection.
        self.host = f"127.{os.getpid() % 250 + 1}.{os.urandom(1)[0]}.{os.urandom(1)[0] % 254 + 1}"
        self.port = 20_000

    def handle_fault(self, error: BaseException) -> None:
        self.errors.append(error)

    def open_server(self, server: Server) -> None:
        self.server_addresses[server.server_id] = server.listen(
            self.server_addresses.get(server.server_id) or self.unused_address(),
            lambda source: self.source_names.pop(source, "?"),
        )

    def relay_address(self, source: str, target: str, destination: tuple[str, int]) -> tuple[str, int]:
        if (source, target) not in self.stream_relays:
            self.stream_relays[source, target] = StreamRelay(self, source, target, destination)
        return self.stream_relays[source, target].listening_socket.address

    def server_address_for(self, server: str, balancer: str) -> str:
        # A server that was never opened gets an address at which nothing listens.
        destination = self.server_addresses.get(server) or self.server_addresses.setdefault(
            server, self.unused_address()
        )
        return format_address(self.relay_address(balancer, server, destination))

    def unused_address(self) -> tuple[str, int]:
        self.port += 1
        return self.host, self.port

    def listen_address(self, name: str) -> tuple[str, int]:
        if name not in self.balancer_addresses:
            self.balancer_addresses[name] = self.unused_address()
        return self.balancer_addresses[name]

    def client_address(self, name: str) -> tuple[str, int]:
        return self.relay_address("clients", name, self.listen_address(name))

    def list_address(self, name: str) -> tuple[str, int]:
        if name not in self.list_service.listening_sockets:
            self.list_service.listen_for(name, ("127.0.0.1", 0))
        return self.relay_address(name, "list", self.list_service.listening_sockets[name].address)

    def write_peers_file(self, name: str) -> Path:
        """Writes the peers settings; creates datagram relays, whose addresses outlive balancer restarts."""
        for balancer in ("b0", "b1", "b2", name):
            if balancer not in self.datagram_relays:
                destination = self.unused_address()
                self.datagram_relays[balancer] = DatagramRelay(self, balancer, destination)
                self.datagram_source_names[destination] = balancer
        relay = self.datagram_relays[name]
        entries = {
            "fleet": "lab",
            "listen": format_address(relay.destination),
            "advertise": format_address(relay.sock.getsockname()),
            "key_file": "peers.key",
            "join": [
                format_address(self.datagram_relays[balancer].sock.getsockname())
                for balancer in ("b0", "b1", "b2")
            ],
            "answer_within": "300 ms",
        }
        text = "".join(
            f"{key} = {orjson.dumps(value).decode()}\n"
            for key, value in (entries | self.peers_options).items()
        )
        path = self.directory / f"{name}.peers.toml"
        path.write_text(text)
        return path

    def write_key_file(self, *keys: str) -> None:
        path = self.directory / "peers.key"
        path.touch(mode=0o600)
        path.write_text("".join(f"{key}\n" for key in keys))

    def start(self, name: str, configured_name: str = "") -> None:
        """`configured_name`: the balancer's name in its own configuration, if it differs from `name`."""
        config = self.directory / f"{name}.json"
        content = self.balancer_config(name, self.rng.getrandbits(60)) | {"name": configured_name or name}
        config.write_bytes(orjson.dumps(content))
        command = [sys.executable, "-m", "thymedeck", "serve", "--config", config]
        if self.peers_options is not None:
            if not (self.directory / "peers.key").exists():
                self.write_key_file(SHARED_KEY)
            command += ["--peers", self.write_peers_file(name)]
        log = self.directory / f"{name}.log"
        with log.open("ab") as output:
            self.processes[name] = subprocess.Popen(
                command, stdout=output, stderr=output, cwd=Path(__file__).parents[2]
            )
        self.log_entries.setdefault(name, [])
        self.log_positions.setdefault(name, (0, b""))
        self.record.note("started", balancer=name)

    def read_logs(self) -> None:
        """Reads what was added to the logs. A line that is not JSON becomes an entry of the event `text`."""
        for name in self.log_entries:
            position, partial_line = self.log_positions[name]
            with (self.directory / f"{name}.log").open("rb") as file:
                file.seek(position)
                new = file.read()
            *lines, rest = (partial_line + new).split(b"\n")
            self.log_positions[name] = (position + len(new), rest)
            for line in lines:
                entry = (
                    orjson.loads(line) if line.startswith(b"{") else {"event": "text", "text": line.decode()}
                )
                self.log_entries[name].append(entry)
                if entry["event"] == "started":
                    self.alive.add(name)

    def wait_until_started(self, *names: str) -> None:
        """Raises TimeoutError unless all of these accept clients in time."""
        if not self.run_until(lambda: set(names) <= self.alive, START_TIMEOUT):
            raise TimeoutError(f"balancers did not start: {sorted(set(names) - self.alive)}")

    def start_fleet(self, balancers: int) -> list[str]:
        """Starts that many balancers with one listed server; returns their names once they accept clients."""
        names = [f"b{index}" for index in range(balancers)]
        self.add_server("s0")
        self.known_servers = [ListedServer("s0")]
        self.list_service.update_servers(*self.known_servers)
        for name in names:
            self.start(name)
        self.wait_until_started(*names)
        return names

    def live_peer_count(self, name: str) -> int:
        """Returns how many live peers that balancer's log last reported."""
        for entry in reversed(self.log(name)):
            if entry["event"] == "peers" and entry["text"].startswith("peers: "):
                return int(entry["text"].split()[1])
        return 0

    def send_signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        self.alive.discard(name)
        self.record.note("killed", balancer=name)
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self, name: str) -> None:
        self.alive.discard(name)
        self.record.note("stopped", balancer=name)
        self.send_signal(name, signal.SIGTERM)

    def freeze(self, name: str) -> None:
        self.record.note("frozen", balancer=name)
        self.send_signal(name, signal.SIGSTOP)

    def wake(self, name: str) -> None:
        self.record.note("woken", balancer=name)
        self.send_signal(name, signal.SIGCONT)

    def reload(self, name: str) -> None:
        self.send_signal(name, signal.SIGHUP)

    def run(self, duration: int) -> None:
        """Raises the first error that a handler in this process raised."""
        end = self.loop.now() + duration
        timer = self.loop.after(duration, lambda: None)
        while self.loop.now() < end:
            self.loop.run_once()
        timer.cancel()
        self.read_logs()
        if self.errors:
            raise self.errors[0]

    def run_until(self, condition: Callable[[], bool], timeout: int) -> bool:
        end = self.now() + timeout
        self.read_logs()
        while not condition():
            if self.now() >= end:
                return False
            self.run(LOG_POLL_INTERVAL)
        return True

    def log(self, name: str) -> list[dict]:
        self.read_logs()
        return self.log_entries[name]

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        for listening_socket in [
            *self.list_service.listening_sockets.values(),
            *(
                listening_socket
                for server in self.servers.values()
                for listening_socket in server.listening_sockets
            ),
        ]:
            listening_socket.close()
        for relay in self.stream_relays.values():
            relay.listening_socket.close()
        for relay in self.datagram_relays.values():
            relay.sock.close()
        self.loop.selector.close()
        self.temporary_directory.cleanup()

    def __enter__(self) -> "ProcessTestbed":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


class FakePeer:
    """A member of the fleet that runs in this process on its own socket; it can also send hostile messages.

    It has the shared key, so its messages are authentic whatever they claim.
    """

    def __init__(self, testbed: ProcessTestbed, name: str, key: str = SHARED_KEY) -> None:
        self.testbed = testbed
        self.loop = testbed.loop
        self.sock = testbed.system.datagram(("127.0.0.1", 0))
        self.sock.setblocking(False)
        address = self.sock.getsockname()
        testbed.datagram_relays[name] = DatagramRelay(testbed, name, address)
        testbed.datagram_source_names[address] = name
        own = load_peer_settings(str(testbed.write_peers_file(name)))
        self.codec = DatagramCodec(own.fleet, [bytes.fromhex(key)])
        unix_ms = testbed.system.time_ns() // 1_000_000
        self.membership = Membership(own, name, 1, self.loop.now(), unix_ms, 1)
        self.received: list[Message] = []
        self.sends_extra_fields = False  # as a later version of the protocol might
        self.loop.watch(self.sock, 0, READ, self)
        self.tick()

    def tick(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.after(TICK, self.tick)
            self.handle_event(Tick())

    def handle_event(self, event: Event) -> None:
        for action in self.membership.handle(self.loop.now(), event):
            if isinstance(action, Send):
                self.send(action.address, action.message)

    def send(self, address: str, message: Message) -> None:
        data = self.codec.seal(message)
        if self.sends_extra_fields:
            body = msgspec.msgpack.encode([*msgspec.msgpack.decode(encode(message)), {"newer": True}])
            data = self.codec.digest(self.codec.keys[0], body) + body
        self.send_raw(address, data)

    def send_raw(self, address: str, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.sock.sendto(data, server_address(address))

    def send_forged(self, peer: Peer, kind: MessageKind, name: str = "", **fields: object) -> None:
        """Sends a message with any content to a known peer, also in the name of another member."""
        self.membership.counter += 1
        identity = (self.membership.incarnation, self.membership.counter)
        self.send(
            peer.address,
            Message(VERSION, kind, name or self.membership.name, *identity, token=peer.token, **fields),
        )

    def on_ready(self, mask: int) -> None:
        while True:
            try:
                data = self.sock.recv(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            with contextlib.suppress(DatagramError):
                message = self.codec.open(data)
                self.received.append(message)
                self.handle_event(MessageReceived(message, len(data)))

    def close(self) -> None:
        self.loop.watch(self.sock, READ, 0, self)
        self.sock.close()


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used so far, in steps of a clock tick, from /proc."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
