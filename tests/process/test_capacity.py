#!/usr/bin/env python3
"""Tests scripts/capacity on synthetic results: slopes, unmet promises by name, damaged files."""

import json
import os
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "scripts"))

from capacitylib import extrapolate, fit, model  # noqa: E402

MARKERS = "".join(
    f"<!-- capacity:{name}:begin -->\nSTALE\n<!-- capacity:{name}:end -->\n"
    for name in ("sizes", "roles", "promises", "fits")
)


def expect(condition, text):
    if not condition:
        sys.exit(f"FAILED: {text}")


def result_lines(figure, unit, function):
    """Result lines in which each variable of the model is varied on its own."""
    result = []
    base = {"routers": 3, "regions": 1, "targets": 60, "organisations": 100,
            "requests_per_router": 10, "region_routers": 3, "region_shards": 2,
            "shard_requests": 20, "shard_targets": 30}
    for name in base:
        for factor in (1, 2, 4, 8):
            at = dict(base, **{name: base[name] * factor})
            item = {"bench": "fleet", "figure": figure, "value": function(at), "unit": unit}
            result.append(json.dumps(dict(item, baseline=None, at=at)))
    return result


def results(**overrides):
    functions = {
        "idle_cpu_mean": lambda at: 0.001,
        "idle_cpu": lambda at: 0.001 + 0.0001 * at["shard_targets"],
        "control_bytes_out_mean": lambda at: 1000 + 50 * at["requests_per_router"],
        "control_bytes_in_mean": lambda at: 1000 + 2 * at["region_routers"],
        "control_bytes_out": lambda at: 1000 + 50 * at["shard_requests"],
        "control_bytes_in": lambda at: 1000 + 2 * at["region_routers"],
        "memory": lambda at: 1e7 + 1000 * at["targets"] + 500 * at["organisations"],
        "store_reads": lambda at: 5 + 0.1 * at["routers"],
        "store_writes": lambda at: 0.5,
        "change_delay": lambda at: 0.2,
        "largest_value": lambda at: 1000.0,
    }
    functions.update(overrides)
    return "\n".join(
        line
        for figure, function in functions.items()
        if function
        for line in result_lines(figure, "x", function)
    )


def run(text):
    with tempfile.TemporaryDirectory() as folder:
        page = os.path.join(folder, "page.md")
        with open(page, "w", encoding="utf-8") as file:
            file.write("before\n" + MARKERS + "after\n")
        with open(os.path.join(folder, "made-up.jsonl"), "w", encoding="utf-8") as file:
            file.write(text + "\n")
        script = os.path.join(ROOT, "scripts", "capacity")
        done = subprocess.run(
            [script, "--results", folder, "--page", page, "--plots", folder],
            capture_output=True, text=True, check=False,
        )
        with open(page, encoding="utf-8") as file:
            written = file.read()
        drawn = [name for name in os.listdir(folder) if name.endswith(".svg")]
        return done.returncode, done.stdout + done.stderr, written, drawn


def check_fit():
    points = [fit.read_point(line, "x") for line in result_lines("f", "B", lambda at: 7 + 3 * at["routers"])]
    fitted = fit.fit(points, ("routers", "targets"))
    expect(abs(fitted.slopes["routers"] - 3) < 1e-6, f"slope: {fitted}")
    expect(abs(fitted.slopes["targets"]) < 1e-9, f"a variable without effect: {fitted}")
    expect(fitted.worst_residual < 1e-9, f"residual: {fitted}")
    expect(abs(fitted.extrapolation({"routers": 240, "targets": 48}) - 10) < 1e-9, "factor")
    curved = [fit.read_point(l, "x") for l in result_lines("f", "B", lambda at: at["routers"] ** 2)]
    expect(fit.fit(curved, ("routers",)).worst_residual > 0.2, "a curve shows in the residual")
    flat = [fit.Point("b", "f", 5.0, "B", {"routers": 3.0})] * 3
    fitted = fit.fit(flat, ("routers",))
    expect(fitted.constant == ["routers"] and fitted.predict({"routers": 9}) == 5, f"flat: {fitted}")
    row = model.Row("r", "q", "u", 1.0, [model.Term("b", "none", ("routers",))], "m", "s")
    missing = extrapolate.Extrapolation([]).estimate(row, model.SIZES["design"])
    expect(missing.value is None and missing.missing == ["b/none"], f"missing: {missing}")


def check_page():
    code, out, written, drawn = run(results())
    expect(code == 0, f"all promises are met: {out}")
    expect("STALE" not in written and written.startswith("before"), "tables replace old ones")
    expect(written.endswith("after\n"), "the text around stays")
    expect(len(drawn) == 3, f"plots: {drawn}")
    expect("extrapolated by" in written and "13.8" in written, "330 routers from 24")


def check_verdicts():
    broken = {
        "idle_cpu_mean": (lambda at: 0.002 * at["region_shards"], "entry router, processor time"),
        "idle_cpu": (lambda at: 0.002 * at["shard_targets"], "share owner, processor time"),
        "control_bytes_out_mean": (
            lambda at: 2000 * at["requests_per_router"], "entry router, control bytes out"
        ),
        "control_bytes_in_mean": (
            lambda at: 500 * at["region_routers"], "entry router, control bytes in"
        ),
        "control_bytes_out": (lambda at: 800 * at["shard_requests"], "share owner, control bytes out"),
        "control_bytes_in": (lambda at: 500 * at["region_routers"], "share owner, control bytes in"),
        "memory": (lambda at: 1e7 + 1e5 * at["targets"], "memory"),
        "store_reads": (lambda at: 10 * at["routers"], "reads"),
        "store_writes": (lambda at: at["routers"], "writes"),
        "change_delay": (lambda at: 0.1 * at["routers"], "in force"),
        "largest_value": (lambda at: 100 * at["organisations"], "largest value"),
    }
    for figure, (function, name) in broken.items():
        code, out, _, _ = run(results(**{figure: function}))
        expect(code == 1 and out.count("NOT MET") == 1 and name in out, f"{figure}: {out}")
        code, out, _, _ = run(results(**{figure: None}))
        expect(code == 1 and f"fleet/{figure}" in out, f"{figure} missing: {out}")
    for damaged in ("{", '{"bench":"b","figure":"f","value":"x","unit":"u"}', '{"bench":"b"}'):
        expect(run(damaged)[0] == 2, f"damaged: {damaged}")


check_fit()
check_page()
check_verdicts()
