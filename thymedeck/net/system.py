"""All that the net code asks of the machine beside signals: two clocks, a selector, sockets (docs/lab.md)."""

import os
import selectors
import socket
import time
from collections.abc import Callable
from functools import partial


class System:
    """The machine's own. Another may stand in for it, with sockets that answer to the same calls."""

    monotonic_ns = staticmethod(time.monotonic_ns)
    time_ns = staticmethod(time.time_ns)
    selector = staticmethod(selectors.DefaultSelector)

    @staticmethod
    def stream() -> socket.socket:
        """To connect with."""
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
        """What takes a line of the log, or raises OSError at once; never waits for a reader."""
        os.set_blocking(1, False)
        return partial(os.write, 1)
