"""Peers at a daemon's start: settings that can't be used end in one line, without them all is as it was."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tests.helpers import SETTINGS
from thymedeck.lab.play import Run
from thymedeck.lab.scenario import read as read_scenario
from thymedeck.lab.stage import SECOND, Virtual
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
    told = {"name": "b0", "listen": "127.0.0.1:7000", "discovery": "127.0.0.1:7500", "settings": SETTINGS}
    (tmp_path / "b.json").write_text(json.dumps(told))
    (tmp_path / "peers.toml").write_text(PEERS)
    (tmp_path / "peers.key").touch(mode=0o600)
    (tmp_path / "peers.key").write_text(KEY + "\n")
    return tmp_path


def thymedeck(folder: Path, command: str) -> subprocess.CompletedProcess:
    call = [sys.executable, "-m", "thymedeck", command, "--config", folder / "b.json"]
    return subprocess.run(
        [*call, "--peers", folder / "peers.toml"], capture_output=True, text=True, cwd=ROOT, timeout=60
    )


@pytest.mark.parametrize(
    "old, new, said",
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
def test_a_wrong_file_gets_one_line_that_names_file_entry_and_reason(
    folder: Path, old: str, new: str, said: str
) -> None:
    assert old in PEERS
    (folder / "peers.toml").write_text(PEERS.replace(old, new))
    told = thymedeck(folder, "check")
    assert told.returncode == 2 and told.stderr.count("\n") == 1
    assert said in told.stderr and str(folder) in told.stderr


@pytest.mark.parametrize(
    "keys, mode, said",
    [
        (KEY, 0o644, "644"), (KEY, 0o620, "620"), ("", 0o600, "0 keys"), ("xyz", 0o600, "not hexadecimal"),
        ("00", 0o600, "under 16"), (f"{KEY}\n{KEY}\n{KEY}", 0o600, "3 keys"),
    ],
)  # fmt: skip
def test_keys_that_can_not_be_used_are_told_of_and_never_shown(
    folder: Path, keys: str, mode: int, said: str
) -> None:
    (folder / "peers.key").write_text(keys)
    (folder / "peers.key").chmod(mode)
    told = thymedeck(folder, "serve")
    assert told.returncode == 2 and said in told.stderr and told.stderr.count("\n") == 1
    assert KEY not in told.stderr + told.stdout


def test_where_the_deployment_forbids_peers_the_start_ends_in_one_line(folder: Path) -> None:
    told = json.loads((folder / "b.json").read_text())
    told["settings"]["limits"] = told["settings"]["limits"] | {"peers": False}
    (folder / "b.json").write_text(json.dumps(told))
    ended = thymedeck(folder, "serve")
    assert ended.returncode == 2 and "forbid peers" in ended.stderr and ended.stderr.count("\n") == 1


def test_the_example_can_be_used_and_shows_what_holds_without_it(folder: Path) -> None:
    (folder / "peers.toml").write_text((ROOT / "deploy" / "peers.toml").read_text())
    assert thymedeck(folder, "check").returncode == 0
    shown = load_peer_settings(str(folder / "peers.toml"))
    (folder / "peers.toml").write_text(PEERS.replace('"f"', '"muscat"'))
    plain = load_peer_settings(str(folder / "peers.toml"))
    for name in plain.__struct_fields__:
        assert name == "join" or getattr(shown, name) == getattr(plain, name)


@pytest.mark.parametrize("text, value", [("300 ms", 3000), ("1.5 s", 15_000), ("2min", 1_200_000)])
def test_figures_have_units(text: str, value: int) -> None:
    assert parse_quantity(text, {"ms": 10, "s": 10_000, "min": 600_000}) == value


def test_decisions_are_the_same_with_peers_on_and_off() -> None:
    """What every module was told and answered, with its time, in a play with drains and a death."""
    scenario = read_scenario(str(ROOT / "tests" / "scenarios" / "lab" / "calm.toml"))
    scenario.agree_within = 0
    plays = []
    for peers in (False, True):
        scenario.sheet.fleet.peers = peers
        run = Run(scenario, 7, False)
        start, told = run.stage.start, []

        def watched(name: str, start=start, stage=run.stage, told=told) -> None:  # noqa: ANN001
            start(name)
            balancer = stage.services[name].balancer
            handle = balancer.handle

            def noted(now: int, event: object) -> list:
                actions = handle(now, event)
                told.append((name, now, repr(event), repr(actions)))
                return actions

            balancer.handle = noted

        run.stage.start = watched
        run.play()
        plays.append((told, run.stage.record.as_bytes()))
        assert bool(run.stage.carriers) is peers
    assert len(plays[0][0]) > 2000
    assert plays[0] == plays[1]


def test_a_flood_takes_a_bounded_part_of_the_time(folder: Path) -> None:
    """On a stage with one balancer: nothing is read past the second's share."""
    from thymedeck.lab.play import settings

    stage = Virtual(1, settings(1, ["m1"], ["a"]), {})
    stage.start("b0")
    stage.run(SECOND)
    carrier = stage.carriers["b0"]
    from_ = stage.ground.datagram(("10.3.0.1", 9))
    reads = []
    recv = carrier.sock.recv
    carrier.sock.recv = lambda most: (reads.append(stage.now()), recv(most))[1]
    for _ in range(100):
        for _ in range(200):
            from_.sendto(bytes(100), carrier.sock.name)
        stage.run(SECOND // 20)
    assert carrier.dropped["flood"] or any(e["event"] == "peers_dropped" for e in stage.log("b0"))
    assert carrier.membership.verdicts_paused_until > stage.loop.now()
    assert max(sum(at - SECOND < one <= at for one in reads) for at in reads[::50]) <= 500 + 40
