"""What the program needs at its start, on a platform that counts processor time and refuses some calls."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator

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


@contextlib.contextmanager
def signals_heard() -> Iterator[Hearing]:
    before = {which: signal.getsignal(which) for which in HANDLED}
    hearing = Hearing()
    wakeup = Wakeup()
    try:
        wakeup.wake(hearing)
        yield hearing
    finally:
        os.close(signal.set_wakeup_fd(-1))
        for which, handler in before.items():
            signal.signal(which, handler)
        os.close(wakeup.pipe)


def hear_both(hearing: Hearing) -> None:
    for which, heard in ((signal.SIGHUP, "reload"), (signal.SIGTERM, "stop")):
        signal.raise_signal(which)
        hearing.loop.after(50_000, lambda: pytest.fail("the loop slept through a signal"))
        while not hearing.heard:
            hearing.loop.turn()
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
    told = subprocess.run(
        [sys.executable, "-c", f"import sys, thymedeck.__main__; print(set({spared!r}) & set(sys.modules))"],
        capture_output=True,
        text=True,
    )
    assert told.stdout.strip() == "set()", told.stderr
