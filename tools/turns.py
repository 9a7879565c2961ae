"""Measures a balancer's event loop under thousands of busy connections, and work for clients that have left.

    python tools/turns.py 1000 2000 5000 [--seconds 20] [--burst 0.5]

For each number of connections it starts one balancer and one process of servers that echo each line, and runs
the clients in this process, all on loopback sockets. Each client sends a line every 2 s; every 5 s a fraction
of them (--burst) sends one at the same time. An iteration ("turn") is measured from the return of one poll of
the sockets to the next poll, without the time spent waiting in the poll.

In addition 40 short-lived clients ("leavers") a second each send an opening line and close within 0.15 s. The
servers refuse half of them and don't answer the others. The last columns count the dials that began, and the
opening lines that were written to a server, after the client had closed, and give the longest delay after it;
all processes read the same monotonic clock.
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
from thymedeck.net.service import Service  # noqa: E402
from thymedeck.net.signals import SignalReceiver  # noqa: E402
from thymedeck.net.system import System  # noqa: E402

TABLE_HEADING = (
    "| connections | lines/s sent | echoed | turns | median ms | 99 % | 99.9 % | longest | over 100 ms "
    "| most ready | leavers | dials for them | begun late | latest ms | lines late | latest ms |"
)
SERVER_COUNT = 16
LINE = b"x" * 62 + b"\r\n"
# Seconds; each leaver closes after a random time up to LEAVER_LIFETIME
LINE_INTERVAL, BURST_INTERVAL, LEAVER_INTERVAL, LEAVER_LIFETIME = 2.0, 5.0, 0.025, 0.15


class TimedSelector(selectors.DefaultSelector):
    """A selector that records the time between polls and the number of ready sockets of each poll."""

    turn_seconds: list[float] = []
    ready_counts: list[int] = []
    returned_at = 0.0

    def select(self, timeout: float | None = None) -> list:
        if self.returned_at:
            self.turn_seconds.append(time.monotonic() - self.returned_at)
        ready = super().select(timeout)
        self.ready_counts.append(len(ready))
        self.returned_at = time.monotonic()
        return ready


class TimedSystem(System):
    selector = staticmethod(TimedSelector)


def run_balancer(configuration_file: str, result_file: str) -> None:
    """Runs the balancer's service and records when each dial begins and when its opening line is written."""
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
    service = Service(read_startup_config(configuration_file), TimedSystem())
    signal.signal(
        signal.SIGUSR1, lambda *_: (TimedSelector.turn_seconds.clear(), TimedSelector.ready_counts.clear())
    )
    service.stop = service.loop.stop
    service.serve(signals)
    Path(result_file).write_text(
        json.dumps({"turns": TimedSelector.turn_seconds, "ready": TimedSelector.ready_counts, "begun": begun})
    )


def run_servers() -> None:
    """Prints the ports of the servers, echoes every line of a session, and refuses every other leaver."""
    selector, leaver_count = selectors.DefaultSelector(), 0
    listening_sockets = [socket.create_server(("127.0.0.1", 0), backlog=1024) for _ in range(SERVER_COUNT)]
    for listening_socket in listening_sockets:
        listening_socket.setblocking(False)
        selector.register(listening_socket, selectors.EVENT_READ, None)
    print(*(listening_socket.getsockname()[1] for listening_socket in listening_sockets), flush=True)
    established: set[socket.socket] = set()
    while True:
        for key, _ in selector.select():
            if key.fileobj in listening_sockets:
                with contextlib.suppress(BlockingIOError):
                    while True:
                        sock = key.fileobj.accept()[0]
                        sock.setblocking(False)
                        selector.register(sock, selectors.EVENT_READ, None)
                continue
            sock = key.fileobj
            try:
                received = sock.recv(65536)
            except OSError:
                received = b""
            with contextlib.suppress(OSError):
                if sock in established and received:
                    sock.send(received)
                elif received.startswith(b"OPEN leaver"):
                    leaver_count += 1
                    received = b"" if leaver_count % 2 and sock.send(b"BUSY\r\n") else received
                elif received:
                    established.add(sock)
                    sock.send(b"UP r\r\n")
            if not received:
                established.discard(sock)
                selector.unregister(sock)
                sock.close()


