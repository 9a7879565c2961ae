"""Keepers and followers of the replicated configuration under network faults, crashes and restarts."""

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
    Change,
    Committed,
    Log,
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
    Tick,
    Update,
    ValidationFailure,
    Version,
    decode,
    encode,
)
from thymedeck.configuration.settings import load_configuration_settings
from thymedeck.lab.configuration_fleet import Fleet, Node
from thymedeck.lab.configuration_scenarios import SCENARIOS, ConfigurationScenarioRun, Options
from thymedeck.lab.faults import Fault
from thymedeck.peers.settings import SettingsFileError

IN_FORCE_WITHIN = Parameters().in_force_within
HOUR = 3600 * SECOND
FOREVER = 1 << 60


def validate(content: bytes) -> ValidationFailure | None:
    return ValidationFailure("limits.sockets", "is under 1") if content.startswith(b"bad") else None


def fleet_with_first(followers: int = 9, seed: int = 1, **fleet_options: bool) -> Fleet:
    fleet = Fleet(followers, seed, validate, **fleet_options)
    fleet.run_until(2 * SECOND)
    fleet.submit(fleet.keepers[0], Change(0, 0, b"first"))
    fleet.run_until(5 * SECOND)
    assert len(fleet.applied_at[1]) == followers
    return fleet


def cut(fleet: Fleet, names: str, until: int = FOREVER) -> None:
    fleet.faults.entries += [
        Fault(fleet.now, until, source=names, cut=True),
        Fault(fleet.now, until, target=names, cut=True),
    ]


def cut_region(fleet: Fleet, region: int, until: int = FOREVER) -> None:
    """Cuts a region off from the others; its own nodes still reach one another."""
    inside, outside = f"*.{region}", f"*.[!{region}]"
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
        if node.is_frozen:
            fleet.wake(name)


# Random schedules of faults and changes

STEP_KINDS = (
    "change", "change", "bad", "cut", "cut_one_way", "cut_pair", "region", "lose", "repeat", "reorder",
    "kill", "crash_inside", "start", "freeze", "wake", "heal",
)  # fmt: skip
STEPS = st.lists(
    st.tuples(st.sampled_from(STEP_KINDS), st.integers(0, 12), st.integers(0, 3 * SECOND)),
    min_size=5,
    max_size=25,
)


def apply_step(fleet: Fleet, kind: str, index: int, token: int) -> None:
    names = fleet.keepers * 2 + fleet.followers
    name = names[index % len(names)]
    keeper = fleet.keepers[index % 4]
    now = fleet.now
    if kind in ("change", "bad"):
        content = b"%s %d" % (b"bad" if kind == "bad" else b"good", token)
        fleet.submit(keeper, Change(token, fleet.last_committed(), content))
    elif kind == "cut":
        cut(fleet, name)
    elif kind == "cut_one_way":
        fleet.faults.entries.append(Fault(now, FOREVER, source=name, cut=True))
    elif kind == "cut_pair":
        fleet.faults.entries.append(Fault(now, FOREVER, source=name, target=keeper, cut=True))
    elif kind == "region":
        cut_region(fleet, index % 3, now + 4 * SECOND)
    elif kind in ("lose", "repeat"):
        fleet.faults.entries.append(Fault(now, now + 5 * SECOND, **{kind: 0.4}))
    elif kind == "reorder":
        fleet.faults.entries.append(Fault(now, now + 5 * SECOND, spread=2 * SECOND))
    elif kind == "crash_inside":
        fleet.nodes[name].crash_after = index % 5
    elif kind == "heal":
        heal(fleet)
    else:
        getattr(fleet, kind)(name)


