"""`python -m mintmast.lab.soak CASE SEED [SEED ...]`: plays a case and prints what broke a rule."""

from __future__ import annotations

import sys

from mintmast.lab.soak.run import Report, play
from mintmast.lab.soak.schedule import CASES


def main(arguments: list[str]) -> int:
    """Return 0 if all runs kept all rules, 1 if one broke a rule or was void, 2 for bad use."""
    if len(arguments) < 2 or arguments[0] not in CASES:
        print(f"usage: python -m mintmast.lab.soak CASE SEED...; cases: {', '.join(CASES)}", file=sys.stderr)
        return 2
    is_good = True
    for seed in map(int, arguments[1:]):
        report = play(CASES[arguments[0]](seed))
        is_good = is_good and not report.broken and not report.is_void
        print(f"{arguments[0]} seed {seed}: {_summary(report)}", flush=True)
        for line in report.broken:
            print(f"  {line}", flush=True)
    return 0 if is_good else 1


def _summary(report: Report) -> str:
    counts = ", ".join(
        f"{rule} {len(verdict.broken)} of {verdict.judged}" for rule, verdict in report.verdicts.items()
    )
    state = "VOID" if report.is_void else "broken" if report.broken else "kept"
    return f"{state}; longest stall {report.records.longest_stall / 1000:.0f} ms; broken: {counts}"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
