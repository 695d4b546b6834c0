"""A loopback proxy whose connections the soak delays, resets, cuts one way or silences."""

import asyncio

from gatewaylib import http


class Proxy:
    def __init__(self, port):
        self.to_port = port
        # up, delay, refuse, silent (both ways), silent_to, silent_from
        self.mode = "up"
        self.delay = 0.0
        self.open = set()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def reset_all(self):
        for writer in list(self.open):
            http.reset(writer)

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            http.reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.to_port)
        except OSError:
            http.reset(writer)
            return
        self.open |= {writer, far_writer}
        try:
            await asyncio.gather(
                self.pump(reader, far_writer, "silent_to"), self.pump(far_reader, writer, "silent_from")
            )
        except asyncio.CancelledError:
            # The soak has ended.
            return
        self.open -= {writer, far_writer}

    async def pump(self, reader, writer, cut):
        try:
            while data := await reader.read(65536):
                # Bytes of a silenced direction are lost for good.
                if self.mode in ("silent", cut):
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
            if self.mode not in ("silent", cut):
                writer.write_eof()
        except (ConnectionError, OSError, asyncio.CancelledError):
            http.reset(writer)
        except RuntimeError:
            # The other direction has closed the transport.
            return
