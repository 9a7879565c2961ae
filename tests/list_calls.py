"""Counts a fleet's list requests in virtual time: real services and a list service of limited capacity.

    python -m tests.list_calls [--balancers 200] [--capacity 28] [--refusal-cost 0.3] [--ask-within 10]
                               [--discovery on_request] [--drain-grace 2]

All balancers watch the list; then one of the failures below happens, and at its end (`t0`) the list changes.
Printed: how long after `t0` the balancers have the change, the requests without wait (which cost the service
capacity), and those refused.
"""

import argparse
import statistics
from collections import Counter
from collections.abc import Callable

from msgspec import Struct

from thymedeck.lab.scenario_run import deployment_settings
from thymedeck.lab.standins import ListedServer
from thymedeck.lab.testbed import SECOND, VirtualTestbed

MAX_DURATION = 70 * SECOND
SLOW_ANSWER = 15_000
SLOWER_ANSWER = 25_000  # longer than the balancers wait before they ask again


class FleetResult(Struct):
    received_at: list[int]  # tenths of a millisecond after t0, of the balancers that got it; sorted
    calls: int  # requests without wait from t0 on
    refused: int
    peak: int  # most calls in one second


def new_fleet(
    balancers: int,
    capacity: float,
    refusal_cost: float,
    ask_within: float,
    seed: int,
    discovery: str = "on_request",
    drain_grace: float = 2.0,
) -> VirtualTestbed:
    deployment = deployment_settings(balancers, ["m1"], ["a"]) | {"discovery": discovery}
    deployment["contract"]["ask_within_us"] = int(ask_within * 1e6)
    deployment["contract"]["drain_grace_us"] = int(drain_grace * 1e6)
    testbed = VirtualTestbed(seed, deployment)
    testbed.add_server("s0")
    testbed.list_service.update_servers(ListedServer("s0"))
    testbed.known_servers = [ListedServer("s0")]
    for at in range(balancers):
        testbed.start(f"b{at}")
    testbed.list_service.capacity, testbed.list_service.refusal_cost = capacity, refusal_cost
    return testbed


def watching(testbed: VirtualTestbed) -> VirtualTestbed:
    """Runs until all balancers watch the list."""
    capacity, testbed.list_service.capacity = testbed.list_service.capacity, 0.0
    assert testbed.run_until(lambda: len(testbed.list_service.watches) == len(testbed.services), MAX_DURATION)
    testbed.list_service.capacity = capacity
    return testbed


def restarted(testbed: VirtualTestbed) -> None:
    """All start with an old list."""


def reset(testbed: VirtualTestbed) -> None:
    """All watches are reset at once; the service keeps running."""
    watching(testbed).list_service.take_down()
    testbed.list_service.is_down = False


def down(testbed: VirtualTestbed) -> None:
    """The service resets all connections for eight seconds."""
    watching(testbed).list_service.take_down()
    testbed.run(8 * SECOND)
    testbed.list_service.is_down = False


def silent(testbed: VirtualTestbed) -> None:
    """All watches stay open but are never answered."""
    for _, _, due in watching(testbed).list_service.watches:
        due.cancel()
    testbed.list_service.watches.clear()


def moved(testbed: VirtualTestbed) -> None:
    """The service is down for eight seconds, then all balancers get its new address at once."""
    down(testbed)
    for name in testbed.services:
        address = ("10.2.0.1", 20_000 + int(name[1:]))
        testbed.list_service.listen_for(name, address)
        testbed.services[name].list_client.switch_to(address)


def slow(testbed: VirtualTestbed) -> None:
    """All watches are reset at once; from then on each call is looked at only after 1.5 s."""
    reset(testbed)
    testbed.list_service.answer_delay = SLOW_ANSWER


def slower(testbed: VirtualTestbed) -> None:
    """The same after 2.5 s."""
    reset(testbed)
    testbed.list_service.answer_delay = SLOWER_ANSWER


def crowded(testbed: VirtualTestbed) -> None:
    """All watches are reset at once, and the service lets calls wait for as long as 2 s before it refuses."""
    reset(testbed)
    testbed.list_service.max_queue_time = 2 * SECOND


FLEET_FAILURES: tuple[Callable[[VirtualTestbed], None], ...] = (restarted, reset, down, silent, moved)
SLOW_FAILURES: tuple[Callable[[VirtualTestbed], None], ...] = (slow, slower, crowded)


def run_with_failure(testbed: VirtualTestbed, failure: Callable[[VirtualTestbed], None]) -> FleetResult:
    failure(testbed)
    t0 = testbed.now()
    testbed.list_service.change_server("s0", weight=2.0)
    wanted = testbed.list_service.version
    received_at: dict[str, int] = {}

    def all_have_change() -> bool:
        for name, service in testbed.services.items():
            if name not in received_at and service.list_client.version >= wanted:
                received_at[name] = testbed.now() - t0
        return len(received_at) == len(testbed.services)

    end = t0 + MAX_DURATION
    while not all_have_change() and testbed.now() < end:
        testbed.run(SECOND // 50)
    entries = [one for one in testbed.record.entries if one["at"] >= t0]
    calls = [one["at"] for one in entries if one["what"] == "list call" and not one["wait"]]
    refused = sum(one["what"] == "list answer" and one["status"] == 503 for one in entries)
    seconds = Counter((at - t0) // SECOND for at in calls)
    return FleetResult(sorted(received_at.values()), len(calls), refused, max(seconds.values(), default=0))


def table_row(results: list[FleetResult], balancers: int) -> str:
    def mean(values: list[float]) -> str:
        return f"{statistics.mean(values):6.1f}" if len(values) == len(results) else "  none"

    def times_at(share: float) -> list[float]:
        at = max(round(share * balancers) - 1, 0)
        return [one.received_at[at] / SECOND for one in results if len(one.received_at) > at]

    in_time = [sum(at <= 6 * SECOND for at in one.received_at) for one in results]
    return (
        f"{mean(in_time)} | {mean(times_at(0.5))} | {mean(times_at(0.9))} | {mean(times_at(1.0))} |"
        f" {mean([one.calls for one in results])} | {mean([one.refused for one in results])} |"
        f" {mean([one.peak for one in results])} |"
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--balancers", type=int, default=200)
    parser.add_argument("--capacity", type=float, default=28.0, help="calls a second")
    parser.add_argument("--refusal-cost", type=float, default=0.3)
    parser.add_argument("--ask-within", type=float, default=10.0, help="seconds")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--discovery", choices=["on_request", "pushed"], default="on_request")
    parser.add_argument("--drain-grace", type=float, default=2.0, help="seconds")
    arguments = parser.parse_args()
    print("| failure | have it by 6 s | half | nine in ten | all | calls | refused | most a second |")
    for failure in FLEET_FAILURES + SLOW_FAILURES:
        results = [
            run_with_failure(
                new_fleet(
                    arguments.balancers,
                    arguments.capacity,
                    arguments.refusal_cost,
                    arguments.ask_within,
                    seed,
                    arguments.discovery,
                    arguments.drain_grace,
                ),
                failure,
            )
            for seed in range(arguments.seeds)
        ]
        print(f"| {failure.__name__:9} | {table_row(results, arguments.balancers)}", flush=True)


if __name__ == "__main__":
    main()
