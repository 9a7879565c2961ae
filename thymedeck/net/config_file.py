"""The balancer's configuration file (JSON), and the format of server lists."""

import contextlib
import os
import socket
from collections.abc import Iterator
from pathlib import Path

import msgspec

from ..settings import Settings

DECODE_ERRORS = (ValueError, msgspec.MsgspecError, RecursionError)  # the last from deeply nested text


class StartError(Exception):
    """The balancer cannot start with its configuration; the text says why."""


class ServerListEntry(msgspec.Struct):
    """An entry of a server list."""

    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "SERVING"
    weight: float = 1.0
    started_ms: float = 0.0


class ServerList(msgspec.Struct):
    """A server list, whole or with changes only, as the list service sends it."""

    version: int
    full: bool = False
    servers: list[msgspec.Raw] = []  # a ServerListEntry each; decoded one by one


class Limits(msgspec.Struct):
    sockets: int = 1 << 20


class BalancerConfig(msgspec.Struct):
    """The configuration file; `known` is the list to start with."""

    name: str
    listen: str
    discovery: str
    settings: Settings
    seed: str = "0"
    known: ServerList | None = None
    limits: Limits = msgspec.field(default_factory=Limits)


class StartupConfig(msgspec.Struct, frozen=True):
    """The configuration with the environment variables applied."""

    path: str
    config: BalancerConfig
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not an address with a port (HOST:PORT)")
    return host, int(port)


MAX_STARTED_MS = 1e15  # entries whose values are not below these limits are rejected
MAX_WEIGHT = 1e12

decode_listed = msgspec.json.Decoder(ServerListEntry).decode


class EntryId(msgspec.Struct):
    id: str = ""


def entry_id(raw: msgspec.Raw) -> str:
    """The id of an entry that is otherwise unusable; empty if it cannot be read."""
    with contextlib.suppress(*DECODE_ERRORS):
        return msgspec.json.decode(raw, type=EntryId).id
    return ""


def decode_entry(raw: msgspec.Raw) -> ServerListEntry:
    """Decodes and validates a list entry; raises one of DECODE_ERRORS."""
    entry = decode_listed(raw)
    if not entry.id:
        raise ValueError("no id")
    if not (entry.started_ms < MAX_STARTED_MS and entry.weight < MAX_WEIGHT and abs(entry.cell) < 1 << 60):
        raise ValueError("a value is out of bounds")
    return entry


def server_address(text: str) -> tuple[str, int]:
    """Parses a numeric IPv4 address with a port; a name would need a look-up that blocks the loop."""
    host, port = parse_address(text)
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise ValueError(f"{host!r} is not an IPv4 address") from None
    if not port:
        raise ValueError("port 0")
    return host, port


def read_config(path: str) -> BalancerConfig:
    config = msgspec.json.decode(Path(path).read_bytes(), type=BalancerConfig)
    if not config.settings.listeners:
        raise ValueError("the settings define no listeners")
    return config


@contextlib.contextmanager
def start_errors(path: str) -> Iterator[None]:
    """Turns read and decode errors into a StartError of one line."""
    try:
        yield
    except OSError as error:
        raise StartError(f"{path}: {error.strerror}") from error
    except DECODE_ERRORS as error:
        raise StartError(f"{path}: {error}") from error


def read_startup_config(path: str) -> StartupConfig:
    """Reads the file; environment variables override it, as the platform sets them last."""
    with start_errors(path):
        config = read_config(path)
        listen = parse_address(os.environ.get("LB_LISTEN", config.listen))
        discovery = parse_address(os.environ.get("LB_DISCOVERY", config.discovery))
        config.name = os.environ.get("LB_NAME", config.name)
        return StartupConfig(path, config, listen, discovery, int(config.seed, 16))


def reread_config(path: str) -> tuple[BalancerConfig, tuple[str, int]]:
    """Reads the file for a reload; it is newer than the environment, so its discovery address applies."""
    with start_errors(path):
        config = read_config(path)
        return config, parse_address(config.discovery)
