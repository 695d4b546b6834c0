#!/usr/bin/env python3
"""Guards against samphirespoolctl taking bytes that are no response for one, or collecting a response without end.

An administration API responds with malformed messages around a sound body, with a part of one, and without end.
"""

import os
import socket
import subprocess
import sys
import threading

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from standins import broken_answers  # noqa: E402

CTL = os.path.join(sys.argv[1], "samphirespoolctl")
WAIT_SECONDS = 30
# Above what ctl accepts.
MAX_ENDLESS_BYTES = 256 << 20
METRICS = b"a_metric 1\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS = {
    "head without end": (HEAD, b"X-Field: value\r\n" * 4096),
    "body without end": (HEAD + b"\r\n", b"SPOILED\n" * 8192),
    "chunks without end": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + b"SPOILED\n" * 8192 + b"\r\n"),
    "failure without end": (b"HTTP/1.1 500 -\r\n\r\n", b"SPOILED\n" * 8192),
}


class Api:
    """Responds to one connection; `sent` is then the number of bytes that were taken from it."""

    def __init__(self, start, repeated=b""):
        self.start, self.repeated = start, repeated
        self.sent = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        connection, _ = self.listener.accept()
        with connection:
            connection.recv(65536)
            try:
                connection.sendall(self.start)
                while self.repeated and self.sent < MAX_ENDLESS_BYTES:
                    connection.sendall(self.repeated)
                    self.sent += len(self.repeated)
            except OSError:
                pass


def run_ctl(api):
    done = subprocess.run([CTL, "--address", f"127.0.0.1:{api.port}", "metrics"], capture_output=True,
                          timeout=WAIT_SECONDS, check=False)
    api.thread.join(WAIT_SECONDS)
    return done


def main():
    found, count = [], 0
    cut = {"part of a body": lambda _, body: broken_answers.plain(b"", body)[:-3]}
    for name, make in {**broken_answers.HEADS, **broken_answers.BODIES, **cut}.items():
        done = run_ctl(Api(make(b"", METRICS)))
        count += 1
        if done.returncode == 0 or done.stdout or not done.stderr:
            found.append(f"{name}: exit code {done.returncode}, printed {done.stdout}, reason {done.stderr}")
    for name, make in broken_answers.ANSWERS.items():
        done = run_ctl(Api(make(b"", METRICS)))
        count += 1
        if done.returncode != 0 or done.stdout.strip() != METRICS.strip():
            found.append(f"{name}: exit code {done.returncode}, printed {done.stdout}, reason {done.stderr}")
    for name, (start, repeated) in ENDLESS.items():
        api = Api(start, repeated)
        done = run_ctl(api)
        count += 1
        if done.returncode == 0 or b"SPOILED" in done.stdout or api.sent >= MAX_ENDLESS_BYTES:
            found.append(f"{name}: exit code {done.returncode}, {len(done.stdout)} bytes printed, {api.sent} sent")
    print(f"{count} responses, {len(found)} faults")
    print("\n".join(found))
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
