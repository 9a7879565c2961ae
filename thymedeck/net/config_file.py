"""What a balancer is told at its start, read from its file of JSON."""

import contextlib
import os
import socket
from collections.abc import Iterator
from pathlib import Path

import msgspec

from ..settings import Settings

UNREADABLE = (ValueError, msgspec.MsgspecError, RecursionError)  # what text that is nested too deep ends in


class StartError(Exception):
    """What the balancer was told at its start can't be used; the text says why."""


class Row(msgspec.Struct):
    """A server in the list."""

    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "SERVING"
    weight: float = 1.0
    started_ms: float = 0.0


class Listing(msgspec.Struct):
    version: int
    full: bool = False
    servers: list[msgspec.Raw] = []  # of a Row each, looked at one by one


class Limits(msgspec.Struct):
    sockets: int = 1 << 20


class Told(msgspec.Struct):
    name: str
    listen: str
    discovery: str
    settings: Settings
    seed: str = "0"
    known: Listing | None = None
    limits: Limits = msgspec.field(default_factory=Limits)


class Start(msgspec.Struct, frozen=True):
    path: str
    told: Told
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no address with a port")
    return host, int(port)


LATEST = 1e15  # milliseconds, and MOST_WEIGHT: no server's figure is beyond these
MOST_WEIGHT = 1e12

decode_row = msgspec.json.Decoder(Row).decode


class Named(msgspec.Struct):
    id: str = ""


def name_of(raw: msgspec.Raw) -> str:
    """The id of an entry that is not usable else, if it can be read."""
    with contextlib.suppress(*UNREADABLE):
        return msgspec.json.decode(raw, type=Named).id
    return ""


def usable(raw: msgspec.Raw) -> Row:
    row = decode_row(raw)
    if not row.id:
        raise ValueError("no id")
    if not (row.started_ms < LATEST and row.weight < MOST_WEIGHT and abs(row.cell) < 1 << 60):
        raise ValueError("a figure is out of bounds")
    return row


def server_address(text: str) -> tuple[str, int]:
    """Only figures: guards against a name in the list, which would be looked up while all others wait."""
    host, port = address(text)
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise ValueError(f"{host!r} is no IPv4 address") from None
    if not port:
        raise ValueError("port 0")
    return host, port


def read(path: str) -> Told:
    told = msgspec.json.decode(Path(path).read_bytes(), type=Told)
    if not told.settings.listeners:
        raise ValueError("the settings name no listeners")
    return told


@contextlib.contextmanager
def plainly(path: str) -> Iterator[None]:
    """Says in one line what is wrong with the file."""
    try:
        yield
    except OSError as why:
        raise StartError(f"{path}: {why.strerror}") from why
    except UNREADABLE as why:
        raise StartError(f"{path}: {why}") from why


def read_start(path: str) -> Start:
    """Environment variables win over the file, as they are what the platform sets last."""
    with plainly(path):
        told = read(path)
        listen = address(os.environ.get("LB_LISTEN", told.listen))
        discovery = address(os.environ.get("LB_DISCOVERY", told.discovery))
        told.name = os.environ.get("LB_NAME", told.name)
        return Start(path, told, listen, discovery, int(told.seed, 16))


def read_again(path: str) -> tuple[Told, tuple[str, int]]:
    """A file that was replaced is newer than the environment: its discovery wins."""
    with plainly(path):
        told = read(path)
        return told, address(told.discovery)
