"""A world in virtual time: its clock, its event heap, and sockets in memory that the net code takes as real.

Time passes only in `run`, from one event or timer to the next; what is due together comes in the order in
which it was asked for. Nothing here knows what a balancer is.
"""

import errno
import heapq
import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from ..net.loop import READ, WRITE, EventLoop
from .faults import Faults

Address = tuple[str, int]
BUFFER = 65536  # bytes that wait on one way of a connection before its sender is held back
START_NS = 1_000_000_000_000
AGAIN_NS = 50_000_000  # what is held back on a cut way is tried again after this


class Key(NamedTuple):
    data: Any  # noqa: ANN401 (whatever was registered)


class World:
    def __init__(self, delay_ns: int) -> None:
        self.now_ns = START_NS
        self.delay_ns = delay_ns  # from any machine to any other
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.doors: dict[Address, MemorySocket] = {}
        self.loops: list[EventLoop] = []
        self.cut: set[str] = set()  # machines that nothing comes from or gets to
        self.datagrams: dict[Address, MemoryDatagrams] = {}
        self.faults: Faults | None = None  # between machines, by the names of their hosts
        self.names: dict[str, str] = {}  # by host
        self.frozen: set[EventLoop] = set()  # loops that do not turn; their timers come late

    def after(self, wait_ns: int, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (self.now_ns + wait_ns, self.count, call))

    def run(self, for_ns: int) -> None:
        end = self.now_ns + for_ns
        while True:
            awake = [loop for loop in self.loops if loop not in self.frozen]
            for loop in awake:
                while loop.running and (loop.selector.touched or self.timer_ns(loop) <= self.now_ns):
                    loop.run_once()
            times = [self.timer_ns(loop) for loop in awake if loop.running]
            if self.heap:
                times.append(self.heap[0][0])
            due = min(times, default=end + 1)
            if due > end:
                self.now_ns = end
                return
            self.now_ns = max(due, self.now_ns)
            while self.heap and self.heap[0][0] <= self.now_ns:
                heapq.heappop(self.heap)[2]()

    def now(self) -> int:
        """Tenths of a millisecond since the world began."""
        return (self.now_ns - START_NS) // 100_000

    def name_of(self, host: str) -> str:
        return self.names.get(host, host)

    @staticmethod
    def timer_ns(loop: EventLoop) -> int:
        """When the loop's next timer is due, in the loop's own whole tenths of a millisecond."""
        while loop.timers and loop.timers[0][2].callback is None:
            heapq.heappop(loop.timers)
        return loop.timers[0][0] * 100_000 if loop.timers else 1 << 62


class Machine:
    """Stands in for `net.system.System`: one machine of the world, with a log of its own."""

    def __init__(self, world: World, host: str) -> None:
        self.world = world
        self.host = host
        self.lines: list[bytes] = []
        self.ports = 40_000
        self.sockets: dict[MemorySocket, None] = {}  # open ones

    def monotonic_ns(self) -> int:
        return self.world.now_ns

    time_ns = monotonic_ns

    def selector(self) -> "MemorySelector":
        return MemorySelector()

    def stream(self) -> "MemorySocket":
        self.ports += 1
        return self.own(MemorySocket(self.world, (self.host, self.ports)))

    def own(self, sock: "MemorySocket") -> "MemorySocket":
        self.sockets[sock] = None
        sock.machine = self
        return sock

    def die(self) -> None:
        """All at once and without a word of its own: what is open is reset, as by the kernel."""
        for sock in list(self.sockets):
            sock.reset_on_close = True
            sock.close()
        for address in [one for one in self.world.datagrams if one[0] == self.host]:
            self.world.datagrams[address].close()

    def listen(self, address: Address, backlog: int) -> "MemorySocket":
        if address in self.world.doors:
            raise OSError(errno.EADDRINUSE, "address in use")
        door = self.world.doors[address] = self.own(MemorySocket(self.world, address))
        door.waiting = []
        return door

    def datagram(self, address: Address) -> "MemoryDatagrams":
        if address in self.world.datagrams:
            raise OSError(errno.EADDRINUSE, "address in use")
        sock = self.world.datagrams[address] = MemoryDatagrams(self.world, address)
        return sock

    def log(self) -> Callable[[bytes], None]:
        return self.lines.append


