"""One balancer on sockets: turns what happens to connections into events, and actions into what they do."""

import contextlib
import os
import random
import resource
import signal
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
    ListedServer,
    ServerList,
    StartError,
    StartupConfig,
    decode_entry,
    entry_id,
    reread_config,
    server_address,
)
from .endings import OUTCOMES, Ending
from .lines import is_printable_word
from .log import EventLog
from .loop import DIAL_RESERVE, READ, EventLoop
from .serverlist import ListClient
from .servers import DialConnection, KnownServer
from .system import System

SECOND = 10_000
STATES = {
    "SERVING": interface.ServerState.READY,
    "DRAINING": interface.ServerState.DRAINING,
    "DELETED": interface.ServerState.GONE,
}
RESTORE_TIMEOUT = 35 * SECOND  # for a session that stood before to be up again
RESTORE_RETRY_PAUSE = 2_000
MAX_DEADLINE_MS = 86_400_000  # that a client may state, in milliseconds
MAX_LOAD = 1e12  # a figure beyond this, or none at all, is no load
DRAIN_SPREAD = SECOND  # within which the sessions of a server that drains are moved
CHECK_INTERVAL = SECOND // 2  # at the standing sessions of each server
LIST_BATCH = 256  # entries of a list, in one turn
LONG_ITERATION = SECOND // 10  # of the loop, and LONG_DECISION: both are logged, as all else waits meanwhile
LONG_DECISION = SECOND // 20
SILENCE_TIMEOUT = (
    3 * SECOND
)  # a line that nothing has come back for so long tells of a connection that is dead
UNRESPONSIVE_SILENCE_TIMEOUT = SECOND  # the same where its server has answered nobody lately
MIN_UNANSWERED = (
    3  # lines without an answer at a server that has answered none lately: it has stopped, not they
)
ACCEPT_AFTER_STOP = 5_000  # after the signal to stop, as the front notices late
MAX_STOP_WAIT = 3 * SECOND
STOP_RESERVE = 3_000  # left when the process ends before it could be killed
STOP_MOVE_SPREAD = SECOND  # within which all standing sessions are moved then
ANSWER_RESERVE = 5_000  # for what is still to be answered or in the middle of a line after that


class SignalReceiver:
    """Signals, kept from its making on and heard by the loop once that runs."""

    def __init__(self) -> None:
        self.received_signals: set[int] = set()
        self.service: Service | None = None
        # A pipe, as there are platforms that refuse Unix sockets, and others that carry UDP only between
        # balancers: there a datagram to itself was taken and never came, and no signal was heard.
        self.read_end, write_end = os.pipe()
        os.set_blocking(self.read_end, False)
        os.set_blocking(write_end, False)
        signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda number, _: self.received_signals.add(number))

    def attach(self, service: "Service") -> None:
        self.service = service
        service.loop.watch(self.read_end, 0, READ, self)
        service.loop.after(CHECK_INTERVAL, self.poll)

    def on_ready(self, mask: int) -> None:
        with contextlib.suppress(BlockingIOError):
            while os.read(self.read_end, 4096):
                pass
        self.handle_signals()

    def poll(self) -> None:
        """Guards against a platform that loses what wakes the loop: the signal is heard a little later."""
        self.service.loop.after(CHECK_INTERVAL, self.poll)
        if self.received_signals:
            self.handle_signals()

    def handle_signals(self) -> None:
        # Guards against a signal lost among many: those of a kind that came together are one.
        received_signals, self.received_signals = self.received_signals, set()
        if signal.SIGHUP in received_signals:
            # Guards against a fault that loses the stop that came with it.
            self.service.loop.run_guarded(self.service.reload)
        if received_signals - {signal.SIGHUP}:
            self.service.stop()


def descriptor_limit(config: BalancerConfig) -> int:
    """How many the program may hold, of what it is told and what the system grants the less."""
    granted = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return config.limits.sockets if granted == resource.RLIM_INFINITY else min(granted, config.limits.sockets)


def has_changed_beyond_weight(before: interface.ServerEntry | None, entry: interface.ServerEntry) -> bool:
    """Whether more than the weight has changed, which a list may renew for all its servers each second."""
    return before is None or replace(before, weight=entry.weight) != entry


