"""Writes fits and charts of a folder of sweeps: `fits.md` and the SVG files of docs/CAPACITY.md."""

from pathlib import Path

from .command import SWEEPS
from .fits import Series, draw_chart, format_table
from .rows import CsvTable

# Sizes at the target, by column.
TARGET = {
    "sessions": 59_524, "entries": 47_000, "servers": 47_000, "balancers": 420, "rate": 20_238,
    "percent": 100, "listed": 47_000,
}  # fmt: skip
BY_SESSIONS = (
    Series("sessions", "sessions", "memory_new", "kB", scale=1e-3),
    Series("sessions", "sessions", "memory_used", "kB", scale=1e-3),
    Series("sessions", "sessions", "fds", "descriptors"),
    Series("sessions", "sessions", "core_silent", "of a core"),
    Series("sessions", "sessions", "core_at_rest", "of a core"),
    Series("sessions", "sessions", "set_up_us", "us each"),
    Series("sessions", "sessions", "set_up_again_us", "us each"),
    Series("sessions", "sessions", "end_us", "us each"),
    Series("sessions", "sessions", "own_line_us", "us, there and back"),
    Series("sessions", "sessions", "delivery_us", "us each"),
    Series("sessions", "sessions", "fan_out_us", "us each"),
    Series("sessions", "sessions", "stop_us", "us each"),
)
BY_RATE = (
    Series("deliveries", "rate", "core", "of a core"),
    Series("deliveries", "rate", "line_us", "us each"),
)
BY_LENGTH = (Series("lengths", "size", "line_us", "us each"),)
BY_ENTRIES = (
    Series("list", "entries", "whole_bytes", "kB", scale=1e-3),
    Series("list", "entries", "whole_ms", "ms"),
    Series("list", "entries", "again_ms", "ms"),
    Series("list", "entries", "stood_still_ms", "ms"),
    Series("list", "entries", "change_ms", "ms"),
    Series("list", "entries", "memory", "kB", scale=1e-3),
    Series("list", "entries", "core_at_rest", "of a core"),
)
BY_START = (
    Series("starts", "entries", "ready_s", "s"),
    Series("starts", "entries", "memory", "kB", scale=1e-3),
)
BY_LISTED = (
    Series("placing", "listed", "up", "of 300 set up"),
    Series("placing", "listed", "asked_us", "us each"),
)
BY_PERCENT = (
    Series("whole", "percent", "core", "of a core"),
    Series("whole", "percent", "line_us", "us each"),
    Series("whole", "percent", "p99_ms", "ms"),
)
BY_SERVERS = (
    Series("picks", "servers", "pick_us", "us"),
    Series("picks", "servers", "memory", "kB", scale=1e-3),
)
DEFAULT_SEND_LIMIT = {"send_most": 2000}  # bytes per second that a peer may send by default
BY_BALANCERS = (
    *(
        Series("control", "balancers", y, unit, DEFAULT_SEND_LIMIT)
        for y, unit in (
            ("messages", "a second"), ("bytes", "B/s"), ("core", "of a core"), ("memory_a_peer", "B"),
            ("oldest", "s"), ("death_half", "s"), ("death_99", "s"), ("death_all", "s"),
        )
    ),
    Series("control", "balancers", "memory", "kB", DEFAULT_SEND_LIMIT, 1e-3),
    *(Series("meeting", "balancers", y, unit) for y, unit in (("met", "s"), ("bytes_a_pair", "B"))),
    *(Series("regions", "balancers", "healed", "s", {"cut": cut}) for cut in (30, 700)),
    *(Series("regions", "balancers", y, "s", {"cut": 700}) for y in ("known_half", "known_99", "known_all")),
    Series("mixed", "balancers", "core", "of a core"),
    Series("mixed", "balancers", "messages", "a second"),
    Series("mixed", "balancers", "met", "s"),
)  # fmt: skip
BY_CUT = tuple(Series("regions", "balancers", y, "s", {"cut": 700}) for y in ("known_half", "known_99"))
ALL_SERIES = (
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


def write_report(folder: Path) -> None:
    tables = {name: CsvTable(folder / f"{name}.csv", tuple(sweep.keys)) for name, sweep in SWEEPS.items()}
    head = "Made by `python -m thymedeck.lab scale fits` of the CSV files beside it. `power`: see fits.py.\n"
    (folder / "fits.md").write_text("\n".join([head, *format_table(tables, ALL_SERIES)]) + "\n")
    for name, (title, series) in CHARTS.items():
        draw_chart(folder / f"{name}.svg", title, tables[series[0].table], list(series), TARGET[series[0].x])
