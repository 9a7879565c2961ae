"""Real daemons with faults between them, and the same plays in virtual time; nothing is left behind."""

import os
from pathlib import Path

import pytest

from thymedeck.lab import checks
from thymedeck.lab.__main__ import main
from thymedeck.lab.play import Run, settings
from thymedeck.lab.scenario import read
from thymedeck.lab.stage import KEY, SECOND, Guest, Processes
from thymedeck.peers.messages import MessageKind, Rumour, RumourStatus, SessionCounts
from thymedeck.peers.settings import SettingsFileError

FOLDER = Path(__file__).parent / "scenarios" / "lab"
NEW_KEY = "ff" * 16


@pytest.mark.parametrize("processes", [False, True], ids=["virtual", "processes"])
@pytest.mark.parametrize("name", ["cut_frozen_killed", "lossy"])
def test_a_fleet_with_pieces_broken(name: str, processes: bool) -> None:
    run = Run(read(str(FOLDER / f"{name}.toml")), 1, processes)
    rows = run.play()
    assert not [line for row in rows for line in row.wrong]
    assert all(row.looked_at for row in rows if "cold" not in row.check)
    if processes:
        assert not run.stage.path.exists()
        assert all(process.poll() is not None for process in run.stage.running.values())


def test_the_same_seed_gives_the_same_record_to_the_byte() -> None:
    scenario = read(str(FOLDER / "cut_frozen_killed.toml"))
    scenario.length = 8 * SECOND
    scenario.deeds = []
    records = []
    for seed in (3, 3, 4):
        run = Run(scenario, seed, False)
        run.play()
        records.append(run.stage.record.as_bytes())
    assert records[0] == records[1] != records[2]


def called_gone(stage: Processes, names: list[str]) -> list[str]:
    return [
        entry["text"]
        for name in names
        for entry in stage.log(name)
        if entry["event"] == "peers"
        and "gone" in entry["text"]
        and "g0" not in entry["text"].split("gone")[1]
    ]


