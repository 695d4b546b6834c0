"""BUDGET: requests run on more workers than maxAttempts, as another gateway's attempts are not counted.

A gateway is partitioned from all workers and passes requests on to others. The workers fall silent for a second. The
gateway that was asked tries its two workers. The one that asked gives it up too, and asks the next gateway, which it
tells of one attempt only.
"""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path[:0] = [os.path.join(ROOT, "tests/process"), os.path.join(ROOT, "review/support-3")]

from partition import Partition  # noqa: E402
from standins import site as sites  # noqa: E402

# As order-status on the sheet of the order desk.
STATUS = {"name": "status", "host": sites.HOST, "pathPrefix": "/status/", "kind": "idempotent", "service": "desk",
          "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2, "maxAttempts": 2}
SERVICE = {"name": "desk", "healthPath": "/health", "maxConnections": 100}
WORKERS, GATEWAYS = 6, 5
# At the partitioned gateway, and at each of the others.
CLIENTS_HERE, CLIENTS_EACH = 3, 6
WORK_SECONDS = 0.03
CALM_SECONDS = 34.0
# The partition lasts for 12 s: one second, four silences with their pauses, and one second.
SILENT_SECONDS, PAUSE_SECONDS, SILENCES = 1.2, 1.3, 4
MAX_OVER = 3


async def case(site):
    await site.start_store([STATUS], [SERVICE])
    silent_until = 0.0

    async def handle(worker, line, fields, body, reader, writer):
        # Silent workers begin to work, and answer later.
        worker.record(worker.name, "began", fields["x-attempt-id"])
        runs.setdefault(fields["x-attempt-id"], set()).add(worker.name)
        await asyncio.sleep(max(0.0, silent_until - time.monotonic()))

    runs = {}
    for number in range(1, WORKERS + 1):
        worker = await site.add_worker(f"i-{number}", "desk", ("zone-a", "zone-b")[number % 2], slots=6)
        worker.work_seconds = WORK_SECONDS
        worker.handler = handle
    partition = Partition(site, "edge-1")
    await partition.prepare(f"{site.network}.200")
    gateways = [site.add_gateway(("zone-a", "zone-b")[n % 2]) for n in range(GATEWAYS)]
    if not await site.wait_ready():
        return sites.COULD_NOT_RUN, "the gateways did not become ready"
    answers = []

    async def client(gateway, index, stop):
        await asyncio.sleep(index * 0.07)
        while time.monotonic() < stop:
            answers.append(await site.send(gateway, "/status/x", 1000, method="GET"))
            await asyncio.sleep(0.2)

    # The retry budget is whole 30 s after a gateway's start.
    stop = time.monotonic() + CALM_SECONDS + (SILENT_SECONDS + PAUSE_SECONDS) * SILENCES + 2
    load = [asyncio.ensure_future(client(gateway, i, stop)) for gateway in gateways
            for i in range(CLIENTS_HERE if gateway is gateways[0] else CLIENTS_EACH)]
    await asyncio.sleep(CALM_SECONDS)
    if site.trouble:
        partition.cut()
    await asyncio.sleep(1)
    for _ in range(SILENCES):
        silent_until = time.monotonic() + SILENT_SECONDS
        site.record("workers", "silent")
        await asyncio.sleep(SILENT_SECONDS + PAUSE_SECONDS)
    await asyncio.gather(*load)
    over = {attempt: names for attempt, names in runs.items() if len(names) > STATUS["maxAttempts"]}
    for attempt, names in over.items():
        site.record("judge", "over", attempt, site.sent_to[attempt], *sorted(names))
    served = sum(a.status == 200 for a in answers)
    verdict = (f"BUDGET: {len(over)} requests ran on more than {STATUS['maxAttempts']} workers in one client attempt, all "
               f"through {sorted({site.sent_to[a] for a in over})}; {served} of {len(answers)} requests served")
    if not served:
        return sites.COULD_NOT_RUN, verdict
    return (sites.BROKEN if len(over) > MAX_OVER else sites.HELD), verdict


sites.run(case, __file__)
