"""Plays short fleet days by the platform's bench, seed after seed, and prints a row a play.

    python -m benchmarks.fleet_days BENCH SITE --seeds 1-10 --jobs 4 --out DIR --why TEXT

It stops on nothing: a play that ends without a report is a row too. Each play's report, text and logs are
kept in DIR by day and seed. A row: day, seed, verdict (`kept`, the broken rules, or how the play ended), G,
score, the worst class, the worst tenant and the worst part of the day as shares of their worth, and how long
starts and restarts took (s: the longest, and the ninth of ten).
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

# s; the page gives a day 25 minutes of real time
LONGEST = 1500
LOOK = 0.5  # s between looks whether a play has ended
_READY = re.compile(r"ready after ([0-9.]+) s, restarts took \[([^\]]*)\]")
_SCORE = re.compile(r"score ([0-9.]+)\s*$", re.MULTILINE)
HEAD = "| day | seed | verdict | G | score | class | tenant | part | ready | restarts, 0.9 and longest |"


def seeds_of(text: str) -> list[int]:
    """Read `1-3,9` as 1, 2, 3, 9."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


class Play:
    """One play of a day, as a process of the bench's."""

    def __init__(self, args: argparse.Namespace, day: str, seed: int) -> None:
        self.day, self.seed, self.began = day, seed, time.monotonic()
        self.place = Path(args.out) / f"{day}-{seed}"
        self.place.mkdir(parents=True, exist_ok=True)
        self._text = (self.place / "text").open("w")
        command = [args.bench, args.site, "--rough", day, "--seed", str(seed), "--nodes", str(args.nodes)]
        command += ["--no-build", "--json", str(self.place / "report.json"), "--why", args.why]
        command += ["--logs", str(self.place / "logs")]
        self._process = subprocess.Popen(command, stdout=self._text, stderr=subprocess.STDOUT)

    def over(self) -> bool:
        """Tell whether it has ended; one that is over its time is ended."""
        if self._process.poll() is None and time.monotonic() - self.began > LONGEST:
            self._process.kill()
            self._process.wait()
        return self._process.returncode is not None

    def row(self) -> str:
        """Give its row."""
        self._text.close()
        text = (self.place / "text").read_text()
        path = self.place / "report.json"
        if not path.exists():
            last = text.strip().splitlines()[-1:] or ["nothing said"]
            return f"| {self.day} | {self.seed} | ended with {self._process.returncode}: {last[0]} |"
        report = json.loads(path.read_text())
        score = _SCORE.search(text)
        cells = [self.day, self.seed, verdict(report), f"{report['g']:.3f}", score[1] if score else "-"]
        cells += [f"{report[name]:.3f}" for name in ("worst_class", "worst_tenant", "worst_window")]
        cells += ready(text)
        return "| " + " | ".join(map(str, cells)) + " |"


def verdict(report: dict[str, Any]) -> str:
    """Tell the broken rules and the fault of a report, or `kept`."""
    said = [f"{name} {what}" for name, what in (report.get("breaks") or {}).items()]
    said += [str(report["fault"])] if report.get("fault") else []
    return "; ".join(said).replace("|", "/") or "kept"


def ready(text: str) -> list[str]:
    """Give how long the first starts took, and the restarts."""
    match = _READY.search(text)
    if match is None:
        return ["-", "-"]
    took = sorted(float(each) for each in match[2].split(",") if each.strip())
    ninth = took[max(0, -(-len(took) * 9 // 10) - 1)] if took else 0.0
    return [match[1], f"{ninth}, {took[-1]}" if took else "-"]


def main() -> None:
    """Play all, at most `--jobs` at a time."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--days", default="roll,split,join")
    parser.add_argument("--seeds", type=seeds_of, default=seeds_of("1-10"))
    parser.add_argument("--nodes", type=int, default=30)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--out", required=True)
    parser.add_argument("--why", required=True)
    args = parser.parse_args()
    days = [day if "+" in day else f"{day}+mass" for day in args.days.split(",")]
    waiting = [(day, seed) for seed in args.seeds for day in days]
    playing: list[Play] = []
    print(HEAD, flush=True)
    while waiting or playing:
        while waiting and len(playing) < args.jobs:
            playing.append(Play(args, *waiting.pop(0)))
        time.sleep(LOOK)
        for play in [each for each in playing if each.over()]:
            playing.remove(play)
            print(play.row(), flush=True)


if __name__ == "__main__":
    sys.exit(main())
