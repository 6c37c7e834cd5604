"""Codec of the platform's binary set-up messages, without I/O; checks every bound.

Message: length:2 type:1 call reference:8, then parameters; the length counts the bytes after itself.
Parameter: code:1 length:2 value. Integers are big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

_HEADER = struct.Struct(">HB8s")
_PARAMETER = struct.Struct(">BH")
# smallest length field (type and call reference) and the largest that the protocol allows
_MIN_LENGTH, MAX_MESSAGE_BYTES = 9, 16_384


class MessageKind(IntEnum):
    """Message types; a message that ISUP (ITU-T Q.763) has too carries the same code."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12  # before the answer: refuses, fails or cancels the set-up
    RELEASE_COMPLETE = 16  # acknowledges a release
    NOTE = 44
    MOVE = 51
    HEALTH_CHECK = 52
    HEALTH_CHECK_REPLY = 53
    RUNG = 60


class Param(IntEnum):
    """Parameter codes."""

    CLASS = 16
    TIMEOUT = 18  # ms for which the sender waits for the answer
    TENANT = 20
    RETRY = 22
    TITLE = 24
    PLACEMENT = 26  # such as home:3;copies:2;top:5
    RETRY_AFTER = 28  # ms
    NOTE_NAME = 30
    LOAD = 34
    LENGTH_HINT = 36  # ms
    RUNG = 38
    NOTE_VALUE = 40
    CAUSE = 44
    DESCRIPTION = 46


class Cause(IntEnum):
    """Release causes with their names in ITU-T Q.850, as far as they are used here."""

    NORMAL_CLEARING = 16
    NORMAL_UNSPECIFIED = 31
    NO_CIRCUIT_AVAILABLE = 34
    TEMPORARY_FAILURE = 41
    SWITCHING_EQUIPMENT_CONGESTION = 42
    RESOURCE_UNAVAILABLE = 47
    INVALID_CALL_REFERENCE = 81
    INVALID_MESSAGE = 95
    MANDATORY_ELEMENT_MISSING = 96
    INVALID_ELEMENT_CONTENTS = 100
    TIMER_EXPIRED = 102
    PROTOCOL_ERROR = 111


_KINDS = frozenset(MessageKind)


@dataclass(slots=True, frozen=True)
class Message:
    """A decoded message; `call_id` is its call reference. With `fault` its parameters were malformed."""

    kind: int
    call_id: bytes
    params: dict[int, bytes]
    fault: Cause | None = None

    @property
    def cause(self) -> int | None:
        """Return the cause's number, or None if the parameter is missing or not one byte long."""
        value = self.params.get(Param.CAUSE)
        return value[0] if value is not None and len(value) == 1 else None

    def text(self, param: Param) -> str | None:
        """Return a parameter as text, or None if it is missing or not printable UTF-8."""
        value = self.params.get(param)
        try:
            text = value.decode() if value is not None else ""
        except UnicodeDecodeError:
            return None
        return text if value is not None and text.isprintable() else None


def encode(kind: MessageKind, call_id: bytes, params: Iterable[tuple[Param, bytes]] = ()) -> bytes:
    """Encode a message. Raises ValueError if it would be too long."""
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in params)
    if len(body) + _MIN_LENGTH > MAX_MESSAGE_BYTES:
        raise ValueError(
            f"message of {len(body) + _MIN_LENGTH} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"
        )
    return _HEADER.pack(len(body) + _MIN_LENGTH, kind, call_id) + body


def encode_release(call_id: bytes, cause: Cause | int, retry_after_ms: int = 0) -> bytes:
    """Encode a release; `retry_after_ms` is the retry advice, 0 for none."""
    params = [(Param.CAUSE, bytes((cause,)))]
    if retry_after_ms > 0:
        params.append((Param.RETRY_AFTER, b"%d" % retry_after_ms))
    return encode(MessageKind.RELEASE, call_id, params)


def encode_health_check(call_id: bytes) -> bytes:
    """Encode a health check of the connection."""
    return encode(MessageKind.HEALTH_CHECK, call_id, [(Param.CAUSE, b"\0")])


def encode_health_check_reply(call_id: bytes, passed: bool) -> bytes:
    """Encode the reply to a health check."""
    return encode(MessageKind.HEALTH_CHECK_REPLY, call_id, [(Param.CAUSE, b"\1" if passed else b"\0")])


class MessageReader:
    """Incremental decoder for one connection; `is_broken` once the framing is lost."""

    __slots__ = ("_buffer", "_offset", "is_broken")

    def __init__(self) -> None:
        self._buffer = b""
        self._offset = 0  # of the first byte that is not decoded yet
        self.is_broken = False

    def __len__(self) -> int:
        """Return the number of bytes that are not decoded yet."""
        return len(self._buffer) - self._offset

    def append(self, data: bytes) -> None:
        """Buffer received bytes for `next_message`."""
        if not self.is_broken:
            rest = self._buffer[self._offset :]
            self._buffer, self._offset = rest + data if rest else data, 0

    def next_message(self) -> Message | None:
        """Decode the next message; return None if it is not complete or the framing is lost.

        Once it has returned None, less than one message of the largest length is buffered, whatever length a
        peer announces. An invalid length or type is detected as soon as its bytes are decoded.
        """
        data, offset = self._buffer, self._offset
        available = len(data) - offset
        if available >= 2:
            size = data[offset] << 8 | data[offset + 1]
            if not _MIN_LENGTH <= size <= MAX_MESSAGE_BYTES or (
                available > 2 and data[offset + 2] not in _KINDS
            ):
                self.is_broken = True
                self.clear()
                return None
            if available >= size + 2:
                self._offset = offset + 2 + size
                return _parse_message(data, offset, self._offset)
        self._buffer, self._offset = data[offset:], 0
        return None

    def clear(self) -> None:
        """Drop the buffered bytes."""
        self._buffer, self._offset = b"", 0

    def feed(self, data: bytes) -> list[Message]:
        """Decode received bytes and return the messages that they complete."""
        self.append(data)
        messages = []
        while self._offset < len(self._buffer) and (message := self.next_message()) is not None:
            messages.append(message)
        return messages


def _parse_message(data: bytes, offset: int, end: int) -> Message:
    _, kind, call_id = _HEADER.unpack_from(data, offset)
    offset += _HEADER.size
    params: dict[int, bytes] = {}
    while offset < end:
        if end - offset < _PARAMETER.size:
            return Message(kind, call_id, {}, Cause.INVALID_MESSAGE)
        code, size = _PARAMETER.unpack_from(data, offset)
        offset += _PARAMETER.size
        if size > end - offset or code in params:
            return Message(kind, call_id, {}, Cause.INVALID_MESSAGE)
        params[code] = data[offset : offset + size]
        offset += size
    return Message(kind, call_id, params)
