"""The keeper on a control machine: one replica of the configuration register, which holds the last version.

Each change is a round of Paxos with a ballot of its own (Lamport, *Paxos made simple*, 2001) on one register
whose next value is made from its last (Rystsov, *CASPaxos: replicated state machines without logs*, 2018). A
version is committed once a majority has stored it. Only the last version is ever applied, so there is no log.

A read quorum of n - majority + 1 keepers intersects every majority (Howard and others, *Flexible Paxos*,
2016). An answer to a read counts only if neither keeper has accepted a version beyond the committed one that
the reader knows. A keeper that has a read quorum of such answers, itself included, knew the last committed
version when it sent that read. It is fresh for `fresh_for` from then on, and sends versions to followers only
while it is fresh.
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
    Ballot,
    Change,
    ChangeResult,
    Committed,
    Event,
    Log,
    Message,
    Nack,
    Outcome,
    Parameters,
    PersistentState,
    Poll,
    Prepare,
    Promise,
    ReadRequest,
    ReadResponse,
    Received,
    Save,
    Send,
    Update,
    Validator,
    Version,
)

BALLOT_TIMEOUT = SECOND
MAX_BACKOFF = SECOND * 3 // 10  # upper end of the random delay before the next ballot
MAX_GROWTH = 8  # both of the above double with each failed ballot, up to this factor
RESEND_INTERVAL = SECOND // 10  # of a ballot's message, to keepers that have not answered
RECOVERY_DELAY = SECOND  # after this an accepted version not known to be committed is proposed again
RECOVERY_JITTER = SECOND // 2  # random addition to it, so that not all keepers recover at once
MAX_PENDING_READS = 4  # answers to older reads are ignored
FORGET_FOLLOWER_AFTER = 2 * 3600 * SECOND  # without a report of it


class PendingChange(Struct):
    """A change that is not committed yet. `token` -1: a withdrawal that this keeper began."""

    token: int
    base: int
    content: bytes
    deadline: int
    withdrawn_number: int = 0
    is_proposed: bool = False  # an Accept for it may have been stored somewhere


class Proposal(Struct):
    """The ballot that this keeper is running."""

    ballot: Ballot
    change: PendingChange | None  # None: recovery, which commits the accepted version unchanged
    deadline: int
    resend_at: int
    promises: dict[str, tuple[Ballot, Version]]
    version: Version | None = None  # set once a majority has promised
    accepted_by: set[str] = set()


class FollowerReport(Struct):
    """What a follower has applied and refused, as reported to a keeper."""

    received_at: int
    applied_number: int
    refused_number: int
    sent_number: int = 0  # the last version sent to the follower
    sent_at: int = 0


class Keeper:
    """The state machine of one keeper: proposer, acceptor and learner, and server of its followers."""

    def __init__(
        self, name: str, keepers: Sequence[str], parameters: Parameters, validate: Validator, seed: int,
        now: int, saved_state: PersistentState | None = None,
    ) -> None:  # fmt: skip
        """`keepers` are the names of all keepers, in the same order on every machine."""
        self.name = name
        self.index = keepers.index(name)
        self.other_keepers = [keeper for keeper in keepers if keeper != name]
        self.majority = len(keepers) // 2 + 1
        self.read_quorum = len(keepers) - self.majority + 1
        self.parameters = parameters
        self.validate = validate
        self.rng = random.Random(seed)
        self.state = saved_state or PersistentState()
        self.actions: list[Action] = []
        self.highest_ballot = self.state.promised_ballot  # highest one seen
        self.proposal: Proposal | None = None
        self.pending_changes: list[PendingChange] = []
        self.next_ballot_at = now  # backoff: no ballot before this
        self.failed_ballots = 0  # consecutive
        # The number of an accepted version that may be committed; none if not above the committed number.
        self.in_doubt_number = 0
        self.recover_at = now
        self.pending_reads: dict[int, tuple[int, set[str]]] = {}  # nonce to send time and responders
        self.next_read_at = now
        self.fresh_at = -parameters.fresh_for - 1
        self.was_fresh: bool | None = None  # as last logged; None: not logged yet
        self.committed_at = now
        self.own_followers: dict[str, FollowerReport] = {}  # those that poll this keeper
        self.all_followers: dict[str, FollowerReport] = {}  # including those that other keepers reported
        self.is_converged = True  # as last logged
        self.handlers: dict[type, Callable[[int, str, Any], None]] = {
            Prepare: self.on_prepare,
            Promise: self.on_promise,
            Accept: self.on_accept,
            Accepted: self.on_accepted,
            Nack: self.on_nack,
            Committed: self.on_committed,
            ReadRequest: self.on_read_request,
            ReadResponse: self.on_read_response,
        }
        self.note_accepted(self.state.accepted_version.number, now)

    @property
    def committed_version(self) -> Version:
        return self.state.committed_version

    @property
    def due_at(self) -> int:
        times = [self.next_read_at]
        if self.proposal is not None:
            times.append(min(self.proposal.deadline, self.proposal.resend_at))
        elif self.pending_changes:
            times.append(self.next_ballot_at)
        elif self.in_doubt_number > self.committed_version.number:
            times.append(max(self.next_ballot_at, self.recover_at))
        return min(times)

    def is_fresh(self, now: int) -> bool:
        return now - self.fresh_at <= self.parameters.fresh_for

    def handle(self, now: int, event: Event) -> list[Action]:
        self.actions = []
        if isinstance(event, Received):
            self.on_message(now, event.source, event.message)
        elif isinstance(event, Change):
            self.on_change(now, event)
        if now >= self.next_read_at:
            self.send_read(now)
            self.check_convergence(now)
        self.advance_ballot(now)
        return self.actions

    def on_message(self, now: int, source: str, message: Message) -> None:
        """Messages between keepers are ignored unless they come from a configured keeper."""
        if isinstance(message, Poll):
            self.on_poll(now, source, message)
        elif source in self.other_keepers and type(message) in self.handlers:
            self.handlers[type(message)](now, source, message)

    def send(self, target: str, message: Message) -> None:
        self.actions.append(Send(target, message))

    def broadcast(self, message: Message) -> None:
        for keeper in self.other_keepers:
            self.send(keeper, message)

    def log(self, event: str, **fields: int | str) -> None:
        self.actions.append(Log(event, fields))

    def save(self, **changed: Ballot | Version) -> None:
        fields = {name: getattr(self.state, name) for name in PersistentState.__struct_fields__}
        self.state = PersistentState(**(fields | changed))
        self.actions.append(Save(self.state))

    # Proposer

    def on_change(self, now: int, change: Change) -> None:
        failure = self.validate(change.content)
        if failure is not None:
            self.log("configuration_unfit", entry=failure.entry, reason=failure.reason, base=change.base)
            self.actions.append(ChangeResult(change.token, Outcome.INVALID, self.committed_version.number))
            return
        deadline = now + self.parameters.give_up_after
        self.pending_changes.append(PendingChange(change.token, change.base, change.content, deadline))

    def advance_ballot(self, now: int) -> None:
        """Does what is due: timeouts of the ballot and of changes, resends, the next ballot."""
        if self.proposal is not None and now >= self.proposal.deadline:
            self.abandon_ballot(now)
        if self.proposal is not None and now >= self.proposal.resend_at:
            self.resend(now, self.proposal)
        for change in [pending for pending in self.pending_changes if now >= pending.deadline]:
            self.finish_change(change, Outcome.UNKNOWN if change.is_proposed else Outcome.NOT_COMMITTED)
            if self.proposal is not None and self.proposal.change is change:
                self.abandon_ballot(now)
        if self.proposal is None and now >= self.next_ballot_at:
            if self.pending_changes:
                self.start_ballot(now, self.pending_changes[0])
            elif self.in_doubt_number > self.committed_version.number and now >= self.recover_at:
                self.start_ballot(now, None)

    def start_ballot(self, now: int, change: PendingChange | None) -> None:
        ballot = (max(self.highest_ballot, self.state.promised_ballot)[0] + 1, self.index)
        self.save(promised_ballot=ballot)
        promises = {self.name: (self.state.accepted_ballot, self.state.accepted_version)}
        deadline = now + BALLOT_TIMEOUT * min(1 << self.failed_ballots, MAX_GROWTH)
        self.proposal = Proposal(ballot, change, deadline, now + RESEND_INTERVAL, promises)
        self.broadcast(Prepare(ballot))

    def resend(self, now: int, proposal: Proposal) -> None:
        """Repeats the message in case it was lost; a keeper that had it gives the same answer again."""
        proposal.resend_at = now + RESEND_INTERVAL
        version = proposal.version
        message = Prepare(proposal.ballot) if version is None else Accept(proposal.ballot, version)
        for keeper in self.other_keepers:
            if keeper not in (proposal.promises if version is None else proposal.accepted_by):
                self.send(keeper, message)

    def abandon_ballot(self, now: int) -> None:
        """The next ballot starts after a random, exponentially growing backoff."""
        self.proposal = None
        self.next_ballot_at = (
            now + 1 + self.rng.randrange(MAX_BACKOFF * min(1 << self.failed_ballots, MAX_GROWTH))
        )
        self.failed_ballots = min(self.failed_ballots + 1, MAX_GROWTH)

    def on_promise(self, now: int, source: str, promise: Promise) -> None:
        proposal = self.proposal
        if proposal is None or proposal.ballot != promise.ballot or proposal.version is not None:
            return
        proposal.promises[source] = (promise.accepted_ballot, promise.accepted_version)
        if len(proposal.promises) < self.majority:
            return
        if self.state.promised_ballot != proposal.ballot:  # this keeper has since promised a higher ballot
            self.abandon_ballot(now)
            return
        last = max(proposal.promises.values(), key=lambda accepted: accepted[0])[1]
        proposal.version = self.next_version(proposal.change, last)
        proposal.accepted_by = {self.name}
        self.save(accepted_ballot=proposal.ballot, accepted_version=proposal.version)
        self.note_accepted(proposal.version.number, now)
        self.broadcast(Accept(proposal.ballot, proposal.version))

    def next_version(self, change: PendingChange | None, last: Version) -> Version:
        if change is None or last.number != change.base:
            return last
        change.is_proposed = True
        # A withdrawal can't be withdrawn; otherwise two refused contents could replace each other for ever.
        rollback_content = b"" if change.withdrawn_number else self.rollback_content_after(last)
        return Version(last.number + 1, change.content, rollback_content, change.withdrawn_number)

    def rollback_content_after(self, last: Version) -> bytes:
        """The content that is restored if the version after `last` is withdrawn.

        If followers have refused `last` too, this is the content before it.
        """
        refusals = sum(report.refused_number == last.number for report in self.all_followers.values())
        return last.rollback_content if refusals >= self.parameters.refusers else last.content

    def on_accepted(self, now: int, source: str, accepted: Accepted) -> None:
        proposal = self.proposal
        if proposal is None or proposal.ballot != accepted.ballot or proposal.version is None:
            return
        proposal.accepted_by.add(source)
        if len(proposal.accepted_by) < self.majority:
            return
        version = proposal.version
        self.proposal = None
        self.failed_ballots = 0
        self.next_ballot_at = now
        self.learn(now, version)
        # A higher number that was in doubt is settled: no later ballot can choose it any more.
        self.in_doubt_number = min(self.in_doubt_number, version.number)
        self.broadcast(Committed(version))
        if proposal.change is not None:
            self.resolve_change(proposal.change, version)

    def resolve_change(self, change: PendingChange, version: Version) -> None:
        if (version.number, version.content) == (change.base + 1, change.content):
            self.finish_change(change, Outcome.COMMITTED)
        elif change.is_proposed and version.number > change.base + 1:
            self.finish_change(change, Outcome.UNKNOWN)  # it may have been committed before this version
        else:
            self.finish_change(change, Outcome.CONFLICT)

    def finish_change(self, change: PendingChange, outcome: Outcome) -> None:
        self.pending_changes.remove(change)
        if change.token >= 0:
            self.actions.append(ChangeResult(change.token, outcome, self.committed_version.number))

    def on_nack(self, now: int, _: str, nack: Nack) -> None:
        self.highest_ballot = max(self.highest_ballot, nack.promised_ballot)
        if self.proposal is not None and self.proposal.ballot == nack.ballot:
            self.abandon_ballot(now)

    # Acceptor

    def on_prepare(self, now: int, source: str, prepare: Prepare) -> None:
        state = self.state
        if prepare.ballot < state.promised_ballot:
            self.send(source, Nack(prepare.ballot, state.promised_ballot))
            return
        # Leaves recovery to the keeper that is already running a ballot. Competing recoveries pre-empt one
        # another's ballots: with 20 % of messages lost that went on for 15 s.
        self.postpone_recovery(now)
        self.save(promised_ballot=prepare.ballot)
        self.send(source, Promise(prepare.ballot, state.accepted_ballot, state.accepted_version))

    def on_accept(self, now: int, source: str, accept: Accept) -> None:
        if accept.ballot < self.state.promised_ballot:
            self.send(source, Nack(accept.ballot, self.state.promised_ballot))
            return
        self.save(
            promised_ballot=accept.ballot, accepted_ballot=accept.ballot, accepted_version=accept.version
        )
        self.note_accepted(accept.version.number, now)
        self.send(source, Accepted(accept.ballot))

    # Learner

    def on_committed(self, now: int, _: str, committed: Committed) -> None:
        self.learn(now, committed.version)

    def note_accepted(self, number: int, now: int) -> None:
        """Records that some keeper has accepted the version of this number: it may be committed."""
        if number > max(self.committed_version.number, self.in_doubt_number):
            self.in_doubt_number = number
            self.postpone_recovery(now)

    def postpone_recovery(self, now: int) -> None:
        self.recover_at = now + RECOVERY_DELAY + self.rng.randrange(RECOVERY_JITTER)

    def learn(self, now: int, version: Version) -> None:
        """Stores a committed version; a fresh keeper pushes it to the followers that poll it."""
        if version.number <= self.committed_version.number:
            return
        self.save(committed_version=version)
        self.committed_at = now
        self.log("configuration_committed", number=version.number, withdraws=version.withdrawn_number)
        if self.is_fresh(now):
            update = Update(0, True, version.number, version.content)
            for name, report in self.own_followers.items():
                if (
                    now - report.received_at <= self.parameters.in_force_within
                    and report.applied_number < version.number
                ):
                    report.sent_number, report.sent_at = version.number, now
                    self.send(name, update)

    # Reads from other keepers

    def send_read(self, now: int) -> None:
        self.next_read_at = now + self.parameters.read_every
        nonce = self.rng.getrandbits(48)
        self.pending_reads[nonce] = (now, set())
        while len(self.pending_reads) > MAX_PENDING_READS:
            del self.pending_reads[next(iter(self.pending_reads))]
        reports = [
            (name, report.applied_number, report.refused_number)
            for name, report in self.own_followers.items()
            # Only recent reports: the other keepers date them by their arrival.
            if now - report.received_at <= self.parameters.read_every
        ]
        self.broadcast(ReadRequest(nonce, self.committed_version.number, reports))

    def on_read_request(self, now: int, source: str, request: ReadRequest) -> None:
        for name, applied_number, refused_number in request.reports:
            known = self.all_followers.get(name)
            if known is None or (applied_number, refused_number) >= (
                known.applied_number,
                known.refused_number,
            ):
                self.all_followers[name] = FollowerReport(now, applied_number, refused_number)
        version = self.committed_version if self.committed_version.number > request.committed_number else None
        accepted_number = self.state.accepted_version.number
        self.send(
            source, ReadResponse(request.nonce, self.committed_version.number, accepted_number, version)
        )

    def on_read_response(self, now: int, source: str, response: ReadResponse) -> None:
        if response.version is not None:
            self.learn(now, response.version)
        if response.nonce not in self.pending_reads:  # a late answer, which may be an hour old
            return
        self.note_accepted(response.accepted_number, now)
        highest = max(response.committed_number, response.accepted_number, self.state.accepted_version.number)
        if highest > self.committed_version.number:
            return
        sent_at, responders = self.pending_reads[response.nonce]
        responders.add(source)
        if len(responders) + 1 >= self.read_quorum:
            self.fresh_at = max(self.fresh_at, sent_at)

    # Followers

    def on_poll(self, now: int, source: str, poll: Poll) -> None:
        report = FollowerReport(now, poll.applied_number, poll.refused_number)
        if source in self.own_followers:
            report.sent_number, report.sent_at = (
                self.own_followers[source].sent_number,
                self.own_followers[source].sent_at,
            )
        self.own_followers[source] = self.all_followers[source] = report
        if not self.is_fresh(now):
            self.send(source, Update(poll.nonce, False))
            return
        version = self.committed_version
        content = None
        # The content is not sent twice when a push crosses the poll; if it was lost, a later poll gets it.
        is_in_flight = (
            report.sent_number == version.number and now - report.sent_at < self.parameters.answer_within
        )
        if version.number > max(poll.applied_number, poll.refused_number) and not is_in_flight:
            content = version.content
            report.sent_number, report.sent_at = version.number, now
        self.send(source, Update(poll.nonce, True, version.number, content))

    def check_convergence(self, now: int) -> None:
        """Logs changes of freshness and of convergence, forgets silent followers, starts withdrawals."""
        is_fresh = self.is_fresh(now)
        if is_fresh != self.was_fresh:
            self.was_fresh = is_fresh
            self.log("keeper_fresh" if is_fresh else "keeper_stale", number=self.committed_version.number)
        for reports in (self.own_followers, self.all_followers):
            for name in [
                name for name, report in reports.items() if now - report.received_at > FORGET_FOLLOWER_AFTER
            ]:
                del reports[name]
        if not is_fresh:
            return
        number = self.committed_version.number
        recent = [
            report
            for report in self.all_followers.values()
            if now - report.received_at <= self.parameters.in_force_within
        ]
        applied_count = sum(report.applied_number >= number for report in recent)
        refused_count = sum(report.refused_number == number for report in recent)
        self.withdraw_if_refused(now, refused_count)
        if now - self.committed_at <= self.parameters.in_force_within:
            return
        if (applied_count == len(self.all_followers)) != self.is_converged:
            self.is_converged = not self.is_converged
            self.log(
                "configuration_whole" if self.is_converged else "configuration_split",
                number=number,
                in_force=applied_count,
                refused=refused_count,
                behind=len(recent) - applied_count - refused_count,
                unheard=len(self.all_followers) - len(recent),
            )

    def withdraw_if_refused(self, now: int, refused_count: int) -> None:
        version = self.committed_version
        if refused_count < self.parameters.refusers or not version.rollback_content or self.pending_changes:
            return
        self.log("configuration_withdrawn", number=version.number, refused=refused_count)
        deadline = now + self.parameters.give_up_after
        self.pending_changes.append(
            PendingChange(-1, version.number, version.rollback_content, deadline, version.number)
        )
        # All keepers notice the refusals at about the same time; a random delay keeps their ballots apart.
        self.next_ballot_at = max(self.next_ballot_at, now + self.rng.randrange(MAX_BACKOFF))
