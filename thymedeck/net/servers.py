"""The servers' side: a connection for each dial, and what is learnt of each server from its lines."""

from typing import TYPE_CHECKING

from ..interface import ServerEntry
from .connection import Connection
from .endings import Ending
from .lines import Garbled, Lines, first_line, readable
from .load_reports import Beat, Figures
from .loop import WRITE

if TYPE_CHECKING:
    from .clients import Client
    from .service import Service

SAMPLES = 16  # of the message delay, kept of each server until it is told


class Known:
    """A server by its index at the decisions' door."""

    __slots__ = ("address", "beat", "delays", "entry", "slow", "standing", "stopped")

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.entry: ServerEntry | None = None  # as last listed
        self.beat = Beat()
        self.delays: list[int] = []  # the latest; no deque, which takes 700 bytes even if empty
        self.slow = False  # its messages were told to be slow
        self.stopped = False  # lines wait there and none has been answered since
        self.standing: dict[Client, None] = {}  # in the order in which they came to stand

    def message_took(self, took: int) -> None:
        self.delays.append(took)
        if len(self.delays) > SAMPLES:
            del self.delays[0]


class Dialled(Connection):
    """One dial: up to the server's first line it may fail, from then on it carries the session."""

    def __init__(
        self, service: "Service", client: "Client", server: int, connect_within: int, limit: int
    ) -> None:
        super().__init__(service.loop, service.loop.system.stream())
        self.service = service
        self.client = client
        self.server = server
        self.began = self.loop.now()
        self.sent = False  # the line's last byte was written
        self.standing = False
        self.over = False  # its ending has been told
        self.lines = Lines()
        self.figures = Figures()
        self.last_word = Ending.SERVER_ENDED  # what its end would mean now
        self.connect_due = self.loop.after(connect_within, self.not_up_in_time)
        self.limit_due = self.loop.after(limit, self.limit_passed)

    def start(self, line: bytes) -> None:
        self.outbound.put(line)
        if failed := self.connect(self.service.servers[self.server].address):
            self.service.log("no_connect", server=self.server, why=failed)
            self.finish(Ending.NOT_UP)
            return
        self.await_more()

    def ready(self, mask: int) -> None:
        if not self.sent and mask & WRITE:
            # Guards against a line sent on for a client whose end has come but waits unread.
            self.client.read()
        super().ready(mask)

    def on_up(self) -> None:
        """The line goes now, if it is still to go."""
        self.connect_due.cancel()
        if self.loop.now() >= self.limit_due.at:
            self.limit_passed()
        elif not self.service.may_send(self):
            self.finish(Ending.OVERTAKEN)

    def on_unwritable(self) -> None:
        """Guards against a last word lost to the break that a write finds before it is read."""
        while self.open and self.read():
            pass
        if self.open:
            self.on_broken()

    def on_emptied(self) -> None:
        self.sent = True

    def not_up_in_time(self) -> None:
        if self.connecting:
            self.finish(Ending.NOT_UP)

    def limit_passed(self) -> None:
        self.finish(Ending.GIVEN_UP if self.sent else Ending.CUT_UNSENT)

    def on_bytes(self, count: int) -> None:
        if self.standing:
            self.learn(count)
            self.client.flush()
            return
        try:
            line = first_line(self.inbound)
        except Garbled:
            line = b""
        if line is None:
            return
        word, *rest = line.rstrip(b"\r\n").split(b" ")
        if word == b"UP" and self.sent and rest and readable(rest[0]):
            self.stand()
        elif word == b"BUSY":
            self.finish(Ending.TURNED_AWAY)
        elif word == b"MOVE":
            self.finish(Ending.SENT_AWAY)
        else:
            self.finish(Ending.ERRED)

    def stand(self) -> None:
        self.limit_due.cancel()
        self.connect_due.cancel()
        self.standing = True
        self.service.stands(self, self.loop.now() - self.began)
        if self.open:
            self.learn(self.inbound.held)
            self.client.flush()
            if self.service.late:
                self.client.move()

    def learn(self, count: int) -> None:
        """Reads along for loads, answers and last words; the bytes go on unchanged."""
        for line in self.lines.take(self.inbound.newest(count)):
            if line.startswith(b"LOAD "):
                self.service.load_line(self, line)
                continue
            if line == b"BYE":
                self.last_word = Ending.SERVED
            elif line == b"MOVE":
                self.last_word = Ending.SENT_AWAY
            self.client.answered()

    def on_end(self) -> None:
        if self.standing:
            self.client.server_ended(self.last_word)
        else:
            self.cut()

    def cut(self) -> None:
        self.finish(Ending.CUT_SENT if self.sent else Ending.CUT_UNSENT)

    def on_broken(self) -> None:
        if self.standing:
            # A server that has said its last word may reset instead of ending.
            told = self.last_word is not Ending.SERVER_ENDED
            self.client.server_broke(self.last_word if told else Ending.SERVER_BROKE)
        elif self.connecting:
            self.finish(Ending.NOT_UP)
        else:
            self.cut()

    def finish(self, ending: Ending) -> None:
        """Closes the dial before anything else comes of it: never two are out at once."""
        if self.over:
            return
        self.over = True
        self.connect_due.cancel()
        self.limit_due.cancel()
        self.close()
        self.service.dial_over(self, ending)
