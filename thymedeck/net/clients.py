"""The client side: the listening socket and the connection of each client.

Times are whole tenths of a millisecond.
"""

import errno
import socket
from typing import TYPE_CHECKING

from .connection import Connection
from .endings import Ending
from .lines import LineTooLong, peek_line
from .loop import READ, STALL_THRESHOLD
from .restored import RestoredSession
from .servers import DialConnection

if TYPE_CHECKING:
    from .service import Service

FIRST_LINE_TIMEOUT = 20_000  # after the accept; PINGs do not extend it
MAX_PINGS = 8
ACCEPT_PAUSE = 500  # without accepting, after the process ran out of descriptors
LINGER_TIMEOUT = 10_000  # for the client to read the last bytes
MALFORMED_LINGER_TIMEOUT = 3_000  # the same for a peer that speaks another protocol
UNSENT_TIMEOUT = 30_000  # for the client to take what is still to be sent when its session has ended
HALF_CLOSE_TIMEOUT = 50_000  # for the remaining direction of a half-closed connection
# For the server's unfinished line to end before MOVE; as long as SILENCE_TIMEOUT allows a silent server.
MOVE_TIMEOUT = 30_000
BACKLOG = 512
ACCEPT_BATCH = 32  # connections accepted in a row before other sockets are served


class Acceptor:
    """The listening socket for clients."""

    def __init__(self, service: "Service", address: tuple[str, int]) -> None:
        self.service = service
        self.sock = service.loop.system.listen(address, BACKLOG)
        self.sock.setblocking(False)
        self.mask = 0
        self.is_open = True
        self.resume_accepting()

    def resume_accepting(self) -> None:
        if self.is_open:
            self.service.loop.watch(self.sock, self.mask, READ, self)
            self.mask = READ

    def on_ready(self, mask: int) -> None:
        self.accept_batch()

    def accept_batch(self) -> bool:
        """Accepts up to ACCEPT_BATCH connections; returns whether more may wait."""
        for _ in range(ACCEPT_BATCH):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return False
            except (InterruptedError, ConnectionError):
                continue
            except OSError as error:
                # The socket stays readable while nothing can be accepted; polling it would be a busy loop.
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.service.log("no_sockets")
                    self.service.loop.watch(self.sock, self.mask, 0, self)
                    self.mask = 0
                    self.service.loop.after(ACCEPT_PAUSE, self.resume_accepting)
                return False
            self.add_client(sock)
        return True

    def add_client(self, sock: socket.socket) -> None:
        loop = self.service.loop
        self.service.evict_clients(loop.client_reserve)
        client = Client(self.service, sock)
        if loop.free_descriptors < loop.client_reserve:
            client.answer(b"BUSY\r\n", Ending.PUSHED_OUT)
        elif loop.max_unread_time() > STALL_THRESHOLD:
            client.read()  # now, so that the time its line waited during the stall is counted

    def close(self) -> None:
        if self.is_open:
            self.service.loop.watch(self.sock, self.mask, 0, self)
            self.is_open = False
            self.sock.close()


