"""Gateway processes of a soak: settings, start, readiness probes, signals by process id."""

import asyncio
import json
import os
import signal
import subprocess
import time

from gatewaylib import http
from gatewaylib.proxy import Proxy

FLEET_KEY = "00112233445566778899aabbccddeeff"
GRACE_SECONDS = 8
PROBE_INTERVAL_SECONDS = 0.3


class Gateway:
    """One gateway and its link to the store; a restart keeps the name, the peer port and the link."""

    def __init__(self, programs, folder, name, data_centre, store_port, rng=None):
        # With several programs, each start draws one: the builds of an upgrade that is in progress.
        self.programs = programs
        self.rng = rng
        self.folder = folder
        self.name = name
        self.data_centre = data_centre
        self.store_port = store_port
        self.store_link = None
        # Further lines of the settings file.
        self.more_settings = ""
        self.process = None
        self.incarnation = 0
        self.caller_port = 0
        self.ready_port = 0
        self.metrics_port = 0
        self.peer_port = 0
        self.relay_port = 0
        self.is_ready = False
        self.failed_probes = 0

    async def start(self):
        if self.store_link is None:
            self.store_link = await Proxy(self.store_port).start()
        self.incarnation += 1
        self.peer_port = self.peer_port or free_port()
        self.relay_port = self.relay_port or free_port()
        settings = os.path.join(self.folder, f"{self.name}.yaml")
        with open(settings, "w", encoding="utf-8") as out:
            out.write(
                f"name: {self.name}\ndata_centre: {self.data_centre}\n"
                f"caller_listen: 127.0.0.1:0\nready_listen: 127.0.0.1:0\nmetrics_listen: 127.0.0.1:0\n"
                f"peer_listen: 127.0.0.1:{self.peer_port}\nfleet_key: {FLEET_KEY}\n"
                f"relay_listen: 127.0.0.1:{self.relay_port}\n"
                f"store: 127.0.0.1:{self.store_link.port}\nshutdown_grace: {GRACE_SECONDS}s\n{self.more_settings}"
            )
        log = os.path.join(self.folder, f"{self.name}.{self.incarnation}.log")
        # Libraries write lines that are not JSON to standard error.
        with open(log, "wb") as out, open(log + ".err", "wb") as err:
            program = self.programs[0] if len(self.programs) == 1 else self.rng.choice(self.programs)
            self.process = subprocess.Popen([program, "--config", settings], stdout=out, stderr=err)
        await self.read_ports(log)

    async def read_ports(self, log):
        for _ in range(200):
            await asyncio.sleep(0.05)
            with open(log, encoding="utf-8", errors="replace") as lines:
                for line in lines:
                    if '"gateway.started"' in line:
                        fields = json.loads(line)["fields"]
                        self.caller_port = fields["caller_port"]
                        self.ready_port = fields["ready_port"]
                        self.metrics_port = fields["metrics_port"]
                        return
        raise RuntimeError(f"{self.name} did not start, see {log}")

    def running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        if self.running():
            os.kill(self.process.pid, number)

    async def wait_stopped(self, seconds):
        end = time.monotonic() + seconds
        while self.running() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return not self.running()


def free_port():
    import socket

    with socket.socket() as test_socket:
        test_socket.bind(("127.0.0.1", 0))
        return test_socket.getsockname()[1]


class Fleet:
    """The gateways, and the readiness probes by which callers choose among them."""

    def __init__(self):
        self.gateways = []
        self.probe_tasks = None
        # Exit code by (gateway, incarnation) of each process that the soak did not kill and that failed.
        self.unexpected_exits = {}

    def pick(self, rng):
        ready = [g for g in self.gateways if g.is_ready and g.running()]
        return rng.choice(ready) if ready else None

    def start_probes(self):
        self.probe_tasks = [asyncio.ensure_future(self.probe(g)) for g in self.gateways]

    async def probe(self, gateway):
        while True:
            code = gateway.process.poll()
            # None: running; 0: stopped on SIGTERM; -9: killed by the soak.
            if code not in (None, 0, -9):
                self.unexpected_exits[(gateway.name, gateway.incarnation)] = code
            gateway.failed_probes = 0 if await self.probe_ready(gateway) else gateway.failed_probes + 1
            if gateway.failed_probes != 1:
                gateway.is_ready = gateway.failed_probes == 0
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    @staticmethod
    async def probe_ready(gateway):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ready_port)
            writer.write(http.format_message("GET /ready HTTP/1.1", {"Host": "x", "Connection": "close"}))
            head = await asyncio.wait_for(http.read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError, http.IncompleteMessage):
            return False

    async def wait_ready(self):
        for _ in range(200):
            if all(g.is_ready for g in self.gateways):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("not every gateway became ready within 20 s")

    def stop(self):
        for task in self.probe_tasks or []:
            task.cancel()
        for gateway in self.gateways:
            if gateway.running():
                gateway.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
