"""Reads measured points from result files and fits linear functions to them.

A result file has one JSON object per line: {"bench","figure","value","unit","baseline"} and, where the
figure depends on sizes, "at": {"routers": 9, ...}. Lines without "at" are single figures.
"""

import json
import math
from dataclasses import dataclass, field


class ResultError(Exception):
    """A result file with a malformed line."""


@dataclass
class Point:
    bench: str
    figure: str
    value: float
    unit: str
    # Size at which it was measured, by variable.
    at: dict


@dataclass
class Fit:
    """value = intercept + sum of slope * variable."""

    intercept: float
    slopes: dict
    ranges: dict
    # Root mean square of the residuals, and the largest one, as shares of the mean value.
    residual: float
    worst_residual: float
    points: int
    unit: str
    # Variables without a slope, as the points do not vary them enough.
    constant: list = field(default_factory=list)

    def predict(self, size):
        value = self.intercept
        for name, slope in self.slopes.items():
            value += slope * size[name]
        return max(value, 0.0)

    def extrapolation(self, size):
        """Largest factor by which the size exceeds the measured range."""
        factor = 1.0
        for name in list(self.slopes) + self.constant:
            highest = self.ranges[name][1]
            if highest > 0:
                factor = max(factor, size[name] / highest)
        return factor


def read_points(paths):
    points = []
    for path in paths:
        with open(path, encoding="utf-8") as file:
            for number, line in enumerate(file, 1):
                if line.strip():
                    points.append(read_point(line, f"{path}:{number}"))
    return points


def read_point(line, place):
    try:
        item = json.loads(line)
        value = float(item["value"])
        at = {name: float(x) for name, x in item.get("at", {}).items()}
        point = Point(item["bench"], item["figure"], value, item["unit"], at)
    except (ValueError, KeyError, TypeError, AttributeError) as reason:
        raise ResultError(f"{place}: {reason!r}") from reason
    if not math.isfinite(value):
        raise ResultError(f"{place}: the value is not a finite number")
    return point


def solve(matrix, right):
    """Gaussian elimination with pivoting. Returns None for a singular matrix."""
    size = len(right)
    rows = [list(row) + [right[i]] for i, row in enumerate(matrix)]
    for i in range(size):
        pivot = max(range(i, size), key=lambda r: abs(rows[r][i]))
        if abs(rows[pivot][i]) < 1e-12:
            return None
        rows[i], rows[pivot] = rows[pivot], rows[i]
        for r in range(size):
            if r == i:
                continue
            factor = rows[r][i] / rows[i][i]
            rows[r] = [a - factor * b for a, b in zip(rows[r], rows[i])]
    return [rows[i][size] / rows[i][i] for i in range(size)]


def least_squares(columns, values):
    """Returns the coefficients of the columns, or None if the columns are linearly dependent."""
    normal = [[sum(a * b for a, b in zip(x, y)) for y in columns] for x in columns]
    right = [sum(a * v for a, v in zip(x, values)) for x in columns]
    return solve(normal, right)


def fit(points, variables):
    """Fits a linear function of the variables to the points. Returns None if there are no points."""
    points = [p for p in points if all(name in p.at for name in variables)]
    if not points:
        return None
    values = [p.value for p in points]
    ranges = {n: (min(p.at[n] for p in points), max(p.at[n] for p in points)) for n in variables}
    varied = [n for n in variables if ranges[n][0] < ranges[n][1]]
    constant = [n for n in variables if n not in varied]
    solution = None
    while solution is None:
        # Scaled columns keep the normal equations well conditioned.
        scales = [ranges[n][1] for n in varied]
        columns = [[1.0] * len(points)]
        columns += [[p.at[n] / s for p in points] for n, s in zip(varied, scales)]
        if len(points) > len(varied):
            solution = least_squares(columns, values)
        if solution is None:
            constant.append(varied.pop())
    slopes = {n: x / s for n, x, s in zip(varied, solution[1:], scales)}
    result = Fit(solution[0], slopes, ranges, 0.0, 0.0, len(points), points[0].unit, constant)
    errors = [p.value - result.intercept - sum(slopes[n] * p.at[n] for n in varied) for p in points]
    mean = sum(abs(v) for v in values) / len(values)
    if mean > 0:
        result.residual = math.sqrt(sum(e * e for e in errors) / len(errors)) / mean
        result.worst_residual = max(abs(e) for e in errors) / mean
    return result
