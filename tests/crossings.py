"""Plays a scenario of a race: the real Service on loopback sockets, its loop run iteration by iteration.

Nothing happens between two steps: the service's clock stands still unless a step advances it, and what a peer
sends has arrived before the loop runs again. Steps are those of SocketScenario, and:

    client N enters_backlog  connects and is not accepted yet; `connects` and `opens` run until accepted
    client N small_buffers   the system buffers little on the way to that client
    client N receives TEXT   exactly these bytes arrive, which need not be a whole line
    client N readable        what that client did (data, end of stream, reset) can be read by the service
    server N accepts [A]     a dial is connected, which the service has not noticed yet
    server N reads N2        the line of that dial arrives, for the session of client N2
    server N write_limit COUNT
                             only this many bytes of the dial's line are written until the next iteration
    server N readable, list readable
                             the same for what that server, or the list service, did
    sessions COUNT           the policy has this many sessions
    free_descriptors COUNT   the service has at least this many free descriptors
    nodelay                  TCP_NODELAY is set on each connection of the service
    nothing dialled [A]      no dial waits at any server, or at this one
    list request_within MS   advances the clock until a list request arrives, by MS at most
    list no_request          no request waits at the list service, on a new connection or on the latest
    iterate [COUNT]          runs this many loop iterations without waiting
    first client|server N    is dispatched first among the ready sockets; or `first listener`
    stall MS                 advances the clock without an iteration, as if the process had been stalled
    advance MS               advances the clock in small steps with an iteration at each
    mid_iteration MS STEP    in the middle of the next iteration, before it reads: this step, then this delay
    backlog_full A, backlog_full list
                             connections to that server, or to discovery, are no longer established
    server N sends_filler    sends lines until no more are accepted; `client N reads_filler` reads them
    list earlier STEP, list first STEP
                             the step, on the connection before the latest, or on the first one
    list floods HEAD BYTES   sends HEAD, then this many bytes as fast as accepted, until it is cut off
    list says_indented N KIND A:STATE
                             like `list says`, with over 8 kB of indentation
    list says_nested N       answers with brackets nested too deeply to be decoded
    stop, reload same|other  SIGTERM and SIGHUP are received
    without list             before `start`: the configuration contains no list
    settings NAME            before `start`: those of tests/scenarios/settings
    fail_action ACTION       the next such action of the policy fails in the service
    decision_takes MS        the decision on the next session takes this long
    exited                   the service stops within ten seconds, and the process exits
    log no PATTERN           no such line since the last one that was matched
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

FILLER_LINE = b"x" * 98 + b"\r\n"
STEP_MS = 10  # of `advance`
IDLE_SECONDS = 0.03  # without filler, in real time; 20 in a row outlast the pauses of TCP with small windows
SMALL_BUFFER = 1 << 15  # bytes, of a socket with `small_buffers`
EXIT_TIMEOUT_MS = 10_000


class OrderedSelector(selectors.DefaultSelector):
    """Returns ready sockets in an order set by the scenario; the system's selector may use any order."""

    first: object = None

    def select(self, timeout: float | None = None) -> list:
        return sorted(super().select(timeout), key=lambda event: event[0].data is not self.first)


class PartialWriteBuffer(RingBuffer):
    """Writes `remaining` bytes, then would block once, then writes the rest."""

    __slots__ = ("remaining",)

    def send_to(self, sock: socket.socket) -> int:
        remaining, self.remaining = self.remaining, -1 if not self.remaining else 0
        if not remaining:
            raise BlockingIOError
        sent = sock.send(self.peek(0, self.used if remaining < 0 else remaining))
        self.discard(sent)
        return sent


class ManualClockSystem(System):
    """Real sockets, and a clock that only the scenario's steps advance."""

    selector = staticmethod(OrderedSelector)

    def __init__(self) -> None:
        self.now_ns = 1_800_000_000_000_000_000
        self.log_lines: list[str] = []

    def monotonic_ns(self) -> int:
        return self.now_ns

    time_ns = monotonic_ns

    def log(self) -> Callable[[bytes], int]:
        return lambda line: self.log_lines.append(line.decode().rstrip()) or len(line)