class MemorySelector:
    def __init__(self) -> None:
        self.touched = False  # something may be ready: it changed, or was, at the last look
        self.watched: dict[MemorySocket, tuple[int, Any]] = {}

    def register(self, sock: "MemorySocket", mask: int, data: Any) -> None:  # noqa: ANN401
        self.watched[sock] = (mask, data)
        sock.selector = self
        self.touched = True

    modify = register

    def unregister(self, sock: "MemorySocket") -> None:
        del self.watched[sock]
        sock.selector = None

    def select(self, wait: float | None) -> list[tuple[Key, int]]:
        """Looks and does not wait: the world does."""
        found = []
        for sock, (mask, data) in self.watched.items():
            if hit := mask & sock.can():
                found.append((Key(data), hit))
        self.touched = bool(found)
        return found


class MemoryDatagrams:
    """A socket for datagrams; what nobody takes is lost once so many wait."""

    MOST = 512

    def __init__(self, world: World, name: Address) -> None:
        self.world = world
        self.name = name
        self.selector: MemorySelector | None = None
        self.inbox: deque[bytes] = deque()
        self.closed = False

    def can(self) -> int:
        return READ if self.inbox else 0

    def sendto(self, data: bytes, address: Address) -> int:
        world = self.world
        fates = [(0, data)]
        if world.faults is not None:
            source, target = world.name_of(self.name[0]), world.name_of(address[0])
            fates = world.faults.fates(world.now(), source, target, data)
        for delay, copy in fates:
            world.after(world.delay_ns + delay * 100_000, partial(self.arrive, address, copy))
        return len(data)

    def arrive(self, address: Address, data: bytes) -> None:
        there = self.world.datagrams.get(address)
        if there is None or self.world.cut & {self.name[0], address[0]} or len(there.inbox) >= self.MOST:
            return
        there.inbox.append(data)
        if there.selector is not None:
            there.selector.touched = True

    def recv(self, most: int) -> bytes:
        if not self.inbox:
            raise BlockingIOError
        return self.inbox.popleft()[:most]

    def fileno(self) -> int:
        return -1 if self.closed else 0

    def setblocking(self, blocking: bool) -> None:
        pass

    def getsockname(self) -> Address:
        return self.name

    def close(self) -> None:
        self.closed = True
        self.world.datagrams.pop(self.name, None)


