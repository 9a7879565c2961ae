"""Costs by the length of the server list: receiving it, a change of it, and the choice of a server.

`measure_list` and `measure_start` run a real daemon, the former with a stand-in for the list service;
`measure_choice` runs the decision module alone. Parameters of these functions and keys of their results are
columns of CSV files.
"""

import os
import time

import msgspec

from ... import interface
from ...policy import Balancer
from ...settings import Settings, deployment_from
from ..scenario_run import deployment_settings
from .daemon import Daemon, server_entry
from .endpoints import run_list_service
from .process import Worker, resident_bytes, run_in_subprocess

CHANGES = 40
SETTLE_SECONDS = 2.0  # in which the daemon processes what it received
LIST_TIMEOUT = 120.0
MIN_CHOICES = 100  # and at least MIN_CHOICE_SECONDS of processor time
MIN_CHOICE_SECONDS = 1.0
OPEN_SESSIONS = 1000  # that stay open while choices are timed
ARRIVAL_INTERVAL = 100  # in tenths of a millisecond


def measure_list(entries: int, repeat: int, settle_seconds: float = SETTLE_SECONDS) -> dict:
    """A list of `entries` servers, then changes of one entry each, then the whole list again."""
    with Worker(run_list_service, entries) as service:
        port = service.call("open")
        with Daemon([], f"127.0.0.1:{port}") as daemon:
            memory_before, fds, cpu_before, begin = (
                daemon.resident_bytes(),
                daemon.open_descriptors(),
                daemon.cpu_seconds(),
                time.monotonic(),
            )
            taken_seconds = wait_until_listed(daemon, entries)
            time.sleep(settle_seconds)
            whole_cpu, memory, span = (
                daemon.cpu_seconds() - cpu_before,
                daemon.resident_bytes() - memory_before,
                time.monotonic() - begin,
            )
            whole_bytes = service.call("count")[1]
            idle_usage = daemon.core_usage(2 * settle_seconds)
            whole_cpu -= idle_usage * (span - taken_seconds)
            cpu_before, begin = daemon.cpu_seconds(), time.monotonic()
            for index in range(CHANGES):
                change_bytes = service.call("change", 1, "SERVING" if index % 2 else "DRAINING")
            time.sleep(settle_seconds)
            change_cpu = daemon.cpu_seconds() - cpu_before - idle_usage * (time.monotonic() - begin)
            cpu_before, begin = daemon.cpu_seconds(), time.monotonic()
            service.call("change", 0, "")
            time.sleep(settle_seconds)
            again_cpu = daemon.cpu_seconds() - cpu_before - idle_usage * (time.monotonic() - begin)
            service.send_command("change", 0, "")
            longest_ping = daemon.longest_ping(settle_seconds)
            service.receive_answer()
            memory_again = daemon.resident_bytes() - memory_before
            fds = daemon.open_descriptors() - fds
    return {
        "whole_bytes": whole_bytes, "whole_ms": milliseconds(whole_cpu), "taken_in_s": f"{taken_seconds:.2f}",
        "memory": memory, "memory_again": memory_again,
        "change_bytes": change_bytes, "change_ms": milliseconds(change_cpu / CHANGES),
        "again_ms": milliseconds(again_cpu), "stood_still_ms": milliseconds(longest_ping),
        "core_at_rest": f"{idle_usage:.5f}", "fds": fds,
    }  # fmt: skip


def measure_start(entries: int, repeat: int) -> dict:
    """The start of a daemon with `entries` servers in its file, until it accepts clients."""
    with Daemon([server_entry(f"s{index}", 8000) for index in range(entries)]) as daemon:
        cpu = daemon.cpu_seconds()
        return {
            "ready_s": f"{daemon.startup_seconds:.2f}", "cpu_s": f"{cpu:.3f}",
            "memory": daemon.resident_bytes(), "log_bytes": daemon.log.stat().st_size,
        }  # fmt: skip


def wait_until_listed(daemon: Daemon, entries: int) -> float:
    """Seconds from the call until the log has a line for each entry. Raises TimeoutError."""
    begin = time.monotonic()
    last_size, mark = 0, b'"event":"listed"'
    while time.monotonic() < begin + LIST_TIMEOUT:
        size = daemon.log.stat().st_size
        if size != last_size and daemon.log.read_bytes().count(mark) >= entries:
            seconds = time.monotonic() - begin
            return seconds
        last_size = size
        time.sleep(0.05)
    raise TimeoutError(f"the daemon did not log all {entries} list entries in time")


def milliseconds(seconds: float) -> str:
    return f"{seconds * 1e3:.3f}"


def measure_choice(servers: int, repeat: int) -> dict:
    """The choice of a server for an arriving session, with `servers` servers and OPEN_SESSIONS sessions."""
    return run_in_subprocess(measure_choice_in_process, servers=servers, repeat=repeat)


def measure_choice_in_process(servers: int, repeat: int) -> dict:
    deployment = deployment_from(msgspec.convert(deployment_settings(1, ["m1"], ["a"]), Settings))
    balancer = Balancer(repeat, deployment)
    memory_before, now = resident_bytes(os.getpid()), 1_000_000
    begin = time.process_time()
    entries = [
        interface.ServerEntry(index, 0, index % 64, interface.ServerState.READY, 0)
        for index in range(servers)
    ]
    balancer.handle(now, interface.ServerListUpdated(interface.ListKind.WHOLE, entries))
    list_seconds, memory = time.process_time() - begin, resident_bytes(os.getpid()) - memory_before
    session, total_seconds, count = 0, 0.0, 0
    open_sessions: list[tuple[int, int]] = []
    while count < MIN_CHOICES or total_seconds < MIN_CHOICE_SECONDS:
        now += ARRIVAL_INTERVAL
        begin = time.process_time()
        actions = balancer.handle(now, interface.SessionArrived(session, 0, 20_000, None, None, False))
        choice_seconds = time.process_time() - begin
        server = next(action.server for action in actions if isinstance(action, interface.Dial))
        balancer.handle(now, interface.SessionEstablished(session, server, 10))
        open_sessions.append((session, server))
        session += 1
        if len(open_sessions) > OPEN_SESSIONS:
            total_seconds, count = total_seconds + choice_seconds, count + 1
            ended, server = open_sessions.pop(0)
            balancer.handle(
                now, interface.DialEnded(ended, server, interface.DialOutcome.COMPLETED, True, None)
            )
    return {
        "picks": count, "pick_us": f"{total_seconds * 1e6 / count:.2f}",
        "list_ms": milliseconds(list_seconds), "memory": memory,
    }  # fmt: skip
