"""A connection that falls silent in the middle of a line, at a server that goes on running."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (
    LINE_INTERVAL,
    RULE_SLACK,
    Balancer,
    CannotRun,
    Case,
    Client,
    ListService,
    Server,
    ServerConnection,
    main,
    settings,
)

SILENCE_LIMIT = 7.0


async def play(case: Case) -> None:
    servers = [Server(case, name) for name in ("one", "two")]
    for server in servers:
        await server.start()
    service = ListService(case, servers)
    balancer = Balancer(case, "n1", await service.start(), {"settings": settings(), "known": service.known()})
    await balancer.start()
    # As many as fill half a core of each server; their lines come evenly.
    clients = [Client(case, balancer) for _ in range(24)]
    for client in clients:
        case.spawn(client.play())
        await asyncio.sleep(LINE_INTERVAL / len(clients))
    await asyncio.sleep(3.0)
    if not all(client.is_up for client in clients):
        raise CannotRun("the sessions are not up")
    server = next(one for one in servers if len(one.connections) >= 2)
    victim = next(client for client in clients if client.id in {c.session for c in server.connections})
    silent_since = -1.0

    def on_line(connection: ServerConnection, line: bytes) -> None:
        """The server's next own line behind an answer; the connection falls silent within it."""
        nonlocal silent_since
        if connection.session != victim.id or silent_since >= 0:
            return
        if case.has_trouble:
            connection.send(b"reading 17 21")
            connection.is_silent = True
            case.note(f"server {server.id}: the connection of {victim.id} has fallen silent")
        else:
            connection.send(b"reading 17 21.4\r\n")
        silent_since = case.now()

    server.on_line = on_line
    while silent_since < 0:
        await asyncio.sleep(0.05)
    await asyncio.sleep(13.0)
    if not case.has_trouble:
        if victim.ended_at >= 0 or case.now() - victim.last_at > LINE_INTERVAL + 1:
            case.broken("a sound connection was ended")
        return
    end = victim.ended_at if victim.ended_at >= 0 else case.now()
    case.note(
        f"client {victim.id}: silent since {silent_since:.3f} at the server; "
        f"last bytes at {victim.last_at:.3f}, "
        f"{'moved' if victim.was_moved else 'not moved'}, ended at {end:.3f}"
    )
    # Counted from the last bytes that the client got, which were on their way for a while.
    if end - victim.last_at > SILENCE_LIMIT + RULE_SLACK:
        case.broken(
            f"a connection brought nothing for {end - victim.last_at:.3f} s (the server was running) and was "
            f"neither ended nor moved within 7 s; at the server it was silent for {end - silent_since:.3f} s"
        )


main(__file__, play)
