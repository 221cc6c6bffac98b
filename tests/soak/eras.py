"""The store comes back from a copy that is some seconds old: alone, with its
leader killed, with a start of all hosts, and with a move of keys under way."""

import asyncio
import contextlib
import signal
import time

from hosts import trouble
from servers import REUSE_S
from stalls import GROUP_PART, SERVICE, leader, leave

# The oldest copy.
MAX_AGE_S = 5


async def lose_alone(soak, random):
    await recover(soak, random)


async def lose_with_leader(soak, random):
    host = leader(soak.hosts)
    async with host.lock:
        with trouble([host], True):
            await host.end(signal.SIGKILL)
            await recover(soak, random)
            await asyncio.sleep(random.uniform(0, 2))
            await host.start()


async def lose_with_all_hosts(soak, random):
    async with contextlib.AsyncExitStack() as locks:
        for host in soak.hosts:
            await locks.enter_async_context(host.lock)
        with trouble(soak.hosts, True):
            for host in soak.hosts:
                await host.end(signal.SIGKILL)
            await recover(soak, random)
            for host in soak.hosts:
                await host.start()


async def lose_with_move(soak, random):
    staying = [server for server in soak.servers
               if server.service == SERVICE and server.up]
    group = random.sample(staying, max(1, len(staying) // GROUP_PART))
    leaving = [asyncio.create_task(leave(server, random.uniform(2, 4), 0.2,
                                         REUSE_S))
               for server in group]
    await asyncio.sleep(random.uniform(0, 0.6))
    await recover(soak, random)
    await asyncio.gather(*leaving)


async def recover(soak, random):
    age_s, down_s = random.uniform(0.3, MAX_AGE_S), random.uniform(0.1, 2)
    soak.say(f"the store goes back by {age_s:.2f} s after {down_s:.2f} s")
    lost = await soak.store.recover(age_s, down_s)
    soak.say(f"era {soak.store.era}; lost records: {lost}")


async def lose_records(soak, random):
    kinds = [lose_alone, lose_with_leader, lose_with_all_hosts, lose_with_move]
    random.shuffle(kinds)
    for kind in kinds:
        # No copy is older than the first service, or than the last loss.
        await asyncio.sleep(MAX_AGE_S + 1)
        soak.say(kind.__name__)
        with trouble(soak.hosts):
            await kind(soak, random)
        begun = time.monotonic()
        if not soak.owner_faults:
            await soak.await_service(f"end of {kind.__name__}")
            soak.say(f"served after {time.monotonic() - begun:.1f} s")
