"""The file of settings for peers: strict TOML, times and sizes with units; and the file of keys.

Raises Unfit with one line that names the file, the entry and the reason.
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

TIMES = {"ms": 10, "s": 10_000, "min": 600_000}
SIZES = {"B": 1, "kB": 1_000, "MB": 1_000_000}
RATES = {f"{unit}/s": by for unit, by in SIZES.items()} | {"/s": 1}
LEAST_KEY = 16
MOST_KEYS = 2


class Unfit(Exception):
    """The settings for peers can't be used."""


class Sheet(msgspec.Struct, forbid_unknown_fields=True):
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


class Stated(msgspec.Struct, frozen=True):
    """The same in our words; times in tenths of a millisecond."""

    fleet: str
    listen: tuple[str, int]
    advertise: str
    join: tuple[str, ...]
    keys: tuple[bytes, ...]
    keys_from: Path
    period: int
    answer_within: int
    notice_within: int
    forget_after: int
    send_most: int  # bytes in any second
    take_most: int  # datagrams in any second
    peers_most: int
    servers_most: int


def figure(text: str, units: dict[str, int]) -> int:
    """Raises ValueError. A number with its unit: "300 ms"."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?) ?([a-zA-Z]*(?:/s)?)", text)
    if not found or found[2] not in units:
        raise ValueError(f"{text!r} is not a figure with a unit of {', '.join(units)}")
    value = round(float(found[1]) * units[found[2]])
    if value <= 0:
        raise ValueError(f"{text!r} is not above zero")
    return value


def sheet_of(path: str, kind: type[Any]) -> Any:  # noqa: ANN401
    """A file of TOML as this struct. Raises Unfit with one line."""
    try:
        return msgspec.convert(tomllib.loads(Path(path).read_text()), kind, strict=True)
    except OSError as why:
        raise Unfit(f"{path}: {why.strerror}") from None
    except (tomllib.TOMLDecodeError, msgspec.MsgspecError, UnicodeDecodeError) as why:
        raise Unfit(f"{path}: {why}") from None


def entry_of(path: str, sheet: Any, name: str, make: Any, *given: Any) -> Any:  # noqa: ANN401
    """What `make` makes of an entry of the file. Raises Unfit where that raises ValueError."""
    try:
        return make(getattr(sheet, name), *given)
    except ValueError as why:
        raise Unfit(f"{path}: {name}: {why}") from None


def check_least(path: str, sheet: Any, read_as: Any, name: str, least: int, why: str) -> None:  # noqa: ANN401
    """Raises Unfit where the entry, in our words, is under what others ask of it."""
    if getattr(read_as, name) < least:
        raise Unfit(f"{path}: {name}: {getattr(sheet, name)!r} {why}")


def read(path: str) -> Stated:
    """Raises Unfit."""
    sheet: Sheet = sheet_of(path, Sheet)

    entry = partial(entry_of, path, sheet)
    keys_from = Path(path).parent / sheet.key_file
    times = {
        name: entry(name, figure, TIMES)
        for name in ("period", "answer_within", "notice_within", "forget_after")
    }
    stated = Stated(
        fleet=entry("fleet", named),
        listen=entry("listen", server_address),
        advertise=spelt(
            entry("advertise", server_address) if sheet.advertise else entry("listen", server_address)
        ),
        join=tuple(spelt(one) for one in entry("join", lambda all_: [server_address(one) for one in all_])),
        keys=tuple(read_keys(keys_from)),
        keys_from=keys_from,
        send_most=entry("send_most", figure, RATES),
        take_most=entry("take_most", figure, RATES),
        peers_most=entry("peers_most", at_least, 1),
        servers_most=entry("servers_most", at_least, 0),
        **times,
    )
    for name, least, why in (
        ("notice_within", 2 * stated.period, "is under two periods"),
        ("period", 2 * stated.answer_within, "is under two times answer_within"),
        ("forget_after", stated.notice_within, "is under notice_within"),
        ("send_most", 1200, "is under one datagram (1200 B) a second"),
    ):
        check_least(path, sheet, stated, name, least, why)
    if sheet.servers_most > 140:
        raise Unfit(
            f"{path}: servers_most: {sheet.servers_most} servers do not fit one datagram (140 at most)"
        )
    return stated


def named(text: str) -> str:
    if not is_name(text):
        raise ValueError(f"{text!r} is no name")
    return text


def at_least(number: int, least: int) -> int:
    if number < least:
        raise ValueError(f"{number} is under {least}")
    return number


def is_address(text: str) -> bool:
    try:
        server_address(text)
    except ValueError:
        return False
    return True


def spelt(address: tuple[str, int]) -> str:
    return "{}:{}".format(*address)


def read_keys(path: Path) -> list[bytes]:
    """One key a line, in hexadecimal; the first closes, all open. Never named in what is raised."""
    try:
        with path.open() as file:
            mode = os.fstat(file.fileno()).st_mode
            lines = [line.strip() for line in file if line.strip() and not line.startswith("#")]
    except OSError as why:
        raise Unfit(f"{path}: key_file: {why.strerror}") from None
    except UnicodeDecodeError:
        raise Unfit(f"{path}: key_file: no text") from None
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise Unfit(f"{path}: key_file: others may read it (mode {stat.S_IMODE(mode):o}, 600 is wanted)")
    if not 0 < len(lines) <= MOST_KEYS:
        raise Unfit(f"{path}: key_file: {len(lines)} keys, one or two are wanted")
    try:
        keys = [bytes.fromhex(line) for line in lines]
    except ValueError:
        raise Unfit(f"{path}: key_file: a line is not hexadecimal") from None
    if any(not LEAST_KEY <= len(key) <= 64 for key in keys):
        raise Unfit(f"{path}: key_file: a key is under {LEAST_KEY} or over 64 bytes long")
    return keys
