"""Peers over UDP on the service's event loop; this balancer's own counts are gathered from the service."""

import contextlib
from collections import Counter, deque
from typing import TYPE_CHECKING

from ..net.config_file import server_address
from ..net.loop import READ
from ..net.system import System
from .counts_table import FleetTotals
from .events import (
    Action,
    CountsUpdated,
    Event,
    Log,
    MessageReceived,
    ReceiveOverflow,
    Send,
    ShutdownStarted,
    Tick,
)
from .limits import SlidingWindow
from .membership import TICK, Membership
from .messages import MAX_DATAGRAM_BYTES, DatagramCodec, DatagramError, SessionCounts, server_key
from .settings import PeerSettings, SettingsFileError, load_keys

if TYPE_CHECKING:
    from ..net.service import Service

SECOND = 10_000
COUNT_INTERVAL = SECOND
MAX_READS_PER_TURN = 32  # datagrams read before the loop serves its other sockets
# How long reading pauses at the rate limit; the socket buffers or loses what arrives in this time.
FLOOD_PAUSE = SECOND // 10


class PeerTransport:
    """Runs the membership logic of one balancer on a UDP socket. Raises OSError if it can't be bound."""

    def __init__(
        self, service: "Service", settings: PeerSettings, system: System, name: str, seed: int
    ) -> None:
        self.service = service
        self.loop = service.loop
        self.settings = settings
        self.codec = DatagramCodec(settings.fleet, list(settings.keys))
        self.membership = Membership(
            settings, name, seed, self.loop.now(), system.time_ns() // 1_000_000, service.deployment.replicas
        )
        self.sock = system.datagram(settings.listen)
        self.sock.setblocking(False)
        self.loop.free_descriptors -= 1
        self.receive_limit = SlidingWindow(settings.take_most)
        self.dropped: Counter[str] = Counter()  # datagrams, by reason
        # For each gathering of counts within the overload window: its time, and the dials made until then.
        self.dial_counts: deque[tuple[int, int]] = deque()
        self.is_stopping = False
        self.next_report_at = 0
        self.loop.watch(self.sock, 0, READ, self)
        self.tick()
        self.gather_counts()

    def fleet_totals(self) -> FleetTotals:
        return self.membership.fleet_totals(self.loop.now())

    def handle_event(self, event: Event) -> None:
        for action in self.membership.handle(self.loop.now(), event):
            self.perform(action)

    def perform(self, action: Action) -> None:
        if isinstance(action, Log):
            self.service.log("peers", text=action.text)
        elif isinstance(action, Send):
            # A send error is treated like a lost datagram.
            with contextlib.suppress(OSError):
                self.sock.sendto(self.codec.seal(action.message), server_address(action.address))

    def on_ready(self, mask: int) -> None:
        for _ in range(MAX_READS_PER_TURN):
            if not self.receive_limit.try_take(self.loop.now(), 1):
                # Excess datagrams stay unread, so that a flood takes no time from the sessions.
                self.loop.watch(self.sock, READ, 0, self)
                self.loop.after(FLOOD_PAUSE, self.resume_reading)
                self.dropped["flood"] += 1
                self.handle_event(ReceiveOverflow())
                return
            try:
                data = self.sock.recv(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # the pending error of a datagram sent earlier
            try:
                message = self.codec.open(data)
            except DatagramError as error:
                self.dropped[str(error)] += 1
                continue
            self.handle_event(MessageReceived(message, len(data)))

    def resume_reading(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.watch(self.sock, 0, READ, self)

    def tick(self) -> None:
        self.loop.after(TICK, self.tick)
        self.handle_event(Tick())

    def gather_counts(self) -> None:
        """Gathers this balancer's own counts for its peers; its own decisions never depend on them."""
        self.loop.after(COUNT_INTERVAL, self.gather_counts)
        service, now = self.service, self.loop.now()
        if service.shutdown.has_begun and not self.is_stopping:
            self.is_stopping = True
            self.handle_event(ShutdownStarted())
        window = service.deployment.overload_window
        self.dial_counts.append((now, service.dial_count))
        while len(self.dial_counts) > 1 and self.dial_counts[1][0] <= now - window:
            self.dial_counts.popleft()
        kind_names = {index: name for name, index in service.kinds.items()}
        kinds: Counter[str] = Counter()
        servers: list[tuple[int, int]] = []
        for server_id, position in service.server_index.items():
            server = service.servers[position]
            if server.sessions:
                kinds[kind_names.get(server.entry.kind, "") if server.entry else ""] += len(server.sessions)
                servers.append((server_key(server_id), len(server.sessions)))
        servers.sort(key=lambda entry: (-entry[1], entry[0]))
        max_listed = self.settings.servers_most
        self.handle_event(
            CountsUpdated(
                SessionCounts(
                    version=1,
                    by_kind=sorted(kinds.items()),
                    by_server=servers[:max_listed],
                    unlisted=sum(count for _, count in servers[max_listed:]),
                    dials=service.dial_count - self.dial_counts[0][1],
                    draining=service.shutdown.has_begun,
                    list_version=service.list_client.version,
                )
            )
        )
        self.report_dropped()

    def report_dropped(self) -> None:
        """Logs what was dropped since the last line, at most every ten seconds."""
        dropped = self.dropped + self.membership.dropped
        if dropped and self.loop.now() >= self.next_report_at:
            self.next_report_at = self.loop.now() + 10 * SECOND
            self.service.log(
                "peers_dropped", **{reason.replace(" ", "_"): n for reason, n in dropped.items()}
            )
            self.dropped.clear()
            self.membership.dropped.clear()

    def reload_keys(self) -> None:
        """Reads the key file again, so that keys can be changed at run time; a bad file changes nothing."""
        try:
            self.codec.keys = load_keys(self.settings.key_path)
        except SettingsFileError as error:
            self.service.log("peer_keys_kept", why=str(error))
            return
        self.service.log("peer_keys", count=len(self.codec.keys))
