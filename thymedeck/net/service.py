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
from .clients import Client, Door
from .config_file import (
    UNREADABLE,
    Listing,
    Row,
    Start,
    StartError,
    Told,
    name_of,
    read_again,
    server_address,
    usable,
)
from .endings import OUTCOMES, Ending
from .lines import readable
from .log import EventLog
from .loop import KEPT, READ, Loop
from .serverlist import Follower
from .servers import Dialled, Known
from .system import System

SECOND = 10_000
STATES = {
    "SERVING": interface.ServerState.READY,
    "DRAINING": interface.ServerState.DRAINING,
    "DELETED": interface.ServerState.GONE,
}
FIXED_WITHIN = 35 * SECOND  # for a session that stood before to be up again
FIXED_PAUSE = 2_000
LONGEST_WAIT = 86_400_000  # that a client may state, in milliseconds
MOST_LOAD = 1e12  # a figure beyond this, or none at all, is no load
DRAIN_WITHIN = SECOND  # within which the sessions of a server that drains are moved
LOOK_EVERY = SECOND // 2  # at the standing sessions of each server
TOLD_AT_ONCE = 256  # entries of a list, in one turn
LONG_TURN = SECOND // 10  # of the loop, and LONG_DECISION: both are logged, as all else waits meanwhile
LONG_DECISION = SECOND // 20
SILENT = 3 * SECOND  # a line that nothing has come back for so long tells of a connection that is dead
SILENT_TOGETHER = SECOND  # the same where its server has answered nobody lately
STOPPED = 3  # lines without an answer at a server that has answered none lately: it has stopped, not they
STILL_ACCEPTING = 5_000  # after the signal to stop, as the front notices late
LONGEST_STOP = 3 * SECOND
STOP_RESERVE = 3_000  # left when the process ends before it could be killed
LEAVE_WITHIN = SECOND  # within which all standing sessions are moved then
ANSWER_RESERVE = 5_000  # for what is still to be answered or in the middle of a line after that


class Wakeup:
    """Signals, kept from its making on and heard by the loop once that runs."""

    def __init__(self) -> None:
        self.heard: set[int] = set()
        self.service: Service | None = None
        # A pipe, as there are platforms that refuse Unix sockets, and others that carry UDP only between
        # balancers: there a datagram to itself was taken and never came, and no signal was heard.
        self.pipe, written = os.pipe()
        os.set_blocking(self.pipe, False)
        os.set_blocking(written, False)
        signal.set_wakeup_fd(written, warn_on_full_buffer=False)
        for which in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(which, lambda number, _: self.heard.add(number))

    def wake(self, service: "Service") -> None:
        self.service = service
        service.loop.watch(self.pipe, 0, READ, self)
        service.loop.after(LOOK_EVERY, self.look)

    def ready(self, mask: int) -> None:
        with contextlib.suppress(BlockingIOError):
            while os.read(self.pipe, 4096):
                pass
        self.act()

    def look(self) -> None:
        """Guards against a platform that loses what wakes the loop: the signal is heard a little later."""
        self.service.loop.after(LOOK_EVERY, self.look)
        if self.heard:
            self.act()

    def act(self) -> None:
        # Guards against a signal lost among many: those of a kind that came together are one.
        heard, self.heard = self.heard, set()
        if signal.SIGHUP in heard:
            # Guards against a fault that loses the stop that came with it.
            self.service.loop.guard(self.service.reload)
        if heard - {signal.SIGHUP}:
            self.service.stop()


def descriptors(told: Told) -> int:
    """How many the program may hold, of what it is told and what the system grants the less."""
    granted = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return told.limits.sockets if granted == resource.RLIM_INFINITY else min(granted, told.limits.sockets)


def is_news(before: interface.ServerEntry | None, entry: interface.ServerEntry) -> bool:
    """Whether more than the weight has changed, which a list may renew for all its servers each second."""
    return before is None or replace(before, weight=entry.weight) != entry


