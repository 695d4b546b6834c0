"""One check for each line of "What must always hold". Each reads a trace and returns a verdict.

A check counts how often its promise was exercised, so that a run that never tested it does not count as
a pass.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field

# "A few seconds" in the promises: the limit that the requirements state for configuration changes.
PROPAGATION_SECONDS = 4.0
# Requests by which samples of engines may differ, as they are not taken at the same instant.
SAMPLE_SLACK = 2
# The mean falls while work that was admitted under a higher one still runs.
MEAN_WINDOW_SECONDS = 3.0
# A target that turns cold without notice shows it only in its responses.
DETECT_COLD_SECONDS = 10.0
# Older samples of an owner's view of its targets are ignored.
OWNER_VIEW_SECONDS = 1.5
# From the kill of an engine until its callers' streams break.
CRASH_SECONDS = 2.0
# A router that was paused or restarted is exempt for this time.
RECOVERY_SECONDS = 10.0


@dataclass
class Verdict:
    """The result of one check."""

    promise: str
    exercised: int = 0
    # (time, description, related observations)
    violations: list = field(default_factory=list)
    # Count of known limits of the design, which are no violations, by description.
    known_limits: dict = field(default_factory=dict)
    # Count of explained violations, by cause.
    causes: dict = field(default_factory=dict)

    def add_cause(self, text):
        self.causes[text] = self.causes.get(text, 0) + 1

    def add_limit(self, text):
        self.known_limits[text] = self.known_limits.get(text, 0) + 1

    def add_violation(self, t, text, *related):
        self.violations.append((t, text, related))


def is_leaving(trace, sample):
    names = {"data-centre": sample.data_centre, "vm": sample.vm}
    state = None
    for mark in trace.of("mark"):
        if mark.t <= sample.t and names.get(mark.scope) == mark.name:
            state = mark.state
    return state == "leaving"


class OwnerViews:
    """Each target as its owner last reported it before a time. Times must not decrease."""

    def __init__(self, trace):
        self.remaining = trace.of("owner")[::-1]
        self.latest = {}

    def latest_before(self, t):
        while self.remaining and self.remaining[-1].t <= t:
            sample = self.remaining.pop()
            self.latest[sample.name] = sample
        return {n: s for n, s in self.latest.items() if s.t >= t - OWNER_VIEW_SECONDS}


class LoadBound:
    """Load bound from the highest mean load of the last MEAN_WINDOW_SECONDS."""

    def __init__(self, multiple):
        self.multiple = multiple
        self.means = []

    def update(self, t, engines):
        mean = (sum(e.in_flight for e in engines) + 1) / len(engines) if engines else 0
        self.means = [m for m in self.means if m[0] >= t - MEAN_WINDOW_SECONDS] + [(t, mean)]
        highest = max(m for _, m in self.means)
        return max(1, math.ceil(self.multiple * highest)) + 1 + SAMPLE_SLACK


def check_load_skew(trace, multiple):
    """Uses the loads and warmth that the stand-ins report; the owners' views only explain violations."""
    verdict = Verdict("no engine carries more than a set multiple of the mean load")
    rounds = defaultdict(list)
    for sample in trace.of("engine"):
        rounds[(sample.service, sample.round)].append(sample)
    bounds = defaultdict(lambda: (LoadBound(multiple), LoadBound(multiple)))
    owner_views = OwnerViews(trace)
    before = {}
    for (service, _), samples in sorted(rounds.items(), key=lambda item: item[1][0].t):
        t = max(s.t for s in samples)
        # Engines that take no new work would lower the mean of those that do.
        warm = [s for s in samples if not s.cold and not is_leaving(trace, s)]
        views = owner_views.latest_before(t)
        warm_by_owner = [s for s in warm if s.name not in views or views[s.name].warm]
        strict, by_owner = bounds[service]
        strict_bound = strict.update(t, warm)
        bound = max(strict_bound, by_owner.update(t, warm_by_owner))
        for sample in warm:
            earlier = before.get((sample.name, sample.incarnation))
            if earlier is None or sample.started <= earlier.started:
                continue
            verdict.exercised += 1
            if sample.in_flight <= max(strict_bound, earlier.in_flight):
                continue
            text = f"{sample.name} carries {sample.in_flight}, bound {strict_bound}"
            if sample.in_flight <= bound:
                # Still a violation: the owner's wrong view explains it but does not excuse it.
                text += f"; bound {bound} over the engines that their owner took for warm"
                verdict.add_cause("while owners took warm engines for cold")
            verdict.add_violation(t, text, *samples, *views.values())
        for sample in samples:
            before[(sample.name, sample.incarnation)] = sample
    return verdict


