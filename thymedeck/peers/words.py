"""What the decisions on peers are told and what they answer. Times are whole tenths of a millisecond."""

from msgspec import Struct

from .messages import Counts, Message

# Events


class Tick(Struct):
    """Comes every TICK; how late it comes tells how late everything here is."""


class Came(Struct):
    """A message whose digest was right, and where it came from."""

    message: Message
    size: int


class Counted(Struct):
    """The own counts as they stand; their version is given here."""

    counts: Counts


class Leaving(Struct):
    """This balancer was told to stop."""


Event = Tick | Came | Counted | Leaving

# Actions


class Send(Struct):
    address: str
    message: Message


class Log(Struct):
    text: str


Action = Send | Log
