"""Parses and validates viewers' set-ups against the settings."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from mintmast.decisions.calls.calls import Wish
from mintmast.signalling.messages import MOST, Cause, Message, Param

MS = 1000
_WHOLE = re.compile(r"[0-9]{1,9}")
_TITLE = re.compile(r"[0-9a-fA-F]{16}")
# bytes reserved for the timeout, the rung and the header, which the gateway adds to the set-up for a host
_OUR_PART = 64
_ALWAYS, _NO_CALL = {Param.CLASS, Param.TITLE, Param.FIGURES}, bytes(8)


@dataclass(slots=True, frozen=True)
class Terms:
    """Classes and tenants that a set-up may name, by index, with each class's longest timeout in µs.

    Names are compared as bytes: they come from the settings, which may use any letters.
    """

    classes: dict[bytes, int]
    patience: tuple[int, ...]
    tenants: dict[bytes, int]


@dataclass(slots=True, frozen=True)
class Asked:
    """A valid set-up; `at` is the id of the host where the session already plays, or empty for a new one."""

    wish: Wish
    at: bytes = b""


def read(message: Message, terms: Terms) -> Asked | Cause:
    """Parse a set-up, or return the cause to release it with."""
    if message.fault is not None:
        return message.fault
    service = terms.classes.get(message.params.get(Param.CLASS, b""))
    title = message.text(Param.TITLE) or ""
    figures = _figures(message.text(Param.FIGURES))
    if not _ALWAYS <= message.params.keys() or message.call == _NO_CALL:
        return Cause.MANDATORY_ELEMENT_MISSING
    if service is None or not _TITLE.fullmatch(title) or figures is None:
        return Cause.INVALID_ELEMENT_CONTENTS
    tenant = 0
    if terms.tenants:
        if Param.TENANT not in message.params:
            return Cause.MANDATORY_ELEMENT_MISSING
        named = terms.tenants.get(message.params[Param.TENANT])
        if named is None:
            return Cause.INVALID_ELEMENT_CONTENTS
        tenant = named
    at = figures.get("at", "").encode()
    budget = _whole(message.text(Param.PATIENCE), 1, terms.patience[service] // MS + 1)
    if not at and (Param.PATIENCE not in message.params or Param.DESCRIPTION not in message.params):
        return Cause.MANDATORY_ELEMENT_MISSING
    # required: they determine which hosts hold the title, and a default could pick one that does not
    home = _figure(figures.get("home", ""), 0, 65_535)
    copies = _figure(figures.get("copies", ""), 1, 65_535)
    top = _figure(figures.get("top", ""), 0, 255)
    hint = _span(message.text(Param.HINT)) if Param.HINT in message.params else 0
    retry = message.text(Param.RETRY) if Param.RETRY in message.params else ""
    passed = (
        message.params[Param.CLASS],
        message.params[Param.TITLE],
        message.params.get(Param.DESCRIPTION, b""),
    )
    if home is None or copies is None or top is None or hint is None or retry not in ("", "0", "1"):
        return Cause.INVALID_ELEMENT_CONTENTS
    if (budget is None and not at) or sum(map(len, passed)) + _OUR_PART > MOST:
        return Cause.INVALID_ELEMENT_CONTENTS
    wish = Wish(
        call=message.call,
        service=service,
        tenant=tenant,
        title=int(title, 16),
        budget=(budget or 0) * MS,
        home=home,
        copies=copies,
        best=top,
        hint=hint,
        again=retry == "1",
        moved=figures.get("again") == "1",
        passed=passed,
    )
    return Asked(wish, at)


def _figures(text: str | None) -> dict[str, str] | None:
    if text is None:
        return None
    figures: dict[str, str] = {}
    for part in text.split(";") if text else ():
        name, colon, value = part.partition(":")
        if not colon or name in figures:
            return None
        figures[name] = value
    return figures


def _whole(text: str | None, least: int, most: int) -> int | None:
    if text is None or not _WHOLE.fullmatch(text):
        return None
    return int(text) if least <= int(text) <= most else None


def _figure(text: str, least: int, most: int) -> int | None:
    """Parse an integer that may be written with a decimal point, as the simulator writes its numbers."""
    number = number_of(text)
    if number is None or number != int(number) or not least <= number <= most:
        return None
    return int(number)


def _span(text: str | None) -> int | None:
    """Parse a duration in ms, of one day at most, and return it in µs."""
    number = number_of(text or "")
    return round(number * MS) if number is not None and 0 <= number <= 86_400_000 else None


def number_of(text: str) -> float | None:
    """Parse a finite number of at most 32 characters; return None if it is not one."""
    if len(text) > 32 or "_" in text or not text.isascii():
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
