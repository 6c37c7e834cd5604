"""Power is lost: all gateways, half of them, hosts too, or twice in a row; records come back whole or not.

`power-LOSE-RECORDS`. What is lost goes in one moment and returns in any order, hosts cold; the viewers of the
whole region come at once. `measure` tells how long service took to return, from the first gateway's start on.
"""

from __future__ import annotations

import random
from functools import partial
from typing import Any

from mintmast.lab.drills.day import Day, Drill
from mintmast.lab.drills.kill import tell_votes
from mintmast.lab.drills.roaming import Roamers

# s after which the power goes, and within which all that returns has returned
LOST_AT, BACK_WITHIN = (4.0, 6.0), 4.0
# s between two losses: what returned first has just begun to serve
TWICE_AFTER = 3.0
LOSE = ("gateways", "all", "half", "twice")
RECORDS = ("kept", "some-lost", "none")
# part of the gateways whose records are gone where some are
SOME = 0.4


def _down(stage: Any, day: Day, draw: random.Random, lose: str, records: str) -> None:
    """Take the power away, and give it back to each in its own time."""
    count = day.gateways // 2 if lose == "half" else day.gateways
    gateways = draw.sample(range(day.gateways), count)
    bare = {"kept": 0, "some-lost": max(1, round(SOME * count)), "none": count}[records]
    stage.record("power_lost", gateways=sorted(gateways), bare=sorted(gateways[:bare]))
    if lose == "all":
        for number in range(day.hosts):
            stage.kill_host(number)
            at = stage.now() + int(draw.uniform(0.2, BACK_WITHIN) * 1e6)
            stage.loop.call_at(at, stage.start_host, number, True)
    for place, number in enumerate(gateways):
        stage.restart_gateway(number, draw.uniform(0.3, BACK_WITHIN), files=place >= bare)


def lose_power(lose: str, records: str, stage: Any, day: Day, seed: int) -> None:
    """Script a day on which power is lost."""
    draw = random.Random(f"{seed}/power")
    at = draw.uniform(*LOST_AT)
    stage.at(at, _down, stage, day, draw, lose, records)
    if lose == "twice":
        stage.at(at + BACK_WITHIN + TWICE_AFTER, _down, stage, day, draw, lose, records)
    stage.at(day.whole_s - 0.5, tell_votes, stage, day)


def measure(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Give s from the last loss's first return to the first free and paid answer that plays."""
    lost = [row["at"] for row in rows if row["what"] == "power_lost"]
    if not lost:
        return {}
    back = min(
        (row["at"] for row in rows if row["what"] == "gateway_started" and row["at"] > lost[-1]), default=None
    )
    told: dict[str, Any] = {"first_free_s": None, "first_paid_s": None}
    for row in rows:
        plays = row["what"] == "request_over" and row["status"] == 200
        if back is None or not plays or row["asked_at"] < back:
            continue
        name = "first_paid_s" if row["paid"] else "first_free_s"
        if told[name] is None:
            told[name] = round((row["at"] - back) / 1e6, 3)
    return told


_DAY = Day(rate=12.0, load_s=16.0, whole_s=36.0, uplink_kb=1200.0).sized(hosts=16, gateways=5)
DRILLS = {
    f"power-{lose}-{records}": Drill(partial(lose_power, lose, records), _DAY, load=Roamers, stores=True)
    for lose in LOSE
    for records in RECORDS
}
