"""Server-sent events from bytes (WHATWG HTML, 9.2.6)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

# bytes of one event; a longer one is from no sender of ours
MAX_EVENT_BYTES = 65_536


class EventReader:
    """Reads `event` and `data` fields; other fields and comments are passed over."""

    def __init__(
        self, on_event: Callable[[str, dict[str, Any]], None], max_bytes: int = MAX_EVENT_BYTES
    ) -> None:
        self._take, self._max_bytes = on_event, max_bytes
        self._partial_line = b""
        self._kind = ""
        self._data: list[str] = []
        self._size = 0

    def feed(self, data: bytes) -> bool:
        """Take bytes; False where they are no events and the line had better be closed."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) > self._max_bytes:
            return False
        for raw in lines:
            if len(raw) > self._max_bytes:
                return False
            line = raw.rstrip(b"\r").decode("utf-8", "replace")
            if not line:
                if not self._dispatch():
                    return False
                continue
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "event":
                self._kind = value
            elif name == "data":
                self._data.append(value)
                self._size += len(value)
                if self._size > self._max_bytes:
                    return False
        return True

    def _dispatch(self) -> bool:
        kind, text = self._kind, "\n".join(self._data)
        self._kind, self._data, self._size = "", [], 0
        if not text:
            return True
        try:
            fields = msgspec.json.decode(text)
        except (msgspec.DecodeError, RecursionError):
            return False
        if not isinstance(fields, dict):
            return False
        self._take(kind or "message", fields)
        return True
