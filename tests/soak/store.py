"""A stand-in for the platform's store: keyed topics with one partition."""

import asyncio
import base64
import json
import struct
import time
import urllib.parse

from http_server import format_answer, serve


# How long a connection that gets no answer stays open.
MUTE_S = 30


# Topics that hosts write; operators and servers write the others.
HOST_TOPICS = ("keyed.mustardflow", "keyed.mustardflow-hosts")
# Operators and servers write what the store has lost within this time.
REWRITE_S = 1.5


class Topic:
    def __init__(self):
        self.records = []
        # When each record was written.
        self.times = []
        self.newest = {}
        self.epochs = {}
        # Earlier values of `epochs`, with the time since which each held.
        self.past_epochs = []
        self.changed = asyncio.Event()

    def append(self, key, value):
        self.records.append((key, value))
        self.times.append(time.monotonic())
        self.note_newest(key, value, len(self.records) - 1)
        self.changed.set()
        self.changed = asyncio.Event()

    def set_epochs(self, **epochs):
        self.epochs = epochs
        self.past_epochs.append((time.monotonic(), epochs))

    def go_back(self, at):
        """Loses what was written after `at`; returns the lost records, the
        newest of each key."""
        count = sum(written <= at for written in self.times)
        lost = dict(self.records[count:])
        del self.records[count:], self.times[count:]
        self.newest = {}
        for offset, (key, value) in enumerate(self.records):
            self.note_newest(key, value, offset)
        self.past_epochs = [entry for entry in self.past_epochs
                            if entry[0] <= at]
        self.epochs = self.past_epochs[-1][1] if self.past_epochs else {}
        self.changed.set()
        self.changed = asyncio.Event()
        return lost

    def note_newest(self, key, value, offset):
        if value is None:
            self.newest.pop(key, None)
        else:
            self.newest[key] = (value, offset)


class Store:
    """Faults: `down` refuses all calls, `lose_answers` is the part of appends
    that are done and not answered, `delay_s` slows each call."""

    def __init__(self, random):
        self.topics = {}
        self.down = False
        self.lose_answers = 0.0
        self.delay_s = 0.0
        # Reads that wait get no answer.
        self.mute_waiting = False
        # Sent with each answer; None for a store without eras.
        self.era = None
        self.random = random

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes as operators and servers do."""
        text = None if value is None else json.dumps(value).encode()
        self.topic(topic).append(key, text)

    async def recover(self, age_s, down_s):
        """Is unavailable for a moment and comes back from a copy. Operators and
        servers then write again what was lost."""
        self.down = True
        await asyncio.sleep(down_s)
        at = time.monotonic() - down_s - age_s
        lost = {name: topic.go_back(at) for name, topic in self.topics.items()}
        self.era += 1
        self.down = False
        again = [(name, key, value) for name, records in lost.items()
                 if name not in HOST_TOPICS for key, value in records.items()]
        self.random.shuffle(again)
        for name, key, value in again:
            await asyncio.sleep(self.random.uniform(0, REWRITE_S / len(again)))
            topic = self.topic(name)
            written = any(record[0] == key and since > at + down_s
                          for record, since in zip(topic.records, topic.times))
            if not written:
                topic.append(key, value)
        return {name: len(records) for name, records in lost.items()}

    async def handle(self, request):
        answer = await self.answer(request)
        if answer is None or self.era is None:
            return answer
        head, end, rest = answer.partition(b"\r\n")
        return head + end + f"Store-Era: {self.era}\r\n".encode() + rest

    async def answer(self, request):
        await asyncio.sleep(0.002 + self.delay_s)
        if self.down:
            return format_answer(503, {}, b"")
        path, _, query = request.target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        topic = self.topic(arguments["topic"])
        if path == "/log-append":
            answer = self.append(topic, arguments, await request.read_body())
            if self.random.random() < self.lose_answers:
                return None
            return answer
        if path == "/log-newest":
            return self.newest(topic, arguments)
        if path == "/log-read":
            return await self.read(topic, arguments)
        return format_answer(404, {}, b"")

    def append(self, topic, arguments, body):
        if "producer" in arguments:
            epoch, seq = int(arguments["epoch"]), int(arguments["seq"])
            seen = topic.epochs.get("epoch", 0)
            if arguments["producer"] == "leader":
                if epoch < seen:
                    return format_answer(409, {}, {"why": "fenced"})
                last = topic.epochs.get("seq") if epoch == seen else None
                if last is not None and seq == last:
                    return format_answer(200, {}, topic.epochs["answer"])
                if last is not None and seq != last + 1:
                    return format_answer(409, {}, {"why": "seq"})
        if "at" in arguments and int(arguments["at"]) != len(topic.records):
            return format_answer(412, {}, {"end": len(topic.records)})
        offset = len(topic.records)
        while body:
            (length,) = struct.unpack(">I", body[:4])
            content, body = body[4:4 + length], body[4 + length:]
            key = content[1:1 + content[0]].decode()
            value = content[1 + content[0]:]
            topic.append(key, value or None)
        answer = {"offset": offset, "end": len(topic.records)}
        if arguments.get("producer") == "leader":
            topic.set_epochs(epoch=epoch, seq=seq, answer=answer)
        return format_answer(200, {}, answer)

    def newest(self, topic, arguments):
        items = [{"key": key, "offset": offset,
                  "value": base64.b64encode(value).decode()}
                 for key, (value, offset) in sorted(topic.newest.items())
                 if key > arguments.get("after", "")]
        return format_answer(200, {}, {"items": items, "has_more": False,
                                       "end": len(topic.records)})

    async def read(self, topic, arguments):
        start = int(arguments["from"])
        wait_s = int(arguments.get("wait_ms", 0)) / 1000
        if wait_s > 0 and self.mute_waiting:
            await asyncio.sleep(MUTE_S)
            return None
        if start >= len(topic.records) and wait_s > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        if self.era is not None and start > len(topic.records):
            return format_answer(410, {}, {"end": len(topic.records)})
        body = struct.pack(">qq", len(topic.records), 0)
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return format_answer(200, {}, body)

    async def start(self, address):
        return await serve(address, self.handle)
