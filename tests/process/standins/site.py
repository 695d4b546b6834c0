"""A small deployment on loopback addresses: gateways as the deploy file starts them, with its template of the
settings, beside the stand-ins of the platform, the workers and the clients."""

import asyncio
import itertools
import os
import random
import re
import resource
import signal
import socket
import subprocess
import tempfile
import time

from standins import http
from standins.store import Store
from standins.workers import Worker

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
# The program under test.
GATEWAY = os.environ.get("GATEWAY", "target/samphirespool-gateway")
HOST = "shop.example"
KEY = "key-of-tenant-1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# Requests that are sent until one reaches a target.
MAX_TRIES = 40
# As on the sheets of the small sites.
BOUNDS = {"graceS": 8, "retryBudgetRatio": 0.2, "retryBudgetBurst": 54, "budgetWindowS": 10, "coldOverage": 1.5,
          "coldSlack": 5, "configMs": 2000, "drainMs": 2000, "stabilityWindowMs": 3000}


def render(template, values):
    """Fills in the template: sections, and placeholders with dots."""
    def look_up(name):
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if part.isdigit() and int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        return match[2] if look_up(match[1]) not in (None, False) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: "" if look_up(m[1]) is None else str(look_up(m[1])), text)


def free_port(ip):
    """A free port whose successor is free too."""
    while True:
        with socket.socket() as first, socket.socket() as second:
            first.bind((ip, 0))
            port = first.getsockname()[1]
            try:
                second.bind((ip, port + 1))
            except (OSError, OverflowError):
                continue
            return port


