"""Standing sessions on one real daemon: memory, descriptors and processor time by what they do.

Left out: a list service that answers (the daemon goes on with the list it was told), peers, other machines.
Servers and clients are stand-ins on loopback in two processes beside it.
"""

import contextlib
import time
from collections import Counter
from collections.abc import Iterator

from .crowd import run_clients, run_servers
from .daemon import Daemon, row_of
from .process import Worker

SERVERS = 20
CALM = 4.0  # seconds that each state of rest is watched
OPEN_RATE = 800  # a second
LINE = 100  # bytes of one that is delivered
PACED = 4000  # deliveries a second that their cost is taken from
PLACED = 300
CHURNED, ROUNDS = 1000, 20
OWN_LINES, DELIVERIES = 29_762, 20_238  # a second, of 25 million sessions and 8.5 million on 420
WHOLE_FOR = 5.0
TRIES = 10  # openings, on a machine that is busy with else


@contextlib.contextmanager
def rig(listed: int = SERVERS) -> Iterator[tuple[Daemon, Worker, Worker]]:
    """A daemon with servers and clients beside it; of more than SERVERS listed, several have one address."""
    with Worker(run_servers) as behind:
        ports = behind.ask("open", SERVERS)
        with (
            Daemon([row_of(f"s{at}", ports[at % SERVERS]) for at in range(listed)]) as daemon,
            Worker(run_clients, daemon.port) as front,
        ):
            yield daemon, behind, front


def fill(daemon: Daemon, front: Worker, count: int) -> dict:
    """So many more sessions stand; who is refused comes again. Raises ValueError where some never do."""
    before = daemon.cpu()
    answers = Counter()
    for _ in range(TRIES):
        came = Counter(front.ask("open", count - answers["UP"], OPEN_RATE))
        median, _ = came.pop("median"), came.pop("took")
        answers += came
        if answers["UP"] == count:
            return {"cpu": daemon.cpu() - before, "median": median, "refused": answers["BUSY"]}
    raise ValueError(f"of {count} sessions: {answers}")


def standing(sessions: int, repeat: int, calm: float = CALM) -> dict:
    """One daemon through all that its sessions may do; `_us` is processor time of the daemon alone.

    `calm`: seconds that each state is watched.
    """
    with rig() as (daemon, behind, front):
        bare, fds, empty = daemon.memory(), daemon.descriptors(), daemon.rate(calm)
        opened = fill(daemon, front, sessions)
        new = daemon.memory()
        held = daemon.descriptors()
        silent = daemon.rate(calm)
        before, begin = daemon.cpu(), time.monotonic()
        said, back = front.ask("beat", calm)
        beating = daemon.cpu() - before - silent * (time.monotonic() - begin)
        used = daemon.memory()
        paced = cost_of_deliveries(daemon, behind, front, silent, calm)
        spread = cost_of_fan_out(daemon, behind, front, silent)
        again = min(sessions, 1000)
        before, begin = daemon.cpu(), time.monotonic()
        front.ask("leave", again)
        time.sleep(0.5)
        ended = daemon.cpu() - before - silent * (time.monotonic() - begin)
        refilled = fill(daemon, front, again)
        top = daemon.memory()
        early, _ = front.ask("told")
        stopping, took = daemon.stop()
        moved, cut = front.ask("told", True)
    return {
        "memory_bare": bare, "memory_new": new, "memory_used": used, "memory_again": top,
        "fds_bare": fds, "fds": held,
        "core_empty": f"{empty:.5f}", "core_silent": f"{silent:.5f}",
        "set_up_us": us(opened["cpu"], sessions + opened["refused"]), "refused": opened["refused"],
        "set_up_median_ms": f"{opened['median'] * 1e3:.2f}",
        "lines": said, "lines_back": back, "own_line_us": us(beating, said),
        "core_at_rest": f"{silent + sessions / 2 * beating / max(said, 1):.5f}",
        "delivered": paced[0], "delivery_us": us(paced[1], paced[0]),
        "fan_out_us": us(spread[1], spread[0]), "fan_out_last_ms": f"{spread[2] * 1e3:.1f}",
        "end_us": us(ended, again), "set_up_again_us": us(refilled["cpu"], again + refilled["refused"]),
        "stop_us": us(stopping, sessions), "stop_s": f"{took:.2f}",
        "moved_early": early, "moved": moved, "cut_off": cut,
    }  # fmt: skip


