#!/usr/bin/env python3
"""Guards against LOST and REFUSED: requests that come late in the grace of a planned stop are cut without an answer.

Clients keep using their connections to a gateway until its process is gone, and open new ones as long as they can. All
requests, before the SIGTERM and until the end, get an answer: the worker's, or a refusal that is true; no request is
begun that may not end within the grace. Work takes between a moment and longer than the grace, and so do the deadlines.
A second run sends long bodies that are still arriving when the grace ends.
"""

import asyncio
import os
import signal
import sys
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
os.environ["GATEWAY"] = os.path.abspath(os.path.join(sys.argv[1], "samphirespool-gateway"))
os.environ.setdefault("RECORD", os.devnull)

from standins import broken_answers, http, site as sites  # noqa: E402

KINDS = ("idempotent", "non_idempotent", "streaming")
GRACE_SECONDS = sites.BOUNDS["graceS"]
CLIENTS = 36
# Work and deadline of a request, in seconds.
SHAPES = [(0.02, 1), (0.5, 2), (2.5, 4), (3, 15), (6, 9), (6, 15), (9, 12)]
BEFORE_SECONDS = 2.0
# After the stop, a request of each shape and kind on a new connection so often.
WAVE_SECONDS = 0.3
BODY_BYTES = 20000
# Work that is longer than this may still be in progress when the grace ends, if it was begun before the stop.
LONG_WORK_SECONDS = 5.0


def route(kind):
    return {"name": kind, "host": sites.HOST, "pathPrefix": f"/{kind}/", "kind": kind, "service": kind,
            "timeoutMs": 15000, "targetLatencyMs": 1000, "priority": 1, "maxAttempts": 2, "gapTargetMs": 2000}


async def work(worker, line, fields, body, reader, writer):
    _, kind, seconds, _ = line.split(" ")[1].split("/")
    attempt = fields["x-attempt-id"]
    worker.runs.append((time.monotonic(), attempt))
    if kind != "streaming":
        await asyncio.sleep(float(seconds))
        writer.write(broken_answers.plain(attempt.encode(), b"the answer"))
        await writer.drain()
        return True
    writer.write(http.message("HTTP/1.1 200 OK", worker.fields(
        attempt, {"content-type": "text/event-stream", "transfer-encoding": "chunked"})))
    end = time.monotonic() + float(seconds)
    number = 0
    while number == 0 or time.monotonic() < end:
        number += 1
        writer.write(broken_answers.chunk(b"id: %d\ndata: a\n\n" % number))
        await writer.drain()
        await asyncio.sleep(0.1)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


class Sent:
    def __init__(self, answer, shape, kind):
        self.answer = answer
        self.work, self.limit = shape
        self.kind = kind


class Run:
    def __init__(self, site, gateway, pace):
        self.site = site
        self.gateway = gateway
        self.pace = pace
        self.sent = []
        self.stopped_at = None
        self.count = 0

    async def client(self, number):
        """Uses one connection for as long as the gateway lets it, then opens another one."""
        connection = None
        count = 0
        while self.gateway.running():
            count += 1
            try:
                connection = connection or await self.site.connect(self.gateway)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.02)
                continue
            answer = await self.send(KINDS[number % 3], SHAPES[(number + count) % len(SHAPES)], connection)
            if answer.result != "complete" or "close" in answer.fields.get("connection", ""):
                connection[1].close()
                connection = None
            await asyncio.sleep(0.05)

    async def send(self, kind, shape, connection=None):
        self.count += 1
        answer = await self.site.send(self.gateway, f"/{kind}/{shape[0]}/{self.count}", shape[1] * 1000,
                                      b"b" * BODY_BYTES, kept=connection, pace=self.pace)
        self.sent.append(Sent(answer, shape, kind))
        return answer

    async def send_on_new_connections(self):
        sent = []
        while self.gateway.running():
            sent += [asyncio.ensure_future(self.send(kind, shape)) for kind in KINDS for shape in SHAPES]
            await asyncio.sleep(WAVE_SECONDS)
        await asyncio.gather(*sent)

    def faults(self, ran):
        found = []
        for each in self.sent:
            answer = each.answer
            what = (f"{each.kind}, work {each.work} s, deadline {each.limit} s, sent "
                    f"{answer.sent - self.stopped_at:.2f} s after the stop, over {answer.ended - answer.sent:.2f} s: "
                    f"{answer.status}, {answer.result}")
            is_begun = answer.attempt in ran
            is_after = answer.sent >= self.stopped_at
            if answer.status == 503 and is_begun:
                found.append(f"refused as not run, and has run: {what}")
            if not is_begun:
                continue
            is_served = answer.status == 200 and answer.result == "complete"
            # What the worker cannot do within the caller's own limit is no matter of the stop.
            is_late = answer.ended - answer.sent >= each.limit - 0.1
            if is_after and not is_served and not is_late:
                found.append(f"begun after the stop, and not served: {what}")
            if not is_after and not is_served and not is_late and each.work < LONG_WORK_SECONDS:
                found.append(f"begun before the stop, and not served: {what}")
            if answer.result == "closed":
                found.append(f"begun, and closed without an answer: {what}")
        return found


async def play(site, pace):
    await site.start_store([route(kind) for kind in KINDS],
                           [{"name": kind, "healthPath": "/health", "maxConnections": 400} for kind in KINDS])
    for kind in KINDS:
        for number in range(3):
            (await site.add_worker(f"{kind[0]}-{number}", kind, "zone-a", slots=64)).handler = work
    gateway = site.add_gateway("zone-a")
    if not await site.wait_ready():
        return ["the gateway did not become ready"]
    run = Run(site, gateway, pace)
    clients = [asyncio.ensure_future(run.client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(BEFORE_SECONDS)
    run.stopped_at = time.monotonic()
    gateway.signal(signal.SIGTERM)
    clients.append(asyncio.ensure_future(run.send_on_new_connections()))
    while gateway.running() and time.monotonic() - run.stopped_at < GRACE_SECONDS:
        await asyncio.sleep(0.01)
    lasted = time.monotonic() - run.stopped_at
    found = [] if not gateway.running() else ["the gateway still runs at the end of the grace"]
    if gateway.running():
        gateway.signal(signal.SIGKILL)
    await asyncio.gather(*clients)
    ran = {attempt for worker in site.workers for _, attempt in worker.runs}
    found += run.faults(ran)
    after = [each.answer for each in run.sent if each.answer.sent >= run.stopped_at]
    print(f"stopped after {lasted:.2f} s; after the signal {len(after)} sent, "
          f"{sum(a.status == 200 for a in after)} served, {sum(a.status == 503 for a in after)} refused, "
          f"{sum(a.result == 'closed' for a in after)} closed unread; {len(found)} faults")
    if not any(a.status == 200 for a in after) or not any(a.status == 503 for a in after):
        found.append("requests after the signal were not both served and refused")
    return found


if __name__ == "__main__":
    # Bodies at once, and over two seconds.
    sites.run_checks(FOLDER, [lambda site: play(site, None), lambda site: play(site, (1000, 0.1))])
