"""The cost of the membership protocol by fleet size: real decisions of hundreds of peers in one process.

Left out, compared with a daemon: system calls for datagrams, the timers of the loop, and collecting the
counts. `compare_with_daemons` measures how much that matters, on real daemons and on as many simulated peers
that hold no sessions either. Parameters of the `measure_*` functions and keys of their results are columns of
CSV files.
"""

import os
from collections import Counter

from ...peers.membership import Membership
from ...peers.messages import DatagramCodec, DatagramError, Message, MessageKind, SessionCounts
from ..measure import CONVERGENCE_TIMEOUT
from ..membership_simulation import KEYS, SECOND, ActualSessions, MembershipSimulation, peak_in_one_second
from ..scenario_run import deployment_settings
from ..testbed import SHARED_KEY, ProcessTestbed, cpu_seconds
from .process import resident_bytes, run_in_subprocess

MESSAGE_KINDS = ("ping", "ack", "ask", "proof", "news", "counts")
LARGE_FLEET = 200
REGIONS = 3  # the balancers are spread over this many regions
KNOWN_FRACTIONS = (0.5, 0.99, 1.0)  # of the peers that have to learn of an event


def message_kind(message: Message) -> str:
    if message.kind == MessageKind.COUNTS:
        return "counts" if message.counts is not None else "news"
    return MessageKind(message.kind).name.lower()


class MessageTally:
    """Number and bytes of datagrams, by kind of message."""

    def __init__(self) -> None:
        self.count: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()

    def add(self, message: Message, size: int) -> None:
        self.count[message_kind(message)] += 1
        self.bytes[message_kind(message)] += size

    def take(self) -> "MessageTally":
        """Returns what was added since the last call, and resets the tally."""
        taken = MessageTally()
        self.count, taken.count = taken.count, self.count
        self.bytes, taken.bytes = taken.bytes, self.bytes
        return taken


class CountingCodec(DatagramCodec):
    """A codec that adds each message it encodes to a tally."""

    def __init__(self, tally: MessageTally) -> None:
        super().__init__("lab", list(KEYS))
        self.tally = tally

    def seal(self, message: Message) -> bytes:
        data = super().seal(message)
        self.tally.add(message, len(data))
        return data


class NoSessions(ActualSessions):
    """A balancer that holds no sessions."""

    def update(self) -> SessionCounts:
        return SessionCounts(1, list_version=1)


