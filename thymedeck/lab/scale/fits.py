"""Lines through what was measured, and charts of it. numpy and matplotlib are the extra `scale`."""

from collections.abc import Iterable
from pathlib import Path

import numpy
from msgspec import Struct

from .rows import Sheet

Points = list[tuple[float, float]]


class Fit(Struct, frozen=True):
    """y = intercept + slope x. `spread`: of a repeat from the mean at its size, the most; nan without."""

    points: int
    least: float
    most: float
    slope: float
    intercept: float
    r2: float
    spread: float
    power: float  # of x by which y grows, through the logarithms; nan where something is not above 0

    def at(self, x: float) -> float:
        return self.intercept + self.slope * x


def fit(points: Points) -> Fit:
    """Raises ValueError where there are not two sizes."""
    xs, ys = (numpy.array(side) for side in zip(*points, strict=True)) if points else ([], [])
    if len(set(xs)) < 2:
        raise ValueError("a line needs two sizes")
    slope, intercept = numpy.polyfit(xs, ys, 1)
    rest, whole = ys - (slope * xs + intercept), ys - ys.mean()
    r2 = 1 - (rest @ rest) / (whole @ whole) if whole @ whole else 1.0
    means = {x: ys[xs == x].mean() for x in set(xs)}
    off = [abs(y / means[x] - 1) for x, y in zip(xs, ys, strict=True) if means[x]]
    spread = max(off, default=0.0) if len(means) < len(xs) else float("nan")
    sound = (xs > 0).all() and (ys > 0).all()
    power = numpy.polyfit(numpy.log(xs), numpy.log(ys), 1)[0] if sound else float("nan")
    return Fit(
        len(xs), float(min(xs)), float(max(xs)), float(slope), float(intercept), float(r2), float(spread),
        float(power),
    )  # fmt: skip


class Line(Struct, frozen=True):
    """What is fitted: column `y` by column `x` of a sheet, of the rows for which `only` holds."""

    sheet: str
    x: str
    y: str
    unit: str
    only: dict[str, object] = {}
    scale: float = 1.0  # y is multiplied by this


HEADS = ("sheet", "by", "figure", "unit", "measured at", "rows", "slope", "at 0", "R2", "spread", "power")


def table(sheets: dict[str, Sheet], lines: Iterable[Line]) -> list[str]:
    """Rows of Markdown."""
    rows = ["| " + " | ".join(HEADS) + " |", "| --- " * len(HEADS) + "|"]
    for line in lines:
        points = sheets[line.sheet].figures(line.x, line.y, **line.only)
        points = [(x, y * line.scale) for x, y in points]
        name = line.y + "".join(f", {key} {value}" for key, value in line.only.items())
        try:
            found = fit(points)
        except ValueError:
            cells = [line.sheet, line.x, name, line.unit, "not measured", str(len(points)), *["-"] * 5]
        else:
            cells = [
                line.sheet, line.x, name, line.unit, f"{found.least:g} to {found.most:g}", str(found.points),
                f"{found.slope:.4g}", f"{found.intercept:.4g}", f"{found.r2:.3f}", f"{found.spread:.2f}",
                f"{found.power:.2f}",
            ]  # fmt: skip
        rows.append("| " + " | ".join(cells) + " |")
    return rows


def chart(path: Path, title: str, sheet: Sheet, lines: list[Line], target: float) -> None:
    """Points and their lines, drawn on to the target's size."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "thymedeck"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for line in lines:
        points = [(x, y * line.scale) for x, y in sheet.figures(line.x, line.y, **line.only)]
        if len({x for x, _ in points}) < 2:
            continue
        found = fit(points)
        dots = axes.plot(*zip(*points, strict=True), ".", label=f"{line.y}, {line.unit}")
        ends = [found.least, max(found.most, target)]
        axes.plot(ends, [found.at(x) for x in ends], "--", linewidth=0.8, color=dots[0].get_color())
    axes.axvline(target, color="grey", linewidth=0.6)
    axes.set(title=title, xlabel=f"{lines[0].x} (grey: the target)", ylim=(0, None))
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
