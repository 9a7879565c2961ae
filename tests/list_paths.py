"""One balancer's list requests in virtual time, failing by script, until it has the list.

    python -m tests.list_paths [--ask-within 10] [--balancers 200] [--seeds 20] [--discovery on_request]

Prints the longest time over the seeds from when the list is available to when the balancer has it, with a
service that then answers at once: after each kind of failure of a request without wait, of five such failures
in a row, and of a watch that worked until then.
"""

import argparse
from functools import partial

import msgspec
import pytest

from thymedeck.lab.standins import ListeningSocket
from thymedeck.lab.virtual_network import Machine, VirtualNetwork
from thymedeck.net.config_file import BalancerConfig, StartupConfig
from thymedeck.net.connection import Connection
from thymedeck.net.list_connection import ANSWER_TIMEOUT
from thymedeck.net.loop import EventLoop
from thymedeck.net.service import Service

from .helpers import SETTINGS

SECOND = 10_000
DELIVERY_LIMIT = 6 * SECOND  # promised to the operators
# The slowest answer for which DELIVERY_LIMIT holds; the rest of the 6 s is for what the balancer does itself.
SLOWEST_ANSWER = 19_000
# The slowest answer that is heard in that time and its own, whatever has failed before.
SLOWEST_HEARD = 6 * SECOND
# A silent watch has this long after its wait, if that is later than DELIVERY_LIMIT. It includes a second for
# the answer, so that an answer slower than QUICK_ANSWER extends it.
SILENCE_LIMIT = 2 * SECOND
QUICK_ANSWER = 9_500
CONNECT_TIMEOUT = 10_000
MARGIN = 300  # for the network delays and for the time between two polls of the play
POLL_NS = 5_000_000
DELAY_NS = 500_000
SLOW_CONNECT_NS = 900_000_000
BALANCER, LIST, MOVED = ("10.0.0.1", 8000), ("10.2.0.1", 8500), ("10.2.0.1", 8501)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
TRUNCATED = {
    "broken off before": b"",
    "broken off in the head": b"HTTP/1.1 200 O",
    "broken off in the body": HEAD % 500 + b'{"version": 9',
}
FAILURES = ("refused", "never up", "up late", "reset", "503", "503 late", "silent", "never ends", "spoilt",
            "no http", "moved", *TRUNCATED)  # fmt: skip


