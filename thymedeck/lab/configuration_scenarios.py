"""Scenarios of a configuration change in virtual time: `python -m thymedeck.lab configuration`."""

from collections.abc import Callable

from msgspec import Struct

from ..configuration.messages import SECOND, Change, Outcome, ValidationFailure
from .configuration_fleet import Fleet
from .faults import Fault

COLUMNS = (
    "scenario", "in force after (s): median", "99th percentile", "last", "balancers", "B/s per balancer",
    "B in busiest second", "messages/s per balancer", "B/s per keeper", "messages/s per keeper",
    "logged events",
)  # fmt: skip
FOREVER = 1 << 60
MAX_WAIT = 60 * SECOND
SETTLE_TIME = 20 * SECOND  # before and after the scenario itself


class Options(Struct, frozen=True):
    balancers: int
    content_size: int  # bytes
    cut_duration: int  # of a cut or a freeze


class ConfigurationScenarioRun:
    """A fleet that has applied its first version, and the measurements of one scenario on it.

    Measured is the time from `measured_since` until each node in `measured_nodes` has applied version
    `expected_number`.
    """

    def __init__(self, options: Options, seed: int) -> None:
        self.options = options
        self.fleet = Fleet(options.balancers, seed, validate, checked_by_keepers=False)
        self.fleet.run_until(SETTLE_TIME)
        self.submit(0, b"first")
        self.fleet.run_until(2 * SETTLE_TIME)
        self.measured_nodes = self.fleet.followers
        self.expected_number = 2
        self.started_at = self.measured_since = self.fleet.now
        self.fleet.bytes_peak.clear()
        self.initial_counts = dict(self.fleet.bytes_total), dict(self.fleet.messages_sent)

    def submit(self, keeper: int, text: bytes) -> None:
        content = text + b"." * (self.options.content_size - len(text))
        fleet = self.fleet
        fleet.submit(fleet.keepers[keeper], Change(len(fleet.results) + 1, fleet.last_committed(), content))

    def run_for(self, duration: int) -> None:
        self.fleet.run_until(self.fleet.now + duration)

    def cut(self, inside: str, outside: str = "*") -> None:
        for source, target in ((inside, outside), (outside, inside)):
            self.fleet.faults.entries.append(Fault(self.fleet.now, FOREVER, source, target, cut=True))

    def heal(self) -> None:
        self.fleet.faults.entries.clear()
        self.measured_since = self.fleet.now

    def measure(self) -> list[str]:
        """Runs until the expected version is applied; returns the row's cells after the title."""
        fleet = self.fleet
        deadline = fleet.now + MAX_WAIT
        while fleet.now < deadline and not self.is_done():
            fleet.run_until(fleet.now + SECOND // 10)
        number = self.expected_number
        applied_at = fleet.applied_at.get(number, {})
        times = sorted(
            max(applied_at[name] - self.measured_since, 0) / SECOND
            for name in self.measured_nodes
            if name in applied_at
        )
        if len(times) < len(self.measured_nodes):
            raise RuntimeError(f"{len(self.measured_nodes) - len(times)} followers never applied {number}")
        if fleet.consistency_violations():
            raise RuntimeError(fleet.consistency_violations()[0])
        fleet.run_until(fleet.now + SETTLE_TIME)
        duration = (fleet.now - self.started_at) / SECOND
        initial_bytes, initial_messages = self.initial_counts

        def rate(names: list[str], counts: dict[str, int], initial: dict[str, int]) -> float:
            return sum(counts.get(name, 0) - initial.get(name, 0) for name in names) / len(names) / duration

        return [
            *(f"{times[max(round(len(times) * share) - 1, 0)]:.2f}" for share in (0.5, 0.99, 1)),
            str(len(times)),
            f"{rate(fleet.followers, fleet.bytes_total, initial_bytes):.0f}",
            f"{max(fleet.bytes_peak[name] for name in fleet.followers):.0f}",
            # Followers only send polls; with the answers, twice as many messages.
            f"{2 * rate(fleet.followers, fleet.messages_sent, initial_messages):.1f}",
            f"{rate(fleet.keepers, fleet.bytes_total, initial_bytes):.0f}",
            f"{rate(fleet.keepers, fleet.messages_sent, initial_messages):.0f}",
            self.logged_events(),
        ]

    def is_done(self) -> bool:
        applied_at = self.fleet.applied_at.get(self.expected_number, {})
        return all(name in applied_at for name in self.measured_nodes)

    def logged_events(self) -> str:
        counts: dict[str, int] = {}
        for time, _, log in self.fleet.logs:
            if time >= self.started_at and log.event != "configuration_committed":
                counts[log.event] = counts.get(log.event, 0) + 1
        return ", ".join(f"{event} {count}" for event, count in sorted(counts.items())) or "none"


def validate(content: bytes) -> ValidationFailure | None:
    return ValidationFailure("limits", "is invalid") if content.startswith(b"bad") else None


def ordinary_change(run: ConfigurationScenarioRun) -> None:
    run.submit(1, b"second")


def lossy_network(run: ConfigurationScenarioRun) -> None:
    now = run.fleet.now
    run.fleet.faults.entries.append(Fault(now, FOREVER, lose=0.2, repeat=0.2, spread=SECOND // 5))
    run.submit(1, b"second")


def keeper_killed(run: ConfigurationScenarioRun) -> None:
    """One keeper dies as another receives the change; its followers have to switch to another keeper."""
    run.fleet.kill(run.fleet.keepers[0])
    run.submit(1, b"second")


def majority_lost(run: ConfigurationScenarioRun) -> None:
    """Two of four keepers are no majority: the change fails. Measured from when the one cut off is back."""
    run.fleet.kill(run.fleet.keepers[0])
    run.cut(run.fleet.keepers[1])
    run.submit(2, b"second")
    run.run_for(run.options.cut_duration)
    if run.fleet.last_committed() != 1 or run.fleet.results[-1][2].outcome is not Outcome.NOT_COMMITTED:
        raise RuntimeError("two of four keepers committed a change")
    run.heal()
    run.submit(2, b"second")


def region_cut_off(run: ConfigurationScenarioRun) -> None:
    """Measures the balancers that are not cut off."""
    run.cut("*.1", "*.[!1]")
    run.submit(0, b"second")
    run.measured_nodes = [name for name in run.fleet.followers if not name.endswith(".1")]


def region_healed(run: ConfigurationScenarioRun) -> None:
    """Measures the balancers that were cut off, from when they are reachable again."""
    run.cut("*.1", "*.[!1]")
    run.run_for(10 * SECOND)
    run.submit(0, b"second")
    run.run_for(run.options.cut_duration)
    run.heal()
    run.measured_nodes = [name for name in run.fleet.followers if name.endswith(".1")]


def region_with_two_keepers(run: ConfigurationScenarioRun) -> None:
    """Two keepers on either side: no majority anywhere until the network has healed."""
    run.cut("*.0", "*.[!0]")
    run.run_for(10 * SECOND)
    run.submit(1, b"second")
    run.run_for(run.options.cut_duration)
    if run.fleet.last_committed() != 1:
        raise RuntimeError("two of four keepers committed a change")
    run.heal()
    run.submit(1, b"second")


def third_frozen(run: ConfigurationScenarioRun) -> None:
    """Freezes a third of the balancers and one keeper; measured from when they wake."""
    fleet = run.fleet
    frozen = [fleet.keepers[2], *fleet.followers[::3]]
    for name in frozen:
        fleet.freeze(name)
    run.run_for(SECOND)
    run.submit(1, b"second")
    run.run_for(run.options.cut_duration)
    run.measured_since = fleet.now
    for name in frozen:
        fleet.wake(name)
    run.measured_nodes = frozen[1:]


def invalid_change(run: ConfigurationScenarioRun) -> None:
    """Keepers accept it, followers refuse it: measured until the withdrawal, a new version, is applied."""
    run.submit(1, b"bad")
    run.expected_number = 3


SCENARIOS: dict[str, Callable[[ConfigurationScenarioRun], None]] = {
    "an ordinary change": ordinary_change,
    "20 % lost, 20 % repeated, up to 0.2 s late": lossy_network,
    "a keeper killed at the change": keeper_killed,
    "one killed, another cut off: after healing": majority_lost,
    "a region cut off: the others": region_cut_off,
    "the region, after healing": region_healed,
    "a region with two keepers: all, after healing": region_with_two_keepers,
    "a third frozen: after waking": third_frozen,
    "a bad change: until withdrawn everywhere": invalid_change,
}


def run_scenarios(options: Options, seed: int, title_part: str) -> None:
    """Prints a row per scenario as it ends. Raises RuntimeError if a version forked or was never applied."""
    for title, scenario in SCENARIOS.items():
        if title_part in title:
            run = ConfigurationScenarioRun(options, seed)
            scenario(run)
            print("| " + " | ".join([title, *run.measure()]) + " |", flush=True)
