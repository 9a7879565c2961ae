"""Reads the settings of the replicated configuration: strict TOML, times with units. Not used by `serve` yet.

Raises SettingsFileError with one line that names the file, the entry and the reason.
"""

from functools import partial
from pathlib import Path

import msgspec

from ..net.config_file import server_address
from ..peers.settings import (
    TIME_UNITS,
    SettingsFileError,
    check_minimum,
    load_toml,
    parse_entry,
    parse_quantity,
)
from .messages import Parameters

MIN_KEEPERS = 3


class ConfigurationSettingsFile(msgspec.Struct, forbid_unknown_fields=True):
    """The file as it is written (deploy/configuration.toml)."""

    keepers: list[str]  # addresses of all keepers, in the same order on every machine
    saved: str  # where the last valid version is kept; relative to this file
    in_force_within: str = "3 s"
    ask_every: str = "1 s"
    answer_within: str = "300 ms"
    read_every: str = "500 ms"
    fresh_for: str = "1.5 s"
    give_up_after: str = "10 s"
    refusers: int = 3


class ConfigurationSettings(msgspec.Struct, frozen=True):
    """The parsed settings."""

    keepers: tuple[str, ...]
    saved_path: Path
    parameters: Parameters


def load_configuration_settings(path: str) -> ConfigurationSettings:
    """Raises SettingsFileError."""
    file: ConfigurationSettingsFile = load_toml(path, ConfigurationSettingsFile)

    parse = partial(parse_entry, path, file)
    times = {
        name: parse(name, parse_quantity, TIME_UNITS)
        for name in Parameters.__struct_fields__
        if name != "refusers"
    }
    parameters = Parameters(**times, refusers=file.refusers)
    keepers = parse(
        "keepers", lambda listed: tuple("{}:{}".format(*server_address(address)) for address in listed)
    )
    if len(keepers) < MIN_KEEPERS:
        raise SettingsFileError(
            f"{path}: keepers: {len(keepers)}, at least {MIN_KEEPERS} are needed to survive the loss of one"
        )
    if len(set(keepers)) < len(keepers):
        raise SettingsFileError(f"{path}: keepers: an address is listed twice")
    if not file.saved:
        raise SettingsFileError(f"{path}: saved: the path is empty")
    if file.refusers < 1:
        raise SettingsFileError(f"{path}: refusers: {file.refusers} is less than 1")
    # A follower whose poll was just answered may next have to poll each keeper in turn: the last answer has
    # to arrive in time.
    poll_round = parameters.ask_every + len(keepers) * parameters.answer_within
    for name, minimum, reason in (
        ("in_force_within", poll_round, "is less than ask_every plus answer_within for each keeper"),
        ("in_force_within", 2 * parameters.fresh_for, "is less than twice fresh_for"),
        ("fresh_for", 2 * parameters.read_every, "is less than twice read_every"),
        ("give_up_after", parameters.in_force_within, "is less than in_force_within"),
    ):
        check_minimum(path, file, parameters, name, minimum, reason)
    return ConfigurationSettings(keepers, Path(path).parent / file.saved, parameters)
