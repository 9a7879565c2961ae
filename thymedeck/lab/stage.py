"""Where a play takes place: balancers with the stand-ins round them, in virtual time or as real processes.

Both worlds give the same calls, so that one scenario is played in either. Names of the parties, by which
faults are stated: `b0`, `b1`, ... balancers, `list`, servers by their ids, `clients`.
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
from ..peers.carrier import Carrier
from ..peers.messages import LARGEST, VERSION, Envelope, Kind, Message, Unusable, encode
from ..peers.node import TICK, Peer, Peers
from ..peers.stated import Stated, spelt
from ..peers.stated import read as read_peers
from ..peers.words import Came, Event, Send, Tick
from .faults import Faults
from .records import Record
from .standins import Crowd, Door, Listed, ListService, Server
from .talk import stated
from .world import Machine, World

SECOND = 10_000
MS = 10
KEY = "00112233445566778899aabbccddeeff"
LOOK_EVERY = 200  # at what processes wrote, in real time
READY_WITHIN = 60 * SECOND


class Stage:
    """What both worlds share. `settings` is the deployment's object as a balancer is told it."""

    def __init__(self, loop: EventLoop, seed: int, settings: dict, peers: dict | None) -> None:
        self.loop = loop
        self.begin = loop.now()
        self.record = Record(lambda: loop.now() - self.begin)
        self.settings = settings
        self.peers = peers  # entries of the file of settings for peers, or None: off
        self.faults = Faults(seed)
        self.list = ListService(loop, self.record, self.address_for)
        self.servers: dict[str, Server] = {}
        self.known: list[Listed] = []  # told to balancers as the list of before
        self.crowds: list[Crowd] = []
        self.alive: set[str] = set()

    def now(self) -> int:
        return self.loop.now() - self.begin

    def add_server(self, ident: str, **more: int) -> Server:
        server = self.servers[ident] = Server(self.loop, self.record, ident, **more)
        self.open_server(server)
        return server

    def add_crowd(self, seed: int, rate: float, life: int, classes: tuple[str, ...], deadline: int) -> Crowd:
        crowd = Crowd(self.loop, self.record, self.doors, seed, rate, life, classes, deadline)
        self.crowds.append(crowd)
        crowd.start()
        return crowd

    def doors(self) -> list[tuple[str, tuple[str, int]]]:
        """Where a front would send clients now: balancers that run and were not told to stop."""
        return [(name, self.door(name)) for name in sorted(self.alive)]

    def config(self, name: str, seed: int) -> dict:
        return {
            "name": name,
            "listen": spelt(self.listen_at(name)),
            "discovery": spelt(self.list_at(name)),
            "seed": f"{seed:x}",
            "settings": self.settings,
            "known": {
                "version": 1,
                "servers": [
                    msgspec.structs.asdict(one) | {"addr": self.address_for(one.id, name)}
                    for one in self.known
                ],
            },
            "limits": {"sockets": 1024},
        }

    # Of each world

    def open_server(self, server: Server) -> None:
        raise NotImplementedError

    def started(self, *names: str) -> None:
        """Returns once all of these take clients in."""
        raise NotImplementedError

    def address_for(self, server: str, balancer: str) -> str:
        raise NotImplementedError

    def listen_at(self, name: str) -> tuple[str, int]:
        raise NotImplementedError

    def list_at(self, name: str) -> tuple[str, int]:
        raise NotImplementedError

    def door(self, name: str) -> tuple[str, int]:
        raise NotImplementedError

    def run(self, span: int) -> None:
        raise NotImplementedError

    def run_until(self, done: Callable[[], bool], within: int) -> bool:
        raise NotImplementedError


