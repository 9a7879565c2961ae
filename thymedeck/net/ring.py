"""A ring buffer of fixed size, filled from one socket and drained into another."""

import socket

DEFAULT_SIZE = 8192  # two of the longest lines; small, as every connection has one per direction
# `receive_from` leaves this many bytes free, so that a short line can always be appended.
APPEND_RESERVE = 16


class RingBuffer:
    __slots__ = ("start_position", "used", "held", "size", "receive_limit", "memory")

    def __init__(self, size: int = DEFAULT_SIZE) -> None:
        self.size = size
        self.receive_limit = size - APPEND_RESERVE  # `receive_from` fills it up to here
        self.memory: memoryview | None = None  # allocated on first use: many peers never send anything
        self.start_position = 0
        self.used = 0
        self.held = 0  # bytes at the end that `send_to` does not send yet

    @property
    def free_space(self) -> int:
        return self.size - self.used

    def segments(self, start: int, length: int) -> list[memoryview]:
        """The one or two segments that hold `length` bytes from `start` on."""
        if self.memory is None:
            self.memory = memoryview(bytearray(self.size))
        start %= self.size
        end = start + length
        if end <= self.size:
            return [self.memory[start:end]]
        return [self.memory[start:], self.memory[: end - self.size]]

    def receive_from(self, sock: socket.socket) -> int:
        """Reads up to `receive_limit`; returns the number of bytes, 0 at the end of the stream."""
        free = self.receive_limit - self.used
        received = sock.recvmsg_into(self.segments(self.start_position + self.used, free))[0]
        self.used += received
        return received

    def send_to(self, sock: socket.socket) -> int:
        sent = sock.sendmsg(self.segments(self.start_position, self.used - self.held))
        self.discard(sent)
        return sent

    def append(self, data: bytes) -> bool:
        """Appends all of the data or, without enough space, nothing."""
        if len(data) > self.free_space:
            return False
        done = 0
        for segment in self.segments(self.start_position + self.used, len(data)):
            segment[:] = data[done : done + len(segment)]
            done += len(segment)
        self.used += len(data)
        return True

    def peek(self, offset: int, length: int) -> bytes:
        return b"".join(self.segments(self.start_position + offset, length))

    def read_all(self) -> bytes:
        """Returns and removes all data."""
        data = self.peek(0, self.used)
        self.discard(len(data))
        return data

    def peek_last(self, length: int) -> bytes:
        return self.peek(self.used - length, length)

    def drop_last(self, length: int) -> None:
        """Removes the last bytes, those held among them; `length` is at least `held`."""
        self.used -= length
        self.held = 0

    def discard(self, length: int) -> None:
        self.start_position = (self.start_position + length) % self.size
        self.used -= length
