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

from standins import broken_answers, http, site as sites  # noqa: E402

EVENTS = 6
BROKEN_AFTER = 3
# Each of them fails a few times, and targets that have just failed get fewer requests.
WORKERS = 90
AT_ONCE = 8
DEADLINE_MS = 6000
MAX_TRIES = 40
ROUTES = ("resumable", "single")
MARK = b"SPOILED"
EVENT_FIELDS = [b"Content-Type: text/event-stream"]


def event(number):
    return b"id: %d\ndata: event %d\n\n" % (number, number)


def events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


def plain(status, body, fields=()):
    return lambda attempt: broken_answers.plain(attempt, body, status=b"HTTP/1.1 " + status, lines=fields)


def stream(body, status=b"200 OK"):
    return plain(status, body, EVENT_FIELDS)


ERROR = b"id: 4\ndata: SPOILED\n\n"
# By name: the next worker's answer, and whether it is the rest.
NEXT = {
    "the rest": (stream(events(4, EVENTS)), True),
    "the rest, and the last event again": (stream(events(3, EVENTS)), True),
    "500": (plain(b"500 -", MARK), False),
    "500 that looks like the rest": (stream(ERROR, b"500 -"), False),
    "404 that looks like the rest": (stream(ERROR, b"404 -"), False),
    "409 without a body": (plain(b"409 -", b""), False),
    "204": (lambda attempt: broken_answers.plain(attempt, b"", status=b"HTTP/1.1 204 -", framing=[]), False),
    "206": (stream(ERROR, b"206 -"), False),
    "200 with a page": (plain(b"200 OK", b"<p>SPOILED</p>\n\n", [b"Content-Type: text/html"]), False),
    "200 with a page without a type": (plain(b"200 OK", b"<p>SPOILED</p>\n\n"), False),
    "200 with text among its events": (stream(b"SPOILED\n\n" + events(4, EVENTS)), False),
    "200 with an error as an event without an id": (stream(b"event: error\ndata: SPOILED\n\n"), False),
    "200 without events": (stream(b""), False),
    "200 without events that ends by its close": (
        lambda attempt: broken_answers.plain(attempt, b"", lines=EVENT_FIELDS, framing=[]), False),
    "200 that begins anew": (stream(b"id: 1\ndata: SPOILED\n\n" + events(2, EVENTS)), False),
    "200 that leaves an event out": (stream(b"id: 5\ndata: SPOILED\n\n" + event(6)), False),
    "200 that ends inside an event": (stream(b"id: 4\ndata: SPOILED"), False),
    "status 000": (lambda attempt: broken_answers.plain(attempt, ERROR, status=b"HTTP/1.1 000 -"), False),
    "malformed head": (plain(b"200 OK", ERROR, [b"X SPOILED: v"]), False),
    "no answer": (lambda attempt: b"SPOILED\r\n\r\n", False),
    "answer to another request": (lambda attempt: broken_answers.plain(b"another", ERROR, lines=EVENT_FIELDS), False),
    "the close of the connection": (lambda attempt: b"", False),
}


async def break_inside_event(writer, attempt):
    writer.write(broken_answers.plain(attempt, events(1, BROKEN_AFTER) + b"id: 4\nda", lines=EVENT_FIELDS,
                                      framing=[b"Content-Length: 5000"]))


async def break_between_chunks(writer, attempt):
    writer.write(broken_answers.chunked(attempt, broken_answers.chunk(events(1, BROKEN_AFTER)), EVENT_FIELDS))


async def close_without_length(writer, attempt):
    writer.write(broken_answers.plain(attempt, events(1, BROKEN_AFTER) + b"id: 4\nda", lines=EVENT_FIELDS, framing=[]))


async def reset_without_length(writer, attempt):
    writer.write(broken_answers.plain(attempt, events(1, BROKEN_AFTER), lines=EVENT_FIELDS, framing=[]))
    await writer.drain()
    await asyncio.sleep(0.05)
    http.reset(writer)


BREAKS = (break_inside_event, break_between_chunks, close_without_length, reset_without_length)


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
    if MARK in answer.body:
        return "the next worker's bytes stand in the stream"
    if not events(1, EVENTS).startswith(answer.body):
        return f"the events are not in order: {answer.body}"
    if answer.result == "complete" and answer.body != events(1, EVENTS):
        return "the stream ended as if it were complete"
    if case.is_rest and case.nexts > 0 and answer.result != "complete":
        return "the stream did not go on"
    if case.route == "single" and case.nexts > 0:
        return "a stream that may not be resumed was sent again"
    return None


async def play(site, gateway, case):
    for _ in range(MAX_TRIES):
        answer = await site.send(gateway, case.path, DEADLINE_MS, b"a request")
        if answer.attempt == case.attempt:
            break
        await asyncio.sleep(float(answer.fields.get("retry-after", 0.05)))
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
