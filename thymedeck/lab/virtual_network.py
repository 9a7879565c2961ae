"""A simulated network in virtual time: a clock, an event queue, and in-memory sockets for the net code.

Time advances only in `run`, from one event or timer to the next; events that are due at the same time run in
the order in which they were scheduled. Nothing here depends on what a balancer is.
"""

import errno
import heapq
import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from ..net.loop import READ, WRITE, EventLoop
from .faults import FaultInjector

Address = tuple[str, int]
BUFFER_BYTES = 65536  # unread bytes per direction of a connection before the sender has to wait
START_NS = 1_000_000_000_000
RETRY_NS = 50_000_000  # interval at which stream data held back by a cut is retried


class SelectorKey(NamedTuple):
    """Like `selectors.SelectorKey`, with the one field that the net code reads."""

    data: Any  # noqa: ANN401 (whatever was registered)


class VirtualNetwork:
    """The clock, the event queue, all addresses in use, and the event loops that run on them."""

    def __init__(self, delay_ns: int) -> None:
        self.now_ns = START_NS
        self.delay_ns = delay_ns  # one way, between any two machines
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.event_count = 0
        self.listening_sockets: dict[Address, MemorySocket] = {}
        self.loops: list[EventLoop] = []
        self.isolated_hosts: set[str] = set()  # nothing is delivered from or to these
        self.datagram_sockets: dict[Address, MemoryDatagramSocket] = {}
        self.faults: FaultInjector | None = None  # between machines, by the names of their hosts
        self.host_names: dict[str, str] = {}  # party names by host
        self.frozen_loops: set[EventLoop] = set()  # loops that do not run; their timers fire late

    def after(self, wait_ns: int, call: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now_ns + wait_ns, self.event_count, call))

    def run(self, duration_ns: int) -> None:
        end = self.now_ns + duration_ns
        while True:
            active = [loop for loop in self.loops if loop not in self.frozen_loops]
            for loop in active:
                while loop.running and (
                    loop.selector.may_be_ready or self.next_timer_ns(loop) <= self.now_ns
                ):
                    loop.run_once()
            times = [self.next_timer_ns(loop) for loop in active if loop.running]
            if self.events:
                times.append(self.events[0][0])
            due = min(times, default=end + 1)
            if due > end:
                self.now_ns = end
                return
            self.now_ns = max(due, self.now_ns)
            while self.events and self.events[0][0] <= self.now_ns:
                heapq.heappop(self.events)[2]()

    def now(self) -> int:
        """Returns tenths of a millisecond since the start."""
        return (self.now_ns - START_NS) // 100_000

    def name_of(self, host: str) -> str:
        return self.host_names.get(host, host)

    @staticmethod
    def next_timer_ns(loop: EventLoop) -> int:
        """When the loop's next timer is due, in ns; loops set timers in whole tenths of a millisecond."""
        while loop.timers and loop.timers[0][2].callback is None:
            heapq.heappop(loop.timers)
        return loop.timers[0][0] * 100_000 if loop.timers else 1 << 62


class Machine:
    """Replaces `net.system.System`: one machine of the network, with its own log."""

    def __init__(self, network: VirtualNetwork, host: str) -> None:
        self.network = network
        self.host = host
        self.log_lines: list[bytes] = []
        self.last_port = 40_000
        self.open_sockets: dict[MemorySocket, None] = {}

    def monotonic_ns(self) -> int:
        return self.network.now_ns

    time_ns = monotonic_ns

    def selector(self) -> "MemorySelector":
        return MemorySelector()

    def stream(self) -> "MemorySocket":
        self.last_port += 1
        return self.adopt(MemorySocket(self.network, (self.host, self.last_port)))

    def adopt(self, sock: "MemorySocket") -> "MemorySocket":
        """Registers a socket as open on this machine."""
        self.open_sockets[sock] = None
        sock.machine = self
        return sock

    def crash(self) -> None:
        """Closes everything at once as the kernel does for a killed process; connections are reset."""
        for sock in list(self.open_sockets):
            sock.reset_on_close = True
            sock.close()
        for address in [bound for bound in self.network.datagram_sockets if bound[0] == self.host]:
            self.network.datagram_sockets[address].close()

    def listen(self, address: Address, backlog: int) -> "MemorySocket":
        if address in self.network.listening_sockets:
            raise OSError(errno.EADDRINUSE, "address in use")
        listening = self.network.listening_sockets[address] = self.adopt(MemorySocket(self.network, address))
        listening.accept_queue = []
        return listening

    def datagram(self, address: Address) -> "MemoryDatagramSocket":
        if address in self.network.datagram_sockets:
            raise OSError(errno.EADDRINUSE, "address in use")
        sock = self.network.datagram_sockets[address] = MemoryDatagramSocket(self.network, address)
        return sock

    def log(self) -> Callable[[bytes], None]:
        return self.log_lines.append


