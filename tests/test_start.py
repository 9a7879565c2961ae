"""What the program needs at its start, on a platform that counts processor time and refuses some calls."""

import signal
import socket
import subprocess
import sys

import pytest

from thymedeck.net.loop import Loop
from thymedeck.net.service import Wakeup
from thymedeck.net.system import System

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Hearing:
    """Stands in for the service that a signal is to reach."""

    def __init__(self) -> None:
        self.loop = Loop(lambda fault: pytest.fail(str(fault)), 64, System())
        self.heard: list[str] = []

    def reload(self) -> None:
        self.heard.append("reload")

    def stop(self) -> None:
        self.heard.append("stop")


def test_signals_reach_the_loop_where_unix_sockets_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    real = socket.socket

    def refusing(family: int = -1, *more: int) -> socket.socket:
        if family != socket.AF_INET:
            raise OSError("refused")
        return real(family, *more)

    monkeypatch.setattr(socket, "socket", refusing)
    monkeypatch.setattr(socket, "socketpair", lambda *_: pytest.fail("a Unix socket was asked for"))
    before = {which: signal.getsignal(which) for which in HANDLED}
    hearing = Hearing()
    wakeup = Wakeup()
    try:
        wakeup.wake(hearing)
        for which, heard in ((signal.SIGHUP, "reload"), (signal.SIGTERM, "stop")):
            signal.raise_signal(which)
            hearing.loop.after(50_000, lambda: pytest.fail("the loop slept through a signal"))
            hearing.loop.turn()
            assert hearing.heard.pop() == heard
    finally:
        signal.set_wakeup_fd(-1)
        for which, handler in before.items():
            signal.signal(which, handler)
        wakeup.sock.close()


def test_serving_imports_nothing_that_it_does_not_use() -> None:
    """Guards against processor time at each of many starts: a herd that restarts waits for all of it."""
    spared = ("asyncio", "concurrent", "email", "http", "logging", "multiprocessing", "ssl", "subprocess")
    told = subprocess.run(
        [sys.executable, "-c", f"import sys, thymedeck.__main__; print(set({spared!r}) & set(sys.modules))"],
        capture_output=True,
        text=True,
    )
    assert told.stdout.strip() == "set()", told.stderr
