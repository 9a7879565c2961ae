"""How long a daemon's loop looks at nothing under thousands of busy connections, and what begins too late.

    python tools/turns.py 1000 2000 5000 [--seconds 20] [--burst 0.5]

One daemon, one process of servers that send each line back, and the clients of this process, all on real
loopback sockets, for each number of connections anew. Each client sends a line every 2 s; every 5 s a part of
them (--burst) sends one at once. A turn is the time from one look at the sockets to the next, the wait left
out. Beside them leavers come, 40 a second: each sends its first line and closes within 0.15 s; servers turn
every second of them away and leave the others without an answer. For each dial begun and each line written
after its client's close, the time between is told (the machine's one clock).
"""

import argparse
import contextlib
import json
import os
import random
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, os.getcwd())

from tests.helpers import SETTINGS  # noqa: E402
from thymedeck.net.config_file import read_startup_config  # noqa: E402
from thymedeck.net.servers import DialConnection  # noqa: E402
from thymedeck.net.service import Service, SignalReceiver  # noqa: E402
from thymedeck.net.system import System  # noqa: E402

HEAD = (
    "| connections | lines/s sent | back | turns | median ms | 99 % | 99.9 % | longest | over 100 ms "
    "| most ready | leavers | dials for them | begun after | latest ms | lines after | latest ms |"
)
SERVERS = 16
LINE = b"x" * 62 + b"\r\n"
EVERY, BURST_EVERY, LEAVER_EVERY, LEAVES_WITHIN = 2.0, 5.0, 0.025, 0.15


class Timed(selectors.DefaultSelector):
    turns: list[float] = []
    ready: list[int] = []
    back = 0.0

    def select(self, timeout: float | None = None) -> list:
        if self.back:
            self.turns.append(time.monotonic() - self.back)
        found = super().select(timeout)
        self.ready.append(len(found))
        self.back = time.monotonic()
        return found


class Watched(System):
    selector = staticmethod(Timed)


def daemon(file: str, out: str) -> None:
    """The program's own service; when a dial begins and when its first byte goes is noted beside it."""
    begun: list[tuple[str, str, float]] = []
    connect, flush = DialConnection.connect, DialConnection.flush

    def on_connect(dial: DialConnection, address: tuple[str, int]) -> str:
        begun.append(("dial", dial.client.open_words[1].decode(), time.monotonic()))
        return connect(dial, address)

    def on_flush(dial: DialConnection) -> None:
        if not (dial.connecting or dial.is_sent or dial.is_over):
            begun.append(("line", dial.client.open_words[1].decode(), time.monotonic()))
        flush(dial)

    DialConnection.connect, DialConnection.flush = on_connect, on_flush
    signals = SignalReceiver()
    service = Service(read_startup_config(file), Watched())
    signal.signal(signal.SIGUSR1, lambda *_: (Timed.turns.clear(), Timed.ready.clear()))
    service.stop = service.loop.stop
    service.serve(signals)
    Path(out).write_text(json.dumps({"turns": Timed.turns, "ready": Timed.ready, "begun": begun}))


def servers() -> None:
    """Prints their ports; sends every line of a session back; see above for what leavers get."""
    selector, count = selectors.DefaultSelector(), 0
    doors = [socket.create_server(("127.0.0.1", 0), backlog=1024) for _ in range(SERVERS)]
    for door in doors:
        door.setblocking(False)
        selector.register(door, selectors.EVENT_READ, None)
    print(*(door.getsockname()[1] for door in doors), flush=True)
    up: set[socket.socket] = set()
    while True:
        for key, _ in selector.select():
            if key.fileobj in doors:
                with contextlib.suppress(BlockingIOError):
                    while True:
                        sock = key.fileobj.accept()[0]
                        sock.setblocking(False)
                        selector.register(sock, selectors.EVENT_READ, None)
                continue
            sock = key.fileobj
            try:
                got = sock.recv(65536)
            except OSError:
                got = b""
            with contextlib.suppress(OSError):
                if sock in up and got:
                    sock.send(got)
                elif got.startswith(b"OPEN leaver"):
                    count += 1
                    got = b"" if count % 2 and sock.send(b"BUSY\r\n") else got
                elif got:
                    up.add(sock)
                    sock.send(b"UP r\r\n")
            if not got:
                up.discard(sock)
                selector.unregister(sock)
                sock.close()