class MemorySelector:
    def __init__(self) -> None:
        self.may_be_ready = False  # a socket changed since the last select, or was ready in it
        self.registered: dict[MemorySocket, tuple[int, Any]] = {}

    def register(self, sock: "MemorySocket", mask: int, data: Any) -> None:  # noqa: ANN401
        self.registered[sock] = (mask, data)
        sock.selector = self
        self.may_be_ready = True

    modify = register

    def unregister(self, sock: "MemorySocket") -> None:
        del self.registered[sock]
        sock.selector = None

    def select(self, wait: float | None) -> list[tuple[SelectorKey, int]]:
        """Polls without waiting; `VirtualNetwork.run` advances the time."""
        found = []
        for sock, (mask, data) in self.registered.items():
            if ready := mask & sock.ready_mask():
                found.append((SelectorKey(data), ready))
        self.may_be_ready = bool(found)
        return found


class MemoryDatagramSocket:
    """A datagram socket; datagrams are dropped while MAX_QUEUED of them wait to be read."""

    MAX_QUEUED = 512

    def __init__(self, network: VirtualNetwork, address: Address) -> None:
        self.network = network
        self.address = address
        self.selector: MemorySelector | None = None
        self.receive_queue: deque[bytes] = deque()
        self.closed = False

    def ready_mask(self) -> int:
        return READ if self.receive_queue else 0

    def sendto(self, data: bytes, address: Address) -> int:
        network = self.network
        deliveries = [(0, data)]
        if network.faults is not None:
            source, target = network.name_of(self.address[0]), network.name_of(address[0])
            deliveries = network.faults.deliveries(network.now(), source, target, data)
        for delay, copy in deliveries:
            network.after(network.delay_ns + delay * 100_000, partial(self.deliver, address, copy))
        return len(data)

    def deliver(self, address: Address, data: bytes) -> None:
        receiver = self.network.datagram_sockets.get(address)
        if (
            receiver is None
            or self.network.isolated_hosts & {self.address[0], address[0]}
            or len(receiver.receive_queue) >= self.MAX_QUEUED
        ):
            return
        receiver.receive_queue.append(data)
        if receiver.selector is not None:
            receiver.selector.may_be_ready = True

    def recv(self, size: int) -> bytes:
        if not self.receive_queue:
            raise BlockingIOError
        return self.receive_queue.popleft()[:size]

    def fileno(self) -> int:
        return -1 if self.closed else 0

    def setblocking(self, blocking: bool) -> None:
        pass

    def getsockname(self) -> Address:
        return self.address

    def close(self) -> None:
        self.closed = True
        self.network.datagram_sockets.pop(self.address, None)


