"""Stand-ins for a balancer's environment: the list service, servers and clients, on one event loop.

They run on real sockets or in virtual time, speak the documented protocol, and record each line, dial and
answer. Scenarios and tests inject faults by setting their attributes during a run. Times are whole tenths of
a millisecond.
"""

import random
from collections import deque
from collections.abc import Callable

import orjson
from msgspec import Struct, structs

from ..net.connection import Connection
from ..net.loop import READ, EventLoop
from ..net.ring import RingBuffer
from .records import Record

SECOND = 10_000
LINE_INTERVAL = 2 * SECOND  # between two lines of a client with an established session
BACKLOG = 1024


class ListeningSocket:
    """A listening socket; calls `on_accept` with each accepted socket and its remote address."""

    def __init__(self, loop: EventLoop, address: tuple[str, int], on_accept: Callable) -> None:
        self.loop = loop
        self.on_accept = on_accept
        self.sock = loop.system.listen(address, BACKLOG)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        loop.watch(self.sock, 0, READ, self)
        self.is_open = True

    def on_ready(self, mask: int) -> None:
        while self.is_open:
            try:
                sock, source = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            self.on_accept(sock, source)

    def close(self) -> None:
        if self.is_open:
            self.is_open = False
            self.loop.watch(self.sock, READ, 0, self)
            self.sock.close()


class LineConnection(Connection):
    """A connection that reads lines ending in CR LF."""

    def __init__(self, loop: EventLoop, sock: object) -> None:
        super().__init__(loop, sock)
        self.partial_line = b""
        self.update_events()

    def on_data(self, count: int) -> None:
        *lines, self.partial_line = (self.partial_line + self.inbound.read_all()).split(b"\r\n")
        for line in lines:
            if self.is_open:
                self.on_line(line)

    def on_line(self, line: bytes) -> None:
        raise NotImplementedError

    def on_eof(self) -> None:
        self.close()

    def on_connection_lost(self) -> None:
        self.close()


# List service


class ListedServer(Struct, frozen=True):
    """A server as the list service reports it; the field names are keys of the response."""

    id: str
    zone: str = "a"
    kind: str = "m1"
    cell: int = 0
    state: str = "SERVING"
    weight: float = 1.0
    started_ms: float = 0.0


class ListRequest(LineConnection):
    """One HTTP request from a balancer to the list service."""

    def __init__(self, service: "ListService", sock: object, balancer: str) -> None:
        self.service = service
        self.balancer = balancer
        super().__init__(service.loop, sock)

    def on_line(self, line: bytes) -> None:
        if line.startswith(b"GET "):
            self.service.on_request(self, line.split(b" ")[1].decode())

    def reply(self, status: int, body: bytes) -> None:
        if self.is_open:
            reason = {200: b"OK", 503: b"Service Unavailable"}[status]
            response = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s" % (status, reason, len(body), body)
            if len(response) > self.outbound.free_space:
                # A response that does not fit the ring buffer would be dropped as a whole.
                queued = self.outbound.read_all()
                self.outbound = RingBuffer(len(queued) + len(response))
                self.outbound.append(queued)
            self.write(response)


