"""What peers cost and how soon they notice, on real daemons: from their logs, the relays and the kernel."""

from .faults import Fault
from .play import settings
from .stage import SECOND, Processes, cpu_seconds
from .standins import Listed

PATIENCE = 60 * SECOND


def here(stage: Processes, name: str) -> int:
    """How many peers that balancer's log last told to be here."""
    for entry in reversed(stage.log(name)):
        if entry["event"] == "peers" and " here" in entry["text"]:
            return int(entry["text"].split()[1])
    return 0


def measure_processes(balancers: int, seed: int, quiet: int) -> list[str]:
    lines = []
    for peers in ({}, None):
        with Processes(seed, settings(balancers, ["m1"], ["a"]), peers) as stage:
            names = [f"b{at}" for at in range(balancers)]
            stage.add_server("s0")
            stage.list.set(Listed("s0"))
            stage.known = [Listed("s0")]
            for name in names:
                stage.start(name)
            stage.started(*names)

            def all_hold(count: int, stage: Processes = stage, names: list[str] = names) -> bool:
                return all(here(stage, name) == count for name in names if name in stage.alive)

            def took(count: int, stage: Processes = stage) -> str:
                since = stage.now()
                if not stage.run_until(lambda: all_hold(count), PATIENCE):
                    return "-"
                return f"{(stage.now() - since) / SECOND:.1f} s"

            if peers is not None:
                lines.append(f"all met after {took(balancers - 1)}")
            stage.run(2 * SECOND)
            sent, cpu = dict(stage.datagram_bytes), [cpu_seconds(stage.running[name].pid) for name in names]
            stage.run(quiet)
            part = sum(
                cpu_seconds(stage.running[name].pid) - before for name, before in zip(names, cpu, strict=True)
            )
            part /= balancers * quiet / SECOND
            kind = "without" if peers is None else "with"
            if peers is None:
                lines.append(f"{kind} peers: {part:.4f} of a core each")
                continue
            rate = sum(stage.datagram_bytes[name] - sent.get(name, 0) for name in names)
            lines.append(
                f"{kind} peers: {part:.4f} of a core, {rate / balancers / quiet * SECOND:.0f} B/s sent, each"
            )
            stage.kill("b1")
            lines.append(f"a death known to all after {took(balancers - 2)}")
            stage.start("b1")
            stage.started("b1")
            lines.append(f"a join known to all after {took(balancers - 1)}")
            stage.run(5 * SECOND)
            even, odd = "b*[02468]", "b*[13579]"
            until = stage.now() + 10 * SECOND
            stage.faults.entries += [
                Fault(stage.now(), until, one, other, cut=True) for one, other in ((even, odd), (odd, even))
            ]
            stage.run(10 * SECOND)
            lines.append(f"halves cut for 10 s agree after {took(balancers - 1)}")
    return lines