class Virtual(Stage):
    """In one process, on the world's clock. The same seed and calls give the same record, to the byte."""

    def __init__(self, seed: int, settings: dict, peers: dict | None = None, delay: int = 5) -> None:
        self.world = World(delay_ns=delay * 100_000)
        self.chance = random.Random(seed)
        self.ground = Machine(self.world, "10.2.0.1")  # of all stand-ins, under several hosts
        loop = EventLoop(self.fault, 1 << 24, self.ground)
        loop.running = True
        self.world.loops.append(loop)
        super().__init__(loop, seed, settings, peers)
        self.world.faults = self.faults
        self.world.names |= {"10.2.0.1": "list", "10.3.0.1": "clients"}
        self.machines: dict[str, Machine] = {}
        self.services: dict[str, Service] = {}
        self.carriers: dict[str, Carrier] = {}
        self.by_host: dict[str, str] = {}
        self.hosts: dict[str, str] = {}

    @staticmethod
    def fault(error: BaseException) -> None:
        raise error

    def host(self, name: str) -> str:
        """A balancer's or a server's, in the order in which they are asked for."""
        if name not in self.hosts:
            at = len(self.hosts)
            net = 0 if name in self.servers else 1
            self.hosts[name] = f"10.{10 + net}.{at // 250}.{at % 250 + 1}"
            self.world.names[self.hosts[name]] = name
        return self.hosts[name]

    def open_server(self, server: Server) -> None:
        server.listen((self.host(server.ident), 8000), lambda source: self.world.name_of(source[0]))

    def address_for(self, server: str, balancer: str) -> str:
        return f"{self.host(server)}:8000"

    def listen_at(self, name: str) -> tuple[str, int]:
        return self.host(name), 8000

    door = listen_at

    def list_at(self, name: str) -> tuple[str, int]:
        port = 10_000 + int(name[1:])
        if name not in self.list.doors:
            self.list.open_for(name, ("10.2.0.1", port))
        return "10.2.0.1", port

    def peers_stated(self, name: str) -> Stated:
        here = (self.host(name), 7946)
        join = tuple(f"{self.host(f'b{at}')}:7946" for at in range(3))
        own = {"listen": here, "advertise": spelt(here), "keys": (bytes.fromhex(KEY),)}
        return stated(0, join, **(self.peers | own))

    def start(self, name: str) -> None:
        machine = self.machines[name] = Machine(self.world, self.host(name))
        config = orjson.dumps(self.config(name, self.chance.getrandbits(60)))
        told = msgspec.json.decode(config, type=BalancerConfig)
        here, there = self.listen_at(name), self.list_at(name)
        start = StartupConfig("none", told, here, there, int(told.seed, 16))
        service = self.services[name] = Service(start, machine)
        service.start_accepting()
        service.loop.running = True
        self.world.loops.append(service.loop)
        if self.peers is not None:
            self.carriers[name] = Carrier(service, self.peers_stated(name), machine, name, start.seed)
        self.alive.add(name)
        self.record.note("started", balancer=name)

    def started(self, *names: str) -> None:
        """They do as soon as they are started."""

    def kill(self, name: str) -> None:
        self.alive.discard(name)
        self.record.note("killed", balancer=name)
        loop = self.services[name].loop
        self.world.loops.remove(loop)
        self.world.frozen.discard(loop)
        self.machines[name].die()

    def stop(self, name: str) -> None:
        self.alive.discard(name)
        self.record.note("stopped", balancer=name)
        self.services[name].stop()

    def freeze(self, name: str) -> None:
        self.record.note("frozen", balancer=name)
        self.world.frozen.add(self.services[name].loop)

    def wake(self, name: str) -> None:
        self.record.note("woken", balancer=name)
        self.world.frozen.discard(self.services[name].loop)

    def run(self, span: int) -> None:
        self.world.run(span * 100_000)

    def run_until(self, done: Callable[[], bool], within: int) -> bool:
        end = self.now() + within
        while not done():
            if self.now() >= end:
                return False
            self.run(SECOND // 10)
        return True

    def log(self, name: str) -> list[dict]:
        return [orjson.loads(line) for line in self.machines[name].lines]

    def close(self) -> None:
        pass


class Pipe(Connection):
    """One end of a stream through the relay; passes bytes on to the other as the faults let them."""

    def __init__(self, relay: "Relay", sock: object, source: str, target: str) -> None:
        super().__init__(relay.stage.loop, sock)
        self.relay = relay
        self.source = source  # of what is read here
        self.target = target
        self.other: Pipe | None = None
        self.held: deque[tuple[int, bytes]] = deque()  # b"" is the end of the sending
        self.due_out = False

    def on_data(self, count: int) -> None:
        self.hold(self.inbound.read_all())

    def on_eof(self) -> None:
        self.hold(b"")

    def hold(self, data: bytes) -> None:
        stage = self.relay.stage
        wait = stage.faults.delay(stage.now(), self.source, self.target)
        self.held.append((stage.now() + wait, data))
        self.pass_on()

    def pass_on(self) -> None:
        self.due_out = False
        stage, other = self.relay.stage, self.other
        while self.held and other.is_open:
            due, data = self.held[0]
            wait = due - stage.now()
            if wait <= 0 and stage.faults.is_cut(stage.now(), self.source, self.target):
                wait = 50 * MS
            if wait > 0:
                self.due_out = True
                self.loop.after(wait, self.pass_on)
                return
            if data and not other.outbound.append(data):
                self.due_out = True
                self.loop.after(MS, self.pass_on)
                return
            self.held.popleft()
            if data:
                other.flush()
            else:
                other.shutdown_write()
        if (
            self.received_eof
            and other.received_eof
            and not self.held
            and not other.held
            and not other.outbound.used
        ):
            self.close()
            other.close()

    def on_output_flushed(self) -> None:
        if self.other is not None and self.other.received_eof and not self.other.due_out:
            self.other.pass_on()

    def on_connection_lost(self) -> None:
        self.close()
        other = self.other
        if other is not None and other.is_open:
            stage = self.relay.stage
            if stage.faults.is_cut(stage.now(), self.source, self.target):
                self.loop.after(50 * MS, self.on_connection_lost)
            else:
                other.close(reset=True)


class Relay:
    """A door for one directed pair that leads to another address, through the faults between the two."""

    def __init__(self, stage: "Processes", source: str, target: str, to: tuple[str, int]) -> None:
        self.stage = stage
        self.source = source
        self.target = target
        self.to = to
        self.door = Door(stage.loop, ("127.0.0.1", 0), self.take)

    def take(self, sock: object, source: tuple[str, int]) -> None:
        near = Pipe(self, sock, self.source, self.target)
        far = Pipe(self, self.stage.loop.system.stream(), self.target, self.source)
        near.other, far.other = far, near
        if far.connect(self.to):
            far.on_connection_lost()
            return
        self.stage.sources[far.sock.getsockname()] = self.source
        far.update_events()
        near.update_events()


class DatagramRelay:
    """Under which one balancer is reached by the others; who sends is told by where it comes from."""

    def __init__(self, stage: "Processes", target: str, to: tuple[str, int]) -> None:
        self.stage = stage
        self.target = target
        self.to = to
        self.sock = stage.loop.system.datagram(("127.0.0.1", 0))
        self.sock.setblocking(False)
        stage.loop.watch(self.sock, 0, READ, self)

    def on_ready(self, mask: int) -> None:
        stage = self.stage
        while True:
            try:
                data, source = self.sock.recvfrom(65536)
            except BlockingIOError:
                return
            name = stage.datagram_names.get(source, "?")
            stage.datagram_bytes[name] = stage.datagram_bytes.get(name, 0) + len(data)
            for wait, copy in stage.faults.fates(stage.now(), name, self.target, data):
                if wait:
                    stage.loop.after(wait, lambda copy=copy: self.send(copy))
                else:
                    self.send(copy)

    def send(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.sock.sendto(data, self.to)


class Processes(Stage):
    """Real daemons on loopback; every way between two parties leads through a relay here.

    A way cut for a stream is silent: the connection to the relay still comes up, what is written on it waits.
    Nothing is left running or on disk after `close`.
    """

    def __init__(self, seed: int, settings: dict, peers: dict | None = None) -> None:
        self.system = System()
        super().__init__(EventLoop(self.fault, 1 << 20, self.system), seed, settings, peers)
        self.chance = random.Random(seed)
        self.folder = tempfile.TemporaryDirectory(prefix="thymedeck-lab-")
        self.path = Path(self.folder.name)
        self.running: dict[str, subprocess.Popen] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.server_at: dict[str, tuple[str, int]] = {}
        self.balancer_at: dict[str, tuple[str, int]] = {}
        self.sources: dict[tuple[str, int], str] = {}
        self.datagram_relays: dict[str, DatagramRelay] = {}
        self.datagram_names: dict[tuple[str, int], str] = {}
        self.datagram_bytes: dict[str, int] = {}
        self.lines: dict[str, list[dict]] = {}
        self.parts: dict[str, tuple[int, bytes]] = {}
        self.errors: list[BaseException] = []
        # A host of its own: no connection that the system gives a port to takes one of those from there.
        self.host = f"127.{os.getpid() % 250 + 1}.{os.urandom(1)[0]}.{os.urandom(1)[0] % 254 + 1}"
        self.port = 20_000

    def fault(self, error: BaseException) -> None:
        self.errors.append(error)

    def open_server(self, server: Server) -> None:
        self.server_at[server.ident] = server.listen(
            self.server_at.get(server.ident) or self.free_port(), lambda source: self.sources.pop(source, "?")
        )

    def way(self, source: str, target: str, to: tuple[str, int]) -> tuple[str, int]:
        if (source, target) not in self.relays:
            self.relays[source, target] = Relay(self, source, target, to)
        return self.relays[source, target].door.address

    def address_for(self, server: str, balancer: str) -> str:
        # One that nobody opened yet gets a port at which nothing listens.
        to = self.server_at.get(server) or self.server_at.setdefault(server, self.free_port())
        return spelt(self.way(balancer, server, to))

    def free_port(self) -> tuple[str, int]:
        self.port += 1
        return self.host, self.port

    def listen_at(self, name: str) -> tuple[str, int]:
        if name not in self.balancer_at:
            self.balancer_at[name] = self.free_port()
        return self.balancer_at[name]

    def door(self, name: str) -> tuple[str, int]:
        return self.way("clients", name, self.listen_at(name))

    def list_at(self, name: str) -> tuple[str, int]:
        if name not in self.list.doors:
            self.list.open_for(name, ("127.0.0.1", 0))
        return self.way(name, "list", self.list.doors[name].address)

    def write_peers(self, name: str) -> Path:
        """The relays for datagrams stand before their balancers, under addresses that stay."""
        for one in ("b0", "b1", "b2", name):
            if one not in self.datagram_relays:
                to = self.free_port()
                self.datagram_relays[one] = DatagramRelay(self, one, to)
                self.datagram_names[to] = one
        relay = self.datagram_relays[name]
        given = {
            "fleet": "lab",
            "listen": spelt(relay.to),
            "advertise": spelt(relay.sock.getsockname()),
            "key_file": "peers.key",
            "join": [spelt(self.datagram_relays[one].sock.getsockname()) for one in ("b0", "b1", "b2")],
            "answer_within": "300 ms",
        }
        text = "".join(
            f"{key} = {orjson.dumps(value).decode()}\n" for key, value in (given | self.peers).items()
        )
        path = self.path / f"{name}.peers.toml"
        path.write_text(text)
        return path

    def write_keys(self, *keys: str) -> None:
        path = self.path / "peers.key"
        path.touch(mode=0o600)
        path.write_text("".join(f"{key}\n" for key in keys))

    def start(self, name: str, called: str = "") -> None:
        """`called`: the name that it is told, if that is another's."""
        config = self.path / f"{name}.json"
        told = self.config(name, self.chance.getrandbits(60)) | {"name": called or name}
        config.write_bytes(orjson.dumps(told))
        call = [sys.executable, "-m", "thymedeck", "serve", "--config", config]
        if self.peers is not None:
            if not (self.path / "peers.key").exists():
                self.write_keys(KEY)
            call += ["--peers", self.write_peers(name)]
        log = self.path / f"{name}.log"
        with log.open("ab") as out:
            self.running[name] = subprocess.Popen(call, stdout=out, stderr=out, cwd=Path(__file__).parents[2])
        self.lines.setdefault(name, [])
        self.parts.setdefault(name, (0, b""))
        self.record.note("started", balancer=name)

    def read_logs(self) -> None:
        for name in self.lines:
            at, part = self.parts[name]
            with (self.path / f"{name}.log").open("rb") as file:
                file.seek(at)
                new = file.read()
            *whole, rest = (part + new).split(b"\n")
            self.parts[name] = (at + len(new), rest)
            for line in whole:
                entry = (
                    orjson.loads(line) if line.startswith(b"{") else {"event": "text", "text": line.decode()}
                )
                self.lines[name].append(entry)
                if entry["event"] == "started":
                    self.alive.add(name)

    def started(self, *names: str) -> None:
        """Raises TimeoutError unless all of these take clients in."""
        if not self.run_until(lambda: set(names) <= self.alive, READY_WITHIN):
            raise TimeoutError(f"not started: {sorted(set(names) - self.alive)}")

    def bring_up(self, balancers: int) -> list[str]:
        """So many, with one server that the list names; returns their names once they take clients in."""
        names = [f"b{at}" for at in range(balancers)]
        self.add_server("s0")
        self.known = [Listed("s0")]
        self.list.set(*self.known)
        for name in names:
            self.start(name)
        self.started(*names)
        return names

    def here(self, name: str) -> int:
        """How many peers that balancer's log last told to be here."""
        for entry in reversed(self.log(name)):
            if entry["event"] == "peers" and entry["text"].startswith("peers: "):
                return int(entry["text"].split()[1])
        return 0

    def signal(self, name: str, which: signal.Signals) -> None:
        self.running[name].send_signal(which)

    def kill(self, name: str) -> None:
        self.alive.discard(name)
        self.record.note("killed", balancer=name)
        self.signal(name, signal.SIGKILL)
        self.running[name].wait()

    def stop(self, name: str) -> None:
        self.alive.discard(name)
        self.record.note("stopped", balancer=name)
        self.signal(name, signal.SIGTERM)

    def freeze(self, name: str) -> None:
        self.record.note("frozen", balancer=name)
        self.signal(name, signal.SIGSTOP)

    def wake(self, name: str) -> None:
        self.record.note("woken", balancer=name)
        self.signal(name, signal.SIGCONT)

    def reload(self, name: str) -> None:
        self.signal(name, signal.SIGHUP)

    def run(self, span: int) -> None:
        end = self.loop.now() + span
        due = self.loop.after(span, lambda: None)
        while self.loop.now() < end:
            self.loop.run_once()
        due.cancel()
        self.read_logs()
        if self.errors:
            raise self.errors[0]

    def run_until(self, done: Callable[[], bool], within: int) -> bool:
        end = self.now() + within
        self.read_logs()
        while not done():
            if self.now() >= end:
                return False
            self.run(LOOK_EVERY)
        return True

    def log(self, name: str) -> list[dict]:
        self.read_logs()
        return self.lines[name]

    def close(self) -> None:
        for process in self.running.values():
            if process.poll() is None:
                process.kill()
        for process in self.running.values():
            process.wait()
        for door in [
            *self.list.doors.values(),
            *(door for one in self.servers.values() for door in one.doors),
        ]:
            door.close()
        for relay in self.relays.values():
            relay.door.close()
        for relay in self.datagram_relays.values():
            relay.sock.close()
        self.loop.selector.close()
        self.folder.cleanup()

    def __enter__(self) -> "Processes":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


class Guest:
    """A member of the fleet that the rig plays, from a socket of its own; also one that lies with the key."""

    def __init__(self, stage: Processes, name: str, key: str = KEY) -> None:
        self.stage = stage
        self.loop = stage.loop
        self.sock = stage.system.datagram(("127.0.0.1", 0))
        self.sock.setblocking(False)
        here = self.sock.getsockname()
        stage.datagram_relays[name] = DatagramRelay(stage, name, here)
        stage.datagram_names[here] = name
        own = read_peers(str(stage.write_peers(name)))
        self.envelope = Envelope(own.fleet, [bytes.fromhex(key)])
        unix_ms = stage.system.time_ns() // 1_000_000
        self.peers = Peers(own, name, 1, self.loop.now(), unix_ms, 1)
        self.heard: list[Message] = []
        self.newer = False  # sends what a later version might: more fields
        self.loop.watch(self.sock, 0, READ, self)
        self.tick()

    def tick(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.after(TICK, self.tick)
            self.tell(Tick())

    def tell(self, event: Event) -> None:
        for action in self.peers.handle(self.loop.now(), event):
            if isinstance(action, Send):
                self.send(action.address, action.message)

    def send(self, to: str, message: Message) -> None:
        data = self.envelope.close(message)
        if self.newer:
            body = msgspec.msgpack.encode([*msgspec.msgpack.decode(encode(message)), {"newer": True}])
            data = self.envelope.digest(self.envelope.keys[0], body) + body
        self.send_raw(to, data)

    def send_raw(self, to: str, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.sock.sendto(data, server_address(to))

    def say(self, peer: Peer, kind: Kind, name: str = "", **more: object) -> None:
        """Whatever it likes, to one that it knows; also in another's name."""
        self.peers.counter += 1
        given = (self.peers.incarnation, self.peers.counter)
        self.send(
            peer.address, Message(VERSION, kind, name or self.peers.name, *given, token=peer.token, **more)
        )

    def on_ready(self, mask: int) -> None:
        while True:
            try:
                data = self.sock.recv(LARGEST + 1)
            except BlockingIOError:
                return
            with contextlib.suppress(Unusable):
                message = self.envelope.open(data)
                self.heard.append(message)
                self.tell(Came(message, len(data)))

    def close(self) -> None:
        self.loop.watch(self.sock, READ, 0, self)
        self.sock.close()


def cpu_seconds(pid: int) -> float:
    """Processor time that a process has used so far, from the kernel's own count."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
