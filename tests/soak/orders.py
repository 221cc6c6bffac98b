"""Faults of orders at the servers that get them: grants and releases."""

import asyncio
import time
import weakref

# What a server does with a part of the orders that it gets.
#   "twice"         answers them twice
#   "copy-later"    sends a copy of the answer where the next one is expected
#   "answer-lost"   carries them out and does not answer
#   "resets"        carries them out and resets the connection
#   "grant-late"    does not answer grants and carries them out later
#   "release-late"  answers releases later
ORDER_FAULTS = ["twice", "copy-later", "answer-lost", "resets", "grant-late",
                "release-late"]
FAULTY_PART = 0.6
# How long an order that gets no answer keeps its connection.
MUTE_S = 10


class OrderFaults:
    """The faults of one server; `kind` is None or one of ORDER_FAULTS."""

    def __init__(self, random):
        self.random = random
        self.kind = None
        # By connection: the answers whose copy comes before the next one.
        self.copies = weakref.WeakKeyDictionary()

    def choose(self):
        if self.kind is None or self.random.random() > FAULTY_PART:
            return None
        return self.kind

    def late_s(self):
        """Also while the grant's time has not run out, and long after."""
        return self.random.choice([self.random.uniform(0.3, 2.4),
                                   self.random.uniform(2, 12)])

    async def answer(self, request, carry_out, grant):
        """What is written as the answer. `carry_out` takes the time of arrival
        and returns the proper answer, None if the server has ended."""
        arrived = time.monotonic()
        writer = request.writer
        if copy := self.copies.pop(writer, None):
            writer.write(copy)
        kind = self.choose()
        if kind == "grant-late" and grant:
            asyncio.create_task(self.carry_out_late(carry_out, arrived))
            return await self.say_nothing(request)
        answer = await carry_out(arrived)
        if answer is None or kind == "resets":
            return None
        if kind == "answer-lost":
            return await self.say_nothing(request)
        if kind == "release-late" and not grant:
            await asyncio.sleep(self.random.uniform(0.2, 4))
        elif kind == "copy-later":
            self.copies[writer] = answer
        elif kind == "twice":
            return answer + answer
        return answer

    async def carry_out_late(self, carry_out, arrived):
        await asyncio.sleep(self.late_s())
        await carry_out(arrived)

    async def say_nothing(self, request):
        end = time.monotonic() + MUTE_S
        while time.monotonic() < end and not request.closed():
            await asyncio.sleep(0.05)


async def disturb_orders(soak, random):
    """Faults of orders in series that overlap, at times at most servers."""
    tasks = []
    while not soak.ending:
        kind = random.choice(ORDER_FAULTS)
        servers = random.choice([soak.servers, random.sample(
            soak.servers, max(1, len(soak.servers) // 4))])
        length = random.uniform(0.5, 4)
        soak.say(f"orders {kind} at {len(servers)} servers {length:.1f} s")
        tasks.append(asyncio.create_task(disturb(servers, kind, length)))
        await asyncio.sleep(random.uniform(0.5, 4))
    await asyncio.gather(*tasks)


async def disturb(servers, kind, length):
    for server in servers:
        server.order_faults.kind = kind
    await asyncio.sleep(length)
    for server in servers:
        if server.order_faults.kind == kind:
            server.order_faults.kind = None