@settings(
    max_examples=80, deadline=None, derandomize=True, database=None, suppress_health_check=list(HealthCheck)
)
@given(steps=STEPS, seed=st.integers(0, 1 << 16), is_checked=st.booleans())
def test_any_schedule_of_faults_keeps_consistency_and_converges_once_healed(
    steps: list[tuple[str, int, int]], seed: int, is_checked: bool
) -> None:
    fleet = fleet_with_first(seed=seed, checked_by_keepers=is_checked)
    for token, (kind, index, wait) in enumerate(steps):
        apply_step(fleet, kind, index, token + 1)
        fleet.run_until(fleet.now + wait)
    heal(fleet)
    fleet.run_until(fleet.now + 2 * SECOND)  # delayed messages have arrived
    healed = fleet.now
    fleet.run_until(healed + 2 * IN_FORCE_WITHIN)
    assert_all_applied_last(fleet, healed)
    for _ in range(3):  # a withdrawal may be committed first, so that this change is a conflict
        fleet.submit(fleet.keepers[0], Change(999, fleet.last_committed(), b"last"))
        fleet.run_until(fleet.now + 2 * IN_FORCE_WITHIN)
        if [result for _, _, result in fleet.results if result.token == 999][-1].outcome is Outcome.COMMITTED:
            break
    assert all(fleet.committed_contents[node.applied_number] == {b"last"} for node in followers(fleet))
    assert fleet.consistency_violations() == []
    all_contents = set().union(*fleet.committed_contents.values())
    for _, _, result in fleet.results:
        if result.outcome is Outcome.COMMITTED and result.token not in (0, 999):
            assert b"good %d" % result.token in all_contents or b"bad %d" % result.token in all_contents


def followers(fleet: Fleet) -> list[Node]:
    return [fleet.nodes[name] for name in fleet.followers]


def assert_all_applied_last(fleet: Fleet, healed: int) -> None:
    """Checks that all followers applied the last version within the bound after its commit or the healing.

    If that version is invalid, no follower applies it, and the keepers must have logged a split fleet.
    """
    assert fleet.consistency_violations() == []
    last = fleet.last_committed()
    (content,) = fleet.committed_contents[last]
    if validate(content) is not None:
        assert logged(fleet, "configuration_split")
    elif fleet.now - max(healed, fleet.committed_at[last]) >= IN_FORCE_WITHIN:
        assert [node.name for node in followers(fleet) if node.applied_number != last] == []


# Changes


def test_an_invalid_change_is_refused_by_the_keeper_and_never_proposed() -> None:
    fleet = fleet_with_first()
    fleet.submit(fleet.keepers[1], Change(7, 1, b"bad"))
    fleet.run_until(fleet.now + 2 * IN_FORCE_WITHIN)
    assert [result for _, _, result in fleet.results][-1] == (7, Outcome.INVALID, 1)
    (line,) = [log for _, _, log in fleet.logs if log.event == "configuration_unfit"]
    assert line.fields == {"entry": "limits.sockets", "reason": "is under 1", "base": 1}
    assert list(fleet.committed_contents) == [1]


def test_a_version_that_only_followers_refuse_is_never_applied_and_is_withdrawn_in_time() -> None:
    """Happens where keepers and followers run different programs, so that keepers accept the content."""
    fleet = fleet_with_first(checked_by_keepers=False)
    fleet.submit(fleet.keepers[1], Change(7, 1, b"bad"))
    submitted_at = fleet.now
    fleet.run_until(submitted_at + IN_FORCE_WITHIN)
    assert 2 not in fleet.applied_at
    assert {node.applied_number for node in followers(fleet)} == {3}
    assert (fleet.committed_contents[3], fleet.consistency_violations()) == ({b"first"}, [])
    for name in fleet.followers:
        (line,) = [
            log for _, source, log in fleet.logs if source == name and log.event == "configuration_refused"
        ]
        expected = {"file": f"{name}.saved", "number": 2, "entry": "limits.sockets", "reason": "is under 1"}
        assert line.fields == expected


def test_a_withdrawal_is_not_withdrawn() -> None:
    """All followers refuse the restored content as well: the keepers log a split fleet and stop there."""
    fleet = fleet_with_first(checked_by_keepers=False)
    fleet.validate = lambda _: ValidationFailure("all", "is invalid")
    for name in fleet.followers:
        fleet.nodes[name].process.validate = fleet.validate
    fleet.submit(fleet.keepers[1], Change(7, 1, b"bad"))
    fleet.run_until(fleet.now + 10 * IN_FORCE_WITHIN)
    assert sorted(fleet.committed_contents) == [1, 2, 3]
    assert len({name for _, name in logged(fleet, "configuration_split")}) == 4
    assert {node.applied_number for node in followers(fleet)} == {1}


