"""Bytes of workers that are no answer in HTTP/1.1 (RFC 9110, RFC 9112), and answers of unusual form that are one.

Each is a function of the attempt's id and of the body, which the answer claims to be whole. All of them carry the
worker's id and seal, so that nothing but the grammar tells a broken one from an answer.
"""

import asyncio

MARK = b"SPOILED"


def plain(attempt, body, status=b"HTTP/1.1 200 OK", lines=(), framing=None, end=b"\r\n"):
    """A complete message; `framing`: lines instead of the Content-Length."""
    head = [status, b"X-Attempt-Id: " + attempt, b"X-Response-Seal: seal." + attempt, *lines]
    head += [b"Content-Length: %d" % len(body)] if framing is None else framing
    return end.join(head) + end + end + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def chunked(attempt, text, lines=()):
    """`text`: the body with its chunks."""
    return plain(attempt, text, lines=lines, framing=[b"Transfer-Encoding: chunked"])


def _with_status(line):
    return lambda attempt, body: plain(attempt, body, status=line)


def _with_line(line):
    return lambda attempt, body: plain(attempt, body, lines=[line])


def _with_framing(*lines):
    return lambda attempt, body: plain(attempt, body, framing=list(lines))


def _after(first):
    return lambda attempt, body: first + plain(attempt, body)


STATUS_LINES = {
    "status 000": b"HTTP/1.1 000 SPOILED",
    "status 099": b"HTTP/1.1 099 SPOILED",
    "status 600": b"HTTP/1.1 600 SPOILED",
    "status 999": b"HTTP/1.1 999 SPOILED",
    "status of two digits": b"HTTP/1.1 20 SPOILED",
    "status of four digits": b"HTTP/1.1 2000 SPOILED",
    "status with a letter": b"HTTP/1.1 2x0 SPOILED",
    "status with a sign": b"HTTP/1.1 +20 SPOILED",
    "no blank behind the status": b"HTTP/1.1 200SPOILED",
    "tab behind the status": b"HTTP/1.1 200\tSPOILED",
    "two blanks before the status": b"HTTP/1.1  200 SPOILED",
    "no status": b"HTTP/1.1",
    "version 2.0": b"HTTP/2.0 200 SPOILED",
    "version in lower case": b"http/1.1 200 SPOILED",
    "version with a letter": b"HTTP/1.x 200 SPOILED",
    "no version": b"200 SPOILED",
    "control byte in the reason": b"HTTP/1.1 200 SPOILED\x01",
    "upgrade that nobody asked for": b"HTTP/1.1 101 SPOILED",
}

FIELD_LINES = {
    "blank in a field name": b"X SPOILED: v",
    "blank behind a field name": b"X-SPOILED : v",
    "tab in a field name": b"X\tSPOILED: v",
    "control byte in a field name": b"X\x01SPOILED: v",
    "zero byte in a field name": b"X\x00SPOILED: v",
    "delete byte in a field name": b"X\x7fSPOILED: v",
    "byte above ASCII in a field name": b"X\xe9SPOILED: v",
    "mark in a field name": b"X(SPOILED): v",
    "empty field name": b": SPOILED",
    "field without a colon": b"X-SPOILED",
    "continuation line": b"X-Folded: a\r\n SPOILED",
    "continuation line with a tab": b"X-Folded: a\r\n\tSPOILED: b",
    "control byte in a field value": b"X-Field: SPOILED\x02",
    "zero byte in a field value": b"X-Field: SPOILED\x00",
    "carriage return in a field value": b"X-Field: a\rSPOILED",
    "bare line feed in a head": b"X-Field: a\nX-SPOILED: v",
}