class Service:
    def __init__(self, start: Start, system: System) -> None:
        told = start.told
        env = self.settings = told.settings
        self.log = EventLog(told.name, system)
        self.path = start.path
        self.loop = Loop(self.log.fault, descriptors(told), system)
        # The protocol has no probes; connections end here.
        self.site = replace(deployment_from(env), may_probe=False, is_passthrough=False)
        self.balancer = Balancer(start.seed, self.site)
        self.uniform = random.Random(start.seed).uniform
        self.listeners = {one.name.encode(): at for at, one in enumerate(env.listeners)}
        self.zones = {name: at for at, name in enumerate(env.zones)}
        self.kinds = {name: at for at, name in enumerate(env.kinds)}
        self.on_reload: list[Callable[[], None]] = []  # what else reads its files again
        self.since_unix = self.loop.now() - system.time_ns() // 100_000
        self.server_index: dict[str, int] = {}
        self.servers: list[Known] = []
        self.untold: dict[int, tuple[Row | None, interface.ListKind]] = {}  # listed, and still to be told
        self.in_use: dict[int, Known] = {}  # those with sessions, or with delays not told yet
        self.clients: dict[int, Client] = {}
        self.idents: set[bytes] = set()  # of these
        self.connected: dict[Client, None] = {}  # all whose connection is open, in their order
        self.loose: dict[Client, None] = {}  # those that no session needs, oldest first
        self.making_room = False
        self.next_sess = 0
        self.list_due = self.loop.after(0, lambda: None)  # when the decisions ask for the list again
        self.dials = 0  # made since the start, but those of sessions that stood before
        self.events: deque[interface.Event] = deque()
        self.telling = False
        self.is_able = False
        self.stopping = False
        self.late = False  # the time left is for moving what stands
        self.closing = False  # and now for what is said last: nothing is sent on any more
        self.door: Door | None = None
        # Guards against a balancer that is told no list and never asks for one.
        known = told.known or Listing(version=-1)
        self.follower = Follower(self, start.discovery, self.site, known.version)
        self.listen = start.listen
        self.take_list(known, interface.ListKind.SAVED)
        if not self.site.list_on_request:
            self.follower.follow()

    def serve(self, wakeup: Wakeup) -> None:
        wakeup.wake(self)
        self.open()
        self.loop.run()
        self.log("stopped")

    def open(self) -> None:
        """Takes clients in from here on."""
        self.door = Door(self, self.listen)
        self.is_able = True
        self.loop.after(LOOK_EVERY, self.look_round)
        self.log("started", listen="{}:{}".format(*self.door.sock.getsockname()), servers=len(self.servers))

    # The decisions

    def tell(self, event: interface.Event) -> None:
        """Guards against an action that brings the next event about before the others are done."""
        self.events.append(event)
        if self.telling:
            return
        self.telling = True
        while self.events:
            self.loop.guard(self.decide, self.events.popleft())
        self.telling = False

    def decide(self, event: interface.Event) -> None:
        """Guards against an action whose fault loses the event's others."""
        begun = self.loop.now()
        actions = self.balancer.handle(begun, event)
        took = self.loop.now() - begun
        if took >= LONG_DECISION:
            candidates = self.balancer.candidates
            counts = {"servers": len(candidates.ready), "active": len(candidates.active)}
            self.log("slow_decision", about=type(event).__name__, took=took, **counts)
        for action in actions:
            self.loop.guard(self.carry_out, action)

    def carry_out(self, action: interface.Action) -> None:
        match action:
            case interface.Dial():
                self.dial(action)
            case interface.SetTimer():
                due = interface.TimerFired(action.timer, action.index)
                set_now = self.loop.after(action.after, lambda: self.tell(due))
                if action.timer is interface.Timer.LIST_REQUEST:
                    # Guards against one more chain of calls for each SIGHUP while the list can't be had.
                    self.list_due.cancel()
                    self.list_due = set_now
            case interface.Refuse():
                line = b"BUSY %d\r\n" % (action.retry_after // 10) if action.retry_after else b"BUSY\r\n"
                self.answer(action.session_id, line, action.reason)
            case interface.TearDown():
                self.answer(action.session_id, b"ERR no server\r\n", action.reason)
            case interface.Move():
                client = self.clients.get(action.session_id)
                if client is not None:
                    client.move()
            case interface.RequestList():
                self.follower.follow(in_turn=True)
            case interface.Log():
                self.log("mode", text=action.text)

    def answer(self, sess: int, line: bytes, reason: interface.Reason) -> None:
        client = self.let_go(sess)
        if client is not None:
            self.log("answer", sess=sess, line=line.decode().strip(), why=reason)
            client.answer(line, Ending.ANSWERED)

    # Sessions

    def hold(self, client: Client) -> None:
        self.clients[client.sess] = client
        self.idents.add(client.words[1])

    def let_go(self, sess: int) -> Client | None:
        client = self.clients.pop(sess, None)
        if client is not None:
            self.idents.discard(client.words[1])
        return client

    def opened(self, client: Client, line: bytes) -> None:
        """The whole line is looked at before anything is dialled for it."""
        try:
            verb, ident, key, text = line.split(b" ")
            pairs = [one.partition(b"=") for one in text.split(b",")]
            figures = {name: value for name, _, value in pairs}
            wait = int(figures[b"d"]) * 10
            listener = self.listeners[figures[b"c"]]
            hint = float(figures[b"h"]) if b"h" in figures else None
            if (
                verb != b"OPEN"
                or not (readable(ident) and readable(key) and readable(text))
                or len(figures) < len(pairs)
                or not figures[b"d"].isdigit()
                or wait > 10 * LONGEST_WAIT
                or not 0 <= (hint or 0) < MOST_LOAD
                or client.inbound.held  # a client waits for its answer
                or ident in self.idents  # new with every connection: that session is another's
            ):
                raise ValueError
        except (ValueError, KeyError):
            # Guards against a peer that speaks something else: it is told so, and the loop goes on.
            self.log("malformed", line=line[:200].decode("latin-1"))
            client.answer(b"ERR malformed\r\n", Ending.MALFORMED)
            return
        shown = [(name, b"\0" if name == b"d" else value) for name, _, value in pairs]
        self.loose.pop(client, None)
        client.words = [verb, ident, key, b",".join(b"%s=%s" % pair for pair in shown)]
        subject = key.decode("latin-1")
        sess = client.sess = self.next_sess
        self.next_sess += 1
        self.log(
            "came",
            sess=sess,
            id=ident.decode(),
            key=subject,
            listener=listener,
            figures=text.decode("latin-1"),
        )
        if b"at" in figures:
            server = self.server_index.get(figures[b"at"].decode("latin-1"))
            if server is None:
                client.answer(b"ERR no such server\r\n", Ending.ANSWERED)
                return
            if server in self.untold:
                self.tell_of([server])
            self.hold(client)
            client.fixed = server
            client.fixed_until = self.loop.now() + FIXED_WITHIN
            self.tell(interface.SessionRestored(sess, listener, hint, subject, server))
            self.dial_fixed(client)
            return
        self.hold(client)
        # Guards against an answer after the client's time: some has passed while the line lay unread.
        wait = max(wait - self.loop.waited(), 0)
        client.await_answer(wait)
        self.tell(
            interface.SessionArrived(sess, listener, wait, hint, subject, figures.get(b"mid_flow") == b"1")
        )

    def dial(self, action: interface.Dial) -> None:
        self.dials += 1
        sess, server = action.session_id, action.server
        client = self.clients.get(sess)  # None: it has left, which is still to be told
        within = self.site.connect_timeout
        # Guards against an attempt past the client's time: the decision took some of it.
        limit = min(action.limit, client.answer_by - self.loop.now()) if client is not None else 0
        if limit <= 0 or self.closing or not self.begin_dial(client, server, within, limit):
            gone = sess not in self.clients
            self.tell(interface.DialEnded(sess, server, OUTCOMES[Ending.NO_SOCKET], gone, None))

    def may_send(self, dial: Dialled) -> bool:
        """Guards against a line sent to a server that was told to drain while the dial came up."""
        entry = self.servers[dial.server].entry
        return dial.client.fixed >= 0 or entry is None or entry.state is interface.ServerState.READY

    def make_room(self, least: int) -> None:
        """Guards against a crowd that says nothing, or stays on, and takes the sockets that others need."""
        if self.making_room:
            return  # one that rested was read, and needs a dial: the crowd is worked through as it is
        self.making_room = True
        while self.loop.free <= least and self.loose:
            oldest = next(iter(self.loose))
            oldest.read()  # Guards against a session refused by a reset: its line may wait.
            if oldest in self.loose:
                oldest.answer(b"BUSY\r\n", Ending.PUSHED_OUT)
                oldest.close()
        self.making_room = False

    def begin_dial(self, client: Client, server: int, connect_within: int, limit: int) -> bool:
        """Whether its client is still there, and there was a socket for it."""
        # Guards against a dial for a client whose end has come but waits unread, however long the turn.
        client.read()
        if client.done:
            return False
        self.make_room(KEPT)
        if self.loop.free <= KEPT:
            # Guards against dials that go past the limit, and leave nothing to the call for the list.
            self.log("no_sockets", why="sessions hold all")
            return False
        try:
            client.dial = Dialled(self, client, server, connect_within, limit)
        except OSError as why:
            self.log("no_sockets", why=str(why))
            return False
        client.dial.start(client.dial_line(limit))
        return True

    def dial_fixed(self, client: Client) -> None:
        if client.done:
            return
        left = client.fixed_until - self.loop.now()
        if self.closing:
            self.not_up(client)
        elif not self.begin_dial(client, client.fixed, left, left):
            self.loop.after(FIXED_PAUSE, lambda: self.dial_fixed(client))

    def not_up(self, client: Client) -> None:
        self.let_go(client.sess)
        self.tell(interface.DialEnded(client.sess, client.fixed, OUTCOMES[Ending.NOT_UP], True, None))
        client.answer(b"ERR not up\r\n", Ending.ANSWERED)

    def stands(self, dial: Dialled, took: int) -> None:
        client = dial.client
        client.stand(dial)
        known = self.in_use[dial.server] = self.servers[dial.server]
        known.standing[client] = None
        if client.fixed < 0:
            self.log("up", sess=client.sess, server=dial.server, took=took)
            self.tell(interface.SessionEstablished(client.sess, dial.server, took))

    def dial_over(self, dial: Dialled, ending: Ending) -> None:
        client = dial.client
        client.dial = None
        if client.sess not in self.clients:
            return
        self.log(
            "dial",
            sess=client.sess,
            server=dial.server,
            ending=ending.name,
            sent=dial.sent,
            took=self.loop.now() - dial.began,
        )
        outcome = OUTCOMES[ending]
        if client.fixed >= 0:
            if outcome in interface.NEVER_EXECUTED and self.loop.now() + FIXED_PAUSE < client.fixed_until:
                self.loop.after(FIXED_PAUSE, lambda: self.dial_fixed(client))
            else:
                self.not_up(client)
            return
        self.tell(interface.DialEnded(client.sess, dial.server, outcome, False, None))

    def client_over(self, client: Client, ending: Ending) -> None:
        """The client's side has ended; what is left of the session ends with it."""
        dial = client.dial
        if client.standing:
            self.session_over(client, ending)
            dial.close()
        elif self.let_go(client.sess) is not None:
            self.log("left", sess=client.sess, ending=ending.name)
            self.tell(interface.SessionLeft(client.sess))
            server = client.fixed  # of a session that stood before, also between two tries
            if dial is not None:
                server = dial.server
                dial.finish(ending)
            if server >= 0:
                self.tell(interface.DialEnded(client.sess, server, OUTCOMES[ending], True, None))

    def session_over(self, client: Client, ending: Ending) -> None:
        """A standing session has ended, told once."""
        if self.let_go(client.sess) is None:
            return
        server = client.dial.server
        self.servers[server].standing.pop(client, None)
        self.log("session", sess=client.sess, server=server, ending=ending.name)
        self.tell(interface.DialEnded(client.sess, server, OUTCOMES[ending], True, None))

    # What lines tell

    def load_line(self, dial: Dialled, line: bytes) -> None:
        try:
            load = float(line[5:])
        except ValueError:
            return
        sess, now, figures = dial.client.sess, self.loop.now(), dial.figures
        if not 0 <= load < MOST_LOAD or sess not in self.clients:
            return
        if self.site.reports_delay and self.servers[dial.server].beat.is_on(now, figures):
            if figures.came_a_beat_ago(now) and figures.before is not None:
                self.tell(interface.LoadReported(sess, figures.before))  # that line was such a note too
            self.tell(interface.DelayReported(sess, dial.server, int(load * 10)))
            return
        figures.take(now, load)
        self.tell(interface.LoadReported(sess, load))

    def message_took(self, server: int, took: int) -> None:
        known = self.in_use[server] = self.servers[server]
        known.message_took(took)

    def look_round(self) -> None:
        """Tells of slow messages, from answers and what is still unanswered, and once when that is over."""
        self.loop.after(LOOK_EVERY, self.look_round)
        if self.loop.longest_turn >= LONG_TURN:
            self.log("long_turn", took=self.loop.longest_turn)
        self.loop.longest_turn = 0
        now = self.loop.now()
        for index, server in list(self.in_use.items()):
            if not (server.standing or server.delays):
                del self.in_use[index]
                continue
            late = [c for c in server.standing if c.asked_at >= 0]
            delays = sorted([*server.delays, *(now - c.asked_at for c in late)])
            server.delays.clear()
            answers = len(late) < len(delays)
            # Guards against a server blamed for one dead connection, and against one that has stopped being
            # taken for a slow one by the latest lines.
            server.stopped = not answers and (server.stopped or len(late) >= STOPPED)
            if answers or (server.stopped and late):
                delay = delays[-1] if server.stopped else delays[len(delays) // 2]
                slow = 3 * delay > self.balancer.shortest_aim
                if slow or server.slow:
                    client = next(iter(late or server.standing), None)
                    self.tell(interface.DelayReported(-1 if client is None else client.sess, index, delay))
                server.slow = slow
            for client in late:
                borne = SILENT_TOGETHER if server.stopped else SILENT
                if not client.moving and now - client.asked_at >= borne:
                    self.log("silent", sess=client.sess, server=index)
                    client.move()

    # The list

    def listed(self, listing: Listing) -> None:
        kind = interface.ListKind.WHOLE if listing.full else interface.ListKind.CHANGES
        self.take_list(listing, kind)

    def take_list(self, listing: Listing, kind: interface.ListKind) -> None:
        rows: dict[int, Row | None] = {}  # of servers that are new or changed; None: not to be logged
        named: dict[int, interface.ServerEntry] = {}
        for raw in listing.servers:
            index, entry, row = self.read_entry(raw)
            if entry is None:
                continue
            named[index] = entry
            known = self.servers[index]
            if entry.state is not interface.ServerState.READY and kind is not interface.ListKind.SAVED:
                self.drains(index)
            if entry != known.entry:
                rows[index] = row if is_news(known.entry, entry) else None
                known.entry = entry
        if kind is interface.ListKind.WHOLE:
            rows |= dict.fromkeys(self.drop_unlisted(named.keys()))
        self.log("list_taken", kind=kind.name, servers=len(named), changed=len(rows))
        if kind is interface.ListKind.SAVED:
            self.log_listed(rows, kind)
            self.tell(interface.ServerListUpdated(kind, list(named.values())))
        else:
            self.tell_changes(rows, kind)

    def tell_changes(self, rows: dict[int, Row | None], kind: interface.ListKind) -> None:
        """Servers that get nothing new are told at once, the others so many a turn.

        Guards against a long list that holds up all else.
        """
        was_waiting = bool(self.untold)
        not_ready = []
        for at, row in rows.items():
            self.untold[at] = (row, kind)
            if self.servers[at].entry.state is not interface.ServerState.READY:
                not_ready.append(at)
        if not_ready:
            self.tell_of(not_ready)
        if not was_waiting and (self.untold or not not_ready):
            self.tell_some()  # also where nothing is new: the list can be had

    def tell_some(self) -> None:
        self.tell_of(list(islice(self.untold, TOLD_AT_ONCE)))
        if self.untold:
            self.loop.after(0, self.tell_some)

    def tell_of(self, indexes: list[int]) -> None:
        """Each as it was listed last, which may be later than it was put off."""
        for index in indexes:
            row, kind = self.untold.pop(index)
            self.log_listed({index: row}, kind)
        entries = [self.servers[at].entry for at in indexes]
        self.tell(
            interface.ServerListUpdated(
                interface.ListKind.CHANGES, entries, listed_count=self.count_listed() if self.untold else 0
            )
        )

    def count_listed(self) -> int:
        """Guards against a budget for each server that is taken from a part of the list."""
        return sum(known.entry.state is not interface.ServerState.GONE for known in self.servers)

    def read_entry(self, raw: msgspec.Raw) -> tuple[int, interface.ServerEntry | None, Row | None]:
        """A server's index, its entry, and how that was spelt; no entry where nothing of it can be used."""
        try:
            row = usable(raw)
        except UNREADABLE as why:
            # Guards against one bad entry that spoils the list: the rest is used, it stays as it was.
            self.log("bad_entry", why=str(why), entry=bytes(raw)[:200].decode("latin-1"))
            index = self.server_index.get(name_of(raw), -1)
            return index, self.servers[index].entry if index >= 0 else None, None
        index = self.server_index.get(row.id)
        try:
            place = server_address(row.addr)
        except ValueError:
            if index is None:
                self.log("bad_address", server=row.id, address=row.addr)
                return -1, None, row
            place = self.servers[index].address
        if index is None:
            index = self.server_index[row.id] = len(self.servers)
            self.servers.append(Known(place))
        self.servers[index].address = place
        state = STATES.get(row.state, interface.ServerState.DRAINING)
        started = max(int(row.started_ms * 10) + self.since_unix, 1) if row.started_ms > 0 else 0
        weight = max(row.weight, MIN_WEIGHT)
        zone, machine = self.zones.get(row.zone, -1), self.kinds.get(row.kind, -1)
        return index, interface.ServerEntry(index, zone, row.cell, state, started, weight, machine), row

    def log_listed(self, rows: dict[int, Row | None], kind: interface.ListKind) -> None:
        for index, row in rows.items():
            if row is not None:
                more = {
                    "zone": row.zone,
                    "machine": row.kind,
                    "state": row.state,
                    "started_ms": row.started_ms,
                }
                self.log("listed", kind=kind.name, server=index, id=row.id, **more)

    def drop_unlisted(self, named: Set[int]) -> list[int]:
        """What a whole list leaves out is gone; returns what was there before."""
        gone = []
        for index, known in enumerate(self.servers):
            if index not in named and known.entry.state is not interface.ServerState.GONE:
                known.entry = replace(known.entry, state=interface.ServerState.GONE)
                self.drains(index)
                gone.append(index)
        return gone

    def drains(self, index: int) -> None:
        """Guards against sessions cut off when their server goes: what still stands there is moved before."""
        standing = list(self.servers[index].standing)
        if standing:
            self.log("drains", server=index, sessions=len(standing))
        self.move_within(DRAIN_WITHIN, standing)

    def move_within(self, span: int, standing: list[Client]) -> None:
        """Spread evenly, and out of step with other balancers, so that they do not all come again at once."""
        for at, client in enumerate(standing):
            self.loop.after(int(span * (at + self.uniform(0, 1)) / len(standing)), client.move)

    def list_moved(self) -> None:
        """What is known is of before, as at a start. Guards against all that are told so calling at once."""
        if self.site.list_on_request:
            entries = [known.entry for known in self.servers if known.entry is not None]
            self.tell(interface.ServerListUpdated(interface.ListKind.SAVED, entries))
        else:
            self.follower.follow()

    def list_failed(self, why: str, out: int, in_turn: bool) -> None:
        self.log("list_failed", why=why)
        # The decisions ask again, spread by chance. Guards against many balancers that call in step.
        self.tell(interface.ServerListUpdated(interface.ListKind.FAILED, [], out, in_turn))

    # A new configuration

    def reload(self) -> None:
        """Reads the file again; what stands, and what is known of the servers, stays."""
        if self.stopping:
            return
        try:
            told, discovery = read_again(self.path)
        except StartError as why:
            # Guards against a file that is being written or is wrong: the old configuration goes on.
            self.log("not_reloaded", why=str(why))
            return
        self.loop.limit(descriptors(told))
        if told.settings != self.settings:
            self.log("settings_kept")
        self.log("reloaded", discovery="{}:{}".format(*discovery))
        self.follower.turn_to(discovery)
        for call in self.on_reload:
            call()

    # The end

    def stop(self) -> None:
        """Goes on taking in while the front notices, answers all, moves every session, and ends in time."""
        if self.stopping:
            return
        self.stopping = True
        self.is_able = False
        longest = max(listener.dial_timeout for listener in self.site.listeners)
        self.last = self.loop.now() + min(longest, LONGEST_STOP) + 7_000 - STOP_RESERVE
        self.log("stopping", sessions=len(self.clients))
        self.loop.after(STILL_ACCEPTING, self.leave)

    def leave(self) -> None:
        if self.door is not None:
            # Guards against a reset of what waits to be taken in: more than one turn takes may have come.
            while self.door.take_some():
                pass
            self.door.close()
        self.log("leaving", sessions=len(self.clients))
        rest = max(self.last - self.loop.now() - ANSWER_RESERVE, 0)
        self.loop.after(max(rest - LEAVE_WITHIN, 0), lambda: self.move_all(min(rest, LEAVE_WITHIN)))
        self.loop.after(rest, self.answer_rest)
        self.end_when_empty()

    def move_all(self, span: int) -> None:
        """Late: guards against clients sent away while the balancer restarted before this one is not back."""
        standing = [client for client in self.clients.values() if client.standing]
        self.log("moving", sessions=len(standing))
        self.late = True
        self.move_within(span, standing)

    def answer_rest(self) -> None:
        """From here on nothing is sent on: the decisions hear that of each dial, and give up what is left."""
        self.closing = True
        for client in list(self.connected):
            if client.standing:
                client.move()
            elif client.dial is not None:
                client.dial.limit_passed()
            elif client.sess < 0:
                client.answer(b"BUSY\r\n", Ending.STOPPED)

    def end_when_empty(self) -> None:
        """Guards against cutting off what is still being said, or just coming in as a line."""
        if self.connected and self.loop.now() < self.last:
            self.loop.after(200, self.end_when_empty)
        else:
            self.loop.stop()
