"""Codec of the platform's set-up messages, without I/O: bytes in, messages out, every bound checked.

A message is length:2 type:1 session:8 and parameters, its length counts all that follows it; a parameter is
code:1 length:2 value. Numbers are big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

_HEAD = struct.Struct(">HB8s")
_PARAMETER = struct.Struct(">BH")
# bytes of type and session, and of the longest message that the protocol allows
_LEAST, MOST = 9, 16_384


class Kind(IntEnum):
    """Types of messages."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12  # before the answer a refusal, a failure or a set-up given up
    HEARD = 16
    NOTE = 44
    MOVE = 51
    TEST = 52
    TESTED = 53
    RUNG = 60


class Param(IntEnum):
    """Codes of parameters."""

    CLASS = 16
    PATIENCE = 18  # ms that the sender waits for the answer
    TENANT = 20
    RETRY = 22
    TITLE = 24
    FIGURES = 26
    STAY_AWAY = 28  # ms
    NOTE = 30
    LOAD = 34
    HINT = 36  # ms
    RUNG = 38
    FIGURE = 40
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


_KINDS = frozenset(Kind)


@dataclass(slots=True, frozen=True)
class Message:
    """One message; with `fault` its parameters could not be read."""

    kind: int
    call: bytes
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


def encode(kind: Kind, call: bytes, params: Iterable[tuple[Param, bytes]] = ()) -> bytes:
    """Give the bytes of a message. Raises ValueError where it would be too long."""
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in params)
    if len(body) + _LEAST > MOST:
        raise ValueError(f"a message of {len(body) + _LEAST} bytes")
    return _HEAD.pack(len(body) + _LEAST, kind, call) + body


def release(call: bytes, cause: Cause | int, stay_away: int = 0) -> bytes:
    """Give a release; `stay_away` in ms, 0 for none."""
    params = [(Param.CAUSE, bytes((cause,)))]
    if stay_away > 0:
        params.append((Param.STAY_AWAY, b"%d" % stay_away))
    return encode(Kind.RELEASE, call, params)


def test(call: bytes) -> bytes:
    """Give a test of the connection."""
    return encode(Kind.TEST, call, [(Param.CAUSE, b"\0")])


def tested(call: bytes, passed: bool) -> bytes:
    """Give the answer to a test."""
    return encode(Kind.TESTED, call, [(Param.CAUSE, b"\1" if passed else b"\0")])


class Reader:
    """Messages from the bytes of one connection; `broken` once nothing behind can be read any more."""

    __slots__ = ("_rest", "broken")

    def __init__(self) -> None:
        self._rest = b""
        self.broken = False

    @property
    def partial(self) -> bool:
        """Tell whether the beginning of a message waits for its end."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Message]:
        """Take bytes and give the messages that are whole now.

        The length told is trusted for no more than one message of the longest kind: what is held never
        exceeds that. A length or type that no message has is seen at its first bytes.
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
