"""A worker of a service, as PROTOCOL.md describes it: it registers itself in the store, names itself, echoes
the attempt's id, seals its answers and works on one request at a time on a connection. Heartbeats change no
entry, so they are left out."""

import asyncio
import json
import time

from standins import http


class Worker:
    def __init__(self, record, store, name, service, zone, slots=16, version="1"):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.version = version
        self.state = "ready"
        self.cold_ms = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.work_seconds = 0.02
        self.running = 0
        self.runs = []
        self.connections = set()
        self.address = None
        self.server = None
        # async handler(worker, line, fields, body, reader, writer); returns True to use the connection again,
        # False to close it, None to let the worker answer as usual.
        self.handler = None
        # async handler(worker, line, fields, reader, writer), called before the body is read; returns False to
        # close the connection, None to go on as usual.
        self.early_handler = None
        # async handler(worker, line, fields, reader, writer) of requests for the worker's own report; returns False
        # to close the connection, None to answer as usual.
        self.report_handler = None
        # Called with the attempt of each request that arrives, those that it turns away included.
        self.on_arrival = None

    async def start(self, ip):
        await self.listen(ip, 0)
        await self.register()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": self.state, "coldRemainingMs": self.cold_ms,
                "sequence": self.sequence, "born": self.born}

    async def register(self):
        while None in self.store.silent:
            await asyncio.sleep(0.1)
        self.sequence += 1
        return await self.store.put("servers", self.name, self.entry())

    async def restart_in_place(self, version, down_seconds):
        """Stops, and starts again under the same id and address."""
        ip, port = self.address.rsplit(":", 1)
        await self.stop()
        await asyncio.sleep(down_seconds)
        self.version = version
        self.sequence = 0
        self.born = int(time.time() * 1000)
        await self.listen(ip, int(port))
        self.record(self.name, "started", f"version {version}")
        asyncio.ensure_future(self.register())

    async def stop(self):
        """Stops for good. Whatever is in work is lost."""
        self.record(self.name, "stopped")
        self.server.close()
        for writer in list(self.connections):
            http.reset(writer)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while head := await http.read_head(reader):
                line, fields = head
                if "/health" in line:
                    status = 200 if self.state == "ready" else 503
                    writer.write(http.message(f"HTTP/1.1 {status} -", {
                        "x-instance-id": self.name, "x-cold-ms": self.cold_ms, "content-length": 0}))
                    continue
                if self.report_handler is not None and line.startswith("GET /report "):
                    if await self.report_handler(self, line, fields, reader, writer) is False:
                        return
                if line.startswith("GET /report "):
                    text = json.dumps({"stage": "prefill_decode", "born": self.born}).encode()
                    writer.write(http.message("HTTP/1.1 200 OK", {
                        "content-type": "application/json", "content-length": len(text)}, text))
                    continue
                attempt = fields.get("x-attempt-id", "")
                if fields.get("x-expect-instance", self.name) != self.name:
                    self.record(self.name, "421", attempt)
                    writer.write(http.message("HTTP/1.1 421 -", {"content-length": 0, "x-attempt-id": attempt}))
                    await http.read_body(reader, fields)
                    continue
                self.record(self.name, "arrived", attempt, line)
                if self.on_arrival is not None:
                    self.on_arrival(attempt)
                if self.early_handler is not None:
                    if await self.early_handler(self, line, fields, reader, writer) is False:
                        return
                body = await http.read_body(reader, fields)
                used = None
                if self.handler is not None:
                    used = await self.handler(self, line, fields, body, reader, writer)
                if used is None:
                    used = await self.answer(fields, body, writer)
                if not used:
                    return
        except (http.BrokenMessage, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def fields(self, attempt, more):
        return {"x-attempt-id": attempt, "x-response-seal": f"{self.name}.{attempt}",
                "x-server-load": f"{self.running},0,{self.slots}", **more}

    async def run(self, fields):
        attempt = fields.get("x-attempt-id", "")
        self.runs.append((time.monotonic(), attempt))
        self.record(self.name, "ran", attempt)
        self.running += 1
        await asyncio.sleep(self.work_seconds)
        self.running -= 1

    async def answer(self, fields, body, writer):
        attempt = fields.get("x-attempt-id", "")
        await self.run(fields)
        text = b"answer to " + attempt.encode()
        writer.write(http.message("HTTP/1.1 200 OK", self.fields(attempt, {"content-length": len(text)}), text))
        await writer.drain()
        return True

    async def refuse(self, fields, writer, more=None):
        """Turns the request away with 503, without running it."""
        attempt = fields.get("x-attempt-id", "")
        self.record(self.name, "refused", attempt, str(more or ""))
        head = self.fields(attempt, {"x-not-executed": 1, "content-length": 0, **(more or {})})
        writer.write(http.message("HTTP/1.1 503 -", head))
        await writer.drain()
        return True
