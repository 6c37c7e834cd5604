"""Words of the media host protocol that both sides need: paths, marks, load header, event lines."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import msgspec

# reply field of a host that did not run the set-up: `full`, `draining` or `fenced`
NEVER_RAN = "Mintmast-Never-Ran"
LOAD = "endpoint-load-metrics"
# reply field with a reading of the host's clock, in µs
CLOCK = "Mintmast-Clock"
# bytes of one event line; a longer one is from no host of ours
MAX_LINE = 65_536


def load_header(use: dict[str, float]) -> str:
    """Give the ORCA header's value in its JSON form."""
    return "JSON " + msgspec.json.encode({"named_metrics": use}).decode()


def read_load(value: str, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Read an ORCA header, JSON or TEXT form; () where it does not hold all `fields` as finite numbers."""
    form, _, rest = value.strip().partition(" ")
    told: dict[str, Any] = {}
    try:
        if form == "JSON":
            body = msgspec.json.decode(rest)
            named = body.get("named_metrics", {}) if isinstance(body, dict) else {}
            told = named if isinstance(named, dict) else {}
        elif form == "TEXT":
            for part in rest.split(","):
                name, _, number = part.strip().partition("=")
                told[name.removeprefix("named_metrics.")] = float(number)
    except (ValueError, msgspec.DecodeError, RecursionError):
        return ()
    load = []
    for name in fields:
        number = told.get(name)
        if isinstance(number, bool) or not isinstance(number, int | float) or not math.isfinite(number):
            return ()
        load.append(float(number))
    return tuple(load)


def event(kind: str, **fields: Any) -> bytes:
    """Give one server-sent event."""
    return b"event: %b\ndata: %b\n\n" % (kind.encode(), msgspec.json.encode(fields))


class EventReader:
    """Server-sent events from bytes (WHATWG HTML, 9.2.6): `event` and `data` fields, comments passed over."""

    def __init__(self, take: Callable[[str, dict[str, Any]], None]) -> None:
        self._take = take
        self._rest = b""
        self._kind, self._data = "", []

    def feed(self, data: bytes) -> bool:
        """Take bytes; False where they are no events and the line had better be closed."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > MAX_LINE:
            return False
        for raw in lines:
            if len(raw) > MAX_LINE:
                return False
            line = raw.rstrip(b"\r").decode("utf-8", "replace")
            if not line:
                kind, text = self._kind, "\n".join(self._data)
                self._kind, self._data = "", []
                if not text:
                    continue
                try:
                    fields = msgspec.json.decode(text)
                except (msgspec.DecodeError, RecursionError):
                    return False
                if not isinstance(fields, dict):
                    return False
                self._take(kind or "message", fields)
                continue
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "event":
                self._kind = value
            elif name == "data":
                self._data.append(value)
                if sum(map(len, self._data)) > MAX_LINE:
                    return False
        return True
