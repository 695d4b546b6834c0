"""Checks the promises of the platform's pages against what callers and targets recorded."""

import glob
import json
import os

from gatewaylib.callers import DEADLINE_MS
from gatewaylib.faults import CONFIGURATION_SECONDS, DRAIN_SECONDS, FIRST_KEYS, paths_of

EVACUATE_SECONDS = 5.0
# Time until the target sees that the caller disconnected. The page promises half a second; the rest
# allows for a machine that runs dozens of processes.
DISCONNECT_SECONDS = 1.5
ANSWER_SLACK_SECONDS = 0.7
AT_MOST_ONCE = ("book", "stream")
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Verdict:
    """The result of one check: how often its promise was exercised, and the violations."""

    def __init__(self, promise):
        self.promise = promise
        self.exercised = 0
        self.violations = []

    def check(self, holds, description):
        self.exercised += 1
        if not holds:
            self.violations.append(description)


def describe_request(request, runs):
    run_texts = ", ".join(f"{r.target} at {r.t:.3f}" for r in runs)
    return (f"{request.t:.3f} {request.route} {request.attempt} at {request.gateway}#{request.incarnation}: "
            f"{request.result} {request.status}, run by [{run_texts}]")


def check_requests(requests, runs_by_attempt):
    at_most_once = Verdict("what is not idempotent runs at most once")
    refusals = Verdict("a refusal that says not run is true")
    answers = Verdict("a response accepted as complete is the target's own, whole and in order")
    deadlines = Verdict("every request to an undisturbed gateway is answered by its deadline")
    for request in requests:
        runs = runs_by_attempt.get(request.attempt, [])
        if request.route in AT_MOST_ONCE:
            at_most_once.check(len(runs) <= 1, describe_request(request, runs))
            if request.status in NOT_RUN_STATUSES:
                refusals.check(not runs, describe_request(request, runs))
        if request.status == 200:
            answers.check(request.result != "wrong", f"{describe_request(request, runs)} {request.detail}")
        if request.result in ("whole", "refused", "none"):
            deadlines.check(request.result != "none" or not request.calm, describe_request(request, runs))
    return [at_most_once, refusals, answers, deadlines]


def check_runs(requests, runs, arrivals):
    requests_by_attempt = {r.attempt: r for r in requests}
    own = Verdict("a target runs only callers' requests, for the key's organisation, without the key")
    deadlines = Verdict("the deadline that a target receives is not above the caller's")
    for run in runs:
        request = requests_by_attempt.get(run.attempt)
        is_valid = (request is not None and run.body == request.body and run.tenant == request.organisation
                and not run.key and f"/{request.route}/x" in run.line)
        own.check(is_valid, f"{run.t:.3f} {run.target} ran {run.attempt}: {run.line} {run.tenant}")
    for arrival in arrivals:
        request = requests_by_attempt.get(arrival.attempt)
        if request is None:
            continue
        is_valid = arrival.deadline is not None and int(arrival.deadline) <= DEADLINE_MS[request.route]
        deadlines.check(is_valid, f"{arrival.t:.3f} {arrival.attempt} received deadline {arrival.deadline}")
    return [own, deadlines]


def check_streams(requests, runs_by_attempt):
    """A run within an attempt that resumes, and each run of an attempt that takes up a stream, goes on at the
    version whose target sent the first events."""
    versions = Verdict("a stream goes on only at the software version that began it")
    for request in requests:
        began_in = request.resumes or request.attempt
        began_at = {r.software for r in runs_by_attempt.get(began_in, []) if r.sent and not r.resumed}
        # Two versions have sent events if those of the first one were lost on the way to the gateway.
        if len(began_at) != 1:
            continue
        for run in runs_by_attempt.get(request.attempt, []):
            if run.resumed:
                versions.check(run.software in began_at, describe_request(request, [run]))
    return [versions]