class ListServerConnection(Connection):
    """The list service's end of a connection; answers or fails as scripted."""

    def __init__(self, play: "Play", sock: object) -> None:
        super().__init__(play.server_loop, sock)
        self.play = play
        self.update_events()

    def on_data(self, count: int) -> None:
        target = self.inbound.read_all().split(b"\r\n")[0]
        self.play.on_request(self, int(target.partition(b"&wait=")[2].split(b" ")[0] or 0) * 10)

    def on_eof(self) -> None:
        self.close()

    def on_connection_lost(self) -> None:
        self.close()

    def send(self, data: bytes) -> None:
        if self.is_open:
            self.write(data)

    def answer(self, version: int) -> None:
        body = b'{"version": %d, "full": true, "servers": []}' % version
        self.send(HEAD % len(body) + body)

    def trickle(self) -> None:
        self.send(b" ")
        if self.is_open:
            self.loop.after(SECOND // 10, self.trickle)


class Play:
    """One balancer; its first requests follow the script, all others are answered after `answer_duration`.

    `available_since`: when the new list became available, which is when the last scripted request was sent
    or, if that was a watch, when it failed after having worked. `due`: when the balancer must have the list.
    """

    def __init__(
        self, script: list[tuple[str, float]], discovery: str, ask_within_us: int, drain_grace_us: int,
        replicas: int, seed: int, answer_duration: int, connect_ns: int = DELAY_NS,
    ) -> None:  # fmt: skip
        self.world = VirtualNetwork(DELAY_NS)
        self.script = script
        self.connect_ns = connect_ns  # how long connections take to come up once the script is over
        self.request_count = self.available_since = self.silence = self.received_at = 0
        self.failure: tuple[str, float] | None = None
        self.listeners: dict[tuple[str, int], ListeningSocket] = {}
        self.server_loop = self.add_loop(EventLoop(self.log_exception, 4096, Machine(self.world, LIST[0])))
        self.open_listeners()
        site_settings = msgspec.json.decode(msgspec.json.encode(SETTINGS))
        site_settings |= {"discovery": discovery, "replicas_of_me": replicas}
        site_settings["contract"] |= {"ask_within_us": ask_within_us, "drain_grace_us": drain_grace_us}
        config = {
            "name": "b", "listen": "10.0.0.1:8000", "discovery": "10.2.0.1:8500", "settings": site_settings,
            "known": {"version": 1, "servers": []}, "limits": {"sockets": 256},
        }  # fmt: skip
        config = msgspec.json.decode(msgspec.json.encode(config), type=BalancerConfig)
        self.service: Service | None = None
        with pytest.MonkeyPatch.context() as patch:
            # The first request may already be sent while the service is constructed.
            patch.setattr("thymedeck.net.service.EventLog", lambda *_: self)
            self.service = Service(
                StartupConfig("", config, BALANCER, LIST, seed), Machine(self.world, BALANCER[0])
            )
        self.answer_duration = answer_duration
        self.service.on_list = self.record_list
        self.add_loop(self.service.loop)

    def log_exception(self, error: BaseException) -> None:
        raise error

    def add_loop(self, loop: EventLoop) -> EventLoop:
        loop.running = True
        self.world.loops.append(loop)
        return loop

    def open_listeners(self) -> None:
        for address in (LIST, MOVED):
            if address not in self.listeners:
                self.listeners[address] = ListeningSocket(self.server_loop, address, self.accept_connection)

    def accept_connection(self, sock: object, source: tuple[str, int]) -> None:
        self.world.delay_ns = DELAY_NS
        ListServerConnection(self, sock)

    # Requests of the balancer

    def __call__(self, event: str, **fields: object) -> None:
        """Stands in for the balancer's event log; notices its requests."""
        if event != "list_asked":
            return
        self.failure = self.script[self.request_count] if self.request_count < len(self.script) else None
        self.request_count += 1
        kind = self.failure[0] if self.failure else ""
        is_new = self.service is None or self.service.list_client.connection.connecting
        if self.failure:
            self.available_since = self.world.now()
            self.silence = 0 if is_new else int(fields["wait"]) * 10 + SILENCE_LIMIT
        self.world.isolated_hosts.discard(LIST[0])
        self.world.delay_ns = DELAY_NS
        if is_new and (kind == "up late" or not kind):
            self.world.delay_ns = SLOW_CONNECT_NS if kind else self.connect_ns
        if kind == "refused":
            for address in list(self.listeners):
                self.listeners.pop(address).close()
        else:
            self.open_listeners()
        if kind == "never up":
            self.world.isolated_hosts.add(LIST[0])

    def record_list(self, server_list: object) -> None:
        if self.request_count > len(self.script) and not self.received_at:
            self.received_at = self.world.now()

    # Answers of the list service

    def on_request(self, connection: ListServerConnection, wait: int) -> None:
        if self.failure is None:
            self.server_loop.after(self.answer_duration, lambda: connection.answer(100 + self.request_count))
        else:
            kind, fraction = self.failure
            # A watch works for this long, unless it is still queued at the service.
            healthy_time = 0 if kind == "503 late" else int(fraction * wait)
            self.server_loop.after(healthy_time, partial(self.fail, connection, kind, wait, healthy_time))

    def fail(self, connection: ListServerConnection, kind: str, wait: int, healthy_time: int) -> None:
        if not connection.is_open:
            return
        if wait:
            self.available_since = self.world.now()
            self.silence = (
                wait - healthy_time + SILENCE_LIMIT if kind in ("silent", "up late", "refused") else 0
            )
        if kind in TRUNCATED:
            connection.send(TRUNCATED[kind])
            self.server_loop.after(SECOND // 2 if TRUNCATED[kind] or not wait else 0, connection.close)
        elif kind == "served":
            connection.answer(10 + self.request_count)
        elif kind == "reset":
            connection.close(reset=True)
        elif kind.startswith("503"):
            self.server_loop.after(
                QUICK_ANSWER if kind == "503 late" else 0, partial(connection.send, UNAVAILABLE)
            )
        elif kind == "never ends":
            connection.send(HEAD % 1000 + b"{")
            connection.trickle()
        elif kind == "spoilt":
            connection.send(HEAD % 5 + b"{nope")
        elif kind == "no http":
            connection.send(b"\0\0\0\r\n\r\n")
        elif kind == "moved":
            list_client = self.service.list_client
            list_client.switch_to(MOVED if list_client.address == LIST else LIST)

    # The time limit

    @property
    def due(self) -> int:
        """A silent watch is noticed a second after its wait; the answer may then take another second."""
        slow_answer = max(self.answer_duration - QUICK_ANSWER, 0)
        max_delay = DELIVERY_LIMIT - SLOWEST_ANSWER
        grace = self.service.deployment.drain_grace
        is_quick = self.answer_duration <= min(grace // 2, ANSWER_TIMEOUT) * 4 // 5
        if is_quick and not self.service.deployment.list_on_request:
            # Pushed lists count as delivered while no request is made: each step may take part of the grace.
            # A service whose answers take longer than such a step has the 6 s.
            max_delay = min(max_delay, CONNECT_TIMEOUT + grace // 2 + grace // 4 + MARGIN)
        return self.available_since + max(
            max_delay + self.answer_duration, self.silence and self.silence + slow_answer
        )

    def run(self, is_patient: bool = False) -> "Play":
        """Runs until the balancer has the list, or to a second past the limit unless `is_patient`."""
        while not self.received_at and (
            is_patient or self.request_count <= len(self.script) or self.world.now() <= self.due + SECOND
        ):
            assert self.world.now() < 3_600 * SECOND, "no progress"
            self.world.run(POLL_NS)
        return self


def longest_delay(scripts: list[list[tuple[str, float]]], seeds: int, **site: object) -> str:
    plays = [
        Play(script, **site, seed=seed, answer_duration=0).run(is_patient=True)
        for seed in range(seeds)
        for script in scripts
    ]
    return f"{max(play.received_at - play.available_since for play in plays) / SECOND:6.2f}"


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--ask-within", type=float, default=10.0, help="seconds")
    parser.add_argument("--drain-grace", type=float, default=2.0, help="seconds")
    parser.add_argument("--balancers", type=int, default=200)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--discovery", choices=["on_request", "pushed"], default="on_request")
    arguments = parser.parse_args()
    site = {
        "discovery": arguments.discovery, "ask_within_us": int(arguments.ask_within * 1e6),
        "drain_grace_us": int(arguments.drain_grace * 1e6), "replicas": arguments.balancers,
    }  # fmt: skip
    print("| what fails | a call | five in a row | a watch |")
    print(f"| nothing, at a start | {longest_delay([[]], arguments.seeds, **site)} | | |")
    for failure in FAILURES:
        at_once, late = (failure, 0.0), (failure, 0.7)
        watches = [[("served", 0.0), one] for one in (at_once, late)]
        times = [
            longest_delay(scripts, arguments.seeds, **site)
            for scripts in ([[at_once]], [[at_once] * 5], watches)
        ]
        print(f"| {failure} | {' | '.join(times)} |", flush=True)


if __name__ == "__main__":
    main()
