"""The promises of the platform's pages, checked from what callers and targets saw."""

import glob
import json
import os

from gatewaylib.callers import DEADLINE_MS
from gatewaylib.faults import CONFIG_SECONDS, DRAIN_SECONDS, FIRST_KEYS

EVACUATE_SECONDS = 5.0
# A caller's departure has to reach the target in this time; the page says half a second, the rest
# is for a machine that runs dozens of processes.
LEFT_SECONDS = 1.5
ANSWER_SLACK_SECONDS = 0.7
AT_MOST_ONCE = ("book", "stream")
PROMISES_NOT_RUN = (408, 421, 429, 503)


class Verdict:
    def __init__(self, promise):
        self.promise = promise
        self.exercised = 0
        self.violations = []

    def check(self, holds, what):
        self.exercised += 1
        if not holds:
            self.violations.append(what)


def describe(request, runs):
    places = ", ".join(f"{r.target} at {r.t:.3f}" for r in runs)
    return (f"{request.t:.3f} {request.what} {request.attempt} at {request.gateway}#{request.life}: "
            f"{request.result} {request.status}, run by [{places}]")


def check_requests(requests, runs_of):
    once = Verdict("what is not idempotent runs at most once")
    refusals = Verdict("a refusal that says not run is true")
    answers = Verdict("an answer taken for complete is the target's own, whole and in order")
    limits = Verdict("every request of a calm gateway is answered by its deadline")
    for request in requests:
        runs = runs_of.get(request.attempt, [])
        if request.what in AT_MOST_ONCE:
            once.check(len(runs) <= 1, describe(request, runs))
            if request.status in PROMISES_NOT_RUN:
                refusals.check(not runs, describe(request, runs))
        if request.status == 200:
            answers.check(request.result != "wrong", f"{describe(request, runs)} {request.detail}")
        if request.result in ("whole", "refused", "none"):
            limits.check(request.result != "none" or not request.calm, describe(request, runs))
    return [once, refusals, answers, limits]


def check_runs(requests, runs, arrivals):
    asked = {r.attempt: r for r in requests}
    own = Verdict("a target runs only what a caller asked, for the key's organisation, without the key")
    deadlines = Verdict("a target is told of no more time than the caller has")
    for run in runs:
        request = asked.get(run.attempt)
        good = (request is not None and run.body == request.body and run.tenant == request.organisation
                and not run.key and f"/{request.what}/x" in run.line)
        own.check(good, f"{run.t:.3f} {run.target} ran {run.attempt}: {run.line} {run.tenant}")
    for arrival in arrivals:
        request = asked.get(arrival.attempt)
        if request is None:
            continue
        good = arrival.deadline is not None and int(arrival.deadline) <= DEADLINE_MS[request.what]
        deadlines.check(good, f"{arrival.t:.3f} {arrival.attempt} with {arrival.deadline}")
    return [own, deadlines]


def check_changes(trace, requests, runs, targets):
    asked = {r.attempt: r for r in requests}
    drains = Verdict("a target that leaves gets no work later than two seconds after")
    centres = Verdict("a data centre that leaves gets no work later than five seconds after")
    keys = Verdict("a revoked key is refused later than two seconds after")
    leaving = {o.target: o.acknowledged for o in trace.of("leaving")}
    evacuated = trace.of("evacuated")
    revoked = {o.key: o.acknowledged for o in trace.of("revoked")}
    first_keys = {f"key-{i}" for i in range(1, FIRST_KEYS + 1)}

    def judged(gateway, since, until):
        return trace.is_calm(gateway, since, until) and trace.is_calm("store", since, until)

    for run in runs:
        request = asked.get(run.attempt)
        if request is None:
            continue
        at = leaving.get(run.target)
        if at is not None and run.t > at + DRAIN_SECONDS and judged(request.gateway, at, run.t):
            drains.check(False, describe(request, [run]))
        for change in evacuated:
            since = change.acknowledged + EVACUATE_SECONDS
            if targets[run.target] == change.data_centre and since < run.t < change.until:
                centres.check(not judged(request.gateway, change.acknowledged, run.t), describe(request, [run]))
        at = revoked.get(request.key)
        if at is not None and request.t > at + CONFIG_SECONDS and judged(request.gateway, at, request.t):
            keys.check(False, describe(request, [run]))
    issued = {o.key: o.acknowledged for o in trace.of("issued")}
    for request in requests:
        if request.status != 401:
            continue
        at = revoked.get(request.key)
        known_since = issued.get(request.key, 0 if request.key in first_keys else float("inf"))
        was_valid = at is None or request.ended < at
        is_late = request.t > known_since + CONFIG_SECONDS and judged(request.gateway, known_since, request.t)
        keys.check(not (was_valid and is_late), f"a valid key was refused: {describe(request, [])}")
    drains.exercised += len(leaving)
    centres.exercised += len(evacuated)
    return [drains, centres, keys]


def check_ends(trace, requests, runs_of):
    shutdowns = Verdict("a shutdown cuts off no request that a target is at work on")
    overdue = Verdict("a gateway ends within its grace time")
    departures = Verdict("work ends when its caller has left")
    ended = {(o.gateway, o.life): o.t for o in trace.of("terminated")}
    for request in requests:
        runs = runs_of.get(request.attempt, [])
        at = ended.get((request.gateway, request.life))
        if at is not None and request.ended > at:
            calm = trace.is_calm(request.gateway, request.t, at) and all(
                trace.is_calm(r.target, r.t, request.ended) for r in runs)
            late = request.t > at + 3
            lost = request.result in ("cut", "closed") and runs and calm and not late
            shutdowns.check(not lost, describe(request, runs))
        if request.result == "left" and runs and request.calm:
            run = runs[-1]
            calm = trace.is_calm(run.target, run.t, request.left_at + LEFT_SECONDS)
            end = min(run.ended or float("inf"), run.left or float("inf"))
            departures.check(end <= request.left_at + LEFT_SECONDS or not calm, describe(request, runs))
    for _ in ended:
        overdue.check(True, "")
    for each in trace.of("overdue"):
        overdue.check(False, each.gateway)
    return [shutdowns, overdue, departures]


def check_logs(folder):
    versions = Verdict("the configuration never goes back in one life")
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


def check_lives(deaths, lives):
    ends = Verdict("a gateway ends only when it is told to")
    ends.exercised = lives
    ends.violations = [f"{name}#{life} ended with {code}" for (name, life), code in deaths.items()]
    return [ends]


def check_service(requests):
    served = Verdict("more than half of the requests are answered whole")
    asked = [r for r in requests if r.result != "left"]
    whole = sum(1 for r in asked if r.result == "whole")
    served.check(whole * 2 > len(asked), f"{whole} of {len(asked)}")
    return [served]


def run_checks(trace, folder, targets, fleet):
    requests = [r for r in trace.of("request") if r.ended is not None]
    runs = trace.of("run")
    runs_of = {}
    for run in runs:
        runs_of.setdefault(run.attempt, []).append(run)
    for request in requests:
        request.values["calm"] = trace.is_calm(request.gateway, request.t, request.ended + LEFT_SECONDS)
    return (
        check_requests(requests, runs_of) + check_runs(requests, runs, trace.of("arrived"))
        + check_changes(trace, requests, runs, targets) + check_ends(trace, requests, runs_of)
        + check_logs(folder) + check_lives(fleet.deaths, sum(g.life for g in fleet.gateways))
        + check_service(requests)
    )
