"""Codec of the platform's set-up messages, without I/O: bytes in, messages out, every bound checked.

A message is length:2 type:1 session:8 and parameters, its length counts all that follows it; a parameter is
code:1 length:2 value. Numbers are big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

_HEADER = struct.Struct(">HB8s")
_PARAMETER = struct.Struct(">BH")
# bytes of type and session, and of the longest message that the protocol allows
_MIN_LENGTH, MAX_MESSAGE_BYTES = 9, 16_384


class MessageKind(IntEnum):
    """Types of messages."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12  # before the answer a refusal, a failure or a set-up given up
    RELEASE_COMPLETE = 16
    NOTE = 44
    MOVE = 51
    HEALTH_CHECK = 52
    HEALTH_CHECK_REPLY = 53
    RUNG = 60


class Param(IntEnum):
    """Codes of parameters."""

    CLASS = 16
    TIMEOUT = 18  # ms that the sender waits for the answer
    TENANT = 20
    RETRY = 22
    TITLE = 24
    PLACEMENT = 26
    RETRY_AFTER = 28  # ms
    NOTE_NAME = 30
    LOAD = 34
    LENGTH_HINT = 36  # ms
    RUNG = 38
    NOTE_VALUE = 40
    CAUSE = 44
    DESCRIPTION = 46


class Cause(IntEnum):
    """Causes by their names in ITU-T Q.850, as far as they are used here."""

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
    """One message; with `fault` its parameters could not be read."""

    kind: int
    call_id: bytes
    params: dict[int, bytes]
    fault: Cause | None = None

    @property
    def cause(self) -> int | None:
        """Give the cause's number, or None where there is none of one byte."""
        value = self.params.get(Param.CAUSE)
        return value[0] if value is not None and len(value) == 1 else None

    def text(self, param: Param) -> str | None:
        """Give a parameter as text; None where it is absent or not printable UTF-8."""
        value = self.params.get(param)
        try:
            text = value.decode() if value is not None else ""
        except UnicodeDecodeError:
            return None
        return text if value is not None and text.isprintable() else None


def encode(kind: MessageKind, call_id: bytes, params: Iterable[tuple[Param, bytes]] = ()) -> bytes:
    """Give the bytes of a message. Raises ValueError where it would be too long."""
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in params)
    if len(body) + _MIN_LENGTH > MAX_MESSAGE_BYTES:
        raise ValueError(f"a message of {len(body) + _MIN_LENGTH} bytes")
    return _HEADER.pack(len(body) + _MIN_LENGTH, kind, call_id) + body


def encode_release(call_id: bytes, cause: Cause | int, retry_after_ms: int = 0) -> bytes:
    """Give a release; `stay_away` in ms, 0 for none."""
    params = [(Param.CAUSE, bytes((cause,)))]
    if retry_after_ms > 0:
        params.append((Param.RETRY_AFTER, b"%d" % retry_after_ms))
    return encode(MessageKind.RELEASE, call_id, params)


def encode_health_check(call_id: bytes) -> bytes:
    """Give a test of the connection."""
    return encode(MessageKind.HEALTH_CHECK, call_id, [(Param.CAUSE, b"\0")])


def encode_health_check_reply(call_id: bytes, passed: bool) -> bytes:
    """Give the answer to a test."""
    return encode(MessageKind.HEALTH_CHECK_REPLY, call_id, [(Param.CAUSE, b"\1" if passed else b"\0")])


class MessageReader:
    """Messages from the bytes of one connection; `broken` once nothing behind can be read any more."""

    __slots__ = ("_buffer", "is_broken")

    def __init__(self) -> None:
        self._buffer = b""
        self.is_broken = False

    @property
    def has_partial(self) -> bool:
        """Tell whether the beginning of a message waits for its end."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Message]:
        """Take bytes and give the messages that are whole now.

        The length told is trusted for no more than one message of the longest kind: what is held never
        exceeds that. A length or type that no message has is seen at its first bytes.
        """
        if self.is_broken:
            return []
        data = self._buffer + data if self._buffer else data
        offset, end, messages = 0, len(data), []
        while end - offset >= 2:
            size = data[offset] << 8 | data[offset + 1]
            if not _MIN_LENGTH <= size <= MAX_MESSAGE_BYTES or (
                end - offset > 2 and data[offset + 2] not in _KINDS
            ):
                self.is_broken = True
                break
            if end - offset < size + 2:
                break
            messages.append(_parse_message(data, offset, offset + 2 + size))
            offset += 2 + size
        self._buffer = b"" if self.is_broken else data[offset:]
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
