"""The clients' side: the listening socket, and each client's connection from its first line to its end."""

import errno
import socket
from typing import TYPE_CHECKING

from .connection import Connection
from .endings import Ending
from .lines import Garbled, first_line
from .loop import LATE, READ
from .servers import Dialled

if TYPE_CHECKING:
    from .service import Service

FIRST_LINE_WITHIN = 20_000  # from being taken in, whatever PINGs come before it
MOST_PINGS = 8
FULL_PAUSE = 500  # nothing is taken in for so long when there are no sockets left
LINGER = 10_000  # the other side gets so long to read the last bytes
BAD_LINGER = 3_000  # and so long if it speaks something else
HALF_OPEN = 50_000  # a connection with one side ended is kept so long
MOVE_WITHIN = 30_000  # for a line to end, so that MOVE comes between two: a silent server is borne as long
BACKLOG = 512
AT_ONCE = 32  # connections taken in before others have their turn


class Door:
    """The listening socket."""

    def __init__(self, service: "Service", address: tuple[str, int]) -> None:
        self.service = service
        self.sock = service.loop.system.listen(address, BACKLOG)
        self.sock.setblocking(False)
        self.mask = 0
        self.is_open = True
        self.await_clients()

    def await_clients(self) -> None:
        if self.is_open:
            self.service.loop.watch(self.sock, self.mask, READ, self)
            self.mask = READ

    def ready(self, mask: int) -> None:
        self.take_some()

    def take_some(self) -> bool:
        """Whether more may wait."""
        for _ in range(AT_ONCE):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return False
            except (InterruptedError, ConnectionError):
                continue
            except OSError as why:
                # Guards against spinning on a connection that can't be taken in for want of sockets.
                if why.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.service.log("no_sockets")
                    self.service.loop.watch(self.sock, self.mask, 0, self)
                    self.mask = 0
                    self.service.loop.after(FULL_PAUSE, self.await_clients)
                return False
            self.take_in(sock)
        return True

    def take_in(self, sock: socket.socket) -> None:
        loop = self.service.loop
        self.service.make_room(loop.reserve)
        client = Client(self.service, sock)
        if loop.free < loop.reserve:
            client.answer(b"BUSY\r\n", Ending.PUSHED_OUT)
        elif loop.waited() > LATE:
            client.read()  # so that what waited with it is known to have waited

    def close(self) -> None:
        if self.is_open:
            self.service.loop.watch(self.sock, self.mask, 0, self)
            self.is_open = False
            self.sock.close()


