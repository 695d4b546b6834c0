#!/usr/bin/env python3
"""SIGTERM with 200 open streams: each completes, new requests are rejected, the exit code is 0."""
import contextlib
import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "support"))
from router_process import (KEY, chat_body, exchange, get_json, request_bytes, start_engine,
                            start_router, wait_for)

STREAMS = 200


def main():
    build = sys.argv[1]
    with contextlib.ExitStack() as stack:
        engines = [start_engine(stack, build, "--tokens-per-second", "100",
                                "--full-rate-streams", "1000") for _ in range(2)]
        ports = [engine.ready["port"] for engine in engines]
        router = start_router(stack, build, [("llm", port) for port in ports])
        caller_port = router.ready["caller_port"]
        load = subprocess.Popen(
            [f"{build}/standin-load", "--to", f"127.0.0.1:{caller_port}", "--key", KEY, "--stream",
             "--concurrency", str(STREAMS), "--requests", str(STREAMS), "--seconds", "0",
             "--chats", str(STREAMS), "--max-tokens", "300"], stdout=subprocess.PIPE, text=True)
        stack.callback(load.wait)
        stack.callback(load.kill)
        wait_for(lambda: sum(get_json(port, "/control/counters")["in_flight"]
                             for port in ports) == STREAMS, "all streams to be open")
        router.terminate()
        wait_for(lambda: b" 503 " in exchange(caller_port, request_bytes("GET", "/healthz")),
                 "the health check to fail")
        rejection = exchange(caller_port, request_bytes("POST", "/v1/chat/completions", chat_body("new")))
        assert b" 503 " in rejection and b"x-outcome: not run" in rejection, rejection
        assert router.child.poll() is None, "the router exited before its streams had completed"
        result = json.loads(load.communicate()[0])
        assert result["answered_whole"] == STREAMS, result
        assert result["broken"] == result["wrong"] == result["unanswered"] == 0, result
        assert router.exit_code() == 0


if __name__ == "__main__":
    main()
