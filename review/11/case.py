"""Some time after the store was down, a service's endpoints are replaced in
four releases. RULES.md, DRAIN: later than `drain` after its entry is gone, no
request may reach an endpoint that leaves."""

import asyncio
import os
import pathlib
import sys
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from lab import CONTACT_S, Lab, play, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DOWN_S = 8.0
DRAIN_S = 2.0
# "It continues serving for `drain` ... and a little longer (at times many
# seconds), and then exits."
LONGER_S = 4.0
PER_S = 100


# "release": 0.45 of a service's endpoints are replaced, one each second; the new
# one starts first. 3 of 7.
RELEASES = 4
RELEASED = 3
GAP_S = 1.0
PAUSE_S = 4.0


class Drain(Lab):
    def __init__(self):
        super().__init__(
            FOLDER, 8, {"callouts": 7},
            {"bookings": route("/booking/", "non_idempotent", "callouts",
                               attempts=2)})
        # By id of an endpoint that leaves: when its entry was removed.
        self.removed = {}
        self.sent = {}
        self.senders = {}
        self.late = []
        self.at_work = {}
        self.lost = []
        self.statuses = {}
        self.releasing = set()

    def note_arrival(self, endpoint, request, attempt):
        removed = self.removed.get(endpoint.id)
        if removed is None or time.monotonic() - removed <= DRAIN_S:
            return
        after_s = time.monotonic() - removed
        sent_s = self.sent[attempt] - removed
        self.record.say(
            f"{attempt}, sent to {self.senders[attempt]} at {sent_s:.2f} s, "
            f"reaches {endpoint.id} {after_s:.2f} s after its entry was "
            f"removed")
        # Counted only if its requester sent it after the bound, too.
        if sent_s > DRAIN_S:
            self.late.append(attempt)

    def note_run(self, endpoint, request, attempt):
        if endpoint.id in self.removed:
            self.at_work[attempt] = endpoint.id

    def note_end(self, endpoint, attempt):
        self.at_work.pop(attempt, None)

    async def call(self, number):
        host = self.random.choice(self.hosts)
        attempt = self.new_attempt()
        self.sent[attempt] = time.monotonic()
        self.senders[attempt] = host.name
        _, status = await self.ask(host, "POST", f"/booking/{number}", 1000,
                                   attempt, b"booking")
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.record.say(f"{attempt} POST at {host.name}: {status}")

    async def call_often(self):
        number = 0
        while True:
            number += 1
            self.spawn(self.call(number))
            await asyncio.sleep(self.random.expovariate(PER_S))

    async def replace(self, old):
        """A new endpoint starts; then the old one's entry is removed, it
        serves on for a while and exits."""
        new = self.add_endpoint(old.service, old.zone)
        await new.start()
        self.spawn(new.keep_registered())
        await asyncio.sleep(GAP_S)
        old.leave()
        self.removed[old.id] = time.monotonic()
        self.record.say(f"{old.id} leaves, replaced by {new.id}")
        await asyncio.sleep(DRAIN_S + LONGER_S)
        lost = sorted(a for a, id in self.at_work.items() if id == old.id)
        self.lost += lost
        self.record.say(f"{old.id} exits, at work on {len(lost)} bookings: "
                        f"{' '.join(lost)}")
        old.end()

    async def play(self):
        if not await self.start():
            return 2
        self.spawn(self.call_often())
        await asyncio.sleep(3)
        if TROUBLE:
            self.store.down = True
            self.record.say("the store is down: it does not answer")
        await asyncio.sleep(DOWN_S)
        self.store.down = False
        self.record.say("the store is up")
        await asyncio.sleep(CONTACT_S + 3)
        for _ in range(RELEASES):
            for _ in range(RELEASED):
                old = next(e for e in self.endpoints
                           if e.up and e.id not in self.removed
                           and e not in self.releasing)
                self.releasing.add(old)
                self.spawn(self.replace(old))
                await asyncio.sleep(GAP_S)
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(DRAIN_S + LONGER_S)
        self.record.say(f"answers: {self.statuses}")
        self.record.say(f"requests that were sent and reached endpoints later "
                        f"than drain: {len(self.late)}; bookings lost when "
                        f"they exited: {len(self.lost)}")
        self.record.say("DRAIN is broken" if self.late else "the rule held")
        return 1 if self.late else 0


sys.exit(play(Drain))
