"""A child process that can be started again, paused and stopped; signals go to its own process id."""

import json
import os
import select
import signal
import subprocess
import time

START_TIMEOUT_SECONDS = 20


class Process:
    """A program that prints one JSON line on standard output once it is ready."""

    def __init__(self, name, arguments, log_path):
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self.child = None
        self.announcement = {}
        # Number of starts so far.
        self.incarnation = 0
        self.paused = False

    def start(self):
        self.incarnation += 1
        self.paused = False
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                self.arguments, stdout=subprocess.PIPE, stderr=log, stdin=subprocess.DEVNULL
            )
        self.announcement = self.read_announcement()

    def read_announcement(self):
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        line = b""
        pipe = self.child.stdout.fileno()
        while not line.endswith(b"\n"):
            ready, _, _ = select.select([pipe], [], [], max(0, deadline - time.monotonic()))
            part = os.read(pipe, 4096) if ready else b""
            if not part:
                self.kill()
                raise RuntimeError(f"{self.name} did not start: {self.arguments}; see {self.log_path}")
            line += part
        return json.loads(line.splitlines()[0])

    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def pause(self):
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)
        self.paused = False

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()
            self.child.stdout.close()

    def stop(self, timeout):
        """Sends SIGTERM, and SIGKILL after `timeout` seconds. Returns the exit code, None after SIGKILL."""
        self.resume()
        self.signal(signal.SIGTERM)
        try:
            code = self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None
        self.child.stdout.close()
        return code