def test_a_change_based_on_an_old_version_is_a_conflict() -> None:
    fleet = fleet_with_first()
    fleet.submit(fleet.keepers[0], Change(1, 1, b"one"))
    fleet.run_until(fleet.now + SECOND)
    fleet.submit(fleet.keepers[2], Change(2, 1, b"two"))
    fleet.run_until(fleet.now + SECOND)
    assert [result for _, _, result in fleet.results][-1] == (2, Outcome.CONFLICT, 2)
    assert fleet.committed_contents[2] == {b"one"}


def test_of_concurrent_changes_at_all_keepers_exactly_one_is_committed() -> None:
    fleet = fleet_with_first()
    for index, name in enumerate(fleet.keepers):
        fleet.submit(name, Change(index + 1, 1, b"change %d" % index))
    fleet.run_until(fleet.now + 2 * IN_FORCE_WITHIN)
    outcomes = Counter(result.outcome for _, _, result in fleet.results[1:])
    assert outcomes == {Outcome.COMMITTED: 1, Outcome.CONFLICT: 3}
    assert sorted(fleet.committed_contents) == [1, 2]


def test_without_a_majority_nothing_is_committed_and_an_isolated_keeper_is_stale() -> None:
    fleet = fleet_with_first()
    fleet.kill(fleet.keepers[0])
    cut(fleet, fleet.keepers[1])
    fleet.run_until(fleet.now + IN_FORCE_WITHIN)
    fleet.submit(fleet.keepers[2], Change(7, 1, b"two"))
    fleet.run_until(fleet.now + 11 * SECOND)
    assert [result for _, _, result in fleet.results][-1] == (7, Outcome.NOT_COMMITTED, 1)
    # The two that are left know that no majority exists without one of them; the isolated one does not.
    assert [fleet.nodes[name].process.is_fresh(fleet.now) for name in fleet.keepers[1:]] == [
        False,
        True,
        True,
    ]
    assert [name for at, name in logged(fleet, "keeper_stale") if at > 5 * SECOND] == [fleet.keepers[1]]
    assert logged(fleet, "configuration_unheard") == []
    fleet.faults.entries.clear()
    fleet.submit(fleet.keepers[2], Change(8, 1, b"two"))
    healed = fleet.now
    fleet.run_until(healed + IN_FORCE_WITHIN)
    assert {node.applied_number for node in followers(fleet)} == {2}


def test_another_keeper_commits_the_version_of_a_proposer_that_died() -> None:
    fleet = fleet_with_first()
    fleet.submit(fleet.keepers[0], Change(7, 1, b"two"))
    while fleet.nodes[fleet.keepers[0]].process.state.accepted_version.number < 2:
        fleet.run_until(fleet.now + 1)
    fleet.kill(fleet.keepers[0])
    fleet.run_until(fleet.now + IN_FORCE_WITHIN)
    assert {node.applied_number for node in followers(fleet)} == {2}


# Isolated and frozen nodes


def test_followers_of_an_isolated_region_log_it_once_and_catch_up_in_time_after_healing() -> None:
    """Region 1 has one of the four keepers; region 0 has two and region 2 one."""
    fleet = fleet_with_first(followers=12)
    cut_region(fleet, 1)
    fleet.run_until(fleet.now + SECOND)
    fleet.submit(fleet.keepers[0], Change(7, 1, b"two"))
    fleet.run_until(fleet.now + 30 * SECOND)
    isolated = [name for name in fleet.followers if name.endswith(".1")]
    assert {
        name for name, node in fleet.nodes.items() if name in fleet.followers and node.applied_number == 2
    } == set(fleet.followers) - set(isolated)
    assert sorted(name for _, name in logged(fleet, "configuration_unheard")) == sorted(isolated)
    split = [log.fields for _, _, log in fleet.logs if log.event == "configuration_split"]
    assert split and all(fields["unheard"] == 4 for fields in split)
    fleet.faults.entries.clear()
    fleet.run_until(fleet.now + IN_FORCE_WITHIN)
    assert {node.applied_number for node in followers(fleet)} == {2}
    assert sorted(name for _, name in logged(fleet, "configuration_heard")) == sorted(isolated)
    fleet.run_until(fleet.now + IN_FORCE_WITHIN)
    assert len(logged(fleet, "configuration_whole")) == len(split)


