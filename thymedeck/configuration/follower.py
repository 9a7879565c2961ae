"""The follower on a balancer: takes up newer committed versions, whatever repeats, overtakes or gets lost.

It asks one keeper at a time, and another as soon as that one is late or may be stale; what a keeper tells
unasked is taken up as well. It never goes back, and what its check refuses is never in force.
"""

import random
from collections.abc import Sequence

from .messages import Action, Apply, Ask, Bounds, Came, Check, Event, Log, Save, Send, Tell, Version

ASKS_KEPT = 16  # an answer to an older one counts for nothing
JITTER = 0.1  # of the time between two asks, so that a fleet that starts at once doesn't ask at once


class Follower:
    """`in_force` is the version that its balancer has in force; anybody may ask for it."""

    def __init__(
        self,
        keepers: Sequence[str],
        bounds: Bounds,
        check: Check,
        seed: int,
        now: int,
        saved: Version,
        file: str,
    ) -> None:
        """`saved` is what was last in force here, checked then; `file` is where it is kept, for the log."""
        self.bounds = bounds
        self.check = check
        self.file = file
        self.chance = random.Random(seed)
        self.keepers = list(keepers)
        self.chance.shuffle(self.keepers)  # the first is the one that is asked
        self.in_force = saved
        self.refused = 0
        self.nonce = 0  # of the ask under way; 0: none
        self.asked_at = now
        self.asked: dict[int, int] = {}  # when, by nonce, of those that may still be answered
        self.failed = 0  # asks, one after the other
        self.round_at = now  # when the first of them was made, of the last round of all keepers
        self.ask_at = now + self.chance.randrange(bounds.ask_every)
        self.fresh_at = now  # what was in force then was the last committed, or about to be told
        self.is_unheard = False  # as last told

    @property
    def due(self) -> int:
        next_ask = self.asked_at + self.bounds.answer_within if self.nonce else self.ask_at
        return next_ask if self.is_unheard else min(next_ask, self.quiet_at)

    @property
    def quiet_at(self) -> int:
        return self.fresh_at + self.bounds.in_force_within + 1

    def handle(self, now: int, event: Event) -> list[Action]:
        actions: list[Action] = []
        if isinstance(event, Came) and isinstance(event.message, Tell) and event.source in self.keepers:
            self.take(now, event.message, actions)
        if self.nonce and now - self.asked_at >= self.bounds.answer_within:
            self.turn_to_next(now)
        if not self.nonce and now >= self.ask_at:
            self.ask(now, actions)
        if now >= self.quiet_at and not self.is_unheard:
            self.is_unheard = True
            self.log(actions, "configuration_unheard", now)
        return actions

    def log(self, actions: list[Action], event: str, now: int) -> None:
        actions.append(
            Log(event, {"number": self.in_force.number, "unheard_ms": (now - self.fresh_at) // 10})
        )

    def ask(self, now: int, actions: list[Action]) -> None:
        self.nonce = self.chance.getrandbits(48) | 1
        self.asked_at = self.asked[self.nonce] = now
        if len(self.asked) > ASKS_KEPT:
            del self.asked[next(iter(self.asked))]
        ask = Ask(self.nonce, self.in_force.number, self.refused)
        actions.append(Send(self.keepers[0], ask))

    def turn_to_next(self, now: int) -> None:
        """At once, until all have been asked: no round of all is shorter than the time between two asks."""
        self.nonce = 0
        self.keepers.append(self.keepers.pop(0))
        if not self.failed % len(self.keepers):
            self.round_at = self.asked_at
        self.failed += 1
        self.ask_at = now if self.failed % len(self.keepers) else max(now, self.next_ask(self.round_at))

    def next_ask(self, since: int) -> int:
        return since + round(self.bounds.ask_every * self.chance.uniform(1 - JITTER, 1))

    def take(self, now: int, tell: Tell, actions: list[Action]) -> None:
        refused_before = self.refused
        if tell.content is not None and tell.number > max(self.in_force.number, self.refused):
            self.take_up(now, Version(tell.number, tell.content), actions)
        is_news = self.refused != refused_before
        if is_news:
            self.ask_at = now  # keepers withdraw what the first few refuse
        if tell.nonce not in self.asked:
            return
        asked_at = self.asked.pop(tell.nonce)
        is_last = tell.nonce == self.nonce
        if not tell.is_fresh:
            if is_last:
                self.turn_to_next(now)
            return
        if is_last:
            self.nonce = 0
            self.failed = 0
            if not is_news:
                self.ask_at = self.next_ask(asked_at)
        if tell.number > max(self.in_force.number, self.refused):
            if is_last:  # it was sent unasked, and is under way or lost
                self.ask_at = now + self.bounds.answer_within
            return
        self.fresh_at = max(self.fresh_at, asked_at)
        if self.is_unheard and now < self.quiet_at:
            self.is_unheard = False
            self.log(actions, "configuration_heard", now)

    def take_up(self, now: int, version: Version, actions: list[Action]) -> None:
        unfit = self.check(version.content)
        if unfit is not None:
            self.refused = version.number
            fields = {
                "file": self.file,
                "number": version.number,
                "entry": unfit.entry,
                "reason": unfit.reason,
            }
            actions.append(Log("configuration_refused", fields))
            return
        self.in_force = version
        actions += (Save(version), Apply(version.number, version.content))
