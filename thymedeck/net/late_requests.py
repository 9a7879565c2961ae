"""Requests to the list service that were not answered in time, and whose answers still count."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .list_connection import ListConnection

MAX_LATE_REQUESTS = 6
# Between two requests that are kept, so that each is kept for 6 s, after which its answer is overdue anyway.
MIN_INTERVAL = 60_000 // (MAX_LATE_REQUESTS - 1)


class LateRequests:
    """The connections of late requests, oldest first, of which the number is limited.

    The first one stays, as a slow service answers it before the others. As it may have been lost, the latest
    ones stay too. Times are whole tenths of a millisecond.
    """

    def __init__(self) -> None:
        self.connections: list[ListConnection] = []

    def __contains__(self, connection: "ListConnection") -> bool:
        return connection in self.connections

    def add(self, connection: "ListConnection") -> None:
        """Keeps the connection, or closes it if it would be too soon after the last one."""
        if self.connections and connection.asked_at - self.connections[-1].asked_at < MIN_INTERVAL:
            connection.drop()
            return
        if len(self.connections) == MAX_LATE_REQUESTS:
            self.drop(self.connections[1])
        self.connections.append(connection)

    def remove(self, connection: "ListConnection") -> None:
        self.connections.remove(connection)

    def drop(self, connection: "ListConnection") -> None:
        self.remove(connection)
        connection.drop()

    def drop_latest(self) -> bool:
        """Frees the descriptor of the latest request; returns whether there was one."""
        if self.connections:
            self.drop(self.connections[-1])
            return True
        return False

    def drop_all(self) -> None:
        while self.drop_latest():
            pass
