"""The platform's store as its pages describe it, with faults that the soak sets."""

import asyncio
import json
import time
import urllib.parse

from gatewaylib import http

HISTORY = 4000


class Store:
    def __init__(self):
        self.objects = {}
        self.revision = 10
        self.history = []
        # Watches from before this revision get 410.
        self.forgotten = 0
        self.mode = "up"
        self.slow_seconds = 0.0
        self.changed = asyncio.Condition()
        self.calls = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def change(self, kind, name, spec):
        """Writes or, with None, removes an object. Returns the time of the acknowledgement."""
        self.revision += 1
        key = (kind, name)
        removed = spec is None
        if removed:
            self.objects.pop(key, None)
        else:
            self.objects[key] = (self.revision, spec)
        self.history.append((self.revision, kind, name, spec))
        del self.history[:-HISTORY]
        async with self.changed:
            self.changed.notify_all()
        return time.monotonic()

    def forget(self):
        self.forgotten = self.revision
        self.history.clear()

    async def serve(self, reader, writer):
        try:
            while head := await http.read_head(reader):
                line, fields = head
                body = await http.read_body(reader, fields)
                if not await self.answer(line, body, writer):
                    return
        except (http.Broken, ConnectionError, asyncio.CancelledError):
            # The other side, or the soak itself, has ended.
            pass
        finally:
            writer.close()

    async def answer(self, line, body, writer):
        method, target, _ = line.split(" ", 2)
        self.calls += 1
        if self.mode == "refuse":
            return self.write(writer, 503, {})
        if self.mode == "silent":
            await asyncio.sleep(30)
            return False
        if self.mode == "reset":
            http.reset(writer)
            return False
        if self.mode == "slow":
            await asyncio.sleep(self.slow_seconds)
        status, content = await self.execute(method, target, body)
        if self.mode == "lost" and method != "GET":
            http.reset(writer)
            return False
        return self.write(writer, status, content)

    @staticmethod
    def write(writer, status, content):
        text = json.dumps(content).encode()
        fields = {"content-type": "application/json", "content-length": len(text)}
        writer.write(http.message(f"HTTP/1.1 {status} -", fields, text))
        return True

    async def execute(self, method, target, body):
        path, _, query = target.partition("?")
        wanted = dict(urllib.parse.parse_qsl(query))
        _, _, kind, *rest = path.split("/")
        if method == "GET" and "watch" in wanted:
            return await self.watch(kind, int(wanted["watch"]), int(wanted["waitMs"]) / 1000)
        if method == "GET":
            items = [
                {"metadata": {"name": n, "revision": r}, "spec": s}
                for (k, n), (r, s) in sorted(self.objects.items()) if k == kind
            ]
            return 200, {"items": items, "more": False, "storeRevision": self.revision}
        if method == "DELETE":
            if (kind, rest[0]) not in self.objects:
                return 404, {}
            await self.change(kind, rest[0], None)
            return 200, {}
        given = json.loads(body)
        name = rest[0] if rest else given["metadata"]["name"]
        exists = (kind, name) in self.objects
        if method == "POST" and exists:
            return 409, {}
        if method == "PUT" and not exists:
            return 404, {}
        await self.change(kind, name, given["spec"])
        return 200, {"metadata": {"name": name}}

    async def watch(self, kind, since, wait):
        end = time.monotonic() + wait
        while True:
            if since < self.forgotten:
                return 410, {}
            events = [
                {"removed": s is None, "object": {"metadata": {"name": n}, "spec": s}}
                for r, k, n, s in self.history if r > since and k == kind
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
