"""Events and commands of the membership protocol, and what is stored about each other member."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from mintmast.decisions.gateways.revising import HeadHeard
from mintmast.decisions.gateways.standing import Proof, Standing
from mintmast.decisions.gateways.words import Window, Word


class Way(Enum):
    """Which directions of the path between this gateway and another work."""

    WHOLE = "whole"
    NOT_HEARD = "it does not hear us"
    NOT_HEARING = "we do not hear it"
    BROKEN = "neither way"


class SendWord(msgspec.Struct, frozen=True, gc=False):
    """Send a message, over TCP if `reliable`; a refused connection comes back as a `ConnectionRefused`."""

    to: str
    word: Word
    sure: bool = False
    known: int = 0  # the receiver's generation as known at `sent_at`
    at: int = 0


class WakeAt(msgspec.Struct, frozen=True, gc=False):
    """Send a `TimerFired` at this time (µs)."""

    at: int


class Changed(msgspec.Struct, frozen=True, gc=False):
    """The view that this gateway has of a member has changed."""

    name: str
    proof: Proof
    start: int
    by: tuple[str, ...] = ()


class Noted(msgspec.Struct, frozen=True, gc=False):
    """An event of this gateway that operators need to see."""

    what: str
    about: str = ""


class Moved(msgspec.Struct, frozen=True, gc=False):
    """A newer generation of a member is at this HOST:PORT, "" for the address in the settings."""

    name: str
    place: str


Command = SendWord | WakeAt | Changed | Noted | Moved | HeadHeard


class Tick(msgspec.Struct, frozen=True, gc=False):
    """A timer has fired; `scheduled_at` is when it was due (µs)."""

    due: int


class Heard(msgspec.Struct, frozen=True, gc=False):
    """An authentic message has arrived, over TCP if `reliable`."""

    word: Word
    sure: bool = False


class Refused(msgspec.Struct, frozen=True, gc=False):
    """A machine refused a connection for a message sent at `sent_at`, while `generation` was known."""

    name: str
    start: int
    at: int


class Forget(msgspec.Struct, frozen=True, gc=False):
    """An operator says that a member is gone for good; `generation`, if not 0, is the one known then."""

    name: str
    start: int = 0


Event = Tick | Heard | Refused | Forget


@dataclass(slots=True)
class Member:
    """What this gateway knows about one other gateway."""

    name: str
    standing: Standing = Standing()
    proof: Proof = Proof.NEVER_HEARD
    since: int = 0
    heard_at: int | None = None
    datagram_at: int | None = None
    place: str = ""
    placed: int = 0  # generation at `address`
    revision: tuple[int, int, int] | None = None  # last announced: term, number, digest prefix
    way: Way = Way.WHOLE
    answered: int = 0  # consecutive probes answered directly
    observers: set[str] = field(default_factory=set)
    window: Window = field(default_factory=Window)
