"""Thirty real balancers restarted at once while the list service fails: nine in ten are ready in time.

The time runs from the start of the process to its PONG; `pytest -s` prints it.
"""

import json
import os
import selectors
import socket
import socketserver
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.helpers import SETTINGS

FLEET_SIZE = 30
READY_TIMEOUT_SECONDS = 10.0  # for nine in ten
WORK_SECONDS = 0.25  # per request at an overloaded service
MAX_WAIT_SECONDS = 1.0  # a request waits this long before it is refused


class ListRequestHandler(socketserver.StreamRequestHandler):
    """Answers a list request with the method named by the server's `behaviour`."""

    def handle(self) -> None:
        target = self.rfile.readline().split()[1]
        while self.rfile.readline().strip():
            pass
        self.server.request_count += 1
        getattr(self, self.server.behaviour)(b"wait=" in target and not target.endswith(b"wait=0"))

    def answer(self, status: bytes, body: bytes, length: int) -> None:
        head = b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % (status, length)
        self.wfile.write(head + body)

    def overloaded(self, _: bool) -> None:
        """Answers one request at a time and refuses those that have waited too long."""
        if self.server.worker_lock.acquire(timeout=MAX_WAIT_SECONDS):
            self.server.done.wait(WORK_SECONDS)
            self.server.worker_lock.release()
            self.stale(False)
        else:
            self.answer(b"503 Service Unavailable", b"", 0)

    def slow(self, _: bool) -> None:
        self.answer(b"200 OK", b"{", 10_000)
        while not self.server.done.wait(0.5):
            self.wfile.write(b" ")

    def stale(self, watches: bool) -> None:
        """Answers with an old list and lets watches wait forever."""
        if watches:
            self.server.done.wait()
        entry = {"id": "old", "addr": "127.0.0.1:9", "zone": "z", "state": "SERVING"}
        body = json.dumps({"version": 1, "full": True, "servers": [entry]}).encode()
        self.answer(b"200 OK", body, len(body))


class StubListServer(socketserver.ThreadingTCPServer):
    daemon_threads = True
    request_queue_size = 4 * FLEET_SIZE

    def __init__(self, behaviour: str) -> None:
        super().__init__(("127.0.0.1", 0), ListRequestHandler, bind_and_activate=False)
        self.behaviour = behaviour
        self.request_count = 0
        self.worker_lock = threading.Lock()
        self.done = threading.Event()
        self.server_bind()
        if behaviour != "down":
            self.server_activate()
            threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def handle_error(self, *_: object) -> None:
        """Ignores errors: the clients are killed."""

    def end(self) -> None:
        self.done.set()
        if self.behaviour != "down":
            self.shutdown()
        self.socket.close()


class Fleet:
    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: list[subprocess.Popen[bytes]] = []

    def kill(self) -> None:
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
            process.stdout.close()
        self.processes = []

    def restart(self, discovery: str) -> list[float]:
        """Restarts all and returns the sorted times until they were ready, without those that timed out."""
        self.kill()
        selector = selectors.DefaultSelector()
        known = {"version": 5, "full": True, "servers": [{"id": "a", "addr": "127.0.0.1:9", "zone": "z"}]}
        config = {"listen": "127.0.0.1:0", "discovery": discovery, "known": known}
        for index in range(FLEET_SIZE):
            file = self.folder / f"{index}.json"
            file.write_text(
                json.dumps({"name": f"b{index}", "settings": {**SETTINGS, "discovery": "pushed"}, **config})
            )
            command = [sys.executable, "-m", "thymedeck", "serve", "--config", str(file)]
            started_at = time.monotonic()
            self.processes.append(subprocess.Popen(command, stdout=subprocess.PIPE))
            selector.register(self.processes[-1].stdout, selectors.EVENT_READ, (started_at, bytearray()))
        ready_times: list[float] = []
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS + 1
        while len(ready_times) < FLEET_SIZE and (remaining := deadline - time.monotonic()) > 0:
            for key, _ in selector.select(remaining):
                started_at, received = key.data
                received += os.read(key.fd, 65536)
                if isinstance(key.fileobj, socket.socket):
                    selector.unregister(key.fileobj)
                    assert received == b"PONG\r\n"
                    ready_times.append(time.monotonic() - started_at)
                    key.fileobj.close()
                    continue
                assert received, "the process has ended"
                lines = [
                    line for line in received.splitlines() if b'"started"' in line and line.endswith(b"}")
                ]
                if lines:
                    selector.unregister(key.fileobj)
                    host, _, port = json.loads(lines[0])["listen"].rpartition(":")
                    sock = socket.create_connection((host, int(port)), timeout=READY_TIMEOUT_SECONDS)
                    sock.sendall(b"PING\r\n")
                    selector.register(sock, selectors.EVENT_READ, (started_at, bytearray()))
        for key in list(selector.get_map().values()):
            if isinstance(key.fileobj, socket.socket):
                key.fileobj.close()
        selector.close()
        return sorted(ready_times)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path_factory.mktemp("fleet"))
    try:
        fleet.restart("127.0.0.1:9")  # so that each case is a restart
        yield fleet
    finally:
        fleet.kill()


@pytest.mark.parametrize("behaviour", ["down", "overloaded", "slow", "stale"])
def test_nine_in_ten_restarted_are_ready_in_time(fleet: Fleet, behaviour: str) -> None:
    list_server = StubListServer(behaviour)
    try:
        ready_times = fleet.restart("{}:{}".format(*list_server.server_address))
    finally:
        list_server.end()
    quantiles = {
        share: f"{ready_times[min(int(share * FLEET_SIZE), len(ready_times)) - 1]:.2f}"
        for share in (0.5, 0.9, 1)
        if ready_times
    }
    print(
        f"\n{behaviour}: {len(ready_times)} of {FLEET_SIZE} ready, seconds {quantiles}, "
        f"{list_server.request_count} requests"
    )
    assert sum(seconds <= READY_TIMEOUT_SECONDS for seconds in ready_times) >= 0.9 * FLEET_SIZE, ready_times
    assert (list_server.request_count > 0) is (behaviour != "down"), (
        "the list service did not behave as configured"
    )
