"""Gateways with durable records are killed under load and come back: one, two or all at once.

Paid viewers come again with their keys, at other gateways too, and hosts lose answers meanwhile.
"""

from __future__ import annotations

import random
from functools import partial
from typing import Any

from mintmast.lab.drills.day import Day, Drill
from mintmast.lab.drills.roaming import Roamers, faulty


def _down(stage: Any, gateways: list[int], back: list[float]) -> None:
    for number, wait in zip(gateways, back, strict=True):
        stage.restart_gateway(number, wait)


def kill(most: int, stage: Any, day: Day, seed: int) -> None:
    """Kill up to `most` at once, again and again; at least one death is of so many."""
    draw = random.Random(f"{seed}/faults")
    at = draw.uniform(2.0, 4.0)
    count = most
    while at < day.load_s:
        gateways = draw.sample(range(day.gateways), count)
        back = [draw.uniform(0.2, 1.5) for _ in gateways]
        stage.at(at, _down, stage, gateways, back)
        at += max(back) + draw.uniform(2.5, 4.0)
        count = draw.randint(1, most)
    lossy = draw.sample(range(day.hosts), 3)
    begin = draw.uniform(0.5, day.load_s / 2)
    for number in lossy:
        stage.at(begin, faulty, stage, number, 0.3)
        stage.at(begin + 5, faulty, stage, number, 0.0)


def _slow(stage: Any, day: Day) -> None:
    """Let each flush take long, though less than a vote may."""
    stage.flush = 20_000, 150_000


_DAY = Day(rate=14.0, load_s=14.0, whole_s=34.0, uplink_kb=1200.0)
DRILLS = {
    "kill": Drill(partial(kill, 2), _DAY, load=Roamers, stores=True),
    "kill-one": Drill(partial(kill, 1), _DAY, load=Roamers, stores=True),
    "kill-slow": Drill(partial(kill, 3), _DAY, _slow, Roamers, stores=True),
    "kill-all": Drill(partial(kill, 3), _DAY, load=Roamers, stores=True),
    "kill-all-bare": Drill(partial(kill, 3), _DAY, load=Roamers),
}
