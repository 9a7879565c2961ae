"""The graceful shutdown: accepts for a while longer, answers all, moves all sessions, then stops the loop.

Times are whole tenths of a millisecond.
"""

from typing import TYPE_CHECKING

from .endings import Ending

if TYPE_CHECKING:
    from .service import Service

ACCEPT_TIME = 5_000  # the front end keeps sending clients for a while after the stop signal
MAX_DIAL_TIMEOUT = 30_000  # the longest one that the platform waits for
KILL_DELAY = 7_000  # after the longest dial timeout, until the process may be killed
KILL_RESERVE = 3_000  # the process exits this long before it would be killed
MOVE_SPREAD = 10_000  # time over which all established sessions are moved
ANSWER_RESERVE = 5_000  # time after that for pending answers and unfinished lines
EMPTY_CHECK_INTERVAL = 200


class Shutdown:
    """The steps of the shutdown, and what they forbid the service from then on."""

    def __init__(self, service: "Service") -> None:
        self.service = service
        self.has_begun = False
        self.moves_new_sessions = False  # sessions are moved as soon as they are established
        self.is_closing = False  # nothing is dialled any more, final answers only
        self.deadline = 0

    def begin(self) -> None:
        if self.has_begun:
            return
        self.has_begun = True
        service = self.service
        longest = max(listener.dial_timeout for listener in service.deployment.listeners)
        time_left = min(longest, MAX_DIAL_TIMEOUT) + KILL_DELAY - KILL_RESERVE
        self.deadline = service.loop.now() + time_left
        service.log("stopping", sessions=len(service.sessions))
        service.loop.after(ACCEPT_TIME, self.stop_accepting)

    def stop_accepting(self) -> None:
        service, loop = self.service, self.service.loop
        if service.acceptor is not None:
            # Closing the listener resets connections left in the backlog, which may exceed one batch.
            while service.acceptor.accept_batch():
                pass
            service.acceptor.close()
        service.log("leaving", sessions=len(service.sessions))
        rest = max(self.deadline - loop.now() - ANSWER_RESERVE, 0)
        loop.after(max(rest - MOVE_SPREAD, 0), lambda: self.move_all(min(rest, MOVE_SPREAD)))
        loop.after(rest, self.answer_remaining)
        self.stop_when_empty()

    def move_all(self, span: int) -> None:
        """Runs as late as possible: another balancer may be restarting and not be able to take them yet."""
        clients = [client for client in self.service.sessions.values() if client.is_established]
        self.service.log("moving", sessions=len(clients))
        self.moves_new_sessions = True
        self.service.move_spread(span, clients)

    def answer_remaining(self) -> None:
        """Ends what is pending: dials fail from here on, and the policy gives up their sessions."""
        self.is_closing = True
        for client in list(self.service.connections):
            if client.is_established:
                client.move(at_once=True)
            elif client.dial is not None:
                client.dial.on_time_limit()
            elif client.session_id < 0:
                client.answer(b"BUSY\r\n", Ending.STOPPED)

    def stop_when_empty(self) -> None:
        """Stops the loop once all clients are gone or the time is up.

        Until then last bytes may still have to be sent, and OPEN lines may still be arriving.
        """
        service, loop = self.service, self.service.loop
        if service.connections and loop.now() < self.deadline:
            loop.after(EMPTY_CHECK_INTERVAL, self.stop_when_empty)
        else:
            for client in service.sessions.values():
                if client.is_established:
                    service.log_cut_off(client)
            loop.stop()
