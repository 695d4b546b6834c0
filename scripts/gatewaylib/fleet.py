"""Gateway processes of a soak: settings, start, readiness, signals by process id."""

import asyncio
import json
import os
import signal
import subprocess
import time

from gatewaylib import http
from gatewaylib.proxy import Proxy

KEY = "00112233445566778899aabbccddeeff"
GRACE_SECONDS = 8
READY_PERIOD = 0.3


class Gateway:
    def __init__(self, program, folder, name, data_centre, store_port):
        self.program = program
        self.folder = folder
        self.name = name
        self.data_centre = data_centre
        self.store_port = store_port
        self.store_link = None
        self.process = None
        self.life = 0
        self.caller_port = 0
        self.ready_port = 0
        self.peer_port = 0
        self.is_ready = False
        self.misses = 0

    async def start(self):
        if self.store_link is None:
            self.store_link = await Proxy(self.store_port).start()
        self.life += 1
        self.peer_port = self.peer_port or free_port()
        settings = os.path.join(self.folder, f"{self.name}.yaml")
        with open(settings, "w", encoding="utf-8") as out:
            out.write(
                f"name: {self.name}\ndata_centre: {self.data_centre}\n"
                f"caller_listen: 127.0.0.1:0\nready_listen: 127.0.0.1:0\nmetrics_listen: 127.0.0.1:0\n"
                f"peer_listen: 127.0.0.1:{self.peer_port}\nfleet_key: {KEY}\n"
                f"store: 127.0.0.1:{self.store_link.port}\nshutdown_grace: {GRACE_SECONDS}s\n"
            )
        log = os.path.join(self.folder, f"{self.name}.{self.life}.log")
        # Libraries write their own lines to standard error.
        with open(log, "wb") as out, open(log + ".err", "wb") as err:
            self.process = subprocess.Popen([self.program, "--config", settings], stdout=out, stderr=err)
        await self.learn_ports(log)

    async def learn_ports(self, log):
        for _ in range(200):
            await asyncio.sleep(0.05)
            with open(log, encoding="utf-8", errors="replace") as lines:
                for line in lines:
                    if '"gateway.started"' in line:
                        fields = json.loads(line)["fields"]
                        self.caller_port = fields["caller_port"]
                        self.ready_port = fields["ready_port"]
                        return
        raise RuntimeError(f"{self.name} did not start, see {log}")

    def running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.running():
            os.kill(self.process.pid, number)

    async def ended(self, seconds):
        end = time.monotonic() + seconds
        while self.running() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return not self.running()


def free_port():
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Fleet:
    """The gateways, and the balancer's view of them."""

    def __init__(self):
        self.gateways = []
        self.watching = None
        # Exit code of each life that ended by itself.
        self.deaths = {}

    def pick(self, chance):
        ready = [g for g in self.gateways if g.is_ready and g.running()]
        return chance.choice(ready) if ready else None

    def watch(self):
        self.watching = [asyncio.ensure_future(self.check(g)) for g in self.gateways]

    async def check(self, gateway):
        while True:
            code = gateway.process.poll()
            # None: it runs; 0: it left; -9: the soak killed it.
            if code not in (None, 0, -9):
                self.deaths[(gateway.name, gateway.life)] = code
            gateway.misses = 0 if await self.answers(gateway) else gateway.misses + 1
            if gateway.misses != 1:
                gateway.is_ready = gateway.misses == 0
            await asyncio.sleep(READY_PERIOD)

    @staticmethod
    async def answers(gateway):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ready_port)
            writer.write(http.message("GET /ready HTTP/1.1", {"Host": "x", "Connection": "close"}))
            head = await asyncio.wait_for(http.read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError, http.Broken):
            return False

    async def wait_ready(self):
        for _ in range(200):
            if all(g.is_ready for g in self.gateways):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the gateways are not ready")

    def end(self):
        for task in self.watching or []:
            task.cancel()
        for gateway in self.gateways:
            if gateway.running():
                gateway.send(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
