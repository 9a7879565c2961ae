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


class Deaf(Struct):
    """More came than may be looked at: what the peers sent may be among what was not read."""


Event = Tick | Came | Counted | Leaving | Deaf

# Actions


class Send(Struct):
    address: str
    message: Message


class Log(Struct):
    text: str


Action = Send | Log
