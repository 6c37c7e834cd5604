"""`mintmast scale`: measure what grows with the fleet, fit it, and write the page from what was recorded."""

from __future__ import annotations

import importlib
import inspect
import json
import math
import signal
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

# each part's module and function; `rows` gives the rows of some sizes
PARTS = {
    "peers": "rows", "proof": "prove", "sessions": "rows", "lists": "rows", "fleet": "rows",
    "loopback": "rows", "configuration": "rows", "answers": "rows", "applying": "rows",
}  # fmt: skip
# parts that take all sizes at once, as they have rows beside them at sizes of their own
AT_ONCE = {"lists"}
# what a part gets that has no word of its own for it: four sizes give a slope, three seeds show the spread
USUAL = {"sizes": (50, 200, 800, 3400), "seeds": (1, 2, 3), "seconds": 10.0}
MOST_NUMBERS, MOST_SIZE, MOST_SEED = 32, 1_000_000, 1 << 31


class _Late(BaseException):
    """The time limit is reached. Not an Exception, so that no part takes it for a fault of its own."""


class _Numbers(click.ParamType):
    """Whole numbers with commas between them."""

    name = "N,N,..."

    def __init__(self, most: int) -> None:
        self.most = most

    def convert(self, value: Any, param: Any, ctx: Any) -> tuple[int, ...]:
        if isinstance(value, tuple):
            return value
        words = [word.strip() for word in str(value).split(",")]
        good = all(word.isascii() and word.isdigit() and len(word) < 12 for word in words)
        numbers = tuple(int(word) for word in words) if good else ()
        if not numbers or len(numbers) > MOST_NUMBERS or not all(1 <= n <= self.most for n in numbers):
            wanted = f"1 to {MOST_NUMBERS} numbers from 1 to {self.most} with commas between them are needed"
            self.fail(f"{str(value)[:60]!r}: {wanted}", param, ctx)
        return tuple(dict.fromkeys(numbers))


def _bad(line: object, code: int = 2) -> None:
    click.echo(f"mintmast: {' '.join(str(line).split())}", err=True)
    sys.exit(code)


@contextmanager
def _told() -> Iterator[None]:
    """Tell bad input in one line, exit 2."""
    try:
        yield
    except OSError as error:
        _bad(f"{error.filename or ''}: {error.strerror or error}")
    except (ValueError, ImportError) as error:
        _bad(error)


@contextmanager
def _limited(seconds: float) -> Iterator[None]:
    """Raise `_Late` after so many seconds; what a part started ends in its own `finally`."""

    def late(*_: Any) -> None:
        raise _Late

    before = signal.signal(signal.SIGALRM, late)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, before)


def program() -> str:
    """Give the commit that this program is of, `unknown` outside of a work tree."""
    import subprocess

    command = ["git", "-C", str(Path(__file__).parent), "rev-parse", "--short", "HEAD"]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=5, check=True)
    except (OSError, subprocess.SubprocessError):
        return "unknown"
    return done.stdout.strip()


def part_of(name: str) -> Callable[..., list[Any]]:
    """Give a part's function. Raises ImportError in a line that says what is missing."""
    try:
        module = importlib.import_module(f"mintmast.lab.scale.{name}")
        made: Callable[..., list[Any]] = getattr(module, PARTS[name])
    except (ImportError, AttributeError) as error:
        raise ImportError(f"part {name} is not there: {error}") from None
    return made


def _arguments(play: Callable[..., Any], asked: dict[str, Any], name: str) -> dict[str, Any]:
    """Give what a part is called with. Raises ValueError for what it does not take."""
    takes = inspect.signature(play).parameters
    foreign = sorted(key for key, value in asked.items() if value is not None and key not in takes)
    if foreign:
        raise ValueError(f"part {name} takes no --{foreign[0]}")
    own = {key: each.default for key, each in takes.items() if key in asked}
    told = {key: USUAL[key] if value is inspect.Parameter.empty else value for key, value in own.items()}
    return told | {key: value for key, value in asked.items() if value is not None}


@click.group()
def scale() -> None:
    """Measure what grows with the fleet, and what docs/CAPACITY.md says of it."""


