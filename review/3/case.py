"""Connections that stood before the run: is each up again, though a server resets some of them once?"""

import asyncio
import contextlib
import socket
import struct

import rig

SESSIONS = 12
RESETS = 2  # requests that each server resets
UP_WITHIN = 40.0  # one that is not up after this is lost
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Server:
    """Answers OPEN with UP and brings each line back; resets some of the first requests when they came."""

    def __init__(self, play: rig.Play, name: str) -> None:
        self.play, self.name = play, name
        self.resets_left = RESETS if rig.trouble() else 0

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, rig.HOST, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            line = await reader.readuntil(b"\n")
            session = line.split()[1].decode()
            if self.resets_left:
                self.resets_left -= 1
                self.play.record(self.name, f"{session} came; its connection is reset")
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()
                return
            self.play.record(self.name, f"{session} runs")
            writer.write(f"UP {self.name}-{session}\r\n".encode())
            while line := await reader.readuntil(b"\n"):
                writer.write(line)
        writer.close()


async def restored(play: rig.Play, balancer: rig.Balancer, server: str) -> str:
    """A client whose connection stood at that server; returns the answer to its line, or what it saw."""
    identifier = play.identifier()
    reader, writer = await asyncio.open_connection(rig.HOST, balancer.port)
    writer.write(f"OPEN {identifier} {identifier} c=history,d=4800,h=10000,at={server}\r\n".encode())
    play.record("client", f"{identifier} was open at {server}")
    try:
        line = await asyncio.wait_for(reader.readuntil(b"\n"), UP_WITHIN)
        answer = line.decode().strip()
    except (ConnectionError, asyncio.IncompleteReadError):
        answer = "the end, without an answer"
    except TimeoutError:
        answer = "nothing in 40 s"
    play.record("client", f"{identifier} is told: {answer}")
    return f"{identifier} at {server}: {answer}"


async def play_case(play: rig.Play) -> list[str]:
    discovery = rig.Discovery(play.record)
    await discovery.start()
    servers = [Server(play, f"s{index}") for index in range(3)]
    for server in servers:
        await server.start()
        discovery.put(server.name, server.address)
    balancer = play.balancer(discovery.address, discovery.listed(), rig.small_deployment())
    await balancer.ready()
    names = [servers[index % len(servers)].name for index in range(SESSIONS)]
    answers = await asyncio.gather(*(restored(play, balancer, name) for name in names))
    return [f"not up: {answer}" for answer in answers if ": UP " not in answer]


rig.main(__file__, play_case)
