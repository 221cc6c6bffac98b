"""Crowds of clients against one mustardflow-entry with a small memory limit.

Each group of clients is played against a new process. The test checks that the
process lives, that its resident memory and its open descriptors stay within
the platform's limits, and that an ordinary request is answered afterwards,
while the crowd is still there. Exits with 1 if one of them does not hold.
"""

import argparse
import asyncio
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "soak"))
sys.dont_write_bytecode = True

from hosts import Host, address_of_run, free_ports  # noqa: E402
from http_server import format_answer, read_request  # noqa: E402
from store import Store  # noqa: E402

MIB = 1 << 20
MEMORY_MB = 96
MAX_FDS = 320
# The platform reserves these for files.
FILE_FDS = 200
BODY_BYTES = 8 * MIB
CLIENTS = 40
# More than the host has descriptors.
CONNECTIONS = 160
CHUNK_BYTES = 64 << 10
# A single request of the default limit, on the smallest hosts.
LARGE_BODY_BYTES = 64 * MIB
LARGE_MEMORY_MB = 112
# How long a crowd stays after it has sent what it sends.
STAY_S = 1.5
ORDINARY_S = 10


class Server:
    """A backend server: answers at length, or stops reading bodies."""

    def __init__(self, address, name, service):
        self.address = address
        self.id = name
        self.service = service
        self.reads = True
        self.received = {}

    def entry(self):
        return {"address": "%s:%d" % self.address, "born": 1,
                "info": {"service": self.service, "zone": "z1",
                         "version": "v1", "slots": 100},
                "status": {"state": "ready", "seq": 1, "warmup_left": "0ms"}}

    async def connected(self, reader, writer):
        try:
            while True:
                request = await read_request(reader, writer)
                while not self.reads and request.method == "POST":
                    await asyncio.sleep(0.1)
                left = int(request.fields.get("content-length", 0))
                attempt = request.fields.get("x-attempt-id", "")
                self.received[attempt] = left
                while left:
                    part = await reader.read(min(left, 1 << 16))
                    if not part:
                        raise ConnectionError
                    left -= len(part)
                long = request.target.startswith("/desk/long")
                writer.write(format_answer(
                    200, {"X-Attempt-Id": attempt, "X-Server-Signature": "s",
                          "X-Server-Load": "0,0,100,100"},
                    b"a" * (BODY_BYTES if long else 4)))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    async def start(self):
        return await asyncio.start_server(self.connected, *self.address)


class World:
    def __init__(self, program, folder, memory_mb, body_bytes):
        ip = address_of_run(1)
        store_port, server_port = free_ports(ip, 2)
        self.store = Store(random.Random(1))
        self.store_address = (ip, store_port)
        self.server = Server((ip, server_port), "desk-0", "desk")
        self.servers = [self.server]
        self.body_bytes = body_bytes
        self.memory_mb = memory_mb
        self.host = Host(program, folder, 0, self.store_address)
        settings = json.loads(self.host.settings.read_text())
        settings["limits"].update(memory_mb=memory_mb, max_fds=MAX_FDS)
        self.host.settings.write_text(json.dumps(settings))
        self.attempts = itertools.count(1)
        self.writers = []
        self.peak_mb = 0.0
        self.peak_fds = 0

    async def start(self):
        await self.store.start(self.store_address)
        for server in self.servers:
            await server.start()
            self.store.put("keyed.servers", server.id, server.entry())
        self.store.put("keyed.op", "config", self.config())
        await self.host.start()
        asyncio.create_task(self.watch())
        asyncio.create_task(self.keep_registered())
        await self.ordinary()

    def config(self):
        return {
            "version": 1,
            "routes": {"desk": {
                "hostname": "a.example", "path_prefix": "/desk/",
                "type": "idempotent", "timeout": "10s",
                "target_latency": "5s", "priority": 1, "service": "desk",
                "max_attempts": 2}},
            "services": {"desk": {
                "health_check_path": "/health", "max_connections": 100,
                "protocol": "h1", "tls": False, "warmup": "0s",
                "warmup_per_s": 1000.0}},
            "limits": {"max_header_bytes": 16384,
                       "max_body_bytes": self.body_bytes,
                       "header_timeout": "3s", "idle_timeout": "15s"}}

    async def keep_registered(self):
        while True:
            await asyncio.sleep(0.4)
            for server in self.servers:
                entry = server.entry()
                entry["status"]["seq"] = int(time.monotonic() * 10)
                self.store.put("keyed.servers", server.id, entry)

    def measure(self):
        process = pathlib.Path(f"/proc/{self.host.process.pid}")
        try:
            text = (process / "status").read_text()
            fds = len(os.listdir(process / "fd"))
        except OSError:
            return
        fields = dict(line.split(":", 1) for line in text.splitlines())
        if "VmHWM" in fields:
            self.peak_mb = max(self.peak_mb,
                               int(fields["VmHWM"].split()[0]) / 1024)
        self.peak_fds = max(self.peak_fds, fds)

    async def watch(self):
        while True:
            self.measure()
            await asyncio.sleep(0.02)

    def head(self, method, path, *fields):
        lines = [f"{method} /desk/{path} HTTP/1.1", "Host: a.example",
                 f"X-Attempt-Id: {next(self.attempts):016x}", *fields]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def connect(self, receive_bytes=None):
        sock = socket.socket()
        sock.setblocking(False)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        await asyncio.get_running_loop().sock_connect(sock, self.host.callers)
        streams = await asyncio.open_connection(sock=sock, limit=4096)
        self.writers.append(streams[1])
        return streams

    async def ordinary(self):
        """Whether an ordinary request is answered with 200; a refusal may be
        retried."""
        end = time.monotonic() + ORDINARY_S
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(
                    *self.host.callers)
                writer.write(self.head("POST", "1", "Content-Length: 2",
                                       "Connection: close") + b"hi")
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.transport.abort()
                if line.startswith(b"HTTP/1.1 200"):
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


