"""Counts across a fleet, from the logs of its balancers: what all of them did in each second, by event.

    python tools/fleetcount.py FOLDER [--step SECONDS] [--cold SECONDS]
    python tools/fleetcount.py FOLDER --follow ID

FOLDER holds a log for each balancer (`*.log`, one JSON line an event, whatever stands before it). The first
table has a row for each step, the second the sessions that stand on each server at its end; then come the
mode lines without their figures, and what single balancers did most of. `cold` counts dials that ended or
stood on a server started less than so long ago, `draining` those on one that this balancer had been told
drains. With an id (of a client's first line, its beginning is enough) or a session's key: every line that
any balancer wrote of it. A client left at the moment at which its balancer read that it had.
"""

import argparse
import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path

COUNTED = (
    "came", "up", "answer", "left", "silent", "drains", "malformed", "no_sockets", "unanswered", "fault",
    "list_asked", "list_failed", "bad_entry", "started", "stopping", "stopped", "reloaded",
)  # fmt: skip
SINGLED_OUT = ("answer BUSY", "answer ERR", "left", "unanswered", "fault", "list_asked", "cold", "draining")
COLD = 10.0  # seconds
SENT_ON = 0.1  # seconds after a client left at which its line may still go on


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


class Told:
    """What each balancer has been told of its servers."""

    def __init__(self, cold: float) -> None:
        self.cold = cold
        self.state: dict[tuple[str, int], tuple[str, float]] = {}

    def take(self, event: dict) -> list[str]:
        """What is to be said of the dial that this event ends."""
        name = event["event"]
        if name == "listed":
            told = event["state"], event.get("started_ms", 0) / 1000
            self.state[event["file"], event["server"]] = told
        if name not in ("up", "dial"):
            return []
        state, started = self.state.get((event["file"], event["server"]), ("", 0.0))
        cold = started > 0 and event["time"] - started < self.cold
        return ["cold"] * cold + ["draining"] * (state not in ("", "SERVING"))


class Left:
    """Clients that left while they waited, and lines sent on for them later than they should have been."""

    def __init__(self) -> None:
        self.at: dict[tuple[str, int], float] = {}
        self.count = 0
        self.late: set[tuple[str, int]] = set()

    def take(self, event: dict) -> None:
        name, key = event["event"], (event["file"], event.get("sess", -1))
        if name == "left":
            self.at[key] = event["time"]
            self.count += 1
        elif name == "came":  # the number was another's before a restart
            self.at.pop(key, None)
        sent = name == "up" or (name == "dial" and event.get("sent"))
        if sent and event["time"] > self.at.get(key, event["time"]) + SENT_ON:
            self.late.add(key)


def followed(events: Iterable[dict], ident: str) -> Iterator[str]:
    """Each line of the sessions whose id or key begins so, over all balancers."""
    held: set[tuple[str, int]] = set()
    for event in events:
        if event["event"] == "came":
            given = event.get("id", ""), event["key"]
            if any(one.startswith(ident) for one in given):
                held.add((event["file"], event["sess"]))
            else:
                held.discard((event["file"], event["sess"]))  # the number was another's before a restart
        if (event["file"], event.get("sess")) in held:
            rest = {key: value for key, value in event.items() if key not in ("time", "balancer", "file")}
            yield f"{event['time']:.4f} {event['file']:>6} {json.dumps(rest)}"


def tables(events: list[dict], step: float, cold: float = COLD) -> Iterator[str]:
    per_step: list[tuple[float, Counter, Counter]] = []
    texts: Counter = Counter()
    balancers: defaultdict[str, set] = defaultdict(set)
    standing, told, left = Standing(), Told(cold), Left()
    single: defaultdict[str, Counter] = defaultdict(Counter)
    first = events[0]["time"] if events else 0
    for start, rows in steps_of(events, step):
        counted: Counter = Counter()
        for event in rows:
            standing.take(event)
            left.take(event)
            for kind in (kind_of(event), *told.take(event)):
                if kind is not None:
                    counted[kind] += 1
                    single[kind][event["file"]] += 1
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
    yield ""
    yield f"left while they waited: {left.count}; sent on over {SENT_ON} s later: {len(left.late)}"
    yield ""
    yield "in all, from how many balancers, and the most from one"
    for kind in SINGLED_OUT:
        most = single[kind].most_common(3)
        yield f"{sum(single[kind].values()):6} {len(single[kind]):4}  {kind}: " + ", ".join(
            f"{file} {count}" for file, count in most
        )


def main() -> None:
    parser = argparse.ArgumentParser(description="Counts across a fleet from its balancers' logs.")
    parser.add_argument("folder", type=Path)
    parser.add_argument("--step", type=float, default=1.0, help="seconds to a row")
    parser.add_argument(
        "--cold", type=float, default=COLD, help="seconds that a server is cold from its start"
    )
    parser.add_argument("--follow", metavar="ID", help="tell what became of one client's line instead")
    given = parser.parse_args()
    events = read_logs(given.folder)
    lines = followed(events, given.follow) if given.follow else tables(events, given.step, given.cold)
    for line in lines:
        print(line)


if __name__ == "__main__":
    main()
