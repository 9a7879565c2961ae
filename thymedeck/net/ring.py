"""A ring buffer of fixed size, filled from one socket and emptied into another."""

import socket

SIZE = 8192  # two of the longest lines: small, as every connection has one a direction


class Ring:
    __slots__ = ("at", "held", "size", "view")

    def __init__(self, size: int = SIZE) -> None:
        self.size = size
        self.view: memoryview | None = None  # Guards against memory for peers that never say a thing.
        self.at = 0
        self.held = 0

    @property
    def room(self) -> int:
        return self.size - self.held

    def parts(self, start: int, length: int) -> list[memoryview]:
        """The one or two stretches that hold so many bytes from this place on."""
        if self.view is None:
            self.view = memoryview(bytearray(self.size))
        start %= self.size
        end = start + length
        if end <= self.size:
            return [self.view[start:end]]
        return [self.view[start:], self.view[: end - self.size]]

    def fill(self, sock: socket.socket) -> int:
        """Reads what there is room for; 0 is the end of the connection."""
        got = sock.recvmsg_into(self.parts(self.at + self.held, self.room))[0]
        self.held += got
        return got

    def empty(self, sock: socket.socket) -> int:
        sent = sock.sendmsg(self.parts(self.at, self.held))
        self.skip(sent)
        return sent

    def put(self, data: bytes) -> bool:
        """Adds all of it or nothing."""
        if len(data) > self.room:
            return False
        done = 0
        for part in self.parts(self.at + self.held, len(data)):
            part[:] = data[done : done + len(part)]
            done += len(part)
        self.held += len(data)
        return True

    def copy(self, offset: int, length: int) -> bytes:
        return b"".join(self.parts(self.at + offset, length))

    def take(self) -> bytes:
        """All that is held, out of the ring."""
        data = self.copy(0, self.held)
        self.skip(len(data))
        return data

    def newest(self, length: int) -> bytes:
        return self.copy(self.held - length, length)

    def skip(self, length: int) -> None:
        self.at = (self.at + length) % self.size
        self.held -= length