class Clients:
    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.selector = selectors.DefaultSelector()
        self.socks: list[socket.socket] = []
        self.sent = self.back = 0
        self.leaving: list[tuple[float, str, socket.socket]] = []
        self.left: dict[str, float] = {}

    def open(self, count: int) -> None:
        for at in range(count):
            sock = socket.create_connection(self.address, timeout=10)
            sock.sendall(b"OPEN s%d k%d c=chat,d=9000\r\n" % (at, at))
            self.socks.append(sock)
            if at % 64 == 63 or at == count - 1:
                for one in self.socks[at // 64 * 64 :]:
                    assert (got := one.recv(100)).startswith(b"UP "), got
        for sock in self.socks:
            sock.setblocking(False)
            self.selector.register(sock, selectors.EVENT_READ)

    def say(self, at: int) -> None:
        with contextlib.suppress(OSError):
            self.socks[at].send(LINE)
            self.sent += 1

    def come(self, name: str) -> None:
        sock = socket.create_connection(self.address, timeout=10)
        sock.sendall(b"OPEN %s k c=chat,d=1900\r\n" % name.encode())
        self.leaving.append((time.monotonic() + random.uniform(0, LEAVES_WITHIN), name, sock))

    def go(self) -> None:
        now = time.monotonic()
        for one in [one for one in self.leaving if one[0] <= now]:
            self.leaving.remove(one)
            self.left[one[1]] = time.monotonic()
            one[2].close()

    def play(self, seconds: float, burst: float) -> None:
        began = time.monotonic()
        count, at, bursts, came = len(self.socks), 0, 1, 0
        while (now := time.monotonic() - began) < seconds:
            while at < now * count / EVERY:
                self.say(at % count)
                at += 1
            if burst and now > bursts * BURST_EVERY:
                bursts += 1
                for one in random.sample(range(count), int(burst * count)):
                    self.say(one)
            if now > came * LEAVER_EVERY:
                came += 1
                self.come(f"leaver{came}")
            self.go()
            for key, _ in self.selector.select(0.001):
                with contextlib.suppress(OSError):
                    self.back += key.fileobj.recv(65536).count(b"\n")


def measure(count: int, seconds: float, burst: float) -> None:
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:

        def start(*words: str) -> subprocess.Popen:
            process = subprocess.Popen([sys.executable, __file__, *words], stdout=subprocess.PIPE)
            stack.callback(process.wait)
            stack.callback(process.kill)
            return process

        ports = start("--servers").stdout.readline().split()
        known = [{"id": f"s{p.decode()}", "addr": f"127.0.0.1:{p.decode()}", "zone": "z"} for p in ports]
        told = {"name": "b", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": SETTINGS}
        file, out = Path(folder, "told.json"), Path(folder, "out.json")
        file.write_text(json.dumps({**told, "known": {"version": 1, "full": True, "servers": known}}))
        with Path(folder, "log").open("w+") as log:
            code = [sys.executable, __file__, "--daemon", str(file), str(out)]
            process = subprocess.Popen(code, stdout=log)
            stack.callback(process.wait)
            stack.callback(process.kill)
            while '"started"' not in (text := Path(folder, "log").read_text()):
                time.sleep(0.02)
            line = next(json.loads(one) for one in text.splitlines() if '"started"' in one)
        host, _, port = line["listen"].rpartition(":")
        clients = Clients((host, int(port)))
        clients.open(count)
        process.send_signal(signal.SIGUSR1)
        clients.play(seconds, burst)
        process.send_signal(signal.SIGTERM)
        process.wait()
        got = json.loads(out.read_text())
    turns = sorted(got["turns"])
    rank = {part: turns[int(part * (len(turns) - 1))] * 1e3 for part in (0.5, 0.99, 0.999, 1)}
    late = {"dial": [], "line": []}
    for kind, name, at in got["begun"]:
        if name in clients.left:
            late[kind].append((at - clients.left[name]) * 1e3)
    after = {kind: [one for one in ones if one > 0] for kind, ones in late.items()}
    over = sum(one > 0.1 for one in turns)
    print(
        f"| {count} | {clients.sent / seconds:.0f} | {clients.back / seconds:.0f} | {len(turns)} | "
        f"{rank[0.5]:.2f} | {rank[0.99]:.1f} | {rank[0.999]:.1f} | {rank[1]:.1f} | {over} | "
        f"{max(got['ready'])} | {len(clients.left)} | {len(late['dial'])} | {len(after['dial'])} | "
        f"{max(after['dial'], default=0):.1f} | {len(after['line'])} | {max(after['line'], default=0):.1f} |",
        flush=True,
    )


def main() -> int:
    if sys.argv[1:2] == ["--servers"]:
        servers()
    if sys.argv[1:2] == ["--daemon"]:
        daemon(*sys.argv[2:])
        return 0
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("connections", type=int, nargs="+")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--burst", type=float, default=0.5, help="the part that sends at once every 5 s")
    given = parser.parse_args()
    print(HEAD + "\n" + "| --- " * (HEAD.count("|") - 1) + "|", flush=True)
    for count in given.connections:
        measure(count, given.seconds, given.burst)
    return 0


if __name__ == "__main__":
    sys.exit(main())
