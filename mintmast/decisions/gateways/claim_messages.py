"""What gateways say to each other about paid keys, as events and commands: types and nothing else.

Times are whole microseconds; a record is (digest, owner, number, µs still kept), an owner a gateway's name
and start.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from mintmast.decisions.gateways.member_status import Liveness

KnownClaim = tuple[str, str, int, int]


class Vote(Enum):
    """What a witness says to a claim of a key."""

    GRANTED = "granted"
    HELD = "held"  # another claim has it, or this one has been released
    NONE = "none"  # it does not vote, or did not answer in time


# In


class PeerCall(msgspec.Struct, frozen=True, gc=False):
    """Another gateway calls; `PeerReply` with the same `call` answers it in the same turn.

    A claim or a release; with `learn` (a digest or "") it asks what is known after that; with `aside` it
    says, under `version`, to the process of start `to`, whose votes its own do not count together with on
    keys that both witness.
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
    """A peer adapter: a witness's vote on the claim `number`, or that none came in time.

    `without` names witnesses with whose votes this one does not count together; `start` is the witness's, 0
    where it is not told.
    """

    peer: str
    number: int
    vote: Vote
    excluded: tuple[str, ...] = ()
    generation: int = 0


class LearnReply(msgspec.Struct, frozen=True, gc=False):
    """A peer adapter: the answer to question `number`.

    `more` says that there is more after the last record; `whole` is false where no answer came. `start` is
    that of the gateway that answers; `unready` are those with whom as third witness it does not vote itself
    on this gateway's keys; `covered` those held aside towards it by every life of this gateway; `before` is
    the last start of this gateway that it knows of before the one that asks.
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
    """A peer adapter: another gateway has booked what is held aside, up to `version`; -1: no answer."""

    peer: str
    version: int = -1


class PeerStatusChanged(msgspec.Struct, frozen=True, gc=False):
    """Membership: how another gateway stands, and its start as known; 0 for none."""

    peer: str
    liveness: Liveness
    generation: int


class ProcessDisqualified(msgspec.Struct, frozen=True, gc=False):
    """Membership: this process must not act under its name any more."""

    reason: str


# Out


class SendClaim(msgspec.Struct, frozen=True, gc=False):
    """To a peer adapter: claim a key at a witness; `Voted` tells the vote, by `until` (µs) at the latest."""

    peer: str
    digest: str
    number: int
    retention: int
    deadline: int


class SendRelease(msgspec.Struct, frozen=True, gc=False):
    """To a peer adapter: give a claim back; nobody hears whether it came.

    `owner` is that of an earlier life of this gateway, "" for its own.
    """

    peer: str
    digest: str
    number: int
    deadline: int
    owner: str = ""


class SendLearnRequest(msgspec.Struct, frozen=True, gc=False):
    """To a peer adapter: ask what another gateway knows after this digest; `Learnt` by `until` (µs)."""

    peer: str
    after: str
    number: int
    deadline: int


class SendExclusions(msgspec.Struct, frozen=True, gc=False):
    """To a peer adapter: tell a gateway's process of start `to` who is held aside; `AsideTold` by `until`."""

    peer: str
    to_generation: int
    excluded: tuple[str, ...]
    version: int
    deadline: int


class PeerReply(msgspec.Struct, frozen=True, gc=False):
    """To a peer adapter: answer a `PeerCall`; the fields as in `Voted`, `Learnt` and `AsideTold`.

    Where it is not `good` the caller hears that there is no answer.
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