@scale.command("run")
@click.argument("part", type=click.Choice(list(PARTS)))
@click.option("--sizes", type=_Numbers(MOST_SIZE), help="Sizes, such as 50,200,800,3400.")
@click.option("--seeds", type=_Numbers(MOST_SEED), help="Seeds, such as 1,2,3.")
@click.option(
    "--seconds", type=click.FloatRange(0.1, 3600), help="Seconds of steady load, where a part has it."
)
@click.option(
    "--out", type=click.Path(dir_okay=False), help="Write the run to this file instead of printing it."
)
@click.option("--limit-s", type=click.FloatRange(1, 86_400), default=600.0, show_default=True)
def run_part(
    part: str,
    sizes: tuple[int, ...] | None,
    seeds: tuple[int, ...] | None,
    seconds: float | None,
    out: str | None,
    limit_s: float,
) -> None:
    """Measure PART and record it as JSON. Exit 1 where it did not end: the sizes before are kept."""
    from mintmast.lab.scale.record import Row, made, save

    if out and not Path(out).absolute().parent.is_dir():
        _bad(f"{out}: no such folder")  # told before the run, not after it
    began, rows, ended = time.monotonic(), [], "whole"
    with _told():
        play = part_of(part)
        asked = _arguments(play, {"sizes": sizes, "seeds": seeds, "seconds": seconds}, part)
        settings = {"part": part} | {
            key: ",".join(map(str, value)) if isinstance(value, tuple | list) else str(value)
            for key, value in asked.items()
        }
        played = tuple(asked.pop("sizes", ()))  # a part may have none, and is called once
        try:
            with _limited(limit_s):
                for each in [played] if part in AT_ONCE or not played else [(size,) for size in played]:
                    found: list[Row] = play(**({"sizes": each} if each else {}), **asked)
                    rows += found
                    told = ",".join(map(str, each))
                    click.echo(f"{part}: size {told}, {time.monotonic() - began:.0f} s", err=True)
        except _Late:
            ended = f"ended by its time limit of {limit_s:.0f} s"
        except Exception as error:
            if not rows:
                raise
            # hours of runs are not thrown away
            ended = f"failed after size {rows[-1].size}: {type(error).__name__}: {error}"
        run = made(part, program(), settings | {"ended": ended}, rows)
        if not out:
            import msgspec

            click.echo(msgspec.json.encode(run))
        elif rows:
            save(run, Path(out))
    if ended != "whole":
        _bad(f"{part}: {ended}; {len(rows)} rows of whole sizes are kept", 1)


@scale.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--at", type=click.FloatRange(1, 1e9), help="Tell the need at this size, too.")
def fit(files: tuple[str, ...], as_json: bool, at: float | None) -> None:
    """Fit each figure of the recorded runs FILES over its sizes."""
    from mintmast.lab.scale.page import exact, slope, spread
    from mintmast.lab.scale.record import load
    from mintmast.lab.scale.sheet import at_size
    from mintmast.lab.scale.slopes import series

    with _told():
        found = series(row for name in files for row in load(Path(name)).rows)
    if as_json:
        click.echo(json.dumps([asdict(each) for each in found]))
        return
    for each in found:
        told = "; ".join(f"{exact(p.size)}: {spread(p.least, p.most)}" for p in each.points)
        names = ", ".join(filter(None, (each.net, each.parts)))
        line = f"{each.figure} [{each.unit}, {each.over}, {names}] {told}: {slope(each.fit)}"
        if at is not None and math.isfinite(at):
            least, most, mark = at_size(each, at)
            value = "" if least is None or most is None else f"{spread(least, most)}, "
            line += f"; at {exact(at)}: {value}{mark}"
        click.echo(line)


FOLDER = click.option(
    "--folder",
    default="docs/capacity",
    show_default=True,
    type=click.Path(),
    help="Template, tables and runs.",
)


@scale.command()
@click.option(
    "--check", is_flag=True, help="Only compare with the page that is there; exit 1 where it differs."
)
@FOLDER
def page(check: bool, folder: str) -> None:
    """Write CAPACITY.md beside the folder from its template, its tables and its runs."""
    from mintmast.lab.scale.page import write

    path = Path(folder).absolute().parent / "CAPACITY.md"
    with _told():
        text = write(Path(folder))
        if not check:
            path.write_text(text, encoding="utf-8")
        elif path.read_text(encoding="utf-8") != text:
            _bad(f"{path.name} is not what its runs and template give; run `mintmast scale page`", 1)
    click.echo(f"{path.name}: {'as its runs give it' if check else 'written'}")


@scale.command()
@FOLDER
def plots(folder: str) -> None:
    """Draw the curves that the tables name, as SVG; needs matplotlib."""
    from mintmast.lab.scale.plots import draw

    with _told():
        for line in draw(Path(folder)):
            click.echo(line)
