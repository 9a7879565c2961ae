"""The start of the program: signals on restricted platforms, imports, bad configuration files, stalls."""

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
from thymedeck.net.signals import SignalReceiver
from thymedeck.net.system import System

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class FakeService:
    """Records the calls that a signal causes."""

    def __init__(self) -> None:
        self.loop = EventLoop(lambda error: pytest.fail(str(error)), 64, System())
        self.received: list[str] = []

    def reload(self) -> None:
        self.received.append("reload")

    def stop(self) -> None:
        self.received.append("stop")


@contextlib.contextmanager
def signal_receiver() -> Iterator[FakeService]:
    before = {number: signal.getsignal(number) for number in HANDLED}
    service = FakeService()
    receiver = SignalReceiver()
    try:
        receiver.attach(service)
        yield service
    finally:
        os.close(signal.set_wakeup_fd(-1))
        for number, handler in before.items():
            signal.signal(number, handler)
        os.close(receiver.read_end)


def send_both_signals(service: FakeService) -> None:
    for number, received in ((signal.SIGHUP, "reload"), (signal.SIGTERM, "stop")):
        signal.raise_signal(number)
        service.loop.after(50_000, lambda: pytest.fail("the loop slept through a signal"))
        while not service.received:
            service.loop.run_once()
        assert service.received.pop() == received


def test_signals_work_without_a_socket_pair(monkeypatch: pytest.MonkeyPatch) -> None:
    """Some platforms refuse Unix sockets, others accept UDP to oneself and never deliver it."""
    monkeypatch.setattr(socket, "socket", lambda *_, **__: pytest.fail("a socket was opened"))
    monkeypatch.setattr(socket, "socketpair", lambda *_: pytest.fail("a Unix socket was opened"))
    with signal_receiver() as service:
        send_both_signals(service)


def test_signals_are_handled_if_the_wake_up_is_lost() -> None:
    with signal_receiver() as service:
        written = signal.set_wakeup_fd(-1)
        try:
            send_both_signals(service)
        finally:
            signal.set_wakeup_fd(written)


def test_serving_imports_nothing_that_it_does_not_use() -> None:
    """Unused imports cost processor time at each start; a restarting fleet waits for all of it."""
    unused = ("asyncio", "concurrent", "email", "http", "logging", "multiprocessing", "ssl", "subprocess")
    unused += ("matplotlib", "numpy", "thymedeck.lab")  # used by the lab only
    result = subprocess.run(
        [sys.executable, "-c", f"import sys, thymedeck.__main__; print(set({unused!r}) & set(sys.modules))"],
        capture_output=True,
        text=True,
    )
    assert result.stdout.strip() == "set()", result.stderr


def test_serving_without_peers_does_not_import_them() -> None:
    result = subprocess.run(
        [sys.executable, "-c", "import sys, thymedeck.__main__, thymedeck.net.service; print(*sys.modules)"],
        capture_output=True,
        text=True,
    )
    assert "thymedeck.net.service" in result.stdout, result.stderr
    assert "thymedeck.peers" not in result.stdout


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


@pytest.mark.parametrize(("signal_name", "log_event"), [("SIGHUP", "reloaded"), ("SIGTERM", "stopping")])
def test_a_signal_during_the_start_is_handled_once_it_serves(
    signal_name: str, log_event: str, tmp_path: Path
) -> None:
    """The signal arrives during the imports, before a handler is installed."""
    config = {"name": "b", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": SETTINGS}
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config))
    code = WHILE_STARTING.format(signal_name)
    with subprocess.Popen(
        [sys.executable, "-c", code, "serve", "--config", str(file)], stdout=subprocess.PIPE, text=True
    ) as program:
        try:
            assert any(f'"{log_event}"' in line for line in program.stdout)
        finally:
            program.kill()


def test_a_fault_in_a_reload_does_not_lose_the_stop_that_came_with_it() -> None:
    with signal_receiver() as service:
        service.loop.on_exception = lambda error: service.received.append(str(error))
        service.reload = lambda: 1 / 0
        service.loop.after(20_000, lambda: pytest.fail("the stop was lost"))
        signal.raise_signal(signal.SIGHUP)
        signal.raise_signal(signal.SIGTERM)
        while len(service.received) < 2:
            service.loop.run_once()
        assert service.received == ["division by zero", "stop"]


@pytest.mark.parametrize("text", ["[" * 200_000, '{"settings":' * 200_000, "{", "", "\xff", "null"])
def test_a_file_that_cannot_be_read_gets_one_line(text: str, tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(text, encoding="latin-1")
    result = subprocess.run(
        [sys.executable, "-m", "thymedeck", "check", "--config", str(file)], capture_output=True, text=True
    )
    assert result.returncode == 2 and result.stderr.count("\n") == 1, result.stderr


class WokenSelector:
    """Returns no events from a wait during which the process was stalled, like the system's selector."""

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
        return [(SimpleNamespace(data=handler), 1) for handler in self.ready]


def test_after_a_stall_waiting_data_is_read_before_timers_and_the_list_first() -> None:
    """Else an answer that has arrived counts as missing, and sessions are placed by the old list."""
    now, order = [1_000], []
    session = SimpleNamespace(on_ready=lambda mask: order.append("session"))
    list_connection = SimpleNamespace(on_ready=lambda mask: order.append("list"))
    system = SimpleNamespace(
        monotonic_ns=lambda: now[0] * 100_000, selector=lambda: WokenSelector(now, [session, list_connection])
    )
    loop = EventLoop(lambda error: pytest.fail(str(error)), 64, system)
    loop.priority_handlers.append(list_connection)
    loop.after(20_000, lambda: order.append("timer"))
    loop.run_once()
    assert order == ["list", "session", "timer"]
