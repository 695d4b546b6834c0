#!/usr/bin/env python3
"""Guards against a burst of legal bodies that exceeds the memory of a gateway while they arrive.

Callers inside the limits send bodies of almost the largest size within a few seconds. The gateway lives, stays within
the memory of its machine and its descriptors, and answers an ordinary request afterwards. That a refusal reaches a
caller which is still sending is checked in tests/http/test_intake.cpp.
"""

import asyncio
import collections
import os
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
sys.path.insert(0, os.path.join(FOLDER, "support"))
os.environ["GATEWAY"] = os.path.abspath(os.path.join(sys.argv[1], "samphirespool-gateway"))
os.environ.setdefault("RECORD", os.devnull)

from process_memory import Meter  # noqa: E402
from standins import site as sites  # noqa: E402

CALLERS = 82
BODY_BYTES, LIMIT_BYTES = 4_000_000, 4 << 20
PART_BYTES, PAUSE_SECONDS = 64 << 10, 0.04
MEMORY_MB = 260
DESCRIPTORS, DESCRIPTORS_LEFT = 512, 16
ROUTE = {"name": "import", "host": sites.HOST, "pathPrefix": "/import/", "kind": "idempotent", "service": "desk",
         "timeoutMs": 30000, "targetLatencyMs": 5000, "priority": 1, "maxAttempts": 1}
SERVICE = {"name": "desk", "healthPath": "/health", "maxConnections": 400}


async def case(site):
    site.limits = {**site.limits, "memoryMb": MEMORY_MB}
    site.max_body_bytes = LIMIT_BYTES
    site.descriptor_limit = DESCRIPTORS
    await site.start_store([ROUTE], [SERVICE])
    for i in range(2):
        await site.add_worker(f"i-{i}", "desk", "zone-a", slots=64)
    gateway = site.add_gateway("zone-a")
    if not await site.wait_ready():
        return sites.COULD_NOT_RUN, "the gateway did not become ready"
    meter = Meter(gateway.process.pid, [gateway.port])
    body = b"x" * BODY_BYTES
    answers = await asyncio.gather(*(
        site.send(gateway, "/import/x", 30000, body, pace=(PART_BYTES, PAUSE_SECONDS)) for _ in range(CALLERS)))
    ordinary = await site.send(gateway, "/import/x", 5000, b"an ordinary request")
    meter.stop()
    statuses = collections.Counter(a.status for a in answers)
    most_mb = meter.most_bytes / (1 << 20)
    verdict = (f"{'lives' if gateway.running() else 'has ended'}, {most_mb:.0f} MB of {MEMORY_MB} and "
               f"{meter.most_descriptors} descriptors of {DESCRIPTORS} at most; an ordinary request afterwards got "
               f"{ordinary.status}; not checked: {dict(statuses)}")
    holds = (gateway.running() and most_mb <= MEMORY_MB and ordinary.status == 200
             and meter.most_descriptors <= DESCRIPTORS - DESCRIPTORS_LEFT)
    return (sites.HELD if holds else sites.BROKEN), verdict


sites.run(case, __file__)
