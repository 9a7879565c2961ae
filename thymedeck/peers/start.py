"""Sets up peers for `serve --peers FILE` and `check --peers FILE`.

Unusable settings are reported before any socket is opened.
"""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from ..net.config_file import StartError, StartupConfig
from ..net.system import System
from .messages import is_name
from .settings import PeerSettings, SettingsFileError, load_peer_settings
from .transport import PeerTransport

if TYPE_CHECKING:
    from ..net.service import Service


def prepare_peers(path: str, start: StartupConfig) -> Callable[["Service", System], None]:
    """Reads the settings; returns what starts the peers on a service. Raises StartError with one line."""
    if not start.config.settings.limits.peers:
        raise StartError(f"{path}: the settings of this deployment forbid peers")
    if not is_name(start.config.name):
        raise StartError(f"{path}: {start.config.name!r} is not a valid name for a peer")
    try:
        settings = load_peer_settings(path)
    except SettingsFileError as error:
        raise StartError(str(error)) from None
    return partial(start_peers, settings, start)


def start_peers(settings: PeerSettings, start: StartupConfig, service: "Service", system: System) -> None:
    transport = PeerTransport(service, settings, system, start.config.name, start.seed)
    service.on_reload.append(transport.reload_keys)
    service.log("peers_on", listen="{}:{}".format(*transport.sock.getsockname()), fleet=settings.fleet)
