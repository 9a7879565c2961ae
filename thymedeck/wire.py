"""The simulator's messages as they stand on the wire. Its names and units end in this file and benchlink."""

from msgspec import Struct

from .settings import Settings

NOTE_LOAD = 1
NOTE_DELAY = 2


class Entry(Struct):
    server: int
    region_part: int = 0
    generation_hw: int = -1
    group: int = 0
    readiness: str = "ready"
    share: float = 1.0
    boot_time_us: int = 0


class Provision(Struct, tag_field="t", tag="PROVISION"):
    i: int
    rng_seed: int
    env: Settings


class Kill(Struct, tag_field="t", tag="KILL"):
    i: int


class Registry(Struct, tag_field="t", tag="REGISTRY"):
    i: int
    how: str
    members: list[Entry] = []


class Accept(Struct, tag_field="t", tag="ACCEPT"):
    i: int
    req: int
    type: int
    budget_us: int
    partition_key: str | None = None
    work_us: float | None = None
    mid_flow: bool = False


class AlreadyOpen(Struct, tag_field="t", tag="ALREADY_OPEN"):
    i: int
    req: int
    server: int
    type: int
    partition_key: str | None = None
    work_us: float | None = None


class Hangup(Struct, tag_field="t", tag="HANGUP"):
    i: int
    req: int


class HeadReceived(Struct, tag_field="t", tag="HEAD_RECEIVED"):
    i: int
    req: int
    server: int
    duration_us: int = 0


class ClosedAttempt(Struct, tag_field="t", tag="CLOSED_ATTEMPT"):
    i: int
    req: int
    server: int
    disposition: str
    complete: bool = False
    stats: list[float] | None = None


class UpdateOf(Struct, tag_field="t", tag="UPDATE_OF"):
    i: int
    req: int
    server: int
    what: int
    amount: float


class Echo(Struct, tag_field="t", tag="ECHO"):
    i: int
    server: int
    disposition: str
    stats: list[float] | None = None


class Wake(Struct, tag_field="t", tag="WAKE"):
    i: int
    label: str


class FromPeer(Struct, tag_field="t", tag="FROM_PEER"):
    i: int


AnyEvent = (
    Provision | Kill | Registry | Accept | AlreadyOpen | Hangup | HeadReceived | ClosedAttempt | UpdateOf
    | Echo | Wake | FromPeer
)  # fmt: skip


class Heading(Struct):
    """What every event has, whatever its kind."""

    t: str
    i: int
