"""Stand-in of the platform's store, as its pages describe it, with faults that the soak sets."""

import asyncio
import functools
import json
import time
import urllib.parse

from gatewaylib import http

HISTORY_LENGTH = 4000


class Store:
    def __init__(self):
        self.objects = {}
        self.revision = 10
        self.history = []
        # Creation revision and status by kind, name and revision; only of objects that have a status.
        self.envelopes = {}
        # Rises each time that the store comes back from an older copy.
        self.era = 1
        # (time, kind, name, object before) of each change, so that it can be undone.
        self.undo_log = []
        # A watch from an earlier revision gets 410.
        self.oldest_watchable = 0
        # up, refuse (503), silent (no response), reset, slow, lost (changes are made, responses are not sent)
        self.mode = "up"
        self.slow_seconds = 0.0
        self.changed = asyncio.Condition()
        self.calls = 0
        self.servers = []

    async def start(self, view=None):
        """Listens on a port of its own, on which `view` changes each spec by kind and name."""
        server = await asyncio.start_server(functools.partial(self.serve, view), "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def change(self, kind, name, spec, status=None):
        """Writes an object or, with `spec` None, removes it. Returns the time of the acknowledgement."""
        key = (kind, name)
        former, _ = self.objects.get(key, (self.revision + 1, None))
        envelope = self.envelopes.get((kind, name, former), {"createRevision": former, "status": None})
        if spec is not None:
            # A new spec keeps the status, as the platform does.
            self.envelopes[kind, name, self.revision + 1] = {
                "createRevision": envelope["createRevision"], "status": status or envelope["status"]}
        self.undo_log.append((time.monotonic(), kind, name, self.objects.get(key)))
        del self.undo_log[:-HISTORY_LENGTH]
        self.revision += 1
        removed = spec is None
        if removed:
            self.objects.pop(key, None)
        else:
            self.objects[key] = (self.revision, spec)
        self.history.append((self.revision, kind, name, spec))
        del self.history[:-HISTORY_LENGTH]
        async with self.changed:
            self.changed.notify_all()
        return time.monotonic()

    def status(self, kind, name):
        """The status of an object; None if it has none."""
        revision, _ = self.objects.get((kind, name), (0, None))
        return self.envelopes.get((kind, name, revision), {}).get("status")

    def describe(self, kind, name, revision, spec):
        """An object as the calls return it."""
        envelope = self.envelopes.get((kind, name, revision), {"createRevision": 0, "status": None})
        result = {
            "metadata": {"name": name, "revision": revision, "createRevision": envelope["createRevision"]},
            "spec": spec,
        }
        if envelope["status"] is not None:
            result["status"] = envelope["status"]
        return result

    async def write_status(self, kind, name, document):
        revision, spec = self.objects.get((kind, name), (0, None))
        if spec is None:
            return 404, {}
        if document["metadata"].get("revision") != revision:
            return 409, self.describe(kind, name, revision, spec)
        await self.change(kind, name, spec, document["status"])
        return 200, self.describe(kind, name, self.revision, spec)

    def drop_history(self):
        """Makes every watch from an earlier revision fail with 410, so that gateways list again."""
        self.oldest_watchable = self.revision
        self.history.clear()

    def return_from_copy(self, seconds):
        """Comes back as it was some seconds ago. Returns the lost objects by kind and name, None if removed."""
        lost = {}
        copied_at = time.monotonic() - seconds
        while self.undo_log and self.undo_log[-1][0] > copied_at:
            _, kind, name, before = self.undo_log.pop()
            _, latest = self.objects.get((kind, name), (None, None))
            lost.setdefault((kind, name), latest)
            if before is None:
                self.objects.pop((kind, name), None)
            else:
                self.objects[(kind, name)] = before
            self.revision -= 1
        self.history = [h for h in self.history if h[0] <= self.revision]
        self.oldest_watchable = min(self.oldest_watchable, self.revision)
        self.era += 1
        return lost

    def was_changed_since(self, kind, name, moment):
        return any(t > moment and (k, n) == (kind, name) for t, k, n, _ in self.undo_log)

    async def serve(self, view, reader, writer):
        try:
            while head := await http.read_head(reader):
                line, fields = head
                body = await http.read_body(reader, fields)
                if not await self.respond(line, body, writer, view):
                    return
        except (http.IncompleteMessage, ConnectionError, asyncio.CancelledError):
            # The peer closed the connection, or the soak has finished.
            pass
        finally:
            writer.close()

    async def respond(self, line, body, writer, view):
        method, target, _ = line.split(" ", 2)
        self.calls += 1
        if self.mode == "refuse":
            return self.write_response(writer, 503, {})
        if self.mode == "silent":
            await asyncio.sleep(30)
            return False
        if self.mode == "reset":
            http.reset_connection(writer)
            return False
        if self.mode == "slow":
            await asyncio.sleep(self.slow_seconds)
        status, content = await self.execute(method, target, body)
        if view is not None:
            self.apply_view(view, target, content)
        if self.mode == "lost" and method != "GET":
            http.reset_connection(writer)
            return False
        return self.write_response(writer, status, content)

    @staticmethod
    def apply_view(view, target, content):
        kind = target.partition("?")[0].split("/")[2]
        for item in content.get("items", []) + [e["object"] for e in content.get("events", [])]:
            if item["spec"] is not None:
                item["spec"] = view(kind, item["metadata"]["name"], item["spec"])

    def write_response(self, writer, status, content):
        text = json.dumps(content).encode()
        fields = {"content-type": "application/json", "content-length": len(text), "store-era": self.era}
        writer.write(http.format_message(f"HTTP/1.1 {status} -", fields, text))
        return True

    async def execute(self, method, target, body):
        path, _, query = target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        _, _, kind, *rest = path.split("/")
        if method == "GET" and "watch" in parameters:
            return await self.watch(kind, int(parameters["watch"]), int(parameters["waitMs"]) / 1000)
        if method == "GET":
            items = [
                self.describe(k, n, r, s)
                for (k, n), (r, s) in sorted(self.objects.items()) if k == kind
            ]
            return 200, {"items": items, "more": False, "storeRevision": self.revision}
        if method == "DELETE":
            if (kind, rest[0]) not in self.objects:
                return 404, {}
            await self.change(kind, rest[0], None)
            return 200, {}
        document = json.loads(body)
        if rest[1:] == ["status"]:
            return await self.write_status(kind, rest[0], document)
        name = rest[0] if rest else document["metadata"]["name"]
        exists = (kind, name) in self.objects
        if method == "POST" and exists:
            return 409, {}
        if method == "PUT" and not exists:
            return 404, {}
        # A revision makes the replacement conditional; the conflict carries the stored object.
        expected = document["metadata"].get("revision") if method == "PUT" else None
        if expected is not None and expected != self.objects[(kind, name)][0]:
            revision, spec = self.objects[(kind, name)]
            return 409, {"metadata": {"name": name, "revision": revision}, "spec": spec}
        await self.change(kind, name, document["spec"])
        return 200, {"metadata": {"name": name, "revision": self.revision}}

    async def watch(self, kind, since, wait):
        deadline = time.monotonic() + wait
        while True:
            if since < self.oldest_watchable or since > self.revision:
                return 410, {}
            events = [
                {"removed": s is None, "object": self.describe(k, n, r, s)}
                for r, k, n, s in self.history if r > since and k == kind
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), remaining)
                except asyncio.TimeoutError:
                    pass
