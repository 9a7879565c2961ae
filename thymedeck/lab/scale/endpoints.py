"""Stand-in servers, clients and list service of a sweep, thousands of sockets in one process each, on epoll.

They only send and count lines: their own cost is not measured, and must not be the bottleneck. Each runs as a
worker process; a command that it gets through the pipe is the name of one of its methods with arguments.
"""

import errno
import select
import socket
import time
from collections import Counter
from collections.abc import Callable
from multiprocessing.connection import Connection

import orjson

MAX_PENDING = 64  # clients that wait for their answers at the same time
LINE_INTERVAL = 2.0  # seconds between two lines of a client with an established session
POLL_SECONDS = 0.005  # between two rounds of a paced load
DELIVERY_PREFIX = b"D "
GRACE_SECONDS = 5.0  # wait for the last answers or lines


class EpollWorker:
    """An epoll loop that also carries out the commands from the pipe."""

    def __init__(self, pipe: Connection) -> None:
        self.pipe = pipe
        self.epoll = select.epoll()
        self.epoll.register(pipe.fileno(), select.EPOLLIN)
        self.listening: dict[int, socket.socket] = {}
        self.sockets: dict[int, socket.socket] = {}

    def run(self) -> None:
        while True:
            while self.pipe.poll():
                try:
                    command, *arguments = self.pipe.recv()
                except EOFError:
                    return
                self.pipe.send(getattr(self, command)(*arguments))
            self.poll(1.0)

    def poll(self, timeout: float) -> None:
        for fd, mask in self.epoll.poll(timeout):
            if fd in self.listening:
                self.accept(self.listening[fd])
            elif fd in self.sockets:
                self.on_event(fd, mask)

    def add(self, sock: socket.socket, mask: int = select.EPOLLIN) -> int:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sockets[sock.fileno()] = sock
        self.epoll.register(sock.fileno(), mask)
        return sock.fileno()

    def remove(self, fd: int) -> None:
        sock = self.sockets.pop(fd, None)
        if sock is not None:
            self.epoll.unregister(fd)
            sock.close()

    def read(self, fd: int) -> bytes:
        """Returns b"" if the connection has ended or is lost, and if there is nothing to read."""
        try:
            return self.sockets[fd].recv(65536)
        except (BlockingIOError, ConnectionError):
            return b""

    def write(self, fd: int, data: bytes) -> bool:
        """Returns False if the socket buffer is full or the connection is lost; a read finds the loss."""
        try:
            self.sockets[fd].send(data)
        except (BlockingIOError, ConnectionError):
            return False
        return True

    def accept(self, listening_socket: socket.socket) -> None:
        raise NotImplementedError

    def on_event(self, fd: int, mask: int) -> None:
        raise NotImplementedError

    def run_until(self, condition: Callable[[], bool], timeout: float) -> bool:
        end = time.monotonic() + timeout
        while not condition():
            remaining = end - time.monotonic()
            if remaining <= 0:
                return False
            self.poll(min(remaining, 0.02))
        return True


class ServersWorker(EpollWorker):
    """Servers that accept every session and send back every line."""

    def __init__(self, pipe: Connection) -> None:
        super().__init__(pipe)
        self.established: dict[int, None] = {}

    def open(self, count: int) -> list[int]:
        """Opens `count` listening sockets; returns the ports of all."""
        for _ in range(count):
            listening_socket = socket.create_server(("127.0.0.1", 0), backlog=1024)
            listening_socket.setblocking(False)
            self.listening[listening_socket.fileno()] = listening_socket
            self.epoll.register(listening_socket.fileno(), select.EPOLLIN)
        return [listening_socket.getsockname()[1] for listening_socket in self.listening.values()]

    def accept(self, listening_socket: socket.socket) -> None:
        while True:
            try:
                self.add(listening_socket.accept()[0])
            except (BlockingIOError, ConnectionError):
                return

    def on_event(self, fd: int, mask: int) -> None:
        data = self.read(fd)
        if not data:
            self.established.pop(fd, None)
            self.remove(fd)
        elif data.startswith(b"OPEN "):
            self.established[fd] = None
            self.write(fd, b"UP s-1\r\nLOAD 10000\r\n")
        else:
            self.write(fd, data)

    def count(self) -> int:
        return len(self.established)

    def deliver(self, rate: int, seconds: float, size: int) -> tuple[int, float]:
        """Sends lines to the sessions in turn, `rate` per second; returns the number sent and the time."""
        descriptors = list(self.established)
        begin = time.monotonic()
        sent = position = 0
        while (now := time.monotonic()) < begin + seconds:
            due = int((now - begin) * rate)
            while sent < due:
                sent += self.send_line(descriptors[position % len(descriptors)], size)
                position += 1
                if not position % 64:
                    break
            self.poll(POLL_SECONDS if sent >= due else 0)
        return sent, time.monotonic() - begin

    def fan_out(self, size: int) -> tuple[int, float]:
        """Sends a line to each session, as fast as this process can."""
        begin = time.monotonic()
        return sum(self.send_line(fd, size) for fd in list(self.established)), time.monotonic() - begin

    def send_line(self, fd: int, size: int) -> bool:
        head = b"%s%d " % (DELIVERY_PREFIX, time.monotonic_ns())
        return fd in self.sockets and self.write(fd, head.ljust(size - 2, b"x") + b"\r\n")


