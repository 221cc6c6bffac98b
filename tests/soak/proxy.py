"""A loopback proxy that delays, silences, cuts one way, or resets."""

import asyncio
import time

from http_server import keep_little
from sockets import owner_of


class Proxy:
    """`mode`: "pass"; "silent": nothing goes through, nothing is closed;
    "one-way": what the target answers is lost."""

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.mode = "pass"
        self.delay_s = 0.0
        # Until when what arrives may have been delayed.
        self.delayed_until = 0.0
        self.writers = set()
        # Until when what passed it may have been harmed.
        self.disturbed_until = 0.0
        # The hosts that may connect, and who did, by the port towards the
        # target.
        self.hosts = []
        self.senders = {}

    async def start(self):
        server = await asyncio.start_server(self.connected, *self.address,
                                            limit=8192)
        keep_little(server)

    def delays(self):
        return self.delay_s > 0 or time.monotonic() < self.delayed_until

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def connected(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        port = far_writer.get_extra_info("sockname")[1]
        self.senders[port] = owner_of(writer.get_extra_info("peername"),
                                      self.address, self.hosts)
        try:
            await asyncio.gather(self.copy(reader, far_writer, True),
                                 self.copy(far_reader, writer, False))
        except asyncio.CancelledError:
            # The run is over.
            pass
        self.writers -= {writer, far_writer}
        self.senders.pop(port, None)

    async def copy(self, reader, writer, towards_target):
        try:
            while data := await reader.read(1 << 16):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                # What a cut holds up is lost.
                if self.mode == "pass" or (self.mode == "one-way"
                                           and towards_target):
                    writer.write(data)
                    await writer.drain()
            writer.close()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
