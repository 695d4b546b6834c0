#!/usr/bin/env python3
"""Guards against LOST and processes that end by themselves: a worker sends bytes that are no answer without end, and the
machine that has called it keeps them all.

One gateway of little memory. The workers of a service send heads or bodies without end until their caller closes, or
stop just short of the longest head; a crowd of requests goes there, at each kind of route. The gateway stays within its
memory, the crowd is told of a failure, and the requests of others are answered meanwhile. One service for each kind of
answer, since fewer requests are sent to targets that have failed.
"""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
sys.path.insert(0, os.path.join(FOLDER, "support"))
os.environ["GATEWAY"] = os.path.abspath(os.path.join(sys.argv[1], "samphirespool-gateway"))
os.environ.setdefault("RECORD", os.devnull)

from hostile import MEGABYTE, MEMORY_MB  # noqa: E402
from process_memory import Meter  # noqa: E402
from standins import site as sites  # noqa: E402

KINDS = ("idempotent", "non_idempotent", "streaming")
CROWD = 90
WORKERS = 3
CASE_SECONDS = 2.0
DEADLINE_MS = 1500
BLOCK = b"x" * 65536
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal\r\n"
FAILURE = b"HTTP/1.1 500 -\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal\r\n"
EVENTS = HEAD + b"Content-Type: text/event-stream\r\n"
# The start of the answer, and what follows it without end; nothing follows if that is empty.
ENDLESS = {
    "bytes that are no answer": (b"", BLOCK),
    "zero bytes": (b"", b"\0" * 65536),
    "empty lines": (b"", b"\r\n" * 32768),
    "reason": (b"HTTP/1.1 200 ", BLOCK),
    "fields": (HEAD, b"X-Field: value\r\n" * 4096),
    "field": (HEAD + b"X-Field: ", BLOCK),
    "interim heads": (b"", b"HTTP/1.1 103 -\r\nLink: a\r\n\r\n" * 2048),
    "heads left open": (HEAD + b"X-Field: " + b"x" * 65000, b""),
    "body of a huge length": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", BLOCK),
    "body without a length": (HEAD + b"\r\n", BLOCK),
    "body in chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + BLOCK + b"\r\n"),
    "body in tiny chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 8192),
    "chunk extension": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;", BLOCK),
    "trailers": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Field: value\r\n" * 4096),
    "body of a failure": (FAILURE + b"\r\n", BLOCK),
    "body of a failure in chunks": (FAILURE + b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + BLOCK + b"\r\n"),
    "body of a refusal": (FAILURE.replace(b"500", b"503") + b"X-Not-Executed: 1\r\n\r\n", BLOCK),
    "body of a 421": (FAILURE.replace(b"500", b"421") + b"\r\n", BLOCK),
    "body of a 404": (FAILURE.replace(b"500", b"404") + b"\r\n", BLOCK),
    "event": (EVENTS + b"\r\nid: 1\ndata: ", BLOCK),
    "bytes behind an answer": (HEAD + b"Content-Length: 2\r\n\r\nok", BLOCK),
    "bytes behind a head without a body": (HEAD.replace(b"200 OK", b"204 -") + b"\r\n", BLOCK),
}


def route(kind, service):
    return {"name": f"{kind}-{service}", "host": sites.HOST, "pathPrefix": f"/{service}/{kind}/", "kind": kind,
            "service": service, "timeoutMs": 15000, "targetLatencyMs": 1000, "priority": 1, "maxAttempts": 2}


def service_of(name):
    return name.replace(" ", "-")


class Endless:
    def __init__(self, start, repeated):
        self.start, self.repeated = start, repeated
        self.arrived = 0

    async def answer(self, worker, line, fields, body, reader, writer):
        self.arrived += 1
        writer.write(self.start.replace(b"%s", fields["x-attempt-id"].encode()))
        while self.repeated:
            writer.write(self.repeated)
            await writer.drain()
        await reader.read(1)
        return False


async def play(site, gateway, endless, name):
    crowd = [asyncio.ensure_future(
        site.send(gateway, f"/{service_of(name)}/{KINDS[i % 3]}/{i}", DEADLINE_MS, b"one of a crowd"))
        for i in range(CROWD)]
    ordinary = 0
    end = asyncio.get_running_loop().time() + CASE_SECONDS
    while asyncio.get_running_loop().time() < end:
        answer = await site.send(gateway, f"/sound/{KINDS[ordinary % 3]}/x", 3000, b"an ordinary request")
        if answer.status != 200 or answer.result != "complete":
            return [f"{name}: an ordinary request got {answer.status}, {answer.result}"]
        ordinary += 1
        await asyncio.sleep(0.02)
    # Whole answers with bytes behind them are answers.
    accepted = (200, 204) if name.startswith("bytes behind") else ()
    found = [f"{name}: one of the crowd got {answer.status}, {answer.result}"
             for answer in await asyncio.gather(*crowd)
             if answer.status // 100 == 2 and answer.result == "complete" and answer.status not in accepted]
    if endless.arrived < CROWD / 3:
        found.append(f"{name}: only {endless.arrived} requests reached a worker")
    return found


async def run(site):
    site.limits = {**site.limits, "memoryMb": MEMORY_MB}
    names = sys.argv[2:] or ENDLESS
    services = [*map(service_of, names), "sound"]
    await site.start_store([route(kind, service) for kind in KINDS for service in services],
                           [{"name": service, "healthPath": "/health", "maxConnections": 400} for service in services])
    senders = {name: Endless(*ENDLESS[name]) for name in names}
    handlers = {service_of(name): sender.answer for name, sender in senders.items()} | {"sound": answer_events}
    for service, handler in handlers.items():
        for number in range(WORKERS):
            (await site.add_worker(f"{service}-{number}", service, "zone-a", slots=64)).handler = handler
    gateway = site.add_gateway("zone-a")
    if not await site.wait_ready():
        return ["the gateway did not become ready"]
    found = []
    plays = [(name, play(site, gateway, endless, name)) for name, endless in senders.items()]
    for name, played in [*plays, ("store", play_store(site, gateway))]:
        meter = Meter(gateway.process.pid, [gateway.port])
        found += await played
        meter.stop()
        most_mb = meter.most_bytes / MEGABYTE
        print(f"{name}: {most_mb:.0f} MB of {MEMORY_MB} at most", flush=True)
        if most_mb > MEMORY_MB:
            found.append(f"{name}: {most_mb:.0f} MB of {MEMORY_MB}")
        if not gateway.running():
            return [*found, f"{name}: the gateway has ended"]
    return found


async def play_store(site, gateway):
    """The store's answers have no end for a while; then a change of the configuration is read again."""
    site.store.bytes_without_end = b"\r\n" + BLOCK
    # Ends the watches that wait.
    for kind in ("config", "servers", "evacuations", "routers", "quarantine", "rollouts", "stream-origins"):
        await site.store.put(kind, "main", site.config)
    found = []
    end = asyncio.get_running_loop().time() + CASE_SECONDS
    while asyncio.get_running_loop().time() < end:
        answer = await site.send(gateway, "/sound/idempotent/x", 3000, b"an ordinary request")
        if answer.status != 200 or answer.result != "complete":
            found.append(f"store: an ordinary request got {answer.status}, {answer.result}")
        await asyncio.sleep(0.02)
    site.store.bytes_without_end = None
    return found


async def answer_events(worker, line, fields, body, reader, writer):
    """A body that suits each kind of route."""
    attempt = fields["x-attempt-id"].encode()
    writer.write(HEAD % attempt + b"Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n")
    await writer.drain()
    return True


if __name__ == "__main__":
    sites.run_checks(FOLDER, [run])
