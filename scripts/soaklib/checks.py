"""One check for each line of "What must always hold". Each reads a trace and returns a verdict.

A check counts how often its promise was exercised, so that a run that never put it to the test does not
pass for a proof.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field

# "A few seconds" of the promises, as the letter states for configuration.
FOLLOW_SECONDS = 4.0
# Requests by which samples of engines may differ, as they are not taken at one instant.
SAMPLE_SLACK = 2
# The mean falls while work that was admitted under a higher one still runs.
MEAN_WINDOW_SECONDS = 3.0
# A target that turns cold without warning shows it only in its answers.
DETECT_COLD_SECONDS = 10.0
BELIEF_SECONDS = 1.5
# From the kill of an engine until its callers' streams end.
CRASH_SECONDS = 2.0
# Time for which a router that was paused or restarted may lag behind.
RECOVERY_SECONDS = 10.0


@dataclass
class Verdict:
    promise: str
    exercised: int = 0
    violations: list = field(default_factory=list)
    # Cases that the design leaves open, counted by their description.
    limits: dict = field(default_factory=dict)

    # Violations by what explains them.
    causes: dict = field(default_factory=dict)

    def note_cause(self, text):
        self.causes[text] = self.causes.get(text, 0) + 1

    def note_limit(self, text):
        self.limits[text] = self.limits.get(text, 0) + 1

    def violate(self, t, text, *related):
        self.violations.append((t, text, related))


def is_leaving(trace, sample):
    names = {"data-centre": sample.data_centre, "vm": sample.vm}
    state = None
    for mark in trace.of("mark"):
        if mark.t <= sample.t and names.get(mark.scope) == mark.name:
            state = mark.state
    return state == "leaving"


class Beliefs:
    """What the owners believed of their targets last before a time. Times must not decrease."""

    def __init__(self, trace):
        self.left = trace.of("owner")[::-1]
        self.latest = {}

    def at(self, t):
        while self.left and self.left[-1].t <= t:
            seen = self.left.pop()
            self.latest[seen.name] = seen
        return {n: s for n, s in self.latest.items() if s.t >= t - BELIEF_SECONDS}


class LoadBound:
    """The bound from the highest mean of the last moments, as work outlives the mean it came under."""

    def __init__(self, multiple):
        self.multiple = multiple
        self.means = []

    def update(self, t, engines):
        mean = (sum(e.in_flight for e in engines) + 1) / len(engines) if engines else 0
        self.means = [m for m in self.means if m[0] >= t - MEAN_WINDOW_SECONDS] + [(t, mean)]
        highest = max(m for _, m in self.means)
        return max(1, math.ceil(self.multiple * highest)) + 1 + SAMPLE_SLACK


def check_load_skew(trace, multiple):
    """Loads, and which engines are warm, are the stand-ins' own; beliefs of owners only explain."""
    verdict = Verdict("no engine carries more than a set multiple of the mean load")
    rounds = defaultdict(list)
    for sample in trace.of("engine"):
        rounds[(sample.service, sample.round)].append(sample)
    bounds = defaultdict(lambda: (LoadBound(multiple), LoadBound(multiple)))
    beliefs = Beliefs(trace)
    before = {}
    for (service, _), samples in sorted(rounds.items(), key=lambda item: item[1][0].t):
        t = max(s.t for s in samples)
        # What takes no new work would lower the mean of those that do.
        warm = [s for s in samples if not s.cold and not is_leaving(trace, s)]
        believed = beliefs.at(t)
        held_warm = [s for s in warm if s.name not in believed or believed[s.name].warm]
        strict, by_owner = bounds[service]
        strict_bound = strict.update(t, warm)
        bound = max(strict_bound, by_owner.update(t, held_warm))
        for sample in warm:
            earlier = before.get((sample.name, sample.life))
            if earlier is None or sample.started <= earlier.started:
                continue
            verdict.exercised += 1
            if sample.in_flight <= max(strict_bound, earlier.in_flight):
                continue
            text = f"{sample.name} carries {sample.in_flight}, bound {strict_bound}"
            if sample.in_flight <= bound:
                # The owner's mistake explains it and does not excuse it.
                text += f"; {bound} over those that their owner held for warm"
                verdict.note_cause("while warm engines were held for cold")
            verdict.violate(t, text, *samples, *believed.values())
        for sample in samples:
            before[(sample.name, sample.life)] = sample
    return verdict


