"""Writes `docs/CAPACITY.md` from its template, its tables and the recorded runs: no figure is typed in.

In `docs/capacity/page.md` a line `<!-- table NAME -->` becomes a table of `tables.toml`, or one of `targets`,
`budgets`, `assumed` and `runs`. In the prose stand, between double braces:

    FIGURE SIZE, FIGURE OVER SIZE   the figure at a size (a number, or the name of a target) and its mark
    target NAME, budget NAME, assumed NAME   a number of `tables.toml`
    need FIGURE, breaks FIGURE      of the first line of a table that has this figure
"""

from __future__ import annotations

import math
import re
from pathlib import Path

from mintmast.lab.scale.sheet import NOT_MEASURED, Book, Line, Need, Number, Table, Target, at_size
from mintmast.lab.scale.slopes import MOST_SIZE, Fit, Series

HEAD = "<!-- Written by `mintmast scale page` from docs/capacity/; changes go there. -->\n\n"
TABLE = re.compile(r"^<!-- table ([\w.-]+) -->$", re.MULTILINE)
PLACE = re.compile(r"\{\{([^{}\n]*)\}\}")


def number(value: float) -> str:
    """Give a number with three digits that count, never in powers of ten."""
    if value == 0:
        return "0"
    digits = 2 - math.floor(math.log10(abs(value)))
    if digits <= 0:
        return f"{round(value, digits):,.0f}"
    text = f"{value:,.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def exact(value: float) -> str:
    """Give a size, a budget or a target as it was set."""
    return f"{value:,.12g}"


def spread(least: float, most: float) -> str:
    """Give least and most, once where they read alike."""
    one, other = number(least), number(most)
    return one if one == other else f"{one}..{other}"


def write(folder: Path) -> str:
    """Give the page's text; `folder` is `docs/capacity`. Raises ValueError, OSError as `Book` does."""
    book = Book(folder)
    text = (folder / "page.md").read_text(encoding="utf-8")
    text = PLACE.sub(lambda found: _placed(book, found[1]), text)
    return HEAD + TABLE.sub(lambda found: _table(book, found[1]), text)


def _table(book: Book, name: str) -> str:
    sheet = book.sheet
    if name in ("targets", "budgets", "assumed"):
        names: dict[str, Number] | dict[str, Target] = getattr(sheet, name)
        cells = [[key, _named(each), each.why] for key, each in names.items()]
        return _markdown(["name", "number", "reason"], cells)
    if name == "runs":
        return _runs(book)
    table = next((each for each in sheet.tables if each.name == name), None)
    if table is None:
        raise ValueError(f"page.md: no table {name}")
    make = {"role": _roles, "sizes": _sizes, "next": _next}[table.kind]
    return f"**{table.title}**\n\n{make(book, table)}"


def _markdown(head: list[str], cells: list[list[str]]) -> str:
    rows = [head, ["---"] * len(head), *cells]
    return "\n".join("| " + " | ".join(c.replace("|", "\\|") for c in row) + " |" for row in rows)


def _named(each: Number | Target) -> str:
    return f"{exact(each.value)} {each.over if isinstance(each, Target) else each.unit}"


def _runs(book: Book) -> str:
    cells = []
    for name, run in book.runs.items():
        settings = ", ".join(f"{key} {value}" for key, value in run.settings.items() if value)
        machine = f"Python {run.python}, {run.cores} cores"
        cells.append(
            [f"`{name}.json`", run.name, run.program, settings or "none", machine, str(len(run.rows))]
        )
    head = ["file", "run", "program", "called with", "machine", "rows"]
    return _markdown(head, cells or [["none yet", *[NOT_MEASURED] * 5]])


def _roles(book: Book, table: Table) -> str:
    head = [
        "role and figure", "measured at sizes (least..most)", "slope", "at the target", "budget",
        "need over budget", "breaks at", "mechanism", "run",
    ]  # fmt: skip
    return _markdown(head, [_role(book, book.need(line)) for line in table.rows])


def _role(book: Book, need: Need) -> list[str]:
    series, line = need.series, need.line
    budget = book.sheet.budgets.get(line.budget)
    points = series.points if series else ()
    measured = "; ".join(f"{exact(p.size)}: {spread(p.least, p.most)}" for p in points)
    return [
        line.label,
        f"{measured} {need.unit}" if measured else NOT_MEASURED,
        slope(series.fit) if series and points else NOT_MEASURED,
        _at_target(need),
        _named(budget) if budget else "none",
        _share(need) if budget else "no budget",
        _breaks(need),
        line.mechanism,
        ", ".join(need.files) or "none",
    ]


def slope(fit: Fit | None) -> str:
    """Give a fit in words."""
    return "no fit" if fit is None else f"{fit.shape}, residual {100 * fit.residual:.1f}%"


def _share(need: Need) -> str:
    return "not known" if need.share is None else number(need.share)


