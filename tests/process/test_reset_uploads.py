#!/usr/bin/env python3
"""Guards against MIXED: the part of an answer that came before a reset reaches a caller as a complete answer.

A worker answers an upload before it has read it, with a 200 that has no length and so ends with its connection, sends a
part of the body and resets the connection: while the upload is still being written, or after it; at once, later, or
behind a close of its own direction; with uploads that fit the kernel's buffers and longer ones, for each kind of route.
An answer that ends with an orderly close is passed on.
"""

import asyncio
import itertools
import os
import socket
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
os.environ["GATEWAY"] = os.path.abspath(os.path.join(sys.argv[1], "samphirespool-gateway"))
os.environ.setdefault("RECORD", os.devnull)

from standins import http, site as sites  # noqa: E402

KINDS = ("idempotent", "non_idempotent", "streaming")
UPLOADS = {"short": 100 << 10, "long": 3 << 20}
MAX_BODY_BYTES = 4 << 20
WORKERS = 6
DEADLINE_MS = 5000
REPETITIONS = 5
PAUSE_SECONDS = 0.05
PART = b"id: 1\ndata: SPOILED\n\nid: 2\ndata: SPOILED\n\n"


async def reset_at_once(reader, writer, left):
    http.reset(writer)


async def reset_later(reader, writer, left):
    await asyncio.sleep(PAUSE_SECONDS)
    http.reset(writer)


async def close_unread(reader, writer, left):
    """The kernel resets a connection that is closed with unread bytes."""
    await asyncio.sleep(PAUSE_SECONDS)
    writer.transport.abort()


async def reset_behind_close(reader, writer, left):
    writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
    await asyncio.sleep(PAUSE_SECONDS)
    http.reset(writer)


async def reset_right_behind_close(reader, writer, left):
    writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
    http.reset(writer)


async def reset_after_upload(reader, writer, left):
    writer.transport.resume_reading()
    await reader.readexactly(left - 1)
    http.reset(writer)


async def close_after_upload(reader, writer, left):
    writer.transport.resume_reading()
    await reader.readexactly(left)
    writer.close()


BROKEN_ENDS = {end.__name__: end for end in (reset_at_once, reset_later, close_unread, reset_behind_close,
                                             reset_right_behind_close, reset_after_upload)}
# The kernel has received a short upload as a whole, so that the close in front of the reset is orderly.
LONG_ONLY = {"close_unread", "reset_behind_close", "reset_right_behind_close"}
ENDS = {**BROKEN_ENDS, "close_after_upload": close_after_upload}


class Case:
    def __init__(self, number, kind, upload, end):
        self.path = f"/{kind}/{number}"
        self.name = f"{kind}, {upload} upload, {end}"
        self.kind = kind
        self.upload = UPLOADS[upload]
        self.end = ENDS[end]
        self.is_orderly = end not in BROKEN_ENDS
        self.attempt = None


def route(kind):
    return {"name": kind, "host": sites.HOST, "pathPrefix": f"/{kind}/", "kind": kind, "service": kind,
            "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1000, "priority": 1, "maxAttempts": 1}


def fault_of(case, answer):
    if case.attempt is None:
        return "reached no worker"
    if case.is_orderly:
        is_whole = (answer.status, answer.result, answer.body) == (200, "complete", PART)
        return None if is_whole else "a complete answer was not passed on"
    if answer.status == 200 and answer.result == "complete":
        return "a part was passed on as a complete answer"
    if case.kind != "streaming" and b"SPOILED" in answer.body:
        return "a part was passed on"
    is_cut_stream = case.kind == "streaming" and answer.result == "cut"
    return None if answer.status in (502, 504) or is_cut_stream else "the caller was not told"


async def play(site, gateway, case):
    answer = await sites.send_until_taken(case, lambda: site.send(gateway, case.path, DEADLINE_MS, b"u" * case.upload))
    fault = fault_of(case, answer)
    return [f"{case.name}: {fault}; status {answer.status}, {answer.result}"] if fault else []


async def run(site):
    numbers = itertools.count(1)
    cases = {case.path: case for case in (
        Case(next(numbers), kind, upload, end)
        for _ in range(REPETITIONS) for kind in KINDS for upload in UPLOADS for end in ENDS
        if upload == "long" or end not in LONG_ONLY)}

    async def answer_early(worker, line, fields, reader, writer):
        case = cases[line.split(" ")[1]]
        if case.attempt is not None:
            return None
        case.attempt = fields["x-attempt-id"]
        writer.transport.pause_reading()
        head = worker.fields(case.attempt, {"connection": "close"})
        writer.write(http.message("HTTP/1.1 200 OK", head, PART))
        await writer.drain()
        await case.end(reader, writer, case.upload)
        return False

    site.max_body_bytes = MAX_BODY_BYTES
    await site.start_store([route(kind) for kind in KINDS],
                           [{"name": kind, "healthPath": "/health", "maxConnections": 400} for kind in KINDS])
    for kind in KINDS:
        for number in range(WORKERS):
            (await site.add_worker(f"{kind[0]}-{number}", kind, "zone-a", slots=64)).early_handler = answer_early
    gateway = site.add_gateway("zone-a")
    if not await site.wait_ready():
        return ["the gateway did not become ready"]
    found = []
    for case in cases.values():
        found += await play(site, gateway, case)
    print(f"{len(cases)} answers, {len(found)} faults")
    return found


if __name__ == "__main__":
    sites.run_checks(FOLDER, [run])
