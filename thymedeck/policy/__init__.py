"""Every decision of thymedeck. `Balancer.handle(now, event)` returns actions; nothing here does I/O."""

from .balancer import Balancer, chance_for
from .server import SECOND

__all__ = ["SECOND", "Balancer", "chance_for"]