class CountingSimulation(MembershipSimulation):
    """A simulation that counts the messages sent, by kind; if `is_idle`, no balancer holds sessions."""

    def __init__(self, balancers: int, seed: int, is_idle: bool = False, **overrides: object) -> None:
        self.tally = MessageTally()
        self.is_idle = is_idle
        super().__init__(balancers, seed, **overrides)

    def start(self, name: str, address: str, unix_ms: int = 0) -> Membership:
        member = super().start(name, address, unix_ms)
        self.codecs[address] = CountingCodec(self.tally)
        if self.is_idle:
            self.actual_sessions[address] = NoSessions(self.rng, 1)
        return member

    def take_peak_bytes(self) -> int:
        """Most bytes that any peer sent in one second since the last call."""
        peak = max(peak_in_one_second(datagrams) for datagrams in self.sent.values() if datagrams)
        for datagrams in self.sent.values():
            datagrams.clear()
        return peak

    def detection_times(self, name: str, timeout: int) -> tuple[float, float, float]:
        """Seconds until a death is known to half, 99 % and all of the peers; -1 where the time runs out."""
        since, alive = self.now, len(self.alive())
        times = [-1.0, -1.0, -1.0]
        while self.now - since < timeout and times[2] < 0:
            self.run(SECOND // 10)
            holders = self.count_holders(name)
            for index, fraction in enumerate(KNOWN_FRACTIONS):
                if times[index] < 0 and holders <= alive * (1 - fraction) + 1e-9:
                    times[index] = (self.now - since) / SECOND
        return tuple(times)


def measure_fleet(balancers: int, send_most: int, seed: int, quiet: int) -> dict:
    """All know each other; `quiet` seconds of normal operation, then one death."""
    return run_in_subprocess(
        measure_fleet_in_process, balancers=balancers, send_most=send_most, seed=seed, quiet=quiet
    )


def measure_fleet_in_process(balancers: int, send_most: int, seed: int, quiet: int) -> dict:
    memory_before = resident_bytes(os.getpid())
    simulation = CountingSimulation(balancers, seed, send_most=send_most, take_most=max(500, send_most // 40))
    simulation.introduce_all()
    # Long enough for each peer to report to each other one, at the usual 110 bytes of a report and within the
    # share of the allowed bytes that reports may use.
    settle_seconds = int(min(max(10, 110 * balancers * 1.5 / (0.65 * send_most)), 100))
    for _ in range(settle_seconds):
        simulation.run(SECOND)
        simulation.take_peak_bytes()
    memory = resident_bytes(os.getpid()) - memory_before
    cpu = simulation.cpu_seconds
    simulation.tally.take()
    simulation.run(quiet * SECOND)
    cpu = simulation.cpu_seconds - cpu
    tally = simulation.tally.take()
    sums = [member.fleet_totals(simulation.now) for member in simulation.alive().values()]
    ages = sorted(total.oldest_age / SECOND for total in sums)
    peak_bytes = simulation.take_peak_bytes()
    simulation.kill(balancers // 2)
    cpu_at, since = simulation.cpu_seconds, simulation.now
    detected = simulation.detection_times(f"b{balancers // 2}", 30 * SECOND)
    balancer_seconds = balancers * quiet
    return {
        **{kind: f"{tally.count[kind] / balancer_seconds:.3f}" for kind in MESSAGE_KINDS},
        **{f"{kind}_bytes": f"{tally.bytes[kind] / balancer_seconds:.1f}" for kind in MESSAGE_KINDS},
        "messages": f"{tally.count.total() / balancer_seconds:.3f}",
        "bytes": f"{tally.bytes.total() / balancer_seconds:.1f}",
        "bytes_most": peak_bytes,
        "core": f"{cpu / balancer_seconds:.6f}",
        "memory": f"{memory / balancers:.0f}",
        "memory_a_peer": f"{memory / balancers / max(balancers - 1, 1):.0f}",
        "oldest": f"{ages[len(ages) // 2]:.1f}",
        "covered": f"{min(total.coverage for total in sums):.3f}",
        "death_half": detected[0], "death_99": detected[1], "death_all": detected[2],
        "death_bytes_most": simulation.take_peak_bytes(),
        "death_core":
        f"{(simulation.cpu_seconds - cpu_at) / balancers / max((simulation.now - since) / SECOND, 0.1):.6f}",
    }  # fmt: skip


def measure_meeting(balancers: int, send_most: int, seed: int) -> dict:
    """All start together and know three addresses."""
    return run_in_subprocess(measure_meeting_in_process, balancers=balancers, send_most=send_most, seed=seed)


def measure_meeting_in_process(balancers: int, send_most: int, seed: int) -> dict:
    simulation = CountingSimulation(balancers, seed, send_most=send_most, take_most=max(500, send_most // 40))
    duration = time_until_agreed(simulation, 400 * SECOND)
    balancer_seconds = balancers * (simulation.now - 1_000 * SECOND) / SECOND
    return {
        "met": duration / SECOND if duration >= 0 else -1,
        "bytes_a_pair": f"{simulation.tally.bytes.total() / (balancers * (balancers - 1)):.0f}",
        "core": f"{simulation.cpu_seconds / balancer_seconds:.6f}",
    }


def time_until_agreed(simulation: MembershipSimulation, timeout: int) -> int:
    """Time until all agree, -1 on timeout; in whole seconds for large fleets, as each check is slow."""
    if len(simulation.members) <= LARGE_FLEET:
        return simulation.run_until(simulation.all_agree, timeout)
    begin = simulation.now
    while not simulation.all_agree():
        if simulation.now - begin >= timeout:
            return -1
        simulation.run(SECOND)
    return simulation.now - begin


def measure_region(balancers: int, cut: int, seed: int) -> dict:
    """One of three regions is cut off from the others for `cut` seconds; then the time until all agree."""
    return run_in_subprocess(measure_region_in_process, balancers=balancers, cut=cut, seed=seed)


def measure_region_in_process(balancers: int, cut: int, seed: int) -> dict:
    simulation = CountingSimulation(balancers, seed)
    simulation.introduce_all()
    simulation.run(10 * SECOND)
    simulation.take_peak_bytes()
    cut_off = {f"b{index}" for index in range(balancers) if index % REGIONS == REGIONS - 1}
    others = {f"b{index}" for index in range(balancers)} - cut_off
    region_cut = RegionCut(simulation, cut_off)
    pairs = 2 * len(cut_off) * len(others)
    detected = [-1.0, -1.0, -1.0]
    known_fraction = 0.0
    for second in range(cut):
        simulation.run(SECOND)
        simulation.take_peak_bytes()
        known_fraction = 1 - count_pairs_across(simulation, cut_off) / pairs
        for index, fraction in enumerate(KNOWN_FRACTIONS):
            if detected[index] < 0 and known_fraction >= fraction:
                detected[index] = second + 1.0
    region_cut.is_active = False
    cpu_before, since = simulation.cpu_seconds, simulation.now
    healed = time_until_agreed(simulation, 240 * SECOND)
    seconds = (simulation.now - since) / SECOND
    return {
        "known_half": detected[0], "known_99": detected[1], "known_all": detected[2],
        "known_part": f"{known_fraction:.4f}",
        "healed": healed / SECOND if healed >= 0 else -1,
        "bytes_most": simulation.take_peak_bytes(),
        "core_after": f"{(simulation.cpu_seconds - cpu_before) / balancers / max(seconds, 0.1):.6f}",
        "pairs_missing": count_missing_pairs(simulation),
    }  # fmt: skip


class RegionCut:
    """While active, drops all datagrams between one group of peers and the others.

    Takes the place of `deliveries` of the simulation's faults.
    """

    def __init__(self, simulation: MembershipSimulation, group: set[str]) -> None:
        self.original_deliveries, simulation.faults.deliveries = simulation.faults.deliveries, self.deliveries
        self.group = group
        self.is_active = True

    def deliveries(self, now: int, source: str, target: str, data: bytes) -> list[tuple[int, bytes]]:
        if self.is_active and (source in self.group) != (target in self.group):
            return []
        return self.original_deliveries(now, source, target, data)


def count_pairs_across(simulation: MembershipSimulation, cut_off: set[str]) -> int:
    """Ordered pairs across the cut of which the first peer still considers the second to be alive."""
    return sum(
        (peer.name in cut_off) != (member.name in cut_off) and not peer.is_dead
        for member in simulation.alive().values()
        for peer in member.peers.values()
    )


def count_missing_pairs(simulation: MembershipSimulation) -> int:
    """Ordered pairs of running peers of which the first does not consider the second to be alive."""
    alive = simulation.alive().values()
    return sum(len(alive) - 1 - sum(not peer.is_dead for peer in member.peers.values()) for member in alive)


# Simulated peers against real daemons


class TrafficMonitor:
    """Counts the datagrams of real daemons as they reach the relays, before faults apply.

    Takes the place of `deliveries` of the testbed's faults.
    """

    def __init__(self, testbed: ProcessTestbed) -> None:
        self.tally = MessageTally()
        self.codec = DatagramCodec("lab", [bytes.fromhex(SHARED_KEY)])
        self.original_deliveries, testbed.faults.deliveries = testbed.faults.deliveries, self.deliveries

    def deliveries(self, now: int, source: str, target: str, data: bytes) -> list[tuple[int, bytes]]:
        try:
            self.tally.add(self.codec.open(data), len(data))
        except DatagramError:
            self.tally.count["unusable"] += 1
        return self.original_deliveries(now, source, target, data)


def compare_with_daemons(balancers: int, kind: str, seed: int, quiet: int) -> dict:
    """`kind`: "hollow" for simulated peers, else real daemons, less the cost of daemons without peers."""
    if kind == "hollow":
        return run_in_subprocess(measure_simulated_in_process, balancers=balancers, seed=seed, quiet=quiet)
    deployment = deployment_settings(balancers, ["m1"], ["a"])
    with ProcessTestbed(seed, deployment, {}) as testbed:
        names = testbed.start_fleet(balancers)
        testbed.run_until(
            lambda: all(testbed.live_peer_count(name) == balancers - 1 for name in testbed.alive),
            CONVERGENCE_TIMEOUT,
        )
        testbed.run(30 * SECOND)
        monitor = TrafficMonitor(testbed)
        core = mean_core_usage(testbed, names, quiet)
        tally = monitor.tally
    with ProcessTestbed(seed, deployment, None) as testbed:
        core -= mean_core_usage(testbed, testbed.start_fleet(balancers), quiet)
    return traffic_row(tally, balancers, quiet, core)


def mean_core_usage(testbed: ProcessTestbed, names: list[str], quiet: int) -> float:
    """Mean fraction of a core that each daemon uses over `quiet` seconds."""
    before = sum(cpu_seconds(testbed.processes[name].pid) for name in names)
    testbed.run(quiet * SECOND)
    after = sum(cpu_seconds(testbed.processes[name].pid) for name in names)
    return (after - before) / len(names) / quiet


def measure_simulated_in_process(balancers: int, seed: int, quiet: int) -> dict:
    simulation = CountingSimulation(balancers, seed, is_idle=True)
    simulation.run_until(simulation.all_agree, 60 * SECOND)
    simulation.run(30 * SECOND)
    cpu_before = simulation.cpu_seconds
    simulation.tally.take()
    simulation.run(quiet * SECOND)
    return traffic_row(
        simulation.tally, balancers, quiet, (simulation.cpu_seconds - cpu_before) / balancers / quiet
    )


def traffic_row(tally: MessageTally, balancers: int, quiet: int, core: float) -> dict:
    balancer_seconds = balancers * quiet
    return {
        **{kind: f"{tally.count[kind] / balancer_seconds:.3f}" for kind in MESSAGE_KINDS},
        "messages": f"{tally.count.total() / balancer_seconds:.3f}",
        "bytes": f"{tally.bytes.total() / balancer_seconds:.1f}",
        "core": f"{core:.6f}",
    }
