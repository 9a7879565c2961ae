"""Fleets of thousands of servers: what a decision costs must not grow with the list."""

from thymedeck.lab import checks
from thymedeck.lab.play import settings
from thymedeck.lab.stage import SECOND, Processes
from thymedeck.lab.standins import Listed

SERVERS = 3_200
FLEET = 200  # balancers that the settings tell of; one of them runs
RATE = 20.0  # sessions a second at this one
DEADLINE = 12_000


def restart_half(stage: Processes) -> None:
    """The list tells that every second server has just started, in one answer, as in a release."""
    now_ms = stage.loop.system.time_ns() / 1_000_000
    half = list(stage.list.servers.values())[::2]
    stage.list.set(*(Listed(one.id, zone=one.zone, kind=one.kind, started_ms=now_ms) for one in half))


# Guards against requests that get no answer because a placement visits thousands of cold servers one by one.
def test_every_request_is_answered_in_time_during_a_release_of_thousands_of_servers() -> None:
    with Processes(1, settings(FLEET, ["m1", "m2"], ["a", "b"])) as stage:
        for at in range(SERVERS):
            stage.add_server(f"s{at}", work=0)
        stage.known = [
            Listed(f"s{at}", zone="ab"[at % 2], kind=f"m{1 + at // 2 % 2}") for at in range(SERVERS)
        ]
        stage.list.set(*stage.known)
        stage.start("b0")
        stage.started("b0")
        crowd = stage.add_crowd(1, RATE, 3 * SECOND, ("chat", "once"), DEADLINE)
        stage.run(2 * SECOND)
        restart_half(stage)
        stage.run(4 * SECOND)
        crowd.stopped = True
        stage.run(4 * SECOND)
        entries = stage.record.entries
        log = stage.log("b0")
    told = [one for one in log if one["event"] == "listed" and one["kind"] == "CHANGES" and one["started_ms"]]
    assert len(told) == SERVERS // 2
    assert len(stage.record.of("client line")) > RATE * 4
    assert not checks.one_answer(entries, stage.now())
    assert not [one for one in log if one["event"] in ("fault", "text", "unanswered")]
