"""The list arrives within 6 s of becoming available, with any settings and after any series of failures."""

from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thymedeck.net.late_requests import MAX_LATE_REQUESTS

from .list_calls import (
    FLEET_FAILURES,
    SLOWER_ANSWER,
    FleetResult,
    crowded,
    new_fleet,
    run_with_failure,
    silent,
    slow,
    slower,
)
from .list_paths import FAILURES, SECOND, SLOWEST_ANSWER, SLOWEST_HEARD, Play

SITES = {
    "discovery": st.sampled_from(["on_request", "pushed"]),
    "ask_within_us": st.one_of(
        st.sampled_from([400_000, 10_000_000, 60_000_000, 120_000_000]), st.integers(1, 300_000_000)
    ),
    "drain_grace_us": st.one_of(st.sampled_from([0, 1_500_000, 120_000_000]), st.integers(0, 60_000_000)),
    "replicas": st.integers(1, 420),
    "seed": st.integers(0, 1 << 30),
    "answer_duration": st.one_of(st.integers(0, SLOWEST_ANSWER), st.integers(0, SLOWEST_HEARD)),
}
SCRIPTS = st.lists(
    st.tuples(st.sampled_from(["served", "served", "served", *FAILURES]), st.floats(0, 1)), max_size=6
)
MAX_INTERVAL = 3.8  # seconds between two requests that fail
SITE = {"discovery": "on_request", "drain_grace_us": 2_000_000, "seed": 1, "answer_duration": SLOWEST_ANSWER}


@settings(max_examples=250, deadline=None, derandomize=True)
@given(script=SCRIPTS, site=st.fixed_dictionaries(SITES))
def test_the_list_arrives_in_time_after_any_series_of_failures(script: list, site: dict) -> None:
    play = Play(script, **site).run()
    assert play.received_at and play.received_at <= play.due, (
        play.world.now() - play.available_since,
        script,
        site,
    )


@pytest.mark.parametrize("replicas", [1, 40, 420])
@pytest.mark.parametrize("ask_within_us", [10_000_000, 120_000_000])
@pytest.mark.parametrize("failure", FAILURES)
def test_each_failure_alone_and_after_itself(failure: str, ask_within_us: int, replicas: int) -> None:
    """Failures of a request, of a watch and of several in a row, with the back-off that they cause."""
    site = SITE | {"ask_within_us": ask_within_us, "replicas": replicas}
    for script in (
        [],
        [(failure, 0.0)],
        [(failure, 0.0)] * 5,
        [("served", 0.0), (failure, 0.0)],
        [("served", 0.0), ("served", 0.9), (failure, 0.7), (failure, 0.0)],
    ):
        for seed in range(2):
            play = Play(script, **site | {"seed": seed}).run()
            assert play.received_at and play.received_at <= play.due, (
                play.world.now() - play.available_since,
                script,
                seed,
            )


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    script=st.lists(
        st.tuples(st.sampled_from(["refused", "reset", "503", "spoilt"]), st.just(0.0)), max_size=4
    ),
    site=st.fixed_dictionaries(SITES | {"answer_duration": st.integers(SLOWEST_ANSWER, 30 * SECOND)}),
)
def test_a_service_is_heard_however_slow_it_is(script: list, site: dict) -> None:
    """Guards against calls that are given up before the service answers, each time anew (review case 7)."""
    play = Play(script, **site).run()
    assert play.received_at and play.received_at <= play.due, (play.world.now() - play.available_since, site)


def play_slow_service(failure: Callable, discovery: str, drain_grace: float) -> tuple[FleetResult, float]:
    """Returns what 40 balancers saw, and how often one of them asks a service that does not answer."""
    fleet = new_fleet(40, 0, 0, 10, seed=1, discovery=discovery, drain_grace=drain_grace)
    # A call that hangs is followed by another after this time.
    seconds_until_next = min(drain_grace / 2, 2)
    return run_with_failure(fleet, failure), 1 / seconds_until_next


