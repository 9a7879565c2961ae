"""The balancer service: turns socket activity into policy events and carries out the policy's actions.

Times are whole tenths of a millisecond unless a name says otherwise.
"""

import random
import resource
from collections import deque
from collections.abc import Callable, Set
from itertools import islice

import msgspec
from msgspec.structs import replace

from .. import interface
from ..policy import Balancer
from ..settings import MIN_WEIGHT, deployment_from
from .clients import Acceptor, Client
from .config_file import (
    DECODE_ERRORS,
    BalancerConfig,
    ServerList,
    ServerListEntry,
    StartError,
    StartupConfig,
    decode_entry,
    entry_id,
    reread_config,
    server_address,
)
from .endings import OUTCOMES, Ending
from .held_lines import HeldLines
from .lines import is_printable_word
from .log import EventLog
from .loop import DIAL_RESERVE, EventLoop
from .restored import RestoredSession
from .serverlist import ListClient
from .servers import DialConnection, KnownServer
from .shutdown import Shutdown
from .signals import SignalReceiver
from .system import System

SECOND = 10_000
STATES = {
    "SERVING": interface.ServerState.READY,
    "DRAINING": interface.ServerState.DRAINING,
    "DELETED": interface.ServerState.GONE,
}
MAX_DEADLINE_MS = 86_400_000  # largest deadline accepted from a client
MAX_LOAD = 1e12  # reported loads from here on are ignored, clients' hints from here on are malformed
DRAIN_SPREAD = SECOND  # time over which the sessions of a draining server are moved
CHECK_INTERVAL = SECOND // 2  # between checks of the established sessions of each server
LIST_BATCH = 256  # list entries passed to the policy in one loop iteration
LONG_ITERATION = SECOND // 10  # logged from this duration on, as all other work waits meanwhile
LONG_DECISION = SECOND // 20  # likewise for a single decision
# A connection whose line has been unanswered for this long is taken to be dead.
SILENCE_TIMEOUT = 3 * SECOND
UNRESPONSIVE_SILENCE_TIMEOUT = SECOND  # the same for a server that has not answered anyone lately
# With this many unanswered lines and no recent answer, the server is at fault rather than the connections.
MIN_UNANSWERED = 3


def descriptor_limit(config: BalancerConfig) -> int:
    """The number of descriptors the process may use: the lower of the configured and the system limit."""
    granted = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return config.limits.sockets if granted == resource.RLIM_INFINITY else min(granted, config.limits.sockets)


def has_changed_beyond_weight(before: interface.ServerEntry | None, entry: interface.ServerEntry) -> bool:
    """Whether more than the weight changed; lists may update the weights of all servers every second."""
    return before is None or replace(before, weight=entry.weight) != entry


