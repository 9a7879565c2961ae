"""What the others have told of themselves, and sums over it that say how much of the fleet they cover."""

from collections import Counter

from msgspec import Struct

from .messages import Counts


class Heard(Struct):
    """A peer's own counts as they last came."""

    counts: Counts
    incarnation: int
    at: int


class Sum(Struct, frozen=True):
    """Never a bare figure: `covered` of `expected` balancers are in it, and the oldest entry has this age."""

    by_kind: dict[str, int]
    by_server: dict[int, int]
    beyond: int  # sessions on servers that somebody had no room to name
    dials: int
    covered: int
    expected: int
    oldest: int

    @property
    def part(self) -> float:
        """Of the fleet, 0 to 1."""
        return min(self.covered / max(self.expected, 1), 1.0)


class Ledger:
    def __init__(self, forget_after: int) -> None:
        self.forget_after = forget_after
        self.own: Counts | None = None
        self.own_at = 0
        self.heard: dict[str, Heard] = {}

    def note_own(self, now: int, counts: Counts) -> bool:
        """Whether it differs from the last; a new version only then."""
        last = self.own
        counts.version = 1 if last is None else last.version
        self.own_at = now
        if last is not None and counts == last:
            return False
        counts.version += last is not None
        self.own = counts
        return True

    def take(self, now: int, name: str, incarnation: int, counts: Counts) -> bool:
        """From its owner alone; an older one than what is held is passed over."""
        held = self.heard.get(name)
        if held is not None and (held.incarnation, held.counts.version) > (incarnation, counts.version):
            return False
        self.heard[name] = Heard(counts, incarnation, now)
        return True

    def drop(self, name: str) -> None:
        self.heard.pop(name, None)

    def drop_old(self, now: int) -> None:
        for name in [name for name, one in self.heard.items() if now - one.at > self.forget_after]:
            del self.heard[name]

    def sum(self, now: int, expected: int) -> Sum:
        """Own counts among them."""
        entries = [(one.counts, one.at) for one in self.heard.values() if now - one.at <= self.forget_after]
        if self.own is not None:
            entries.append((self.own, self.own_at))
        by_kind: Counter[str] = Counter()
        by_server: Counter[int] = Counter()
        for counts, _ in entries:
            for kind, count in counts.by_kind:
                by_kind[kind] += count
            for server, count in counts.by_server:
                by_server[server] += count
        return Sum(
            by_kind=dict(by_kind),
            by_server=dict(by_server),
            beyond=sum(counts.beyond for counts, _ in entries),
            dials=sum(counts.dials for counts, _ in entries),
            covered=len(entries),
            expected=max(expected, len(entries)),
            oldest=max((now - at for _, at in entries), default=0),
        )
