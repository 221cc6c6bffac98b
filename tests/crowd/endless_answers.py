"""Servers that send bytes without end, against one mustardflow-entry with a
small memory limit.

Each fault is played against a new process, in answers to a crowd of clients or
in answers to grants. The checks are those of crowd.py.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
sys.dont_write_bytecode = True

from crowd import (BODY_BYTES, CLIENTS, MEMORY_MB, STAY_S, Server,  # noqa: E402
                   World, free_ports, play_all, read_request)

NOISE = b"#" * (64 << 10)
FIELDS = b"X-A: 1\r\n" * 8192
SHORT_FIELDS = b"a:\r\n" * 16384
# A server stops after this time, even if the host still reads.
SEND_S = 6.0
# How long grants are answered.
GRANTS_S = 4.0
# A few clients at first: the memory of one answer may grow in large steps.
FEW_CLIENTS = 2
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# What follows the first fields of an answer, and what is then sent again and
# again.
FAULTS = {
    "field": (b"X-Long: ", NOISE),
    "fields": (b"", FIELDS),
    "short-fields": (b"", SHORT_FIELDS),
    "body": (b"\r\n", NOISE),
    "announced-body": (b"Content-Length: 1000000000000\r\n\r\n", NOISE),
    "chunks": (CHUNKED, b"10000\r\n" + NOISE + b"\r\n"),
    "chunk-size": (CHUNKED + b"3;", NOISE),
    "chunk-extension": (CHUNKED + b'3;x="', NOISE),
    "trailer-field": (CHUNKED + b"3\r\nown\r\n0\r\nX-Long: ", NOISE),
    "trailer-fields": (CHUNKED + b"3\r\nown\r\n0\r\n", FIELDS),
    # Not an answer from the begin on.
    "noise": (None, NOISE),
    "interim": (b"\r\n", b"HTTP/1.1 103 Early\r\nLink: <x>\r\n\r\n" * 1024),
}


class FaultyServer(Server):
    """Answers requests below /desk/faulty/ and grants with one of FAULTS."""

    fault = "body"

    async def connected(self, reader, writer):
        try:
            while True:
                request = await read_request(reader, writer)
                await request.read_body()
                faulty = request.target.startswith(("/desk/faulty/", "/grant"))
                if faulty:
                    return await self.send_endlessly(request, writer)
                attempt = request.fields.get("x-attempt-id", "")
                writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
                             "X-Server-Signature: s\r\nX-Handover: 5c0e\r\n"
                             "Content-Length: 2\r\n\r\nok".encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    async def send_endlessly(self, request, writer):
        begin, endless = FAULTS[self.fault]
        status = "103 Early" if self.fault == "interim" else "200 OK"
        attempt = request.fields.get("x-attempt-id", "")
        if begin is not None:
            writer.write(f"HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\n"
                         "X-Server-Signature: s\r\n".encode() + begin)
        end = time.monotonic() + SEND_S
        while time.monotonic() < end:
            writer.write(endless)
            await writer.drain()


class FaultyWorld(World):
    def __init__(self, program, folder, group):
        super().__init__(program, folder, MEMORY_MB, BODY_BYTES)
        ports = free_ports(self.server.address[0], 2)
        addresses = [(self.server.address[0], port) for port in ports]
        self.server = FaultyServer(addresses[0], "desk-0", "desk")
        self.keyed_server = FaultyServer(addresses[1], "shelf-0", "shelf")
        self.servers = [self.server]
        if group.__name__.startswith("grant"):
            self.servers.append(self.keyed_server)

    def config(self):
        config = super().config()
        config["routes"]["shelf"] = config["routes"]["desk"] | {
            "path_prefix": "/shelf/", "service": "shelf"}
        config["services"]["shelf"] = config["services"]["desk"] | {
            "sharded": True}
        return config


async def ask(world, number):
    """Sends a request that is answered without end; waits for the end."""
    reader, writer = await world.connect()
    writer.write(world.head("GET", f"faulty/{number}", "Connection: close"))
    try:
        while await asyncio.wait_for(reader.read(1 << 16), 12):
            pass
    except (ConnectionError, asyncio.TimeoutError):
        pass


def in_answers(fault):
    async def group(world):
        world.server.fault = fault
        for count in FEW_CLIENTS, CLIENTS:
            clients = [asyncio.create_task(ask(world, number))
                       for number in range(count)]
            await asyncio.wait(clients, timeout=SEND_S)
            for client in clients:
                client.cancel()
        await asyncio.sleep(STAY_S)

    group.__doc__ = f"Answers without end: {fault}."
    return group


def in_grants(fault):
    async def grant_group(world):
        world.keyed_server.fault = fault
        await asyncio.sleep(GRANTS_S)

    grant_group.__doc__ = f"Answers to grants without end: {fault}."
    return grant_group


GROUPS = {f"answer-{fault}": in_answers(fault) for fault in FAULTS}
GROUPS |= {f"grant-{fault}": in_grants(fault)
           for fault in ("field", "fields", "chunks", "chunk-size",
                         "trailer-field", "interim")}


if __name__ == "__main__":
    play_all(GROUPS, FaultyWorld, __doc__)
