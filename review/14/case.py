"""A request that crashes each endpoint that begins to run it comes again, with
the same path, caller and body. RULES.md, BUDGET: later than `contact` after
the third crash, it may reach endpoints in no more than three retries."""

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
PATH = "/desk/diagram-771"
# "The endpoint is back after some seconds."
BACK_AFTER_S = 3.0
RETRY_EVERY_S = 2.5
LENGTH_S = 30
MAX_RETRIES = 3


class Poison(Lab):
    def __init__(self):
        super().__init__(
            FOLDER, 8, {"workshop-desk": 6, "callouts": 7},
            {"diagrams": route("/desk/", "idempotent", "workshop-desk"),
             "deposits": route("/deposit/", "non_idempotent",
                               "workshop-desk"),
             "bookings": route("/booking/", "non_idempotent", "callouts")})
        self.crashes = []
        # Retries of the request that reached an endpoint: by id, the time.
        self.reached = {}
        self.deposits_at_work = {}
        self.lost_deposits = 0
        self.statuses = {}

    def note_arrival(self, endpoint, request, attempt):
        if request.start.split(" ")[1] == PATH:
            self.reached.setdefault(attempt, time.monotonic())
            self.record.say(f"{attempt} GET {PATH} reaches {endpoint.id}")

    def note_run(self, endpoint, request, attempt):
        target = request.start.split(" ")[1]
        if target == PATH and TROUBLE:
            self.crashes.append(time.monotonic())
            lost = [a for a, id in self.deposits_at_work.items()
                    if id == endpoint.id]
            self.lost_deposits += len(lost)
            self.record.say(f"{endpoint.id} runs {attempt}, crash number "
                            f"{len(self.crashes)}; with it end {len(lost)} "
                            f"deposits of other callers: {' '.join(lost)}")
            endpoint.crash(BACK_AFTER_S)
            return "crash"
        if target.startswith("/deposit/"):
            self.deposits_at_work[attempt] = endpoint.id
        return None

    def note_end(self, endpoint, attempt):
        self.deposits_at_work.pop(attempt, None)

    async def call(self, method, path):
        host = self.random.choice(self.hosts)
        attempt, status = await self.ask(host, method, path, 1000)
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.record.say(f"{attempt} {method} {path} at {host.name}: {status}")

    async def call_often(self, method, prefix, per_s):
        number = 0
        while True:
            number += 1
            self.spawn(self.call(method, f"{prefix}{number}"))
            await asyncio.sleep(self.random.expovariate(per_s))

    async def play(self):
        if not await self.start():
            return 2
        self.spawn(self.call_often("POST", "/deposit/", 30))
        self.spawn(self.call_often("GET", "/desk/other-", 30))
        await asyncio.sleep(2)
        end = time.monotonic() + LENGTH_S
        while time.monotonic() < end:
            host = self.random.choice(self.hosts)
            attempt, status = await self.ask(host, "GET", PATH, 1000)
            self.record.say(f"{attempt} GET {PATH} at {host.name}: {status}")
            await asyncio.sleep(RETRY_EVERY_S)
        return self.judge()

    def judge(self):
        late = []
        if len(self.crashes) >= 3:
            since = self.crashes[2] + CONTACT_S
            late = [a for a, at in self.reached.items() if at > since]
        self.record.say(f"crashes: {len(self.crashes)}; deposits of other "
                        f"callers that ended with them: {self.lost_deposits}; "
                        f"answers to other callers: {self.statuses}")
        self.record.say(f"retries that reached endpoints later than contact "
                        f"after the third crash: {len(late)}, allowed "
                        f"{MAX_RETRIES}: {' '.join(late)}")
        broken = len(late) > MAX_RETRIES
        if not TROUBLE and (self.crashes or not self.reached):
            return 2
        self.record.say("BUDGET is broken" if broken else "the rule held")
        return 1 if broken else 0


sys.exit(play(Poison))
