"""Peers on sockets: datagrams on the service's own loop, the own counts gathered from the service."""

import contextlib
from collections import Counter, deque
from typing import TYPE_CHECKING

from ..net.config_file import server_address
from ..net.loop import READ
from ..net.system import System
from .bounds import Window
from .ledger import Sum
from .messages import LARGEST, Counts, Envelope, Unusable, server_key
from .node import TICK, Peers
from .stated import Stated, Unfit, read_keys
from .words import Action, Came, Counted, Deaf, Event, Leaving, Log, Send, Tick

if TYPE_CHECKING:
    from ..net.service import Service

SECOND = 10_000
COUNT_EVERY = SECOND
AT_ONCE = 32  # datagrams taken in before others have their turn
FULL_PAUSE = SECOND // 10  # past a second's datagrams the rest waits in the socket, or is lost there


class Carrier:
    """Raises OSError where the address can't be listened on."""

    def __init__(self, service: "Service", stated: Stated, system: System, name: str, seed: int) -> None:
        self.service = service
        self.loop = service.loop
        self.stated = stated
        self.envelope = Envelope(stated.fleet, list(stated.keys))
        self.peers = Peers(
            stated, name, seed, self.loop.now(), system.time_ns() // 1_000_000, service.deployment.replicas
        )
        self.sock = system.datagram(stated.listen)
        self.sock.setblocking(False)
        self.loop.free_descriptors -= 1
        self.taken = Window(stated.take_most)
        self.unusable: Counter[str] = Counter()
        self.dials: deque[tuple[int, int]] = deque()  # how many were made, at each count
        self.stopping = False
        self.report_at = 0
        self.loop.watch(self.sock, 0, READ, self)
        self.tick()
        self.count()

    def sum(self) -> Sum:
        return self.peers.sum(self.loop.now())

    def tell(self, event: Event) -> None:
        for action in self.peers.handle(self.loop.now(), event):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        if isinstance(action, Log):
            self.service.log("peers", text=action.text)
        elif isinstance(action, Send):
            # What can't be sent is lost like any datagram.
            with contextlib.suppress(OSError):
                self.sock.sendto(self.envelope.close(action.message), server_address(action.address))

    def on_ready(self, mask: int) -> None:
        for _ in range(AT_ONCE):
            if not self.taken.take(self.loop.now(), 1):
                # Guards against a flood that takes the time of sessions: it is not even read.
                self.loop.watch(self.sock, READ, 0, self)
                self.loop.after(FULL_PAUSE, self.read_again)
                self.unusable["flood"] += 1
                self.tell(Deaf())
                return
            try:
                data = self.sock.recv(LARGEST + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # what an earlier datagram met is told here
            try:
                message = self.envelope.open(data)
            except Unusable as why:
                self.unusable[str(why)] += 1
                continue
            self.tell(Came(message, len(data)))

    def read_again(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.watch(self.sock, 0, READ, self)

    def tick(self) -> None:
        self.loop.after(TICK, self.tick)
        self.tell(Tick())

    def count(self) -> None:
        """Gathers what this balancer has; what others make of it is no concern of its own decisions."""
        self.loop.after(COUNT_EVERY, self.count)
        service, now = self.service, self.loop.now()
        if service.is_stopping and not self.stopping:
            self.stopping = True
            self.tell(Leaving())
        window = service.deployment.overload_window
        self.dials.append((now, service.dial_count))
        while len(self.dials) > 1 and self.dials[1][0] <= now - window:
            self.dials.popleft()
        names = {at: name for name, at in service.kinds.items()}
        kinds: Counter[str] = Counter()
        servers: list[tuple[int, int]] = []
        for ident, index in service.server_index.items():
            server = service.servers[index]
            if server.sessions:
                kinds[names.get(server.entry.kind, "") if server.entry else ""] += len(server.sessions)
                servers.append((server_key(ident), len(server.sessions)))
        servers.sort(key=lambda one: (-one[1], one[0]))
        most = self.stated.servers_most
        self.tell(
            Counted(
                Counts(
                    version=1,
                    by_kind=sorted(kinds.items()),
                    by_server=servers[:most],
                    beyond=sum(count for _, count in servers[most:]),
                    dials=service.dial_count - self.dials[0][1],
                    draining=service.is_stopping,
                    list_version=service.list_client.version,
                )
            )
        )
        self.report()

    def report(self) -> None:
        """What counted for nothing since the last line, every ten seconds."""
        dropped = self.unusable + self.peers.counted
        if dropped and self.loop.now() >= self.report_at:
            self.report_at = self.loop.now() + 10 * SECOND
            self.service.log("peers_dropped", **{why.replace(" ", "_"): n for why, n in dropped.items()})
            self.unusable.clear()
            self.peers.counted.clear()

    def reload_keys(self) -> None:
        """Keys are changed under way: the file is read again, a bad one changes nothing."""
        try:
            self.envelope.keys = read_keys(self.stated.keys_from)
        except Unfit as why:
            self.service.log("peer_keys_kept", why=str(why))
            return
        self.service.log("peer_keys", count=len(self.envelope.keys))
