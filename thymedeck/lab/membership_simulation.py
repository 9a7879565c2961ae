"""Simulates the membership protocol of hundreds of peers in virtual time.

Runs the real decisions of the peers and the real encoding and authentication of their datagrams; the rest of
a daemon is left out (the testbeds of testbed.py run whole balancers). `python -m thymedeck.lab peers` prints
the measurements, which the tables of docs/peers.md show. Times are whole tenths of a millisecond unless
stated otherwise.
"""

import heapq
import random
import statistics
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from ..peers.events import CountsUpdated, Event, Log, MessageReceived, Send, ShutdownStarted, Tick
from ..peers.membership import TICK, Membership, Peer
from ..peers.messages import DatagramCodec, DatagramError, SessionCounts
from ..peers.settings import PeerSettings
from .faults import Fault, FaultInjector

SECOND = 10_000
START_TIME = 1_000 * SECOND
START_UNIX_MS = 1_790_000_000_000
KEYS = (b"k" * 16,)
JOIN_ADDRESSES = 3  # addresses that each peer's settings name
NETWORK_DELAY = 5, 30  # least and most between two peers
MAX_TICK_DELAY = 20  # a tick comes up to this late


def peer_settings(index: int, join: tuple[str, ...] = (), **overrides: object) -> PeerSettings:
    """The values of deploy/peers.toml, with an address of the peer's own."""
    values = {
        "fleet": "lab", "listen": ("127.0.0.1", 7946), "advertise": peer_address(index), "join": join,
        "keys": KEYS, "key_path": Path("none"), "period": SECOND, "answer_within": 3_000,
        "notice_within": 5 * SECOND, "forget_after": 90 * SECOND, "send_most": 2_000, "take_most": 500,
        "peers_most": 1_000, "servers_most": 120,
    }  # fmt: skip
    return PeerSettings(**(values | overrides))


def peer_address(index: int) -> str:
    return f"10.{index // 62500}.{index // 250 % 250}.{index % 250 + 1}:7946"


class ActualSessions:
    """The sessions that one balancer really has, on a few servers; they open and close at random."""

    def __init__(self, rng: random.Random, servers: int) -> None:
        self.rng = rng
        self.servers = servers
        self.by_server: Counter[int] = Counter(rng.randrange(servers) for _ in range(8))

    def update(self) -> SessionCounts:
        """Opens or closes one session; returns the counts that the balancer reports."""
        if self.rng.random() < 0.5:
            self.by_server[self.rng.randrange(self.servers)] += 1
        elif total := self.by_server.total():
            closed = self.rng.choices(list(self.by_server), list(self.by_server.values()))[0] if total else 0
            self.by_server[closed] -= 1
            self.by_server = +self.by_server
        kinds = Counter()
        for server, count in self.by_server.items():
            kinds["full" if server % 2 else "half"] += count
        return SessionCounts(1, sorted(kinds.items()), sorted(self.by_server.items()), list_version=1)


