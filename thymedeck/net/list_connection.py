"""A connection to the list service: one HTTP request at a time, and its answer.

Times are whole tenths of a millisecond.
"""

from typing import TYPE_CHECKING, Any

import httptools

from .connection import Connection
from .loop import EventLoop

if TYPE_CHECKING:
    from .serverlist import ListClient

CONNECT_TIMEOUT = 10_000
# For a request without wait, and for the rest of an answer that has begun, until the next request is made.
ANSWER_TIMEOUT = 20_000
# If a reused connection ends this soon after a request, the service had closed it before the request arrived.
STALE_CONNECTION_WINDOW = 500
MAX_ANSWER_SIZE = 8 << 20
MAX_HEAD_SIZE = 1 << 16


class ListConnection(Connection):
    """A keep-alive connection to the list service; carries one request at a time."""

    def __init__(self, loop: EventLoop, list_client: "ListClient", address: tuple[str, int]) -> None:
        super().__init__(loop, loop.system.stream())
        self.list_client = list_client
        self.timer = self.loop.after(CONNECT_TIMEOUT, self.on_timeout)
        self.connect_failed = bool(self.connect(address))
        loop.priority_handlers.append(self)

    def send_request(self, target: str, host: str, wait: int) -> None:
        self.stale_until = 0 if self.connecting else self.loop.now() + STALE_CONNECTION_WINDOW
        self.parser: Any = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.received_size = 0  # bytes of the answer so far
        self.has_received = False  # any byte of the answer
        self.is_complete = False  # the answer is complete
        self.parsed_answer: tuple[int, bytes, bool] | None = None  # not yet passed to the list client
        self.is_head_complete = False
        self.has_length = False  # the head tells where the body ends
        self.wait = wait
        self.started_at = self.asked_at = self.loop.now()
        if not self.connecting:
            self.start_answer_timer()
        self.outbound.append(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        if self.connect_failed:
            self.fail("connection refused")
        elif self.connecting:
            self.update_events()
        else:
            self.flush()

    def start_answer_timer(self) -> None:
        if self in self.list_client.late_requests:
            return  # the next request is due or out already
        self.asked_at = self.loop.now()
        self.timer.cancel()
        self.timer = self.loop.after(self.list_client.request_timeout(self.wait), self.on_timeout)

    @property
    def pending_duration(self) -> int:
        """For how long the balancer may have missed changes; 0 for a watch that was served until it broke.

        A watch younger than ANSWER_TIMEOUT may still be queued at the service and counts as unserved.
        """
        pending_duration = self.loop.now() - self.started_at
        return pending_duration if pending_duration < ANSWER_TIMEOUT or not self.wait else 0

    def on_connected(self) -> None:
        self.start_answer_timer()

    def read(self) -> bool:
        """Reads all available data, so that no session is placed by the old list between parts of the new."""
        while self.is_open and super().read():
            pass
        return False

    def on_data(self, count: int) -> None:
        self.has_received = True
        data = self.inbound.read_all()
        self.received_size += count
        if self.received_size > (MAX_ANSWER_SIZE if self.is_head_complete else MAX_HEAD_SIZE):
            # `read` would go on reading an endless answer while all other work waits.
            self.fail("answer too large")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.parsed_answer is None:
                self.fail(f"no HTTP: {error}")
                return
            # Garbage after a complete answer does not invalidate it, but the connection is not reused.
            self.parsed_answer = (*self.parsed_answer[:2], False)
        if self.parsed_answer is not None:
            # Not within the parser's callback, as the next request replaces the parser.
            parsed_answer, self.parsed_answer = self.parsed_answer, None
            self.list_client.on_answer(self, *parsed_answer)
        elif self.wait:
            # An answer that has begun must end soon, not within the time that the watch may wait.
            self.wait, self.started_at = 0, self.loop.now()
            self.start_answer_timer()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.has_length |= name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self.is_head_complete = True

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.timer.cancel()
        self.is_complete = True
        can_reuse = self.has_length and self.parser.should_keep_alive()
        self.parsed_answer = (self.parser.get_status_code(), bytes(self.body), can_reuse)

    def on_eof(self) -> None:
        if self.is_head_complete and not (self.has_length or self.is_complete):
            # An answer without a length is complete when its connection ends.
            self.on_message_complete()
            self.list_client.on_answer(self, *self.parsed_answer)
        else:
            self.fail("ended")

    def on_connection_lost(self) -> None:
        self.fail("broken")

    def on_timeout(self) -> None:
        self.list_client.on_late(self)

    def drop(self) -> None:
        """Closes the connection; the request is neither answered nor failed."""
        self.timer.cancel()
        self.close()

    def fail(self, reason: str) -> None:
        self.drop()
        if self.is_complete:
            return
        is_stale = not self.has_received and self.loop.now() < self.stale_until
        if is_stale and self.list_client.connection is self:
            # The service had closed the idle connection before the request arrived: this is no failure.
            self.list_client.repeat_request()
        else:
            self.list_client.on_request_failed(self, reason)

    def close(self, reset: bool = False) -> None:
        if self.is_open:
            self.loop.priority_handlers.remove(self)
        super().close(reset)
