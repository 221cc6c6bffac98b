"""Callers: what they send, and what their answers must keep to."""

import asyncio
import time

from changes import FIXED, KEYED, KINDS, MOVED, OPTIONAL
from servers import KEYS, body_of

DEADLINE_S = 2.0
# Proper forms of a request's first lines.
FORMS = ["{method} {path} HTTP/1.1\r\nHost: a.example\r\n"] * 96 + [
    "{method} {path} HTTP/1.1\r\nhost:A.Example:80\r\n",
    "{method} {path}?to=/s0/&a HTTP/1.1\r\nHost: a.example\r\n",
    "{method} http://a.example{path} HTTP/1.1\r\nHost: a.example\r\n",
    "\r\n{method} {path} HTTP/1.1\r\nHost: a.example\r\n"]
# With these a host promises that a request has not run.
PROMISES = (408, 421, 429, 503)


class Request:
    """A request with its bytes and, when it has ended, its answer."""

    def __init__(self, attempt, host, method, prefix, key=None, body_bytes=0,
                 chunk=0, fill_to=0, form=FORMS[0], deadline_s=DEADLINE_S,
                 work_s=None):
        self.attempt = attempt
        self.host = host
        self.method = method
        self.path = prefix + attempt
        self.repeatable = KINDS[prefix] != "non_idempotent"
        self.key = key
        self.body_bytes = body_bytes
        self.form = form
        head = (form.format(method=method, path=self.path) +
                f"X-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: {int(deadline_s * 1000)}\r\n")
        if work_s is not None:
            head += f"X-Work-S: {work_s}\r\n"
        if key is not None:
            head += f"X-Shard-Key: {key}\r\n"
        head += ("Transfer-Encoding: chunked\r\n" if chunk
                 else f"Content-Length: {body_bytes}\r\n")
        fill = fill_to - len(head) - len("X-Fill: \r\n\r\n")
        if fill > 0:
            head += f"X-Fill: {'f' * fill}\r\n"
        head += "\r\n"
        self.head_bytes = len(head)
        # What a server gets, whatever the form was.
        self.target = head.split()[1].removeprefix("http://a.example")
        body = body_of(attempt, body_bytes)
        if chunk:
            parts = [body[i:i + chunk] for i in range(0, len(body), chunk)]
            body = b"".join(b"%x\r\n%s\r\n" % (len(part), part)
                            for part in parts + [b""])
        self.bytes = head.encode() + body
        # When its caller closed the connection, if it did.
        self.left = None
        self.status = None
        self.fields = {}
        self.body = b""

    def __str__(self):
        key = "no key" if self.key is None else f"key {self.key}"
        form = "" if self.form == FORMS[0] else f"form {self.form!r}, "
        return (f"{self.attempt} ({self.method} {self.path}, {form}{key}, head "
                f"{self.head_bytes}, body {self.body_bytes}, {self.host.name})")


