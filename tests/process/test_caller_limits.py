#!/usr/bin/env python3
"""Slow callers and huge requests are rejected with a definite error and do not affect other callers.

Guards against a request that holds its connection or memory without bound.
"""
import contextlib
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "support"))
from router_process import (chat_body, connect, exchange, get_json, read_to_end, request_bytes,
                            start_engine, start_router, wait_for)

CHAT = "/v1/chat/completions"


def assert_served(caller_port):
    response = exchange(caller_port, request_bytes("POST", CHAT, chat_body("an ordinary caller")))
    assert b" 200 " in response and b"x-outcome: answered" in response, response


def check_slow_request(caller_port):
    """An incomplete request gets 408 after the request timeout, and its connection is closed."""
    with connect(caller_port) as connection:
        connection.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nhost: te")
        assert_served(caller_port)
        response = read_to_end(connection)
    assert b" 408 " in response and b"not run" in response, response


def check_huge_body(caller_port):
    """The 413 response reaches a caller that is still sending its body."""
    body = b"x" * (4 << 20)
    announced = request_bytes("POST", CHAT, body)
    with connect(caller_port) as connection:
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            connection.sendall(announced)
        response = read_to_end(connection)
    assert b" 413 " in response and b"not run" in response, response[:300]
    error = json.loads(response.partition(b"\r\n\r\n")[2])["error"]
    assert error["code"] == "payload_too_large" and error["outcome"] == "not run", error


def check_huge_header(caller_port):
    request = request_bytes("GET", "/healthz", headers=["x-large: " + "y" * 60000])
    response = exchange(caller_port, request)
    assert b" 431 " in response and b"not run" in response, response[:300]


def check_slow_reader(caller_port, engine_port):
    """A caller that does not read its stream blocks only its own engine call, once a limit is buffered.

    Its disconnect cancels the call.
    """
    with connect(caller_port) as connection:
        connection.sendall(request_bytes("POST", CHAT, chat_body("slow", True, 200000)))
        wait_for(lambda: get_json(engine_port, "/control/counters")["in_flight"] == 1,
                 "the stream to be open")
        for _ in range(5):
            assert_served(caller_port)
    wait_for(lambda: get_json(engine_port, "/control/counters")["in_flight"] == 0,
             "the disconnected caller's work to be cancelled")


def check_connection_limit(caller_port, engine_port, limit):
    """Connections with a request in progress are kept, and one more is refused. Those that have sent nothing make
    room for others."""
    with contextlib.ExitStack() as connections:
        for _ in range(limit):
            connections.enter_context(connect(caller_port)).sendall(
                request_bytes("POST", CHAT, chat_body("long", True, 200000)))
        wait_for(lambda: get_json(engine_port, "/control/counters")["in_flight"] == limit, "the streams to be open")
        with connect(caller_port) as one_more:
            response = read_to_end(one_more)
        assert b" 503 " in response and b"not run" in response, response
        assert get_json(engine_port, "/control/counters")["in_flight"] == limit
    wait_for(lambda: get_json(engine_port, "/control/counters")["in_flight"] == 0, "the streams to be cancelled")
    with contextlib.ExitStack() as connections:
        for _ in range(limit):
            connections.enter_context(connect(caller_port))
        assert_served(caller_port)


def main():
    build = sys.argv[1]
    with contextlib.ExitStack() as stack:
        engine = start_engine(stack, build, "--tokens-per-second", "5000", "--step-ms", "5")
        router = start_router(stack, build, [("llm", engine.ready["port"])], max_connections=50,
                              max_body_bytes="1MiB", request_timeout="1s")
        caller_port = router.ready["caller_port"]
        assert_served(caller_port)
        check_slow_request(caller_port)
        check_huge_body(caller_port)
        check_huge_header(caller_port)
        check_slow_reader(caller_port, engine.ready["port"])
        check_connection_limit(caller_port, engine.ready["port"], 50)
        router.terminate()
        assert router.exit_code() == 0


if __name__ == "__main__":
    main()
