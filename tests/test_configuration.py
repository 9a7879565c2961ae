"""Keepers and followers of a configuration, whatever is lost, repeated, late, cut, crashed, begun anew."""

import json
import subprocess
import sys
from collections import Counter
from pathlib import Path

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
from thymedeck.configuration.sheet import read
from thymedeck.lab.configured import PLAYS, Given, Play
from thymedeck.lab.faults import Fault
from thymedeck.lab.followers import Fleet, Node
from thymedeck.peers.settings import SettingsFileError

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


def cut_region(fleet: Fleet, which: int, until: int = FOREVER) -> None:
    """From the others; inside it all goes on."""
    inside, outside = f"*.{which}", f"*.[!{which}]"
    fleet.faults.entries += [
        Fault(fleet.now, until, source=inside, target=outside, cut=True),
        Fault(fleet.now, until, source=outside, target=inside, cut=True),
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
    "change", "change", "bad", "cut", "cut_one_way", "cut_pair", "region", "lose", "repeat", "reorder",
    "kill", "crash_inside", "start", "freeze", "wake", "heal",
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
        cut_region(fleet, which % 3, now + 4 * SECOND)
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


# What may not happen to a change


def test_an_unfit_change_is_refused_by_the_keeper_and_never_proposed() -> None:
    fleet = fleet_with_first()
    fleet.change(fleet.keepers[1], Change(7, 1, b"bad"))
    fleet.run(fleet.now + 2 * BOUND)
    assert [answer for _, _, answer in fleet.answers][-1] == (7, Outcome.UNFIT, 1)
    (line,) = [log for _, _, log in fleet.logs if log.event == "configuration_unfit"]
    assert line.fields == {"entry": "limits.sockets", "reason": "is under 1", "base": 1}
    assert list(fleet.contents) == [1]


def test_what_followers_alone_refuse_is_in_force_nowhere_and_withdrawn_within_the_bound() -> None:
    """Where programs differ: keepers let it pass."""
    fleet = fleet_with_first(checked_by_keepers=False)
    fleet.change(fleet.keepers[1], Change(7, 1, b"bad"))
    asked = fleet.now
    fleet.run(asked + BOUND)
    assert 2 not in fleet.applied
    assert {node.in_force for node in followers(fleet)} == {3}
    assert (fleet.contents[3], fleet.faults_of_versions()) == ({b"first"}, [])
    for name in fleet.followers:
        (line,) = [log for _, at, log in fleet.logs if at == name and log.event == "configuration_refused"]
        wanted = {"file": f"{name}.saved", "number": 2, "entry": "limits.sockets", "reason": "is under 1"}
        assert line.fields == wanted


def test_a_withdrawal_is_not_withdrawn() -> None:
    """Everybody refuses what was before as well: the keepers say that the fleet is split, and stop."""
    fleet = fleet_with_first(checked_by_keepers=False)
    fleet.check = lambda _: Unfit("all", "is unfit")
    for name in fleet.followers:
        fleet.nodes[name].mind.check = fleet.check
    fleet.change(fleet.keepers[1], Change(7, 1, b"bad"))
    fleet.run(fleet.now + 10 * BOUND)
    assert sorted(fleet.contents) == [1, 2, 3]
    assert len({name for _, name in logged(fleet, "configuration_split")}) == 4
    assert {node.in_force for node in followers(fleet)} == {1}


def test_a_change_made_on_an_old_version_undoes_nothing() -> None:
    fleet = fleet_with_first()
    fleet.change(fleet.keepers[0], Change(1, 1, b"one"))
    fleet.run(fleet.now + SECOND)
    fleet.change(fleet.keepers[2], Change(2, 1, b"two"))
    fleet.run(fleet.now + SECOND)
    assert [answer for _, _, answer in fleet.answers][-1] == (2, Outcome.OUTDATED, 2)
    assert fleet.contents[2] == {b"one"}


def test_changes_at_all_keepers_at_once_one_is_committed() -> None:
    fleet = fleet_with_first()
    for at, name in enumerate(fleet.keepers):
        fleet.change(name, Change(at + 1, 1, b"change %d" % at))
    fleet.run(fleet.now + 2 * BOUND)
    outcomes = Counter(answer.outcome for _, _, answer in fleet.answers[1:])
    assert outcomes == {Outcome.COMMITTED: 1, Outcome.OUTDATED: 3}
    assert sorted(fleet.contents) == [1, 2]


def test_two_keepers_lost_nothing_is_committed_until_one_is_back_and_all_say_what_they_know() -> None:
    fleet = fleet_with_first()
    fleet.kill(fleet.keepers[0])
    cut(fleet, fleet.keepers[1])
    fleet.run(fleet.now + BOUND)
    fleet.change(fleet.keepers[2], Change(7, 1, b"two"))
    fleet.run(fleet.now + 11 * SECOND)
    assert [answer for _, _, answer in fleet.answers][-1] == (7, Outcome.NOT_COMMITTED, 1)
    # The two left know that nobody could commit without one of them; the one cut off doesn't.
    assert [fleet.nodes[name].mind.is_fresh(fleet.now) for name in fleet.keepers[1:]] == [False, True, True]
    assert [name for at, name in logged(fleet, "keeper_stale") if at > 5 * SECOND] == [fleet.keepers[1]]
    assert logged(fleet, "configuration_unheard") == []
    fleet.faults.entries.clear()
    fleet.change(fleet.keepers[2], Change(8, 1, b"two"))
    healed = fleet.now
    fleet.run(healed + BOUND)
    assert {node.in_force for node in followers(fleet)} == {2}


def test_a_proposer_that_dies_between_its_commit_and_its_word_is_made_good_by_another() -> None:
    fleet = fleet_with_first()
    fleet.change(fleet.keepers[0], Change(7, 1, b"two"))
    while fleet.nodes[fleet.keepers[0]].mind.state.accepted.number < 2:
        fleet.run(fleet.now + 1)
    fleet.kill(fleet.keepers[0])
    fleet.run(fleet.now + BOUND)
    assert {node.in_force for node in followers(fleet)} == {2}


# A part that hears nothing


def test_a_region_cut_off_says_so_once_and_has_the_last_within_the_bound_of_healing() -> None:
    """With its keeper: two of four are in region 0, and one in each other."""
    fleet = fleet_with_first(followers=12)
    cut_region(fleet, 1)
    fleet.run(fleet.now + SECOND)
    fleet.change(fleet.keepers[0], Change(7, 1, b"two"))
    fleet.run(fleet.now + 30 * SECOND)
    alone = [name for name in fleet.followers if name.endswith(".1")]
    assert {
        name for name, node in fleet.nodes.items() if name in fleet.followers and node.in_force == 2
    } == set(fleet.followers) - set(alone)
    assert sorted(name for _, name in logged(fleet, "configuration_unheard")) == sorted(alone)
    split = [log.fields for _, _, log in fleet.logs if log.event == "configuration_split"]
    assert split and all(fields["unheard"] == 4 for fields in split)
    fleet.faults.entries.clear()
    fleet.run(fleet.now + BOUND)
    assert {node.in_force for node in followers(fleet)} == {2}
    assert sorted(name for _, name in logged(fleet, "configuration_heard")) == sorted(alone)
    fleet.run(fleet.now + BOUND)
    assert len(logged(fleet, "configuration_whole")) == len(split)


def test_a_third_frozen_and_woken_has_the_last_within_the_bound() -> None:
    fleet = fleet_with_first(followers=12)
    third = [fleet.keepers[1], *fleet.followers[::3]]
    for name in third:
        fleet.freeze(name)
    fleet.change(fleet.keepers[0], Change(7, 1, b"two"))
    fleet.run(fleet.now + 60 * SECOND)
    assert sum(node.in_force == 2 for node in followers(fleet)) == 8
    for name in third:
        fleet.wake(name)
    fleet.run(fleet.now + BOUND)
    assert {node.in_force for node in followers(fleet)} == {2}
    assert fleet.faults_of_versions() == []


def test_what_is_sent_unasked_and_lost_is_asked_for_within_the_bound() -> None:
    fleet = fleet_with_first()
    fleet.change(fleet.keepers[0], Change(7, 1, b"two"))
    while fleet.committed() < 2:
        fleet.run(fleet.now + 1)
    fleet.faults.entries.append(Fault(fleet.now, fleet.now + SECOND // 2, target="b*", lose=1.0))
    fleet.run(fleet.now + BOUND)
    assert {node.in_force for node in followers(fleet)} == {2}


# The keeper alone

KEEPERS = ("k0", "k1", "k2", "k3")


def keeper(stored: Stored | None = None) -> Keeper:
    return Keeper("k1", KEEPERS, Bounds(), check, 1, 0, stored)


def sent(actions: list, kind: type) -> list:
    return [action.message for action in actions if type(action) is Send and type(action.message) is kind]


def test_what_is_promised_or_accepted_is_on_the_disk_before_it_is_said_and_outlives_a_restart() -> None:
    one = keeper()
    actions = one.handle(1, Came("k3", Prepare((4, 3))))
    assert [type(action) for action in actions[:2]] == [Save, Send]
    again = keeper(actions[0].state)
    assert sent(again.handle(2, Came("k0", Prepare((4, 0)))), Refusal) == [Refusal((4, 0), (4, 3))]
    assert sent(again.handle(3, Came("k0", Accept((4, 0), Version(1, b"x")))), Refusal)
    actions = again.handle(4, Came("k3", Accept((4, 3), Version(1, b"x"))))
    assert [type(action) for action in actions[:2]] == [Save, Send]
    last = keeper(actions[0].state)
    (promise,) = sent(last.handle(5, Came("k0", Prepare((5, 0)))), Promise)
    assert promise == Promise((5, 0), (4, 3), Version(1, b"x"))


def test_a_keeper_stale_by_an_hour_tells_no_version_before_it_has_caught_up() -> None:
    old = Version(5, b"old")
    one = keeper(Stored(committed=old, accepted=old, accepted_in=(1, 0), promised=(1, 0)))
    (read, *_) = sent(one.handle(0, Tick()), Read)
    answer = ReadAnswer(read.nonce, 5, 5)
    one.handle(10, Came("k0", answer))
    assert sent(one.handle(20, Came("b", Ask(3, 0, 0))), Tell) == [Tell(3, True, 5, b"old")]
    # An hour later: what waited in its sockets comes first.
    assert sent(one.handle(HOUR, Came("b", Ask(4, 0, 0))), Tell) == [Tell(4, False)]
    (read, *_) = sent(one.handle(HOUR + 1 + SECOND, Tick()), Read)
    now = HOUR + 2 + SECOND
    one.handle(now, Came("k0", answer))
    one.handle(now, Came("k2", answer))
    assert not one.is_fresh(now)
    # One that has accepted more than is known to be committed doesn't count either.
    one.handle(now, Came("k2", ReadAnswer(read.nonce, 5, 6)))
    assert not one.is_fresh(now)
    one.handle(now, Came("k3", ReadAnswer(read.nonce, 6, 6, Version(6, b"new"))))
    assert one.is_fresh(now)
    assert sent(one.handle(now, Came("b", Ask(5, 5, 0))), Tell) == [Tell(5, True, 6, b"new")]


def test_of_what_others_accepted_that_of_the_highest_ballot_is_proposed_not_the_highest_number() -> None:
    """6 was accepted in ballot 2, 5 in ballot 3: so no majority had that 6, and none ever will."""
    one = keeper()
    one.handle(0, Change(7, 5, b"mine"))
    ballot = one.state.promised
    one.handle(2, Came("k0", Promise(ballot, (2, 0), Version(6, b"lost"))))
    actions = one.handle(3, Came("k2", Promise(ballot, (3, 2), Version(5, b"five"))))
    assert {message.version for message in sent(actions, Accept)} == {Version(6, b"mine", b"five")}


def test_a_ballot_ends_once_a_higher_one_has_the_promise() -> None:
    one = keeper()
    one.handle(0, Change(7, 0, b"mine"))
    ballot = one.state.promised
    one.handle(1, Came("k3", Prepare((ballot[0] + 1, 3))))
    one.handle(2, Came("k0", Promise(ballot, (0, 0), Version())))
    assert sent(one.handle(3, Came("k2", Promise(ballot, (0, 0), Version()))), Accept) == []
    assert one.state.accepted == Version()


def test_what_is_committed_never_goes_back() -> None:
    one = keeper()
    one.handle(1, Came("k0", Committed(Version(5, b"five"))))
    assert one.handle(2, Came("k0", Committed(Version(4, b"four")))) == []
    assert one.committed == Version(5, b"five")


def test_of_five_keepers_one_answer_makes_no_read() -> None:
    """Two others may be those without which the other three committed."""
    one = Keeper("k1", (*KEEPERS, "k4"), Bounds(), check, 1, 0)
    (read, *_) = sent(one.handle(0, Tick()), Read)
    one.handle(1, Came("k0", ReadAnswer(read.nonce, 0, 0)))
    one.handle(2, Came("k0", ReadAnswer(read.nonce, 0, 0)))
    assert not one.is_fresh(2)
    one.handle(3, Came("k2", ReadAnswer(read.nonce, 0, 0)))
    assert one.is_fresh(3)


def test_what_is_lost_within_a_ballot_is_said_again_to_those_that_have_not_answered() -> None:
    one = keeper()
    one.handle(0, Change(7, 0, b"mine"))
    ballot = one.state.promised
    one.handle(1, Came("k0", Promise(ballot, (0, 0), Version())))
    again = one.handle(SECOND // 10, Tick())
    assert [action.target for action in again if type(action.message) is Prepare] == ["k2", "k3"]
    one.handle(SECOND // 10 + 1, Came("k2", Promise(ballot, (0, 0), Version())))
    one.handle(SECOND // 10 + 2, Came("k0", Accepted(ballot)))
    again = one.handle(SECOND // 5, Tick())
    assert [action.target for action in again if type(action.message) is Accept] == ["k2", "k3"]


def test_who_is_in_doubt_leaves_it_to_another_s_ballot_as_long_as_one_is_heard_of() -> None:
    """Four that all began ballots ended one another's for 15 s."""
    one = keeper()
    one.handle(0, Came("k0", Accept((1, 0), Version(1, b"x"))))
    for at in range(1, 6):
        now = at * SECOND * 9 // 10
        one.handle(now, Came("k3", Prepare((1 + at, 3))))
        assert one.state.promised == (1 + at, 3)
    assert sent(one.handle(now + SECOND * 9 // 10, Tick()), Prepare) == []
    assert sent(one.handle(now + SECOND * 3 // 2, Tick()), Prepare)


def test_a_doubt_ends_with_a_later_ballot_that_brings_an_older_version() -> None:
    one = keeper()
    (read, *_) = sent(one.handle(0, Tick()), Read)
    one.handle(1, Came("k3", ReadAnswer(read.nonce, 0, 6)))
    now = 2 * SECOND
    one.handle(now, Tick())
    ballot = one.state.promised
    for name in ("k0", "k2"):
        one.handle(now + 1, Came(name, Promise(ballot, (3, 2), Version(5, b"five"))))
    for name in ("k0", "k2"):
        one.handle(now + 2, Came(name, Accepted(ballot)))
    assert (one.committed.number, one.due) == (5, one.read_at)


def test_what_was_sent_unasked_is_not_sent_again_while_it_may_be_under_way() -> None:
    one = keeper()
    (read, *_) = sent(one.handle(0, Tick()), Read)
    one.handle(1, Came("k0", ReadAnswer(read.nonce, 0, 0)))
    one.handle(2, Came("b", Ask(1, 0, 0)))
    assert sent(one.handle(3, Came("k0", Committed(Version(1, b"x")))), Tell) == [Tell(0, True, 1, b"x")]
    assert sent(one.handle(4, Came("b", Ask(2, 0, 0))), Tell) == [Tell(2, True, 1)]
    now = 3 + Bounds().answer_within
    assert sent(one.handle(now, Came("b", Ask(3, 0, 0))), Tell) == [Tell(3, True, 1, b"x")]


def test_a_withdrawal_goes_back_past_what_was_refused_before() -> None:
    one = keeper()
    last = Version(2, b"bad", b"first")
    for at in range(3):
        assert one.good_of(last) == b"bad"
        one.handle(1 + at, Came(f"b{at}", Ask(1, 1, 2)))
    assert one.good_of(last) == b"first"


def test_an_ordinary_change_waits_for_nobody_s_turn() -> None:
    """Four ways between keepers, one to the followers, 40 ms each at the most."""
    fleet = fleet_with_first()
    asked = fleet.now
    fleet.change(fleet.keepers[0], Change(7, 1, b"two"))
    fleet.run(asked + SECOND // 4)
    assert {node.in_force for node in followers(fleet)} == {2}


def test_only_a_keeper_is_heard_as_one() -> None:
    one = keeper()
    for message in (
        Prepare((4, 3)),
        Accept((4, 3), Version(1, b"x")),
        Committed(Version(1, b"x")),
        Accepted((1, 1)),
    ):
        one.handle(1, Came("b7", message))
    assert one.state == Stored()


# The follower alone


def follower(saved: Version = Version(), seed: int = 1) -> Follower:  # noqa: B008 (it is frozen)
    return Follower(KEEPERS, Bounds(), check, seed, 0, saved, "b.saved")


def test_a_follower_takes_only_newer_ones_saves_them_first_and_begins_with_its_last() -> None:
    one = follower(Version(3, b"three"))
    assert one.in_force == Version(3, b"three")
    assert one.handle(1, Came("k0", Tell(0, True, 2, b"two"))) == []
    assert one.handle(2, Came("k0", Tell(0, True, 3, b"other"))) == []
    actions = one.handle(3, Came("k0", Tell(0, True, 5, b"five")))
    assert actions == [Save(Version(5, b"five")), Apply(5, b"five")]
    assert one.handle(4, Came("k0", Tell(0, True, 4, b"four"))) == []
    assert one.handle(5, Came("somebody", Tell(0, True, 9, b"nine"))) == []
    assert one.handle(6, Came("k0", Tell(0, True, 5, b"five"))) == []


def test_a_follower_refuses_once_tells_its_keeper_at_once_and_keeps_the_last_good_one() -> None:
    one = follower(Version(3, b"three"))
    actions = one.handle(1, Came("k0", Tell(0, True, 4, b"bad")))
    assert [type(action) for action in actions] == [Log, Send]
    assert (actions[1].message.in_force, actions[1].message.refused) == (3, 4)
    assert one.handle(2, Came("k1", Tell(0, True, 4, b"bad"))) == []
    assert one.in_force.number == 3
    assert one.handle(3, Came("k1", Tell(0, True, 5, b"good")))[1] == Apply(5, b"good")


def test_a_follower_that_hears_nothing_for_an_hour_says_so_once_and_asks_all_in_turn() -> None:
    one = follower()
    asked: list[str] = []
    lines: list[tuple[int, str]] = []
    now = 0
    while now < HOUR // 60:
        now = max(now, one.due)
        for action in one.handle(now, Tick()):
            if type(action) is Send:
                asked.append(action.target)
            if type(action) is Log:
                lines.append((now, action.event))
    assert lines == [(BOUND + 1, "configuration_unheard")]
    assert set(Counter(asked).values()) <= {len(asked) // 4, len(asked) // 4 + 1}
    assert len(asked) <= 4 * (60 / 0.9 + 1)  # all four, once in a time between two asks


def test_late_answers_and_those_of_stale_keepers_are_no_news() -> None:
    one = follower()
    now = one.due
    (send,) = one.handle(now, Tick())
    (again,) = one.handle(now + 1, Came(send.target, Tell(send.message.nonce, False)))
    assert again.target != send.target
    one.handle(now + 2, Came(send.target, Tell(send.message.nonce, True)))
    assert one.fresh_at == 0
    one.handle(now + 3, Came(again.target, Tell(again.message.nonce, True)))
    assert one.fresh_at == now + 1


def test_who_knows_of_a_version_that_has_not_come_has_not_heard_the_last() -> None:
    one = follower()
    now = one.due
    (send,) = one.handle(now, Tick())
    one.handle(now + 1, Came(send.target, Tell(send.message.nonce, True, 2)))
    assert (one.fresh_at, one.ask_at) == (0, now + 1 + Bounds().answer_within)


def test_an_answer_that_is_later_than_the_bound_is_not_heard() -> None:
    one = follower()
    now = one.due
    (send,) = one.handle(now, Tick())
    late = now + BOUND + 1
    assert [action.event for action in one.handle(late, Tick()) if type(action) is Log] == [
        "configuration_unheard"
    ]
    actions = one.handle(late + 1, Came(send.target, Tell(send.message.nonce, True)))
    assert [action for action in actions if type(action) is Log] == []


def test_stale_keepers_are_asked_no_more_often_than_once_each_in_the_time_between_two_asks() -> None:
    one = follower()
    asked = 0
    while one.due < 10 * SECOND:
        now = one.due
        actions = one.handle(now, Tick())
        while now < 10 * SECOND and (sends := [one for one in actions if type(one) is Send]):
            asked += len(sends)
            now += 10
            actions = one.handle(now, Came(sends[0].target, Tell(sends[0].message.nonce, False)))
    assert asked <= 4 * (10 / 0.9 + 1)


@pytest.mark.parametrize(
    "message",
    [
        Prepare((1, 2)), Promise((1, 2), (0, 0), Version()), Accept((1, 2), Version(1, b"x", b"y", 0)),
        Accepted((1, 2)), Refusal((1, 2), (3, 0)), Committed(Version(1, b"x")), Read(1, 2, [("b", 1, 0)]),
        ReadAnswer(1, 2, 3, Version(2, b"")), Ask(1, 2, 3), Tell(1, True, 2, b"x"),
    ],
)  # fmt: skip
def test_messages_come_out_as_they_went_in(message: object) -> None:
    assert decode(encode(message)) == message


@pytest.mark.parametrize("title", PLAYS)
def test_each_play_of_the_lab_is_in_force_everywhere_within_the_bound(title: str) -> None:
    play = Play(Given(balancers=24, size=200, cut_for=15 * SECOND), 1)
    PLAYS[title](play)
    last = float(play.figures()[2])
    assert last * SECOND <= BOUND


def test_a_follower_costs_no_more_bytes_with_the_size_of_the_fleet() -> None:
    def bytes_each(balancers: int) -> float:
        play = Play(Given(balancers, size=200, cut_for=0), 1)
        play.change(0, b"second")
        return float(play.figures()[4])

    assert bytes_each(60) == pytest.approx(bytes_each(12), rel=0.05)


def test_serving_knows_nothing_of_it() -> None:
    told = subprocess.run(
        [sys.executable, "-c", "import sys, thymedeck.__main__, thymedeck.net.service; print(*sys.modules)"],
        capture_output=True,
        text=True,
    )
    assert "thymedeck.net.service" in told.stdout, told.stderr
    assert "thymedeck.configuration" not in told.stdout


# Its file of settings


def sheet(folder: Path, **changed: object) -> str:
    path = folder / "configuration.toml"
    lines = {"keepers": [f"127.0.0.1:{7951 + at}" for at in range(4)], "saved": "last"} | changed
    path.write_text("\n".join(f"{name} = {json.dumps(value)}" for name, value in lines.items()))
    return str(path)


def test_the_sheet_in_deploy_says_what_holds_without_it(tmp_path: Path) -> None:
    shown = read(str(Path(__file__).parents[1] / "deploy" / "configuration.toml"))
    assert shown.bounds == Bounds() == read(sheet(tmp_path)).bounds
    assert read(sheet(tmp_path)).saved == tmp_path / "last"
    assert read(sheet(tmp_path, ask_every="1500 ms")).bounds.ask_every == 15_000


@pytest.mark.parametrize(
    ("changed", "line"),
    [
        ({"keepers": ["127.0.0.1:1", "127.0.0.1:2"]}, "keepers: 2, with fewer than 3 none may be lost"),
        ({"keepers": ["127.0.0.1:1"] * 3}, "keepers: one is named twice"),
        ({"keepers": ["there:1"] * 3}, "keepers: 'there' is no IPv4 address"),
        ({"ask_every": "1"}, "ask_every: '1' is not a number with one of the units ms, s, min"),
        ({"ask_every": "2 s"}, "in_force_within: '3 s' is under ask_every and answer_within of every keeper"),
        ({"fresh_for": "1.6 s"}, "in_force_within: '3 s' is under two times fresh_for"),
        ({"read_every": "1 s"}, "fresh_for: '1.5 s' is under two times read_every"),
        ({"give_up_after": "2 s"}, "give_up_after: '2 s' is under in_force_within"),
        ({"refusers": 0}, "refusers: 0 is under 1"),
        ({"saved": ""}, "saved: no file is named"),
        ({"more": 1}, "Object contains unknown field `more`"),
    ],
)
def test_an_unfit_sheet_is_refused_with_one_line(tmp_path: Path, changed: dict, line: str) -> None:
    path = sheet(tmp_path, **changed)
    with pytest.raises(SettingsFileError) as why:
        read(path)
    assert str(why.value) == f"{path}: {line}"
