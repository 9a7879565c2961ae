"""What the program needs at its start, on a platform that counts processor time and refuses some calls."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace

import pytest

from tests.helpers import SETTINGS
from thymedeck.net.loop import EventLoop
from thymedeck.net.service import SignalReceiver
from thymedeck.net.system import System

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Hearing:
    """Stands in for the service that a signal is to reach."""

    def __init__(self) -> None:
        self.loop = EventLoop(lambda fault: pytest.fail(str(fault)), 64, System())
        self.heard: list[str] = []

    def reload(self) -> None:
        self.heard.append("reload")

    def stop(self) -> None:
        self.heard.append("stop")


@contextlib.contextmanager
def signals_heard() -> Iterator[Hearing]:
    before = {which: signal.getsignal(which) for which in HANDLED}
    hearing = Hearing()
    receiver = SignalReceiver()
    try:
        receiver.attach(hearing)
        yield hearing
    finally:
        os.close(signal.set_wakeup_fd(-1))
        for which, handler in before.items():
            signal.signal(which, handler)
        os.close(receiver.read_end)


def hear_both(hearing: Hearing) -> None:
    for which, heard in ((signal.SIGHUP, "reload"), (signal.SIGTERM, "stop")):
        signal.raise_signal(which)
        hearing.loop.after(50_000, lambda: pytest.fail("the loop slept through a signal"))
        while not hearing.heard:
            hearing.loop.run_once()
        assert hearing.heard.pop() == heard


def test_signals_reach_the_loop_where_sockets_to_oneself_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """There are platforms without Unix sockets, and others where UDP to oneself is taken and never comes."""
    monkeypatch.setattr(socket, "socket", lambda *_, **__: pytest.fail("a socket was asked for"))
    monkeypatch.setattr(socket, "socketpair", lambda *_: pytest.fail("a Unix socket was asked for"))
    with signals_heard() as hearing:
        hear_both(hearing)


def test_signals_are_heard_where_what_wakes_the_loop_is_lost() -> None:
    with signals_heard() as hearing:
        written = signal.set_wakeup_fd(-1)
        try:
            hear_both(hearing)
        finally:
            signal.set_wakeup_fd(written)


def test_serving_imports_nothing_that_it_does_not_use() -> None:
    """Guards against processor time at each of many starts: a herd that restarts waits for all of it."""
    spared = ("asyncio", "concurrent", "email", "http", "logging", "multiprocessing", "ssl", "subprocess")
    spared += ("matplotlib", "numpy", "thymedeck.lab")  # what the laboratory computes with
    told = subprocess.run(
        [sys.executable, "-c", f"import sys, thymedeck.__main__; print(set({spared!r}) & set(sys.modules))"],
        capture_output=True,
        text=True,
    )
    assert told.stdout.strip() == "set()", told.stderr


def test_serving_without_peers_knows_nothing_of_them() -> None:
    told = subprocess.run(
        [sys.executable, "-c", "import sys, thymedeck.__main__, thymedeck.net.service; print(*sys.modules)"],
        capture_output=True,
        text=True,
    )
    assert "thymedeck.net.service" in told.stdout, told.stderr
    assert "thymedeck.peers" not in told.stdout


WHILE_STARTING = """
import os, signal, sys

class Finder:
    def find_spec(self, name, *_):
        if name == "thymedeck.net.service":
            os.kill(os.getpid(), signal.{})
            sys.meta_path.remove(self)

sys.meta_path.insert(0, Finder())
import runpy
runpy.run_module("thymedeck", run_name="__main__", alter_sys=True)
"""


@pytest.mark.parametrize(("which", "heard"), [("SIGHUP", "reloaded"), ("SIGTERM", "stopping")])
def test_a_signal_while_the_program_starts_is_heard_once_it_serves(
    which: str, heard: str, tmp_path: Path
) -> None:
    """It comes in the middle of the imports, before anything could handle it."""
    told = {"name": "b", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": SETTINGS}
    file = tmp_path / "told.json"
    file.write_text(json.dumps(told))
    code = WHILE_STARTING.format(which)
    with subprocess.Popen(
        [sys.executable, "-c", code, "serve", "--config", str(file)], stdout=subprocess.PIPE, text=True
    ) as program:
        try:
            assert any(f'"{heard}"' in line for line in program.stdout)
        finally:
            program.kill()


def test_a_fault_in_a_reload_does_not_lose_the_stop_that_came_with_it() -> None:
    with signals_heard() as hearing:
        hearing.loop.on_exception = lambda fault: hearing.heard.append(str(fault))
        hearing.reload = lambda: 1 / 0
        hearing.loop.after(20_000, lambda: pytest.fail("the stop was lost"))
        signal.raise_signal(signal.SIGHUP)
        signal.raise_signal(signal.SIGTERM)
        while len(hearing.heard) < 2:
            hearing.loop.run_once()
        assert hearing.heard == ["division by zero", "stop"]


@pytest.mark.parametrize("text", ["[" * 200_000, '{"settings":' * 200_000, "{", "", "\xff", "null"])
def test_a_file_that_cannot_be_read_gets_one_line(text: str, tmp_path: Path) -> None:
    file = tmp_path / "told.json"
    file.write_text(text, encoding="latin-1")
    told = subprocess.run(
        [sys.executable, "-m", "thymedeck", "check", "--config", str(file)], capture_output=True, text=True
    )
    assert told.returncode == 2 and told.stderr.count("\n") == 1, told.stderr


class WokenSelector:
    """Finds nothing in a wait in which the process stood still, as the system's own does."""

    def __init__(self, now: list[int], ready: list) -> None:
        self.now = now
        self.ready = ready
        self.registered: dict = {}

    def register(self, sock: object, mask: int, data: object) -> None:
        self.registered[sock] = data

    def select(self, wait: float | None) -> list:
        if wait:
            self.now[0] += 80_000
            return []
        return [(SimpleNamespace(data=one), 1) for one in self.ready]


def test_after_standing_still_what_waits_is_read_before_timers_and_the_list_first() -> None:
    """Else an answer that has come is taken for missing, and sessions are sent by the old list."""
    now, order = [1_000], []
    session = SimpleNamespace(on_ready=lambda mask: order.append("session"))
    news = SimpleNamespace(on_ready=lambda mask: order.append("list"))
    system = SimpleNamespace(
        monotonic_ns=lambda: now[0] * 100_000, selector=lambda: WokenSelector(now, [session, news])
    )
    loop = EventLoop(lambda fault: pytest.fail(str(fault)), 64, system)
    loop.priority_handler = news
    loop.after(20_000, lambda: order.append("timer"))
    loop.run_once()
    assert order == ["list", "session", "timer"]
