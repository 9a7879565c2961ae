"""Signals: reload and stop requests, passed to the service by its event loop."""

import contextlib
import os
import signal
from typing import TYPE_CHECKING

from .loop import READ

if TYPE_CHECKING:
    from .service import Service

POLL_INTERVAL = 5_000  # tenths of a millisecond; between looks for signals whose wake-up byte was lost


class SignalReceiver:
    """Collects signals from its construction on and passes them to the service once its loop runs."""

    def __init__(self) -> None:
        self.received_signals: set[int] = set()
        self.service: Service | None = None
        # A pipe, because some platforms refuse Unix sockets and others carry UDP only between balancers: a
        # datagram that the process sent to itself was accepted but never delivered, and signals were lost.
        self.read_end, write_end = os.pipe()
        os.set_blocking(self.read_end, False)
        os.set_blocking(write_end, False)
        signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda number, _: self.received_signals.add(number))

    def attach(self, service: "Service") -> None:
        self.service = service
        service.loop.watch(self.read_end, 0, READ, self)
        service.loop.after(POLL_INTERVAL, self.poll)

    def on_ready(self, mask: int) -> None:
        with contextlib.suppress(BlockingIOError):
            while os.read(self.read_end, 4096):
                pass
        self.handle_signals()

    def poll(self) -> None:
        """Handles signals whose wake-up byte the platform lost, at the price of a short delay."""
        self.service.loop.after(POLL_INTERVAL, self.poll)
        if self.received_signals:
            self.handle_signals()

    def handle_signals(self) -> None:
        # Signals of one kind that arrive together count once; none is lost among many.
        received_signals, self.received_signals = self.received_signals, set()
        if signal.SIGHUP in received_signals:
            # An exception during the reload must not lose a stop signal received with it.
            self.service.loop.run_guarded(self.service.reload)
        if received_signals - {signal.SIGHUP}:
            self.service.stop()