class MembershipSimulation:
    """Peers that exchange datagrams over a simulated network, on an event heap.

    Peers are keyed by their addresses, as two may have the same name.
    """

    def __init__(self, balancers: int, seed: int = 1, servers: int = 60, **overrides: object) -> None:
        """`overrides`: values in place of those of `peer_settings`."""
        self.rng = random.Random(seed)
        self.faults = FaultInjector(seed + 1)
        self.now = START_TIME
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.event_count = 0
        self.size = balancers
        self.servers = servers
        self.overrides = overrides
        self.join = tuple(peer_address(index) for index in range(min(JOIN_ADDRESSES, balancers)))
        self.members: dict[str, Membership] = {}
        self.codecs: dict[str, DatagramCodec] = {}
        self.actual_sessions: dict[str, ActualSessions] = {}
        self.key_by_address: dict[str, str] = {}
        self.killed: set[str] = set()
        self.frozen_until: dict[str, int] = {}
        self.sent: dict[str, list[tuple[int, int]]] = {}  # time and size of each datagram
        self.logs: list[tuple[int, str, str]] = []  # time, peer name, text
        self.cpu_seconds = 0.0  # spent in decisions, encoding and decoding
        for index in range(balancers):
            self.start(f"b{index}", peer_address(index))

    def start(self, name: str, address: str, unix_ms: int = 0) -> Membership:
        """Starts a peer, or restarts it under the same name."""
        settings = peer_settings(0, self.join, **(self.overrides | {"advertise": address}))
        unix = unix_ms or START_UNIX_MS + (self.now - START_TIME) // 10
        member = Membership(settings, name, self.rng.getrandbits(60), self.now, unix, self.size)
        key = address
        self.members[key] = member
        self.codecs[key] = DatagramCodec("lab", list(KEYS))
        self.actual_sessions[key] = ActualSessions(random.Random(self.rng.getrandbits(60)), self.servers)
        self.key_by_address[address] = key
        self.killed.discard(key)
        self.sent.setdefault(key, [])
        self.schedule(self.rng.randrange(TICK), lambda: self.tick(key, member))
        self.schedule(self.rng.randrange(SECOND), lambda: self.update_counts(key, member))
        return member

    def introduce_all(self) -> None:
        """Makes all peers know each other, for fleets that would take too long to meet by themselves."""
        for address, member in self.members.items():
            for other in self.members.values():
                if other is not member:
                    peer = Peer(other.name, other.settings.advertise, other.incarnation, self.now)
                    peer.token, peer.chain_link = other.token_for(address), other.chain.link(0)
                    member.peers[peer.name] = member.by_chain_key[peer.chain_key] = peer
                    member.counts_queue.append(peer)
            self.rng.shuffle(member.counts_queue)

    def schedule(self, delay: int, callback: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.heap, (self.now + delay, self.event_count, callback))

    def member(self, index: int) -> Membership:
        return self.members[peer_address(index)]

    def alive(self) -> dict[str, Membership]:
        return {key: member for key, member in self.members.items() if key not in self.killed}

    def kill(self, index: int) -> None:
        self.killed.add(peer_address(index))

    def freeze(self, index: int, duration: int) -> None:
        self.frozen_until[peer_address(index)] = self.now + duration

    def add_fault(self, delay: int, duration: int, source: str, target: str, **effects: object) -> None:
        """Adds a network fault that begins after `delay`; `source` and `target` are patterns of names."""
        begin = self.now + delay
        self.faults.entries.append(Fault(begin, begin + duration, source, target, **effects))

    # Events

    def tick(self, key: str, member: Membership) -> None:
        if self.members[key] is member and key not in self.killed:
            self.handle(key, member, Tick())
            self.schedule(TICK + self.rng.randrange(MAX_TICK_DELAY), lambda: self.tick(key, member))

    def update_counts(self, key: str, member: Membership) -> None:
        if self.members[key] is member and key not in self.killed:
            self.handle(key, member, CountsUpdated(self.actual_sessions[key].update()))
            self.schedule(SECOND, lambda: self.update_counts(key, member))

    def handle(self, key: str, member: Membership, event: Event) -> None:
        """Passes an event to a peer and carries out its actions; a frozen peer gets it when it wakes."""
        if self.frozen_until.get(key, 0) > self.now:
            self.schedule(self.frozen_until[key] - self.now, lambda: self.handle(key, member, event))
            return
        begin = time.process_time()
        actions = member.handle(self.now, event)
        datagrams = [
            (action.address, self.codecs[key].seal(action.message))
            for action in actions
            if isinstance(action, Send)
        ]
        self.cpu_seconds += time.process_time() - begin
        self.logs += [(self.now, member.name, action.text) for action in actions if isinstance(action, Log)]
        for address, data in datagrams:
            self.sent[key].append((self.now, len(data)))
            self.send(member.name, address, data)

    def send(self, source: str, address: str, data: bytes) -> None:
        key = self.key_by_address.get(address)
        if key is None:
            return
        for delay, copy in self.faults.deliveries(self.now, source, self.members[key].name, data):
            self.schedule(
                delay + self.rng.randrange(*NETWORK_DELAY), lambda copy=copy: self.deliver(key, copy)
            )

    def deliver(self, key: str, data: bytes) -> None:
        if key in self.killed:
            return
        member = self.members[key]
        begin = time.process_time()
        try:
            message = self.codecs[key].open(data)
        except DatagramError as error:
            member.count_dropped(str(error))
            return
        finally:
            self.cpu_seconds += time.process_time() - begin
        self.handle(key, member, MessageReceived(message, len(data)))

    def leave(self, index: int) -> None:
        key = peer_address(index)
        self.handle(key, self.members[key], ShutdownStarted())

    def run(self, duration: int) -> None:
        end = self.now + duration
        while self.heap and self.heap[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.heap)
            callback()
        self.now = end

    def run_until(self, condition: Callable[[], bool], timeout: int) -> int:
        """Returns the time until the condition held, -1 if it did not within the timeout."""
        begin = self.now
        while not condition():
            if self.now - begin >= timeout:
                return -1
            self.run(TICK)
        return self.now - begin

    # Queries

    def all_agree(self) -> bool:
        """Whether each running peer considers exactly the running peers to be alive."""
        alive = self.alive()
        names = {member.name for member in alive.values()}
        return all(
            {peer.name for peer in member.peers.values() if not peer.is_dead} == names - {member.name}
            for member in alive.values()
        )

    def count_holders(self, name: str) -> int:
        """How many of the other running peers consider this one to be alive."""
        return sum(
            name in member.peers and not member.peers[name].is_dead
            for member in self.alive().values()
            if member.name != name
        )

    def count_falsely_gone(self) -> int:
        """How many pairs there are in which a running peer considers another running peer to be gone."""
        running = {member.name for member in self.alive().values()}
        return sum(
            peer.is_dead and peer.name in running
            for member in self.alive().values()
            for peer in member.peers.values()
        )

    def peak_bytes_per_second(self) -> int:
        """Most bytes that any peer sent within one second."""
        return max(peak_in_one_second(datagrams) for datagrams in self.sent.values())

    def sum_errors(self) -> list[float]:
        """By peer: the relative error of its sum against the actual sessions of all running peers."""
        alive = self.alive()
        actual = sum(self.actual_sessions[key].by_server.total() for key in alive)
        return [
            abs(sum(member.fleet_totals(self.now).by_kind.values()) - actual) / max(actual, 1)
            for member in alive.values()
        ]


