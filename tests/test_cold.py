"""What fleets send to cold servers together: by the decisions themselves in virtual time, by exact sums."""

from math import ceil, comb, sqrt

import pytest

from thymedeck.lab.cold import BEGIN, SITE, Case, Fleet, bounds, play, tail
from thymedeck.policy import admission_probability


class Watched(Fleet):
    """Asks after each session sent to a cold server that one balancer kept within its own part."""

    most = 0  # sessions in a window of one balancer, over its part as it was

    def come(self, who: int, now: int) -> int | None:
        server = super().come(who, now)
        if server is not None and server >= self.case.warm:
            self.sent = [*getattr(self, "sent", ()), (now, who, server)]
            window = [
                one for at, *one in self.sent if at > now - SITE.overload_window and one == [who, server]
            ]
            self.most = max(self.most, len(window) - ceil(self.parts(now)[who]))
        return server


def test_tail_is_the_binomial_one() -> None:
    exact = sum(comb(9, k) * 0.3**k * 0.7 ** (9 - k) for k in range(4, 10))
    assert tail([0.3] * 9, 4) == pytest.approx(exact)
    assert tail([1.0, 1.0, 0.5], 3) == pytest.approx(0.5)


@pytest.mark.parametrize(
    "case",
    [*(Case(n, 10) for n in (8, 20, 30, 200)), Case(30, 40), Case(200, 40), Case(200, 10, promised=10)],
    ids=str,
)
def test_under_one_warm_up_in_ten_thousand_falls(case: Case) -> None:
    dense, rush = bounds(case, 1)
    assert dense < 1e-4
    assert rush < 1e-4


@pytest.mark.parametrize(
    "case", [Case(20, 10, "bursts", cold=5), Case(30, 40, "herd"), Case(8, 10), Case(2, 40)], ids=str
)
def test_none_falls(case: Case) -> None:
    for seed in range(4):
        fleet = Watched(case, seed)
        assert fleet.play().fell == 0
        assert fleet.most <= 0


def test_parts_are_granted_as_often_as_stated() -> None:
    """Many more dials than draws: what is sent is what the chances come to, and is not left unused."""
    rounds, expected, sent = 10, 0.0, 0
    for seed in range(rounds):
        fleet = Fleet(Case(30, 20, rate=120.0), seed)
        for age in range(0, SITE.warm_after, SITE.warm_after // 20):
            chances = sum(admission_probability(part, 30) for part in fleet.parts(BEGIN + age))
            expected += chances * SITE.warm_after / SITE.overload_window / 20
        sent += fleet.play().sent
    assert abs(sent - expected) < 3 * sqrt(expected)


@pytest.mark.parametrize("case, rounds, least", [(Case(200, 40), 2, 0.1), (Case(30, 10), 16, 0.35)], ids=str)
def test_budgets_are_used(case: Case, rounds: int, least: float) -> None:
    """Also where a balancer dials in about every other window, and where cold servers tie with warm ones."""
    seen = [play(case, seed) for seed in range(rounds)]
    assert sum(one.sent for one in seen) > least * sum(one.allowed for one in seen)
