"""Lines of text ended by CRLF, taken from bytes as they come."""

from collections.abc import Iterator

from .ring import Ring

LONGEST = 4096
PRINTABLE = bytes(range(0x21, 0x7F))


def readable(word: bytes) -> bool:
    """Whether it is a word at all, of nothing but printable characters."""
    return bool(word) and not word.translate(None, PRINTABLE)


class Garbled(Exception):
    """What came is no line: too long."""


def first_line(ring: Ring) -> bytes | None:
    """The ring's first line with its end, left in the ring; None while it is not whole."""
    held = ring.copy(0, min(ring.held, LONGEST + 2))
    end = held.find(b"\n")
    if end < 0:
        if len(held) >= LONGEST:
            raise Garbled
        return None
    return held[: end + 1]


class Lines:
    """Reads along as bytes pass."""

    __slots__ = ("part",)

    def __init__(self) -> None:
        self.part = b""  # what has come of the present line

    def take(self, data: bytes) -> Iterator[bytes]:
        """The lines that end within these bytes; what is too long to be one is passed over."""
        if b"\n" not in data:
            self.part = (self.part + data)[-LONGEST:]
            return
        *whole, rest = (self.part + data).split(b"\n")
        self.part = rest[-LONGEST:]
        for line in whole:
            yield line.rstrip(b"\r")

    @property
    def between(self) -> bool:
        return not self.part