class Callers:
    def __init__(self, random, hosts, changes, oracle):
        self.random = random
        self.hosts = hosts
        self.changes = changes
        self.oracle = oracle
        self.counts = {}
        self.refused = []
        self.stopping = False

    def new(self, host, method, prefix, **how):
        attempt = f"t{len(self.oracle.requests) + 1}"
        request = Request(attempt, host, method, prefix, **how)
        self.oracle.requests[attempt] = request
        return request

    async def ask(self, host, requests, kept=None):
        """Sends the requests at once, on a connection of `kept` by host where
        there is one; returns the first one's status, None without an answer."""
        for request in requests:
            request.sent = time.monotonic()
        try:
            await asyncio.wait_for(
                self.exchange(host, requests, {} if kept is None else kept),
                DEADLINE_S + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError):
            pass
        for request in requests:
            self.counts[request.status] = self.counts.get(request.status, 0) + 1
            if request.status is not None:
                self.judge(request)
        return requests[0].status

    async def exchange(self, host, requests, kept):
        reader, writer, since = kept.pop(host, (None, None, 0))
        idle_s = min(v.idle_s for v in self.changes.in_force(
            host, time.monotonic(), time.monotonic()))
        if reader is None or time.monotonic() - since > 0.8 * idle_s:
            if writer:
                writer.close()
            reader, writer = await asyncio.open_connection(*host.callers)
        usable = False
        try:
            data = b"".join(request.bytes for request in requests)
            if self.random.random() < 0.05:
                # Arrives in two parts.
                part = self.random.randrange(len(data))
                writer.write(data[:part])
                data = data[part:]
                await asyncio.sleep(self.random.uniform(0, 0.5))
            writer.write(data)
            for request in requests:
                usable = False
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                fields = {}
                for line in lines[1:-2]:
                    name, _, value = line.partition(":")
                    fields[name.lower()] = value.strip()
                request.body = await reader.readexactly(
                    int(fields.get("content-length", 0)))
                request.fields = fields
                request.status = int(lines[0].split()[1])
                request.answered = time.monotonic()
                usable = fields.get("connection", "").lower() != "close"
                if not usable:
                    break
        finally:
            if usable:
                kept[host] = (reader, writer, time.monotonic())
            else:
                writer.close()

    def judge(self, request):
        status, attempt = request.status, request.attempt
        signed = "x-server-signature" in request.fields
        for server in self.oracle.servers:
            if request.fields.get("x-from") == f"{server.id} {server.born}":
                server.announced.note_passed_on(request.host, request.fields)
        if request.fields.get("x-attempt-id", attempt) != attempt:
            self.oracle.violate(f"{request} got an answer to "
                                f"{request.fields['x-attempt-id']}")
        if 200 <= status < 300 and (
                not signed or request.body != f"own {attempt}".encode()):
            self.oracle.violate(f"{request} got {status} {request.body!r}")
        if signed and status not in self.oracle.given.get(attempt, ()):
            self.oracle.violate(f"{request} got {status}, given by no server")
        if status in PROMISES:
            self.refused.append(attempt)
        elif 300 <= status < 500 and not signed:
            self.judge_denied(request)

    def judge_denied(self, request):
        may = self.changes.in_force(request.host, request.sent,
                                    request.answered)
        if all(version.allows(request) for version in may):
            self.oracle.violate(
                f"DENIED {request.status}: {request}; in force "
                f"{[version.number for version in may]}")
        elif request.status in (401, 403, 404) and all(
                version.services(request.path)
                for version in self.changes.versions):
            self.oracle.violate(f"DENIED {request.status}: {request}; each "
                                f"version has the route")

    def choose(self, host, chosen):
        """A random request that the smallest limits in force allow."""
        now = time.monotonic()
        may = self.changes.in_force(host, now, now)
        newest = may[-1].config["routes"]
        part = self.random.random()
        if part < 0.4:
            entry = self.random.choice(list(FIXED.values()))
        elif part < 0.9:
            entry = newest[self.random.choice(
                [name for name in MOVED | OPTIONAL if name in newest])]
        elif part < 0.95:
            entry = self.random.choice(list(OPTIONAL.values()))
        else:
            entry = self.random.choice(list(newest.values()))
        prefix = entry["path_prefix"]
        how = {"form": self.random.choice(FORMS)}
        # Few requests lack a key that they may need.
        keyed = any(version.services(prefix) & KEYED for version in may)
        if self.random.random() < (0.95 if keyed else 0.5):
            how["key"] = self.random.randrange(KEYS)
        if chosen > 0 or KINDS[prefix] == "download" or (
                KINDS[prefix] == "idempotent" and self.random.random() < 0.7):
            method = "GET"
        else:
            method = "POST"
            limit = min(360 << 10, min(version.body for version in may))
            how["body_bytes"] = self.random.choice(
                [0, 300] * 5 + [self.random.randrange(limit), limit])
            if self.random.random() < 0.4:
                how["chunk"] = self.random.choice([100, 4096, 65536])
        if self.random.random() < 0.3:
            limit = min(version.head for version in may)
            how["fill_to"] = self.random.choice(
                [limit, self.random.randrange(limit)])
        return self.new(host, method, prefix, **how)

    async def call_often(self, pause_s):
        # Used until their host is gone.
        kept = {}
        hosts = self.random.sample(self.hosts, min(4, len(self.hosts)))
        while not self.stopping:
            host = self.random.choice(hosts)
            requests = [self.choose(host, 0)]
            if requests[0].method == "GET" and self.random.random() < 0.1:
                for i in range(self.random.randint(1, 5)):
                    following = self.choose(host, i + 1)
                    if following.repeatable:
                        requests.append(following)
            await self.ask(host, requests, kept)
            await asyncio.sleep(self.random.uniform(0, pause_s))

    async def call_lasting(self, soak, random, keys):
        """Keyed requests that last, so that moves of their keys meet work."""
        while not soak.ending:
            host = random.choice(self.hosts)
            key = random.choice([random.choice(keys), random.randrange(KEYS)])
            await self.ask(host, [self.new(
                host, "GET", "/lg/", key=key, deadline_s=DEADLINE_S,
                work_s=random.uniform(0.1, 1.2))])
            await asyncio.sleep(random.uniform(0, 0.1))