class MemorySocket:
    """One end of a stream, or a listening socket, with the calls that the net code uses and their errors."""

    def __init__(self, network: VirtualNetwork, address: Address) -> None:
        self.network = network
        self.address = address
        self.selector: MemorySelector | None = None
        self.machine: Machine | None = None
        self.remote: MemorySocket | None = None
        self.accept_queue: list[MemorySocket] | None = None  # only of a listening socket
        self.receive_buffer = bytearray()
        self.unread_bytes = 0  # sent, but not yet read by the remote end
        self.error = 0
        self.remote_ended = False  # the remote end has shut down its sending, and all its data is here
        self.write_shut = False
        self.connecting = False
        self.closed = False
        self.reset_on_close = False
        self.last_arrival_ns = 0  # when the last thing sent arrives

    def ready_mask(self) -> int:
        if self.accept_queue is not None:
            return READ if self.accept_queue else 0
        if self.error:
            return READ | WRITE
        mask = READ if self.receive_buffer or self.remote_ended else 0
        return (
            mask | WRITE
            if self.remote is not None and not self.connecting and self.unread_bytes < BUFFER_BYTES
            else mask
        )

    def touch(self) -> None:
        """Tells the selector that the readiness of this socket may have changed."""
        if self.selector is not None:
            self.selector.may_be_ready = True

    def schedule_at_remote(self, call: Callable[[], None], remote_host: str) -> None:
        """Schedules the effect of an operation at the remote end, in order, after the one-way delay.

        It is dropped if either host is isolated when it is due. A cut by `faults` only delays it until the
        cut is over, as retransmission does on a real stream.
        """
        network = self.network
        source, target = network.name_of(self.address[0]), network.name_of(remote_host)

        def arrive() -> None:
            if network.isolated_hosts & {self.address[0], remote_host}:
                return
            if network.faults is not None and network.faults.is_cut(network.now(), source, target):
                network.after(RETRY_NS, arrive)
                return
            call()

        wait = network.delay_ns
        if network.faults is not None:
            wait += network.faults.stream_delay(network.now(), source, target) * 100_000
        self.last_arrival_ns = max(self.last_arrival_ns, network.now_ns + wait)
        network.after(self.last_arrival_ns - network.now_ns, arrive)

    def connect_ex(self, address: Address) -> int:
        self.connecting = True
        self.schedule_at_remote(lambda: self.handle_connect(address), address[0])
        return errno.EINPROGRESS

    def handle_connect(self, address: Address) -> None:
        """Handles this socket's connection request at the address that it connects to."""
        listening = self.network.listening_sockets.get(address)
        if self.closed:
            return
        if listening is None:
            self.schedule_at_remote(lambda: self.set_error(errno.ECONNREFUSED), address[0])
            return
        accepted = MemorySocket(self.network, address)
        accepted.remote = self
        listening.accept_queue.append(accepted)
        listening.touch()
        accepted.schedule_at_remote(lambda: self.finish_connect(accepted), self.address[0])

    def finish_connect(self, remote: "MemorySocket") -> None:
        self.connecting = False
        self.remote = remote
        self.touch()

    def accept(self) -> tuple["MemorySocket", Address]:
        if not self.accept_queue:
            raise BlockingIOError
        accepted = self.accept_queue.pop(0)
        if self.machine is not None:
            self.machine.adopt(accepted)
        return accepted, accepted.remote.address

    def set_error(self, error: int) -> None:
        if not self.closed:
            self.error = error
            self.touch()

    def raise_error(self) -> None:
        if self.error:
            raise OSError(self.error, "connection failed")

    def sendmsg(self, parts: list[memoryview]) -> int:
        self.raise_error()
        data = b"".join(parts)[: BUFFER_BYTES - self.unread_bytes]
        if not data:
            raise BlockingIOError
        remote = self.remote
        self.unread_bytes += len(data)
        self.schedule_at_remote(lambda: remote.receive(data), remote.address[0])
        return len(data)

    def receive(self, data: bytes) -> None:
        if self.closed:
            self.schedule_at_remote(lambda: self.remote.set_error(errno.ECONNRESET), self.remote.address[0])
        else:
            self.receive_buffer += data
            self.touch()

    def recvmsg_into(self, parts: list[memoryview]) -> tuple[int, list, int, None]:
        data = self.recv(sum(len(part) for part in parts))
        done = 0
        for part in parts:
            piece = data[done : done + len(part)]
            part[: len(piece)] = piece
            done += len(piece)
        return done, [], 0, None

    def recv(self, size: int) -> bytes:
        self.raise_error()
        data = bytes(self.receive_buffer[:size])
        if not data:
            if self.remote_ended:
                return b""
            raise BlockingIOError
        del self.receive_buffer[:size]
        if self.remote is not None:
            self.remote.unread_bytes -= len(data)
            self.remote.touch()
        return data

    def shutdown(self, how: int) -> None:
        self.raise_error()
        if not self.write_shut:
            self.write_shut = True
            remote = self.remote
            self.schedule_at_remote(remote.receive_end, remote.address[0])

    def receive_end(self) -> None:
        self.remote_ended = True
        self.touch()

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        if self.machine is not None:
            self.machine.open_sockets.pop(self, None)
        if self.accept_queue is not None:
            del self.network.listening_sockets[self.address]
            for accepted in self.accept_queue:
                accepted.reset_on_close = True
                accepted.close()
        elif self.remote is not None and not self.error:
            remote = self.remote
            if self.reset_on_close or self.receive_buffer:
                self.schedule_at_remote(lambda: remote.set_error(errno.ECONNRESET), remote.address[0])
            elif not self.write_shut:
                self.schedule_at_remote(remote.receive_end, remote.address[0])

    def setsockopt(self, level: int, name: int, value: int | bytes) -> None:
        if (level, name) == (socket.SOL_SOCKET, socket.SO_LINGER):
            self.reset_on_close = True

    def getsockopt(self, level: int, name: int) -> int:
        return self.error

    def setblocking(self, blocking: bool) -> None:
        pass

    def getsockname(self) -> Address:
        return self.address
