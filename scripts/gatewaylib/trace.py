"""Observations of a run in order, and the spans in which gateways, targets and store were disturbed.

Kinds and their members, besides the time t in seconds:
request     attempt, route, gateway, incarnation, key, organisation, body, status (0 without a response),
            retry_after, outcome, detail, ended, disconnected_at (end of the caller's wait), calm, result
            result: whole, wrong, refused (another status than 200), closed (at a message boundary,
            without a response), cut (the connection failed or a message was malformed), left (the
            caller disconnected early), none (no whole response in time); resumes and resumed_after, if
            it takes up the stream of an earlier attempt after this event; received (of a stream)
arrived     attempt, target, deadline: a request that reached a target
run         attempt, target, line, body, tenant, key (whether it arrived), resumed, ended, disconnected,
            software, sent (events)
leaving     target, acknowledged
evacuated   data_centre, acknowledged, until
issued, revoked     key, acknowledged
terminated  gateway, incarnation: SIGTERM was sent
overdue     gateway: it did not stop in time
"""

import time


class Observation:
    """Members that were never written read as None, misspelt ones included."""

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
