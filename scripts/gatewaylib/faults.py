"""Faults and planned work of the soak. Each takes its time, is undone, and says what it disturbed."""

import asyncio
import itertools
import signal
import time

from gatewaylib.callers import KINDS
from gatewaylib.targets import Target

DATA_CENTRES = ("dc-a", "dc-b")
SERVICES = ("desk", "models")
CONFIG_SECONDS = 2.0
DRAIN_SECONDS = 2.0
FIRST_KEYS = 6


class Keys:
    """Keys of organisations; callers go on using revoked ones for a while."""

    REMEMBERED_SECONDS = 5

    def __init__(self, chance):
        self.chance = chance
        self.numbers = itertools.count(1)
        self.valid = [(f"org-{i % 3}", f"key-{next(self.numbers)}") for i in range(FIRST_KEYS)]
        # Key to the time at which its removal was acknowledged.
        self.revoked = {}

    def current(self):
        late = [(o, k) for (o, k), t in self.revoked.items() if time.monotonic() - t < self.REMEMBERED_SECONDS]
        return self.valid * 3 + late

    def replace_one(self):
        old = self.valid.pop(self.chance.randrange(len(self.valid)))
        self.valid.append((old[0], f"key-{next(self.numbers)}"))
        return old


class World:
    """All that faults act on."""

    def __init__(self, fleet, store, trace, keys, chance):
        self.fleet = fleet
        self.store = store
        self.trace = trace
        self.keys = keys
        self.chance = chance
        self.targets = []
        # Data centre of each target that ever was.
        self.places = {}
        self.numbers = itertools.count(1)
        self.version = 1
        self.busy = set()

    async def add_target(self, service, data_centre):
        name = f"t-{next(self.numbers)}"
        target = Target(name, service, data_centre, self.trace, self.chance.randrange(1 << 30))
        await target.start()
        self.targets.append(target)
        self.places[name] = data_centre
        await self.store.change("servers", name, target.entry())
        return target

    async def configure(self):
        routes = []
        for kind in KINDS:
            streams = kind.startswith("stream")
            routes.append({
                "name": kind, "host": "shop.example", "pathPrefix": f"/{kind}/",
                "kind": "streaming" if streams else "idempotent" if kind == "look" else "non_idempotent",
                "timeoutMs": 6000 if streams else 1000, "targetLatencyMs": 300,
                "service": "models" if streams else "desk", "maxAttempts": 2, "priority": 1,
                "sessionAffinity": streams, "streamResume": kind == "streamresume",
            })
        services = [
            {"name": "desk", "maxConnections": 400, "coldPerS": 0},
            {"name": "models", "maxConnections": 400, "coldPerS": 10,
             "engine": {"slots": 16, "kvCapacityTokens": 100000}},
        ]
        tenants = {}
        for organisation, key in self.keys.valid:
            tenants.setdefault(organisation, []).append(key)
        self.version += self.chance.randrange(1, 4)
        return await self.store.change("config", "main", {
            "version": self.version, "routes": routes, "services": services, "limits": {},
            "tenants": [{"name": n, "apiKeys": k} for n, k in tenants.items()],
        })


async def _for_a_while(world, what, act, undo, low=1.0, high=4.0):
    start = time.monotonic()
    # Open ended until it is undone, since checks may look meanwhile.
    spans = world.trace.disturbed.setdefault(what, [])
    spans.append((start, float("inf")))
    await act()
    await asyncio.sleep(world.chance.uniform(low, high))
    await undo()
    spans.remove((start, float("inf")))
    spans.append((start, time.monotonic()))


def _one(world, items):
    free = [i for i in items if i not in world.busy]
    return world.chance.choice(free) if free else None


async def store_fails(world):
    mode = world.chance.choice(("refuse", "silent", "reset", "slow", "lost"))

    async def act():
        world.store.slow_seconds = 0.4
        world.store.mode = mode

    async def undo():
        world.store.mode = "up"

    await _for_a_while(world, "store", act, undo)


async def store_forgets(world):
    world.store.forget()


async def store_link_fails(world):
    gateway = _one(world, world.fleet.gateways)
    mode = world.chance.choice(("refuse", "silent", "silent_to", "silent_from", "delay"))

    async def act():
        gateway.store_link.delay = 0.3
        gateway.store_link.mode = mode

    async def undo():
        gateway.store_link.mode = "up"
        gateway.store_link.reset_all()

    await _for_a_while(world, gateway.name, act, undo)


async def target_link_fails(world):
    target = _one(world, world.targets)
    mode = world.chance.choice(("refuse", "silent", "silent_to", "silent_from", "delay"))

    async def act():
        target.proxy.delay = 0.2
        target.proxy.mode = mode

    async def undo():
        target.proxy.mode = "up"
        target.proxy.reset_all()

    await _for_a_while(world, target.name, act, undo)


