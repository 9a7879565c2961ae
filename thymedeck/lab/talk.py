"""Peers alone, hundreds of them, in virtual time: their own decisions, datagrams closed and opened as sent.

What a whole daemon does beside is left out; that is played on the stages. Measures are in the tables of
docs/peers.md: `python -m thymedeck.lab peers`.
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
from .faults import Fault, Faults

SECOND = 10_000
BEGIN = 1_000 * SECOND
UNIX_MS = 1_790_000_000_000
KEYS = (b"k" * 16,)
JOINED = 3  # addresses in everybody's file
WAY = 5, 30  # between two of them, least and most
LATE = 20  # a tick comes so late at the most


def stated(at: int, join: tuple[str, ...] = (), **more: object) -> PeerSettings:
    """As the example's file states it, at an address of its own."""
    given = {
        "fleet": "lab", "listen": ("127.0.0.1", 7946), "advertise": address(at), "join": join, "keys": KEYS,
        "key_path": Path("none"), "period": SECOND, "answer_within": 3_000, "notice_within": 5 * SECOND,
        "forget_after": 90 * SECOND, "send_most": 2_000, "take_most": 500, "peers_most": 1_000,
        "servers_most": 120,
    }  # fmt: skip
    return PeerSettings(**(given | more))


def address(at: int) -> str:
    return f"10.{at // 62500}.{at // 250 % 250}.{at % 250 + 1}:7946"


class Truth:
    """What one balancer holds: sessions on a few servers, that come and go by chance."""

    def __init__(self, chance: random.Random, servers: int) -> None:
        self.chance = chance
        self.servers = servers
        self.held: Counter[int] = Counter(chance.randrange(servers) for _ in range(8))

    def change(self) -> SessionCounts:
        if self.chance.random() < 0.5:
            self.held[self.chance.randrange(self.servers)] += 1
        elif total := self.held.total():
            gone = self.chance.choices(list(self.held), list(self.held.values()))[0] if total else 0
            self.held[gone] -= 1
            self.held = +self.held
        kinds = Counter()
        for server, count in self.held.items():
            kinds["full" if server % 2 else "half"] += count
        return SessionCounts(1, sorted(kinds.items()), sorted(self.held.items()), list_version=1)


