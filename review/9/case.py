"""A caller sends a field of 70,000 bytes, within the configured limit. See
claim.txt."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world as w  # noqa: E402

CALLERS_PER_HOST = 6
MAX_HEADER_BYTES = 128 << 10
# The large field; without trouble, one that is a little smaller.
FIELD_BYTES = 70000 if w.trouble() else 60000
# LOST: "more than three times".
ALLOWED = 3


async def play(world):
    world.servers = [w.Server(world, "wuno96b", i, work_s=0.6)
                     for i in range(6)]
    world.hosts = [w.Host(world, 1), w.Host(world, 2)]
    world.configure(7, {
        "r-booking": w.route("wuno96b", "non_idempotent", prefix="/book/",
                             target="1000ms"),
        "r-lookup": w.route("wuno96b", prefix="/look/", target="1000ms")},
        {"wuno96b": w.service()}, max_header_bytes=MAX_HEADER_BYTES)
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
        ran = sum(attempt + "-b" in server.ran for server in world.servers)
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
        status, _, _ = await caller.ask(
            "GET", "/look/x", f"lookup-{number}",
            fields={"Cookie": "session=" + "f" * (FIELD_BYTES - 8)})
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