async def connections_reset(world):
    target = _one(world, world.targets)

    async def act():
        target.proxy.reset_all()

    async def undo():
        pass

    await _for_a_while(world, target.name, act, undo, 0.1, 0.2)


async def target_misbehaves(world):
    target = _one(world, world.targets)
    fault = world.chance.choice(("shed", "lost", "cut", "mute", "extra", "interim", "bad_length"))

    async def act():
        target.fault = (fault, 0.4)

    async def undo():
        target.fault = ("none", 0.0)

    await _for_a_while(world, target.name, act, undo)


async def service_is_full(world):
    """Every target of a service refuses, so that the gateways have to."""
    chosen = world.chance.choice(SERVICES)
    full = [t for t in world.targets if t.service == chosen]

    async def act():
        for target in full:
            target.fault = ("shed", 1.0)

    async def undo():
        for target in full:
            target.fault = ("none", 0.0)

    await _for_a_while(world, chosen, act, undo, 0.5, 1.5)


async def target_crashes(world):
    target = _one(world, world.targets)

    async def act():
        target.crash()
        world.targets.remove(target)

    async def undo():
        await world.store.change("servers", target.name, None)
        await world.add_target(target.service, target.data_centre)

    await _for_a_while(world, target.name, act, undo, 0.5, 2.0)


async def target_leaves(world):
    """Planned: another one comes first, and the one that leaves serves on for a while."""
    target = _one(world, world.targets)
    world.targets.remove(target)
    await world.add_target(target.service, target.data_centre)
    says_so = world.chance.random() < 0.6
    at = await world.store.change("servers", target.name, target.entry("draining") if says_so else None)
    world.trace.add("leaving", target=target.name, acknowledged=at)
    await asyncio.sleep(DRAIN_SECONDS + world.chance.uniform(0.5, 2))
    if says_so:
        await world.store.change("servers", target.name, None)
    await asyncio.sleep(2)
    world.trace.disturb(target.name, time.monotonic(), float("inf"))
    target.crash()


async def data_centre_leaves(world):
    name = world.chance.choice(DATA_CENTRES)
    if "evacuation" in world.busy:
        return
    world.busy.add("evacuation")
    at = await world.store.change("evacuations", name, {})
    await asyncio.sleep(world.chance.uniform(5.5, 7.5))
    world.trace.add("evacuated", data_centre=name, acknowledged=at, until=time.monotonic())
    await world.store.change("evacuations", name, None)
    world.busy.discard("evacuation")


async def key_is_revoked(world):
    organisation, key = world.keys.replace_one()
    world.keys.revoked[(organisation, key)] = await world.configure()
    world.trace.add("issued", key=world.keys.valid[-1][1], acknowledged=time.monotonic())
    world.trace.add("revoked", key=key, acknowledged=world.keys.revoked[(organisation, key)])


async def configurations_storm(world):
    for _ in range(12):
        await world.configure()
        await asyncio.sleep(0.1)


async def gateway_is_killed(world):
    gateway = _one(world, world.fleet.gateways)
    if gateway is None:
        return
    world.busy.add(gateway)

    async def act():
        gateway.process.kill()
        gateway.process.wait()

    async def undo():
        await gateway.start()

    await _for_a_while(world, gateway.name, act, undo, 0.2, 1.5)
    world.busy.discard(gateway)


async def gateway_stands_still(world):
    gateway = _one(world, world.fleet.gateways)
    if gateway is None:
        return
    world.busy.add(gateway)

    async def act():
        gateway.send(signal.SIGSTOP)

    async def undo():
        gateway.send(signal.SIGCONT)

    await _for_a_while(world, gateway.name, act, undo)
    world.busy.discard(gateway)


async def gateway_restarts(world):
    """Planned: SIGTERM, and a new process once the old one has ended."""
    gateway = _one(world, world.fleet.gateways)
    if gateway is None:
        return
    world.busy.add(gateway)
    world.trace.add("terminated", gateway=gateway.name, life=gateway.life)
    gateway.send(signal.SIGTERM)
    if not await gateway.ended(9):
        world.trace.add("overdue", gateway=gateway.name)
        gateway.process.kill()
        gateway.process.wait()
    start = time.monotonic()
    await gateway.start()
    world.trace.disturb(gateway.name, start, time.monotonic())
    world.busy.discard(gateway)


async def settings_are_read(world):
    gateway = _one(world, world.fleet.gateways)
    if gateway is not None:
        gateway.send(signal.SIGHUP)


TABLE = (
    store_fails, store_forgets, store_link_fails, target_link_fails, connections_reset,
    target_misbehaves, service_is_full, target_crashes, target_leaves, data_centre_leaves, key_is_revoked,
    configurations_storm, gateway_is_killed, gateway_stands_still, gateway_restarts,
    settings_are_read,
)
