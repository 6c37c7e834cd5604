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

from mintmast.decisions.gateways.talk import Known, SendClaim, SendRelease, Vote, Voted
from mintmast.decisions.gateways.witness import KEPT, LONGEST, Rendezvous, digest_of
from mintmast.decisions.gateways.witnessing import CLAIM_TIME, Witnessing
from mintmast.decisions.messages import Wake

SECOND = 1_000_000
# µs between the tries of a claim whose votes were split, at the least; as much again by a hash, so that two
# that met once do not meet again
AGAIN = SECOND // 50
# µs for a release: it is not tried again, as a key whose release one witness missed has two more
RELEASE_TIME = 2 * SECOND
# tries of a claim: three claimants that split the votes thrice in a row are no accident
TRIES = 4
# why a claim was not decided where too few witnesses could be asked
UNASKED = "the owners of this key cannot be asked"


class Stage(Enum):
    """Where a claim stands."""

    ASKING = "asking"
    OWNED = "owned"
    LOST = "lost"  # another claim may own the key
    UNKNOWN = "unknown"  # too few witnesses voted
    SPLIT = "split"  # nobody has a majority: asked again after a while


@dataclass(slots=True, frozen=True)
class Tally:
    """Votes of one try."""

    granted: int = 0
    denied: int = 0
    missing: int = 0  # no answer in time, or no vote


def stage_of(tally: Tally, witnesses: int) -> Stage:
    """Tell where a try stands by its votes; the order in which they came plays no part."""
    most = witnesses // 2 + 1
    if tally.granted >= most:
        return Stage.OWNED
    if tally.denied >= most:
        return Stage.LOST
    if tally.granted + (witnesses - tally.granted - tally.denied - tally.missing) >= most:
        return Stage.ASKING  # it may still come true
    if tally.denied and tally.granted:
        return Stage.SPLIT
    return Stage.LOST if tally.denied else Stage.UNKNOWN


def together(granted: dict[str, tuple[str, ...]]) -> int:
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
    keep: int
    until: int  # when it must be decided, so that time is left for the set-up
    asked_at: int = 0
    stage: Stage = Stage.ASKING
    number: int = 0  # of the try that is under way, or owns
    tries: int = 0
    votes: dict[str, Vote | None] = field(default_factory=dict)
    granted: dict[str, tuple[str, ...]] = field(default_factory=dict)  # whom each is not combined with
    unasked: list[str] = field(default_factory=list)


class Claims:
    """The claims of one gateway and its part as a witness.

    `members` are all gateways of the region by name, this one among them; none switches claims off. `decided`
    hears of each claim once: with "" where it is owned, else with the reason why it is not.
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
        # digest: owner (this life or one before), number, until when others may need to know
        self._owned: dict[str, tuple[str, int, int]] = {}
        self._number = 0

    @property
    def on(self) -> bool:
        """Tell whether keys are claimed at all."""
        return bool(self._keys.members)

    # As a claimant

    def begin(self, now: int, session: int, key: str, length: int, until: int) -> None:
        """Claim a key for a session, by `until`; `length` of the session in µs, 0 for not known."""
        claim = _Claim(session, digest_of(key), (length or LONGEST) + KEPT, until)
        if self._owned.get(claim.digest, ("", 0, now))[2] > now:  # from a session that may have run
            self._decided(now, session, "this key has been spent")
            return
        if self.part.condemned:
            self._decided(now, session, self.part.condemned)
            return
        self._claims[session] = claim
        self._ask(now, claim)

    def pending(self, session: int) -> bool:
        """Tell whether a session's claim is not decided yet."""
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
        """Take a witness's vote, or that there was none."""
        claim = self._by_number.get(event.number)
        if claim is None or claim.number != event.number or claim.stage is not Stage.ASKING:
            return
        late = now - claim.asked_at > CLAIM_TIME  # also when this process stood still
        # one process of a name has come after another: what the first says now, the second does not know
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
        reason = "another gateway has this key" if known else UNASKED
        self._decided(now, claim.session, reason)

    def _spread(self, claim: _Claim) -> int:
        drawn = hashlib.blake2b(f"{self._owner} {claim.number}".encode(), digest_size=4).digest()
        return int.from_bytes(drawn, "big") % AGAIN

    def again(self, now: int, session: int) -> None:
        """Try once more, if the claim is still wanted."""
        claim = self._claims.get(session)
        if claim is not None and claim.stage in (Stage.SPLIT, Stage.UNKNOWN):
            self._ask(now, claim)

    def settle(self, now: int, session: int, ran: bool) -> None:
        """Take note that a session is over; where it provably never ran its key is free again."""
        claim = self._claims.pop(session, None)
        if claim is None:
            return
        if ran:
            self._by_number.pop(claim.number, None)
        elif claim.stage in (Stage.ASKING, Stage.OWNED):
            self._give_up(now, claim)

    def _give_up(self, now: int, claim: _Claim) -> None:
        """Release a try at all its witnesses, those too that have not voted."""
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

    # What earlier lives owned

    def owned(self, session: int) -> tuple[str, int]:
        """Give owner and number of the claim that a session's key is owned by; ("", 0) for none."""
        claim = self._claims.get(session)
        owns = claim is not None and claim.stage is Stage.OWNED
        return (self._owner, claim.number) if owns and claim is not None else ("", 0)

    def restore(self, now: int, digest: str, owner: str, number: int, keep: int) -> None:
        """Take it from the records that an earlier life owned a key, still to be kept for so many µs."""
        if self.on and owner:
            self._owned[digest] = owner, number, now + keep

    def give_back(self, now: int, digest: str) -> None:
        """Release what an earlier life owned, as its session provably never ran."""
        owner, number, _ = self._owned.pop(digest, ("", 0, 0))
        if owner:
            self._release(now, digest, owner, number, self._keys.of(digest))

    def _own(self, now: int) -> dict[str, Known]:
        """Give the keys that this gateway owns."""
        for digest in [each for each, (*_, until) in self._owned.items() if until <= now]:
            del self._owned[digest]
        return {
            digest: (digest, owner, number, until - now)
            for digest, (owner, number, until) in self._owned.items()
        }
