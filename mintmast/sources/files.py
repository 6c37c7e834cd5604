"""Source of the server list: a watched file, applied as a whole or not at all.

The file is polled and compared by content, so that it does not matter how it was written: renamed over,
truncated and rewritten, a symbolic link changed, a directory swapped, removed and restored. A text that is no
complete JSON document may be half written: it is reported as invalid only after several polls.
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

# polls of an unchanged text that is no JSON before it is reported: writers need well under a second
POLLS_BEFORE_REPORT = 5
# bytes; a list of 10,000 servers is 2 MB
MAX_FILE_BYTES = 64 << 20


Small = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


class Server(msgspec.Struct, forbid_unknown_fields=True, gc=False):
    """A row of the file, with the bounds of the schema: decoding checks them in a fortieth of its time."""

    address: Annotated[str, msgspec.Meta(pattern=ADDRESS, max_length=4096)]
    cell: Small
    zone: Small = 0
    kind: Small = 0
    weight: Annotated[float, msgspec.Meta(ge=1e-3, le=1e6)] = 1.0
    state: Literal["ready", "draining", "gone"] = "ready"
    started: Annotated[float, msgspec.Meta(ge=0, le=1e12)] = 0.0


class Servers(msgspec.Struct, forbid_unknown_fields=True):
    """The contents of the file."""

    servers: Annotated[list[Server], msgspec.Meta(max_length=100_000)]


def _decode_rows(data: bytes) -> list[Server]:
    try:
        return msgspec.json.decode(data, type=Servers).servers
    except msgspec.DecodeError as error:
        raw = json.loads(data)  # a ValueError where it is no JSON
        # the schema reports all errors at once, each with its place
        errors = [error_line(each) for each in Draft202012Validator(SERVERS).iter_errors(raw)]
        raise ConfigError(sorted(errors) or [str(error)]) from None


def read_servers(data: bytes, fleet: dict[str, Any], now: int, wall: float) -> tuple[ListEntry, ...]:
    """Parse a file's text. Raises ConfigError with all errors, ValueError for no JSON."""
    rows = _decode_rows(data)
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
    """Polls a file at an interval in µs; `on_list` gets each valid version, `on_failure` each fault."""

    def __init__(
        self,
        loop: Loop,
        path: Path,
        interval: int,
        fleet: dict[str, Any],
        on_list: Callable[[tuple[ListEntry, ...]], None],
        on_failure: Callable[[str], None],
        read: Callable[[Path], bytes] = Path.read_bytes,
    ) -> None:
        self.loop, self.path, self.interval, self.fleet = loop, path, interval, fleet
        self._on_list, self._on_failure, self._read = on_list, on_failure, read
        self._digest = b""
        self._unchanged_polls = 0
        self._is_settled = False  # the text was applied or reported

    def start(self) -> None:
        """Poll now, and at the interval from then on."""
        self._poll()

    def _poll(self) -> None:
        self.loop.call_at(self.loop.now() + self.interval, self._poll)
        try:
            data = self._read(self.path)
        except OSError as error:
            self._report_repeated(b"unreadable", f"cannot be read: {error.strerror or error}")
            return
        if len(data) > MAX_FILE_BYTES:
            self._report_repeated(b"large", f"holds {len(data)} bytes; {MAX_FILE_BYTES} at most")
            return
        digest = hashlib.blake2b(data).digest()
        if digest != self._digest:
            self._digest, self._unchanged_polls, self._is_settled = digest, 0, False
        if self._is_settled:
            return
        try:
            entries = read_servers(data, self.fleet, self.loop.now(), self.loop.wall())
        except ConfigError as error:
            self._is_settled = True
            self._on_failure("; ".join(error.errors[:5]))
        except (ValueError, RecursionError) as error:
            self._unchanged_polls += 1
            if self._unchanged_polls >= POLLS_BEFORE_REPORT:
                self._is_settled = True
                self._on_failure(f"not JSON: {error}")
        else:
            self._is_settled = True
            self._on_list(entries)

    def _report_repeated(self, mark: bytes, text: str) -> None:
        if self._digest != mark:
            self._digest, self._unchanged_polls = mark, 0
        self._unchanged_polls += 1
        # between a removal and the new file there is a moment without one
        if self._unchanged_polls == POLLS_BEFORE_REPORT:
            self._on_failure(text)
