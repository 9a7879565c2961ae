"""Tables of what the journal holds of played days: by day and code, how near the gate, scores, broken rules.

python tools/standing.py                    all that was played, one row for each day and code
python tools/standing.py --code now         only what was played on the code as it stands
python tools/standing.py --seeds            a row for each play instead
python tools/standing.py --last 3           only the three codes played last
python tools/standing.py --days +brink+mass --nodes 1      the short days
python tools/standing.py --site ridge-alarms --nodes 1     another deployment's days
python tools/standing.py --into FILE        put that table (of three, or as said) between the marks in FILE

A code is what the deploy file's `policy` and `node` name, by its files' digests: seven figures tell it, `now`
is the one in the working tree. "To spare" is the share served less the share that the gate wants of that day.
"""

import argparse
import hashlib
import re
import statistics
import sys
import tomllib
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

BEGIN, END = "<!-- made by tools/standing.py: begin -->", "<!-- made by tools/standing.py: end -->"
SHORT = 7


class File(msgspec.Struct):
    path: str
    sha256: str


class Day(msgspec.Struct):
    """As a run leaves it in the journal; what a day of another bench lacks stays at its default."""

    name: str = ""
    seed: int = 0
    nodes: int = 0
    served: float | None = None
    served_least: float | None = None
    score: float | None = None
    fault: str | None = None
    rules: dict[str, int] = {}
    files: int = 0
    fair: bool = True


class Run(msgspec.Struct):
    head: str = ""
    site: str = ""
    at: list[str] = []
    panel: str | None = None
    policy: list[File] = []
    node: list[File] = []
    days: list[Day] = []
    figures: dict[str, float | None] = {}


class Play(msgspec.Struct):
    code: str
    head: str
    at: str
    panel: str  # "full", "quick" or "" for a single day
    day: Day

    @property
    def spare(self) -> float | None:
        """Share served less the share that the gate wants; None where the bench told neither."""
        day = self.day
        return None if day.served is None or day.served_least is None else day.served - day.served_least

    @property
    def broken(self) -> int:
        return sum(self.day.rules.values())


def code_of(files: Iterable[File]) -> str:
    """What tells one state of the program from another: paths and digests of its own files."""
    own = sorted((file.path, file.sha256) for file in files if file.path.startswith("thymedeck/"))
    return hashlib.sha256(repr(own).encode()).hexdigest()[:SHORT]


def code_now(root: Path) -> str:
    """The same of the working tree, by what the deploy file names."""
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    paths: list[Path] = []
    for name in [*deploy["policy"], *deploy["node"]]:
        path = root / name
        paths += sorted(path.rglob("*.py")) if path.is_dir() else [path]
    return code_of(
        File(path.relative_to(root).as_posix(), hashlib.sha256(path.read_bytes()).hexdigest())
        for path in paths
    )


def read_plays(journal: Path, ending: str, least_nodes: int, site: str = "") -> list[Play]:
    """The days whose name ends so, oldest first; small looks, and days beside other load, do not count.

    A day's number among those of its panel (`calm+brink+mass-8`) is no part of its name.
    """
    plays = []
    decode = msgspec.json.Decoder(Run).decode
    for path in sorted(journal.glob("*.json")):
        text = path.read_bytes()
        if ending.encode() not in text:
            continue
        try:
            run = decode(text)
        except msgspec.MsgspecError as why:
            print(f"{path.name} passed over: {why}", file=sys.stderr)
            continue
        if site and run.site not in ("", site):
            continue
        for day in run.days:
            day.name = re.sub(r"-\d+$", "", day.name)
        panel = "" if not run.panel else "quick" if run.panel.endswith(":quick") else "full"
        code = code_of([*run.policy, *run.node])
        plays += [
            Play(code, run.head[:SHORT], run.at[0] if run.at else "", panel, day)
            for day in run.days
            if day.name.endswith(ending) and day.nodes >= least_nodes and day.fair
        ]
    return sorted(plays, key=lambda play: play.at)


def figure(value: float | None, signed: bool = False) -> str:
    return "-" if value is None else f"{value:+.3f}" if signed else f"{value:.2f}"


