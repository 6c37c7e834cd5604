"""Events and commands of the membership protocol, and what is stored about each other member."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from mintmast.decisions.gateways.gossip_messages import GossipMessage, ReplayWindow
from mintmast.decisions.gateways.member_status import Liveness, MemberStatus
from mintmast.decisions.gateways.revision_types import RevisionAnnounced


class PathState(Enum):
    """Which directions of the path between this gateway and another work."""

    WORKING = "whole"
    OUTBOUND_BROKEN = "it does not hear us"
    INBOUND_BROKEN = "we do not hear it"
    BROKEN = "neither way"


class SendGossip(msgspec.Struct, frozen=True, gc=False):
    """Send a message, over TCP if `reliable`; a refused connection comes back as a `ConnectionRefused`."""

    to: str
    message: GossipMessage
    reliable: bool = False
    known_generation: int = 0  # the receiver's generation as known at `sent_at`
    sent_at: int = 0


class ScheduleTimer(msgspec.Struct, frozen=True, gc=False):
    """Send a `TimerFired` at this time (µs)."""

    at: int


class MemberChanged(msgspec.Struct, frozen=True, gc=False):
    """The view that this gateway has of a member has changed."""

    name: str
    liveness: Liveness
    generation: int
    observers: tuple[str, ...] = ()


class OperatorNotice(msgspec.Struct, frozen=True, gc=False):
    """An event of this gateway that operators need to see."""

    what: str
    about: str = ""


class MemberMoved(msgspec.Struct, frozen=True, gc=False):
    """A newer generation of a member is at this HOST:PORT, "" for the address in the settings."""

    name: str
    address: str


Command = SendGossip | ScheduleTimer | MemberChanged | OperatorNotice | MemberMoved | RevisionAnnounced


class TimerFired(msgspec.Struct, frozen=True, gc=False):
    """A timer has fired; `scheduled_at` is when it was due (µs)."""

    scheduled_at: int


class GossipReceived(msgspec.Struct, frozen=True, gc=False):
    """An authentic message has arrived, over TCP if `reliable`."""

    message: GossipMessage
    reliable: bool = False


class ConnectionRefused(msgspec.Struct, frozen=True, gc=False):
    """A machine refused a connection for a message sent at `sent_at`, while `generation` was known."""

    name: str
    generation: int
    sent_at: int


class ForgetMember(msgspec.Struct, frozen=True, gc=False):
    """An operator says that a member is gone for good; `generation`, if not 0, is the one known then."""

    name: str
    generation: int = 0


Event = TimerFired | GossipReceived | ConnectionRefused | ForgetMember


@dataclass(slots=True)
class Member:
    """What this gateway knows about one other gateway."""

    name: str
    status: MemberStatus = MemberStatus()
    liveness: Liveness = Liveness.NEVER_HEARD
    since: int = 0
    heard_at: int | None = None
    datagram_at: int | None = None
    address: str = ""
    address_generation: int = 0  # generation at `address`
    revision: tuple[int, int, int] | None = None  # last announced: term, number, digest prefix
    path: PathState = PathState.WORKING
    direct_answers: int = 0  # consecutive probes answered directly
    observers: set[str] = field(default_factory=set)
    replay_window: ReplayWindow = field(default_factory=ReplayWindow)
