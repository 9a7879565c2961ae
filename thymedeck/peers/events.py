"""Events passed to the membership logic and the actions it returns. Times are tenths of a millisecond."""

from msgspec import Struct

from .messages import Message, SessionCounts

# Events


class Tick(Struct):
    """Comes every TICK; a late tick shows that this process was stalled."""


class MessageReceived(Struct):
    """A message whose digest was verified, with the size of its datagram."""

    message: Message
    size: int


class CountsUpdated(Struct):
    """This balancer's current counts; their version is assigned by the receiver of the event."""

    counts: SessionCounts


class ShutdownStarted(Struct):
    """This balancer was told to stop."""


class ReceiveOverflow(Struct):
    """More datagrams came than the rate limit admits, so messages of peers may be among the unread ones."""


Event = Tick | MessageReceived | CountsUpdated | ShutdownStarted | ReceiveOverflow

# Actions


class Send(Struct):
    address: str
    message: Message


class Log(Struct):
    text: str


Action = Send | Log
