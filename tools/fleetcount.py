"""Aggregates the logs of a fleet of balancers: counts of events per time step, and the lines of one session.

    python tools/fleetcount.py FOLDER [--step SECONDS] [--cold SECONDS]
    python tools/fleetcount.py FOLDER --follow ID

FOLDER holds a log for each balancer (`*.log`, one event a line as JSON, after any prefix). Printed are:

- the events in each time step;
- the sessions open on each server at the end of each step;
- the texts of the mode events, with their numbers replaced by N;
- the totals of some kinds of events, and the balancers with the most of them.

`cold` counts dials that failed or succeeded less than --cold seconds after the start of their server;
`draining` counts those to a server that this balancer's list showed as draining or deleted. --follow prints
instead every line that any balancer logged about a session, chosen by the beginning of its id (from the
client's first line) or of its key. The time at which a client left is when its balancer noticed it.
"""

import argparse
import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path

COUNTED_EVENTS = (
    "came", "up", "answer", "left", "silent", "drains", "malformed", "no_sockets", "unanswered", "fault",
    "list_asked", "list_failed", "bad_entry", "started", "stopping", "stopped", "reloaded",
)  # fmt: skip
PER_BALANCER_KINDS = (
    "answer BUSY",
    "answer ERR",
    "left",
    "unanswered",
    "fault",
    "list_asked",
    "cold",
    "draining",
)
COLD_SECONDS = 10.0  # a server counts as cold for this time after its start
LATE_FORWARD_SECONDS = 0.1  # an opening line may still be forwarded this long after its client left


def read_logs(folder: Path) -> list[dict]:
    """Returns the events of all logs, sorted by time. Skips lines cut off when a balancer was killed."""
    events = []
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            try:
                events.append(json.loads(line[line.index("{") :]) | {"file": path.stem})
            except ValueError:
                continue
    events.sort(key=lambda event: event["time"])
    return events


def event_kind(event: dict) -> str | None:
    """Returns the column under which the event is counted, or None if it is not."""
    name = event["event"]
    if name == "dial":
        return "dial " + event["ending"]
    if name == "session":
        return event["ending"]
    if name == "answer":
        return "answer " + event["line"].split()[0]
    return name if name in COUNTED_EVENTS else None


def split_into_steps(events: Iterable[dict], step: float) -> Iterator[tuple[float, list[dict]]]:
    """Yields the start of each step of `step` seconds, and the events in it."""
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


class OpenSessions:
    """The established sessions of all balancers and their servers."""

    def __init__(self) -> None:
        self.server_ids: dict[tuple[str, int], str] = {}  # by balancer and its index of the server
        self.server_of: dict[tuple[str, int], str] = {}  # by balancer and session

    def update(self, event: dict) -> None:
        file, name = event["file"], event["event"]
        if name == "listed":
            self.server_ids[file, event["server"]] = event["id"]
        elif name == "came" and "at=" in event["figures"]:  # it was established before the balancer's start
            self.server_of[file, event["sess"]] = event["figures"].partition("at=")[2].partition(",")[0]
        elif name == "up":
            self.server_of[file, event["sess"]] = self.server_ids.get((file, event["server"]), "?")
        elif name == "session":
            self.server_of.pop((file, event["sess"]), None)
        elif name == "started":  # a restart loses the sessions of the earlier process
            self.server_of = {key: server for key, server in self.server_of.items() if key[0] != file}


class ServerStates:
    """The state and start time of the servers, as each balancer's list has them."""

    def __init__(self, cold_seconds: float) -> None:
        self.cold_seconds = cold_seconds
        self.listed: dict[tuple[str, int], tuple[str, float]] = {}  # by balancer and its index of the server

    def update(self, event: dict) -> list[str]:
        """Returns "cold" and "draining" where they apply to the server of the dial that this event ends."""
        name = event["event"]
        if name == "listed":
            state_and_start = event["state"], event.get("started_ms", 0) / 1000
            self.listed[event["file"], event["server"]] = state_and_start
        if name not in ("up", "dial"):
            return []
        state, started = self.listed.get((event["file"], event["server"]), ("", 0.0))
        is_cold = started > 0 and event["time"] - started < self.cold_seconds
        return ["cold"] * is_cold + ["draining"] * (state not in ("", "SERVING"))


