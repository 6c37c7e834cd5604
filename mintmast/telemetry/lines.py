"""Log lines: one JSON object an event, by msgspec.

No logging library beside it: the one tried took 11 of the 32 MB that a small machine has.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import IO, Any

import msgspec

Say = Callable[..., None]


def open_log(path: str) -> IO[str]:
    """Open the log's file, line by line; `-` is standard output. Raises OSError."""
    return sys.stdout if path == "-" else open(path, "a", buffering=1, encoding="utf-8")


def line_writer(sink: IO[str], wall: Callable[[], float], **bound: Any) -> Say:
    """Give the function that writes a line: JSON of what is bound, the fields, the event and its time."""
    encoder = msgspec.json.Encoder(enc_hook=str)

    def say(event: str, **fields: Any) -> None:
        line = {**bound, **fields, "event": event, "at": round(wall(), 6)}
        sink.write(encoder.encode(line).decode() + "\n")
        sink.flush()

    return say
