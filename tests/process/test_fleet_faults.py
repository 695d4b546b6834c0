#!/usr/bin/env python3
"""Three routers as one fleet: callers notice neither an outage of the platform, nor the graceful
leave of a router, nor, at the other routers, the sudden death of one, whichever shard it owned."""
import contextlib
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "support"))
from fleet_process import Fleet, assert_all_whole, put_json
from router_process import wait_for

ARRIVALS = ("--rate", "40", "--seconds", "6")
STREAMS = 60


def check_store_outage(fleet):
    platform = fleet.platform.ready["port"]
    load = fleet.start_load([0, 1, 2], *ARRIVALS)
    wait_for(lambda: fleet.in_flight() > 0, "streams to be open")
    put_json(platform, "/control/faults", {"mode": "down"})
    assert_all_whole(load)
    put_json(platform, "/control/faults", {"mode": "up"})


def check_router_death(fleet, dying):
    others = [number for number in range(3) if number != dying]
    load = fleet.start_load(others, *ARRIVALS)
    before = fleet.started()
    wait_for(lambda: fleet.started() > before + 20, "streams to be started")
    fleet.routers[dying].child.kill()
    assert_all_whole(load)


def check_graceful_leave(fleet, leaving):
    """Streams at the leaving router end whole while the other routers serve new callers."""
    others = [number for number in range(3) if number != leaving]
    own = fleet.start_load([leaving], "--concurrency", str(STREAMS), "--requests", str(STREAMS),
                           "--seconds", "0", "--max-tokens", "400")
    wait_for(lambda: fleet.in_flight() == STREAMS, "all streams to be open")
    fleet.routers[leaving].terminate()
    new = fleet.start_load(others, *ARRIVALS)
    assert_all_whole(own)
    assert_all_whole(new)
    assert fleet.routers[leaving].exit_code() == 0


def main():
    build = sys.argv[1]
    with contextlib.ExitStack() as stack:
        check_graceful_leave(Fleet(stack, build, engines=4, routers=3), leaving=1)
    for dying in range(3):
        with contextlib.ExitStack() as stack:
            fleet = Fleet(stack, build, engines=4, routers=3)
            if dying == 0:
                check_store_outage(fleet)
            check_router_death(fleet, dying)


if __name__ == "__main__":
    main()
