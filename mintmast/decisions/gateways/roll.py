"""What goes into a gateway's part in membership and what comes out, and what it holds of each other one."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from mintmast.decisions.gateways.revising import HeadHeard
from mintmast.decisions.gateways.standing import Proof, Standing
from mintmast.decisions.gateways.words import Window, Word


class Way(Enum):
    """What of the path between this gateway and another works."""

    WHOLE = "whole"
    NOT_HEARD = "it does not hear us"
    NOT_HEARING = "we do not hear it"
    BROKEN = "neither way"


class SendWord(msgspec.Struct, frozen=True, gc=False):
    """Send a word to a gateway; with `sure`, over TCP: a refusal comes back as `Refused(to, known, at)`."""

    to: str
    word: Word
    sure: bool = False
    known: int = 0  # start of the addressee as known now
    at: int = 0


class WakeAt(msgspec.Struct, frozen=True, gc=False):
    """Call back with `Tick(at)`."""

    at: int


class Changed(msgspec.Struct, frozen=True, gc=False):
    """A gateway stands otherwise than before, as believed here."""

    name: str
    proof: Proof
    start: int
    by: tuple[str, ...] = ()


class Noted(msgspec.Struct, frozen=True, gc=False):
    """Something about this gateway that operators need to know."""

    what: str
    about: str = ""


class Moved(msgspec.Struct, frozen=True, gc=False):
    """A later start of a gateway is reached at this HOST:PORT, "" for where the settings have it."""

    name: str
    place: str


Command = SendWord | WakeAt | Changed | Noted | Moved | HeadHeard


class Tick(msgspec.Struct, frozen=True, gc=False):
    """The time of a wake has come; `due` is when it should have."""

    due: int


class Heard(msgspec.Struct, frozen=True, gc=False):
    """A word has come whose seal is good; `sure` where it came over TCP."""

    word: Word
    sure: bool = False


class Refused(msgspec.Struct, frozen=True, gc=False):
    """A gateway's machine took no connection for a word sent at `at`, when `start` was its last one known."""

    name: str
    start: int
    at: int


class Forget(msgspec.Struct, frozen=True, gc=False):
    """An operator's word that a gateway is gone for good, given before this start where it names one."""

    name: str
    start: int = 0


Event = Tick | Heard | Refused | Forget


@dataclass(slots=True)
class Member:
    """One other gateway as known here."""

    name: str
    standing: Standing = Standing()
    proof: Proof = Proof.NEVER_HEARD
    since: int = 0
    heard_at: int | None = None
    datagram_at: int | None = None
    place: str = ""
    placed: int = 0  # the start that is there
    revision: tuple[int, int, int] | None = None  # the last head that it told: term, number, mark
    way: Way = Way.WHOLE
    answered: int = 0  # probes in a row that were answered directly
    observers: set[str] = field(default_factory=set)
    window: Window = field(default_factory=Window)
