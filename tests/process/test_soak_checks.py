#!/usr/bin/env python3
"""Each check of scripts/soak passes a synthetic trace that keeps its promise and fails one that breaks it."""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "scripts"))

from soaklib import checks  # noqa: E402
from soaklib.trace import Trace  # noqa: E402

MULTIPLE = 1.25


def request(trace, t, key="k", result="whole", **more):
    values = {
        "sent": t - 1, "router": "r1", "incarnation": 1, "request_type": "chat", "is_correct": True, "id": "",
        "status": 200,
    }
    trace.add("request", t, key=key, result=result, **dict(values, **more))


def engine(trace, t, name="e1", started=0, in_flight=0, **more):
    values = {
        "incarnation": 1, "service": "chat", "data_centre": "a", "vm": "vm-a", "round": t,
        "overwhelmed": 0, "cold": False, "turned_cold_at": None, "never_warm": False,
    }
    trace.add("engine", t, name=name, started=started, in_flight=in_flight, **dict(values, **more))


def mark(trace, t, state, scope="data-centre", name="a", requested_at=None):
    trace.add("mark", t, scope=scope, name=name, state=state,
              requested_at=t if requested_at is None else requested_at)


def load_skew(bad):
    trace = Trace()
    for t, load in ((1, 2), (2, 20 if bad else 4)):
        engine(trace, t, "e1", started=10 * t, in_flight=load)
        for other in ("e2", "e3"):
            engine(trace, t, other, started=10 * t, in_flight=3)
    return checks.check_load_skew(trace, MULTIPLE)


def skew_among_cold(bad):
    """Engines that are warm but that their owner reports as cold count in the mean; the cause is reported."""
    trace = Trace()
    for name in ("e2", "e3", "e4"):
        trace.add(
            "owner", 1.5, router="r1", name=name, warm=False, capacity=2, in_flight=1, eligible=True
        )
    for t, load in ((1, 7 if bad else 1), (2, 9 if bad else 3)):
        engine(trace, t, "e1", started=10 * t, in_flight=load)
        engine(trace, t, "e5", started=10 * t, in_flight=7 if bad else 1)
        for other in ("e2", "e3", "e4"):
            engine(trace, t, other, started=10 * t, in_flight=1)
    verdict = checks.check_load_skew(trace, MULTIPLE)
    if bad and not verdict.causes:
        sys.exit("FAILED: the violation does not name the owner's wrong view as its cause")
    return verdict


def fresh_targets(bad):
    trace = Trace()
    engine(trace, 1, started=0, cold=True, never_warm=True)
    engine(trace, 2, started=3, cold=True, never_warm=True, overwhelmed=1 if bad else 0)
    # Overwhelmed within DETECT_COLD_SECONDS after it turned cold without notice: no violation.
    engine(trace, 1, "e2", started=5)
    engine(trace, 3, "e2", started=9, cold=True, turned_cold_at=2.5, overwhelmed=1)
    return checks.check_never_warm_targets(trace)


def late_cold(bad):
    trace = Trace()
    engine(trace, 1, started=5, never_warm=True)
    engine(trace, 20, started=9, cold=True, turned_cold_at=2.0, overwhelmed=1 if bad else 0)
    return checks.check_never_warm_targets(trace)


def data_centre(bad):
    trace = Trace()
    mark(trace, 10, "leaving")
    engine(trace, 9, started=1)
    engine(trace, 13, started=5)
    engine(trace, 15, started=6)
    engine(trace, 20, started=7 if bad else 6)
    engine(trace, 20, "e2", started=90, data_centre="b")
    mark(trace, 31, "returning", requested_at=30)
    engine(trace, 30.5, started=50)
    return checks.check_leaving(trace, "data-centre", "data_centre", "p")


def restarted(bad):
    trace = Trace()
    mark(trace, 10, "leaving")
    engine(trace, 9, started=70)
    engine(trace, 20, started=2 if bad else 0, incarnation=2)
    return checks.check_leaving(trace, "data-centre", "data_centre", "p")


def vm(bad):
    trace = Trace()
    mark(trace, 10, "leaving", scope="vm", name="vm-a")
    engine(trace, 9, started=6)
    engine(trace, 15, started=6)
    engine(trace, 25, started=9 if bad else 6)
    return checks.check_leaving(trace, "vm", "vm", "p")


def wrong_answer(bad):
    trace = Trace()
    request(trace, 5)
    request(trace, 6, is_correct=not bad)
    return checks.check_responses(trace)


def broken_answer(bad):
    trace = Trace()
    request(trace, 5)
    request(trace, 6, result="broken", router="r1" if bad else "r2")
    trace.add("fault", 5.5, name="router_killed", subject="r2", end=5.6)
    return checks.check_responses(trace)