def check_never_warm_targets(trace):
    verdict = Verdict("a target that has just started receives no more than it can bear")
    before = {}
    for sample in trace.of("engine"):
        earlier = before.get((sample.name, sample.incarnation))
        before[(sample.name, sample.incarnation)] = sample
        started = sample.started - (earlier.started if earlier else 0)
        times_overwhelmed = sample.overwhelmed - (earlier.overwhelmed if earlier else 0)
        if sample.never_warm and started > 0:
            verdict.exercised += started
        if times_overwhelmed <= 0:
            continue
        recent = sample.turned_cold_at is not None and sample.t - sample.turned_cold_at <= DETECT_COLD_SECONDS
        if sample.never_warm or not recent:
            verdict.add_violation(
                sample.t, f"{sample.name} was overwhelmed {times_overwhelmed} times", sample)
    return verdict


def check_leaving(trace, scope, member, promise):
    """No target of a leaving data centre or VM starts requests PROPAGATION_SECONDS after the mark."""
    verdict = Verdict(promise)
    marks = defaultdict(list)
    for mark in trace.of("mark"):
        if mark.scope == scope:
            marks[mark.name].append(mark)
    samples = defaultdict(list)
    for sample in trace.of("engine"):
        samples[getattr(sample, member)].append(sample)
    for name, history in marks.items():
        for i, mark in enumerate(history):
            if mark.state != "leaving":
                continue
            begin = mark.t + PROPAGATION_SECONDS
            end = history[i + 1].requested_at if i + 1 < len(history) else math.inf
            verdict.exercised += 1
            known = {(s.name, s.incarnation) for s in samples[name] if s.t < begin}
            check_no_new_requests(verdict, mark, [s for s in samples[name] if begin <= s.t < end], known)
    return verdict


def check_no_new_requests(verdict, mark, samples, known):
    """known: incarnations sampled before; the counter of a later one starts from zero."""
    first = {}
    for sample in samples:
        incarnation = (sample.name, sample.incarnation)
        base = first.setdefault(incarnation, sample.started if incarnation in known else 0)
        if sample.started > base:
            text = (
                f"{sample.name} received {sample.started - base} requests after "
                f"{mark.scope} {mark.name} was marked as leaving"
            )
            verdict.add_violation(sample.t, text, mark, sample)
            return


def engine_crashed(trace, request):
    """Whether a stream of sampled (not deterministic) text broke when an engine was killed.

    No other engine can produce the rest of such a text.
    """
    if getattr(request, "deterministic", False):
        return False
    crashes = trace.faults_during(request.sent, request.t, ("engine_flaps",))
    in_stream = request.status == 200 and request.request_type == "chat"
    return in_stream and any(0 <= request.t - c.t <= CRASH_SECONDS for c in crashes)


def check_responses(trace):
    verdict = Verdict("every caller receives the whole answer to its own request")
    for request in trace.of("request"):
        if request.result == "wrong" or (request.result == "whole" and not request.is_correct):
            verdict.add_violation(
                request.t, f"{request.key} received another request's response or a damaged one", request)
        elif request.result == "broken":
            names = ("router_killed", "router_stopped")
            if trace.faults_during(request.sent, request.t, names, request.router):
                verdict.add_limit("cut off visibly with its router killed or stopped")
            elif engine_crashed(trace, request):
                # No other engine can continue a text that this one sampled.
                verdict.add_limit("stream cut off visibly by the crash of an engine")
            else:
                verdict.add_violation(request.t, f"{request.key} was cut off", request)
        elif request.result == "whole":
            verdict.exercised += 1
    return verdict


def count_executions(trace):
    """Executions by idempotency key, summed over the last counts of each incarnation of each service."""
    latest = {}
    for sample in trace.of("executions"):
        latest[(sample.service, sample.incarnation)] = sample.counts
    counts = defaultdict(int)
    for counted in latest.values():
        for key, runs in counted.items():
            counts[key] += runs
    return counts


def check_not_run(trace):
    verdict = Verdict('a refusal that says "not run" is true')
    runs = count_executions(trace)
    # A key is counted only if no other attempt under it can have run.
    attempts = defaultdict(list)
    for request in trace.of("request"):
        if request.request_type == "booking":
            attempts[request.key].append(request)
    for key, tries in attempts.items():
        if not all(r.result in ("not_run", "unreachable") for r in tries):
            continue
        refusals = [r for r in tries if r.result == "not_run"]
        verdict.exercised += len(refusals)
        if refusals and runs.get(key, 0) > 0:
            verdict.add_violation(refusals[0].t, f"{key} ran although it was rejected as not run", *tries)
    check_sent_attempts(trace, verdict)
    return verdict