class SteppedConnection(LineConnection):
    """A peer's connection that runs the service's loop while it waits for data."""

    def __init__(self, sock: socket.socket, run_until: Callable[[Callable[[], object], str], None]) -> None:
        super().__init__(sock)
        self.run_until = run_until

    def read_line(self) -> str:
        while b"\r\n" not in self.buffer:
            self.run_until(
                lambda: select.select([self.sock], [], [], 0)[0], f"nothing received after {self.buffer!r}"
            )
            try:
                received = self.sock.recv(65536)
            except ConnectionError:
                return "reset"
            if not received:
                return "end" if not self.buffer else f"end after {self.buffer!r}"
            self.buffer += received
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line.decode()

    def receive_bytes(self, expected: bytes) -> None:
        """Asserts that exactly these bytes arrive; the service runs no further than that takes."""
        while len(self.buffer) < len(expected):
            self.run_until(lambda: select.select([self.sock], [], [], 0)[0], f"only {self.buffer!r} received")
            self.buffer += self.sock.recv(65536)
        assert self.buffer == expected, self.buffer
        self.buffer = b""


class SteppedScenario(SocketScenario):
    """Runs the service in this process, with its loop and clock under the control of the steps."""

    def __init__(self, path: Path) -> None:
        super().__init__(path)
        self.system = ManualClockSystem()
        self.service: Service | None = None
        self.service_connections: dict[int, Connection] = {}  # by id() of the peer's connection

    # Loop and clock

    def run_iteration(self) -> None:
        if not self.service.loop.running:
            self.close_service_sockets()  # the process has ended
            return
        self.service.loop.after(0, lambda: None)  # so that it does not wait
        self.service.loop.run_once()

    def run_until(self, condition: Callable[[], object], message: str) -> None:
        until = time.monotonic() + STEP_TIMEOUT_SECONDS
        while not condition():
            assert time.monotonic() < until, message
            self.run_iteration()

    def on_iterate(self, count: str = "1") -> None:
        for _ in range(int(count)):
            self.run_iteration()

    def on_stall(self, span: str) -> None:
        self.system.now_ns += int(float(span) * 1e6)

    def on_advance(self, span: str) -> None:
        for _ in range(0, int(span), STEP_MS):
            self.on_stall(str(STEP_MS))
            self.run_iteration()

    def on_mid_iteration(self, span: str, step: str) -> None:
        """Stalls the process in the middle of an iteration."""
        original = Connection.read

        def stalled_read(connection: Connection) -> None:
            Connection.read = original
            kind, *words = step.split(maxsplit=2)
            self.run_step(kind, words)
            self.on_stall(span)
            original(connection)

        Connection.read = stalled_read

    def on_first(self, whose: str, name: str = "") -> None:
        peers = self.clients if whose == "client" else self.dials
        first = self.service.acceptor if whose == "listener" else self.service_connections[id(peers[name])]
        self.service.loop.selector.first = first

    def on_backlog_full(self, what: str) -> None:
        listener = self.discovery if what == "list" else self.server_sockets[what]
        listener.listen(0)
        while True:
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
            self.extra_sockets.append(sock)
            if not select.select([], [sock], [], 0.05)[1]:
                return

    def wait_readable(self, connection: Connection) -> None:
        assert select.select([connection.sock], [], [], STEP_TIMEOUT_SECONDS)[0], "nothing arrived"

    # The service

    def configuration_text(self) -> str:
        config = json.loads(super().configuration_text())
        if self.descriptors:
            config["limits"] = {"sockets": self.descriptors}
        if self.known is None:
            del config["known"]
        return json.dumps(config)

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

    def on_fail_action(self, name: str) -> None:
        original = self.service.perform

        def broken(action: object) -> None:
            if type(action).__name__ == name:
                self.service.perform = original
                raise ValueError("broken for the test")
            original(action)

        self.service.perform = broken

    def on_decision_takes(self, span: str) -> None:
        handle = self.service.balancer.handle

        def slow(now: int, event: object) -> list:
            actions = handle(now, event)
            if isinstance(event, SessionArrived):
                self.service.balancer.handle = handle
                self.system.now_ns += int(span) * 1_000_000
            return actions

        self.service.balancer.handle = slow

    def on_exited(self) -> None:
        for _ in range(0, EXIT_TIMEOUT_MS, STEP_MS):
            if not self.service.loop.running:
                break
            self.on_advance(str(STEP_MS))
        assert not self.service.loop.running, "the service is still running"
        self.run_iteration()

    def close_service_sockets(self) -> None:
        """Closes the service's sockets, as the system does when a process exits."""
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
                self.close_service_sockets()
                self.service.loop.selector.close()

    # Peers

    def connect(self) -> socket.socket:
        return socket.create_connection(self.address[:2], timeout=STEP_TIMEOUT_SECONDS)

    def service_connection_of(self, sock: socket.socket) -> Connection | None:
        for key in self.service.loop.selector.get_map().values():
            service_sock = getattr(key.data, "sock", None)
            if isinstance(key.data, Connection) and self.peer_address(service_sock) == sock.getsockname():
                return key.data
        return None

    @staticmethod
    def peer_address(sock: socket.socket) -> object:
        try:
            return sock.getpeername()
        except OSError:
            return None

    def on_client(self, name: str, rest: str) -> None:
        verb, _, text = rest.partition(" ")
        if verb in ("opens", "connects", "enters_backlog"):
            peer = self.clients[name] = SteppedConnection(self.connect(), self.run_until)
            if verb != "enters_backlog":
                self.run_until(lambda: self.service_connection_of(peer.sock), "the client was not accepted")
                self.service_connections[id(peer)] = self.service_connection_of(peer.sock)
            if verb == "opens":
                peer.perform("says", f"OPEN id{name} key{name} {text}")
        elif verb == "small_buffers":
            peer = self.clients[name]
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
            service_sock = self.service_connections[id(peer)].sock
            service_sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        elif verb == "receives":
            self.clients[name].receive_bytes(text.encode().decode("unicode_escape").encode())
        elif verb == "readable":
            self.wait_readable(self.service_connections[id(self.clients[name])])
        elif verb == "reads_filler":
            server = self.dials[name].sock
            server.setblocking(False)
            self.receive_filler(self.clients[name], server)
            server.setblocking(True)
        else:
            self.clients[name].perform(verb, text)

    def on_server(self, name: str, rest: str) -> None:
        verb, _, text = rest.partition(" ")
        if verb in ("dialled", "accepts"):
            listeners = [
                listener for server, listener in self.server_sockets.items() if not text or server == text
            ]
            self.run_until(lambda: select.select(listeners, [], [], 0)[0], "no dial")
            sock = select.select(listeners, [], [], 0)[0][0].accept()[0]
            peer = self.dials[name] = SteppedConnection(sock, self.run_until)
            self.service_connections[id(peer)] = self.service_connection_of(sock)
        if verb in ("dialled", "reads"):
            line = self.dials[name].read_line()
            client_name = text if verb == "reads" else name
            assert line.startswith(f"OPEN id{client_name} key{client_name} "), line
            self.figures = line.split()[3]
        elif verb == "readable":
            self.wait_readable(self.service_connections[id(self.dials[name])])
        elif verb == "write_limit":
            connection = self.service_connections[id(self.dials[name])]
            throttled = PartialWriteBuffer()
            throttled.append(connection.outbound.read_all())
            throttled.remaining = int(text)
            connection.outbound = throttled
        elif verb == "sends_filler":
            self.remaining = FILLER_LINE * 200_000
            self.dials[name].sock.setblocking(False)
            idle = 0
            while idle < 20:
                self.run_iteration()
                idle = 0 if self.send_filler(self.dials[name].sock) else idle + 1
            self.remaining = self.remaining[
                : len(self.remaining) % len(FILLER_LINE)
            ]  # no more than the rest of this line
            self.dials[name].sock.setblocking(True)
        elif verb != "accepts":
            self.dials[name].perform(verb, text)

    def on_sessions(self, count: str) -> None:
        sessions = self.service.balancer.sessions
        assert len(sessions) == int(count), sessions.keys()

    def on_nodelay(self) -> None:
        connections = [key.data for key in self.service.loop.selector.get_map().values()]
        socks = [connection.sock for connection in connections if isinstance(connection, Connection)]
        assert len(socks) > 1 and all(s.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for s in socks)

    def on_free_descriptors(self, count: str) -> None:
        assert self.service.loop.free_descriptors >= int(count), self.service.loop.free_descriptors

    def on_nothing(self, _: str, at: str = "") -> None:
        listeners = [listener for name, listener in self.server_sockets.items() if at in ("", name)]
        assert not select.select(listeners, [], [], 0)[0], "a dial waits"

    def send_filler(self, sock: socket.socket) -> int:
        try:
            sent = sock.send(self.remaining)
        except BlockingIOError:
            return 0
        self.remaining = self.remaining[sent:]
        return sent

    def receive_filler(self, client: SteppedConnection, server: socket.socket) -> None:
        """Reads filler lines up to another line or until nothing more arrives."""
        idle = 0
        while idle < 20:
            with contextlib.suppress(ConnectionError):
                self.send_filler(server)
            self.run_iteration()
            idle += 1
            if select.select([client.sock], [], [], IDLE_SECONDS)[0]:
                received = client.sock.recv(1 << 20)
                client.buffer = (client.buffer + received).replace(FILLER_LINE, b"")
                idle = idle if b"\n" in client.buffer or not received else 0

    # The list

    def on_list(self, verb: str, text: str = "") -> None:
        if verb == "asked" and select.select([self.discovery], [], [], 0)[0]:
            self.accept_list_call()  # the connection before it may be open and silent
        if verb == "earlier":
            latest = self.list_calls.pop()
            self.on_list(*text.split(maxsplit=1))
            self.list_calls.append(latest)
        elif verb == "first":
            later = self.list_calls[1:]
            del self.list_calls[1:]
            self.on_list(*text.split(maxsplit=1))
            self.list_calls += later
        elif verb == "readable":
            self.wait_readable(self.service.list_client.connection)
        elif verb == "says_indented":
            version, _, *rows = text.split()
            entries = [self.entry(*row.split(":")) for row in rows]
            self.reply_to_list_call(
                "200 OK", json.dumps({"version": int(version), "servers": entries}, indent=9_000)
            )
        elif verb == "says_nested":
            self.reply_to_list_call("200 OK", '{"version": ' + text + ', "more": ' + "[" * 100_000)
        elif verb == "floods":
            head, _, count = text.rpartition(" ")
            self.remaining = head.encode().decode("unicode_escape").encode() + b"x" * int(count)
            self.flood(self.list_calls[-1].sock)
        elif verb == "request_within":
            for _ in range(0, int(text), STEP_MS):
                if self.is_list_request_waiting():
                    return
                self.on_advance(str(STEP_MS))
            assert self.is_list_request_waiting(), "no list request in time"
        elif verb == "no_request":
            assert not self.is_list_request_waiting(), "a list request waits"
        else:
            super().on_list(verb, text)

    def flood(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        while self.remaining:
            try:
                self.send_filler(sock)
            except ConnectionError:
                return
            self.run_iteration()

    def is_list_request_waiting(self) -> bool:
        """Whether a list request waits, on a new connection or on the one kept open."""
        kept = [call.sock for call in self.list_calls[-1:] if call.sock.fileno() >= 0]
        matches = select.select([self.discovery, *kept], [], [], 0)[0]
        return any(sock is self.discovery or sock.recv(1, socket.MSG_PEEK) for sock in matches)

    def accept_list_call(self) -> None:
        self.run_until(lambda: select.select([self.discovery], [], [], 0)[0], "no list request")
        self.list_calls.append(SteppedConnection(self.discovery.accept()[0], self.run_until))

    # The log

    def on_log(self, *words: str) -> None:
        pattern = " ".join(words)
        if words[0] == "no":
            pattern = pattern.removeprefix("no ")
            matches = [line for line in self.system.log_lines if fnmatch(line, pattern)]
            assert not matches, matches
            return
        self.run_until(lambda: any(fnmatch(line, pattern) for line in self.system.log_lines), f"no {pattern}")
        at = next(at for at, line in enumerate(self.system.log_lines) if fnmatch(line, pattern))
        del self.system.log_lines[: at + 1]
