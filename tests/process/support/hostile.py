"""What the tests of clients outside the limits have in common: the crowds, the bounds and the checks."""

import json
import os
import re
import subprocess
import sys

from process_memory import Meter

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
CROWD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "crowd.py")

MEGABYTE = 1 << 20
# The memory of the machine, and the descriptors that the process may open.
MEMORY_MB = 64
DESCRIPTORS = 512
# Of these, the store, the peers and the targets have so many left at any time.
DESCRIPTORS_LEFT = 16
CROWD_SECONDS = 5.0
# A legal body.
BODY_BYTES = MEGABYTE
MANY, VERY_MANY = 120, 700
# Limit of the wait for one answer, so that no test hangs.
ANSWER_SECONDS = 30


def head(path, key, *fields, method="POST"):
    lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", "X-Attempt-Id: 00000000000000aa", "X-Deadline-Ms: 15000"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    return "\r\n".join([*lines, *fields]) + "\r\n\r\n"


def chunk(size, extension=""):
    return f"{size:x}{extension}\r\n{'x' * size}\r\n"


def crowds(path, key):
    """By name: what each client of a crowd sends, and further fields of the crowd."""
    start = head(path, key)[:-2]
    sized = head(path, key, f"Content-Length: {BODY_BYTES}")
    chunked = head(path, key, "Transfer-Encoding: chunked")
    whole = head(path, key, f"Content-Length: {BODY_BYTES}")
    return {
        "fields-without-end": {"parts": [[start, 1], ["X-Field: value\r\n", None]]},
        "line-without-end": {"parts": [[start, 1], ["X-Field: ", 1], ["y", None]]},
        "empty-lines": {"parts": [["\r\n", None]]},
        "bare-line-feeds": {"parts": [["\n", None]]},
        "heads-left-open": {"parts": [[start, 1], ["X-Field: ", 1], ["y", 360000]]},
        "announced-huge": {"parts": [[head(path, key, "Content-Length: 1000000000000"), 1], ["x", None]]},
        "chunked-without-end": {"parts": [[chunked, 1], [chunk(65536), None]]},
        "tiny-chunks-without-end": {"parts": [[chunked, 1], [chunk(1), None]]},
        "long-extensions": {"parts": [[chunked, 1], [chunk(1, ";" + "e" * 8000), None]]},
        "bodies-just-short": {"parts": [[sized, 1], ["x", BODY_BYTES - 1]]},
        "chunked-just-short": {"parts": [[chunked, 1], [chunk(65536), BODY_BYTES // 65536 - 1], ["ffff\r\n", 1],
                                         ["x", 65000]]},
        "whole-bodies": {"parts": [[whole, 1], ["x", BODY_BYTES]], "again": True},
        "whole-bodies-unread": {"parts": [[whole, 1], ["x", BODY_BYTES]], "again": True, "reads": False},
        "unknown-key": {"parts": [[head(path, "nobody", f"Content-Length: {BODY_BYTES}"), 1], ["x", BODY_BYTES - 1]]},
        "unknown-route": {"parts": [[head("/nowhere", key, f"Content-Length: {BODY_BYTES}"), 1],
                                    ["x", BODY_BYTES - 1]]},
        "waiting-for-continue": {"parts": [[head(path, key, "Expect: 100-continue", f"Content-Length: {BODY_BYTES}"), 1],
                                           ["x", BODY_BYTES - 1]]},
        "silent": {"parts": [], "count": VERY_MANY},
        "first-byte": {"parts": [["P", 1]], "count": VERY_MANY},
        # Frames between the processes of the fleet: the largest length, and all but the last bytes.
        "frames-just-short": {"parts": [["\xf8\xff\x0f\x00", 1], ["f", MEGABYTE - 100]]},
    }


class CrowdProcess:
    """The crowd while the block runs; its clients stop sending when stop() is called, and stay connected."""

    def __init__(self, address, spec):
        text = json.dumps({"count": MANY, **spec, "address": address})
        self.process = subprocess.Popen([sys.executable, CROWD, text], stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    def __enter__(self):
        self.process.stdout.readline()
        return self

    def stop(self):
        self.process.stdin.close()
        self.process.stdout.readline()

    def is_there(self):
        """Whether the crowd still runs; without it a case shows nothing."""
        return self.process.poll() is None

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


def known_red(script, case):
    """Whether KNOWN-RED.txt lists the case."""
    with open(os.path.join(ROOT, "KNOWN-RED.txt"), encoding="utf-8") as text:
        return re.search(rf"{re.escape(script)} build {re.escape(case)}(?![\w-])", text.read()) is not None


class Verdict:
    """The three things that each test checks, of a crowd that was there to the end."""

    def __init__(self, is_alive, meter, is_answered, crowd):
        self.is_alive = is_alive
        self.is_crowd_there = crowd.is_there()
        self.most_mb = meter.most_bytes / MEGABYTE
        self.most_descriptors = meter.most_descriptors
        self.is_answered = is_answered

    def holds(self):
        return (self.is_alive and self.is_crowd_there and self.is_answered and self.most_mb <= MEMORY_MB
                and self.most_descriptors <= DESCRIPTORS - DESCRIPTORS_LEFT)

    def __str__(self):
        return (f"{'lives' if self.is_alive else 'has ended'}, {self.most_mb:.0f} MB of {MEMORY_MB} at most, "
                f"{self.most_descriptors} descriptors of {DESCRIPTORS}, an ordinary request afterwards is "
                f"{'answered' if self.is_answered else 'not answered'}"
                f"{'' if self.is_crowd_there else ', the crowd has ended before'}")


def run_cases(script, cases, run, wanted):
    """Runs the cases one after the other. Exits with 1 if one that KNOWN-RED.txt does not list is broken."""
    failed = False
    for case in wanted or cases:
        verdict = run(case)
        is_red = not verdict.holds()
        listed = known_red(script, case)
        note = "" if not is_red else " (listed in KNOWN-RED.txt)" if listed else " FAILED"
        print(f"{script} {case}: {verdict}{note}", flush=True)
        failed = failed or (is_red and not listed)
    sys.exit(1 if failed else 0)
