"""Messages between gateways about paid keys, as events and commands; this module contains only types.

Times are whole microseconds. A known claim is (digest, owner, number, µs until it expires); an owner is a
gateway's name and generation.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from mintmast.decisions.gateways.member_status import Liveness

KnownClaim = tuple[str, str, int, int]


class Vote(Enum):
    """Vote of a witness on a claim of a key."""

    GRANTED = "granted"
    HELD = "held"  # another claim holds the key, or this one has been released
    NONE = "none"  # the witness does not vote, or did not reply in time


# Events


class PeerCall(msgspec.Struct, frozen=True, gc=False):
    """A call of another gateway; the `PeerReply` with the same `call_id` answers it.

    It is a claim or, with `release`, a release. With `learn_after` (a digest or "") it asks for the claims
    known after that digest. With `excluded` it tells the process of generation `to_generation`, under
    `version`, whose votes the caller's must not be combined with on keys that both witness.
    """

    call_id: int
    owner: str
    digest: str = ""
    number: int = 0
    retention: int = 0
    release: bool = False
    learn_after: str | None = None
    excluded: tuple[str, ...] | None = None
    version: int = 0
    to_generation: int = 0


class VoteReceived(msgspec.Struct, frozen=True, gc=False):
    """From the peer transport: a witness's vote on the claim `number`, or that none came in time.

    `excluded` names witnesses whose votes must not be combined with this one; `generation` is the witness's,
    0 if the reply does not state it.
    """

    peer: str
    number: int
    vote: Vote
    excluded: tuple[str, ...] = ()
    generation: int = 0


class LearnReply(msgspec.Struct, frozen=True, gc=False):
    """From the peer transport: the reply to learn request `number`.

    `more` is set if further records follow the last one; `answered` is false if no reply came. `generation`
    is that of the replying gateway. `not_voting_with` are the third witnesses with which it does not vote
    itself on this gateway's keys, `vouched_for` those excluded towards it by every generation of this
    gateway, and `previous_generation` is the latest of this gateway that it knows of before the asking one.
    """

    peer: str
    records: tuple[KnownClaim, ...] = ()
    more: bool = False
    answered: bool = True
    number: int = 0
    generation: int = 0
    not_voting_with: tuple[str, ...] = ()
    vouched_for: tuple[str, ...] = ()
    previous_generation: int = 0


class ExclusionsAcknowledged(msgspec.Struct, frozen=True, gc=False):
    """From the peer transport: a gateway has recorded exclusions up to `version`; -1 if no reply came."""

    peer: str
    version: int = -1


class PeerStatusChanged(msgspec.Struct, frozen=True, gc=False):
    """From membership: another gateway's liveness and its known generation, 0 if none."""

    peer: str
    liveness: Liveness
    generation: int


class ProcessDisqualified(msgspec.Struct, frozen=True, gc=False):
    """From membership: this process must no longer act under its name."""

    reason: str


# Commands


class SendClaim(msgspec.Struct, frozen=True, gc=False):
    """To the peer transport: claim a key at a witness; `VoteReceived` follows by `deadline` (µs)."""

    peer: str
    digest: str
    number: int
    retention: int
    deadline: int


class SendRelease(msgspec.Struct, frozen=True, gc=False):
    """To the peer transport: release a claim; whether the release arrived is not reported.

    `owner` is that of an earlier generation of this gateway, "" for the present one.
    """

    peer: str
    digest: str
    number: int
    deadline: int
    owner: str = ""


class SendLearnRequest(msgspec.Struct, frozen=True, gc=False):
    """To the peer transport: ask for the claims known after a digest; `LearnReply` by `deadline` (µs)."""

    peer: str
    after: str
    number: int
    deadline: int


class SendExclusions(msgspec.Struct, frozen=True, gc=False):
    """To the peer transport: announce exclusions to the process of generation `to_generation`.

    `ExclusionsAcknowledged` follows by `deadline` (µs).
    """

    peer: str
    to_generation: int
    excluded: tuple[str, ...]
    version: int
    deadline: int


class PeerReply(msgspec.Struct, frozen=True, gc=False):
    """To the peer transport: answer a `PeerCall`.

    The fields are those of `VoteReceived`, `LearnReply` and `ExclusionsAcknowledged`. Unless `answered`, the
    caller gets an error and counts it as no reply.
    """

    call_id: int
    vote: Vote = Vote.NONE
    records: tuple[KnownClaim, ...] = ()
    more: bool = False
    excluded: tuple[str, ...] = ()
    not_voting_with: tuple[str, ...] = ()
    vouched_for: tuple[str, ...] = ()
    version: int = -1
    previous_generation: int = 0
    answered: bool = True
