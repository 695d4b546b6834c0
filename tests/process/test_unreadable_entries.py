#!/usr/bin/env python3
"""Guards against DRAIN, LOST and RECOVER: an entry of another writer that cannot be read stops the feed of the targets.

Such entries stand among those of the workers: too deeply nested, with a number that is too large, with bytes that are no
text, with a port out of range, too large. A worker drains and leaves; then all gateways are restarted.
"""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
os.environ["GATEWAY"] = os.path.abspath(os.path.join(sys.argv[1], "samphirespool-gateway"))
os.environ.setdefault("RECORD", os.devnull)

from standins import site as sites  # noqa: E402

STATUS = {"name": "status", "host": sites.HOST, "pathPrefix": "/status/", "kind": "idempotent", "service": "desk",
          "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 1, "maxAttempts": 2}
BOOK = {**STATUS, "name": "book", "pathPrefix": "/book/", "kind": "non_idempotent", "maxAttempts": 1}
SERVICE = {"name": "desk", "healthPath": "/health", "maxConnections": 100}
# The worker serves for drainMs after its entry says `draining`, and a little longer.
LONGER_SECONDS = 3
RECOVER_SECONDS = 5
# Of the requests after the restart; none of them meets a disruption.
SERVED_SHARE = 0.9

ENTRY = b'{"service":"%s","address":"127.0.0.1:9","zone":"zone-a","version":"1","slots":6,"state":"ready",' \
        b'"coldRemainingMs":0,"sequence":1,"born":1}'
SOUND = ENTRY % b"desk"
UNREADABLE = {
    # A text whose bytes are no characters.
    "bytes": ENTRY % b"\xff\xfe\x80desk",
    "surrogate": ENTRY % b"\\udcff",
    "number": SOUND.replace(b'"slots":6', b'"slots":' + b"9" * 40),
    "depth": SOUND.replace(b'"slots":6', b'"slots":6,"x":' + b"[" * 50000 + b"]" * 50000),
    "port": SOUND.replace(b":9\"", b":70009\""),
    "size": SOUND.replace(b'"slots":6', b'"slots":6,"x":"' + b"a" * 900000 + b'"'),
}


async def case(site):
    await site.start_store([STATUS, BOOK], [SERVICE])
    for name, zone in (("i-1", "zone-a"), ("i-2", "zone-b"), ("i-3", "zone-a")):
        worker = await site.add_worker(name, "desk", zone, slots=6)
        worker.work_seconds = 0.1
    gateways = [site.add_gateway(zone) for zone in ("zone-a", "zone-b")]
    if not await site.wait_ready():
        return sites.COULD_NOT_RUN, "the gateways did not become ready"
    answers = []

    async def client(index, stop):
        path, method = ("/book/x", "POST") if index % 2 else ("/status/x", "GET")
        while time.monotonic() < stop:
            answers.append((path, await site.send(gateways[index // 2 % 2], path, 1000, method=method)))
            await asyncio.sleep(0.1)

    async def traffic(seconds):
        stop = time.monotonic() + seconds
        await asyncio.gather(*(client(i, stop) for i in range(8)))

    await traffic(4)
    if site.trouble:
        for name, content in UNREADABLE.items():
            await site.store.put("servers", f"other-{name}", content)
    await traffic(4)
    leaving = site.workers[0]
    leaving.state = "draining"
    drained = await leaving.register()
    bound = site.bounds["drainMs"] / 1000
    load = asyncio.ensure_future(traffic(8))
    await asyncio.sleep(bound + LONGER_SECONDS)
    await leaving.stop()
    await site.store.delete("servers", leaving.name)
    await load
    late = {attempt for moment, attempt in leaving.runs if moment > drained + bound}
    lost = [a for p, a in answers if a.attempt in late and p == "/book/x" and a.status != 200]
    served = sum(a.status == 200 for _, a in answers)
    verdict = (f"DRAIN: {len(late)} requests reached the draining worker later than {site.bounds['drainMs']} ms after "
               f"the store's acknowledgement, {len(lost)} bookings among them were lost when it left; {served} of "
               f"{len(answers)} requests served")
    for gateway in gateways:
        gateway.signal(9)
        gateway.process.wait()
    await asyncio.sleep(1)
    for gateway in gateways:
        gateway.start()
    await asyncio.sleep(RECOVER_SECONDS)
    answers.clear()
    await traffic(4)
    again = sum(a.status == 200 for _, a in answers)
    verdict += (f"; RECOVER: {again} of {len(answers)} requests served from {RECOVER_SECONDS} s after a restart of all "
                f"gateways, ready: {[await g.is_ready() for g in gateways]}")
    if not served:
        return sites.COULD_NOT_RUN, verdict
    holds = not late and again >= SERVED_SHARE * len(answers) and all(g.starts == 2 for g in gateways)
    return (sites.HELD if holds else sites.BROKEN), verdict


sites.run(case, __file__)