def peak_in_one_second(datagrams: list[tuple[int, int]]) -> int:
    """Most bytes within any one second; `datagrams` are times and sizes in order of time."""
    peak = total = first = 0
    for at, size in datagrams:
        total += size
        while datagrams[first][0] <= at - SECOND:
            total -= datagrams[first][1]
            first += 1
        peak = max(peak, total)
    return peak


class Measurements(Struct):
    """Of one fleet size and one seed; times in seconds, negative where an event did not occur."""

    balancers: int
    met: float  # until all know all, all started together
    join: float  # until all know a new peer
    death_half: float  # until half know of a death
    death_all: float  # until all know of it; the time waited if they did not
    heal: float  # until all agree after a network cut of 10 s into halves
    false_no_loss: int  # log lines that call a running peer gone, with no datagrams lost
    false_low_loss: int  # with 5 % lost
    false_high_loss: int  # with 20 % lost
    sum_error: float  # relative error of the sums, median over the peers
    oldest: float  # age of the oldest entry in a sum, median
    covered: float  # fraction of the fleet in a sum, least
    mean_bytes: float  # per second and balancer, with no faults
    peak_bytes: int  # most in any second, with and without faults
    datagrams: float  # per second and balancer, with no faults
    core: float  # fraction of a processor core that each balancer uses, with no faults


COLUMNS = (
    "balancers", "all met", "a join known to all", "a death known to half", "to all", "agreed after a cut",
    "gone falsely, 0 / 5 / 20 % lost", "sum off (median)", "oldest entry (median)", "covered (least)",
    "B/s each", "most in a second", "datagrams/s", "of a core",
)  # fmt: skip


