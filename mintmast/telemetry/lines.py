"""Structured log: one JSON object per event, encoded with msgspec.

No logging library is used: the one tried needed 11 of the 32 MB that a small machine has.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Collection
from typing import IO, Any

import msgspec

LogFunction = Callable[..., None]
# lines per second; further ones are only counted, so that many faulty peers cannot flood the log
MAX_LINES_PER_SECOND = 200


def open_log(path: str) -> IO[str]:
    """Open the log file for appending, line-buffered; `-` is standard output. Raises OSError."""
    return sys.stdout if path == "-" else open(path, "a", buffering=1, encoding="utf-8")


def make_log_function(
    sink: IO[str],
    wall: Callable[[], float],
    max_per_second: int = 0,
    always: Collection[str] = (),
    **bound: Any,
) -> LogFunction:
    """Return a function that writes a JSON line of the bound fields, its own fields, the event and the time.

    `max_per_second` limits the lines, 0 is no limit; events in `always` are exempt. The next line has the
    number of lines that were dropped in `left_out`, including those that could not be written.
    """
    encoder = msgspec.json.Encoder(enc_hook=str)
    second = written = left_out = 0

    def log(event: str, **fields: Any) -> None:
        nonlocal second, written, left_out
        now = wall()
        is_over = max_per_second and int(now) == second and written >= max_per_second
        if is_over and event not in always:
            left_out += 1
            return
        if int(now) != second:
            second, written = int(now), 0
        written += 1
        line = {**bound, **fields, "event": event, "at": round(now, 6)}
        if left_out:
            line["left_out"], left_out = left_out, 0
        try:
            sink.write(encoder.encode(line).decode() + "\n")
            sink.flush()
        except OSError:  # a log that cannot be written must not fail the operation that logs
            left_out += 1

    return log