class Departures:
    """Clients that left while waiting, and those whose line was forwarded to a server too late after that."""

    def __init__(self) -> None:
        self.left_at: dict[tuple[str, int], float] = {}  # by balancer and session
        self.count = 0
        self.forwarded_late: set[tuple[str, int]] = set()

    def update(self, event: dict) -> None:
        name, key = event["event"], (event["file"], event.get("sess", -1))
        if name == "left":
            self.left_at[key] = event["time"]
            self.count += 1
        elif name == "came":  # session numbers are reused after a restart
            self.left_at.pop(key, None)
        was_forwarded = name == "up" or (name == "dial" and event.get("sent"))
        if was_forwarded and event["time"] > self.left_at.get(key, event["time"]) + LATE_FORWARD_SECONDS:
            self.forwarded_late.add(key)


def session_lines(events: Iterable[dict], prefix: str) -> Iterator[str]:
    """Yields the lines of all balancers about the sessions whose id or key begins with the prefix."""
    selected: set[tuple[str, int]] = set()
    for event in events:
        if event["event"] == "came":
            id_and_key = event.get("id", ""), event["key"]
            if any(name.startswith(prefix) for name in id_and_key):
                selected.add((event["file"], event["sess"]))
            else:
                selected.discard((event["file"], event["sess"]))  # session numbers are reused after a restart
        if (event["file"], event.get("sess")) in selected:
            fields = {key: value for key, value in event.items() if key not in ("time", "balancer", "file")}
            yield f"{event['time']:.4f} {event['file']:>6} {json.dumps(fields)}"


def table_lines(events: list[dict], step: float, cold_seconds: float = COLD_SECONDS) -> Iterator[str]:
    """Yields the lines of all tables."""
    per_step: list[tuple[float, Counter, Counter]] = []
    modes: Counter = Counter()
    balancers_by_mode: defaultdict[str, set] = defaultdict(set)
    open_sessions, server_states, departures = OpenSessions(), ServerStates(cold_seconds), Departures()
    count_by_balancer: defaultdict[str, Counter] = defaultdict(Counter)
    first = events[0]["time"] if events else 0
    for start, rows in split_into_steps(events, step):
        counted: Counter = Counter()
        for event in rows:
            open_sessions.update(event)
            departures.update(event)
            for kind in (event_kind(event), *server_states.update(event)):
                if kind is not None:
                    counted[kind] += 1
                    count_by_balancer[kind][event["file"]] += 1
            if event["event"] == "mode":
                text = re.sub(r"[\d.]+", "N", event["text"])
                modes[text] += 1
                balancers_by_mode[text].add(event["file"])
        per_step.append((start - first, counted, Counter(open_sessions.server_of.values())))
    for title, field in (("events", 1), ("established sessions by server", 2)):
        columns = sorted({name for row in per_step for name in row[field]})
        yield title
        yield "   from " + " ".join(f"{name[-14:]:>14}" for name in columns)
        for row in per_step:
            yield f"{row[0]:7.1f} " + " ".join(f"{row[field][name] or '':>14}" for name in columns)
        yield ""
    yield "mode events: count, balancers, text"
    for text, count in modes.most_common():
        yield f"{count:6} {len(balancers_by_mode[text]):4}  {text}"
    yield ""
    yield (
        f"clients that left while waiting: {departures.count}; "
        f"forwarded more than {LATE_FORWARD_SECONDS} s later: {len(departures.forwarded_late)}"
    )
    yield ""
    yield "count, balancers, kind: highest counts of single balancers"
    for kind in PER_BALANCER_KINDS:
        highest = count_by_balancer[kind].most_common(3)
        yield (
            f"{sum(count_by_balancer[kind].values()):6} {len(count_by_balancer[kind]):4}  {kind}: "
            + ", ".join(f"{file} {count}" for file, count in highest)
        )


def main() -> None:
    parser = argparse.ArgumentParser(description="Aggregates the logs of a fleet of balancers.")
    parser.add_argument("folder", type=Path)
    parser.add_argument("--step", type=float, default=1.0, help="seconds per row")
    parser.add_argument(
        "--cold",
        type=float,
        default=COLD_SECONDS,
        help="seconds after its start for which a server counts as cold",
    )
    parser.add_argument("--follow", metavar="ID", help="print the lines of one session instead")
    args = parser.parse_args()
    events = read_logs(args.folder)
    lines = session_lines(events, args.follow) if args.follow else table_lines(events, args.step, args.cold)
    for line in lines:
        print(line)


if __name__ == "__main__":
    main()
