"""The messages of the simulator's protocol, with its own field names and units.

Only this module and benchlink know them; the rest of the package uses the types of `interface`.
"""

from msgspec import Struct

from .settings import Settings

# Values of `UpdateOf.what`
UPDATE_LOAD = 1
UPDATE_DELAY = 2  # the amount is in milliseconds


class RegistryMember(Struct):
    """A server in the registry's list."""

    server: int
    region_part: int = 0  # the zone
    generation_hw: int = -1  # the machine kind; -1: unknown
    group: int = 0  # the cell
    readiness: str = "ready"
    share: float = 1.0  # the weight
    boot_time_us: int = 0


class Provision(Struct, tag_field="t", tag="PROVISION"):
    """Starts the balancer instance `i`."""

    i: int
    rng_seed: int
    env: Settings


class Kill(Struct, tag_field="t", tag="KILL"):
    """Removes the balancer instance `i`, with all its state."""

    i: int


class Registry(Struct, tag_field="t", tag="REGISTRY"):
    """The server list or changes of it, or a failed request for it."""

    i: int
    how: str
    members: list[RegistryMember] = []


class Accept(Struct, tag_field="t", tag="ACCEPT"):
    """A new session has arrived."""

    i: int
    req: int
    type: int  # index of the listener
    budget_us: int
    partition_key: str | None = None  # the subject
    work_us: float | None = None  # the load hint
    mid_flow: bool = False


class AlreadyOpen(Struct, tag_field="t", tag="ALREADY_OPEN"):
    """A session that was open on a server before this balancer started."""

    i: int
    req: int
    server: int
    type: int
    partition_key: str | None = None  # the subject
    work_us: float | None = None  # the load hint


class Hangup(Struct, tag_field="t", tag="HANGUP"):
    """The client ended the session."""

    i: int
    req: int


class HeadReceived(Struct, tag_field="t", tag="HEAD_RECEIVED"):
    """A server accepted the session."""

    i: int
    req: int
    server: int
    duration_us: int = 0


class ClosedAttempt(Struct, tag_field="t", tag="CLOSED_ATTEMPT"):
    """A dial ended."""

    i: int
    req: int
    server: int
    disposition: str
    complete: bool = False  # the session is over as well
    stats: list[float] | None = None  # in the order of `Report.fields`


class UpdateOf(Struct, tag_field="t", tag="UPDATE_OF"):
    """A measurement of an open session: its load or the time that a message takes."""

    i: int
    req: int
    server: int
    what: int
    amount: float


class Echo(Struct, tag_field="t", tag="ECHO"):
    """A probe was answered or failed."""

    i: int
    server: int
    disposition: str
    stats: list[float] | None = None  # in the order of `Report.fields`


class Wake(Struct, tag_field="t", tag="WAKE"):
    """A timer set with SCHEDULE expired; the label is the one given there."""

    i: int
    label: str


class FromPeer(Struct, tag_field="t", tag="FROM_PEER"):
    """A message from another balancer. It is ignored."""

    i: int


AnyEvent = (
    Provision | Kill | Registry | Accept | AlreadyOpen | Hangup | HeadReceived | ClosedAttempt | UpdateOf
    | Echo | Wake | FromPeer
)  # fmt: skip


class EventHeader(Struct):
    """The fields that events of every kind have: the tag and the balancer instance."""

    t: str
    i: int
