"""Stand-ins for backend servers, with the oracle of what they run."""

import asyncio
import json
import time

from announcements import Announcements
from http_server import format_answer, serve
from orders import OrderFaults
from ownership import Lease, Ownership
from ranges import Ranges

SLOTS = 6
# How long a request takes that does not say it.
WORK_S = 0.02
KEYS = 65536
# The clocks of some servers, which measure their leases, run slow.
SLOW_CLOCK = 1.02
# An address is used again after this time.
REUSE_S = 2.0
WRONG_ANSWERS = ["early", "twice", "rejects", "spoils", "says-not-run"]


def body_of(attempt, size):
    """The body of a request: its own bytes, whatever part is looked at."""
    text = f"{attempt}.".encode()
    return (text * (size // len(text) + 1))[:size]


class Oracle:
    """What callers sent and servers have run. Violations are collected as
    texts."""

    def __init__(self):
        # By attempt.
        self.requests = {}
        self.runs = {}
        self.given = {}
        self.violations = []
        self.began = time.monotonic()
        self.servers = []
        self.hosts = []
        self.ownership = Ownership(self)

    def violate(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.violations.append(f"{at - self.began:.2f} s: {text}")

    def note_run(self, server, received, attempt):
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        request = self.requests.get(attempt)
        if request is None or (received.method, received.target) != (
                request.method, request.target):
            self.violate(f"{server.id} runs what nobody sent: {attempt} "
                         f"{received.method} {received.target}")
            return
        if self.runs[attempt] > 1 and not request.repeatable:
            self.violate(f"{request} has run twice")
        may = self.changes.in_force(request.host, request.sent,
                                    time.monotonic())
        if not any(server.service in version.services(request.path)
                   for version in may):
            ever = any(server.service in version.services(request.path)
                       for version in self.changes.versions)
            self.violate(f"{'CONFIG' if ever else 'ROUTE'}: {request} run by "
                         f"{server.id}; in force "
                         f"{[version.number for version in may]}")
        elif regress := self.changes.note_effect(request, server.service):
            self.violate(f"CONFIG: {request} run by {server.id}, {regress}")

    def check_body(self, server, attempt, body):
        request = self.requests.get(attempt)
        if request and body != body_of(attempt, request.body_bytes):
            self.violate(f"{server.id} got another body of {request}: "
                         f"{len(body)} bytes, {body[:40]!r}")


class Work:
    """A request that is worked on; `key` is None without one."""

    def __init__(self, attempt, key):
        self.attempt = attempt
        self.key = key


class Server:
    def __init__(self, random, oracle, store, number, service, address,
                 entry_address):
        self.random = random
        self.oracle = oracle
        self.store = store
        self.number = number
        self.id = f"{service}-{number}"
        self.service = service
        self.address = address
        # Where hosts reach it: its proxy.
        self.entry_address = entry_address
        self.up = False
        self.born = 0
        self.seq = 0
        self.at_work = []
        # Spoils a part of the answers; one of WRONG_ANSWERS.
        self.wrong_answers = None
        self.writers = set()
        self.leases = Ranges()
        # The leases that it was given last, released or not.
        self.promised = Ranges()
        self.seen = []
        # "ready", "draining", or "gone" from the store's list.
        self.state = "ready"
        self.order_faults = OrderFaults(random)
        # Some servers name the order that they answer.
        self.echoes = number % 3 > 0
        self.listener = None
        # Passes the hosts' requests on.
        self.proxy = None
        self.announced = Announcements(self)
        oracle.servers.append(self)

    async def start(self):
        self.up = True
        self.born += 1
        self.seq = 0
        self.leases = Ranges()
        self.promised = Ranges()
        self.seen = []
        self.at_work = []
        self.announced = Announcements(self)
        self.writers = set()
        self.listener = await serve(self.address, self.handle, self.writers)

    async def crash(self):
        self.up = False
        self.listener.close()
        self.leases = Ranges()
        self.at_work = []
        for writer in list(self.writers):
            writer.transport.abort()

    async def replace(self, service, length):
        """Ends for good; a server of `service` takes over the address."""
        await self.crash()
        await asyncio.sleep(length)
        self.unlist()
        await asyncio.sleep(REUSE_S)
        self.service = service
        self.id = f"{service}-{self.number}-{self.born}"
        await self.start()

    def unlist(self):
        self.store.put("keyed.servers", self.id, None)

    async def keep_registered(self):
        while True:
            if self.up and not self.store.down and self.state != "gone":
                self.seq += 1
                self.store.put("keyed.servers", self.id, {
                    "address": "%s:%d" % self.entry_address, "born": self.born,
                    "info": {"service": self.service, "zone": "z1",
                             "version": "v1", "slots": SLOTS},
                    "status": {"state": self.state, "seq": self.seq,
                               "warmup_left": "0ms"}})
            await asyncio.sleep(0.4)

    def holds(self, key):
        lease = self.leases.at(key)
        return lease is not None and lease.end > time.monotonic()

    def grant(self, order, sender, arrived):
        first, last, fence = order["from"], order["target"], order["fence"]
        if any(low <= last and first <= high and seen > fence
               for low, high, seen in self.seen):
            return 409
        hold_s = float(order["hold_time"].removesuffix("ms")) / 1000
        hold_s *= SLOW_CLOCK if self.number % 2 else 1
        self.seen = [s for s in self.seen
                     if not (first <= s[0] and s[1] <= last)]
        self.seen.append((first, last, fence))
        lease = Lease(fence, arrived, hold_s, self.proxy.delays())
        if lease.end > time.monotonic():
            self.oracle.ownership.check_grant(self, first, last, lease, sender)
            self.leases.assign(first, last, lease)
            self.promised.assign(first, last, lease)
        return 200

    async def release(self, order):
        """No new work begins on the keys; ends with the work that runs."""
        first, last = order["from"], order["target"]
        self.leases.cut(first, last)
        running = [work for work in self.at_work
                   if work.key is not None and first <= work.key <= last]
        self.oracle.ownership.note_release(bool(running))
        while any(work in self.at_work for work in running):
            await asyncio.sleep(0.01)

    async def take_order(self, request, born, sender):
        order = json.loads(await request.read_body())
        fields = {}
        if self.echoes and "x-attempt-id" in request.fields:
            fields["X-Attempt-Id"] = request.fields["x-attempt-id"]

        async def carry_out(arrived):
            if not self.up or born != self.born:
                return None
            if request.target == "/grant":
                return format_answer(self.grant(order, sender, arrived),
                                     fields, b"")
            await self.release(order)
            return format_answer(200, fields | {"X-Handover": "h"}, b"")

        return await self.order_faults.answer(request, carry_out,
                                              request.target == "/grant")

    async def handle(self, request):
        born = self.born
        if not self.up:
            return None
        target = request.fields.get("x-target-instance")
        if target not in (None, self.id):
            return format_answer(421, {"X-Not-Executed": "1"}, b"")
        sender = self.proxy.senders.get(
            request.writer.get_extra_info("peername")[1])
        if request.target in ("/grant", "/release"):
            return await self.take_order(request, born, sender)
        wrong = self.wrong_answers if self.random.random() < 0.3 else None
        attempt = request.fields.get("x-attempt-id", "")
        if wrong != "early":
            self.oracle.check_body(self, attempt, await request.read_body())
        answer = await self.run(request, attempt, wrong, born, sender)
        if answer is not None:
            self.announced.note_answer(sender)
        if wrong == "early" and answer is not None:
            request.writer.write(answer)
            await asyncio.sleep(0.05)
            self.oracle.check_body(self, attempt, await request.read_body())
            return b""
        if wrong == "twice" and answer is not None:
            request.writer.write(answer)
            await asyncio.sleep(self.random.choice([0, 0, 0.03]))
        return answer

    def answer(self, status, attempt, signed=True, body=b""):
        fields = {"X-Attempt-Id": attempt} | self.announced.fields()
        if signed:
            fields["X-Server-Signature"] = "s"
            fields["X-Server-Load"] = f"{len(self.at_work)},0,{SLOTS},100"
            self.oracle.given.setdefault(attempt, set()).add(status)
        return format_answer(status, fields, body)

    def outlasts(self, work):
        """Whether the lease that covers the work has run out. A release leaves
        it as it was for work that runs."""
        if work.key is None:
            return False
        lease = self.promised.at(work.key)
        return lease is None or lease.end <= time.monotonic()

    async def work(self, request, work, wrong, sender):
        """Returns whether the work came to its end: a server drops a request
        whose connection closes. Work ends with its lease."""
        work_s = float(request.fields.get("x-work-s", WORK_S))
        known = self.oracle.requests.get(work.attempt)
        noted = known and self.oracle.leavers.note_work(known, self, sender,
                                                        work_s)
        end = time.monotonic() + (0 if wrong == "early" else work_s)
        closed = False
        while (left_s := end - time.monotonic()) > 0 and not (
                closed or self.outlasts(work)):
            await asyncio.sleep(min(left_s, WORK_S))
            closed = work_s > WORK_S and request.closed()
        if noted:
            noted.end = time.monotonic()
        return not closed

    async def run(self, request, attempt, wrong, born, sender):
        not_run = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
        not_run |= self.announced.fields()
        key = request.fields.get("x-shard-key")
        if self.service == "shelf" and not self.holds(int(key or -1)):
            return format_answer(421, not_run, b"")
        if attempt in self.oracle.requests:
            self.announced.check_arrival(self.oracle.requests[attempt], sender)
        if self.announced.pause_s is not None:
            self.announced.note_pause(sender)
            not_run["Retry-After"] = str(self.announced.pause_s)
            return format_answer(503, not_run, b"")
        if len(self.at_work) >= 2 * SLOTS:
            return format_answer(503, not_run, b"")
        if wrong == "says-not-run":
            return format_answer(400, not_run, b"")
        work = Work(attempt, int(key) if self.service == "shelf" else None)
        self.at_work.append(work)
        self.oracle.note_run(self, request, attempt)
        if work.key is not None:
            self.oracle.ownership.note_begin(self, work.key, attempt)
        ended = await self.work(request, work, wrong, sender)
        if work in self.at_work:
            self.at_work.remove(work)
        if not ended or not self.up or born != self.born:
            return None
        if self.outlasts(work):
            return self.answer(500, attempt)
        if wrong == "rejects":
            return self.answer(self.random.choice([302, 400, 403, 404, 409]),
                               attempt, self.random.random() < 0.3)
        answer = self.answer(200, attempt, True, f"own {attempt}".encode())
        if wrong == "spoils":
            return self.random.choice([
                answer.replace(b"HTTP/1.1 200", b"HTTP/1.1 404").replace(
                    b"X-Server-S", b"X-Server-?"),
                answer.replace(b"X-Server-Signature", b"X-S\0rver-Signature"),
                answer.replace(b"HTTP/1.1", b"HT\xffP/1.1"),
                b"\0\0" + answer, answer + b"HTTP/1.1 404 X\r\n\r\n",
                answer[:-3]])
        return answer