class Gateway:
    def __init__(self, site, name, ip, zone):
        self.site = site
        self.name = name
        self.ip = ip
        self.zone = zone
        self.port = free_port(ip)
        self.ready_port = free_port(ip)
        self.internal_port = free_port(ip)
        self.process = None
        self.starts = 0
        self.exit_code = None

    def start(self):
        values = {
            "node": self.name, "ip": self.ip, "zone": self.zone, "region": "region-1",
            "internalPorts": [self.internal_port, self.internal_port + 15],
            "listen": {"front": f"{self.ip}:{self.port}", "ready": f"{self.ip}:{self.ready_port}"},
            "limits": self.site.limits, "bounds": self.site.bounds,
            "platform": {"address": self.site.store_address(self)},
        }
        with open(os.path.join(ROOT, "deploy/gateway.yaml.template"), encoding="utf-8") as template:
            text = render(template.read(), values)
        settings = os.path.join(self.site.folder, f"{self.name}.yaml")
        with open(settings, "w", encoding="utf-8") as out:
            out.write(text)
        self.starts += 1
        log = open(os.path.join(self.site.folder, f"{self.name}.{self.starts}.log"), "wb")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = subprocess.Popen(
            [GATEWAY], cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
            env={**environment, "SAMPHIRESPOOL_CONFIG": settings}, preexec_fn=self.limit_descriptors)
        log.close()
        self.site.record(self.name, "started", f"pid {self.process.pid}")

    def limit_descriptors(self):
        if self.site.descriptor_limit is not None:
            limit = self.site.descriptor_limit
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.site.record(self.name, "signal", signal.Signals(number).name)
            os.kill(self.process.pid, number)

    def resident_mb(self):
        """Memory of the process in MB."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
            writer.write(http.message("GET /ready HTTP/1.1", {"Host": "ready", "Connection": "close"}))
            head = await asyncio.wait_for(http.read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError, http.BrokenMessage):
            return False


class Answer:
    """What a client has seen of one attempt."""

    def __init__(self, attempt, sent):
        self.attempt = attempt
        self.sent = sent
        # complete, cut, closed (without an answer), refused (no connection) or none (no answer in time)
        self.result = "none"
        self.status = 0
        self.fields = {}
        self.body = b""
        self.ended = 0.0


class Site:
    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_file = open(
            os.environ.get("RECORD") or os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory(prefix="samphirespool-review-")
        self.folder = self.temporary.name
        # All addresses of a run lie in a network of its own.
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
        self.store = Store(self.record)
        self.gateways = []
        self.workers = []
        self.attempts = itertools.count(1)
        # The gateway's name by attempt.
        self.sent_to = {}
        self.bounds = dict(BOUNDS)
        self.limits = {"memoryMb": 260, "linkMbps": 1000.0, "cpuShare": 0.25}
        self.max_body_bytes = 1048576
        # Open descriptors of a gateway; None: as many as this process may have.
        self.descriptor_limit = None
        self.config = None
        # Address of the store by the gateway's name, where a proxy stands between them.
        self.store_proxies = {}

    def record(self, who, what, *details):
        self.record_file.write(
            f"{time.monotonic() - self.began:8.3f} {who} {what} {' '.join(str(d) for d in details)}\n")

    def store_address(self, gateway):
        return self.store_proxies.get(gateway.name, self.store.address)

    async def start_store(self, routes, services):
        await self.store.start(f"{self.network}.1")
        self.config = {
            "version": 10, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": self.max_body_bytes, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "tenant-1", "apiKeys": [KEY]}],
        }
        await self.store.put("config", "main", self.config)

    async def add_worker(self, name, service, zone, **options):
        worker = Worker(self.record, self.store, name, service, zone, **options)
        await worker.start(f"{self.network}.{100 + len(self.workers)}")
        self.workers.append(worker)
        return worker

    def add_gateway(self, zone):
        number = len(self.gateways) + 1
        gateway = Gateway(self, f"edge-{number}", f"{self.network}.{10 + number}", zone)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await g.is_ready() for g in self.gateways]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def connect(self, gateway):
        return await asyncio.wait_for(asyncio.open_connection(gateway.ip, gateway.port), 1)

    async def send(self, gateway, path, deadline_ms, body=b"", method="POST", more=None, kept=None,
                   pace=None):
        """One attempt of a client, on a connection of its own or on a kept one, which stays open. `pace`: the body
        is sent in parts of so many bytes, with a pause of so many seconds between them."""
        attempt = f"{next(self.attempts):016x}"
        answer = Answer(attempt, time.monotonic())
        self.sent_to[attempt] = gateway.name
        self.record("client", "sent", attempt, method, path, gateway.name)
        fields = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": deadline_ms,
                  "Authorization": f"Bearer {KEY}", "Content-Length": len(body), **(more or {})}
        connection = kept
        try:
            connection = connection or await self.connect(gateway)
            reader, writer = connection
            writer.write(http.message(f"{method} {path} HTTP/1.1", fields, b"" if pace else body))
            if pace:
                await self.send_slowly(writer, body, *pace)
            await asyncio.wait_for(self.receive(reader, answer), deadline_ms / 1000 + 1)
        except asyncio.TimeoutError:
            answer.result = "none" if connection is not None else "refused"
        except (http.BrokenMessage, OSError):
            answer.result = "cut" if connection is not None else "refused"
        finally:
            if connection is not None and kept is None:
                connection[1].close()
        answer.ended = time.monotonic()
        self.record("client", "got", attempt, answer.result, answer.status,
                    f"{len(answer.body)} bytes after {answer.ended - answer.sent:.3f} s",
                    answer.fields.get("retry-after", ""))
        return answer

    @staticmethod
    async def send_slowly(writer, body, part, pause):
        for start in range(0, len(body), part):
            writer.write(body[start:start + part])
            await writer.drain()
            await asyncio.sleep(pause)

    @staticmethod
    async def receive(reader, answer):
        head = await http.read_head(reader)
        if head is None:
            answer.result = "closed"
            return
        answer.status = int(head[0].split(" ")[1])
        answer.fields = head[1]
        async for part in http.body_parts(reader, head[1], until_close=True):
            answer.body += part
        answer.result = "complete"

    def close(self):
        for gateway in self.gateways:
            if gateway.running():
                os.kill(gateway.process.pid, signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        self.record_file.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder, flush=True)
        else:
            self.temporary.cleanup()


def run(case, script):
    """Runs `case(site)`, which returns the exit code and a line that says why. Does not return. Everything that
    is sent, answered and run goes to the file RECORD, or to record.txt beside the script."""
    site = Site(os.path.dirname(os.path.abspath(script)))

    async def guarded():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            code, verdict = await asyncio.wait_for(case(site), 110)
        # Whatever happens, the processes that were started are ended.
        except (Exception, asyncio.CancelledError) as error:
            code, verdict = COULD_NOT_RUN, f"could not run: {error!r}"
        site.record("verdict", code, verdict)
        print(f"{'with' if site.trouble else 'without'} the disruption: {verdict}", flush=True)
        site.close()
        # The stand-ins' tasks are still running, and need no orderly end.
        os._exit(code)

    asyncio.run(guarded())


async def send_until_taken(case, send):
    """Sends requests until one of them reaches the party that plays the case, which sets `case.attempt`. Targets that
    have failed get fewer requests for a while. Returns the last answer."""
    for _ in range(MAX_TRIES):
        answer = await send()
        if answer.attempt == case.attempt:
            break
        await asyncio.sleep(float(answer.fields.get("retry-after", 0.02)))
    return answer


def run_checks(folder, checks):
    """Runs each `check(site)`, which returns a list of faults, on a site of its own. Prints the faults and does not
    return."""
    async def run_all():
        faults = []
        for check in checks:
            site = Site(folder)
            try:
                faults += await check(site)
            finally:
                site.close()
        print("\n".join(faults), flush=True)
        # The stand-ins' tasks are still running, and need no orderly end.
        os._exit(1 if faults else 0)

    asyncio.run(run_all())
