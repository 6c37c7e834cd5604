"""Empties a host of 1,000 sessions in memory: time beside the least possible, and service of the others.

`python -m benchmarks.drain [--sessions 1000]`. Virtual time; the figures are the same on every machine. The
least possible time is the first poll of each player (up to a TTL) and then the pace at which the others take
set-ups.
"""

from __future__ import annotations

import argparse
import json
from typing import Any

from mintmast.lab.drills import FREE, Day, settings
from mintmast.lab.hostmodel import HostModel
from mintmast.lab.stage import MemoryStage
from mintmast.player import Player, Report

SECOND = 1_000_000


def play(sessions: int, cold: bool, drain: bool) -> dict[str, Any]:
    """Fill one host, open the others, drain the first; give what was seen."""
    hosts = 5
    day = Day(hosts=hosts, gateways=1, link_kb=1e6, uplink_kb=1e7, shortest=58.0)
    conf = settings(day)
    conf["fleet"].update(kinds=[{"streams": 2 * sessions}], weight_kb=1e6)
    conf["rules"]["budget"] = None
    conf["classes"][1]["deadline_ms"] = 5000
    for title in conf["titles"].values():
        title.update(copies=hosts, seconds=60.0)
    model = HostModel(link_kb=1e6, streams=2 * sessions, cold=12_000_000, fall=1_000_000, idle=8_000_000)
    conf["rules"].update(cold_ms=12_000, fall_ms=1000)
    stage = MemoryStage(1, conf, model)
    for number in range(hosts):
        stage.start_host(number)
    stage.start_gateway(0)
    stage.begin()
    stage.run(13)
    reports: list[Report] = []
    for number in range(1, hosts):
        stage.hosts[number].drain()
    stage.run(13.5)

    def begin(number: int) -> None:
        token = stage.token(f"v{number}", "north-tv", FREE, 1, f"k{number}")
        url = f"{stage.gateway_url(0)}/dash/gate-{number % 12}/manifest.mpd"
        headers = [("Authorization", f"Bearer {token}")]
        Player(stage.viewers, stage.client, url, headers, 5 * SECOND, reports.append)

    for number in range(sessions):
        stage.at(14 + 8 * number / sessions, begin, number)
    stage.run(24)
    first = stage.hosts[0]
    for number in range(1, hosts):
        if cold:
            stage.kill_host(number)
            stage.start_host(number, True)
        else:
            stage.hosts[number].drain(False)
    stage.run(24.8)
    began, held = stage.now(), len(first.sessions)
    if drain:
        first.drain()
    emptied = None
    while stage.now() < began + 45 * SECOND:
        stage.run((stage.now() - stage.origin) / 1e6 + 0.05)
        if not first.sessions and emptied is None:
            emptied = (stage.now() - began) / 1e6
    stage.run(110)
    late = [row for row in stage.rows if row["what"] == "fell"]
    return {
        "sessions": held,
        "emptied_s": emptied,
        "moved": sum(report.moves for report in reports),
        "gaps": sum(report.gaps for report in reports),
        "longest_gap_s": round(max((report.longest_gap_s for report in reports), default=0.0), 3),
        "played_s": round(sum(report.played_s for report in reports), 1),
        "hosts_fallen": len(late),
    }


def least(sessions: int, cold: bool, ttl: float = 3.0) -> float:
    """Give the least time in s: players poll within a TTL, cold hosts take no more than their pace."""
    if not cold:
        return ttl
    streams, warm, share, others = 2 * sessions, 12.0, 0.4, 4
    moved, at, step = 0.0, 0.0, 0.05
    while moved < sessions:
        warmth = min(1.0, share + (1 - share) * at / warm)
        moved += 2.5 * streams / warm * warmth * others * step
        at += step
    return max(ttl, at)


def main() -> None:
    """Run warm, cold and undisturbed, and print one JSON object."""
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--sessions", type=int, default=1000)
    options = arguments.parse_args()
    result = {
        name: {**play(options.sessions, cold, drain), "least_s": round(least(options.sessions, cold), 2)}
        for name, cold, drain in (("warm", False, True), ("cold", True, True), ("undisturbed", False, False))
    }
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
