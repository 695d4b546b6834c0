"""The faults of a run. Each one injects itself, waits, and reverts its effect."""

import math
import threading
import time

from fleetlib.fleet import CHAT_SERVICE
from fleetlib.http_call import call

LIST_LAG_SECONDS = (0.3, 2.0)
SHUTDOWN_TIMEOUT_SECONDS = 45


class Faults:
    def __init__(self, fleet, trace, operator, traffic, rng):
        self.fleet = fleet
        self.trace = trace
        self.operator = operator
        self.traffic = traffic
        self.rng = rng
        # One fault at a time may disturb a router, so that callers always find a healthy one.
        self.router_lock = threading.Lock()
        self.store_lock = threading.Lock()
        self.mark_lock = threading.Lock()
        self.table = [
            self.router_killed, self.router_stopped, self.router_replaced, self.engine_flaps,
            self.engine_turns_cold, self.engine_answers_wrongly, self.data_centre_leaves,
            self.vm_leaves, self.store_down, self.store_slow, self.store_loses_answers,
            self.operators_race, self.organisation_surges, self.configuration_changes, self.quiet,
        ]

    def run(self, fault):
        begin = time.monotonic()
        subject = fault()
        # Faults that need the exact interval for one process record it themselves.
        if subject is not None:
            self.record(fault.__name__, subject, begin)

    def record(self, name, subject, begin, end=None):
        end = time.monotonic() if end is None else end
        return self.trace.add("fault", begin, name=name, subject=subject, end=end)

    def wait(self, low, high):
        time.sleep(self.rng.uniform(low, high))

    def pick_router(self):
        return self.rng.choice(self.fleet.routers)

    def pick_engine(self):
        engines = [t for t in self.fleet.targets if t.service == CHAT_SERVICE]
        return self.rng.choice(engines)

    def disturb_router(self, name, router, apply):
        """Records the fault before it begins, as checks may read the trace while it lasts."""
        record = self.record(name, router.name, time.monotonic(), math.inf)
        try:
            apply()
        finally:
            record.values["end"] = time.monotonic()

    def router_killed(self):
        with self.router_lock:
            router = self.pick_router()

            def apply():
                router.process.kill()
                self.wait(0.5, 3)
                router.process.start()
                self.fleet.wait_ready([router])

            self.disturb_router("router_killed", router, apply)

    def router_stopped(self):
        with self.router_lock:
            router = self.pick_router()

            def apply():
                router.process.pause()
                self.wait(1, 8)
                router.process.resume()
                time.sleep(1)

            self.disturb_router("router_stopped", router, apply)

    def router_replaced(self):
        with self.router_lock:
            old = self.pick_router()
            new = self.fleet.make_router(old.data_centre)
            new.process.start()
            self.fleet.wait_ready([new])

            def apply():
                requested_at, incarnation = time.monotonic(), old.process.incarnation
                code = old.process.stop(SHUTDOWN_TIMEOUT_SECONDS)
                self.trace.add(
                    "shutdown", requested_at, router=old.name, incarnation=incarnation,
                    ended=time.monotonic(), code=code
                )
                self.fleet.routers.remove(old)

            self.disturb_router("router_replaced", old, apply)

    def engine_flaps(self):
        engine = self.pick_engine()
        engine.process.kill()
        # Only the first incarnation starts warm.
        engine.process.arguments = [a for a in engine.process.arguments if a != "--warm"]
        self.wait(0.2, 4)
        engine.start()
        self.wait(*LIST_LAG_SECONDS)
        self.fleet.publish_vms()
        return engine.name

    def engine_turns_cold(self):
        engine = self.pick_engine()
        engine.turned_cold_at = time.monotonic()
        call(engine.port, "PUT", "/control/faults", {"cold": True})
        self.wait(1, 3)
        return engine.name

    def engine_answers_wrongly(self):
        engine = self.pick_engine()
        fault = self.rng.choice(
            ("wrong_request_id", "duplicate", "truncate", "late", "error", "hang")
        )
        body = {"fault": fault, "count": self.rng.randrange(1, 4), "delay_ms": 1500}
        call(engine.port, "PUT", "/control/faults", body)
        self.wait(1, 3)
        return f"{engine.name} {fault}"

    def data_centre_leaves(self):
        with self.mark_lock:
            name = self.rng.choice(sorted({t.data_centre for t in self.fleet.targets}))
            if self.operator.mark("data-centre", name, "leaving"):
                self.wait(6, 10)
            self.mark_returning("data-centre", name)
        return name

    def vm_leaves(self):
        with self.mark_lock:
            name = self.pick_engine().vm
            if self.operator.mark("vm", name, "leaving"):
                self.wait(6, 8)
            self.mark_returning("vm", name)
        return name

    def mark_returning(self, scope, name):
        # Retried as the store may be down; nothing may stay marked for the rest of the run.
        while not self.operator.mark(scope, name, "returning"):
            if self.traffic.stopping.wait(1):
                return

    def with_store_fault(self, mode, low, high, **more):
        with self.store_lock:
            self.fleet.set_store_fault(mode, **more)
            self.wait(low, high)
            self.fleet.set_store_fault("up")
            # Lets the routers' watches reconnect before the next store fault.
            time.sleep(1)
        return "store"

    def store_down(self):
        return self.with_store_fault("down", 3, 12)

    def store_slow(self):
        return self.with_store_fault("slow", 3, 8, delay_ms=self.rng.randrange(100, 1500))

    def store_loses_answers(self):
        share = self.rng.uniform(0.1, 0.6)
        seed = self.rng.randrange(1 << 30)
        return self.with_store_fault("lost_answers", 3, 8, lost_share=share, seed=seed)

    def operators_race(self):
        threads = [
            threading.Thread(target=self.operator.use_preset, args=(name,))
            for name in ("ordinary", "peak", "maintenance", "ordinary")
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return "preset"

    def organisation_surges(self):
        self.traffic.surging.set()
        self.wait(3, 6)
        self.traffic.surging.clear()
        return "surging"

    def quiet(self):
        """No fault: shows which violations happen without one."""
        self.wait(1, 3)
        return "nothing"

    def configuration_changes(self):
        name = f"probe-{self.rng.randrange(1 << 30)}"
        status, response = self.operator.add_organisation(name)
        if status == 200:
            self.operator.observe_effect(name, response["version"])
        return name
