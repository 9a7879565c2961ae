"""The keeper on a control machine: a register of the last version, replicated among all keepers.

Each change is a round of Paxos with a ballot of its own (Lamport, *Paxos made simple*, 2001) on one register
whose next value is made from its last (Rystsov, *CASPaxos: replicated state machines without logs*, 2018). A
version is committed once a majority has stored it. Only the last is in force anywhere, so no log is kept.

A read that n - majority + 1 keepers answer meets every majority (Howard and others, *Flexible Paxos*,
2016): who had that answer within `fresh_for`, and heard of no accepted version beyond its committed one, knew
the last committed one when it asked. Who had not tells no version.
"""

import random
from collections.abc import Callable, Sequence
from typing import Any

from msgspec import Struct

from .messages import (
    SECOND,
    Accept,
    Accepted,
    Action,
    Answer,
    Ask,
    Ballot,
    Bounds,
    Came,
    Change,
    Check,
    Committed,
    Event,
    Log,
    Message,
    Outcome,
    Prepare,
    Promise,
    Read,
    ReadAnswer,
    Refusal,
    Save,
    Send,
    Stored,
    Tell,
    Version,
)

ROUND_WITHIN = SECOND  # a ballot is given up after this
BACK_OFF = SECOND * 3 // 10  # until another is begun, by chance up to this
GROWS = 8  # times at the most, both of them: twice with each ballot that failed
SAY_AGAIN = SECOND // 10  # within a ballot, to those that have not answered
RECOVER_AFTER = (
    SECOND  # a version that is accepted and not known to be committed is proposed again after this
)
RECOVER_SPREAD = SECOND // 2  # and by chance up to this: not by all keepers at once
READS_KEPT = 4  # answers to older ones count for nothing
FORGET_AFTER = 2 * 3600 * SECOND  # a follower that is not heard of


class Wanted(Struct):
    """A change that waits for its commit. `token` -1: a withdrawal of our own."""

    token: int
    base: int
    content: bytes
    until: int
    withdraws: int = 0
    was_sent: bool = False  # an accept may have been stored somewhere


class Proposal(Struct):
    ballot: Ballot
    wanted: Wanted | None  # None: what is there is to be committed as it is
    until: int
    again_at: int
    promises: dict[str, tuple[Ballot, Version]]
    version: Version | None = None  # once a majority has promised
    accepted_by: set[str] = set()


class Report(Struct):
    """What a follower has in force, as it told a keeper."""

    at: int
    in_force: int
    refused: int
    sent: int = 0  # the last version that was sent to it
    sent_at: int = 0


