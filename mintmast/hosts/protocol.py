"""Elements of the media host protocol that both sides use: header names, load, clocks, events.

The protocol is specified in docs/design/media-host-protocol.md.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

from mintmast.http.client import Address

# reply header of a host that did not run the set-up: `full`, `draining` or `fenced`
NEVER_RAN = "Mintmast-Never-Ran"
# reply header with the host's load (ORCA)
LOAD = "endpoint-load-metrics"
# reply header with a reading of the host's clock, in µs
CLOCK = "Mintmast-Clock"
# digits of a clock reading: all numbers of so many fit into 64 bits
MAX_CLOCK_DIGITS = 18


def parse_server_address(server: bytes) -> Address:
    """Return the host and port that a server's id consists of."""
    host, _, port = server.decode().rpartition(":")
    return host, int(port)


def encode_load(utilisation: dict[str, float]) -> str:
    """Return the value of the ORCA header in its JSON form."""
    return "JSON " + msgspec.json.encode({"named_metrics": utilisation}).decode()


def parse_load(value: str, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Parse an ORCA header, JSON or TEXT form; return () if not all `fields` are present and finite."""
    form, _, text = value.strip().partition(" ")
    metrics: dict[str, Any] = {}
    try:
        if form == "JSON":
            body = msgspec.json.decode(text)
            named = body.get("named_metrics", {}) if isinstance(body, dict) else {}
            metrics = named if isinstance(named, dict) else {}
        elif form == "TEXT":
            for part in text.split(","):
                name, _, number = part.strip().partition("=")
                metrics[name.removeprefix("named_metrics.")] = float(number)
    except (ValueError, msgspec.DecodeError, RecursionError):
        return ()
    load = []
    for name in fields:
        number = metrics.get(name)
        if isinstance(number, bool) or not isinstance(number, int | float) or not math.isfinite(number):
            return ()
        load.append(float(number))
    return tuple(load)


def parse_clock(reading: object) -> int:
    """Return the reading of a clock in µs, -1 if it is not one."""
    text = str(reading)
    return int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_CLOCK_DIGITS else -1


def encode_event(kind: str, **fields: Any) -> bytes:
    """Return one server-sent event."""
    return b"event: %b\ndata: %b\n\n" % (kind.encode(), msgspec.json.encode(fields))