class MemorySocket:
    """One end of a connection, or a listening socket: the calls that the net code makes, and their errors."""

    def __init__(self, world: World, name: Address) -> None:
        self.world = world
        self.name = name
        self.selector: MemorySelector | None = None
        self.machine: Machine | None = None
        self.far: MemorySocket | None = None
        self.waiting: list[MemorySocket] | None = None  # of a listening socket: not yet accepted
        self.inbox = bytearray()
        self.under_way = 0  # bytes sent that the other side has not taken yet
        self.error = 0
        self.ended = False  # the other side has ended its sending, and all of it is here
        self.shut = False
        self.connecting = False
        self.closed = False
        self.reset_on_close = False
        self.arrives_ns = 0  # the last of what went out gets there then

    def can(self) -> int:
        if self.waiting is not None:
            return READ if self.waiting else 0
        if self.error:
            return READ | WRITE
        mask = READ if self.inbox or self.ended else 0
        return (
            mask | WRITE if self.far is not None and not self.connecting and self.under_way < BUFFER else mask
        )

    def touch(self) -> None:
        if self.selector is not None:
            self.selector.touched = True

    def carry(self, call: Callable[[], None], far: str) -> None:
        """What this end does reaches the other a way's time later, in order, unless the way is cut.

        What a cut by `faults` holds back comes once it has healed, as a stream sends again what is lost.
        """
        world = self.world
        source, target = world.name_of(self.name[0]), world.name_of(far)

        def arrive() -> None:
            if world.cut & {self.name[0], far}:
                return
            if world.faults is not None and world.faults.is_cut(world.now(), source, target):
                world.after(AGAIN_NS, arrive)
                return
            call()

        wait = world.delay_ns
        if world.faults is not None:
            wait += world.faults.delay(world.now(), source, target) * 100_000
        self.arrives_ns = max(self.arrives_ns, world.now_ns + wait)
        world.after(self.arrives_ns - world.now_ns, arrive)

    def connect_ex(self, address: Address) -> int:
        self.connecting = True
        self.carry(lambda: self.knock(address), address[0])
        return errno.EINPROGRESS

    def knock(self, address: Address) -> None:
        door = self.world.doors.get(address)
        if self.closed:
            return
        if door is None:
            self.carry(lambda: self.fail(errno.ECONNREFUSED), address[0])
            return
        near = MemorySocket(self.world, address)
        near.far = self
        door.waiting.append(near)
        door.touch()
        near.carry(lambda: self.joined(near), self.name[0])

    def joined(self, near: "MemorySocket") -> None:
        self.connecting = False
        self.far = near
        self.touch()

    def accept(self) -> tuple["MemorySocket", Address]:
        if not self.waiting:
            raise BlockingIOError
        near = self.waiting.pop(0)
        if self.machine is not None:
            self.machine.own(near)
        return near, near.far.name

    def fail(self, error: int) -> None:
        if not self.closed:
            self.error = error
            self.touch()

    def raise_error(self) -> None:
        if self.error:
            raise OSError(self.error, "failed")

    def sendmsg(self, parts: list[memoryview]) -> int:
        self.raise_error()
        data = b"".join(parts)[: BUFFER - self.under_way]
        if not data:
            raise BlockingIOError
        far = self.far
        self.under_way += len(data)
        self.carry(lambda: far.take(data), far.name[0])
        return len(data)

    def take(self, data: bytes) -> None:
        if self.closed:
            self.carry(lambda: self.far.fail(errno.ECONNRESET), self.far.name[0])
        else:
            self.inbox += data
            self.touch()

    def recvmsg_into(self, parts: list[memoryview]) -> tuple[int, list, int, None]:
        data = self.recv(sum(len(part) for part in parts))
        done = 0
        for part in parts:
            piece = data[done : done + len(part)]
            part[: len(piece)] = piece
            done += len(piece)
        return done, [], 0, None

    def recv(self, most: int) -> bytes:
        self.raise_error()
        data = bytes(self.inbox[:most])
        if not data:
            if self.ended:
                return b""
            raise BlockingIOError
        del self.inbox[:most]
        if self.far is not None:
            self.far.under_way -= len(data)
            self.far.touch()
        return data

    def shutdown(self, how: int) -> None:
        self.raise_error()
        if not self.shut:
            self.shut = True
            far = self.far
            self.carry(far.end, far.name[0])

    def end(self) -> None:
        self.ended = True
        self.touch()

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        if self.machine is not None:
            self.machine.sockets.pop(self, None)
        if self.waiting is not None:
            del self.world.doors[self.name]
            for near in self.waiting:
                near.reset_on_close = True
                near.close()
        elif self.far is not None and not self.error:
            far = self.far
            if self.reset_on_close or self.inbox:
                self.carry(lambda: far.fail(errno.ECONNRESET), far.name[0])
            elif not self.shut:
                self.carry(far.end, far.name[0])

    def setsockopt(self, level: int, name: int, value: int | bytes) -> None:
        if (level, name) == (socket.SOL_SOCKET, socket.SO_LINGER):
            self.reset_on_close = True

    def getsockopt(self, level: int, name: int) -> int:
        return self.error

    def setblocking(self, blocking: bool) -> None:
        pass

    def getsockname(self) -> Address:
        return self.name
