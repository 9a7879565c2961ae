"""What the network code uses of the operating system, except signals: clocks, selector, sockets and log.

The lab replaces it (docs/lab.md).
"""

import os
import selectors
import socket
import time
from collections.abc import Callable
from functools import partial


class System:
    """The real system; tests and the lab substitute their own with sockets that support the same calls."""

    monotonic_ns = staticmethod(time.monotonic_ns)
    time_ns = staticmethod(time.time_ns)
    selector = staticmethod(selectors.DefaultSelector)

    @staticmethod
    def stream() -> socket.socket:
        """A TCP socket for an outgoing connection."""
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    @staticmethod
    def listen(address: tuple[str, int], backlog: int) -> socket.socket:
        return socket.create_server(address, backlog=backlog)

    @staticmethod
    def datagram(address: tuple[str, int]) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        return sock

    @staticmethod
    def log() -> Callable[[bytes], int]:
        """A function that writes a log line or raises OSError at once; it never blocks."""
        os.set_blocking(1, False)
        return partial(os.write, 1)
