"""Recorded measurements of scale runs: rows, one figure at one size and seed each, kept as JSON.

Every runner gives rows, `slopes.py` fits them, `page.py` writes the tables of `docs/CAPACITY.md` from them.
"""

from __future__ import annotations

import os
import platform
from pathlib import Path

import msgspec

# bytes of a recorded file that is read: the largest here has some thousand rows
MOST_BYTES = 16 << 20


class Row(msgspec.Struct, frozen=True, gc=False, omit_defaults=True):
    """One figure of one run.

    `figure` is ROLE.WHAT, such as `membership.sent`; `unit` as in `B/s`, `ms`, `% core`, `MB`, `s`, `count`;
    `over` names what `size` counts: `gateways`, `sessions`, `hosts`, `changes`. `parts` tells what the
    others were: `real`, `hollow` or none (""); `note` says what a reader must know of this row.
    """

    figure: str
    unit: str
    over: str
    size: int
    value: float
    seed: int = 1
    net: str = "memory"
    parts: str = ""
    note: str = ""


class Run(msgspec.Struct, frozen=True):
    """What one command recorded. `program` is the commit that ran, `settings` what it was called with."""

    name: str
    program: str
    python: str
    cores: int
    settings: dict[str, str]
    rows: tuple[Row, ...]


def made(name: str, program: str, settings: dict[str, str], rows: list[Row]) -> Run:
    """Give a run as it is recorded, with what is said of this machine."""
    return Run(name, program, platform.python_version(), os.cpu_count() or 1, settings, tuple(rows))


def save(run: Run, path: Path) -> None:
    """Write a run, a row a line. Raises OSError."""
    head = msgspec.json.encode(msgspec.structs.replace(run, rows=())).decode().removesuffix("[]}")
    rows = ",\n".join(msgspec.json.encode(row).decode() for row in run.rows)
    path.write_text(f"{head}[\n{rows}\n]}}\n", encoding="utf-8")


def load(path: Path) -> Run:
    """Read a run. Raises ValueError naming the file where it is none, OSError where it cannot be read."""
    if path.stat().st_size > MOST_BYTES:
        raise ValueError(f"{path.name}: over {MOST_BYTES} bytes")
    try:
        return msgspec.json.decode(path.read_bytes(), type=Run)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(f"{path.name}: not a recorded run: {error}") from None


def load_all(folder: Path) -> list[Run]:
    """Read all runs of a folder, in the order of their names. Raises as `load`."""
    return [load(path) for path in sorted(folder.glob("*.json"))]
