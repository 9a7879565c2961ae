"""What a balancer is told at its start, read from its file of JSON."""

import contextlib
import os
import socket
from collections.abc import Iterator
from pathlib import Path

import msgspec

from ..settings import Settings

DECODE_ERRORS = (
    ValueError,
    msgspec.MsgspecError,
    RecursionError,
)  # what text that is nested too deep ends in


class StartError(Exception):
    """What the balancer was told at its start can't be used; the text says why."""


class ListedServer(msgspec.Struct):
    """A server in the list."""

    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "SERVING"
    weight: float = 1.0
    started_ms: float = 0.0


class ServerList(msgspec.Struct):
    version: int
    full: bool = False
    servers: list[msgspec.Raw] = []  # of a Row each, looked at one by one


class Limits(msgspec.Struct):
    sockets: int = 1 << 20


class BalancerConfig(msgspec.Struct):
    name: str
    listen: str
    discovery: str
    settings: Settings
    seed: str = "0"
    known: ServerList | None = None
    limits: Limits = msgspec.field(default_factory=Limits)


class StartupConfig(msgspec.Struct, frozen=True):
    path: str
    config: BalancerConfig
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no address with a port")
    return host, int(port)


MAX_STARTED_MS = 1e15  # milliseconds, and MOST_WEIGHT: no server's figure is beyond these
MAX_WEIGHT = 1e12

decode_listed = msgspec.json.Decoder(ListedServer).decode


class EntryId(msgspec.Struct):
    id: str = ""


def entry_id(raw: msgspec.Raw) -> str:
    """The id of an entry that is not usable else, if it can be read."""
    with contextlib.suppress(*DECODE_ERRORS):
        return msgspec.json.decode(raw, type=EntryId).id
    return ""


def decode_entry(raw: msgspec.Raw) -> ListedServer:
    entry = decode_listed(raw)
    if not entry.id:
        raise ValueError("no id")
    if not (entry.started_ms < MAX_STARTED_MS and entry.weight < MAX_WEIGHT and abs(entry.cell) < 1 << 60):
        raise ValueError("a figure is out of bounds")
    return entry


def server_address(text: str) -> tuple[str, int]:
    """Only figures: guards against a name in the list, which would be looked up while all others wait."""
    host, port = parse_address(text)
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise ValueError(f"{host!r} is no IPv4 address") from None
    if not port:
        raise ValueError("port 0")
    return host, port


def read_config(path: str) -> BalancerConfig:
    config = msgspec.json.decode(Path(path).read_bytes(), type=BalancerConfig)
    if not config.settings.listeners:
        raise ValueError("the settings name no listeners")
    return config


@contextlib.contextmanager
def start_errors(path: str) -> Iterator[None]:
    """Says in one line what is wrong with the file."""
    try:
        yield
    except OSError as error:
        raise StartError(f"{path}: {error.strerror}") from error
    except DECODE_ERRORS as error:
        raise StartError(f"{path}: {error}") from error


def read_startup_config(path: str) -> StartupConfig:
    """Environment variables win over the file, as they are what the platform sets last."""
    with start_errors(path):
        config = read_config(path)
        listen = parse_address(os.environ.get("LB_LISTEN", config.listen))
        discovery = parse_address(os.environ.get("LB_DISCOVERY", config.discovery))
        config.name = os.environ.get("LB_NAME", config.name)
        return StartupConfig(path, config, listen, discovery, int(config.seed, 16))


def reread_config(path: str) -> tuple[BalancerConfig, tuple[str, int]]:
    """A file that was replaced is newer than the environment: its discovery wins."""
    with start_errors(path):
        config = read_config(path)
        return config, parse_address(config.discovery)
