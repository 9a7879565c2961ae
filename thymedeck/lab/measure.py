"""What peers cost and how soon they notice, on real daemons: from their logs, the relays and the kernel."""

from .membership import cut_by_parity
from .play import settings
from .stage import SECOND, Processes, cpu_seconds

PATIENCE = 60 * SECOND


def measure_processes(balancers: int, seed: int, quiet: int) -> list[str]:
    told = settings(balancers, ["m1"], ["a"])
    with Processes(seed, told, {}) as stage:
        names = stage.bring_up(balancers)
        lines = [f"all met after {until_all_hold(stage, balancers - 1)}"]
        core, rate = cost(stage, names, quiet)
        lines.append(f"with peers: {core:.4f} of a core, {rate:.0f} B/s sent, each")
        stage.kill("b1")
        lines.append(f"a death known to all after {until_all_hold(stage, balancers - 2)}")
        stage.start("b1")
        stage.started("b1")
        lines.append(f"a join known to all after {until_all_hold(stage, balancers - 1)}")
        stage.run(5 * SECOND)
        stage.faults.entries += cut_by_parity(stage.now())
        stage.run(10 * SECOND)
        lines.append(f"halves cut for 10 s agree after {until_all_hold(stage, balancers - 1)}")
    with Processes(seed, told, None) as stage:
        core, _ = cost(stage, stage.bring_up(balancers), quiet)
        lines.append(f"without peers: {core:.4f} of a core each")
    return lines


def until_all_hold(stage: Processes, count: int) -> str:
    """How long until all that run hold so many others to be here; "-" if that does not come about."""
    since = stage.now()
    if not stage.run_until(lambda: all(stage.here(name) == count for name in stage.alive), PATIENCE):
        return "-"
    return f"{(stage.now() - since) / SECOND:.1f} s"


def cost(stage: Processes, names: list[str], quiet: int) -> tuple[float, float]:
    """Part of a core, and bytes sent a second, of each while nothing happens."""

    def used() -> tuple[float, int]:
        cpu = sum(cpu_seconds(stage.running[name].pid) for name in names)
        return cpu, sum(stage.datagram_bytes.get(name, 0) for name in names)

    stage.run(2 * SECOND)
    cpu, sent = used()
    stage.run(quiet)
    cpu_after, sent_after = used()
    all_seconds = len(names) * quiet / SECOND
    return (cpu_after - cpu) / all_seconds, (sent_after - sent) / all_seconds
