"""The follower on a balancer: applies newer committed versions despite duplicates, reordering and loss.

It polls one keeper at a time and switches to the next as soon as that one is late or may be stale; versions
that a keeper pushes are applied as well. The applied version number never decreases, and a version that
fails validation is never applied.
"""

import random
from collections.abc import Sequence

from .messages import (
    Action,
    Apply,
    Event,
    Log,
    Parameters,
    Poll,
    Received,
    Save,
    Send,
    Update,
    Validator,
    Version,
)

MAX_PENDING_POLLS = 16  # answers to older polls are ignored
POLL_JITTER = 0.1  # share of the poll interval; keeps followers that start together from polling together


class Follower:
    """The state machine of one follower. `applied_version` is in force on its balancer."""

    def __init__(
        self,
        keepers: Sequence[str],
        parameters: Parameters,
        validate: Validator,
        seed: int,
        now: int,
        saved_version: Version,
        saved_file: str,
    ) -> None:
        """`saved_version` was validated, applied and saved by an earlier run; `saved_file` is only logged."""
        self.parameters = parameters
        self.validate = validate
        self.saved_file = saved_file
        self.rng = random.Random(seed)
        self.keepers = list(keepers)
        self.rng.shuffle(self.keepers)  # the first one is polled
        self.applied_version = saved_version
        self.refused_number = 0
        self.pending_nonce = 0  # of the poll in flight; 0: none
        self.polled_at = now
        self.poll_times: dict[int, int] = {}  # nonce to send time, for polls whose answer still counts
        self.failed_polls = 0  # consecutive
        self.round_started_at = now  # first poll of the current round through all keepers
        self.next_poll_at = now + self.rng.randrange(parameters.ask_every)
        # Send time of the last poll that showed no newer version than the applied or refused one. At first
        # the start, from which the time without an answer counts.
        self.fresh_at = now
        self.is_stale = False  # as last logged

    @property
    def due_at(self) -> int:
        poll_due_at = (
            self.polled_at + self.parameters.answer_within if self.pending_nonce else self.next_poll_at
        )
        return poll_due_at if self.is_stale else min(poll_due_at, self.stale_at)

    @property
    def stale_at(self) -> int:
        return self.fresh_at + self.parameters.in_force_within + 1

    def handle(self, now: int, event: Event) -> list[Action]:
        actions: list[Action] = []
        if isinstance(event, Received) and isinstance(event.message, Update) and event.source in self.keepers:
            self.on_update(now, event.message, actions)
        if self.pending_nonce and now - self.polled_at >= self.parameters.answer_within:
            self.switch_keeper(now)
        if not self.pending_nonce and now >= self.next_poll_at:
            self.poll(now, actions)
        if now >= self.stale_at and not self.is_stale:
            self.is_stale = True
            self.log(actions, "configuration_unheard", now)
        return actions

    def log(self, actions: list[Action], event: str, now: int) -> None:
        actions.append(
            Log(event, {"number": self.applied_version.number, "unheard_ms": (now - self.fresh_at) // 10})
        )

    def poll(self, now: int, actions: list[Action]) -> None:
        self.pending_nonce = self.rng.getrandbits(48) | 1
        self.polled_at = self.poll_times[self.pending_nonce] = now
        if len(self.poll_times) > MAX_PENDING_POLLS:
            del self.poll_times[next(iter(self.poll_times))]
        poll = Poll(self.pending_nonce, self.applied_version.number, self.refused_number)
        actions.append(Send(self.keepers[0], poll))

    def switch_keeper(self, now: int) -> None:
        """Polls the next keeper at once; after a round of all keepers, when the poll interval is over."""
        self.pending_nonce = 0
        self.keepers.append(self.keepers.pop(0))
        if not self.failed_polls % len(self.keepers):
            self.round_started_at = self.polled_at
        self.failed_polls += 1
        self.next_poll_at = (
            now
            if self.failed_polls % len(self.keepers)
            else max(now, self.poll_time_after(self.round_started_at))
        )

    def poll_time_after(self, since: int) -> int:
        return since + round(self.parameters.ask_every * self.rng.uniform(1 - POLL_JITTER, 1))

    def on_update(self, now: int, update: Update, actions: list[Action]) -> None:
        refused_before = self.refused_number
        if update.content is not None and update.number > max(
            self.applied_version.number, self.refused_number
        ):
            self.validate_and_apply(now, Version(update.number, update.content), actions)
        is_newly_refused = self.refused_number != refused_before
        if is_newly_refused:
            self.next_poll_at = now  # reports the refusal: keepers withdraw a version after a few of them
        if update.nonce not in self.poll_times:
            return
        polled_at = self.poll_times.pop(update.nonce)
        is_current_poll = update.nonce == self.pending_nonce
        if not update.is_fresh:
            if is_current_poll:
                self.switch_keeper(now)
            return
        if is_current_poll:
            self.pending_nonce = 0
            self.failed_polls = 0
            if not is_newly_refused:
                self.next_poll_at = self.poll_time_after(polled_at)
        if update.number > max(self.applied_version.number, self.refused_number):
            if is_current_poll:  # the content was pushed before and is in flight or lost
                self.next_poll_at = now + self.parameters.answer_within
            return
        self.fresh_at = max(self.fresh_at, polled_at)
        if self.is_stale and now < self.stale_at:
            self.is_stale = False
            self.log(actions, "configuration_heard", now)

    def validate_and_apply(self, now: int, version: Version, actions: list[Action]) -> None:
        failure = self.validate(version.content)
        if failure is not None:
            self.refused_number = version.number
            fields = {
                "file": self.saved_file,
                "number": version.number,
                "entry": failure.entry,
                "reason": failure.reason,
            }
            actions.append(Log("configuration_refused", fields))
            return
        self.applied_version = version
        actions += (Save(version), Apply(version.number, version.content))
