"""How `serve --peers FILE` and `check --peers FILE` begin: the unfit is told before anything is opened."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from ..net.config_file import StartError, StartupConfig
from ..net.system import System
from .carrier import Carrier
from .messages import is_name
from .stated import Stated, Unfit, read

if TYPE_CHECKING:
    from ..net.service import Service


def prepared(path: str, start: StartupConfig) -> Callable[["Service", System], None]:
    """Raises StartError with one line."""
    if not start.config.settings.limits.peers:
        raise StartError(f"{path}: the settings of this deployment forbid peers")
    if not is_name(start.config.name):
        raise StartError(f"{path}: {start.config.name!r} is no name for a peer")
    try:
        stated = read(path)
    except Unfit as why:
        raise StartError(str(why)) from None
    return partial(join, stated, start)


def join(stated: Stated, start: StartupConfig, service: "Service", system: System) -> None:
    carrier = Carrier(service, stated, system, start.config.name, start.seed)
    service.on_reload.append(carrier.reload_keys)
    service.log("peers_on", listen="{}:{}".format(*carrier.sock.getsockname()), fleet=stated.fleet)