async def send(writer, data):
    """Sends the parts of `data`; the host may close the connection."""
    try:
        for part in data:
            if writer.is_closing():
                return
            writer.write(part)
            await writer.drain()
    except ConnectionError:
        pass


def parts(size):
    whole, rest = divmod(size, CHUNK_BYTES)
    return [b"u" * CHUNK_BYTES] * whole + [b"u" * rest] * (rest > 0)


def chunks(size):
    return [b"%x\r\n" % len(part) + part + b"\r\n" for part in parts(size)]


def short(number, pieces):
    """One of five clients sends all; the others stop just short of it."""
    if number % 5 == 0:
        return pieces
    return pieces[:-1] + [pieces[-1][:-1]]


async def together(world, work):
    """All clients at once; then they stay for a while."""
    done, _ = await asyncio.wait([asyncio.create_task(work(number))
                                  for number in range(CLIENTS)], timeout=15)
    for task in done:
        # The host may close connections.
        if not isinstance(task.exception(), (ConnectionError, type(None))):
            raise task.exception()
    await asyncio.sleep(STAY_S)


async def whole_bodies(world):
    """Many large bodies at once with their length announced."""
    async def client(number):
        _, writer = await world.connect()
        head = world.head("POST", "1", f"Content-Length: {BODY_BYTES}")
        await send(writer, [head] + short(number, parts(BODY_BYTES)))

    await together(world, client)


async def chunked_bodies(world):
    """The same in chunks, piece by piece."""
    async def client(number):
        _, writer = await world.connect()
        head = world.head("POST", "1", "Transfer-Encoding: chunked")
        pieces = chunks(BODY_BYTES) + [b"0\r\n\r\n"]
        for piece in [head] + short(number, pieces):
            await send(writer, [piece])
            await asyncio.sleep(0.01)

    await together(world, client)


async def bodies_over_the_limit(world):
    """Bodies far over the limit, announced or not."""
    async def client(number):
        _, writer = await world.connect()
        if number % 2:
            head = world.head("POST", "1", f"Content-Length: {4 * BODY_BYTES}")
            await send(writer, [head] + parts(4 * BODY_BYTES))
            return
        head = world.head("POST", "1", "Transfer-Encoding: chunked")
        for piece in [head] + chunks(4 * BODY_BYTES):
            await send(writer, [piece])
            await asyncio.sleep(0.01)

    await together(world, client)


async def long_answers(world):
    """Long answers that are read slowly, one client after the other."""
    async def client(number):
        await asyncio.sleep(number * 0.1)
        reader, writer = await world.connect(4096)
        await send(writer, [world.head("GET", "long")])
        for _ in range(20):
            await reader.read(1024)
            await asyncio.sleep(0.1)

    await together(world, client)


