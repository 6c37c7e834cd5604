"""Slopes in place of points: how a figure grows with the size, and the size at which it breaks its budget.

A fit is `a + b * shape(N)` by least squares on relative errors, so that small sizes count as much as large
ones. A figure that falls with the size is fitted as constant: no need is told that gets less than what was
seen.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from statistics import median

from mintmast.lab.scale.record import Row

# sizes that a fit needs: with two numbers fitted, fewer would hit each point whatever the shape
LEAST_SIZES = 4
# and how many times the smallest the largest must be: over a narrow span every shape looks straight
LEAST_SPAN = 4
# a steeper shape is taken only where it leaves at most this part of the milder one's error: noise bends
BETTER = 0.8
# root mean square of relative errors up to which a figure counts as constant: repeated runs differ by as much
FLAT = 0.01
# part of the largest value below which values weigh alike, so that a figure near 0 does not rule the fit
FLOOR = 0.01
# largest size at which a need is looked for: no fleet comes near it
MOST_SIZE = 1e9

# mildest first; each 0 or more from size 1 on
SHAPES: dict[str, Callable[[float], float]] = {
    "constant": lambda _: 0.0,
    "log N": lambda n: math.log(max(n, 1.0)),
    "N": lambda n: n,
    "N log N": lambda n: n * math.log(max(n, 1.0)),
    "N^2": lambda n: n * n,
}


@dataclass(frozen=True, slots=True)
class Point:
    """A figure at a size, over its seeds."""

    size: int
    least: float
    mid: float
    most: float
    count: int


@dataclass(frozen=True, slots=True)
class Fit:
    """`a + b * shape(N)`; `residual` is the root mean square of relative errors, the sizes those measured."""

    shape: str
    a: float
    b: float
    residual: float
    smallest: int
    largest: int
    rivals: tuple[Fit, ...] = ()  # other shapes that fit nearly as well

    def at(self, size: float) -> float:
        """Give the value at a size; never below 0."""
        return max(0.0, self.a + self.b * SHAPES[self.shape](size))

    def between(self, size: float) -> tuple[float, float]:
        """Give the least and most that this shape and its rivals give: what the sizes leave open."""
        values = [each.at(size) for each in (self, *self.rivals)]
        return min(values), max(values)

    def beyond(self, size: float) -> float:
        """Give how many times the largest measured size this one is."""
        return size / self.largest


@dataclass(frozen=True, slots=True)
class Series:
    """One figure over its sizes, with its fit where there are sizes enough."""

    figure: str
    over: str
    net: str
    parts: str
    unit: str
    points: tuple[Point, ...]
    fit: Fit | None
    notes: tuple[str, ...] = ()

    def point(self, size: int) -> Point | None:
        """Give the point at a size, where it was measured."""
        return next((each for each in self.points if each.size == size), None)


def points(rows: Iterable[Row]) -> tuple[Point, ...]:
    """Sum up rows of one figure, by size."""
    sizes: dict[int, list[float]] = {}
    for row in rows:
        sizes.setdefault(row.size, []).append(row.value)
    return tuple(Point(n, min(v), float(median(v)), max(v), len(v)) for n, v in sorted(sizes.items()))


def fit(measured: Sequence[Point]) -> Fit | None:
    """Fit the middle values; None where there are too few sizes, or too close together."""
    if len(measured) < LEAST_SIZES or measured[-1].size < LEAST_SPAN * measured[0].size:
        return None
    top = max(abs(each.mid) for each in measured)
    scale = [max(abs(each.mid), FLOOR * top) or 1.0 for each in measured]
    best: Fit | None = None
    least = math.inf
    tried: list[tuple[float, Fit]] = []
    for name in SHAPES:
        each = _fitted(name, measured, scale)
        if each is None:
            continue
        free = len(measured) - (1 if name == "constant" else 2)
        error = each.residual * math.sqrt(len(measured) / free)
        tried.append((error, each))
        if best is None or error < BETTER * least:
            best, least = each, error
        if name == "constant" and each.residual <= FLAT:
            return best
    if best is None:
        return None
    return replace(best, rivals=tuple(f for e, f in tried if f is not best and BETTER * e <= least))


def _fitted(name: str, measured: Sequence[Point], scale: Sequence[float]) -> Fit | None:
    """Fit one shape; None where it would fall with the size."""
    xs = [SHAPES[name](each.size) for each in measured]
    ys = [each.mid for each in measured]
    weights = [1 / (s * s) for s in scale]
    total = sum(weights)
    mean_x = sum(w * x for w, x in zip(weights, xs, strict=True)) / total
    mean_y = sum(w * y for w, y in zip(weights, ys, strict=True)) / total
    spread = sum(w * (x - mean_x) ** 2 for w, x in zip(weights, xs, strict=True))
    b = 0.0
    if name != "constant":
        b = sum(w * (x - mean_x) * (y - mean_y) for w, x, y in zip(weights, xs, ys, strict=True))
        b = b / spread if spread else 0.0
        if b <= 0:
            return None
    a = mean_y - b * mean_x
    errors = [(a + b * x - y) / s for x, y, s in zip(xs, ys, scale, strict=True)]
    residual = math.sqrt(sum(e * e for e in errors) / len(errors))
    return Fit(name, a, b, residual, measured[0].size, measured[-1].size)


def breaks_at(fitted: Fit, budget: float) -> float | None:
    """Give the size at which the need passes the budget, 1 where it does from the start; None if never."""
    if fitted.at(1) > budget:
        return 1.0
    if fitted.at(MOST_SIZE) <= budget:
        return None
    low, high = 1.0, MOST_SIZE
    while high / low > 1.0001:
        middle = math.sqrt(low * high)
        low, high = (low, middle) if fitted.at(middle) > budget else (middle, high)
    return high


def series(rows: Iterable[Row]) -> list[Series]:
    """Give each figure of the rows over its sizes. Raises ValueError where one has two units."""
    kinds: dict[tuple[str, str, str, str], list[Row]] = {}
    for row in rows:
        kinds.setdefault((row.figure, row.over, row.net, row.parts), []).append(row)
    return [_series(key, kept) for key, kept in sorted(kinds.items())]


def _series(key: tuple[str, str, str, str], rows: list[Row]) -> Series:
    units = sorted({row.unit for row in rows})
    if len(units) > 1:
        raise ValueError(f"{key[0]} over {key[1]} is recorded in {' and in '.join(units)}")
    measured = points(rows)
    notes = tuple(sorted({row.note for row in rows if row.note}))
    return Series(*key, units[0], measured, fit(measured), notes)
