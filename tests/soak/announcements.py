"""What servers announce in their answers, and the check that hosts keep to it."""

import asyncio
import time

KINDS = ["limit", "limit", "leaving", "pause"]
# From the platform's pages.
CONTACT_S = 3
WINDOW_S = 4
DRAIN_S = 2
# What is on its way when a host is told.
ON_ITS_WAY_S = 0.5
# Within this time, the keys of limited servers move to others.
MOVE_S = 5
# The fraction of requests that may be refused after it: moves go on as the load
# varies.
MAX_REFUSED = 0.02


class Announcements:
    """The announcements of one incarnation of a server, and to whom it has
    made them."""

    def __init__(self, server):
        self.server = server
        self.limit = None
        self.first_limited = None
        # The limits of the last seconds: time and limit.
        self.limits = []
        self.leaving = False
        self.pause_s = None
        # By host: when it was first told of a limit, and of the leaving; and
        # the pause that it was last told, with its requests since.
        self.told_limit = {}
        self.told_leaving = {}
        self.pauses = {}
        # Time, host of the caller, and sender of each request.
        self.arrivals = []

    def set_limit(self, limit):
        now = time.monotonic()
        self.limit = limit
        self.limits.append((now, limit))
        if limit is not None and self.first_limited is None:
            self.first_limited = now

    def fields(self):
        fields = {"X-From": f"{self.server.id} {self.server.born}"}
        if self.limit is not None:
            fields["Server-Limit"] = str(self.limit)
        if self.leaving:
            fields["Server-Leaving"] = "1"
        return fields

    def note_answer(self, sender):
        if self.leaving and sender:
            self.told_leaving.setdefault(sender, time.monotonic())

    def note_pause(self, sender):
        now = time.monotonic()
        if sender:
            self.pauses[sender] = [now, now + self.pause_s, 0]

    def note_passed_on(self, host, fields):
        """A caller of the host got an answer with these fields."""
        if "server-limit" in fields:
            self.told_limit.setdefault(host, time.monotonic())

    def excused(self, host, since):
        return host is not None and any(
            end is None or end > since for _, end in host.process_troubles)

    def check_arrival(self, request, sender):
        now = time.monotonic()
        # What was held up on its way is late through no fault of a host.
        if self.server.proxy.disturbed_until > now - CONTACT_S:
            return
        self.arrivals.append((now, request.host, sender))
        self.check_limit(now)
        if sender is None:
            return
        told = self.told_leaving.get(sender)
        if told and request.sent > told + DRAIN_S + 0.3 and not self.excused(
                sender, told):
            self.violate(f"DRAIN: {request} from {sender.name} "
                         f"{request.sent - told:.2f} s after it was told")
        pause = self.pauses.get(sender)
        if pause and pause[0] + ON_ITS_WAY_S < now < pause[1] and (
                not self.excused(sender, pause[0])):
            pause[2] += 1
            if pause[2] == 3:
                self.violate(f"BUDGET: {request} is the third from "
                             f"{sender.name}, {pause[1] - now:.2f} s before the "
                             "end of its pause")

    def check_limit(self, now):
        begin = now - WINDOW_S
        self.arrivals = [entry for entry in self.arrivals if entry[0] > begin]
        if self.limit is None or now < self.first_limited + CONTACT_S:
            return
        # The highest limit that may have been in force in the window.
        before = [limit for at, limit in self.limits if at <= begin - 1][-1:]
        limits = before + [limit for at, limit in self.limits if at > begin - 1]
        if None in limits or not before:
            return
        allowed = 1.5 * max(limits) * WINDOW_S + 5
        counted = [entry for entry in self.arrivals
                   if entry[0] > self.told_limit.get(entry[1], now)
                   + ON_ITS_WAY_S
                   and not self.excused(entry[1], begin - CONTACT_S)
                   and not self.excused(entry[2], begin - CONTACT_S)]
        if len(counted) > allowed:
            senders = {}
            for _, host, sender in counted:
                name = sender.name if sender else f"for {host.name}"
                senders[name] = senders.get(name, 0) + 1
            self.violate(f"LIMIT: {len(counted)} requests in {WINDOW_S} s, "
                         f"allowed {allowed:.0f}: {senders}")
            self.arrivals = []

    def violate(self, text):
        self.server.oracle.violate(f"{self.server.id}: {text}")


async def announce_often(soak, random):
    """Servers announce one thing after the other, some at the same time."""
    tasks = []
    while not soak.ending:
        kind = random.choice(KINDS)
        server = random.choice(soak.servers)
        length = random.uniform(1, 8)
        tasks.append(asyncio.create_task(
            announce(soak, random, kind, server, length)))
        await asyncio.sleep(random.uniform(0.3, 2))
    await asyncio.gather(*tasks)


async def announce(soak, random, kind, server, length):
    announced = server.announced
    free = server.up and not announced.leaving
    if not free:
        return
    if kind == "limit" and announced.limit is None:
        announced.set_limit(random.choice([0.2, 1, 3.5, 6.1, 6.1, 12]))
        soak.say(f"{server.id} limit {announced.limit} for {length:.1f} s")
        await asyncio.sleep(length)
        if random.random() < 0.3:
            announced.set_limit(round(random.uniform(1, 9), 1))
            await asyncio.sleep(length)
        announced.set_limit(None)
    elif kind == "pause" and announced.pause_s is None:
        announced.pause_s = random.choice([0.3, 1, 2.5, 6])
        soak.say(f"{server.id} pauses {announced.pause_s} s")
        await asyncio.sleep(min(length, 3))
        announced.pause_s = None
    elif kind == "leaving" and soak.has_others(server):
        announced.leaving = True
        soak.say(f"{server.id} leaves")
        await asyncio.sleep(DRAIN_S + 0.5 + length / 3)
        if server.up and server.announced is announced:
            await server.crash()
            await asyncio.sleep(length / 2)
            await server.start()


async def check_served_elsewhere(soak):
    """Some servers of keys are limited, the others have room for all."""
    limited = [server for server in soak.servers
               if server.service == "shelf" and server.up][:2]
    for server in limited:
        server.announced.set_limit(1.0)
    soak.say(f"{[server.id for server in limited]} limited to 1.0 for long")
    await asyncio.sleep(MOVE_S)
    before = dict(soak.callers.counts)
    await asyncio.sleep(MOVE_S)
    asked = {status: count - before.get(status, 0)
             for status, count in soak.callers.counts.items()}
    for server in limited:
        server.announced.set_limit(None)
    total, refused = sum(asked.values()), asked.get(503, 0)
    soak.say(f"{refused} of {total} requests refused meanwhile")
    if refused > MAX_REFUSED * total:
        soak.oracle.violate(f"{refused} of {total} requests refused while other "
                            "servers have room")