# No byte of these reaches a caller.
HEADS = {
    **{name: _with_status(line) for name, line in STATUS_LINES.items()},
    **{name: _with_line(line) for name, line in FIELD_LINES.items()},
    "continuation as the first field": lambda attempt, body: plain(
        attempt, body, status=b"HTTP/1.1 200 OK\r\n SPOILED: v"),
    "lines end in line feeds": lambda attempt, body: plain(attempt, body, end=b"\n"),
    "empty line before the status": _after(b"\r\n"),
    "text before the status": _after(b"SPOILED\r\n"),
    "blank in a field name of an interim head": _after(b"HTTP/1.1 103 -\r\nX SPOILED: v\r\n\r\n"),
    "continuation line of an interim head": _after(b"HTTP/1.1 103 -\r\nX: a\r\n SPOILED\r\n\r\n"),
    "interim head with status 000": _after(b"HTTP/1.1 000 -\r\n\r\n"),
    "broken head behind an interim one": lambda attempt, body: (
        b"HTTP/1.1 100 Continue\r\n\r\n" + plain(attempt, body, lines=[b"X SPOILED: v"])),
    "broken head behind an interim one of HTTP/1.0": lambda attempt, body: (
        b"HTTP/1.0 100 Continue\r\n\r\n" + plain(attempt, body, lines=[b"X SPOILED: v"])),
    "broken head behind two interim ones": lambda attempt, body: (
        b"HTTP/1.1 103 -\r\nLink: a\r\n\r\n" * 2 + plain(attempt, body, status=b"HTTP/1.1 000 SPOILED")),
    "negative length": _with_framing(b"Content-Length: -1"),
    "length with a sign": _with_framing(b"Content-Length: +5"),
    "list of lengths": _with_framing(b"Content-Length: 5, 5"),
    "two lengths": _with_framing(b"Content-Length: 5", b"Content-Length: 6"),
    "empty length": _with_framing(b"Content-Length:"),
    "unknown encoding": _with_framing(b"Transfer-Encoding: gzip"),
    "two encodings": _with_framing(b"Transfer-Encoding: chunked, chunked"),
    "chunks in HTTP/1.0": lambda attempt, body: plain(
        attempt, chunk(body) + b"0\r\n\r\n", status=b"HTTP/1.0 200 OK", framing=[b"Transfer-Encoding: chunked"]),
    "no answer at all": lambda attempt, body: b"SPOILED " * 20 + b"\r\n\r\n",
    "length and encoding": lambda attempt, body: plain(
        attempt, chunk(body) + b"0\r\n\r\n", framing=[b"Transfer-Encoding: chunked", b"Content-Length: 5"]),
}

# Broken behind the head: streams that have begun are cut visibly, other bodies reach no caller.
BODIES = {
    "size of a chunk that is no number": lambda attempt, body: chunked(attempt, chunk(body) + b"zz\r\nSPOILED"),
    "chunk longer than its size": lambda attempt, body: chunked(attempt, chunk(body) + b"1\r\nab\r\n0\r\n\r\n"),
    "blank in a field name of a trailer": lambda attempt, body: chunked(
        attempt, chunk(body) + b"0\r\nX SPOILED: v\r\n\r\n"),
    "trailer without a colon": lambda attempt, body: chunked(attempt, chunk(body) + b"0\r\nSPOILED\r\n\r\n"),
    "continuation line of a trailer": lambda attempt, body: chunked(
        attempt, chunk(body) + b"0\r\nX: a\r\n SPOILED\r\n\r\n"),
    "control byte in a trailer": lambda attempt, body: chunked(
        attempt, chunk(body) + b"0\r\nX: SPOILED\x01\r\n\r\n"),
}

# Unusual, and yet answers.
ANSWERS = {
    "interim heads": lambda attempt, body: (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + plain(attempt, body)),
    "no reason": _with_status(b"HTTP/1.1 200 "),
    "reason above ASCII": _with_status(b"HTTP/1.1 200 \xe4\xf6\t x"),
    "field without a value": _with_line(b"X-Field:"),
    "marks in a field name": _with_line(b"X!#$%&'*+-.^_`|~1: v"),
    "value above ASCII": _with_line(b"X-Field: \xe4\xf6\t x"),
    "trailers": lambda attempt, body: chunked(attempt, chunk(body) + b"0\r\nX-Digest: a\r\nX-Other: b\r\n\r\n"),
    "chunk extensions": lambda attempt, body: chunked(
        attempt, b"%x;a=b\r\n%s\r\n" % (len(body), body) + b"0\r\n\r\n"),
}


async def send_in_pieces(writer, data, piece, pause):
    """Sends the data in parts of so many bytes, with a pause in between, so that they are received one by one."""
    for start in range(0, len(data), piece):
        writer.write(data[start:start + piece])
        await writer.drain()
        await asyncio.sleep(pause)
