"""Samples the stand-ins' counters, the health of the routers and the versions that they hold."""

import threading
import time

from fleetlib.fleet import BOOKING_SERVICE
from fleetlib.http_call import get_json

ROUND_SECONDS = 0.1
ROUTER_SECONDS = 0.25
OWNER_SECONDS = 0.5


class Watcher:
    def __init__(self, fleet, trace, balancer):
        self.fleet = fleet
        self.trace = trace
        self.balancer = balancer
        self.stopping = threading.Event()
        self.round = 0
        self.threads = [
            threading.Thread(target=self.repeat, args=(step, pause), daemon=True)
            for step, pause in (
                (self.sample_targets, ROUND_SECONDS),
                (self.sample_routers, ROUTER_SECONDS),
                (self.sample_owners, OWNER_SECONDS),
                (self.balancer.refresh, ROUTER_SECONDS),
            )
        ]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(30)

    def repeat(self, step, pause):
        while not self.stopping.wait(pause):
            step()

    def sample_targets(self):
        self.round += 1
        for target in list(self.fleet.targets):
            self.sample_target(target)

    def sample_target(self, target):
        life = target.process.life
        cooled = target.cooled
        if not target.process.running() or target.process.paused:
            return
        counters = get_json(target.port, "/control/counters")
        if counters is None or target.process.life != life:
            return
        if target.service == BOOKING_SERVICE:
            self.trace.add(
                "executions", time.monotonic(), service=target.name, life=life,
                counts=counters["executions"],
            )
        cold = counters.get("cold", False)
        target.was_warm = target.was_warm or not cold
        self.trace.add(
            "engine", time.monotonic(), name=target.name, life=life, service=target.service,
            data_centre=target.data_centre, vm=target.vm, round=self.round, cold=cold,
            started=counters.get("started", counters.get("handled", 0)),
            in_flight=counters.get("in_flight", 0), overwhelmed=counters.get("overwhelmed", 0),
            cooled=cooled, fresh=not target.was_warm,
        )

    def sample_routers(self):
        for router in list(self.fleet.routers):
            if not router.process.running() or router.process.paused:
                continue
            life = router.process.life
            status = router.admin_json("/admin/v1/status", timeout=1)
            if status is None or router.process.life != life or router.process.paused:
                continue
            self.trace.add(
                "version", time.monotonic(), router=router.name, life=life,
                version=status["configuration_version"] or 0, ready=status["ready"],
            )

    def sample_owners(self):
        """What the owners believe of their targets: to explain violations, never to judge them."""
        for router in list(self.fleet.routers):
            if not router.process.running() or router.process.paused:
                continue
            view = router.admin_json("/admin/v1/targets", timeout=1) or {"targets": []}
            for target in view["targets"]:
                if target["owner"] != router.name:
                    continue
                self.trace.add(
                    "owner", time.monotonic(), router=router.name, name=target["name"],
                    warm=target["warm"], capacity=target["capacity"],
                    in_flight=target["in_flight"], eligible=target["eligible"],
                )
