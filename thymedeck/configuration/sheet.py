"""The file of settings for one version for all: strict TOML, times with units. Nothing reads it yet.

Raises SettingsFileError with one line that names the file, the entry and the reason.
"""

from functools import partial
from pathlib import Path

import msgspec

from ..net.told import server_address
from ..peers.settings import (
    TIME_UNITS,
    SettingsFileError,
    check_minimum,
    load_toml,
    parse_entry,
    parse_quantity,
)
from .messages import Bounds

LEAST_KEEPERS = 3


class Sheet(msgspec.Struct, forbid_unknown_fields=True):
    """The file as it is written (deploy/configuration.toml)."""

    keepers: list[str]  # the addresses of all, in an order that all have alike
    saved: str  # where the last good version is kept; relative to this file
    in_force_within: str = "3 s"
    ask_every: str = "1 s"
    answer_within: str = "300 ms"
    read_every: str = "500 ms"
    fresh_for: str = "1.5 s"
    give_up_after: str = "10 s"
    refusers: int = 3


class Stated(msgspec.Struct, frozen=True):
    """The same in our words."""

    keepers: tuple[str, ...]
    saved: Path
    bounds: Bounds


def read(path: str) -> Stated:
    """Raises SettingsFileError."""
    sheet: Sheet = load_toml(path, Sheet)

    entry = partial(parse_entry, path, sheet)
    times = {
        name: entry(name, parse_quantity, TIME_UNITS)
        for name in Bounds.__struct_fields__
        if name != "refusers"
    }
    bounds = Bounds(**times, refusers=sheet.refusers)
    keepers = entry("keepers", lambda all_: tuple("{}:{}".format(*server_address(one)) for one in all_))
    if len(keepers) < LEAST_KEEPERS:
        raise SettingsFileError(
            f"{path}: keepers: {len(keepers)}, with fewer than {LEAST_KEEPERS} none may be lost"
        )
    if len(set(keepers)) < len(keepers):
        raise SettingsFileError(f"{path}: keepers: one is named twice")
    if not sheet.saved:
        raise SettingsFileError(f"{path}: saved: no file is named")
    if sheet.refusers < 1:
        raise SettingsFileError(f"{path}: refusers: {sheet.refusers} is under 1")
    # Each asked in turn by a follower whose ask has just been answered: the last answer has to come in time.
    turn = bounds.ask_every + len(keepers) * bounds.answer_within
    for name, least, why in (
        ("in_force_within", turn, "is under ask_every and answer_within of every keeper"),
        ("in_force_within", 2 * bounds.fresh_for, "is under two times fresh_for"),
        ("fresh_for", 2 * bounds.read_every, "is under two times read_every"),
        ("give_up_after", bounds.in_force_within, "is under in_force_within"),
    ):
        check_minimum(path, sheet, bounds, name, least, why)
    return Stated(keepers, Path(path).parent / sheet.saved, bounds)
