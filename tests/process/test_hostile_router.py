#!/usr/bin/env python3
"""Guards against clients that make a router hold more than its machine has, at each of its ports, plain and over TLS.

As test_hostile_gateway.py, with the second router of a small fleet.

usage: test_hostile_router.py BUILD [CASE...]
"""

import contextlib
import os
import ssl
import subprocess
import sys
import tempfile
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "support"))

import hostile  # noqa: E402
from fleet_process import Fleet  # noqa: E402
from router_process import KEY, chat_body, connect, read_to_end, request_bytes  # noqa: E402

SCRIPT = os.path.basename(__file__)
CHAT = "/v1/chat/completions"
DOORS = {"callers": "caller_port", "callers-tls": "caller_port", "admin": "admin_port", "admin-tls": "admin_port",
         "peers": "peer_port"}
HTTP_CROWDS = ("fields-without-end", "line-without-end", "heads-left-open", "announced-huge", "chunked-without-end",
               "tiny-chunks-without-end", "bodies-just-short", "silent")
CASES = [
    *(f"callers/{crowd}" for crowd in (*HTTP_CROWDS, "chunked-just-short", "whole-bodies", "whole-bodies-unread",
                                       "unknown-key", "first-byte")),
    *(f"callers-tls/{crowd}" for crowd in (*HTTP_CROWDS, "chunked-just-short", "whole-bodies", "whole-bodies-unread",
                                           "first-byte")),
    *(f"{door}/{crowd}" for door in ("admin", "admin-tls") for crowd in HTTP_CROWDS),
    *(f"{door}/{crowd}" for door in ("callers", "callers-tls", "admin", "admin-tls")
      for crowd in ("empty-lines", "bare-line-feeds")),
    "peers/frames-just-short",
    "peers/silent",
]


def make_keys(folder):
    subprocess.run(["openssl", "req", "-x509", "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes",
                    "-days", "1", "-subj", "/CN=router", "-keyout", f"{folder}/key.pem", "-out", f"{folder}/cert.pem"],
                   check=True, capture_output=True)
    return f"{{certificate_file: {folder}/cert.pem, key_file: {folder}/key.pem}}"


def is_answered(port, is_secure):
    """Whether an ordinary request gets its response; one that is refused as not run is sent again."""
    end = time.monotonic() + hostile.ANSWER_SECONDS
    while time.monotonic() < end:
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            connection = stack.enter_context(connect(port))
            if is_secure:
                context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
                context.check_hostname = False
                context.verify_mode = ssl.CERT_NONE
                connection = stack.enter_context(context.wrap_socket(connection))
            connection.sendall(
                request_bytes("POST", CHAT, chat_body("an ordinary caller"), ["connection: close"]))
            data = read_to_end(connection)
            if b" 200 " in data.split(b"\r\n")[0] and b'"usage"' in data:
                return True
        time.sleep(0.2)
    return False


def run_case(case):
    door, _, name = case.partition("/")
    is_secure = door.endswith("-tls")
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = Fleet(stack, sys.argv[1], engines=1, routers=1)
        settings = f"max_body_bytes: {hostile.BODY_BYTES}\nmemory_limit_mb: {hostile.MEMORY_MB}\n"
        if is_secure:
            settings += f"{'caller' if door.startswith('callers') else 'admin'}_tls: {make_keys(folder)}\n"
        fleet.start_router(1, settings, hostile.DESCRIPTORS)
        router = fleet.routers[1]
        assert is_answered(router.ready["caller_port"], door == "callers-tls"), "the router did not become ready"
        meter = hostile.Meter(router.child.pid, [router.ready[name] for name in set(DOORS.values())])
        path = CHAT if door.startswith("callers") else "/admin/v1/configuration/check"
        spec = {**hostile.crowds(path, KEY)[name], "tls": is_secure and name != "silent"}
        with hostile.CrowdProcess(["127.0.0.1", router.ready[DOORS[door]]], spec) as crowd:
            time.sleep(hostile.CROWD_SECONDS)
            crowd.stop()
            answered = is_answered(router.ready["caller_port"], door == "callers-tls")
            meter.stop()
            return hostile.Verdict(router.child.poll() is None, meter, answered, crowd)


if __name__ == "__main__":
    hostile.run_cases(SCRIPT, CASES, run_case, sys.argv[2:])
