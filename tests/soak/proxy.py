"""A loopback proxy that delays, silences, cuts one way, or resets."""

import asyncio

from http_server import keep_little


class Proxy:
    """`mode`: "pass"; "silent": nothing goes through, nothing is closed;
    "one-way": what the target answers is lost."""

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.mode = "pass"
        self.delay_s = 0.0
        self.writers = set()

    async def start(self):
        server = await asyncio.start_server(self.connected, *self.address,
                                            limit=8192)
        keep_little(server)

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
        try:
            await asyncio.gather(self.copy(reader, far_writer, True),
                                 self.copy(far_reader, writer, False))
        except asyncio.CancelledError:
            # The run is over.
            pass
        self.writers -= {writer, far_writer}

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
