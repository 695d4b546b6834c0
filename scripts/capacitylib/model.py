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
