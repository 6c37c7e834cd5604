"""Most of what can go wrong does, on one day."""

from __future__ import annotations

import random
from typing import Any

from mintmast.lab.drills.day import Day, Drill


def _strike(stage: Any, day: Day, draw: random.Random, hosts: list[int]) -> None:
    """Let every kind of fault strike once, each another host."""
    dies, drains, hangs, errs, slow, loses = hosts
    load = day.load_s

    def on(number: int, **faults: Any) -> None:
        for name, value in faults.items():
            setattr(stage.hosts[number], name, value)

    # answers lost or cut on the way back, all over the fleet, for a while
    begin = draw.uniform(1, load / 3)
    for number in (loses, dies, errs):
        stage.at(begin, lambda n=number: on(n, lose_answers=0.25, cut_answers=0.25))
        stage.at(begin + 5, lambda n=number: on(n, lose_answers=0.0, cut_answers=0.0))
    # a host killed while set-ups are under way, back cold
    death = draw.uniform(2, load / 2)
    stage.at(death - 0.5, lambda: on(dies, slow=300_000))
    stage.at(death, stage.kill_host, dies)
    stage.at(death + draw.uniform(0.5, 3), stage.start_host, dies, True)
    # a drain, a hang, quick errors, a slow host, a weak link
    drain = draw.uniform(2, load * 0.7)
    stage.at(drain, lambda: stage.hosts[drains].drain())
    stage.at(drain + 6, lambda: stage.hosts[drains].drain(False))
    hang = draw.uniform(1, load * 0.7)
    stage.at(hang, lambda: on(hangs, hang=True))
    stage.at(hang + draw.uniform(1, 5), lambda: stage.hosts[hangs].resume())
    error = draw.uniform(1, load * 0.7)
    stage.at(error, lambda: on(errs, errors=0.7))
    stage.at(error + 3, lambda: on(errs, errors=0.0))
    late = draw.uniform(1, load * 0.7)
    stage.at(late, lambda: on(slow, slow=draw_slow, weak=1.6))
    stage.at(late + 4, lambda: on(slow, slow=0, weak=1.0))
    draw_slow = draw.choice([200_000, 900_000, 1_995_000])


def bad_day(stage: Any, day: Day, seed: int) -> None:
    """Script a day on which most of what can go wrong does."""
    draw = random.Random(f"{seed}/faults")
    hosts = draw.sample(range(day.hosts), 6 * day.sets)
    for first in range(0, len(hosts), 6):
        _strike(stage, day, draw, hosts[first : first + 6])
    # gateways killed and started again, holding their last list; never most of them at once
    for number in range(max(1, min(day.sets, day.gateways // 4))):
        gateway = (draw.randrange(day.gateways) + number) % day.gateways
        crash = draw.uniform(3, day.load_s * 0.8)
        stage.at(crash, stage.kill_gateway, gateway)
        stage.at(crash + draw.uniform(0.3, 2), stage.start_gateway, gateway)


DRILLS = {"bad-day": Drill(bad_day)}
