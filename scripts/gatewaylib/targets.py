"""Stand-in targets of the soak. They record each request that they run and inject the fault that is set."""

import asyncio
import json
import random
import time

from gatewaylib import http
from gatewaylib.proxy import Proxy

# Start of each target, which never starts again under its name.
BORN = 1
EVENT_INTERVAL_SECONDS = 0.04
SHORT_STREAM_EVENTS, LONG_STREAM_EVENTS = 12, 90
# One stream in this many is long: it lasts for seconds, so that work that goes on after its caller
# disconnected is observed.
LONG_STREAM_INTERVAL = 4


def response_text(attempt):
    return (attempt + ";") * 20


def event_count(attempt):
    number = int(attempt.rpartition("-")[2], 16)
    return LONG_STREAM_EVENTS if number % LONG_STREAM_INTERVAL == 0 else SHORT_STREAM_EVENTS


def format_event(attempt, number):
    return f"id: {number}\ndata: {attempt}-{number}\n\n".encode()


class Target:
    """One incarnation of a target; a replacement gets a new name."""

    def __init__(self, name, service, data_centre, trace, seed):
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.trace = trace
        self.rng = random.Random(seed)
        # Two software versions serve side by side; names are numbered.
        self.software = ("v1", "v2")[int(name.rpartition("-")[2]) % 2]
        # Name of the fault, and the share of requests that it affects.
        self.fault = ("none", 0.0)
        # Added to the time that each answer takes.
        self.extra_seconds = 0.0
        # Stated in its responses.
        self.is_leaving = False
        self.proxy = None
        self.server = None
        self.connections = set()
        # Connections on which a second response precedes the next one.
        self.extra_response_pending = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.proxy = await Proxy(self.server.sockets[0].getsockname()[1]).start()

    def entry(self, state="ready"):
        """The target's object in the store."""
        return {
            "service": self.service, "address": f"127.0.0.1:{self.proxy.port}", "zone": self.data_centre,
            "slots": 16, "state": state, "coldRemainingMs": 0, "born": BORN, "sequence": 1,
            "version": self.software,
        }

    def crash(self):
        self.server.close()
        for writer in list(self.connections):
            http.reset_connection(writer)
        self.proxy.mode = "refuse"
        self.proxy.reset_all()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while head := await http.read_head(reader):
                line, fields = head
                body = await http.read_body(reader, fields)
                if not await self.respond(line, fields, body, reader, writer):
                    return
        except (http.IncompleteMessage, ConnectionError, asyncio.CancelledError):
            # The peer closed the connection, or the soak has finished.
            pass
        finally:
            self.connections.discard(writer)
            self.extra_response_pending.discard(writer)
            writer.close()

    async def respond(self, line, fields, body, reader, writer):
        if line.startswith("GET /report "):
            text = json.dumps({"stage": "prefill_decode", "born": BORN}).encode()
            writer.write(http.format_message("HTTP/1.1 200 OK", {"content-length": len(text)}) + text)
            return True
        attempt = fields.get("x-attempt-id", "")
        name, share = self.fault
        fault = name if self.rng.random() < share else "none"
        self.trace.add("arrived", attempt=attempt, target=self.name, deadline=fields.get("x-deadline-ms"))
        if fields.get("x-expect-instance") not in (None, self.name):
            writer.write(http.format_message(
                "HTTP/1.1 421 -", {"x-instance-id": self.name, "content-length": 0}))
            return True
        if fault == "shed":
            writer.write(http.format_message("HTTP/1.1 503 -", {"x-not-executed": 1, "content-length": 0}))
            return True
        run = self.trace.add(
            "run", attempt=attempt, target=self.name, line=line, body=body, tenant=fields.get("x-tenant"),
            key="authorization" in fields, resumed=fields.get("last-event-id"), ended=None,
            software=self.software, sent=0,
        )
        disconnect_watch = asyncio.ensure_future(self.watch_for_disconnect(reader, run))
        try:
            if fault == "mute":
                await asyncio.sleep(20)
                return False
            if "/stream" in line:
                return await self.send_stream(fields, attempt, writer, fault, run)
            await asyncio.sleep(0.01 + self.rng.random() * 0.03 + self.extra_seconds)
            if fault == "error":
                writer.write(self.response_head(attempt, {"content-length": 0}).replace(b"200 OK", b"500 -", 1))
                return True
            return self.send_response(attempt, writer, fault)
        finally:
            disconnect_watch.cancel()
            run.values["ended"] = time.monotonic()

    async def watch_for_disconnect(self, reader, run):
        # The gateway sends nothing on the connection while it waits, so readable means closed.
        while not reader.at_eof():
            await asyncio.sleep(0.02)
        run.values["disconnected"] = time.monotonic()

    def response_head(self, attempt, more):
        fields = {
            "x-attempt-id": attempt, "x-response-seal": f"{self.name}.{attempt}",
            "x-server-load": f"{len(self.connections)},0,16", "content-type": "text/plain",
        }
        if self.is_leaving:
            fields["server-leaving"] = 1
        return http.format_message("HTTP/1.1 200 OK", {**fields, **more})

    def send_response(self, attempt, writer, fault):
        text = response_text(attempt).encode()
        if fault == "lost":
            http.reset_connection(writer)
            return False
        if fault == "interim":
            writer.write(b"HTTP/1.1 100 Continue\r\nConnection: keep-alive\r\n\r\n")
            http.reset_connection(writer)
            return False
        if fault == "bad_length":
            writer.write(self.response_head(
                attempt, {"connection": "keep-alive", "content-length": "1x"}) + text)
            return False
        if fault == "cut":
            writer.write(self.response_head(attempt, {"content-length": len(text)}) + text[:40])
            return False
        if writer in self.extra_response_pending:
            # A late second response arrives where the next one is expected.
            self.extra_response_pending.discard(writer)
            late = response_text("other").encode()
            writer.write(self.response_head("other", {"content-length": len(late)}) + late)
        writer.write(self.response_head(attempt, {"content-length": len(text)}) + text)
        if fault == "extra":
            self.extra_response_pending.add(writer)
        return True

    async def send_stream(self, fields, attempt, writer, fault, run):
        start = int(fields.get("last-event-id") or 0)
        writer.write(self.response_head(attempt, {"transfer-encoding": "chunked"}))
        events = event_count(attempt)
        for number in range(start + 1, events + 1):
            await asyncio.sleep(EVENT_INTERVAL_SECONDS + self.extra_seconds)
            part = format_event(attempt, number)
            if fault in ("lost", "cut") and number == events // 2:
                writer.write(b"%x\r\n" % len(part) + part[: len(part) // 2])
                await asyncio.sleep(0)
                http.reset_connection(writer)
                return False
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            run.values["sent"] = number - start
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True
