#!/usr/bin/env python3
"""Guards against clients that make a gateway hold more than its machine has, at each of its ports.

One gateway of little memory and few descriptors for each case. A crowd sends what the limits forbid, or stops just
short of what they allow; then the gateway still runs, has stayed within both, and answers an ordinary request while
the crowd's connections are open.

usage: test_hostile_gateway.py BUILD [CASE...]
"""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
sys.path.insert(0, os.path.join(FOLDER, "support"))
os.environ["GATEWAY"] = os.path.abspath(os.path.join(sys.argv[1], "samphirespool-gateway"))
os.environ.setdefault("RECORD", os.devnull)

import hostile  # noqa: E402
from standins import http, site as sites  # noqa: E402

SCRIPT = os.path.basename(__file__)
PATH = "/review/x"
ROUTE = {"name": "contract-review", "host": sites.HOST, "pathPrefix": "/review/", "kind": "idempotent",
         "service": "models", "timeoutMs": 15000, "targetLatencyMs": 1000, "priority": 1, "maxAttempts": 1}
# Its targets respond with failures whose bodies never end.
FAILING_ROUTE = {**ROUTE, "name": "endless", "pathPrefix": "/endless/", "service": "endless"}
SERVICES = [{"name": name, "healthPath": "/health", "maxConnections": 400} for name in ("models", "endless")]
METRICS_PORT = 9464
SLOW_SECONDS = 3.0
DOORS = {
    "callers": lambda gateway: gateway.port,
    "relays": lambda gateway: gateway.internal_port + 1,
    "readiness": lambda gateway: gateway.ready_port,
    "metrics": lambda gateway: METRICS_PORT,
    "peers": lambda gateway: gateway.internal_port,
}
HTTP_CROWDS = ("fields-without-end", "line-without-end", "heads-left-open", "announced-huge", "chunked-without-end",
               "tiny-chunks-without-end", "bodies-just-short", "silent")
CASES = [
    *(f"callers/{crowd}" for crowd in (
        *HTTP_CROWDS, "empty-lines", "bare-line-feeds", "long-extensions", "chunked-just-short", "whole-bodies",
        "whole-bodies-unread", "unknown-key", "unknown-route", "waiting-for-continue", "first-byte")),
    *(f"{door}/{crowd}" for door in ("relays", "readiness", "metrics")
      for crowd in (*HTTP_CROWDS, "empty-lines", "bare-line-feeds")),
    *(f"relays/{crowd}" for crowd in ("chunked-just-short", "whole-bodies")),
    "peers/frames-just-short",
    "peers/silent",
    "targets/failures-without-end",
]


async def fail_without_end(worker, line, fields, body, reader, writer):
    writer.write(http.message("HTTP/1.1 500 -", {"x-attempt-id": fields["x-attempt-id"], "connection": "close"}))
    while True:
        writer.write(b"x" * 65536)
        await writer.drain()


async def start_site(site):
    site.limits = {**site.limits, "memoryMb": hostile.MEMORY_MB}
    site.descriptor_limit = hostile.DESCRIPTORS
    await site.start_store([ROUTE, FAILING_ROUTE], SERVICES)
    for i in range(2):
        worker = await site.add_worker(f"i-{i}", "models", "zone-a", slots=64)
        worker.work_seconds = SLOW_SECONDS
        failing = await site.add_worker(f"f-{i}", "endless", "zone-a", slots=64)
        failing.handler = fail_without_end
    gateway = site.add_gateway("zone-a")
    if not await site.wait_ready():
        raise RuntimeError("the gateway did not become ready")
    return gateway


async def is_answered(site, gateway):
    """Whether an ordinary request gets its response; one that is refused as not run is sent again."""
    for worker in site.workers:
        worker.work_seconds = 0.02
    end = time.monotonic() + hostile.ANSWER_SECONDS
    while time.monotonic() < end and gateway.running():
        answer = await site.send(gateway, PATH, 5000, b"an ordinary request")
        if answer.status == 200 and answer.result == "complete":
            return True
        await asyncio.sleep(float(answer.fields.get("retry-after", 0.2)))
    return False


def crowd_of(door, name):
    if door == "targets":
        request = hostile.head("/endless/x", sites.KEY, "Content-Length: 5") + "hello"
        return DOORS["callers"], {"parts": [[request, 1]]}
    return DOORS[door], hostile.crowds(PATH, sites.KEY)[name]


async def run_case(case):
    door, _, name = case.partition("/")
    site = sites.Site(FOLDER)
    try:
        gateway = await start_site(site)
        port, spec = crowd_of(door, name)
        meter = hostile.Meter(gateway.process.pid, [of(gateway) for of in DOORS.values()])
        with hostile.CrowdProcess([gateway.ip, port(gateway)], spec) as crowd:
            await asyncio.sleep(hostile.CROWD_SECONDS)
            await asyncio.to_thread(crowd.stop)
            answered = await is_answered(site, gateway)
            meter.stop()
            return hostile.Verdict(gateway.running(), meter, answered, crowd)
    finally:
        site.close()


if __name__ == "__main__":
    hostile.run_cases(SCRIPT, CASES, lambda case: asyncio.run(run_case(case)), sys.argv[2:])
