"""Client of the list service: decides what is requested when, and watches the list by long polling.

A watch lasts as long as each answer is followed by the next request in time. A request that is not answered
in time is followed by another one, and its answer still counts if it is the first to arrive. Times are whole
tenths of a millisecond.
"""

from typing import TYPE_CHECKING

import msgspec

from .. import interface
from .config_file import DECODE_ERRORS, ServerList
from .late_requests import LateRequests
from .list_connection import ANSWER_TIMEOUT, ListConnection
from .loop import DIAL_RESERVE

if TYPE_CHECKING:
    from .service import Service

PATH = "/registry/instances"
# A watch is silent this long after its wait: changes that it misses count as delivered 2 s after the wait.
WATCH_TIMEOUT_MARGIN = 10_000
MAX_WATCH_WAIT = 600_000
CROWDED_REFUSAL_TIME = 5_000  # a refusal that takes this long tells of a queue at the service
QUICK_RETRIES = 2  # after such refusals, at the usual pace; the third retry would be too late for the 6 s
MAX_BACKOFF = 10

decode_list = msgspec.json.Decoder(ServerList).decode


class ListClient:
    """Keeps the server list current: a first request, then watches until one fails.

    After a failure the policy decides when to start again.
    """

    def __init__(
        self, service: "Service", address: tuple[str, int], deployment: interface.Deployment, version: int
    ) -> None:
        self.service = service
        self.address = address
        self.wait = min(deployment.list_poll_within // 2, MAX_WATCH_WAIT)
        # Pushed lists count as delivered even while a request hangs, so the next one may wait for no more
        # than half of the time within which sending to a draining server has to stop.
        self.max_timeout_margin = (
            ANSWER_TIMEOUT if deployment.list_on_request else deployment.drain_grace // 2
        )
        self.version = version
        self.connection: ListConnection | None = None  # of the latest request
        self.late_requests = LateRequests()  # earlier ones
        self.refusals = 0  # requests in a row that were refused after CROWDED_REFUSAL_TIME
        self.is_started = False
        self.is_scheduled = False  # the pending request was scheduled by the policy, with jitter

    def start(self, is_scheduled: bool = False) -> None:
        """Requests the changes since the known version, without wait; then watches."""
        if not self.is_started:
            self.is_started = True
            self.send_request(0, is_scheduled)

    def switch_to(self, address: tuple[str, int]) -> None:
        """Moves to another list service and requests the whole list; answers of the old one are dropped."""
        if address == self.address:
            return  # a watch is open or the next request is scheduled
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
            self.fail(str(error))  # out of descriptors
            return
        self.service.log("list_asked", version=self.version, wait=wait // 10)
        self.connection.send_request(target, host, wait)

    def on_answer(self, connection: ListConnection, status: int, body: bytes, can_reuse: bool) -> None:
        if connection is not self.connection and connection not in self.late_requests:
            return
        if status != 200:
            is_crowded = self.service.loop.now() - connection.asked_at >= CROWDED_REFUSAL_TIME
            self.refusals = self.refusals + 1 if is_crowded and not connection.wait else 0
            self.on_request_failed(connection, f"status {status}")
            return
        try:
            server_list = decode_list(body)
        except DECODE_ERRORS as error:
            # The next request is for the whole list, in case the version is at fault.
            self.version = -1
            self.on_request_failed(connection, f"bad answer: {error}")
            return
        self.refusals = 0
        self.keep_only(connection)
        if not can_reuse or not connection.is_open:
            connection.close()
            self.connection = None
        self.version = server_list.version
        # The next request goes out before the answer is processed: a late one would end the watch.
        self.send_request(self.wait)
        self.service.on_list(server_list)

    def on_late(self, connection: ListConnection) -> None:
        """The answer is late: makes the next request, and keeps waiting for that answer too.

        A slow service would otherwise never be heard, as each new request starts at the end of its queue.
        """
        if self.service.loop.free_descriptors <= DIAL_RESERVE:
            connection.drop()
        else:
            self.late_requests.add(connection)
        self.connection = None
        if connection.wait and not connection.connecting:
            # The protocol requires that a silent watch is opened again at once.
            self.service.log("list_silent", version=self.version, wait=connection.wait // 10)
            self.send_request(0)
        else:
            self.schedule_next("no answer", connection.pending_duration)

    def keep_only(self, connection: ListConnection) -> None:
        """Drops all requests but the one on this connection, which has been answered first."""
        if connection in self.late_requests:
            self.service.log("list_late", took=self.service.loop.now() - connection.asked_at)
            self.late_requests.remove(connection)
            self.drop_connection()
            self.connection = connection
            self.is_started = True
        self.late_requests.drop_all()

    def request_timeout(self, wait: int) -> int:
        """How long after a request with this wait the next one is made, if it is not answered.

        A crowded service is given more time, as each further request makes its queue longer.
        """
        if wait:
            return wait + min(WATCH_TIMEOUT_MARGIN, self.max_timeout_margin)
        return min(ANSWER_TIMEOUT, self.max_timeout_margin << self.backoff)

    @property
    def backoff(self) -> int:
        """How many times the pace of requests is halved, as the service is crowded."""
        return min(max(self.refusals - QUICK_RETRIES, 0), MAX_BACKOFF)

    def repeat_request(self) -> None:
        """Sends the latest request again, on a new connection."""
        wait, self.connection = self.connection.wait, None
        self.send_request(wait)

    def on_request_failed(self, connection: ListConnection, reason: str) -> None:
        if connection is self.connection:
            self.fail(reason)
        elif connection in self.late_requests:
            # The next request is under way or scheduled already.
            self.late_requests.drop(connection)

    def fail(self, reason: str) -> None:
        pending_duration = 0 if self.connection is None else self.connection.pending_duration
        self.drop_connection()
        self.schedule_next(reason, pending_duration)

    def schedule_next(self, reason: str, pending_duration: int) -> None:
        """Leaves it to the policy when the next request is made."""
        self.is_started = False
        self.service.on_list_failed(reason, pending_duration, self.is_scheduled, self.backoff)

    def close(self) -> None:
        """Drops all requests."""
        self.drop_connection()
        self.late_requests.drop_all()

    def drop_connection(self) -> None:
        """Drops the latest request."""
        if self.connection is not None:
            self.connection.drop()
        self.connection = None
