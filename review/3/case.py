"""Pushed lists and a slow discovery: does the balancer stop sending to a server that drains?"""

import asyncio
import contextlib

import rig

LINE = 1.5  # seconds that a call waits in line; a call may wait 2 s before it fails
DRAIN_AT = 8.0
TOLD_WITHIN = 6.0  # a change counts as told at the latest this long after discovery had it
GRACE = 2.0  # `drain_grace_us`
SOCKETS = 0.05  # each time limit is this much longer on sockets
END_AT = 24.0
SESSIONS_EVERY = 0.15
LIVES = (2.0, 6.0)


class Server:
    """Brings each line of its sessions back; while it drains, sends them away and turns new ones away."""

    def __init__(self, play: rig.Play, name: str) -> None:
        self.play, self.name = play, name
        self.is_draining = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.first_bytes: list[tuple[float, str]] = []  # when each OPEN line began to come, and its id

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, rig.HOST, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    def drain(self) -> None:
        self.is_draining = True
        self.play.record(self.name, f"drains, sends {len(self.writers)} sessions away")
        for writer in self.writers:
            writer.write(b"MOVE\r\n")
            writer.write_eof()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            first = await reader.readexactly(1)
            began_at = self.play.record.now()
            session = (first + await reader.readuntil(b"\n")).decode().split()[1]
            self.first_bytes.append((began_at, session))
            if self.is_draining:
                self.play.record(self.name, f"{session} turned away")
                writer.write(b"BUSY\r\n")
            else:
                self.play.record(self.name, f"{session} runs")
                writer.write(f"UP {self.name}-{session}\r\n".encode())
                self.writers.add(writer)
                while (line := await reader.readuntil(b"\n")) != b"QUIT\r\n":
                    writer.write(line)
                writer.write(b"BYE\r\n")
        self.writers.discard(writer)
        writer.close()


async def session(play: rig.Play, balancer: rig.Balancer) -> None:
    """A client: opens a session, sends a line every 2 s and leaves with QUIT; it does not come again."""
    identifier = play.identifier()
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(rig.HOST, balancer.port)
        writer.write(f"OPEN {identifier} {identifier} c=readings,d=1200,h=10000\r\n".encode())
        line = await reader.readuntil(b"\n")
        play.record("client", f"{identifier} is told {line.decode().strip()}")
        until = play.record.now() + play.random.uniform(*LIVES)
        while line.startswith((b"UP", b"LINE")) and play.record.now() < until:
            await asyncio.sleep(min(2.0, until - play.record.now()))
            writer.write(b"LINE\r\n")
            line = await reader.readuntil(b"\n")
        writer.write(b"QUIT\r\n")
        await reader.read()
        writer.close()


async def play_case(play: rig.Play) -> list[str]:
    discovery = rig.Discovery(play.record, LINE if rig.trouble() else 0.0)
    await discovery.start()
    servers = [Server(play, f"s{index}") for index in range(4)]
    for server in servers:
        await server.start()
        discovery.put(server.name, server.address)
    balancer = play.balancer(discovery.address, discovery.listed(), rig.small_deployment(discovery="pushed"))
    await balancer.ready()
    drained_at = 0.0
    tasks = set()
    while play.record.now() < END_AT:
        if not drained_at and play.record.now() >= DRAIN_AT:
            drained_at = discovery.change("s0", state="DRAINING")
            servers[0].drain()
        tasks.add(asyncio.create_task(session(play, balancer)))
        await asyncio.sleep(SESSIONS_EVERY)
    for task in tasks:
        task.cancel()
    if not any(at < drained_at for at, _ in servers[0].first_bytes):
        raise rig.CouldNotRun("nothing was sent to the server before its drain")
    limit = drained_at + TOLD_WITHIN + GRACE + SOCKETS
    return [
        f"{identifier}: sent to s0 {at - drained_at:.2f} s after discovery had its drain"
        for at, identifier in servers[0].first_bytes
        if at > limit
    ]


rig.main(__file__, play_case)
