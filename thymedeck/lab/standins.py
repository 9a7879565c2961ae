"""Stand-ins for what a balancer meets: the list service, servers and clients, on one loop of either world.

Each keeps to the operators' protocol as written there and notes every line, dial and answer in the record.
What goes wrong with them is set by their attributes while a play runs.
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
LINE_EVERY = 2 * SECOND  # from a client that stands
BACKLOG = 1024


class Door:
    """A listening socket; each that comes is given to `take` with the address that it comes from."""

    def __init__(self, loop: EventLoop, address: tuple[str, int], take: Callable) -> None:
        self.loop = loop
        self.take = take
        self.sock = loop.system.listen(address, BACKLOG)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        loop.watch(self.sock, 0, READ, self)
        self.open = True

    def on_ready(self, mask: int) -> None:
        while self.open:
            try:
                sock, source = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            self.take(sock, source)

    def close(self) -> None:
        if self.open:
            self.open = False
            self.loop.watch(self.sock, READ, 0, self)
            self.sock.close()


class Speaker(Connection):
    """Reads line by line."""

    def __init__(self, loop: EventLoop, sock: object) -> None:
        super().__init__(loop, sock)
        self.part = b""
        self.update_events()

    def on_data(self, count: int) -> None:
        *lines, self.part = (self.part + self.inbound.read_all()).split(b"\r\n")
        for line in lines:
            if self.is_open:
                self.on_line(line)

    def on_line(self, line: bytes) -> None:
        raise NotImplementedError

    def on_eof(self) -> None:
        self.close()

    def on_connection_lost(self) -> None:
        self.close()


# The list


class Listed(Struct, frozen=True):
    id: str
    zone: str = "a"
    kind: str = "m1"
    cell: int = 0
    state: str = "SERVING"
    weight: float = 1.0
    started_ms: float = 0.0


class ListCall(Speaker):
    def __init__(self, service: "ListService", sock: object, balancer: str) -> None:
        self.service = service
        self.balancer = balancer
        super().__init__(service.loop, sock)

    def on_line(self, line: bytes) -> None:
        if line.startswith(b"GET "):
            self.service.called(self, line.split(b" ")[1].decode())

    def reply(self, status: int, body: bytes) -> None:
        if self.is_open:
            reason = {200: b"OK", 503: b"Service Unavailable"}[status]
            answer = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s" % (status, reason, len(body), body)
            if len(answer) > self.outbound.free_space:
                # An answer that does not fit the ring would be dropped whole.
                waiting = self.outbound.read_all()
                self.outbound = RingBuffer(len(waiting) + len(answer))
                self.outbound.append(waiting)
            self.write(answer)


class ListService:
    """Works through calls in turn, so many a second; what would wait too long is answered 503."""

    def __init__(
        self, loop: EventLoop, record: Record, address_for: Callable[[str, str], str], capacity: float = 0.0
    ) -> None:
        """`address_for(server, balancer)`: under which that balancer reaches it; `capacity` 0: unbounded."""
        self.loop = loop
        self.record = record
        self.address_for = address_for
        self.capacity = capacity
        self.refusal_cost = 0.0  # of answering, for each 503
        self.patience = SECOND
        self.version = 1
        self.servers: dict[str, Listed] = {}
        self.changed: dict[str, int] = {}  # the version that brought each
        self.free_at = 0
        self.down = False  # resets whatever comes
        self.stale: dict[str, Listed] | None = None  # told instead
        self.wrong = False  # answers what is no list
        self.watches: list[tuple[ListCall, int, object]] = []
        self.doors: dict[str, Door] = {}

    def open_for(self, balancer: str, address: tuple[str, int]) -> tuple[str, int]:
        self.doors[balancer] = Door(self.loop, address, lambda sock, _: ListCall(self, sock, balancer))
        return self.doors[balancer].address

    def set(self, *servers: Listed) -> None:
        self.version += 1
        for server in servers:
            self.servers[server.id] = server
            self.changed[server.id] = self.version
        self.record.note("listed", servers=[(one.id, one.state) for one in servers], version=self.version)
        if self.stale is None:
            watches, self.watches = self.watches, []
            for call, index, due in watches:
                due.cancel()
                self.answer(call, index)

    def change(self, ident: str, **more: object) -> None:
        self.set(structs.replace(self.servers[ident], **more))

    def fall(self) -> None:
        self.down = True
        watches, self.watches = self.watches, []
        for call, _, due in watches:
            due.cancel()
            call.close(reset=True)

    def called(self, call: ListCall, target: str) -> None:
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
        index, wait = int(query.get("index", -1)), int(query.get("wait", 0)) * 10
        self.record.note("list call", balancer=call.balancer, index=index, wait=wait)
        if self.down:
            self.record.note("list answer", balancer=call.balancer, status=0, version=-1)
            call.close(reset=True)
        elif wait and index >= self.version:
            due = self.loop.after(wait, lambda: self.watch_over(call))
            self.watches.append((call, index, due))
        elif not self.capacity:
            self.answer(call, index)
        else:
            self.queue(call, index)

    def queue(self, call: ListCall, index: int) -> None:
        now, cost = self.loop.now(), SECOND / self.capacity
        self.free_at = max(self.free_at, now)
        if self.free_at - now > self.patience:
            self.free_at += int(cost * self.refusal_cost)
            self.loop.after(self.patience, lambda: self.refuse(call))
            return
        self.free_at += int(cost)
        self.loop.after(self.free_at - now, lambda: self.answer(call, index))

    def refuse(self, call: ListCall) -> None:
        self.record.note("list answer", balancer=call.balancer, status=503, version=-1)
        call.reply(503, b"")

    def watch_over(self, call: ListCall) -> None:
        self.watches = [one for one in self.watches if one[0] is not call]
        self.answer(call, self.version)

    def answer(self, call: ListCall, index: int) -> None:
        if self.down or not call.is_open:
            self.record.note("list answer", balancer=call.balancer, status=0, version=-1)
            call.close(reset=True)
            return
        servers = self.servers if self.stale is None else self.stale
        full = index < 0 or index > self.version
        rows = [
            structs.asdict(one) | {"addr": self.address_for(one.id, call.balancer)}
            for one in servers.values()
            if full or self.changed.get(one.id, 0) > index
        ]
        body = orjson.dumps({"version": self.version, "full": full, "servers": rows})
        self.record.note(
            "list answer", balancer=call.balancer, status=200, version=self.version, full=full,
            told=[(row["id"], row["state"]) for row in rows], stale=self.stale is not None,
        )  # fmt: skip
        call.reply(200, b"{" if self.wrong else body)


# Servers


class Served(Speaker):
    """One connection at a server, a balancer's."""

    def __init__(self, server: "Server", sock: object, balancer: str) -> None:
        self.server = server
        self.balancer = balancer
        self.ident = ""
        self.up = False
        super().__init__(server.loop, sock)

    def on_line(self, line: bytes) -> None:
        if not self.ident and line.startswith(b"OPEN "):
            self.ident = line.split(b" ")[1].decode()
            self.server.opened(self, line.decode("latin-1"))
        elif self.up and line == b"QUIT":
            self.write(b"BYE\r\n")
            self.shutdown_write()
        elif self.up and not self.server.silent:
            self.write(line + b"\r\n")

    def close(self, reset: bool = False) -> None:
        if self.is_open:
            super().close(reset)
            self.server.gone(self)


