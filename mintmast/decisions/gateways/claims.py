"""Who owns a paid key among the gateways of a region: claims at three witnesses, two of which must agree.

The danger is a second charge at another gateway: a viewer who comes again elsewhere, at two gateways at once,
or after his gateway died. Before a paid set-up goes out its gateway claims the key at its witnesses, gateways
found by rendezvous hashing, so that all gateways name the same ones. A witness grants a key to one claim at a
time, until that claim is released or its time is over; two of three are a majority, and two majorities share
a witness. So there is at most one owner, whatever is lost, late or doubled. A claim is released only where
its session provably never ran. It also guards against copies of one ask at two gateways. It may hurt where
two of a key's witnesses cannot be reached: the viewer is failed.

`stage_of`, `vote`, `release` and `learn` are the whole machine; the model check (`tests/test_claims.py`)
walks them. A witness that starts has no memory: it does not vote before every other gateway has told it what
it knows, or takes no connections, so that no such process is there any more. What the witness once granted is
known to the claim's owner or, if that one has died too, to another witness. Claims that were under way at its
death are over by then, as no vote counts that took longer than `CLAIM_TIME`. Hearing from all but one is not
enough: an owner that is itself a witness may be the only other that knows.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from mintmast.decisions.messages import (
    Learnt,
    PeerCall,
    PeerReply,
    Say,
    SendClaim,
    SendLearn,
    SendRelease,
    Vote,
    Voted,
    Wake,
)

SECOND = 1_000_000
# gateways that are asked about a key: two of three go on when any one is dead; five would live through two
# deaths, for two thirds more messages
WITNESSES = 3
# µs in which a vote counts: some round trips within a region and a turn of a busy loop; a viewer of a paid
# title waits seconds. All that a starting witness must wait for
CLAIM_TIME = SECOND // 4
# µs between the tries of a claim whose votes were split, at the least; as much again by a hash, so that two
# that met once do not meet again
AGAIN = SECOND // 50
# µs for a release: it is not tried again, as a key whose release one witness missed has two more
RELEASE_TIME = 2 * SECOND
# tries of a claim: three claimants that split the votes thrice in a row are no accident
TRIES = 4
# µs for which a record is kept beyond the session's length: as long as a gateway keeps a spent key
KEPT = 3600 * SECOND
# µs; length taken for a session whose length is not known, a live one: no viewer watches longer
LONGEST = 24 * 3600 * SECOND
# records of one witness: an hour of 100 paid sessions a second and as much again; some 200 MB. A witness that
# is full does not vote
MOST_RECORDS = 720_000
# records in one answer to a witness that learns: some 60 kB
LEARNT_AT_ONCE = 500
# µs after which a gateway that did not tell what it knows is asked again
LEARN_AGAIN = SECOND


# owner of a record of which two gateways tell different things; no gateway's name
CONTESTED = "?"


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


@dataclass(slots=True, frozen=True)
class Record:
    """What a witness knows of a key: the claim that it granted, and those that it must never grant."""

    owner: str = ""  # gateway and start of the claim's owner, "" for free
    number: int = 0
    released: tuple[tuple[str, int], ...] = ()  # of each owner the highest number that is over


def vote(record: Record, owner: str, number: int) -> tuple[Record, Vote]:
    """Let a witness vote on a claim. A gateway asks for a key again only when its claim before is over."""
    if any(each == owner and number <= last for each, last in record.released):
        return record, Vote.HELD  # it came late: nobody waits for this vote any more
    if not record.owner or (record.owner == owner and record.number <= number):
        return Record(owner, number, record.released), Vote.GRANTED
    return record, Vote.HELD


def release(record: Record, owner: str, number: int) -> Record:
    """Let a witness take a release; a claim that comes after it is never granted."""
    last = max([number, *(each for other, each in record.released if other == owner)])
    released = (*(each for each in record.released if each[0] != owner), (owner, last))
    if record.owner == owner and record.number <= number:
        return Record("", 0, released)
    return Record(record.owner, record.number, released)


def learn(record: Record, owner: str, number: int) -> Record:
    """Let a witness that starts take what another gateway knows.

    Two gateways may know of two claims, as one of them may be under way or given up by now. Which of the two
    this witness once granted cannot be told, so it grants neither; the other two witnesses decide.
    """
    if any(each == owner and number <= last for each, last in record.released):
        return record
    if not record.owner or (record.owner == owner and record.number <= number):
        return Record(owner, number, record.released)
    return record if record.owner == owner else Record(CONTESTED, 0, record.released)


def digest_of(key: str) -> str:
    """Give a key's name among gateways: of one length, and nothing of the viewer in it."""
    return hashlib.blake2b(key.encode(), digest_size=16).hexdigest()


