"""Stand-ins for the cases of the second review: clients, servers, the list service and the platform.

They follow the operators' protocol page, run in the process of the test on loopback addresses and the real
clock, and record what is sent, answered and run. The balancers are separate processes, started by `run` of
the deploy file. Times are seconds of the monotonic clock unless a name says otherwise.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TIME_LIMIT = 110.0  # of a whole run
READY_TIMEOUT = 30.0  # within which a balancer has to answer PING
HELD, BROKEN, NOT_RUN = 0, 1, 2
LINE_INTERVAL = 2.0  # between two lines of a client
RULE_SLACK = 0.05  # each time limit is 50 ms longer on sockets


class CannotRun(Exception):
    """The case could not be played, whatever the balancer does."""


def settings(**changes: dict) -> dict:
    """Settings of a small deployment; each argument updates one of the nested objects."""
    classes = (("live", 300, 1200, 5.0), ("history", 800, 4800, 2.0), ("sync", 500, 2000, 2.0))
    result = {
        "listeners": [
            {
                "name": name, "handshake_target_us": target * 1000, "deadline_us": deadline * 1000,
                "effect": "pure", "dedup_scope": "all", "memory_span_us": 5_000_000, "utility": utility,
                "overdue_utility": 0.0, "stream": True,
            }
            for name, target, deadline, utility in classes
        ],
        "clients": {"marks_retry": False},
        "contract": {
            "ask_within_us": 10_000_000, "drain_grace_us": 2_000_000, "grace_to_answer_us": 8000,
            "start_capacity": 0.3, "warm_after_us": 8_800_000, "overload_factor": 2.5,
            "overload_for_us": 2_000_000,
        },
        "discovery": "on_request",
        "extra": {
            "groups": False, "message_aim_us": [50_000.0, 60_000.0, 100_000.0], "mode": "proxy",
            "tells_load": True, "tells_delay": True, "tenant_quota_connections": [160.0],
        },
        "limits": {
            "cancelling": True, "dial_timeout_us": 150_000, "max_dials": 4, "max_retry_after_us": 0,
            "may_duplicate": False, "peers": False, "probes": False, "retry_after": False,
        },
        "prices": {"cross_zone": 0.01},
        "report": {"fields": [], "how": "silent"},
        "kinds": ["node"], "zones": ["east", "west"], "zone": 0, "me": 0, "replicas_of_me": 3,
        "tick_us": 2000, "realms": [{"name": "acme", "portion": 1.0, "quota_rps": 20.0}],
    }  # fmt: skip
    for name, value in changes.items():
        result[name] = {**result[name], **value} if isinstance(value, dict) else value
    return result


class Case:
    """One run of a case: its record, its temporary folder, and all that it has started."""

    def __init__(self, folder: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()
        self.random = random.Random(1)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.balancers: list[Balancer] = []
        self.tasks: set[asyncio.Task] = set()
        self.faults: list[str] = []  # broken rules
        self.has_failed = False  # a stand-in has failed, so that the run tells nothing

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def note(self, text: str) -> None:
        self.record_file.write(f"{self.now():8.3f} {text}\n")
        self.record_file.flush()

    def broken(self, text: str) -> None:
        self.faults.append(text)
        self.note(f"RULE BROKEN: {text}")

    def spawn(self, work: Awaitable) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.note(f"a stand-in failed: {error!r}")
            self.has_failed = True

    def free_port(self) -> int:
        with socket.socket() as sock:
            sock.bind((HOST, 0))
            return sock.getsockname()[1]

    async def close(self) -> None:
        for balancer in self.balancers:
            balancer.kill()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for balancer in self.balancers:
            await balancer.process.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)


class Balancer:
    """A balancer's process, and what the platform does with it."""

    def __init__(self, case: Case, name: str, discovery: str, config: dict) -> None:
        self.case = case
        self.name = name
        self.discovery = discovery
        self.port = case.free_port()
        self.listen = f"{HOST}:{self.port}"
        seed = f"{case.random.getrandbits(64):016x}"
        self.config = {
            "name": name, "listen": self.listen, "discovery": discovery, "seed": seed, **config,
        }  # fmt: skip
        case.note(f"{name}: seed {seed}")
        self.config_path = case.temporary / f"{name}.json"
        self.log_path = case.temporary / f"{name}.log"

    def write_config(self) -> None:
        """Replaces the file of the configuration, as a whole."""
        draft = self.config_path.with_suffix(".new")
        draft.write_text(json.dumps(self.config))
        draft.replace(self.config_path)

    async def start(self) -> None:
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.write_config()
        private = self.case.temporary / f"{self.name}.tmp"
        private.mkdir(exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environment |= {
            "LB_NAME": self.name, "LB_LISTEN": self.listen, "LB_DISCOVERY": self.discovery,
            "LB_CONFIG": str(self.config_path), "TMPDIR": str(private),
        }  # fmt: skip
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
        self.case.balancers.append(self)
        self.case.note(f"{self.name}: started, listens at {self.listen}")
        until = self.case.now() + READY_TIMEOUT
        while not await self.answers_ping():
            if self.case.now() > until or self.process.returncode is not None:
                raise CannotRun(f"{self.name} is not ready: {self.log_path.read_text()[-500:]}")
            await asyncio.sleep(0.02)
        self.case.note(f"{self.name}: ready")

    async def answers_ping(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(b"PING\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return line == b"PONG\r\n"

    def signal(self, number: signal.Signals) -> None:
        self.case.note(f"{self.name}: {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def reload(self, **changes: object) -> None:
        """A new configuration: the file is replaced, then the program gets SIGHUP."""
        self.config |= changes
        self.write_config()
        self.signal(signal.SIGHUP)

    def kill(self) -> None:
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()


class ServerConnection:
    """A connection to a server; carries one session."""

    def __init__(self, server: "Server", reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.server = server
        self.reader = reader
        self.writer = writer
        self.session = ""
        self.is_silent = False  # nothing passes any more, in either direction; the connection stays open
        self.is_up = False
        self.up_at = -1.0

    def send(self, data: bytes) -> None:
        if not self.is_silent:
            self.server.case.note(f"server {self.server.id}: to {self.session}: {data!r}")
            self.writer.write(data)

    async def serve(self) -> None:
        server, case = self.server, self.server.case
        try:
            while line := await self.reader.readline():
                if self.is_silent:
                    continue
                case.note(f"server {server.id}: line {line!r}")
                if not self.session:
                    words = line.split()
                    if len(words) != 4 or words[0] != b"OPEN":
                        self.send(b"SYNTAX\r\n")
                        break
                    self.session = words[1].decode()
                    server.opened.append((case.now(), self.session))
                    if server.is_draining:
                        self.send(b"BUSY\r\n")
                        break
                    self.is_up, self.up_at = True, case.now()
                    self.send(b"UP %s-%s\r\n" % (server.id.encode(), words[1]))
                    self.send(b"LOAD %d\r\n" % server.first_load)
                elif line == b"QUIT\r\n":
                    self.send(b"BYE\r\n")
                    break
                else:
                    self.send(line)
                    if server.on_line is not None:
                        server.on_line(self, line)
        except OSError:
            pass
        while self.is_silent:
            await asyncio.sleep(0.05)
        server.connections.discard(self)
        self.writer.close()


class Server:
    """A sound server: answers OPEN with UP and a load, and every line at once; BUSY while it drains."""

    def __init__(self, case: Case, server_id: str, zone: str = "east") -> None:
        self.case = case
        self.id = server_id
        self.zone = zone
        self.state = "SERVING"
        self.connections: set[ServerConnection] = set()
        self.opened: list[tuple[float, str]] = []  # each OPEN line: when it came, the session's id
        self.started_ms = 0  # Unix time of its last start; 0: long ago
        self.first_load = 20_000  # of a connection, as told when it is up
        self.on_line: Callable[[ServerConnection, bytes], None] | None = None

    @property
    def is_draining(self) -> bool:
        return self.state != "SERVING"

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self.accept, HOST, 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.case.note(f"server {self.id}: listens at {HOST}:{self.port}")

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(self, reader, writer)
        self.connections.add(connection)
        self.case.spawn(connection.serve())

    def entry(self, state: str = "") -> dict:
        return {
            "id": self.id, "addr": f"{HOST}:{self.port}", "zone": self.zone, "kind": "node", "cell": 0,
            "state": state or self.state, "weight": 1.0, "started_ms": self.started_ms,
        }  # fmt: skip


class ListService:
    """Discovery: the whole list, and watches; it may have several addresses, one after another."""

    def __init__(self, case: Case, servers: list[Server]) -> None:
        self.case = case
        self.servers = servers
        self.version = 41
        self.changed_in: dict[str, int] = {}  # by server id: the version of its last change
        self.change = asyncio.Event()
        self.answer_time = 0.0  # a call's way and its wait for its turn, until its answer arrives
        self.calls: list[float] = []
        self.listeners: list[asyncio.Server] = []
        self.writers: dict[asyncio.StreamWriter, int] = {}  # open connections, and the port of each

    async def start(self) -> str:
        """Opens a further address."""
        listener = await asyncio.start_server(self.accept, HOST, 0)
        self.listeners.append(listener)
        port = listener.sockets[0].getsockname()[1]
        self.case.note(f"list: listens at {HOST}:{port}")
        return f"{HOST}:{port}"

    async def leave(self, address: str) -> None:
        """Takes no new connection at this address, and closes the open ones after 1.5 s."""
        port = int(address.rpartition(":")[2])
        for listener in self.listeners:
            if listener.is_serving() and listener.sockets[0].getsockname()[1] == port:
                listener.close()
        self.case.note(f"list: no new connection at {address}")
        await asyncio.sleep(1.5)
        for writer in [one for one, its_port in self.writers.items() if its_port == port]:
            writer.close()
        self.case.note(f"list: open connections at {address} closed")

    def known(self, **states: str) -> dict:
        """The whole list as a balancer last had it: with these states, without the servers marked ''."""
        entries = [one.entry(states.get(one.id, "SERVING")) for one in self.servers if states.get(one.id, 1)]
        return {"version": self.version, "full": True, "servers": entries}

    def set_state(self, server: Server, state: str) -> None:
        self.version += 1
        server.state = state
        self.changed_in[server.id] = self.version
        self.case.note(f"list: version {self.version}: {server.id} is {state}")
        self.change.set()
        self.change = asyncio.Event()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = writer.get_extra_info("sockname")[1]
        self.case.spawn(self.serve(reader, writer))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await self.answer(head.split(b" ")[1].decode(), writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.writers.pop(writer, None)
        writer.close()

    async def answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        query = parse_qs(urlsplit(target).query)
        index, wait = int(query.get("index", ["-1"])[0]), int(query.get("wait", ["0"])[0]) / 1000
        self.calls.append(self.case.now())
        self.case.note(f"list: call {target}")
        if self.answer_time:
            await asyncio.sleep(self.answer_time)
        if wait and index >= self.version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.change.wait(), wait)
        full = index < 0
        rows = [one.entry() for one in self.servers if full or self.changed_in.get(one.id, 0) > index]
        body = json.dumps({"version": self.version, "full": full, "servers": rows}).encode()
        if writer.is_closing():
            self.case.note("list: an answer is ready, but its call was given up")
            return
        self.case.note(f"list: answer {body.decode()}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Client:
    """A sound client: sends OPEN, waits for its answer, then sends a line every 2 s until it is ended."""

    def __init__(self, case: Case, balancer: Balancer) -> None:
        self.case = case
        self.balancer = balancer
        self.id = f"{case.random.getrandbits(64):016x}"
        self.more = ""  # further names and values of the OPEN line
        self.answer = b""
        self.lines: list[bytes] = []
        self.last_at = -1.0  # when bytes came last
        self.received = bytearray()
        self.was_moved = False
        self.ended_at = -1.0

    @property
    def is_up(self) -> bool:
        return self.answer.startswith(b"UP ")

    async def play(self, line_count: int = 1 << 30) -> None:
        """Opens the session, and leaves it with QUIT after so many lines."""
        case = self.case
        try:
            reader, self.writer = await asyncio.open_connection(HOST, self.balancer.port)
        except OSError as error:
            case.note(f"client {self.id}: no connection: {error}")
            return
        line = f"OPEN {self.id} {case.random.getrandbits(64):016x} c=history,t=acme,d=4800"
        self.writer.write(f"{line}{self.more}\r\n".encode())
        case.note(f"client {self.id}: sends {line}{self.more}")
        sender: asyncio.Task | None = None
        partial = b""
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                self.last_at = case.now()
                self.received += data
                case.note(f"client {self.id}: gets {data!r}")
                *lines, partial = (partial + data).split(b"\r\n")
                for one in lines:
                    self.take(one)
                if self.is_up and sender is None:
                    sender = case.spawn(self.send_lines(line_count))
        self.ended_at = case.now()
        case.note(f"client {self.id}: the connection has ended")
        if sender is not None:
            sender.cancel()
        self.writer.close()

    def take(self, line: bytes) -> None:
        if not self.answer:
            self.answer = line
        else:
            self.lines.append(line)
            self.was_moved = self.was_moved or line == b"MOVE"

    async def send_lines(self, count: int) -> None:
        with contextlib.suppress(OSError):
            for number in range(count):
                self.case.note(f"client {self.id}: sends line {number}")
                self.writer.write(b"message %d\r\n" % number)
                await asyncio.sleep(LINE_INTERVAL)
            self.writer.write(b"QUIT\r\n")


async def arrivals(case: Case, balancer: Balancer, per_second: float, until: float) -> None:
    """Clients that come one after another until a time of the case; each leaves after one line."""
    while case.now() < until:
        case.spawn(Client(case, balancer).play(line_count=1))
        await asyncio.sleep(1 / per_second)


def check_drain(case: Case, server: Server, banned_from: float, why: str) -> None:
    """The rule on drains: nothing new is sent to the server from this time of the case on."""
    late = [at for at, _ in server.opened if at > banned_from]
    case.note(f"{server.id}: {len(server.opened)} OPEN lines, {len(late)} after {banned_from:.3f} ({why})")
    if late:
        case.broken(
            f"{len(late)} new sessions were sent to {server.id} from {late[0]:.3f} to {late[-1]:.3f} s, "
            f"allowed until {banned_from:.3f} s: {why}"
        )


def main(folder: str, play: Callable[[Case], Awaitable[None]]) -> None:
    """Plays the case and exits with 0 (the rule held), 1 (it was broken) or 2 (it could not run)."""

    async def run() -> int:
        case = Case(Path(folder).resolve().parent)
        case.note("with its disruption" if case.has_trouble else "without its disruption")
        try:
            await asyncio.wait_for(play(case), TIME_LIMIT)
            if case.has_failed:
                raise CannotRun("a stand-in has failed")
        except Exception as error:  # whatever it is, the run tells nothing of the rule
            case.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await case.close()
        for text in case.faults or ["the rule held"]:
            print(text)
            case.note(f"result: {text}")
        return BROKEN if case.faults else HELD

    # So that a run that is told to end ends its processes, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    sys.exit(asyncio.run(run()))
