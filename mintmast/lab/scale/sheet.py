"""What the tables of `docs/CAPACITY.md` show: `docs/capacity/tables.toml`, and what each line comes to.

Budgets, targets and assumed numbers stand in the file by name, each with its reason; a line names them. What
was measured comes from the recorded runs alone.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from fnmatch import fnmatchcase
from pathlib import Path

import msgspec

from mintmast.lab.scale import slopes
from mintmast.lab.scale.record import Row, Run, load

# units that may stand for each other: what they count, and how many of the first of its kind
UNITS = {
    "ms": ("time", 1.0), "s": ("time", 1e3), "µs": ("time", 1e-3), "B": ("bytes", 1.0), "kB": ("bytes", 1e3),
    "MB": ("bytes", 1e6), "B/s": ("rate", 1.0), "kB/s": ("rate", 1e3), "1/s": ("events", 1.0),
    "count/s": ("events", 1.0),
}  # fmt: skip
NOT_MEASURED = "not measured"


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A key that is written wrong is refused, not passed over."""


class Number(_Strict):
    """A budget or an assumption; `why` is its reason or source."""

    value: float
    unit: str
    why: str


class Target(_Strict):
    """A size to be carried; `over` as in `Row`."""

    value: float
    over: str
    why: str


class Line(_Strict):
    """One line of a table: which series, and the names of its budget, target and assumption.

    `figure` may be a pattern (`fleet.*`) in a table of sizes. `runs` is a pattern of file names without
    `.json`; `unit` is one to show it in; `times = "size"` multiplies each value by its size, for what is
    recorded a piece.
    """

    figure: str
    role: str = ""
    what: str = ""
    over: str = "gateways"
    net: str = ""
    parts: str = ""
    runs: str = "*"
    budget: str = ""
    target: str = ""
    mechanism: str = "none"
    assumed: str = ""
    times: str = ""
    unit: str = ""

    @property
    def label(self) -> str:
        """Give what the first column says."""
        what = self.what or f"`{self.figure}`"
        return f"{self.role}: {what}" if self.role else what


class Table(_Strict):
    """`kind` is `role`, `sizes` or `next`; `next` ranks the lines of all tables of roles."""

    name: str
    title: str
    kind: str = "role"
    rows: tuple[Line, ...] = ()


class Plot(_Strict):
    """Curves of some figures of one unit over one kind of size; drawn to NAME.svg."""

    name: str
    title: str
    lines: tuple[Line, ...]


class Sheet(_Strict):
    """The whole file."""

    targets: dict[str, Target]
    budgets: dict[str, Number]
    assumed: dict[str, Number] = {}
    tables: tuple[Table, ...] = ()
    plots: tuple[Plot, ...] = ()


@dataclass(frozen=True, slots=True)
class Need:
    """What a line comes to at its target; `part` is the part of the target at which it breaks.

    `breaks` and `part` are None where it never does, is not known, or has no budget: `known` tells which.
    """

    line: Line
    series: slopes.Series | None
    files: tuple[str, ...]
    target: Target
    least: float | None
    most: float | None
    value: float | None  # the one that is held against the budget: the most measured, or the best fit's
    mark: str
    budget: float | None
    known: bool = False
    breaks: float | None = None

    @property
    def unit(self) -> str:
        """Give the unit of the values, "" where there are none."""
        return self.series.unit if self.series else ""

    @property
    def part(self) -> float | None:
        """Give the part of the target at which it breaks."""
        return None if self.breaks is None else self.breaks / self.target.value

    @property
    def share(self) -> float | None:
        """Give need over budget at the target."""
        return self.value / self.budget if self.value is not None and self.budget else None


def converted(number: Number, unit: str, about: str) -> float:
    """Give a number in another unit. Raises ValueError where they do not go together."""
    one, other = UNITS.get(number.unit, (number.unit, 1.0)), UNITS.get(unit, (unit, 1.0))
    if one[0] != other[0]:
        raise ValueError(f"{about}: {number.unit} and {unit} do not go together")
    return number.value * one[1] / other[1]


def _shown(row: Row, unit: str, about: str) -> Row:
    value = converted(Number(value=row.value, unit=row.unit, why=""), unit, about)
    return msgspec.structs.replace(row, value=value, unit=unit)


