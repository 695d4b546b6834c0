#!/usr/bin/env python3
"""Guards against ORDER and MIXED: a stream breaks off, and what the next worker answers stands in the middle of it, or
ends it as if it were complete.

The first worker of each stream breaks it off: with a reset, inside an event, between two chunks, or by closing a stream
without a length inside an event. The next one answers with an error, with something else than events, with events that
do not follow, with bytes that are no answer, or with the rest. Each stream ends whole, or the caller sees that it was
cut; it holds the events in order, once, and nothing else. The routes are resumable, or not.
"""

import asyncio
import itertools
import os
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
os.environ["GATEWAY"] = os.path.abspath(os.path.join(sys.argv[1], "samphirespool-gateway"))
os.environ.setdefault("RECORD", os.devnull)

from standins import broken_streams, site as sites  # noqa: E402
from standins.broken_streams import BREAKS, EVENTS, NEXT, events, stream  # noqa: E402

# Each of them fails a few times, and targets that have just failed get fewer requests.
WORKERS = 90
AT_ONCE = 8
DEADLINE_MS = 6000
ROUTES = ("resumable", "single")


class Case:
    def __init__(self, number, route, broken_by, name):
        self.path = f"/{route}/{number}"
        self.route = route
        self.name = f"{route}, {broken_by.__name__}, then {name}"
        self.broken_by = broken_by
        self.next, self.is_rest = NEXT[name]
        self.attempt = None
        self.nexts = 0


def fault_of(case, answer):
    if case.attempt is None:
        return "reached no worker"
    fault = broken_streams.fault_of(answer)
    if fault is None and case.is_rest and case.nexts > 0 and answer.result != "complete":
        return "the stream did not go on"
    if fault is None and case.route == "single" and case.nexts > 0:
        return "a stream that may not be resumed was sent again"
    return fault


async def play(site, gateway, case):
    answer = await sites.send_until_taken(case, lambda: site.send(gateway, case.path, DEADLINE_MS, b"a request"))
    fault = fault_of(case, answer)
    return [f"{case.name}: {fault}; status {answer.status}, {answer.result}"] if fault else []


async def run(site):
    numbers = itertools.count(1)
    cases = [Case(next(numbers), route, broken_by, name)
             for route in ROUTES for broken_by in BREAKS for name in (NEXT if route == "resumable" else ["the rest"])]
    by_path = {case.path: case for case in cases}

    async def answer(worker, line, fields, body, reader, writer):
        case = by_path[line.split(" ")[1]]
        attempt = fields["x-attempt-id"]
        if case.attempt is None:
            case.attempt = attempt
            await case.broken_by(writer, attempt.encode())
        elif case.attempt == attempt:
            case.nexts += 1
            writer.write(case.next(attempt.encode()))
        else:
            writer.write(stream(events(1, EVENTS))(attempt.encode()))
        await writer.drain()
        # Closes also what has a length, or ends with chunks, before its end.
        await asyncio.sleep(0.05)
        return False

    # Each stream may be resumed.
    site.bounds = {**site.bounds, "retryBudgetBurst": 10 * len(cases), "retryBudgetRatio": 100}
    await site.start_store(
        [{"name": route, "host": sites.HOST, "pathPrefix": f"/{route}/", "kind": "streaming", "service": "models",
          "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1000, "gapTargetMs": 1000, "priority": 1, "maxAttempts": 3,
          "streamResume": route == "resumable"} for route in ROUTES],
        [{"name": "models", "healthPath": "/health", "maxConnections": 400}])
    for number in range(WORKERS):
        (await site.add_worker(f"m-{number}", "models", "zone-a", slots=64)).handler = answer
    gateway = site.add_gateway("zone-a")
    if not await site.wait_ready():
        return ["the gateway did not become ready"]
    left = iter(cases)
    found = []

    async def play_all():
        for case in left:
            found.extend(await play(site, gateway, case))

    await asyncio.gather(*(play_all() for _ in range(AT_ONCE)))
    resumed = sum(case.nexts > 0 for case in cases)
    print(f"{len(cases)} streams, {resumed} sent to another worker, {len(found)} faults")
    if resumed < len(cases) / 2:
        found.append("too few streams were resumed to judge")
    return found


if __name__ == "__main__":
    sites.run_checks(FOLDER, [run])
