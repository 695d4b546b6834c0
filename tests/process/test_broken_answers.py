#!/usr/bin/env python3
"""Guards against MIXED: bytes of a worker that are no answer reach a caller as one, or as a part of one.

A gateway between callers and workers whose answers are malformed: each kind of malformed head and body, whole and in
small pieces, for each kind of route, on new connections and on kept ones. Such an answer is a failed attempt of unknown
outcome, and its connection carries no further request. Unusual answers that are well-formed are passed on.
"""

import asyncio
import itertools
import os
import random
import re
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
os.environ["GATEWAY"] = os.path.abspath(os.path.join(sys.argv[1], "samphirespool-gateway"))
os.environ.setdefault("RECORD", os.devnull)

from standins import broken_answers, http, site as sites  # noqa: E402

KINDS = ("idempotent", "non_idempotent", "streaming")
WORKERS = 12
AT_ONCE = 12
DEADLINE_MS = 5000
# A piece of the answer, and the pause behind it; one piece is the whole answer.
PIECES = {"whole": (1 << 20, 0), "in pieces": (5, 0.001)}
# A connection that carries no further request is closed by then.
CLOSE_SECONDS = 2.0
METRICS_PORT = 9464
# The log is written at least so often.
LOG_SECONDS = 0.5
FAULTS = ("status_line", "field_line", "framing_fields", "chunk", "trailer")
STREAM = b"id: 1\ndata: of the worker\n\nid: 2\ndata: of the worker\n\n"


def route(kind):
    return {"name": kind, "host": sites.HOST, "pathPrefix": f"/{kind}/", "kind": kind, "service": kind,
            "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1000, "priority": 1, "maxAttempts": 1}


def body_of(kind):
    return STREAM if kind == "streaming" else b"the body of the worker"


class Case:
    """One kind of answer, at one kind of route, on one kind of connection."""

    def __init__(self, number, kind, name, make, pieces, is_kept):
        self.path = f"/{kind}/{number}"
        self.kind = kind
        self.name = f"{kind}, {name}, {pieces}, on a {'kept' if is_kept else 'new'} connection"
        self.make = make
        self.pieces = PIECES[pieces]
        self.is_kept = is_kept
        self.is_well_formed = name in broken_answers.ANSWERS
        self.has_broken_head = name in broken_answers.HEADS
        self.attempt = None
        self.used_again = False


class Workers:
    """Answers each request as its case says."""

    def __init__(self, cases):
        self.cases = {case.path: case for case in cases}

    async def handle(self, worker, line, fields, body, reader, writer):
        case = self.cases.get(line.split(" ")[1].rpartition("?")[0] or line.split(" ")[1])
        is_fresh = not getattr(writer, "was_used", False)
        writer.was_used = True
        attempt = fields["x-attempt-id"].encode()
        if case is None or case.attempt is not None or (case.is_kept and is_fresh):
            writer.write(broken_answers.plain(attempt, body_of(line.split("/")[1])))
            await writer.drain()
            return True
        case.attempt = attempt.decode()
        await broken_answers.send_in_pieces(writer, case.make(attempt, body_of(case.kind)), *case.pieces)
        if case.is_well_formed:
            return True
        try:
            case.used_again = bool(await asyncio.wait_for(reader.read(1), CLOSE_SECONDS))
        except (asyncio.TimeoutError, OSError):
            pass
        return False


class Caller:
    """Sends requests over one connection for as long as it stays open."""

    def __init__(self, site, gateway):
        self.site = site
        self.gateway = gateway
        self.connection = None

    async def send(self, path):
        if self.connection is None:
            self.connection = await self.site.connect(self.gateway)
        answer = await self.site.send(self.gateway, path, DEADLINE_MS, b"a request", kept=self.connection)
        if answer.result != "complete" or "close" in answer.fields.get("connection", ""):
            self.connection[1].close()
            self.connection = None
        return answer


def faults_of(case, answer):
    if case.attempt is None:
        return ["reached no worker"]
    seen = answer.body + " ".join(f"{name} {value}" for name, value in answer.fields.items()).encode("latin-1")
    result = []
    if case.is_well_formed:
        if (answer.status, answer.result, answer.body) != (200, "complete", body_of(case.kind)):
            result.append("an answer was not passed on")
        return result
    if broken_answers.MARK in seen.upper():
        result.append("malformed bytes were passed on")
    if case.used_again:
        result.append("the connection was used again")
    is_cut_stream = case.kind == "streaming" and not case.has_broken_head and answer.result == "cut"
    is_error = answer.status in (502, 504) and answer.fields.get("x-outcome") == "outcome unknown"
    if not is_error and not is_cut_stream:
        result.append("the caller was not told that the outcome is unknown")
    return result


async def play(caller, case):
    answer = await sites.send_until_taken(case, lambda: caller.send(case.path))
    return [f"{case.name}: {fault}; status {answer.status}, {answer.result}" for fault in faults_of(case, answer)]


async def unreported_faults(site, gateway):
    """Kinds of malformed answers that the gateway's log or its metrics do not name."""
    reader, writer = await asyncio.open_connection(gateway.ip, METRICS_PORT)
    writer.write(http.message("GET /metrics HTTP/1.1", {"Host": "metrics", "Connection": "close"}))
    metrics = (await reader.read()).decode()
    writer.close()
    with open(os.path.join(site.folder, f"{gateway.name}.{gateway.starts}.log"), encoding="utf-8") as log:
        text = log.read()
    counted = [fault for fault in FAULTS if re.search(
        rf'^broken_responses_total{{[^}}]*fault="{fault}"[^}}]*}} [1-9]', metrics, re.M)]
    logged = [fault for fault in FAULTS if f'"fault":"{fault}"' in text]
    return [f"the fault {fault} is not in the {where}" for where, known in (("metrics", counted), ("log", logged))
            for fault in FAULTS if fault not in known]


def make_cases():
    numbers = itertools.count(1)
    forms = {**broken_answers.HEADS, **broken_answers.BODIES, **broken_answers.ANSWERS}
    # A request that may not be repeated is never sent on a kept connection.
    return [Case(next(numbers), kind, name, make, pieces, is_kept)
            for kind in KINDS for name, make in forms.items() for pieces in PIECES
            for is_kept in (False, True) if kind == "idempotent" or not is_kept]


async def run(site):
    cases = make_cases()
    workers = Workers(cases)
    await site.start_store([route(kind) for kind in KINDS],
                           [{"name": kind, "healthPath": "/health", "maxConnections": 400} for kind in KINDS])
    for kind in KINDS:
        for number in range(WORKERS):
            (await site.add_worker(f"{kind[0]}-{number}", kind, "zone-a", slots=64)).handler = workers.handle
    gateway = site.add_gateway("zone-a")
    if not await site.wait_ready():
        return ["the gateway did not become ready"]
    random.Random(51).shuffle(cases)
    left = iter(cases)
    found = []

    async def play_all():
        caller = Caller(site, gateway)
        for case in left:
            found.extend(await play(caller, case))

    await asyncio.gather(*(play_all() for _ in range(AT_ONCE)))
    for kind in KINDS:
        answer = await Caller(site, gateway).send(f"/{kind}/ordinary")
        if (answer.status, answer.body) != (200, body_of(kind)):
            found.append(f"{kind}: an ordinary request got {answer.status}, {answer.result}")
    if not gateway.running():
        return [*found, "the gateway has ended"]
    await asyncio.sleep(LOG_SECONDS)
    found += await unreported_faults(site, gateway)
    print(f"{len(cases)} answers, {len(found)} faults")
    return found


if __name__ == "__main__":
    sites.run_checks(FOLDER, [run])
