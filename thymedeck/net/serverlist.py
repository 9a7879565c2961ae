"""The list of servers: calls over HTTP, and a watch that is kept alive by the next call in time."""

from typing import TYPE_CHECKING, Any

import httptools
import msgspec

from .. import interface
from .config_file import UNREADABLE, Listing
from .connection import Connection
from .loop import Loop

if TYPE_CHECKING:
    from .service import Service

PATH = "/registry/instances"
CONNECT_WITHIN = 10_000
ANSWER_WITHIN = 20_000  # for a call that asks for no wait, and for an answer that has begun
SILENT_WITHIN = 10_000  # beyond the wait: what a silent watch misses counts as told 2 s after that is over
LONGEST_WAIT = 600_000
STALE_WITHIN = 500  # a kept connection that ends this soon after a call had been ended before it
LARGEST_ANSWER = 8 << 20
LARGEST_HEAD = 1 << 16

decode = msgspec.json.Decoder(Listing).decode


class Call(Connection):
    """A connection to discovery, kept for one call after another."""

    def __init__(self, loop: Loop, follower: "Follower", address: tuple[str, int]) -> None:
        super().__init__(loop, loop.system.stream())
        self.follower = follower
        self.due = self.loop.after(CONNECT_WITHIN, self.overdue)
        self.refused = bool(self.connect(address))
        loop.first = self

    def ask(self, target: str, host: str, wait: int) -> None:
        self.stale_until = 0 if self.connecting else self.loop.now() + STALE_WITHIN
        self.parser: Any = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.taken = 0  # bytes of the answer
        self.heard = False  # something of the answer has come
        self.complete = False  # the answer is whole; the connection is no longer needed for it
        self.answer: tuple[int, bytes, bool] | None = None  # not yet given to the follower
        self.headed = False  # its head is whole
        self.sized = False  # and tells where the body ends
        self.wait = wait
        self.began = self.loop.now()
        if not self.connecting:
            self.await_answer()
        self.outbound.put(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        if self.refused:
            self.lost("connection refused")
        elif self.connecting:
            self.await_more()
        else:
            self.flush()

    def await_answer(self) -> None:
        self.due.cancel()
        self.due = self.loop.after(self.follower.patience(self.wait), self.overdue)

    @property
    def out(self) -> int:
        """For how long it may miss what it asks for: a watch does while its turn may still be to come."""
        out = self.loop.now() - self.began
        return out if out < ANSWER_WITHIN or not self.wait else 0

    def on_up(self) -> None:
        self.await_answer()

    def read(self) -> bool:
        """All that waits: guards against sessions sent by the old list between two parts of the new one."""
        while self.open and super().read():
            pass
        return False

    def on_bytes(self, count: int) -> None:
        self.heard = True
        data = self.inbound.take()
        self.taken += count
        if self.taken > (LARGEST_ANSWER if self.headed else LARGEST_HEAD):
            # Guards against what has no end, of which `read` would go on taking while all else waits.
            self.lost("answer too large")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as why:
            if self.answer is None:
                self.lost(f"no HTTP: {why}")
                return
            # Guards against a list lost to what comes behind it; the connection is not used again.
            self.answer = (*self.answer[:2], False)
        if self.answer is not None:
            # The parser is left before the next call begins.
            answer, self.answer = self.answer, None
            self.follower.answered(self, *answer)
        elif self.wait:
            # Guards against an answer that never ends: it would be borne as long as the watch may wait.
            self.wait, self.began = 0, self.loop.now()
            self.await_answer()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.sized |= name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self.headed = True

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.due.cancel()
        self.complete = True
        again = self.sized and self.parser.should_keep_alive()
        self.answer = (self.parser.get_status_code(), bytes(self.body), again)

    def on_end(self) -> None:
        if self.headed and not (self.sized or self.complete):
            # Guards against a list never taken from a service that ends each answer by its connection's end.
            self.on_message_complete()
            self.follower.answered(self, *self.answer)
        else:
            self.lost("ended")

    def on_broken(self) -> None:
        self.lost("broken")

    def overdue(self) -> None:
        if self.wait and not self.connecting:
            self.close()
            self.follower.silent(self)
        else:
            self.lost("no answer")

    def lost(self, why: str) -> None:
        self.due.cancel()
        self.close()
        if self.complete:
            return
        if not self.heard and self.loop.now() < self.stale_until:
            # Guards against a watch lost to a connection that was ended as the next call went out on it.
            self.follower.call_again(self, self.wait)
        else:
            self.follower.call_lost(self, why)


class Follower:
    """Follows the list while the decisions want it."""

    def __init__(
        self, service: "Service", address: tuple[str, int], site: interface.Deployment, version: int
    ) -> None:
        self.service = service
        self.address = address
        self.wait = min(site.list_poll_within // 2, LONGEST_WAIT)
        # Where lists are pushed what is there counts as told, whether or not a call hangs.
        self.most_patience = ANSWER_WITHIN if site.list_on_request else site.drain_grace // 2
        self.version = version
        self.call: Call | None = None
        self.following = False
        self.in_turn = False  # the call that is out is the decisions' own, spread by them

    def follow(self, in_turn: bool = False) -> None:
        """Asks what has changed since, without waiting; then watches."""
        if not self.following:
            self.following = True
            self.ask(0, in_turn)

    def turn_to(self, address: tuple[str, int]) -> None:
        """Asks another address for the whole list; nothing of the old one counts any more."""
        if address == self.address:
            return  # it is watched, or the next call has its time
        self.close()
        self.address = address
        self.version = -1
        self.following = False
        self.service.list_moved()

    def ask(self, wait: int, in_turn: bool = False) -> None:
        self.in_turn = in_turn
        target = PATH
        if self.version >= 0:
            target += f"?index={self.version}&wait={wait // 10}"
        host = f"{self.address[0]}:{self.address[1]}"
        try:
            self.call = self.call or Call(self.service.loop, self, self.address)
        except OSError as why:
            self.failed(str(why))  # no socket is left
            return
        self.service.log("list_asked", version=self.version, wait=wait // 10)
        self.call.ask(target, host, wait)

    def answered(self, call: Call, status: int, body: bytes, again: bool) -> None:
        if call is not self.call:
            return
        if status != 200:
            self.failed(f"status {status}")
            return
        try:
            listing = decode(body)
        except UNREADABLE as why:
            # The next call asks for the whole list, in case the version is what is wrong.
            self.version = -1
            self.failed(f"bad answer: {why}")
            return
        if not again or not call.open:
            call.close()
            self.call = None
        self.version = listing.version
        # The watch goes on before the answer is worked through, as it ends if the next call is late.
        self.ask(self.wait)
        self.service.listed(listing)

    def patience(self, wait: int) -> int:
        """How long a call may take that asks for this wait."""
        return wait + min(SILENT_WITHIN if wait else ANSWER_WITHIN, self.most_patience)

    def silent(self, call: Call) -> None:
        """A watch that has fallen silent is broken: it is opened anew at once, as the pages ask."""
        self.service.log("list_silent", version=self.version, wait=call.wait // 10)
        self.call_again(call, 0)

    def call_again(self, call: Call, wait: int) -> None:
        if call is self.call:
            self.call = None
            self.ask(wait)

    def call_lost(self, call: Call, why: str) -> None:
        if call is self.call:
            self.failed(why)

    def failed(self, why: str) -> None:
        out = 0 if self.call is None else self.call.out
        self.close()
        self.following = False
        self.service.list_failed(why, out, self.in_turn)

    def close(self) -> None:
        if self.call is not None:
            self.call.due.cancel()
            self.call.close()
            self.call = None