def test_frozen_nodes_catch_up_in_time_after_waking() -> None:
    fleet = fleet_with_first(followers=12)
    frozen = [fleet.keepers[1], *fleet.followers[::3]]
    for name in frozen:
        fleet.freeze(name)
    fleet.submit(fleet.keepers[0], Change(7, 1, b"two"))
    fleet.run_until(fleet.now + 60 * SECOND)
    assert sum(node.applied_number == 2 for node in followers(fleet)) == 8
    for name in frozen:
        fleet.wake(name)
    fleet.run_until(fleet.now + IN_FORCE_WITHIN)
    assert {node.applied_number for node in followers(fleet)} == {2}
    assert fleet.consistency_violations() == []


def test_a_lost_push_is_made_up_by_polling_in_time() -> None:
    fleet = fleet_with_first()
    fleet.submit(fleet.keepers[0], Change(7, 1, b"two"))
    while fleet.last_committed() < 2:
        fleet.run_until(fleet.now + 1)
    fleet.faults.entries.append(Fault(fleet.now, fleet.now + SECOND // 2, target="b*", lose=1.0))
    fleet.run_until(fleet.now + IN_FORCE_WITHIN)
    assert {node.applied_number for node in followers(fleet)} == {2}


# Keeper

KEEPERS = ("k0", "k1", "k2", "k3")


def new_keeper(saved_state: PersistentState | None = None) -> Keeper:
    return Keeper("k1", KEEPERS, Parameters(), validate, 1, 0, saved_state)


def sent(actions: list, kind: type) -> list:
    return [action.message for action in actions if type(action) is Send and type(action.message) is kind]


def test_promises_and_accepted_versions_are_saved_before_the_answer_and_survive_a_restart() -> None:
    keeper = new_keeper()
    actions = keeper.handle(1, Received("k3", Prepare((4, 3))))
    assert [type(action) for action in actions[:2]] == [Save, Send]
    restarted = new_keeper(actions[0].state)
    assert sent(restarted.handle(2, Received("k0", Prepare((4, 0)))), Nack) == [Nack((4, 0), (4, 3))]
    assert sent(restarted.handle(3, Received("k0", Accept((4, 0), Version(1, b"x")))), Nack)
    actions = restarted.handle(4, Received("k3", Accept((4, 3), Version(1, b"x"))))
    assert [type(action) for action in actions[:2]] == [Save, Send]
    restarted_twice = new_keeper(actions[0].state)
    (promise,) = sent(restarted_twice.handle(5, Received("k0", Prepare((5, 0)))), Promise)
    assert promise == Promise((5, 0), (4, 3), Version(1, b"x"))


def test_a_keeper_that_was_stale_for_an_hour_sends_no_version_before_a_new_quorum_read() -> None:
    old_version = Version(5, b"old")
    keeper = new_keeper(
        PersistentState(
            committed_version=old_version,
            accepted_version=old_version,
            accepted_ballot=(1, 0),
            promised_ballot=(1, 0),
        )
    )
    (request, *_) = sent(keeper.handle(0, Tick()), ReadRequest)
    response = ReadResponse(request.nonce, 5, 5)
    keeper.handle(10, Received("k0", response))
    assert sent(keeper.handle(20, Received("b", Poll(3, 0, 0))), Update) == [Update(3, True, 5, b"old")]
    # An hour later, messages that waited in its sockets arrive before any newer response.
    assert sent(keeper.handle(HOUR, Received("b", Poll(4, 0, 0))), Update) == [Update(4, False)]
    (request, *_) = sent(keeper.handle(HOUR + 1 + SECOND, Tick()), ReadRequest)
    now = HOUR + 2 + SECOND
    keeper.handle(now, Received("k0", response))
    keeper.handle(now, Received("k2", response))
    assert not keeper.is_fresh(now)
    # Nor does an answer count that shows an accepted version beyond the committed one.
    keeper.handle(now, Received("k2", ReadResponse(request.nonce, 5, 6)))
    assert not keeper.is_fresh(now)
    keeper.handle(now, Received("k3", ReadResponse(request.nonce, 6, 6, Version(6, b"new"))))
    assert keeper.is_fresh(now)
    assert sent(keeper.handle(now, Received("b", Poll(5, 5, 0))), Update) == [Update(5, True, 6, b"new")]


def test_the_accepted_version_of_the_highest_ballot_is_proposed_not_the_highest_number() -> None:
    """Version 6 was accepted in ballot 2, 5 in ballot 3: no majority had that 6, and none ever will."""
    keeper = new_keeper()
    keeper.handle(0, Change(7, 5, b"mine"))
    ballot = keeper.state.promised_ballot
    keeper.handle(2, Received("k0", Promise(ballot, (2, 0), Version(6, b"lost"))))
    actions = keeper.handle(3, Received("k2", Promise(ballot, (3, 2), Version(5, b"five"))))
    assert {message.version for message in sent(actions, Accept)} == {Version(6, b"mine", b"five")}


def test_a_ballot_ends_once_a_higher_one_has_been_promised() -> None:
    keeper = new_keeper()
    keeper.handle(0, Change(7, 0, b"mine"))
    ballot = keeper.state.promised_ballot
    keeper.handle(1, Received("k3", Prepare((ballot[0] + 1, 3))))
    keeper.handle(2, Received("k0", Promise(ballot, (0, 0), Version())))
    assert sent(keeper.handle(3, Received("k2", Promise(ballot, (0, 0), Version()))), Accept) == []
    assert keeper.state.accepted_version == Version()


def test_the_committed_version_never_goes_back() -> None:
    keeper = new_keeper()
    keeper.handle(1, Received("k0", Committed(Version(5, b"five"))))
    assert keeper.handle(2, Received("k0", Committed(Version(4, b"four")))) == []
    assert keeper.committed_version == Version(5, b"five")


def test_with_five_keepers_one_answer_is_no_read_quorum() -> None:
    """The other three keepers may be a majority that has committed a newer version."""
    keeper = Keeper("k1", (*KEEPERS, "k4"), Parameters(), validate, 1, 0)
    (request, *_) = sent(keeper.handle(0, Tick()), ReadRequest)
    keeper.handle(1, Received("k0", ReadResponse(request.nonce, 0, 0)))
    keeper.handle(2, Received("k0", ReadResponse(request.nonce, 0, 0)))
    assert not keeper.is_fresh(2)
    keeper.handle(3, Received("k2", ReadResponse(request.nonce, 0, 0)))
    assert keeper.is_fresh(3)


def test_ballot_messages_are_resent_to_keepers_that_have_not_answered() -> None:
    keeper = new_keeper()
    keeper.handle(0, Change(7, 0, b"mine"))
    ballot = keeper.state.promised_ballot
    keeper.handle(1, Received("k0", Promise(ballot, (0, 0), Version())))
    actions = keeper.handle(SECOND // 10, Tick())
    assert [action.target for action in actions if type(action.message) is Prepare] == ["k2", "k3"]
    keeper.handle(SECOND // 10 + 1, Received("k2", Promise(ballot, (0, 0), Version())))
    keeper.handle(SECOND // 10 + 2, Received("k0", Accepted(ballot)))
    actions = keeper.handle(SECOND // 5, Tick())
    assert [action.target for action in actions if type(action.message) is Accept] == ["k2", "k3"]


def test_recovery_is_postponed_while_another_keeper_runs_ballots() -> None:
    """Four keepers that all started recovery ballots pre-empted one another for 15 s."""
    keeper = new_keeper()
    keeper.handle(0, Received("k0", Accept((1, 0), Version(1, b"x"))))
    for number in range(1, 6):
        now = number * SECOND * 9 // 10
        keeper.handle(now, Received("k3", Prepare((1 + number, 3))))
        assert keeper.state.promised_ballot == (1 + number, 3)
    assert sent(keeper.handle(now + SECOND * 9 // 10, Tick()), Prepare) == []
    assert sent(keeper.handle(now + SECOND * 3 // 2, Tick()), Prepare)


def test_a_version_in_doubt_is_settled_by_a_later_ballot_that_commits_an_older_number() -> None:
    keeper = new_keeper()
    (request, *_) = sent(keeper.handle(0, Tick()), ReadRequest)
    keeper.handle(1, Received("k3", ReadResponse(request.nonce, 0, 6)))
    now = 2 * SECOND
    keeper.handle(now, Tick())
    ballot = keeper.state.promised_ballot
    for name in ("k0", "k2"):
        keeper.handle(now + 1, Received(name, Promise(ballot, (3, 2), Version(5, b"five"))))
    for name in ("k0", "k2"):
        keeper.handle(now + 2, Received(name, Accepted(ballot)))
    assert (keeper.committed_version.number, keeper.due_at) == (5, keeper.next_read_at)


def test_a_pushed_version_is_not_sent_again_while_it_may_be_in_flight() -> None:
    keeper = new_keeper()
    (request, *_) = sent(keeper.handle(0, Tick()), ReadRequest)
    keeper.handle(1, Received("k0", ReadResponse(request.nonce, 0, 0)))
    keeper.handle(2, Received("b", Poll(1, 0, 0)))
    assert sent(keeper.handle(3, Received("k0", Committed(Version(1, b"x")))), Update) == [
        Update(0, True, 1, b"x")
    ]
    assert sent(keeper.handle(4, Received("b", Poll(2, 0, 0))), Update) == [Update(2, True, 1)]
    now = 3 + Parameters().answer_within
    assert sent(keeper.handle(now, Received("b", Poll(3, 0, 0))), Update) == [Update(3, True, 1, b"x")]


def test_a_withdrawal_skips_a_version_that_was_refused_as_well() -> None:
    keeper = new_keeper()
    last = Version(2, b"bad", b"first")
    for index in range(3):
        assert keeper.rollback_content_after(last) == b"bad"
        keeper.handle(1 + index, Received(f"b{index}", Poll(1, 1, 2)))
    assert keeper.rollback_content_after(last) == b"first"


def test_an_ordinary_change_is_applied_without_waiting_for_a_timer() -> None:
    """Five messages between keepers, from Prepare to Committed, and one to followers: 40 ms each at most."""
    fleet = fleet_with_first()
    submitted_at = fleet.now
    fleet.submit(fleet.keepers[0], Change(7, 1, b"two"))
    fleet.run_until(submitted_at + SECOND // 4)
    assert {node.applied_number for node in followers(fleet)} == {2}


def test_keeper_messages_from_other_sources_are_ignored() -> None:
    keeper = new_keeper()
    for message in (
        Prepare((4, 3)),
        Accept((4, 3), Version(1, b"x")),
        Committed(Version(1, b"x")),
        Accepted((1, 1)),
    ):
        keeper.handle(1, Received("b7", message))
    assert keeper.state == PersistentState()


# Follower


def new_follower(saved_version: Version = Version(), seed: int = 1) -> Follower:  # noqa: B008 (it is frozen)
    return Follower(KEEPERS, Parameters(), validate, seed, 0, saved_version, "b.saved")


def test_a_follower_applies_only_newer_versions_saves_first_and_starts_with_the_saved_one() -> None:
    follower = new_follower(Version(3, b"three"))
    assert follower.applied_version == Version(3, b"three")
    assert follower.handle(1, Received("k0", Update(0, True, 2, b"two"))) == []
    assert follower.handle(2, Received("k0", Update(0, True, 3, b"other"))) == []
    actions = follower.handle(3, Received("k0", Update(0, True, 5, b"five")))
    assert actions == [Save(Version(5, b"five")), Apply(5, b"five")]
    assert follower.handle(4, Received("k0", Update(0, True, 4, b"four"))) == []
    assert follower.handle(5, Received("somebody", Update(0, True, 9, b"nine"))) == []
    assert follower.handle(6, Received("k0", Update(0, True, 5, b"five"))) == []


def test_a_follower_refuses_a_version_once_reports_it_at_once_and_keeps_the_last_valid_one() -> None:
    follower = new_follower(Version(3, b"three"))
    actions = follower.handle(1, Received("k0", Update(0, True, 4, b"bad")))
    assert [type(action) for action in actions] == [Log, Send]
    assert (actions[1].message.applied_number, actions[1].message.refused_number) == (3, 4)
    assert follower.handle(2, Received("k1", Update(0, True, 4, b"bad"))) == []
    assert follower.applied_version.number == 3
    assert follower.handle(3, Received("k1", Update(0, True, 5, b"good")))[1] == Apply(5, b"good")


def test_a_follower_without_answers_logs_it_once_and_polls_all_keepers_in_turn() -> None:
    follower = new_follower()
    polled: list[str] = []
    lines: list[tuple[int, str]] = []
    now = 0
    while now < HOUR // 60:
        now = max(now, follower.due_at)
        for action in follower.handle(now, Tick()):
            if type(action) is Send:
                polled.append(action.target)
            if type(action) is Log:
                lines.append((now, action.event))
    assert lines == [(IN_FORCE_WITHIN + 1, "configuration_unheard")]
    assert set(Counter(polled).values()) <= {len(polled) // 4, len(polled) // 4 + 1}
    # All four keepers once per poll interval, which is at least 0.9 s.
    assert len(polled) <= 4 * (60 / 0.9 + 1)


def test_answers_of_stale_keepers_do_not_make_a_follower_fresh() -> None:
    follower = new_follower()
    now = follower.due_at
    (send,) = follower.handle(now, Tick())
    (next_send,) = follower.handle(now + 1, Received(send.target, Update(send.message.nonce, False)))
    assert next_send.target != send.target
    follower.handle(now + 2, Received(send.target, Update(send.message.nonce, True)))
    assert follower.fresh_at == 0
    follower.handle(now + 3, Received(next_send.target, Update(next_send.message.nonce, True)))
    assert follower.fresh_at == now + 1


def test_a_follower_is_not_fresh_while_it_lacks_the_content_of_the_committed_version() -> None:
    follower = new_follower()
    now = follower.due_at
    (send,) = follower.handle(now, Tick())
    follower.handle(now + 1, Received(send.target, Update(send.message.nonce, True, 2)))
    assert (follower.fresh_at, follower.next_poll_at) == (0, now + 1 + Parameters().answer_within)


def test_an_answer_later_than_the_bound_does_not_make_a_follower_fresh() -> None:
    follower = new_follower()
    now = follower.due_at
    (send,) = follower.handle(now, Tick())
    late = now + IN_FORCE_WITHIN + 1
    assert [action.event for action in follower.handle(late, Tick()) if type(action) is Log] == [
        "configuration_unheard"
    ]
    actions = follower.handle(late + 1, Received(send.target, Update(send.message.nonce, True)))
    assert [action for action in actions if type(action) is Log] == []


def test_each_stale_keeper_is_polled_at_most_once_per_poll_interval() -> None:
    follower = new_follower()
    poll_count = 0
    while follower.due_at < 10 * SECOND:
        now = follower.due_at
        actions = follower.handle(now, Tick())
        while now < 10 * SECOND and (sends := [action for action in actions if type(action) is Send]):
            poll_count += len(sends)
            now += 10
            actions = follower.handle(now, Received(sends[0].target, Update(sends[0].message.nonce, False)))
    assert poll_count <= 4 * (10 / 0.9 + 1)


@pytest.mark.parametrize(
    "message",
    [
        Prepare((1, 2)), Promise((1, 2), (0, 0), Version()), Accept((1, 2), Version(1, b"x", b"y", 0)),
        Accepted((1, 2)), Nack((1, 2), (3, 0)), Committed(Version(1, b"x")), ReadRequest(1, 2, [("b", 1, 0)]),
        ReadResponse(1, 2, 3, Version(2, b"")), Poll(1, 2, 3), Update(1, True, 2, b"x"),
    ],
)  # fmt: skip
def test_messages_survive_encoding_and_decoding(message: object) -> None:
    assert decode(encode(message)) == message


@pytest.mark.parametrize("title", SCENARIOS)
def test_each_scenario_of_the_lab_is_in_force_everywhere_within_the_bound(title: str) -> None:
    run = ConfigurationScenarioRun(Options(balancers=24, content_size=200, cut_duration=15 * SECOND), 1)
    SCENARIOS[title](run)
    last = float(run.measure()[2])
    assert last * SECOND <= IN_FORCE_WITHIN


def test_the_bytes_per_follower_do_not_grow_with_the_fleet() -> None:
    def bytes_each(balancers: int) -> float:
        run = ConfigurationScenarioRun(Options(balancers, content_size=200, cut_duration=0), 1)
        run.submit(0, b"second")
        return float(run.measure()[4])

    assert bytes_each(60) == pytest.approx(bytes_each(12), rel=0.05)


def test_serve_does_not_import_the_configuration_package() -> None:
    result = subprocess.run(
        [sys.executable, "-c", "import sys, thymedeck.__main__, thymedeck.net.service; print(*sys.modules)"],
        capture_output=True,
        text=True,
    )
    assert "thymedeck.net.service" in result.stdout, result.stderr
    assert "thymedeck.configuration" not in result.stdout


# Settings file


def settings_file(folder: Path, **changed: object) -> str:
    path = folder / "configuration.toml"
    lines = {"keepers": [f"127.0.0.1:{7951 + index}" for index in range(4)], "saved": "last"} | changed
    path.write_text("\n".join(f"{name} = {json.dumps(value)}" for name, value in lines.items()))
    return str(path)


def test_the_file_in_deploy_states_the_defaults(tmp_path: Path) -> None:
    shown = load_configuration_settings(str(Path(__file__).parents[1] / "deploy" / "configuration.toml"))
    assert shown.parameters == Parameters() == load_configuration_settings(settings_file(tmp_path)).parameters
    assert load_configuration_settings(settings_file(tmp_path)).saved_path == tmp_path / "last"
    assert (
        load_configuration_settings(settings_file(tmp_path, ask_every="1500 ms")).parameters.ask_every
        == 15_000
    )


@pytest.mark.parametrize(
    ("changed", "line"),
    [
        (
            {"keepers": ["127.0.0.1:1", "127.0.0.1:2"]},
            "keepers: 2, at least 3 are needed to survive the loss of one",
        ),
        ({"keepers": ["127.0.0.1:1"] * 3}, "keepers: an address is listed twice"),
        ({"keepers": ["there:1"] * 3}, "keepers: 'there' is not an IPv4 address"),
        ({"ask_every": "1"}, "ask_every: '1' is not a number with one of the units ms, s, min"),
        (
            {"ask_every": "2 s"},
            "in_force_within: '3 s' is less than ask_every plus answer_within for each keeper",
        ),
        ({"fresh_for": "1.6 s"}, "in_force_within: '3 s' is less than twice fresh_for"),
        ({"read_every": "1 s"}, "fresh_for: '1.5 s' is less than twice read_every"),
        ({"give_up_after": "2 s"}, "give_up_after: '2 s' is less than in_force_within"),
        ({"refusers": 0}, "refusers: 0 is less than 1"),
        ({"saved": ""}, "saved: the path is empty"),
        ({"more": 1}, "Object contains unknown field `more`"),
    ],
)
def test_invalid_settings_are_refused_with_one_line(tmp_path: Path, changed: dict, line: str) -> None:
    path = settings_file(tmp_path, **changed)
    with pytest.raises(SettingsFileError) as error:
        load_configuration_settings(path)
    assert str(error.value) == f"{path}: {line}"
