"""The tool that tabulates the journal: only undisturbed runs of enough balancers count."""

import json
import subprocess
import sys
from hashlib import sha256
from pathlib import Path

import pytest

from tools.standing import BEGIN, END, current_code_digest, read_day_runs, replace_between_marks, rows_by_day

OTHER_CODE = [{"path": "thymedeck/a.py", "sha256": "00"}]


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


def write_record(root: Path, name: str, files: list[dict], days: list[dict]) -> None:
    run = {"head": "abcdef012345", "at": [name], "panel": None, "policy": files, "node": [], "days": days}
    (root / "journal" / f"{name}.json").write_text(json.dumps(run))


def current_files(root: Path) -> list[dict]:
    """The files of the working tree, with their digests."""
    return [
        {"path": path, "sha256": sha256((root / path).read_bytes()).hexdigest()}
        for path in ("thymedeck/net/b.py", "thymedeck/a.py")
    ]


def test_runs_are_grouped_by_code_and_the_least_margin_has_its_seed(root: Path) -> None:
    write_record(root, "1", OTHER_CODE, [day(5, 0.79, rules={"lost": 3, "dup": 1}, fault="crash")])
    write_record(
        root,
        "2",
        current_files(root),
        [day(6, 0.9), day(7, 0.83), day(8, 0.7, nodes=60), day(9, 0.1, fair=False)],
    )
    write_record(root, "3", current_files(root), [day(7, 0.86, score=0.7), day(1, 0.2, name="calm+xy")])
    (root / "journal" / "4.json").write_text('{"days": "calm+x"')
    now = current_code_digest(root)
    day_runs = read_day_runs(root / "journal", "calm+x", 150)
    head, other, present = rows_by_day(day_runs, now)
    row = dict(zip(head, present, strict=False))
    assert [row[key] for key in ("code", "runs", "seeds", "margin: least", "(seed)")] == [
        "now", "3", "2", "+0.030", "7",
    ]  # fmt: skip
    assert present[head.index("score: least") :] == ["0.50", "0.50", "0.70", "0", "0", "90"]
    assert other[5] == "-0.010" and other[-3:] == ["1", "1", "90"]


def test_other_sites_are_left_out_and_the_number_in_the_panel_is_removed_from_the_name(root: Path) -> None:
    write_record(root, "1", OTHER_CODE, [day(5, 0.9, name="calm+x-2"), day(6, 0.9, name="calm+x-8")])
    (root / "journal" / "2.json").write_text(json.dumps({"site": "elsewhere", "days": [day(7, 0.1)]}))
    day_runs = read_day_runs(root / "journal", "calm+x", 150, "here")
    assert [(day_run.day.name, day_run.day.seed) for day_run in day_runs] == [("calm+x", 5), ("calm+x", 6)]


def test_the_table_replaces_only_the_text_between_the_marks(root: Path) -> None:
    write_record(root, "1", current_files(root), [day(5, 0.9)])
    page = root / "page.md"
    page.write_text(f"before\n{BEGIN}\nold\n{END}\nafter\n")
    command = [
        sys.executable,
        Path(__file__).parents[1] / "tools/standing.py",
        "--root",
        root,
        "--days",
        "calm+x",
    ]
    subprocess.run([*command, "--into", page], check=True)
    once = page.read_text()
    subprocess.run([*command, "--into", page], check=True)
    assert page.read_text() == once
    assert (
        once.startswith(f"before\n{BEGIN}\n| day |")
        and once.endswith(f"{END}\nafter\n")
        and "old" not in once
    )


@pytest.mark.parametrize("text", ["no marks", f"{BEGIN}", f"{BEGIN}\n{END}\n{BEGIN}\n{END}"])
def test_a_page_without_both_marks_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="marks"):
        replace_between_marks(text, "table")
