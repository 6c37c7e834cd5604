"""Hosts drain in the midst of clips."""

from __future__ import annotations

import random
from dataclasses import replace
from functools import partial
from typing import Any

from mintmast.lab.drills.day import Day, Drill


def drain(
    stage: Any, day: Day, seed: int, rack: bool = False, lose: bool = False, cold: bool = False
) -> None:
    """Script a drain in the midst of clips: of a host or a rack, with ends' answers lost, to cold hosts."""
    draw = random.Random(f"{seed}/faults")
    begin, plot = day.load_s * draw.uniform(0.6, 0.8), seed % 3
    later, gateway = draw.uniform(0.2, 2.0), draw.randrange(day.gateways)

    def free(number: int) -> int:
        return sum(not each.paid for each in stage.hosts[number].sessions.values())

    def go() -> None:
        """Drain where most sessions can be moved."""
        racks = len(stage.racks)
        fullest = sorted(range(day.hosts), key=lambda number: (-free(number), number))[: day.sets]
        most = fullest[0]
        whole = [n for n in range(day.hosts) if (n - most) % racks < max(1, racks // 2)]
        draining = whole if rack else fullest
        for number in draining:
            stage.hosts[number].drain()
            stage.hosts[number].lose_ends = 0.5 if lose else 0.0
        others = [number for number in range(day.hosts) if number not in draining]
        if cold:  # the emptiest has just come back, another dies in the midst of the moves
            emptiest = min(others, key=lambda number: len(stage.hosts[number].sessions))
            stage.kill_host(emptiest)
            stage.start_host(emptiest, True)
            stage.at(begin + later, stage.kill_host, next(n for n in others if n != emptiest))
        elif not lose and not rack and plot == 0:  # the drain is taken back in the midst of the moves
            stage.at(begin + later, lambda: stage.hosts[most].drain(False))
        elif not lose and not rack and plot == 1:  # another host drains too, and a gateway dies
            stage.at(begin + 1.0, lambda: stage.hosts[others[0]].drain())
            stage.at(begin + later, stage.kill_gateway, gateway)
            stage.at(begin + later + 1.0, stage.start_gateway, gateway)

    stage.at(begin, go)


# clips long enough to be moved in their midst, and room for them elsewhere
DAY = Day(rate=8.0, load_s=12.0, whole_s=44.0, link_kb=600.0, uplink_kb=1800.0, shortest=14.0)
# the rest of the fleet has room for about half of what the draining racks hold
RACK_DAY = replace(DAY, rate=14.0, link_kb=450.0, uplink_kb=1300.0)
DRILLS = {
    "drain": Drill(drain, DAY),
    "drain-rack": Drill(partial(drain, rack=True), RACK_DAY),
    "drain-lost-answer": Drill(partial(drain, lose=True), DAY),
    "drain-cold": Drill(partial(drain, cold=True), DAY),
}
