"""One balancer's calls for the list in virtual time, failing as a script has it, until the list is there.

    python -m tests.list_paths [--ask-within 10] [--balancers 200] [--seeds 20] [--discovery on_request]

Printed is the longest time over the seeds from when the list could be had to when the balancer has it, for a
service that then answers at once: after each kind of failure of a call that asks for no wait, of five of them
in a row, and of a watch that was well until then.
"""

import argparse
from functools import partial

import msgspec
import pytest

from thymedeck.lab.standins import Door
from thymedeck.lab.world import Machine, World
from thymedeck.net.config_file import BalancerConfig, StartupConfig
from thymedeck.net.connection import Connection
from thymedeck.net.loop import EventLoop
from thymedeck.net.service import Service

from .helpers import SETTINGS

SECOND = 10_000
TOLD_WITHIN = 6 * SECOND  # of the page
SLOWEST = 19_000  # answer that the bound holds for, so that the rest of the 6 s is for what the balancer does
SILENCE = 2 * SECOND  # after a watch's wait, if that is later than 6 s; less the second for an answer
QUICK = 9_500
CONNECT_WITHIN = 10_000
LATE = 300  # by the ways there and back, and by this play's looking every so often
LOOK_NS = 5_000_000
DELAY_NS = 500_000
UP_LATE_NS = 900_000_000
HERE, LIST, MOVED = ("10.0.0.1", 8000), ("10.2.0.1", 8500), ("10.2.0.1", 8501)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
REFUSED = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
BROKEN_OFF = {
    "broken off before": b"",
    "broken off in the head": b"HTTP/1.1 200 O",
    "broken off in the body": HEAD % 500 + b'{"version": 9',
}
FAILURES = ("refused", "never up", "up late", "reset", "503", "503 late", "silent", "never ends", "spoilt",
            "no http", "moved", *BROKEN_OFF)  # fmt: skip


