#!/usr/bin/env python3
"""Guards against BUDGET: gateways that restart spend again what the processes before them have spent.

Real gateways whose targets turn most requests away are all killed several times within one window of the retry
budget. Counted is what arrives at the targets.
"""

import asyncio
import bisect
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
os.environ["GATEWAY"] = os.path.abspath(os.path.join(sys.argv[1], "samphirespool-gateway"))
os.environ.setdefault("RECORD", os.devnull)

from standins import site as sites  # noqa: E402

GATEWAYS, TARGETS, CALLERS = 4, 3, 12
SECONDS = 16.0
# Within the shares that gateways have from their start on.
KILLS_AT = (5.0, 7.5, 10.0, 12.5)
PAUSE_SECONDS = 0.5
ROUTE = {"name": "status", "host": sites.HOST, "pathPrefix": "/status/", "kind": "idempotent", "service": "desk",
         "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 1, "maxAttempts": 3}
SERVICE = {"name": "desk", "healthPath": "/health", "maxConnections": 400}


async def turn_away(worker, line, fields, body, reader, writer):
    return await worker.refuse(fields, writer)


async def restart_all(site):
    for gateway in site.gateways:
        gateway.signal(9)
        gateway.process.wait()
    await asyncio.sleep(0.5)
    for gateway in site.gateways:
        gateway.start()


def count_between(times, begin, end):
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)


def worst_window(requests, retries, bounds):
    """The window in which the retries exceed their bound by most, as (retries, bound)."""
    length = bounds["budgetWindowS"]

    def window(begin):
        asked = max(count_between(requests, begin + shift, begin + shift + length) for shift in (-length, -length / 2, 0))
        allowed = bounds["retryBudgetRatio"] * asked + bounds["retryBudgetBurst"]
        return count_between(retries, begin, begin + length), allowed

    return max((window(begin) for begin in retries), key=lambda found: found[0] - found[1], default=(0, 0))


async def case(site):
    await site.start_store([ROUTE], [SERVICE])
    for number in range(TARGETS):
        worker = await site.add_worker(f"i-{number}", "desk", ("zone-a", "zone-b")[number % 2], slots=6)
        worker.handler = turn_away
    for number in range(GATEWAYS):
        site.add_gateway(("zone-a", "zone-b")[number % 2])
    if not await site.wait_ready():
        return sites.COULD_NOT_RUN, "the gateways did not become ready"
    began = time.monotonic()
    requests = []
    arrivals = {}
    for worker in site.workers:
        worker.on_arrival = lambda attempt: arrivals.setdefault(attempt, []).append(time.monotonic())

    async def caller(index):
        await asyncio.sleep(index * PAUSE_SECONDS / CALLERS)
        while time.monotonic() < began + SECONDS:
            requests.append(time.monotonic())
            await site.send(site.gateways[index % GATEWAYS], "/status/x", 1000, method="GET")
            await asyncio.sleep(PAUSE_SECONDS)

    async def disturb():
        for at in KILLS_AT if site.trouble else ():
            await asyncio.sleep(began + at - time.monotonic())
            await restart_all(site)

    await asyncio.gather(disturb(), *(caller(i) for i in range(CALLERS)))
    retries = sorted(t for times in arrivals.values() for t in times[1:])
    count, allowed = worst_window(sorted(requests), retries, site.bounds)
    verdict = f"{count} retries within a window, {allowed:.1f} allowed; {len(retries)} of {len(requests)} requests in all"
    if not arrivals:
        return sites.COULD_NOT_RUN, verdict
    return (sites.BROKEN if count > allowed else sites.HELD), verdict


sites.run(case, __file__)
