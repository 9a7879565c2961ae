"""Scenarios with faults on real daemons and in virtual time, the checks themselves, and scenario files.

A run on real daemons must leave no process and no file behind.
"""

import os
from pathlib import Path

import pytest

from thymedeck.lab import checks
from thymedeck.lab.__main__ import main
from thymedeck.lab.scenario import read_scenario
from thymedeck.lab.scenario_run import ScenarioRun, deployment_settings
from thymedeck.lab.testbed import SECOND, SHARED_KEY, FakePeer, ProcessTestbed
from thymedeck.peers.messages import MessageKind, Rumour, RumourStatus, SessionCounts
from thymedeck.peers.settings import SettingsFileError

SCENARIOS = Path(__file__).parent / "scenarios" / "lab"
NEW_KEY = "ff" * 16


@pytest.mark.parametrize("processes", [False, True], ids=["virtual", "processes"])
@pytest.mark.parametrize("name", ["cut_frozen_killed", "lossy"])
def test_scenario_with_faults_passes_all_checks(name: str, processes: bool) -> None:
    run = ScenarioRun(read_scenario(str(SCENARIOS / f"{name}.toml")), 1, processes)
    results = run.run()
    assert not [line for result in results for line in result.violations]
    assert all(result.examined for result in results if "cold" not in result.check)
    if processes:
        assert not run.testbed.directory.exists()
        assert all(process.poll() is not None for process in run.testbed.processes.values())


def test_the_same_seed_gives_the_same_record_to_the_byte() -> None:
    scenario = read_scenario(str(SCENARIOS / "cut_frozen_killed.toml"))
    scenario.duration = 8 * SECOND
    scenario.actions = []
    records = []
    for seed in (3, 3, 4):
        run = ScenarioRun(scenario, seed, False)
        run.run()
        records.append(run.testbed.record.as_bytes())
    assert records[0] == records[1] != records[2]


def texts_reporting_gone(testbed: ProcessTestbed, names: list[str]) -> list[str]:
    return [
        entry["text"]
        for name in names
        for entry in testbed.log(name)
        if entry["event"] == "peers"
        and "gone" in entry["text"]
        and "g0" not in entry["text"].split("gone")[1]
    ]