class Book:
    """The sheet with the recorded runs. Raises ValueError naming what does not fit, OSError as files do."""

    def __init__(self, folder: Path) -> None:
        """`folder` is `docs/capacity`."""
        text = (folder / "tables.toml").read_text(encoding="utf-8")
        try:
            self.sheet = msgspec.convert(tomllib.loads(text), Sheet)
        except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
            raise ValueError(f"tables.toml: {error}") from None
        self.runs: dict[str, Run] = {p.stem: load(p) for p in sorted((folder / "runs").glob("*.json"))}
        self._check()

    def _check(self) -> None:
        sheet = self.sheet
        lines = [line for table in sheet.tables for line in table.rows]
        for line in lines:
            for kind, name, names in (
                ("budget", line.budget, sheet.budgets),
                ("target", line.target or line.over, sheet.targets),
                ("assumption", line.assumed, sheet.assumed),
            ):
                if name and name not in names:
                    raise ValueError(f"tables.toml: {line.label}: no {kind} {name}")
            if line.times not in ("", "size"):
                raise ValueError(f'tables.toml: {line.label}: times is "size" or not there')
        for name, number in (*sheet.budgets.items(), *sheet.targets.items()):
            if not number.value > 0:
                raise ValueError(f"tables.toml: {name}: {number.value} is not above 0")
        for table in sheet.tables:
            if table.kind not in ("role", "sizes", "next"):
                raise ValueError(f"tables.toml: {table.name}: no kind {table.kind}")

    def chosen(self, line: Line) -> list[tuple[slopes.Series, tuple[str, ...]]]:
        """Give the series that a line names, with the files that hold them; the one of most sizes first."""
        found: list[tuple[str, Row]] = [
            (name, row)
            for name, run in self.runs.items()
            if fnmatchcase(name, line.runs)
            for row in run.rows
            if fnmatchcase(row.figure, line.figure) and row.over == line.over
            and line.net in ("", row.net) and line.parts in ("", row.parts)
        ]  # fmt: skip
        if line.times:
            found = [(n, msgspec.structs.replace(r, value=r.value * r.size)) for n, r in found]
        if line.unit:
            found = [(n, _shown(r, line.unit, line.label)) for n, r in found]
        out = []
        for each in slopes.series(row for _, row in found):
            key = each.figure, each.net, each.parts
            files = sorted({name for name, r in found if (r.figure, r.net, r.parts) == key})
            out.append((each, tuple(files)))
        return sorted(out, key=lambda one: -len(one[0].points))

    def need(self, line: Line) -> Need:
        """Work out what a line comes to."""
        target = self.sheet.targets[line.target or line.over]
        chosen = self.chosen(line)
        series, files = chosen[0] if chosen else (None, ())
        if series is None:
            return self._assumed(line, target)
        budget = self.sheet.budgets.get(line.budget)
        most = None if budget is None else converted(budget, series.unit, line.label)
        known, breaks = False, None
        if series.fit is not None and most is not None:
            known, breaks = True, slopes.breaks_at(series.fit, most)
        least, high, mark = at_size(series, target.value)
        value = high if series.fit is None or mark == "measured" else series.fit.at(target.value)
        return Need(line, series, files, target, least, high, value, mark, most, known, breaks)

    def _assumed(self, line: Line, target: Target) -> Need:
        number, budget = self.sheet.assumed.get(line.assumed), self.sheet.budgets.get(line.budget)
        if number is None:
            most = budget.value if budget else None
            return Need(line, None, (), target, None, None, None, NOT_MEASURED, most)
        most = None if budget is None else converted(budget, number.unit, line.label)
        shown = slopes.Series(line.figure, line.over, "", "", number.unit, (), None)
        value = number.value
        return Need(line, shown, (), target, value, value, value, "assumed", most)

    def needs(self) -> list[Need]:
        """Give each line of all tables of roles once."""
        lines = dict.fromkeys(line for t in self.sheet.tables if t.kind == "role" for line in t.rows)
        return [self.need(line) for line in lines]


def at_size(series: slopes.Series, size: float) -> tuple[float | None, float | None, str]:
    """Give least and most at a size, and where from: measured, or the fit with what it leaves open."""
    point = series.point(int(size)) if size == int(size) else None
    if point is not None:
        return point.least, point.most, "measured"
    if series.fit is None:
        return None, None, "no fit"
    inside = series.fit.smallest <= size <= series.fit.largest
    mark = "interpolated" if inside else f"extrapolated (×{series.fit.beyond(size):.3g})"
    return *series.fit.between(size), mark
