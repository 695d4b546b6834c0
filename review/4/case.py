"""A worker becomes cold again while the store is down, and says so in its health answers. Is it still sent more than
it bears?"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tests", "process"))

from standins import http, site as sites  # noqa: E402

COLD_PER_SECOND = 14.0
COLD_SECONDS = 3
ROUTE = {"name": "tag", "host": sites.HOST, "pathPrefix": "/tag/", "kind": "streaming", "service": "models",
         "timeoutMs": 3000, "targetLatencyMs": 400, "gapTargetMs": 200, "priority": 1, "maxAttempts": 1,
         "sessionAffinity": True, "streamResume": False}
SERVICE = {"name": "models", "healthPath": "/health", "maxConnections": 360, "coldStartS": COLD_SECONDS,
           "coldPerS": COLD_PER_SECOND, "engine": {"slots": 64, "kvCapacityTokens": 452860}}
EVENTS, EVENT_SECONDS = 5, 0.05
CLIENTS = 70
STORE_DOWN_SECONDS = 4.5
# "Well above" the rate that a cold worker bears.
CRASH_FACTOR = 3


class Engine:
    """A worker that crashes if it gets far too much while it is cold, and is back after some seconds."""

    def __init__(self):
        self.arrivals = []
        self.cold_from = self.cold_until = 0.0
        self.crashes = 0

    def count_cold(self, now):
        """The requests of the last second, as far as the worker was cold."""
        return sum(max(self.cold_from, now - 1) <= at < self.cold_until for at in self.arrivals[-200:])

    async def handle(self, worker, line, fields, body, reader, writer):
        now = time.monotonic()
        self.arrivals.append(now)
        recent = self.count_cold(now)
        if recent > CRASH_FACTOR * COLD_PER_SECOND and not self.crashes:
            worker.record(worker.name, "crashes", f"{recent} requests within a second while cold")
            self.crashes += 1
            asyncio.ensure_future(worker.restart_in_place(worker.version, 3.0))
            return False
        attempt = fields["x-attempt-id"]
        worker.record(worker.name, "ran", attempt)
        writer.write(http.message("HTTP/1.1 200 OK", worker.fields(
            attempt, {"content-type": "text/event-stream", "transfer-encoding": "chunked"})))
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = b"id: %d\ndata: %s\n\n" % (number, attempt.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


async def case(site):
    await site.start_store([ROUTE], [SERVICE])
    engines = {}
    for number in range(1, 5):
        worker = await site.add_worker(f"i-{number}", "models", ("zone-a", "zone-b")[number % 2], slots=64)
        engines[worker.name] = Engine()
        worker.handler = engines[worker.name].handle
    gateways = [site.add_gateway(("zone-a", "zone-b")[n % 2]) for n in range(3)]
    if not await site.wait_ready():
        return sites.COULD_NOT_RUN, "the gateways did not become ready"
    stop = time.monotonic() + 18
    answers = []

    async def client(index):
        number = 0
        await asyncio.sleep(index * 0.01)
        while time.monotonic() < stop:
            number += 1
            answers.append(await site.send(gateways[index % 3], "/tag/x", 3000, b"p" * 300, more={
                "X-Prompt-Prefix": f"{index % 7:x}:500,{index * 1000 + number:x}:130",
                "X-Token-Count": f"630,{EVENTS}"}))
            await asyncio.sleep(0.05)

    worker = site.workers[0]
    engine = engines[worker.name]
    cold_from = 0.0

    async def events():
        nonlocal cold_from
        await asyncio.sleep(8)
        if site.trouble:
            site.record("store", "down")
            site.store.silent.add(None)
        await asyncio.sleep(1)
        worker.cold_ms = COLD_SECONDS * 1000
        site.record(worker.name, "cold", f"for {COLD_SECONDS} s")
        asyncio.ensure_future(worker.register())
        engine.cold_from = cold_from = time.monotonic()
        engine.cold_until = cold_from + COLD_SECONDS
        await asyncio.sleep(COLD_SECONDS)
        worker.cold_ms = 0
        asyncio.ensure_future(worker.register())
        await asyncio.sleep(STORE_DOWN_SECONDS - COLD_SECONDS - 1)
        site.store.silent.clear()

    await asyncio.gather(events(), *(client(i) for i in range(CLIENTS)))
    cold = [at for at in engine.arrivals if cold_from <= at < cold_from + COLD_SECONDS]
    worst = max((sum(start <= at < start + 1 for at in cold) for start in cold), default=0)
    bound = COLD_PER_SECOND * site.bounds["coldOverage"] + site.bounds["coldSlack"]
    broken = sum(a.result != "complete" for a in answers)
    whole = sum(a.result == "complete" and a.status == 200 for a in answers)
    verdict = (f"FAILBACK: {worst} requests reached the cold worker in one second, where {bound:.0f} are allowed; it "
               f"crashed {engine.crashes} times, and {broken} streams were broken off; {whole} of {len(answers)} whole")
    if not whole:
        return sites.COULD_NOT_RUN, verdict
    return (sites.BROKEN if worst > bound else sites.HELD), verdict


sites.run(case, __file__)
