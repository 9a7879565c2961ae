"""The four rules, checked on what the stand-ins saw and on nothing else.

Each check returns what it found wrong, one line each; an empty list is a rule kept. Times are whole tenths of
a millisecond, and each limit is given `slack` more.
"""

from bisect import bisect_right
from collections import defaultdict

from .records import Entry

SLACK = 500
NEVER_RAN = {"BUSY"}


def by_id(entries: list[Entry], *kinds: str) -> dict[str, list[Entry]]:
    found: dict[str, list[Entry]] = defaultdict(list)
    for entry in entries:
        if entry["what"] in kinds:
            found[entry["id"]].append(entry)
    return found


def one_answer(entries: list[Entry], end: int, slack: int = SLACK) -> list[str]:
    """Each session that a running balancer took has one final answer in time, and then nothing more."""
    wrong = []
    away: dict[str, list[list[int]]] = defaultdict(
        list
    )  # by balancer: since when and until when it did not run
    for entry in entries:
        if entry["what"] in ("killed", "frozen"):
            away[entry["balancer"]].append([entry["at"], end])
        elif entry["what"] in ("started", "woken") and away[entry["balancer"]]:
            away[entry["balancer"]][-1][1] = entry["at"]
    answers = by_id(entries, "client answer")
    ends = by_id(entries, "client cut", "client gives up", "client leaves", "client moved")
    more = by_id(entries, "client more")
    for ident, lines in by_id(entries, "client line").items():
        line = lines[0]
        due = line["at"] + line["deadline"] + slack
        got = answers.get(ident, [])
        last = ends[ident][0]["at"] if ident in ends else due
        if any(
            since <= max(due, last) and line["at"] - slack <= till for since, till in away[line["balancer"]]
        ):
            continue
        if len(got) > 1:
            wrong.append(f"{ident}: {len(got)} answers from {line['balancer']}")
        elif not got and due < end:
            wrong.append(f"{ident}: no answer from {line['balancer']} by {due / 10:.0f} ms")
        elif got and got[0]["at"] > due:
            wrong.append(f"{ident}: answered {(got[0]['at'] - due) / 10:.0f} ms late by {line['balancer']}")
        if ident in more:
            wrong.append(f"{ident}: {more[ident][0]['line']!r} after the final answer of {line['balancer']}")
    return wrong


def no_effect_twice(entries: list[Entry], effects: dict[str, str], one_at_a_time: bool = True) -> list[str]:
    """A once-only session reaches a second server only where every line before provably never ran.

    `effects`: by class, "once" or "repeatable". Two lines of one session are never out together.
    """
    wrong = []
    kinds = {ident: lines[0]["kind"] for ident, lines in by_id(entries, "client line").items()}
    for ident, seen in by_id(entries, "server line", "server answer", "server end").items():
        out: dict[str, bool] = {}  # by server: a line is there, and it may have run
        for entry in seen:
            server = entry["server"]
            if entry["what"] == "server line":
                if one_at_a_time and any(held for held in out.values()):
                    wrong.append(f"{ident}: at {server} while another line was out")
                if out and effects.get(kinds.get(ident, "")) == "once":
                    wrong.append(f"{ident}: once-only, at {server} after {', '.join(out)}")
                out[server] = True
            elif entry["what"] == "server answer" and entry["answer"] in NEVER_RAN:
                out.pop(server, None)
            elif server in out:
                out[server] = entry["what"] == "server answer" and entry["answer"] == "UP"
    return wrong


def drains_kept(entries: list[Entry], grace: int, slack: int = SLACK) -> list[str]:
    """Nothing new goes to a server past the grace after its balancer was told that it drains or is gone."""
    wrong = []
    told: dict[tuple[str, str], int] = {}
    for entry in entries:
        if entry["what"] == "list answer" and entry["status"] == 200:
            for server, state in entry["told"]:
                key = (entry["balancer"], server)
                if state == "SERVING":
                    told.pop(key, None)
                else:
                    told.setdefault(key, entry["at"])
        elif entry["what"] == "server line":
            at = told.get((entry["balancer"], entry["server"]))
            if at is not None and entry["at"] > at + grace + slack:
                late = (entry["at"] - at) / 10
                wrong.append(
                    f"{entry['id']}: {entry['balancer']} to {entry['server']} {late:.0f} ms after told"
                )
        elif entry["what"] in ("killed", "started"):
            # It starts again from its list of old.
            for key in [key for key in told if key[0] == entry["balancer"]]:
                del told[key]
    return wrong


def cold_spared(entries: list[Entry]) -> list[str]:
    """In no window does a cold server get more than its budget, over all balancers."""
    wrong = []
    lines: dict[str, list[int]] = defaultdict(list)
    for entry in entries:
        if entry["what"] == "server line":
            lines[entry["server"]].append(entry["at"])
    for entry in entries:
        if entry["what"] != "cold" or not entry["budget"]:
            continue
        since, until = entry["at"], entry["at"] + entry["until"]
        times = [at for at in lines[entry["server"]] if since <= at < until]
        most = max(
            (bisect_right(times, at) - bisect_right(times, at - entry["window"]) for at in times), default=0
        )
        if most > entry["budget"]:
            wrong.append(f"{entry['server']}: {most} dials in a window, {entry['budget']:.0f} allowed")
    return wrong
