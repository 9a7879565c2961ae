"""Unfinished lines of servers that are held back, so that MOVE can take their place at any time.

Times are whole tenths of a millisecond.
"""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .servers import DialConnection
    from .service import Service

MAX_HOLD_TIME = 9_000  # the protocol allows a second
CHECK_INTERVAL = 1_000


class HeldLines:
    """Ends the hold of each line that does not end in time.

    The part that has arrived is passed on. While the process stops MOVE takes its place, as it could not
    follow part of a line.
    """

    def __init__(self, service: "Service") -> None:
        self.service = service
        self.loop = service.loop
        self.dials: dict[DialConnection, None] = {}  # those that may hold an unfinished line

    def add(self, dial: "DialConnection") -> None:
        if not self.dials:
            self.loop.after(CHECK_INTERVAL, self.check)
        self.dials[dial] = None

    def check(self) -> None:
        """Ends the holds that would last too long by the next check."""
        latest = self.loop.now() + CHECK_INTERVAL - MAX_HOLD_TIME
        for dial in list(self.dials):
            if dial.is_open and dial.inbound.held:
                if dial.held_since > latest:
                    continue
                self.end_hold(dial)
            del self.dials[dial]
        if self.dials:
            self.loop.after(CHECK_INTERVAL, self.check)

    def end_hold(self, dial: "DialConnection") -> None:
        has_client_ended = dial.client.received_eof
        if self.service.shutdown.has_begun and not has_client_ended:
            dial.client.move(at_once=True)
        else:
            dial.release_line()
