"""Troubles of the registry that tells the servers."""

from __future__ import annotations

import random
from functools import partial
from typing import Any

from mintmast.lab.drills.day import Day, Drill
from mintmast.lab.drills.files import DAY


def registry(stage: Any, day: Day, seed: int, kind: str = "") -> None:
    """Script a registry's troubles: answers that are none, a dark one, a half-empty list, changes."""
    draw = random.Random(f"{seed}/faults")
    first, second = stage.registries
    known = list(range(day.hosts - 2))
    leaving, late = draw.sample(known, 2 * day.sets), day.hosts - 2
    drains, stops = leaving[: day.sets], leaving[day.sets :]
    load = day.load_s

    def both(**faults: Any) -> None:
        for node in (first, second):
            for name, value in faults.items():
                setattr(node, name, value)

    if kind == "calm":
        return
    if kind == "dark":
        stage.at(load * 0.2, lambda: both(hang=True))
        return
    if kind == "half":
        begin = draw.uniform(1, load / 2)
        stage.at(begin, lambda: both(half=0.5))
        stage.at(begin + draw.uniform(0.3, 6.0), lambda: both(half=1.0))
        return
    faults = ["hang", "cut", "wrong_hash", "wrong_types", "packed", "errors", "form"]
    draw.shuffle(faults)
    step = load / 10
    for place, fault in enumerate(faults):  # one node after the other, each for a while
        node = draw.choice([first, second])
        value, back = {"errors": (500, 0), "form": ("xml", "json")}.get(fault, (True, False))
        begin = step * (place + draw.random() / 2)
        stage.at(begin, setattr, node, fault, value)
        stage.at(begin + step, setattr, node, fault, back)
    stage.at(load * 0.3, stage.tell_registries, late)
    for number in drains:
        stage.at(load * 0.8, stage.tell_registries, number, "OUT_OF_SERVICE")
    for number in stops:
        stage.at(load * 0.85, stage.tell_registries, number, "DOWN")


def prepare(stage: Any, day: Day) -> None:
    """Start two registry nodes that know all hosts but the last two."""
    stage.start_registries(2)
    for number in range(day.hosts - 2):
        stage.tell_registries(number)


DRILLS = {
    "registry": Drill(registry, DAY, prepare),
    "registry-calm": Drill(partial(registry, kind="calm"), DAY, prepare),
    "registry-dark": Drill(partial(registry, kind="dark"), DAY, prepare),
    "registry-half": Drill(partial(registry, kind="half"), DAY, prepare),
}
