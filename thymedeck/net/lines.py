"""Splits byte streams into lines that end with CRLF."""

from collections.abc import Iterator

from .ring import RingBuffer

MAX_LINE_LENGTH = 4096
PRINTABLE = bytes(range(0x21, 0x7F))


def is_printable_word(word: bytes) -> bool:
    """Whether the word is not empty and consists of printable ASCII characters without spaces."""
    return bool(word) and not word.translate(None, PRINTABLE)


class LineTooLong(Exception):
    """No line end within MAX_LINE_LENGTH bytes."""


def peek_line(ring: RingBuffer) -> bytes | None:
    """The first line including its end, left in the buffer; None while it is incomplete."""
    data = ring.peek(0, min(ring.used, MAX_LINE_LENGTH + 2))
    end = data.find(b"\n")
    if end < 0:
        if len(data) >= MAX_LINE_LENGTH:
            raise LineTooLong
        return None
    return data[: end + 1]


class LineSplitter:
    """Splits relayed bytes into lines; the bytes themselves stay where they are."""

    __slots__ = ("partial", "partial_length")

    def __init__(self) -> None:
        self.partial = b""  # the current line so far
        self.partial_length = 0  # its length, also where it is overlong and only its last part is kept

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yields the lines that end within these bytes; of an overlong line only the last part is kept."""
        if b"\n" not in data:
            self.partial = (self.partial + data)[-MAX_LINE_LENGTH:]
            self.partial_length += len(data)
            return
        *lines, rest = (self.partial + data).split(b"\n")
        self.partial = rest[-MAX_LINE_LENGTH:]
        self.partial_length = len(rest)
        for line in lines:
            yield line.rstrip(b"\r")
