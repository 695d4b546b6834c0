"""Observations of a run by callers, stand-ins and operators, each with its time in seconds.

Kinds and their members:
request     sent, t (end), router, incarnation, request_type (chat, booking, keyless), key, result,
            is_correct, id (as the router assigned it; empty if unknown)
            result: whole, wrong, broken, not_run, unknown, refused, unreachable
            is_correct: the response is the one that the reference engine gives
engine      name, incarnation, service, data_centre, vm, round, started, in_flight, overwhelmed, cold,
            turned_cold_at (time of the control call that did, or None), never_warm (not warm since
            its start)
mark        scope (data-centre, vm), name, state, requested_at (time of the call); t is the time of the
            acceptance
accepted    version; t is the time of the acceptance
version     router, incarnation, version, ready
effect      router, version, in_force: whether the router applies a change of that version
fault       name, subject (a router, a target, the store ...), t (begin), end
shutdown    router, incarnation, t (SIGTERM), ended, code (exit code)
event       name, process, request, fields: a line of the merged logs; t is the hybrid clock's time
owner       router, name, warm, capacity, in_flight, eligible: a target as its owner reports it
executions  service, incarnation, counts: executions by idempotency key, as the stand-in counted them
"""

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass
class Observation:
    t: float
    kind: str
    values: dict = field(default_factory=dict)

    def __getattr__(self, name):
        try:
            return self.__dict__["values"][name]
        except KeyError as reason:
            raise AttributeError(name) from reason


class Trace:
    def __init__(self):
        # By kind, in order of addition.
        self.kinds = defaultdict(list)

    def add(self, kind, t, **values):
        added = Observation(t, kind, values)
        self.kinds[kind].append(added)
        return added

    def of(self, kind):
        return sorted(list(self.kinds[kind]), key=lambda o: o.t)

    def faults_during(self, begin, end, names=None, subject=None):
        """Faults that overlap the interval, of the given names and subject if any are given."""
        return [
            f
            for f in self.of("fault")
            if f.t <= end
            and f.end >= begin
            and (names is None or f.name in names)
            and (subject is None or f.subject == subject)
        ]