class Service:
    def __init__(self, start: StartupConfig, system: System) -> None:
        config = start.config
        settings = self.settings = config.settings
        self.log = EventLog(config.name, system)
        self.config_path = start.path
        self.loop = EventLoop(self.log.log_exception, descriptor_limit(config), system)
        # The protocol has no probes; connections end here.
        self.deployment = replace(deployment_from(settings), may_probe=False, is_passthrough=False)
        self.balancer = Balancer(start.seed, self.deployment)
        self.uniform = random.Random(start.seed).uniform
        self.listeners = {listener.name.encode(): index for index, listener in enumerate(settings.listeners)}
        self.zones = {name: index for index, name in enumerate(settings.zones)}
        self.kinds = {name: index for index, name in enumerate(settings.kinds)}
        self.on_reload: list[Callable[[], None]] = []  # what else reads its files again
        self.loop_time_offset = self.loop.now() - system.time_ns() // 100_000
        self.server_index: dict[str, int] = {}
        self.servers: list[KnownServer] = []
        self.pending_updates: dict[
            int, tuple[ListedServer | None, interface.ListKind]
        ] = {}  # listed, and still to be told
        self.active_servers: dict[int, KnownServer] = {}  # those with sessions, or with delays not told yet
        self.sessions: dict[int, Client] = {}
        self.open_identifiers: set[bytes] = set()  # of these
        self.connections: dict[Client, None] = {}  # all whose connection is open, in their order
        self.evictable: dict[Client, None] = {}  # those that no session needs, oldest first
        self.is_evicting = False
        self.next_session_id = 0
        self.list_timer = self.loop.after(0, lambda: None)  # when the decisions ask for the list again
        self.dial_count = 0  # made since the start, but those of sessions that stood before
        self.events: deque[interface.Event] = deque()
        self.is_dispatching = False
        self.is_ready = False
        self.is_stopping = False
        self.moves_new_sessions = False  # the time left is for moving what stands
        self.is_closing = False  # and now for what is said last: nothing is sent on any more
        self.acceptor: Acceptor | None = None
        # Guards against a balancer that is told no list and never asks for one.
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
        """Takes clients in from here on."""
        self.acceptor = Acceptor(self, self.listen)
        self.is_ready = True
        self.loop.after(CHECK_INTERVAL, self.check_servers)
        self.log(
            "started", listen="{}:{}".format(*self.acceptor.sock.getsockname()), servers=len(self.servers)
        )

    # The decisions

    def handle_event(self, event: interface.Event) -> None:
        """Guards against an action that brings the next event about before the others are done."""
        self.events.append(event)
        if self.is_dispatching:
            return
        self.is_dispatching = True
        while self.events:
            self.loop.run_guarded(self.decide, self.events.popleft())
        self.is_dispatching = False

    def decide(self, event: interface.Event) -> None:
        """Guards against an action whose fault loses the event's others."""
        started_at = self.loop.now()
        actions = self.balancer.handle(started_at, event)
        took = self.loop.now() - started_at
        if took >= LONG_DECISION:
            candidates = self.balancer.candidates
            counts = {"servers": len(candidates.ready), "active": len(candidates.active)}
            self.log("slow_decision", about=type(event).__name__, took=took, **counts)
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
                    # Guards against one more chain of calls for each SIGHUP while the list can't be had.
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
        """The whole line is looked at before anything is dialled for it."""
        try:
            verb, identifier, key, text = line.split(b" ")
            pairs = [part.partition(b"=") for part in text.split(b",")]
            parameters = {name: value for name, _, value in pairs}
            wait = int(parameters[b"d"]) * 10
            listener = self.listeners[parameters[b"c"]]
            hint = float(parameters[b"h"]) if b"h" in parameters else None
            if (
                verb != b"OPEN"
                or not (is_printable_word(identifier) and is_printable_word(key) and is_printable_word(text))
                or len(parameters) < len(pairs)
                or not parameters[b"d"].isdigit()
                or wait > 10 * MAX_DEADLINE_MS
                or not 0 <= (hint or 0) < MAX_LOAD
                or client.inbound.used  # a client waits for its answer
                or identifier in self.open_identifiers  # new with every connection: that session is another's
            ):
                raise ValueError
        except (ValueError, KeyError):
            # Guards against a peer that speaks something else: it is told so, and the loop goes on.
            self.log("malformed", line=line[:200].decode("latin-1"))
            client.answer(b"ERR malformed\r\n", Ending.MALFORMED)
            return
        shown = [(name, b"\0" if name == b"d" else value) for name, _, value in pairs]
        self.evictable.pop(client, None)
        client.open_words = [verb, identifier, key, b",".join(b"%s=%s" % pair for pair in shown)]
        subject = key.decode("latin-1")
        session_id = client.session_id = self.next_session_id
        self.next_session_id += 1
        self.log(
            "came",
            sess=session_id,
            id=identifier.decode(),
            key=subject,
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
            client.restored_server = server
            client.restore_deadline = self.loop.now() + RESTORE_TIMEOUT
            self.handle_event(interface.SessionRestored(session_id, listener, hint, subject, server))
            self.dial_restored(client)
            return
        self.add_session(client)
        # Guards against an answer after the client's time: some has passed while the line lay unread.
        wait = max(wait - self.loop.max_unread_time(), 0)
        client.start_answer_timer(wait)
        self.handle_event(
            interface.SessionArrived(
                session_id, listener, wait, hint, subject, parameters.get(b"mid_flow") == b"1"
            )
        )

    def dial(self, action: interface.Dial) -> None:
        self.dial_count += 1
        session_id, server = action.session_id, action.server
        client = self.sessions.get(session_id)  # None: it has left, which is still to be told
        connect_timeout = self.deployment.connect_timeout
        # Guards against an attempt past the client's time: the decision took some of it.
        limit = min(action.limit, client.answer_deadline - self.loop.now()) if client is not None else 0
        if limit <= 0 or self.is_closing or not self.start_dial(client, server, connect_timeout, limit):
            gone = session_id not in self.sessions
            self.handle_event(interface.DialEnded(session_id, server, OUTCOMES[Ending.NO_SOCKET], gone, None))

    def may_send(self, dial: DialConnection) -> bool:
        """Guards against a line sent to a server that was told to drain while the dial came up."""
        entry = self.servers[dial.server].entry
        return dial.client.restored_server >= 0 or entry is None or entry.state is interface.ServerState.READY

    def evict_clients(self, min_free: int) -> None:
        """Guards against a crowd that says nothing, or stays on, and takes the sockets that others need."""
        if self.is_evicting:
            return  # one that rested was read, and needs a dial: the crowd is worked through as it is
        self.is_evicting = True
        while self.loop.free_descriptors <= min_free and self.evictable:
            oldest = next(iter(self.evictable))
            oldest.read()  # Guards against a session refused by a reset: its line may wait.
            if oldest in self.evictable:
                oldest.answer(b"BUSY\r\n", Ending.PUSHED_OUT)
                oldest.close()
        self.is_evicting = False

    def start_dial(self, client: Client, server: int, connect_within: int, limit: int) -> bool:
        """Whether its client is still there, and there was a socket for it."""
        # Guards against a dial for a client whose end has come but waits unread, however long the turn.
        client.read()
        if client.is_finished:
            return False
        self.evict_clients(DIAL_RESERVE)
        if self.loop.free_descriptors <= DIAL_RESERVE:
            # Guards against dials that go past the limit, and leave nothing to the call for the list.
            self.log("no_sockets", why="sessions hold all")
            return False
        try:
            client.dial = DialConnection(self, client, server, connect_within, limit)
        except OSError as error:
            self.log("no_sockets", why=str(error))
            return False
        client.dial.start(client.open_line(limit))
        return True

    def dial_restored(self, client: Client) -> None:
        if client.is_finished:
            return
        left = client.restore_deadline - self.loop.now()
        if self.is_closing:
            self.fail_restored(client)
        elif not self.start_dial(client, client.restored_server, left, left):
            self.loop.after(RESTORE_RETRY_PAUSE, lambda: self.dial_restored(client))

    def fail_restored(self, client: Client) -> None:
        self.remove_session(client.session_id)
        self.handle_event(
            interface.DialEnded(
                client.session_id, client.restored_server, OUTCOMES[Ending.NOT_UP], True, None
            )
        )
        client.answer(b"ERR not up\r\n", Ending.ANSWERED)

    def on_dial_established(self, dial: DialConnection, took: int) -> None:
        client = dial.client
        client.on_established(dial)
        known = self.active_servers[dial.server] = self.servers[dial.server]
        known.sessions[client] = None
        if client.restored_server < 0:
            self.log("up", sess=client.session_id, server=dial.server, took=took)
            self.handle_event(interface.SessionEstablished(client.session_id, dial.server, took))

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
        outcome = OUTCOMES[ending]
        if client.restored_server >= 0:
            if (
                outcome in interface.NEVER_EXECUTED
                and self.loop.now() + RESTORE_RETRY_PAUSE < client.restore_deadline
            ):
                self.loop.after(RESTORE_RETRY_PAUSE, lambda: self.dial_restored(client))
            else:
                self.fail_restored(client)
            return
        self.handle_event(interface.DialEnded(client.session_id, dial.server, outcome, False, None))

    def on_client_ended(self, client: Client, ending: Ending) -> None:
        """The client's side has ended; what is left of the session ends with it."""
        dial = client.dial
        if client.is_established:
            self.on_session_ended(client, ending)
            dial.close()
        elif self.remove_session(client.session_id) is not None:
            self.log("left", sess=client.session_id, ending=ending.name)
            self.handle_event(interface.SessionLeft(client.session_id))
            server = client.restored_server  # of a session that stood before, also between two tries
            if dial is not None:
                server = dial.server
                dial.finish(ending)
            if server >= 0:
                self.handle_event(
                    interface.DialEnded(client.session_id, server, OUTCOMES[ending], True, None)
                )

    def on_session_ended(self, client: Client, ending: Ending) -> None:
        """A standing session has ended, told once."""
        if self.remove_session(client.session_id) is None:
            return
        server = client.dial.server
        self.servers[server].sessions.pop(client, None)
        self.log("session", sess=client.session_id, server=server, ending=ending.name)
        self.handle_event(interface.DialEnded(client.session_id, server, OUTCOMES[ending], True, None))

    # What lines tell

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
                self.handle_event(
                    interface.LoadReported(session_id, loads.previous)
                )  # that line was such a note too
            self.handle_event(interface.DelayReported(session_id, dial.server, int(load * 10)))
            return
        loads.record(now, load)
        self.handle_event(interface.LoadReported(session_id, load))

    def add_delay_sample(self, server: int, delay: int) -> None:
        known = self.active_servers[server] = self.servers[server]
        known.add_delay_sample(delay)

    def check_servers(self) -> None:
        """Tells of slow messages, from answers and what is still unanswered, and once when that is over."""
        self.loop.after(CHECK_INTERVAL, self.check_servers)
        if self.loop.longest_iteration >= LONG_ITERATION:
            self.log("long_turn", took=self.loop.longest_iteration)
        self.loop.longest_iteration = 0
        now = self.loop.now()
        for index, server in list(self.active_servers.items()):
            if not (server.sessions or server.delays):
                del self.active_servers[index]
                continue
            late = [one for one in server.sessions if one.unanswered_since >= 0]
            delays = sorted([*server.delays, *(now - one.unanswered_since for one in late)])
            server.delays.clear()
            answers = len(late) < len(delays)
            # Guards against a server blamed for one dead connection, and against one that has stopped being
            # taken for a slow one by the latest lines.
            server.is_unresponsive = not answers and (server.is_unresponsive or len(late) >= MIN_UNANSWERED)
            if answers or (server.is_unresponsive and late):
                delay = delays[-1] if server.is_unresponsive else delays[len(delays) // 2]
                slow = 3 * delay > self.balancer.shortest_aim
                if slow or server.is_slow:
                    client = next(iter(late or server.sessions), None)
                    self.handle_event(
                        interface.DelayReported(-1 if client is None else client.session_id, index, delay)
                    )
                server.is_slow = slow
            for client in late:
                timeout = UNRESPONSIVE_SILENCE_TIMEOUT if server.is_unresponsive else SILENCE_TIMEOUT
                if not client.is_moving and now - client.unanswered_since >= timeout:
                    self.log("silent", sess=client.session_id, server=index)
                    client.move()

    # The list

    def on_list(self, server_list: ServerList) -> None:
        kind = interface.ListKind.WHOLE if server_list.full else interface.ListKind.CHANGES
        self.apply_list(server_list, kind)

    def apply_list(self, server_list: ServerList, kind: interface.ListKind) -> None:
        rows: dict[
            int, ListedServer | None
        ] = {}  # of servers that are new or changed; None: not to be logged
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

    def queue_changes(self, rows: dict[int, ListedServer | None], kind: interface.ListKind) -> None:
        """Servers that get nothing new are told at once, the others so many a turn.

        Guards against a long list that holds up all else.
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
            self.deliver_batch()  # also where nothing is new: the list can be had

    def deliver_batch(self) -> None:
        self.deliver(list(islice(self.pending_updates, LIST_BATCH)))
        if self.pending_updates:
            self.loop.after(0, self.deliver_batch)

    def deliver(self, indexes: list[int]) -> None:
        """Each as it was listed last, which may be later than it was put off."""
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
        """Guards against a budget for each server that is taken from a part of the list."""
        return sum(known.entry.state is not interface.ServerState.GONE for known in self.servers)

    def parse_entry(self, raw: msgspec.Raw) -> tuple[int, interface.ServerEntry | None, ListedServer | None]:
        """A server's index, its entry, and how that was spelt; no entry where nothing of it can be used."""
        try:
            row = decode_entry(raw)
        except DECODE_ERRORS as error:
            # Guards against one bad entry that spoils the list: the rest is used, it stays as it was.
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

    def log_listed(self, rows: dict[int, ListedServer | None], kind: interface.ListKind) -> None:
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
        """What a whole list leaves out is gone; returns what was there before."""
        gone = []
        for index, known in enumerate(self.servers):
            if index not in listed_entries and known.entry.state is not interface.ServerState.GONE:
                known.entry = replace(known.entry, state=interface.ServerState.GONE)
                self.move_sessions_away(index)
                gone.append(index)
        return gone

    def move_sessions_away(self, index: int) -> None:
        """Guards against sessions cut off when their server goes: what still stands there is moved before."""
        clients = list(self.servers[index].sessions)
        if clients:
            self.log("drains", server=index, sessions=len(clients))
        self.move_spread(DRAIN_SPREAD, clients)

    def move_spread(self, span: int, clients: list[Client]) -> None:
        """Spread evenly, and out of step with other balancers, so that they do not all come again at once."""
        for index, client in enumerate(clients):
            self.loop.after(int(span * (index + self.uniform(0, 1)) / len(clients)), client.move)

    def on_list_address_changed(self) -> None:
        """What is known is of before, as at a start. Guards against all that are told so calling at once."""
        if self.deployment.list_on_request:
            entries = [known.entry for known in self.servers if known.entry is not None]
            self.handle_event(interface.ServerListUpdated(interface.ListKind.SAVED, entries))
        else:
            self.list_client.start()

    def on_list_failed(self, error: str, pending_duration: int, is_scheduled: bool) -> None:
        self.log("list_failed", why=error)
        # The decisions ask again, spread by chance. Guards against many balancers that call in step.
        self.handle_event(
            interface.ServerListUpdated(interface.ListKind.FAILED, [], pending_duration, is_scheduled)
        )

    # A new configuration

    def reload(self) -> None:
        """Reads the file again; what stands, and what is known of the servers, stays."""
        if self.is_stopping:
            return
        try:
            config, discovery = reread_config(self.config_path)
        except StartError as error:
            # Guards against a file that is being written or is wrong: the old configuration goes on.
            self.log("not_reloaded", why=str(error))
            return
        self.loop.set_descriptor_limit(descriptor_limit(config))
        if config.settings != self.settings:
            self.log("settings_kept")
        self.log("reloaded", discovery="{}:{}".format(*discovery))
        self.list_client.switch_to(discovery)
        for callback in self.on_reload:
            callback()

    # The end

    def stop(self) -> None:
        """Goes on taking in while the front notices, answers all, moves every session, and ends in time."""
        if self.is_stopping:
            return
        self.is_stopping = True
        self.is_ready = False
        longest = max(listener.dial_timeout for listener in self.deployment.listeners)
        self.stop_deadline = self.loop.now() + min(longest, MAX_STOP_WAIT) + 7_000 - STOP_RESERVE
        self.log("stopping", sessions=len(self.sessions))
        self.loop.after(ACCEPT_AFTER_STOP, self.stop_accepting)

    def stop_accepting(self) -> None:
        if self.acceptor is not None:
            # Guards against a reset of what waits to be taken in: more than one turn takes may have come.
            while self.acceptor.accept_batch():
                pass
            self.acceptor.close()
        self.log("leaving", sessions=len(self.sessions))
        rest = max(self.stop_deadline - self.loop.now() - ANSWER_RESERVE, 0)
        self.loop.after(max(rest - STOP_MOVE_SPREAD, 0), lambda: self.move_all(min(rest, STOP_MOVE_SPREAD)))
        self.loop.after(rest, self.answer_remaining)
        self.stop_when_empty()

    def move_all(self, span: int) -> None:
        """Late: guards against clients sent away while the balancer restarted before this one is not back."""
        clients = [client for client in self.sessions.values() if client.is_established]
        self.log("moving", sessions=len(clients))
        self.moves_new_sessions = True
        self.move_spread(span, clients)

    def answer_remaining(self) -> None:
        """From here on nothing is sent on: the decisions hear that of each dial, and give up what is left."""
        self.is_closing = True
        for client in list(self.connections):
            if client.is_established:
                client.move()
            elif client.dial is not None:
                client.dial.on_time_limit()
            elif client.session_id < 0:
                client.answer(b"BUSY\r\n", Ending.STOPPED)

    def stop_when_empty(self) -> None:
        """Guards against cutting off what is still being said, or just coming in as a line."""
        if self.connections and self.loop.now() < self.stop_deadline:
            self.loop.after(200, self.stop_when_empty)
        else:
            self.loop.stop()
