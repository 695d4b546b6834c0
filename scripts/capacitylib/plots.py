"""Plots measured points, fit and limit over the number of routers, as SVG with gnuplot."""

import os
import subprocess

from .model import SIZES

STEPS = (1, 2, 4, 8, 16, 32, 64, 128, 330)

SCRIPT = """set terminal svg size 640,400 font "sans-serif,12"
set output "{output}"
set title "{title}"
set xlabel "routers"
set ylabel "{unit}"
set logscale x 2
set xrange [1:400]
set yrange [0:*]
set key left top
plot $points using 1:2 with points pt 7 title "measured", \\
     $line using 1:2 with lines title "fit, other sizes as designed", \\
     {limit} with lines dashtype 2 title "limit"
"""


def block(name, rows):
    return f"${name} << END\n" + "".join(f"{x:g} {y:g}\n" for x, y in rows) + "END\n"


def measured(extrapolation, row):
    term = row.terms[0]
    return [
        (point.at["routers"], point.value / row.scale)
        for point in extrapolation.points
        if (point.bench, point.figure) == (term.bench, term.figure) and "routers" in point.at
    ]


def fitted(extrapolation, row):
    """The fit over the number of routers.

    Targets, organisations and requests are scaled with the routers; other variables are as designed.
    """
    design = SIZES["design"]
    line = []
    for routers in STEPS:
        share = routers / design["routers"]
        size = dict(design, routers=routers)
        for name in ("targets", "organisations", "requests_per_second"):
            size[name] = design[name] * share
        line.append((routers, extrapolation.estimate(row, size).value))
    return line


def draw(extrapolation, plot, folder):
    points = measured(extrapolation, plot.row)
    if not points:
        return False
    script = block("points", points) + block("line", fitted(extrapolation, plot.row))
    output = os.path.join(folder, plot.file)
    script += SCRIPT.format(
        output=output, title=plot.title, unit=plot.row.unit, limit=plot.limit
    )
    subprocess.run(["gnuplot"], input=script, text=True, check=True)
    return True
