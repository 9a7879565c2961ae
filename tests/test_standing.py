"""The tool that makes tables of the journal: only whole, fair plays of the days asked for count, by code."""

import json
import subprocess
import sys
from hashlib import sha256
from pathlib import Path

import pytest

from tools.standing import BEGIN, END, code_now, put_between_marks, read_plays, rows_by_day

OTHER = [{"path": "thymedeck/a.py", "sha256": "00"}]


def day(seed: int, served: float, **more: object) -> dict:
    rules = {"lost": 0, "dup": 0}
    return {"name": "calm+x", "seed": seed, "nodes": 200, "served": served, "served_least": 0.8, "score": 0.5,
            "rules": rules, "files": 90} | more  # fmt: skip


@pytest.fixture
def root(tmp_path: Path) -> Path:
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "balancer.toml").write_text(
        'policy = ["thymedeck/a.py"]\nnode = ["thymedeck/net"]\n'
    )
    (tmp_path / "thymedeck" / "net").mkdir(parents=True)
    (tmp_path / "thymedeck" / "a.py").write_text("1")
    (tmp_path / "thymedeck" / "net" / "b.py").write_text("2")
    (tmp_path / "journal").mkdir()
    return tmp_path


def note(root: Path, name: str, files: list[dict], days: list[dict]) -> None:
    run = {"head": "abcdef012345", "at": [name], "panel": None, "policy": files, "node": [], "days": days}
    (root / "journal" / f"{name}.json").write_text(json.dumps(run))


def own_files(root: Path) -> list[dict]:
    return [
        {"path": path, "sha256": sha256((root / path).read_bytes()).hexdigest()}
        for path in ("thymedeck/net/b.py", "thymedeck/a.py")
    ]


def test_plays_are_counted_by_code_and_the_least_names_its_seed(root: Path) -> None:
    note(root, "1", OTHER, [day(5, 0.79, rules={"lost": 3, "dup": 1}, fault="crash")])
    note(
        root,
        "2",
        own_files(root),
        [day(6, 0.9), day(7, 0.83), day(8, 0.7, nodes=60), day(9, 0.1, fair=False)],
    )
    note(root, "3", own_files(root), [day(7, 0.86, score=0.7), day(1, 0.2, name="calm+xy")])
    (root / "journal" / "4.json").write_text('{"days": "calm+x"')
    now = code_now(root)
    plays = read_plays(root / "journal", "calm+x", 150)
    head, other, present = rows_by_day(plays, now)
    row = dict(zip(head, present, strict=False))
    assert [row[key] for key in ("code", "plays", "seeds", "to spare: least", "(seed)")] == [
        "now", "3", "2", "+0.030", "7",
    ]  # fmt: skip
    assert present[head.index("score: least") :] == ["0.50", "0.50", "0.70", "0", "0", "90"]
    assert other[5] == "-0.010" and other[-3:] == ["1", "1", "90"]


def test_days_of_another_site_are_told_apart_and_a_number_in_the_panel_is_no_name(root: Path) -> None:
    note(root, "1", OTHER, [day(5, 0.9, name="calm+x-2"), day(6, 0.9, name="calm+x-8")])
    (root / "journal" / "2.json").write_text(json.dumps({"site": "elsewhere", "days": [day(7, 0.1)]}))
    plays = read_plays(root / "journal", "calm+x", 150, "here")
    assert [(play.day.name, play.day.seed) for play in plays] == [("calm+x", 5), ("calm+x", 6)]


def test_the_table_replaces_what_stands_between_the_marks_alone(root: Path) -> None:
    note(root, "1", own_files(root), [day(5, 0.9)])
    page = root / "page.md"
    page.write_text(f"before\n{BEGIN}\nold\n{END}\nafter\n")
    call = [
        sys.executable,
        Path(__file__).parents[1] / "tools/standing.py",
        "--root",
        root,
        "--days",
        "calm+x",
    ]
    subprocess.run([*call, "--into", page], check=True)
    once = page.read_text()
    subprocess.run([*call, "--into", page], check=True)
    assert page.read_text() == once
    assert (
        once.startswith(f"before\n{BEGIN}\n| day |")
        and once.endswith(f"{END}\nafter\n")
        and "old" not in once
    )


@pytest.mark.parametrize("text", ["no marks", f"{BEGIN}", f"{BEGIN}\n{END}\n{BEGIN}\n{END}"])
def test_a_page_without_its_marks_is_left_alone(text: str) -> None:
    with pytest.raises(ValueError, match="marks"):
        put_between_marks(text, "table")
