#!/usr/bin/env python3
"""Slow and huge callers get a clear answer and cost nobody else."""
import contextlib
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "support"))
from router_process import (chat_body, connect, exchange, get_json, read_to_end, request_bytes,
                            start_engine, start_router, wait_for)

CHAT = "/v1/chat/completions"


def assert_served(front):
    answer = exchange(front, request_bytes("POST", CHAT, chat_body("an ordinary caller")))
    assert b" 200 " in answer and b"x-outcome: answered" in answer, answer


def check_slow_request(front):
    """A request that stops half way is answered 408 and its connection closed."""
    with connect(front) as connection:
        connection.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nhost: te")
        assert_served(front)
        answer = read_to_end(connection)
    assert b" 408 " in answer and b"not run" in answer, answer


def check_huge_body(front):
    """The refusal reaches a caller that goes on sending, announced or not."""
    body = b"x" * (4 << 20)
    announced = request_bytes("POST", CHAT, body)
    with connect(front) as connection:
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            connection.sendall(announced)
        answer = read_to_end(connection)
    assert b" 413 " in answer and b"not run" in answer, answer[:300]
    error = json.loads(answer.partition(b"\r\n\r\n")[2])["error"]
    assert error["code"] == "payload_too_large" and error["outcome"] == "not run", error


def check_huge_header(front):
    request = request_bytes("GET", "/healthz", headers=["x-large: " + "y" * 60000])
    answer = exchange(front, request)
    assert b" 431 " in answer and b"not run" in answer, answer[:300]


def check_slow_reader(front, engine_port):
    """A caller that does not read its stream stops its own engine call at a bound, nobody else."""
    with connect(front) as connection:
        connection.sendall(request_bytes("POST", CHAT, chat_body("slow", True, 200000)))
        wait_for(lambda: get_json(engine_port, "/control/counters")["in_flight"] == 1,
                 "the stream to be open")
        for _ in range(5):
            assert_served(front)
    wait_for(lambda: get_json(engine_port, "/control/counters")["in_flight"] == 0,
             "the departed caller's work to be cancelled")


def check_connection_limit(front, limit):
    with contextlib.ExitStack() as held:
        for _ in range(limit):
            held.enter_context(connect(front))
        with connect(front) as one_more:
            answer = read_to_end(one_more)
        assert b" 503 " in answer and b"not run" in answer, answer


def main():
    build = sys.argv[1]
    with contextlib.ExitStack() as stack:
        engine = start_engine(stack, build, "--tokens-per-second", "5000", "--step-ms", "5")
        router = start_router(stack, build, [("llm", engine.ready["port"])], max_connections=50,
                              max_body_bytes="1MiB", request_timeout="1s")
        front = router.ready["caller_port"]
        assert_served(front)
        check_slow_request(front)
        check_huge_body(front)
        check_huge_header(front)
        check_slow_reader(front, engine.ready["port"])
        check_connection_limit(front, 50)
        router.terminate()
        assert router.exit_code() == 0


if __name__ == "__main__":
    main()
