"""Draws the curves of `docs/capacity/tables.toml` to small SVG files; both axes are logarithmic."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from mintmast.lab.scale.sheet import Book, Plot, converted

# bytes of a picture in the tree
MOST_BYTES = 60_000
# points of a fitted curve
CURVE = 40


def draw(folder: Path) -> list[str]:
    """Draw all; give a line for each. Raises ImportError without matplotlib, ValueError as `Book` does."""
    import matplotlib

    matplotlib.use("Agg")
    # text stays text and ids are the same at each run, so that a picture changes only with its figures
    matplotlib.rcParams.update({"svg.fonttype": "none", "svg.hashsalt": "scale", "font.size": 8})
    from matplotlib import pyplot

    book = Book(folder)
    told = []
    for plot in book.sheet.plots:
        figure, axes = pyplot.subplots(figsize=(6, 3.6), layout="constrained")
        drawn = _curves(book, plot, axes)
        path = folder / f"{plot.name}.svg"
        if drawn:
            figure.savefig(path, metadata={"Date": None})
        pyplot.close(figure)
        told.append(f"{path.name}: {drawn} curves" if drawn else f"{path.name}: not measured, not drawn")
        if drawn and path.stat().st_size > MOST_BYTES:
            raise ValueError(f"{path.name}: {path.stat().st_size} bytes, {MOST_BYTES} at most")
    return told


def _curves(book: Book, plot: Plot, axes: Any) -> int:
    """Draw a plot's lines; give how many were there. Values of 0 have no place on a logarithmic axis."""
    drawn, over, unit = 0, "", ""
    for line in plot.lines:
        chosen = book.chosen(line)
        points = [p for p in chosen[0][0].points if p.least > 0] if chosen else []
        if not points:
            continue
        series, target = chosen[0][0], book.sheet.targets[line.target or line.over]
        if unit and series.unit != unit:
            raise ValueError(f"tables.toml: plot {plot.name}: {line.figure} is in {series.unit}, not {unit}")
        drawn, over, unit = drawn + 1, line.over, series.unit
        mids = [p.mid for p in points]
        below, above = [p.mid - p.least for p in points], [p.most - p.mid for p in points]
        sizes = [p.size for p in points]
        shown = axes.errorbar(sizes, mids, [below, above], fmt="o", ms=3, capsize=2, label=line.label)
        colour = shown[0].get_color()
        if series.fit is not None:
            span = max(target.value, sizes[-1]) / sizes[0]
            curve = [sizes[0] * span ** (n / CURVE) for n in range(CURVE + 1)]
            axes.plot(
                curve, [series.fit.at(size) or float("nan") for size in curve], "-", lw=0.8, color=colour
            )
        if line.budget:
            budget = converted(book.sheet.budgets[line.budget], unit, line.label)
            axes.axhline(budget, ls=":", lw=0.8, color=colour)
        axes.axvline(target.value, ls="--", lw=0.6, color="grey")
    axes.set(xscale="log", yscale="log", xlabel=over, ylabel=unit, title=plot.title)
    if drawn:
        axes.legend(fontsize=7)
    return drawn
