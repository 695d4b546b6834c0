"""Streams that break off, and what may come from the next party that is asked for the rest."""

import asyncio

from standins import broken_answers, http

EVENTS = 6
BROKEN_AFTER = 3
MARK = broken_answers.MARK
EVENT_FIELDS = [b"Content-Type: text/event-stream"]


def event(number):
    return b"id: %d\ndata: event %d\n\n" % (number, number)


def events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


def plain(status, body, fields=()):
    return lambda attempt: broken_answers.plain(attempt, body, status=b"HTTP/1.1 " + status, lines=fields)


def stream(body, status=b"200 OK"):
    return plain(status, body, EVENT_FIELDS)


ERROR = b"id: 4\ndata: SPOILED\n\n"
# By name: the next worker's answer, and whether it is the rest.
NEXT = {
    "the rest": (stream(events(4, EVENTS)), True),
    "the rest, and the last event again": (stream(events(3, EVENTS)), True),
    "500": (plain(b"500 -", MARK), False),
    "500 that looks like the rest": (stream(ERROR, b"500 -"), False),
    "404 that looks like the rest": (stream(ERROR, b"404 -"), False),
    "503 of a worker that refuses it": (plain(b"503 -", MARK, [b"X-Not-Executed: 1"]), False),
    "429 of a worker that refuses it": (plain(b"429 -", MARK, [b"X-Not-Executed: 1"]), False),
    "421 of another worker": (plain(b"421 -", MARK), False),
    "302": (plain(b"302 -", MARK, [b"Location: /"]), False),
    "409 without a body": (plain(b"409 -", b""), False),
    "204": (lambda attempt: broken_answers.plain(attempt, b"", status=b"HTTP/1.1 204 -", framing=[]), False),
    "206": (stream(ERROR, b"206 -"), False),
    "200 with a page": (plain(b"200 OK", b"<p>SPOILED</p>\n\n", [b"Content-Type: text/html"]), False),
    "200 with a page without a type": (plain(b"200 OK", b"<p>SPOILED</p>\n\n"), False),
    "200 with text among its events": (stream(b"SPOILED\n\n" + events(4, EVENTS)), False),
    "200 with an error as an event without an id": (stream(b"event: error\ndata: SPOILED\n\n"), False),
    "200 without events": (stream(b""), False),
    "200 without events that ends by its close": (
        lambda attempt: broken_answers.plain(attempt, b"", lines=EVENT_FIELDS, framing=[]), False),
    "200 that begins anew": (stream(b"id: 1\ndata: SPOILED\n\n" + events(2, EVENTS)), False),
    "200 that leaves an event out": (stream(b"id: 5\ndata: SPOILED\n\n" + event(6)), False),
    "200 that ends inside an event": (stream(b"id: 4\ndata: SPOILED"), False),
    "status 000": (lambda attempt: broken_answers.plain(attempt, ERROR, status=b"HTTP/1.1 000 -"), False),
    "malformed head": (plain(b"200 OK", ERROR, [b"X SPOILED: v"]), False),
    "no answer": (lambda attempt: b"SPOILED\r\n\r\n", False),
    "answer to another request": (lambda attempt: broken_answers.plain(b"another", ERROR, lines=EVENT_FIELDS), False),
    "the close of the connection": (lambda attempt: b"", False),
}


async def break_inside_event(writer, attempt):
    writer.write(broken_answers.plain(attempt, events(1, BROKEN_AFTER) + b"id: 4\nda", lines=EVENT_FIELDS,
                                      framing=[b"Content-Length: 5000"]))


async def break_between_chunks(writer, attempt):
    writer.write(broken_answers.chunked(attempt, broken_answers.chunk(events(1, BROKEN_AFTER)), EVENT_FIELDS))


async def close_without_length(writer, attempt):
    writer.write(broken_answers.plain(attempt, events(1, BROKEN_AFTER) + b"id: 4\nda", lines=EVENT_FIELDS, framing=[]))


async def reset_without_length(writer, attempt):
    writer.write(broken_answers.plain(attempt, events(1, BROKEN_AFTER), lines=EVENT_FIELDS, framing=[]))
    await writer.drain()
    await asyncio.sleep(0.05)
    http.reset(writer)


BREAKS = (break_inside_event, break_between_chunks, close_without_length, reset_without_length)


def fault_of(answer):
    """What is wrong with a stream that a caller has received, whatever became of it."""
    if MARK in answer.body:
        return "bytes of the next party stand in the stream"
    if not events(1, EVENTS).startswith(answer.body):
        return f"the events are not in order: {answer.body}"
    if answer.result == "complete" and answer.body != events(1, EVENTS):
        return "the stream ended as if it were complete"
    return None
