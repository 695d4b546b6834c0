"""Observations of a run in order, and the spans in which gateways, targets and store were disturbed."""

import time


class Observation:
    def __init__(self, t, kind, values):
        self.t = t
        self.kind = kind
        self.values = values

    def __getattr__(self, name):
        return self.values.get(name)


class Trace:
    # The platform's pages exempt a gateway for this time after a disturbance.
    SETTLING_SECONDS = 3.0

    def __init__(self):
        self.all = []
        self.disturbances = {}

    def add(self, kind, **values):
        observation = Observation(time.monotonic(), kind, values)
        self.all.append(observation)
        return observation

    def of(self, kind):
        return [o for o in self.all if o.kind == kind]

    def disturb(self, subject, start, end):
        self.disturbances.setdefault(subject, []).append((start, end))

    def is_calm(self, subject, start, end):
        """Whether nothing disturbed `subject` from SETTLING_SECONDS before `start` to `end`."""
        spans = self.disturbances.get(subject, []) + self.disturbances.get("all", [])
        return all(e + self.SETTLING_SECONDS < start or s > end for s, e in spans)
