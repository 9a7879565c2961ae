"""A non-blocking connection: a socket with a ring buffer per direction, and callbacks for its events."""

import errno
import os
import socket
import struct

from .loop import READ, WRITE, EventLoop
from .ring import RingBuffer

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with zero seconds: the close sends a reset


class Connection:
    """Reads into `inbound` and writes what `outbound` holds.

    Two connections that pass bytes on share their rings: the one's `inbound` is the other's `outbound`.
    """

    def __init__(self, loop: EventLoop, sock: socket.socket) -> None:
        self.loop = loop
        self.sock = sock
        self.is_open = True
        self.inbound = RingBuffer()
        self.outbound = RingBuffer()
        self.mask = 0
        self.connecting = False
        self.received_eof = False
        self.shutdown_requested = False  # half-close as soon as `outbound` is empty
        self.shutdown_sent = False
        self.discards_input = False  # input is read and dropped
        self.reading_disabled = False  # input is not read at all
        self.partner: Connection | None = None  # the connection that reads into our `outbound`
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.free_descriptors -= 1

    def connect(self, address: tuple[str, int]) -> str:
        """Starts to connect; returns the error if that fails at once, otherwise an empty string."""
        self.connecting = True
        error = self.sock.connect_ex(address)
        return "" if error in (0, errno.EINPROGRESS) else os.strerror(error)

    # Callbacks for subclasses

    def on_connected(self) -> None:
        pass

    def on_data(self, count: int) -> None:
        pass

    def on_eof(self) -> None:
        """The peer has closed its sending side."""

    def on_connection_lost(self) -> None:
        """The connection broke or could not be established."""

    def on_write_error(self) -> None:
        """A write failed: the peer accepts nothing more."""
        self.on_connection_lost()

    def on_output_flushed(self) -> None:
        """All pending output has been written, but for what is held."""

    # Called by the event loop

    def on_ready(self, mask: int) -> None:
        if mask & WRITE and self.is_open:
            if self.connecting:
                if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    self.on_connection_lost()
                    return
                self.connecting = False
                self.on_connected()
            self.flush()
        if mask & READ and self.is_open and not self.connecting:
            self.read()

    def read(self) -> bool:
        """Reads once; returns whether data arrived, in which case more may wait."""
        try:
            if self.discards_input:
                count = len(self.sock.recv(65536))
            elif self.inbound.used >= self.inbound.receive_limit:
                return False
            else:
                count = self.inbound.receive_from(self.sock)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            self.on_connection_lost()
            return False
        if not count:
            self.received_eof = True
            self.update_events()
            self.on_eof()
        elif not self.discards_input:
            self.on_data(count)
            self.update_events()
        return count > 0

    def flush(self) -> None:
        """Writes as much as the socket takes now; the rest follows when it is writable again."""
        if not self.is_open or self.connecting:
            return
        outbound, written = self.outbound, 0
        try:
            while outbound.used > outbound.held and not self.shutdown_sent:
                written += outbound.send_to(self.sock)
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.on_write_error()
            return
        if outbound.used <= outbound.held:
            if self.shutdown_requested and not self.shutdown_sent:
                self.shutdown_sent = True
                try:
                    self.sock.shutdown(socket.SHUT_WR)
                except OSError:
                    self.on_connection_lost()
                    return
            if written:
                self.on_output_flushed()
        self.update_events()
        if written and self.partner is not None:
            self.partner.update_events()

    def update_events(self) -> None:
        """Updates the watched events; reading pauses while the buffer is full (back-pressure)."""
        if not self.is_open:
            return
        mask = 0
        if self.connecting or (self.outbound.used > self.outbound.held and not self.shutdown_sent):
            mask |= WRITE
        if not (self.connecting or self.received_eof or self.reading_disabled) and (
            self.discards_input or self.inbound.used < self.inbound.receive_limit
        ):
            mask |= READ
        self.loop.watch(self.sock, self.mask, mask, self)
        self.mask = mask

    def write(self, data: bytes) -> None:
        self.outbound.append(data)
        self.flush()

    def shutdown_write(self) -> None:
        """Ends the sending side once all pending output, held or not, is written."""
        self.outbound.held = 0
        self.shutdown_requested = True
        self.flush()

    def close(self, reset: bool = False) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self.loop.watch(self.sock, self.mask, 0, self)
        self.mask = 0
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()
        self.loop.free_descriptors += 1
