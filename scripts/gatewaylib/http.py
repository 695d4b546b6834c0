"""Minimal HTTP/1.1 for the stand-ins and the callers of the soak."""

import asyncio
import socket
import struct

MAX_HEAD_BYTES = 65536


class IncompleteMessage(Exception):
    """The connection closed within a message, or a message is malformed."""


async def read_head(reader):
    """Returns the first line and the fields by lower-case name, or None if the connection closed before.

    Raises IncompleteMessage.
    """
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise IncompleteMessage("connection closed within the message head") from error
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise IncompleteMessage(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_close=False):
    """Returns a whole body, with the parts of a chunked one joined. Raises IncompleteMessage."""
    parts = []
    async for part in body_parts(reader, fields, until_close):
        parts.append(part)
    return b"".join(parts)


async def body_parts(reader, fields, until_close=False):
    """Yields the body as it arrives. `until_close` allows a body without a length.

    Raises IncompleteMessage.
    """
    try:
        if fields.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return
                yield part[:-2]
        elif "content-length" in fields:
            yield await reader.readexactly(int(fields["content-length"]))
        elif until_close:
            while part := await reader.read(65536):
                yield part
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise IncompleteMessage(f"incomplete or malformed body: {error!r}") from error


def format_message(first_line, fields, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset_connection(writer):
    """Closes the connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            # The transport has already closed the socket.
            return
    writer.transport.abort()
