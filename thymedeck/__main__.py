"""The command line: `python -m thymedeck serve`."""

import signal

# Blocked until the handlers are installed, so that an early signal does not kill the process.
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
if __name__ == "__main__":
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

import argparse  # noqa: E402 (the imports take long enough for a signal to arrive)
import os  # noqa: E402
import sys  # noqa: E402

from .net.config_file import StartError, read_startup_config  # noqa: E402
from .net.service import Service  # noqa: E402
from .net.signals import SignalReceiver  # noqa: E402
from .net.system import System  # noqa: E402

VERSION = "0.6.0"


def main() -> int:
    parser = argparse.ArgumentParser(prog="thymedeck", description="A balancer for long-lived connections.")
    commands = parser.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="serve until SIGTERM")
    check = commands.add_parser("check", help="validate the configuration and exit")
    for subparser in (serve, check):
        subparser.add_argument(
            "--config", default=os.environ.get("LB_CONFIG"), help="configuration file (default: LB_CONFIG)"
        )
        subparser.add_argument(
            "--peers", metavar="FILE", help="peer settings (docs/peers.md); without it peers are off"
        )
    commands.add_parser("version", help="print the version")
    arguments = parser.parse_args()
    if arguments.command == "version":
        print(VERSION)
        return 0
    try:
        if not arguments.config:
            raise StartError("no configuration file given: use --config or LB_CONFIG")
        signals = SignalReceiver() if arguments.command == "serve" else None
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        start = read_startup_config(arguments.config)
        join = None
        if arguments.peers:
            from .peers.start import prepare_peers

            join = prepare_peers(arguments.peers, start)
        if signals is None:
            print(f"{arguments.config}: ok, {len(start.config.settings.listeners)} listeners")
            return 0
        system = System()
        service = Service(start, system)
        if join:
            join(service, system)
        service.serve(signals)
    except StartError as error:
        print(f"thymedeck: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"thymedeck: cannot serve: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