class ListService:
    """Serves requests one after another at a limited rate; answers 503 to those that would wait too long."""

    def __init__(
        self, loop: EventLoop, record: Record, address_for: Callable[[str, str], str], capacity: float = 0.0
    ) -> None:
        """`address_for(server, balancer)` is the address at which that balancer reaches the server.

        `capacity` is in requests per second; 0 means unlimited.
        """
        self.loop = loop
        self.record = record
        self.address_for = address_for
        self.capacity = capacity
        self.refusal_cost = 0.0  # cost of a 503 as a fraction of the cost of an answer
        self.max_queue_time = SECOND
        self.answer_delay = 0  # between the arrival of a request and when it is looked at
        self.version = 1
        self.servers: dict[str, ListedServer] = {}
        self.changed_in_version: dict[str, int] = {}  # by server: the version of its last change
        self.free_at = 0  # when the queued requests will have been served
        self.is_down = False  # resets each connection
        self.stale_servers: dict[str, ListedServer] | None = None  # sent in place of `servers` if set
        self.sends_malformed_body = False
        self.watches: list[tuple[ListRequest, int, object]] = []  # requests waiting for a newer version
        self.listening_sockets: dict[str, ListeningSocket] = {}

    def listen_for(self, balancer: str, address: tuple[str, int]) -> tuple[str, int]:
        """Listens for one balancer's requests; returns the bound address."""
        self.listening_sockets[balancer] = ListeningSocket(
            self.loop, address, lambda sock, _: ListRequest(self, sock, balancer)
        )
        return self.listening_sockets[balancer].address

    def update_servers(self, *servers: ListedServer) -> None:
        """Adds or replaces servers under a new version and answers the waiting requests."""
        self.version += 1
        for server in servers:
            self.servers[server.id] = server
            self.changed_in_version[server.id] = self.version
        self.record.note(
            "listed", servers=[(entry.id, entry.state) for entry in servers], version=self.version
        )
        if self.stale_servers is None:
            watches, self.watches = self.watches, []
            for request, index, timer in watches:
                timer.cancel()
                self.answer(request, index)

    def change_server(self, server_id: str, **fields: object) -> None:
        self.update_servers(structs.replace(self.servers[server_id], **fields))

    def take_down(self) -> None:
        self.is_down = True
        watches, self.watches = self.watches, []
        for request, _, timer in watches:
            timer.cancel()
            request.close(reset=True)

    def on_request(self, request: ListRequest, target: str) -> None:
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
        index, wait = int(query.get("index", -1)), int(query.get("wait", 0)) * 10
        self.record.note("list call", balancer=request.balancer, index=index, wait=wait)
        if self.answer_delay:
            self.loop.after(self.answer_delay, lambda: self.process(request, index, wait))
        else:
            self.process(request, index, wait)

    def process(self, request: ListRequest, index: int, wait: int) -> None:
        if self.is_down:
            self.record.note("list answer", balancer=request.balancer, status=0, version=-1)
            request.close(reset=True)
        elif wait and index >= self.version:
            timer = self.loop.after(wait, lambda: self.on_watch_timeout(request))
            self.watches.append((request, index, timer))
        elif not self.capacity:
            self.answer(request, index)
        else:
            self.enqueue(request, index)

    def enqueue(self, request: ListRequest, index: int) -> None:
        now, cost = self.loop.now(), SECOND / self.capacity
        self.free_at = max(self.free_at, now)
        if self.free_at - now > self.max_queue_time:
            self.free_at += int(cost * self.refusal_cost)
            self.loop.after(self.max_queue_time, lambda: self.refuse(request))
            return
        self.free_at += int(cost)
        self.loop.after(self.free_at - now, lambda: self.answer(request, index))

    def refuse(self, request: ListRequest) -> None:
        self.record.note("list answer", balancer=request.balancer, status=503, version=-1)
        request.reply(503, b"")

    def on_watch_timeout(self, request: ListRequest) -> None:
        self.watches = [watch for watch in self.watches if watch[0] is not request]
        self.answer(request, self.version)

    def answer(self, request: ListRequest, index: int) -> None:
        if self.is_down or not request.is_open:
            self.record.note("list answer", balancer=request.balancer, status=0, version=-1)
            request.close(reset=True)
            return
        servers = self.servers if self.stale_servers is None else self.stale_servers
        full = index < 0 or index > self.version
        rows = [
            structs.asdict(server) | {"addr": self.address_for(server.id, request.balancer)}
            for server in servers.values()
            if full or self.changed_in_version.get(server.id, 0) > index
        ]
        body = orjson.dumps({"version": self.version, "full": full, "servers": rows})
        self.record.note(
            "list answer", balancer=request.balancer, status=200, version=self.version, full=full,
            told=[(row["id"], row["state"]) for row in rows], stale=self.stale_servers is not None,
        )  # fmt: skip
        request.reply(200, b"{" if self.sends_malformed_body else body)


# Servers


class ServerConnection(LineConnection):
    """A balancer's connection to a server; carries one session."""

    def __init__(self, server: "Server", sock: object, balancer: str) -> None:
        self.server = server
        self.balancer = balancer
        self.session_id = ""
        self.is_up = False
        super().__init__(server.loop, sock)

    def on_line(self, line: bytes) -> None:
        if not self.session_id and line.startswith(b"OPEN "):
            self.session_id = line.split(b" ")[1].decode()
            self.server.on_open_line(self, line.decode("latin-1"))
        elif self.is_up and line == b"QUIT":
            self.write(b"BYE\r\n")
            self.shutdown_write()
        elif self.is_up and not self.server.is_silent:
            self.write(line + b"\r\n")

    def close(self, reset: bool = False) -> None:
        if self.is_open:
            super().close(reset)
            self.server.on_closed(self)


