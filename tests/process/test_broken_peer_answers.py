#!/usr/bin/env python3
"""Guards against MIXED, REFUSED and ORDER: a gateway passes on what comes back from another gateway's address.

A gateway without a path to any worker has its requests served by stand-ins of other gateways. They answer with bytes that
are no answer, with answers of no worker or gateway, with answers to other requests, and break off streams that the next
one continues or not. None of it reaches a caller; what workers have sealed and what gateways say themselves does.
"""

import asyncio
import itertools
import os
import random
import socket
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
os.environ["GATEWAY"] = os.path.abspath(os.path.join(sys.argv[1], "samphirespool-gateway"))
os.environ.setdefault("RECORD", os.devnull)

from standins import broken_answers, broken_streams, http, site as sites  # noqa: E402
from standins.broken_answers import MARK, plain  # noqa: E402
from standins.broken_streams import BREAKS, EVENTS, NEXT, events  # noqa: E402

KINDS = ("idempotent", "non_idempotent", "streaming")
# A gateway that has failed is not asked for a while, which grows with each failure.
PEERS = 60
AT_ONCE = 6
DEADLINE_MS = 5000
MEMBER_SECONDS = 0.5
BODY = {"streaming": events(1, EVENTS)}
STATUS = {status: b"HTTP/1.1 %d -" % status for status in (200, 408, 421, 429, 500, 503)}


def unsealed(status, *lines):
    """An answer that has only these fields."""
    return lambda attempt, body: b"\r\n".join(
        [STATUS[status], *[line.replace(b"%s", attempt) for line in lines], b"Content-Length: 7", b"", MARK])


# Answers that no worker has sealed and no gateway can have given.
FOREIGN = {
    "200 of nobody": unsealed(200),
    "200 with the id alone": unsealed(200, b"X-Attempt-Id: %s"),
    "200 with a seal alone": unsealed(200, b"X-Response-Seal: seal"),
    "200 of a gateway itself": unsealed(200, b"X-Attempt-Id: %s", b"x-outcome: answered"),
    "200 to another request": unsealed(200, b"X-Attempt-Id: another", b"X-Response-Seal: seal"),
    "500 of nobody": unsealed(500),
    "500 to another request": unsealed(500, b"X-Attempt-Id: another"),
    **{f"{status} of nobody": unsealed(status) for status in (408, 421, 429, 503)},
    "503 with the id alone": unsealed(503, b"X-Attempt-Id: %s"),
    "503 of a gateway that does not know": unsealed(503, b"x-outcome: outcome unknown"),
}
GATEWAY_ERRORS = {
    "503 of a gateway": (503, b"x-outcome: not run"),
    "429 of a gateway": (429, b"x-outcome: not run"),
    "500 of a gateway": (500, b"x-outcome: outcome unknown"),
}


class Case:
    def __init__(self, number, kind, name, make, expected=None, broken_by=None, is_rest=False):
        self.path = f"/{kind}/{number}"
        self.kind = kind
        self.name = f"{kind}, {name}"
        self.make = make
        # Status and body that are passed on; None if nothing is.
        self.expected = expected
        self.broken_by = broken_by
        self.is_rest = is_rest
        self.attempt = None
        self.nexts = 0


def make_cases():
    numbers = itertools.count(1)
    for kind in KINDS:
        for name, make in {**broken_answers.HEADS, **broken_answers.BODIES, **FOREIGN}.items():
            yield Case(next(numbers), kind, name, make)
        for name, make in broken_answers.ANSWERS.items():
            yield Case(next(numbers), kind, name, make, (200, body_of(kind)))
        for name, (status, outcome) in GATEWAY_ERRORS.items():
            yield Case(next(numbers), kind, name, unsealed(status, outcome), (status, MARK))
    for broken_by in BREAKS:
        for name, (make, is_rest) in NEXT.items():
            yield Case(next(numbers), "resumable", f"{broken_by.__name__}, then {name}",
                       lambda attempt, _, make=make: make(attempt), broken_by=broken_by, is_rest=is_rest)


def body_of(kind):
    return BODY.get(kind, b"the body of the worker")