def format_row(values: Measurements) -> list[str]:
    """The values of COLUMNS; "-" for a time if the event did not occur."""
    times = (values.met, values.join, values.death_half, values.death_all, values.heal)
    return [
        str(values.balancers),
        *(f"{seconds:.1f}" if seconds >= 0 else "-" for seconds in times),
        f"{values.false_no_loss} / {values.false_low_loss} / {values.false_high_loss}",
        f"{values.sum_error:.3f}",
        f"{values.oldest:.1f}",
        f"{values.covered:.2f}",
        f"{values.mean_bytes:.0f}",
        str(values.peak_bytes),
        f"{values.datagrams:.1f}",
        f"{values.core:.4f}",
    ]


def measure_membership(balancers: int, seed: int, quiet: int, acquainted: bool = False) -> Measurements:
    """`quiet`: how long each of the three loss rates runs; `acquainted`: all know each other at the start."""
    simulation = MembershipSimulation(balancers, seed)
    if acquainted:
        simulation.introduce_all()
    met = -SECOND if acquainted else simulation.run_until(simulation.all_agree, 300 * SECOND)
    simulation.run(30 * SECOND)
    cpu_before, sent_before = (
        simulation.cpu_seconds,
        {key: len(datagrams) for key, datagrams in simulation.sent.items()},
    )
    false_reports = []
    for loss in (0.0, 0.05, 0.2):
        reports_before = count_gone_reports(simulation)
        if loss:
            simulation.add_fault(0, quiet, "*", "*", lose=loss)
        else:
            begin = simulation.now
        simulation.run(quiet)
        false_reports.append(count_gone_reports(simulation) - reports_before)
        if not loss:
            core = (simulation.cpu_seconds - cpu_before) / balancers / (quiet / SECOND)
            datagrams = [
                datagram for key, sent in simulation.sent.items() for datagram in sent[sent_before[key] :]
            ]
            balancer_seconds = balancers * (simulation.now - begin) / SECOND
            sum_error = statistics.median(simulation.sum_errors())
            sums = [member.fleet_totals(simulation.now) for member in simulation.alive().values()]
    simulation.run(60 * SECOND)
    victim = balancers // 2
    simulation.kill(victim)
    name, killed_at = f"b{victim}", simulation.now
    known_to_half = simulation.run_until(lambda: 2 * simulation.count_holders(name) < balancers, 60 * SECOND)
    simulation.run_until(lambda: not simulation.count_holders(name), 60 * SECOND)
    known_to_all = simulation.now - killed_at
    simulation.run(5 * SECOND)
    simulation.start(name, peer_address(victim))
    join = simulation.run_until(lambda: simulation.count_holders(name) == balancers - 1, 120 * SECOND)
    simulation.run(20 * SECOND)
    simulation.faults.entries += cut_by_parity(simulation.now)
    simulation.run(10 * SECOND)
    heal = simulation.run_until(simulation.all_agree, 120 * SECOND)
    return Measurements(
        balancers, met / SECOND, join / SECOND, known_to_half / SECOND, known_to_all / SECOND, heal / SECOND,
        *false_reports, sum_error=sum_error,
        oldest=statistics.median(total.oldest_age for total in sums) / SECOND,
        covered=min(total.coverage for total in sums),
        mean_bytes=sum(size for _, size in datagrams) / balancer_seconds,
        peak_bytes=simulation.peak_bytes_per_second(), datagrams=len(datagrams) / balancer_seconds, core=core,
    )  # fmt: skip


def count_gone_reports(simulation: MembershipSimulation) -> int:
    """Log lines that call a peer gone; all are false as long as every peer runs."""
    return sum("gone" in text for _, _, text in simulation.logs)


def cut_by_parity(now: int) -> list[Fault]:
    """Faults that for 10 s separate the peers whose names end in an even digit from the others."""
    even, odd = "b*[02468]", "b*[13579]"
    return [Fault(now, now + 10 * SECOND, *sides, cut=True) for sides in ((even, odd), (odd, even))]
