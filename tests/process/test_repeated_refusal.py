#!/usr/bin/env python3
"""Guards against REFUSED and TWICE: an earlier refusal that a target writes once more is taken for the answer to the next
request on the connection.

A faulty worker turns a part of its requests away. On connections that it has used before it writes such a refusal again,
with the id of the earlier attempt or without one, before the answer to a request that it runs. Bookings must not run
twice, and none that has run may be answered as not run.
"""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
os.environ["GATEWAY"] = os.path.abspath(os.path.join(sys.argv[1], "samphirespool-gateway"))
os.environ.setdefault("RECORD", os.devnull)

from standins import http, site as sites  # noqa: E402

SECONDS = 10
CALLERS = 16
STATUS = {"name": "status", "host": sites.HOST, "pathPrefix": "/status/", "kind": "idempotent", "service": "desk",
          "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 1, "maxAttempts": 2}
BOOK = {**STATUS, "name": "book", "pathPrefix": "/book/", "kind": "non_idempotent", "maxAttempts": 2}
SERVICE = {"name": "desk", "healthPath": "/health", "maxConnections": 400}
PROMISES = (408, 421, 429, 503)


class FaultyWorker:
    """Refuses each fifth request. Before each third answer on a connection that it has used before, it writes its latest
    refusal once more, and then runs the request and answers it."""

    def __init__(self):
        self.requests = 0
        self.kept_requests = 0
        self.latest_refusal = None
        self.used = set()
        self.repeated = 0

    async def handle(self, worker, line, fields, body, reader, writer):
        self.requests += 1
        is_kept = writer in self.used
        self.used.add(writer)
        self.kept_requests += is_kept
        if self.latest_refusal and is_kept and self.kept_requests % 3 == 0:
            self.repeated += 1
            writer.write(self.latest_refusal)
            return None
        if self.requests % 5:
            return None
        # Each other refusal names no attempt.
        named = {"x-attempt-id": fields.get("x-attempt-id", "")} if self.requests % 2 else {}
        self.latest_refusal = http.message("HTTP/1.1 503 -", {"x-not-executed": 1, "content-length": 0, **named})
        writer.write(self.latest_refusal)
        return True


async def case(site):
    await site.start_store([STATUS, BOOK], [SERVICE])
    faulty = [FaultyWorker() for _ in range(3)]
    for number, each in enumerate(faulty):
        worker = await site.add_worker(f"i-{number}", "desk", "zone-a", slots=12)
        if site.trouble:
            worker.handler = each.handle
    gateways = [site.add_gateway("zone-a") for _ in range(2)]
    if not await site.wait_ready():
        return sites.COULD_NOT_RUN, "the gateways did not become ready"
    answers = []
    stop = time.monotonic() + SECONDS

    async def caller(index):
        path, method = ("/book/x", "POST") if index % 2 else ("/status/x", "GET")
        while time.monotonic() < stop:
            answers.append((path, await site.send(gateways[index // 2 % 2], path, 1000, method=method)))
            await asyncio.sleep(0.02)

    await asyncio.gather(*(caller(i) for i in range(CALLERS)))
    await asyncio.sleep(0.5)
    runs = {}
    for worker in site.workers:
        for _, attempt in worker.runs:
            runs[attempt] = runs.get(attempt, 0) + 1
    booked = [a for path, a in answers if path == "/book/x"]
    false_refusals = sum(a.status in PROMISES and a.attempt in runs for a in booked)
    twice = sum(runs.get(a.attempt, 0) > 1 for a in booked)
    served = sum(a.status == 200 for _, a in answers)
    wrong = sum(a.status == 200 and a.body != b"answer to " + a.attempt.encode() for _, a in answers)
    verdict = (f"REFUSED: {false_refusals} bookings that ran were answered as not run; TWICE: {twice} ran twice; {wrong} wrong "
               f"answers; {served} of {len(answers)} served, {sum(f.repeated for f in faulty)} refusals repeated")
    if not served or (site.trouble and not any(f.repeated for f in faulty)):
        return sites.COULD_NOT_RUN, verdict
    return (sites.BROKEN if false_refusals or twice or wrong else sites.HELD), verdict


sites.run(case, __file__)
