"""A watched file of servers: read, checked, and taken whole or not at all.

The file is looked at in a fixed pace by its content, so that it does not matter how it was written: renamed
over, truncated and written, a link turned elsewhere, a directory swapped, removed and put back. A text that
is no whole JSON document is taken for half written and looked at again; it is told as wrong when it has
stayed so for a while.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from jsonschema import Draft202012Validator

from mintmast.config.load import ConfigError, error_line, server_faults
from mintmast.config.schema import ADDRESS, SERVERS
from mintmast.interface import ListEntry, ServerState
from mintmast.loop import Loop

# looks at an unchanged text that is no JSON before it is told as wrong: writers need well under a second
HALF_WRITTEN = 5
# bytes; a list of 10,000 servers is 2 MB
MOST_BYTES = 64 << 20


Small = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


class Server(msgspec.Struct, forbid_unknown_fields=True, gc=False):
    """A row of the file; the same bounds as the schema's, checked on the way in at a fortieth of the time."""

    address: Annotated[str, msgspec.Meta(pattern=ADDRESS, max_length=4096)]
    cell: Small
    zone: Small = 0
    kind: Small = 0
    weight: Annotated[float, msgspec.Meta(ge=1e-3, le=1e6)] = 1.0
    state: Literal["ready", "draining", "gone"] = "ready"
    started: Annotated[float, msgspec.Meta(ge=0, le=1e12)] = 0.0


class Servers(msgspec.Struct, forbid_unknown_fields=True):
    """The file."""

    servers: Annotated[list[Server], msgspec.Meta(max_length=100_000)]


def _rows(data: bytes) -> list[Server]:
    try:
        return msgspec.json.decode(data, type=Servers).servers
    except msgspec.DecodeError as error:
        raw = json.loads(data)  # a ValueError where it is no JSON
        # the schema tells all errors at once, each with its place
        errors = [error_line(each) for each in Draft202012Validator(SERVERS).iter_errors(raw)]
        raise ConfigError(sorted(errors) or [str(error)]) from None


def read_servers(data: bytes, fleet: dict[str, Any], now: int, wall: float) -> tuple[ListEntry, ...]:
    """Give the entries of a file's text. Raises ConfigError with all errors, ValueError for no JSON."""
    rows = _rows(data)
    errors = list(server_faults(((row.address, row.cell, row.kind) for row in rows), fleet))
    if not any(row.state == "ready" for row in rows):
        errors.append(f"servers: none of {len(rows)} is ready")
    if errors:
        raise ConfigError(errors)
    return tuple(
        ListEntry(
            row.address.encode(),
            ServerState[row.state.upper()],
            max(1, now - int((wall - row.started) * 1e6)) if row.started else 0,
            row.cell,
            row.zone,
            row.kind,
            row.weight,
        )
        for row in rows
    )


class WatchedFile:
    """Looks at a file every `every` µs; `good` hears each new whole version, `bad` why one was not taken."""

    def __init__(
        self,
        loop: Loop,
        path: Path,
        every: int,
        fleet: dict[str, Any],
        good: Callable[[tuple[ListEntry, ...]], None],
        bad: Callable[[str], None],
        read: Callable[[Path], bytes] = Path.read_bytes,
    ) -> None:
        self.loop, self.path, self.every, self.fleet = loop, path, every, fleet
        self._good, self._bad, self._read = good, bad, read
        self._digest = b""
        self._same = 0
        self._settled = False

    def start(self) -> None:
        """Look now, and from now on."""
        self._look()

    def _look(self) -> None:
        self.loop.call_at(self.loop.now() + self.every, self._look)
        try:
            data = self._read(self.path)
        except OSError as error:
            self._once(b"unreadable", f"cannot be read: {error.strerror or error}")
            return
        if len(data) > MOST_BYTES:
            self._once(b"large", f"holds {len(data)} bytes; {MOST_BYTES} at most")
            return
        digest = hashlib.blake2b(data).digest()
        if digest != self._digest:
            self._digest, self._same, self._settled = digest, 0, False
        if self._settled:
            return
        try:
            entries = read_servers(data, self.fleet, self.loop.now(), self.loop.wall())
        except ConfigError as error:
            self._settled = True
            self._bad("; ".join(error.errors[:5]))
        except (ValueError, RecursionError) as error:
            self._same += 1
            if self._same >= HALF_WRITTEN:
                self._settled = True
                self._bad(f"not JSON: {error}")
        else:
            self._settled = True
            self._good(entries)

    def _once(self, mark: bytes, text: str) -> None:
        if self._digest != mark:
            self._digest, self._same = mark, 0
        self._same += 1
        if self._same == HALF_WRITTEN:  # between a removal and the new file there is a moment without one
            self._bad(text)
