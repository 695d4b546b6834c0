"""Reads the routers' logs of a run: the merged time line, and the lines of single requests."""

import glob
import json
import os
import subprocess


def log_files(folder):
    return sorted(glob.glob(os.path.join(folder, "router-*.jsonl")))


def read_events(trace, folder):
    """Adds the request events of all routers to the trace. Returns the number of unreadable lines."""
    unreadable = 0
    for path in log_files(folder):
        with open(path, encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    item = json.loads(line)
                except ValueError:
                    unreadable += 1
                    continue
                if "request" in item:
                    trace.add(
                        "event", item["hybrid"] / 1000.0, name=item["event"],
                        process=item["process"], request=item["request"],
                        fields=item.get("fields", {}),
                    )
    return unreadable


def write_timeline(build, folder):
    """Writes the merged time line as HTML. Returns its path."""
    page = os.path.join(folder, "timeline.html")
    ctl = os.path.join(build, "samphirespoolctl")
    subprocess.run([ctl, "timeline", *log_files(folder), "--html", page], check=True)
    return page


def request_lines(folder, request, limit):
    """The first log lines of a request, from all routers, in the order of the hybrid clock."""
    found = []
    for path in log_files(folder):
        with open(path, encoding="utf-8", errors="replace") as file:
            found += [line.strip() for line in file if f'"request":"{request}"' in line]
    found.sort(key=lambda line: line[line.find('"hybrid"'):])
    return found[:limit]