class Client(Connection):
    """A client's connection: waits for the OPEN line, then for a dial, then relays the session."""

    def __init__(self, service: "Service", sock: socket.socket) -> None:
        super().__init__(service.loop, sock)
        self.service = service
        self.open_words: list[bytes] = []  # words of the OPEN line, with b"\0" as the value of `d`
        self.session_id = -1
        self.restored: RestoredSession | None = None  # the session existed before this balancer started
        self.dial: DialConnection | None = None
        self.is_established = False
        self.is_moving = False
        self.is_finished = False
        self.unanswered_since = -1  # when the oldest unanswered line was passed on; -1: none
        self.ping_count = 0
        self.answer_deadline = 0  # set when the OPEN line has arrived
        self.timer = self.loop.after(FIRST_LINE_TIMEOUT, self.on_first_line_timeout)
        service.connections[self] = None
        service.evictable[self] = None
        self.update_events()

    # Before the session is established

    def on_first_line_timeout(self) -> None:
        if self.inbound.used:
            # The rest of the line may be on its way. After a plain close it would cause a reset, and what is
            # about to be a session would end without an answer.
            self.answer(b"BUSY\r\n", Ending.IDLE)
        else:
            self.finish(Ending.IDLE)

    def on_data(self, count: int) -> None:
        if self.is_established:
            if self.unanswered_since < 0:
                self.unanswered_since = self.loop.now()
            self.dial.flush()
            return
        if self.is_finished:
            return
        if self.open_words:
            # Clients must wait for the answer before they send more.
            self.answer(b"ERR wait for the answer\r\n", Ending.MALFORMED)
            return
        try:
            while (
                not self.open_words and not self.is_finished and (line := peek_line(self.inbound)) is not None
            ):
                self.inbound.discard(len(line))
                self.on_first_line(line.rstrip(b"\r\n"))
        except LineTooLong:
            self.answer(b"ERR line too long\r\n", Ending.MALFORMED)

    def on_first_line(self, line: bytes) -> None:
        if line != b"PING":
            self.timer.cancel()
            self.service.on_open_line(self, line)
        elif self.service.is_ready and self.ping_count < MAX_PINGS:
            self.ping_count += 1
            self.write(b"PONG\r\n")
        else:
            self.finish(Ending.IDLE)

    def open_line(self, time_limit: int) -> bytes:
        """The client's OPEN line with this dial's time limit, in whole milliseconds, as `d`."""
        verb, identifier, key, parameters = self.open_words
        return b"%s %s %s %s\r\n" % (
            verb,
            identifier,
            key,
            parameters.replace(b"\0", b"%d" % (time_limit // 10)),
        )

    # Answers

    def start_answer_timer(self, wait: int) -> None:
        """Starts the timer that answers the client if, because of a fault, nothing else has by then."""
        self.timer = self.loop.after(wait, self.on_answer_timeout)
        self.answer_deadline = self.timer.expires_at

    def on_answer_timeout(self) -> None:
        if not self.is_established:
            self.service.log("unanswered", sess=self.session_id)
            self.answer(b"ERR no answer in time\r\n", Ending.ANSWERED)

    def answer(self, line: bytes, ending: Ending) -> None:
        """Sends a final answer of the balancer's own and ends the connection."""
        if self.is_finished:
            return
        self.write(line)
        self.finish(ending, linger=True)

    # The established session

    def on_established(self, dial: DialConnection) -> None:
        """Starts relaying: the connections share ring buffers, so that what one reads the other writes."""
        self.is_established = True
        self.timer.cancel()
        self.outbound = dial.inbound
        dial.outbound = self.inbound
        self.partner, dial.partner = dial, self
        if self.inbound.used:
            self.unanswered_since = self.loop.now()
            dial.flush()

    def on_server_line(self) -> None:
        if self.unanswered_since >= 0:
            self.service.add_delay_sample(self.dial.server, self.loop.now() - self.unanswered_since)
        self.unanswered_since = -1

    def on_server_data(self, has_line_ended: bool) -> None:
        """Passes on what was read from the server, with MOVE, if it is due, behind the last line end."""
        if self.is_moving and has_line_ended:
            self.complete_move()
        self.flush()

    def on_output_flushed(self) -> None:
        if self.is_finished and self.received_eof:
            self.close_both()
        elif self.is_finished:
            self.start_linger()
        elif self.is_established:
            self.close_if_complete()

    def move(self, at_once: bool = False) -> None:
        """Asks the client to reconnect: sends MOVE between two lines of the server and ends both sides.

        A line that the server has begun is awaited and passed on first. `at_once` drops it, if no part of it
        was passed on.
        """
        if self.is_finished or not self.is_established:
            return
        if not self.is_moving:
            self.is_moving = True
            self.timer.cancel()
            self.timer = self.loop.after(MOVE_TIMEOUT, self.on_move_timeout)
        if at_once or not self.dial.line_splitter.partial_length:
            self.complete_move()

    def complete_move(self) -> None:
        if self.try_send_move():
            self.is_moving = False
            self.dial.discards_input = True  # the shared buffer takes nothing more from the server
            self.flush()
            self.finish(Ending.MOVED, linger=True)

    def try_send_move(self) -> bool:
        """Puts MOVE behind the server's last whole line; fails if part of the next line was sent already."""
        unfinished = self.dial.line_splitter.partial_length
        if unfinished > self.outbound.used:
            return False
        self.outbound.drop_last(unfinished)
        return self.outbound.append(b"MOVE\r\n")

    def end_with_move(self, ending: Ending) -> bool:
        """Asks the client to reconnect as its server has broken; returns whether MOVE could be sent."""
        if not self.try_send_move():
            return False
        self.finish(ending, linger=True)
        return True

    def on_move_timeout(self) -> None:
        self.complete_move()
        if not self.is_finished:
            self.service.log_cut_off(self)
            self.finish(Ending.MOVE_OVERDUE)

    def on_server_eof(self, ending: Ending) -> None:
        """The server has half-closed; the client's side follows once all bytes are passed on.

        A server that ends within a line, without BYE or MOVE, has broken: the client is asked to move, unless
        it has part of the line already or has half-closed itself.
        """
        self.service.on_session_ended(self, ending)
        has_broken = ending is Ending.SERVER_ENDED and self.dial.line_splitter.partial_length > 0
        if not (has_broken and not self.received_eof and self.end_with_move(ending)):
            self.shutdown_write()
            self.start_half_close()

    def start_half_close(self) -> None:
        """One direction has ended; the other may continue for a limited time."""
        self.is_moving = False
        self.timer.cancel()
        self.timer = self.loop.after(HALF_CLOSE_TIMEOUT, self.close_both)
        self.close_if_complete()

    def close_if_complete(self) -> None:
        if self.received_eof and self.dial.received_eof and not self.outbound.used:
            self.close_both()

    def on_server_lost(self, ending: Ending) -> None:
        """The server's connection is gone: if it broke between two lines, asks the client to move.

        Without MOVE the client might wait long before it notices the break.
        """
        self.service.on_session_ended(self, ending)
        self.dial.close()
        if not (ending is Ending.SERVER_BROKE and self.end_with_move(ending)):
            self.outbound.held = 0
            self.flush()
            self.close_both(reset=True)

    def on_eof(self) -> None:
        if self.is_finished:
            if not self.outbound.used:
                self.close_both()
        elif not self.is_established:
            self.finish(Ending.CLIENT_LEFT)
        else:
            self.service.on_session_ended(self, Ending.CLIENT_LEFT)
            self.dial.shutdown_write()
            self.start_half_close()

    def on_connection_lost(self) -> None:
        if self.is_finished:
            self.close_both()  # otherwise the selector would report the error again and again
            return
        if self.is_established:
            self.service.on_session_ended(self, Ending.CLIENT_BROKE)
            self.dial.close(reset=True)
        self.finish(Ending.CLIENT_BROKE)

    def close_both(self, reset: bool = False) -> None:
        self.is_finished = True
        if self.dial is not None:
            self.dial.close()
        self.close(reset)

    def finish(self, ending: Ending, linger: bool = False) -> None:
        """Ends the client's side and its session; `linger` lets the client read the last bytes first."""
        if self.is_finished:
            return
        self.is_finished = True
        self.timer.cancel()
        self.service.on_client_ended(self, ending)
        if linger and self.is_open:
            # Closing with unread input sends a reset, which could overtake the last line: input is discarded.
            self.discards_input = True
            # A peer that speaks another protocol may keep sending at full speed: it is not read at all.
            self.reading_disabled = ending is Ending.MALFORMED
            self.partner = None
            self.start_linger()
            self.shutdown_write()
        else:
            self.close()

    def start_linger(self) -> None:
        """Leaves the client time to read the last bytes; it may be evicted once all is sent."""
        self.timer.cancel()
        if self.outbound.used:
            timeout = UNSENT_TIMEOUT
        else:
            timeout = MALFORMED_LINGER_TIMEOUT if self.reading_disabled else LINGER_TIMEOUT
            self.service.evictable[self] = None
        self.timer = self.loop.after(timeout, self.close)

    def close(self, reset: bool = False) -> None:
        self.timer.cancel()
        self.service.evictable.pop(self, None)
        self.service.connections.pop(self, None)
        super().close(reset)
