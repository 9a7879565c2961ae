"""When the opening line of a session may be sent again although a server may have executed it."""

import math

from ..interface import Effect, Listener


def repeat_deadline(listener: Listener, first_execution: int) -> float:
    """The latest time at which the line may arrive again, within the scope that drops repeats.

    `first_execution` is the earliest time at which a server may have received it. Infinite where the line may
    be repeated without limit, minus infinity where it never may.
    """
    if listener.effect is Effect.IDEMPOTENT:
        return math.inf
    if listener.effect is Effect.AT_MOST_ONCE:
        return -math.inf
    return first_execution + listener.dedup_window