def check_fresh_targets(trace):
    verdict = Verdict("a target that has just started receives no more than it can bear")
    before = {}
    for sample in trace.of("engine"):
        earlier = before.get((sample.name, sample.life))
        before[(sample.name, sample.life)] = sample
        started = sample.started - (earlier.started if earlier else 0)
        fell_over = sample.overwhelmed - (earlier.overwhelmed if earlier else 0)
        if sample.fresh and started > 0:
            verdict.exercised += started
        if fell_over <= 0:
            continue
        warned = sample.cooled is not None and sample.t - sample.cooled <= DETECT_COLD_SECONDS
        if sample.fresh or not warned:
            verdict.violate(sample.t, f"{sample.name} was overwhelmed {fell_over} times", sample)
    return verdict


def check_departures(trace, scope, member, promise):
    """No engine or service of a leaving data centre or VM starts work after FOLLOW_SECONDS."""
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
            begin = mark.t + FOLLOW_SECONDS
            end = history[i + 1].asked if i + 1 < len(history) else math.inf
            verdict.exercised += 1
            known = {(s.name, s.life) for s in samples[name] if s.t < begin}
            check_silence(verdict, mark, [s for s in samples[name] if begin <= s.t < end], known)
    return verdict


def check_silence(verdict, mark, samples, known):
    """known: lives seen before; one that started meanwhile counts from zero."""
    first = {}
    for sample in samples:
        life = (sample.name, sample.life)
        base = first.setdefault(life, sample.started if life in known else 0)
        if sample.started > base:
            text = (
                f"{sample.name} got {sample.started - base} requests after "
                f"{mark.scope} {mark.name} left"
            )
            verdict.violate(sample.t, text, mark, sample)
            return


def engine_crashed(trace, request):
    """Whether a sampled stream broke when an engine was killed; only that engine had the rest."""
    if getattr(request, "deterministic", False):
        return False
    crashes = trace.faults_during(request.sent, request.t, ("engine_flaps",))
    in_stream = request.status == 200 and request.what == "chat"
    return in_stream and any(0 <= request.t - c.t <= CRASH_SECONDS for c in crashes)


def check_whole_answers(trace):
    verdict = Verdict("every caller receives the whole answer to its own request")
    for request in trace.of("request"):
        if request.result == "wrong" or (request.result == "whole" and not request.rightful):
            verdict.violate(request.t, f"{request.key} got another or a damaged answer", request)
        elif request.result == "broken":
            names = ("router_killed", "router_stopped")
            if trace.faults_during(request.sent, request.t, names, request.router):
                verdict.note_limit("cut off visibly with its router killed or stopped")
            elif engine_crashed(trace, request):
                # No other engine can go on with a text that this one sampled.
                verdict.note_limit("stream cut off visibly by the crash of an engine")
            else:
                verdict.violate(request.t, f"{request.key} was cut off", request)
        elif request.result == "whole":
            verdict.exercised += 1
    return verdict


def executions(trace):
    """Runs by key over all services and their lives; the last count of each life stands."""
    latest = {}
    for seen in trace.of("executions"):
        latest[(seen.service, seen.life)] = seen.counts
    counts = defaultdict(int)
    for found in latest.values():
        for key, runs in found.items():
            counts[key] += runs
    return counts


def check_not_run(trace):
    verdict = Verdict('a refusal that says "not run" is true')
    runs = executions(trace)
    # A key whose other attempt may have run says nothing about this refusal.
    attempts = defaultdict(list)
    for request in trace.of("request"):
        if request.what == "booking":
            attempts[request.key].append(request)
    for key, tries in attempts.items():
        if not all(r.result in ("not_run", "unreachable") for r in tries):
            continue
        refusals = [r for r in tries if r.result == "not_run"]
        verdict.exercised += len(refusals)
        if refusals and runs.get(key, 0) > 0:
            verdict.violate(refusals[0].t, f"{key} ran though it was refused", *tries)
    check_attempts(trace, verdict)
    return verdict


