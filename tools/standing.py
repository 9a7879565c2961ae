"""Tabulates the benchmark results in the journal by day (load scenario) and code version.

python tools/standing.py                    all runs, one row for each day and code version
python tools/standing.py --code now         only runs of the code in the working tree
python tools/standing.py --seeds            one row for each run
python tools/standing.py --last 3           only the three code versions that were run last
python tools/standing.py --days +brink+mass --nodes 1      the short days
python tools/standing.py --site ridge-alarms --nodes 1     the days of another deployment
python tools/standing.py --into FILE        write the table between the marks in FILE (--last 3 unless --code)

A code version is identified by the first seven digits of a digest of the files that the deploy file names as
`policy` and `node`; `now` is the one in the working tree. The margin is the fraction of sessions served minus
the least fraction that is required of that day.
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
DIGEST_CHARS = 7


class FileDigest(msgspec.Struct):
    """A source file that a run used."""

    path: str
    sha256: str


class DayRecord(msgspec.Struct):
    """The result of one day in a journal file. Fields that a benchmark doesn't write keep their defaults."""

    name: str = ""
    seed: int = 0
    nodes: int = 0
    served: float | None = None
    served_least: float | None = None
    score: float | None = None
    fault: str | None = None
    rules: dict[str, int] = {}
    files: int = 0  # open descriptors
    fair: bool = True


class RunRecord(msgspec.Struct):
    """A journal file: one run of the benchmark over one or more days."""

    head: str = ""  # commit
    site: str = ""  # deployment
    at: list[str] = []
    panel: str | None = None
    policy: list[FileDigest] = []
    node: list[FileDigest] = []
    days: list[DayRecord] = []
    figures: dict[str, float | None] = {}


class DayRun(msgspec.Struct):
    """One run of one day, with the version of the code."""

    code: str
    head: str
    at: str
    panel: str  # "full", "quick" or "" for a single day
    day: DayRecord

    @property
    def margin(self) -> float | None:
        """Fraction served minus the fraction required; None if the benchmark did not write both."""
        day = self.day
        return None if day.served is None or day.served_least is None else day.served - day.served_least

    @property
    def violations(self) -> int:
        """Number of rule violations."""
        return sum(self.day.rules.values())


def code_digest(files: Iterable[FileDigest]) -> str:
    """Identifies a version of the program by the paths and digests of its own files."""
    own = sorted((file.path, file.sha256) for file in files if file.path.startswith("thymedeck/"))
    return hashlib.sha256(repr(own).encode()).hexdigest()[:DIGEST_CHARS]


def current_code_digest(root: Path) -> str:
    """Returns the digest of the working tree, over the files that the deploy file names."""
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    paths: list[Path] = []
    for name in [*deploy["policy"], *deploy["node"]]:
        path = root / name
        paths += sorted(path.rglob("*.py")) if path.is_dir() else [path]
    return code_digest(
        FileDigest(path.relative_to(root).as_posix(), hashlib.sha256(path.read_bytes()).hexdigest())
        for path in paths
    )


def read_day_runs(journal: Path, name_suffix: str, min_nodes: int, site: str = "") -> list[DayRun]:
    """Returns the runs of the days with this suffix, oldest first.

    Left out are runs with fewer balancers than `min_nodes` and runs disturbed by other load on the machine
    (not `fair`) and, if `site` is given, runs of other deployments. A day's number within its panel
    (`calm+brink+mass-8`) is removed from its name.
    """
    day_runs = []
    decode = msgspec.json.Decoder(RunRecord).decode
    for path in sorted(journal.glob("*.json")):
        text = path.read_bytes()
        if name_suffix.encode() not in text:
            continue
        try:
            record = decode(text)
        except msgspec.MsgspecError as error:
            print(f"{path.name} skipped: {error}", file=sys.stderr)
            continue
        if site and record.site not in ("", site):
            continue
        for day in record.days:
            day.name = re.sub(r"-\d+$", "", day.name)
        panel = "" if not record.panel else "quick" if record.panel.endswith(":quick") else "full"
        code = code_digest([*record.policy, *record.node])
        day_runs += [
            DayRun(code, record.head[:DIGEST_CHARS], record.at[0] if record.at else "", panel, day)
            for day in record.days
            if day.name.endswith(name_suffix) and day.nodes >= min_nodes and day.fair
        ]
    return sorted(day_runs, key=lambda day_run: day_run.at)


def format_number(value: float | None, signed: bool = False) -> str:
    return "-" if value is None else f"{value:+.3f}" if signed else f"{value:.2f}"


