"""`mintmast soak`: real processes of the platform's gateway under seeded faults, several runs at once."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from enum import Enum
from functools import partial
from pathlib import Path
from typing import Any

from mintmast.lab.soak.audit import Verdict, broken_lines
from mintmast.lab.soak.run import Report, play
from mintmast.lab.soak.schedule import CASES, Schedule


@dataclass(frozen=True)
class Run:
    """One run: its case and seed, its verdicts by rule, and how late the stand-ins were in ms."""

    case: str
    seed: int
    is_void: bool
    longest_stall_ms: float
    verdicts: dict[str, Verdict]

    @property
    def state(self) -> str:
        """Return `void` if the stand-ins ran late, else whether all rules were kept."""
        if self.is_void:
            return "void"
        return "broken" if any(verdict.broken for verdict in self.verdicts.values()) else "kept"


def soak(
    cases: Sequence[str], seed: int, seeds: int, jobs: int, as_json: bool, keep: Path | None = None
) -> int:
    """Play cases with seeds; 0 all rules kept, 1 a rule broken or a run void, 2 bad use.

    `keep` is a folder for the schedule, the broken cases and the logs of each run that broke a rule.
    """
    unknown = [case for case in cases if case not in CASES]
    if unknown:
        print(f"mintmast: no case {unknown[0]}; there are {', '.join(CASES)}", file=sys.stderr)
        return 2
    plan = [(case, number) for number in range(seed, seed + seeds) for case in cases or CASES]
    runs = []
    for run in _play_all(plan, jobs, keep):
        runs.append(run)
        print(json.dumps(_as_json(run)) if as_json else _lines(run, len(runs), len(plan)), flush=True)
    if not as_json:
        print(_totals(runs))
    return 0 if all(run.state == "kept" for run in runs) else 1


def _play_all(plan: list[tuple[str, int]], jobs: int, keep: Path | None) -> Iterator[Run]:
    if jobs == 1:
        yield from map(partial(_play_one, keep=keep), plan)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(partial(_play_one, keep=keep), plan)


def _play_one(place: tuple[str, int], keep: Path | None) -> Run:
    case, seed = place
    schedule = CASES[case](seed)
    report = play(schedule)
    stall_ms = report.records.longest_stall / 1000
    run = Run(case, seed, report.is_void, stall_ms, report.verdicts)
    if keep is not None and run.state == "broken":
        _keep(keep / f"{case}-{seed}", schedule, report)
    return run


def _keep(folder: Path, schedule: Schedule, report: Report) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    text = json.dumps(asdict(schedule), indent=1, default=_plain)
    (folder / "schedule.json").write_text(text + "\n", encoding="utf-8")
    (folder / "broken.txt").write_text("\n".join(report.broken) + "\n", encoding="utf-8")
    for gateway, log in report.logs.items():
        (folder / f"{gateway}.log").write_text(log, encoding="utf-8")


def _plain(value: Any) -> Any:
    return value.name if isinstance(value, Enum) else str(value)


def _as_json(run: Run) -> dict[str, Any]:
    return asdict(run) | {"state": run.state}


def _lines(run: Run, number: int, total: int) -> str:
    late = f"stand-ins {run.longest_stall_ms:.0f} ms late at the most"
    head = f"{number}/{total} {run.case} seed {run.seed}: {run.state}, {late}"
    broken = [f"  {line}" for line in broken_lines(run.verdicts)]
    return "\n".join([head, *broken])


def _totals(runs: list[Run]) -> str:
    """Return a line for each rule over all runs that were not void; it says so if a rule judged nothing."""
    valid = [run for run in runs if not run.is_void]
    lines = [f"{len(runs)} runs, {len(runs) - len(valid)} void"]
    for rule in valid[0].verdicts if valid else ():
        judged = sum(run.verdicts[rule].judged for run in valid)
        broken = sum(len(run.verdicts[rule].broken) for run in valid)
        lines.append(f"{rule}: {broken} broken of {judged}" if judged else f"{rule}: NOTHING JUDGED")
    return "\n".join(lines)
