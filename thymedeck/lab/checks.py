"""The four invariants of a run, checked against the record of the stand-ins alone.

Each check returns the violations it found, one line each; an empty list means that the invariant held. Times
are whole tenths of a millisecond, and `slack` is added to each limit.
"""

from bisect import bisect_right
from collections import defaultdict

from .records import Entry

SLACK = 500
NOT_RUN_ANSWERS = {"BUSY"}  # answers by which a server says that the session did not run


def group_by_session(entries: list[Entry], *kinds: str) -> dict[str, list[Entry]]:
    groups: dict[str, list[Entry]] = defaultdict(list)
    for entry in entries:
        if entry["what"] in kinds:
            groups[entry["id"]].append(entry)
    return groups


def check_answers(entries: list[Entry], end: int, slack: int = SLACK) -> list[str]:
    """Each session that a running balancer accepted gets one final answer in time, and nothing after it."""
    violations = []
    # By balancer: start and end of each interval during which it did not run.
    downtimes: dict[str, list[list[int]]] = defaultdict(list)
    for entry in entries:
        if entry["what"] in ("killed", "frozen"):
            downtimes[entry["balancer"]].append([entry["at"], end])
        elif entry["what"] in ("started", "woken") and downtimes[entry["balancer"]]:
            downtimes[entry["balancer"]][-1][1] = entry["at"]
    answers = group_by_session(entries, "client answer")
    ends = group_by_session(entries, "client cut", "client gives up", "client leaves", "client moved")
    extra = group_by_session(entries, "client more")
    for session_id, lines in group_by_session(entries, "client line").items():
        line = lines[0]
        deadline = line["at"] + line["deadline"] + slack
        given = answers.get(session_id, [])
        ended_at = ends[session_id][0]["at"] if session_id in ends else deadline
        if any(
            since <= max(deadline, ended_at) and line["at"] - slack <= until
            for since, until in downtimes[line["balancer"]]
        ):
            continue
        if len(given) > 1:
            violations.append(f"{session_id}: {len(given)} answers from {line['balancer']}")
        elif not given and deadline < end:
            violations.append(f"{session_id}: no answer from {line['balancer']} by {deadline / 10:.0f} ms")
        elif given and given[0]["at"] > deadline:
            violations.append(
                f"{session_id}: answered {(given[0]['at'] - deadline) / 10:.0f} ms late by {line['balancer']}"
            )
        if session_id in extra:
            violations.append(
                f"{session_id}: {extra[session_id][0]['line']!r} after the final answer of {line['balancer']}"
            )
    return violations


def check_effects(entries: list[Entry], effects: dict[str, str], one_at_a_time: bool = True) -> list[str]:
    """A once-only session reaches a second server only if no server before it can have run the session.

    `effects`: by class, "once" or "repeatable". With `one_at_a_time`, a session may not be open at two
    servers at the same time.
    """
    violations = []
    kinds = {
        session_id: lines[0]["kind"] for session_id, lines in group_by_session(entries, "client line").items()
    }
    for session_id, events in group_by_session(entries, "server line", "server answer", "server end").items():
        # By server that may have run the session: whether the session is still open there.
        is_open_at: dict[str, bool] = {}
        for entry in events:
            server = entry["server"]
            if entry["what"] == "server line":
                if one_at_a_time and any(is_open for is_open in is_open_at.values()):
                    violations.append(f"{session_id}: sent to {server} while open at another server")
                if is_open_at and effects.get(kinds.get(session_id, "")) == "once":
                    violations.append(
                        f"{session_id}: once-only, sent to {server} after {', '.join(is_open_at)}"
                    )
                is_open_at[server] = True
            elif entry["what"] == "server answer" and entry["answer"] in NOT_RUN_ANSWERS:
                is_open_at.pop(server, None)
            elif server in is_open_at:
                is_open_at[server] = entry["what"] == "server answer" and entry["answer"] == "UP"
    return violations


def check_drains(entries: list[Entry], grace: int, slack: int = SLACK) -> list[str]:
    """No balancer dials a server later than `grace` after it learned that the server drains or is gone."""
    violations = []
    # By balancer and server: when the balancer learned that the server drains or is gone.
    learned_at: dict[tuple[str, str], int] = {}
    for entry in entries:
        if entry["what"] == "list answer" and entry["status"] == 200:
            for server, state in entry["told"]:
                key = (entry["balancer"], server)
                if state == "SERVING":
                    learned_at.pop(key, None)
                else:
                    learned_at.setdefault(key, entry["at"])
        elif entry["what"] == "server line":
            at = learned_at.get((entry["balancer"], entry["server"]))
            if at is not None and entry["at"] > at + grace + slack:
                delay = (entry["at"] - at) / 10
                violations.append(
                    f"{entry['id']}: {entry['balancer']} dialled {entry['server']} {delay:.0f} ms "
                    "after it learned of the drain"
                )
        elif entry["what"] in ("killed", "started"):
            # A restarted balancer begins with its old list.
            for key in [key for key in learned_at if key[0] == entry["balancer"]]:
                del learned_at[key]
    return violations


def check_cold_budgets(entries: list[Entry]) -> list[str]:
    """In no window does a cold server get more dials than its budget, summed over all balancers."""
    violations = []
    dial_times: dict[str, list[int]] = defaultdict(list)
    for entry in entries:
        if entry["what"] == "server line":
            dial_times[entry["server"]].append(entry["at"])
    for entry in entries:
        if entry["what"] != "cold" or not entry["budget"]:
            continue
        since, until = entry["at"], entry["at"] + entry["until"]
        times = [at for at in dial_times[entry["server"]] if since <= at < until]
        highest = max(
            (bisect_right(times, at) - bisect_right(times, at - entry["window"]) for at in times), default=0
        )
        if highest > entry["budget"]:
            violations.append(
                f"{entry['server']}: {highest} dials in a window, {entry['budget']:.0f} allowed"
            )
    return violations
