"""Dials of whole fleets to cold servers: simulated decisions in virtual time, and exact probabilities."""

from math import ceil, comb, sqrt

import pytest

from thymedeck.lab.cold import (
    DEPLOYMENT,
    START_TIME,
    Case,
    WarmUpFleet,
    failure_bounds,
    probability_of_at_least,
    run_warm_up,
)
from thymedeck.policy import admission_probability


class ShareCheckingFleet(WarmUpFleet):
    """Records by how much a balancer exceeds its own share of the budget of a cold server."""

    max_excess = 0  # sessions of one balancer in a window, less its share at that time, rounded up

    def replace_session(self, index: int, now: int) -> int | None:
        server = super().replace_session(index, now)
        if server is not None and server >= self.case.warm_servers:
            self.sent = [*getattr(self, "sent", ()), (now, index, server)]
            window = [
                pair
                for at, *pair in self.sent
                if at > now - DEPLOYMENT.overload_window and pair == [index, server]
            ]
            self.max_excess = max(self.max_excess, len(window) - ceil(self.budget_shares(now)[index]))
        return server


def test_probability_matches_the_binomial_distribution() -> None:
    exact = sum(comb(9, k) * 0.3**k * 0.7 ** (9 - k) for k in range(4, 10))
    assert probability_of_at_least([0.3] * 9, 4) == pytest.approx(exact)
    assert probability_of_at_least([1.0, 1.0, 0.5], 3) == pytest.approx(0.5)


@pytest.mark.parametrize(
    "case",
    [*(Case(n, 10) for n in (8, 20, 30, 200)), Case(30, 40), Case(200, 40), Case(200, 10, promised=10)],
    ids=str,
)
def test_fewer_than_one_warm_up_in_ten_thousand_fails(case: Case) -> None:
    """By upper bounds from exact probabilities, as so rare a failure would take far too many simulations."""
    dense, simultaneous = failure_bounds(case, 1)
    assert dense < 1e-4
    assert simultaneous < 1e-4


@pytest.mark.parametrize(
    "case",
    [Case(20, 10, "bursts", cold_servers=5), Case(30, 40, "herd"), Case(8, 10), Case(2, 40)],
    ids=str,
)
def test_no_cold_server_fails(case: Case) -> None:
    """Nor does any balancer send more sessions than its own share of the budget, rounded up."""
    for seed in range(4):
        fleet = ShareCheckingFleet(case, seed)
        assert fleet.run().failed == 0
        assert fleet.max_excess <= 0


def test_shares_are_used_as_often_as_their_probabilities_say() -> None:
    """With many more arrivals than admission draws, the sessions sent match the draws' expected value.

    A budget that a draw grants must not stay unused.
    """
    rounds, expected, sent = 10, 0.0, 0
    for seed in range(rounds):
        fleet = WarmUpFleet(Case(30, 20, arrivals_per_second=120.0), seed)
        for age in range(0, DEPLOYMENT.warm_after, DEPLOYMENT.warm_after // 20):
            probabilities = sum(
                admission_probability(share, 30) for share in fleet.budget_shares(START_TIME + age)
            )
            expected += probabilities * DEPLOYMENT.warm_after / DEPLOYMENT.overload_window / 20
        sent += fleet.run().sent
    assert abs(sent - expected) < 3 * sqrt(expected)


@pytest.mark.parametrize("case, rounds, least", [(Case(200, 40), 2, 0.1), (Case(30, 10), 16, 0.35)], ids=str)
def test_budgets_are_used(case: Case, rounds: int, least: float) -> None:
    """Also where a balancer dials in about every other window, and where cold and warm servers rank alike."""
    results = [run_warm_up(case, seed) for seed in range(rounds)]
    assert sum(result.sent for result in results) > least * sum(result.allowed for result in results)