class Server:
    """Takes so many connections, each set-up after its work in turn; cold at first, it falls under a rush."""

    def __init__(
        self, loop: EventLoop, record: Record, ident: str, limit: int = 1 << 30, work: int = 50
    ) -> None:
        self.loop = loop
        self.record = record
        self.ident = ident
        self.limit = limit
        self.work = work  # for a set-up, in tenths of a millisecond
        self.started = -(1 << 40)
        self.draining = False
        self.silent = False  # takes all and says nothing
        self.lose_answers = False  # runs what comes, and ends it with no answer
        self.reset_lines = False
        self.busy_until = 0
        self.open: dict[Served, None] = {}
        self.rush: deque[int] = deque()  # dials while cold
        self.budget = 0.0  # dials within `window` while cold above which it falls; 0: does not
        self.window = 2 * SECOND
        self.cold_for = 0
        self.fallen = False
        self.doors: list[Door] = []

    def listen(self, address: tuple[str, int], who: Callable[[tuple[str, int]], str]) -> tuple[str, int]:
        door = Door(self.loop, address, lambda sock, source: self.take(sock, who(source)))
        self.doors.append(door)
        return door.address

    def take(self, sock: object, balancer: str) -> None:
        self.open[Served(self, sock, balancer)] = None

    def gone(self, one: Served) -> None:
        self.open.pop(one, None)
        if one.ident:
            self.record.note("server end", server=self.ident, id=one.ident, balancer=one.balancer)

    def start_cold(self, budget: float, cold_for: int) -> None:
        self.started, self.budget, self.cold_for = self.loop.now(), budget, cold_for
        self.record.note("cold", server=self.ident, budget=budget, window=self.window, until=cold_for)

    def fall(self) -> None:
        self.fallen = True
        self.record.note("fell", server=self.ident)
        self.stop()

    def stop(self) -> None:
        for door in self.doors:
            door.close()
        for one in list(self.open):
            one.close(reset=True)

    def opened(self, one: Served, line: str) -> None:
        now = self.loop.now()
        self.record.note("server line", server=self.ident, balancer=one.balancer, id=one.ident, line=line)
        if now - self.started < self.cold_for:
            self.rush.append(now)
            while self.rush[0] <= now - self.window:
                self.rush.popleft()
            if self.budget and len(self.rush) > self.budget:
                self.fall()
                return
        if self.silent:
            return
        if self.reset_lines:
            self.note(one, "reset")
            one.close(reset=True)
        elif self.lose_answers:
            self.note(one, "lost")
            one.close()
        elif self.draining or sum(other.up for other in self.open) >= self.limit:
            self.note(one, "BUSY")
            one.write(b"BUSY\r\n")
            one.shutdown_write()
        else:
            self.busy_until = max(self.busy_until, now) + self.work
            self.loop.after(self.busy_until - now, lambda: self.rise(one))

    def note(self, one: Served, answer: str) -> None:
        self.record.note("server answer", server=self.ident, id=one.ident, answer=answer)

    def rise(self, one: Served) -> None:
        if one.is_open and not self.silent:
            one.up = True
            self.note(one, "UP")
            one.write(b"UP %s-%s\r\nLOAD 10000\r\n" % (self.ident.encode(), one.ident.encode()))


