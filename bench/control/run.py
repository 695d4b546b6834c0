#!/usr/bin/env python3
"""Measures the cost of fleet coordination per router, with real router processes on loopback.

Fleets have at most 55 routers in a region, as in the two-year plan. Prints one JSON object per line:
means and maxima over the routers at each size, idle and under load; the fitted slope over the number
of routers and the fitted value at 330 and 1,000 routers; the time from the acceptance of a change
until the last router has it; the longest wait of a request after a router was killed.
"""

import argparse
import json
import os
import re
import subprocess
import sys
import tempfile
import time

sys.dont_write_bytecode = True
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts"))

from fleetlib import fleet  # noqa: E402
from fleetlib.http_call import call, get_json  # noqa: E402

ENGINES = 8
REGION_ROUTERS = 55
DATA_CENTRES = 3
# Shards, and so share owners, of the service in each region.
SHARDS = 4
# Per router: 4,800 requests per second over 330 routers.
REQUESTS_PER_SECOND = 14.5
CHANGES = 7
QUIET_SECONDS = 3
SETTLE_SECONDS = 120
WATCH_KILL_SECONDS = 4
# From the two-year plan; see docs/CAPACITY.md.
LIMITS = {"control_bytes": 22_000, "cpu": 0.034, "memory": 256 * 1024 * 1024, "in_force": 4.0}
PLANNED = (330, 1000)


def report(figure, value, unit, baseline=None, **at):
    line = {"bench": "control", "figure": figure, "value": value, "unit": unit, "baseline": baseline}
    if at:
        line["at"] = at
    print(json.dumps(line), flush=True)


def metric(page, name, labels=""):
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in page.splitlines()
        if line.startswith((name + " ", name + "{")) and labels in line
    )


def sample(router):
    _, _, page = router.admin("GET", "/metrics")
    peer = "samphirespool_peer_bytes_total"
    return {
        "sent": metric(page, peer, 'direction="sent"'),
        "received": metric(page, peer, 'direction="received"'),
        "kinds": kinds_sent(page),
        "cpu": metric(page, "process_cpu_seconds_total"),
        "memory": metric(page, "process_resident_memory_bytes"),
    }


def kinds_sent(page):
    kinds = {}
    for line in page.splitlines():
        found = re.match(r'samphirespool_peer_bytes_total\{(.*)\} (\S+)', line)
        if found and 'direction="sent"' in found[1]:
            kind = re.search(r'kind="(\w+)"', found[1])
            kinds[kind[1] if kind else "all"] = float(found[2])
    return kinds