def test_hostile_with_the_key_flood_without_it_keys_changed_and_a_name_taken_twice() -> None:
    with Processes(1, settings(8, ["m1"], ["a"]), {}) as stage:
        names = stage.bring_up(8)
        guest = Guest(stage, "g0")
        guest.newer = True  # a fleet of two versions of messages
        assert stage.run_until(lambda: all(stage.here(name) == 8 for name in names), 20 * SECOND)
        assert stage.run_until(lambda: len(guest.peers.counts_table.received) == 8, 10 * SECOND)
        honest = list(guest.peers.peers.values())
        for turn in range(60):
            for peer in honest:
                dead = [
                    Rumour(RumourStatus.DEAD, one.name, one.incarnation) for one in honest if one is not peer
                ]
                guest.say(peer, MessageKind.ACK, rumours=dead)
                lie = SessionCounts(10**9, [("m1", 10**6)])
                guest.say(peer, MessageKind.COUNTS, name=honest[turn % 8].name, counts=lie)
                for _ in range(40):
                    guest.send_raw(peer.address, os.urandom(200))
            stage.run(SECOND // 20)
        assert not called_gone(stage, names)
        said = [entry["text"] for name in names for entry in stage.log(name) if entry["event"] == "peers"]
        assert any("g0 is ignored" in text for text in said)
        dropped = [entry for name in names for entry in stage.log(name) if entry["event"] == "peers_dropped"]
        assert sum(entry.get("key", 0) for entry in dropped) > 0

        for keys in ([KEY, NEW_KEY], [NEW_KEY, KEY], [NEW_KEY]):
            stage.write_keys(*keys)
            for name in names:
                stage.reload(name)
            read_again = len(keys) if keys != [NEW_KEY, KEY] else 2
            assert stage.run_until(
                lambda n=read_again: all(count_of_keys(stage, b) == n for b in names), 10 * SECOND
            )
            stage.run(SECOND)
        guest.close()  # it has the old key alone
        assert stage.run_until(lambda: all(stage.here(name) == 7 for name in names), 20 * SECOND)
        assert not called_gone(stage, names)

        stage.start("b8", called="b2")
        stage.started("b8")
        taken = "the name b2 is taken by"
        assert stage.run_until(
            lambda: (
                any(taken in e.get("text", "") for e in stage.log("b8"))
                or any(
                    "two balancers use the name b2" in e.get("text", "") for n in names for e in stage.log(n)
                )
            ),
            20 * SECOND,
        )
        assert not any(entry["event"] in ("fault", "text") for name in names for entry in stage.log(name))


def count_of_keys(stage: Processes, name: str) -> int:
    lines = [entry["count"] for entry in stage.log(name) if entry["event"] == "peer_keys"]
    return lines[-1] if lines else 0


LINE = {"what": "client line", "id": "a", "balancer": "b0", "kind": "once", "deadline": 100}


def told(at: int, what: str, **more: object) -> dict:
    return {"at": at, "what": what, "id": "a", "balancer": "b0", "server": "s0"} | more


VIOLATIONS = {
    "no answer": (checks.one_answer, [LINE | {"at": 0}], {"end": 10**6}),
    "a late answer": (
        checks.one_answer, [LINE | {"at": 0}, told(5000, "client answer", word="UP")], {"end": 10**6},
    ),
    "two answers": (
        checks.one_answer, [LINE | {"at": 0}] + 2 * [told(5, "client answer", word="UP")], {"end": 10**6},
    ),
    "more after a refusal": (
        checks.one_answer,
        [LINE | {"at": 0}, told(5, "client answer", word="BUSY"), told(6, "client more", line="UP")],
        {"end": 10**6},
    ),
    "once-only at two servers": (
        checks.no_effect_twice,
        [LINE | {"at": 0}, told(1, "server line"), told(2, "server answer", answer="lost"),
         told(3, "server end"), told(4, "server line", server="s1")],
        {"effects": {"once": "once"}},
    ),
    "two lines out": (
        checks.no_effect_twice,
        [told(1, "server line"), told(4, "server line", server="s1")],
        {"effects": {}},
    ),
    "a dial after the grace": (
        checks.drains_kept,
        [told(0, "list answer", status=200, told=[("s0", "DRAINING")]), told(30_000, "server line")],
        {"grace": 20_000},
    ),
    "a rush on a cold server": (
        checks.cold_spared,
        [told(0, "cold", budget=3, window=100, until=1000)]
        + [told(at, "server line") for at in (50, 60, 99, 101)],
        {},
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", VIOLATIONS)
def test_each_check_sees_what_it_is_there_for(name: str) -> None:
    check, entries, more = VIOLATIONS[name]
    assert check(entries, **more)
    assert not check(entries[:-1] if name != "no answer" else [], **more) or name in (
        "a late answer",
        "two answers",
    )


def test_once_only_may_go_on_where_it_never_ran() -> None:
    entries = [
        LINE | {"at": 0}, told(1, "server line"), told(2, "server answer", answer="BUSY"),
        told(3, "server end"), told(4, "server line", server="s1"),
    ]  # fmt: skip
    assert not checks.no_effect_twice(entries, {"once": "once"})


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
def test_a_wrong_scenario_gets_one_line(
    change: tuple[str, str], entry: str, tmp_path: Path, capsys: pytest.CaptureFixture
) -> None:
    text = (FOLDER / "lossy.toml").read_text()
    assert change[0] in text
    path = tmp_path / "wrong.toml"
    path.write_text(text.replace(*change, 1))
    with pytest.raises(SettingsFileError, match="wrong.toml"):
        read(str(path))
    import sys

    before, sys.argv = sys.argv, ["lab", "run", str(path)]
    try:
        assert main() == 2
    finally:
        sys.argv = before
    line = capsys.readouterr().err
    assert line.count("\n") == 1 and entry in line
