"""Gateways with durable records are killed under load and come back: one, two or all at once.

Paid viewers come again with their keys, at other gateways too, and hosts lose answers meanwhile. A gateway
alone has nobody who remembers for it; hosts may start anew beside it, clocks may go back.
"""

from __future__ import annotations

import random
from dataclasses import replace
from functools import partial
from typing import Any

from mintmast.lab.drills.day import Day, Drill
from mintmast.lab.drills.roaming import Roamers, faulty

# s by which the clock of a gateway that comes back is wrong, where clocks are; within `peers.skew_s`
SHIFTS = (-20.0, -5.0, -0.5, 0.0)
# s for which hosts may be down that die beside a gateway
HOST_BACK = (0.05, 1.0)


def _down(stage: Any, gateways: list[int], back: list[float], shifts: list[float]) -> None:
    for number, wait, shift in zip(gateways, back, shifts, strict=True):
        stage.restart_gateway(number, wait, wall_shift=shift)


def _host_down(stage: Any, number: int, back: float) -> None:
    stage.kill_host(number)
    stage.loop.call_at(stage.now() + int(back * 1e6), stage.start_host, number, True)


def tell_votes(stage: Any, day: Day) -> None:
    """Keep in the record which gateways vote."""
    for number in range(day.gateways):
        stage.record("votes", gateway=f"gw{number}", votes=stage.votes(number))


def kill(
    most: int, stage: Any, day: Day, seed: int, clocks: tuple[float, ...] = (0.0,), hosts: bool = False
) -> None:
    """Kill up to `most` at once, again and again; at least one death is of so many.

    Clocks are wrong by one of `clocks` afterwards; with `hosts` one dies in the same moment, or just after.
    """
    draw = random.Random(f"{seed}/faults")
    at = draw.uniform(2.0, 4.0)
    count = most
    while at < day.load_s:
        gateways = draw.sample(range(day.gateways), count)
        back = [draw.uniform(0.2, 1.5) for _ in gateways]
        stage.at(at, _down, stage, gateways, back, [draw.choice(clocks) for _ in gateways])
        if hosts:
            down = draw.choice(range(day.hosts))
            stage.at(at + draw.uniform(-0.05, 1.5), _host_down, stage, down, draw.uniform(*HOST_BACK))
        at += max(back) + draw.uniform(2.5, 4.0)
        count = draw.randint(1, most)
    lossy = draw.sample(range(day.hosts), 3)
    begin = draw.uniform(0.5, day.load_s / 2)
    for number in lossy:
        stage.at(begin, faulty, stage, number, 0.3)
        stage.at(begin + 5, faulty, stage, number, 0.0)
    if day.gateways > 1:
        stage.at(day.whole_s - 0.5, tell_votes, stage, day)


def _slow(stage: Any, day: Day) -> None:
    """Let each flush take long, though less than a vote may."""
    stage.flush = 20_000, 150_000


def _stuck(stage: Any, day: Day) -> None:
    """Let each flush take 2 s, longer than a vote may and as long as a paid viewer waits."""
    stage.flush = 2_000_000, 2_000_000


_DAY = Day(rate=14.0, load_s=14.0, whole_s=34.0, uplink_kb=1200.0)
# clips that outlast a lease several times over, and links with room: what a death cuts off is seen
_LONG = replace(_DAY, shortest=20.0, rate=5.0, whole_s=60.0)
DRILLS = {
    "kill": Drill(partial(kill, 2), _DAY, load=Roamers, stores=True),
    "kill-one": Drill(partial(kill, 1), _DAY, load=Roamers, stores=True),
    "kill-slow": Drill(partial(kill, 3), _DAY, _slow, Roamers, stores=True),
    "kill-stuck": Drill(partial(kill, 1), _DAY, _stuck, Roamers, stores=True),
    "kill-all": Drill(partial(kill, 3), _DAY, load=Roamers, stores=True),
    "kill-all-bare": Drill(partial(kill, 3), _DAY, load=Roamers),
    "kill-lone": Drill(partial(kill, 1), replace(_DAY, gateways=1), load=Roamers, stores=True),
    "kill-hosts": Drill(partial(kill, 2, hosts=True), _DAY, load=Roamers, stores=True),
    "kill-lone-hosts": Drill(
        partial(kill, 1, hosts=True), replace(_DAY, gateways=1), load=Roamers, stores=True
    ),
    "kill-clock": Drill(partial(kill, 3, clocks=SHIFTS), _DAY, load=Roamers, stores=True),
    "kill-long": Drill(partial(kill, 3), _LONG, load=Roamers, stores=True),
    "kill-long-bare": Drill(partial(kill, 3), _LONG, load=Roamers),
}
