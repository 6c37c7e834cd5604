"""Shared settings change several times a second while links, processes and the publisher itself fail.

Viewers and hosts go on. At the end all gateways must have one revision in force, and none may ever have gone
back to an earlier one, not over its death either.
"""

from __future__ import annotations

import json
import random
from functools import partial
from typing import Any

from mintmast.http.client import CallFailure, Reply
from mintmast.lab.audit import Findings, Row
from mintmast.lab.drills.day import FREE, PAID, Day, Drill
from mintmast.lab.drills.members import CASES, START
from mintmast.lab.drills.roaming import Roamers, kill_if_all_vote
from mintmast.lab.stage import SECRET

PATH = "/v1/configuration"
# s between changes, some two thousand times as often as 11,000 a day over a short day
EVERY = 0.25
# s between the last fault and the day's end: what a change may take
REST = 18.0
DRAWN = ("one-way", "unheard", "split", "losses", "resets", "shorts", "stopped", "behind", "killed")
DAY = Day(gateways=5, rate=8.0, load_s=26.0, whole_s=46.0, uplink_kb=1200.0)


def _call(stage: Any, number: int, method: str, path: str, body: Any, told: Any) -> None:
    headers = [("Authorization", f"Bearer {SECRET}")]
    data = b"" if body is None else json.dumps(body).encode()
    until = stage.now() + 2_000_000
    stage.client.call(stage.admin_place(number), method, path, told, headers, data, until)


def _said(reply: Reply | CallFailure) -> dict[str, Any] | None:
    return json.loads(reply.body) if isinstance(reply, Reply) and reply.status == 200 else None


def _change(draw: random.Random, number: int) -> dict[str, Any]:
    """Draw a patch that takes nothing from those who play."""
    return draw.choice(
        (
            {"titles": {f"extra-{number % 20}": {"home": number % 8, "copies": 2}}},
            {"titles": {f"extra-{draw.randrange(20)}": None}},
            {"classes": {FREE: {"worth": 1.0 + number % 3}}},
            {"classes": {PAID: {"aim_ms": 200 + number % 100}}},
            {"tenants": {f"tenant-{number % 5}": {"share": 0.1}}},
        )
    )


class _Operators:
    """Publish at who last took over; take over elsewhere when it does not answer for a second."""

    def __init__(self, stage: Any, day: Day, seed: int) -> None:
        self._stage, self._day = stage, day
        self._draw = random.Random(f"{seed}/changes")
        self._at, self._number, self._failed = 0, 0, 0

    def go(self) -> None:
        """Publish the next change."""
        if self._failed >= 4:
            self._failed = 0
            self._at = self._draw.randrange(self._day.gateways)
            _call(self._stage, self._at, "POST", f"{PATH}/take-over", {}, self._taken)
            return
        self._number += 1
        told = partial(self._published, self._number)
        _call(self._stage, self._at, "POST", PATH, _change(self._draw, self._number), told)

    def _taken(self, reply: Reply | CallFailure) -> None:
        self._stage.record("taken_over", gateway=f"gw{self._at}", good=_said(reply) is not None)

    def _published(self, number: int, reply: Reply | CallFailure) -> None:
        told = _said(reply)
        self._failed = 0 if told is not None else self._failed + 1
        if told is not None:
            self._stage.record("published", change=number, head=[told["term"], told["number"]])


def _heads(stage: Any, day: Day, last: bool) -> None:
    for number in range(day.gateways):
        _call(stage, number, "GET", PATH, None, partial(_head, stage, f"gw{number}", last))


def _head(stage: Any, name: str, last: bool, reply: Reply | CallFailure) -> None:
    told = _said(reply)
    if told is not None:
        head = [told["term"], told["number"], told["digest"]]
        faults = told["misfit"] or told["refused"]
        stage.record("head", gateway=name, head=head, last=last, faults=faults, asked=stage.now())


def script(stage: Any, day: Day, seed: int) -> None:
    """Change settings over the whole load, with faults drawn one after the other."""
    operators, draw = _Operators(stage, day, seed), random.Random(f"{seed}/faults")
    operators._failed = 4  # nobody is publisher yet
    end, at = day.whole_s - REST, 1.0
    while at < end:
        stage.at(at, operators.go)
        stage.at(at + EVERY / 2, _heads, stage, day, False)
        at += EVERY
    at = end - 2.0 - START  # a death in any case; what it begins with is looked at before it has heard others
    stage.at(at, kill_if_all_vote, stage, day, draw.randrange(day.gateways), 0.5)
    for look in range(1, 20):
        stage.at(at + 0.5 + look / 100, _heads, stage, day, False)
    at = draw.uniform(2.0, 4.0)
    while at + 14.0 + START < end:
        at = CASES[draw.choice(DRAWN)](stage, day, draw, at) + draw.uniform(0.2, 2.0)
    stage.at(day.whole_s - 3.0, _heads, stage, day, True)


def prepare(stage: Any, day: Day) -> None:
    """Let the gateways share their settings."""
    stage.shares = True


def configured(rows: list[Row], found: Findings, gateways: int) -> dict[str, Any]:
    """Check that there is one head at the end, and that nobody ever went back; give what was published."""
    heads = [row for row in rows if row["what"] == "head"]
    last: dict[str, list[Any]] = {}
    for row in heads:
        before = last.get(row["gateway"], [-1, -1, ""])
        back = row["head"][:2] < before[:2] or (row["head"][:2] == before[:2] and row["head"] != before)
        found.see("one configuration", *([f"{row['gateway']}: {before} then {row['head']}"] * back))
        found.see("one configuration", *([f"{row['gateway']}: {row['faults']}"] * bool(row["faults"])))
        last[row["gateway"]] = row["head"]
    end = {row["gateway"]: str(row["head"]) for row in heads if row["last"]}
    good = len(end) == gateways and len(set(end.values())) == 1
    found.see("one configuration", *([] if good else [f"at the end: {end}"]))
    published = [row for row in rows if row["what"] == "published"]
    taken = sum(row["good"] for row in rows if row["what"] == "taken_over")
    return {"published": len(published), "taken_over": taken}


DRILLS = {"configuration": Drill(script, DAY, prepare, Roamers, links=True)}
