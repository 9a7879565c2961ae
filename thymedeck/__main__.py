"""The command line: `python -m thymedeck serve`."""

import signal

# Guards against a signal that ends this program before it can hear it: until then they wait.
HEARD = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
if __name__ == "__main__":
    signal.pthread_sigmask(signal.SIG_BLOCK, HEARD)

import argparse  # noqa: E402 (what is imported takes longer than a signal needs)
import os  # noqa: E402
import sys  # noqa: E402

from .net.config_file import StartError, read_startup_config  # noqa: E402
from .net.service import Service, SignalReceiver  # noqa: E402
from .net.system import System  # noqa: E402

VERSION = "0.6.0"


def main() -> int:
    parser = argparse.ArgumentParser(prog="thymedeck", description="A balancer for long-lived connections.")
    commands = parser.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="serve until SIGTERM")
    check = commands.add_parser("check", help="read the configuration and say whether it can be used")
    for one in (serve, check):
        one.add_argument("--config", default=os.environ.get("LB_CONFIG"), help="its file (LB_CONFIG)")
        one.add_argument(
            "--peers", metavar="FILE", help="settings for peers (docs/peers.md); without it, none"
        )
    commands.add_parser("version", help="print the version")
    given = parser.parse_args()
    if given.command == "version":
        print(VERSION)
        return 0
    try:
        if not given.config:
            raise StartError("no configuration: name its file with --config or LB_CONFIG")
        signals = SignalReceiver() if given.command == "serve" else None
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HEARD)
        start = read_startup_config(given.config)
        join = None
        if given.peers:
            from .peers.start import prepared

            join = prepared(given.peers, start)
        if signals is None:
            print(f"{given.config}: ok, {len(start.told.settings.listeners)} listeners")
            return 0
        system = System()
        service = Service(start, system)
        if join:
            join(service, system)
        service.serve(signals)
    except StartError as why:
        print(f"thymedeck: {why}", file=sys.stderr)
        return 2
    except OSError as why:
        print(f"thymedeck: can't serve: {why}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
