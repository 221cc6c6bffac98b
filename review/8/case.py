"""A faulty server ends its answers to grants with a long line. See
claim.txt."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world as w  # noqa: E402

LINE_BYTES = 70000
PLAY_S = 30
# Requests that are sent in the last seconds of the play are counted apart.
LAST_S = 10
WORK_S = 0.2
# LOST: "more than three times".
ALLOWED = 3


def faulty_reply(order_id):
    """An answer in chunks; in trouble, bytes that are no part of an answer
    follow the last chunk."""
    rest = b"noise: " + b"#" * LINE_BYTES + b"\r\n" if w.trouble() else b""
    return (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {order_id}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode() + (
                b"2\r\n{}\r\n0\r\n" + rest + b"\r\n")


async def play(world):
    servers = [w.KeyedServer(world, "huvo11a", i, WORK_S) for i in range(8)]
    faulty, sound = servers[0], servers[1:]
    world.servers = servers
    world.hosts = [w.Host(world, number) for number in range(1, 5)]
    keyed = w.service() | {"sharded": True, "warm": "2s", "grants": "call"}
    world.configure(7, {"r-lookup": w.route("huvo11a", timeout="1000ms")},
                    {"huvo11a": keyed})
    await world.start()
    faulty.grant_reply = faulty_reply
    if w.trouble():
        world.record.note(f"{faulty.id} turns faulty")
    end = asyncio.get_running_loop().time() + PLAY_S
    for host in world.hosts:
        world.tasks.append(asyncio.create_task(host.keep_running()))
    counts = {"before": [0, 0], "last": [0, 0]}
    lost = []

    async def look_up(number):
        """Lookups one after the other, on kept connections to each host."""
        choose = random.Random(number)
        callers = [w.Caller(world, host) for host in world.hosts]
        sent = 0
        while (left_s := end - asyncio.get_running_loop().time()) > 0:
            caller = choose.choice(callers)
            kept = caller.writer is not None
            sent += 1
            attempt = f"lookup-{number}-{sent}"
            status, _, _ = await caller.ask(
                "GET", "/lepu270/x", attempt, 1000,
                {"X-Shard-Key": choose.randrange(65536)})
            count = counts["last" if left_s < LAST_S else "before"]
            count[0] += 1
            count[1] += status == 200
            ran = any(attempt in server.ran for server in sound)
            if status is None and ran and kept:
                lost.append(attempt)
                world.record.note(f"{attempt} was passed on to a sound server,"
                                  " and its connection ended without an answer")
            await asyncio.sleep(0.02)
        for caller in callers:
            caller.close()

    await asyncio.gather(*(look_up(number) for number in range(16)))
    for name, (sent, served) in counts.items():
        world.record.note(f"lookups, {name}: {served} of {sent} served")
    ends = {host.name: host.ends for host in world.hosts}
    text = "".join(path.read_text() for path in world.folder.glob("*.log"))
    # A fence is the term of its leader times 2^20, plus a count.
    terms = {fence >> 20 for server in servers for fence in server.fences}
    world.record.note(f"terms of the grants that came: {min(terms)} to "
                      f"{max(terms)}, {len(terms)} in all")
    world.record.note(f"{text.count('terminate called')} times the logs say "
                      "'terminate called'")
    world.record.note(f"LOST: {len(lost)} lookups (allowed: {ALLOWED}); "
                      f"processes that ended by themselves: {ends}")
    if not w.trouble():
        sent, served = counts["last"]
        return not any(ends.values()) and not lost and served > 0.8 * sent
    return len(lost) <= ALLOWED


w.main(FOLDER, play)
