"""The ways in which a connection can end, and the outcome that each means for the policy."""

from enum import Enum, auto

from ..interface import DialOutcome


class Ending(Enum):
    # Of a dial before the session is established
    NO_SOCKET = auto()  # no socket could be opened
    NOT_UP = auto()  # connection refused or timed out
    OVERTAKEN = auto()  # connected, but by then the server was draining or gone
    CUT_UNSENT = auto()  # broken or abandoned before the last byte of the OPEN line was written
    CUT_SENT = auto()  # broken or closed after that, without an answer
    GIVEN_UP = auto()  # no answer in time
    TURNED_AWAY = auto()  # the server answered BUSY
    ERRED = auto()  # the server answered with an error or with an invalid line
    # Of an established session
    SERVED = auto()  # the server sent BYE
    SENT_AWAY = auto()  # the server asked the client to move; may also be a dial's answer
    SERVER_ENDED = auto()  # the server closed without BYE or MOVE
    SERVER_BROKE = auto()
    MOVED = auto()  # by this balancer
    MOVE_OVERDUE = auto()  # cut off: the server's line did not end, so that MOVE could not be sent
    # Of the client's connection
    CLIENT_LEFT = auto()
    CLIENT_BROKE = auto()
    ANSWERED = auto()  # with a refusal or an error
    MALFORMED = auto()
    IDLE = auto()  # no OPEN line in time
    PUSHED_OUT = auto()  # evicted, to free its socket for others
    STOPPED = auto()  # this balancer shuts down


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
