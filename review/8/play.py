"""A planned restart while one of four servers hangs in the middle of a line."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import Balancer, CannotRun, Case, Client, ListService, Server, main, settings

SIGKILL_AFTER = 3.0 + 0.7  # the longest deadline (3 s at most), and 0.7 s more
HANG = 10.0  # the site's hangs last 6.5 to 22 s


async def play(case: Case) -> None:
    servers = [Server(case, name) for name in ("one", "two", "three", "four")]
    for server in servers:
        await server.start()
    service = ListService(case, servers)
    balancer = Balancer(case, "n1", await service.start(), {"settings": settings(), "known": service.known()})
    await balancer.start()
    clients = [Client(case, balancer) for _ in range(12)]
    for client in clients:
        case.spawn(client.play())
        await asyncio.sleep(0.2)
    await asyncio.sleep(1.0)
    hanging = max(servers, key=lambda one: len(one.connections))
    if not all(client.is_up for client in clients) or len(hanging.connections) < 2:
        raise CannotRun("the sessions are not up")
    on_it = {connection.session for connection in hanging.connections}

    balancer.signal(signal.SIGTERM)
    stopped_at = case.now()
    await asyncio.sleep(0.2)
    for connection in list(hanging.connections):
        if case.has_trouble:
            connection.send(b"reading 17 21")  # the rest of the line would have come behind it
            connection.is_silent = True
        else:
            connection.send(b"reading 17 21.4\r\n")
    case.note(f"server {hanging.id}: {'hangs' if case.has_trouble else 'goes on'}")
    try:
        await asyncio.wait_for(balancer.process.wait(), stopped_at + SIGKILL_AFTER - case.now())
        case.note(f"n1: has ended, exit code {balancer.process.returncode}")
    except TimeoutError:
        case.note("n1: SIGKILL")
        balancer.kill()
    await asyncio.sleep(0.3)
    for client in clients:
        where = "on the hanging server" if client.id in on_it and case.has_trouble else "on a sound server"
        case.note(f"client {client.id}: {where}: {'moved' if client.was_moved else 'cut off without MOVE'}")
    cut_off = [client for client in clients if not client.was_moved]
    if cut_off:
        case.broken(
            f"{len(cut_off)} of {len(clients)} sessions were cut off without MOVE at a planned restart, "
            f"{sum(client.id in on_it for client in cut_off)} of them on {hanging.id}; "
            f"the last bytes of one were {bytes(cut_off[0].received[-24:])!r}"
        )


main(__file__, play)
