"""Failure detectors weighed on virtual time: `python -m benchmarks.detectors --counts 10,100`.

`members` is the project's own, whole, in `lab.crowd`; `swim` is the same machine with one observer and no
sense of its own slowness. Phi-accrual over full-mesh heartbeats (Hayashibara and others 2004, threshold 8)
and several observers with a stable cut after Rapid (Suresh and others 2018: ten observers, alarm at four
lost of ten probes, cut at nine alarms) are small models of their rules alone, a sample of pairs or subjects.
"""

from __future__ import annotations

import math
import random
import statistics
import time
from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from mintmast.decisions.gateways import members
from mintmast.decisions.gateways.member_status import Liveness
from mintmast.lab.crowd import Crowd

# s between heartbeats or probes, as long as a failed probe in `members`, which probes on sooner after an
# answered one; bytes of a sealed heartbeat with its headers
EVERY, BEAT = 0.5, 100
# mean s between pauses of one gateway, and their span
PAUSES, PAUSE = 60.0, (0.5, 5.0)
# (part of datagrams lost, whether gateways pause)
WEATHERS = [(0.0, False), (0.05, False), (0.2, False), (0.0, True)]


def crowd(count: int, loss: float, pauses: bool, seconds: float, plain: bool) -> dict[str, Any]:
    """Play the real machine; `plain` takes out what was added to SWIM."""
    kept = members.MIN_OBSERVERS, members.MAX_HEALTH_PENALTY, members.PAUSE_THRESHOLD_US
    if plain:
        members.MIN_OBSERVERS, members.MAX_HEALTH_PENALTY, members.PAUSE_THRESHOLD_US = 1, 0, 10**15
    try:
        world = Crowd(count, 1, loss)
        world.run(15)
        world.changes.clear()
        sent, size = sum(world.sent.values()), sum(world.bytes.values())
        if pauses:
            draw = random.Random(2)
            for name in world.names:
                at = draw.expovariate(1 / PAUSES)
                while at < seconds:
                    span = draw.uniform(*PAUSE)
                    world.at(at, world.stop, name)
                    world.at(at + span, world.go_on, name)
                    at += span + draw.expovariate(1 / PAUSES)
        began = time.process_time()
        world.run(seconds)
        cpu = time.process_time() - began
        alarms = {(c.name, c.generation, n) for _, n, c in world.changes if c.liveness is Liveness.CONFIRMED}
        told = {
            "false alarms a gateway-hour": len(alarms) / count / (seconds / 3600),
            "messages/s": (sum(world.sent.values()) - sent) / count / seconds,
            "bytes/s": (sum(world.bytes.values()) - size) / count / seconds,
            "cpu ms/s": 1000 * cpu / count / seconds,
        }
        world.changes.clear()
        for name in world.names:
            world.go_on(name)
        world.run(10)
        world.changes.clear()
        lost = world.names[: max(1, count // 20)]
        at = world.now
        for name in lost:
            world.vanish(name)
        world.run(30)
        seen = [
            (t - at) / 1e6 for t, _, c in world.changes if c.name in lost and c.liveness is Liveness.CONFIRMED
        ]
        return told | times(seen)
    finally:
        members.MIN_OBSERVERS, members.MAX_HEALTH_PENALTY, members.PAUSE_THRESHOLD_US = kept


def third(count: int) -> dict[str, float]:
    """Take a third of the machines away at once, and bring them back: s until all believe what is so."""
    world = Crowd(count, 1)
    world.run(15)
    lost = world.names[: count // 3]
    rest = world.names[len(lost) :]
    for name in lost:
        world.vanish(name)
    gone = _until(world, lambda: all(world.view(n)[x] is Liveness.CONFIRMED for n in rest for x in lost))
    for name in lost:
        world.start(name)
    back = _until(
        world, lambda: all(p is Liveness.HEARD for n in world.names for p in world.view(n).values())
    )
    return {"a third lost, one view s": gone, "back, one view s": back}


def _until(world: Crowd, so: Callable[[], bool]) -> float:
    began = world.now
    while not so() and world.now - began < 120_000_000:
        world.run(0.25)
    return (world.now - began) / 1e6


def times(seen: list[float]) -> dict[str, float]:
    """Give p50 and p99 of times to notice."""
    if len(seen) < 2:
        return {"notice p50 s": math.nan, "notice p99 s": math.nan}
    return {
        "notice p50 s": statistics.median(seen),
        "notice p99 s": statistics.quantiles(seen, n=100, method="inclusive")[98],
    }


def paused(draw: random.Random, seconds: float) -> list[tuple[float, float]]:
    """Draw one gateway's pauses."""
    spans, at = [], draw.expovariate(1 / PAUSES)
    while at < seconds:
        spans.append((at, at + draw.uniform(*PAUSE)))
        at = spans[-1][1] + draw.expovariate(1 / PAUSES)
    return spans


def during(spans: list[tuple[float, float]], at: float) -> bool:
    """Tell whether a time falls into a pause."""
    return any(begin <= at < end for begin, end in spans)


def phi(count: int, loss: float, pauses: bool, seconds: float, pairs: int = 60) -> dict[str, Any]:
    """Model pairs of a full mesh: an alarm where the silence is too unlikely by the gaps of before."""
    draw, alarms, seen = random.Random(3), 0, []
    for _ in range(pairs):
        spans = paused(draw, seconds) if pauses else []
        gaps: deque[float] = deque([EVERY] * 20, 200)
        last, at, alarmed = 0.0, 0.0, False
        while at < seconds:
            at += EVERY
            mean = sum(gaps) / len(gaps)
            spread = max(0.1, math.sqrt(sum((g - mean) ** 2 for g in gaps) / len(gaps)))
            limit = mean + 5.6 * spread  # where a normal tail is 1e-8: phi of 8
            if at - last > limit and not alarmed:
                alarms, alarmed = alarms + 1, True
            if not during(spans, at) and draw.random() >= loss:
                gaps.append(at - last)
                last, alarmed = at, False
        seen.append(limit + draw.uniform(0, EVERY) - EVERY / 2)
    beats = (count - 1) / EVERY
    return {
        "false alarms a gateway-hour": alarms / pairs * (count - 1) / (seconds / 3600),
        "messages/s": beats,
        "bytes/s": beats * BEAT,
        "cpu ms/s": math.nan,
    } | times(seen)


def rapid(count: int, loss: float, pauses: bool, seconds: float, subjects: int = 20) -> dict[str, Any]:
    """Model subjects with ten observers each: cut where nine hear too little; a pause is heard by all."""
    watchers, high = min(10, count - 1), min(9, count - 1)
    draw, alarms, seen = random.Random(4), 0, []
    for _ in range(subjects):
        spans = paused(draw, seconds) if pauses else []
        lasts = [deque([True] * 10, 10) for _ in range(watchers)]
        out = False
        for step in range(int((seconds + 30) / EVERY)):
            at = step * EVERY
            dead = at >= seconds
            for last in lasts:
                fails = dead or during(spans, at) or draw.random() < 1 - (1 - loss) ** 2
                last.append(not fails)
            cut = sum(last.count(False) >= 4 for last in lasts) >= high
            if cut and not out and not dead:
                alarms += 1
            if cut and dead:
                seen.append(at - seconds + EVERY)
                break
            out = cut
    probes = 2 * 2 * watchers / EVERY
    return {
        "false alarms a gateway-hour": alarms / subjects * (count - 1) / (seconds / 3600),
        "messages/s": probes,
        "bytes/s": probes * BEAT,
        "cpu ms/s": math.nan,
    } | times(seen)


@click.command()
@click.option("--counts", default="10,100", show_default=True, help="Gateways, separated by commas.")
@click.option("--seconds", default=120.0, show_default=True, help="Virtual time of each run.")
@click.option("--jobs", default=1, show_default=True, help="Runs at once.")
def main(counts: str, seconds: float, jobs: int) -> None:
    """Print one table, and below it what the loss of a third is like."""
    sizes = [int(each) for each in counts.split(",")]
    runs = [(count, loss, pauses, seconds) for count in sizes for loss, pauses in WEATHERS]
    with ProcessPoolExecutor(jobs) as pool:
        thirds = pool.map(third, sizes)
        _table(runs, pool.map(_rows, runs))
        for count, told in zip(sizes, thirds, strict=True):
            print(f"{count} gateways: " + ", ".join(f"{name} {value:.3g}" for name, value in told.items()))


def _rows(run: tuple[int, float, bool, float]) -> dict[str, dict[str, Any]]:
    count, loss, pauses, seconds = run
    return {
        "members": crowd(count, loss, pauses, seconds, False),
        "swim": crowd(count, loss, pauses, seconds, True),
        "phi mesh": phi(count, loss, pauses, 1800),
        "several observers": rapid(count, loss, pauses, 1800),
    }


def _table(runs: list[tuple[int, float, bool, float]], results: Iterable[dict[str, dict[str, Any]]]) -> None:
    columns: list[str] = []
    for (count, loss, pauses, _), rows in zip(runs, results, strict=True):
        for name, row in rows.items():
            if not columns:
                columns = list(row)
                print("| gateways | loss | pauses | detector | " + " | ".join(columns) + " |")
                print("| --- " * (4 + len(columns)) + "|")
            told = " | ".join("-" if math.isnan(row[c]) else f"{row[c]:.3g}" for c in columns)
            print(f"| {count} | {loss:.0%} | {'yes' if pauses else 'no'} | {name} | {told} |", flush=True)


if __name__ == "__main__":
    main()
