"""Sizes, roles and promises: what is extrapolated, from which figures, and which mechanism carries it."""

from dataclasses import dataclass

KILO = 1000.0
MEGA = 1000.0 * 1000.0

# Variables of a size. Rates are those of the whole fleet; changes_per_second over the day's mean.
SIZES = {
    "Kandy": {
        "routers": 8, "targets": 16, "organisations": 10, "data_centres": 4, "regions": 1,
        "requests_per_second": 18, "changes_per_second": 0.001,
    },
    "Hanbit": {
        "routers": 8, "targets": 12, "organisations": 10, "data_centres": 3, "regions": 1,
        "requests_per_second": 14, "changes_per_second": 0.001,
    },
    "design": {
        "routers": 330, "targets": 4300, "organisations": 36000, "data_centres": 16, "regions": 6,
        "requests_per_second": 4800, "changes_per_second": 8300 / 86400.0,
    },
}


def with_derived(size):
    """Adds what a single router sees."""
    result = dict(size)
    result["requests_per_router"] = size["requests_per_second"] / size["routers"]
    result["region_routers"] = size["routers"] / size["regions"]
    result["region_targets"] = size["targets"] / size["regions"]
    return result


@dataclass
class Term:
    """A fitted figure, times a variable of the size (or 1)."""

    bench: str
    figure: str
    variables: tuple = ()
    times: str = ""


@dataclass
class Row:
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
    "entry router", "processor time for control", "% of a core", 0.01,
    [fleet("idle_cpu", "routers")],
    "probes at constant rate, share leases by owner", "src/membership, src/ownership",
)
ROUTER_CONTROL_OUT = Row(
    "entry router", "control bytes out", "KB/s", KILO,
    [fleet("control_bytes_out", "routers", "requests_per_router")],
    "probes at constant rate; reservations in proportion to own requests",
    "src/membership, src/ownership",
)
ROUTER_CONTROL_IN = Row(
    "entry router", "control bytes in", "KB/s", KILO,
    [fleet("control_bytes_in", "routers", "requests_per_router")],
    "as for bytes out", "src/membership, src/ownership",
)
ROUTER_MEMORY = Row(
    "entry router", "memory", "MB", MEGA,
    [fleet("memory", "routers", "targets", "organisations")],
    "configuration, targets and members as values", "src/config, src/placement",
)
STORE_READS = Row(
    "store", "reads, lists and watches", "a second", 1.0,
    [fleet("store_reads", "routers")],
    "two relays in each region hold the watch", "src/store",
)
STORE_WRITES = Row(
    "store", "writes", "a second", 1.0,
    [fleet("store_writes", "routers")],
    "roster and claims by conditional update", "src/membership, src/claims",
)
CHANGE_DELAY = Row(
    "configuration relay", "accepted change in force everywhere", "s", 1.0,
    [fleet("change_delay", "routers")],
    "watch by relays, push to the rest", "src/store",
)
ROOT_VALUE = Row(
    "store", "largest value", "KB", KILO,
    [fleet("largest_value", "organisations")],
    "organisations in chunks, one root", "src/store",
)

ROWS = [
    ROUTER_CPU, ROUTER_CONTROL_OUT, ROUTER_CONTROL_IN, ROUTER_MEMORY,
    CHANGE_DELAY, STORE_READS, STORE_WRITES, ROOT_VALUE,
]

PROMISES = [
    Promise(ROUTER_CPU, 3.4, "the letter allows 3.4% of a core for control"),
    Promise(ROUTER_CONTROL_OUT, 22, "the letter allows 22 KB/s for control"),
    Promise(ROUTER_CONTROL_IN, 22, "the letter allows 22 KB/s for control"),
    Promise(ROUTER_MEMORY, 256, "the letter allows 256 MB"),
    Promise(CHANGE_DELAY, 4, "the letter asks for 4 s"),
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
    Plot("control-bytes.svg", "Control bytes out of one router", ROUTER_CONTROL_OUT, 22),
    Plot("store-calls.svg", "Reads, lists and watches of the store", STORE_READS, 2000),
    Plot("memory.svg", "Memory of one router", ROUTER_MEMORY, 256),
]
