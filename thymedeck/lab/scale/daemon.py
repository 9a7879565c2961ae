"""One real daemon of a sweep: started from its own file, observed through kernel counters and its log."""

import contextlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from types import TracebackType

import orjson

from ..scenario_run import deployment_settings
from ..testbed import SHARED_KEY
from .process import cpu_seconds, open_descriptors, resident_bytes

READY_TIMEOUT = 60.0
STOP_TIMEOUT = 30.0
NO_DISCOVERY = "127.0.0.1:9"  # an address at which no list service listens


class Daemon:
    """A running `thymedeck serve`; killed on close."""

    def __init__(
        self,
        servers: list[dict],
        discovery: str = NO_DISCOVERY,
        name: str = "b0",
        peers: dict | None = None,
    ) -> None:
        """`servers`: the saved list in its configuration; if empty, it asks the list service for all.

        `peers`: entries of its peers settings file.
        """
        self.folder = tempfile.TemporaryDirectory(prefix="thymedeck-scale-")
        self.log = Path(self.folder.name, "log")
        deployment = deployment_settings(1, ["m1"], ["a"])
        deployment["limits"] |= {"dial_timeout_us": 2_000_000}
        config = {
            "name": name, "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1",
            "settings": deployment,
            "known": {"version": 1 if servers else -1, "servers": servers},
        }  # fmt: skip
        config_file = Path(self.folder.name, "conf.json")
        config_file.write_bytes(orjson.dumps(config))
        command = [sys.executable, "-m", "thymedeck", "serve", "--config", config_file]
        if peers is not None:
            key_file = Path(self.folder.name, "peers.key")
            key_file.touch(mode=0o600)
            key_file.write_text(SHARED_KEY)
            text = [f"{name} = {orjson.dumps(value).decode()}\n" for name, value in peers.items()]
            Path(self.folder.name, "peers.toml").write_text("".join(text) + 'key_file = "peers.key"\n')
            command += ["--peers", Path(self.folder.name, "peers.toml")]
        begin = time.monotonic()
        with self.log.open("wb") as output:
            self.process = subprocess.Popen(command, stdout=output, cwd=Path(__file__).parents[3])
        self.pid = self.process.pid
        try:
            self.port = int(self.wait_for_event("started")["listen"].rpartition(":")[2])
        except BaseException:
            self.close()
            raise
        self.startup_seconds = time.monotonic() - begin

    def wait_for_event(self, event: str, timeout: float = READY_TIMEOUT) -> dict:
        """The last log line of this event; raises TimeoutError if there is none in time."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            lines = self.events(event)
            if lines:
                return lines[-1]
            time.sleep(0.01)
        raise TimeoutError(f"no event {event!r} in the daemon's log")

    def events(self, event: str) -> list[dict]:
        mark = b'"event":"%s"' % event.encode()
        return [orjson.loads(line) for line in self.log.read_bytes().splitlines() if mark in line]

    def cpu_seconds(self) -> float:
        return cpu_seconds(self.pid)

    def resident_bytes(self) -> int:
        return resident_bytes(self.pid)

    def open_descriptors(self) -> int:
        return open_descriptors(self.pid)

    def core_usage(self, seconds: float) -> float:
        """Fraction of a core that the daemon uses during this time."""
        before, begin = self.cpu_seconds(), time.monotonic()
        time.sleep(seconds)
        return (self.cpu_seconds() - before) / (time.monotonic() - begin)

    def stop(self) -> tuple[float, float]:
        """Sends SIGTERM; returns the processor time used from then on and the time until the process ended.

        The processor time is the value last seen before the end. Waits no longer than STOP_TIMEOUT.
        """
        before, begin, cpu = self.cpu_seconds(), time.monotonic(), 0.0
        self.process.send_signal(signal.SIGTERM)
        while self.process.poll() is None and time.monotonic() < begin + STOP_TIMEOUT:
            with contextlib.suppress(OSError, IndexError):
                cpu = max(cpu, self.cpu_seconds() - before)
            time.sleep(0.002)
        return cpu, time.monotonic() - begin

    def longest_ping(self, seconds: float) -> float:
        """Sends PINGs one after another; returns the longest round trip.

        A PING waits until the current turn of the loop ends, so this shows how long a turn took.
        """
        longest, end = 0.0, time.monotonic() + seconds
        while time.monotonic() < end:
            longest = max(longest, self.ping())
        return longest

    def ping(self) -> float:
        begin = time.monotonic()
        with socket.create_connection(("127.0.0.1", self.port), timeout=60) as sock:
            sock.sendall(b"PING\r\n")
            sock.recv(64)
        return time.monotonic() - begin

    def close(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()

    def __enter__(self) -> "Daemon":
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()


def server_entry(server_id: str, port: int) -> dict:
    return {"id": server_id, "addr": f"127.0.0.1:{port}", "zone": "a", "kind": "m1", "state": "SERVING"}
