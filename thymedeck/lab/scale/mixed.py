"""A few real daemons among simulated peers on loopback: the cost of peers with real sockets.

The simulated peers run the real decisions and encode real datagrams on one event loop in this process. Each
has a few sessions and lacks the rest of a balancer. They know each other at the start; the daemons have to
meet all of them.
"""

import contextlib
import os
import random
import time

from ...net.config_file import server_address
from ...net.loop import READ, EventLoop
from ...net.system import System
from ...peers.events import Action, CountsUpdated, MessageReceived, Send, Tick
from ...peers.membership import TICK, Membership, Peer
from ...peers.messages import MAX_DATAGRAM_BYTES, DatagramCodec, DatagramError
from ..membership_simulation import SECOND, ActualSessions, peer_settings
from ..testbed import SHARED_KEY
from .control import MessageTally
from .daemon import Daemon

JOIN_ADDRESSES = 3
MEASURED_SECONDS = 20.0
SERVERS = 60


class SimulatedPeer:
    """One peer with its own socket, on a loop shared by all of them."""

    def __init__(
        self, loop: EventLoop, name: str, address: tuple[str, int], rng: random.Random, fleet_size: int
    ) -> None:
        self.loop = loop
        self.sock = loop.system.datagram(address)
        self.sock.setblocking(False)
        self.address = "{}:{}".format(*self.sock.getsockname())
        settings = peer_settings(0, advertise=self.address)
        unix_ms = loop.system.time_ns() // 1_000_000
        self.membership = Membership(settings, name, rng.getrandbits(60), loop.now(), unix_ms, fleet_size)
        self.codec = DatagramCodec("lab", [bytes.fromhex(SHARED_KEY)])
        self.sessions = ActualSessions(random.Random(rng.getrandbits(60)), SERVERS)
        self.tally = MessageTally()  # of messages from the real daemons
        self.daemon_names: frozenset[str] = frozenset()
        loop.watch(self.sock, 0, READ, self)
        loop.after(rng.randrange(TICK), self.tick)
        loop.after(rng.randrange(SECOND), self.update_counts)

    def tick(self) -> None:
        self.loop.after(TICK, self.tick)
        self.perform_all(self.membership.handle(self.loop.now(), Tick()))

    def update_counts(self) -> None:
        self.loop.after(SECOND, self.update_counts)
        self.perform_all(self.membership.handle(self.loop.now(), CountsUpdated(self.sessions.update())))

    def perform_all(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                with contextlib.suppress(OSError):
                    self.sock.sendto(self.codec.seal(action.message), server_address(action.address))

    def on_ready(self, mask: int) -> None:
        while True:
            try:
                data = self.sock.recv(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, ConnectionError):
                return
            with contextlib.suppress(DatagramError):
                message = self.codec.open(data)
                if message.name in self.daemon_names:
                    self.tally.add(message, len(data))
                self.perform_all(self.membership.handle(self.loop.now(), MessageReceived(message, len(data))))


def introduce_all(simulated: list[SimulatedPeer], rng: random.Random, now: int) -> None:
    """Makes the simulated peers know each other."""
    for member in simulated:
        membership = member.membership
        for other in simulated:
            if other is not member:
                other_membership = other.membership
                peer = Peer(other_membership.name, other.address, other_membership.incarnation, now)
                peer.token, peer.chain_link = (
                    other_membership.token_for(member.address),
                    other_membership.chain.link(0),
                )
                membership.peers[peer.name] = membership.by_chain_key[peer.chain_key] = peer
                membership.counts_queue.append(peer)
        rng.shuffle(membership.counts_queue)


def measure_mixed_fleet(balancers: int, real: int, seed: int) -> dict:
    """`real` of the balancers are daemons. Raises TimeoutError if they do not meet all others in time.

    The parameters and the keys of the result are columns of a CSV file.
    """
    rng = random.Random(seed)
    loop = EventLoop(raise_fault, 1 << 20, System())
    host = f"127.{os.getpid() % 250 + 1}.{rng.randrange(256)}.{rng.randrange(1, 255)}"
    simulated = [
        SimulatedPeer(loop, f"h{index}", (host, 20_000 + index), rng, balancers)
        for index in range(balancers - real)
    ]
    introduce_all(simulated, rng, loop.now())
    join = [member.address for member in simulated[:JOIN_ADDRESSES]]
    daemon_names = frozenset(f"b{index}" for index in range(real))
    for member in simulated:
        member.daemon_names = daemon_names
    with contextlib.ExitStack() as stack:
        daemons = []
        for index, name in enumerate(sorted(daemon_names)):
            peers = {
                "fleet": "lab",
                "listen": f"{host}:{30_000 + index}",
                "join": join,
                "answer_within": "300 ms",
            }
            daemons.append(stack.enter_context(Daemon([], name=name, peers=peers)))
        begin = time.monotonic()
        memory_before = [daemon.resident_bytes() for daemon in daemons]
        timeout = 60 + balancers
        while not all(live_peer_count(daemon) == balancers - 1 for daemon in daemons):
            if time.monotonic() - begin > timeout:
                raise TimeoutError(
                    f"daemons know {[live_peer_count(daemon) for daemon in daemons]} of {balancers - 1} peers"
                )
            run_loop(loop, 1.0)
        met_seconds = time.monotonic() - begin
        run_loop(loop, 10.0)
        for member in simulated:
            member.tally.take()
        cpu_before, simulated_cpu, measured_from = (
            [daemon.cpu_seconds() for daemon in daemons],
            time.process_time(),
            time.monotonic(),
        )
        run_loop(loop, MEASURED_SECONDS)
        span = time.monotonic() - measured_from
        simulated_cpu = time.process_time() - simulated_cpu
        cores = [
            (daemon.cpu_seconds() - before) / span for daemon, before in zip(daemons, cpu_before, strict=True)
        ]
        memory = [
            daemon.resident_bytes() - before for daemon, before in zip(daemons, memory_before, strict=True)
        ]
    for member in simulated:
        member.sock.close()
    loop.selector.close()
    count = sum(member.tally.count.total() for member in simulated)
    size = sum(member.tally.bytes.total() for member in simulated)
    # Only the simulated peers count messages: scales up for those between the daemons.
    factor = (balancers - 1) / (balancers - real)
    return {
        "met": f"{met_seconds:.0f}", "messages": f"{count * factor / real / span:.3f}",
        "bytes": f"{size * factor / real / span:.1f}",
        "core": f"{sum(cores) / real:.5f}", "core_most": f"{max(cores):.5f}",
        "core_hollow": f"{simulated_cpu / len(simulated) / span:.5f}", "memory": f"{sum(memory) / real:.0f}",
    }  # fmt: skip


def live_peer_count(daemon: Daemon) -> int:
    """Returns how many live peers the daemon's log last reported."""
    for entry in reversed(daemon.events("peers")):
        if entry["text"].startswith("peers: "):
            return int(entry["text"].split()[1])
    return 0


def run_loop(loop: EventLoop, seconds: float) -> None:
    end = loop.now() + int(seconds * SECOND)
    timer = loop.after(int(seconds * SECOND), lambda: None)
    while loop.now() < end:
        loop.run_once()
    timer.cancel()


def raise_fault(error: BaseException) -> None:
    raise error
