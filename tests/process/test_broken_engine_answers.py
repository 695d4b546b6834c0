#!/usr/bin/env python3
"""Guards against MIXED at routers: bytes of an engine or a service that are no answer reach a caller as one.

A router between callers and targets whose answers are malformed, whole and in small pieces, on new and on kept
connections. Such an answer is a failed attempt, and its connection carries no further request. The target also resets
its connection within a body without a length, and answers the resumption of a stream with an error.
"""
import contextlib
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
from router_process import chat_body, exchange, request_bytes, start_router
from standins import broken_answers

CHAT = "/v1/chat/completions"
BOOKINGS = "/bookings/1"
PIECES = {"whole": (1 << 20, 0), "in pieces": (5, 0.001)}
CLOSE_SECONDS = 2.0
MAX_TRIES = 100
SOUND_BODY = b'{"sound":true}'
EVENTS = b"data: a\n\ndata: b\n\n"


def with_request_id(data, request_id):
    """The project's own names of the fields."""
    return (data.replace(b"X-Attempt-Id: an-id", b"X-Request-Id: " + request_id)
            .replace(b"X-Response-Seal: seal.an-id", b"Content-Type: application/json"))


class Target:
    """Answers as the next case says; a request without a case gets a sound answer."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.case = None
        self.used_again = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with contextlib.suppress(OSError), connection, connection.makefile("rb") as stream:
            while request_id := self.read_request(stream):
                case, self.case = self.case, None
                if case is None:
                    connection.sendall(with_request_id(broken_answers.plain(b"an-id", SOUND_BODY), request_id))
                    continue
                name, make, (piece, pause), is_reset = case
                data = with_request_id(make(b"an-id", SOUND_BODY), request_id)
                for start in range(0, len(data), piece):
                    connection.sendall(data[start:start + piece])
                    time.sleep(pause)
                if is_reset:
                    time.sleep(0.05)
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return
                if name in broken_answers.ANSWERS:
                    continue
                connection.settimeout(CLOSE_SECONDS)
                if stream.read(1):
                    self.used_again.append(name)
                return

    @staticmethod
    def read_request(stream):
        request_id, length = None, 0
        if not stream.readline():
            return None
        while line := stream.readline().strip():
            name, value = line.split(b":", 1)
            if name.lower() == b"x-request-id":
                request_id = value.strip()
            elif name.lower() == b"content-length":
                length = int(value)
        stream.read(length)
        return request_id


def ends_by_close(body, lines=()):
    return lambda attempt, _: broken_answers.plain(attempt, body, lines=list(lines), framing=[])


def fault_of(method, name, response):
    status = response.split(b"\r\n")[0]
    if name in broken_answers.ANSWERS:
        return None if b" 200 " in status and response.endswith(SOUND_BODY) else "an answer was not passed on"
    if b"SPOILED" in response.upper() or b"sound" in response:
        return "malformed bytes were passed on"
    # A request that may be repeated is not, once the budget of retries is spent.
    errors = (b" 502 ", b" 503 ", b" 504 ") if method == "GET" else (b" 502 ", b" 504 ")
    if not any(error in status for error in errors) or b"outcome unknown" not in response:
        return "the caller was not told that the outcome is unknown"
    return None


def send_until_taken(port, target, method, path, number):
    """A target that has failed gets no request for a while."""
    for attempt in range(MAX_TRIES):
        key = [f"idempotency-key: {number}-{attempt}"] if method == "POST" else []
        response = exchange(port, request_bytes(method, path, headers=key))
        if target.case is None:
            break
        time.sleep(0.05)
    return response


def main():
    found, count = [], 0
    with contextlib.ExitStack() as stack:
        target = Target()
        router = start_router(stack, sys.argv[1], [("desk", target.port)])
        port = router.ready["caller_port"]
        forms = {**broken_answers.HEADS, **broken_answers.BODIES, **broken_answers.ANSWERS,
                 "reset within a body without a length": ends_by_close(b"SPOILED")}
        for name, make in forms.items():
            for pieces in PIECES:
                # The target's connection from the answer before is kept for requests that may be repeated.
                for method, path in (("GET", BOOKINGS), ("POST", "/bookings")):
                    exchange(port, request_bytes("GET", BOOKINGS))
                    target.case = (name, make, PIECES[pieces], name.startswith("reset"))
                    response = send_until_taken(port, target, method, path, count)
                    count += 1
                    # A request that may be repeated gets the answer of the second attempt.
                    is_repeated = method == "GET" and b" 200 " in response.split(b"\r\n")[0]
                    is_sound = response.endswith(SOUND_BODY) and b"SPOILED" not in response.upper()
                    fault = None if is_repeated and is_sound else fault_of(method, name, response)
                    if fault:
                        found.append(f"{method}, {name}, {pieces}: {fault}: {response[:80]}")
        found += [f"{name}: the connection was used again" for name in target.used_again]
        assert router.child.poll() is None, "the router has ended"
        router.terminate()
        assert router.exit_code() == 0
    print(f"{count} answers, {len(found)} faults")
    print("\n".join(found))
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