def check_attempts(trace, verdict):
    """No router may log an attempt that may have been sent for a request that it called not run."""
    attempts = defaultdict(list)
    for event in trace.of("event"):
        if event.name == "request.attempt_failed" and event.fields.get("maybe_sent"):
            attempts[event.request].append(event)
    for request in trace.of("request"):
        if request.result != "not_run" or not request.id:
            continue
        verdict.exercised += 1
        if attempts[request.id]:
            text = f"{request.key} was refused as not run after it may have been sent"
            verdict.violate(request.t, text, request, *attempts[request.id])


def check_at_most_once(trace):
    verdict = Verdict("a non-idempotent request runs at most once")
    runs = executions(trace)
    keyless_sent = sum(1 for r in trace.of("request") if r.what == "keyless")
    for key, count in runs.items():
        if key == "":
            verdict.exercised += count
            if count > keyless_sent:
                verdict.violate(0, f"{count} keyless runs of {keyless_sent} requests")
            continue
        verdict.exercised += 1
        if count > 1:
            tries = [r for r in trace.of("request") if r.key == key]
            verdict.violate(tries[0].t if tries else 0, f"{key} ran {count} times", *tries)
    return verdict


def check_shutdown(trace):
    verdict = Verdict("a graceful shutdown cuts off no request")
    for leaving in trace.of("shutdown"):
        running = [
            r
            for r in trace.of("request")
            if (r.router, r.life) == (leaving.router, leaving.life)
            and r.sent < leaving.t <= r.t
        ]
        verdict.exercised += len(running)
        for request in running:
            if request.result in ("broken", "unreachable", "wrong"):
                text = f"{request.key} was cut off by the shutdown of {leaving.router}"
                verdict.violate(request.t, text, leaving, request)
        if leaving.code != 0:
            verdict.violate(leaving.ended, f"{leaving.router} ended with {leaving.code}", leaving)
    return verdict


def check_configuration(trace):
    verdict = Verdict("an accepted configuration is in force everywhere within seconds, never reverts")
    latest = {}
    for seen in trace.of("version"):
        known = latest.get(seen.router)
        # A new life learns before it is ready and takes no work until then.
        if not seen.ready and (known is None or seen.life != known.life):
            continue
        if known is not None and seen.version < known.version:
            text = f"{seen.router} went from {known.version} back to {seen.version}"
            verdict.violate(seen.t, text, known, seen)
        if known is None or seen.version >= known.version:
            latest[seen.router] = seen
    for accepted in trace.of("accepted"):
        check_spread(trace, verdict, accepted)
    for effect in trace.of("effect"):
        verdict.exercised += 1
        if not effect.in_force:
            text = f"{effect.router} does not obey version {effect.version}"
            verdict.violate(effect.t, text, effect)
    return verdict


def check_spread(trace, verdict, accepted):
    """Every ready router that was neither paused nor restarted holds the version in time."""
    due = accepted.t + FOLLOW_SECONDS
    names = ("router_killed", "router_stopped", "router_replaced")
    judged = set()
    for seen in trace.of("version"):
        if seen.t < due or seen.router in judged or not seen.ready:
            continue
        judged.add(seen.router)
        begin = accepted.t - RECOVERY_SECONDS
        if trace.faults_during(begin, seen.t, names, seen.router):
            continue
        verdict.exercised += 1
        if seen.version < accepted.version:
            text = f"{seen.router} is at {seen.version}, {accepted.version} was accepted"
            verdict.violate(seen.t, text, accepted, seen)


def run_checks(trace, multiple):
    return [
        check_load_skew(trace, multiple),
        check_fresh_targets(trace),
        check_departures(
            trace, "data-centre", "data_centre",
            "a data centre taken out receives no new work after a few seconds",
        ),
        check_whole_answers(trace),
        check_not_run(trace),
        check_at_most_once(trace),
        check_departures(
            trace, "vm", "vm", "a leaving target receives no new work after a few seconds"
        ),
        check_shutdown(trace),
        check_configuration(trace),
    ]
