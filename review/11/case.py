"""RECOVER: a gateway that is partitioned from all workers breaks off the requests that another gateway serves for it.

The workers are busy: their first event comes later than the route's objective, and well before clients abandon the
stream. The gateways that reach the workers wait for it. The one that is partitioned takes the other gateway for silent,
and answers 502, although the request may be sent to one worker only and that worker is about to answer.
"""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path[:0] = [os.path.join(ROOT, "tests/process"), os.path.join(ROOT, "review/support-3")]

from partition import Partition  # noqa: E402
from standins import http, site as sites  # noqa: E402

# As contract-review on the sheet of the order desk. Clients abandon a stream after a gap of four objectives.
ROUTE = {"name": "review", "host": sites.HOST, "pathPrefix": "/review/", "kind": "streaming", "service": "models",
         "timeoutMs": 15000, "targetLatencyMs": 1000, "gapTargetMs": 200, "priority": 1, "maxAttempts": 1,
         "sessionAffinity": True, "streamResume": True}
SERVICE = {"name": "models", "healthPath": "/health", "maxConnections": 360, "coldPerS": 13,
           "engine": {"slots": 64, "kvCapacityTokens": 452860}}
ABANDON_SECONDS = 4.0
FIRST_EVENT_SECONDS = 2.0
EVENTS, EVENT_SECONDS = 20, 0.05
WORKERS, GATEWAYS, CLIENTS_EACH = 6, 3, 8
CALM_SECONDS, CUT_SECONDS = 6.0, 12.0
# Of the rule: failures that it allows at the partitioned machine, and the least part of the others' share.
ALLOWED_FAILURES, ALLOWED_FAILURE_SHARE = 10, 1 / 50
LEAST_PART = 2 / 3


async def send_stream(worker, line, fields, body, reader, writer):
    attempt = fields["x-attempt-id"]
    worker.record(worker.name, "ran", attempt)
    await asyncio.sleep(FIRST_EVENT_SECONDS)
    writer.write(http.message("HTTP/1.1 200 OK", worker.fields(
        attempt, {"content-type": "text/event-stream", "transfer-encoding": "chunked"})))
    for number in range(1, EVENTS + 1):
        event = b"id: %d\ndata: x\n\n" % number
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b"0\r\n\r\n")
    worker.record(worker.name, "completed", attempt)
    return True


async def play_client(site, gateway, index, stop, answers):
    number = 0
    await asyncio.sleep(index * 0.3)
    while time.monotonic() < stop:
        number += 1
        answers.append(await site.send(gateway, "/review/x", 15000, b"p" * 1200, more={
            "X-Prompt-Prefix": f"{index:x}:500,{index * 1000 + number:x}:130", "X-Token-Count": f"630,{EVENTS}"}))
        await asyncio.sleep(0.1)


async def case(site):
    await site.start_store([ROUTE], [SERVICE])
    for number in range(1, WORKERS + 1):
        worker = await site.add_worker(f"i-{number}", "models", ("zone-a", "zone-b")[number % 2], slots=64)
        worker.handler = send_stream
    partition = Partition(site, "edge-1")
    await partition.prepare(f"{site.network}.200")
    gateways = [site.add_gateway(("zone-a", "zone-b")[n % 2]) for n in range(GATEWAYS)]
    if not await site.wait_ready():
        return sites.COULD_NOT_RUN, "the gateways did not become ready"
    stop = time.monotonic() + CALM_SECONDS + CUT_SECONDS
    answers = [[] for _ in gateways]
    clients = [asyncio.ensure_future(play_client(site, gateway, i, stop, answers[number]))
               for number, gateway in enumerate(gateways) for i in range(CLIENTS_EACH)]
    await asyncio.sleep(CALM_SECONDS)
    if site.trouble:
        partition.cut()
    judged_from = time.monotonic() + site.bounds["stabilityWindowMs"] / 1000
    await asyncio.gather(*clients)

    def judged(group):
        return [a for a in group if a.sent >= judged_from]

    def served(group):
        return sum(a.status == 200 and a.result == "complete" for a in group)

    here = judged(answers[0])
    others = judged(answers[1] + answers[2])
    failed = len(here) - served(here)
    ended = {}
    for answer in here:
        ended[answer.status, answer.result] = ended.get((answer.status, answer.result), 0) + 1
    verdict = (f"RECOVER: {served(here)} of {len(here)} first tries served at the partitioned gateway, {served(others)} of "
               f"{len(others)} at the others; ends there: {ended}")
    if not here or served(others) * 2 < len(others):
        return sites.COULD_NOT_RUN, verdict
    is_broken = (served(here) / len(here) < LEAST_PART * served(others) / len(others)
                 and failed > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(here))
    return (sites.BROKEN if is_broken else sites.HELD), verdict


sites.run(case, __file__)
