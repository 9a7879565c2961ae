"""The file of settings for peers: strict TOML, times and sizes with units; and the file of keys.

Raises SettingsFileError with one line that names the file, the entry and the reason.
"""

import os
import re
import stat
import tomllib
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from ..net.told import server_address
from .messages import is_name

TIME_UNITS = {"ms": 10, "s": 10_000, "min": 600_000}
SIZE_UNITS = {"B": 1, "kB": 1_000, "MB": 1_000_000}
RATE_UNITS = {f"{unit}/s": by for unit, by in SIZE_UNITS.items()} | {"/s": 1}
MIN_KEY_BYTES = 16
MAX_KEYS = 2


class SettingsFileError(Exception):
    """The settings for peers can't be used."""


class PeerSettingsFile(msgspec.Struct, forbid_unknown_fields=True):
    """The file as it is written (deploy/peers.toml)."""

    fleet: str
    listen: str
    key_file: str
    join: list[str] = []
    advertise: str = ""  # where others reach `listen`, if it is not the same
    period: str = "1 s"  # one peer is probed in each
    answer_within: str = "300 ms"
    notice_within: str = "5 s"  # in which a death is to be noticed
    forget_after: str = "90 s"  # counts that nothing newer came for
    send_most: str = "2 kB/s"
    take_most: str = "500 /s"
    peers_most: int = 1000
    servers_most: int = 120  # told of in the own counts


class PeerSettings(msgspec.Struct, frozen=True):
    """The same in our words; times in tenths of a millisecond."""

    fleet: str
    listen: tuple[str, int]
    advertise: str
    join: tuple[str, ...]
    keys: tuple[bytes, ...]
    key_path: Path
    period: int
    answer_within: int
    notice_within: int
    forget_after: int
    send_most: int  # bytes in any second
    take_most: int  # datagrams in any second
    peers_most: int
    servers_most: int


def parse_quantity(text: str, units: dict[str, int]) -> int:
    """Raises ValueError. A number with its unit: "300 ms"."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?) ?([a-zA-Z]*(?:/s)?)", text)
    if not found or found[2] not in units:
        raise ValueError(f"{text!r} is not a number with one of the units {', '.join(units)}")
    value = round(float(found[1]) * units[found[2]])
    if value <= 0:
        raise ValueError(f"{text!r} is not above zero")
    return value


def load_toml(path: str, kind: type[Any]) -> Any:  # noqa: ANN401
    """A file of TOML as this struct. Raises SettingsFileError with one line."""
    try:
        return msgspec.convert(tomllib.loads(Path(path).read_text()), kind, strict=True)
    except OSError as why:
        raise SettingsFileError(f"{path}: {why.strerror}") from None
    except (tomllib.TOMLDecodeError, msgspec.MsgspecError, UnicodeDecodeError) as why:
        raise SettingsFileError(f"{path}: {why}") from None


def parse_entry(path: str, sheet: Any, name: str, make: Any, *given: Any) -> Any:  # noqa: ANN401
    """What `make` makes of an entry of the file. Raises SettingsFileError where that raises ValueError."""
    try:
        return make(getattr(sheet, name), *given)
    except ValueError as why:
        raise SettingsFileError(f"{path}: {name}: {why}") from None


def check_minimum(path: str, sheet: Any, read_as: Any, name: str, least: int, why: str) -> None:  # noqa: ANN401
    """Raises SettingsFileError where the entry, in our words, is under what others ask of it."""
    if getattr(read_as, name) < least:
        raise SettingsFileError(f"{path}: {name}: {getattr(sheet, name)!r} {why}")


def load_peer_settings(path: str) -> PeerSettings:
    """Raises SettingsFileError."""
    sheet: PeerSettingsFile = load_toml(path, PeerSettingsFile)

    entry = partial(parse_entry, path, sheet)
    key_path = Path(path).parent / sheet.key_file
    times = {
        name: entry(name, parse_quantity, TIME_UNITS)
        for name in ("period", "answer_within", "notice_within", "forget_after")
    }
    settings = PeerSettings(
        fleet=entry("fleet", check_name),
        listen=entry("listen", server_address),
        advertise=format_address(
            entry("advertise", server_address) if sheet.advertise else entry("listen", server_address)
        ),
        join=tuple(
            format_address(one) for one in entry("join", lambda all_: [server_address(one) for one in all_])
        ),
        keys=tuple(load_keys(key_path)),
        key_path=key_path,
        send_most=entry("send_most", parse_quantity, RATE_UNITS),
        take_most=entry("take_most", parse_quantity, RATE_UNITS),
        peers_most=entry("peers_most", check_at_least, 1),
        servers_most=entry("servers_most", check_at_least, 0),
        **times,
    )
    for name, least, why in (
        ("notice_within", 2 * settings.period, "is under two periods"),
        ("period", 2 * settings.answer_within, "is under two times answer_within"),
        ("forget_after", settings.notice_within, "is under notice_within"),
        ("send_most", 1200, "is under one datagram (1200 B) a second"),
    ):
        check_minimum(path, sheet, settings, name, least, why)
    if sheet.servers_most > 140:
        raise SettingsFileError(
            f"{path}: servers_most: {sheet.servers_most} servers do not fit one datagram (140 at most)"
        )
    return settings


def check_name(text: str) -> str:
    if not is_name(text):
        raise ValueError(f"{text!r} is no name")
    return text


def check_at_least(number: int, least: int) -> int:
    if number < least:
        raise ValueError(f"{number} is under {least}")
    return number


def is_address(text: str) -> bool:
    try:
        server_address(text)
    except ValueError:
        return False
    return True


def format_address(address: tuple[str, int]) -> str:
    return "{}:{}".format(*address)


def load_keys(path: Path) -> list[bytes]:
    """One key a line, in hexadecimal; the first closes, all open. Never named in what is raised."""
    try:
        with path.open() as file:
            mode = os.fstat(file.fileno()).st_mode
            lines = [line.strip() for line in file if line.strip() and not line.startswith("#")]
    except OSError as why:
        raise SettingsFileError(f"{path}: key_file: {why.strerror}") from None
    except UnicodeDecodeError:
        raise SettingsFileError(f"{path}: key_file: no text") from None
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise SettingsFileError(
            f"{path}: key_file: others may read it (mode {stat.S_IMODE(mode):o}, 600 is wanted)"
        )
    if not 0 < len(lines) <= MAX_KEYS:
        raise SettingsFileError(f"{path}: key_file: {len(lines)} keys, one or two are wanted")
    try:
        keys = [bytes.fromhex(line) for line in lines]
    except ValueError:
        raise SettingsFileError(f"{path}: key_file: a line is not hexadecimal") from None
    if any(not MIN_KEY_BYTES <= len(key) <= 64 for key in keys):
        raise SettingsFileError(f"{path}: key_file: a key is under {MIN_KEY_BYTES} or over 64 bytes long")
    return keys
