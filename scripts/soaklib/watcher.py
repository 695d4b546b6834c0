"""Samples the stand-ins' counters, and the routers' health, versions and views of their targets."""

import threading
import time

from fleetlib.fleet import BOOKING_SERVICE
from fleetlib.http_call import get_json

TARGET_INTERVAL_SECONDS = 0.1
ROUTER_INTERVAL_SECONDS = 0.25
OWNER_INTERVAL_SECONDS = 0.5


class Watcher:
    def __init__(self, fleet, trace, balancer):
        self.fleet = fleet
        self.trace = trace
        self.balancer = balancer
        self.stopping = threading.Event()
        self.round = 0
        self.threads = [
            threading.Thread(target=self.run_periodically, args=(step, interval), daemon=True)
            for step, interval in (
                (self.sample_targets, TARGET_INTERVAL_SECONDS),
                (self.sample_routers, ROUTER_INTERVAL_SECONDS),
                (self.sample_owners, OWNER_INTERVAL_SECONDS),
                (self.balancer.refresh, ROUTER_INTERVAL_SECONDS),
            )
        ]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(30)

    def run_periodically(self, step, interval):
        while not self.stopping.wait(interval):
            step()

    def sample_targets(self):
        self.round += 1
        for target in list(self.fleet.targets):
            self.sample_target(target)

    def sample_target(self, target):
        incarnation = target.process.incarnation
        turned_cold_at = target.turned_cold_at
        if not target.process.running() or target.process.paused:
            return
        counters = get_json(target.port, "/control/counters")
        if counters is None or target.process.incarnation != incarnation:
            return
        if target.service == BOOKING_SERVICE:
            self.trace.add(
                "executions", time.monotonic(), service=target.name, incarnation=incarnation,
                counts=counters["executions"],
            )
        cold = counters.get("cold", False)
        target.was_warm = target.was_warm or not cold
        self.trace.add(
            "engine", time.monotonic(), name=target.name, incarnation=incarnation, service=target.service,
            data_centre=target.data_centre, vm=target.vm, round=self.round, cold=cold,
            started=counters.get("started", counters.get("handled", 0)),
            in_flight=counters.get("in_flight", 0), overwhelmed=counters.get("overwhelmed", 0),
            turned_cold_at=turned_cold_at, never_warm=not target.was_warm,
        )

    def sample_routers(self):
        for router in list(self.fleet.routers):
            if not router.process.running() or router.process.paused:
                continue
            incarnation = router.process.incarnation
            status = router.admin_json("/admin/v1/status", timeout=1)
            if status is None or router.process.incarnation != incarnation or router.process.paused:
                continue
            self.trace.add(
                "version", time.monotonic(), router=router.name, incarnation=incarnation,
                version=status["configuration_version"] or 0, ready=status["ready"],
            )

    def sample_owners(self):
        """Samples each owner's view of its targets. It explains violations; no check judges by it."""
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