class Server:
    """A server with a session limit that sets up one session at a time.

    While it is cold, a burst of dials above its budget makes it fail.
    """

    def __init__(
        self, loop: EventLoop, record: Record, server_id: str, limit: int = 1 << 30, work: int = 50
    ) -> None:
        """`limit`: established sessions at a time; `work`: time that one set-up takes."""
        self.loop = loop
        self.record = record
        self.server_id = server_id
        self.limit = limit
        self.work = work
        self.started_at = -(1 << 40)
        self.is_draining = False
        self.is_silent = False  # accepts connections and sends nothing
        self.loses_answers = False  # runs each request but closes the connection without an answer
        self.resets_connections = False  # resets the connection at its OPEN line
        self.busy_until = 0
        self.connections: dict[ServerConnection, None] = {}
        self.recent_dials: deque[int] = deque()  # times of dials while cold, within the window
        self.budget = 0.0  # more dials than this within `window` while cold make it fail; 0: no limit
        self.window = 2 * SECOND
        self.cold_for = 0  # counted from `started_at`
        self.has_failed = False
        self.listening_sockets: list[ListeningSocket] = []

    def listen(
        self, address: tuple[str, int], balancer_at: Callable[[tuple[str, int]], str]
    ) -> tuple[str, int]:
        """`balancer_at` gives the name of the balancer that connects from an address."""
        listening_socket = ListeningSocket(
            self.loop, address, lambda sock, source: self.accept(sock, balancer_at(source))
        )
        self.listening_sockets.append(listening_socket)
        return listening_socket.address

    def accept(self, sock: object, balancer: str) -> None:
        self.connections[ServerConnection(self, sock, balancer)] = None

    def on_closed(self, connection: ServerConnection) -> None:
        self.connections.pop(connection, None)
        if connection.session_id:
            self.record.note(
                "server end", server=self.server_id, id=connection.session_id, balancer=connection.balancer
            )

    def start_cold(self, budget: float, cold_for: int) -> None:
        self.started_at, self.budget, self.cold_for = self.loop.now(), budget, cold_for
        self.record.note("cold", server=self.server_id, budget=budget, window=self.window, until=cold_for)

    def fail(self) -> None:
        self.has_failed = True
        self.record.note("fell", server=self.server_id)
        self.stop()

    def stop(self) -> None:
        for listening_socket in self.listening_sockets:
            listening_socket.close()
        for connection in list(self.connections):
            connection.close(reset=True)

    def on_open_line(self, connection: ServerConnection, line: str) -> None:
        now = self.loop.now()
        self.record.note(
            "server line",
            server=self.server_id,
            balancer=connection.balancer,
            id=connection.session_id,
            line=line,
        )
        if now - self.started_at < self.cold_for:
            self.recent_dials.append(now)
            while self.recent_dials[0] <= now - self.window:
                self.recent_dials.popleft()
            if self.budget and len(self.recent_dials) > self.budget:
                self.fail()
                return
        if self.is_silent:
            return
        if self.resets_connections:
            self.record_answer(connection, "reset")
            connection.close(reset=True)
        elif self.loses_answers:
            self.record_answer(connection, "lost")
            connection.close()
        elif self.is_draining or sum(other.is_up for other in self.connections) >= self.limit:
            self.record_answer(connection, "BUSY")
            connection.write(b"BUSY\r\n")
            connection.shutdown_write()
        else:
            self.busy_until = max(self.busy_until, now) + self.work
            self.loop.after(self.busy_until - now, lambda: self.accept_session(connection))

    def record_answer(self, connection: ServerConnection, answer: str) -> None:
        self.record.note("server answer", server=self.server_id, id=connection.session_id, answer=answer)

    def accept_session(self, connection: ServerConnection) -> None:
        if connection.is_open and not self.is_silent:
            connection.is_up = True
            self.record_answer(connection, "UP")
            connection.write(
                b"UP %s-%s\r\nLOAD 10000\r\n" % (self.server_id.encode(), connection.session_id.encode())
            )


# Clients


