"""A loopback TCP proxy that delays or resets connections, or drops their bytes in one or both directions."""

import asyncio

from gatewaylib import http


class Proxy:
    def __init__(self, port):
        self.upstream_port = port
        # up, delay, refuse (connections are reset), silent (bytes dropped both ways), silent_to (bytes to
        # the upstream dropped), silent_from (bytes from it dropped)
        self.mode = "up"
        # Seconds, in mode delay.
        self.delay = 0.0
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def reset_all(self):
        for writer in list(self.writers):
            http.reset_connection(writer)

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            http.reset_connection(writer)
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.upstream_port)
        except OSError:
            http.reset_connection(writer)
            return
        self.writers |= {writer, upstream_writer}
        try:
            await asyncio.gather(
                self.pump(reader, upstream_writer, "silent_to"),
                self.pump(upstream_reader, writer, "silent_from")
            )
        except asyncio.CancelledError:
            # The soak has finished.
            return
        self.writers -= {writer, upstream_writer}

    async def pump(self, reader, writer, dropping_mode):
        try:
            while data := await reader.read(65536):
                # Dropped bytes are not delivered later.
                if self.mode in ("silent", dropping_mode):
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
            if self.mode not in ("silent", dropping_mode):
                writer.write_eof()
        except (ConnectionError, OSError, asyncio.CancelledError):
            http.reset_connection(writer)
        except RuntimeError:
            # The other direction has closed the transport.
            return
