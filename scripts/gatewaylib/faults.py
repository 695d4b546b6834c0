"""Faults and planned operations of the soak.

Each one runs for a random time, reverts its effect, and records what it disturbed.
"""

import asyncio
import itertools
import signal
import time

from gatewaylib.callers import ROUTES
from gatewaylib.paths import MODES, Paths
from gatewaylib.targets import Target

DATA_CENTRES = ("dc-a", "dc-b")
SERVICES = ("desk", "models")
CONFIGURATION_SECONDS = 2.0
DRAIN_SECONDS = 2.0
FIRST_KEYS = 6


class Keys:
    """API keys of the organisations. Callers go on using a revoked key for REVOKED_USE_SECONDS."""

    REVOKED_USE_SECONDS = 5

    def __init__(self, rng):
        self.rng = rng
        self.numbers = itertools.count(1)
        self.valid = [(f"org-{i % 3}", f"key-{next(self.numbers)}") for i in range(FIRST_KEYS)]
        # (organisation, key) to the time at which the store acknowledged its removal.
        self.revoked = {}

    def in_use(self):
        recently_revoked = [
            (o, k) for (o, k), t in self.revoked.items()
            if time.monotonic() - t < self.REVOKED_USE_SECONDS
        ]
        return self.valid * 3 + recently_revoked

    def replace_one(self):
        old = self.valid.pop(self.rng.randrange(len(self.valid)))
        self.valid.append((old[0], f"key-{next(self.numbers)}"))
        return old


class FaultContext:
    """What faults act on: gateways, store, targets and keys."""

    def __init__(self, fleet, store, trace, keys, rng):
        self.fleet = fleet
        # The gateways' own ways to the targets.
        self.paths = Paths()
        self.store = store
        self.trace = trace
        self.keys = keys
        self.rng = rng
        self.targets = []
        # Data centre by target name, removed targets included.
        self.target_data_centres = {}
        self.numbers = itertools.count(1)
        self.version = 1
        self.busy = set()

    async def add_target(self, service, data_centre, version=None, prepare=None):
        """`prepare` sets the target's faults before it is registered."""
        name = f"t-{next(self.numbers)}"
        target = Target(name, service, data_centre, self.trace, self.rng.randrange(1 << 30))
        if version is not None:
            target.software = version
        if prepare is not None:
            prepare(target)
        await target.start()
        for gateway in self.fleet.gateways:
            await self.paths.add(gateway.name, target)
        self.targets.append(target)
        self.target_data_centres[name] = data_centre
        await self.store.change("servers", name, target.entry())
        return target

    async def configure(self):
        routes = []
        for route in ROUTES:
            streams = route.startswith("stream")
            routes.append({
                "name": route, "host": "shop.example", "pathPrefix": f"/{route}/",
                "kind": "streaming" if streams else "idempotent" if route == "look" else "non_idempotent",
                "timeoutMs": 6000 if streams else 1000, "targetLatencyMs": 300,
                "service": "models" if streams else "desk", "maxAttempts": 2, "priority": 1,
                "sessionAffinity": streams, "streamResume": route == "streamresume",
            })
        services = [
            {"name": "desk", "maxConnections": 400, "coldPerS": 0},
            {"name": "models", "maxConnections": 400, "coldPerS": 10,
             "engine": {"slots": 16, "kvCapacityTokens": 100000}},
        ]
        tenants = {}
        for organisation, key in self.keys.valid:
            tenants.setdefault(organisation, []).append(key)
        self.version += self.rng.randrange(1, 4)
        return await self.store.change("config", "main", {
            "version": self.version, "routes": routes, "services": services, "limits": {},
            "tenants": [{"name": n, "apiKeys": k} for n, k in tenants.items()],
        })


async def _disturb_temporarily(context, subjects, apply, revert, low=1.0, high=4.0):
    """Applies a fault, waits `low` to `high` seconds, reverts it, and records the span for its subjects."""
    start = time.monotonic()
    # Without an end until it is reverted, as checks may read it meanwhile.
    all_spans = [context.trace.disturbances.setdefault(s, []) for s in subjects]
    for spans in all_spans:
        spans.append((start, float("inf")))
    await apply()
    await asyncio.sleep(context.rng.uniform(low, high))
    await revert()
    for spans in all_spans:
        spans.remove((start, float("inf")))
        spans.append((start, time.monotonic()))


def paths_of(gateway):
    """The subject of disturbances of a gateway's paths to the targets."""
    return f"paths of {gateway}"


