"""Just enough HTTP/1.1 for the stand-ins and the callers of the soak."""

import asyncio
import socket
import struct

MAX_HEAD_BYTES = 65536


class Broken(Exception):
    """The connection ended where a message could not end."""


async def read_head(reader):
    """Returns the first line and the fields in lower case, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as end:
        if end.partial:
            raise Broken("the head is not complete") from end
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as fault:
        raise Broken(str(fault)) from fault
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_close=False):
    """Reads a whole body; a chunked one is joined."""
    parts = []
    async for part in body_parts(reader, fields, until_close):
        parts.append(part)
    return b"".join(parts)


async def body_parts(reader, fields, until_close=False):
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
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as fault:
        raise Broken(f"the body is not complete: {fault!r}") from fault


def message(first_line, fields, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Closes so that the peer sees a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            # The transport has closed the socket before.
            return
    writer.transport.abort()
