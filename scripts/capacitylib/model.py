"""Sizes, rows and promises: what is extrapolated, from which figures, and the mechanism behind it."""

from dataclasses import dataclass

KILO = 1000.0
MEGA = 1000.0 * 1000.0

# Variables of a size. Rates are those of the whole fleet. Shards are those of each service in each
# region, as docs/CAPACITY.md recommends them for the size.
SIZES = {
    "Kandy": {
        "routers": 8, "targets": 16, "organisations": 10, "data_centres": 4, "regions": 1,
        "services": 2, "shards": 1, "requests_per_second": 18,
    },
    "Hanbit": {
        "routers": 8, "targets": 12, "organisations": 10, "data_centres": 3, "regions": 1,
        "services": 2, "shards": 1, "requests_per_second": 14,
    },
    "design": {
        "routers": 330, "targets": 4300, "organisations": 36000, "data_centres": 16, "regions": 6,
        "services": 6, "shards": 4, "requests_per_second": 4800,
    },
}


def with_derived(size):
    """Adds the variables of a single router, region or shard."""
    result = dict(size)
    regions = size["regions"]
    region_shards = size["services"] * size["shards"]
    result["requests_per_router"] = size["requests_per_second"] / size["routers"]
    result["region_routers"] = size["routers"] / regions
    result["region_targets"] = size["targets"] / regions
    result["region_shards"] = region_shards
    result["shard_requests"] = size["requests_per_second"] / regions / region_shards
    result["shard_targets"] = size["targets"] / regions / region_shards
    return result


@dataclass
class Term:
    """A fitted figure, times the variable `times` of the size, or times 1 if that is empty."""

    bench: str
    figure: str
    variables: tuple = ()
    times: str = ""


@dataclass
class Row:
    """One line of the table of roles: the sum of its terms, divided by `scale` to get `unit`."""

    role: str
    quantity: str
    unit: str
    scale: float
    terms: list
    mechanism: str
    source: str


@dataclass
class Promise:
    """The row's value at the design size must not exceed the limit, in the row's unit."""

    row: Row
    limit: float
    text: str


# Figures of bench "fleet" are measured by scripts/measure-fleet on real processes.
def fleet(figure, *variables, times=""):
    return Term("fleet", figure, variables, times)


ROUTER_CPU = Row(
    "entry router", "processor time without requests, mean", "% of a core", 0.01,
    [fleet("idle_cpu_mean", "region_routers", "region_shards", "shard_targets")],
    "probes at constant rate, one promise for each shard", "src/membership, src/ownership",
)
ROUTER_CONTROL_OUT = Row(
    "entry router", "control bytes out, mean", "KB/s", KILO,
    [fleet("control_bytes_out_mean", "region_routers", "region_shards", "requests_per_router")],
    "probes at constant rate; reservations in proportion to own requests",
    "src/membership, src/ownership",
)
ROUTER_CONTROL_IN = Row(
    "entry router", "control bytes in, mean", "KB/s", KILO,
    [fleet("control_bytes_in_mean", "region_routers", "region_shards", "requests_per_router")],
    "as for bytes out", "src/membership, src/ownership",
)
ROUTER_MEMORY = Row(
    "entry router", "memory", "MB", MEGA,
    [fleet("memory", "routers", "targets", "organisations")],
    "configuration, targets and members as values", "src/config, src/placement",
)
OWNER_CPU = Row(
    "share owner", "processor time without requests, busiest", "% of a core", 0.01,
    [fleet("idle_cpu", "region_routers", "region_shards", "shard_targets")],
    "reads the load of its shard's targets once a second", "src/router/load_poller.cpp",
)
OWNER_CONTROL_OUT = Row(
    "share owner", "control bytes out, busiest", "KB/s", KILO,
    [fleet("control_bytes_out", "region_routers", "region_shards", "shard_requests")],
    "a challenge to each router of the region, grants", "src/ownership/share_owner.cpp",
)
OWNER_CONTROL_IN = Row(
    "share owner", "control bytes in, busiest", "KB/s", KILO,
    [fleet("control_bytes_in", "region_routers", "region_shards", "shard_requests")],
    "promises, reservations", "src/ownership/share_owner.cpp",
)
STORE_READS = Row(
    "store", "reads, lists and watches", "a second", 1.0,
    [fleet("store_reads", "routers", "regions")],
    "two relays in each region hold the watch", "src/store/configuration_relay.cpp",
)
STORE_WRITES = Row(
    "store", "writes without bookings and changes", "a second", 1.0,
    [fleet("store_writes", "routers", "regions")],
    "rosters are written when routers come and go", "src/membership/roster_manager.cpp",
)
CHANGE_DELAY = Row(
    "configuration relay", "accepted change in force everywhere, longest", "s", 1.0,
    [fleet("change_delay", "routers", "organisations")],
    "watch by relays, push to the rest", "src/store/configuration_peers.cpp",
)
ROOT_VALUE = Row(
    "store", "largest value", "KB", KILO,
    [fleet("largest_value", "region_routers", "organisations")],
    "organisations in chunks below one root; a roster for each region", "src/config, src/membership",
)

SETTLE = Row(
    "entry router", "start of all at once until members and rosters stand still", "s", 1.0,
    [fleet("settle_seconds", "region_routers")],
    "probes, exchange of tables, one roster change at a time", "src/membership",
)

ROWS = [
    ROUTER_CPU, ROUTER_CONTROL_OUT, ROUTER_CONTROL_IN, ROUTER_MEMORY, OWNER_CPU,
    OWNER_CONTROL_OUT, OWNER_CONTROL_IN, CHANGE_DELAY, STORE_READS, STORE_WRITES, ROOT_VALUE, SETTLE,
]

CPU_TEXT = "the requirements allow 3.4% of a core for control"
BYTES_TEXT = "the requirements allow 22 KB/s for control"
PROMISES = [
    Promise(ROUTER_CPU, 3.4, CPU_TEXT),
    Promise(ROUTER_CONTROL_OUT, 22, BYTES_TEXT),
    Promise(ROUTER_CONTROL_IN, 22, BYTES_TEXT),
    Promise(ROUTER_MEMORY, 256, "the requirements allow 256 MB"),
    Promise(OWNER_CPU, 3.4, CPU_TEXT),
    Promise(OWNER_CONTROL_OUT, 22, BYTES_TEXT),
    Promise(OWNER_CONTROL_IN, 22, BYTES_TEXT),
    Promise(CHANGE_DELAY, 4, "the requirements state 4 s"),
    Promise(STORE_READS, 2000, "the object API handles about two thousand reads a second"),
    Promise(STORE_WRITES, 300, "the object API handles several hundred writes a second"),
    Promise(ROOT_VALUE, 1000, "the object API holds values up to a megabyte"),
]


@dataclass
class Plot:
    file: str
    title: str
    row: Row
    limit: float


PLOTS = [
    Plot("control-bytes.svg", "Control bytes out of the busiest router", OWNER_CONTROL_OUT, 22),
    Plot("store-calls.svg", "Reads, lists and watches of the store", STORE_READS, 2000),
    Plot("memory.svg", "Memory of one router", ROUTER_MEMORY, 256),
]
