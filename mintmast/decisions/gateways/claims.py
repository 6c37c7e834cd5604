"""Who owns a paid key among the gateways of a region: claims at three witnesses, two of which must agree.

The danger is a second charge at another gateway: a viewer who comes again elsewhere, at two gateways at once,
or after his gateway died. Before a paid set-up goes out its gateway claims the key at its witnesses, gateways
found by rendezvous hashing, so that all gateways name the same ones. A witness grants a key to one claim at a
time, until that claim is released or its time is over; two of three are a majority, and two majorities share
a witness. So there is at most one owner, whatever is lost, late or doubled. A claim is released only where
its session provably never ran. It also guards against copies of one ask at two gateways. It may hurt where
two of a key's witnesses cannot be reached: the viewer is failed.

`stage_of` and, of `witness.py`, `vote`, `release` and `learn` are one key's machine; the model check
(`tests/test_claims.py`) walks them. A witness that starts has no memory, and votes on a key once those have
told what they know who know of every claim that it granted: `covers.py`. Claims that were under way at its
death are over by then, as no vote counts that took longer than `CLAIM_TIME`.
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
# µs between the tries of a claim whose votes were split, at the least; as much again by a hash, so that two
# that met once do not meet again
SPLIT_RETRY_US = SECOND // 50
# µs for a release: it is not tried again, as a key whose release one witness missed has two more
RELEASE_TIMEOUT_US = 2 * SECOND
# tries of a claim: three claimants that split the votes thrice in a row are no accident
MAX_CLAIM_ATTEMPTS = 4
# why a claim was not decided where too few witnesses could be asked
NO_QUORUM_REASON = "the owners of this key cannot be asked"


class ClaimState(Enum):
    """Where a claim stands."""

    PENDING = "asking"
    OWNED = "owned"
    LOST = "lost"  # another claim may own the key
    NO_QUORUM = "unknown"  # too few witnesses voted
    SPLIT = "split"  # nobody has a majority: asked again after a while


@dataclass(slots=True, frozen=True)
class VoteTally:
    """Votes of one try."""

    granted: int = 0
    denied: int = 0
    missing: int = 0  # no answer in time, or no vote


def evaluate_votes(tally: VoteTally, witnesses: int) -> ClaimState:
    """Tell where a try stands by its votes; the order in which they came plays no part."""
    most = witnesses // 2 + 1
    if tally.granted >= most:
        return ClaimState.OWNED
    if tally.denied >= most:
        return ClaimState.LOST
    if tally.granted + (witnesses - tally.granted - tally.denied - tally.missing) >= most:
        return ClaimState.PENDING  # it may still come true
    if tally.denied and tally.granted:
        return ClaimState.SPLIT
    return ClaimState.LOST if tally.denied else ClaimState.NO_QUORUM


def count_compatible_votes(granted: dict[str, tuple[str, ...]]) -> int:
    """Count the most votes that may be counted together; each names those it is not combined with."""
    for size in range(len(granted), 0, -1):
        for group in combinations(sorted(granted), size):
            if not any(other in granted[each] for each in group for other in group):
                return size
    return 0


@dataclass(slots=True)
class _Claim:
    session: int
    digest: str
    retention: int
    deadline: int  # when it must be decided, so that time is left for the set-up
    requested_at: int = 0
    state: ClaimState = ClaimState.PENDING
    number: int = 0  # of the try that is under way, or owns
    attempts: int = 0
    votes: dict[str, Vote | None] = field(default_factory=dict)
    exclusions: dict[str, tuple[str, ...]] = field(default_factory=dict)  # whom each is not combined with
    deferred: list[str] = field(default_factory=list)


class Claims:
    """The claims of one gateway and its part as a witness.

    `members` are all gateways of the region by name, this one among them; none switches claims off. `decided`
    hears of each claim once: with "" where it is owned, else with the reason why it is not.
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
        # digest: owner (this life or one before), number, until when others may need to know
        self._owned: dict[str, tuple[str, int, int]] = {}
        self._last_number = 0

    @property
    def enabled(self) -> bool:
        """Tell whether keys are claimed at all."""
        return bool(self._selector.members)

    # As a claimant

    def claim_key(self, now: int, session: int, key: str, length: int, until: int) -> None:
        """Claim a key for a session, by `until`; `length` of the session in µs, 0 for not known."""
        claim = _Claim(session, hash_key(key), (length or MAX_SESSION_US) + RECORD_RETENTION_US, until)
        if self._owned.get(claim.digest, ("", 0, now))[2] > now:  # from a session that may have run
            self._on_decided(now, session, "this key has been spent")
            return
        if self.witness_service.disqualified_reason:
            self._on_decided(now, session, self.witness_service.disqualified_reason)
            return
        self._claims[session] = claim
        self._request_votes(now, claim)

    def is_pending(self, session: int) -> bool:
        """Tell whether a session's claim is not decided yet."""
        claim = self._claims.get(session)
        return claim is not None and claim.state is not ClaimState.OWNED

    def _request_votes(self, now: int, claim: _Claim) -> None:
        self._last_number += 1
        claim.number, claim.state, claim.requested_at = self._last_number, ClaimState.PENDING, now
        claim.attempts += 1
        witnesses = self._selector.select(claim.digest)
        claim.votes, claim.exclusions = dict.fromkeys(witnesses), {}
        self._by_number[claim.number] = claim
        others = sorted((each for each in witnesses if each != self._gateway), key=self._is_not_preferred)
        first = [each for each in others if not self.witness_service.exclusions.peers[each].unreachable]
        enough = len(first) + (self._gateway in witnesses) > len(witnesses) // 2
        if not enough or claim.attempts > 1:
            first = others
        claim.deferred = [each for each in others if each not in first]
        self._send_claims(now, claim, first)
        if self._gateway in claim.votes:
            number = claim.number

            def told(at: int, vote: Vote, without: tuple[str, ...]) -> None:
                self.handle_vote(at, VoteReceived(self._gateway, number, vote, without))

            self.witness_service.vote(now, claim.digest, self._owner, number, claim.retention, told)

    def _is_not_preferred(self, name: str) -> bool:
        return not self.witness_service.exclusions.peers[name].is_preferred

    def _send_claims(self, now: int, claim: _Claim, witnesses: list[str]) -> None:
        for each in witnesses:
            until = max(now, claim.requested_at + CLAIM_TIMEOUT_US)
            self._emit(SendClaim(each, claim.digest, claim.number, claim.retention, until))

    def handle_vote(self, now: int, event: VoteReceived) -> None:
        """Take a witness's vote, or that there was none."""
        claim = self._by_number.get(event.number)
        if claim is None or claim.number != event.number or claim.state is not ClaimState.PENDING:
            return
        late = now - claim.requested_at > CLAIM_TIMEOUT_US  # also when this process stood still
        # one process of a name has come after another: what the first says now, the second does not know
        over = 0 < event.generation < self.witness_service.exclusions.generation_of(event.peer)
        self._record_vote(now, claim, event.peer, Vote.NONE if late or over else event.vote, event.excluded)

    def _record_vote(
        self, now: int, claim: _Claim, witness: str, told: Vote, without: tuple[str, ...] = ()
    ) -> None:
        claim.votes[witness] = told
        if told is Vote.GRANTED:
            claim.exclusions[witness] = without
        cast = list(claim.votes.values())
        granted = count_compatible_votes(claim.exclusions)
        missing = cast.count(Vote.NONE) + len(claim.exclusions) - granted
        claim.state = evaluate_votes(VoteTally(granted, cast.count(Vote.HELD), missing), len(cast))
        if claim.state is ClaimState.PENDING:
            if claim.deferred and cast.count(None) == len(claim.deferred):
                rest, claim.deferred = claim.deferred, []
                self._send_claims(now, claim, rest)
            return
        if claim.state is ClaimState.OWNED:
            self._owned[claim.digest] = self._owner, claim.number, now + claim.retention
            self._on_decided(now, claim.session, "")
            return
        self._abandon(now, claim)
        again = now + (
            CLAIM_TIMEOUT_US
            if claim.state is ClaimState.NO_QUORUM
            else SPLIT_RETRY_US + self._retry_jitter(claim)
        )
        if (
            claim.state is not ClaimState.LOST
            and claim.attempts < MAX_CLAIM_ATTEMPTS
            and again < claim.deadline
        ):
            self._emit(ScheduleTimer(again, ("claim", claim.session)))
            return
        self._claims.pop(claim.session, None)
        known = claim.state is ClaimState.LOST
        reason = "another gateway has this key" if known else NO_QUORUM_REASON
        self._on_decided(now, claim.session, reason)

    def _retry_jitter(self, claim: _Claim) -> int:
        drawn = hashlib.blake2b(f"{self._owner} {claim.number}".encode(), digest_size=4).digest()
        return int.from_bytes(drawn, "big") % SPLIT_RETRY_US

    def retry(self, now: int, session: int) -> None:
        """Try once more, if the claim is still wanted."""
        claim = self._claims.get(session)
        if claim is not None and claim.state in (ClaimState.SPLIT, ClaimState.NO_QUORUM):
            self._request_votes(now, claim)

    def finish_session(self, now: int, session: int, ran: bool) -> None:
        """Take note that a session is over; where it provably never ran its key is free again."""
        claim = self._claims.pop(session, None)
        if claim is None:
            return
        if ran:
            self._by_number.pop(claim.number, None)
        elif claim.state in (ClaimState.PENDING, ClaimState.OWNED):
            self._abandon(now, claim)

    def _abandon(self, now: int, claim: _Claim) -> None:
        """Release a try at all its witnesses, those too that have not voted."""
        self._by_number.pop(claim.number, None)
        self._owned.pop(claim.digest, None)
        self._release(now, claim.digest, self._owner, claim.number, claim.votes)

    def _release(self, now: int, digest: str, owner: str, number: int, witnesses: Iterable[str]) -> None:
        for each in witnesses:
            if each == self._gateway:
                self.witness_service.release(now, digest, owner, number)
            else:
                before = owner if owner != self._owner else ""
                self._emit(SendRelease(each, digest, number, now + RELEASE_TIMEOUT_US, before))

    # What earlier lives owned

    def owning_claim(self, session: int) -> tuple[str, int]:
        """Give owner and number of the claim that a session's key is owned by; ("", 0) for none."""
        claim = self._claims.get(session)
        owns = claim is not None and claim.state is ClaimState.OWNED
        return (self._owner, claim.number) if owns and claim is not None else ("", 0)

    def restore_owned(self, now: int, digest: str, owner: str, number: int, keep: int) -> None:
        """Take it from the records that an earlier life owned a key, still to be kept for so many µs."""
        if self.enabled and owner:
            self._owned[digest] = owner, number, now + keep

    def release_restored(self, now: int, digest: str) -> None:
        """Release what an earlier life owned, as its session provably never ran."""
        owner, number, _ = self._owned.pop(digest, ("", 0, 0))
        if owner:
            self._release(now, digest, owner, number, self._selector.select(digest))

    def _list_owned(self, now: int) -> dict[str, KnownClaim]:
        """Give the keys that this gateway owns."""
        for digest in [each for each, (*_, until) in self._owned.items() if until <= now]:
            del self._owned[digest]
        return {
            digest: (digest, owner, number, until - now)
            for digest, (owner, number, until) in self._owned.items()
        }
