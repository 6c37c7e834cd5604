"""Ownership of paid keys among the gateways of a region: a claim needs the votes of two of three witnesses.

Claims prevent a second charge when a viewer returns through another gateway, asks two gateways at once, or
returns after the gateway died. Before a paid set-up is sent, its gateway claims the key at the key's
witnesses, which are gateways chosen by rendezvous hashing so that every gateway names the same ones. A
witness grants a key to one claim at a time, until that claim is released or its record expires. Two of three
are a majority and any two majorities share a witness, so there is at most one owner, whatever messages are
lost, late or duplicated. A claim is released only where its session provably never ran. Claims also cover
copies of one request at two gateways. The cost: where two of a key's witnesses cannot be reached, the viewer
is failed.

`evaluate_votes` here and `vote_on_claim`, `release_claim` and `merge_known_claim` in `witness.py` form the
state machine of one key, which a model check (`tests/test_claims.py`) explores exhaustively. A witness that
starts has no memory. It votes on a key once gateways that together know of every claim it granted have
reported what they know (see `exclusions.py`). Claims that were pending when it died are decided by then,
because a vote that took longer than `CLAIM_TIMEOUT_US` does not count.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import combinations

from mintmast.decisions.gateways.claim_messages import KnownClaim, SendClaim, SendRelease, Vote, VoteReceived
from mintmast.decisions.gateways.witness import MAX_SESSION_US, RECORD_RETENTION_US, WitnessSelector, hash_key
from mintmast.decisions.gateways.witness_service import CLAIM_TIMEOUT_US, WitnessService
from mintmast.decisions.messages import ScheduleTimer

SECOND = 1_000_000
# minimum µs between attempts of a claim whose votes were split; a jitter of up to as much again is derived
# from a hash, so that two claims that collided once do not collide again
SPLIT_RETRY_US = SECOND // 50
# µs for a release, which is not retried: a key whose release one witness missed has two more witnesses
RELEASE_TIMEOUT_US = 2 * SECOND
# attempts per claim: three claimants that split the votes three times in a row are no coincidence
MAX_CLAIM_ATTEMPTS = 4
# reason of a claim for which too few witnesses voted
NO_QUORUM_REASON = "the owners of this key cannot be asked"


class ClaimState(Enum):
    """State of a claim after the votes received so far."""

    PENDING = "asking"
    OWNED = "owned"
    LOST = "lost"  # another claim may own the key
    NO_QUORUM = "unknown"  # too few witnesses voted
    SPLIT = "split"  # no claim has a majority; retried after a delay


@dataclass(slots=True, frozen=True)
class VoteTally:
    """Votes of one attempt."""

    granted: int = 0
    denied: int = 0
    missing: int = 0  # no reply in time, or an abstention


def evaluate_votes(tally: VoteTally, witness_count: int) -> ClaimState:
    """Return the state of an attempt from its votes; their order does not matter."""
    majority = witness_count // 2 + 1
    if tally.granted >= majority:
        return ClaimState.OWNED
    if tally.denied >= majority:
        return ClaimState.LOST
    if tally.granted + (witness_count - tally.granted - tally.denied - tally.missing) >= majority:
        return ClaimState.PENDING  # a majority is still possible
    if tally.denied and tally.granted:
        return ClaimState.SPLIT
    return ClaimState.LOST if tally.denied else ClaimState.NO_QUORUM


def count_compatible_votes(exclusions: dict[str, tuple[str, ...]]) -> int:
    """Return the size of the largest set of votes that may be combined, none excluding another."""
    for size in range(len(exclusions), 0, -1):
        for group in combinations(sorted(exclusions), size):
            if not any(other in exclusions[each] for each in group for other in group):
                return size
    return 0


@dataclass(slots=True)
class _Claim:
    session: int
    digest: str
    retention: int
    deadline: int  # µs; decided by then, so that time is left for the set-up
    requested_at: int = 0
    state: ClaimState = ClaimState.PENDING
    number: int = 0  # fencing token of the attempt that is pending or owns the key
    attempts: int = 0
    votes: dict[str, Vote | None] = field(default_factory=dict)
    # by witness that granted the key: the witnesses whose votes its vote excludes
    exclusions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    deferred: list[str] = field(default_factory=list)  # unreachable witnesses, asked only if needed


class Claims:
    """Claims of one gateway, together with its role as a witness.

    `members` names all gateways of the region, including this one; an empty tuple disables claims.
    `on_decided` is called once per claim with (now, session, reason); the reason is "" if the key is owned.
    """

    def __init__(
        self,
        gateway: str,
        generation: int,
        members: tuple[str, ...],
        emit: Callable[[object], None],
        on_decided: Callable[[int, int, str], None],
    ) -> None:
        self._gateway, self._generation = gateway, generation
        self._selector = WitnessSelector(members)
        self._owner = f"{gateway}/{generation:x}"
        self._emit, self._on_decided = emit, on_decided
        self.witness_service = WitnessService(gateway, generation, self._selector, emit, self._list_owned)
        self._claims: dict[int, _Claim] = {}  # by session
        self._by_number: dict[int, _Claim] = {}
        # by digest: owner (of this generation or an earlier one), number, and when the record expires (µs)
        self._owned: dict[str, tuple[str, int, int]] = {}
        self._last_number = 0

    @property
    def enabled(self) -> bool:
        """Return whether keys are claimed at all."""
        return bool(self._selector.members)

    # Claiming

    def claim_key(self, now: int, session: int, key: str, length: int, deadline: int) -> None:
        """Claim a key by `deadline` (µs) for a session of `length` µs, 0 if unknown."""
        claim = _Claim(session, hash_key(key), (length or MAX_SESSION_US) + RECORD_RETENTION_US, deadline)
        if self._owned.get(claim.digest, ("", 0, now))[2] > now:  # a session that may have run holds it
            self._on_decided(now, session, "this key has been spent")
            return
        if self.witness_service.disqualified_reason:
            self._on_decided(now, session, self.witness_service.disqualified_reason)
            return
        self._claims[session] = claim
        self._request_votes(now, claim)

    def is_pending(self, session: int) -> bool:
        """Return whether a session's claim is still undecided."""
        claim = self._claims.get(session)
        return claim is not None and claim.state is not ClaimState.OWNED

    def _request_votes(self, now: int, claim: _Claim) -> None:
        self._last_number += 1
        claim.number, claim.state, claim.requested_at = self._last_number, ClaimState.PENDING, now
        claim.attempts += 1
        witnesses = self._selector.select(claim.digest)
        claim.votes, claim.exclusions = dict.fromkeys(witnesses), {}
        self._by_number[claim.number] = claim
        other_witnesses = sorted(
            (each for each in witnesses if each != self._gateway), key=self._is_not_preferred
        )
        preferred = [
            each for each in other_witnesses if not self.witness_service.exclusions.peers[each].unreachable
        ]
        preferred_suffice = len(preferred) + (self._gateway in witnesses) > len(witnesses) // 2
        if not preferred_suffice or claim.attempts > 1:
            preferred = other_witnesses
        claim.deferred = [each for each in other_witnesses if each not in preferred]
        self._send_claims(now, claim, preferred)
        if self._gateway in claim.votes:
            number = claim.number

            def count_own_vote(at: int, vote: Vote, excluded: tuple[str, ...]) -> None:
                self.handle_vote(at, VoteReceived(self._gateway, number, vote, excluded))

            self.witness_service.vote(now, claim.digest, self._owner, number, claim.retention, count_own_vote)

    def _is_not_preferred(self, name: str) -> bool:
        return not self.witness_service.exclusions.peers[name].is_preferred

    def _send_claims(self, now: int, claim: _Claim, witnesses: list[str]) -> None:
        for each in witnesses:
            deadline = max(now, claim.requested_at + CLAIM_TIMEOUT_US)
            self._emit(SendClaim(each, claim.digest, claim.number, claim.retention, deadline))

    def handle_vote(self, now: int, event: VoteReceived) -> None:
        """Count a witness's vote, or its failure to vote."""
        claim = self._by_number.get(event.number)
        if claim is None or claim.number != event.number or claim.state is not ClaimState.PENDING:
            return
        is_late = now - claim.requested_at > CLAIM_TIMEOUT_US  # also if this process was paused meanwhile
        # a later process of that name runs already and does not know of a vote given by the earlier one
        is_superseded = 0 < event.generation < self.witness_service.exclusions.generation_of(event.peer)
        self._record_vote(
            now, claim, event.peer, Vote.NONE if is_late or is_superseded else event.vote, event.excluded
        )

    def _record_vote(
        self, now: int, claim: _Claim, witness: str, vote: Vote, excluded: tuple[str, ...] = ()
    ) -> None:
        claim.votes[witness] = vote
        if vote is Vote.GRANTED:
            claim.exclusions[witness] = excluded
        votes = list(claim.votes.values())
        granted = count_compatible_votes(claim.exclusions)
        missing = votes.count(Vote.NONE) + len(claim.exclusions) - granted
        claim.state = evaluate_votes(VoteTally(granted, votes.count(Vote.HELD), missing), len(votes))
        if claim.state is ClaimState.PENDING:
            if claim.deferred and votes.count(None) == len(claim.deferred):
                rest, claim.deferred = claim.deferred, []
                self._send_claims(now, claim, rest)
            return
        if claim.state is ClaimState.OWNED:
            self._owned[claim.digest] = self._owner, claim.number, now + claim.retention
            self._on_decided(now, claim.session, "")
            return
        self._abandon(now, claim)
        retry_at = now + (
            CLAIM_TIMEOUT_US
            if claim.state is ClaimState.NO_QUORUM
            else SPLIT_RETRY_US + self._retry_jitter(claim)
        )
        if (
            claim.state is not ClaimState.LOST
            and claim.attempts < MAX_CLAIM_ATTEMPTS
            and retry_at < claim.deadline
        ):
            self._emit(ScheduleTimer(retry_at, ("claim", claim.session)))
            return
        self._claims.pop(claim.session, None)
        is_lost = claim.state is ClaimState.LOST
        reason = "another gateway has this key" if is_lost else NO_QUORUM_REASON
        self._on_decided(now, claim.session, reason)

    def _retry_jitter(self, claim: _Claim) -> int:
        digest = hashlib.blake2b(f"{self._owner} {claim.number}".encode(), digest_size=4).digest()
        return int.from_bytes(digest, "big") % SPLIT_RETRY_US

    def retry(self, now: int, session: int) -> None:
        """Start another attempt, if the claim is still wanted."""
        claim = self._claims.get(session)
        if claim is not None and claim.state in (ClaimState.SPLIT, ClaimState.NO_QUORUM):
            self._request_votes(now, claim)

    def finish_session(self, now: int, session: int, ran: bool) -> None:
        """Drop the claim of a session that is over; release its key if the session provably never ran."""
        claim = self._claims.pop(session, None)
        if claim is None:
            return
        if ran:
            self._by_number.pop(claim.number, None)
        elif claim.state in (ClaimState.PENDING, ClaimState.OWNED):
            self._abandon(now, claim)

    def _abandon(self, now: int, claim: _Claim) -> None:
        """Release an attempt at all its witnesses, including those that have not voted."""
        self._by_number.pop(claim.number, None)
        self._owned.pop(claim.digest, None)
        self._release(now, claim.digest, self._owner, claim.number, claim.votes)

    def _release(self, now: int, digest: str, owner: str, number: int, witnesses: Iterable[str]) -> None:
        for each in witnesses:
            if each == self._gateway:
                self.witness_service.release(now, digest, owner, number)
            else:
                earlier_owner = owner if owner != self._owner else ""
                self._emit(SendRelease(each, digest, number, now + RELEASE_TIMEOUT_US, earlier_owner))

    # Keys owned by earlier generations

    def owning_claim(self, session: int) -> tuple[str, int]:
        """Return owner and number of the claim that owns a session's key; ("", 0) if none does."""
        claim = self._claims.get(session)
        is_owner = claim is not None and claim.state is ClaimState.OWNED
        return (self._owner, claim.number) if is_owner and claim is not None else ("", 0)

    def restore_owned(self, now: int, digest: str, owner: str, number: int, retention: int) -> None:
        """Restore a key that an earlier generation owned, to be kept for another `retention` µs."""
        if self.enabled and owner:
            self._owned[digest] = owner, number, now + retention

    def release_restored(self, now: int, digest: str) -> None:
        """Release a key that an earlier generation owned and whose session provably never ran."""
        owner, number, _ = self._owned.pop(digest, ("", 0, 0))
        if owner:
            self._release(now, digest, owner, number, self._selector.select(digest))

    def _list_owned(self, now: int) -> dict[str, KnownClaim]:
        """Return the keys that this gateway owns, by digest."""
        for digest in [each for each, (*_, expires_at) in self._owned.items() if expires_at <= now]:
            del self._owned[digest]
        return {
            digest: (digest, owner, number, expires_at - now)
            for digest, (owner, number, expires_at) in self._owned.items()
        }