class Clients:
    """The clients that stay connected, and the short-lived ones."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.selector = selectors.DefaultSelector()
        self.sockets: list[socket.socket] = []
        self.sent_lines = self.echoed_lines = 0
        self.leaving: list[tuple[float, str, socket.socket]] = []  # time of the close, name, socket
        self.left_at: dict[str, float] = {}

    def open(self, count: int) -> None:
        """Opens sessions in groups of 64 and waits until each group is established."""
        for index in range(count):
            sock = socket.create_connection(self.address, timeout=10)
            sock.sendall(b"OPEN s%d k%d c=chat,d=9000\r\n" % (index, index))
            self.sockets.append(sock)
            if index % 64 == 63 or index == count - 1:
                for opened in self.sockets[index // 64 * 64 :]:
                    assert (answer := opened.recv(100)).startswith(b"UP "), answer
        for sock in self.sockets:
            sock.setblocking(False)
            self.selector.register(sock, selectors.EVENT_READ)

    def send_line(self, index: int) -> None:
        with contextlib.suppress(OSError):
            self.sockets[index].send(LINE)
            self.sent_lines += 1

    def open_leaver(self, name: str) -> None:
        sock = socket.create_connection(self.address, timeout=10)
        sock.sendall(b"OPEN %s k c=chat,d=1900\r\n" % name.encode())
        self.leaving.append((time.monotonic() + random.uniform(0, LEAVER_LIFETIME), name, sock))

    def close_due_leavers(self) -> None:
        now = time.monotonic()
        for leaver in [leaver for leaver in self.leaving if leaver[0] <= now]:
            self.leaving.remove(leaver)
            self.left_at[leaver[1]] = time.monotonic()
            leaver[2].close()

    def run(self, seconds: float, burst: float) -> None:
        """Generates the load; `burst` is the fraction of the clients that send at the same time."""
        started = time.monotonic()
        count, line_count, burst_count, leaver_count = len(self.sockets), 0, 1, 0
        while (elapsed := time.monotonic() - started) < seconds:
            while line_count < elapsed * count / LINE_INTERVAL:
                self.send_line(line_count % count)
                line_count += 1
            if burst and elapsed > burst_count * BURST_INTERVAL:
                burst_count += 1
                for index in random.sample(range(count), int(burst * count)):
                    self.send_line(index)
            if elapsed > leaver_count * LEAVER_INTERVAL:
                leaver_count += 1
                self.open_leaver(f"leaver{leaver_count}")
            self.close_due_leavers()
            for key, _ in self.selector.select(0.001):
                with contextlib.suppress(OSError):
                    self.echoed_lines += key.fileobj.recv(65536).count(b"\n")


def measure(count: int, seconds: float, burst: float) -> None:
    """Measures with this number of connections and prints a row of the table."""
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:

        def start(*arguments: str) -> subprocess.Popen:
            process = subprocess.Popen([sys.executable, __file__, *arguments], stdout=subprocess.PIPE)
            stack.callback(process.wait)
            stack.callback(process.kill)
            return process

        ports = start("--servers").stdout.readline().split()
        known = [{"id": f"s{p.decode()}", "addr": f"127.0.0.1:{p.decode()}", "zone": "z"} for p in ports]
        configuration = {
            "name": "b",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "settings": SETTINGS,
        }
        configuration_file, result_file = Path(folder, "configuration.json"), Path(folder, "results.json")
        configuration_file.write_text(
            json.dumps({**configuration, "known": {"version": 1, "full": True, "servers": known}})
        )
        with Path(folder, "log").open("w+") as log:
            command = [sys.executable, __file__, "--daemon", str(configuration_file), str(result_file)]
            process = subprocess.Popen(command, stdout=log)
            stack.callback(process.wait)
            stack.callback(process.kill)
            while '"started"' not in (text := Path(folder, "log").read_text()):
                time.sleep(0.02)
            started = next(json.loads(line) for line in text.splitlines() if '"started"' in line)
        host, _, port = started["listen"].rpartition(":")
        clients = Clients((host, int(port)))
        clients.open(count)
        process.send_signal(signal.SIGUSR1)
        clients.run(seconds, burst)
        process.send_signal(signal.SIGTERM)
        process.wait()
        results = json.loads(result_file.read_text())
    turns = sorted(results["turns"])
    quantile_ms = {part: turns[int(part * (len(turns) - 1))] * 1e3 for part in (0.5, 0.99, 0.999, 1)}
    delays_ms = {"dial": [], "line": []}  # from the client's close; negative before it
    for kind, name, at in results["begun"]:
        if name in clients.left_at:
            delays_ms[kind].append((at - clients.left_at[name]) * 1e3)
    late_ms = {kind: [delay for delay in delays if delay > 0] for kind, delays in delays_ms.items()}
    long_count = sum(turn > 0.1 for turn in turns)
    print(
        f"| {count} | {clients.sent_lines / seconds:.0f} | {clients.echoed_lines / seconds:.0f} | "
        f"{len(turns)} | {quantile_ms[0.5]:.2f} | {quantile_ms[0.99]:.1f} | {quantile_ms[0.999]:.1f} | "
        f"{quantile_ms[1]:.1f} | {long_count} | {max(results['ready'])} | "
        f"{len(clients.left_at)} | {len(delays_ms['dial'])} | "
        f"{len(late_ms['dial'])} | {max(late_ms['dial'], default=0):.1f} | "
        f"{len(late_ms['line'])} | {max(late_ms['line'], default=0):.1f} |",
        flush=True,
    )


def main() -> int:
    if sys.argv[1:2] == ["--servers"]:
        run_servers()
    if sys.argv[1:2] == ["--daemon"]:
        run_balancer(*sys.argv[2:])
        return 0
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("connections", type=int, nargs="+")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument(
        "--burst",
        type=float,
        default=0.5,
        help="fraction of the clients that send at the same time every 5 s",
    )
    args = parser.parse_args()
    print(TABLE_HEADING + "\n" + "| --- " * (TABLE_HEADING.count("|") - 1) + "|", flush=True)
    for count in args.connections:
        measure(count, args.seconds, args.burst)
    return 0


if __name__ == "__main__":
    sys.exit(main())