def broken_stream(bad):
    trace = Trace()
    request(trace, 5)
    request(trace, 6, result="broken", status=None if bad else 200)
    request(trace, 9, result="broken", router="r2")
    trace.add("fault", 5.8, name="engine_flaps", subject="e1", end=9)
    trace.add("fault", 8.5, name="router_stopped", subject="r2", end=8.6)
    return checks.check_responses(trace)


def not_run(bad):
    trace = Trace()
    request(trace, 5, "b1", "not_run", request_type="booking")
    request(trace, 5, "b2", "not_run", request_type="booking")
    request(trace, 7, "b2", "whole", request_type="booking")
    trace.add("executions", 9, service="s1", incarnation=1, counts={"b1": 1 if bad else 0, "b2": 1})
    return checks.check_not_run(trace)


def refused_after_sending(bad):
    trace = Trace()
    request(trace, 5, "c1", "not_run", id="1-2-3")
    fields = {"maybe_sent": bad}
    trace.add(
        "event", 4, name="request.attempt_failed", process="r1", request="1-2-3", fields=fields
    )
    return checks.check_not_run(trace)


def twice(bad):
    trace = Trace()
    request(trace, 5, "b1", "unknown", request_type="booking")
    trace.add("executions", 6, service="s1", incarnation=1, counts={"b1": 1})
    trace.add("executions", 9, service="s1", incarnation=1, counts={"b1": 1})
    trace.add("executions", 9, service="s2", incarnation=1, counts={"b1": 1 if bad else 0})
    return checks.check_at_most_once(trace)


def keyless_twice(bad):
    trace = Trace()
    request(trace, 5, "", "unknown", request_type="keyless")
    trace.add("executions", 9, service="s1", incarnation=1, counts={"": 2 if bad else 1})
    return checks.check_at_most_once(trace)


def shutdown(bad):
    trace = Trace()
    request(trace, 6, result="broken" if bad else "whole")
    request(trace, 4, result="broken")
    trace.add("shutdown", 5.5, router="r1", incarnation=1, ended=7, code=0)
    return checks.check_shutdown(trace)


def shutdown_code(bad):
    trace = Trace()
    request(trace, 6)
    trace.add("shutdown", 5.5, router="r1", incarnation=1, ended=7, code=-6 if bad else 0)
    return checks.check_shutdown(trace)


def version(trace, t, number, router="r1", ready=True):
    trace.add("version", t, router=router, incarnation=1, version=number, ready=ready)


def reverted(bad):
    trace = Trace()
    for t, number in ((1, 4), (2, 5), (3, 4 if bad else 5)):
        version(trace, t, number)
    trace.add("effect", 3, router="r1", version=5, in_force=True)
    return checks.check_configuration(trace)


def reverted_by_restart(bad):
    trace = Trace()
    for t, incarnation, number, ready in ((1, 1, 5, True), (2, 2, 0, False), (3, 2, 4 if bad else 5, True)):
        trace.add("version", t, router="r1", incarnation=incarnation, version=number, ready=ready)
    trace.add("effect", 3, router="r1", version=5, in_force=True)
    return checks.check_configuration(trace)


def slow_spread(bad):
    trace = Trace()
    trace.add("accepted", 10, version=5)
    version(trace, 12, 4)
    version(trace, 15, 4 if bad else 5)
    version(trace, 15, 4, "r2")
    version(trace, 15, 0, "r3", ready=False)
    trace.add("fault", 9, name="router_stopped", subject="r2", end=14)
    return checks.check_configuration(trace)


def no_effect(bad):
    trace = Trace()
    trace.add("effect", 15, router="r1", version=5, in_force=not bad)
    return checks.check_configuration(trace)


def main():
    cases = [
        load_skew, skew_among_cold, fresh_targets, late_cold, data_centre, restarted, vm, wrong_answer,
        broken_answer, broken_stream, not_run, refused_after_sending, twice, keyless_twice,
        shutdown, shutdown_code, reverted, reverted_by_restart, slow_spread, no_effect,
    ]
    for case in cases:
        good, bad = case(False), case(True)
        if good.violations or not good.exercised:
            sys.exit(f"FAILED: {case.__name__}: a trace that keeps the promise: {good}")
        if len(bad.violations) != 1:
            sys.exit(f"FAILED: {case.__name__}: a trace that breaks the promise: {bad}")
    empty = checks.run_checks(Trace(), MULTIPLE)
    if len(empty) != 9 or any(v.exercised or v.violations for v in empty):
        sys.exit(f"FAILED: an empty trace exercises nothing: {empty}")


main()
