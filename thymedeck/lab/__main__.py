"""`python -m thymedeck.lab`: `run` plays scenarios and prints their checks; the others measure."""

import argparse
import sys

from ..peers.settings import SettingsFileError
from . import cold, configured, talk
from .measure import measure_processes
from .play import Run
from .scale import command as scale
from .scenario import read


def main() -> int:
    parser = argparse.ArgumentParser(prog="thymedeck.lab", description="Plays scenarios of whole fleets.")
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="play one scenario; exit 0 if all checks hold, 1 if not")
    run.add_argument("scenario", help="a file of TOML (docs/lab.md)")
    run.add_argument("--processes", action="store_true", help="real daemons on loopback, not virtual time")
    run.add_argument("--seed", type=int, help="instead of the file's")
    run.add_argument("--record", metavar="FILE", help="keep what the stand-ins saw, a line an entry")
    peers = commands.add_parser("peers", help="measure peers in virtual time, as docs/peers.md shows it")
    peers.add_argument("--balancers", type=int, nargs="+", default=[8, 40])
    peers.add_argument("--seed", type=int, default=1)
    peers.add_argument(
        "--quiet", type=float, default=60.0, help="seconds of nothing, 5 %% and 20 %% lost, each"
    )
    peers.add_argument("--processes", action="store_true", help="real daemons on loopback, with and without")
    peers.add_argument("--acquainted", action="store_true", help="all have met each other at the start")
    scale.add_to(commands)
    warm_ups = commands.add_parser("cold", help="measure what fleets send to cold servers, in virtual time")
    cold.add_arguments(warm_ups)
    plays = commands.add_parser(
        "configuration", help="one version for all, in virtual time, as docs/configuration.md shows it"
    )
    plays.add_argument("--balancers", type=int, default=420)
    plays.add_argument("--size", type=int, default=20_000, help="bytes of a configuration")
    plays.add_argument("--cut", type=float, default=60.0, help="seconds that a cut or a freeze lasts")
    plays.add_argument("--seed", type=int, default=1)
    plays.add_argument("--play", default="", help="only those whose title has this in it")
    given = parser.parse_args()
    if given.command == "scale":
        return scale.run(given)
    if given.command == "cold":
        return cold.main(given)
    if given.command == "peers" and given.processes:
        for size in given.balancers:
            print("\n".join(measure_processes(size, given.seed, round(given.quiet * talk.SECOND))))
        return 0
    if given.command == "peers":
        return measure_peers(given.balancers, given.seed, given.quiet, given.acquainted)
    if given.command == "configuration":
        return play_configuration(given)
    return run_scenario(given)


def play_configuration(given: argparse.Namespace) -> int:
    print("| " + " | ".join(configured.HEADS) + " |\n" + "| --- " * len(configured.HEADS) + "|")
    cut_for = round(given.cut * talk.SECOND)
    configured.play(configured.Given(given.balancers, given.size, cut_for), given.seed, given.play)
    return 0


def measure_peers(sizes: list[int], seed: int, quiet: float, acquainted: bool) -> int:
    """A row as soon as a size is measured."""
    print("| " + " | ".join(talk.HEADS) + " |\n" + "| --- " * len(talk.HEADS) + "|")
    for size in sizes:
        figures = talk.measure(size, seed, round(quiet * talk.SECOND), acquainted)
        print("| " + " | ".join(talk.row(figures)) + " |", flush=True)
    return 0


def run_scenario(given: argparse.Namespace) -> int:
    try:
        scenario = read(given.scenario)
    except SettingsFileError as why:
        print(f"thymedeck.lab: {why}", file=sys.stderr)
        return 2
    seed = scenario.sheet.seed if given.seed is None else given.seed
    played = Run(scenario, seed, given.processes)

    def say(text: str) -> None:
        if sys.stderr.isatty():
            print(text, file=sys.stderr)

    rows = played.play(say)
    where = "real processes" if given.processes else "virtual time"
    print(f"{scenario.sheet.title}: {scenario.sheet.fleet.balancers} balancers in {where}, seed {seed}")
    if played.agreed_at >= 0:
        print(f"all agreed on who runs {played.agreed_at / 10_000:.1f} s after the play")
    print("| check | looked at | wrong |\n| --- | --- | --- |")
    for row in rows:
        print(f"| {row.check} | {row.looked_at} | {len(row.wrong)} |")
    for row in rows:
        for line in row.wrong[:5]:
            print(f"  {row.check}: {line}")
    if given.record:
        with open(given.record, "wb") as file:
            file.write(played.stage.record.as_bytes())
    return 1 if any(row.wrong for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
