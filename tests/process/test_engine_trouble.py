#!/usr/bin/env python3
"""Guards against LOST, MIXED and ORDER at routers: an engine in trouble sends bytes without end, resets its connection
within an answer, or answers the resumption of a stream with something else.

A router of little memory between callers and raw sockets that answer as the prompt says.
"""

import contextlib
import itertools
import json
import os
import socket
import struct
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
sys.path.insert(0, os.path.join(FOLDER, "support"))
from fleet_process import Fleet, put_json  # noqa: E402
from hostile import MEGABYTE, MEMORY_MB  # noqa: E402
from process_memory import Meter  # noqa: E402
from router_process import chat_body, connect, read_to_end, request_bytes, wait_for  # noqa: E402

CHAT = "/v1/chat/completions"
CROWD = 40
CASE_SECONDS = 2.0
DEADLINE_MS = 3000
MAX_BODY_BYTES = 4 << 20
LONG_UPLOAD = 3 << 20
POLL_SECONDS = 6.0
# A router polls each engine once a second.
LEAST_POLLS = 3
MARK = b"SPOILED"
BLOCK = MARK * 9000
EVENT_FIELDS = ["Content-Type: text/event-stream"]
EVENT = b"data: a\n\n"
DONE = b"data: [DONE]\n\n"
SOUND = b'{"sound":true}'


def head(request_id, status="200 OK", fields=(), framing=()):
    lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {request_id}", *fields, *framing]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def sized(request_id, body, status="200 OK", fields=()):
    return head(request_id, status, fields, [f"Content-Length: {len(body)}"]) + body