# Clients


class Crowd:
    """Clients that come by chance, stay a while, and come again when they are moved, refused or cut off."""

    def __init__(
        self, loop: EventLoop, record: Record, balancers: Callable[[], list[tuple[str, tuple[str, int]]]],
        seed: int, rate: float, life: int, classes: tuple[str, ...], deadline: int,
    ) -> None:  # fmt: skip
        """`balancers` gives the names and addresses that a front would deal clients to now."""
        self.loop = loop
        self.record = record
        self.balancers = balancers
        chance = random.Random(seed)
        self.bits, self.choice, self.uniform = chance.getrandbits, chance.choice, chance.uniform
        self.expovariate = chance.expovariate
        self.rate = rate
        self.life = life
        self.classes = classes
        self.deadline = deadline
        self.retries = 2
        self.stopped = False

    def start(self) -> None:
        if not self.stopped:
            self.loop.after(int(self.expovariate(self.rate) * SECOND), self.arrive)

    def arrive(self) -> None:
        if not self.stopped:
            self.come(self.choice(self.classes), self.retries)
            self.start()

    def come(self, kind: str, retries: int, again: bool = False) -> None:
        there = self.balancers()
        if there and not self.stopped:
            name, address = self.choice(there)
            caller = Caller(self, kind, name, retries)
            caller.call(address, again)

    def come_again(self, caller: "Caller", wait: int) -> None:
        if caller.retries > 0:
            self.loop.after(wait, lambda: self.come(caller.kind, caller.retries - 1, again=True))


class Caller(Speaker):
    def __init__(self, crowd: Crowd, kind: str, balancer: str, retries: int) -> None:
        self.crowd = crowd
        self.kind = kind
        self.balancer = balancer
        self.retries = retries
        self.ident = f"{crowd.bits(64):016x}"
        self.answered = False
        self.standing = False
        self.sent = False
        super().__init__(crowd.loop, crowd.loop.system.stream())

    def call(self, address: tuple[str, int], again: bool) -> None:
        crowd = self.crowd
        figures = f"c={self.kind},d={crowd.deadline // 10}" + (",again=1" if again else "")
        self.outbound.append(f"OPEN {self.ident} {crowd.bits(64):016x} {figures}\r\n".encode())
        self.due = self.loop.after(crowd.deadline + 2 * SECOND, self.give_up)
        if self.connect(address):
            self.on_connection_lost()
        else:
            self.update_events()

    def on_output_flushed(self) -> None:
        if not self.sent:
            self.sent = True
            self.note("client line", kind=self.kind, deadline=self.crowd.deadline)

    def note(self, what: str, **more: object) -> None:
        self.crowd.record.note(what, id=self.ident, balancer=self.balancer, **more)

    def on_line(self, line: bytes) -> None:
        word = line.split(b" ")[0].decode("latin-1")
        if not self.answered:
            self.answered = True
            self.due.cancel()
            self.note("client answer", word=word, line=line.decode("latin-1"))
            if word == "UP":
                self.standing = True
                self.due = self.loop.after(self.crowd.life, self.leave)
                self.speak()
            else:
                self.crowd.come_again(self, int(self.crowd.uniform(0.05, 0.5) * SECOND))
        elif not self.standing:
            self.note("client more", line=line.decode("latin-1"))
        elif word == "MOVE":
            self.standing = False
            self.note("client moved")
            self.crowd.come_again(self, int(self.crowd.uniform(0.01, 0.1) * SECOND))
            self.close()

    def speak(self) -> None:
        if self.is_open and self.standing:
            self.write(b"x\r\n")
            self.loop.after(LINE_EVERY, self.speak)

    def leave(self) -> None:
        if self.is_open:
            self.standing = False
            self.note("client leaves")
            self.close()

    def give_up(self) -> None:
        if self.is_open:
            self.note("client gives up")
            self.close()

    def on_eof(self) -> None:
        self.on_connection_lost()

    def on_connection_lost(self) -> None:
        if self.standing:
            self.crowd.come_again(self, int(self.crowd.uniform(0.05, 0.5) * SECOND))
        elif not self.answered and not self.sent:
            self.crowd.come_again(self, int(self.crowd.uniform(0.2, 1.0) * SECOND))
        self.standing = False
        self.note("client cut")
        self.close()

    def close(self, reset: bool = False) -> None:
        self.due.cancel()
        super().close(reset)
