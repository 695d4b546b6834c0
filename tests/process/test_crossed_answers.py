#!/usr/bin/env python3
"""Targets respond twice, late, in part or for another request: no caller receives a wrong response.

Guards against a keep-alive connection on which responses no longer match requests. The target uses raw
sockets to send invalid responses. The prompt's first word selects the fault; a valid response echoes
the prompt.
"""
import contextlib
import json
import os
import socket
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "support"))
from router_process import chat_body, exchange, request_bytes, start_router

CHAT = "/v1/chat/completions"


def response_to(request_id, prompt):
    body = json.dumps({"echo": prompt}).encode()
    return (f"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nx-request-id: {request_id}\r\n"
            f"content-length: {len(body)}\r\n\r\n").encode() + body


class RawTarget:
    """A target that serves keep-alive connections, one thread each, and injects the fault of the prompt."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        previous = b""
        with contextlib.suppress(OSError), connection, connection.makefile("rb") as stream:
            while True:
                request_id, prompt = self.read_request(stream)
                if request_id is None:
                    return
                valid = response_to(request_id, prompt)
                kind = prompt.split()[0]
                if kind == "truncated":
                    connection.sendall(valid[:-3])
                    return
                if kind == "crossed":
                    connection.sendall(response_to("0-0-0", "of another"))
                elif kind == "repeated":
                    # Sends the response to the previous request first.
                    connection.sendall(previous + valid)
                elif kind == "twice":
                    connection.sendall(valid + valid)
                elif kind == "late":
                    threading.Event().wait(0.3)
                    connection.sendall(valid)
                else:
                    connection.sendall(valid)
                previous = valid

    @staticmethod
    def read_request(stream):
        headers = {}
        if not stream.readline():
            return None, None
        while True:
            line = stream.readline().strip().decode()
            if not line:
                break
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
        body = json.loads(stream.read(int(headers["content-length"])))
        return headers["x-request-id"], body["messages"][0]["content"]


def main():
    build = sys.argv[1]
    with contextlib.ExitStack() as stack:
        targets = [RawTarget() for _ in range(2)]
        router = start_router(stack, build, [("llm", target.port) for target in targets])
        caller_port = router.ready["caller_port"]
        kinds = ["proper", "twice", "repeated", "crossed", "truncated", "late"]
        answered = 0
        for number in range(120):
            prompt = f"{kinds[number * 7 % len(kinds)]} {number}"
            headers = ["x-deadline-ms: 100"] if prompt.startswith("late") else []
            response = exchange(caller_port, request_bytes("POST", CHAT, chat_body(prompt), headers))
            head, body = response.split(b"\r\n\r\n", 1)
            content = json.loads(body)
            if b" 200 " in head.split(b"\r\n")[0]:
                assert content == {"echo": prompt}, (prompt, response)
                answered += 1
            else:
                assert content["error"]["outcome"] in ("not run", "outcome unknown"), response
                assert b"echo" not in body, response
            if prompt.startswith("late"):
                assert b" 504 " in head, response
        assert answered >= 20, f"only {answered} of 120 were answered"
        router.terminate()
        assert router.exit_code() == 0


if __name__ == "__main__":
    main()