def check_sent_attempts(trace, verdict):
    """A router that responds "not run" must not have logged an attempt that may have been sent."""
    attempts = defaultdict(list)
    for event in trace.of("event"):
        if event.name == "request.attempt_failed" and event.fields.get("maybe_sent"):
            attempts[event.request].append(event)
    for request in trace.of("request"):
        if request.result != "not_run" or not request.id:
            continue
        verdict.exercised += 1
        if attempts[request.id]:
            text = f"{request.key} was rejected as not run after it may have been sent"
            verdict.add_violation(request.t, text, request, *attempts[request.id])


def check_at_most_once(trace):
    verdict = Verdict("a non-idempotent request runs at most once")
    runs = count_executions(trace)
    keyless_sent = sum(1 for r in trace.of("request") if r.request_type == "keyless")
    for key, count in runs.items():
        if key == "":
            verdict.exercised += count
            if count > keyless_sent:
                verdict.add_violation(0, f"{count} keyless runs of {keyless_sent} requests")
            continue
        verdict.exercised += 1
        if count > 1:
            tries = [r for r in trace.of("request") if r.key == key]
            verdict.add_violation(tries[0].t if tries else 0, f"{key} ran {count} times", *tries)
    return verdict


def check_shutdown(trace):
    verdict = Verdict("a graceful shutdown cuts off no request")
    for leaving in trace.of("shutdown"):
        running = [
            r
            for r in trace.of("request")
            if (r.router, r.incarnation) == (leaving.router, leaving.incarnation)
            and r.sent < leaving.t <= r.t
        ]
        verdict.exercised += len(running)
        for request in running:
            if request.result in ("broken", "unreachable", "wrong"):
                text = f"{request.key} was cut off by the shutdown of {leaving.router}"
                verdict.add_violation(request.t, text, leaving, request)
        if leaving.code != 0:
            verdict.add_violation(leaving.ended, f"{leaving.router} ended with {leaving.code}", leaving)
    return verdict


def check_configuration(trace):
    verdict = Verdict("an accepted configuration is in force everywhere within seconds, never reverts")
    latest = {}
    for sample in trace.of("version"):
        known = latest.get(sample.router)
        # A new incarnation fetches the configuration before it is ready and takes no work until then.
        if not sample.ready and (known is None or sample.incarnation != known.incarnation):
            continue
        if known is not None and sample.version < known.version:
            text = f"{sample.router} went from {known.version} back to {sample.version}"
            verdict.add_violation(sample.t, text, known, sample)
        if known is None or sample.version >= known.version:
            latest[sample.router] = sample
    for accepted in trace.of("accepted"):
        check_spread(trace, verdict, accepted)
    for effect in trace.of("effect"):
        verdict.exercised += 1
        if not effect.in_force:
            text = f"{effect.router} does not apply version {effect.version}"
            verdict.add_violation(effect.t, text, effect)
    return verdict


def check_spread(trace, verdict, accepted):
    """Every ready router that was not paused or restarted has the version after PROPAGATION_SECONDS."""
    due = accepted.t + PROPAGATION_SECONDS
    names = ("router_killed", "router_stopped", "router_replaced")
    checked = set()
    for sample in trace.of("version"):
        if sample.t < due or sample.router in checked or not sample.ready:
            continue
        checked.add(sample.router)
        begin = accepted.t - RECOVERY_SECONDS
        if trace.faults_during(begin, sample.t, names, sample.router):
            continue
        verdict.exercised += 1
        if sample.version < accepted.version:
            text = f"{sample.router} is at {sample.version}, {accepted.version} was accepted"
            verdict.add_violation(sample.t, text, accepted, sample)


def run_checks(trace, multiple):
    return [
        check_load_skew(trace, multiple),
        check_never_warm_targets(trace),
        check_leaving(
            trace, "data-centre", "data_centre",
            "a data centre taken out receives no new work after a few seconds",
        ),
        check_responses(trace),
        check_not_run(trace),
        check_at_most_once(trace),
        check_leaving(
            trace, "vm", "vm", "a leaving target receives no new work after a few seconds"
        ),
        check_shutdown(trace),
        check_configuration(trace),
    ]
