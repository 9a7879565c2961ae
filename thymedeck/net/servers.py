"""The server side: a connection for each dial, and what is known of each server."""

from typing import TYPE_CHECKING

from ..interface import ServerEntry
from .connection import Connection
from .endings import Ending
from .lines import MAX_LINE_LENGTH, LineSplitter, LineTooLong, is_printable_word, peek_line
from .load_reports import DelaySchedule, SessionLoads
from .loop import WRITE

if TYPE_CHECKING:
    from .clients import Client
    from .service import Service

MAX_DELAY_SAMPLES = 16  # message delays kept per server until the next report


class KnownServer:
    """A listed server; its position in `Service.servers` is the policy's index for it."""

    __slots__ = ("address", "delay_schedule", "delays", "entry", "is_slow", "sessions", "is_unresponsive")

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.entry: ServerEntry | None = None  # as last listed
        self.delay_schedule = DelaySchedule()
        self.delays: list[int] = []  # the latest; an empty deque would take 700 bytes
        self.is_slow = False  # message delay above a third of the shortest aim at the last check
        self.is_unresponsive = False  # several lines have waited unanswered, and none has been answered since
        self.sessions: dict[Client, None] = {}  # in the order in which they were established

    def add_delay_sample(self, delay: int) -> None:
        self.delays.append(delay)
        if len(self.delays) > MAX_DELAY_SAMPLES:
            del self.delays[0]


class DialConnection(Connection):
    """One dial: it may fail until the server's first line; from then on it carries the session."""

    def __init__(
        self, service: "Service", client: "Client", server: int, connect_timeout: int, time_limit: int
    ) -> None:
        super().__init__(service.loop, service.loop.system.stream())
        self.service = service
        self.client = client
        self.server = server
        self.started_at = self.loop.now()
        self.is_sent = False  # the last byte of the OPEN line was written
        self.is_established = False
        self.is_over = False  # its ending has been reported
        self.line_splitter = LineSplitter()
        self.is_line_released = False  # part of the server's unfinished line may have been passed on
        self.held_since = 0  # when the first of the bytes held in `inbound` arrived
        self.loads = SessionLoads()
        self.eof_ending = Ending.SERVER_ENDED  # what an end of stream would mean now
        self.connect_timer = self.loop.after(connect_timeout, self.on_connect_timeout)
        self.limit_timer = self.loop.after(time_limit, self.on_time_limit)

    def start(self, line: bytes) -> None:
        self.outbound.append(line)
        if error := self.connect(self.service.servers[self.server].address):
            self.service.log("no_connect", server=self.server, why=error)
            self.finish(Ending.NOT_UP)
            return
        self.update_events()

    def on_ready(self, mask: int) -> None:
        if not self.is_sent and mask & WRITE:
            # The client may have closed, with its end of stream still unread: then nothing is sent for it.
            self.client.read()
        super().on_ready(mask)

    def on_connected(self) -> None:
        """Lets the OPEN line be sent, unless the time is up or the server must get no new sessions by now."""
        self.connect_timer.cancel()
        if self.loop.now() >= self.limit_timer.expires_at:
            self.on_time_limit()
        elif not self.service.may_send(self):
            self.finish(Ending.OVERTAKEN)

    def on_write_error(self) -> None:
        """A write may fail on a reset while the server's last lines are still unread: reads them first."""
        while self.is_open and self.read():
            pass
        if self.is_open:
            self.on_connection_lost()

    def on_output_flushed(self) -> None:
        self.is_sent = True

    def on_connect_timeout(self) -> None:
        if self.connecting:
            self.finish(Ending.NOT_UP)

    def on_time_limit(self) -> None:
        self.finish(Ending.GIVEN_UP if self.is_sent else Ending.CUT_UNSENT)

    def on_data(self, count: int) -> None:
        if self.is_established:
            self.client.on_server_data(has_line_ended=self.inspect_lines(count))
            return
        try:
            line = peek_line(self.inbound)
        except LineTooLong:
            line = b""
        if line is None:
            return
        word, *rest = line.rstrip(b"\r\n").split(b" ")
        if word == b"UP" and self.is_sent and rest and is_printable_word(rest[0]):
            self.establish()
        elif word == b"BUSY":
            self.finish(Ending.TURNED_AWAY)
        elif word == b"MOVE":
            self.finish(Ending.SENT_AWAY)
        else:
            self.finish(Ending.ERRED)

    def establish(self) -> None:
        self.limit_timer.cancel()
        self.connect_timer.cancel()
        self.is_established = True
        self.service.on_dial_established(self, self.loop.now() - self.started_at)
        if self.is_open:
            self.inspect_lines(self.inbound.used)
            if self.service.shutdown.moves_new_sessions:
                self.client.move()
            self.client.flush()

    def inspect_lines(self, count: int) -> bool:
        """Inspects the relayed lines for loads, answers and BYE or MOVE; the bytes pass unchanged.

        Returns whether a line ends among these bytes.
        """
        unfinished_before = self.line_splitter.partial_length
        for line in self.line_splitter.feed(self.inbound.peek_last(count)):
            if line.startswith(b"LOAD "):
                self.service.on_load_line(self, line)
                continue
            if line == b"BYE":
                self.eof_ending = Ending.SERVED
            elif line == b"MOVE":
                self.eof_ending = Ending.SENT_AWAY
            self.client.on_server_line()
        unfinished = self.line_splitter.partial_length
        has_line_ended = unfinished < unfinished_before + count
        if has_line_ended:
            self.inbound.held = 0
            self.is_line_released = False
        if unfinished:
            self.hold_unfinished_line(unfinished)
        return has_line_ended

    def hold_unfinished_line(self, length: int) -> None:
        """Holds back a line that has only begun to arrive, so that MOVE can take its place at any time.

        `HeldLines` ends the hold of a line that does not end in time.
        """
        if length > MAX_LINE_LENGTH:
            self.is_line_released = True
        if self.is_line_released:
            self.inbound.held = 0
            return
        if not self.inbound.held:
            self.held_since = self.loop.now()
            self.service.held_lines.add(self)
        self.inbound.held = length

    def release_line(self) -> None:
        """Passes the unfinished line on as far as it has arrived; the rest follows as it arrives."""
        self.is_line_released = True
        self.inbound.held = 0
        self.client.flush()

    def on_eof(self) -> None:
        if self.is_established:
            self.client.on_server_eof(self.eof_ending)
        else:
            self.fail_before_answer()

    def fail_before_answer(self) -> None:
        self.finish(Ending.CUT_SENT if self.is_sent else Ending.CUT_UNSENT)

    def on_connection_lost(self) -> None:
        if self.is_established:
            # A server may reset after BYE or MOVE instead of closing.
            is_announced = self.eof_ending is not Ending.SERVER_ENDED
            self.client.on_server_lost(self.eof_ending if is_announced else Ending.SERVER_BROKE)
        elif self.connecting:
            self.finish(Ending.NOT_UP)
        else:
            self.fail_before_answer()

    def finish(self, ending: Ending) -> None:
        """Closes the dial before it is reported, so that a session never has two dials at once."""
        if self.is_over:
            return
        self.is_over = True
        self.connect_timer.cancel()
        self.limit_timer.cancel()
        self.close()
        self.service.on_dial_ended(self, ending)
