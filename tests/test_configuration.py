"""Keepers and followers of a configuration: whatever is lost, repeated, reordered, cut, crashed and started again."""

import subprocess
import sys
from collections import Counter

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from thymedeck.configuration.follower import Follower
from thymedeck.configuration.keeper import Keeper
from thymedeck.configuration.messages import (
    SECOND,
    Accept,
    Accepted,
    Apply,
    Ask,
    Bounds,
    Came,
    Change,
    Committed,
    Log,
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
    Tick,
    Unfit,
    Version,
    decode,
    encode,
)
from thymedeck.lab.faults import Fault
from thymedeck.lab.followers import Fleet, Node

BOUND = Bounds().in_force_within
HOUR = 3600 * SECOND
FOREVER = 1 << 60


def check(content: bytes) -> Unfit | None:
    return Unfit("limits.sockets", "is under 1") if content.startswith(b"bad") else None


def fleet_with_first(followers: int = 9, seed: int = 1, **given_: bool) -> Fleet:
    fleet = Fleet(followers, seed, check, **given_)
    fleet.run(2 * SECOND)
    fleet.change(fleet.keepers[0], Change(0, 0, b"first"))
    fleet.run(5 * SECOND)
    assert len(fleet.applied[1]) == followers
    return fleet


def cut(fleet: Fleet, names: str, until: int = FOREVER) -> None:
    fleet.faults.entries += [
        Fault(fleet.now, until, source=names, cut=True),
        Fault(fleet.now, until, target=names, cut=True),
    ]


def logged(fleet: Fleet, event: str) -> list[tuple[int, str]]:
    return [(at, name) for at, name, log in fleet.logs if log.event == event]


def heal(fleet: Fleet) -> None:
    fleet.faults.entries.clear()
    for name, node in fleet.nodes.items():
        node.crash_after = -1
        fleet.start(name)
        if node.frozen:
            fleet.wake(name)


# Schedules

KINDS = (
    "change", "change", "bad", "cut", "cut_one_way", "cut_pair", "region", "lose", "repeat", "reorder", "kill",
    "crash_inside", "start", "freeze", "wake", "heal",
)  # fmt: skip
STEPS = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, 12), st.integers(0, 3 * SECOND)), min_size=5, max_size=25
)


def play(fleet: Fleet, kind: str, which: int, token: int) -> None:
    names = fleet.keepers * 2 + fleet.followers
    name = names[which % len(names)]
    keeper = fleet.keepers[which % 4]
    now = fleet.now
    if kind in ("change", "bad"):
        content = b"%s %d" % (b"bad" if kind == "bad" else b"good", token)
        fleet.change(keeper, Change(token, fleet.committed(), content))
    elif kind == "cut":
        cut(fleet, name)
    elif kind == "cut_one_way":
        fleet.faults.entries.append(Fault(now, FOREVER, source=name, cut=True))
    elif kind == "cut_pair":
        fleet.faults.entries.append(Fault(now, FOREVER, source=name, target=keeper, cut=True))
    elif kind == "region":
        cut(fleet, f"*.{which % 3}", now + 4 * SECOND)
    elif kind in ("lose", "repeat"):
        fleet.faults.entries.append(Fault(now, now + 5 * SECOND, **{kind: 0.4}))
    elif kind == "reorder":
        fleet.faults.entries.append(Fault(now, now + 5 * SECOND, spread=2 * SECOND))
    elif kind == "crash_inside":
        fleet.nodes[name].crash_after = which % 5
    elif kind == "heal":
        heal(fleet)
    else:
        getattr(fleet, kind)(name)


@settings(
    max_examples=80, deadline=None, derandomize=True, database=None, suppress_health_check=list(HealthCheck)
)
@given(steps=STEPS, seed=st.integers(0, 1 << 16), checked=st.booleans())
def test_no_schedule_forks_or_goes_back_and_all_have_the_last_once_whole(
    steps: list[tuple[str, int, int]], seed: int, checked: bool
) -> None:
    fleet = fleet_with_first(seed=seed, checked_by_keepers=checked)
    for token, (kind, which, wait) in enumerate(steps):
        play(fleet, kind, which, token + 1)
        fleet.run(fleet.now + wait)
    heal(fleet)
    fleet.run(fleet.now + 2 * SECOND)  # what was late by their spread has come
    healed = fleet.now
    fleet.run(healed + 2 * BOUND)
    all_have_the_last(fleet, healed)
    for _ in range(3):  # one of our own withdrawals may come between
        fleet.change(fleet.keepers[0], Change(999, fleet.committed(), b"last"))
        fleet.run(fleet.now + 2 * BOUND)
        if [answer for _, _, answer in fleet.answers if answer.token == 999][-1].outcome is Outcome.COMMITTED:
            break
    assert all(fleet.contents[node.in_force] == {b"last"} for node in followers(fleet))
    assert fleet.faults_of_versions() == []
    ever = set().union(*fleet.contents.values())
    for _, _, answer in fleet.answers:
        if answer.outcome is Outcome.COMMITTED and answer.token not in (0, 999):
            assert b"good %d" % answer.token in ever or b"bad %d" % answer.token in ever


def followers(fleet: Fleet) -> list[Node]:
    return [fleet.nodes[name] for name in fleet.followers]


def all_have_the_last(fleet: Fleet, healed: int) -> None:
    """Within the bound of its commit, or of the network's healing."""
    assert fleet.faults_of_versions() == []
    last = fleet.committed()
    (content,) = fleet.contents[last]
    if check(content) is not None:
        assert logged(fleet, "configuration_split")
    elif fleet.now - max(healed, fleet.committed_at[last]) >= BOUND:
        assert [node.name for node in followers(fleet) if node.in_force != last] == []
