"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins of the review's cases."""

import asyncio
import socket
import struct

MAX_HEAD_BYTES = 65536


class BrokenMessage(Exception):
    """The connection ended within a message, or the message is malformed."""


async def read_head(reader):
    """Returns the first line and the fields by lower-case name; None if the connection ended before."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenMessage("the connection ended within a head") from error
        return None
    except (OSError, asyncio.LimitOverrunError) as error:
        raise BrokenMessage(repr(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def body_parts(reader, fields, until_close=False):
    """Yields the body as it arrives. `until_close`: without a length it ends with its connection."""
    try:
        if fields.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return
                yield part[:-2]
        elif "content-length" in fields:
            yield await reader.readexactly(int(fields["content-length"]))
        elif until_close:
            while part := await reader.read(65536):
                yield part
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise BrokenMessage(f"incomplete body: {error!r}") from error


async def read_body(reader, fields, until_close=False):
    return b"".join([part async for part in body_parts(reader, fields, until_close)])


def message(first_line, fields, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Closes the connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            return
    writer.transport.abort()
