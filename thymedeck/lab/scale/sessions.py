"""Sessions on one real daemon: its memory, descriptors and processor time by load.

Left out: a list service that answers (the daemon keeps the list of its file), peers, other machines. Servers
and clients are stand-ins on loopback in two other processes. Parameters of the `measure_*` functions and keys
of their results are columns of CSV files.
"""

import contextlib
import time
from collections import Counter
from collections.abc import Iterator

from .daemon import Daemon, server_entry
from .endpoints import run_clients, run_servers
from .process import Worker

SERVERS = 20
IDLE_SECONDS = 4.0  # for which each idle state is measured
OPEN_RATE = 800  # per second
LINE_SIZE = 100  # bytes of a delivered line
PACED_RATE = 4000  # deliveries per second at which their cost is measured
PLACED = 300  # set-ups
CHURNED, ROUNDS = 1000, 20
# Lines per second of one balancer at the target: 25 million sessions with a line each two seconds, and 8.5
# million deliveries per second, over 420 balancers.
CLIENT_LINES, DELIVERIES = 29_762, 20_238
WHOLE_LOAD_SECONDS = 5.0
MAX_ATTEMPTS = 10  # at opening the sessions, on a machine that is busy with other work


@contextlib.contextmanager
def daemon_with_load(listed: int = SERVERS) -> Iterator[tuple[Daemon, Worker, Worker]]:
    """A daemon, its servers and its clients; if more than SERVERS are listed, several share an address."""
    with Worker(run_servers) as servers:
        ports = servers.call("open", SERVERS)
        with (
            Daemon([server_entry(f"s{index}", ports[index % SERVERS]) for index in range(listed)]) as daemon,
            Worker(run_clients, daemon.port) as clients,
        ):
            yield daemon, servers, clients


def open_sessions(daemon: Daemon, clients: Worker, count: int) -> dict:
    """Opens `count` more sessions and retries refused ones; raises ValueError after MAX_ATTEMPTS."""
    before = daemon.cpu_seconds()
    answers = Counter()
    for _ in range(MAX_ATTEMPTS):
        attempt = Counter(clients.call("open", count - answers["UP"], OPEN_RATE))
        median, _ = attempt.pop("median"), attempt.pop("took")
        answers += attempt
        if answers["UP"] == count:
            return {"cpu": daemon.cpu_seconds() - before, "median": median, "refused": answers["BUSY"]}
    raise ValueError(f"not all of {count} sessions were opened; answers: {answers}")


def measure_sessions(sessions: int, repeat: int, idle_seconds: float = IDLE_SECONDS) -> dict:
    """One daemon in each state of its sessions; `_us` is processor time of the daemon alone.

    `idle_seconds`: how long each state is measured.
    """
    with daemon_with_load() as (daemon, servers, clients):
        bare_memory, bare_fds, empty_usage = (
            daemon.resident_bytes(),
            daemon.open_descriptors(),
            daemon.core_usage(idle_seconds),
        )
        opened = open_sessions(daemon, clients, sessions)
        new_memory = daemon.resident_bytes()
        fds = daemon.open_descriptors()
        silent_usage = daemon.core_usage(idle_seconds)
        before, begin = daemon.cpu_seconds(), time.monotonic()
        lines_sent, lines_back = clients.call("send_lines", idle_seconds)
        lines_cpu = daemon.cpu_seconds() - before - silent_usage * (time.monotonic() - begin)
        used_memory = daemon.resident_bytes()
        deliveries = cost_of_deliveries(daemon, servers, clients, silent_usage, idle_seconds)
        fan_out = cost_of_fan_out(daemon, servers, clients, silent_usage)
        replaced = min(sessions, 1000)
        before, begin = daemon.cpu_seconds(), time.monotonic()
        clients.call("leave", replaced)
        time.sleep(0.5)
        ending_cpu = daemon.cpu_seconds() - before - silent_usage * (time.monotonic() - begin)
        reopened = open_sessions(daemon, clients, replaced)
        memory_again = daemon.resident_bytes()
        moved_early, _ = clients.call("count_ended")
        stopping_cpu, stopping_seconds = daemon.stop()
        moved, cut_off = clients.call("count_ended", True)
    return {
        "memory_bare": bare_memory, "memory_new": new_memory, "memory_used": used_memory,
        "memory_again": memory_again,
        "fds_bare": bare_fds, "fds": fds,
        "core_empty": f"{empty_usage:.5f}", "core_silent": f"{silent_usage:.5f}",
        "set_up_us": microseconds_each(opened["cpu"], sessions + opened["refused"]),
        "refused": opened["refused"],
        "set_up_median_ms": f"{opened['median'] * 1e3:.2f}",
        "lines": lines_sent, "lines_back": lines_back,
        "own_line_us": microseconds_each(lines_cpu, lines_sent),
        "core_at_rest": f"{silent_usage + sessions / 2 * lines_cpu / max(lines_sent, 1):.5f}",
        "delivered": deliveries[0], "delivery_us": microseconds_each(deliveries[1], deliveries[0]),
        "fan_out_us": microseconds_each(fan_out[1], fan_out[0]), "fan_out_last_ms": f"{fan_out[2] * 1e3:.1f}",
        "end_us": microseconds_each(ending_cpu, replaced),
        "set_up_again_us": microseconds_each(reopened["cpu"], replaced + reopened["refused"]),
        "stop_us": microseconds_each(stopping_cpu, sessions), "stop_s": f"{stopping_seconds:.2f}",
        "moved_early": moved_early, "moved": moved, "cut_off": cut_off,
    }  # fmt: skip