def check_changes(trace, requests, runs, targets):
    requests_by_attempt = {r.attempt: r for r in requests}
    drains = Verdict("a target that leaves gets no work later than two seconds after")
    centres = Verdict("a data centre that leaves gets no work later than five seconds after")
    keys = Verdict("a revoked key is refused later than two seconds after")
    leaving = {o.target: o.acknowledged for o in trace.of("leaving")}
    evacuated = trace.of("evacuated")
    revoked = {o.key: o.acknowledged for o in trace.of("revoked")}
    first_keys = {f"key-{i}" for i in range(1, FIRST_KEYS + 1)}

    def is_undisturbed(gateway, since, until):
        return trace.is_calm(gateway, since, until) and trace.is_calm("store", since, until)

    for run in runs:
        request = requests_by_attempt.get(run.attempt)
        if request is None:
            continue
        left_at = leaving.get(run.target)
        if left_at is not None and run.t > left_at + DRAIN_SECONDS and is_undisturbed(
                request.gateway, left_at, run.t):
            drains.check(False, describe_request(request, [run]))
        for change in evacuated:
            since = change.acknowledged + EVACUATE_SECONDS
            if targets[run.target] == change.data_centre and since < run.t < change.until:
                centres.check(not is_undisturbed(request.gateway, change.acknowledged, run.t),
                              describe_request(request, [run]))
        revoked_at = revoked.get(request.key)
        if revoked_at is not None and request.t > revoked_at + CONFIGURATION_SECONDS and is_undisturbed(
                request.gateway, revoked_at, request.t):
            keys.check(False, describe_request(request, [run]))
    issued = {o.key: o.acknowledged for o in trace.of("issued")}
    for request in requests:
        if request.status != 401:
            continue
        revoked_at = revoked.get(request.key)
        valid_since = issued.get(request.key, 0 if request.key in first_keys else float("inf"))
        was_valid = revoked_at is None or request.ended < revoked_at
        is_late = request.t > valid_since + CONFIGURATION_SECONDS and is_undisturbed(
            request.gateway, valid_since, request.t)
        keys.check(not (was_valid and is_late), f"a valid key was rejected: {describe_request(request, [])}")
    drains.exercised += len(leaving)
    centres.exercised += len(evacuated)
    return [drains, centres, keys]


def check_shutdowns(trace, requests, runs_by_attempt):
    shutdowns = Verdict("a shutdown cuts off no request that a target is at work on")
    overdue = Verdict("a gateway stops within its shutdown grace")
    disconnects = Verdict("work ends when its caller has left")
    terminated = {(o.gateway, o.incarnation): o.t for o in trace.of("terminated")}
    for request in requests:
        runs = runs_by_attempt.get(request.attempt, [])
        signalled_at = terminated.get((request.gateway, request.incarnation))
        if signalled_at is not None and request.ended > signalled_at:
            # A path that is cut after the signal breaks the response off, not the gateway.
            calm = trace.is_calm(request.gateway, request.t, signalled_at) and trace.is_calm(
                paths_of(request.gateway), request.t, request.ended) and all(
                trace.is_calm(r.target, r.t, request.ended) for r in runs)
            late = request.t > signalled_at + 3
            lost = request.result in ("cut", "closed") and runs and calm and not late
            shutdowns.check(not lost, describe_request(request, runs))
        if request.result == "left" and runs and request.calm:
            run = runs[-1]
            calm = trace.is_calm(run.target, run.t, request.disconnected_at + DISCONNECT_SECONDS)
            end = min(run.ended or float("inf"), run.disconnected or float("inf"))
            disconnects.check(end <= request.disconnected_at + DISCONNECT_SECONDS or not calm,
                              describe_request(request, runs))
    for _ in terminated:
        overdue.check(True, "")
    for stop in trace.of("overdue"):
        overdue.check(False, stop.gateway)
    return [shutdowns, overdue, disconnects]


def check_logs(folder):
    versions = Verdict("the configuration version never decreases within one incarnation")
    lines = Verdict("each line of the logs is one JSON object")
    for name in sorted(glob.glob(os.path.join(folder, "*.log"))):
        newest = 0
        with open(name, encoding="utf-8", errors="replace") as log:
            content = log.read()
        for line in content.split("\n")[:-1]:
            try:
                item = json.loads(line)
            except ValueError:
                lines.check(False, f"{name}: {line[:200]}")
                continue
            lines.check(True, "")
            if item.get("event") == "configuration.adopted":
                versions.check(item["fields"]["version"] > newest, f"{name}: {line[:200]}")
                newest = item["fields"]["version"]
    return [versions, lines]


def check_exits(unexpected_exits, incarnations):
    exits = Verdict("a gateway stops only when it is signalled to")
    exits.exercised = incarnations
    exits.violations = [
        f"{name}#{incarnation} exited with {code}"
        for (name, incarnation), code in unexpected_exits.items()
    ]
    return [exits]


def check_success_share(requests):
    served = Verdict("more than half of the requests are answered whole")
    considered = [r for r in requests if r.result != "left"]
    whole = sum(1 for r in considered if r.result == "whole")
    served.check(whole * 2 > len(considered), f"{whole} of {len(considered)} requests")
    return [served]


def run_checks(trace, folder, targets, fleet):
    requests = [r for r in trace.of("request") if r.ended is not None]
    runs = trace.of("run")
    runs_by_attempt = {}
    for run in runs:
        runs_by_attempt.setdefault(run.attempt, []).append(run)
    for request in requests:
        request.values["calm"] = trace.is_calm(request.gateway, request.t, request.ended + DISCONNECT_SECONDS)
    return (
        check_requests(requests, runs_by_attempt) + check_runs(requests, runs, trace.of("arrived"))
        + check_streams(requests, runs_by_attempt) + check_changes(trace, requests, runs, targets) + check_shutdowns(trace, requests, runs_by_attempt)
        + check_logs(folder) + check_exits(fleet.unexpected_exits, sum(g.incarnation for g in fleet.gateways))
        + check_success_share(requests)
    )
