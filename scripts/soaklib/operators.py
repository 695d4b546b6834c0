"""Operators of a run: changes through any router, repeated under their request id, and their effect."""

import http.client
import json
import time
import uuid

from .checks import FOLLOW_SECONDS
from fleetlib.fleet import MODEL, sha256
from fleetlib.http_call import BrokenAnswer, call

ATTEMPTS = 6
PAUSE_SECONDS = 0.5


class Operator:
    def __init__(self, fleet, trace, balancer, chance):
        self.fleet = fleet
        self.trace = trace
        self.balancer = balancer
        self.chance = chance

    def change(self, method, path, body=None, if_version=None):
        """Returns the last (status, answer); repeats an unknown outcome under the same id."""
        query = f"?request_id={uuid.UUID(int=self.chance.getrandbits(128))}"
        if if_version is not None:
            query += f"&if_version={if_version}"
        outcome = (None, {})
        for _ in range(ATTEMPTS):
            router = self.balancer.pick(self.chance)
            if router is None:
                time.sleep(PAUSE_SECONDS)
                continue
            try:
                status, _, text = router.admin(method, path + query, body)
                outcome = (status, json.loads(text))
                if status not in (503, 504):
                    break
            except (OSError, http.client.HTTPException, BrokenAnswer, ValueError):
                pass
            time.sleep(PAUSE_SECONDS)
        status, answer = outcome
        if status == 200:
            self.trace.add("accepted", time.monotonic(), version=answer["version"])
        return status, answer

    def mark(self, scope, name, state):
        """Returns whether the mark is obeyed."""
        asked = time.monotonic()
        status, _ = self.change("PUT", f"/admin/v1/marks/{scope}s/{name}", {"state": state})
        if status not in (200, 202):
            return False
        now = time.monotonic()
        self.trace.add("mark", now, scope=scope, name=name, state=state, asked=asked)
        return True

    def use_preset(self, name):
        return self.change("PUT", "/admin/v1/preset", {"name": name})

    def add_organisation(self, name):
        body = {"api_key_hash": sha256(name + "-key")}
        return self.change("PUT", f"/admin/v1/organisations/{name}", body)

    def observe_effect(self, name, version):
        """After the promised time every healthy router must know the organisation's key."""
        before = {r.name: r.process.life for r in self.balancer.healthy}
        time.sleep(FOLLOW_SECONDS)
        body = {
            "model": MODEL, "max_tokens": 1, "messages": [{"role": "user", "content": "effect"}],
        }
        for router in list(self.balancer.healthy):
            if before.get(router.name) != router.process.life or router.process.paused:
                continue
            begin = time.monotonic()
            try:
                status, _, _ = call(
                    router.caller_port, "POST", "/v1/chat/completions", body,
                    {"authorization": f"Bearer {name}-key", "x-deadline-ms": "5000"},
                )
            except (OSError, http.client.HTTPException, BrokenAnswer):
                continue
            begin -= FOLLOW_SECONDS
            names = ("router_stopped", "router_killed", "router_replaced")
            if self.trace.faults_during(begin, time.monotonic(), names, router.name):
                continue
            self.trace.add(
                "effect", time.monotonic(), router=router.name, version=version,
                in_force=status not in (401, 403),
            )