def measure_placing(listed: int, repeat: int) -> dict:
    """Set-ups with `listed` servers in the list: the cost of choosing a server on a real daemon."""
    with daemon_with_load(listed) as (daemon, _, clients):
        idle_usage = daemon.core_usage(2.0)
        before, begin = daemon.cpu_seconds(), time.monotonic()
        answers = clients.call("open", PLACED, OPEN_RATE)
        cpu = daemon.cpu_seconds() - before - idle_usage * (time.monotonic() - begin)
    return {
        "up": answers.get("UP", 0), "refused": PLACED - answers.get("UP", 0),
        "asked_us": microseconds_each(cpu, PLACED),
        "took_s": f"{answers['took']:.2f}", "median_ms": f"{answers['median'] * 1e3:.2f}",
        "core_at_rest": f"{idle_usage:.5f}",
    }  # fmt: skip


def measure_churn(sessions: int, repeat: int) -> dict:
    """Memory growth while CHURNED sessions open and close, ROUNDS times; `sessions` others stay open."""
    with daemon_with_load() as (daemon, _, clients):
        open_sessions(daemon, clients, sessions)
        memory = [daemon.resident_bytes()]
        for _ in range(ROUNDS):
            open_sessions(daemon, clients, CHURNED)
            memory.append(daemon.resident_bytes())
            clients.call("leave", CHURNED)
            time.sleep(0.5)
    return {
        "memory": memory[0],
        "memory_first": memory[1],
        "memory_most": max(memory),
        "memory_last": memory[-1],
    }


def measure_whole_load(percent: int, sessions: int, repeat: int) -> dict:
    """Client lines and deliveries together, at a percentage of one balancer's rates at the target.

    Fewer sessions than at the target carry them.
    """
    client_rate, delivery_rate = CLIENT_LINES * percent // 100, DELIVERIES * percent // 100
    with daemon_with_load() as (daemon, servers, clients):
        open_sessions(daemon, clients, sessions)
        before, begin = daemon.cpu_seconds(), time.monotonic()
        servers.send_command("deliver", delivery_rate, WHOLE_LOAD_SECONDS, LINE_SIZE)
        clients.send_command("send_lines", WHOLE_LOAD_SECONDS, sessions / client_rate)
        deliveries_sent, seconds = servers.receive_answer()
        load_span = time.monotonic() - begin
        load_cpu = daemon.cpu_seconds() - before
        lines_sent, lines_back = clients.receive_answer()
        delivered, delays = clients.call("take_deliveries", deliveries_sent)
        total_cpu, total_span = daemon.cpu_seconds() - before, time.monotonic() - begin
    return {
        "sent": deliveries_sent, "came": delivered, "said": lines_sent, "back": lines_back,
        "lines_a_second": f"{(deliveries_sent + 2 * lines_sent) / seconds:.0f}",
        "core": f"{load_cpu / load_span:.4f}",
        "line_us": microseconds_each(total_cpu, delivered + lines_sent + lines_back),
        "span_s": f"{total_span:.2f}",
        "p50_ms": f"{quantile(delays, 0.5) * 1e3:.2f}", "p99_ms": f"{quantile(delays, 0.99) * 1e3:.2f}",
    }  # fmt: skip


def microseconds_each(seconds: float, count: int) -> str:
    return f"{seconds * 1e6 / max(count, 1):.2f}"


def cost_of_deliveries(
    daemon: Daemon, servers: Worker, clients: Worker, silent_usage: float, seconds: float
) -> tuple[int, float]:
    """How many deliveries reached the clients, and the daemon's processor seconds for them alone."""
    before, begin = daemon.cpu_seconds(), time.monotonic()
    sent, _ = servers.call("deliver", PACED_RATE, seconds, LINE_SIZE)
    delivered, _ = clients.call("take_deliveries", sent)
    return delivered, daemon.cpu_seconds() - before - silent_usage * (time.monotonic() - begin)


def cost_of_fan_out(
    daemon: Daemon, servers: Worker, clients: Worker, silent_usage: float
) -> tuple[int, float, float]:
    """One line to each session at once: how many arrived, the daemon's seconds, and the longest delay."""
    before, begin = daemon.cpu_seconds(), time.monotonic()
    sent, _ = servers.call("fan_out", LINE_SIZE)
    delivered, delays = clients.call("take_deliveries", sent)
    return (
        delivered,
        daemon.cpu_seconds() - before - silent_usage * (time.monotonic() - begin),
        max(delays, default=0.0),
    )


def measure_deliveries(sessions: int, rate: int, size: int, repeat: int) -> dict:
    """Deliveries at a constant rate over open sessions: how many arrived, their delays, processor time."""
    with daemon_with_load() as (daemon, servers, clients):
        open_sessions(daemon, clients, sessions)
        silent_usage = daemon.core_usage(2.0)
        before, begin = daemon.cpu_seconds(), time.monotonic()
        sent, seconds = servers.call("deliver", rate, 4.0, size)
        load_span = time.monotonic() - begin
        load_cpu = daemon.cpu_seconds() - before
        delivered, delays = clients.call("take_deliveries", sent)
        cpu = daemon.cpu_seconds() - before - silent_usage * (time.monotonic() - begin)
    return {
        "sent": sent, "sent_a_second": f"{sent / seconds:.0f}", "came": delivered,
        "core": f"{load_cpu / load_span:.4f}", "line_us": microseconds_each(cpu, delivered),
        "p50_ms": f"{quantile(delays, 0.5) * 1e3:.2f}", "p99_ms": f"{quantile(delays, 0.99) * 1e3:.2f}",
        "last_ms": f"{quantile(delays, 1.0) * 1e3:.2f}",
    }  # fmt: skip


def quantile(values: list[float], fraction: float) -> float:
    """A quantile of sorted values; 0 if there are none."""
    return values[min(int(fraction * len(values)), len(values) - 1)] if values else 0.0
