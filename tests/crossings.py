"""Plays a crossing: the program's own Service on real loopback sockets, its loop turned by hand.

Nothing happens between two steps: the program's clock stands unless a step moves it, and what a peer does is
known to have arrived before the loop turns again. Steps are those of SocketScenario, and:

    client N knocks          connects, and waits to be taken in; `connects` and `opens` turn until it is
    client N arrives         what that client did (bytes, an end, a reset) waits to be read by the program
    server N accepts [A]     a dial has come up, which the program has not heard of yet
    server N reads N2        the line of that dial comes, for the session of client N2
    server N takes COUNT     of the line of that dial only so many bytes are taken until the next turn
    server N arrives, list arrives, list unseen (no call waits there)
    held COUNT               so many sessions are held by the decisions
    free COUNT               the program may open so many connections or more
    undelayed                TCP_NODELAY is set on each connection of the program
    nothing dialled [A]      no dial waits at any server, or at this one
    list comes MS            the clock moves on until a call for the list comes, by MS at the most
    turn [COUNT]             the loop turns so often and waits for nothing
    first client|server N    of what is ready in one turn that comes first; or `first door`
    later MS                 the clock moves on with no turn, as if the process had stood still
    passes MS                the clock moves on in small steps, the loop turning at each
    within MS STEP           in the middle of the next turn, before it reads, this step and so much time
    full A, full list        connections to that server, or to discovery, no longer come up
    server N stuffs          sends lines as long as any are taken; `client N drains` reads them
    list floods HEAD BYTES   sends HEAD, then so many bytes as fast as they are taken, until it is cut off
    list indents N KIND ...  `list says` with one of over 8 kB; `list nests N` with too many brackets
    stop, reload same|other  SIGTERM and SIGHUP are heard
    without list             before `start`: the file names no list
    settings NAME            those of tests/scenarios/settings, before `start`
    breaks ACTION            the next such action of the decisions fails in the service
    thinks MS                the decision on the next session takes so long
    ended                    the service has stopped within ten seconds, and the process is gone
    log no PATTERN           no such line since the last one that was looked for
"""

import contextlib
import json
import select
import selectors
import socket
import time
from collections.abc import Callable
from pathlib import Path

from thymedeck.interface import SessionArrived
from thymedeck.net.config_file import read_startup_config
from thymedeck.net.connection import Connection
from thymedeck.net.ring import RingBuffer
from thymedeck.net.service import Service
from thymedeck.net.system import System

from .helpers import STEP_TIMEOUT_SECONDS, LineConnection, SocketScenario, fnmatch

STUFF = b"x" * 98 + b"\r\n"
STEP = 10  # milliseconds, of `passes`
UNTIL_ENDED = 10_000


class Ordered(selectors.DefaultSelector):
    """Tells what is ready in any order, as the system's own may: what the step names comes first."""

    first: object = None

    def select(self, timeout: float | None = None) -> list:
        return sorted(super().select(timeout), key=lambda one: one[0].data is not self.first)


class Narrow(RingBuffer):
    """Writes so many bytes of what it holds, then would have to wait once, then all."""

    __slots__ = ("left",)

    def send_to(self, sock: socket.socket) -> int:
        left, self.left = self.left, -1 if not self.left else 0
        if not left:
            raise BlockingIOError
        sent = sock.send(self.peek(0, self.used if left < 0 else left))
        self.discard(sent)
        return sent


class StoodClock(System):
    """The machine's sockets, and a clock that only a step moves."""

    selector = staticmethod(Ordered)

    def __init__(self) -> None:
        self.now_ns = 1_800_000_000_000_000_000
        self.lines: list[str] = []

    def monotonic_ns(self) -> int:
        return self.now_ns

    time_ns = monotonic_ns

    def log(self) -> Callable[[bytes], int]:
        return lambda line: self.lines.append(line.decode().rstrip()) or len(line)


