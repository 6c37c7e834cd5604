"""Measures what module and book cost a set-up, without a network: `python -m benchmarks.book [--count N]`.

To compare two trees run it by turns in both; the figure is the least of some rounds, as noise only adds.
"""

from __future__ import annotations

import argparse
import json
import time

from benchmarks.gateway import fresh_book, set_up
from mintmast.decisions import messages as msg

SECOND = 1_000_000


def once(count: int) -> float:
    """Give µs a session that is asked for, set up, and ended at its host."""
    book = fresh_book()
    now, playing = 100 * SECOND, []
    begin = time.perf_counter()
    for number in range(count):
        now += 2000
        playing += [(each.server, each.session) for each in set_up(book, now, number)]
        if len(playing) > 300:
            book.handle(now, msg.SessionEnded(*playing.pop(0)))
    return (time.perf_counter() - begin) / count * 1e6


def main() -> None:
    """Print the least of the rounds."""
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--count", type=int, default=3000)
    arguments.add_argument("--rounds", type=int, default=5)
    options = arguments.parse_args()
    rounds = [once(options.count) for _ in range(options.rounds)]
    print(json.dumps({"us_a_session": round(min(rounds), 1), "rounds": [round(each, 1) for each in rounds]}))


if __name__ == "__main__":
    main()
