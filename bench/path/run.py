#!/usr/bin/env python3
"""Compares requests through a router with requests sent directly to its targets, on real sockets.

Prints one JSON object per line: {"bench","figure","value","unit","baseline"}. `baseline` is the same
figure without the router, or null if there is none. The router runs on one thread. Its figures for
one core come from runs that keep this core busy; the used share of the core is printed with them.
Usage: run.py BUILD_FOLDER [--seconds N] [FIGURE...], FIGURE among requests tokens latency idle.
"""
import argparse
import contextlib
import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

KEY = "bench-key"
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


class Process:
    """A program that prints one JSON line when it is ready."""

    def __init__(self, *command):
        self.child = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.ready = json.loads(self.child.stdout.readline())

    def cpu_seconds(self):
        with open(f"/proc/{self.child.pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def wait_seconds(self):
        """Time in which the process was runnable but waited for a processor."""
        with open(f"/proc/{self.child.pid}/schedstat") as file:
            return int(file.read().split()[1]) / 1e9

    def resident_bytes(self):
        with open(f"/proc/{self.child.pid}/statm") as file:
            return int(file.read().split()[1]) * PAGE

    def stop(self):
        self.child.send_signal(signal.SIGTERM)
        try:
            self.child.wait(10)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()


def write_file(folder, name, text):
    path = os.path.join(folder, name)
    with open(path, "w") as file:
        file.write(text)
    return path


class Fleet:
    """One router in front of several engines."""

    def __init__(self, build, stack, engines, engine_options):
        self.build = build
        self.engines = []
        for number in range(engines):
            engine = Process(f"{build}/standin-engine", "--name", f"e{number}", "--warm",
                             "--cache-blocks", "1000000",
                             "--prefill-tokens-per-second", "1e9", *engine_options)
            stack.callback(engine.stop)
            self.engines.append(engine)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.router = Process(f"{build}/samphirespool-router",
                              "--config", write_file(folder, "router.yaml", self.settings(folder)),
                              "--configuration",
                              write_file(folder, "fleet.json", self.configuration()),
                              "--vms", write_file(folder, "vms.json", self.vms()))
        stack.callback(self.router.stop)
        self.router_address = f"127.0.0.1:{self.router.ready['caller_port']}"
        self.engine_addresses = [f"127.0.0.1:{engine.ready['port']}" for engine in self.engines]

    @staticmethod
    def settings(folder):
        return ("name: bench\ndata_centre: a\nregion: r\ncaller_listen: 127.0.0.1:0\n"
                "admin_listen: 127.0.0.1:0\npeer_listen: 127.0.0.1:0\nstore: 127.0.0.1:1\n"
                f"fleet_keys:\n  - {'00' * 32}\nseed: 1\nmax_connections: 20000\n"
                f"log_file: {folder}/router.log\n")

    @staticmethod
    def configuration():
        hashed = hashlib.sha256(KEY.encode()).hexdigest()
        return json.dumps({
            "services": [{"name": "llm", "kind": "engine", "models": ["m"],
                          "path_prefixes": ["/v1/chat"], "warm_capacity": 100000,
                          "cold_allowance": 100000}],
            "organisations": [{"name": "bench", "api_key_hash": hashed}],
            "presets": [{"name": name} for name in ("ordinary", "peak", "maintenance")],
            "preset_in_force": "ordinary"})

    def vms(self):
        return json.dumps({"vms": [
            {"name": f"vm{number}", "data_centre": "a", "region": "r", "leaving": False,
             "targets": [{"name": f"e{number}", "service": "llm", "ip": "127.0.0.1",
                          "port": engine.ready["port"], "incarnation": 1}]}
            for number, engine in enumerate(self.engines)]})

    def load(self, through_router, *options, tools=1):
        to = [self.router_address] if through_router else self.engine_addresses
        command = [f"{self.build}/standin-load", "--key", KEY]
        for address in to:
            command += ["--to", address]
        started = time.monotonic()
        before = self.router.cpu_seconds()
        waited_before = self.router.wait_seconds()
        runs = [subprocess.Popen(command + list(options) + ["--seed", str(seed + 1)],
                                 stdout=subprocess.PIPE, text=True) for seed in range(tools)]
        results = [json.loads(run.communicate()[0]) for run in runs]
        elapsed = time.monotonic() - started
        for result in results:
            if result["wrong"] or result["broken"] or result["unanswered"]:
                sys.exit(f"wrong, broken or missing responses: {json.dumps(result)}")
        share = (self.router.cpu_seconds() - before) / elapsed
        self.cpu_wait_share = (self.router.wait_seconds() - waited_before) / elapsed
        return results, share


def emit(figure, value, unit, baseline=None):
    print(json.dumps({"bench": "path", "figure": figure, "value": round(value, 3), "unit": unit,
                      "baseline": None if baseline is None else round(baseline, 3)}), flush=True)


def total(results, name):
    return sum(result[name] for result in results)


def bench_requests(build, seconds):
    """Unstreamed chats of one token, with enough concurrency to keep the router's core busy."""
    with contextlib.ExitStack() as stack:
        fleet = Fleet(build, stack, 4, ["--step-ms", "1", "--tokens-per-second", "100000",
                                        "--full-rate-streams", "100000"])
        options = ["--concurrency", "32", "--seconds", str(seconds), "--max-tokens", "1",
                   "--turn-bytes", "0", "--chats", "1000"]
        direct, _ = fleet.load(False, *options, tools=2)
        routed, share = fleet.load(True, *options, tools=2)
        emit("requests per second on one core", total(routed, "requests_per_second"), "1/s",
             total(direct, "requests_per_second"))
        emit("share of the core used for requests", share, "cores")


def bench_tokens(build, seconds):
    """Many concurrent streams, first with several tokens per write, then with one."""
    with contextlib.ExitStack() as stack:
        fleet = Fleet(build, stack, 4, ["--step-ms", "20", "--tokens-per-second", "800",
                                        "--full-rate-streams", "100000"])
        options = ["--concurrency", "200", "--seconds", str(seconds), "--max-tokens", "800",
                   "--turn-bytes", "0", "--chats", "1000", "--stream"]
        direct, _ = fleet.load(False, *options, tools=3)
        routed, share = fleet.load(True, *options, tools=3)
        emit("streamed tokens per second on one core", total(routed, "tokens_per_second"), "1/s",
             total(direct, "tokens_per_second"))
        emit("share of the core used for tokens", share, "cores")
    with contextlib.ExitStack() as stack:
        fleet = Fleet(build, stack, 4, ["--step-ms", "20", "--tokens-per-second", "50",
                                        "--full-rate-streams", "100000"])
        options = ["--concurrency", "300", "--seconds", str(seconds), "--max-tokens", "100",
                   "--turn-bytes", "0", "--chats", "1000", "--stream"]
        routed, share = fleet.load(True, *options, tools=3)
        emit("streamed tokens per second for each core used, one token a write",
             total(routed, "tokens_per_second") / share, "1/s")


def bench_latency(build, seconds):
    """Streams at half of the design load: 1,000 requests and 125,000 tokens per second."""
    with contextlib.ExitStack() as stack:
        fleet = Fleet(build, stack, 4, ["--step-ms", "5", "--tokens-per-second", "800",
                                        "--full-rate-streams", "100000"])
        options = ["--rate", "500", "--seconds", str(seconds), "--max-tokens", "125",
                   "--turn-bytes", "0", "--chats", "1000", "--stream"]
        # Warm-up, so that first connections and page faults don't count.
        fleet.load(True, *options[:2], "--seconds", "2", *options[4:], tools=2)
        direct, _ = fleet.load(False, *options, tools=2)
        routed, share = fleet.load(True, *options, tools=2)
        for what, name in (("first token", "first_byte_ms"), ("between tokens", "gap_ms")):
            for quantile in ("p50", "p99"):
                with_router = max(result[name][quantile] for result in routed)
                without = max(result[name][quantile] for result in direct)
                emit(f"{what} {quantile} at half load", with_router, "ms", without)
                emit(f"added {what} {quantile} at half load", with_router - without, "ms")
        emit("share of the core used at half load", share, "cores")
        emit("share of the time waited for a core at half load", fleet.cpu_wait_share, "cores")


def bench_idle(build, _seconds):
    """Memory of the router per connection, with 10,000 idle connections."""
    count = 10000
    with contextlib.ExitStack() as stack:
        fleet = Fleet(build, stack, 1, [])
        fleet.load(True, "--requests", "100", "--max-tokens", "1")
        before = fleet.router.resident_bytes()
        command = [f"{build}/standin-load", "--key", KEY, "--to", fleet.router_address,
                   "--requests", "20", "--rate", "10", "--seconds", "0", "--max-tokens", "1",
                   "--idle-connections", str(count)]
        tool = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        highest = before
        while tool.poll() is None:
            highest = max(highest, fleet.router.resident_bytes())
            time.sleep(0.05)
        result = json.loads(tool.stdout.read())
        if result["answered_whole"] != 20:
            sys.exit(f"requests failed while idle connections were open: {json.dumps(result)}")
        emit("memory per idle connection of 10000", (highest - before) / count, "bytes")


BENCHES = {"requests": bench_requests, "tokens": bench_tokens, "latency": bench_latency,
           "idle": bench_idle}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("figures", nargs="*", default=list(BENCHES))
    parser.add_argument("--seconds", type=float, default=10)
    arguments = parser.parse_args()
    for figure in arguments.figures or list(BENCHES):
        BENCHES[figure](arguments.build, arguments.seconds)


if __name__ == "__main__":
    main()
