"""A small HTTP/1.1 server for the stand-ins, on asyncio."""

import asyncio
import json
import socket


class Request:
    """A request with its fields in lower case; `writer` answers it early."""

    def __init__(self, method, target, fields, reader, writer):
        self.method = method
        self.target = target
        self.fields = fields
        self.writer = writer
        self.reader = reader
        self.body = None

    def closed(self):
        """Whether the other side has closed the connection."""
        return self.writer.is_closing() or self.reader.at_eof()

    async def read_body(self):
        if self.body is None:
            self.body = await self.reader.readexactly(
                int(self.fields.get("content-length", 0)))
        return self.body


async def read_request(reader, writer):
    """The head of the next request."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return Request(method, target, fields, reader, writer)


def format_answer(status, fields, body):
    """The bytes of an answer; `body` may be a dict, which is sent as JSON."""
    if isinstance(body, dict):
        body = json.dumps(body).encode()
    text = f"HTTP/1.1 {status} X\r\n"
    for name, value in fields.items():
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    return text.encode() + body


def keep_little(server):
    """Small buffers, so that a long body is still on its way when an early
    answer comes."""
    for listener in server.sockets:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)


async def serve(address, handle, writers=None):
    """Serves until closed. `handle` returns an answer's bytes, or None to
    close the connection without one. `writers` gets those of all connections,
    with a request or without."""

    async def connected(reader, writer):
        if writers is not None:
            writers.add(writer)
        try:
            while True:
                request = await read_request(reader, writer)
                answer = await handle(request)
                await request.read_body()
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            if writers is not None:
                writers.discard(writer)

    server = await asyncio.start_server(connected, *address)
    keep_little(server)
    return server