class Talk:
    def __init__(self, balancers: int, seed: int = 1, servers: int = 60, **more: object) -> None:
        self.chance = random.Random(seed)
        self.faults = Faults(seed + 1)
        self.now = BEGIN
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.size = balancers
        self.servers = servers
        self.more = more
        self.join = tuple(address(at) for at in range(min(JOINED, balancers)))
        self.nodes: dict[str, Membership] = {}
        self.envelopes: dict[str, DatagramCodec] = {}
        self.truths: dict[str, Truth] = {}
        self.at_address: dict[str, str] = {}
        self.dead: set[str] = set()
        self.frozen: dict[str, int] = {}  # until when
        self.sent: dict[str, list[tuple[int, int]]] = {}
        self.logs: list[tuple[int, str, str]] = []
        self.spent = 0.0  # processor seconds within the decisions and the envelopes
        for at in range(balancers):
            self.start(f"b{at}", address(at))

    def start(self, name: str, where: str, unix_ms: int = 0) -> Membership:
        """Also again, under the same name."""
        here = stated(0, self.join, **(self.more | {"advertise": where}))
        unix = unix_ms or UNIX_MS + (self.now - BEGIN) // 10
        node = Membership(here, name, self.chance.getrandbits(60), self.now, unix, self.size)
        key = where  # two may have one name
        self.nodes[key] = node
        self.envelopes[key] = DatagramCodec("lab", list(KEYS))
        self.truths[key] = Truth(random.Random(self.chance.getrandbits(60)), self.servers)
        self.at_address[where] = key
        self.dead.discard(key)
        self.sent.setdefault(key, [])
        self.after(self.chance.randrange(TICK), lambda: self.tick(key, node))
        self.after(self.chance.randrange(SECOND), lambda: self.recount(key, node))
        return node

    def acquaint(self) -> None:
        """As if all had met each other: for sizes at which that takes longer than what is to be seen."""
        for where, node in self.nodes.items():
            for other in self.nodes.values():
                if other is not node:
                    peer = Peer(other.name, other.settings.advertise, other.incarnation, self.now)
                    peer.token, peer.chain_link = other.token_for(where), other.chain.link(0)
                    node.peers[peer.name] = node.by_chain_key[peer.chain_key] = peer
                    node.counts_queue.append(peer)
            self.chance.shuffle(node.counts_queue)

    def after(self, wait: int, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (self.now + wait, self.count, call))

    def node(self, at: int) -> Membership:
        return self.nodes[address(at)]

    def alive(self) -> dict[str, Membership]:
        return {key: node for key, node in self.nodes.items() if key not in self.dead}

    def kill(self, at: int) -> None:
        self.dead.add(address(at))

    def freeze(self, at: int, span: int) -> None:
        self.frozen[address(at)] = self.now + span

    def between(self, since: int, span: int, source: str, target: str, **more: object) -> None:
        """A fault from now on; sides are patterns of names."""
        begin = self.now + since
        self.faults.entries.append(Fault(begin, begin + span, source, target, **more))

    # Events

    def tick(self, key: str, node: Membership) -> None:
        if self.nodes[key] is node and key not in self.dead:
            self.tell(key, node, Tick())
            self.after(TICK + self.chance.randrange(LATE), lambda: self.tick(key, node))

    def recount(self, key: str, node: Membership) -> None:
        if self.nodes[key] is node and key not in self.dead:
            self.tell(key, node, CountsUpdated(self.truths[key].change()))
            self.after(SECOND, lambda: self.recount(key, node))

    def tell(self, key: str, node: Membership, event: Event) -> None:
        if self.frozen.get(key, 0) > self.now:
            self.after(self.frozen[key] - self.now, lambda: self.tell(key, node, event))
            return
        begin = time.process_time()
        actions = node.handle(self.now, event)
        out = [
            (action.address, self.envelopes[key].seal(action.message))
            for action in actions
            if isinstance(action, Send)
        ]
        self.spent += time.process_time() - begin
        self.logs += [(self.now, node.name, action.text) for action in actions if isinstance(action, Log)]
        for to, data in out:
            self.sent[key].append((self.now, len(data)))
            self.send(node.name, to, data)

    def send(self, source: str, to: str, data: bytes) -> None:
        there = self.at_address.get(to)
        if there is None:
            return
        for delay, copy in self.faults.fates(self.now, source, self.nodes[there].name, data):
            self.after(delay + self.chance.randrange(*WAY), lambda copy=copy: self.arrive(there, copy))

    def arrive(self, key: str, data: bytes) -> None:
        if key in self.dead:
            return
        node = self.nodes[key]
        begin = time.process_time()
        try:
            message = self.envelopes[key].open(data)
        except DatagramError as why:
            node.count_dropped(str(why))
            return
        finally:
            self.spent += time.process_time() - begin
        self.tell(key, node, MessageReceived(message, len(data)))

    def leave(self, at: int) -> None:
        key = address(at)
        self.tell(key, self.nodes[key], ShutdownStarted())

    def run(self, span: int) -> None:
        end = self.now + span
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self.heap)
            call()
        self.now = end

    def run_until(self, done: Callable[[], bool], within: int) -> int:
        """How long it took; -1 if it did not come about."""
        begin = self.now
        while not done():
            if self.now - begin >= within:
                return -1
            self.run(TICK)
        return self.now - begin

    # What is asked

    def agree(self) -> bool:
        """All that run hold each other to be here, and nobody else."""
        alive = self.alive()
        names = {node.name for node in alive.values()}
        return all(
            {peer.name for peer in node.peers.values() if not peer.is_dead} == names - {node.name}
            for node in alive.values()
        )

    def holders(self, name: str) -> int:
        """How many of those that run hold this one to be here."""
        return sum(
            name in node.peers and not node.peers[name].is_dead
            for node in self.alive().values()
            if node.name != name
        )

    def falsely_gone(self) -> int:
        running = {node.name for node in self.alive().values()}
        return sum(
            peer.is_dead and peer.name in running
            for node in self.alive().values()
            for peer in node.peers.values()
        )

    def most_sent(self) -> int:
        """Bytes by one of them in its dearest second."""
        return max(most_in_a_second(sends) for sends in self.sent.values())

    def errors(self) -> list[float]:
        """Of each one's sum of sessions against the truth of those that it covers and does not: share off."""
        alive = self.alive()
        truth = sum(self.truths[key].held.total() for key in alive)
        return [
            abs(sum(node.fleet_totals(self.now).by_kind.values()) - truth) / max(truth, 1)
            for node in alive.values()
        ]


def most_in_a_second(sends: list[tuple[int, int]]) -> int:
    most = total = first = 0
    for at, size in sends:
        total += size
        while sends[first][0] <= at - SECOND:
            total -= sends[first][1]
            first += 1
        most = max(most, total)
    return most


