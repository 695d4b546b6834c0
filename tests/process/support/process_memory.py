"""Measures a process from outside: its memory, with what the kernel has received for it and nobody has read, and
its open descriptors."""

import os
import re
import threading
import time

INTERVAL_SECONDS = 0.05
ESTABLISHED, CLOSE_WAIT = "01", "08"


def resident_bytes(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    return 0


def descriptors(pid):
    return os.listdir(f"/proc/{pid}/fd")


def socket_inodes(pid):
    inodes = set()
    for name in descriptors(pid):
        try:
            target = os.readlink(f"/proc/{pid}/fd/{name}")
        except OSError:
            continue
        if match := re.fullmatch(r"socket:\[(\d+)\]", target):
            inodes.add(match[1])
    return inodes


def unread_bytes(pid, ports):
    """Received and not read: on connections to the ports, accepted or not, and on other connections of the process."""
    inodes = socket_inodes(pid)
    total = 0
    for table in ("tcp", "tcp6"):
        with open(f"/proc/net/{table}", encoding="utf-8") as lines:
            for line in list(lines)[1:]:
                fields = line.split()
                is_own = int(fields[1].rpartition(":")[2], 16) in ports or fields[9] in inodes
                if fields[3] in (ESTABLISHED, CLOSE_WAIT) and is_own:
                    total += int(fields[4].partition(":")[2], 16)
    return total


class Meter:
    """Keeps the largest figures until it is stopped."""

    def __init__(self, pid, ports):
        self.pid = pid
        self.ports = set(ports)
        self.most_bytes = 0
        self.most_descriptors = 0
        self.is_stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.is_stopped.is_set():
            try:
                self.most_bytes = max(
                    self.most_bytes, resident_bytes(self.pid) + unread_bytes(self.pid, self.ports))
                self.most_descriptors = max(self.most_descriptors, len(descriptors(self.pid)))
            except (FileNotFoundError, ProcessLookupError):
                return
            time.sleep(INTERVAL_SECONDS)

    def stop(self):
        self.is_stopped.set()
        self.thread.join()
