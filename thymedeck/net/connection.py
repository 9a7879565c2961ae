"""A connection: a socket with a ring buffer a direction, and callbacks for what happens to it."""

import errno
import os
import socket
import struct

from .loop import READ, WRITE, Loop
from .ring import Ring

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Connection:
    """What is read comes into `inbound`, what `outbound` holds is written.

    Two connections that pass bytes on share their rings: the one's `inbound` is the other's `outbound`.
    """

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.loop = loop
        self.sock = sock
        self.open = True
        self.inbound = Ring()
        self.outbound = Ring()
        self.mask = 0
        self.connecting = False
        self.heard_end = False
        self.end_wanted = False  # our sending ends once the ring is empty
        self.end_sent = False
        self.deaf = False  # what comes is no longer wanted
        self.mute = False  # and is not even read
        self.partner: Connection | None = None  # reads into our `outbound`
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.free -= 1

    def connect(self, address: tuple[str, int]) -> str:
        """Begins to connect; returns why that failed at once, if it did."""
        self.connecting = True
        failed = self.sock.connect_ex(address)
        return "" if failed in (0, errno.EINPROGRESS) else os.strerror(failed)

    # Callbacks, for the kinds of connection to fill in

    def on_up(self) -> None:
        pass

    def on_bytes(self, count: int) -> None:
        pass

    def on_end(self) -> None:
        """The other side has ended its sending."""

    def on_broken(self) -> None:
        """The connection is gone, or never came up."""

    def on_unwritable(self) -> None:
        """The other side takes nothing more."""
        self.on_broken()

    def on_emptied(self) -> None:
        """All that was to be written is written."""

    # Called by the loop

    def ready(self, mask: int) -> None:
        if mask & WRITE and self.open:
            if self.connecting:
                if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    self.on_broken()
                    return
                self.connecting = False
                self.on_up()
            self.flush()
        if mask & READ and self.open and not self.connecting:
            self.read()

    def read(self) -> bool:
        """Whether something came, so that more may wait."""
        try:
            if self.deaf:
                count = len(self.sock.recv(65536))
            elif not self.inbound.room:
                return False
            else:
                count = self.inbound.fill(self.sock)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            self.on_broken()
            return False
        if not count:
            self.heard_end = True
            self.await_more()
            self.on_end()
        elif not self.deaf:
            self.on_bytes(count)
            self.await_more()
        return count > 0

    def flush(self) -> None:
        """Writes what can be written now; the rest goes when the socket takes more."""
        if not self.open or self.connecting:
            return
        wrote = 0
        try:
            while self.outbound.held and not self.end_sent:
                wrote += self.outbound.empty(self.sock)
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.on_unwritable()
            return
        if not self.outbound.held:
            if self.end_wanted and not self.end_sent:
                self.end_sent = True
                try:
                    self.sock.shutdown(socket.SHUT_WR)
                except OSError:
                    self.on_broken()
                    return
            if wrote:
                self.on_emptied()
        self.await_more()
        if wrote and self.partner is not None:
            self.partner.await_more()

    def await_more(self) -> None:
        """Reads on only while there is room: a full ring holds the sender back."""
        if not self.open:
            return
        mask = 0
        if self.connecting or (self.outbound.held and not self.end_sent):
            mask |= WRITE
        if not (self.connecting or self.heard_end or self.mute) and (self.deaf or self.inbound.room):
            mask |= READ
        self.loop.watch(self.sock, self.mask, mask, self)
        self.mask = mask

    def say(self, data: bytes) -> None:
        self.outbound.put(data)
        self.flush()

    def end_sending(self) -> None:
        self.end_wanted = True
        self.flush()

    def close(self, reset: bool = False) -> None:
        if not self.open:
            return
        self.open = False
        self.loop.watch(self.sock, self.mask, 0, self)
        self.mask = 0
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()
        self.loop.free += 1