class Answering(Connection):
    """The list service's end of one call after another, each as the play has it."""

    def __init__(self, play: "Play", sock: object) -> None:
        super().__init__(play.ground, sock)
        self.play = play
        self.update_events()

    def on_data(self, count: int) -> None:
        asked = self.inbound.read_all().split(b"\r\n")[0]
        self.play.called(self, int(asked.partition(b"&wait=")[2].split(b" ")[0] or 0) * 10)

    def on_eof(self) -> None:
        self.close()

    def on_connection_lost(self) -> None:
        self.close()

    def tell(self, data: bytes) -> None:
        if self.is_open:
            self.write(data)

    def answer(self, version: int) -> None:
        body = b'{"version": %d, "full": true, "servers": []}' % version
        self.tell(HEAD % len(body) + body)

    def trickle(self) -> None:
        self.tell(b" ")
        if self.is_open:
            self.loop.after(SECOND // 10, self.trickle)


class Play:
    """One balancer; its first calls go as the script has it, all others are answered `took` after they came.

    `since` is from when what is new could be had: as the last call of the script went out, or where that is a
    watch, as it failed, being well until then. `due` is by when the balancer has to have it.
    """

    def __init__(
        self, script: list[tuple[str, float]], discovery: str, ask_within_us: int, drain_grace_us: int,
        replicas: int, seed: int, took: int,
    ) -> None:  # fmt: skip
        self.world = World(DELAY_NS)
        self.script = script
        self.asked = self.since = self.silence = self.had = 0
        self.trouble: tuple[str, float] | None = None
        self.doors: dict[tuple[str, int], Door] = {}
        self.ground = self.turn(EventLoop(self.log_exception, 4096, Machine(self.world, LIST[0])))
        self.open_doors()
        env = msgspec.json.decode(msgspec.json.encode(SETTINGS))
        env |= {"discovery": discovery, "replicas_of_me": replicas}
        env["contract"] |= {"ask_within_us": ask_within_us, "drain_grace_us": drain_grace_us}
        told = {
            "name": "b", "listen": "10.0.0.1:8000", "discovery": "10.2.0.1:8500", "settings": env,
            "known": {"version": 1, "servers": []}, "limits": {"sockets": 256},
        }  # fmt: skip
        told = msgspec.json.decode(msgspec.json.encode(told), type=BalancerConfig)
        self.service: Service | None = None
        with pytest.MonkeyPatch.context() as patch:
            # Calls are heard from the first on, which may go out while the service is made.
            patch.setattr("thymedeck.net.service.EventLog", lambda *_: self)
            self.service = Service(StartupConfig("", told, HERE, LIST, seed), Machine(self.world, HERE[0]))
        patience = self.service.list_client.request_timeout(0)
        self.took = min(took, patience * 4 // 5)
        self.service.on_list = self.listed
        self.turn(self.service.loop)

    def log_exception(self, why: BaseException) -> None:
        raise why

    def turn(self, loop: EventLoop) -> EventLoop:
        loop.running = True
        self.world.loops.append(loop)
        return loop

    def open_doors(self) -> None:
        for address in (LIST, MOVED):
            if address not in self.doors:
                self.doors[address] = Door(self.ground, address, self.take)

    def take(self, sock: object, source: tuple[str, int]) -> None:
        self.world.delay_ns = DELAY_NS
        Answering(self, sock)

    # The program asks

    def __call__(self, event: str, **more: object) -> None:
        """Its log."""
        if event != "list_asked":
            return
        self.trouble = self.script[self.asked] if self.asked < len(self.script) else None
        self.asked += 1
        kind = self.trouble[0] if self.trouble else ""
        is_new = self.service is None or self.service.list_client.connection.connecting
        if self.trouble:
            self.since = self.world.now()
            self.silence = 0 if is_new else int(more["wait"]) * 10 + SILENCE
        self.world.cut.discard(LIST[0])
        self.world.delay_ns = UP_LATE_NS if kind == "up late" and is_new else DELAY_NS
        if kind == "refused":
            for address in list(self.doors):
                self.doors.pop(address).close()
        else:
            self.open_doors()
        if kind == "never up":
            self.world.cut.add(LIST[0])

    def listed(self, listing: object) -> None:
        if self.asked > len(self.script) and not self.had:
            self.had = self.world.now()

    # The service answers

    def called(self, call: Answering, wait: int) -> None:
        if self.trouble is None:
            self.ground.after(self.took, lambda: call.answer(100 + self.asked))
        else:
            kind, part = self.trouble
            # So long a watch is, unless it waits in line for its turn.
            well = 0 if kind == "503 late" else int(part * wait)
            self.ground.after(well, partial(self.fail, call, kind, wait, well))

    def fail(self, call: Answering, kind: str, wait: int, well: int) -> None:
        if not call.is_open:
            return
        if wait:
            self.since = self.world.now()
            self.silence = wait - well + SILENCE if kind in ("silent", "up late", "refused") else 0
        if kind in BROKEN_OFF:
            call.tell(BROKEN_OFF[kind])
            self.ground.after(SECOND // 2 if BROKEN_OFF[kind] or not wait else 0, call.close)
        elif kind == "served":
            call.answer(10 + self.asked)
        elif kind == "reset":
            call.close(reset=True)
        elif kind.startswith("503"):
            self.ground.after(QUICK if kind == "503 late" else 0, partial(call.tell, REFUSED))
        elif kind == "never ends":
            call.tell(HEAD % 1000 + b"{")
            call.trickle()
        elif kind == "spoilt":
            call.tell(HEAD % 5 + b"{nope")
        elif kind == "no http":
            call.tell(b"\0\0\0\r\n\r\n")
        elif kind == "moved":
            follower = self.service.list_client
            follower.switch_to(MOVED if follower.address == LIST else LIST)

    # The bound

    @property
    def due(self) -> int:
        """A silent watch is known a second after its wait: it is in time if the answer takes one."""
        slow = max(self.took - QUICK, 0)
        most = TOLD_WITHIN - SLOWEST
        if not self.service.deployment.list_on_request:
            # What is pushed counts as told while nobody asks: the parts of the grace that a call may take.
            grace = self.service.deployment.drain_grace
            most = min(most, CONNECT_WITHIN + grace // 2 + grace // 4 + LATE)
        return self.since + max(most + self.took, self.silence and self.silence + slow)

    def run(self, patiently: bool = False) -> "Play":
        """Until the balancer has it, or for a second longer than it may take."""
        while not self.had and (
            patiently or self.asked <= len(self.script) or self.world.now() <= self.due + SECOND
        ):
            assert self.world.now() < 3_600 * SECOND, "it does not go on"
            self.world.run(LOOK_NS)
        return self


def longest(scripts: list[list[tuple[str, float]]], seeds: int, **site: object) -> str:
    plays = [
        Play(script, **site, seed=seed, took=0).run(patiently=True)
        for seed in range(seeds)
        for script in scripts
    ]
    return f"{max(play.had - play.since for play in plays) / SECOND:6.2f}"


def main() -> None:
    asks = argparse.ArgumentParser()
    asks.add_argument("--ask-within", type=float, default=10.0, help="seconds")
    asks.add_argument("--drain-grace", type=float, default=2.0, help="seconds")
    asks.add_argument("--balancers", type=int, default=200)
    asks.add_argument("--seeds", type=int, default=20)
    asks.add_argument("--discovery", choices=["on_request", "pushed"], default="on_request")
    told = asks.parse_args()
    site = {
        "discovery": told.discovery, "ask_within_us": int(told.ask_within * 1e6),
        "drain_grace_us": int(told.drain_grace * 1e6), "replicas": told.balancers,
    }  # fmt: skip
    print("| what fails | a call | five in a row | a watch |")
    print(f"| nothing, at a start | {longest([[]], told.seeds, **site)} | | |")
    for failure in FAILURES:
        call, late = (failure, 0.0), (failure, 0.7)
        watches = [[("served", 0.0), one] for one in (call, late)]
        times = [longest(scripts, told.seeds, **site) for scripts in ([[call]], [[call] * 5], watches)]
        print(f"| {failure} | {' | '.join(times)} |", flush=True)


if __name__ == "__main__":
    main()