def rows_by_day(plays: list[Play], now: str) -> Iterator[list[str]]:
    yield ["day", "code", "from", "plays", "seeds", "to spare: least", "(seed)", "median", "score: least",
           "median", "most", "rules broken", "faults", "descriptors: most"]  # fmt: skip
    order = list(dict.fromkeys(play.code for play in plays))
    names = sorted({play.day.name for play in plays})
    for name in names:
        for code in order:
            group = [p for p in plays if p.day.name == name and p.code == code]
            if not group:
                continue
            spares = [(p.spare, p.day.seed) for p in group if p.spare is not None]
            least = min(spares, default=(None, None))
            scores = [p.day.score for p in group if p.day.score is not None]
            yield [
                name, "now" if code == now else code, group[0].head, str(len(group)),
                str(len({p.day.seed for p in group})), figure(least[0], True),
                "-" if least[1] is None else str(least[1]),
                figure(statistics.median(s for s, _ in spares) if spares else None, True),
                figure(min(scores, default=None)), figure(statistics.median(scores) if scores else None),
                figure(max(scores, default=None)), str(sum(p.broken > 0 for p in group)),
                str(sum(p.day.fault is not None for p in group)), str(max(p.day.files for p in group)),
            ]  # fmt: skip


def rows_by_play(plays: list[Play], now: str) -> Iterator[list[str]]:
    yield ["day", "seed", "code", "panel", "served", "wanted", "to spare", "score", "rules", "fault"]
    for play in sorted(plays, key=lambda p: (p.day.name, p.day.seed, p.at)):
        day = play.day
        yield [
            day.name, str(day.seed), "now" if play.code == now else play.code, play.panel or "-",
            "-" if day.served is None else f"{day.served:.3f}",
            "-" if day.served_least is None else f"{day.served_least:.3f}",
            figure(play.spare, True), figure(day.score),
            f"BROKEN {play.broken}" if play.broken else "kept", day.fault or "none",
        ]  # fmt: skip


def markdown(rows: Iterable[list[str]]) -> str:
    head, *rest = rows
    lines = [head, ["---"] * len(head), *rest]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def put_between_marks(text: str, table: str) -> str:
    """Raises ValueError where the marks are not there, once each and in order."""
    before, found, rest = text.partition(BEGIN)
    _, closed, after = rest.partition(END)
    if not found or not closed or BEGIN in after or END in after:
        raise ValueError("the two marks have to be there once each")
    return f"{before}{BEGIN}\n{table}\n{END}{after}"


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--root", type=Path, default=Path(), help="the project's folder")
    parser.add_argument("--days", default="+mass", help="days whose name ends so (default +mass)")
    parser.add_argument("--site", default="muscat-network", help="the deployment (muscat-network)")
    parser.add_argument("--day", help="one day alone, by its whole name")
    parser.add_argument("--nodes", type=int, default=150, help="days of fewer balancers are looks (150)")
    parser.add_argument("--code", help="only this code, or `now`")
    parser.add_argument("--seeds", action="store_true", help="a row for each play")
    parser.add_argument("--last", type=int, help="only the codes that were played last, so many")
    parser.add_argument("--into", type=Path, help="file whose marked part becomes the table")
    given = parser.parse_args()
    now = code_now(given.root)
    code = given.code
    plays = read_plays(given.root / "journal", given.day or given.days, given.nodes, given.site)
    plays = [p for p in plays if code is None or p.code == (now if code == "now" else code)]
    plays = [p for p in plays if given.day is None or p.day.name == given.day]
    last = given.last or (3 if given.into and code is None else 0)
    if last:
        latest = list(dict.fromkeys(play.code for play in reversed(plays)))[:last]
        plays = [p for p in plays if p.code in latest]
    if not plays:
        print("the journal holds no such play", file=sys.stderr)
        return 1
    table = markdown((rows_by_play if given.seeds else rows_by_day)(plays, now))
    if given.into:
        try:
            given.into.write_text(put_between_marks(given.into.read_text(), table))
        except ValueError as why:
            print(f"{given.into}: {why}", file=sys.stderr)
            return 2
    else:
        print(table)
    return 0


if __name__ == "__main__":
    sys.exit(main())
