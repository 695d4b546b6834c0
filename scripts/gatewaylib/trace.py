"""What was observed, in order, and when gateways and store were disturbed."""

import time


class Observation:
    def __init__(self, t, kind, values):
        self.t = t
        self.kind = kind
        self.values = values

    def __getattr__(self, name):
        return self.values.get(name)


class Trace:
    # A gateway is judged again so long after a disturbance, as the platform's pages say.
    SETTLING = 3.0

    def __init__(self):
        self.all = []
        self.disturbed = {}

    def add(self, kind, **values):
        observation = Observation(time.monotonic(), kind, values)
        self.all.append(observation)
        return observation

    def of(self, kind):
        return [o for o in self.all if o.kind == kind]

    def disturb(self, what, start, end):
        self.disturbed.setdefault(what, []).append((start, end))

    def is_calm(self, what, start, end):
        """Whether nothing disturbed it from before `start` to `end`."""
        spans = self.disturbed.get(what, []) + self.disturbed.get("all", [])
        return all(e + self.SETTLING < start or s > end for s, e in spans)
