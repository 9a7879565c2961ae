"""Measures the cost and detection times of peers on real daemons, from their logs, the relays and /proc."""

from .membership import cut_by_parity
from .play import deployment_settings
from .stage import SECOND, ProcessTestbed, cpu_seconds

CONVERGENCE_TIMEOUT = 60 * SECOND


def measure_processes(balancers: int, seed: int, quiet: int) -> list[str]:
    """Returns lines of results. `quiet` is how long the cost is measured while nothing happens."""
    settings = deployment_settings(balancers, ["m1"], ["a"])
    with ProcessTestbed(seed, settings, {}) as testbed:
        names = testbed.start_fleet(balancers)
        lines = [f"full membership after {time_until_all_see(testbed, balancers - 1)}"]
        core, rate = measure_cost(testbed, names, quiet)
        lines.append(f"with peers: {core:.4f} CPU cores, {rate:.0f} B/s sent, per balancer")
        testbed.kill("b1")
        lines.append(f"failure detected by all after {time_until_all_see(testbed, balancers - 2)}")
        testbed.start("b1")
        testbed.wait_until_started("b1")
        lines.append(f"join seen by all after {time_until_all_see(testbed, balancers - 1)}")
        testbed.run(5 * SECOND)
        testbed.faults.entries += cut_by_parity(testbed.now())
        testbed.run(10 * SECOND)
        lines.append(
            f"membership agreed after a 10 s partition: {time_until_all_see(testbed, balancers - 1)}"
        )
    with ProcessTestbed(seed, settings, None) as testbed:
        core, _ = measure_cost(testbed, testbed.start_fleet(balancers), quiet)
        lines.append(f"without peers: {core:.4f} CPU cores per balancer")
    return lines


def time_until_all_see(testbed: ProcessTestbed, count: int) -> str:
    """Waits until every running balancer reports `count` live peers; returns the time, "-" on a timeout."""
    since = testbed.now()
    if not testbed.run_until(
        lambda: all(testbed.live_peer_count(name) == count for name in testbed.alive), CONVERGENCE_TIMEOUT
    ):
        return "-"
    return f"{(testbed.now() - since) / SECOND:.1f} s"


def measure_cost(testbed: ProcessTestbed, names: list[str], quiet: int) -> tuple[float, float]:
    """Returns the fraction of a CPU core and the datagram bytes per second that each balancer uses."""

    def usage() -> tuple[float, int]:
        cpu = sum(cpu_seconds(testbed.processes[name].pid) for name in names)
        return cpu, sum(testbed.datagram_bytes.get(name, 0) for name in names)

    testbed.run(2 * SECOND)
    cpu, sent = usage()
    testbed.run(quiet)
    cpu_after, sent_after = usage()
    balancer_seconds = len(names) * quiet / SECOND
    return (cpu_after - cpu) / balancer_seconds, (sent_after - sent) / balancer_seconds
