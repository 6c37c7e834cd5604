"""The watched file of servers is written badly, in part and well."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

from mintmast.lab.drills.day import Day, Drill


def files(stage: Any, day: Day, seed: int) -> None:
    """Script broken, partial and good versions of the file of servers, written while requests flow."""
    draw = random.Random(f"{seed}/faults")
    path = Path(stage.settings["list"]["file"])
    rogue = {"address": stage.hosts[day.hosts - 1].name, "cell": day.hosts - 1}  # in broken versions only
    known = list(range(day.hosts - 2))
    late, leaving = day.hosts - 2, draw.sample(known, 2 * day.sets)
    drains, gone = leaving[: day.sets], leaving[day.sets :]

    def rows(numbers: Any, **states: str) -> list[dict[str, Any]]:
        return [stage.listed(n, state=states.get(f"n{n}", "ready")) for n in numbers]

    def write(listed: list[dict[str, Any]], good: bool = True, cut: float = 1.0, over: bool = True) -> None:
        data = json.dumps({"servers": listed}).encode()
        data = data[: int(len(data) * cut)]
        if over:
            beside = path.with_suffix(".beside")
            beside.write_bytes(data)
            beside.replace(path)
        else:
            path.write_bytes(data)
        states = {each["address"]: each.get("state", "ready") for each in listed}
        if good:
            stage.record("list_written", states=states)

    first = rows(known)
    drained = {f"n{n}": "draining" for n in drains}
    half = draw.sample(first, len(first) // 2)
    with_late = [*known, late]
    step = day.load_s / 9
    acts: list[Any] = [
        lambda: write([*first, rogue], False, draw.uniform(0.3, 0.98), False),  # caught half written
        lambda: write([*first, {**rogue, "cell": 10**6}], False),  # no such cell
        lambda: write([], False),  # names no servers at all
        lambda: write(half, False),  # half empty for a moment: held back, nobody is to be lost
        lambda: write(first),
        lambda: write(rows(with_late, **drained)),  # one more, one drains
        path.unlink,
        lambda: write([*rows(with_late), rogue], False, draw.uniform(0.3, 0.98), False),
        lambda: write(rows(with_late, **drained, **{f"n{n}": "gone" for n in gone})),
    ]
    order = [*range(5)]
    draw.shuffle(order)
    for place, act in enumerate([*(acts[number] for number in order), *acts[5:]]):
        stage.at(0.5 + step * place + draw.uniform(0, step / 2), act)


def prepare(stage: Any, day: Day) -> None:
    """Write the file's first version: all hosts but the last two."""
    path = Path(stage.folder.name, "servers.json")
    stage.settings["list"] = {"file": str(path), "every_ms": 200}
    listed = [stage.listed(number) for number in range(day.hosts - 2)]
    path.write_text(json.dumps({"servers": listed}), encoding="utf-8")
    stage.record("list_written", states={each["address"]: "ready" for each in listed})


DAY = Day(hosts=10, rate=18.0, load_s=18.0, whole_s=36.0, link_kb=300.0, uplink_kb=1200.0)
DRILLS = {"files": Drill(files, DAY, prepare)}
