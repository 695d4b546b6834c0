#!/usr/bin/env python3
"""Operators race and repeat while the store loses answers and goes down; every router follows, a
leave mark takes effect without the store, and a router that starts meanwhile knows it."""
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
GIVE_UP_SECONDS = 60
PRESETS = ("ordinary", "peak", "maintenance")


def wait_for(condition, what):
    deadline = time.monotonic() + GIVE_UP_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"never: {what}")
        time.sleep(0.05)


def preset_of(router):
    return router.admin_json("/admin/v1/preset") or {}


def all_follow(test_fleet, preset, version):
    return all(preset_of(r) == {"version": version, "name": preset} for r in test_fleet.routers)


def change_preset(router, name, query):
    status, _, text = router.admin("PUT", f"/admin/v1/preset?{query}", {"name": name}, timeout=30)
    return status, json.loads(text)


def mark(router, state, request_id):
    path = f"/admin/v1/marks/data-centres/dc-0?request_id={request_id}"
    status, _, text = router.admin("PUT", path, {"state": state}, timeout=30)
    return status, json.loads(text)


def is_leaving(router):
    found = router.admin_json("/admin/v1/marks/data-centres/dc-0") or {}
    return found.get("state") == "leaving"


def race(test_fleet, version):
    """All ask for a change of the version that they saw; one gets it."""
    with concurrent.futures.ThreadPoolExecutor(ROUTERS) as pool:
        asked = [
            pool.submit(change_preset, r, PRESETS[i % 3], f"if_version={version}")
            for i, r in enumerate(test_fleet.routers)
        ]
        answers = [each.result() for each in asked]
    accepted = [body for _, body in answers if body["status"] == "accepted"]
    assert len(accepted) == 1, answers
    assert all(body["status"] in ("accepted", "conflict") for _, body in answers), answers
    return accepted[0]["version"]


def repeat_until_accepted(test_fleet, name, request_id):
    """The answers may be lost; a repeat through any router is the same change."""
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


def lost_answers(test_fleet, version):
    test_fleet.set_store_fault("lost_answers", lost_share=0.5, seed=5)
    for i in range(6):
        accepted = repeat_until_accepted(test_fleet, PRESETS[i % 3], f"lost-{i}")
        assert accepted == version + 1, (accepted, version)
        version = accepted
    test_fleet.set_store_fault("up")
    wait_for(lambda: all_follow(test_fleet, PRESETS[2], version), "all follow after lost answers")
    return version


def outage(test_fleet, version):
    test_fleet.set_store_fault("down")
    status, body = mark(test_fleet.routers[1], "leaving", "outage-mark")
    assert (status, body["status"]) == (202, "in_effect_not_durable"), body
    wait_for(lambda: all(is_leaving(r) for r in test_fleet.routers), "all obey the mark")
    _, body = change_preset(test_fleet.routers[2], "peak", "request_id=refused")
    assert body["status"] == "not_accepted", body
    test_fleet.routers[3].process.kill()
    test_fleet.routers[3].process.start()
    wait_for(lambda: is_leaving(test_fleet.routers[3]), "a router that starts learns the mark")
    assert all(preset_of(r)["version"] == version for r in test_fleet.routers)
    test_fleet.set_store_fault("up")
    wait_for(
        lambda: all(preset_of(r).get("version") == version + 1 for r in test_fleet.routers),
        "the mark is written when the store is back",
    )
    _, body = mark(test_fleet.routers[0], "leaving", "outage-mark")
    assert (body["status"], body["version"]) == ("accepted", version + 1), body
    _, body = mark(test_fleet.routers[0], "returning", "back")
    assert (body["status"], body["version"]) == ("accepted", version + 2), body
    wait_for(lambda: not any(is_leaving(r) for r in test_fleet.routers), "all know the return")


def run(test_fleet):
    test_fleet.start_platform()
    test_fleet.add_engine("engine-0", "dc-0", "--warm")
    test_fleet.publish_vms()
    for i in range(ROUTERS):
        test_fleet.make_router(f"dc-{i % 2}").process.start()
    version = test_fleet.configure(["organisation"])
    test_fleet.wait_ready()
    wait_for(
        lambda: all(preset_of(r).get("version") == version for r in test_fleet.routers),
        "all have the first configuration",
    )
    for _ in range(3):
        version = race(test_fleet, version)
        wait_for(
            lambda: all(preset_of(r).get("version") == version for r in test_fleet.routers),
            "all follow a race",
        )
    version = lost_answers(test_fleet, version)
    outage(test_fleet, version)


def main():
    with tempfile.TemporaryDirectory() as folder:
        test_fleet = fleet.Fleet(os.path.abspath(sys.argv[1]), folder)
        try:
            run(test_fleet)
        finally:
            test_fleet.stop()


main()
