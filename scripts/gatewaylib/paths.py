"""Paths from gateways to targets, each cut by itself: connections hang, or are refused."""

import asyncio
import socket

from gatewaylib import http

MODES = ("hang", "refuse")
# More than the queue of a listener that accepts nothing.
FILLERS = 3


class Path:
    """One gateway's way to one target, with a port of its own."""

    def __init__(self, upstream_port):
        self.upstream_port = upstream_port
        self.port = 0
        self.server = None
        self.writers = set()
        self.blockers = []
        self.is_cut = False

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def cut(self, mode):
        """Live connections go silent. New ones are refused, or hang as if their packets were lost."""
        self.is_cut = True
        self.server.close()
        await self.server.wait_closed()
        # Nobody else may get the port meanwhile. Without a listener connections are refused.
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", self.port))
        self.blockers = [holder]
        if mode == "hang":
            self.block(holder)

    def block(self, listener):
        listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.blockers.append(filler)

    async def heal(self):
        for blocker in self.blockers:
            blocker.close()
        self.blockers = []
        for writer in list(self.writers):
            http.reset_connection(writer)
        self.is_cut = False
        await self.open()

    async def serve(self, reader, writer):
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.upstream_port)
        except OSError:
            http.reset_connection(writer)
            return
        self.writers |= {writer, upstream_writer}
        try:
            await asyncio.gather(self.pump(reader, upstream_writer), self.pump(upstream_reader, writer))
        except asyncio.CancelledError:
            return
        finally:
            self.writers -= {writer, upstream_writer}

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                # What was under way when the path was cut is lost.
                if not self.is_cut:
                    writer.write(data)
                    await writer.drain()
            if not self.is_cut:
                writer.write_eof()
        except (ConnectionError, OSError, RuntimeError, asyncio.CancelledError):
            http.reset_connection(writer)


class Paths:
    """The path of each gateway to each target, by (gateway, target)."""

    def __init__(self):
        self.by_ends = {}

    async def add(self, gateway, target):
        self.by_ends[(gateway, target.name)] = await Path(target.proxy.port).open()

    def view(self, gateway):
        """What the gateway reads in the store: targets at the addresses of its own paths."""
        def change(kind, name, spec):
            path = self.by_ends.get((gateway, name)) if kind == "servers" else None
            return spec if path is None else {**spec, "address": f"127.0.0.1:{path.port}"}

        return change

    async def cut(self, gateway, mode, share=1.0, rng=None):
        for (name, _), path in list(self.by_ends.items()):
            if name == gateway and not path.is_cut and (rng is None or rng.random() < share):
                await path.cut(mode)

    async def heal(self, gateway):
        for (name, _), path in list(self.by_ends.items()):
            if name == gateway and path.is_cut:
                await path.heal()
