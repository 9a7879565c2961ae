"""Lines of text ended by CRLF, taken from bytes as they come."""

from collections.abc import Iterator

from .ring import RingBuffer

MAX_LINE_LENGTH = 4096
PRINTABLE = bytes(range(0x21, 0x7F))


def is_printable_word(word: bytes) -> bool:
    """Whether it is a word at all, of nothing but printable characters."""
    return bool(word) and not word.translate(None, PRINTABLE)


class LineTooLong(Exception):
    """What came is no line: too long."""


def peek_line(ring: RingBuffer) -> bytes | None:
    """The ring's first line with its end, left in the ring; None while it is not whole."""
    data = ring.peek(0, min(ring.used, MAX_LINE_LENGTH + 2))
    end = data.find(b"\n")
    if end < 0:
        if len(data) >= MAX_LINE_LENGTH:
            raise LineTooLong
        return None
    return data[: end + 1]


class LineSplitter:
    """Reads along as bytes pass."""

    __slots__ = ("partial",)

    def __init__(self) -> None:
        self.partial = b""  # what has come of the present line

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The lines that end within these bytes; what is too long to be one is passed over."""
        if b"\n" not in data:
            self.partial = (self.partial + data)[-MAX_LINE_LENGTH:]
            return
        *lines, rest = (self.partial + data).split(b"\n")
        self.partial = rest[-MAX_LINE_LENGTH:]
        for line in lines:
            yield line.rstrip(b"\r")

    @property
    def is_at_line_boundary(self) -> bool:
        return not self.partial
