"""Cuts a gateway off from all workers: it reads the workers' addresses through a view of the store, in which each of them
stands at a port of the gateway's own, and that port is closed while the gateway is partitioned."""

import asyncio

from standins import http


class Path:
    """The way of one gateway to one worker."""

    def __init__(self, ip, worker):
        self.ip = ip
        self.worker = worker
        self.port = 0
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def cut(self):
        """Live connections are reset, new ones are refused."""
        self.server.close()
        for writer in list(self.writers):
            http.reset(writer)

    def address(self):
        return f"{self.ip}:{self.port}"

    async def serve(self, reader, writer):
        ip, port = self.worker.address.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            http.reset(writer)
            return
        self.writers |= {writer, far_writer}
        try:
            await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers -= {writer, far_writer}
            http.reset(writer)
            http.reset(far_writer)

    @staticmethod
    async def pump(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            http.reset(writer)


class View:
    """The store as one gateway reads it."""

    def __init__(self, store, paths):
        self.store = store
        self.paths = paths
        self.address = None

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        ip, port = self.store.address.rsplit(":", 1)
        far_writer = None
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
            while head := await http.read_head(reader):
                line, fields = head
                far_writer.write(http.message(line, fields, await http.read_body(reader, fields)))
                far_line, far_fields = await http.read_head(far_reader)
                body = await http.read_body(far_reader, far_fields)
                for path in self.paths:
                    body = body.replace(f'"{path.worker.address}"'.encode(), f'"{path.address()}"'.encode())
                writer.write(http.message(far_line, {**far_fields, "content-length": len(body)}, body))
                await writer.drain()
        except (http.BrokenMessage, OSError, TypeError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if far_writer is not None:
                far_writer.close()


class Partition:
    """Made after the workers have started, and before the gateway of this name."""

    def __init__(self, site, gateway_name):
        self.site = site
        self.gateway_name = gateway_name
        self.paths = []

    async def prepare(self, ip):
        for worker in self.site.workers:
            self.paths.append(await Path(ip, worker).open())
        view = View(self.site.store, self.paths)
        await view.start(ip)
        self.site.store_proxies[self.gateway_name] = view.address

    def cut(self):
        self.site.record(self.gateway_name, "partitioned from all workers")
        for path in self.paths:
            path.cut()
