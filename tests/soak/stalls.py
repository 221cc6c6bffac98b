"""Leaders that stall or are short of processor time, and servers that leave in
groups meanwhile."""

import asyncio
import signal

from hosts import trouble
from servers import REUSE_S

# Of each period of a leader that is short of processor time, it stands still
# for the first part.
STARVED_S = 0.08
PERIOD_S = 0.1
# The part of the keyed servers that leaves at once.
GROUP_PART = 3
SERVICE = "shelf"


def leader(hosts):
    """The host that leads the highest term by the hosts' logs; None before."""
    newest = max(hosts, key=lambda host: host.newest_led_term())
    return newest if newest.led_term else None


async def stall(host, length):
    async with host.lock:
        with trouble([host], True):
            host.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(length)
            host.go_on()


async def starve(host, length):
    """The rules excuse nothing that a host does with little processor time."""
    async with host.lock:
        with trouble([host], True):
            for _ in range(int(length / PERIOD_S)):
                host.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(STARVED_S)
                host.process.send_signal(signal.SIGCONT)
                await asyncio.sleep(PERIOD_S - STARVED_S)


async def disturb_leaders(soak, random):
    while not soak.ending:
        host = leader(soak.hosts)
        if host is not None:
            how = random.choice([stall, stall, starve])
            length = random.uniform(0.4, 3)
            soak.say(f"{how.__name__} {host.name}, which leads term "
                     f"{host.led_term}, {length:.1f} s")
            await how(host, length)
        await asyncio.sleep(random.choice([0.1, 0.5, 2, 5]))


async def leave_in_groups(soak, random):
    """Servers announce in their entries that they leave; then the entries go,
    the servers end, and others come at their addresses."""
    tasks = []
    while not soak.ending:
        staying = [server for server in soak.servers
                   if server.service == SERVICE and server.up
                   and server.state == "ready"]
        group = random.sample(staying, len(staying) // GROUP_PART)
        length = random.uniform(0.5, 3)
        soak.say(f"{len(group)} of {len(staying)} servers leave, for "
                 f"{length:.1f} s")
        tasks += [asyncio.create_task(leave(
            server, length, random.uniform(0, 0.3),
            random.choice([0.3, REUSE_S])))
            for server in group]
        await asyncio.sleep(random.uniform(2, 6))
    await asyncio.gather(*tasks)


async def leave(server, length, until_gone, until_back):
    born = server.born
    server.state = "draining"
    await asyncio.sleep(length)
    if server.born == born:
        server.state = "gone"
        server.unlist()
        await asyncio.sleep(until_gone)
    if server.up and server.born == born:
        await server.crash()
        await asyncio.sleep(until_back)
        server.state = "ready"
        if until_back >= REUSE_S:
            server.id = f"{server.service}-{server.number}-{born}"
        await server.start()
    server.state = "ready"
