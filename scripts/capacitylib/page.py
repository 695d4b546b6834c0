"""Formats the tables of docs/CAPACITY.md and replaces the text between its markers."""

import re

from .model import SIZES


def number(value):
    if value is None:
        return "not measured"
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"


def table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def sizes_table():
    names = list(SIZES)
    variables = SIZES["design"]
    rows = [[v.replace("_", " ")] + [number(SIZES[n][v]) for n in names] for v in variables]
    return table(["size"] + names, rows)


def roles_table(extrapolation, rows):
    lines = []
    for row in rows:
        fitted = {name: extrapolation.estimate(row, size) for name, size in SIZES.items()}
        design = fitted["design"]
        cells = [row.role, f"{row.quantity} ({row.unit})"]
        cells += [number(fitted[name].value) for name in SIZES]
        cells += [f"{design.extrapolation:.1f}", f"{100 * design.residual:.0f}%"]
        cells += [row.mechanism, f"`{row.source}`".replace(", ", "`, `")]
        lines.append(cells)
    header = ["role", "figure", *SIZES, "extrapolated by", "worst residual", "carried by", "source"]
    return table(header, lines)


def fits_table(extrapolation):
    lines = []
    for (bench, figure, _), fitted in sorted(extrapolation.fits.items()):
        if fitted is None:
            lines.append([f"{bench}/{figure}", "not measured", "", "", "", ""])
            continue
        formula = f"{fitted.intercept:.3g}"
        for name, slope in fitted.slopes.items():
            formula += f" + {slope:.3g} x {name.replace('_', ' ')}"
        ranges = ", ".join(
            f"{name.replace('_', ' ')} {low:g} to {high:g}"
            for name, (low, high) in fitted.ranges.items()
        )
        constant = ", ".join(fitted.constant).replace("_", " ") or "-"
        residual = f"{100 * fitted.residual:.1f}% ({100 * fitted.worst_residual:.1f}%)"
        cells = [f"{bench}/{figure} ({fitted.unit})", formula, ranges, constant, residual]
        lines.append(cells + [str(fitted.points)])
    header = ["figure", "fit", "measured range", "not varied", "residual rms (worst)", "points"]
    return table(header, lines)


def promises_table(extrapolation, promises):
    lines = []
    for promise in promises:
        fitted = extrapolation.estimate(promise.row, SIZES["design"])
        verdict = "not measured"
        if fitted.value is not None:
            verdict = "met" if fitted.value <= promise.limit else "NOT MET"
        name = f"{promise.row.role}, {promise.row.quantity}"
        limit = f"{promise.limit:g} {promise.row.unit}"
        lines.append([name, limit, number(fitted.value), verdict])
    return table(["promise at the design size", "limit", "extrapolated", "verdict"], lines)


def replace_section(text, name, content):
    begin, end = f"<!-- capacity:{name}:begin -->", f"<!-- capacity:{name}:end -->"
    pattern = re.compile(re.escape(begin) + ".*?" + re.escape(end), re.S)
    if not pattern.search(text):
        raise SystemExit(f"the page lacks the markers {begin} and {end}")
    return pattern.sub(lambda _: f"{begin}\n{content}\n{end}", text)
