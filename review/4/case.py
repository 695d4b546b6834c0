"""A worker has asked for quiet with Retry-After. Then it doesn't reach the store for five seconds, so that its
entry is removed and comes back. Does the quiet time still hold?"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from standins import site as sites  # noqa: E402

ROUTE = {"name": "status", "host": sites.HOST, "pathPrefix": "/status/", "kind": "idempotent", "service": "desk",
         "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 1, "maxAttempts": 2}
SERVICE = {"name": "desk", "healthPath": "/health", "maxConnections": 100}
QUIET_SECONDS = 25
CUT_SECONDS = 5
HEARTBEAT_SECONDS = 1.2


async def case(site):
    await site.start_store([ROUTE], [SERVICE])
    for number in range(1, 4):
        await site.add_worker(f"i-{number}", "desk", ("zone-a", "zone-b")[number % 2], slots=6)
    gateways = [site.add_gateway(zone) for zone in ("zone-a", "zone-b")]
    if not await site.wait_ready():
        return sites.COULD_NOT_RUN, "the gateways did not become ready"
    busy = site.workers[0]
    crowded_until = time.monotonic() + 7
    crowded_from = crowded_until - 1
    # By the gateway's name: when it was told to stay away, and the arrivals since.
    told, arrivals = {}, []

    async def crowded(worker, line, fields, body, reader, writer):
        gateway = site.sent_to.get(fields.get("x-attempt-id"))
        now = time.monotonic()
        if gateway in told and told[gateway] + 0.5 < now < told[gateway] + QUIET_SECONDS:
            arrivals.append((gateway, now))
        if not crowded_from < now < crowded_until:
            return None
        await worker.refuse(fields, writer, {"retry-after": QUIET_SECONDS})
        told.setdefault(gateway, time.monotonic())
        return True

    busy.handler = crowded
    stop = crowded_until + QUIET_SECONDS - 3
    answers = []

    async def client(index):
        while time.monotonic() < stop:
            answers.append(await site.send(gateways[index % 2], "/status/x", 1000, method="GET"))
            await asyncio.sleep(0.1)

    clients = [asyncio.ensure_future(client(i)) for i in range(6)]
    await asyncio.sleep(crowded_until + 1 - time.monotonic())
    if site.trouble:
        site.record(busy.name, "cut", "from the store")
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        await site.store.delete("servers", busy.name)
        await asyncio.sleep(CUT_SECONDS - 3 * HEARTBEAT_SECONDS)
        site.record(busy.name, "reaches", "the store")
        await busy.register()
    await asyncio.gather(*clients)
    counts = {gateway: sum(g == gateway for g, _ in arrivals) for gateway in told}
    served = sum(a.status == 200 for a in answers)
    verdict = (f"BUDGET: {sorted(counts.values(), reverse=True)} requests of the machines reached the worker from half a "
               f"second after it had answered 503 with Retry-After: {QUIET_SECONDS} to the end of that time; {served} of "
               f"{len(answers)} requests served")
    if not told:
        return sites.COULD_NOT_RUN, verdict
    return (sites.BROKEN if max(counts.values()) > 2 else sites.HELD), verdict


sites.run(case, __file__)
