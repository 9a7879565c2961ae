"""What keepers and followers send one another, what happens to them and what they ask for. No I/O, no clock.

Times are whole tenths of a millisecond. Versions are numbered from 1; 0 is before the first.
"""

from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

import msgspec
from msgspec import Struct

SECOND = 10_000
NO_BALLOT = (0, 0)

Ballot = tuple[int, int]  # of the round, and of the keeper that began it


class Version(Struct, array_like=True, frozen=True):
    number: int = 0
    content: bytes = b""
    previous: bytes = b""  # what a withdrawal puts in force again; empty: nothing does
    withdraws: int = 0  # the number of the version that this one takes back; 0: none


# Between keepers


class Prepare(Struct, array_like=True, frozen=True, tag=0):
    ballot: Ballot


class Promise(Struct, array_like=True, frozen=True, tag=1):
    ballot: Ballot
    accepted_in: Ballot
    accepted: Version


class Accept(Struct, array_like=True, frozen=True, tag=2):
    ballot: Ballot
    version: Version


class Accepted(Struct, array_like=True, frozen=True, tag=3):
    ballot: Ballot


class Refusal(Struct, array_like=True, frozen=True, tag=4):
    ballot: Ballot
    promised: Ballot


class Committed(Struct, array_like=True, frozen=True, tag=5):
    version: Version


class Read(Struct, array_like=True, frozen=True, tag=6):
    nonce: int
    number: int  # of the last version that the asker knows to be committed
    reports: list[tuple[str, int, int]] = []  # of its own followers: name, in force, refused


class ReadAnswer(Struct, array_like=True, frozen=True, tag=7):
    nonce: int
    number: int  # committed, as the answerer knows
    accepted: int  # number of the version that it has accepted, committed or not
    version: Version | None = None  # where the asker's is older


# Between followers and keepers


class Ask(Struct, array_like=True, frozen=True, tag=8):
    """Who asks is told by the transport."""

    nonce: int
    in_force: int
    refused: int  # the last number that the follower's check refused; 0: none


class Tell(Struct, array_like=True, frozen=True, tag=9):
    """`nonce` 0: nobody asked. From a keeper that may be stale: no version at all."""

    nonce: int
    is_fresh: bool
    number: int = 0
    content: bytes | None = None  # None: the asker has it


Message = Prepare | Promise | Accept | Accepted | Refusal | Committed | Read | ReadAnswer | Ask | Tell
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message, strict=True).decode


# Events


class Came(NamedTuple):
    source: str
    message: Message


class Tick(NamedTuple):
    """The time that `due` names has come."""


class Change(NamedTuple):
    """Wanted by an operator, made on the version `base`: a compare-and-set, so no other change is undone."""

    token: int
    base: int
    content: bytes


# Actions, to be done in their order: a Save is on the disk before what comes after it is begun


class Send(NamedTuple):
    target: str
    message: Message


class Stored(Struct, array_like=True, frozen=True):
    """What a keeper may not forget."""

    promised: Ballot = NO_BALLOT
    accepted_in: Ballot = NO_BALLOT
    accepted: Version = Version()
    committed: Version = Version()


class Save(NamedTuple):
    state: Stored | Version


class Apply(NamedTuple):
    """The follower's balancer has this in force from now on."""

    number: int
    content: bytes


class Log(NamedTuple):
    event: str
    fields: dict[str, int | str]


class Outcome(IntEnum):
    COMMITTED = 0
    UNFIT = 1  # refused by the check, never proposed
    OUTDATED = 2  # made on a version that is not the last
    NOT_COMMITTED = 3  # no majority was reached, and never will be for this one
    UNKNOWN = 4  # no majority answered in time: it may still be committed


class Answer(NamedTuple):
    """To the operator; `number` is of the last committed version that the keeper knows."""

    token: int
    outcome: Outcome
    number: int


Event = Came | Tick | Change
Action = Send | Save | Apply | Log | Answer


class Unfit(NamedTuple):
    """Why a content can't be put in force."""

    entry: str
    reason: str


Check = Callable[[bytes], Unfit | None]


class Bounds(Struct, frozen=True):
    in_force_within: int = 3 * SECOND  # of a commit, everywhere; what is not is told
    ask_every: int = SECOND  # by a follower, of one keeper
    answer_within: int = SECOND * 3 // 10
    read_every: int = SECOND // 2  # by a keeper, of all others
    fresh_for: int = SECOND * 3 // 2  # of a keeper's last read
    give_up_after: int = 10 * SECOND  # on a change
    refusers: int = 3  # followers whose check refuses a version until it is withdrawn