class Service:
    """One balancer: owns the event loop, the connections and the policy."""

    def __init__(self, start: StartupConfig, system: System) -> None:
        config = start.config
        settings = self.settings = config.settings
        self.log = EventLog(config.name, system)
        self.config_path = start.path
        self.loop = EventLoop(self.log.log_exception, descriptor_limit(config), system)
        # The protocol has no probes, and client connections are terminated here.
        self.deployment = replace(deployment_from(settings), may_probe=False, is_passthrough=False)
        self.balancer = Balancer(start.seed, self.deployment)
        self.uniform = random.Random(start.seed).uniform
        self.listeners = {listener.name.encode(): index for index, listener in enumerate(settings.listeners)}
        self.zones = {name: index for index, name in enumerate(settings.zones)}
        self.kinds = {name: index for index, name in enumerate(settings.kinds)}
        self.on_reload: list[Callable[[], None]] = []  # called after a reload of the configuration
        self.loop_time_offset = self.loop.now() - system.time_ns() // 100_000  # from Unix to loop time
        self.server_index: dict[str, int] = {}
        self.servers: list[KnownServer] = []
        # Listed servers not yet passed to the policy.
        self.pending_updates: dict[int, tuple[ServerListEntry | None, interface.ListKind]] = {}
        self.active_servers: dict[int, KnownServer] = {}  # with sessions or with delays yet to be reported
        self.held_lines = HeldLines(self)
        self.sessions: dict[int, Client] = {}
        self.open_identifiers: set[bytes] = set()  # the ids that the clients gave these sessions
        self.connections: dict[Client, None] = {}  # all open client connections, oldest first
        self.evictable: dict[Client, None] = {}  # those that carry no session, oldest first
        self.is_evicting = False
        self.next_session_id = 0
        self.list_timer = self.loop.after(0, lambda: None)  # until the policy requests the list again
        self.dial_count = 0  # since the start, without the dials of restored sessions
        self.events: deque[interface.Event] = deque()
        self.is_dispatching = False
        self.is_ready = False
        self.shutdown = Shutdown(self)
        self.acceptor: Acceptor | None = None
        # Without a list in the configuration an empty one starts the requests for it.
        known = config.known or ServerList(version=-1)
        self.list_client = ListClient(self, start.discovery, self.deployment, known.version)
        self.listen = start.listen
        self.apply_list(known, interface.ListKind.SAVED)
        if not self.deployment.list_on_request:
            self.list_client.start()

    def serve(self, signals: SignalReceiver) -> None:
        signals.attach(self)
        self.start_accepting()
        self.loop.run()
        self.log("stopped")

    def start_accepting(self) -> None:
        """Opens the listening socket; clients are accepted from here on."""
        self.acceptor = Acceptor(self, self.listen)
        self.is_ready = True
        self.loop.after(CHECK_INTERVAL, self.check_servers)
        self.log(
            "started", listen="{}:{}".format(*self.acceptor.sock.getsockname()), servers=len(self.servers)
        )

    # Policy events and actions

    def handle_event(self, event: interface.Event) -> None:
        """Passes the event to the policy; events caused by its actions are queued until all are done."""
        self.events.append(event)
        if self.is_dispatching:
            return
        self.is_dispatching = True
        while self.events:
            self.loop.run_guarded(self.decide, self.events.popleft())
        self.is_dispatching = False

    def decide(self, event: interface.Event) -> None:
        """Carries out the policy's actions for an event; one that fails does not affect the others."""
        started_at = self.loop.now()
        actions = self.balancer.handle(started_at, event)
        duration = self.loop.now() - started_at
        if duration >= LONG_DECISION:
            candidates = self.balancer.candidates
            counts = {"servers": len(candidates.ready), "active": len(candidates.active)}
            self.log("slow_decision", about=type(event).__name__, took=duration, **counts)
        for action in actions:
            self.loop.run_guarded(self.perform, action)

    def perform(self, action: interface.Action) -> None:
        match action:
            case interface.Dial():
                self.dial(action)
            case interface.SetTimer():
                due = interface.TimerFired(action.timer, action.index)
                timer_handle = self.loop.after(action.after, lambda: self.handle_event(due))
                if action.timer is interface.Timer.LIST_REQUEST:
                    # Else each SIGHUP during an outage of the list would start one more chain of requests.
                    self.list_timer.cancel()
                    self.list_timer = timer_handle
            case interface.Refuse():
                line = b"BUSY %d\r\n" % (action.retry_after // 10) if action.retry_after else b"BUSY\r\n"
                self.answer(action.session_id, line, action.reason)
            case interface.TearDown():
                self.answer(action.session_id, b"ERR no server\r\n", action.reason)
            case interface.Move():
                client = self.sessions.get(action.session_id)
                if client is not None:
                    client.move()
            case interface.RequestList():
                self.list_client.start(is_scheduled=True)
            case interface.Log():
                self.log("mode", text=action.text)

    def answer(self, session_id: int, line: bytes, reason: interface.Reason) -> None:
        client = self.remove_session(session_id)
        if client is not None:
            self.log("answer", sess=session_id, line=line.decode().strip(), why=reason)
            client.answer(line, Ending.ANSWERED)

    # Sessions

    def add_session(self, client: Client) -> None:
        self.sessions[client.session_id] = client
        self.open_identifiers.add(client.open_words[1])

    def remove_session(self, session_id: int) -> Client | None:
        client = self.sessions.pop(session_id, None)
        if client is not None:
            self.open_identifiers.discard(client.open_words[1])
        return client

    def on_open_line(self, client: Client, line: bytes) -> None:
        """Parses and validates an OPEN line completely before anything is dialled for it."""
        try:
            verb, identifier, key, text = line.split(b" ")
            pairs = [part.partition(b"=") for part in text.split(b",")]
            parameters = {name: value for name, _, value in pairs}
            budget = int(parameters[b"d"]) * 10
            listener = self.listeners[parameters[b"c"]]
            hint = float(parameters[b"h"]) if b"h" in parameters else None
            if (
                verb != b"OPEN"
                or not (is_printable_word(identifier) and is_printable_word(key) and is_printable_word(text))
                or len(parameters) < len(pairs)
                or not parameters[b"d"].isdigit()
                or budget > 10 * MAX_DEADLINE_MS
                or not 0 <= (hint or 0) < MAX_LOAD
                or client.inbound.used  # clients must wait for the answer
                or identifier
                in self.open_identifiers  # must be new with every connection; this one is in use
            ):
                raise ValueError
        except (ValueError, KeyError):
            # A peer that speaks another protocol gets an error and does not disturb the service.
            self.log("malformed", line=line[:200].decode("latin-1"))
            client.answer(b"ERR malformed\r\n", Ending.MALFORMED)
            return
        shown = [(name, b"\0" if name == b"d" else value) for name, _, value in pairs]
        self.evictable.pop(client, None)
        client.open_words = [verb, identifier, key, b",".join(b"%s=%s" % pair for pair in shown)]
        client_key = key.decode("latin-1")
        session_id = client.session_id = self.next_session_id
        self.next_session_id += 1
        self.log(
            "came",
            sess=session_id,
            id=identifier.decode(),
            key=client_key,
            listener=listener,
            figures=text.decode("latin-1"),
        )
        if b"at" in parameters:
            server = self.server_index.get(parameters[b"at"].decode("latin-1"))
            if server is None:
                client.answer(b"ERR no such server\r\n", Ending.ANSWERED)
                return
            if server in self.pending_updates:
                self.deliver([server])
            self.add_session(client)
            client.restored = RestoredSession(self, client, server, self.deployment.listeners[listener])
            self.handle_event(interface.SessionRestored(session_id, listener, hint, client_key, server))
            client.restored.dial()
            return
        self.add_session(client)
        # The time that the line may have waited unread counts towards the client's deadline.
        budget = max(budget - self.loop.max_unread_time(), 0)
        client.start_answer_timer(budget)
        self.handle_event(
            interface.SessionArrived(
                session_id, listener, budget, hint, client_key, parameters.get(b"mid_flow") == b"1"
            )
        )

    def dial(self, action: interface.Dial) -> None:
        self.dial_count += 1
        session_id, server = action.session_id, action.server
        client = self.sessions.get(session_id)  # None: the client has left, and that event is still queued
        connect_timeout = self.deployment.connect_timeout
        # The decision itself took time; no dial may outlast the client's deadline.
        limit = min(action.limit, client.answer_deadline - self.loop.now()) if client is not None else 0
        is_allowed = limit > 0 and not self.shutdown.is_closing
        if not (is_allowed and self.start_dial(client, server, connect_timeout, limit)):
            gone = session_id not in self.sessions
            self.handle_event(interface.DialEnded(session_id, server, OUTCOMES[Ending.NO_SOCKET], gone, None))

    def may_send(self, dial: DialConnection) -> bool:
        """Whether the server may still get the line: it may have started draining while the dial connected.

        A restored session goes to its server in any state.
        """
        entry = self.servers[dial.server].entry
        return dial.client.restored is not None or entry is None or entry.state is interface.ServerState.READY

    def evict_clients(self, min_free: int) -> None:
        """Closes clients without a session, oldest first, until more than `min_free` descriptors are free.

        Many idle or lingering clients would otherwise take the sockets that others need.
        """
        if self.is_evicting:
            return  # called again for the dial of a client that was read below; the outer loop continues
        self.is_evicting = True
        while self.loop.free_descriptors <= min_free and self.evictable:
            oldest = next(iter(self.evictable))
            oldest.read()  # its OPEN line may wait unread, and closing would reset the session
            if oldest in self.evictable:
                oldest.answer(b"BUSY\r\n", Ending.PUSHED_OUT)
                oldest.close()
        self.is_evicting = False

    def start_dial(self, client: Client, server: int, connect_timeout: int, limit: int) -> bool:
        """Returns whether the dial was started: the client is still connected and a socket was free."""
        # The client may have closed while this iteration ran, with the end of stream still unread.
        client.read()
        if client.is_finished:
            return False
        self.evict_clients(DIAL_RESERVE)
        while self.loop.free_descriptors <= DIAL_RESERVE and self.list_client.late_requests.drop_latest():
            pass
        if self.loop.free_descriptors <= DIAL_RESERVE:
            # Dials must not exceed the descriptor limit, and leave one for the list request.
            self.log("no_sockets", why="sessions hold all")
            return False
        try:
            client.dial = DialConnection(self, client, server, connect_timeout, limit)
        except OSError as error:
            self.log("no_sockets", why=str(error))
            return False
        client.dial.start(client.open_line(limit))
        return True

    def fail_restored(self, restored: RestoredSession, reason: interface.Reason) -> None:
        client = restored.client
        outcome = OUTCOMES[Ending.NOT_UP]
        ended = interface.DialEnded(client.session_id, restored.server, outcome, True, None)
        self.answer(client.session_id, b"ERR not up\r\n", reason)
        self.handle_event(ended)

    def on_dial_established(self, dial: DialConnection, duration: int) -> None:
        client = dial.client
        client.on_established(dial)
        known = self.active_servers[dial.server] = self.servers[dial.server]
        known.sessions[client] = None
        if client.restored is None:
            self.log("up", sess=client.session_id, server=dial.server, took=duration)
            self.handle_event(interface.SessionEstablished(client.session_id, dial.server, duration))

    def on_dial_ended(self, dial: DialConnection, ending: Ending) -> None:
        client = dial.client
        client.dial = None
        if client.session_id not in self.sessions:
            return
        self.log(
            "dial",
            sess=client.session_id,
            server=dial.server,
            ending=ending.name,
            sent=dial.is_sent,
            took=self.loop.now() - dial.started_at,
        )
        if client.restored is not None:
            client.restored.on_dial_ended(dial, ending)
            return
        outcome = OUTCOMES[ending]
        self.handle_event(interface.DialEnded(client.session_id, dial.server, outcome, False, None))

    def on_client_ended(self, client: Client, ending: Ending) -> None:
        """The client's side has ended; ends the dial and the session with it."""
        dial = client.dial
        if client.is_established:
            self.on_session_ended(client, ending)
            dial.close()
        elif self.remove_session(client.session_id) is not None:
            self.log("left", sess=client.session_id, ending=ending.name)
            self.handle_event(interface.SessionLeft(client.session_id))
            server = -1 if client.restored is None else client.restored.server  # also between two dials
            if dial is not None:
                server = dial.server
                dial.finish(ending)
            if server >= 0:
                self.handle_event(
                    interface.DialEnded(client.session_id, server, OUTCOMES[ending], True, None)
                )

    def on_session_ended(self, client: Client, ending: Ending) -> None:
        """Reports the end of an established session; later calls for the session do nothing."""
        if self.remove_session(client.session_id) is None:
            return
        server = client.dial.server
        self.servers[server].sessions.pop(client, None)
        self.log("session", sess=client.session_id, server=server, ending=ending.name)
        self.handle_event(interface.DialEnded(client.session_id, server, OUTCOMES[ending], True, None))

    # Loads and message delays

    def on_load_line(self, dial: DialConnection, line: bytes) -> None:
        try:
            load = float(line[5:])
        except ValueError:
            return
        session_id, now, loads = dial.client.session_id, self.loop.now(), dial.loads
        if not 0 <= load < MAX_LOAD or session_id not in self.sessions:
            return
        if self.deployment.reports_delay and self.servers[dial.server].delay_schedule.is_delay_report(
            now, loads
        ):
            if loads.is_one_period_old(now) and loads.previous is not None:
                # The line before was a delay report too and was taken for a load: the real load is restored.
                self.handle_event(interface.LoadReported(session_id, loads.previous))
            self.handle_event(interface.DelayReported(session_id, dial.server, int(load * 10)))
            return
        loads.record(now, load)
        self.handle_event(interface.LoadReported(session_id, load))

    def add_delay_sample(self, server: int, delay: int) -> None:
        known = self.active_servers[server] = self.servers[server]
        known.add_delay_sample(delay)

    def check_servers(self) -> None:
        """Reports slow messages per server, including unanswered ones, and once when they are fast again.

        Also moves the sessions whose lines have been unanswered for too long.
        """
        self.loop.after(CHECK_INTERVAL, self.check_servers)
        if self.loop.longest_iteration >= LONG_ITERATION:
            self.log("long_turn", took=self.loop.longest_iteration)
        self.loop.longest_iteration = 0
        now = self.loop.now()
        for index, server in list(self.active_servers.items()):
            if not (server.sessions or server.delays):
                del self.active_servers[index]
                continue
            waiting_clients = [one for one in server.sessions if one.unanswered_since >= 0]
            delays = sorted([*server.delays, *(now - one.unanswered_since for one in waiting_clients)])
            server.delays.clear()
            has_answers = len(waiting_clients) < len(delays)
            # One dead connection says nothing about its server. A server that has stopped answering must not
            # pass for a merely slow one because its latest lines have not waited long yet.
            server.is_unresponsive = not has_answers and (
                server.is_unresponsive or len(waiting_clients) >= MIN_UNANSWERED
            )
            if has_answers or (server.is_unresponsive and waiting_clients):
                delay = delays[-1] if server.is_unresponsive else delays[len(delays) // 2]
                is_slow = 3 * delay > self.balancer.shortest_message_aim
                if is_slow or server.is_slow:
                    client = next(iter(waiting_clients or server.sessions), None)
                    self.handle_event(
                        interface.DelayReported(-1 if client is None else client.session_id, index, delay)
                    )
                server.is_slow = is_slow
            for client in waiting_clients:
                timeout = UNRESPONSIVE_SILENCE_TIMEOUT if server.is_unresponsive else SILENCE_TIMEOUT
                if not client.is_moving and now - client.unanswered_since >= timeout:
                    self.log("silent", sess=client.session_id, server=index)
                    client.move()

    # The server list

    def on_list(self, server_list: ServerList) -> None:
        kind = interface.ListKind.WHOLE if server_list.full else interface.ListKind.CHANGES
        self.apply_list(server_list, kind)

    def apply_list(self, server_list: ServerList, kind: interface.ListKind) -> None:
        # The list's entries for new and changed servers; None: not to be logged.
        rows: dict[int, ServerListEntry | None] = {}
        listed_entries: dict[int, interface.ServerEntry] = {}
        for raw in server_list.servers:
            index, entry, row = self.parse_entry(raw)
            if entry is None:
                continue
            listed_entries[index] = entry
            known = self.servers[index]
            if entry.state is not interface.ServerState.READY and kind is not interface.ListKind.SAVED:
                self.move_sessions_away(index)
            if entry != known.entry:
                rows[index] = row if has_changed_beyond_weight(known.entry, entry) else None
                known.entry = entry
        if kind is interface.ListKind.WHOLE:
            rows |= dict.fromkeys(self.mark_unlisted_gone(listed_entries.keys()))
        self.log("list_taken", kind=kind.name, servers=len(listed_entries), changed=len(rows))
        if kind is interface.ListKind.SAVED:
            self.log_listed(rows, kind)
            self.handle_event(interface.ServerListUpdated(kind, list(listed_entries.values())))
        else:
            self.queue_changes(rows, kind)

    def queue_changes(self, rows: dict[int, ServerListEntry | None], kind: interface.ListKind) -> None:
        """Passes servers that must get no new sessions to the policy at once, the others in batches.

        A long list handled in one iteration would hold up all other work.
        """
        was_waiting = bool(self.pending_updates)
        not_ready = []
        for index, row in rows.items():
            self.pending_updates[index] = (row, kind)
            if self.servers[index].entry.state is not interface.ServerState.READY:
                not_ready.append(index)
        if not_ready:
            self.deliver(not_ready)
        if not was_waiting and (self.pending_updates or not not_ready):
            self.deliver_batch()  # also without changes: the policy learns that the list is available

    def deliver_batch(self) -> None:
        self.deliver(list(islice(self.pending_updates, LIST_BATCH)))
        if self.pending_updates:
            self.loop.after(0, self.deliver_batch)

    def deliver(self, indexes: list[int]) -> None:
        """Passes these servers to the policy in their latest state, which may be newer than when queued."""
        for index in indexes:
            row, kind = self.pending_updates.pop(index)
            self.log_listed({index: row}, kind)
        entries = [self.servers[i].entry for i in indexes]
        self.handle_event(
            interface.ServerListUpdated(
                interface.ListKind.CHANGES,
                entries,
                listed_count=self.count_listed() if self.pending_updates else 0,
            )
        )

    def count_listed(self) -> int:
        """The size of the whole list, so that budgets per server are not computed from a part of it."""
        return sum(known.entry.state is not interface.ServerState.GONE for known in self.servers)

    def parse_entry(
        self, raw: msgspec.Raw
    ) -> tuple[int, interface.ServerEntry | None, ServerListEntry | None]:
        """Returns the server's index, its entry for the policy (None if unusable) and the decoded row."""
        try:
            row = decode_entry(raw)
        except DECODE_ERRORS as error:
            # A bad entry leaves its server as it was; the rest of the list is used.
            self.log("bad_entry", why=str(error), entry=bytes(raw)[:200].decode("latin-1"))
            index = self.server_index.get(entry_id(raw), -1)
            return index, self.servers[index].entry if index >= 0 else None, None
        index = self.server_index.get(row.id)
        try:
            address = server_address(row.addr)
        except ValueError:
            if index is None:
                self.log("bad_address", server=row.id, address=row.addr)
                return -1, None, row
            address = self.servers[index].address
        if index is None:
            index = self.server_index[row.id] = len(self.servers)
            self.servers.append(KnownServer(address))
        self.servers[index].address = address
        state = STATES.get(row.state, interface.ServerState.DRAINING)
        started = max(int(row.started_ms * 10) + self.loop_time_offset, 1) if row.started_ms > 0 else 0
        weight = max(row.weight, MIN_WEIGHT)
        zone, machine = self.zones.get(row.zone, -1), self.kinds.get(row.kind, -1)
        return index, interface.ServerEntry(index, zone, row.cell, state, started, weight, machine), row

    def log_listed(self, rows: dict[int, ServerListEntry | None], kind: interface.ListKind) -> None:
        for index, row in rows.items():
            if row is not None:
                more = {
                    "zone": row.zone,
                    "machine": row.kind,
                    "state": row.state,
                    "started_ms": row.started_ms,
                }
                self.log("listed", kind=kind.name, server=index, id=row.id, **more)

    def mark_unlisted_gone(self, listed_entries: Set[int]) -> list[int]:
        """Marks servers missing from a whole list as gone; returns their indexes."""
        gone = []
        for index, known in enumerate(self.servers):
            if index not in listed_entries and known.entry.state is not interface.ServerState.GONE:
                known.entry = replace(known.entry, state=interface.ServerState.GONE)
                self.move_sessions_away(index)
                gone.append(index)
        return gone

    def move_sessions_away(self, index: int) -> None:
        """Moves the sessions of a draining server before it goes away and cuts them off."""
        clients = list(self.servers[index].sessions)
        if clients:
            self.log("drains", server=index, sessions=len(clients))
        self.move_spread(DRAIN_SPREAD, clients)

    def move_spread(self, span: int, clients: list[Client]) -> None:
        """Moves the clients one by one over the span, so that they do not all reconnect at once.

        The jitter keeps balancers that move at the same time out of step.
        """
        for index, client in enumerate(clients):
            self.loop.after(int(span * (index + self.uniform(0, 1)) / len(clients)), client.move)

    def on_list_address_changed(self) -> None:
        """Requests the list from the new address: a pushed one at once.

        Otherwise the known servers count as a saved list, and the policy chooses a random time for the
        request, as all balancers that are given the new address would call at once.
        """
        if self.deployment.list_on_request:
            entries = [known.entry for known in self.servers if known.entry is not None]
            self.handle_event(interface.ServerListUpdated(interface.ListKind.SAVED, entries))
        else:
            self.list_client.start()

    def on_list_failed(self, error: str, pending_duration: int, is_scheduled: bool, backoff: int) -> None:
        self.log("list_failed", why=error)
        # The policy schedules the next request with jitter, so that balancers do not call in step.
        self.handle_event(
            interface.ServerListUpdated(
                interface.ListKind.FAILED, [], pending_duration, is_scheduled, backoff=backoff
            )
        )

    # Reload

    def reload(self) -> None:
        """Reads the configuration file again; sessions and known servers stay. Settings need a restart."""
        if self.shutdown.has_begun:
            return
        try:
            config, discovery = reread_config(self.config_path)
        except StartError as error:
            # The file may be half written or invalid: the old configuration stays in force.
            self.log("not_reloaded", why=str(error))
            return
        self.loop.set_descriptor_limit(descriptor_limit(config))
        if config.settings != self.settings:
            self.log("settings_kept")
        self.log("reloaded", discovery="{}:{}".format(*discovery))
        self.list_client.switch_to(discovery)
        for callback in self.on_reload:
            callback()

    # Shutdown

    def stop(self) -> None:
        """Shuts down gracefully; later calls do nothing."""
        self.is_ready = False
        self.shutdown.begin()

    def log_cut_off(self, client: Client) -> None:
        """Logs that a session ends without MOVE, and what kept MOVE from being sent."""
        self.log(
            "cut_off",
            sess=client.session_id,
            server=client.dial.server,
            moving=client.is_moving,
            unfinished=client.dial.line_splitter.partial_length,
            unsent=client.outbound.used,
        )
