"""What putting changed settings in force costs a gateway that holds sessions: one turn that stands still.

A whole real `Gateway` with its sessions in place (`sessions.py`); the change is one title among a hundred, as
most of the 11,000 a day are. Timed alone: the check, which is before it, grows with titles and not with
sessions.
"""

from __future__ import annotations

import time
from typing import Any

from mintmast.config.places import Places
from mintmast.config.shared import Shared, document
from mintmast.configuring import Begun, Live
from mintmast.decisions.gateways.revision_types import RevisionId, Stored
from mintmast.lab.scale.record import Row
from mintmast.lab.scale.sessions import Held

SIZES = (1_000, 10_000, 30_000, 76_500)
CHANGES = 9
NO_FILE: Any = None  # nothing is written here


def measured(size: int, seed: int) -> list[float]:
    """Give the ms of processor time of some changes, one after the other."""
    held = Held(seed)
    held.fill(size)
    gateway, shared = held.gateway, Shared()
    places, now = Places(gateway.config), document(gateway.config.raw)
    live = Live(gateway, Begun(places, shared, Stored(RevisionId(), now), NO_FILE))
    times = []
    for number in range(CHANGES):
        after, why = shared.check(now, b'{"titles":{"more-%d":{"home":1,"copies":2}}}' % number)
        if after is None:
            raise ValueError(f"a change is refused: {why}")
        begin, now = time.process_time_ns(), after
        fault = live.apply(after)
        times.append((time.process_time_ns() - begin) / 1e6)
        if fault:
            raise ValueError(f"a change does not suit: {fault}")
    return times


def rows(sizes: tuple[int, ...] = SIZES, seeds: tuple[int, ...] = (1, 2, 3)) -> list[Row]:
    """Give the longest of some changes at each size; sizes count sessions."""
    out = []
    for size in sizes:
        for seed in seeds:
            note = f"the longest of {CHANGES} changes of one title among a hundred"
            value = max(measured(size, seed))
            out.append(Row("configuration.apply", "ms", "sessions", size, value, seed, note=note))
    return out
