"""Codec of the platform's binary set-up messages, without I/O; checks every bound.

Message: length:2 type:1 call reference:8, then parameters; the length counts the bytes after itself.
Parameter: code:1 length:2 value. Integers are big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

_HEAD = struct.Struct(">HB8s")
_PARAMETER = struct.Struct(">BH")
# smallest length field (type and call reference) and the largest that the protocol allows
_LEAST, MOST = 9, 16_384


class Kind(IntEnum):
    """Message types; a message that ISUP (ITU-T Q.763) has too carries the same code."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12  # before the answer: refuses, fails or cancels the set-up
    HEARD = 16  # acknowledges a release
    NOTE = 44
    MOVE = 51
    TEST = 52
    TESTED = 53
    RUNG = 60


class Param(IntEnum):
    """Parameter codes."""

    CLASS = 16
    PATIENCE = 18  # ms for which the sender waits for the answer
    TENANT = 20
    RETRY = 22
    TITLE = 24
    FIGURES = 26  # such as home:3;copies:2;top:5
    STAY_AWAY = 28  # ms
    NOTE = 30
    LOAD = 34
    HINT = 36  # ms
    RUNG = 38
    FIGURE = 40
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


_KINDS = frozenset(Kind)


@dataclass(slots=True, frozen=True)
class Message:
    """A decoded message; `call` is its call reference. If `fault` is set, its parameters were malformed."""

    kind: int
    call: bytes
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


def encode(kind: Kind, call: bytes, params: Iterable[tuple[Param, bytes]] = ()) -> bytes:
    """Encode a message. Raises ValueError if it would be too long."""
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in params)
    if len(body) + _LEAST > MOST:
        raise ValueError(f"message of {len(body) + _LEAST} bytes exceeds the limit of {MOST}")
    return _HEAD.pack(len(body) + _LEAST, kind, call) + body


def release(call: bytes, cause: Cause | int, stay_away: int = 0) -> bytes:
    """Encode a release; `stay_away` is the retry advice in ms, 0 for none."""
    params = [(Param.CAUSE, bytes((cause,)))]
    if stay_away > 0:
        params.append((Param.STAY_AWAY, b"%d" % stay_away))
    return encode(Kind.RELEASE, call, params)


def test(call: bytes) -> bytes:
    """Encode a health check of the connection."""
    return encode(Kind.TEST, call, [(Param.CAUSE, b"\0")])


def tested(call: bytes, passed: bool) -> bytes:
    """Encode the reply to a health check."""
    return encode(Kind.TESTED, call, [(Param.CAUSE, b"\1" if passed else b"\0")])


class Reader:
    """Incremental decoder for one connection; `broken` once the framing is lost."""

    __slots__ = ("_rest", "broken")

    def __init__(self) -> None:
        self._rest = b""
        self.broken = False

    @property
    def partial(self) -> bool:
        """Return whether an incomplete message is buffered."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Message]:
        """Decode received bytes and return the messages that they complete.

        Never buffers more than one message of the largest length, whatever length a peer announces. An
        invalid length or type is detected as soon as its bytes arrive.
        """
        if self.broken:
            return []
        data = self._rest + data if self._rest else data
        at, end, messages = 0, len(data), []
        while end - at >= 2:
            size = data[at] << 8 | data[at + 1]
            if not _LEAST <= size <= MOST or (end - at > 2 and data[at + 2] not in _KINDS):
                self.broken = True
                break
            if end - at < size + 2:
                break
            messages.append(_message(data, at, at + 2 + size))
            at += 2 + size
        self._rest = b"" if self.broken else data[at:]
        return messages


def _message(data: bytes, at: int, end: int) -> Message:
    _, kind, call = _HEAD.unpack_from(data, at)
    at += _HEAD.size
    params: dict[int, bytes] = {}
    while at < end:
        if end - at < _PARAMETER.size:
            return Message(kind, call, {}, Cause.INVALID_MESSAGE)
        code, size = _PARAMETER.unpack_from(data, at)
        at += _PARAMETER.size
        if size > end - at or code in params:
            return Message(kind, call, {}, Cause.INVALID_MESSAGE)
        params[code] = data[at : at + size]
        at += size
    return Message(kind, call, params)
