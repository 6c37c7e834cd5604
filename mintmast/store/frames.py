"""Frames between a gateway and the process that writes its records: a length in four bytes, MessagePack."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

# bytes of one frame; what is longer is no word of a gateway's
MOST_FRAME = 1 << 24


def framed(what: object) -> bytes:
    """Give a frame."""
    data = msgspec.msgpack.encode(what)
    return len(data).to_bytes(4) + data


class Frames:
    """Cuts a stream into frames. Raises ValueError for one that is too long."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Take bytes and give the frames that are whole."""
        self._buffer += data
        while len(self._buffer) >= 4:
            length = int.from_bytes(self._buffer[:4])
            if length > MOST_FRAME:
                raise ValueError(f"a frame of {length} bytes")
            if len(self._buffer) < 4 + length:
                return
            frame = bytes(self._buffer[4 : 4 + length])
            del self._buffer[: 4 + length]
            yield frame