class Keeper:
    def __init__(
        self, name: str, keepers: Sequence[str], bounds: Bounds, check: Check, seed: int, now: int,
        stored: Stored | None = None,
    ) -> None:  # fmt: skip
        """`keepers` are all of them, in an order that all have alike."""
        self.name = name
        self.index = keepers.index(name)
        self.others = [one for one in keepers if one != name]
        self.majority = len(keepers) // 2 + 1
        self.read_quorum = len(keepers) - self.majority + 1
        self.bounds = bounds
        self.check = check
        self.chance = random.Random(seed)
        self.state = stored or Stored()
        self.actions: list[Action] = []
        self.highest = self.state.promised  # ballot that was heard of
        self.proposal: Proposal | None = None
        self.wants: list[Wanted] = []
        self.begin_at = now  # no ballot before
        self.failed = 0  # ballots, one after the other
        self.in_doubt = 0  # number of a version that may be committed; at most the committed one: none
        self.recover_at = now
        self.reads: dict[int, tuple[int, set[str]]] = {}  # when it was asked, and who answered
        self.read_at = now
        self.fresh_at = -bounds.fresh_for - 1
        self.was_fresh: bool | None = None  # None: not told yet
        self.committed_at = now
        self.own: dict[str, Report] = {}  # of followers that ask this keeper
        self.fleet: dict[str, Report] = {}  # of all
        self.is_whole = True  # as last told
        self.handlers: dict[type, Callable[[int, str, Any], None]] = {
            Prepare: self.on_prepare,
            Promise: self.on_promise,
            Accept: self.on_accept,
            Accepted: self.on_accepted,
            Refusal: self.on_refusal,
            Committed: self.on_committed,
            Read: self.on_read,
            ReadAnswer: self.on_read_answer,
        }
        self.doubt(self.state.accepted.number, now)

    @property
    def committed(self) -> Version:
        return self.state.committed

    @property
    def due(self) -> int:
        times = [self.read_at]
        if self.proposal is not None:
            times.append(min(self.proposal.until, self.proposal.again_at))
        elif self.wants:
            times.append(self.begin_at)
        elif self.in_doubt > self.committed.number:
            times.append(max(self.begin_at, self.recover_at))
        return min(times)

    def is_fresh(self, now: int) -> bool:
        return now - self.fresh_at <= self.bounds.fresh_for

    def handle(self, now: int, event: Event) -> list[Action]:
        self.actions = []
        if isinstance(event, Came):
            self.take(now, event.source, event.message)
        elif isinstance(event, Change):
            self.on_change(now, event)
        if now >= self.read_at:
            self.read(now)
            self.look_at_fleet(now)
        self.go_on(now)
        return self.actions

    def take(self, now: int, source: str, message: Message) -> None:
        """Only a keeper is a keeper, whatever else somebody sends."""
        if isinstance(message, Ask):
            self.on_ask(now, source, message)
        elif source in self.others and type(message) in self.handlers:
            self.handlers[type(message)](now, source, message)

    def send(self, target: str, message: Message) -> None:
        self.actions.append(Send(target, message))

    def send_all(self, message: Message) -> None:
        for one in self.others:
            self.send(one, message)

    def log(self, event: str, **fields: int | str) -> None:
        self.actions.append(Log(event, fields))

    def save(self, **changed: Ballot | Version) -> None:
        held = {name: getattr(self.state, name) for name in Stored.__struct_fields__}
        self.state = Stored(**(held | changed))
        self.actions.append(Save(self.state))

    # Proposing

    def on_change(self, now: int, change: Change) -> None:
        unfit = self.check(change.content)
        if unfit is not None:
            self.log("configuration_unfit", entry=unfit.entry, reason=unfit.reason, base=change.base)
            self.actions.append(Answer(change.token, Outcome.UNFIT, self.committed.number))
            return
        until = now + self.bounds.give_up_after
        self.wants.append(Wanted(change.token, change.base, change.content, until))

    def go_on(self, now: int) -> None:
        """What is due of ballots."""
        if self.proposal is not None and now >= self.proposal.until:
            self.give_up_ballot(now)
        if self.proposal is not None and now >= self.proposal.again_at:
            self.say_again(now, self.proposal)
        for wanted in [one for one in self.wants if now >= one.until]:
            self.answer(wanted, Outcome.UNKNOWN if wanted.was_sent else Outcome.NOT_COMMITTED)
            if self.proposal is not None and self.proposal.wanted is wanted:
                self.give_up_ballot(now)
        if self.proposal is None and now >= self.begin_at:
            if self.wants:
                self.begin(now, self.wants[0])
            elif self.in_doubt > self.committed.number and now >= self.recover_at:
                self.begin(now, None)

    def begin(self, now: int, wanted: Wanted | None) -> None:
        ballot = (max(self.highest, self.state.promised)[0] + 1, self.index)
        self.save(promised=ballot)
        promises = {self.name: (self.state.accepted_in, self.state.accepted)}
        until = now + ROUND_WITHIN * min(1 << self.failed, GROWS)
        self.proposal = Proposal(ballot, wanted, until, now + SAY_AGAIN, promises)
        self.send_all(Prepare(ballot))

    def say_again(self, now: int, proposal: Proposal) -> None:
        """What was lost; whoever had it answers the same again."""
        proposal.again_at = now + SAY_AGAIN
        version = proposal.version
        message = Prepare(proposal.ballot) if version is None else Accept(proposal.ballot, version)
        for one in self.others:
            if one not in (proposal.promises if version is None else proposal.accepted_by):
                self.send(one, message)

    def give_up_ballot(self, now: int) -> None:
        self.proposal = None
        self.begin_at = now + 1 + self.chance.randrange(BACK_OFF * min(1 << self.failed, GROWS))
        self.failed = min(self.failed + 1, GROWS)

    def on_promise(self, now: int, source: str, promise: Promise) -> None:
        proposal = self.proposal
        if proposal is None or proposal.ballot != promise.ballot or proposal.version is not None:
            return
        proposal.promises[source] = (promise.accepted_in, promise.accepted)
        if len(proposal.promises) < self.majority:
            return
        if self.state.promised != proposal.ballot:  # to another's, since
            self.give_up_ballot(now)
            return
        last = max(proposal.promises.values(), key=lambda one: one[0])[1]
        proposal.version = self.next_version(proposal.wanted, last)
        proposal.accepted_by = {self.name}
        self.save(accepted_in=proposal.ballot, accepted=proposal.version)
        self.doubt(proposal.version.number, now)
        self.send_all(Accept(proposal.ballot, proposal.version))

    def next_version(self, wanted: Wanted | None, last: Version) -> Version:
        if wanted is None or last.number != wanted.base:
            return last
        wanted.was_sent = True
        # Guards against two contents put in force in turn for ever: a withdrawal is not withdrawn.
        previous = b"" if wanted.withdraws else self.good_of(last)
        return Version(last.number + 1, wanted.content, previous, wanted.withdraws)

    def good_of(self, last: Version) -> bytes:
        """What a withdrawal of the one after `last` goes back to."""
        refused = sum(one.refused == last.number for one in self.fleet.values())
        return last.previous if refused >= self.bounds.refusers else last.content

    def on_accepted(self, now: int, source: str, accepted: Accepted) -> None:
        proposal = self.proposal
        if proposal is None or proposal.ballot != accepted.ballot or proposal.version is None:
            return
        proposal.accepted_by.add(source)
        if len(proposal.accepted_by) < self.majority:
            return
        version = proposal.version
        self.proposal = None
        self.failed = 0
        self.begin_at = now
        self.learn(now, version)
        self.in_doubt = min(self.in_doubt, version.number)  # no ballot after this brings one that was beyond
        self.send_all(Committed(version))
        if proposal.wanted is not None:
            self.settle(proposal.wanted, version)

    def settle(self, wanted: Wanted, version: Version) -> None:
        if (version.number, version.content) == (wanted.base + 1, wanted.content):
            self.answer(wanted, Outcome.COMMITTED)
        elif wanted.was_sent and version.number > wanted.base + 1:
            self.answer(wanted, Outcome.UNKNOWN)  # ours may have come between
        else:
            self.answer(wanted, Outcome.OUTDATED)

    def answer(self, wanted: Wanted, outcome: Outcome) -> None:
        self.wants.remove(wanted)
        if wanted.token >= 0:
            self.actions.append(Answer(wanted.token, outcome, self.committed.number))

    def on_refusal(self, now: int, _: str, refusal: Refusal) -> None:
        self.highest = max(self.highest, refusal.promised)
        if self.proposal is not None and self.proposal.ballot == refusal.ballot:
            self.give_up_ballot(now)

    # Accepting

    def on_prepare(self, now: int, source: str, prepare: Prepare) -> None:
        state = self.state
        if prepare.ballot < state.promised:
            self.send(source, Refusal(prepare.ballot, state.promised))
            return
        # Guards against ballots of all keepers that end one another's: with 20 % lost that went on for 15 s.
        self.recover_later(now)
        self.save(promised=prepare.ballot)
        self.send(source, Promise(prepare.ballot, state.accepted_in, state.accepted))

    def on_accept(self, now: int, source: str, accept: Accept) -> None:
        if accept.ballot < self.state.promised:
            self.send(source, Refusal(accept.ballot, self.state.promised))
            return
        self.save(promised=accept.ballot, accepted_in=accept.ballot, accepted=accept.version)
        self.doubt(accept.version.number, now)
        self.send(source, Accepted(accept.ballot))

    def on_committed(self, now: int, _: str, committed: Committed) -> None:
        self.learn(now, committed.version)

    def doubt(self, number: int, now: int) -> None:
        """A version of this number is accepted somewhere: it may be committed."""
        if number > max(self.committed.number, self.in_doubt):
            self.in_doubt = number
            self.recover_later(now)

    def recover_later(self, now: int) -> None:
        self.recover_at = now + RECOVER_AFTER + self.chance.randrange(RECOVER_SPREAD)

    def learn(self, now: int, version: Version) -> None:
        """That it is committed."""
        if version.number <= self.committed.number:
            return
        self.save(committed=version)
        self.committed_at = now
        self.log("configuration_committed", number=version.number, withdraws=version.withdraws)
        if self.is_fresh(now):
            tell = Tell(0, True, version.number, version.content)
            for name, report in self.own.items():
                if now - report.at <= self.bounds.in_force_within and report.in_force < version.number:
                    report.sent, report.sent_at = version.number, now
                    self.send(name, tell)

    # Reading

    def read(self, now: int) -> None:
        self.read_at = now + self.bounds.read_every
        nonce = self.chance.getrandbits(48)
        self.reads[nonce] = (now, set())
        while len(self.reads) > READS_KEPT:
            del self.reads[next(iter(self.reads))]
        heard = [
            (name, one.in_force, one.refused)
            for name, one in self.own.items()
            if now - one.at <= self.bounds.read_every  # the others count what they hear as heard now
        ]
        self.send_all(Read(nonce, self.committed.number, heard))

    def on_read(self, now: int, source: str, read: Read) -> None:
        for name, in_force, refused in read.reports:
            held = self.fleet.get(name)
            if held is None or (in_force, refused) >= (held.in_force, held.refused):
                self.fleet[name] = Report(now, in_force, refused)
        version = self.committed if self.committed.number > read.number else None
        accepted = self.state.accepted.number
        self.send(source, ReadAnswer(read.nonce, self.committed.number, accepted, version))

    def on_read_answer(self, now: int, source: str, answer: ReadAnswer) -> None:
        if answer.version is not None:
            self.learn(now, answer.version)
        if answer.nonce not in self.reads:  # guards against what has waited somewhere for an hour
            return
        self.doubt(answer.accepted, now)
        beyond = max(answer.number, answer.accepted, self.state.accepted.number)
        if beyond > self.committed.number:
            return
        asked_at, answered = self.reads[answer.nonce]
        answered.add(source)
        if len(answered) + 1 >= self.read_quorum:
            self.fresh_at = max(self.fresh_at, asked_at)

    # Followers

    def on_ask(self, now: int, source: str, ask: Ask) -> None:
        report = Report(now, ask.in_force, ask.refused)
        if source in self.own:
            report.sent, report.sent_at = self.own[source].sent, self.own[source].sent_at
        self.own[source] = self.fleet[source] = report
        if not self.is_fresh(now):
            self.send(source, Tell(ask.nonce, False))
            return
        version = self.committed
        content = None
        # Guards against the bytes of two: what was sent unasked crossed the ask, or it is asked for again.
        under_way = report.sent == version.number and now - report.sent_at < self.bounds.answer_within
        if version.number > max(ask.in_force, ask.refused) and not under_way:
            content = version.content
            report.sent, report.sent_at = version.number, now
        self.send(source, Tell(ask.nonce, True, version.number, content))

    def look_at_fleet(self, now: int) -> None:
        fresh = self.is_fresh(now)
        if fresh != self.was_fresh:
            self.was_fresh = fresh
            self.log("keeper_fresh" if fresh else "keeper_stale", number=self.committed.number)
        for kept in (self.own, self.fleet):
            for name in [name for name, one in kept.items() if now - one.at > FORGET_AFTER]:
                del kept[name]
        if not fresh:
            return
        number = self.committed.number
        heard = [one for one in self.fleet.values() if now - one.at <= self.bounds.in_force_within]
        on = sum(one.in_force >= number for one in heard)
        refused = sum(one.refused == number for one in heard)
        self.withdraw(now, refused)
        if now - self.committed_at <= self.bounds.in_force_within:
            return
        if (on == len(self.fleet)) != self.is_whole:
            self.is_whole = not self.is_whole
            self.log(
                "configuration_whole" if self.is_whole else "configuration_split",
                number=number,
                in_force=on,
                refused=refused,
                behind=len(heard) - on - refused,
                unheard=len(self.fleet) - len(heard),
            )

    def withdraw(self, now: int, refused: int) -> None:
        version = self.committed
        if refused < self.bounds.refusers or not version.previous or self.wants:
            return
        self.log("configuration_withdrawn", number=version.number, refused=refused)
        until = now + self.bounds.give_up_after
        self.wants.append(Wanted(-1, version.number, version.previous, until, version.number))
        # Guards against the ballots of all keepers getting into one another's way.
        self.begin_at = max(self.begin_at, now + self.chance.randrange(BACK_OFF))
