"""The entry hosts: their processes, settings and logs."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import time


def address_of_run(number):
    """A loopback address of this run's own, so that several may run at once."""
    run = os.getpid() % 60000
    return f"127.{1 + run // 250}.{1 + run % 250}.{number}"


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for entry in sockets:
        entry.bind((ip, 0))
    ports = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return ports


@contextlib.contextmanager
def trouble(hosts, of_process=False):
    span = [time.monotonic(), None]
    for host in hosts:
        host.troubles.append(span)
        if of_process:
            host.process_troubles.append(span)
    yield
    span[1] = time.monotonic()


class Host:
    """One entry host; its process is started and ended by signals."""

    def __init__(self, program, folder, number, store_address):
        self.ip = address_of_run(10 + number)
        self.name = f"host-{number}"
        self.program = program
        ports = free_ports(self.ip, 3)
        self.callers = (self.ip, ports[0])
        settings = {
            "node_name": self.name, "zone": "z1", "ip": self.ip,
            "bind_addresses": {"frontend": f"{self.ip}:{ports[0]}",
                               "ready": f"{self.ip}:{ports[1]}"},
            # The hosts' addresses differ, so they may share these ports.
            "internal_ports": [28200, 28215],
            "limits": {"cpu_share": 1.0, "cpu_cores": 1, "memory_mb": 260},
            "heartbeat": "400ms",
            "bounds": ["grace=6s", "retry_budget_ratio=0.2",
                       "retry_budget_slack=50"],
            "platform": {"address": "%s:%d" % store_address}}
        self.settings = folder / f"{self.name}.json"
        self.settings.write_text(json.dumps(settings))
        self.log = open(folder / f"{self.name}.log", "ab")
        self.log_reader = open(folder / f"{self.name}.log", "rb")
        self.led_term = 0
        self.process = None
        # Begin and end of each trouble of the process or of its path to the
        # store; the end is None while it lasts.
        self.troubles = []
        # Those of them in which the process itself stood still or ended.
        self.process_troubles = []
        # When its process last went on after it had been stopped.
        self.thawed = 0.0
        # The oldest version that it may use, since when, and the number of
        # troubles of its process then.
        self.effect = (0, 0.0, 0)

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            self.program, stdout=self.log, stderr=self.log,
            env={"MUSTARDFLOW_SETTINGS": str(self.settings),
                 "PATH": os.environ["PATH"]})

    def newest_led_term(self):
        """The term that it led last by its log; 0 before it led."""
        for line in self.log_reader:
            if b'"event":"leading"' in line and line.endswith(b"\n"):
                self.led_term = json.loads(line)["term"]
        return self.led_term

    def go_on(self):
        self.process.send_signal(signal.SIGCONT)
        self.thawed = time.monotonic()

    async def end(self, how):
        self.process.send_signal(how)
        await self.process.wait()
