"""The session counts received from the peers, and totals that state how much of the fleet they cover."""

from collections import Counter

from msgspec import Struct

from .messages import SessionCounts


class ReceivedCounts(Struct):
    """The latest counts of one peer."""

    counts: SessionCounts
    incarnation: int
    received_at: int


class FleetTotals(Struct, frozen=True):
    """Totals over `covered` of `expected` balancers.

    They always come with their coverage, so that partial totals are not taken for those of the whole fleet.
    """

    by_kind: dict[str, int]
    by_server: dict[int, int]
    unlisted: int  # sessions on servers that their balancers had no room to list
    dials: int
    covered: int
    expected: int
    oldest_age: int  # of the entries that are included

    @property
    def coverage(self) -> float:
        """The fraction of the fleet that is included, 0 to 1."""
        return min(self.covered / max(self.expected, 1), 1.0)


class CountsTable:
    """This balancer's own counts and the latest ones of each peer."""

    def __init__(self, forget_after: int) -> None:
        self.forget_after = forget_after
        self.own: SessionCounts | None = None
        self.own_at = 0
        self.received: dict[str, ReceivedCounts] = {}

    def set_own(self, now: int, counts: SessionCounts) -> bool:
        """Returns whether they differ from the last ones; only then do they get a new version."""
        last = self.own
        counts.version = 1 if last is None else last.version
        self.own_at = now
        if last is not None and counts == last:
            return False
        counts.version += last is not None
        self.own = counts
        return True

    def store(self, now: int, name: str, incarnation: int, counts: SessionCounts) -> bool:
        """Stores counts that came from their owner; returns False for counts older than the stored ones."""
        held = self.received.get(name)
        if held is not None and (held.incarnation, held.counts.version) > (incarnation, counts.version):
            return False
        self.received[name] = ReceivedCounts(counts, incarnation, now)
        return True

    def drop(self, name: str) -> None:
        self.received.pop(name, None)

    def drop_expired(self, now: int) -> None:
        for name in [
            name for name, entry in self.received.items() if now - entry.received_at > self.forget_after
        ]:
            del self.received[name]

    def totals(self, now: int, expected: int) -> FleetTotals:
        """Includes this balancer's own counts."""
        entries = [
            (entry.counts, entry.received_at)
            for entry in self.received.values()
            if now - entry.received_at <= self.forget_after
        ]
        if self.own is not None:
            entries.append((self.own, self.own_at))
        by_kind: Counter[str] = Counter()
        by_server: Counter[int] = Counter()
        for counts, _ in entries:
            for kind, count in counts.by_kind:
                by_kind[kind] += count
            for server, count in counts.by_server:
                by_server[server] += count
        return FleetTotals(
            by_kind=dict(by_kind),
            by_server=dict(by_server),
            unlisted=sum(counts.unlisted for counts, _ in entries),
            dials=sum(counts.dials for counts, _ in entries),
            covered=len(entries),
            expected=max(expected, len(entries)),
            oldest_age=max((now - at for _, at in entries), default=0),
        )
