"""The faults of a run. Each brings itself about, waits, and mends what it broke."""

import math
import threading
import time

from fleetlib.fleet import CHAT_SERVICE
from fleetlib.http_call import call

LIST_LAG_SECONDS = (0.3, 2.0)
GRACE_SECONDS = 45


class Faults:
    def __init__(self, fleet, trace, operator, traffic, chance):
        self.fleet = fleet
        self.trace = trace
        self.operator = operator
        self.traffic = traffic
        self.chance = chance
        # One fault at a time may take a router away, so that callers keep a way in.
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
        on = fault()
        # Those that need an exact interval for one process note it themselves.
        if on is not None:
            self.note(fault.__name__, on, begin)

    def note(self, name, on, begin, end=None):
        end = time.monotonic() if end is None else end
        return self.trace.add("fault", begin, name=name, on=on, end=end)

    def pause(self, low, high):
        time.sleep(self.chance.uniform(low, high))

    def pick_router(self):
        return self.chance.choice(self.fleet.routers)

    def pick_engine(self):
        engines = [t for t in self.fleet.targets if t.service == CHAT_SERVICE]
        return self.chance.choice(engines)

    def disturb_router(self, name, router, act):
        """Notes the fault before it begins, as checks of a later moment must see it."""
        noted = self.note(name, router.name, time.monotonic(), math.inf)
        try:
            act()
        finally:
            noted.values["end"] = time.monotonic()

    def router_killed(self):
        with self.router_lock:
            router = self.pick_router()

            def act():
                router.process.kill()
                self.pause(0.5, 3)
                router.process.start()
                self.fleet.wait_ready([router])

            self.disturb_router("router_killed", router, act)

    def router_stopped(self):
        with self.router_lock:
            router = self.pick_router()

            def act():
                router.process.pause()
                self.pause(1, 8)
                router.process.resume()
                time.sleep(1)

            self.disturb_router("router_stopped", router, act)

    def router_replaced(self):
        with self.router_lock:
            old = self.pick_router()
            new = self.fleet.make_router(old.data_centre)
            new.process.start()
            self.fleet.wait_ready([new])

            def act():
                asked, life = time.monotonic(), old.process.life
                code = old.process.end(GRACE_SECONDS)
                self.trace.add(
                    "shutdown", asked, router=old.name, life=life, ended=time.monotonic(), code=code
                )
                self.fleet.routers.remove(old)

            self.disturb_router("router_replaced", old, act)

    def engine_flaps(self):
        engine = self.pick_engine()
        engine.process.kill()
        # Only the first life may start warm.
        engine.process.arguments = [a for a in engine.process.arguments if a != "--warm"]
        self.pause(0.2, 4)
        engine.start()
        self.pause(*LIST_LAG_SECONDS)
        self.fleet.publish_vms()
        return engine.name

    def engine_turns_cold(self):
        engine = self.pick_engine()
        engine.cooled = time.monotonic()
        call(engine.port, "PUT", "/control/faults", {"cold": True})
        self.pause(1, 3)
        return engine.name

    def engine_answers_wrongly(self):
        engine = self.pick_engine()
        fault = self.chance.choice(
            ("wrong_request_id", "duplicate", "truncate", "late", "error", "hang")
        )
        wanted = {"fault": fault, "count": self.chance.randrange(1, 4), "delay_ms": 1500}
        call(engine.port, "PUT", "/control/faults", wanted)
        self.pause(1, 3)
        return f"{engine.name} {fault}"

    def data_centre_leaves(self):
        with self.mark_lock:
            name = self.chance.choice(sorted({t.data_centre for t in self.fleet.targets}))
            if self.operator.mark("data-centre", name, "leaving"):
                self.pause(6, 10)
            self.mark_back("data-centre", name)
        return name

    def vm_leaves(self):
        with self.mark_lock:
            name = self.pick_engine().vm
            if self.operator.mark("vm", name, "leaving"):
                self.pause(6, 8)
            self.mark_back("vm", name)
        return name

    def mark_back(self, scope, name):
        # The store may be down; a data centre must not stay away for the rest of the run.
        while not self.operator.mark(scope, name, "returning"):
            if self.traffic.stopping.wait(1):
                return

    def with_store(self, mode, low, high, **more):
        with self.store_lock:
            self.fleet.set_store_fault(mode, **more)
            self.pause(low, high)
            self.fleet.set_store_fault("up")
            # Watches come back before the next fault of the store.
            time.sleep(1)
        return "store"

    def store_down(self):
        return self.with_store("down", 3, 12)

    def store_slow(self):
        return self.with_store("slow", 3, 8, delay_ms=self.chance.randrange(100, 1500))

    def store_loses_answers(self):
        share = self.chance.uniform(0.1, 0.6)
        seed = self.chance.randrange(1 << 30)
        return self.with_store("lost_answers", 3, 8, lost_share=share, seed=seed)

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
        self.pause(3, 6)
        self.traffic.surging.clear()
        return "surging"

    def quiet(self):
        """No fault, to tell the harm of faults from what happens without any."""
        self.pause(1, 3)
        return "nothing"

    def configuration_changes(self):
        name = f"probe-{self.chance.randrange(1 << 30)}"
        status, answer = self.operator.add_organisation(name)
        if status == 200:
            self.operator.observe_effect(name, answer["version"])
        return name