def rows_by_day(day_runs: list[DayRun], current_code: str) -> Iterator[list[str]]:
    yield ["day", "code", "commit", "runs", "seeds", "margin: least", "(seed)", "median", "score: least",
           "median", "most", "runs breaking rules", "faults", "descriptors: most"]  # fmt: skip
    codes = list(dict.fromkeys(day_run.code for day_run in day_runs))
    names = sorted({day_run.day.name for day_run in day_runs})
    for name in names:
        for code in codes:
            group = [run for run in day_runs if run.day.name == name and run.code == code]
            if not group:
                continue
            margins = [(run.margin, run.day.seed) for run in group if run.margin is not None]
            least = min(margins, default=(None, None))
            scores = [run.day.score for run in group if run.day.score is not None]
            yield [
                name, "now" if code == current_code else code, group[0].head, str(len(group)),
                str(len({run.day.seed for run in group})), format_number(least[0], True),
                "-" if least[1] is None else str(least[1]),
                format_number(statistics.median(m for m, _ in margins) if margins else None, True),
                format_number(min(scores, default=None)),
                format_number(statistics.median(scores) if scores else None),
                format_number(max(scores, default=None)), str(sum(run.violations > 0 for run in group)),
                str(sum(run.day.fault is not None for run in group)),
                str(max(run.day.files for run in group)),
            ]  # fmt: skip


def rows_by_run(day_runs: list[DayRun], current_code: str) -> Iterator[list[str]]:
    yield ["day", "seed", "code", "panel", "served", "required", "margin", "score", "rules", "fault"]
    for day_run in sorted(day_runs, key=lambda run: (run.day.name, run.day.seed, run.at)):
        day = day_run.day
        yield [
            day.name, str(day.seed), "now" if day_run.code == current_code else day_run.code,
            day_run.panel or "-",
            "-" if day.served is None else f"{day.served:.3f}",
            "-" if day.served_least is None else f"{day.served_least:.3f}",
            format_number(day_run.margin, True), format_number(day.score),
            f"BROKEN {day_run.violations}" if day_run.violations else "kept", day.fault or "none",
        ]  # fmt: skip


def markdown(rows: Iterable[list[str]]) -> str:
    """Formats the rows, the first of which is the heading, as a Markdown table."""
    heading, *rest = rows
    lines = [heading, ["---"] * len(heading), *rest]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def replace_between_marks(text: str, table: str) -> str:
    """Raises ValueError unless each mark occurs exactly once, in order."""
    before, begin, rest = text.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end or BEGIN in after or END in after:
        raise ValueError("the begin and end marks must occur exactly once each")
    return f"{before}{BEGIN}\n{table}\n{END}{after}"


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--root", type=Path, default=Path(), help="root directory of the project")
    parser.add_argument("--days", default="+mass", help="suffix of the names of the days (default +mass)")
    parser.add_argument("--site", default="muscat-network", help="deployment (default muscat-network)")
    parser.add_argument("--day", help="full name of a single day")
    parser.add_argument(
        "--nodes", type=int, default=150, help="leave out runs with fewer balancers (default 150)"
    )
    parser.add_argument("--code", help="digest of a single code version, or `now`")
    parser.add_argument("--seeds", action="store_true", help="one row for each run")
    parser.add_argument("--last", type=int, help="number of code versions, the last ones that were run")
    parser.add_argument("--into", type=Path, help="file in which the table replaces the marked part")
    args = parser.parse_args()
    current_code = current_code_digest(args.root)
    code = args.code
    day_runs = read_day_runs(args.root / "journal", args.day or args.days, args.nodes, args.site)
    day_runs = [
        run for run in day_runs if code is None or run.code == (current_code if code == "now" else code)
    ]
    day_runs = [run for run in day_runs if args.day is None or run.day.name == args.day]
    code_count = args.last or (3 if args.into and code is None else 0)
    if code_count:
        recent_codes = list(dict.fromkeys(day_run.code for day_run in reversed(day_runs)))[:code_count]
        day_runs = [run for run in day_runs if run.code in recent_codes]
    if not day_runs:
        print("no matching run in the journal", file=sys.stderr)
        return 1
    table = markdown((rows_by_run if args.seeds else rows_by_day)(day_runs, current_code))
    if args.into:
        try:
            args.into.write_text(replace_between_marks(args.into.read_text(), table))
        except ValueError as error:
            print(f"{args.into}: {error}", file=sys.stderr)
            return 2
    else:
        print(table)
    return 0


if __name__ == "__main__":
    sys.exit(main())