def witnesses_of(digest: str, members: tuple[str, ...]) -> tuple[str, ...]:
    """Give a key's witnesses by rendezvous hashing: the same for all who have the same members."""

    def weight(member: str) -> bytes:
        return hashlib.blake2b(f"{member} {digest}".encode(), digest_size=8).digest()

    return tuple(sorted(members, key=weight)[:WITNESSES])


class Witness:
    """One gateway's memory as a witness; `owner` names are gateway and start, `keep` is in µs."""

    def __init__(self) -> None:
        self.voting = False
        self._records: dict[str, Record] = {}
        self._until: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._records)

    def vote(self, now: int, digest: str, owner: str, number: int, keep: int) -> Vote:
        """Vote on a claim."""
        if not self.voting:
            return Vote.NONE
        self._sweep(now)
        record = self._records.get(digest, Record())
        if digest not in self._records and len(self._records) >= MOST_RECORDS:
            return Vote.NONE
        record, told = vote(record, owner, number)
        self._put(digest, record, now + min(keep, LONGEST + KEPT))
        return told

    def release(self, now: int, digest: str, owner: str, number: int) -> None:
        """Take a release."""
        if digest in self._records or len(self._records) < MOST_RECORDS:
            # kept for as long as the claim may still be under way, and well beyond
            self._put(digest, release(self._records.get(digest, Record()), owner, number), now + KEPT)

    def learn(self, now: int, digest: str, owner: str, number: int, keep: int) -> None:
        """Take what another gateway knows; what was heard of a release since then stands."""
        record = learn(self._records.get(digest, Record()), owner, number)
        self._put(digest, record, now + min(keep, LONGEST + KEPT))

    def known(self, now: int, after: str) -> list[tuple[str, str, int, int]]:
        """Give records that are held, by digest, those after one: (digest, owner, number, µs still kept)."""
        rest = sorted(each for each, record in self._records.items() if each > after and record.owner)
        return [
            (each, self._records[each].owner, self._records[each].number, self._until[each] - now)
            for each in rest[:LEARNT_AT_ONCE]
        ]

    def _put(self, digest: str, record: Record, until: int) -> None:
        self._records[digest] = record
        until = max(until, self._until.pop(digest, 0))
        self._until[digest] = until  # at the end: roughly in the order in which they are over

    def _sweep(self, now: int) -> None:
        """Forget what is over, a few at a time: records come one by one."""
        for digest in [each for each, _ in zip(self._until, range(4), strict=False)]:
            if self._until[digest] <= now:
                del self._until[digest], self._records[digest]
            else:
                self._until[digest] = self._until.pop(digest)


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
        self._gateway, self._owner, self._members = gateway, f"{gateway}/{start:x}", members
        self._others = tuple(each for each in members if each != gateway)
        self._emit, self._decided = emit, decided
        self.witness = Witness()
        self._claims: dict[int, _Claim] = {}  # by session
        self._by_number: dict[int, _Claim] = {}
        self._owned: dict[str, tuple[int, int]] = {}  # digest: number, until when others may need to know
        self._number = 0
        self._learnt: set[str] = set()

    @property
    def on(self) -> bool:
        """Tell whether keys are claimed at all."""
        return bool(self._members)

    # As a claimant

    def begin(self, now: int, session: int, key: str, length: int, until: int) -> None:
        """Claim a key for a session, by `until`; `length` of the session in µs, 0 for not known."""
        claim = _Claim(session, digest_of(key), (length or LONGEST) + KEPT, until)
        if self._owned.get(claim.digest, (0, now))[1] > now:  # from a session that may have run
            self._decided(now, session, "this key has been spent")
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
        witnesses = witnesses_of(claim.digest, self._members)
        claim.votes = dict.fromkeys(witnesses)
        self._by_number[claim.number] = claim
        for each in witnesses:
            if each != self._gateway:
                self._emit(SendClaim(each, claim.digest, claim.number, claim.keep, now + CLAIM_TIME))
        if self._gateway in claim.votes:
            mine = self.witness.vote(now, claim.digest, self._owner, claim.number, claim.keep)
            self._count(now, claim, self._gateway, mine)

    def voted(self, now: int, event: Voted) -> None:
        """Take a witness's vote, or that there was none."""
        claim = self._by_number.get(event.number)
        if claim is None or claim.number != event.number or claim.stage is not Stage.ASKING:
            return
        late = now - claim.asked_at > CLAIM_TIME  # also when this process stood still
        self._count(now, claim, event.peer, Vote.NONE if late else event.vote)

    def _count(self, now: int, claim: _Claim, witness: str, told: Vote) -> None:
        claim.votes[witness] = told
        cast = list(claim.votes.values())
        tally = Tally(cast.count(Vote.GRANTED), cast.count(Vote.HELD), cast.count(Vote.NONE))
        claim.stage = stage_of(tally, len(cast))
        if claim.stage is Stage.ASKING:
            return
        if claim.stage is Stage.OWNED:
            self._owned[claim.digest] = claim.number, now + claim.keep
            self._decided(now, claim.session, "")
            return
        self._give_up(now, claim)
        again = now + (CLAIM_TIME if claim.stage is Stage.UNKNOWN else AGAIN + self._spread(claim))
        if claim.stage is not Stage.LOST and claim.tries < TRIES and again < claim.until:
            self._emit(Wake(again, ("claim", claim.session)))
            return
        self._claims.pop(claim.session, None)
        known = claim.stage is Stage.LOST
        reason = "another gateway has this key" if known else "the owners of this key cannot be asked"
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
        for each in claim.votes:
            if each == self._gateway:
                self.witness.release(now, claim.digest, self._owner, claim.number)
            else:
                self._emit(SendRelease(each, claim.digest, claim.number, now + RELEASE_TIME))

    # As a witness

    def begin_learning(self, now: int) -> None:
        """Start: nothing is known of what this gateway granted in an earlier life."""
        if self.on:
            self._emit(Wake(now + 2 * CLAIM_TIME, ("learn",)))

    def learn(self, now: int) -> None:
        """Ask those who have not told yet what they know."""
        self._enough()
        if not self.witness.voting:
            for each in self._others:
                if each not in self._learnt:
                    self._emit(SendLearn(each, "", now + LEARN_AGAIN))
            self._emit(Wake(now + LEARN_AGAIN, ("learn",)))

    def _enough(self) -> None:
        if not self.witness.voting and len(self._learnt) == len(self._others):
            self.witness.voting = True
            self._emit(Say("witness_votes", (("records", len(self.witness)),)))

    def learnt(self, now: int, event: Learnt) -> None:
        """Take what another gateway knows."""
        for digest, owner, number, keep in event.records:
            if self._gateway in witnesses_of(digest, self._members):
                self.witness.learn(now, digest, owner, number, keep)
        if event.more:
            self._emit(SendLearn(event.peer, event.records[-1][0], now + LEARN_AGAIN))
        elif event.whole or event.dead:
            self._learnt.add(event.peer)
            self._enough()

    def called(self, now: int, event: PeerCall) -> None:
        """Answer another gateway."""
        if event.learn is not None:
            records = self._known(now, event.learn)
            self._emit(PeerReply(event.call, Vote.NONE, tuple(records), len(records) >= LEARNT_AT_ONCE))
        elif event.release:
            self.witness.release(now, event.digest, event.owner, event.number)
            self._emit(PeerReply(event.call))
        else:
            told = self.witness.vote(now, event.digest, event.owner, event.number, event.keep)
            self._emit(PeerReply(event.call, told))

    def _known(self, now: int, after: str) -> list[tuple[str, str, int, int]]:
        """Give what this gateway owns or has granted, in one order, so that a call can go on from there."""
        for digest in [each for each, (_, until) in self._owned.items() if until <= now]:
            del self._owned[digest]
        known = {each[0]: each for each in self.witness.known(now, after)}
        mine = sorted(each for each in self._owned if each > after)[:LEARNT_AT_ONCE]
        for digest in mine:
            number, until = self._owned[digest]
            known[digest] = digest, self._owner, number, until - now
        return [known[each] for each in sorted(known)[:LEARNT_AT_ONCE]]