class ClientsWorker(EpollWorker):
    """The clients of one balancer."""

    def __init__(self, pipe: Connection, port: int) -> None:
        super().__init__(pipe)
        self.balancer = ("127.0.0.1", port)
        self.pending: dict[int, float] = {}  # when each client that has no answer yet began to connect
        self.established: dict[int, None] = {}
        self.partial_lines: dict[int, bytes] = {}
        self.answers: Counter[str] = Counter()
        self.answer_seconds: list[float] = []
        self.moved = 0  # clients that received MOVE
        self.cut_off = 0  # connections that ended without a MOVE
        self.lines = 0
        self.delivery_seconds: list[float] = []
        self.last_id = 0

    def open(self, count: int, rate: int) -> dict:
        """Opens sessions, `rate` per second; returns how often each answer came, and two times in seconds.

        `median` is that of the times from connecting to the answer, `took` the time for all.
        """
        self.answers.clear()
        self.answer_seconds.clear()
        begin, opened = time.monotonic(), 0
        while opened < count:
            due = min(int((time.monotonic() - begin) * rate) + 1, count)
            while opened < due and len(self.pending) < MAX_PENDING:
                self.connect()
                opened += 1
            self.poll(POLL_SECONDS)
        self.run_until(lambda: not self.pending, GRACE_SECONDS)
        self.answers["none"] += len(self.pending)
        waits = sorted(self.answer_seconds) or [0.0]
        return dict(self.answers) | {"median": waits[len(waits) // 2], "took": time.monotonic() - begin}

    def connect(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        if sock.connect_ex(self.balancer) not in (0, errno.EINPROGRESS):
            sock.close()
            self.answers["unreachable"] += 1
            return
        self.pending[self.add(sock, select.EPOLLOUT)] = time.monotonic()

    def on_event(self, fd: int, mask: int) -> None:
        if mask & select.EPOLLOUT:
            self.last_id += 1
            self.epoll.modify(fd, select.EPOLLIN)
            if not self.write(fd, b"OPEN %016x %016x c=chat,d=5000\r\n" % (self.last_id, self.last_id)):
                self.on_end(fd)
            return
        data = self.read(fd)
        if not data:
            self.on_end(fd)
            return
        if fd in self.pending:
            self.answer_seconds.append(time.monotonic() - self.pending.pop(fd))
            word = data.split(b" ")[0].strip().decode()
            self.answers[word] += 1
            if word == "UP":
                self.established[fd] = None
            else:
                self.remove(fd)
            return
        *lines, rest = (self.partial_lines.pop(fd, b"") + data).split(b"\r\n")
        if rest:
            self.partial_lines[fd] = rest
        for line in lines:
            if line.startswith(DELIVERY_PREFIX):
                self.delivery_seconds.append((time.monotonic_ns() - int(line.split(b" ")[1])) / 1e9)
            elif line == b"MOVE":
                self.moved += 1
                self.established.pop(fd, None)
            else:
                self.lines += not line.startswith(b"LOAD ")

    def on_end(self, fd: int) -> None:
        if self.pending.pop(fd, None) is not None:
            self.answers["cut"] += 1
        elif fd in self.established:
            self.cut_off += 1
        self.established.pop(fd, None)
        self.partial_lines.pop(fd, None)
        self.remove(fd)

    def leave(self, count: int) -> int:
        """Closes `count` sessions; returns how many remain."""
        for fd in list(self.established)[:count]:
            del self.established[fd]
            self.remove(fd)
        return len(self.established)

    def send_lines(self, seconds: float, interval: float = LINE_INTERVAL) -> tuple[int, int]:
        """Sends a line on each session once per interval; returns the numbers sent and echoed."""
        self.lines = sent = 0
        descriptors = list(self.established)
        rate, begin = len(descriptors) / interval, time.monotonic()
        while (now := time.monotonic()) < begin + seconds:
            due = int((now - begin) * rate)
            while sent < due:
                fd = descriptors[sent % len(descriptors)]
                sent += 1
                if fd in self.established:
                    self.write(fd, b"x\r\n")
            self.poll(POLL_SECONDS)
        self.run_until(lambda: self.lines >= sent, GRACE_SECONDS)
        return sent, self.lines

    def take_deliveries(self, expected: int) -> tuple[int, list[float]]:
        """Waits for the deliveries since the last call; returns their number and their sorted delays."""
        self.run_until(lambda: len(self.delivery_seconds) >= expected, GRACE_SECONDS)
        delays, self.delivery_seconds = sorted(self.delivery_seconds), []
        return len(delays), delays

    def count_ended(self, wait_for_all: bool = False) -> tuple[int, int]:
        """How many were moved and how many cut off; `wait_for_all`: first waits until no session is left."""
        if wait_for_all:
            self.run_until(lambda: not self.established, GRACE_SECONDS)
        return self.moved, self.cut_off


def run_servers(pipe: Connection) -> None:
    ServersWorker(pipe).run()


def run_clients(pipe: Connection, port: int) -> None:
    ClientsWorker(pipe, port).run()


class ListServiceWorker(EpollWorker):
    """A list service for one daemon: sends the whole list, or holds a watch until servers change."""

    def __init__(self, pipe: Connection, entries: int) -> None:
        super().__init__(pipe)
        self.version = 1
        self.rows = [
            {"id": f"s{index}", "addr": "127.0.0.1:8000", "zone": "a", "kind": "m1", "cell": index % 64,
             "state": "SERVING", "weight": 1.0, "started_ms": 0.0} for index in range(entries)
        ]  # fmt: skip
        self.watch = -1  # descriptor of the waiting request
        self.bytes_sent = 0  # including the HTTP headers
        self.requests = 0

    def open(self) -> int:
        listening_socket = socket.create_server(("127.0.0.1", 0))
        listening_socket.setblocking(False)
        self.listening[listening_socket.fileno()] = listening_socket
        self.epoll.register(listening_socket.fileno(), select.EPOLLIN)
        return listening_socket.getsockname()[1]

    def accept(self, listening_socket: socket.socket) -> None:
        self.add(listening_socket.accept()[0])

    def on_event(self, fd: int, mask: int) -> None:
        data = self.read(fd)
        if not data:
            self.remove(fd)
            return
        self.requests += 1
        target = data.split(b" ")[1].decode()
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
        if int(query.get("index", -1)) >= self.version:
            self.watch = fd
        else:
            self.reply(fd, self.rows, True)

    def reply(self, fd: int, rows: list[dict], full: bool) -> int:
        body = orjson.dumps({"version": self.version, "full": full, "servers": rows})
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        sock = self.sockets[fd]
        sock.setblocking(True)
        sock.sendall(data)
        sock.setblocking(False)
        self.bytes_sent += len(data)
        return len(data)

    def change(self, count: int, state: str) -> int:
        """Answers the watch with `count` changed servers, 0: with the whole list; returns the bytes sent."""
        self.run_until(lambda: self.watch >= 0, GRACE_SECONDS)
        self.version += 1
        rows = self.rows[:count] if count else self.rows
        for row in rows if count else ():
            row["state"] = state
        fd, self.watch = self.watch, -1
        return self.reply(fd, rows, not count)

    def count(self) -> tuple[int, int]:
        """Requests received and bytes sent."""
        return self.requests, self.bytes_sent


def run_list_service(pipe: Connection, entries: int) -> None:
    ListServiceWorker(pipe, entries).run()