@pytest.mark.parametrize("drain_grace", [0.4, 2.0, 10.0])
@pytest.mark.parametrize("discovery", ["on_request", "pushed"])
def test_a_service_slower_than_the_timeout_is_heard_by_all_and_asked_no_more_than_needed(
    discovery: str, drain_grace: float
) -> None:
    """Guards against retries that go on while a slow service answers (review case 7)."""
    result, calls_a_second = play_slow_service(slower, discovery, drain_grace)
    assert len(result.received_at) == 40 and result.received_at[-1] <= 3.8 * SECOND + SLOWER_ANSWER, result
    slow_seconds = (result.received_at[-1] + SLOWER_ANSWER) / SECOND
    assert result.calls <= 40 * (1 + slow_seconds * calls_a_second) and result.refused == 0, result


def test_requests_to_a_silent_service_are_limited() -> None:
    """Guards against connections that pile up at a service which never answers."""
    for discovery, drain_grace in (("on_request", 2.0), ("pushed", 2.0), ("pushed", 0.4)):
        fleet = new_fleet(1, 0, 0, 10, seed=1, discovery=discovery, drain_grace=drain_grace)
        fleet.list_service.answer_delay = 1 << 40
        fleet.run(60 * SECOND)
        assert len(fleet.services["b0"].list_client.late_requests.connections) == MAX_LATE_REQUESTS


@pytest.mark.parametrize("discovery", ["on_request", "pushed"])
def test_a_service_whose_connections_come_up_late_is_heard(discovery: str) -> None:
    """Guards against connections that are given up while they come up, each time anew."""
    site = SITE | {"ask_within_us": 10_000_000, "replicas": 3, "discovery": discovery}
    for drain_grace_us in (400_000, 2_000_000):
        site |= {"drain_grace_us": drain_grace_us, "answer_duration": 3_000}
        for seed in range(5):
            play = Play([("reset", 0.0)], **site | {"seed": seed}, connect_ns=1_400_000_000).run()
            assert 0 < play.received_at - play.available_since <= 6 * SECOND, play.received_at


def test_balancers_whose_answers_never_end_retry_at_different_times() -> None:
    """The limit must not be met by all balancers calling at once."""
    site = SITE | {"ask_within_us": 10_000_000, "replicas": 200, "answer_duration": 0}
    plays = [Play([("served", 0), ("never ends", 0.7)], **site | {"seed": seed}).run() for seed in range(20)]
    delays = sorted(play.received_at - play.available_since for play in plays)
    assert delays[-1] - delays[0] > SECOND and delays[10] - delays[5] > SECOND // 10, delays


@pytest.mark.parametrize("drain_grace", [0.4, 2.0, 10.0])
@pytest.mark.parametrize("discovery", ["on_request", "pushed"])
def test_a_slow_service_is_heard_by_all_and_asked_no_more_than_needed(
    discovery: str, drain_grace: float
) -> None:
    """Guards against calls that are given up before a slow service answers, each time anew (review 3)."""
    result, calls_a_second = play_slow_service(slow, discovery, drain_grace)
    assert len(result.received_at) == 40 and result.received_at[-1] <= 6 * SECOND, result
    assert result.calls <= 40 * (1 + 1.5 * calls_a_second) and result.refused == 0, result


@pytest.mark.parametrize("failure", [*FLEET_FAILURES, crowded], ids=lambda failure: failure.__name__)
def test_a_crowded_service_gets_rid_of_its_queue_where_lists_are_pushed(failure: Callable) -> None:
    """Guards against requests that come at such a pace that refusing them takes all of the service's time."""
    result = run_with_failure(new_fleet(80, 20, 0.3, 10, seed=1, discovery="pushed"), failure)
    assert len(result.received_at) == 80, result
    assert result.calls <= 80 * (2 + result.received_at[-1] / SECOND / MAX_INTERVAL), result


@pytest.mark.parametrize("ask_within", [10, 120])
@pytest.mark.parametrize("failure", FLEET_FAILURES, ids=lambda failure: failure.__name__)
def test_a_fleet_does_not_overload_a_service_that_answers_a_few_calls_a_second(
    failure: Callable, ask_within: float
) -> None:
    """80 balancers that all ask within 3.8 s; the service answers 20 a second and refusals cost it time."""
    result = run_with_failure(new_fleet(80, 20, 0.3, ask_within, seed=1), failure)
    wait = min(ask_within / 2, 60) if failure is silent else 0
    assert len(result.received_at) == 80 and result.received_at[-1] <= max(6, wait + 2) * SECOND, result
    assert result.refused == 0 and result.peak <= 36, result  # 21 in the mean
