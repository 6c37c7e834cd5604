"""Reader and writer of the platform's messages for stand-ins and audit.

Written from the protocol page, apart from `mintmast.signalling.messages`, so that a fault in the gateway's
codec cannot hide itself.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

SET_UP, ANSWER, RELEASE, RELEASE_COMPLETE = 1, 9, 12, 16
HEALTH_CHECK, HEALTH_CHECK_REPLY = 52, 53
CLASS, TIMEOUT, TENANT, TITLE, PLACEMENT, LENGTH_HINT, CAUSE, DESCRIPTION = 16, 18, 20, 24, 26, 36, 44, 46
NORMAL_CLEARING, FULL, TEMPORARY_FAILURE, CONGESTION, MOOT = 16, 34, 41, 42, 102
# causes of a release before the answer that promise that nothing ran
REFUSAL_CAUSES = frozenset({FULL, CONGESTION, MOOT})
_HEADER_BYTES, _CALL_ID_BYTES = 3, 8


@dataclass(slots=True, frozen=True)
class Frame:
    """One message: its type, its call id and its parameters by code."""

    kind: int
    call_id: bytes
    params: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int | None:
        """Return the cause, or None if the message has none."""
        value = self.params.get(CAUSE)
        return value[0] if value else None


def encode_frame(kind: int, call_id: bytes, params: dict[int, bytes] | None = None) -> bytes:
    """Encode a message."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in (params or {}).items())
    return struct.pack(">HB", 1 + _CALL_ID_BYTES + len(body), kind) + call_id + body


def encode_release_frame(call_id: bytes, cause: int) -> bytes:
    """Encode a release with a cause."""
    return encode_frame(RELEASE, call_id, {CAUSE: bytes((cause,))})


class FrameReader:
    """Splits the bytes of one connection into messages."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Frame]:
        """Return the messages that `data` completes. Raises ValueError if they cannot be read."""
        self._buffer += data
        frames = []
        while len(self._buffer) >= 2:
            end = 2 + int.from_bytes(self._buffer[:2])
            if len(self._buffer) < end:
                break
            frames.append(_decode(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        return frames


def _decode(data: bytes) -> Frame:
    offset = _HEADER_BYTES + _CALL_ID_BYTES
    if len(data) < offset:
        raise ValueError(f"a message of {len(data)} bytes has no call id")
    params = {}
    while offset < len(data):
        code, size = struct.unpack_from(">BH", data, offset)
        offset += 3
        if offset + size > len(data):
            raise ValueError(f"parameter {code} is longer than its message")
        params[code] = data[offset : offset + size]
        offset += size
    return Frame(data[2], data[_HEADER_BYTES : _HEADER_BYTES + _CALL_ID_BYTES], params)
