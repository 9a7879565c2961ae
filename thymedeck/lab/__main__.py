"""`python -m thymedeck.lab`: `run` runs a scenario and prints its checks; the other commands measure."""

import argparse
import sys

from ..peers.settings import SettingsFileError
from . import cold, configuration_scenarios, membership
from .measure import measure_processes
from .play import ScenarioRun
from .scale import command as scale
from .scenario import read_scenario


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="thymedeck.lab", description="Runs scenarios and measurements of whole fleets."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="run one scenario; exit 0 if all checks pass, 1 if not")
    run.add_argument("scenario", help="a TOML file (docs/lab.md)")
    run.add_argument(
        "--processes", action="store_true", help="real daemons on loopback in place of virtual time"
    )
    run.add_argument("--seed", type=int, help="overrides the seed in the file")
    run.add_argument("--record", metavar="FILE", help="write what the stand-ins observed, as JSON lines")
    peers = commands.add_parser("peers", help="measure peers in virtual time (docs/peers.md)")
    peers.add_argument("--balancers", type=int, nargs="+", default=[8, 40])
    peers.add_argument("--seed", type=int, default=1)
    peers.add_argument(
        "--quiet", type=float, default=60.0, help="seconds without events at each of 0, 5 and 20 %% loss"
    )
    peers.add_argument(
        "--processes", action="store_true", help="real daemons on loopback, with peers and without"
    )
    peers.add_argument("--acquainted", action="store_true", help="all know each other at the start")
    scale.add_parser(commands)
    cold_parser = commands.add_parser(
        "cold", help="measure the load of fleets on cold servers, in virtual time"
    )
    cold.add_arguments(cold_parser)
    configuration = commands.add_parser(
        "configuration", help="measure the replicated configuration in virtual time (docs/configuration.md)"
    )
    configuration.add_argument("--balancers", type=int, default=420)
    configuration.add_argument("--size", type=int, default=20_000, help="bytes of a configuration")
    configuration.add_argument(
        "--cut", type=float, default=60.0, help="seconds that a partition or freeze lasts"
    )
    configuration.add_argument("--seed", type=int, default=1)
    configuration.add_argument("--play", default="", help="only runs whose title contains this")
    arguments = parser.parse_args()
    if arguments.command == "scale":
        return scale.run(arguments)
    if arguments.command == "cold":
        return cold.main(arguments)
    if arguments.command == "peers" and arguments.processes:
        for size in arguments.balancers:
            print(
                "\n".join(measure_processes(size, arguments.seed, round(arguments.quiet * membership.SECOND)))
            )
        return 0
    if arguments.command == "peers":
        return measure_peers(arguments.balancers, arguments.seed, arguments.quiet, arguments.acquainted)
    if arguments.command == "configuration":
        return measure_configuration(arguments)
    return run_scenario(arguments)


def measure_configuration(arguments: argparse.Namespace) -> int:
    print(
        "| "
        + " | ".join(configuration_scenarios.COLUMNS)
        + " |\n"
        + "| --- " * len(configuration_scenarios.COLUMNS)
        + "|"
    )
    cut_duration = round(arguments.cut * membership.SECOND)
    configuration_scenarios.run_scenarios(
        configuration_scenarios.Options(arguments.balancers, arguments.size, cut_duration),
        arguments.seed,
        arguments.play,
    )
    return 0


def measure_peers(sizes: list[int], seed: int, quiet: float, acquainted: bool) -> int:
    """Prints a row for each fleet size as soon as it is measured."""
    print("| " + " | ".join(membership.COLUMNS) + " |\n" + "| --- " * len(membership.COLUMNS) + "|")
    for size in sizes:
        figures = membership.measure(size, seed, round(quiet * membership.SECOND), acquainted)
        print("| " + " | ".join(membership.format_row(figures)) + " |", flush=True)
    return 0


def run_scenario(arguments: argparse.Namespace) -> int:
    try:
        scenario = read_scenario(arguments.scenario)
    except SettingsFileError as error:
        print(f"thymedeck.lab: {error}", file=sys.stderr)
        return 2
    seed = scenario.spec.seed if arguments.seed is None else arguments.seed
    scenario_run = ScenarioRun(scenario, seed, arguments.processes)

    def report_progress(text: str) -> None:
        if sys.stderr.isatty():
            print(text, file=sys.stderr)

    results = scenario_run.run(report_progress)
    mode = "real processes" if arguments.processes else "virtual time"
    print(f"{scenario.spec.title}: {scenario.spec.fleet.balancers} balancers in {mode}, seed {seed}")
    if scenario_run.agreement_time >= 0:
        print(f"membership agreed {scenario_run.agreement_time / 10_000:.1f} s after the end of the scenario")
    print("| check | examined | violations |\n| --- | --- | --- |")
    for result in results:
        print(f"| {result.check} | {result.examined} | {len(result.violations)} |")
    for result in results:
        for line in result.violations[:5]:
            print(f"  {result.check}: {line}")
    if arguments.record:
        with open(arguments.record, "wb") as file:
            file.write(scenario_run.testbed.record.as_bytes())
    return 1 if any(result.violations for result in results) else 0


if __name__ == "__main__":
    sys.exit(main())
