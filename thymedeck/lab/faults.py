"""What is broken between two parties, by directed pair and by time. Decides alone; sockets are elsewhere.

Times are whole tenths of a millisecond since the start of the play. A side of a pair is a name, or a pattern
of names as of the shell (`b*`); entries may overlap, and each that holds acts on what passes.
"""

import random
from fnmatch import fnmatchcase

from msgspec import Struct


class Fault(Struct, frozen=True):
    """From one side to the other alone; the other way is another entry."""

    since: int
    until: int
    source: str = "*"
    target: str = "*"
    cut: bool = False  # nothing passes; a stream stays open and silent
    delay: int = 0
    spread: int = 0  # by chance, added to the delay: what overtakes comes in another order
    lose: float = 0.0  # of datagrams, by chance
    repeat: float = 0.0
    garble: float = 0.0


class Faults:
    """Chance by one seed; the same calls give the same fates."""

    def __init__(self, seed: int, entries: tuple[Fault, ...] = ()) -> None:
        chance = random.Random(seed)
        self.uniform = chance.uniform
        self.randrange = chance.randrange
        self.entries = list(entries)

    def now_on(self, now: int, source: str, target: str) -> list[Fault]:
        return [
            one
            for one in self.entries
            if one.since <= now < one.until
            and fnmatchcase(source, one.source)
            and fnmatchcase(target, one.target)
        ]

    def is_cut(self, now: int, source: str, target: str) -> bool:
        return any(one.cut for one in self.now_on(now, source, target))

    def delay(self, now: int, source: str, target: str) -> int:
        """Of a stream's bytes, whose order it keeps."""
        return sum(one.delay for one in self.now_on(now, source, target))

    def fates(self, now: int, source: str, target: str, data: bytes) -> list[tuple[int, bytes]]:
        """What comes out of one datagram: each copy with its delay."""
        on = self.now_on(now, source, target)
        if not on:
            return [(0, data)]
        copies = [data]
        for one in on:
            if one.cut or self.uniform(0, 1) < one.lose:
                return []
            if self.uniform(0, 1) < one.repeat:
                copies.append(data)
            if data and self.uniform(0, 1) < one.garble:
                at = self.randrange(len(data))
                copies = [copy[:at] + bytes([copy[at] ^ 0x55]) + copy[at + 1 :] for copy in copies]
        return [(sum(int(f.delay + self.uniform(0, f.spread)) for f in on), copy) for copy in copies]
