"""Log lines: one JSON object an event, by msgspec.

No logging library beside it: the one tried took 11 of the 32 MB that a small machine has.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import IO, Any

import msgspec

LogFunction = Callable[..., None]
# lines a second beyond which they are only counted: a flood of bad peers must not become one of lines
MAX_LINES_PER_SECOND = 200


def open_log(path: str) -> IO[str]:
    """Open the log's file, line by line; `-` is standard output. Raises OSError."""
    return sys.stdout if path == "-" else open(path, "a", buffering=1, encoding="utf-8")


def make_log_function(
    sink: IO[str], wall: Callable[[], float], max_per_second: int = 0, **bound: Any
) -> LogFunction:
    """Give the function that writes a line: JSON of what is bound, the fields, the event and its time.

    With `most`, no more lines a second are written; `left_out` tells how many were not, in the next one, also
    those that the sink did not take.
    """
    encoder = msgspec.json.Encoder(enc_hook=str)
    second = written = left_out = 0

    def say(event: str, **fields: Any) -> None:
        nonlocal second, written, left_out
        now = wall()
        if max_per_second and int(now) == second and written >= max_per_second:
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
        except OSError:  # nobody reads it: no reason to fail what was to be told
            left_out += 1

    return say