def fit(points):
    """Least squares line through (size, value): (intercept, slope)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return mean_y - slope * mean_x, slope


class Run:
    def __init__(self, arguments, folder, size):
        self.arguments = arguments
        self.size = size
        self.regions = -(-size // REGION_ROUTERS)
        self.fleet = fleet.Fleet(arguments.build, folder, "region-0")

    def start(self):
        self.fleet.start_platform()
        for i in range(ENGINES):
            name = f"engine-{i}"
            self.fleet.add_engine(name, f"dc-{i % DATA_CENTRES}", "--tokens-per-second", "2000", "--warm")
        self.list_targets()
        for i in range(self.size):
            region = i % self.regions
            data_centre = f"dc-{region}-{i // self.regions % DATA_CENTRES}"
            self.fleet.make_router(data_centre, f"region-{region}").process.start()
        self.fleet.configure(["organisation-0"], shards=SHARDS)
        self.fleet.wait_ready()
        self.wait_settled()

    def list_targets(self):
        """Lists as many targets in every region as there are engines; regions share the engines."""
        vms = []
        for i in range(ENGINES * self.regions):
            region, engine = i % self.regions, self.fleet.targets[i // self.regions]
            target = {
                "name": f"target-{i}", "service": fleet.CHAT_SERVICE, "ip": "127.0.0.1",
                "port": engine.port, "incarnation": engine.incarnation,
            }
            vms.append(
                {
                    "name": f"vm-{i}", "data_centre": f"dc-{region}-{i % DATA_CENTRES}",
                    "region": f"region-{region}", "leaving": False, "targets": [target],
                }
            )
        call(self.fleet.platform_port, "PUT", "/control/vms", {"vms": vms})

    def wait_settled(self):
        begin = changed = time.monotonic()
        seen = None
        while time.monotonic() - changed < QUIET_SECONDS:
            if time.monotonic() - begin > SETTLE_SECONDS:
                raise RuntimeError("the rosters did not settle within the time limit")
            states = [r.admin_json("/admin/v1/status") or {} for r in self.fleet.routers]
            now = [(s.get("roster_version"), s.get("members_alive")) for s in states]
            if now != seen:
                seen, changed = now, time.monotonic()
            time.sleep(0.3)
        report("settle", changed - begin, "s", routers=self.size)

    def start_load(self, seconds):
        arguments = [self.fleet.program("standin-load"), "--rate", str(REQUESTS_PER_SECOND * self.size)]
        for router in self.fleet.routers:
            arguments += ["--to", f"127.0.0.1:{router.caller_port}"]
        arguments += ["--key", "organisation-0-key", "--model", fleet.MODEL, "--max-tokens", "4"]
        arguments += ["--seconds", str(seconds)]
        return subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)

    def measure(self, loaded):
        """Reports rates, memory and store calls; returns the mean of each figure over the routers."""
        seconds = self.arguments.seconds
        load = self.start_load(seconds + 4) if loaded else None
        if load:
            time.sleep(2)
        counters = get_json(self.fleet.platform_port, "/control/counters")
        before = [sample(r) for r in self.fleet.routers]
        begin = time.monotonic()
        time.sleep(seconds)
        after = [sample(r) for r in self.fleet.routers]
        spent = time.monotonic() - begin
        calls = get_json(self.fleet.platform_port, "/control/counters")
        if load:
            answered, _ = load.communicate(timeout=60)
            print("load:", answered.strip(), file=sys.stderr)
        mode = "loaded" if loaded else "idle"
        means = {}
        for name in ("sent", "received", "cpu"):
            rates = [(b[name] - a[name]) / spent for a, b in zip(before, after)]
            self.report_values(f"{mode}_{name}", rates, "core" if name == "cpu" else "B/s", means)
        self.report_kinds(mode, before, after, spent)
        control_rates = [
            (b["sent"] + b["received"] - a["sent"] - a["received"]) / spent
            for a, b in zip(before, after)
        ]
        self.report_values(f"{mode}_control_bytes", control_rates, "B/s", means)
        self.report_values(f"{mode}_memory", [b["memory"] for b in after], "B", means)
        total = sum(calls[k] - counters[k] for k in calls) / spent
        report(f"{mode}_store_calls", total, "calls/s", routers=self.size)
        means[f"{mode}_store_calls"] = total
        return means

    def report_kinds(self, mode, before, after, spent):
        """Reports the mean bytes sent per second, by kind of frame."""
        for kind in sorted(after[0]["kinds"]):
            spent_bytes = sum(b["kinds"][kind] - a["kinds"].get(kind, 0) for a, b in zip(before, after))
            report(f"{mode}_sent_{kind}", spent_bytes / spent / self.size, "B/s", routers=self.size)

    def report_values(self, figure, values, unit, means):
        limit = next((v for k, v in LIMITS.items() if figure.endswith(k)), None)
        means[figure] = sum(values) / len(values)
        report(figure + "_mean", means[figure], unit, limit, routers=self.size)
        report(figure + "_max", max(values), unit, limit, routers=self.size)

    def measure_changes(self):
        delays = []
        for i in range(CHANGES):
            body = {"name": ("peak", "ordinary")[i % 2]}
            status, _, text = self.fleet.routers[0].admin("PUT", "/admin/v1/preset", body)
            if status != 200:
                raise RuntimeError(f"change: {status} {text}")
            begin, version = time.monotonic(), json.loads(text)["version"]
            waiting = list(self.fleet.routers)
            while waiting and time.monotonic() - begin < 30:
                waiting = [r for r in waiting if not has_version(r, version)]
            delays.append(time.monotonic() - begin)
        delays.sort()
        report("in_force_p50", delays[len(delays) // 2], "s", LIMITS["in_force"], routers=self.size)
        report("in_force_max", delays[-1], "s", LIMITS["in_force"], routers=self.size)

    def measure_kills(self):
        """Kills each router in turn, while requests are sent through the next one in the list."""
        waits = []
        failures = 0
        for victim in list(self.fleet.routers):
            successor = self.fleet.routers[(self.fleet.routers.index(victim) + 1) % self.size]
            victim.process.kill()
            begin = time.monotonic()
            longest = 0.0
            while time.monotonic() - begin < WATCH_KILL_SECONDS:
                sent = time.monotonic()
                failures += 0 if chat(successor) == 200 else 1
                longest = max(longest, time.monotonic() - sent)
            waits.append(longest)
            victim.process.start()
            self.fleet.wait_ready([victim])
            self.wait_settled()
        report("kill_longest_wait_max", max(waits), "s", 1.0, routers=self.size)
        report("kill_longest_wait_p50", sorted(waits)[len(waits) // 2], "s", 1.0, routers=self.size)
        report("kill_failed_requests", failures, "requests", 0, routers=self.size)


def has_version(router, version):
    status = router.admin_json("/admin/v1/status")
    return status is not None and (status["configuration_version"] or 0) >= version


def chat(router):
    body = {
        "model": fleet.MODEL, "max_tokens": 4,
        "messages": [{"role": "user", "content": f"quote {time.monotonic_ns()}"}],
    }
    headers = {"authorization": "Bearer organisation-0-key", "content-type": "application/json"}
    try:
        return call(router.caller_port, "POST", "/v1/chat/completions", body, headers, 20)[0]
    except OSError:
        return 0


def report_slopes(measured):
    if len(measured) < 2:
        return
    for figure in sorted(measured[min(measured)]):
        intercept, slope = fit([(size, means[figure]) for size, means in sorted(measured.items())])
        limit = next((v for k, v in LIMITS.items() if figure.endswith(k)), None)
        report(figure + "_slope", slope, "per router")
        for size in PLANNED:
            report(figure + "_fitted", intercept + slope * size, "as measured", limit, routers=size)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("build")
    parser.add_argument("--sizes", default="8,16,32,64,128,250")
    parser.add_argument("--seconds", type=float, default=10, help="length of each measurement")
    parser.add_argument("--pause", type=float, default=0,
                        help="seconds to wait between start and measurement")
    parser.add_argument("--kills", action="store_true", help="measure only kills, at the first size")
    arguments = parser.parse_args()
    measured = {}
    failed = 0
    for size in [int(part) for part in arguments.sizes.split(",")]:
        with tempfile.TemporaryDirectory(prefix="samphirespool-control-") as folder:
            run = Run(arguments, folder, size)
            try:
                run.start()
                if arguments.kills:
                    run.measure_kills()
                    return 0
                # Membership updates about the starts are still sent with the probes for a while.
                time.sleep(arguments.pause)
                measured[size] = {**run.measure(False), **run.measure(True)}
                run.measure_changes()
            except (RuntimeError, OSError) as reason:
                print(f"size {size} failed: {reason}", file=sys.stderr)
                failed += 1
            finally:
                run.fleet.stop()
    report_slopes(measured)
    return 1 if failed else 0


sys.exit(main())
