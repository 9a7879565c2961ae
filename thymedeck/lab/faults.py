"""Network fault injection per directed pair of parties and time interval. Makes decisions only; does no I/O.

Times are integers in tenths of a millisecond since the start of the run. Each side of a pair is a name or a
shell-style pattern of names (`b*`). Faults may overlap; all active ones apply to the same traffic.
"""

import random
from fnmatch import fnmatchcase

from msgspec import Struct


class Fault(Struct, frozen=True):
    """A fault in one direction only; the opposite direction needs a second entry."""

    since: int
    until: int
    source: str = "*"
    target: str = "*"
    cut: bool = False  # nothing is delivered; a stream stays open but silent
    delay: int = 0
    spread: int = 0  # random addition to the delay, up to this much; datagrams may be reordered
    lose: float = 0.0  # probability of losing a datagram
    repeat: float = 0.0  # probability of duplicating a datagram
    garble: float = 0.0  # probability of corrupting one byte of a datagram


class FaultInjector:
    """Decides what happens to traffic. Deterministic: the same seed and calls give the same results."""

    def __init__(self, seed: int, entries: tuple[Fault, ...] = ()) -> None:
        rng = random.Random(seed)
        self.uniform = rng.uniform
        self.randrange = rng.randrange
        self.entries = list(entries)

    def active_faults(self, now: int, source: str, target: str) -> list[Fault]:
        return [
            fault
            for fault in self.entries
            if fault.since <= now < fault.until
            and fnmatchcase(source, fault.source)
            and fnmatchcase(target, fault.target)
        ]

    def is_cut(self, now: int, source: str, target: str) -> bool:
        return any(fault.cut for fault in self.active_faults(now, source, target))

    def stream_delay(self, now: int, source: str, target: str) -> int:
        """Returns the extra delay of a stream's bytes. It has no random part, as streams keep their order."""
        return sum(fault.delay for fault in self.active_faults(now, source, target))

    def deliveries(self, now: int, source: str, target: str, data: bytes) -> list[tuple[int, bytes]]:
        """Returns the copies of one datagram that arrive, each with its extra delay; empty if it is lost."""
        active = self.active_faults(now, source, target)
        if not active:
            return [(0, data)]
        copies = [data]
        for fault in active:
            if fault.cut or self.uniform(0, 1) < fault.lose:
                return []
            if self.uniform(0, 1) < fault.repeat:
                copies.append(data)
            if data and self.uniform(0, 1) < fault.garble:
                position = self.randrange(len(data))
                copies = [
                    copy[:position] + bytes([copy[position] ^ 0x55]) + copy[position + 1 :] for copy in copies
                ]
        return [(sum(int(f.delay + self.uniform(0, f.spread)) for f in active), copy) for copy in copies]
