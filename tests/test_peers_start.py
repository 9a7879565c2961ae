"""Peers at a daemon's start: unusable settings are refused with one line, and peers change no decision."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tests.helpers import SETTINGS
from thymedeck.lab.scenario import read_scenario
from thymedeck.lab.scenario_run import ScenarioRun
from thymedeck.lab.testbed import SECOND, VirtualTestbed
from thymedeck.peers.settings import load_peer_settings, parse_quantity

ROOT = Path(__file__).parents[1]
KEY = "00" * 16
PEERS = """fleet = "f"
listen = "127.0.0.1:7946"
key_file = "peers.key"
join = ["127.0.0.1:7947"]
period = "1 s"
"""


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    config = {"name": "b0", "listen": "127.0.0.1:7000", "discovery": "127.0.0.1:7500", "settings": SETTINGS}
    (tmp_path / "b.json").write_text(json.dumps(config))
    (tmp_path / "peers.toml").write_text(PEERS)
    (tmp_path / "peers.key").touch(mode=0o600)
    (tmp_path / "peers.key").write_text(KEY + "\n")
    return tmp_path


def run_thymedeck(folder: Path, command: str) -> subprocess.CompletedProcess:
    command_line = [sys.executable, "-m", "thymedeck", command, "--config", folder / "b.json"]
    return subprocess.run(
        [*command_line, "--peers", folder / "peers.toml"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
    )


@pytest.mark.parametrize(
    "old, new, expected",
    [
        ('period = "1 s"', 'periods = "1 s"', "periods"),
        ('period = "1 s"', 'period = "1"', "period: '1'"),
        ('period = "1 s"', 'period = "-1 s"', "period"),
        ('period = "1 s"', 'period = "3 s"', "notice_within"),
        ('period = "1 s"', 'period = "1 kB/s"', "period"),
        ('period = "1 s"', 'send_most = "1 kB/s"', "send_most"),
        ('period = "1 s"', "peers_most = 0", "peers_most"),
        ('period = "1 s"', "servers_most = 5000", "servers_most"),
        ('listen = "127.0.0.1:7946"\n', "", "listen"),
        ("127.0.0.1:7946", "localhost:7946", "listen"),
        ("127.0.0.1:7947", "127.0.0.1", "join"),
        ("peers.key", "none.key", "key_file"),
        ('fleet = "f"', 'fleet = ""', "fleet"),
        ('fleet = "f"', "fleet = f", "peers.toml"),
    ],
)
def test_a_wrong_settings_file_is_refused_with_file_entry_and_reason(
    folder: Path, old: str, new: str, expected: str
) -> None:
    assert old in PEERS
    (folder / "peers.toml").write_text(PEERS.replace(old, new))
    result = run_thymedeck(folder, "check")
    assert result.returncode == 2 and result.stderr.count("\n") == 1
    assert expected in result.stderr and str(folder) in result.stderr


@pytest.mark.parametrize(
    "keys, mode, expected",
    [
        (KEY, 0o644, "644"), (KEY, 0o620, "620"), ("", 0o600, "0 keys"), ("xyz", 0o600, "not hexadecimal"),
        ("00", 0o600, "under 16"), (f"{KEY}\n{KEY}\n{KEY}", 0o600, "3 keys"),
    ],
)  # fmt: skip
def test_unusable_keys_are_refused_and_never_shown(folder: Path, keys: str, mode: int, expected: str) -> None:
    (folder / "peers.key").write_text(keys)
    (folder / "peers.key").chmod(mode)
    result = run_thymedeck(folder, "serve")
    assert result.returncode == 2 and expected in result.stderr and result.stderr.count("\n") == 1
    assert KEY not in result.stderr + result.stdout


def test_peers_are_refused_where_the_deployment_forbids_them(folder: Path) -> None:
    config = json.loads((folder / "b.json").read_text())
    config["settings"]["limits"] = config["settings"]["limits"] | {"peers": False}
    (folder / "b.json").write_text(json.dumps(config))
    result = run_thymedeck(folder, "serve")
    assert result.returncode == 2 and "forbid peers" in result.stderr and result.stderr.count("\n") == 1


def test_the_example_file_is_valid_and_shows_the_defaults(folder: Path) -> None:
    (folder / "peers.toml").write_text((ROOT / "deploy" / "peers.toml").read_text())
    assert run_thymedeck(folder, "check").returncode == 0
    from_example = load_peer_settings(str(folder / "peers.toml"))
    (folder / "peers.toml").write_text(PEERS.replace('"f"', '"muscat"'))
    defaults = load_peer_settings(str(folder / "peers.toml"))
    for name in defaults.__struct_fields__:
        assert name == "join" or getattr(from_example, name) == getattr(defaults, name)


@pytest.mark.parametrize("text, value", [("300 ms", 3000), ("1.5 s", 15_000), ("2min", 1_200_000)])
def test_quantities_have_units(text: str, value: int) -> None:
    assert parse_quantity(text, {"ms": 10, "s": 10_000, "min": 600_000}) == value


def test_decisions_are_the_same_with_peers_on_and_off() -> None:
    """Compares all events and actions of the placement logic and their times; with drains and a death."""
    scenario = read_scenario(str(ROOT / "tests" / "scenarios" / "lab" / "calm.toml"))
    scenario.agreement_timeout = 0
    recordings = []
    for peers in (False, True):
        scenario.spec.fleet.peers = peers
        run = ScenarioRun(scenario, 7, False)
        start, events = run.testbed.start, []

        def start_recorded(name: str, start=start, testbed=run.testbed, events=events) -> None:  # noqa: ANN001
            start(name)
            balancer = testbed.services[name].balancer
            handle = balancer.handle

            def handle_recorded(now: int, event: object) -> list:
                actions = handle(now, event)
                events.append((name, now, repr(event), repr(actions)))
                return actions

            balancer.handle = handle_recorded

        run.testbed.start = start_recorded
        run.run()
        recordings.append((events, run.testbed.record.as_bytes()))
        assert bool(run.testbed.transports) is peers
    assert len(recordings[0][0]) > 2000
    assert recordings[0] == recordings[1]


def test_reading_is_rate_limited_in_a_flood(folder: Path) -> None:
    """A balancer in virtual time reads at most its limit of datagrams a second, plus a small margin."""
    from thymedeck.lab.scenario_run import deployment_settings

    testbed = VirtualTestbed(1, deployment_settings(1, ["m1"], ["a"]), {})
    testbed.start("b0")
    testbed.run(SECOND)
    transport = testbed.transports["b0"]
    sender = testbed.stand_in_machine.datagram(("10.3.0.1", 9))
    reads = []
    recv = transport.sock.recv
    transport.sock.recv = lambda size: (reads.append(testbed.now()), recv(size))[1]
    for _ in range(100):
        for _ in range(200):
            sender.sendto(bytes(100), transport.sock.address)
        testbed.run(SECOND // 20)
    assert transport.dropped["flood"] or any(e["event"] == "peers_dropped" for e in testbed.log("b0"))
    assert transport.membership.detection_paused_until > testbed.loop.now()
    assert max(sum(end - SECOND < at <= end for at in reads) for end in reads[::50]) <= 500 + 40