def fault_of(case, answer):
    if case.attempt is None:
        return f"reached no gateway: {answer.body}"
    if case.broken_by:
        fault = broken_streams.fault_of(answer)
        is_cut = case.is_rest and case.nexts > 0 and answer.result != "complete"
        return fault or ("the stream did not go on" if is_cut else None)
    if case.expected:
        is_passed_on = (answer.status, answer.body, answer.result) == (*case.expected, "complete")
        return None if is_passed_on else "an answer was not passed on"
    seen = answer.body + " ".join(f"{name} {value}" for name, value in answer.fields.items()).encode("latin-1")
    if MARK in seen.upper():
        return "what is no answer was passed on"
    is_cut = case.kind == "streaming" and answer.result == "cut"
    is_error = answer.status in (502, 504) and answer.fields.get("x-outcome") == "outcome unknown"
    return None if is_cut or is_error else "the caller was not told that the outcome is unknown"


class Peers:
    """Stand-ins of other gateways, and their entries in the store."""

    def __init__(self, site, cases):
        self.site = site
        self.cases = {case.path: case for case in cases}
        self.entries = {}

    async def start(self):
        for number in range(PEERS):
            ip = f"{self.site.network}.{180 + number}"
            server = await asyncio.start_server(self.serve, ip, 0)
            port = server.sockets[0].getsockname()[1]
            self.entries[f"peer-{number}"] = {"peerAddress": f"{ip}:1", "dataCentre": "zone-a", "capacity": 0,
                                              "relayAddress": f"{ip}:{port}"}

    async def keep_members(self):
        """The gateway takes members that are silent out of the list."""
        while True:
            for name, entry in self.entries.items():
                if ("routers", name) not in self.site.store.objects:
                    await self.site.store.put("routers", name, entry)
            await asyncio.sleep(MEMBER_SECONDS)

    async def serve(self, reader, writer):
        try:
            while head := await http.read_head(reader):
                await http.read_body(reader, head[1])
                if not await self.answer(*head, writer):
                    return
        except (http.BrokenMessage, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, line, fields, writer):
        case = self.cases[line.split(" ")[1]]
        attempt = fields["x-attempt-id"].encode()
        if case.attempt is None:
            case.attempt = attempt.decode()
            if case.broken_by:
                await case.broken_by(writer, attempt)
            else:
                writer.write(case.make(attempt, body_of(case.kind)))
        elif case.broken_by and case.attempt == attempt.decode():
            case.nexts += 1
            writer.write(case.make(attempt, b""))
        else:
            writer.write(plain(attempt, body_of(case.kind)))
        await writer.drain()
        # Closes also what has a length, or ends with chunks, before its end.
        await asyncio.sleep(0.05)
        return False


def closed_address(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return "%s:%d" % probe.getsockname()


async def play(site, gateway, case):
    answer = await sites.send_until_taken(case, lambda: site.send(gateway, case.path, DEADLINE_MS, b"a request"))
    fault = fault_of(case, answer)
    return [f"{case.name}: {fault}; status {answer.status}, {answer.result}"] if fault else []


def route(kind):
    return {"name": kind, "host": sites.HOST, "pathPrefix": f"/{kind}/",
            "kind": "streaming" if kind == "resumable" else kind, "service": "models", "timeoutMs": DEADLINE_MS,
            "targetLatencyMs": 1000, "gapTargetMs": 1000, "priority": 1,
            "maxAttempts": 3 if kind == "resumable" else 1, "streamResume": kind == "resumable"}


async def run(site):
    cases = list(make_cases())
    # Each stream may be resumed.
    site.bounds = {**site.bounds, "retryBudgetBurst": 10 * len(cases), "retryBudgetRatio": 100}
    await site.start_store([route(kind) for kind in (*KINDS, "resumable")],
                           [{"name": "models", "healthPath": "/health", "maxConnections": 400}])
    for number in range(2):
        worker = await site.add_worker(f"m-{number}", "models", "zone-a", slots=64)
        worker.server.close()
        worker.address = closed_address(f"{site.network}.{100 + number}")
        await worker.register()
    peers = Peers(site, cases)
    await peers.start()
    gateway = site.add_gateway("zone-a")
    if not await site.wait_ready():
        return ["the gateway did not become ready"]
    members = asyncio.ensure_future(peers.keep_members())
    random.Random(51).shuffle(cases)
    left = iter(cases)
    found = []

    async def play_all():
        for case in left:
            found.extend(await play(site, gateway, case))

    await asyncio.gather(*(play_all() for _ in range(AT_ONCE)))
    members.cancel()
    resumed = sum(case.nexts > 0 for case in cases)
    print(f"{len(cases)} answers, {resumed} streams sent to another gateway, {len(found)} faults")
    if resumed < len(BREAKS) * len(NEXT) / 2:
        found.append("too few streams were resumed to judge")
    return found


if __name__ == "__main__":
    sites.run_checks(FOLDER, [run])
