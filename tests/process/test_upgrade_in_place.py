#!/usr/bin/env python3
"""Guards against ORDER: streams go on at targets that have started again with other software than their entries say.

The workers of a service are upgraded in place, one after the other: each starts again under its id, with the new
version. Meanwhile the store is down for a few seconds, a gateway is paused, or neither and the workers are away for a
tenth of a second only. One run for each, at the same time.
"""

import asyncio
import os
import signal
import subprocess
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
os.environ["GATEWAY"] = os.path.abspath(os.path.join(sys.argv[1], "samphirespool-gateway"))
os.environ.setdefault("RECORD", os.devnull)

from standins import http, site as sites  # noqa: E402

ROUTE = {"name": "quote", "host": sites.HOST, "pathPrefix": "/quote/", "kind": "streaming", "service": "models",
         "timeoutMs": 12000, "targetLatencyMs": 300, "gapTargetMs": 200, "priority": 1, "maxAttempts": 2,
         "sessionAffinity": True, "streamResume": True}
SERVICE = {"name": "models", "healthPath": "/health", "maxConnections": 360, "coldPerS": 0,
           "engine": {"slots": 64, "kvCapacityTokens": 452860}}
EVENTS = 58
EVENT_SECONDS = 0.05
WORKERS, CLIENTS, TRIES = 6, 90, 3
UPGRADE_SECONDS = 1.0
DISTURBED_SECONDS = 4.5
# Time for which each worker is away.
RESTART_SECONDS = {"store_down": 0.5, "paused": 0.5, "quick": 0.1}
MAX_JOINED = 2


async def send_stream(worker, line, fields, body, reader, writer):
    attempt = fields["x-attempt-id"]
    after = int(fields.get("last-event-id", 0))
    version = worker.version
    worker.record(worker.name, "ran", attempt, f"version {version} after event {after}")
    writer.write(http.message("HTTP/1.1 200 OK", worker.fields(
        attempt, {"content-type": "text/event-stream", "transfer-encoding": "chunked"})))
    for number in range(after + 1, EVENTS + 1):
        await asyncio.sleep(EVENT_SECONDS)
        event = b"id: %d\ndata: version %s\n\n" % (number, version.encode())
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    return True


class Stream:
    """What a client has received of one stream, over its attempts."""

    def __init__(self):
        self.first = None
        self.text = b""
        self.whole = False

    def add(self, answer):
        if answer.status != 200:
            return
        events = answer.body[:answer.body.rfind(b"\n\n") + 2] if b"\n\n" in answer.body else b""
        if events:
            self.first = self.first or answer.attempt
        self.text += events
        self.whole = answer.result == "complete"

    def last_event(self):
        return self.text.count(b"\n\n")

    def versions(self):
        return {line for line in self.text.split(b"\n") if line.startswith(b"data: ")}


async def case(site):
    await site.start_store([ROUTE], [SERVICE])
    for number in range(1, WORKERS + 1):
        worker = await site.add_worker(f"i-{number}", "models", ("zone-a", "zone-b")[number % 2], slots=64)
        worker.handler = send_stream
    gateways = [site.add_gateway(("zone-a", "zone-b")[n % 2]) for n in range(3)]
    if not await site.wait_ready():
        return sites.COULD_NOT_RUN, "the gateways did not become ready"
    stop = time.monotonic() + 26
    streams = []

    async def client(index):
        number = 0
        await asyncio.sleep(index * EVENTS * EVENT_SECONDS / CLIENTS)
        while time.monotonic() < stop:
            number += 1
            stream = Stream()
            streams.append(stream)
            for attempt in range(TRIES):
                more = {"X-Prompt-Prefix": f"{index % 5:x}:500,{index * 1000 + number:x}:130",
                        "X-Token-Count": f"630,{EVENTS}"}
                if stream.first:
                    more |= {"Last-Event-Id": stream.last_event(), "Resumes": stream.first}
                answer = await site.send(gateways[(index + attempt) % 3], "/quote/x", 12000, b"p" * 830, more=more)
                stream.add(answer)
                if stream.whole:
                    break
                await asyncio.sleep(float(answer.fields.get("retry-after", 0.05)))
            await asyncio.sleep(0.1)

    async def upgrade(kind):
        await asyncio.sleep(8)
        for worker in site.workers:
            # The second worker comes back during the disruption.
            if worker is site.workers[1]:
                disturb(kind)
            await worker.restart_in_place("2", RESTART_SECONDS[kind])
            if kind != "quick":
                await asyncio.sleep(UPGRADE_SECONDS - RESTART_SECONDS[kind])

    def disturb(kind):
        later = asyncio.get_running_loop().call_later
        if kind == "store_down":
            site.record("store", "down")
            site.store.silent.add(None)
            later(DISTURBED_SECONDS, site.store.silent.clear)
        elif kind == "paused":
            gateways[0].signal(signal.SIGSTOP)
            later(DISTURBED_SECONDS, gateways[0].signal, signal.SIGCONT)

    await asyncio.gather(upgrade(sys.argv[2]), *(client(i) for i in range(CLIENTS)))
    mixed = [s for s in streams if len(s.versions()) > 1]
    for stream in mixed:
        site.record("client", "joined", stream.first, *(v.decode() for v in stream.versions()))
    whole = sum(s.whole for s in streams)
    verdict = (f"ORDER: {len(mixed)} streams hold events of two software versions, {sum(s.whole for s in mixed)} of them "
               f"ended as complete; {whole} of {len(streams)} streams were whole")
    if not whole:
        return sites.COULD_NOT_RUN, verdict
    return (sites.BROKEN if len(mixed) > MAX_JOINED else sites.HELD), f"{sys.argv[2]}: {verdict}"


def run_all():
    runs = [subprocess.Popen([sys.executable, __file__, sys.argv[1], kind]) for kind in RESTART_SECONDS]
    return max(each.wait() for each in runs)


if len(sys.argv) > 2:
    sites.run(case, __file__)
else:
    sys.exit(run_all())
