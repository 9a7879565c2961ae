"""Every way in which a connection can end, and what each means to the decisions."""

from enum import Enum, auto

from ..interface import Outcome


class Ending(Enum):
    # Of a server's connection before the session stands
    NO_SOCKET = auto()  # none could be opened here
    NOT_UP = auto()  # refused, or not up in time
    OVERTAKEN = auto()  # up, but by then its server was to get nothing new
    CUT_UNSENT = auto()  # broke or was given up before the line's last byte was written
    CUT_SENT = auto()  # broke or ended after that, with no answer
    GIVEN_UP = auto()  # no answer in time
    TURNED_AWAY = auto()
    ERRED = auto()  # the server's error, or an answer that is none
    # Of a standing session
    SERVED = auto()  # its server said that it is done
    SENT_AWAY = auto()  # its server asked the client to move
    SERVER_ENDED = auto()  # its server ended it and said nothing
    SERVER_BROKE = auto()
    MOVED = auto()  # by us
    MOVE_OVERDUE = auto()  # cut off: its server's line did not end, so that MOVE could not be said
    # Of the client's side
    CLIENT_LEFT = auto()
    CLIENT_BROKE = auto()
    ANSWERED = auto()  # with a refusal or a failure
    MALFORMED = auto()
    IDLE = auto()  # no line came
    PUSHED_OUT = auto()  # to leave sockets to others
    STOPPED = auto()  # this balancer ends


OUTCOMES = {
    Ending.NO_SOCKET: Outcome.UNSENT,
    Ending.NOT_UP: Outcome.UNREACHABLE,
    Ending.OVERTAKEN: Outcome.UNSENT,
    Ending.CUT_UNSENT: Outcome.UNREACHABLE,
    Ending.CUT_SENT: Outcome.RESET,
    Ending.GIVEN_UP: Outcome.OVERDUE,
    Ending.TURNED_AWAY: Outcome.FULL,
    Ending.ERRED: Outcome.ERROR,
    Ending.SERVED: Outcome.ENDED,
    Ending.SENT_AWAY: Outcome.SENT_AWAY,
    Ending.SERVER_ENDED: Outcome.RESET,
    Ending.SERVER_BROKE: Outcome.RESET,
    Ending.MOVED: Outcome.CANCELLED,
    Ending.MOVE_OVERDUE: Outcome.CANCELLED,
    Ending.CLIENT_LEFT: Outcome.CANCELLED,
    Ending.CLIENT_BROKE: Outcome.CANCELLED,
    Ending.ANSWERED: Outcome.CANCELLED,
    Ending.MALFORMED: Outcome.CANCELLED,
    Ending.IDLE: Outcome.CANCELLED,
    Ending.PUSHED_OUT: Outcome.CANCELLED,
    Ending.STOPPED: Outcome.CANCELLED,
}
