"""The placement policy: `Balancer.handle(now, event)` returns the actions to carry out. It does no I/O."""

from .balancer import Balancer, admission_probability
from .repeats import repeat_deadline
from .server import SECOND

__all__ = ["SECOND", "Balancer", "admission_probability", "repeat_deadline"]
