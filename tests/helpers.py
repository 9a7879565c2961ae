"""Players for scenario files: text files of events and of the actions that are expected of one balancer.

`PolicyScenario` plays these lines on the placement policy alone:

    set KEY=VALUE ...        before the first event: changes the deployment (listener keys apply to all)
    T list KIND S:STATE ...  the server list; after further colons: z1 zone, c2 cell, b50 start time,
                             w9 weight, k1 kind of machine
    T EVENT ...              arrived N [budget=] [hint=], restored N on S, up N [TOOK], load N X,
                             ended N OUTCOME [done], delay N MS, probed S X, left N
    expect ACTION ...        the only action of the last event (timers and logs are ignored)
    expect none              the last event had no action except timers and logs
    expect any ACTION        one of the actions of the last event matches
    expect no ACTION         none of the actions of the last event matches
    expect seen ACTION       an action since the start matches
    repeat COUNT             plays the lines up to `end` COUNT times; {} is replaced by the round number
T is in tenths of a millisecond. `N` names a session, `S` a server; `dial N S` may say `dial N *`.
"""

import contextlib
import json
import os
import resource
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from fnmatch import fnmatchcase as fnmatch
from functools import partial
from pathlib import Path

from msgspec.structs import replace

from thymedeck import interface
from thymedeck.net.service import Service
from thymedeck.policy import Balancer

LISTENER = interface.Listener(
    3000, 12000, interface.Effect.IDEMPOTENT, interface.DedupScope.ALL, 50000, 1.0, 500
)
DEPLOYMENT = interface.Deployment(
    listeners=(LISTENER,), zone=0, replicas=3, tick=20, connect_timeout=1500, max_dials=4, may_probe=False,
    max_retry_after=0, list_on_request=False, list_poll_within=100000, start_capacity=0.3, warm_after=88000,
    overload_factor=2.5, overload_window=20000, reports_load=True, reports_delay=True, is_passthrough=False,
    cross_zone_price=0.0, drain_grace=20000, quota_connections=0.0,
)  # fmt: skip
CHECKED_ACTIONS = (
    interface.Dial,
    interface.Refuse,
    interface.TearDown,
    interface.Move,
    interface.RequestList,
    interface.Probe,
)


def parse_value(text: str) -> object:
    for kind in (interface.Effect, interface.DedupScope):
        if text in kind.__members__:
            return kind[text]
    return float(text) if "." in text else int(text)


def list_only_service() -> Service:
    """A service that can only process server lists; records its log events and those passed to the policy."""
    service = object.__new__(Service)
    service.server_index, service.servers, service.pending_updates, service.loop_time_offset = {}, [], {}, 5
    service.zones, service.kinds = {"z": 0}, {"big": 0}
    service.logged_events = []
    service.log = lambda event, **_: service.logged_events.append(event)
    service.policy_events = []
    service.handle_event = service.policy_events.append
    return service


