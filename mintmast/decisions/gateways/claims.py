"""Ownership of paid keys among the gateways of a region: a claim needs the votes of two of three witnesses.

Claims prevent a second charge when a viewer returns through another gateway, asks two gateways at once, or
returns after his gateway died. Before a paid set-up is sent, its gateway claims the key at the key's
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

from mintmast.decisions.gateways.talk import Known, SendClaim, SendRelease, Vote, Voted
from mintmast.decisions.gateways.witness import KEPT, LONGEST, Rendezvous, digest_of
from mintmast.decisions.gateways.witnessing import CLAIM_TIME, Witnessing
from mintmast.decisions.messages import Wake

SECOND = 1_000_000
# minimum µs between attempts of a claim whose votes were split; a jitter of up to as much again is derived
# from a hash, so that two claims that collided once do not collide again
AGAIN = SECOND // 50
# µs for a release, which is not retried: a key whose release one witness missed has two more witnesses
RELEASE_TIME = 2 * SECOND
# attempts per claim: three claimants that split the votes three times in a row are no coincidence
TRIES = 4
# reason of a claim for which too few witnesses voted
UNASKED = "too few witnesses of this key answered"


class Stage(Enum):
    """State of a claim after the votes received so far."""

    ASKING = "asking"
    OWNED = "owned"
    LOST = "lost"  # another claim may own the key
    UNKNOWN = "unknown"  # too few witnesses voted
    SPLIT = "split"  # no claim has a majority; retried after a delay


@dataclass(slots=True, frozen=True)
class Tally:
    """Votes of one attempt."""

    granted: int = 0
    denied: int = 0
    missing: int = 0  # no reply in time, or an abstention


def stage_of(tally: Tally, witnesses: int) -> Stage:
    """Return the state of an attempt from its votes; their order does not matter."""
    most = witnesses // 2 + 1
    if tally.granted >= most:
        return Stage.OWNED
    if tally.denied >= most:
        return Stage.LOST
    if tally.granted + (witnesses - tally.granted - tally.denied - tally.missing) >= most:
        return Stage.ASKING  # a majority is still possible
    if tally.denied and tally.granted:
        return Stage.SPLIT
    return Stage.LOST if tally.denied else Stage.UNKNOWN


def together(granted: dict[str, tuple[str, ...]]) -> int:
    """Return the size of the largest set of votes that may be combined, none excluding another."""
    for size in range(len(granted), 0, -1):
        for group in combinations(sorted(granted), size):
            if not any(other in granted[each] for each in group for other in group):
                return size
    return 0


@dataclass(slots=True)
class _Claim:
    session: int
    digest: str
    keep: int
    until: int  # µs; decided by then, so that time is left for the set-up
    asked_at: int = 0
    stage: Stage = Stage.ASKING
    number: int = 0  # fencing token of the attempt that is pending or owns the key
    tries: int = 0
    votes: dict[str, Vote | None] = field(default_factory=dict)
    # by witness that granted the key: the witnesses whose votes its vote excludes
    granted: dict[str, tuple[str, ...]] = field(default_factory=dict)
    unasked: list[str] = field(default_factory=list)


class Claims:
    """Claims of one gateway, together with its role as a witness.

    `members` names all gateways of the region, including this one; an empty tuple disables claims.
    `on_decided` is called once per claim with (now, session, reason); the reason is "" if the key is owned.
    """

    def __init__(
        self,
        gateway: str,
        start: int,
        members: tuple[str, ...],
        emit: Callable[[object], None],
        decided: Callable[[int, int, str], None],
    ) -> None:
        self._gateway, self._start = gateway, start
        self._keys = Rendezvous(members)
        self._owner = f"{gateway}/{start:x}"
        self._emit, self._decided = emit, decided
        self.part = Witnessing(gateway, start, self._keys, emit, self._own)
        self._claims: dict[int, _Claim] = {}  # by session
        self._by_number: dict[int, _Claim] = {}
        # by digest: owner (of this generation or an earlier one), number, and when the record expires (µs)
        self._owned: dict[str, tuple[str, int, int]] = {}
        self._number = 0

    @property
    def on(self) -> bool:
        """Return whether keys are claimed at all."""
        return bool(self._keys.members)

    # Claiming

    def begin(self, now: int, session: int, key: str, length: int, until: int) -> None:
        """Claim a key by `deadline` (µs) for a session of `length` µs, 0 if unknown."""
        claim = _Claim(session, digest_of(key), (length or LONGEST) + KEPT, until)
        if self._owned.get(claim.digest, ("", 0, now))[2] > now:  # a session that may have run holds it
            self._decided(now, session, "this key has been used")
            return
        if self.part.condemned:
            self._decided(now, session, self.part.condemned)
            return
        self._claims[session] = claim
        self._ask(now, claim)

    def pending(self, session: int) -> bool:
        """Return whether a session's claim is still undecided."""
        claim = self._claims.get(session)
        return claim is not None and claim.stage is not Stage.OWNED

    def _ask(self, now: int, claim: _Claim) -> None:
        self._number += 1
        claim.number, claim.stage, claim.asked_at = self._number, Stage.ASKING, now
        claim.tries += 1
        witnesses = self._keys.of(claim.digest)
        claim.votes, claim.granted = dict.fromkeys(witnesses), {}
        self._by_number[claim.number] = claim
        others = sorted((each for each in witnesses if each != self._gateway), key=self._first)
        first = [each for each in others if not self.part.covers.others[each].out]
        enough = len(first) + (self._gateway in witnesses) > len(witnesses) // 2
        if not enough or claim.tries > 1:
            first = others
        claim.unasked = [each for each in others if each not in first]
        self._send(now, claim, first)
        if self._gateway in claim.votes:
            number = claim.number

            def told(at: int, vote: Vote, without: tuple[str, ...]) -> None:
                self.voted(at, Voted(self._gateway, number, vote, without))

            self.part.vote(now, claim.digest, self._owner, number, claim.keep, told)

    def _first(self, name: str) -> bool:
        return not self.part.covers.others[name].first

    def _send(self, now: int, claim: _Claim, witnesses: list[str]) -> None:
        for each in witnesses:
            until = max(now, claim.asked_at + CLAIM_TIME)
            self._emit(SendClaim(each, claim.digest, claim.number, claim.keep, until))

    def voted(self, now: int, event: Voted) -> None:
        """Count a witness's vote, or its failure to vote."""
        claim = self._by_number.get(event.number)
        if claim is None or claim.number != event.number or claim.stage is not Stage.ASKING:
            return
        late = now - claim.asked_at > CLAIM_TIME  # also if this process was paused meanwhile
        # a later process of that name runs already and does not know of a vote given by the earlier one
        over = 0 < event.start < self.part.covers.start_of(event.peer)
        self._count(now, claim, event.peer, Vote.NONE if late or over else event.vote, event.without)

    def _count(
        self, now: int, claim: _Claim, witness: str, told: Vote, without: tuple[str, ...] = ()
    ) -> None:
        claim.votes[witness] = told
        if told is Vote.GRANTED:
            claim.granted[witness] = without
        cast = list(claim.votes.values())
        granted = together(claim.granted)
        missing = cast.count(Vote.NONE) + len(claim.granted) - granted
        claim.stage = stage_of(Tally(granted, cast.count(Vote.HELD), missing), len(cast))
        if claim.stage is Stage.ASKING:
            if claim.unasked and cast.count(None) == len(claim.unasked):
                rest, claim.unasked = claim.unasked, []
                self._send(now, claim, rest)
            return
        if claim.stage is Stage.OWNED:
            self._owned[claim.digest] = self._owner, claim.number, now + claim.keep
            self._decided(now, claim.session, "")
            return
        self._give_up(now, claim)
        again = now + (CLAIM_TIME if claim.stage is Stage.UNKNOWN else AGAIN + self._spread(claim))
        if claim.stage is not Stage.LOST and claim.tries < TRIES and again < claim.until:
            self._emit(Wake(again, ("claim", claim.session)))
            return
        self._claims.pop(claim.session, None)
        known = claim.stage is Stage.LOST
        reason = "another gateway owns this key" if known else UNASKED
        self._decided(now, claim.session, reason)

    def _spread(self, claim: _Claim) -> int:
        drawn = hashlib.blake2b(f"{self._owner} {claim.number}".encode(), digest_size=4).digest()
        return int.from_bytes(drawn, "big") % AGAIN

    def again(self, now: int, session: int) -> None:
        """Start another attempt, if the claim is still wanted."""
        claim = self._claims.get(session)
        if claim is not None and claim.stage in (Stage.SPLIT, Stage.UNKNOWN):
            self._ask(now, claim)

    def settle(self, now: int, session: int, ran: bool) -> None:
        """Drop the claim of a session that is over; release its key if the session provably never ran."""
        claim = self._claims.pop(session, None)
        if claim is None:
            return
        if ran:
            self._by_number.pop(claim.number, None)
        elif claim.stage in (Stage.ASKING, Stage.OWNED):
            self._give_up(now, claim)

    def _give_up(self, now: int, claim: _Claim) -> None:
        """Release an attempt at all its witnesses, including those that have not voted."""
        self._by_number.pop(claim.number, None)
        self._owned.pop(claim.digest, None)
        self._release(now, claim.digest, self._owner, claim.number, claim.votes)

    def _release(self, now: int, digest: str, owner: str, number: int, witnesses: Iterable[str]) -> None:
        for each in witnesses:
            if each == self._gateway:
                self.part.release(now, digest, owner, number)
            else:
                before = owner if owner != self._owner else ""
                self._emit(SendRelease(each, digest, number, now + RELEASE_TIME, before))

    # Keys owned by earlier generations

    def owned(self, session: int) -> tuple[str, int]:
        """Return owner and number of the claim that owns a session's key; ("", 0) if none does."""
        claim = self._claims.get(session)
        owns = claim is not None and claim.stage is Stage.OWNED
        return (self._owner, claim.number) if owns and claim is not None else ("", 0)

    def restore(self, now: int, digest: str, owner: str, number: int, keep: int) -> None:
        """Restore a key that an earlier generation owned, to be kept for another `keep` µs."""
        if self.on and owner:
            self._owned[digest] = owner, number, now + keep

    def give_back(self, now: int, digest: str) -> None:
        """Release a key that an earlier generation owned and whose session provably never ran."""
        owner, number, _ = self._owned.pop(digest, ("", 0, 0))
        if owner:
            self._release(now, digest, owner, number, self._keys.of(digest))

    def _own(self, now: int) -> dict[str, Known]:
        """Return the keys that this gateway owns, by digest."""
        for digest in [each for each, (*_, until) in self._owned.items() if until <= now]:
            del self._owned[digest]
        return {
            digest: (digest, owner, number, until - now)
            for digest, (owner, number, until) in self._owned.items()
        }
