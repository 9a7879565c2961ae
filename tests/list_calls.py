"""Counts a fleet's calls for the list in virtual time: the program's services, and a list service that tires.

    python -m tests.list_calls [--balancers 200] [--capacity 28] [--refusal-cost 0.3] [--ask-within 10]

All balancers watch; then comes one of the troubles below, and with its end (`t0`) a change of the list.
Printed: how long after `t0` the balancers have it, the calls that cost the service a turn, those refused.
"""

import argparse
import statistics
from collections import Counter
from collections.abc import Callable

from msgspec import Struct

from thymedeck.lab.play import settings
from thymedeck.lab.stage import SECOND, Virtual
from thymedeck.lab.standins import Listed

LONGEST = 70 * SECOND


class Seen(Struct):
    had: list[int]  # after t0, in tenths of a millisecond, of the balancers that came to have it, sorted
    calls: int  # from t0 on that asked for no wait
    refused: int
    peak: int  # most of them in a second


def fleet(balancers: int, capacity: float, refusal_cost: float, ask_within: float, seed: int) -> Virtual:
    told = settings(balancers, ["m1"], ["a"])
    told["contract"]["ask_within_us"] = int(ask_within * 1e6)
    stage = Virtual(seed, told)
    stage.add_server("s0")
    stage.list.set(Listed("s0"))
    stage.known = [Listed("s0")]
    for at in range(balancers):
        stage.start(f"b{at}")
    stage.list.capacity, stage.list.refusal_cost = capacity, refusal_cost
    return stage


def watching(stage: Virtual) -> Virtual:
    """All balancers have the list and watch."""
    capacity, stage.list.capacity = stage.list.capacity, 0.0
    assert stage.run_until(lambda: len(stage.list.watches) == len(stage.services), LONGEST)
    stage.list.capacity = capacity
    return stage


def restarted(stage: Virtual) -> None:
    """All start with a list of old."""


def reset(stage: Virtual) -> None:
    """All watches are reset at once, the service goes on."""
    watching(stage).list.fall()
    stage.list.down = False


def down(stage: Virtual) -> None:
    """The service resets whatever comes for eight seconds."""
    watching(stage).list.fall()
    stage.run(8 * SECOND)
    stage.list.down = False


def silent(stage: Virtual) -> None:
    """All open watches fall silent, and stay open."""
    for _, _, due in watching(stage).list.watches:
        due.cancel()
    stage.list.watches.clear()


def moved(stage: Virtual) -> None:
    """The service is down for eight seconds, then all are told at once that it has moved."""
    down(stage)
    for name in stage.services:
        address = ("10.2.0.1", 20_000 + int(name[1:]))
        stage.list.open_for(name, address)
        stage.services[name].list_client.switch_to(address)


TROUBLES: tuple[Callable[[Virtual], None], ...] = (restarted, reset, down, silent, moved)


def play(stage: Virtual, trouble: Callable[[Virtual], None]) -> Seen:
    trouble(stage)
    t0 = stage.now()
    stage.list.change("s0", weight=2.0)
    wanted = stage.list.version
    had: dict[str, int] = {}

    def all_have() -> bool:
        for name, service in stage.services.items():
            if name not in had and service.list_client.version >= wanted:
                had[name] = stage.now() - t0
        return len(had) == len(stage.services)

    end = t0 + LONGEST
    while not all_have() and stage.now() < end:
        stage.run(SECOND // 50)
    entries = [one for one in stage.record.entries if one["at"] >= t0]
    calls = [one["at"] for one in entries if one["what"] == "list call" and not one["wait"]]
    refused = sum(one["what"] == "list answer" and one["status"] == 503 for one in entries)
    seconds = Counter((at - t0) // SECOND for at in calls)
    return Seen(sorted(had.values()), len(calls), refused, max(seconds.values(), default=0))


def row(plays: list[Seen], balancers: int) -> str:
    def mean(values: list[float]) -> str:
        return f"{statistics.mean(values):6.1f}" if len(values) == len(plays) else "  none"

    def part(share: float) -> list[float]:
        at = max(round(share * balancers) - 1, 0)
        return [one.had[at] / SECOND for one in plays if len(one.had) > at]

    in_time = [sum(at <= 6 * SECOND for at in one.had) for one in plays]
    return (
        f"{mean(in_time)} | {mean(part(0.5))} | {mean(part(0.9))} | {mean(part(1.0))} |"
        f" {mean([one.calls for one in plays])} | {mean([one.refused for one in plays])} |"
        f" {mean([one.peak for one in plays])} |"
    )


def main() -> None:
    asks = argparse.ArgumentParser()
    asks.add_argument("--balancers", type=int, default=200)
    asks.add_argument("--capacity", type=float, default=28.0, help="calls a second")
    asks.add_argument("--refusal-cost", type=float, default=0.3)
    asks.add_argument("--ask-within", type=float, default=10.0, help="seconds")
    asks.add_argument("--seeds", type=int, default=4)
    told = asks.parse_args()
    print("| trouble | have it by 6 s | half | nine in ten | all | calls | refused | most a second |")
    for trouble in TROUBLES:
        plays = [
            play(fleet(told.balancers, told.capacity, told.refusal_cost, told.ask_within, seed), trouble)
            for seed in range(told.seeds)
        ]
        print(f"| {trouble.__name__:9} | {row(plays, told.balancers)}", flush=True)


if __name__ == "__main__":
    main()