class ClientGroup:
    """Clients that arrive at random, stay for a while, and retry when they are moved, refused or cut off."""

    def __init__(
        self, loop: EventLoop, record: Record, balancers: Callable[[], list[tuple[str, tuple[str, int]]]],
        seed: int, rate: float, life: int, classes: tuple[str, ...], deadline: int,
    ) -> None:  # fmt: skip
        """`balancers` gives the names and addresses to which a front load balancer would send clients now.

        `rate` is in arrivals per second; `life` is how long a session lasts.
        """
        self.loop = loop
        self.record = record
        self.balancers = balancers
        rng = random.Random(seed)
        self.random_bits, self.choice, self.uniform = rng.getrandbits, rng.choice, rng.uniform
        self.expovariate = rng.expovariate
        self.rate = rate
        self.life = life
        self.classes = classes
        self.deadline = deadline
        self.retries = 2
        self.is_stopped = False

    def schedule_arrival(self) -> None:
        if not self.is_stopped:
            self.loop.after(int(self.expovariate(self.rate) * SECOND), self.on_arrival)

    def on_arrival(self) -> None:
        if not self.is_stopped:
            self.open_session(self.choice(self.classes), self.retries)
            self.schedule_arrival()

    def open_session(self, kind: str, retries: int, is_retry: bool = False) -> None:
        targets = self.balancers()
        if targets and not self.is_stopped:
            name, address = self.choice(targets)
            client = Client(self, kind, name, retries)
            client.open_session(address, is_retry)

    def retry(self, client: "Client", wait: int) -> None:
        if client.retries > 0:
            self.loop.after(wait, lambda: self.open_session(client.kind, client.retries - 1, is_retry=True))


class Client(LineConnection):
    """A client's connection to a balancer; carries one session."""

    def __init__(self, group: ClientGroup, kind: str, balancer: str, retries: int) -> None:
        self.group = group
        self.kind = kind
        self.balancer = balancer
        self.retries = retries
        self.session_id = f"{group.random_bits(64):016x}"
        self.has_answer = False
        self.is_established = False
        self.has_sent_open = False
        super().__init__(group.loop, group.loop.system.stream())

    def open_session(self, address: tuple[str, int], is_retry: bool) -> None:
        group = self.group
        options = f"c={self.kind},d={group.deadline // 10}" + (",again=1" if is_retry else "")
        self.outbound.append(f"OPEN {self.session_id} {group.random_bits(64):016x} {options}\r\n".encode())
        self.timer = self.loop.after(group.deadline + 2 * SECOND, self.give_up)
        if self.connect(address):
            self.on_connection_lost()
        else:
            self.update_events()

    def on_output_flushed(self) -> None:
        if not self.has_sent_open:
            self.has_sent_open = True
            self.record_event("client line", kind=self.kind, deadline=self.group.deadline)

    def record_event(self, what: str, **fields: object) -> None:
        self.group.record.note(what, id=self.session_id, balancer=self.balancer, **fields)

    def on_line(self, line: bytes) -> None:
        word = line.split(b" ")[0].decode("latin-1")
        if not self.has_answer:
            self.has_answer = True
            self.timer.cancel()
            self.record_event("client answer", word=word, line=line.decode("latin-1"))
            if word == "UP":
                self.is_established = True
                self.timer = self.loop.after(self.group.life, self.leave)
                self.send_line()
            else:
                self.group.retry(self, int(self.group.uniform(0.05, 0.5) * SECOND))
        elif not self.is_established:
            self.record_event("client more", line=line.decode("latin-1"))
        elif word == "MOVE":
            self.is_established = False
            self.record_event("client moved")
            self.group.retry(self, int(self.group.uniform(0.01, 0.1) * SECOND))
            self.close()

    def send_line(self) -> None:
        if self.is_open and self.is_established:
            self.write(b"x\r\n")
            self.loop.after(LINE_INTERVAL, self.send_line)

    def leave(self) -> None:
        if self.is_open:
            self.is_established = False
            self.record_event("client leaves")
            self.close()

    def give_up(self) -> None:
        if self.is_open:
            self.record_event("client gives up")
            self.close()

    def on_eof(self) -> None:
        self.on_connection_lost()

    def on_connection_lost(self) -> None:
        if self.is_established:
            self.group.retry(self, int(self.group.uniform(0.05, 0.5) * SECOND))
        elif not self.has_answer and not self.has_sent_open:
            self.group.retry(self, int(self.group.uniform(0.2, 1.0) * SECOND))
        self.is_established = False
        self.record_event("client cut")
        self.close()

    def close(self, reset: bool = False) -> None:
        self.timer.cancel()
        super().close(reset)
