"""Messages between gateways about paid keys, as events and commands; this module contains only types.

Times are whole microseconds. A known claim is (digest, owner, number, µs until it expires); an owner is a
gateway's name and generation.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from mintmast.decisions.gateways.standing import Proof

Known = tuple[str, str, int, int]


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

    call: int
    owner: str
    digest: str = ""
    number: int = 0
    keep: int = 0
    release: bool = False
    learn: str | None = None
    aside: tuple[str, ...] | None = None
    version: int = 0
    to: int = 0


class Voted(msgspec.Struct, frozen=True, gc=False):
    """From the peer transport: a witness's vote on the claim `number`, or that none came in time.

    `excluded` names witnesses whose votes must not be combined with this one; `generation` is the witness's,
    0 if the reply does not state it.
    """

    peer: str
    number: int
    vote: Vote
    without: tuple[str, ...] = ()
    start: int = 0


class Learnt(msgspec.Struct, frozen=True, gc=False):
    """From the peer transport: the reply to learn request `number`.

    `more` is set if further records follow the last one; `answered` is false if no reply came. `generation`
    is that of the replying gateway. `not_voting_with` are the third witnesses with which it does not vote
    itself on this gateway's keys, `vouched_for` those excluded towards it by every generation of this
    gateway, and `previous_generation` is the latest of this gateway that it knows of before the asking one.
    """

    peer: str
    records: tuple[Known, ...] = ()
    more: bool = False
    whole: bool = True
    number: int = 0
    start: int = 0
    unready: tuple[str, ...] = ()
    covered: tuple[str, ...] = ()
    before: int = 0


class AsideTold(msgspec.Struct, frozen=True, gc=False):
    """From the peer transport: a gateway has recorded exclusions up to `version`; -1 if no reply came."""

    peer: str
    version: int = -1


class PeerStands(msgspec.Struct, frozen=True, gc=False):
    """From membership: another gateway's liveness and its known generation, 0 if none."""

    peer: str
    proof: Proof
    start: int


class Condemned(msgspec.Struct, frozen=True, gc=False):
    """From membership: this process must no longer act under its name."""

    why: str


# Commands


class SendClaim(msgspec.Struct, frozen=True, gc=False):
    """To the peer transport: claim a key at a witness; `VoteReceived` follows by `deadline` (µs)."""

    peer: str
    digest: str
    number: int
    keep: int
    until: int


class SendRelease(msgspec.Struct, frozen=True, gc=False):
    """To the peer transport: release a claim; whether the release arrived is not reported.

    `owner` is that of an earlier generation of this gateway, "" for the present one.
    """

    peer: str
    digest: str
    number: int
    until: int
    owner: str = ""


class SendLearn(msgspec.Struct, frozen=True, gc=False):
    """To the peer transport: ask for the claims known after a digest; `LearnReply` by `deadline` (µs)."""

    peer: str
    after: str
    number: int
    until: int


class SendAside(msgspec.Struct, frozen=True, gc=False):
    """To the peer transport: announce exclusions to the process of generation `to_generation`.

    `ExclusionsAcknowledged` follows by `deadline` (µs).
    """

    peer: str
    to: int
    names: tuple[str, ...]
    version: int
    until: int


class PeerReply(msgspec.Struct, frozen=True, gc=False):
    """To the peer transport: answer a `PeerCall`.

    The fields are those of `VoteReceived`, `LearnReply` and `ExclusionsAcknowledged`. Unless `answered`, the
    caller gets an error and counts it as no reply.
    """

    call: int
    vote: Vote = Vote.NONE
    records: tuple[Known, ...] = ()
    more: bool = False
    without: tuple[str, ...] = ()
    unready: tuple[str, ...] = ()
    covered: tuple[str, ...] = ()
    version: int = -1
    before: int = 0
    good: bool = True
