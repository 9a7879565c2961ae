"""Stand-in servers and clients of a sweep, thousands in one process each, on the system's own epoll.

They say and count lines and do nothing else: what they cost is not measured, and must not be what bounds.
"""

import errno
import select
import socket
import time
from collections import Counter
from collections.abc import Callable
from multiprocessing.connection import Connection

import orjson

AT_ONCE = 64  # clients that wait for their answer at a time
BEAT = 2.0  # seconds between two lines of a client that stands
STEP = 0.005  # seconds between two rounds of what is paced
DELIVERED = b"D "
GRACE = 5.0  # seconds that the last answers or lines are waited for


class Crowd:
    """An epoll loop that also hears the pipe."""

    def __init__(self, pipe: Connection) -> None:
        self.pipe = pipe
        self.epoll = select.epoll()
        self.epoll.register(pipe.fileno(), select.EPOLLIN)
        self.doors: dict[int, socket.socket] = {}
        self.socks: dict[int, socket.socket] = {}

    def run(self) -> None:
        while True:
            while self.pipe.poll():
                try:
                    name, *given = self.pipe.recv()
                except EOFError:
                    return
                self.pipe.send(getattr(self, name)(*given))
            self.turn(1.0)

    def turn(self, wait: float) -> None:
        for fd, mask in self.epoll.poll(wait):
            if fd in self.doors:
                self.accept(self.doors[fd])
            elif fd in self.socks:
                self.hear(fd, mask)

    def add(self, sock: socket.socket, mask: int = select.EPOLLIN) -> int:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socks[sock.fileno()] = sock
        self.epoll.register(sock.fileno(), mask)
        return sock.fileno()

    def drop(self, fd: int) -> None:
        sock = self.socks.pop(fd, None)
        if sock is not None:
            self.epoll.unregister(fd)
            sock.close()

    def read(self, fd: int) -> bytes:
        """b"" once it has ended."""
        try:
            return self.socks[fd].recv(65536)
        except (BlockingIOError, ConnectionError):
            return b""

    def write(self, fd: int, data: bytes) -> bool:
        """Whether it went: not where the way is full, or gone, which is heard when it is read."""
        try:
            self.socks[fd].send(data)
        except (BlockingIOError, ConnectionError):
            return False
        return True

    def accept(self, door: socket.socket) -> None:
        raise NotImplementedError

    def hear(self, fd: int, mask: int) -> None:
        raise NotImplementedError

    def until(self, done: Callable[[], bool], within: float) -> bool:
        end = time.monotonic() + within
        while not done():
            left = end - time.monotonic()
            if left <= 0:
                return False
            self.turn(min(left, 0.02))
        return True


class Servers(Crowd):
    def __init__(self, pipe: Connection) -> None:
        super().__init__(pipe)
        self.standing: dict[int, None] = {}

    def open(self, count: int) -> list[int]:
        """So many listening sockets; returns their ports."""
        for _ in range(count):
            door = socket.create_server(("127.0.0.1", 0), backlog=1024)
            door.setblocking(False)
            self.doors[door.fileno()] = door
            self.epoll.register(door.fileno(), select.EPOLLIN)
        return [door.getsockname()[1] for door in self.doors.values()]

    def accept(self, door: socket.socket) -> None:
        while True:
            try:
                self.add(door.accept()[0])
            except (BlockingIOError, ConnectionError):
                return

    def hear(self, fd: int, mask: int) -> None:
        data = self.read(fd)
        if not data:
            self.standing.pop(fd, None)
            self.drop(fd)
        elif data.startswith(b"OPEN "):
            self.standing[fd] = None
            self.write(fd, b"UP s-1\r\nLOAD 10000\r\n")
        else:
            self.write(fd, data)

    def count(self) -> int:
        return len(self.standing)

    def deliver(self, rate: int, seconds: float, size: int) -> tuple[int, float]:
        """A line each to one session after the other; returns how many went out and in what time."""
        order = list(self.standing)
        begin = time.monotonic()
        sent = at = 0
        while (now := time.monotonic()) < begin + seconds:
            due = int((now - begin) * rate)
            while sent < due:
                sent += self.say(order[at % len(order)], size)
                at += 1
                if not at % 64:
                    break
            self.turn(STEP if sent >= due else 0)
        return sent, time.monotonic() - begin

    def fan_out(self, size: int) -> tuple[int, float]:
        """A line to each session, as fast as this process can."""
        begin = time.monotonic()
        return sum(self.say(fd, size) for fd in list(self.standing)), time.monotonic() - begin

    def say(self, fd: int, size: int) -> bool:
        head = b"%s%d " % (DELIVERED, time.monotonic_ns())
        return fd in self.socks and self.write(fd, head.ljust(size - 2, b"x") + b"\r\n")


