"""Works out the rows and promises at each size."""

from dataclasses import dataclass

from . import fit as fitting
from .model import with_derived


@dataclass
class Estimate:
    """None as value: a figure that it needs was not measured."""

    value: float
    extrapolation: float
    residual: float
    missing: list


class Extrapolation:
    def __init__(self, points):
        self.points = points
        self.fits = {}

    def fit_of(self, term):
        key = (term.bench, term.figure, term.variables)
        if key not in self.fits:
            found = [p for p in self.points if (p.bench, p.figure) == key[:2]]
            self.fits[key] = fitting.fit(found, term.variables)
        return self.fits[key]

    def estimate(self, row, size):
        size = with_derived(size)
        value, factor, residual, missing = 0.0, 1.0, 0.0, []
        for term in row.terms:
            found = self.fit_of(term)
            if found is None:
                missing.append(f"{term.bench}/{term.figure}")
                continue
            part = found.predict(size)
            value += part * (size[term.times] if term.times else 1.0)
            factor = max(factor, found.extrapolation(size))
            residual = max(residual, found.worst_residual)
        if missing:
            return Estimate(None, factor, residual, missing)
        return Estimate(value / row.scale, factor, residual, missing)

    def unmet(self, promises, size):
        """Sentences on each promise that is not met or cannot be judged."""
        faults = []
        for promise in promises:
            found = self.estimate(promise.row, size)
            name = f"{promise.row.role}, {promise.row.quantity}"
            if found.value is None:
                faults.append(f"{name}: not measured ({', '.join(found.missing)}); {promise.text}")
            elif found.value > promise.limit:
                faults.append(
                    f"{name}: {found.value:.3g} {promise.row.unit} exceeds {promise.limit:g}; "
                    f"{promise.text}"
                )
        return faults