class PolicyScenario:
    def __init__(self, path: Path) -> None:
        self.path = path
        self.deployment = DEPLOYMENT
        self.balancer: Balancer | None = None
        self.last_actions: list[interface.Action] = []
        self.all_actions: list[list[str]] = []
        self.server_of: dict[int, int] = {}

    def run(self) -> None:
        lines = [line.split("#")[0].split() for line in self.path.read_text().splitlines()]
        at = 0
        while at < len(lines):
            if lines[at][:1] == ["repeat"]:
                end = lines.index(["end"], at)
                for count in range(int(lines[at][1])):
                    for line in lines[at + 1 : end]:
                        self.play_line([word.replace("{}", str(count)) for word in line])
                at = end
            elif lines[at]:
                self.play_line(lines[at])
            at += 1

    def play_line(self, words: list[str]) -> None:
        if words[0] == "set":
            given = {key: parse_value(text) for key, text in (word.split("=") for word in words[1:])}
            inner = {k: v for k, v in given.items() if k in interface.Listener.__slots__}
            outer = {k: v for k, v in given.items() if k not in inner}
            self.deployment = replace(self.deployment, listeners=(replace(LISTENER, **inner),), **outer)
        elif words[0] == "expect":
            self.expect(words[1:])
        else:
            if self.balancer is None:
                self.balancer = Balancer(7, self.deployment)
            self.last_actions = self.balancer.handle(int(words[0]), self.event(words[1], words[2:]))
            for action in self.last_actions:
                self.all_actions.append(self.describe(action))
                if isinstance(action, interface.Dial):
                    self.server_of[action.session_id] = action.server

    def event(self, kind: str, words: list[str]) -> interface.Event:
        if kind == "list":
            return interface.ServerListUpdated(
                interface.ListKind[words[0]], [self.entry(word) for word in words[1:]]
            )
        if kind == "probed":
            return interface.ProbeEnded(int(words[0]), True, float(words[1]))
        if kind == "timer":
            return interface.TimerFired(interface.Timer[words[0]], int(words[1]))
        session_id = int(words[0])
        options = dict(word.split("=") for word in words[1:] if "=" in word)
        if kind == "arrived":
            subject, hint = options.get("subject"), options.get("hint")
            budget, flow = int(options.get("budget", 12000)), "mid_flow" in words
            return interface.SessionArrived(
                session_id, 0, budget, None if hint is None else float(hint), subject, flow
            )
        if kind == "restored":
            self.server_of[session_id] = int(words[2])
            return interface.SessionRestored(session_id, 0, None, options.get("subject"), int(words[2]))
        if kind == "left":
            return interface.SessionLeft(session_id)
        if kind == "load":
            return interface.LoadReported(session_id, float(words[1]))
        server = self.server_of[session_id]
        if kind == "up":
            return interface.SessionEstablished(session_id, server, int(words[1]) if words[1:] else 100)
        if kind == "delay":
            return interface.DelayReported(session_id, server, int(float(words[1]) * 10))
        assert kind == "ended", f"{self.path.name}: no event {kind}"
        return interface.DialEnded(session_id, server, interface.DialOutcome[words[1]], "done" in words, None)

    def entry(self, word: str) -> interface.ServerEntry:
        index, state, *more = word.split(":")
        marks = {mark[0]: int(mark[1:]) for mark in more}
        zone, cell, started = marks.get("z", 0), marks.get("c", 0), marks.get("b", 0)
        weight, kind = marks.get("w", 1), marks.get("k", -1)
        return interface.ServerEntry(
            int(index), zone, cell, interface.ServerState[state.upper()], started, weight, kind
        )

    def expect(self, words: list[str]) -> None:
        shown = [self.describe(action) for action in self.last_actions if isinstance(action, CHECKED_ACTIONS)]
        where = f"{self.path.name}: expected {' '.join(words)}, got {shown}"
        among = self.all_actions if words[0] == "seen" else shown
        found = any(one[: len(words) - 1] == words[1:] for one in among)
        if words == ["none"]:
            assert not shown, where
        elif words[0] in ("any", "seen"):
            assert found, where
        elif words[0] == "no":
            assert not found, where
        else:
            assert len(shown) == 1, where
            assert all(want in (got, "*") for want, got in zip(words, shown[0], strict=False)), where

    @staticmethod
    def describe(action: interface.Action) -> list[str]:
        name = {"Dial": "dial", "Refuse": "refuse", "TearDown": "teardown", "Move": "move"}
        kind = type(action).__name__
        numbers = [getattr(action, slot) for slot in action.__struct_fields__]
        return [name.get(kind, kind.lower()), *map(str, numbers)]


