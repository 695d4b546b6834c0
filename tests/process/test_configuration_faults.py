#!/usr/bin/env python3
"""Operators make concurrent and retried changes while the store loses responses and goes down.

Every router must apply each accepted change, and a retried change must count once. A leaving mark must
take effect without the store, and a router that starts during the outage must receive it.
"""
import concurrent.futures
import json
import os
import sys
import tempfile
import time

sys.dont_write_bytecode = True
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts"))

from fleetlib import fleet  # noqa: E402

ROUTERS = 4
WAIT_TIMEOUT_SECONDS = 60
PRESETS = ("ordinary", "peak", "maintenance")


def wait_for(condition, description):
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out waiting until {description}")
        time.sleep(0.05)


def get_preset(router):
    return router.admin_json("/admin/v1/preset") or {}


def all_have_preset(test_fleet, preset, version):
    return all(get_preset(r) == {"version": version, "name": preset} for r in test_fleet.routers)


def change_preset(router, name, query):
    status, _, text = router.admin("PUT", f"/admin/v1/preset?{query}", {"name": name}, timeout=30)
    return status, json.loads(text)


def mark(router, state, request_id):
    path = f"/admin/v1/marks/data-centres/dc-0?request_id={request_id}"
    status, _, text = router.admin("PUT", path, {"state": state}, timeout=30)
    return status, json.loads(text)


def is_leaving(router):
    mark_state = router.admin_json("/admin/v1/marks/data-centres/dc-0") or {}
    return mark_state.get("state") == "leaving"


def change_concurrently(test_fleet, version):
    """Every router gets a change conditional on the same version; exactly one is accepted."""
    with concurrent.futures.ThreadPoolExecutor(ROUTERS) as pool:
        calls = [
            pool.submit(change_preset, r, PRESETS[i % 3], f"if_version={version}")
            for i, r in enumerate(test_fleet.routers)
        ]
        responses = [call.result() for call in calls]
    accepted = [body for _, body in responses if body["status"] == "accepted"]
    assert len(accepted) == 1, responses
    assert all(body["status"] in ("accepted", "conflict") for _, body in responses), responses
    return accepted[0]["version"]


def retry_until_accepted(test_fleet, name, request_id):
    """Responses may be lost; a retry under the same request id through any router is the same change."""
    versions = set()
    for attempt in range(40):
        router = test_fleet.routers[attempt % ROUTERS]
        _, body = change_preset(router, name, f"request_id={request_id}")
        assert body["status"] in ("accepted", "unknown", "not_accepted"), body
        if body["status"] == "accepted":
            versions.add(body["version"])
        if attempt >= ROUTERS and versions:
            break
    assert len(versions) == 1, versions
    return versions.pop()


def check_lost_responses(test_fleet, version):
    test_fleet.set_store_fault("lost_answers", lost_share=0.5, seed=5)
    for i in range(6):
        accepted = retry_until_accepted(test_fleet, PRESETS[i % 3], f"lost-{i}")
        assert accepted == version + 1, (accepted, version)
        version = accepted
    test_fleet.set_store_fault("up")
    wait_for(
        lambda: all_have_preset(test_fleet, PRESETS[2], version),
        "all routers have the change after lost responses")
    return version


def check_outage(test_fleet, version):
    test_fleet.set_store_fault("down")
    status, body = mark(test_fleet.routers[1], "leaving", "outage-mark")
    assert (status, body["status"]) == (202, "in_effect_not_durable"), body
    wait_for(lambda: all(is_leaving(r) for r in test_fleet.routers), "all routers apply the mark")
    _, body = change_preset(test_fleet.routers[2], "peak", "request_id=refused")
    assert body["status"] == "not_accepted", body
    test_fleet.routers[3].process.kill()
    test_fleet.routers[3].process.start()
    wait_for(lambda: is_leaving(test_fleet.routers[3]), "a router that starts receives the mark")
    assert all(get_preset(r)["version"] == version for r in test_fleet.routers)
    test_fleet.set_store_fault("up")
    wait_for(
        lambda: all(get_preset(r).get("version") == version + 1 for r in test_fleet.routers),
        "the mark is written once the store is reachable again",
    )
    _, body = mark(test_fleet.routers[0], "leaving", "outage-mark")
    assert (body["status"], body["version"]) == ("accepted", version + 1), body
    _, body = mark(test_fleet.routers[0], "returning", "back")
    assert (body["status"], body["version"]) == ("accepted", version + 2), body
    wait_for(
        lambda: not any(is_leaving(r) for r in test_fleet.routers), "all routers apply the returning mark")


def run(test_fleet):
    test_fleet.start_platform()
    test_fleet.add_engine("engine-0", "dc-0", "--warm")
    test_fleet.publish_vms()
    for i in range(ROUTERS):
        test_fleet.make_router(f"dc-{i % 2}").process.start()
    version = test_fleet.configure(["organisation"])
    test_fleet.wait_ready()
    wait_for(
        lambda: all(get_preset(r).get("version") == version for r in test_fleet.routers),
        "all routers have the first configuration",
    )
    for _ in range(3):
        version = change_concurrently(test_fleet, version)
        wait_for(
            lambda: all(get_preset(r).get("version") == version for r in test_fleet.routers),
            "all routers have the accepted change",
        )
    version = check_lost_responses(test_fleet, version)
    check_outage(test_fleet, version)


def main():
    with tempfile.TemporaryDirectory() as folder:
        test_fleet = fleet.Fleet(os.path.abspath(sys.argv[1]), folder)
        try:
            run(test_fleet)
        finally:
            test_fleet.stop()


main()
