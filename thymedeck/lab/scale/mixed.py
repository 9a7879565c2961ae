"""A few real daemons among hollow peers on loopback, which share one process: the cost of real sockets.

The hollow ones run the very decisions, envelopes and datagrams, on one loop, and hold a few sessions as rows.
They know each other at the start; the real daemons have to meet them all. Left out: the service beside them.
"""

import contextlib
import os
import random
import time

from ...net.config_file import server_address
from ...net.loop import READ, EventLoop
from ...net.system import System
from ...peers.messages import LARGEST, Envelope, Unusable
from ...peers.node import TICK, Peer, Peers
from ...peers.words import Action, Came, Counted, Send, Tick
from ..stage import KEY
from ..talk import SECOND, Truth, stated
from .control import Tally
from .daemon import Daemon

JOINED = 3
QUIET = 20.0  # seconds that are measured
SERVERS = 60


class Member:
    """One hollow peer with a socket of its own."""

    def __init__(
        self, loop: EventLoop, name: str, address: tuple[str, int], chance: random.Random, size: int
    ) -> None:
        self.loop = loop
        self.sock = loop.system.datagram(address)
        self.sock.setblocking(False)
        self.address = "{}:{}".format(*self.sock.getsockname())
        own = stated(0, advertise=self.address)
        unix_ms = loop.system.time_ns() // 1_000_000
        self.peers = Peers(own, name, chance.getrandbits(60), loop.now(), unix_ms, size)
        self.envelope = Envelope("lab", [bytes.fromhex(KEY)])
        self.truth = Truth(random.Random(chance.getrandbits(60)), SERVERS)
        self.tally = Tally()  # of what came from each real daemon
        self.real: frozenset[str] = frozenset()
        loop.watch(self.sock, 0, READ, self)
        loop.after(chance.randrange(TICK), self.tick)
        loop.after(chance.randrange(SECOND), self.recount)

    def tick(self) -> None:
        self.loop.after(TICK, self.tick)
        self.carry_out(self.peers.handle(self.loop.now(), Tick()))

    def recount(self) -> None:
        self.loop.after(SECOND, self.recount)
        self.carry_out(self.peers.handle(self.loop.now(), Counted(self.truth.change())))

    def carry_out(self, actions: list[Action]) -> None:
        for one in actions:
            if isinstance(one, Send):
                with contextlib.suppress(OSError):
                    self.sock.sendto(self.envelope.close(one.message), server_address(one.address))

    def on_ready(self, mask: int) -> None:
        while True:
            try:
                data = self.sock.recv(LARGEST + 1)
            except (BlockingIOError, ConnectionError):
                return
            with contextlib.suppress(Unusable):
                message = self.envelope.open(data)
                if message.name in self.real:
                    self.tally.note(message, len(data))
                self.carry_out(self.peers.handle(self.loop.now(), Came(message, len(data))))


def acquaint(members: list[Member], chance: random.Random, now: int) -> None:
    for member in members:
        node = member.peers
        for other in members:
            if other is not member:
                them = other.peers
                peer = Peer(them.name, other.address, them.incarnation, now)
                peer.token, peer.link = them.token_for(member.address), them.chain.link(0)
                node.peers[peer.name] = node.by_key[peer.key] = peer
                node.telling.append(peer)
        chance.shuffle(node.telling)


def fleet(balancers: int, real: int, seed: int) -> dict:
    """`real` of them are daemons. Raises TimeoutError where they don't meet all within some minutes."""
    chance = random.Random(seed)
    loop = EventLoop(fail, 1 << 20, System())
    host = f"127.{os.getpid() % 250 + 1}.{chance.randrange(256)}.{chance.randrange(1, 255)}"
    members = [
        Member(loop, f"h{at}", (host, 20_000 + at), chance, balancers) for at in range(balancers - real)
    ]
    acquaint(members, chance, loop.now())
    join = [member.address for member in members[:JOINED]]
    names = frozenset(f"b{at}" for at in range(real))
    for member in members:
        member.real = names
    with contextlib.ExitStack() as held:
        daemons = []
        for at, name in enumerate(sorted(names)):
            peers = {
                "fleet": "lab",
                "listen": f"{host}:{30_000 + at}",
                "join": join,
                "answer_within": "300 ms",
            }
            daemons.append(held.enter_context(Daemon([], name=name, peers=peers)))
        begin = time.monotonic()
        bare = [daemon.memory() for daemon in daemons]
        within = 60 + balancers
        while not all(here(daemon) == balancers - 1 for daemon in daemons):
            if time.monotonic() - begin > within:
                raise TimeoutError(f"{[here(daemon) for daemon in daemons]} of {balancers - 1} met")
            turn(loop, 1.0)
        met = time.monotonic() - begin
        turn(loop, 10.0)
        for member in members:
            member.tally.taken()
        before, own, began = [daemon.cpu() for daemon in daemons], time.process_time(), time.monotonic()
        turn(loop, QUIET)
        span = time.monotonic() - began
        own = time.process_time() - own
        cores = [(daemon.cpu() - was) / span for daemon, was in zip(daemons, before, strict=True)]
        more = [daemon.memory() - was for daemon, was in zip(daemons, bare, strict=True)]
    for member in members:
        member.sock.close()
    loop.selector.close()
    count = sum(member.tally.count.total() for member in members)
    size = sum(member.tally.bytes.total() for member in members)
    part = (balancers - 1) / (balancers - real)  # what goes to the other daemons is not seen
    return {
        "met": f"{met:.0f}", "messages": f"{count * part / real / span:.3f}",
        "bytes": f"{size * part / real / span:.1f}",
        "core": f"{sum(cores) / real:.5f}", "core_most": f"{max(cores):.5f}",
        "core_hollow": f"{own / len(members) / span:.5f}", "memory": f"{sum(more) / real:.0f}",
    }  # fmt: skip


def here(daemon: Daemon) -> int:
    """How many peers its log last told to be here."""
    for entry in reversed(daemon.events("peers")):
        if entry["text"].startswith("peers: "):
            return int(entry["text"].split()[1])
    return 0


def turn(loop: EventLoop, seconds: float) -> None:
    end = loop.now() + int(seconds * SECOND)
    due = loop.after(int(seconds * SECOND), lambda: None)
    while loop.now() < end:
        loop.run_once()
    due.cancel()


def fail(fault: BaseException) -> None:
    raise fault
