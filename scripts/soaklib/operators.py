"""Operators of a run: changes through any router, retried under one request id, and their effect."""

import http.client
import json
import time
import uuid

from .checks import PROPAGATION_SECONDS
from fleetlib.fleet import MODEL, sha256
from fleetlib.http_call import IncompleteResponse, call

ATTEMPTS = 6
RETRY_DELAY_SECONDS = 0.5


class Operator:
    def __init__(self, fleet, trace, balancer, rng):
        self.fleet = fleet
        self.trace = trace
        self.balancer = balancer
        self.rng = rng

    def change(self, method, path, body=None, if_version=None):
        """Returns the last (status, body); retries an unknown outcome under the same request id."""
        query = f"?request_id={uuid.UUID(int=self.rng.getrandbits(128))}"
        if if_version is not None:
            query += f"&if_version={if_version}"
        outcome = (None, {})
        for _ in range(ATTEMPTS):
            router = self.balancer.pick(self.rng)
            if router is None:
                time.sleep(RETRY_DELAY_SECONDS)
                continue
            try:
                status, _, text = router.admin(method, path + query, body)
                outcome = (status, json.loads(text))
                if status not in (503, 504):
                    break
            except (OSError, http.client.HTTPException, IncompleteResponse, ValueError):
                pass
            time.sleep(RETRY_DELAY_SECONDS)
        status, response = outcome
        if status == 200:
            self.trace.add("accepted", time.monotonic(), version=response["version"])
        return status, response

    def mark(self, scope, name, state):
        """Returns whether the mark was accepted (200) or is in effect but not durable yet (202)."""
        requested_at = time.monotonic()
        status, _ = self.change("PUT", f"/admin/v1/marks/{scope}s/{name}", {"state": state})
        if status not in (200, 202):
            return False
        now = time.monotonic()
        self.trace.add("mark", now, scope=scope, name=name, state=state, requested_at=requested_at)
        return True

    def use_preset(self, name):
        return self.change("PUT", "/admin/v1/preset", {"name": name})

    def add_organisation(self, name):
        body = {"api_key_hash": sha256(name + "-key")}
        return self.change("PUT", f"/admin/v1/organisations/{name}", body)

    def observe_effect(self, name, version):
        """Checks that every healthy router accepts the new organisation's key after PROPAGATION_SECONDS."""
        before = {r.name: r.process.incarnation for r in self.balancer.healthy}
        time.sleep(PROPAGATION_SECONDS)
        body = {
            "model": MODEL, "max_tokens": 1, "messages": [{"role": "user", "content": "effect"}],
        }
        for router in list(self.balancer.healthy):
            if before.get(router.name) != router.process.incarnation or router.process.paused:
                continue
            begin = time.monotonic()
            try:
                status, _, _ = call(
                    router.caller_port, "POST", "/v1/chat/completions", body,
                    {"authorization": f"Bearer {name}-key", "x-deadline-ms": "5000"},
                )
            except (OSError, http.client.HTTPException, IncompleteResponse):
                continue
            begin -= PROPAGATION_SECONDS
            names = ("router_stopped", "router_killed", "router_replaced")
            if self.trace.faults_during(begin, time.monotonic(), names, router.name):
                continue
            self.trace.add(
                "effect", time.monotonic(), router=router.name, version=version,
                in_force=status not in (401, 403),
            )
