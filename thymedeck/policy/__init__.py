"""Every decision of thymedeck. `Balancer.handle(now, event)` returns actions; nothing here does I/O."""

from .balancer import Balancer, admission_probability
from .server import SECOND

__all__ = ["SECOND", "Balancer", "admission_probability"]
