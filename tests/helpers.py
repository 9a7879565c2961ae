"""Plays a scenario: a text file of what happens to one balancer, and of what it must or must not do.

    set KEY=VALUE ...        before the first event: changes the deployment (listener keys apply to all)
    T list KIND S:STATE ...  the list of servers; more after a further colon: z1 zone, c2 cell, b50 started,
                             w9 weight
    T EVENT ...              came N [budget=] [hint=], stands N on S, up N [TOOK], load N X,
                             ended N OUTCOME [done], delay N MS, probed S X, left N
    expect ACTION ...        this alone came out of the last event (timers and logs left out)
    expect none              nothing came out but timers and logs
    expect any ACTION        among what came out there is one of this kind
    expect no ACTION         among what came out there is none such
    expect seen ACTION       there was one of this kind since the start
    repeat COUNT             plays the lines up to `end` so often, {} standing for the round
T is in tenths of a millisecond. `N` names a session, `S` a server; `dial N S` may say `dial N *`.
"""

from dataclasses import replace
from pathlib import Path

from thymedeck import interface as own
from thymedeck.policy import Balancer

LISTENER = own.Listener(3000, 12000, own.Effect.REPEATABLE, own.Scope.ALL, 50000, 1.0, 500)
SITE = own.Deployment(
    listeners=(LISTENER,), zone=0, replicas=3, tick=20, connect_timeout=1500, max_dials=4, may_probe=False,
    come_back_max=0, list_on_request=False, ask_within=100000, cold_share=0.3, warm_after=88000,
    fall_multiple=2.5, fall_window=20000, present_load=True, tells_delay=True, passes_through=False,
    crossing_price=0.0,
)  # fmt: skip
SHOWN = (own.Dial, own.Refuse, own.TearDown, own.Move, own.FollowList, own.Probe)


def value(text: str) -> object:
    for kind in (own.Effect, own.Scope):
        if text in kind.__members__:
            return kind[text]
    return float(text) if "." in text else int(text)


class Play:
    def __init__(self, path: Path) -> None:
        self.path = path
        self.site = SITE
        self.balancer: Balancer | None = None
        self.out: list[own.Action] = []
        self.seen: list[list[str]] = []
        self.at: dict[int, int] = {}

    def run(self) -> None:
        lines = [line.split("#")[0].split() for line in self.path.read_text().splitlines()]
        at = 0
        while at < len(lines):
            if lines[at][:1] == ["repeat"]:
                end = lines.index(["end"], at)
                for count in range(int(lines[at][1])):
                    for line in lines[at + 1 : end]:
                        self.line([word.replace("{}", str(count)) for word in line])
                at = end
            elif lines[at]:
                self.line(lines[at])
            at += 1

    def line(self, words: list[str]) -> None:
        if words[0] == "set":
            given = {key: value(text) for key, text in (word.split("=") for word in words[1:])}
            inner = {k: v for k, v in given.items() if k in own.Listener.__slots__}
            outer = {k: v for k, v in given.items() if k not in inner}
            self.site = replace(self.site, listeners=(replace(LISTENER, **inner),), **outer)
        elif words[0] == "expect":
            self.expect(words[1:])
        else:
            if self.balancer is None:
                self.balancer = Balancer(7, self.site)
            self.out = self.balancer.handle(int(words[0]), self.event(words[1], words[2:]))
            for action in self.out:
                self.seen.append(self.spell(action))
                if isinstance(action, own.Dial):
                    self.at[action.sess] = action.server

    def event(self, kind: str, words: list[str]) -> own.Event:
        if kind == "list":
            return own.ServerList(own.ListKind[words[0]], [self.entry(word) for word in words[1:]])
        if kind == "probed":
            return own.Probed(int(words[0]), True, float(words[1]))
        if kind == "timer":
            return own.TimerDue(own.Timer[words[0]], int(words[1]))
        sess = int(words[0])
        options = dict(word.split("=") for word in words[1:] if "=" in word)
        if kind == "came":
            subject, hint = options.get("subject"), options.get("hint")
            budget, flow = int(options.get("budget", 12000)), "mid_flow" in words
            return own.SessionCame(sess, 0, budget, None if hint is None else float(hint), subject, flow)
        if kind == "stands":
            self.at[sess] = int(words[2])
            return own.SessionStands(sess, 0, None, options.get("subject"), int(words[2]))
        if kind == "left":
            return own.SessionLeft(sess)
        if kind == "load":
            return own.LoadTold(sess, float(words[1]))
        server = self.at[sess]
        if kind == "up":
            return own.Established(sess, server, int(words[1]) if words[1:] else 100)
        if kind == "delay":
            return own.DelayTold(sess, server, int(float(words[1]) * 10))
        assert kind == "ended", f"{self.path.name}: no event {kind}"
        return own.DialEnded(sess, server, own.Outcome[words[1]], "done" in words, None)

    def entry(self, word: str) -> own.Entry:
        index, state, *more = word.split(":")
        marks = {mark[0]: int(mark[1:]) for mark in more}
        zone, cell, started = marks.get("z", 0), marks.get("c", 0), marks.get("b", 0)
        return own.Entry(int(index), zone, cell, own.State[state.upper()], started, marks.get("w", 1))

    def expect(self, words: list[str]) -> None:
        shown = [self.spell(action) for action in self.out if isinstance(action, SHOWN)]
        where = f"{self.path.name}: expected {' '.join(words)}, came {shown}"
        among = self.seen if words[0] == "seen" else shown
        found = any(one[: len(words) - 1] == words[1:] for one in among)
        if words == ["none"]:
            assert not shown, where
        elif words[0] in ("any", "seen"):
            assert found, where
        elif words[0] == "no":
            assert not found, where
        else:
            assert len(shown) == 1, where
            assert all(want in (got, "*") for want, got in zip(words, shown[0], strict=False)), where

    @staticmethod
    def spell(action: own.Action) -> list[str]:
        name = {"Dial": "dial", "Refuse": "refuse", "TearDown": "teardown", "Move": "move"}
        kind = type(action).__name__
        numbers = [getattr(action, slot) for slot in action.__slots__]
        return [name.get(kind, kind.lower()), *map(str, numbers)]
