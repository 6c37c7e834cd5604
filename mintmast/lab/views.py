"""What gateways believe of each other, checked against what was done to them.

From the record: faults as the stage set them, and each gateway's own word of its view over time. Rules:
nothing that lives is taken for dead; two that can both talk with a majority do not hold each other for out of
reach for longer than `MOST`; `SETTLED` after the last fault all views are the same and true.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from mintmast.lab.audit import Findings, Row

# µs; three observers' probes, a suspicion's time, and the probes of those who are not reached
MOST = 10_000_000
SETTLED = 10_000_000
GONE = ("refused", "later_start", "order")
OUT = ("confirmed", "never_heard")
FAULTS = ("way", "gateway_killed", "gateway_started", "gateway_stopped", "gateway_went_on")


class _Truth:
    """What is so: who runs with which start, who stands still, which ways work, since when who is well."""

    def __init__(self, names: list[str]) -> None:
        self.names = names
        self.start: dict[str, int] = {}  # of those that run and have told it
        self.stopped: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.well: dict[str, int] = {}

    def take(self, row: Row) -> None:
        name = row.get("gateway", "")
        match row["what"]:
            case "way":
                change = self.cut.discard if row["talks"] else self.cut.add
                change((row["source"], row["target"]))
            case "gateway_killed":
                self.start.pop(name, None)
                self.stopped.discard(name)
            case "gateway_stopped":
                self.stopped.add(name)
            case "gateway_went_on":
                self.stopped.discard(name)
            case "view" if self.start.get(name) == row["start"]:
                return
            case "view":
                self.start[name] = row["start"]
        for each in self.names:
            if self._well(each):
                self.well.setdefault(each, row["at"])
            else:
                self.well.pop(each, None)

    def _well(self, name: str) -> bool:
        runs = [each for each in self.start if each not in self.stopped]
        talks = [each for each in runs if not {(name, each), (each, name)} & self.cut]
        return name in runs and 2 * len(talks) > len(self.names)


def views(rows: list[Row], found: Findings, names: list[str]) -> dict[str, Any]:
    """Check all views; gives how many were looked at, and who voted at the end."""
    truth = _Truth(names)
    since: dict[tuple[str, str], int] = defaultdict(lambda: 1 << 62)
    last: dict[str, Row] = {}
    looked = 0
    for row in rows:
        if row["what"] not in (*FAULTS, "view"):
            continue
        truth.take(row)
        if row["what"] == "view":
            looked += 1
            last[row["gateway"]] = row
            _check(row, truth, since, found)
    faults = [row["at"] for row in rows if row["what"] in FAULTS]
    live = {name: last[name] for name in truth.start if name not in truth.stopped and name in last}
    settled = [row for row in live.values() if row["at"] - max(faults, default=0) >= SETTLED]
    for row in settled:
        _agrees(row, truth, found)
    votes = sum(row["votes"] for row in live.values())
    return {"views": looked, "live_at_end": len(live), "vote_at_end": votes}


def _check(row: Row, truth: _Truth, since: dict[tuple[str, str], int], found: Findings) -> None:
    viewer, at = row["gateway"], row["at"]
    for other, (stands, start) in row["stands"].items():
        dead = stands in GONE and truth.start.get(other) == start
        found.see("alive_not_dead", *[f"{at}: {viewer} takes {other} for dead, which lives"] * dead)
        both = viewer in truth.well and other in truth.well
        if stands not in OUT or not both:
            since.pop((viewer, other), None)
            if both:
                found.see("talks_not_out")
            continue
        begin = max(truth.well[viewer], truth.well[other])
        since[viewer, other] = min(since[viewer, other], max(begin, row["before"]))
        long = at - max(since[viewer, other], begin) > MOST
        found.see("talks_not_out", *[f"{at}: {viewer} holds {other} for out of reach"] * long)


def _agrees(row: Row, truth: _Truth, found: Findings) -> None:
    for other, (stands, start) in row["stands"].items():
        good = (
            stands == "heard" and start == truth.start[other] if other in truth.start else stands != "heard"
        )
        wrong = [f"{row['at']}: {row['gateway']} says of {other} at the end: {stands}"] * (not good)
        found.see("views_agree", *wrong)
