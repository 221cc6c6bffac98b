"""A faulty server ends a chunked answer with a long line. See claim.txt."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world as w  # noqa: E402

CALLERS_PER_HOST = 6
# The line that follows the last chunk.
LINE_BYTES = 70000
# LOST: "more than three times".
ALLOWED = 3


async def faulty_reply(attempt, writer):
    """A signed answer in chunks; in trouble, bytes that are no part of an
    answer follow the last chunk."""
    head = (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
            "X-Server-Signature: 3e1b.07.c9f2\r\n"
            "Transfer-Encoding: chunked\r\n\r\n")
    rest = b"noise: " + b"#" * LINE_BYTES + b"\r\n" if w.trouble() else b""
    return head.encode() + b"3\r\nown\r\n0\r\n" + rest + b"\r\n"


async def play(world):
    sound = [w.Server(world, "wuno96b", i, work_s=0.6) for i in range(6)]
    faulty = w.Server(world, "huvo11a", 9)
    faulty.reply = faulty_reply
    world.servers = sound + [faulty]
    world.hosts = [w.Host(world, 1), w.Host(world, 2)]
    world.configure(7, {
        "r-booking": w.route("wuno96b", "non_idempotent", prefix="/book/",
                             target="1000ms"),
        "r-lookup": w.route("huvo11a", prefix="/look/")},
        {"wuno96b": w.service(), "huvo11a": w.service()})
    await world.start()

    lost = []

    async def book(host, number):
        """Two bookings on one connection; the second one counts."""
        caller = w.Caller(world, host)
        attempt = f"booking-{host.name}-{number}"
        status, _, _ = await caller.ask("POST", "/book/a", attempt + "-a")
        if status != 200 or caller.writer is None:
            world.record.note(f"{attempt}: no kept connection")
            return
        await start.wait()
        status, _, _ = await caller.ask("POST", "/book/b", attempt + "-b")
        ran = sum(attempt + "-b" in server.ran for server in sound)
        if status is None and ran:
            lost.append(attempt)
            world.record.note(f"{attempt}-b was passed on to a sound server, "
                              "and its connection ended without an answer")

    start = asyncio.Event()
    bookings = [asyncio.create_task(book(host, number))
                for host in world.hosts for number in range(CALLERS_PER_HOST)]
    await asyncio.sleep(3)
    start.set()
    await asyncio.sleep(0.2)
    # A lookup may be repeated after any failure, on a new connection and at
    # another host.
    for number, host in enumerate(world.hosts):
        caller = w.Caller(world, host)
        status, _, _ = await caller.ask("GET", "/look/x", f"lookup-{number}")
        caller.close()
        if status == 200:
            break
    await asyncio.gather(*bookings)
    await asyncio.sleep(0.5)
    ended = [host.name for host in world.hosts if host.ended_with is not None]
    for host in world.hosts:
        text = (world.folder / f"{host.name}.log").read_text()
        if "terminate called" in text:
            world.record.note(f"{host.name} wrote: "
                              + " ".join(text.split("terminate")[1].split()))
    world.record.note(f"LOST: {len(lost)} bookings (allowed: {ALLOWED}); "
                      f"processes that ended by themselves: {ended}")
    if not w.trouble() and len(lost) + len(ended) == 0:
        return status == 200
    return len(lost) <= ALLOWED


w.main(FOLDER, play)
