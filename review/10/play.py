"""Connections from before the run, of which some are reset once under their line."""

import asyncio
import socket
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import Balancer, CannotRun, Case, Client, ListService, Server, main, settings

UP_WITHIN = 40.0
RESETS = 2  # connections that are reset, of CLIENTS
CLIENTS = 6


class ResettingServer(Server):
    """Its first connections are reset once their line has come; all others are served."""

    resets_left = 0

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.resets_left:
            await super().accept(reader, writer)
            return
        self.resets_left -= 1
        line = await reader.readline()
        self.case.note(f"server {self.id}: line {line!r}, and its connection is reset")
        # A close that sends a reset.
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


async def play(case: Case) -> None:
    servers = [ResettingServer(case, name) for name in ("one", "two", "three")]
    for server in servers:
        await server.start()
    service = ListService(case, servers)
    balancer = Balancer(case, "n1", await service.start(), {"settings": settings(), "known": service.known()})
    await balancer.start()
    if case.has_trouble:
        servers[0].resets_left = RESETS
    clients = []
    for number in range(CLIENTS):
        client = Client(case, balancer)
        client.more = f",at={servers[number % len(servers)].id}"
        clients.append(client)
        case.spawn(client.play())
    until = case.now() + UP_WITHIN
    while case.now() < until and not all(client.answer for client in clients):
        await asyncio.sleep(0.1)
    await asyncio.sleep(2.5)
    if servers[0].resets_left:
        raise CannotRun("no line came to be reset")
    lost = [client for client in clients if not client.is_up]
    if lost:
        case.broken(
            f"{len(lost)} of {len(clients)} connections that stood before the run are not up: "
            + ", ".join(f"{client.more[1:]} was answered {client.answer!r}" for client in lost)
        )


main(__file__, play)
