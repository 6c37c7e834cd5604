"""What goes into a gateway's part in membership and what comes out, and what it holds of each other one."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from mintmast.decisions.gateways.gossip_messages import GossipMessage, ReplayWindow
from mintmast.decisions.gateways.member_status import Liveness, MemberStatus
from mintmast.decisions.gateways.revision_types import RevisionAnnounced


class PathState(Enum):
    """What of the path between this gateway and another works."""

    WORKING = "whole"
    OUTBOUND_BROKEN = "it does not hear us"
    INBOUND_BROKEN = "we do not hear it"
    BROKEN = "neither way"


class SendGossip(msgspec.Struct, frozen=True, gc=False):
    """Send a word to a gateway; with `sure`, over TCP: a refusal comes back as `Refused(to, known, at)`."""

    to: str
    message: GossipMessage
    reliable: bool = False
    known_generation: int = 0  # start of the addressee as known now
    sent_at: int = 0


class ScheduleTimer(msgspec.Struct, frozen=True, gc=False):
    """Call back with `Tick(at)`."""

    at: int


class MemberChanged(msgspec.Struct, frozen=True, gc=False):
    """A gateway stands otherwise than before, as believed here."""

    name: str
    liveness: Liveness
    generation: int
    observers: tuple[str, ...] = ()


class OperatorNotice(msgspec.Struct, frozen=True, gc=False):
    """Something about this gateway that operators need to know."""

    what: str
    about: str = ""


class MemberMoved(msgspec.Struct, frozen=True, gc=False):
    """A later start of a gateway is reached at this HOST:PORT, "" for where the settings have it."""

    name: str
    address: str


Command = SendGossip | ScheduleTimer | MemberChanged | OperatorNotice | MemberMoved | RevisionAnnounced


class TimerFired(msgspec.Struct, frozen=True, gc=False):
    """The time of a wake has come; `due` is when it should have."""

    scheduled_at: int


class GossipReceived(msgspec.Struct, frozen=True, gc=False):
    """A word has come whose seal is good; `sure` where it came over TCP."""

    message: GossipMessage
    reliable: bool = False


class ConnectionRefused(msgspec.Struct, frozen=True, gc=False):
    """A gateway's machine took no connection for a word sent at `at`, when `start` was its last one known."""

    name: str
    generation: int
    sent_at: int


class ForgetMember(msgspec.Struct, frozen=True, gc=False):
    """An operator's word that a gateway is gone for good, given before this start where it names one."""

    name: str
    generation: int = 0


Event = TimerFired | GossipReceived | ConnectionRefused | ForgetMember


@dataclass(slots=True)
class Member:
    """One other gateway as known here."""

    name: str
    status: MemberStatus = MemberStatus()
    liveness: Liveness = Liveness.NEVER_HEARD
    since: int = 0
    heard_at: int | None = None
    datagram_at: int | None = None
    address: str = ""
    address_generation: int = 0  # the start that is there
    revision: tuple[int, int, int] | None = None  # the last head that it told: term, number, mark
    path: PathState = PathState.WORKING
    direct_answers: int = 0  # probes in a row that were answered directly
    observers: set[str] = field(default_factory=set)
    replay_window: ReplayWindow = field(default_factory=ReplayWindow)
