"""Observations of a run: what clients, stand-ins and operators saw, each with its time in seconds.

Kinds and their members:
request     sent, t (end), router, life, what (chat, booking, keyless), key, result, rightful, id (as
            the router named it; empty if it did not)
            result: whole, wrong, broken, not_run, unknown, refused, unreachable
            rightful: the answer belongs to the request, as the reference engine says
engine      name, life, service, data_centre, vm, round, started, in_flight, overwhelmed, cold,
            cooled (time of a control call that turned it cold, or None), fresh (not warm since its
            start)
mark        scope (data-centre, vm), name, state; t is the time of the acceptance
accepted    version; t is the time of the acceptance
version     router, life, version, ready
effect      router, version, in_force: whether the router obeys a change of that version
fault       name, on, t (begin), end
shutdown    router, life, t (asked), ended, code
event       name, process, request, fields: a line of the merged logs; t is the hybrid time
owner       router, name, warm, capacity, in_flight, eligible: a target as its owner sees it
executions  service, life, counts: runs by idempotency key, as the stand-in counted them
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

    def faults_during(self, begin, end, names=None, on=None):
        """Faults whose time overlaps the interval."""
        return [
            f
            for f in self.of("fault")
            if f.t <= end
            and f.end >= begin
            and (names is None or f.name in names)
            and (on is None or f.on == on)
        ]