def _pick_idle(context, items):
    """A random item that no other fault acts on, or None."""
    free = [i for i in items if i not in context.busy]
    return context.rng.choice(free) if free else None


async def store_fails(context):
    mode = context.rng.choice(("refuse", "silent", "reset", "slow", "lost"))

    async def apply():
        context.store.slow_seconds = 0.4
        context.store.mode = mode

    async def revert():
        context.store.mode = "up"

    await _disturb_temporarily(context, ["store"], apply, revert)


async def store_forgets(context):
    context.store.drop_history()


async def store_is_restored(context):
    """The store is away for a moment and comes back from a copy; what its writers lost they write again."""
    copy_age = context.rng.uniform(0.5, 5)
    restored = {}

    async def apply():
        context.store.mode = context.rng.choice(("refuse", "silent", "reset"))

    async def revert():
        restored.update(context.store.return_from_copy(copy_age))
        context.store.mode = "up"
        returned_at = time.monotonic()
        await asyncio.sleep(context.rng.uniform(0.1, 1.5))
        for (kind, name), latest in restored.items():
            is_own = kind in ("config", "servers", "evacuations")
            current = context.store.objects.get((kind, name), (None, None))[1]
            if is_own and current != latest and not context.store.was_changed_since(kind, name, returned_at):
                await context.store.change(kind, name, latest)

    await _disturb_temporarily(context, ["store"], apply, revert, 0.2, 1.0)


async def store_link_fails(context):
    gateway = _pick_idle(context, context.fleet.gateways)
    if gateway is None:
        return
    mode = context.rng.choice(("refuse", "silent", "silent_to", "silent_from", "delay"))

    async def apply():
        gateway.store_link.delay = 0.3
        gateway.store_link.mode = mode

    async def revert():
        gateway.store_link.mode = "up"
        gateway.store_link.reset_all()

    await _disturb_temporarily(context, [gateway.name], apply, revert)


async def target_link_fails(context):
    target = _pick_idle(context, context.targets)
    if target is None:
        return
    mode = context.rng.choice(("refuse", "silent", "silent_to", "silent_from", "delay"))

    async def apply():
        target.proxy.delay = 0.2
        target.proxy.mode = mode

    async def revert():
        target.proxy.mode = "up"
        target.proxy.reset_all()

    await _disturb_temporarily(context, [target.name], apply, revert)


async def gateways_lose_paths(context):
    """Some gateways lose their paths to some or all targets; the others reach them."""
    count = context.rng.randrange(1, len(context.fleet.gateways))
    chosen = context.rng.sample(context.fleet.gateways, count)
    mode, share = context.rng.choice(MODES), context.rng.choice((0.5, 1.0))

    async def apply():
        for gateway in chosen:
            await context.paths.cut(gateway.name, mode, share, context.rng)

    async def revert():
        for gateway in chosen:
            await context.paths.heal(gateway.name)

    await _disturb_temporarily(context, [s for g in chosen for s in (g.name, paths_of(g.name))], apply, revert, 1, 5)


async def connections_reset(context):
    target = _pick_idle(context, context.targets)
    if target is None:
        return

    async def apply():
        target.proxy.reset_all()

    async def revert():
        pass

    await _disturb_temporarily(context, [target.name], apply, revert, 0.1, 0.2)


async def target_misbehaves(context):
    target = _pick_idle(context, context.targets)
    if target is None:
        return
    fault = context.rng.choice(("shed", "lost", "cut", "mute", "extra", "interim", "bad_length"))

    async def apply():
        target.fault = (fault, 0.4)

    async def revert():
        target.fault = ("none", 0.0)

    await _disturb_temporarily(context, [target.name], apply, revert)


async def service_is_full(context):
    """Every target of a service rejects requests, so that the gateways have to reject them too."""
    chosen = context.rng.choice(SERVICES)
    full = [t for t in context.targets if t.service == chosen]

    async def apply():
        for target in full:
            target.fault = ("shed", 1.0)

    async def revert():
        for target in full:
            target.fault = ("none", 0.0)

    await _disturb_temporarily(context, [chosen], apply, revert, 0.5, 1.5)


async def target_crashes(context):
    target = _pick_idle(context, context.targets)
    if target is None:
        return

    async def apply():
        target.crash()
        context.targets.remove(target)

    async def revert():
        await context.store.change("servers", target.name, None)
        await context.add_target(target.service, target.data_centre)

    await _disturb_temporarily(context, [target.name], apply, revert, 0.5, 2.0)