SETTINGS = {
    "listeners": [
        {
            "name": "chat", "handshake_target_us": 300000, "deadline_us": 2000000, "effect": "pure",
            "utility": 1.0, "dedup_scope": "all", "memory_span_us": 5000000,
        }
    ],
    "limits": {"max_dials": 4, "dial_timeout_us": 150000},
    "contract": {
        "ask_within_us": 400000, "start_capacity": 0.3, "warm_after_us": 8000000, "overload_factor": 2.5,
        "overload_for_us": 2000000, "drain_grace_us": 2000000,
    },
    "discovery": "on_request", "tick_us": 2000, "extra": {"message_aim_us": [50000], "tells_load": True},
}  # fmt: skip
STEP_TIMEOUT_SECONDS = 9.0  # how long a step waits for what it expects


class LineConnection:
    """A test client's or stand-in server's end of a connection."""

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(STEP_TIMEOUT_SECONDS)
        self.sock = sock
        self.buffer = b""

    def read_line(self) -> str:
        """Returns the next line, or `end` or `reset`."""
        try:
            while b"\r\n" not in self.buffer:
                got = self.sock.recv(65536)
                if not got:
                    return "end" if not self.buffer else f"end after {self.buffer!r}"
                self.buffer += got
        except ConnectionError:
            return "reset"
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line.decode()

    def read_exactly(self, count: int) -> bytes:
        while len(self.buffer) < count:
            got = self.sock.recv(65536)
            assert got, "ended"
            self.buffer += got
        taken, self.buffer = self.buffer[:count], self.buffer[count:]
        return taken

    def perform(self, verb: str, text: str) -> None:
        if verb in ("says", "sends"):
            end = b"\r\n" if verb == "says" else b""
            self.sock.sendall(text.encode().decode("unicode_escape").encode() + end)
        elif verb == "gets":
            got = self.read_line()
            assert fnmatch(got, text), f"expected {text!r}, got {got!r}"
        elif verb == "floods":
            self.sock.sendall(b"x" * int(text))
        elif verb == "ends":
            self.sock.shutdown(socket.SHUT_WR)
        elif verb == "closes":
            self.sock.close()
        elif verb == "resets":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.close()
        else:
            raise AssertionError(f"no step {verb}")