class Client(Connection):
    def __init__(self, service: "Service", sock: socket.socket) -> None:
        super().__init__(service.loop, sock)
        self.service = service
        self.words: list[bytes] = []  # of its first line, without `d`
        self.sess = -1
        self.fixed = -1  # the server at which it stood before, if any
        self.fixed_until = 0
        self.dial: Dialled | None = None
        self.standing = False
        self.moving = False
        self.done = False
        self.asked_at = -1  # when the first line went on that nothing has come back for
        self.pings = 0
        self.answer_by = 0  # once its line has come
        self.due = self.loop.after(FIRST_LINE_WITHIN, self.no_line)
        service.connected[self] = None
        service.loose[self] = None
        self.await_more()

    # Before the session stands

    def no_line(self) -> None:
        if self.inbound.held:
            # Guards against a reset of what is just becoming a session: the line's end may be on its way.
            self.answer(b"BUSY\r\n", Ending.IDLE)
        else:
            self.finish(Ending.IDLE)

    def on_bytes(self, count: int) -> None:
        if self.standing:
            if self.asked_at < 0:
                self.asked_at = self.loop.now()
            self.dial.flush()
            return
        if self.done:
            return
        if self.words:
            # Guards against a peer that sends command after command: a client waits for its answer.
            self.answer(b"ERR wait for the answer\r\n", Ending.MALFORMED)
            return
        try:
            while not self.words and not self.done and (line := first_line(self.inbound)) is not None:
                self.inbound.skip(len(line))
                self.take_line(line.rstrip(b"\r\n"))
        except Garbled:
            self.answer(b"ERR line too long\r\n", Ending.MALFORMED)

    def take_line(self, line: bytes) -> None:
        if line != b"PING":
            self.due.cancel()
            self.service.opened(self, line)
        elif self.service.is_able and self.pings < MOST_PINGS:
            self.pings += 1
            self.say(b"PONG\r\n")
        else:
            self.finish(Ending.IDLE)

    def dial_line(self, limit: int) -> bytes:
        """The client's line with the limit of this dial, in whole milliseconds, as its `d`."""
        verb, ident, key, figures = self.words
        return b"%s %s %s %s\r\n" % (verb, ident, key, figures.replace(b"\0", b"%d" % (limit // 10)))

    # Answers

    def await_answer(self, wait: int) -> None:
        """Guards against a fault that would leave a client with no answer at all."""
        self.due = self.loop.after(wait, self.unanswered)
        self.answer_by = self.due.at

    def unanswered(self) -> None:
        if not self.standing:
            self.service.log("unanswered", sess=self.sess)
            self.answer(b"ERR no answer in time\r\n", Ending.ANSWERED)

    def answer(self, line: bytes, ending: Ending) -> None:
        """A final answer other than a server's; then the connection ends."""
        if self.done:
            return
        self.say(line)
        self.finish(ending, linger=True)

    # From the first line of the server on

    def stand(self, dial: Dialled) -> None:
        """From here on the rings are shared: what the one reads the other writes."""
        self.standing = True
        self.due.cancel()
        self.outbound = dial.inbound
        dial.outbound = self.inbound
        self.partner, dial.partner = dial, self
        if self.inbound.held:
            self.asked_at = self.loop.now()
            dial.flush()

    def answered(self) -> None:
        if self.asked_at >= 0:
            self.service.message_took(self.dial.server, self.loop.now() - self.asked_at)
        self.asked_at = -1

    def on_emptied(self) -> None:
        if self.moving:
            self.move()
        elif self.standing:
            self.settle()

    def move(self) -> None:
        """Sends MOVE between two lines and ends both sides."""
        if self.done or not self.standing:
            return
        if not self.moving:
            self.moving = True
            self.due.cancel()
            self.due = self.loop.after(MOVE_WITHIN, self.move_overdue)
        if self.put_move():
            self.moving = False
            self.dial.deaf = True  # the shared ring takes nothing more from the server
            self.finish(Ending.MOVED, linger=True)

    def put_move(self) -> bool:
        return self.dial.lines.between and self.outbound.put(b"MOVE\r\n")

    def move_overdue(self) -> None:
        self.finish(Ending.MOVE_OVERDUE)

    def server_ended(self, word: Ending) -> None:
        """The server has ended its sending, so do we once all is passed on."""
        self.service.session_over(self, word)
        self.end_sending()
        self.half_open()

    def half_open(self) -> None:
        """One side has ended: the other may go on for a while."""
        self.moving = False
        self.due.cancel()
        self.due = self.loop.after(HALF_OPEN, self.close_both)
        self.settle()

    def settle(self) -> None:
        if self.heard_end and self.dial.heard_end and not self.outbound.held:
            self.close_both()

    def server_broke(self, word: Ending) -> None:
        """Guards against clients that wait long after a break: they are asked to move, between two lines."""
        self.service.session_over(self, word)
        self.dial.close()
        if word is Ending.SERVER_BROKE and self.put_move():
            self.finish(word, linger=True)
        else:
            self.flush()
            self.close_both(reset=True)

    def on_end(self) -> None:
        if self.done:
            self.close_both()
        elif not self.standing:
            self.finish(Ending.CLIENT_LEFT)
        else:
            self.service.session_over(self, Ending.CLIENT_LEFT)
            self.dial.end_sending()
            self.half_open()

    def on_broken(self) -> None:
        if self.done:
            self.close_both()  # else the loop would be told of it over and over
            return
        if self.standing:
            self.service.session_over(self, Ending.CLIENT_BROKE)
            self.dial.close(reset=True)
        self.finish(Ending.CLIENT_BROKE)

    def close_both(self, reset: bool = False) -> None:
        self.done = True
        if self.dial is not None:
            self.dial.close()
        self.close(reset)

    def finish(self, ending: Ending, linger: bool = False) -> None:
        """Ends the session's client side; told to the decisions if they still hold it."""
        if self.done:
            return
        self.done = True
        self.due.cancel()
        self.service.client_over(self, ending)
        if linger and self.open:
            # Guards against a reset that overtakes the last line when the client's next bytes come.
            self.deaf = True
            # Guards against work for what such a peer goes on sending at full speed: it is not read.
            self.mute = ending is Ending.MALFORMED
            self.partner = None
            self.service.loose[self] = None
            self.due = self.loop.after(BAD_LINGER if self.mute else LINGER, self.close)
            self.end_sending()
        else:
            self.close()

    def close(self, reset: bool = False) -> None:
        self.due.cancel()
        self.service.loose.pop(self, None)
        self.service.connected.pop(self, None)
        super().close(reset)
