"""Straight lines fitted to measured rows, and charts; numpy and matplotlib are in the extra `scale`."""

from collections.abc import Iterable
from pathlib import Path

import numpy
from msgspec import Struct

from .rows import CsvTable

Points = list[tuple[float, float]]


class Fit(Struct, frozen=True):
    """The line y = intercept + slope * x through measured points."""

    points: int
    x_min: float
    x_max: float
    slope: float
    intercept: float
    r2: float
    spread: float  # largest relative deviation of a point from the mean at its x; nan without repeats
    power: float  # exponent p of the best fit y ~ x ** p; nan if some value is not above 0

    def at(self, x: float) -> float:
        return self.intercept + self.slope * x


def fit_line(points: Points) -> Fit:
    """Raises ValueError if the points do not have at least two different x."""
    xs, ys = (numpy.array(values) for values in zip(*points, strict=True)) if points else ([], [])
    if len(set(xs)) < 2:
        raise ValueError("a line needs points at two sizes or more")
    slope, intercept = numpy.polyfit(xs, ys, 1)
    residuals, deviations = ys - (slope * xs + intercept), ys - ys.mean()
    r2 = 1 - (residuals @ residuals) / (deviations @ deviations) if deviations @ deviations else 1.0
    means = {x: ys[xs == x].mean() for x in set(xs)}
    relative = [abs(y / means[x] - 1) for x, y in zip(xs, ys, strict=True) if means[x]]
    spread = max(relative, default=0.0) if len(means) < len(xs) else float("nan")
    is_positive = (xs > 0).all() and (ys > 0).all()
    power = numpy.polyfit(numpy.log(xs), numpy.log(ys), 1)[0] if is_positive else float("nan")
    return Fit(
        len(xs), float(min(xs)), float(max(xs)), float(slope), float(intercept), float(r2), float(spread),
        float(power),
    )  # fmt: skip


class Series(Struct, frozen=True):
    """What is fitted: column `y` by column `x` of a table, of the rows that match `only`."""

    table: str  # name of the CSV file
    x: str
    y: str
    unit: str
    only: dict[str, object] = {}
    scale: float = 1.0  # factor by which y is multiplied


COLUMNS = ("sheet", "by", "figure", "unit", "measured at", "rows", "slope", "at 0", "R2", "spread", "power")


def format_table(tables: dict[str, CsvTable], series: Iterable[Series]) -> list[str]:
    """Lines of a Markdown table with one fit in each row."""
    rows = ["| " + " | ".join(COLUMNS) + " |", "| --- " * len(COLUMNS) + "|"]
    for one in series:
        points = tables[one.table].points(one.x, one.y, **one.only)
        points = [(x, y * one.scale) for x, y in points]
        name = one.y + "".join(f", {key} {value}" for key, value in one.only.items())
        try:
            fit = fit_line(points)
        except ValueError:
            cells = [one.table, one.x, name, one.unit, "not measured", str(len(points)), *["-"] * 5]
        else:
            cells = [
                one.table, one.x, name, one.unit, f"{fit.x_min:g} to {fit.x_max:g}", str(fit.points),
                f"{fit.slope:.4g}", f"{fit.intercept:.4g}", f"{fit.r2:.3f}", f"{fit.spread:.2f}",
                f"{fit.power:.2f}",
            ]  # fmt: skip
        rows.append("| " + " | ".join(cells) + " |")
    return rows


def draw_chart(path: Path, title: str, table: CsvTable, series: list[Series], target: float) -> None:
    """Draws the points and their fitted lines as SVG, extended to the target's size."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "thymedeck"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for one in series:
        points = [(x, y * one.scale) for x, y in table.points(one.x, one.y, **one.only)]
        if len({x for x, _ in points}) < 2:
            continue
        fit = fit_line(points)
        dots = axes.plot(*zip(*points, strict=True), ".", label=f"{one.y}, {one.unit}")
        ends = [fit.x_min, max(fit.x_max, target)]
        axes.plot(ends, [fit.at(x) for x in ends], "--", linewidth=0.8, color=dots[0].get_color())
    axes.axvline(target, color="grey", linewidth=0.6)
    axes.set(title=title, xlabel=f"{series[0].x} (grey: the target)", ylim=(0, None))
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