# What answers the resumption of a stream, and whether it is the rest.
NEXT = {
    "the rest": (lambda i: sized(i, EVENT + DONE, fields=EVENT_FIELDS), True),
    **{f"{status} that looks like the rest": (
        lambda i, status=status: sized(i, b"data: SPOILED\n\n" + DONE, f"{status} -", EVENT_FIELDS), False)
       for status in ("000", 201, 206, 302, 404, 409, 421, 429, 500, 503)},
    "204": (lambda i: head(i, "204 -"), False),
    "a page": (lambda i: sized(i, b"<p>SPOILED</p>\n\n", fields=["Content-Type: text/html"]), False),
    "a page without a type": (lambda i: sized(i, b"<p>SPOILED</p>\n\n" + DONE), False),
    "no events": (lambda i: sized(i, b"", fields=EVENT_FIELDS), False),
    "a part of an event": (lambda i: sized(i, b"data: SPOILED", fields=EVENT_FIELDS), False),
    "a malformed head": (lambda i: sized(i, EVENT + DONE, fields=[*EVENT_FIELDS, "X SPOILED: v"]), False),
    "no answer": (lambda _: b"SPOILED\r\n\r\n", False),
    "an answer to another request": (lambda _: sized("another", b"data: SPOILED\n\n" + DONE, fields=EVENT_FIELDS), False),
}
ENDLESS = {
    "no answer": (lambda _: b"", BLOCK),
    "fields": (lambda i: head(i)[:-2], b"X-Field: value\r\n" * 4096),
    "interim heads": (lambda _: b"", b"HTTP/1.1 103 -\r\nLink: a\r\n\r\n" * 2048),
    "head left open": (lambda i: head(i)[:-2] + b"X-Field: " + b"x" * 65000, b""),
    "failure": (lambda i: head(i, "500 -"), BLOCK),
    "failure in chunks": (lambda i: head(i, "503 -", framing=["Transfer-Encoding: chunked"]),
                          b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK)),
    "tiny chunks": (lambda i: head(i, framing=["Transfer-Encoding: chunked"]), b"1\r\nx\r\n" * 8192),
    "chunk extension": (lambda i: head(i, framing=["Transfer-Encoding: chunked"]) + b"1;", BLOCK),
    "trailers": (lambda i: head(i, framing=["Transfer-Encoding: chunked"]) + b"0\r\n", b"X-Field: value\r\n" * 4096),
    "event": (lambda i: head(i, fields=EVENT_FIELDS) + b"data: ", BLOCK),
}


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class Engine:
    """Answers by the prompt: "KIND/NAME/NUMBER"."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = self.listener.getsockname()[1]
        self.polls = 0
        self.arrived = []
        self.resumed = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with contextlib.suppress(OSError, ValueError), connection, connection.makefile("rb") as stream:
            line = stream.readline()
            fields = {}
            while text := stream.readline().strip().decode():
                name, value = text.split(":", 1)
                fields[name.lower()] = value.strip()
            if line.startswith(b"GET /load "):
                self.polls += 1
                connection.sendall(head("") + b" ")
                while True:
                    connection.sendall(BLOCK)
            if b"/load" in line or not line.startswith(b"POST"):
                connection.sendall(sized("", b"{}"))
                return
            length = int(fields.get("content-length", 0))
            if length > LONG_UPLOAD:
                self.reset_upload(connection, fields["x-request-id"])
                return
            prompt = json.loads(stream.read(length))["messages"][0]["content"].strip()
            self.answer(connection, stream, fields, prompt)

    def answer(self, connection, stream, fields, prompt):
        self.arrived.append(prompt)
        request_id = fields["x-request-id"]
        kind, name, _ = prompt.split("/")
        if kind == "sound":
            connection.sendall(sized(request_id, SOUND))
        elif kind == "endless":
            start, repeated = ENDLESS[name]
            connection.sendall(start(request_id))
            while repeated:
                connection.sendall(repeated)
            stream.read(1)
        elif "x-resume-tokens" in fields:
            self.resumed.append(prompt)
            connection.sendall(NEXT[name][0](request_id))
        else:
            connection.sendall(head(request_id, fields=EVENT_FIELDS) + EVENT * 3)
            time.sleep(0.05)
            reset(connection)

    def reset_upload(self, connection, request_id):
        """Closes behind a part of the body, and resets the connection while the upload is being written."""
        self.arrived.append("upload")
        connection.sendall(head(request_id) + MARK)
        connection.shutdown(socket.SHUT_WR)
        time.sleep(0.05)
        reset(connection)


def send(port, prompt, stream=False, padding=0):
    """Returns all that comes back until the router closes the connection, and whether it was cut."""
    body = chat_body(prompt + " " * padding, stream)
    fields = ["connection: close", f"x-deadline-ms: {DEADLINE_MS}"]
    with connect(port) as connection:
        with contextlib.suppress(OSError):
            connection.sendall(request_bytes("POST", CHAT, body, fields))
        return read_to_end(connection)


def is_whole(response):
    """Whether a response in chunks ends with the last one."""
    return response.endswith(b"0\r\n\r\n")


def send_until_taken(port, taken, prompt, **options):
    """An engine that has failed gets no request for a while."""
    end = time.monotonic() + 10
    while time.monotonic() < end:
        response = send(port, prompt, **options)
        if prompt in taken or "upload" in taken:
            return response
        time.sleep(0.05)
    return None


def check_resumptions(port, engine):
    found = []
    for number, (name, (_, is_rest)) in enumerate(NEXT.items()):
        response = send_until_taken(port, engine.resumed, f"resume/{name}/{number}", stream=True)
        if response is None:
            found.append(f"{name}: was not resumed")
            continue
        body = response.partition(b"\r\n\r\n")[2]
        if MARK in response:
            found.append(f"{name}: bytes of the next answer stand in the stream")
        if is_whole(response) != is_rest or (DONE in body) != is_rest:
            found.append(f"{name}: the stream {'did not go on' if is_rest else 'ended as if it were complete'}")
    return found


def check_uploads(port, engine):
    found = []
    for number in range(5):
        engine.arrived.clear()
        response = send_until_taken(port, engine.arrived, f"upload/x/{number}", padding=LONG_UPLOAD)
        if response is None:
            found.append("upload: reached no engine")
        elif MARK in response or b" 200 " in response.split(b"\r\n")[0]:
            found.append(f"upload: a part was passed on: {response[:60]}")
    return found


def check_endless(port, engine, name):
    number = itertools.count(1)
    engine.arrived.clear()
    for _ in range(CROWD):
        threading.Thread(target=send, args=(port, f"endless/{name}/{next(number)}"), daemon=True).start()
    wait_for(lambda: engine.arrived, "a request of the crowd")
    end = time.monotonic() + CASE_SECONDS
    answered = False
    # An engine that has failed gets no request for a while.
    while time.monotonic() < end or not answered and time.monotonic() < end + 20:
        answered = send(port, f"sound/x/{next(number)}").endswith(SOUND) or answered
        time.sleep(0.05)
    return [] if answered else [f"{name}: no ordinary request was answered"]


def start_fleet(stack, build, engines):
    fleet = Fleet(stack, build, engines=0, routers=1)
    put_json(fleet.platform.ready["port"], "/control/vms", {"vms": [
        {"name": f"vm{i}", "data_centre": "a", "region": "r", "leaving": False,
         "targets": [{"name": f"e{i}", "service": "llm", "ip": "127.0.0.1", "port": engine.port, "incarnation": 1}]}
        for i, engine in enumerate(engines)]})
    fleet.start_router(1, f"max_body_bytes: {MAX_BODY_BYTES}\nmemory_limit_mb: {MEMORY_MB}\n")
    return fleet.routers[1]


def main():
    found = []
    with contextlib.ExitStack() as stack:
        engine = Engine()
        router = start_fleet(stack, sys.argv[1], [engine])
        port = router.ready["caller_port"]
        wait_for(lambda: send(port, "sound/x/0").endswith(SOUND), "the router to serve")
        engine.polls = 0
        time.sleep(POLL_SECONDS)
        if engine.polls < LEAST_POLLS:
            found.append(f"load: polled {engine.polls} times in {POLL_SECONDS} s although its answers do not end")
        found += check_resumptions(port, engine)
        found += check_uploads(port, engine)
        for name in ENDLESS:
            meter = Meter(router.child.pid, [port])
            found += check_endless(port, engine, name)
            meter.stop()
            print(f"{name}: {meter.most_bytes / MEGABYTE:.0f} MB of {MEMORY_MB} at most", flush=True)
            if meter.most_bytes > MEMORY_MB * MEGABYTE:
                found.append(f"{name}: {meter.most_bytes / MEGABYTE:.0f} MB of {MEMORY_MB}")
        if router.child.poll() is not None:
            found.append("the router has ended")
    print(f"{len(found)} faults")
    print("\n".join(found), flush=True)
    os._exit(1 if found else 0)


if __name__ == "__main__":
    main()
