"""The platform's metadata store, as PROTOCOL.md describes it: objects by kind and name, lists, watches,
conditional writes. It loses nothing that it has acknowledged."""

import asyncio
import json
import time
import urllib.parse

from standins import http

PAGE_ITEMS = 500


class Store:
    def __init__(self, record):
        self.record = record
        # By (kind, name): the object's metadata, and its spec and status as JSON text.
        self.objects = {}
        self.revision = 100
        # (revision, kind, encoded event)
        self.history = []
        self.era = 1
        # Bytes that follow the head of each response, in place of a body; None while the store is sound.
        self.bytes_without_end = None
        # Forms of the answers in turn, as in broken_answers; None while they are sound.
        self.forms = None
        self.malformed_answers = 0
        # Kinds whose calls of gateways get no response; None stands for all kinds.
        self.silent = set()
        self.changed = asyncio.Condition()
        self.address = None
        self.writers = set()

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec):
        """A write of the operator or of a worker. `spec` is a value, or the bytes of its JSON text.
        Returns the time of the acknowledgement."""
        text = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        former = self.objects.get((kind, name))
        self.revision += 1
        entry = {
            "revision": self.revision, "created": former["created"] if former else self.revision,
            "spec": text, "status": former["status"] if former else None}
        self.objects[kind, name] = entry
        await self.publish(kind, name, entry, False)
        self.record("store", "put", kind, name, text.decode("latin-1"), f"revision {self.revision}")
        return time.monotonic()

    async def delete(self, kind, name):
        entry = self.objects.pop((kind, name), None)
        if entry is None:
            return None
        self.revision += 1
        await self.publish(kind, name, {**entry, "revision": self.revision}, True)
        self.record("store", "delete", kind, name, f"revision {self.revision}")
        return time.monotonic()

    async def publish(self, kind, name, entry, removed):
        event = b'{"object":%s,"removed":%s}' % (self.encode(name, entry), b"true" if removed else b"false")
        self.history.append((self.revision, kind, event))
        async with self.changed:
            self.changed.notify_all()

    @staticmethod
    def encode(name, entry):
        head = json.dumps({"name": name, "revision": entry["revision"], "createRevision": entry["created"]})
        status = b"" if entry["status"] is None else b',"status":' + entry["status"]
        return b'{"metadata":' + head.encode() + b',"spec":' + entry["spec"] + status + b"}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await http.read_head(reader):
                line, fields = head
                body = await http.read_body(reader, fields)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                kind = path.split("/")[2]
                if None in self.silent or kind in self.silent:
                    # A connection on which a response is lost returns nothing further.
                    await asyncio.sleep(120)
                    return
                if self.bytes_without_end is not None:
                    await self.send_without_end(writer)
                    return
                status, content = await self.execute(method, path, query, body)
                fields = {"content-type": "application/json", "content-length": len(content),
                          "store-era": self.era}
                if self.forms is not None:
                    self.malformed_answers += 1
                    writer.write(next(self.forms)(b"", content))
                    await writer.drain()
                    return
                writer.write(http.message(f"HTTP/1.1 {status} -", fields, content))
                await writer.drain()
        except (http.BrokenMessage, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def send_without_end(self, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nstore-era: %d\r\n" % self.era)
        while self.bytes_without_end is not None:
            writer.write(self.bytes_without_end)
            await writer.drain()

    async def execute(self, method, path, query, body):
        parameters = dict(urllib.parse.parse_qsl(query))
        _, _, kind, *rest = path.split("/")
        rest = [urllib.parse.unquote(part) for part in rest]
        if method == "GET" and "watch" in parameters:
            return await self.watch(kind, int(parameters["watch"]), int(parameters.get("waitMs", 0)) / 1000)
        if method == "GET" and not rest:
            return 200, self.list(kind, parameters.get("after", ""))
        key = (kind, rest[0]) if rest else None
        if method == "GET":
            return (200, self.encode(rest[0], self.objects[key])) if key in self.objects else (404, b"{}")
        if method == "DELETE":
            if key not in self.objects:
                return 404, b"{}"
            await self.delete(*key)
            return 200, b"{}"
        document = json.loads(body)
        name = rest[0] if rest else document["metadata"]["name"]
        former = self.objects.get((kind, name))
        if method == "POST" and former is not None:
            return 409, self.encode(name, former)
        if method == "PUT" and former is None:
            return 404, b"{}"
        expected = document.get("metadata", {}).get("revision")
        if method == "PUT" and expected is not None and expected != former["revision"]:
            return 409, self.encode(name, former)
        if rest[1:] == ["status"]:
            self.revision += 1
            entry = {**former, "revision": self.revision, "status": json.dumps(document["status"]).encode()}
            self.objects[kind, name] = entry
            await self.publish(kind, name, entry, False)
        else:
            await self.put(kind, name, document["spec"])
        return 200, self.encode(name, self.objects[kind, name])

    def list(self, kind, after):
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        page = names[:PAGE_ITEMS]
        items = b",".join(self.encode(n, self.objects[kind, n]) for n in page)
        more = b"true" if len(names) > len(page) else b"false"
        return b'{"items":[%s],"more":%s,"storeRevision":%d}' % (items, more, self.revision)

    async def watch(self, kind, since, wait):
        if since > self.revision:
            return 410, b"{}"
        deadline = time.monotonic() + wait
        while True:
            events = [e for r, k, e in self.history if r > since and k == kind]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, b'{"events":[%s],"storeRevision":%d}' % (b",".join(events), self.revision)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
