#!/usr/bin/env python3
"""A fleet of three routers serves every request through an outage of the platform, the graceful stop
of a router and, at the other routers, the kill of any one, whichever shard it owned."""
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


def check_router_kill(fleet, killed):
    others = [number for number in range(3) if number != killed]
    load = fleet.start_load(others, *ARRIVALS)
    before = fleet.started()
    wait_for(lambda: fleet.started() > before + 20, "streams to be started")
    fleet.routers[killed].child.kill()
    assert_all_whole(load)


def check_graceful_stop(fleet, stopping):
    """Streams at a router that gets SIGTERM complete while the other routers serve new callers."""
    others = [number for number in range(3) if number != stopping]
    open_streams = fleet.start_load([stopping], "--concurrency", str(STREAMS), "--requests",
                                    str(STREAMS), "--seconds", "0", "--max-tokens", "400")
    wait_for(lambda: fleet.in_flight() == STREAMS, "all streams to be open")
    fleet.routers[stopping].terminate()
    new_load = fleet.start_load(others, *ARRIVALS)
    assert_all_whole(open_streams)
    assert_all_whole(new_load)
    assert fleet.routers[stopping].exit_code() == 0


def main():
    build = sys.argv[1]
    with contextlib.ExitStack() as stack:
        check_graceful_stop(Fleet(stack, build, engines=4, routers=3), stopping=1)
    for killed in range(3):
        with contextlib.ExitStack() as stack:
            fleet = Fleet(stack, build, engines=4, routers=3)
            if killed == 0:
                check_store_outage(fleet)
            check_router_kill(fleet, killed)


if __name__ == "__main__":
    main()