class SteppedConnection(LineConnection):
    def __init__(self, sock: socket.socket, pump: Callable[[Callable[[], object], str], None]) -> None:
        super().__init__(sock)
        self.pump = pump

    def read_line(self) -> str:
        while b"\r\n" not in self.buffer:
            self.pump(lambda: select.select([self.sock], [], [], 0)[0], f"nothing came, held {self.buffer!r}")
            try:
                got = self.sock.recv(65536)
            except ConnectionError:
                return "reset"
            if not got:
                return "end" if not self.buffer else f"end after {self.buffer!r}"
            self.buffer += got
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line.decode()


class Crossing(SocketScenario):
    def __init__(self, path: Path) -> None:
        super().__init__(path)
        self.system = StoodClock()
        self.service: Service | None = None
        self.ends: dict[int, Connection] = {}  # by the peer's descriptor, the program's end

    # Turning

    def turn(self) -> None:
        if not self.service.loop.running:
            self.go()  # the process has ended
            return
        self.service.loop.after(0, lambda: None)  # so that it waits for nothing
        self.service.loop.run_once()

    def pump(self, is_so: Callable[[], object], else_say: str) -> None:
        until = time.monotonic() + STEP_TIMEOUT_SECONDS
        while not is_so():
            assert time.monotonic() < until, else_say
            self.turn()

    def on_turn(self, count: str = "1") -> None:
        for _ in range(int(count)):
            self.turn()

    def on_later(self, span: str) -> None:
        self.system.now_ns += int(float(span) * 1e6)

    def on_passes(self, span: str) -> None:
        for _ in range(0, int(span), STEP):
            self.on_later(str(STEP))
            self.turn()

    def on_within(self, span: str, step: str) -> None:
        """The process stands still in the middle of a turn."""
        plain = Connection.read

        def stood(one: Connection) -> None:
            Connection.read = plain
            kind, *words = step.split(maxsplit=2)
            self.run_step(kind, words)
            self.on_later(span)
            plain(one)

        Connection.read = stood

    def on_first(self, whose: str, name: str = "") -> None:
        peers = self.clients if whose == "client" else self.dials
        first = self.service.acceptor if whose == "door" else self.ends[id(peers[name])]
        self.service.loop.selector.first = first

    def on_full(self, what: str) -> None:
        door = self.discovery if what == "list" else self.server_sockets[what]
        door.listen(0)
        while True:
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(door.getsockname())
            self.crowd.append(sock)
            if not select.select([], [sock], [], 0.05)[1]:
                return

    def arrived(self, end: Connection) -> None:
        assert select.select([end.sock], [], [], STEP_TIMEOUT_SECONDS)[0], "it does not arrive"

    # The program

    def configuration_text(self) -> str:
        told = json.loads(super().configuration_text())
        if self.descriptors:
            told["limits"] = {"sockets": self.descriptors}
        if self.known is None:
            del told["known"]
        return json.dumps(told)

    def on_without(self, _: str) -> None:
        self.known = None

    def on_settings(self, name: str) -> None:
        self.settings = json.loads((self.path.parents[1] / "settings" / f"{name}.json").read_text())

    def on_start(self) -> None:
        self.configuration_path.write_text(self.configuration_text())
        self.service = Service(read_startup_config(str(self.configuration_path)), self.system)
        self.service.loop.running = True
        self.service.start_accepting()
        self.address = self.service.acceptor.sock.getsockname()

    def on_stop(self) -> None:
        self.service.stop()

    def on_reload(self, what: str) -> None:
        if what != "same":
            self.discovery = self.listen()
            self.list_calls = []
        self.configuration_path.write_text(self.configuration_text())
        self.service.reload()

    def on_breaks(self, name: str) -> None:
        plain = self.service.perform

        def broken(action: object) -> None:
            if type(action).__name__ == name:
                self.service.perform = plain
                raise ValueError("broken for the test")
            plain(action)

        self.service.perform = broken

    def on_thinks(self, span: str) -> None:
        handle = self.service.balancer.handle

        def slow(now: int, event: object) -> list:
            actions = handle(now, event)
            if isinstance(event, SessionArrived):
                self.service.balancer.handle = handle
                self.system.now_ns += int(span) * 1_000_000
            return actions

        self.service.balancer.handle = slow

    def on_ended(self) -> None:
        for _ in range(0, UNTIL_ENDED, STEP):
            if not self.service.loop.running:
                break
            self.on_passes(str(STEP))
        assert not self.service.loop.running, "it goes on"
        self.turn()

    def go(self) -> None:
        """What the system does with the sockets of a process that has ended."""
        self.service.loop.running = False
        for key in list(self.service.loop.selector.get_map().values()):
            sock = getattr(key.data, "sock", None)
            if sock is not None:
                self.service.loop.selector.unregister(key.fileobj)
                sock.close()

    def run(self) -> None:
        read = Connection.read
        try:
            super().run()
        finally:
            Connection.read = read
            if self.service is not None:
                self.go()
                self.service.loop.selector.close()

    # Peers

    def connect(self) -> socket.socket:
        return socket.create_connection(self.address[:2], timeout=STEP_TIMEOUT_SECONDS)

    def taken_in(self, sock: socket.socket) -> Connection | None:
        for key in self.service.loop.selector.get_map().values():
            end = getattr(key.data, "sock", None)
            if isinstance(key.data, Connection) and self.peer_of(end) == sock.getsockname():
                return key.data
        return None

    @staticmethod
    def peer_of(sock: socket.socket) -> object:
        try:
            return sock.getpeername()
        except OSError:
            return None

    def on_client(self, name: str, rest: str) -> None:
        verb, _, text = rest.partition(" ")
        if verb in ("opens", "connects", "knocks"):
            peer = self.clients[name] = SteppedConnection(self.connect(), self.pump)
            if verb != "knocks":
                self.pump(lambda: self.taken_in(peer.sock), "it is not taken in")
                self.ends[id(peer)] = self.taken_in(peer.sock)
            if verb == "opens":
                peer.perform("says", f"OPEN id{name} key{name} {text}")
        elif verb == "arrives":
            self.arrived(self.ends[id(self.clients[name])])
        elif verb == "drains":
            server = self.dials[name].sock
            server.setblocking(False)
            self.drain(self.clients[name], server)
            server.setblocking(True)
        else:
            self.clients[name].perform(verb, text)

    def on_server(self, name: str, rest: str) -> None:
        verb, _, text = rest.partition(" ")
        if verb in ("dialled", "accepts"):
            doors = [door for at, door in self.server_sockets.items() if not text or at == text]
            self.pump(lambda: select.select(doors, [], [], 0)[0], "no dial")
            sock = select.select(doors, [], [], 0)[0][0].accept()[0]
            peer = self.dials[name] = SteppedConnection(sock, self.pump)
            self.ends[id(peer)] = self.taken_in(sock)
        if verb in ("dialled", "reads"):
            line = self.dials[name].read_line()
            of = text if verb == "reads" else name
            assert line.startswith(f"OPEN id{of} key{of} "), line
            self.figures = line.split()[3]
        elif verb == "arrives":
            self.arrived(self.ends[id(self.dials[name])])
        elif verb == "takes":
            end = self.ends[id(self.dials[name])]
            narrow = Narrow()
            narrow.append(end.outbound.read_all())
            narrow.left = int(text)
            end.outbound = narrow
        elif verb == "stuffs":
            self.left = STUFF * 200_000
            self.dials[name].sock.setblocking(False)
            idle = 0
            while idle < 20:
                self.turn()
                idle = 0 if self.stuff(self.dials[name].sock) else idle + 1
            self.left = self.left[: len(self.left) % len(STUFF)]  # no more than the rest of this line
            self.dials[name].sock.setblocking(True)
        elif verb != "accepts":
            self.dials[name].perform(verb, text)

    def on_held(self, count: str) -> None:
        held = self.service.balancer.sessions
        assert len(held) == int(count), held.keys()

    def on_undelayed(self) -> None:
        ends = [key.data for key in self.service.loop.selector.get_map().values()]
        socks = [end.sock for end in ends if isinstance(end, Connection)]
        assert len(socks) > 1 and all(s.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for s in socks)

    def on_free(self, count: str) -> None:
        assert self.service.loop.free_descriptors >= int(count), self.service.loop.free_descriptors

    def on_nothing(self, _: str, at: str = "") -> None:
        doors = [door for name, door in self.server_sockets.items() if at in ("", name)]
        assert not select.select(doors, [], [], 0)[0], "a dial waits"

    def stuff(self, sock: socket.socket) -> int:
        try:
            sent = sock.send(self.left)
        except BlockingIOError:
            return 0
        self.left = self.left[sent:]
        return sent

    def drain(self, client: SteppedConnection, server: socket.socket) -> None:
        """Reads what was stuffed, up to another line, or until nothing more of it comes."""
        idle = 0
        while idle < 20:
            with contextlib.suppress(ConnectionError):
                self.stuff(server)
            self.turn()
            idle += 1
            if select.select([client.sock], [], [], 0)[0]:
                got = client.sock.recv(1 << 20)
                client.buffer = (client.buffer + got).replace(STUFF, b"")
                idle = idle if b"\n" in client.buffer or not got else 0

    # The list

    def on_list(self, verb: str, text: str = "") -> None:
        if verb == "arrives":
            self.arrived(self.service.list_client.connection)
        elif verb == "indents":
            version, _, *rows = text.split()
            entries = [self.entry(*row.split(":")) for row in rows]
            self.reply_to_list_call(
                "200 OK", json.dumps({"version": int(version), "servers": entries}, indent=9_000)
            )
        elif verb == "nests":
            self.reply_to_list_call("200 OK", '{"version": ' + text + ', "more": ' + "[" * 100_000)
        elif verb == "floods":
            head, _, count = text.rpartition(" ")
            self.left = head.encode().decode("unicode_escape").encode() + b"x" * int(count)
            self.flood(self.list_calls[-1].sock)
        elif verb == "comes":
            for _ in range(0, int(text), STEP):
                if self.call_waits():
                    return
                self.on_passes(str(STEP))
            assert self.call_waits(), "no call in time"
        elif verb == "unseen":
            assert not select.select([self.discovery], [], [], 0)[0], "a call waits"
        else:
            super().on_list(verb, text)

    def flood(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        while self.left:
            try:
                self.stuff(sock)
            except ConnectionError:
                return
            self.turn()

    def call_waits(self) -> bool:
        """On a new connection or on the one that is kept."""
        kept = [call.sock for call in self.list_calls[-1:] if call.sock.fileno() >= 0]
        found = select.select([self.discovery, *kept], [], [], 0)[0]
        return any(sock is self.discovery or sock.recv(1, socket.MSG_PEEK) for sock in found)

    def accept_list_call(self) -> None:
        self.pump(lambda: select.select([self.discovery], [], [], 0)[0], "no call")
        self.list_calls.append(SteppedConnection(self.discovery.accept()[0], self.pump))

    # The log

    def on_log(self, *words: str) -> None:
        pattern = " ".join(words)
        if words[0] == "no":
            pattern = pattern.removeprefix("no ")
            found = [line for line in self.system.lines if fnmatch(line, pattern)]
            assert not found, found
            return
        self.pump(lambda: any(fnmatch(line, pattern) for line in self.system.lines), f"no {pattern}")
        at = next(at for at, line in enumerate(self.system.lines) if fnmatch(line, pattern))
        del self.system.lines[: at + 1]
