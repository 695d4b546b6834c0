#!/usr/bin/env python3
"""Pauses and kills each router in turn, so that every share owner fails once.

Guards against requests that fail while ownership moves, and against an engine that receives more than
its limit from the old and the new owner together.
"""
import concurrent.futures
import os
import sys
import tempfile
import time

sys.dont_write_bytecode = True
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts"))

from fleetlib import fleet  # noqa: E402
from fleetlib.http_call import call, get_json  # noqa: E402

ROUTERS = 4
CAPACITY = 4
ENGINES = 2
BATCH = 24
WAIT_TIMEOUT_SECONDS = 60


def wait_for(condition, description):
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out waiting until {description}")
        time.sleep(0.05)


def chat(router, number):
    body = {
        "model": fleet.MODEL, "max_tokens": 8,
        "messages": [{"role": "user", "content": f"request {number}"}],
    }
    headers = {"authorization": "Bearer organisation-key", "content-type": "application/json"}
    status, fields, text = call(
        router.caller_port, "POST", "/v1/chat/completions", body, headers, WAIT_TIMEOUT_SECONDS
    )
    return status, fields.get("x-outcome"), text


def serve_batch(routers, pool):
    """Sends a batch of concurrent requests through the routers; all must be answered."""
    calls = [pool.submit(chat, routers[i % len(routers)], i) for i in range(BATCH)]
    for finished in calls:
        status, outcome, text = finished.result()
        assert status == 200 and outcome == "answered", (status, outcome, text)


def statuses(test_fleet):
    return [r.admin_json("/admin/v1/status") or {} for r in test_fleet.routers]


def is_settled(test_fleet):
    """Whether every router has all peers alive and the same roster."""
    reported = statuses(test_fleet)
    versions = {s.get("roster_version") for s in reported}
    return all(s.get("members_alive") == ROUTERS for s in reported) and len(versions) == 1 and (
        versions.pop() or 0
    ) >= 2


def peak_in_flight(engine):
    return get_json(engine.port, "/control/counters")["max_in_flight"]


def check_bound(test_fleet):
    for engine in test_fleet.targets:
        peak = peak_in_flight(engine)
        assert peak <= CAPACITY, f"{engine.name} had {peak} requests in flight, limit {CAPACITY}"


def run(test_fleet):
    test_fleet.start_platform()
    for i in range(ENGINES):
        test_fleet.add_engine(f"engine-{i}", f"dc-{i}", "--tokens-per-second", "200", "--warm")
    test_fleet.publish_vms()
    for i in range(ROUTERS):
        test_fleet.make_router(f"dc-{i % 2}").process.start()
    test_fleet.configure(
        ["organisation"], warm_capacity=CAPACITY, load_multiple=4.0, shards=2,
        default_deadline_ms=60_000,
    )
    test_fleet.wait_ready()
    wait_for(lambda: is_settled(test_fleet), "the routers have the same roster")
    with concurrent.futures.ThreadPoolExecutor(BATCH) as pool:
        serve_batch(test_fleet.routers, pool)
        for victim in test_fleet.routers:
            others = [r for r in test_fleet.routers if r is not victim]
            victim.process.pause()
            serve_batch(others, pool)
            victim.process.resume()
            wait_for(lambda: is_settled(test_fleet), f"{victim.name} is back after a pause")
            serve_batch(test_fleet.routers, pool)
            check_bound(test_fleet)
        for victim in test_fleet.routers:
            others = [r for r in test_fleet.routers if r is not victim]
            victim.process.kill()
            serve_batch(others, pool)
            victim.process.start()
            test_fleet.wait_ready([victim])
            wait_for(lambda: is_settled(test_fleet), f"{victim.name} is back after a crash")
            check_bound(test_fleet)
        serve_batch(test_fleet.routers, pool)
    check_bound(test_fleet)
    # The batches exceed the capacity of all engines together, so each reached its limit.
    assert all(peak_in_flight(engine) == CAPACITY for engine in test_fleet.targets)


def main():
    with tempfile.TemporaryDirectory(prefix="samphirespool-owners-") as folder:
        test_fleet = fleet.Fleet(os.path.abspath(sys.argv[1]), folder)
        try:
            run(test_fleet)
        finally:
            test_fleet.stop()
    print("share owners: every request answered, no engine above its limit")


main()
