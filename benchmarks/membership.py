"""Times a list of servers from its bytes to the module, one turn each: `python -m benchmarks.membership`."""

from __future__ import annotations

import json
import time
from typing import Any

from mintmast.decide import Controller
from mintmast.decisions import messages as msg
from mintmast.decisions.hosts.merging import Merger
from mintmast.decisions.sessions.book import SessionBook
from mintmast.interface import ListKind
from mintmast.lab.stage import ACCESS, SESSION
from mintmast.sources.files import read_servers

SECOND = 1_000_000


def measure(count: int) -> dict[str, float]:
    """Give the times for a full list of `count` servers and for a change of one in a hundred."""
    from mintmast.config import parse
    from mintmast.lab.drills import Day, settings

    conf = settings(Day())
    conf["fleet"]["cells"] = 0
    config = parse({**conf, "tokens": {"access": [ACCESS], "session": [SESSION]}})
    rows = [{"address": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:9000", "cell": n % 600} for n in range(count)]
    held = SessionBook(config.settings, Controller(config.settings, 1).handle, 10 * SECOND)
    held.start(1)
    merger, times = Merger(("file",)), {}

    def timed(name: str, do: Any, *args: Any) -> Any:
        begin = time.perf_counter()
        result = do(*args)
        times[name] = round((time.perf_counter() - begin) * 1000, 2)
        return result

    for kind in ("full", "one in a hundred"):
        data = json.dumps({"servers": rows}).encode()
        entries = timed(f"{kind}: read and check", read_servers, data, config["fleet"], SECOND, time.time())
        changed = timed(f"{kind}: merge", merger.update_source, SECOND, "file", entries)
        news = msg.ServerListUpdate(ListKind.DELTA, 1, tuple(changed))
        timed(f"{kind}: hand over", held.handle, SECOND, news)
        for row in rows[::100]:
            row["state"] = "draining"
    return times


if __name__ == "__main__":
    print(json.dumps({count: measure(count) for count in (100, 1000, 10_000)}, indent=1))