class Clients(Crowd):
    def __init__(self, pipe: Connection, port: int) -> None:
        super().__init__(pipe)
        self.there = ("127.0.0.1", port)
        self.asked: dict[int, float] = {}  # when its line went
        self.standing: dict[int, None] = {}
        self.parts: dict[int, bytes] = {}
        self.answers: Counter[str] = Counter()
        self.waits: list[float] = []  # of answers, in seconds
        self.moved = 0  # told to move
        self.cut = 0  # ended without a word
        self.lines = 0
        self.delays: list[float] = []  # of deliveries, in seconds
        self.next = 0

    def open(self, count: int, rate: int) -> dict:
        """So many come, paced; returns what they were answered."""
        self.answers.clear()
        self.waits.clear()
        begin, begun = time.monotonic(), 0
        while begun < count:
            due = min(int((time.monotonic() - begin) * rate) + 1, count)
            while begun < due and len(self.asked) < AT_ONCE:
                self.call()
                begun += 1
            self.turn(STEP)
        self.until(lambda: not self.asked, GRACE)
        self.answers["none"] += len(self.asked)
        waits = sorted(self.waits) or [0.0]
        return dict(self.answers) | {"median": waits[len(waits) // 2], "took": time.monotonic() - begin}

    def call(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        if sock.connect_ex(self.there) not in (0, errno.EINPROGRESS):
            sock.close()
            self.answers["unreachable"] += 1
            return
        self.asked[self.add(sock, select.EPOLLOUT)] = time.monotonic()

    def hear(self, fd: int, mask: int) -> None:
        if mask & select.EPOLLOUT:
            self.next += 1
            self.epoll.modify(fd, select.EPOLLIN)
            if not self.write(fd, b"OPEN %016x %016x c=chat,d=5000\r\n" % (self.next, self.next)):
                self.ended(fd)
            return
        data = self.read(fd)
        if not data:
            self.ended(fd)
            return
        if fd in self.asked:
            self.waits.append(time.monotonic() - self.asked.pop(fd))
            word = data.split(b" ")[0].strip().decode()
            self.answers[word] += 1
            if word == "UP":
                self.standing[fd] = None
            else:
                self.drop(fd)
            return
        *lines, rest = (self.parts.pop(fd, b"") + data).split(b"\r\n")
        if rest:
            self.parts[fd] = rest
        for line in lines:
            if line.startswith(DELIVERED):
                self.delays.append((time.monotonic_ns() - int(line.split(b" ")[1])) / 1e9)
            elif line == b"MOVE":
                self.moved += 1
                self.standing.pop(fd, None)
            else:
                self.lines += not line.startswith(b"LOAD ")

    def ended(self, fd: int) -> None:
        if self.asked.pop(fd, None) is not None:
            self.answers["cut"] += 1
        elif fd in self.standing:
            self.cut += 1
        self.standing.pop(fd, None)
        self.parts.pop(fd, None)
        self.drop(fd)

    def leave(self, count: int) -> int:
        for fd in list(self.standing)[:count]:
            del self.standing[fd]
            self.drop(fd)
        return len(self.standing)

    def beat(self, seconds: float, every: float = BEAT) -> tuple[int, int]:
        """Each that stands says a line every so often; returns lines said and lines that came back."""
        self.lines = said = 0
        order = list(self.standing)
        rate, begin = len(order) / every, time.monotonic()
        while (now := time.monotonic()) < begin + seconds:
            due = int((now - begin) * rate)
            while said < due:
                fd = order[said % len(order)]
                said += 1
                if fd in self.standing:
                    self.write(fd, b"x\r\n")
            self.turn(STEP)
        self.until(lambda: self.lines >= said, GRACE)
        return said, self.lines

    def heard(self, wanted: int) -> tuple[int, list[float]]:
        """Deliveries since this was last asked, once so many have come: how many, and the delays sorted."""
        self.until(lambda: len(self.delays) >= wanted, GRACE)
        delays, self.delays = sorted(self.delays), []
        return len(delays), delays

    def told(self, gone: bool = False) -> tuple[int, int]:
        """How many were moved, and how many cut off; `gone`: once none stands any more."""
        if gone:
            self.until(lambda: not self.standing, GRACE)
        return self.moved, self.cut


def run_servers(pipe: Connection) -> None:
    Servers(pipe).run()


def run_clients(pipe: Connection, port: int) -> None:
    Clients(pipe, port).run()


class Lists(Crowd):
    """A list service for one daemon: answers whole, or what changed; holds a watch until then."""

    def __init__(self, pipe: Connection, entries: int) -> None:
        super().__init__(pipe)
        self.version = 1
        self.rows = [
            {"id": f"s{at}", "addr": "127.0.0.1:8000", "zone": "a", "kind": "m1", "cell": at % 64,
             "state": "SERVING", "weight": 1.0, "started_ms": 0.0} for at in range(entries)
        ]  # fmt: skip
        self.watch = -1
        self.sent = 0  # bytes, heads included
        self.calls = 0

    def open(self) -> int:
        door = socket.create_server(("127.0.0.1", 0))
        door.setblocking(False)
        self.doors[door.fileno()] = door
        self.epoll.register(door.fileno(), select.EPOLLIN)
        return door.getsockname()[1]

    def accept(self, door: socket.socket) -> None:
        self.add(door.accept()[0])

    def hear(self, fd: int, mask: int) -> None:
        data = self.read(fd)
        if not data:
            self.drop(fd)
            return
        self.calls += 1
        target = data.split(b" ")[1].decode()
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
        if int(query.get("index", -1)) >= self.version:
            self.watch = fd
        else:
            self.reply(fd, self.rows, True)

    def reply(self, fd: int, rows: list[dict], full: bool) -> int:
        body = orjson.dumps({"version": self.version, "full": full, "servers": rows})
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        sock = self.socks[fd]
        sock.setblocking(True)
        sock.sendall(data)
        sock.setblocking(False)
        self.sent += len(data)
        return len(data)

    def change(self, count: int, state: str) -> int:
        """Tells the watch of so many changed servers, or of all, whole, with 0; returns the bytes."""
        self.until(lambda: self.watch >= 0, GRACE)
        self.version += 1
        rows = self.rows[:count] if count else self.rows
        for row in rows if count else ():
            row["state"] = state
        fd, self.watch = self.watch, -1
        return self.reply(fd, rows, not count)

    def count(self) -> tuple[int, int]:
        return self.calls, self.sent


def run_lists(pipe: Connection, entries: int) -> None:
    Lists(pipe, entries).run()