class Figures(Struct):
    """Of one size and one seed; times in seconds."""

    balancers: int
    met: float  # until all know all, started together
    join: float  # until all know of one more
    death_half: float  # until half know of a death
    death_all: float
    heal: float  # until all agree after a cut of 10 s into halves
    false_calm: int  # held to be gone by somebody while running, in the time stated, nothing lost
    false_lossy: int  # the same with 5 % lost
    false_very: int  # the same with 20 % lost
    error: float  # of sums against the truth, the median
    oldest: float  # entry in a sum, the median
    covered: float  # part of the fleet in a sum, the least
    bytes_mean: float  # a second and balancer, nothing amiss
    bytes_most: int  # in any second, whatever was amiss
    datagrams: float
    core: float  # part of one that each takes, nothing amiss


HEADS = (
    "balancers", "all met", "a join known to all", "a death known to half", "to all", "agreed after a cut",
    "gone falsely, 0 / 5 / 20 % lost", "sum off (median)", "oldest entry (median)", "covered (least)",
    "B/s each", "most in a second", "datagrams/s", "of a core",
)  # fmt: skip


def row(figures: Figures) -> list[str]:
    """For HEADS; "-" where it did not come about."""
    times = (figures.met, figures.join, figures.death_half, figures.death_all, figures.heal)
    return [
        str(figures.balancers),
        *(f"{one:.1f}" if one >= 0 else "-" for one in times),
        f"{figures.false_calm} / {figures.false_lossy} / {figures.false_very}",
        f"{figures.error:.3f}",
        f"{figures.oldest:.1f}",
        f"{figures.covered:.2f}",
        f"{figures.bytes_mean:.0f}",
        str(figures.bytes_most),
        f"{figures.datagrams:.1f}",
        f"{figures.core:.4f}",
    ]


def measure(balancers: int, seed: int, quiet: int, acquainted: bool = False) -> Figures:
    """`quiet`: how long each of the three kinds of loss is watched; `acquainted`: all have met before."""
    talk = Talk(balancers, seed)
    if acquainted:
        talk.acquaint()
    met = -SECOND if acquainted else talk.run_until(talk.agree, 300 * SECOND)
    talk.run(30 * SECOND)
    spent, since = talk.spent, {key: len(sends) for key, sends in talk.sent.items()}
    false = []
    for lose in (0.0, 0.05, 0.2):
        gone = count_gone(talk)
        if lose:
            talk.between(0, quiet, "*", "*", lose=lose)
        else:
            begin = talk.now
        talk.run(quiet)
        false.append(count_gone(talk) - gone)
        if not lose:
            part = (talk.spent - spent) / balancers / (quiet / SECOND)
            sends = [one for key, sends in talk.sent.items() for one in sends[since[key] :]]
            seconds = balancers * (talk.now - begin) / SECOND
            error = statistics.median(talk.errors())
            sums = [node.fleet_totals(talk.now) for node in talk.alive().values()]
    talk.run(60 * SECOND)
    victim = balancers // 2
    talk.kill(victim)
    name, since_death = f"b{victim}", talk.now
    half = talk.run_until(lambda: 2 * talk.holders(name) < balancers, 60 * SECOND)
    talk.run_until(lambda: not talk.holders(name), 60 * SECOND)
    everyone = talk.now - since_death
    talk.run(5 * SECOND)
    talk.start(name, address(victim))
    join = talk.run_until(lambda: talk.holders(name) == balancers - 1, 120 * SECOND)
    talk.run(20 * SECOND)
    talk.faults.entries += cut_by_parity(talk.now)
    talk.run(10 * SECOND)
    heal = talk.run_until(talk.agree, 120 * SECOND)
    return Figures(
        balancers, met / SECOND, join / SECOND, half / SECOND, everyone / SECOND, heal / SECOND, *false,
        error=error, oldest=statistics.median(one.oldest_age for one in sums) / SECOND,
        covered=min(one.coverage for one in sums), bytes_mean=sum(size for _, size in sends) / seconds,
        bytes_most=talk.most_sent(), datagrams=len(sends) / seconds, core=part,
    )  # fmt: skip


def count_gone(talk: Talk) -> int:
    """Lines of the log that call somebody gone, as everybody runs."""
    return sum("gone" in text for _, _, text in talk.logs)


def cut_by_parity(now: int) -> list[Fault]:
    """For 10 s, names that end in an even figure from those that end in an odd one."""
    even, odd = "b*[02468]", "b*[13579]"
    return [Fault(now, now + 10 * SECOND, *sides, cut=True) for sides in ((even, odd), (odd, even))]
