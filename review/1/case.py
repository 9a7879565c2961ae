"""A planned restart while servers' lines come in pieces: is every standing client told to move?"""

import asyncio
import contextlib
import signal

import rig

SESSIONS = 12
SIGTERM_AT = 5.0
KILL_AFTER = 3.7  # the longest deadline (3 s at most) and 0.7 s more
READINGS_EVERY = 0.01
READINGS_AT_ONCE = 3  # so that each session gets about 27 kB a second of meter history
CLIENT_LINE_EVERY = 2.0
MESSAGE_AIM_MS = 250
PIECE = 1448  # bytes, what a segment holds on an Ethernet


class Server:
    """Sends readings, about 300 a second, and brings each line of the client back at once.

    With the disruption its output comes in pieces of 1448 bytes, one about every 50 ms, so that a line may
    come in two pieces, the second with the lines after it. Without it each piece is made of whole lines.
    """

    def __init__(self, play: rig.Play, name: str) -> None:
        self.play, self.name = play, name
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, rig.HOST, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        record = self.play.record
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            line = (await reader.readuntil(b"\n")).decode().split()
            if line[0] != "OPEN":
                writer.write(b"SYNTAX\r\n")
                return
            session = line[1]
            record(self.name, f"{session} runs")
            writer.write(f"UP {self.name}-{session}\r\n".encode())
            pending = bytearray()

            def send(*lines: str) -> None:
                for text in lines:
                    pending.extend(text.encode() + b"\r\n")
                size = len(pending) // PIECE * PIECE if rig.trouble() else len(pending)
                if size:
                    writer.write(bytes(pending[:size]))
                    del pending[:size]

            async def readings() -> None:
                count = 0
                while True:
                    await asyncio.sleep(READINGS_EVERY)
                    count += READINGS_AT_ONCE
                    send(
                        *(
                            f"READING {count + index} {'7' * self.play.random.randint(50, 90)}"
                            for index in range(READINGS_AT_ONCE)
                        )
                    )

            task = asyncio.create_task(readings())
            try:
                while True:
                    send("BACK " + (await reader.readuntil(b"\n")).decode().strip())
            finally:
                task.cancel()
                record(self.name, f"{session} ended by the other side")
        writer.close()


class Client:
    """Opens a session, sends a line every 2 s and notes how the connection ends."""

    def __init__(self, play: rig.Play, balancer: rig.Balancer) -> None:
        self.play, self.balancer = play, balancer
        self.identifier = play.identifier()
        self.is_up = False
        self.last_line_at = 0.0
        self.last_line = b""
        self.rest = b""
        self.ended_at: float | None = None
        self.how = ""

    async def run(self) -> None:
        record = self.play.record
        reader, writer = await asyncio.open_connection(rig.HOST, self.balancer.port)
        writer.write(f"OPEN {self.identifier} {self.identifier} c=history,d=4800,h=10000\r\n".encode())
        task = asyncio.create_task(self.send_lines(writer))
        data = b""
        try:
            while chunk := await reader.read(65536):
                *lines, data = (data + chunk).split(b"\r\n")
                for line in lines:
                    if line.startswith(b"UP "):
                        self.is_up = True
                        record("client", f"{self.identifier} is told {line.decode()}")
                    self.last_line, self.last_line_at = line, self.play.record.now()
            self.how = "ended"
        except ConnectionError as error:
            self.how = f"reset ({type(error).__name__})"
        task.cancel()
        self.rest = data
        self.ended_at = record(
            "client", f"{self.identifier} {self.how}; last line {self.last_line!r}, then {self.rest!r}"
        )
        writer.close()

    async def send_lines(self, writer: asyncio.StreamWriter) -> None:
        count = 0
        while True:
            await asyncio.sleep(CLIENT_LINE_EVERY)
            if self.is_up:
                count += 1
                writer.write(f"LINE {count}\r\n".encode())


async def play_case(play: rig.Play) -> list[str]:
    discovery = rig.Discovery(play.record)
    await discovery.start()
    servers = [Server(play, f"s{index}") for index in range(3)]
    for server in servers:
        await server.start()
        discovery.put(server.name, server.address)
    balancer = play.balancer(discovery.address, discovery.listed(), rig.small_deployment(MESSAGE_AIM_MS))
    await balancer.ready()
    clients = [Client(play, balancer) for _ in range(SESSIONS)]
    tasks = []
    for client in clients:
        tasks.append(asyncio.create_task(client.run()))
        await asyncio.sleep(0.1)
    await asyncio.sleep(max(SIGTERM_AT - play.record.now(), 1))
    clients = [client for client in clients if client.is_up and client.ended_at is None]
    if len(clients) < SESSIONS // 2:
        raise rig.CouldNotRun("too few sessions stand before the restart")
    balancer.signal(signal.SIGTERM)
    if not await balancer.ended(KILL_AFTER):
        balancer.signal(signal.SIGKILL)
    await asyncio.wait(tasks, timeout=3)
    violations = []
    for client in clients:
        if client.ended_at is None:
            violations.append(f"{client.identifier}: neither moved nor ended")
        elif client.last_line != b"MOVE" or client.rest:
            violations.append(f"{client.identifier}: cut off without MOVE, after {client.rest!r}")
    return violations


rig.main(__file__, play_case)