async def target_leaves(context):
    """Planned: a replacement starts first, and the removed target goes on serving for a while."""
    target = _pick_idle(context, context.targets)
    if target is None:
        return
    context.targets.remove(target)
    await context.add_target(target.service, target.data_centre)
    target.is_leaving = True
    is_announced = context.rng.random() < 0.6
    acknowledged = await context.store.change(
        "servers", target.name, target.entry("draining") if is_announced else None)
    context.trace.add("leaving", target=target.name, acknowledged=acknowledged)
    await asyncio.sleep(DRAIN_SECONDS + context.rng.uniform(0.5, 2))
    if is_announced:
        await context.store.change("servers", target.name, None)
    await asyncio.sleep(2)
    context.trace.disturb(target.name, time.monotonic(), float("inf"))
    target.crash()


async def data_centre_leaves(context):
    name = context.rng.choice(DATA_CENTRES)
    if "evacuation" in context.busy:
        return
    context.busy.add("evacuation")
    acknowledged = await context.store.change("evacuations", name, {})
    await asyncio.sleep(context.rng.uniform(5.5, 7.5))
    context.trace.add("evacuated", data_centre=name, acknowledged=acknowledged, until=time.monotonic())
    await context.store.change("evacuations", name, None)
    context.busy.discard("evacuation")


async def key_is_revoked(context):
    organisation, key = context.keys.replace_one()
    context.keys.revoked[(organisation, key)] = await context.configure()
    context.trace.add("issued", key=context.keys.valid[-1][1], acknowledged=time.monotonic())
    context.trace.add("revoked", key=key, acknowledged=context.keys.revoked[(organisation, key)])


async def configurations_storm(context):
    for _ in range(12):
        await context.configure()
        await asyncio.sleep(0.1)


async def gateway_is_killed(context):
    gateway = _pick_idle(context, context.fleet.gateways)
    if gateway is None:
        return
    context.busy.add(gateway)

    async def apply():
        gateway.process.kill()
        gateway.process.wait()

    async def revert():
        await gateway.start()

    await _disturb_temporarily(context, [gateway.name], apply, revert, 0.2, 1.5)
    context.busy.discard(gateway)


async def all_gateways_are_killed(context):
    """Nothing but the store remembers at which version a stream began."""
    gateways = context.fleet.gateways
    if any(g in context.busy for g in gateways):
        return
    context.busy.update(gateways)

    async def apply():
        for gateway in gateways:
            gateway.process.kill()
        for gateway in gateways:
            gateway.process.wait()

    async def revert():
        await asyncio.gather(*(g.start() for g in gateways))

    await _disturb_temporarily(context, [g.name for g in gateways], apply, revert, 0.1, 0.5)
    context.busy.difference_update(gateways)


async def gateway_stands_still(context):
    gateway = _pick_idle(context, context.fleet.gateways)
    if gateway is None:
        return
    context.busy.add(gateway)

    async def apply():
        gateway.send_signal(signal.SIGSTOP)

    async def revert():
        gateway.send_signal(signal.SIGCONT)

    await _disturb_temporarily(context, [gateway.name], apply, revert)
    context.busy.discard(gateway)


async def gateway_restarts(context):
    """Planned: SIGTERM, and a new process once the old one has stopped."""
    gateway = _pick_idle(context, context.fleet.gateways)
    if gateway is None:
        return
    context.busy.add(gateway)
    context.trace.add("terminated", gateway=gateway.name, incarnation=gateway.incarnation)
    gateway.send_signal(signal.SIGTERM)
    if not await gateway.wait_stopped(9):
        context.trace.add("overdue", gateway=gateway.name)
        gateway.process.kill()
        gateway.process.wait()
    start = time.monotonic()
    await gateway.start()
    context.trace.disturb(gateway.name, start, time.monotonic())
    context.busy.discard(gateway)


async def settings_are_read(context):
    gateway = _pick_idle(context, context.fleet.gateways)
    if gateway is not None:
        gateway.send_signal(signal.SIGHUP)


TABLE = (
    store_fails, store_forgets, store_is_restored, store_link_fails, target_link_fails, gateways_lose_paths,
    connections_reset,
    target_misbehaves, service_is_full, target_crashes, target_leaves, data_centre_leaves, key_is_revoked,
    configurations_storm, gateway_is_killed, all_gateways_are_killed, gateway_stands_still, gateway_restarts,
    settings_are_read,
)
