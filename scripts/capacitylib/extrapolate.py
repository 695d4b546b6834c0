"""Computes each row of the model at a size from the fits, and checks the promises."""

from dataclasses import dataclass

from . import fit as fitting
from .model import with_derived


@dataclass
class Estimate:
    """A row at one size. The value is None if a figure that it needs was not measured."""

    value: float
    # Largest factor by which the size exceeds the measured range.
    extrapolation: float
    # Largest residual of the fits, as a share of the mean value.
    residual: float
    # "bench/figure" of each figure without points.
    missing: list


class Extrapolation:
    def __init__(self, points):
        self.points = points
        self.fits = {}

    def fit_of(self, term):
        key = (term.bench, term.figure, term.variables)
        if key not in self.fits:
            points = [p for p in self.points if (p.bench, p.figure) == key[:2]]
            self.fits[key] = fitting.fit(points, term.variables)
        return self.fits[key]

    def estimate(self, row, size):
        size = with_derived(size)
        value, factor, residual, missing = 0.0, 1.0, 0.0, []
        for term in row.terms:
            fit = self.fit_of(term)
            if fit is None:
                missing.append(f"{term.bench}/{term.figure}")
                continue
            predicted = fit.predict(size)
            value += predicted * (size[term.times] if term.times else 1.0)
            factor = max(factor, fit.extrapolation(size))
            residual = max(residual, fit.worst_residual)
        if missing:
            return Estimate(None, factor, residual, missing)
        return Estimate(value / row.scale, factor, residual, missing)

    def unmet(self, promises, size):
        """A message for each promise that is not met or cannot be checked."""
        messages = []
        for promise in promises:
            estimate = self.estimate(promise.row, size)
            name = f"{promise.row.role}, {promise.row.quantity}"
            if estimate.value is None:
                messages.append(f"{name}: not measured ({', '.join(estimate.missing)}); {promise.text}")
            elif estimate.value > promise.limit:
                messages.append(
                    f"{name}: {estimate.value:.3g} {promise.row.unit} exceeds {promise.limit:g}; "
                    f"{promise.text}"
                )
        return messages