def test_hostile_peer_then_key_rotation_then_duplicate_name() -> None:
    """Forged rumours and counts, random datagrams, new keys and a second b2: no peer is declared dead."""
    with ProcessTestbed(1, deployment_settings(8, ["m1"], ["a"]), {}) as testbed:
        names = testbed.start_fleet(8)
        fake_peer = FakePeer(testbed, "g0")
        fake_peer.sends_extra_fields = True  # a mixed-version fleet must accept them
        assert testbed.run_until(
            lambda: all(testbed.live_peer_count(name) == 8 for name in names), 20 * SECOND
        )
        assert testbed.run_until(lambda: len(fake_peer.membership.counts_table.received) == 8, 10 * SECOND)
        honest_peers = list(fake_peer.membership.peers.values())
        for round_number in range(60):
            for peer in honest_peers:
                rumours = [
                    Rumour(RumourStatus.DEAD, other.name, other.incarnation)
                    for other in honest_peers
                    if other is not peer
                ]
                fake_peer.send_forged(peer, MessageKind.ACK, rumours=rumours)
                false_counts = SessionCounts(10**9, [("m1", 10**6)])
                fake_peer.send_forged(
                    peer, MessageKind.COUNTS, name=honest_peers[round_number % 8].name, counts=false_counts
                )
                for _ in range(40):
                    fake_peer.send_raw(peer.address, os.urandom(200))
            testbed.run(SECOND // 20)
        assert not texts_reporting_gone(testbed, names)
        peers_texts = [
            entry["text"] for name in names for entry in testbed.log(name) if entry["event"] == "peers"
        ]
        assert any("g0 is ignored" in text for text in peers_texts)
        drop_entries = [
            entry for name in names for entry in testbed.log(name) if entry["event"] == "peers_dropped"
        ]
        assert sum(entry.get("key", 0) for entry in drop_entries) > 0

        for keys in ([SHARED_KEY, NEW_KEY], [NEW_KEY, SHARED_KEY], [NEW_KEY]):
            testbed.write_key_file(*keys)
            for name in names:
                testbed.reload(name)
            expected_count = len(keys) if keys != [NEW_KEY, SHARED_KEY] else 2
            assert testbed.run_until(
                lambda n=expected_count: all(loaded_key_count(testbed, b) == n for b in names), 10 * SECOND
            )
            testbed.run(SECOND)
        fake_peer.close()  # it has only the old key
        assert testbed.run_until(
            lambda: all(testbed.live_peer_count(name) == 7 for name in names), 20 * SECOND
        )
        assert not texts_reporting_gone(testbed, names)

        testbed.start("b8", configured_name="b2")
        testbed.wait_until_started("b8")
        name_taken = "the name b2 is taken by"
        assert testbed.run_until(
            lambda: (
                any(name_taken in e.get("text", "") for e in testbed.log("b8"))
                or any(
                    "two balancers use the name b2" in e.get("text", "")
                    for n in names
                    for e in testbed.log(n)
                )
            ),
            20 * SECOND,
        )
        assert not any(entry["event"] in ("fault", "text") for name in names for entry in testbed.log(name))


def loaded_key_count(testbed: ProcessTestbed, name: str) -> int:
    lines = [entry["count"] for entry in testbed.log(name) if entry["event"] == "peer_keys"]
    return lines[-1] if lines else 0


REQUEST = {"what": "client line", "id": "a", "balancer": "b0", "kind": "once", "deadline": 100}


def entry_of(at: int, what: str, **fields: object) -> dict:
    return {"at": at, "what": what, "id": "a", "balancer": "b0", "server": "s0"} | fields


VIOLATIONS = {
    "no answer": (checks.check_answers, [REQUEST | {"at": 0}], {"end": 10**6}),
    "a late answer": (
        checks.check_answers,
        [REQUEST | {"at": 0}, entry_of(5000, "client answer", word="UP")],
        {"end": 10**6},
    ),
    "two answers": (
        checks.check_answers,
        [REQUEST | {"at": 0}] + 2 * [entry_of(5, "client answer", word="UP")],
        {"end": 10**6},
    ),
    "a second answer after a refusal": (
        checks.check_answers,
        [REQUEST | {"at": 0}, entry_of(5, "client answer", word="BUSY"),
         entry_of(6, "client more", line="UP")],
        {"end": 10**6},
    ),
    "once-only at two servers": (
        checks.check_effects,
        [REQUEST | {"at": 0}, entry_of(1, "server line"), entry_of(2, "server answer", answer="lost"),
         entry_of(3, "server end"), entry_of(4, "server line", server="s1")],
        {"effects": {"once": "once"}},
    ),
    "open at two servers": (
        checks.check_effects,
        [entry_of(1, "server line"), entry_of(4, "server line", server="s1")],
        {"effects": {}},
    ),
    "a dial after the grace period": (
        checks.check_drains,
        [entry_of(0, "list answer", status=200, told=[("s0", "DRAINING")]), entry_of(30_000, "server line")],
        {"grace": 20_000},
    ),
    "too many dials to a cold server": (
        checks.check_cold_budgets,
        [entry_of(0, "cold", budget=3, window=100, until=1000)]
        + [entry_of(at, "server line") for at in (50, 60, 99, 101)],
        {},
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", VIOLATIONS)
def test_each_check_detects_its_violation(name: str) -> None:
    check, entries, arguments = VIOLATIONS[name]
    assert check(entries, **arguments)
    assert not check(entries[:-1] if name != "no answer" else [], **arguments) or name in (
        "a late answer",
        "two answers",
    )


def test_a_refused_at_most_once_session_may_go_to_another_server() -> None:
    entries = [
        REQUEST | {"at": 0}, entry_of(1, "server line"), entry_of(2, "server answer", answer="BUSY"),
        entry_of(3, "server end"), entry_of(4, "server line", server="s1"),
    ]  # fmt: skip
    assert not checks.check_effects(entries, {"once": "once"})


@pytest.mark.parametrize(
    "change, entry",
    [
        (('length = "20 s"', 'length = "20"'), "length"),
        (('rate = "20 /s"', 'rate = "-20 /s"'), "clients[0]"),
        (("count = 3", "cuont = 3"), "servers"),
        (("one_way = true\ncut = true", "one_way = true"), "broken[0]"),
        (('what = "well"', 'what = "better"'), "deeds[1]"),
        (("lose = 0.1", "lose = 1.5"), "broken[2]"),
        (("balancers = 8", "balancers = 0"), "fleet"),
    ],
)
def test_an_invalid_scenario_is_reported_in_one_line(
    change: tuple[str, str], entry: str, tmp_path: Path, capsys: pytest.CaptureFixture
) -> None:
    text = (SCENARIOS / "lossy.toml").read_text()
    assert change[0] in text
    path = tmp_path / "wrong.toml"
    path.write_text(text.replace(*change, 1))
    with pytest.raises(SettingsFileError, match="wrong.toml"):
        read_scenario(str(path))
    import sys

    before, sys.argv = sys.argv, ["lab", "run", str(path)]
    try:
        assert main() == 2
    finally:
        sys.argv = before
    line = capsys.readouterr().err
    assert line.count("\n") == 1 and entry in line
