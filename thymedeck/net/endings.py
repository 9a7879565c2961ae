"""Every way in which a connection can end, and what each means to the decisions."""

from enum import Enum, auto

from ..interface import DialOutcome


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
    Ending.NO_SOCKET: DialOutcome.NOT_SENT,
    Ending.NOT_UP: DialOutcome.UNREACHABLE,
    Ending.OVERTAKEN: DialOutcome.NOT_SENT,
    Ending.CUT_UNSENT: DialOutcome.UNREACHABLE,
    Ending.CUT_SENT: DialOutcome.RESET,
    Ending.GIVEN_UP: DialOutcome.TIMED_OUT,
    Ending.TURNED_AWAY: DialOutcome.REJECTED,
    Ending.ERRED: DialOutcome.ERROR,
    Ending.SERVED: DialOutcome.COMPLETED,
    Ending.SENT_AWAY: DialOutcome.MOVED,
    Ending.SERVER_ENDED: DialOutcome.RESET,
    Ending.SERVER_BROKE: DialOutcome.RESET,
    Ending.MOVED: DialOutcome.CANCELLED,
    Ending.MOVE_OVERDUE: DialOutcome.CANCELLED,
    Ending.CLIENT_LEFT: DialOutcome.CANCELLED,
    Ending.CLIENT_BROKE: DialOutcome.CANCELLED,
    Ending.ANSWERED: DialOutcome.CANCELLED,
    Ending.MALFORMED: DialOutcome.CANCELLED,
    Ending.IDLE: DialOutcome.CANCELLED,
    Ending.PUSHED_OUT: DialOutcome.CANCELLED,
    Ending.STOPPED: DialOutcome.CANCELLED,
}
