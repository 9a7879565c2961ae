"""Counts across a fleet, from the logs of its balancers: what all of them did in each second, by event.

    python tools/fleetcount.py FOLDER [--step SECONDS]

FOLDER holds a log for each balancer (`*.log`, one JSON line an event, whatever stands before it). The first
table has a row for each step, the second the sessions that stand on each server at its end; then come the
mode lines without their figures.
"""

import argparse
import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path

COUNTED = ("came", "up", "answer", "silent", "drains", "malformed", "no_sockets", "list_failed", "started")


def read_logs(folder: Path) -> list[dict]:
    """All events of the fleet by time; a line cut off by a kill is passed over."""
    events = []
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            try:
                events.append(json.loads(line[line.index("{") :]) | {"file": path.stem})
            except ValueError:
                continue
    events.sort(key=lambda one: one["time"])
    return events


def kind_of(event: dict) -> str | None:
    name = event["event"]
    if name == "dial":
        return "dial " + event["ending"]
    if name == "session":
        return event["ending"]
    if name == "answer":
        return "answer " + event["line"].split()[0]
    return name if name in COUNTED else None


def steps_of(events: Iterable[dict], step: float) -> Iterator[tuple[float, list[dict]]]:
    start, rows = None, []
    for event in events:
        if start is None:
            start = event["time"]
        while event["time"] >= start + step:
            yield start, rows
            start, rows = start + step, []
        rows.append(event)
    if start is not None:
        yield start, rows


class Standing:
    """Which session stands on which server, over all balancers."""

    def __init__(self) -> None:
        self.names: dict[tuple[str, int], str] = {}  # balancer, its number for a server -> the list's id
        self.on: dict[tuple[str, int], str] = {}  # balancer, session -> server

    def take(self, event: dict) -> None:
        file, name = event["file"], event["event"]
        if name == "listed":
            self.names[file, event["server"]] = event["id"]
        elif name == "came" and "at=" in event["figures"]:  # it stood there before the start
            self.on[file, event["sess"]] = event["figures"].partition("at=")[2].partition(",")[0]
        elif name == "up":
            self.on[file, event["sess"]] = self.names.get((file, event["server"]), "?")
        elif name == "session":
            self.on.pop((file, event["sess"]), None)
        elif name == "started":  # from nothing, with what stood before gone
            self.on = {key: server for key, server in self.on.items() if key[0] != file}


def tables(events: list[dict], step: float) -> Iterator[str]:
    per_step: list[tuple[float, Counter, Counter]] = []
    texts: Counter = Counter()
    balancers: defaultdict[str, set] = defaultdict(set)
    standing = Standing()
    first = events[0]["time"] if events else 0
    for start, rows in steps_of(events, step):
        counted: Counter = Counter()
        for event in rows:
            standing.take(event)
            if (kind := kind_of(event)) is not None:
                counted[kind] += 1
            if event["event"] == "mode":
                text = re.sub(r"[\d.]+", "N", event["text"])
                texts[text] += 1
                balancers[text].add(event["file"])
        per_step.append((start - first, counted, Counter(standing.on.values())))
    for head, at in (("events", 1), ("standing sessions by server", 2)):
        columns = sorted({name for row in per_step for name in row[at]})
        yield head
        yield "   from " + " ".join(f"{name[-14:]:>14}" for name in columns)
        for row in per_step:
            yield f"{row[0]:7.1f} " + " ".join(f"{row[at][name] or '':>14}" for name in columns)
        yield ""
    yield "mode lines, and from how many balancers"
    for text, count in texts.most_common():
        yield f"{count:6} {len(balancers[text]):4}  {text}"


def main() -> None:
    parser = argparse.ArgumentParser(description="Counts across a fleet from its balancers' logs.")
    parser.add_argument("folder", type=Path)
    parser.add_argument("--step", type=float, default=1.0, help="seconds to a row")
    given = parser.parse_args()
    for line in tables(read_logs(given.folder), given.step):
        print(line)


if __name__ == "__main__":
    main()
