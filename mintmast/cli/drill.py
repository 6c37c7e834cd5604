"""`mintmast drill`: seeds side by side, a line each."""

from __future__ import annotations

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Any

from mintmast.lab import drills
from mintmast.lab.mutant import MUTATIONS


def _line(report: dict[str, Any]) -> str:
    rules = " ".join(
        f"{name} {rule['checked']}" + (f" BROKEN {rule['broken']}" if rule["broken"] else "")
        for name, rule in report["rules"].items()
    )
    worth = report["worth"]
    share = worth["answered"] / worth["asked"] if worth["asked"] else 0.0
    verdict = "good" if report["good"] else "BAD"
    asked = report["requests"]
    return f"seed {report['seed']}: {verdict}; {asked} requests, worth {share:.3f}; checked: {rules}"


def drill(
    name: str,
    seed: int,
    seeds: int,
    net: str,
    jobs: int,
    mutate: str | None,
    as_json: bool,
    keep: str | None = None,
    size: dict[str, Any] | None = None,
) -> int:
    """Play the seeds; 0 good, 1 a rule broken or nothing checked, 2 bad use. `size`: see `Day.sized`."""
    if name not in drills.DRILLS:
        print(f"mintmast: no drill {name}; there are {', '.join(drills.DRILLS)}", file=sys.stderr)
        return 2
    if mutate is not None and mutate not in MUTATIONS:
        print(f"mintmast: no mutation {mutate}; there are {', '.join(MUTATIONS)}", file=sys.stderr)
        return 2
    day = drills.DRILLS[name].day
    if size:
        day = day.sized(**size)
    if day.hosts < day.sets * drills.LEAST_HOSTS or day.gateways < 1:
        print(f"mintmast: a drill needs {drills.LEAST_HOSTS} hosts and a gateway at least", file=sys.stderr)
        return 2
    play = partial(drills.run, name, net=net, mutate=mutate, keep=keep, day=day)
    numbers = range(seed, seed + seeds)
    good = True
    if jobs == 1 or seeds == 1:
        reports = map(play, numbers)
        pool = None
    else:
        pool = ProcessPoolExecutor(jobs)
        reports = pool.map(play, numbers)
    for report in reports:
        good = good and report["good"] and not drills.nothing_checked(report)
        print(json.dumps(report, sort_keys=True) if as_json else _line(report), flush=True)
    if pool is not None:
        pool.shutdown()
    if seeds > 1 and not as_json:
        print(f"{seeds} seeds of {name} on {net}: {'all good' if good else 'NOT good'}")
    return 0 if good else 1
