"""Parses and validates viewers' set-ups against the settings."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from mintmast.decisions.calls.commands import ViewerRequest
from mintmast.signalling.messages import MAX_MESSAGE_BYTES, Cause, Message, Param

US_PER_MS = 1000
_WHOLE_NUMBER = re.compile(r"[0-9]{1,9}")
_TITLE = re.compile(r"[0-9a-fA-F]{16}")
# bytes reserved for the timeout, the rung and the header, which the gateway adds to the set-up for a host
_ADDED_BYTES = 64
_REQUIRED_PARAMS, _NULL_CALL_ID = {Param.CLASS, Param.TITLE, Param.PLACEMENT}, bytes(8)


@dataclass(slots=True, frozen=True)
class RequestSchema:
    """Classes and tenants that a set-up may name, by index, with each class's longest timeout in µs.

    Names are compared as bytes: they come from the settings, which may use any letters.
    """

    classes: dict[bytes, int]
    max_timeouts: tuple[int, ...]
    tenants: dict[bytes, int]


@dataclass(slots=True, frozen=True)
class ParsedSetUp:
    """A valid set-up; `playing_host` is the id of the host if the session already plays, else empty."""

    request: ViewerRequest
    playing_host: bytes = b""


def parse_set_up(message: Message, schema: RequestSchema) -> ParsedSetUp | Cause:
    """Parse a set-up, or return the cause to release it with."""
    if message.fault is not None:
        return message.fault
    service = schema.classes.get(message.params.get(Param.CLASS, b""))
    title = message.text(Param.TITLE) or ""
    placement = _parse_placement(message.text(Param.PLACEMENT))
    if not _REQUIRED_PARAMS <= message.params.keys() or message.call_id == _NULL_CALL_ID:
        return Cause.MANDATORY_ELEMENT_MISSING
    if service is None or not _TITLE.fullmatch(title) or placement is None:
        return Cause.INVALID_ELEMENT_CONTENTS
    tenant = 0
    if schema.tenants:
        if Param.TENANT not in message.params:
            return Cause.MANDATORY_ELEMENT_MISSING
        tenant_index = schema.tenants.get(message.params[Param.TENANT])
        if tenant_index is None:
            return Cause.INVALID_ELEMENT_CONTENTS
        tenant = tenant_index
    playing_host = placement.get("at", "").encode()
    budget = _parse_whole_number(
        message.text(Param.TIMEOUT), 1, schema.max_timeouts[service] // US_PER_MS + 1
    )
    if not playing_host and (Param.TIMEOUT not in message.params or Param.DESCRIPTION not in message.params):
        return Cause.MANDATORY_ELEMENT_MISSING
    # required: they determine which hosts hold the title, and a default could pick one that does not
    home_cell = _parse_integral(placement.get("home", ""), 0, 65_535)
    copies = _parse_integral(placement.get("copies", ""), 1, 65_535)
    best_rung = _parse_integral(placement.get("top", ""), 0, 255)
    length_hint = (
        _parse_duration(message.text(Param.LENGTH_HINT)) if Param.LENGTH_HINT in message.params else 0
    )
    retry = message.text(Param.RETRY) if Param.RETRY in message.params else ""
    forwarded = (
        message.params[Param.CLASS],
        message.params[Param.TITLE],
        message.params.get(Param.DESCRIPTION, b""),
    )
    if (
        home_cell is None
        or copies is None
        or best_rung is None
        or length_hint is None
        or retry not in ("", "0", "1")
    ):
        return Cause.INVALID_ELEMENT_CONTENTS
    if (budget is None and not playing_host) or sum(map(len, forwarded)) + _ADDED_BYTES > MAX_MESSAGE_BYTES:
        return Cause.INVALID_ELEMENT_CONTENTS
    request = ViewerRequest(
        call_id=message.call_id,
        service=service,
        tenant=tenant,
        title=int(title, 16),
        budget=(budget or 0) * US_PER_MS,
        home_cell=home_cell,
        copies=copies,
        best_rung=best_rung,
        length_hint=length_hint,
        is_retry=retry == "1",
        moved=placement.get("again") == "1",
        forwarded=forwarded,
    )
    return ParsedSetUp(request, playing_host)


def _parse_placement(text: str | None) -> dict[str, str] | None:
    if text is None:
        return None
    placement: dict[str, str] = {}
    for part in text.split(";") if text else ():
        name, colon, value = part.partition(":")
        if not colon or name in placement:
            return None
        placement[name] = value
    return placement


def _parse_whole_number(text: str | None, minimum: int, maximum: int) -> int | None:
    if text is None or not _WHOLE_NUMBER.fullmatch(text):
        return None
    return int(text) if minimum <= int(text) <= maximum else None


def _parse_integral(text: str, minimum: int, maximum: int) -> int | None:
    """Parse an integer that may be written with a decimal point, as the simulator writes its numbers."""
    number = parse_number(text)
    if number is None or number != int(number) or not minimum <= number <= maximum:
        return None
    return int(number)


def _parse_duration(text: str | None) -> int | None:
    """Parse a duration in ms, of one day at most, and return it in µs."""
    number = parse_number(text or "")
    return round(number * US_PER_MS) if number is not None and 0 <= number <= 86_400_000 else None


def parse_number(text: str) -> float | None:
    """Parse a finite number of at most 32 characters; return None if it is not one."""
    if len(text) > 32 or "_" in text or not text.isascii():
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
