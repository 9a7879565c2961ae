"""Fits and charts of a folder of sweeps: `fits.md` and the SVG files that docs/CAPACITY.md shows."""

from pathlib import Path

from .command import PARTS
from .fits import Line, chart, table
from .rows import Sheet

TARGET = {
    "sessions": 59_524, "entries": 47_000, "servers": 47_000, "balancers": 420, "rate": 20_238,
    "percent": 100, "listed": 47_000,
}  # fmt: skip
BY_SESSIONS = (
    Line("sessions", "sessions", "memory_new", "kB", scale=1e-3),
    Line("sessions", "sessions", "memory_used", "kB", scale=1e-3),
    Line("sessions", "sessions", "fds", "descriptors"),
    Line("sessions", "sessions", "core_silent", "of a core"),
    Line("sessions", "sessions", "core_at_rest", "of a core"),
    Line("sessions", "sessions", "set_up_us", "us each"),
    Line("sessions", "sessions", "set_up_again_us", "us each"),
    Line("sessions", "sessions", "end_us", "us each"),
    Line("sessions", "sessions", "own_line_us", "us, there and back"),
    Line("sessions", "sessions", "delivery_us", "us each"),
    Line("sessions", "sessions", "fan_out_us", "us each"),
    Line("sessions", "sessions", "stop_us", "us each"),
)
BY_RATE = (Line("deliveries", "rate", "core", "of a core"), Line("deliveries", "rate", "line_us", "us each"))
BY_LENGTH = (Line("lengths", "size", "line_us", "us each"),)
BY_ENTRIES = (
    Line("list", "entries", "whole_bytes", "kB", scale=1e-3),
    Line("list", "entries", "whole_ms", "ms"),
    Line("list", "entries", "again_ms", "ms"),
    Line("list", "entries", "stood_still_ms", "ms"),
    Line("list", "entries", "change_ms", "ms"),
    Line("list", "entries", "memory", "kB", scale=1e-3),
    Line("list", "entries", "core_at_rest", "of a core"),
)
BY_START = (
    Line("starts", "entries", "ready_s", "s"),
    Line("starts", "entries", "memory", "kB", scale=1e-3),
)
BY_LISTED = (
    Line("placing", "listed", "up", "of 300 set up"),
    Line("placing", "listed", "asked_us", "us each"),
)
BY_PERCENT = (
    Line("whole", "percent", "core", "of a core"),
    Line("whole", "percent", "line_us", "us each"),
    Line("whole", "percent", "p99_ms", "ms"),
)
BY_SERVERS = (Line("picks", "servers", "pick_us", "us"), Line("picks", "servers", "memory", "kB", scale=1e-3))
ORDINARY = {"send_most": 2000}
BY_BALANCERS = (
    *(
        Line("control", "balancers", y, unit, ORDINARY)
        for y, unit in (
            ("messages", "a second"), ("bytes", "B/s"), ("core", "of a core"), ("memory_a_peer", "B"),
            ("oldest", "s"), ("death_half", "s"), ("death_99", "s"), ("death_all", "s"),
        )
    ),
    Line("control", "balancers", "memory", "kB", ORDINARY, 1e-3),
    *(Line("meeting", "balancers", y, unit) for y, unit in (("met", "s"), ("bytes_a_pair", "B"))),
    *(Line("regions", "balancers", "healed", "s", {"cut": cut}) for cut in (30, 700)),
    *(Line("regions", "balancers", y, "s", {"cut": 700}) for y in ("known_half", "known_99", "known_all")),
    Line("mixed", "balancers", "core", "of a core"),
    Line("mixed", "balancers", "messages", "a second"),
    Line("mixed", "balancers", "met", "s"),
)  # fmt: skip
BY_CUT = tuple(Line("regions", "balancers", y, "s", {"cut": 700}) for y in ("known_half", "known_99"))
LINES = (
    *BY_SESSIONS, *BY_RATE, *BY_LENGTH, *BY_PERCENT, *BY_ENTRIES, *BY_START, *BY_SERVERS, *BY_LISTED,
    *BY_BALANCERS,
)  # fmt: skip
CHARTS = {
    "memory": ("Memory of one daemon", BY_SESSIONS[:2]),
    "rest": ("Processor time at rest, all sessions standing", BY_SESSIONS[3:5]),
    "deliveries": ("Processor time by deliveries a second", BY_RATE[:1]),
    "list": ("A whole list taken in", BY_ENTRIES[1:4]),
    "picks": ("A pick", BY_SERVERS[:1]),
    "placing": ("Of 300 set-ups on one daemon, how many stand", BY_LISTED[:1]),
    "whole": ("Processor time at parts of the target's lines", BY_PERCENT[:1]),
    "regions": ("Seconds until a cut is known, to half and 99 of 100 of the pairs", BY_CUT),
    "control": ("Processor time for peers", (BY_BALANCERS[2],)),
    "known": ("Seconds until peers know", (*BY_BALANCERS[4:5], BY_BALANCERS[7])),
    "meeting": ("Seconds until all that start together have met", (BY_BALANCERS[9],)),
}


def write(folder: Path) -> None:
    sheets = {name: Sheet(folder / f"{name}.csv", tuple(part.keys)) for name, part in PARTS.items()}
    head = "Made by `python -m thymedeck.lab scale fits` of the CSV files beside it. `power`: see fits.py.\n"
    (folder / "fits.md").write_text("\n".join([head, *table(sheets, LINES)]) + "\n")
    for name, (title, lines) in CHARTS.items():
        chart(folder / f"{name}.svg", title, sheets[lines[0].sheet], list(lines), TARGET[lines[0].x])
