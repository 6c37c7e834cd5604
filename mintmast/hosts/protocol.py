"""Words of the media host protocol that both sides need: paths, marks, load header, event lines."""

from __future__ import annotations

import math
from typing import Any

import msgspec

# reply field of a host that did not run the set-up: `full`, `draining` or `fenced`
NEVER_RAN = "Mintmast-Never-Ran"
LOAD = "endpoint-load-metrics"
# reply field with a reading of the host's clock, in µs
CLOCK = "Mintmast-Clock"


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