def placing(listed: int, repeat: int) -> dict:
    """Set-ups where so many servers are listed: what a pick among them adds on a real daemon."""
    with rig(listed) as (daemon, _, front):
        rest = daemon.rate(2.0)
        before, begin = daemon.cpu(), time.monotonic()
        answers = front.ask("open", PLACED, OPEN_RATE)
        spent = daemon.cpu() - before - rest * (time.monotonic() - begin)
    return {
        "up": answers.get("UP", 0), "refused": PLACED - answers.get("UP", 0), "asked_us": us(spent, PLACED),
        "took_s": f"{answers['took']:.2f}", "median_ms": f"{answers['median'] * 1e3:.2f}",
        "core_at_rest": f"{rest:.5f}",
    }  # fmt: skip


def churn(sessions: int, repeat: int) -> dict:
    """Beside so many that stand, CHURNED come and go, ROUNDS times: what memory grows to."""
    with rig() as (daemon, _, front):
        fill(daemon, front, sessions)
        held = [daemon.memory()]
        for _ in range(ROUNDS):
            fill(daemon, front, CHURNED)
            held.append(daemon.memory())
            front.ask("leave", CHURNED)
            time.sleep(0.5)
    return {"memory": held[0], "memory_first": held[1], "memory_most": max(held), "memory_last": held[-1]}


def whole(percent: int, sessions: int, repeat: int) -> dict:
    """So much of the lines that one balancer has at the target, both kinds at once, over fewer sessions."""
    own, delivered = OWN_LINES * percent // 100, DELIVERIES * percent // 100
    with rig() as (daemon, behind, front):
        fill(daemon, front, sessions)
        before, begin = daemon.cpu(), time.monotonic()
        behind.tell("deliver", delivered, WHOLE_FOR, LINE)
        front.tell("beat", WHOLE_FOR, sessions / own)
        sent, took = behind.answer()
        span = time.monotonic() - begin
        used = daemon.cpu() - before
        said, back = front.answer()
        came, delays = front.ask("heard", sent)
        spent, all_span = daemon.cpu() - before, time.monotonic() - begin
    return {
        "sent": sent, "came": came, "said": said, "back": back,
        "lines_a_second": f"{(sent + 2 * said) / took:.0f}",
        "core": f"{used / span:.4f}", "line_us": us(spent, came + said + back), "span_s": f"{all_span:.2f}",
        "p50_ms": f"{quantile(delays, 0.5) * 1e3:.2f}", "p99_ms": f"{quantile(delays, 0.99) * 1e3:.2f}",
    }  # fmt: skip


def us(seconds: float, count: int) -> str:
    return f"{seconds * 1e6 / max(count, 1):.2f}"


def cost_of_deliveries(
    daemon: Daemon, behind: Worker, front: Worker, silent: float, span: float
) -> tuple[int, float]:
    """How many came at the clients, and the daemon's seconds for them alone."""
    before, begin = daemon.cpu(), time.monotonic()
    sent, _ = behind.ask("deliver", PACED, span, LINE)
    came, _ = front.ask("heard", sent)
    return came, daemon.cpu() - before - silent * (time.monotonic() - begin)


def cost_of_fan_out(daemon: Daemon, behind: Worker, front: Worker, silent: float) -> tuple[int, float, float]:
    """One line to each at once: how many came, the daemon's seconds, and the delay of the last."""
    before, begin = daemon.cpu(), time.monotonic()
    sent, _ = behind.ask("fan_out", LINE)
    came, delays = front.ask("heard", sent)
    return came, daemon.cpu() - before - silent * (time.monotonic() - begin), max(delays, default=0.0)


def deliveries(sessions: int, rate: int, size: int, repeat: int) -> dict:
    """Paced deliveries over so many sessions: what came, how late, at what processor time."""
    with rig() as (daemon, behind, front):
        fill(daemon, front, sessions)
        silent = daemon.rate(2.0)
        before, begin = daemon.cpu(), time.monotonic()
        sent, took = behind.ask("deliver", rate, 4.0, size)
        span = time.monotonic() - begin
        used = daemon.cpu() - before
        came, delays = front.ask("heard", sent)
        spent = daemon.cpu() - before - silent * (time.monotonic() - begin)
    return {
        "sent": sent, "sent_a_second": f"{sent / took:.0f}", "came": came,
        "core": f"{used / span:.4f}", "line_us": us(spent, came),
        "p50_ms": f"{quantile(delays, 0.5) * 1e3:.2f}", "p99_ms": f"{quantile(delays, 0.99) * 1e3:.2f}",
        "last_ms": f"{quantile(delays, 1.0) * 1e3:.2f}",
    }  # fmt: skip


def quantile(found: list[float], part: float) -> float:
    """Of what is sorted; 0 of nothing."""
    return found[min(int(part * len(found)), len(found) - 1)] if found else 0.0