class SocketScenario:
    """Plays a scenario on loopback sockets against the program in a process of its own.

    known A B:DRAINING C!    the servers in the configuration; `!` marks one that refuses connections
    set KEY=VALUE ...        before `start`: changes the deployment (keys of any of its parts)
    descriptors N            before `start`: limits the file descriptors of the program
    extra_clients N          N clients connect and send nothing
    extra_clients floods N   they send N bytes without a line end, as far as accepted, and read nothing
    extra_clients gone       each of them has been answered or closed
    reload other|invalid     replaces the configuration (another list service, or no JSON) and sends
                             SIGHUP three times
    start                    starts the program and waits until it answers PING
    client N opens FIGURES   connects and sends OPEN; `client N connects` only connects
    client N VERB TEXT       says a line, sends bytes, gets a line (a pattern), `end` or `reset`; ends,
                             closes, resets
    server N dialled [A]     accepts the next dial (at server A), for the session of client N
    server N VERB TEXT       the same verbs on the connection of that dial
    server N transfers COUNT writes COUNT bytes, which the client reads unchanged
    figures PATTERN          matches the last word of the OPEN line of the last dial
    list asked PATTERN       the list service receives a request for this path
    list says N KIND A:STATE answers with version N, `changes` or `whole`; `list answers STATUS BODY`,
                             `list resets`
    log PATTERN              the program logs a matching line
    clock, took_less S       the steps between the two took less than S seconds
    stop, exits CODE         SIGTERM; the program exits by itself with this code
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.settings = json.loads(json.dumps(SETTINGS))
        self.known: list[dict] = []
        self.server_sockets: dict[str, socket.socket] = {}
        self.clients: dict[str, LineConnection] = {}
        self.dials: dict[str, LineConnection] = {}
        self.discovery = self.listen()
        self.list_calls: list[LineConnection] = []
        self.program: subprocess.Popen[bytes] | None = None
        self.log = b""
        self.clock_started = 0.0
        self.descriptors = 0  # limit for the program; 0: that of this process
        self.extra_sockets: list[socket.socket] = []
        self.folder = tempfile.TemporaryDirectory()
        self.configuration_path = Path(self.folder.name, "balancer.json")

    @staticmethod
    def listen() -> socket.socket:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.settimeout(STEP_TIMEOUT_SECONDS)
        return listener

    def run(self) -> None:
        try:
            for number, line in enumerate(self.path.read_text().splitlines(), 1):
                words = line.split("#")[0].rstrip().split(maxsplit=2)
                if words:
                    try:
                        self.run_step(words[0], words[1:])
                    except (AssertionError, TimeoutError, ConnectionError) as why:
                        raise AssertionError(f"{self.path.name}:{number}: {line}: {why}") from why
        finally:
            if self.program is not None:
                self.program.kill()
                self.program.wait()
                self.program.stdout.close()
            self.folder.cleanup()
            ends = [
                *self.extra_sockets,
                *self.server_sockets.values(),
                self.discovery,
                *(p.sock for p in self.connections()),
            ]
            for sock in ends:
                sock.close()

    def connections(self) -> list[LineConnection]:
        return [*self.clients.values(), *self.dials.values(), *self.list_calls]

    def run_step(self, kind: str, words: list[str]) -> None:
        getattr(self, f"on_{kind}")(*words)

    def on_known(self, *words: str) -> None:
        for word in " ".join(words).split():
            name, _, state = word.rstrip("!").partition(":")
            self.known.append(self.entry(name, state or "SERVING"))
            if word.endswith("!"):
                self.server_sockets.pop(name).close()

    def entry(self, name: str, state: str) -> dict:
        if name not in self.server_sockets:
            self.server_sockets[name] = self.listen()
        port = self.server_sockets[name].getsockname()[1]
        return {"id": name, "addr": f"127.0.0.1:{port}", "zone": "z", "state": state}

    def on_set(self, *words: str) -> None:
        parts = [
            self.settings,
            *self.settings["listeners"],
            *(self.settings[k] for k in ("limits", "contract")),
        ]
        for word in " ".join(words).split():
            key, _, text = word.partition("=")
            next(part for part in parts if key in part)[key] = json.loads(text)

    def on_descriptors(self, count: str) -> None:
        self.descriptors = int(count)

    def on_extra_clients(self, what: str, count: str = "") -> None:
        if what == "floods":
            for sock in self.extra_sockets:
                sock.setblocking(False)
                with contextlib.suppress(BlockingIOError, ConnectionError):
                    sock.sendall(b"x" * int(count))
        elif what == "gone":
            for sock in self.extra_sockets:
                assert select.select([sock], [], [], STEP_TIMEOUT_SECONDS)[0], "a connection is kept"
        else:
            self.extra_sockets = [self.connect() for _ in range(int(what))]

    def on_reload(self, what: str) -> None:
        if what == "invalid":
            text = "{"
        else:
            self.discovery = self.listen()
            self.list_calls = []
            text = self.configuration_text()
        new = self.configuration_path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.configuration_path)
        for _ in range(3):
            self.program.send_signal(signal.SIGHUP)

    def configuration_text(self) -> str:
        configuration = {
            "name": "b", "listen": "127.0.0.1:0", "seed": "a5", "settings": self.settings,
            "discovery": f"127.0.0.1:{self.discovery.getsockname()[1]}",
            "known": {"version": 7, "full": True, "servers": self.known},
        }  # fmt: skip
        return json.dumps(configuration)

    def on_start(self) -> None:
        text = self.configuration_text()
        self.configuration_path.write_text(text)
        command = [sys.executable, "-m", "thymedeck", "serve", "--config", str(self.configuration_path)]
        limit = (self.descriptors, self.descriptors)
        set_limit = partial(resource.setrlimit, resource.RLIMIT_NOFILE, limit) if self.descriptors else None
        env = os.environ | {"LB_DISCOVERY": json.loads(text)["discovery"]}
        self.program = subprocess.Popen(command, stdout=subprocess.PIPE, preexec_fn=set_limit, env=env)
        self.address = self.on_log('*"event":"started"*')["listen"].split(":")
        probe = LineConnection(self.connect())
        probe.perform("says", "PING")
        probe.perform("gets", "PONG")
        probe.sock.close()

    def connect(self) -> socket.socket:
        return socket.create_connection((self.address[0], int(self.address[1])), timeout=STEP_TIMEOUT_SECONDS)

    def on_log(self, *words: str) -> dict:
        """Waits for a matching line and skips those before it."""
        pattern = " ".join(words)
        until = time.monotonic() + STEP_TIMEOUT_SECONDS
        while True:
            while b"\n" in self.log:
                line, _, self.log = self.log.partition(b"\n")
                if fnmatch(line.decode(), pattern):
                    return json.loads(line)
            left = until - time.monotonic()
            ready = select.select([self.program.stdout], [], [], max(left, 0))[0]
            got = os.read(self.program.stdout.fileno(), 65536) if ready else b""
            assert got, f"no log line matches {pattern}"
            self.log += got

    def on_client(self, name: str, rest: str) -> None:
        verb, _, text = rest.partition(" ")
        if verb in ("opens", "connects"):
            self.clients[name] = LineConnection(self.connect())
            if verb == "opens":
                self.clients[name].perform("says", f"OPEN id{name} key{name} {text}")
        else:
            self.clients[name].perform(verb, text)

    def on_server(self, name: str, rest: str) -> None:
        verb, _, text = rest.partition(" ")
        if verb == "dialled":
            listeners = [listener for at, listener in self.server_sockets.items() if not text or at == text]
            ready = select.select(listeners, [], [], STEP_TIMEOUT_SECONDS)[0]
            assert ready, "no dial"
            self.dials[name] = LineConnection(ready[0].accept()[0])
            line = self.dials[name].read_line()
            assert line.startswith(f"OPEN id{name} key{name} "), line
            self.figures = line.split()[3]
        elif verb == "transfers":
            data = os.urandom(int(text)).replace(b"\n", b"-")
            writer = threading.Thread(target=self.dials[name].sock.sendall, args=(data,))
            writer.start()
            same = self.clients[name].read_exactly(len(data)) == data
            writer.join()
            assert same, "bytes changed"
        else:
            self.dials[name].perform(verb, text)

    def on_figures(self, *words: str) -> None:
        assert fnmatch(self.figures, words[0]), self.figures

    def on_list(self, verb: str, text: str = "") -> None:
        if verb == "asked":
            if not self.list_calls or self.list_calls[-1].sock.fileno() < 0:
                self.accept_list_call()
            call = self.list_calls[-1].read_line()
            if call in ("end", "reset"):
                self.accept_list_call()
                call = self.list_calls[-1].read_line()
            while self.list_calls[-1].read_line():
                pass
            assert fnmatch(call, f"GET {text} HTTP/1.1"), call
        elif verb == "says":
            version, full, *rows = text.split()
            entries = [self.entry(*row.split(":")) for row in rows]
            body = json.dumps({"version": int(version), "full": full == "whole", "servers": entries})
            self.reply_to_list_call("200 OK", body)
        elif verb == "answers":
            status, _, body = text.partition(" ")
            self.reply_to_list_call(status, body)
        else:
            self.list_calls[-1].perform(verb, text)

    def accept_list_call(self) -> None:
        self.list_calls.append(LineConnection(self.discovery.accept()[0]))

    def reply_to_list_call(self, status: str, body: str) -> None:
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
        self.list_calls[-1].sock.sendall(head.encode() + body.encode())

    def on_clock(self) -> None:
        self.clock_started = time.monotonic()

    def on_took_less(self, most: str) -> None:
        took = time.monotonic() - self.clock_started
        assert took < float(most), f"took {took:.2f} s"

    def on_stop(self) -> None:
        self.program.terminate()

    def on_exits(self, code: str) -> None:
        assert self.program.wait(STEP_TIMEOUT_SECONDS) == int(code)
