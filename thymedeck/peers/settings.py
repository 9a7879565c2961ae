"""The peer settings file (strict TOML, times and sizes with units) and the file of keys.

Everything that is wrong with either file is raised as SettingsFileError: one line that names the file, the
entry and the reason.
"""

import os
import re
import stat
import tomllib
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from ..net.config_file import server_address
from .messages import is_name

TIME_UNITS = {"ms": 10, "s": 10_000, "min": 600_000}  # in tenths of a millisecond
SIZE_UNITS = {"B": 1, "kB": 1_000, "MB": 1_000_000}
RATE_UNITS = {f"{unit}/s": by for unit, by in SIZE_UNITS.items()} | {"/s": 1}
MIN_KEY_BYTES = 16
MAX_KEYS = 2


class SettingsFileError(Exception):
    """A settings file that can't be read or holds an unusable value."""


class PeerSettingsFile(msgspec.Struct, forbid_unknown_fields=True):
    """The entries as they are written in the file (deploy/peers.toml)."""

    fleet: str
    listen: str
    key_file: str
    join: list[str] = []
    advertise: str = ""  # the address at which other balancers reach `listen`, if it differs
    period: str = "1 s"  # one peer is probed in each period
    answer_within: str = "300 ms"
    # The time in which a dead peer is to be detected. It only limits `period` and `forget_after`.
    notice_within: str = "5 s"
    forget_after: str = "90 s"  # age at which counts that were not renewed are dropped
    send_most: str = "2 kB/s"
    take_most: str = "500 /s"
    peers_most: int = 1000
    servers_most: int = 120  # servers listed in this balancer's own counts


class PeerSettings(msgspec.Struct, frozen=True):
    """The parsed settings. Times are in tenths of a millisecond."""

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
    """Parses a positive number with its unit, such as "300 ms". Raises ValueError."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?) ?([a-zA-Z]*(?:/s)?)", text)
    if not found or found[2] not in units:
        raise ValueError(f"{text!r} is not a number with one of the units {', '.join(units)}")
    value = round(float(found[1]) * units[found[2]])
    if value <= 0:
        raise ValueError(f"{text!r} is not above zero")
    return value


def load_toml(path: str, kind: type[Any]) -> Any:  # noqa: ANN401
    """Reads a TOML file into a struct of this type. Raises SettingsFileError."""
    try:
        return msgspec.convert(tomllib.loads(Path(path).read_text()), kind, strict=True)
    except OSError as error:
        raise SettingsFileError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise SettingsFileError(f"{path}: {error}") from None


def parse_entry(path: str, file: Any, name: str, parse: Any, *arguments: Any) -> Any:  # noqa: ANN401
    """Parses one entry of the file. A ValueError of `parse` is raised as SettingsFileError."""
    try:
        return parse(getattr(file, name), *arguments)
    except ValueError as error:
        raise SettingsFileError(f"{path}: {name}: {error}") from None


def check_minimum(path: str, file: Any, parsed: Any, name: str, minimum: int, reason: str) -> None:  # noqa: ANN401
    """Raises SettingsFileError if the parsed entry is under the minimum that other entries require."""
    if getattr(parsed, name) < minimum:
        raise SettingsFileError(f"{path}: {name}: {getattr(file, name)!r} {reason}")


def load_peer_settings(path: str) -> PeerSettings:
    """Reads the settings file and its key file. Raises SettingsFileError."""
    file: PeerSettingsFile = load_toml(path, PeerSettingsFile)

    entry = partial(parse_entry, path, file)
    key_path = Path(path).parent / file.key_file
    times = {
        name: entry(name, parse_quantity, TIME_UNITS)
        for name in ("period", "answer_within", "notice_within", "forget_after")
    }
    settings = PeerSettings(
        fleet=entry("fleet", check_name),
        listen=entry("listen", server_address),
        advertise=format_address(
            entry("advertise", server_address) if file.advertise else entry("listen", server_address)
        ),
        join=tuple(
            format_address(address)
            for address in entry("join", lambda addresses: [server_address(address) for address in addresses])
        ),
        keys=tuple(load_keys(key_path)),
        key_path=key_path,
        send_most=entry("send_most", parse_quantity, RATE_UNITS),
        take_most=entry("take_most", parse_quantity, RATE_UNITS),
        peers_most=entry("peers_most", check_at_least, 1),
        servers_most=entry("servers_most", check_at_least, 0),
        **times,
    )
    for name, minimum, reason in (
        ("notice_within", 2 * settings.period, "is under two periods"),
        ("period", 2 * settings.answer_within, "is under two times answer_within"),
        ("forget_after", settings.notice_within, "is under notice_within"),
        ("send_most", 1200, "is under one datagram (1200 B) a second"),
    ):
        check_minimum(path, file, settings, name, minimum, reason)
    if file.servers_most > 140:
        raise SettingsFileError(
            f"{path}: servers_most: {file.servers_most} servers do not fit one datagram (140 at most)"
        )
    return settings


def check_name(text: str) -> str:
    """Returns the name. Raises ValueError unless it is a valid one."""
    if not is_name(text):
        raise ValueError(f"{text!r} is not a valid name")
    return text


def check_at_least(number: int, minimum: int) -> int:
    if number < minimum:
        raise ValueError(f"{number} is under {minimum}")
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
    """Reads the key file: one key a line, in hexadecimal.

    The first key signs what is sent, any of them verifies what is received. Keys never appear in an error.
    """
    try:
        with path.open() as file:
            mode = os.fstat(file.fileno()).st_mode
            lines = [line.strip() for line in file if line.strip() and not line.startswith("#")]
    except OSError as error:
        raise SettingsFileError(f"{path}: key_file: {error.strerror}") from None
    except UnicodeDecodeError:
        raise SettingsFileError(f"{path}: key_file: not a text file") from None
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise SettingsFileError(
            f"{path}: key_file: other users may read it (mode {stat.S_IMODE(mode):o}, 600 is required)"
        )
    if not 0 < len(lines) <= MAX_KEYS:
        raise SettingsFileError(f"{path}: key_file: {len(lines)} keys, one or two are required")
    try:
        keys = [bytes.fromhex(line) for line in lines]
    except ValueError:
        raise SettingsFileError(f"{path}: key_file: a line is not hexadecimal") from None
    if any(not MIN_KEY_BYTES <= len(key) <= 64 for key in keys):
        raise SettingsFileError(f"{path}: key_file: a key is under {MIN_KEY_BYTES} or over 64 bytes long")
    return keys
