"""The event log: one JSON line per event on standard output."""

import traceback
from typing import Any

import orjson

from .system import System


class EventLog:
    """Writes events; lines that cannot be written at once are dropped and counted."""

    def __init__(self, name: str, system: System) -> None:
        self.time_ns = system.time_ns
        self.name = name
        self.write = system.log()
        self.dropped = 0

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401 (any value that JSON can hold)
        line = {"time": round(self.time_ns() / 1e9, 4), "balancer": self.name, "event": event, **fields}
        if self.dropped:
            line["dropped"] = self.dropped
        try:
            self.write(orjson.dumps(line, default=str) + b"\n")
            self.dropped = 0
        except OSError:
            # The reader of the log has stopped: the line is dropped rather than blocking the loop.
            self.dropped += 1

    def log_exception(self, error: BaseException) -> None:
        self("fault", text="".join(traceback.format_exception(error))[-3000:])
