#!/usr/bin/env python3
"""Guards against CONFIG, ROUTE and ORDER: a gateway believes bytes that are no answer of the store or of a worker's report.

The store answers everything with malformed messages around a sound body, while the configuration changes: no gateway takes
the change from them, and all take it once the answers are sound again. The workers' reports are malformed, each in another
way: no stream that has broken off goes on at a worker that has not stated which incarnation it is.
"""

import asyncio
import itertools
import json
import os
import sys
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
os.environ["GATEWAY"] = os.path.abspath(os.path.join(sys.argv[1], "samphirespool-gateway"))
os.environ.setdefault("RECORD", os.devnull)

from standins import broken_answers, broken_streams, site as sites  # noqa: E402

GATEWAYS = 4
MALFORMED_SECONDS = 8.0
ADOPTED_SECONDS = 10.0
DEADLINE_MS = 5000
# Those around a body that could be believed come first, as a store that fails is asked seldom.
FORMS = {**broken_answers.BODIES, **{name: form for name, form in broken_answers.HEADS.items() if "field" in name},
         **broken_answers.HEADS}
OLD = {"name": "old", "host": sites.HOST, "pathPrefix": "/old/", "kind": "idempotent", "service": "desk",
       "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1000, "priority": 1, "maxAttempts": 2}
NEW = {**OLD, "name": "new", "pathPrefix": "/new/"}
STREAM = {**OLD, "name": "stream", "pathPrefix": "/stream/", "kind": "streaming", "service": "models",
          "gapTargetMs": 1000, "maxAttempts": 3, "sessionAffinity": True, "streamResume": True}
ENGINES = {"name": "models", "healthPath": "/health", "maxConnections": 400, "coldPerS": 0,
           "engine": {"slots": 64, "kvCapacityTokens": 452860}}


async def served(site, path):
    """By gateway, whether a request on the path is served."""
    answers = await asyncio.gather(*(site.send(gateway, path, 1000, b"a request") for gateway in site.gateways))
    return [answer.status == 200 for answer in answers]


async def check_store(site):
    await site.start_store([OLD], [{"name": "desk", "healthPath": "/health", "maxConnections": 400}])
    await site.add_worker("d-0", "desk", "zone-a", slots=64)
    for _ in range(GATEWAYS):
        site.add_gateway("zone-a")
    if not await site.wait_ready() or not all(await served(site, "/old/x")):
        return ["the gateways did not become ready"]
    site.store.forms = itertools.cycle(FORMS.values())
    site.config = {**site.config, "version": 20, "routes": [OLD, NEW]}
    await site.store.put("config", "main", site.config)
    found = []
    end = time.monotonic() + MALFORMED_SECONDS
    while time.monotonic() < end and not found:
        if any(await served(site, "/new/x")):
            found.append("store: a change was taken from a malformed answer")
        await asyncio.sleep(0.1)
    played = site.store.malformed_answers
    site.store.forms = None
    end = time.monotonic() + ADOPTED_SECONDS
    while not found and not all(await served(site, "/new/x")):
        if time.monotonic() > end:
            found.append("store: the change was not taken from sound answers")
        await asyncio.sleep(0.1)
    print(f"store: {played} malformed answers, {len(found)} faults")
    if played < len(broken_answers.BODIES):
        found.append("store: too few malformed answers to judge")
    return found


async def check_reports(site):
    await site.start_store([STREAM], [ENGINES])
    went_on = set()
    reports = {}

    async def answer(worker, line, fields, body, reader, writer):
        attempt = fields["x-attempt-id"].encode()
        if "last-event-id" in fields:
            went_on.add(worker.name)
            writer.write(broken_streams.NEXT["the rest"][0](attempt))
        else:
            await broken_streams.break_inside_event(writer, attempt)
        await writer.drain()
        return False

    async def report(worker, line, fields, reader, writer):
        text = json.dumps({"stage": "prefill_decode", "born": worker.born}).encode()
        reports[worker.name] = worker.form_name
        writer.write(worker.form(b"", text))
        await writer.drain()
        await asyncio.sleep(0.05)
        return False

    # Streams begin at any of the workers, and could go on at any other.
    for number, (name, form) in enumerate(FORMS.items()):
        worker = await site.add_worker(f"m-{number}", "models", "zone-a", slots=64)
        worker.handler, worker.report_handler = answer, report
        worker.form_name, worker.form = name, form
    site.bounds = {**site.bounds, "retryBudgetBurst": 10000, "retryBudgetRatio": 100}
    gateway = site.add_gateway("zone-a")
    if not await site.wait_ready():
        return ["the gateway did not become ready"]
    for number in range(6 * len(FORMS)):
        await site.send(gateway, f"/stream/{number}", DEADLINE_MS, b"a request",
                        more={"X-Prompt-Prefix": f"{number:x}:500", "X-Token-Count": "500,10"})
        if len(reports) == len(FORMS):
            break
    by_name = {worker.name: worker.form_name for worker in site.workers}
    found = [f"report: a stream went on after {by_name[name]}" for name in sorted(went_on)]
    print(f"reports: {len(reports)} of {len(FORMS)} forms read, {len(found)} faults")
    if len(reports) < len(FORMS) / 2:
        found.append("reports: too few were read to judge")
    return found


if __name__ == "__main__":
    sites.run_checks(FOLDER, [check_store, check_reports])