async def pipelined_answers(world):
    """Several long answers on each connection, read slowly."""
    async def client(number):
        reader, writer = await world.connect(4096)
        await send(writer, [world.head("GET", "long")] * 8)
        for _ in range(20):
            await reader.read(1024)
            await asyncio.sleep(0.1)

    await together(world, client)


async def slow_server(world):
    """Whole bodies for a server that stops reading."""
    world.server.reads = False

    async def client(number):
        _, writer = await world.connect()
        head = world.head("POST", "1", f"Content-Length: {BODY_BYTES}")
        await send(writer, [head] + parts(BODY_BYTES))

    await together(world, client)
    world.server.reads = True


async def connections(world):
    """More open connections than the host has descriptors."""
    for _ in range(CONNECTIONS):
        try:
            await world.connect()
        except OSError:
            pass
    await asyncio.sleep(STAY_S)


async def one_short_body(world):
    """One client stops just short of the end and stays open."""
    _, writer = await world.connect()
    pieces = parts(BODY_BYTES)
    head = world.head("POST", "1", f"Content-Length: {BODY_BYTES}")
    await send(writer, [head] + short(1, pieces))


async def large_body(world, chunked):
    """A body of the default limit is served when it is alone."""
    reader, writer = await world.connect()
    if chunked:
        head = world.head("POST", "1", "Transfer-Encoding: chunked")
        pieces = chunks(LARGE_BODY_BYTES) + [b"0\r\n\r\n"]
    else:
        head = world.head("POST", "1", f"Content-Length: {LARGE_BODY_BYTES}")
        pieces = parts(LARGE_BODY_BYTES)
    await send(writer, [head] + pieces)
    line = await asyncio.wait_for(reader.readline(), 15)
    received = max(world.server.received.values())
    if not line.startswith(b"HTTP/1.1 200") or received != LARGE_BODY_BYTES:
        return f"answer {line!r}, {received} bytes at the server"
    return None


async def large_announced(world):
    """A body of 64 MiB alone, with its length announced."""
    return await large_body(world, False)


async def large_chunked(world):
    """A body of 64 MiB alone, in chunks."""
    return await large_body(world, True)


CROWDS = [whole_bodies, chunked_bodies, bodies_over_the_limit, long_answers,
          pipelined_answers, slow_server, connections, one_short_body]
LARGE = [large_announced, large_chunked]
GROUPS = {group.__name__.replace("_", "-"): group for group in CROWDS + LARGE}


async def play(world, group):
    """What does not hold, as texts."""
    await world.start()
    failures = []
    try:
        if failure := await group(world):
            failures.append(failure)
        if not await world.ordinary():
            failures.append("an ordinary request got no answer")
        world.measure()
        if world.host.process.returncode is not None:
            failures.append("the process ended")
    finally:
        if world.host.process.returncode is None:
            await world.host.end(signal.SIGKILL)
        for writer in world.writers:
            writer.transport.abort()
    if world.peak_mb > world.memory_mb:
        failures.append(f"resident memory over {world.memory_mb} MB")
    if world.peak_fds > MAX_FDS - FILE_FDS:
        failures.append(f"over {MAX_FDS - FILE_FDS} descriptors")
    print(f"  {world.peak_mb:.1f} MB resident and {world.peak_fds} "
          f"descriptors at most", flush=True)
    return failures


def crowd_world(program, folder, group):
    if group in LARGE:
        return World(program, folder, LARGE_MEMORY_MB, LARGE_BODY_BYTES)
    return World(program, folder, MEMORY_MB, BODY_BYTES)


def play_all(groups, make_world, description):
    """Plays the groups that the command line asks for, each against a new
    process, and exits."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--program", default="build/apps/mustardflow-entry")
    parser.add_argument("--group", choices=groups, help="play only this one")
    options = parser.parse_args()
    failed = 0
    for name, group in groups.items():
        if options.group not in (None, name):
            continue
        print(f"{name}: {group.__doc__}", flush=True)
        folder = pathlib.Path(tempfile.mkdtemp(prefix="mustardflow-crowd-"))

        async def run():
            world = make_world(options.program, folder, group)
            return await asyncio.wait_for(play(world, group), 60)

        failures = asyncio.run(run())
        for failure in failures:
            print(f"  FAILED: {failure}", flush=True)
        failed += bool(failures)
        if failures:
            print(f"  logs in {folder}")
        else:
            shutil.rmtree(folder)
    print(f"{failed} groups failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    play_all(GROUPS, crowd_world, __doc__)
