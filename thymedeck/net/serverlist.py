"""The list of servers: calls over HTTP, and a watch that is kept alive by the next call in time."""

from typing import TYPE_CHECKING, Any

import httptools
import msgspec

from .. import interface
from .config_file import DECODE_ERRORS, ServerList
from .connection import Connection
from .loop import EventLoop

if TYPE_CHECKING:
    from .service import Service

PATH = "/registry/instances"
CONNECT_TIMEOUT = 10_000
ANSWER_TIMEOUT = 20_000  # for a call that asks for no wait, and for an answer that has begun
WATCH_TIMEOUT_MARGIN = (
    10_000  # beyond the wait: what a silent watch misses counts as told 2 s after that is over
)
MAX_WATCH_WAIT = 600_000
STALE_CONNECTION_WINDOW = 500  # a kept connection that ends this soon after a call had been ended before it
MAX_ANSWER_SIZE = 8 << 20
MAX_HEAD_SIZE = 1 << 16

decode_list = msgspec.json.Decoder(ServerList).decode


class ListConnection(Connection):
    """A connection to discovery, kept for one call after another."""

    def __init__(self, loop: EventLoop, list_client: "ListClient", address: tuple[str, int]) -> None:
        super().__init__(loop, loop.system.stream())
        self.list_client = list_client
        self.timer = self.loop.after(CONNECT_TIMEOUT, self.on_timeout)
        self.connect_failed = bool(self.connect(address))
        loop.priority_handler = self

    def send_request(self, target: str, host: str, wait: int) -> None:
        self.stale_until = 0 if self.connecting else self.loop.now() + STALE_CONNECTION_WINDOW
        self.parser: Any = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.received_size = 0  # bytes of the answer
        self.has_received = False  # something of the answer has come
        self.is_complete = False  # the answer is whole; the connection is no longer needed for it
        self.parsed_answer: tuple[int, bytes, bool] | None = None  # not yet given to the list client
        self.is_head_complete = False  # its head is whole
        self.has_length = False  # and tells where the body ends
        self.wait = wait
        self.started_at = self.loop.now()
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
        self.timer.cancel()
        self.timer = self.loop.after(self.list_client.request_timeout(self.wait), self.on_timeout)

    @property
    def pending_duration(self) -> int:
        """For how long it may miss what it asks for: a watch does while its turn may still be to come."""
        pending_duration = self.loop.now() - self.started_at
        return pending_duration if pending_duration < ANSWER_TIMEOUT or not self.wait else 0

    def on_connected(self) -> None:
        self.start_answer_timer()

    def read(self) -> bool:
        """All that waits: guards against sessions sent by the old list between two parts of the new one."""
        while self.is_open and super().read():
            pass
        return False

    def on_data(self, count: int) -> None:
        self.has_received = True
        data = self.inbound.read_all()
        self.received_size += count
        if self.received_size > (MAX_ANSWER_SIZE if self.is_head_complete else MAX_HEAD_SIZE):
            # Guards against what has no end, of which `read` would go on taking while all else waits.
            self.fail("answer too large")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.parsed_answer is None:
                self.fail(f"no HTTP: {error}")
                return
            # Guards against a list lost to what comes behind it; the connection is not used again.
            self.parsed_answer = (*self.parsed_answer[:2], False)
        if self.parsed_answer is not None:
            # The parser is left before the next call begins.
            parsed_answer, self.parsed_answer = self.parsed_answer, None
            self.list_client.on_answer(self, *parsed_answer)
        elif self.wait:
            # Guards against an answer that never ends: it would be borne as long as the watch may wait.
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
            # Guards against a list never taken from a service that ends each answer by its connection's end.
            self.on_message_complete()
            self.list_client.on_answer(self, *self.parsed_answer)
        else:
            self.fail("ended")

    def on_connection_lost(self) -> None:
        self.fail("broken")

    def on_timeout(self) -> None:
        if self.wait and not self.connecting:
            self.close()
            self.list_client.on_watch_silent(self)
        else:
            self.fail("no answer")

    def fail(self, reason: str) -> None:
        self.timer.cancel()
        self.close()
        if self.is_complete:
            return
        if not self.has_received and self.loop.now() < self.stale_until:
            # Guards against a watch lost to a connection that was ended as the next call went out on it.
            self.list_client.retry(self, self.wait)
        else:
            self.list_client.on_request_failed(self, reason)


