"""Targets of the soak: they record what they run, and misbehave as told."""

import asyncio
import random
import time

from gatewaylib import http
from gatewaylib.proxy import Proxy

EVENT_SECONDS = 0.04
SHORT_STREAM, LONG_STREAM = 12, 90
# One stream in so many lasts for seconds, so that work after its caller has left can be seen.
LONG_EVERY = 4


def answer_text(attempt):
    return (attempt + ";") * 20


def events_of(attempt):
    number = int(attempt.rpartition("-")[2], 16)
    return LONG_STREAM if number % LONG_EVERY == 0 else SHORT_STREAM


def event(attempt, number):
    return f"id: {number}\ndata: {attempt}-{number}\n\n".encode()


class Target:
    """One life of a target."""

    def __init__(self, name, service, data_centre, trace, seed):
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.trace = trace
        self.chance = random.Random(seed)
        # Fault and the share of requests that it meets.
        self.fault = ("none", 0.0)
        self.proxy = None
        self.server = None
        self.connections = set()
        self.owes_extra = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.proxy = await Proxy(self.server.sockets[0].getsockname()[1]).start()

    def entry(self, state="ready"):
        return {
            "service": self.service, "address": f"127.0.0.1:{self.proxy.port}", "zone": self.data_centre,
            "slots": 16, "state": state, "coldRemainingMs": 0, "born": 1, "sequence": 1,
        }

    def crash(self):
        self.server.close()
        for writer in list(self.connections):
            http.reset(writer)
        self.proxy.mode = "refuse"
        self.proxy.reset_all()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while head := await http.read_head(reader):
                line, fields = head
                body = await http.read_body(reader, fields)
                if not await self.answer(line, fields, body, reader, writer):
                    return
        except (http.Broken, ConnectionError, asyncio.CancelledError):
            # The other side, or the soak itself, has ended.
            pass
        finally:
            self.connections.discard(writer)
            self.owes_extra.discard(writer)
            writer.close()

    async def answer(self, line, fields, body, reader, writer):
        attempt = fields.get("x-attempt-id", "")
        name, share = self.fault
        fault = name if self.chance.random() < share else "none"
        self.trace.add("arrived", attempt=attempt, target=self.name, deadline=fields.get("x-deadline-ms"))
        if fields.get("x-expect-instance") not in (None, self.name):
            writer.write(http.message("HTTP/1.1 421 -", {"x-instance-id": self.name, "content-length": 0}))
            return True
        if fault == "shed":
            writer.write(http.message("HTTP/1.1 503 -", {"x-not-executed": 1, "content-length": 0}))
            return True
        run = self.trace.add(
            "run", attempt=attempt, target=self.name, line=line, body=body, tenant=fields.get("x-tenant"),
            key="authorization" in fields, resumed=fields.get("last-event-id"), ended=None,
        )
        gone = asyncio.ensure_future(self.watch_for_departure(reader, run))
        try:
            if fault == "mute":
                await asyncio.sleep(20)
                return False
            if "/stream" in line:
                return await self.stream(fields, attempt, writer, fault)
            await asyncio.sleep(0.01 + self.chance.random() * 0.03)
            return self.whole(attempt, writer, fault)
        finally:
            gone.cancel()
            run.values["ended"] = time.monotonic()

    async def watch_for_departure(self, reader, run):
        # The gateway sends nothing on the connection while it waits, so readable means closed.
        while not reader.at_eof():
            await asyncio.sleep(0.02)
        run.values["left"] = time.monotonic()

    def head(self, attempt, more):
        fields = {
            "x-attempt-id": attempt, "x-response-seal": f"{self.name}.{attempt}",
            "x-server-load": f"{len(self.connections)},0,16", "content-type": "text/plain",
        }
        return http.message("HTTP/1.1 200 OK", {**fields, **more})

    def whole(self, attempt, writer, fault):
        text = answer_text(attempt).encode()
        if fault == "lost":
            http.reset(writer)
            return False
        if fault == "interim":
            writer.write(b"HTTP/1.1 100 Continue\r\nConnection: keep-alive\r\n\r\n")
            http.reset(writer)
            return False
        if fault == "bad_length":
            writer.write(self.head(attempt, {"connection": "keep-alive", "content-length": "1x"}) + text)
            return False
        if fault == "cut":
            writer.write(self.head(attempt, {"content-length": len(text)}) + text[:40])
            return False
        if writer in self.owes_extra:
            # A late second answer comes where the next one is expected.
            self.owes_extra.discard(writer)
            late = answer_text("other").encode()
            writer.write(self.head("other", {"content-length": len(late)}) + late)
        writer.write(self.head(attempt, {"content-length": len(text)}) + text)
        if fault == "extra":
            self.owes_extra.add(writer)
        return True

    async def stream(self, fields, attempt, writer, fault):
        start = int(fields.get("last-event-id") or 0)
        writer.write(self.head(attempt, {"transfer-encoding": "chunked"}))
        events = events_of(attempt)
        for number in range(start + 1, events + 1):
            await asyncio.sleep(EVENT_SECONDS)
            part = event(attempt, number)
            if fault in ("lost", "cut") and number == events // 2:
                writer.write(b"%x\r\n" % len(part) + part[: len(part) // 2])
                await asyncio.sleep(0)
                http.reset(writer)
                return False
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True
