"""What the cases share: the balancer as a separate process, and stand-ins for discovery, servers and clients.

The stand-ins follow the operators' pages and need the standard library alone. All addresses are loopback
addresses; all ports are picked by the system.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_RUN = 110  # seconds


class CouldNotRun(Exception):
    """The case could not be played, so that it says nothing about the rule."""


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def listener(name: str, target_ms: int, deadline_ms: int, utility: float, **more: object) -> dict:
    return {
        "name": name,
        "effect": "pure",
        "dedup_scope": "all",
        "memory_span_us": 5_000_000,
        "handshake_target_us": target_ms * 1000,
        "deadline_us": deadline_ms * 1000,
        "overdue_utility": 0.0,
        "stream": True,
        "utility": utility,
        **more,
    }


def small_deployment(message_aim_ms: int = 50, **changes: object) -> dict:
    """The settings of a deployment of three balancers and a few servers."""
    settings = {
        "family": "conn",
        "me": 0,
        "replicas_of_me": 3,
        "tick_us": 2000,
        "discovery": "on_request",
        "zones": ["a"],
        "zone": 0,
        "kinds": ["node"],
        "weight_kind": "silent",
        "utility_basis": "work",
        "listeners": [
            listener("readings", 300, 1200, 5.0),
            listener("history", 800, 4800, 2.0),
        ],
        "limits": {
            "cancelling": True,
            "dial_timeout_us": 150_000,
            "keepalive_us": 60_000_000,
            "max_dials": 4,
            "max_open": 1_000_000,
            "may_duplicate": False,
            "peers": False,
            "probes": False,
            "retry_after": False,
        },
        "contract": {
            "ask_within_us": 10_000_000,
            "drain_grace_us": 2_000_000,
            "grace_to_answer_us": 8000,
            "overload_factor": 2.5,
            "overload_for_us": 2_000_000,
            "start_capacity": 0.3,
            "warm_after_us": 8_000_000,
        },
        "extra": {
            "mode": "proxy",
            "message_aim_us": [message_aim_ms * 1000.0] * 2,
            "tells_load": True,
            "tells_delay": False,
            "tenant_quota_connections": [],
        },
        "prices": {"cross_zone": 0.01},
        "report": {"fields": [], "how": "silent"},
    }
    return settings | changes


class Record:
    """Writes what was sent, answered and run to `record.txt`, and keeps it for the check."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def __call__(self, who: str, text: str) -> float:
        now = self.now()
        print(f"{now:8.3f} {who:10} {text}", file=self.file, flush=True)
        return now


class Discovery:
    """The list of servers over HTTP/1.1: the whole list, and watches by long polling.

    Each call waits `line` seconds for the calls before it, those of the other balancers. The wait of a watch
    counts from the arrival of its call.
    """

    def __init__(self, record: Record, line: float = 0.0) -> None:
        self.record = record
        self.line = line
        self.version = 1
        self.entries: dict[str, dict] = {}
        self.versions: dict[str, int] = {}  # of each entry's last change
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    def put(self, name: str, address: str, zone: str = "a", **more: object) -> None:
        entry = {"id": name, "addr": address, "zone": zone, "kind": "node", "cell": 1, "state": "SERVING"}
        self.entries[name] = entry | {"weight": 1.0, "started_ms": 0} | more
        self.versions[name] = self.version

    def change(self, name: str, **changes: object) -> float:
        self.version += 1
        self.entries[name] |= changes
        self.versions[name] = self.version
        at = self.record("discovery", f"version {self.version}: {name} {changes}")
        self.changed.set()
        self.changed = asyncio.Event()
        return at

    def listed(self) -> dict:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                arrived = time.monotonic()
                target = head.split(" ")[1]
                self.record("discovery", f"call {target}")
                await asyncio.sleep(self.line)
                query = parse_qs(urlsplit(target).query)
                answer = self.listed()
                if "index" in query:
                    index = int(query["index"][0])
                    until = arrived + int(query.get("wait", ["0"])[0]) / 1000
                    while self.version <= index and time.monotonic() < until:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                    answer = {
                        "version": self.version,
                        "full": False,
                        "servers": [self.entries[n] for n, v in self.versions.items() if v > index],
                    }
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                states = {entry["id"]: entry["state"] for entry in answer["servers"]}
                self.record("discovery", f"answered {target} version {answer['version']} {states}")
        except (asyncio.IncompleteReadError, ConnectionError):
            self.record("discovery", "the caller ended the connection")
        except asyncio.CancelledError:
            return  # the play is over
        finally:
            writer.close()


class Balancer:
    """One balancer, started by `run` of the deploy file with the variables that the platform sets."""

    def __init__(
        self, folder: Path, record: Record, name: str, discovery: str, known: dict, settings: dict
    ) -> None:
        self.record, self.name = record, name
        self.port = free_port()
        config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings,
        }
        path = folder / f"{name}.json"
        path.write_text(json.dumps(config))
        variables = {
            "LB_NAME": name,
            "LB_LISTEN": config["listen"],
            "LB_DISCOVERY": discovery,
            "LB_CONFIG": str(path),
            "TMPDIR": str(folder),
        }
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.log = (folder / f"{name}.log").open("w+")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env={name: value for name, value in os.environ.items() if name != "PYTHONPATH"} | variables,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )
        record(name, f"started, seed {config['seed']}")

    async def ready(self) -> None:
        """Waits until it answers PING with PONG, as the front does."""
        for _ in range(300):
            if self.process.poll() is not None:
                raise CouldNotRun(f"{self.name} ended at its start")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readuntil(b"\n"), 1)
                writer.close()
                if line == b"PONG\r\n":
                    self.record(self.name, "answers PING")
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{self.name} was not ready in 30 s")

    def signal(self, number: signal.Signals) -> float:
        at = self.record(self.name, f"gets {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        return at

    async def ended(self, within: float) -> bool:
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.process.poll() is not None:
                self.record(self.name, f"ended with {self.process.returncode}")
                return True
            await asyncio.sleep(0.01)
        return False

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


class Play:
    """The processes and files of one run; all are gone when it ends."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.random = random.Random(47)
        self.folder = Path(tempfile.mkdtemp(prefix="thymedeck-review-"))
        self.balancers: list[Balancer] = []

    def balancer(self, discovery: str, known: dict, settings: dict) -> Balancer:
        name = f"b{len(self.balancers)}"
        one = Balancer(self.folder, self.record, name, discovery, known, settings)
        self.balancers.append(one)
        return one

    def identifier(self) -> str:
        return f"{self.random.getrandbits(64):016x}"

    def end(self) -> None:
        for one in self.balancers:
            one.end()
        shutil.rmtree(self.folder, ignore_errors=True)


async def quietly(play: Awaitable[list[str]]) -> list[str]:
    """Stand-ins are cancelled when the play is over; that is no error to tell of."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await play


def main(case: str, play_case: Callable[[Play], Awaitable[list[str]]]) -> None:
    """Plays the case and exits: its result is the list of violations, one line each."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    play = Play(Path(case).resolve().parent)
    code = COULD_NOT_RUN
    try:
        play.record("case", f"disruption: {'on' if trouble() else 'off'}")
        violations = asyncio.run(asyncio.wait_for(quietly(play_case(play)), LONGEST_RUN))
        for one in violations:
            play.record("BROKEN", one)
        code = BROKEN if violations else HELD
        play.record("case", f"{len(violations)} violations, exit code {code}")
        print(f"{len(violations)} violations" + (f", first: {violations[0]}" if violations else ""))
    except Exception as error:  # the case says nothing then
        play.record("case", f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
    finally:
        play.end()
    sys.exit(code)
