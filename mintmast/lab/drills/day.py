"""Size, settings and stand-ins of a drill's day."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from mintmast.lab.hostmodel import HostModel

PAID, FREE = "paid-film", "free-trailer"
LADDER = [(4.0, 0.25), (8.0, 0.55), (16.0, 0.8), (32.0, 1.0)]
# s; how often a viewer comes again after a refusal or a broken connection
TRIES = 4


@dataclass(slots=True, frozen=True)
class Day:
    """Size and course of a drill."""

    hosts: int = 8
    gateways: int = 3
    rate: float = 20.0  # viewers a second
    load_s: float = 16.0
    whole_s: float = 34.0
    shortest: float = 4.0  # s of the shortest clip; the longest lasts four more
    link_kb: float = 300.0
    uplink_kb: float = 900.0  # of each rack
    racks: int = 2
    titles: int = 12
    sets: int = 1  # how often each kind of fault strikes at once: grows with the fleet

    def sized(
        self,
        hosts: int | None = None,
        gateways: int | None = None,
        rate: float | None = None,
        seconds: float | None = None,
        uplink_kb: float | None = None,
        titles: int | None = None,
    ) -> Day:
        """Give the same day for another fleet.

        Racks, titles, faults and (where no rate is given) viewers grow with the hosts; where an uplink is
        given, the racks stay and each gets that one. After `seconds` of load comes as much rest as before.
        """
        count = hosts or self.hosts
        parts = max(1, count // self.hosts)
        load = seconds or self.load_s
        return replace(
            self,
            hosts=count,
            gateways=gateways or self.gateways,
            rate=rate or self.rate * count / self.hosts,
            load_s=load,
            whole_s=self.whole_s - self.load_s + load,
            uplink_kb=uplink_kb or self.uplink_kb,
            racks=self.racks if uplink_kb else self.racks * parts,
            titles=titles or self.titles * parts,
            sets=self.sets * parts,
        )


@dataclass(slots=True, frozen=True)
class Drill:
    """A family of scripted days: `script(stage, day, seed)` sets the faults.

    `prepare(stage, day)` puts in place what must stand before the gateways start; `load` draws the viewers;
    `links` puts a link between every two gateways, whose views are asked for and checked;
    with `stores` they keep records over their death.
    """

    script: Callable[[Any, Day, int], None]
    day: Day = Day()
    prepare: Callable[[Any, Day], None] = lambda stage, day: None
    load: Callable[[Any, Day, int], Any] | None = None
    links: bool = False
    stores: bool = False


def settings(day: Day) -> dict[str, Any]:
    """Give the settings of a drill's gateways."""
    titles = {
        f"gate-{n}": {"home": n % day.hosts, "copies": 4, "seconds": day.shortest + n % 5, "segment_s": 2.0}
        for n in range(day.titles)
    }
    return {
        "instances": day.gateways,
        "zones": ["room-a", "room-b"],
        "classes": [
            {
                "name": PAID, "effect": "single_shot", "aim_ms": 1000, "deadline_ms": 2000, "worth": 3,
                "floor": 1, "seats": 6,
            },
            {"name": FREE, "effect": "free", "aim_ms": 800, "deadline_ms": 3000, "worth": 1, "scale": 0.7},
        ],
        "tenants": [
            {"name": "north-tv", "quota_per_s": 100, "share": 0.67},
            {"name": "island-tv", "quota_per_s": 50, "share": 0.33},
        ],
        "ladder": [{"kb": kb, "worth": value} for kb, value in LADDER],
        "fleet": {
            "kinds": [{"streams": 30}], "cells": day.hosts, "racks": day.racks, "weight_kb": day.link_kb,
            "uplink_kb": day.uplink_kb, "reports": ["x0", "x1"], "note_age_ms": 300,
        },
        "rules": {
            "drain_grace_ms": 1000, "cold_ms": 6000, "cold_from": 0.4, "fall_ms": 1000, "fall_multiple": 2.5,
            "max_attempts": 5, "budget": {"span_ms": 5000, "free": 6, "ratio": 0.3},
        },
        "hosts": {"lease_ms": 4000, "connect_ms": 250, "silent_ms": 2500},
        "limits": {"answer_margin_ms": 150},
        "titles": titles,
    }  # fmt: skip


def model(day: Day) -> HostModel:
    """Give the stand-ins of a drill."""
    return HostModel(link_kb=day.link_kb, cold=6_000_000, fall=1_000_000, idle=5_000_000)