class ListClient:
    """Follows the list while the decisions want it."""

    def __init__(
        self, service: "Service", address: tuple[str, int], deployment: interface.Deployment, version: int
    ) -> None:
        self.service = service
        self.address = address
        self.wait = min(deployment.list_poll_within // 2, MAX_WATCH_WAIT)
        # Where lists are pushed what is there counts as told, whether or not a call hangs.
        self.max_timeout_margin = (
            ANSWER_TIMEOUT if deployment.list_on_request else deployment.drain_grace // 2
        )
        self.version = version
        self.connection: ListConnection | None = None
        self.is_started = False
        self.is_scheduled = False  # the call that is out is the decisions' own, spread by them

    def start(self, is_scheduled: bool = False) -> None:
        """Asks what has changed since, without waiting; then watches."""
        if not self.is_started:
            self.is_started = True
            self.send_request(0, is_scheduled)

    def switch_to(self, address: tuple[str, int]) -> None:
        """Asks another address for the whole list; nothing of the old one counts any more."""
        if address == self.address:
            return  # it is watched, or the next call has its time
        self.close()
        self.address = address
        self.version = -1
        self.is_started = False
        self.service.on_list_address_changed()

    def send_request(self, wait: int, is_scheduled: bool = False) -> None:
        self.is_scheduled = is_scheduled
        target = PATH
        if self.version >= 0:
            target += f"?index={self.version}&wait={wait // 10}"
        host = f"{self.address[0]}:{self.address[1]}"
        try:
            self.connection = self.connection or ListConnection(self.service.loop, self, self.address)
        except OSError as error:
            self.fail(str(error))  # no socket is left
            return
        self.service.log("list_asked", version=self.version, wait=wait // 10)
        self.connection.send_request(target, host, wait)

    def on_answer(self, connection: ListConnection, status: int, body: bytes, can_reuse: bool) -> None:
        if connection is not self.connection:
            return
        if status != 200:
            self.fail(f"status {status}")
            return
        try:
            server_list = decode_list(body)
        except DECODE_ERRORS as error:
            # The next call asks for the whole list, in case the version is what is wrong.
            self.version = -1
            self.fail(f"bad answer: {error}")
            return
        if not can_reuse or not connection.is_open:
            connection.close()
            self.connection = None
        self.version = server_list.version
        # The watch goes on before the answer is worked through, as it ends if the next call is late.
        self.send_request(self.wait)
        self.service.on_list(server_list)

    def request_timeout(self, wait: int) -> int:
        """How long a call may take that asks for this wait."""
        return wait + min(WATCH_TIMEOUT_MARGIN if wait else ANSWER_TIMEOUT, self.max_timeout_margin)

    def on_watch_silent(self, connection: ListConnection) -> None:
        """A watch that has fallen silent is broken: it is opened anew at once, as the pages ask."""
        self.service.log("list_silent", version=self.version, wait=connection.wait // 10)
        self.retry(connection, 0)

    def retry(self, connection: ListConnection, wait: int) -> None:
        if connection is self.connection:
            self.connection = None
            self.send_request(wait)

    def on_request_failed(self, connection: ListConnection, reason: str) -> None:
        if connection is self.connection:
            self.fail(reason)

    def fail(self, reason: str) -> None:
        pending_duration = 0 if self.connection is None else self.connection.pending_duration
        self.close()
        self.is_started = False
        self.service.on_list_failed(reason, pending_duration, self.is_scheduled)

    def close(self) -> None:
        if self.connection is not None:
            self.connection.timer.cancel()
            self.connection.close()
            self.connection = None