def _at_target(need: Need) -> str:
    size = f"{exact(need.target.value)} {need.target.over}"
    if need.least is None or need.most is None:
        return f"{need.mark} (for {size})"
    return f"{spread(need.least, need.most)} {need.unit} at {size}, {need.mark}"


def _breaks(need: Need) -> str:
    if need.budget is None:
        return "no budget"
    if not need.known:
        return NOT_MEASURED if need.mark == NOT_MEASURED else "not known"
    if need.breaks is None or need.part is None:
        return f"never (looked to {exact(MOST_SIZE)})"
    if need.breaks <= 1:
        return "any size"
    return f"{number(need.breaks)} {need.target.over}, {_part(need.part)} the target"


def _part(part: float) -> str:
    return f"{number(100 * part)}% of" if part < 2 else f"{number(part)} times"


def _sizes(book: Book, table: Table) -> str:
    found = [(line, each) for line in table.rows for each, _ in book.chosen(line)]
    sizes = sorted({point.size for _, each in found for point in each.points})
    cells = [
        [_series_name(line, each), each.unit, *_points(each, sizes), slope(each.fit)] for line, each in found
    ]
    shown = {line.figure for line, _ in found}
    absent = [line for line in table.rows if line.figure not in shown]
    cells += [[line.label, *[NOT_MEASURED] * (len(sizes) + 2)] for line in absent]
    return _markdown(["figure", "unit", *(exact(size) for size in sizes), "slope"], cells)


def _series_name(line: Line, each: Series) -> str:
    told = ", ".join(filter(None, (each.net, each.parts)))
    return f"{line.what or f'`{each.figure}`'} ({told})"


def _points(each: Series, sizes: list[int]) -> list[str]:
    points = [each.point(size) for size in sizes]
    return [NOT_MEASURED if p is None else spread(p.least, p.most) for p in points]


def ranked(book: Book) -> tuple[list[Need], list[Need]]:
    """Give the lines that break, those at the smallest part of the target first, and those not known."""
    needs = [need for need in book.needs() if need.line.budget]
    known = [need for need in needs if need.known]
    breaks = [need for need in known if need.part is not None]
    return sorted(breaks, key=lambda n: (n.part, -(n.share or 0))), [n for n in needs if not n.known]


def _next(book: Book, table: Table) -> str:
    breaks, unknown = ranked(book)
    cells = [
        [str(place), need.line.label, _breaks(need), _share(need), _at_target(need), need.line.mechanism]
        for place, need in enumerate(breaks, 1)
    ]  # fmt: skip
    head = ["", "role and figure", "breaks at", "need over budget", "at the target", "mechanism"]
    text = _markdown(head, cells or [["-", *[NOT_MEASURED] * 5]])
    if unknown:
        text += "\n\nNot ranked, for want of a slope: " + "; ".join(need.line.label for need in unknown) + "."
    return text


def _placed(book: Book, text: str) -> str:
    words = text.split()
    sheet = book.sheet
    named = {"target": sheet.targets, "budget": sheet.budgets, "assumed": sheet.assumed}
    if len(words) == 2 and words[0] in named:
        each = named[words[0]].get(words[1])
        if each is None:
            raise ValueError(f"page.md: {{{{{text}}}}}: no {words[0]} {words[1]}")
        return _named(each) + (" (assumed)" if words[0] == "assumed" else "")
    if len(words) == 2 and words[0] in ("need", "breaks"):
        need = next((n for n in book.needs() if n.line.figure == words[1]), None)
        if need is None:
            raise ValueError(f"page.md: {{{{{text}}}}}: no table has this figure")
        return _at_target(need) if words[0] == "need" else _breaks(need)
    if len(words) not in (2, 3):
        raise ValueError(f"page.md: {{{{{text}}}}}: a figure and a size are needed")
    return _figure(book, words[0], words[1] if len(words) == 3 else "", words[-1])


def _figure(book: Book, figure: str, over: str, word: str) -> str:
    target = book.sheet.targets.get(word)
    try:
        size = float(target.value if target else word.replace(",", ""))
    except ValueError:
        raise ValueError(f"page.md: {figure}: {word} is neither a size nor a target") from None
    overs = [over or (target.over if target else "")]
    if not overs[0]:
        rows = (row for run in book.runs.values() for row in run.rows)
        overs = sorted({row.over for row in rows if row.figure == figure}) or ["gateways"]
    if len(overs) > 1:
        raise ValueError(f"page.md: {figure} is measured over {' and '.join(overs)}; name one")
    chosen = book.chosen(Line(figure=figure, over=overs[0]))
    if not chosen:
        return NOT_MEASURED
    series = next((each for each, _ in chosen if each.point(int(size))), chosen[0][0])
    least, most, mark = at_size(series, size)
    if least is None or most is None:
        return f"not known ({mark})"
    return f"{spread(least, most)} {series.unit} ({mark})"
