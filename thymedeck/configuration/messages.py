"""Messages between keepers and followers, and the events and actions of their state machines.

A keeper is a replica of the configuration register, a follower runs on a balancer and applies what is
committed. Nothing here does I/O or reads a clock. Times are whole tenths of a millisecond. Versions are
numbered from 1; 0 stands for the state before the first version.
"""

from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

import msgspec
from msgspec import Struct

SECOND = 10_000
NO_BALLOT = (0, 0)

Ballot = tuple[int, int]  # round number, then index of the proposing keeper


class Version(Struct, array_like=True, frozen=True):
    """One value of the register."""

    number: int = 0
    content: bytes = b""
    rollback_content: bytes = b""  # what a withdrawal of this version restores; empty: not withdrawable
    withdrawn_number: int = 0  # number of the version that this one withdraws; 0: none


# Between keepers


class Prepare(Struct, array_like=True, frozen=True, tag=0):
    ballot: Ballot


class Promise(Struct, array_like=True, frozen=True, tag=1):
    """Answers a Prepare with the version accepted last and the ballot in which that happened."""

    ballot: Ballot
    accepted_ballot: Ballot
    accepted_version: Version


class Accept(Struct, array_like=True, frozen=True, tag=2):
    ballot: Ballot
    version: Version


class Accepted(Struct, array_like=True, frozen=True, tag=3):
    ballot: Ballot


class Nack(Struct, array_like=True, frozen=True, tag=4):
    """Rejects a Prepare or an Accept because a higher ballot has been promised."""

    ballot: Ballot
    promised_ballot: Ballot


class Committed(Struct, array_like=True, frozen=True, tag=5):
    version: Version


class ReadRequest(Struct, array_like=True, frozen=True, tag=6):
    """Asks for the last committed version and passes on what the sender's followers reported."""

    nonce: int
    committed_number: int  # last version that the sender knows to be committed
    reports: list[tuple[str, int, int]] = []  # per follower: name, applied number, refused number


class ReadResponse(Struct, array_like=True, frozen=True, tag=7):
    nonce: int
    committed_number: int  # last version that the responder knows to be committed
    accepted_number: int  # last version that the responder has accepted, committed or not
    version: Version | None = None  # the committed one, if newer than the requester's


# Between followers and keepers


class Poll(Struct, array_like=True, frozen=True, tag=8):
    """Asks a keeper for the committed version. The transport identifies the sender."""

    nonce: int
    applied_number: int
    refused_number: int  # last version that the follower's validation refused; 0: none


class Update(Struct, array_like=True, frozen=True, tag=9):
    """Answers a Poll, or is pushed with nonce 0. A keeper that may be stale sends no version."""

    nonce: int
    is_fresh: bool
    number: int = 0
    content: bytes | None = None  # None: the follower has it, or it is in flight


Message = (
    Prepare | Promise | Accept | Accepted | Nack | Committed | ReadRequest | ReadResponse | Poll | Update
)
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message, strict=True).decode


# Events


class Received(NamedTuple):
    source: str
    message: Message


class Tick(NamedTuple):
    """The time given by `due_at` has been reached."""


class Change(NamedTuple):
    """An operator's change, a compare-and-set on version `base` so that it never undoes another change."""

    token: int  # returned in the ChangeResult
    base: int
    content: bytes


# Actions, performed in order: a Save must be durable before the next action begins


class Send(NamedTuple):
    target: str
    message: Message


class PersistentState(Struct, array_like=True, frozen=True):
    """The state of a keeper that must survive a restart."""

    promised_ballot: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    accepted_version: Version = Version()
    committed_version: Version = Version()


class Save(NamedTuple):
    state: PersistentState | Version


class Apply(NamedTuple):
    """Puts a version in force on the follower's balancer."""

    number: int
    content: bytes


class Log(NamedTuple):
    event: str
    fields: dict[str, int | str]


class Outcome(IntEnum):
    COMMITTED = 0
    INVALID = 1  # validation failed; never proposed
    CONFLICT = 2  # `base` is not the last version
    NOT_COMMITTED = 3  # no majority was reached, and this change can no longer be committed
    # The change may be committed or not: no majority answered in time, or a later version is committed.
    UNKNOWN = 4


class ChangeResult(NamedTuple):
    """Answers an operator's change; `number` is the last version that the keeper knows to be committed."""

    token: int
    outcome: Outcome
    number: int


Event = Received | Tick | Change
Action = Send | Save | Apply | Log | ChangeResult


class ValidationFailure(NamedTuple):
    """The entry that makes a content unusable, and why."""

    entry: str
    reason: str


Validator = Callable[[bytes], ValidationFailure | None]


class Parameters(Struct, frozen=True):
    """Timing of the protocol; the names are those of the settings."""

    # From the commit of a version until every follower has applied it; violations are logged.
    in_force_within: int = 3 * SECOND
    ask_every: int = SECOND  # interval at which a follower polls one keeper
    answer_within: int = SECOND * 3 // 10  # timeout of a poll
    read_every: int = SECOND // 2  # interval at which a keeper reads from all other keepers
    fresh_for: int = SECOND * 3 // 2  # how long a keeper may send versions after it sent a quorum read
    give_up_after: int = 10 * SECOND  # after this a change that is not committed is given up
    refusers: int = 3  # followers that have to refuse a version before it is withdrawn
