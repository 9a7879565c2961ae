"""Plays of a configuration at the fleet's size, in virtual time: `python -m thymedeck.lab configuration`."""

from collections.abc import Callable

from msgspec import Struct

from ..configuration.messages import SECOND, Change, Outcome, Unfit
from .faults import Fault
from .followers import Fleet

HEADS = (
    "play", "in force at the 50th of 100", "99th", "last", "balancers", "B/s each", "fullest second",
    "messages/s each", "a keeper: B/s", "messages/s", "said",
)  # fmt: skip
FOREVER = 1 << 60
PATIENCE = 60 * SECOND
SETTLED = 20 * SECOND  # before and after what is played


class Given(Struct, frozen=True):
    balancers: int
    size: int  # bytes of a configuration
    cut_for: int


class Play:
    """What is timed begins at `since`, among `waited_for`."""

    def __init__(self, given: Given, seed: int) -> None:
        self.given = given
        self.fleet = Fleet(given.balancers, seed, check, checked_by_keepers=False)
        self.fleet.run(SETTLED)
        self.change(0, b"first")
        self.fleet.run(2 * SETTLED)
        self.waited_for = self.fleet.followers
        self.wanted = 2  # the number that is waited for
        self.began = self.since = self.fleet.now
        self.fleet.most.clear()
        self.paid = dict(self.fleet.bytes), dict(self.fleet.sent)

    def change(self, keeper: int, what: bytes) -> None:
        content = what + b"." * (self.given.size - len(what))
        fleet = self.fleet
        fleet.change(fleet.keepers[keeper], Change(len(fleet.answers) + 1, fleet.committed(), content))

    def run(self, time: int) -> None:
        self.fleet.run(self.fleet.now + time)

    def cut(self, inside: str, outside: str = "*") -> None:
        for source, target in ((inside, outside), (outside, inside)):
            self.fleet.faults.entries.append(Fault(self.fleet.now, FOREVER, source, target, cut=True))

    def heal(self) -> None:
        self.fleet.faults.entries.clear()
        self.since = self.fleet.now

    def figures(self) -> list[str]:
        fleet = self.fleet
        until = fleet.now + PATIENCE
        while fleet.now < until and not self.is_done():
            fleet.run(fleet.now + SECOND // 10)
        last = self.wanted
        there = fleet.applied.get(last, {})
        times = sorted(max(there[name] - self.since, 0) / SECOND for name in self.waited_for if name in there)
        if len(times) < len(self.waited_for):
            raise RuntimeError(f"{len(self.waited_for) - len(times)} never had {last} in force")
        if fleet.faults_of_versions():
            raise RuntimeError(fleet.faults_of_versions()[0])
        fleet.run(fleet.now + SETTLED)
        seconds = (fleet.now - self.began) / SECOND
        paid, sent = self.paid

        def rate(names: list[str], now: dict[str, int], before: dict[str, int]) -> float:
            return sum(now.get(name, 0) - before.get(name, 0) for name in names) / len(names) / seconds

        return [
            *(f"{times[max(round(len(times) * part) - 1, 0)]:.2f}" for part in (0.5, 0.99, 1)),
            str(len(times)),
            f"{rate(fleet.followers, fleet.bytes, paid):.0f}",
            f"{max(fleet.most[name] for name in fleet.followers):.0f}",
            f"{2 * rate(fleet.followers, fleet.sent, sent):.1f}",
            f"{rate(fleet.keepers, fleet.bytes, paid):.0f}",
            f"{rate(fleet.keepers, fleet.sent, sent):.0f}",
            self.said(),
        ]

    def is_done(self) -> bool:
        there = self.fleet.applied.get(self.wanted, {})
        return all(name in there for name in self.waited_for)

    def said(self) -> str:
        counts: dict[str, int] = {}
        for at, _, log in self.fleet.logs:
            if at >= self.began and log.event != "configuration_committed":
                counts[log.event] = counts.get(log.event, 0) + 1
        return ", ".join(f"{event} {count}" for event, count in sorted(counts.items())) or "nothing"


def check(content: bytes) -> Unfit | None:
    return Unfit("limits", "is unfit") if content.startswith(b"bad") else None


def ordinary(play: Play) -> None:
    play.change(1, b"second")


def lost(play: Play) -> None:
    now = play.fleet.now
    play.fleet.faults.entries.append(Fault(now, FOREVER, lose=0.2, repeat=0.2, spread=SECOND // 5))
    play.change(1, b"second")


def killed(play: Play) -> None:
    """At the very time of the change, which another is asked for; its followers have to find another."""
    play.fleet.kill(play.fleet.keepers[0])
    play.change(1, b"second")


def killed_and_cut(play: Play) -> None:
    """Two of four are no majority: the change is given up; timed from when the one cut off is back."""
    play.fleet.kill(play.fleet.keepers[0])
    play.cut(play.fleet.keepers[1])
    play.change(2, b"second")
    play.run(play.given.cut_for)
    if play.fleet.committed() != 1 or play.fleet.answers[-1][2].outcome is not Outcome.NOT_COMMITTED:
        raise RuntimeError("two of four committed")
    play.heal()
    play.change(2, b"second")


def region_meanwhile(play: Play) -> None:
    """Those that are not cut off."""
    play.cut("*.1", "*.[!1]")
    play.change(0, b"second")
    play.waited_for = [name for name in play.fleet.followers if not name.endswith(".1")]


def region_healed(play: Play) -> None:
    play.cut("*.1", "*.[!1]")
    play.run(10 * SECOND)
    play.change(0, b"second")
    play.run(play.given.cut_for)
    play.heal()
    play.waited_for = [name for name in play.fleet.followers if name.endswith(".1")]


def region_of_two(play: Play) -> None:
    """Two keepers on either side: no majority anywhere until it has healed."""
    play.cut("*.0", "*.[!0]")
    play.run(10 * SECOND)
    play.change(1, b"second")
    play.run(play.given.cut_for)
    if play.fleet.committed() != 1:
        raise RuntimeError("two of four committed")
    play.heal()
    play.change(1, b"second")


def frozen(play: Play) -> None:
    """A third of the balancers and a keeper; timed from when they wake."""
    fleet = play.fleet
    third = [fleet.keepers[2], *fleet.followers[::3]]
    for name in third:
        fleet.freeze(name)
    play.run(SECOND)
    play.change(1, b"second")
    play.run(play.given.cut_for)
    play.since = fleet.now
    for name in third:
        fleet.wake(name)
    play.waited_for = third[1:]


def bad(play: Play) -> None:
    """Which keepers let pass: timed until what was before is in force everywhere by its new number."""
    play.change(1, b"bad")
    play.wanted = 3


PLAYS: dict[str, Callable[[Play], None]] = {
    "an ordinary change": ordinary,
    "20 % lost, 20 % repeated, up to 0.2 s late": lost,
    "a keeper killed at the change": killed,
    "one killed, another cut off: after healing": killed_and_cut,
    "a region cut off: the others": region_meanwhile,
    "the region, after healing": region_healed,
    "a region with two keepers: all, after healing": region_of_two,
    "a third frozen: after waking": frozen,
    "a bad change: until withdrawn everywhere": bad,
}


def play(given: Given, seed: int, named: str) -> None:
    """Prints a row as soon as it is there. Raises RuntimeError where a version forked or never came."""
    for title, play_it in PLAYS.items():
        if named in title:
            played = Play(given, seed)
            play_it(played)
            print("| " + " | ".join([title, *played.figures()]) + " |", flush=True)
