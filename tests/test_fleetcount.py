"""The tool that aggregates the logs of a fleet."""

import json
from pathlib import Path

from tools.fleetcount import read_logs, session_lines, table_lines

LOGS = {
    "n0": [
        {"time": 10.0, "event": "listed", "server": 0, "id": "s-a", "state": "SERVING", "started_ms": 9000},
        {"time": 10.1, "event": "came", "sess": 0, "id": "ab12", "key": "k1", "figures": "c=x"},
        {"time": 10.2, "event": "dial", "sess": 0, "server": 0, "ending": "GIVEN_UP", "sent": True},
        {"time": 10.3, "event": "answer", "sess": 0, "line": "BUSY"},
        {"time": 11.0, "event": "started"},
        {"time": 11.1, "event": "came", "sess": 0, "id": "ff00", "key": "k2", "figures": "c=x"},
        {"time": 11.2, "event": "left", "sess": 0, "ending": "CLIENT_LEFT"},
    ],
    "n1": [
        {"time": 10.5, "event": "listed", "server": 0, "id": "s-a", "state": "DRAINING", "started_ms": 0},
        {"time": 10.6, "event": "came", "sess": 7, "id": "cd34", "key": "k1", "figures": "c=x"},
        {"time": 10.7, "event": "up", "sess": 7, "server": 0, "took": 5},
    ],
}  # fmt: skip


def events(folder: Path) -> list[dict]:
    """Writes the logs, each line with a prefix and the last one cut off, and reads them back."""
    for name, lines in LOGS.items():
        text = "".join(f"0.000 {json.dumps(line)}\n" for line in lines)
        (folder / f"{name}.log").write_text(text + '0.1 {"cut off')
    return read_logs(folder)


def test_session_lines_cover_every_balancer(tmp_path: Path) -> None:
    lines = list(session_lines(events(tmp_path), "k1"))
    assert [line.split()[1] for line in lines] == ["n0", "n0", "n0", "n1", "n1"]
    assert len(list(session_lines(events(tmp_path), "ab12"))) == 3
    # Session 0 of n0 is another one after the restart; its lines are left out.
    assert not any("left" in line for line in lines)


def test_lines_forwarded_after_the_client_left_are_counted(tmp_path: Path) -> None:
    rows = [
        ("left", 1, 1.0),
        ("left", 2, 1.0),
        ("up", 1, 1.05),
        ("up", 2, 1.15),
        ("left", 3, 1.5),
        ("came", 3, 1.6),
    ]
    rows += [("up", 3, 2.0), ("left", 4, 2.0), ("dial", 4, 2.5)]
    lines = [
        {"event": name, "sess": session, "time": time, "sent": True, "ending": "X", "server": 0}
        for name, session, time in rows
    ]
    (tmp_path / "n0.log").write_text(
        "".join(json.dumps(line | {"key": "k", "figures": ""}) + "\n" for line in lines)
    )
    assert "clients that left while waiting: 4; forwarded more than 0.1 s later: 2" in list(
        table_lines(read_logs(tmp_path), 1.0)
    )


def test_counts_of_single_balancers(tmp_path: Path) -> None:
    lines = list(table_lines(events(tmp_path), 1.0))
    counted = {" ".join(line.partition(":")[0].split()[2:]): line.split()[0] for line in lines[-8:]}
    assert [counted[kind] for kind in ("answer BUSY", "left", "cold", "draining", "fault")] == list("11110")
