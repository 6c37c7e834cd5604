"""A gateway's service as a witness of paid keys: voting, learning, answering other gateways, durable records.

It combines `witness.py` (the state machine of one key), `exclusions.py` (the keys on which the gateway may
vote) and `records.py` (what must be on disk before a message is sent).
"""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.gateways.covers import Covers
from mintmast.decisions.gateways.records import Grant, Keeper, Kind, Recovered
from mintmast.decisions.gateways.talk import (
    AsideTold,
    Condemned,
    Known,
    Learnt,
    PeerCall,
    PeerReply,
    PeerStands,
    Vote,
)
from mintmast.decisions.gateways.witness import LEARNT_AT_ONCE, Rendezvous, Witness
from mintmast.decisions.messages import Say, Wake

SECOND = 1_000_000
# µs within which a vote counts: several round trips within a region plus one turn of a busy event loop, while
# the viewer of a paid title waits for seconds. A starting witness waits for nothing longer than this
CLAIM_TIME = SECOND // 4
# µs between reviews of the pending messages to other gateways
LOOK_AGAIN = SECOND
# above ALL_AT_ONCE members reviews are paced, by PAIR_TIME µs for each pair of gateways: a review goes over
# all pairs at about 1 µs each, and each message of hundreds of gateways that start together triggers one
PAIR_TIME, ALL_AT_ONCE = 4, 32

Names = tuple[str, ...]


class Witnessing:
    """Witness service of one gateway.

    `own(now)` returns the keys that the gateway owns itself; `emit` receives commands.
    """

    def __init__(
        self,
        gateway: str,
        start: int,
        keys: Rendezvous,
        emit: Callable[[object], None],
        own: Callable[[int], dict[str, Known]],
    ) -> None:
        self._gateway, self._start, self._keys = gateway, start, keys
        members = self._members = keys.members
        self._emit, self._own = emit, own
        self.witness = Witness()
        self.keeper = Keeper(emit)
        self.covers = Covers(gateway, members, emit, self._save_aside)
        self.condemned = ""
        self._marked = False  # the records on disk are marked as complete
        self._wakes_at = self._look_from = 0
        few = len(members) <= ALL_AT_ONCE
        self._apart = 0 if few else PAIR_TIME * len(members) ** 2  # µs between reviews
        self._not_before = 0  # µs; until then claims of a generation missing from the records may be pending
        self._said: tuple[bool, list[str]] | None = None

    @property
    def voting(self) -> bool:
        """Return whether this gateway votes on all keys that can be decided."""
        return self.covers.voting and not self.condemned

    def state(self) -> dict[str, object]:
        """Return the state of this witness for operators."""
        return {"votes": self.voting, "records": len(self.witness), **self.covers.state()}

    def vote(
        self,
        now: int,
        digest: str,
        owner: str,
        number: int,
        keep: int,
        then: Callable[[int, Vote, Names], None],
    ) -> None:
        """Vote on a claim; `then(now, vote, excluded witnesses)` is called once the vote is durable."""
        witnesses = self._keys.of(digest)
        others = tuple(each for each in witnesses if each != self._gateway)
        if self.condemned or self._gateway not in witnesses or not self.covers.ready(others):
            then(now, Vote.NONE, ())
            return
        without = self.covers.without(others)
        told = self.witness.vote(now, digest, owner, number, keep)
        if told is not Vote.GRANTED:
            then(now, told, ())
            return
        self._save(now, digest, lambda at, good: then(at, told if good else Vote.NONE, without))

    def release(self, now: int, digest: str, owner: str, number: int) -> None:
        """Record a release."""
        self.witness.release(now, digest, owner, number)
        self._save(now, digest)

    def begin_learning(self, now: int, kept: Recovered | None = None) -> None:
        """Start with the records of earlier generations, or without any if there is no store."""
        if kept is not None:
            self.keeper.begin(now, kept.ran)
        if not self._members:
            return
        wait = 2 * CLAIM_TIME
        if kept is not None:
            for name, (start, _) in kept.members.items():
                if name in self.covers.others:
                    self.covers.lives(name, start)
            for digest, (record, keep) in kept.grants.items():
                self.witness.restore(now, digest, record, keep)
            if kept.whole:
                self.covers.restore(kept.life, kept.aside)
                self._marked, wait = True, 0
            for fault in kept.faults[:10]:
                self._emit(Say("record_doubtful", (("fault", fault),)))
            told = (("life", kept.life), ("records", len(kept.grants)), ("whole", kept.whole))
            self._emit(Say("recovered", told))
        self._emit(Wake(now + wait, ("learn",)))

    def _save(self, now: int, digest: str, then: Callable[[int, bool], None] | None = None) -> None:
        """Save the witness's record of a key and delete those that expired."""
        gone, self.witness.forgotten = self.witness.forgotten, []
        for each in gone:
            self.keeper.keep(now, Kind.GRANT, each, None)
        record, until = self.witness.record(digest)
        if self.keeper.on:
            until += self.keeper.ran(now) - now
        value = Grant(record.owner, record.number, until, record.released)
        self.keeper.keep(now, Kind.GRANT, digest, value, then)

    def _save_aside(
        self, now: int, name: str, names: frozenset[str], then: Callable[[int, bool], None]
    ) -> None:
        self.keeper.keep(now, Kind.ASIDE, name, tuple(sorted(names)), then)

    def learn(self, now: int) -> None:
        """Run a scheduled review, the first one once claims pending at the start are decided."""
        self._wakes_at = 0
        if now >= self._not_before:
            self.covers.begun = True
            self._look(now)

    def _look(self, now: int) -> None:
        """Send what is due to other gateways, so that a request that was lost is sent again."""
        if not self.covers.begun:
            return
        if now < self._look_from and not self.covers.stale:
            self._wake(self._look_from)
            return
        self._look_from = now + self._apart
        if self.covers.stale:
            self.covers.stale = False
            self.covers.doubt()
            self._marked = False
            self.keeper.keep(now, Kind.WHOLE, "", None)
            self._emit(Say("records_old", (("why", "another gateway has seen a later generation"),)))
            self._not_before = now + 2 * CLAIM_TIME
            self._emit(Wake(self._not_before, ("learn",)))
            return
        if self.covers.go_on(now):
            self._wake(now + LOOK_AGAIN)
        told = self.covers.voting, self.covers.waits_for()
        if not self._marked and self.covers.whole:
            self._marked = True
            self.keeper.keep(now, Kind.WHOLE, "", self._start)
        if told != self._said:
            self._said = told
            name = "witness_votes" if told[0] else "witness_waits"
            self._emit(Say(name, (("records", len(self.witness)), ("waits_for", told[1]))))

    def _wake(self, at: int) -> None:
        """Schedule a review for `at` (µs) or earlier."""
        if not self._wakes_at or at < self._wakes_at:
            self._wakes_at = at
            self._emit(Wake(at, ("learn",)))

    def learnt(self, now: int, event: Learnt) -> None:
        """Merge the claims that another gateway reported."""
        for digest, owner, number, keep in event.records:
            if self._gateway in self._keys.of(digest):
                self.witness.learn(now, digest, owner, number, keep)
                self._save(now, digest)
        self.covers.learnt(now, event)
        self._look(now)

    def asided(self, now: int, event: AsideTold) -> None:
        """Handle another gateway's acknowledgement of exclusions, or its absence."""
        self.covers.asided(now, event)
        self._look(now)

    def stands(self, now: int, event: PeerStands) -> None:
        """Handle a change of another gateway's liveness or generation."""
        if event.peer in self.covers.others:
            self.covers.stands(event.peer, event.proof, event.start)
            self._look(now)

    def condemn(self, now: int, event: Condemned) -> None:
        """Stop acting as a witness: another process has this name, or the region holds this one for dead.

        Two processes of one name would be one witness with two memories. So this one neither votes nor
        claims, nor reports what it knows, which would be taken for what the other process knows.
        """
        self.condemned = event.why

    def called(self, now: int, event: PeerCall) -> None:
        """Answer a call of another gateway."""
        name, _, start = event.owner.partition("/")
        if self.condemned and not event.release:
            self._emit(PeerReply(event.call, good=False))
        elif event.learn is not None or event.aside is not None:
            self._emit(self._told(now, event, name, start))
        elif event.release:
            self.release(now, event.digest, event.owner, event.number)
            self._emit(PeerReply(event.call))
        else:

            def told(at: int, vote: Vote, without: Names) -> None:
                self._emit(PeerReply(event.call, vote, without=without))

            self.vote(now, event.digest, event.owner, event.number, event.keep, told)

    def _told(self, now: int, event: PeerCall, name: str, start: str) -> PeerReply:
        try:
            number = int(start, 16)
        except ValueError:
            return PeerReply(event.call)
        if name not in self.covers.others:
            return PeerReply(event.call)
        self.covers.lives(name, number)
        if event.aside is not None:
            mine = event.to == self._start
            booked = self.covers.book(name, number, event.version, event.aside) if mine else -1
            self._look(now)
            return PeerReply(event.call, version=booked)
        records = self._known(now, name, event.learn or "")
        unready, covered = self.covers.tell(name)
        more = len(records) >= LEARNT_AT_ONCE
        self._look(now)
        before = self.covers.others[name].before
        return PeerReply(event.call, Vote.NONE, tuple(records), more, (), unready, covered, -1, before)

    def _known(self, now: int, asker: str, after: str) -> list[Known]:
        """Return claims owned or granted by this gateway on keys the asker witnesses, ordered by digest."""

        def wanted(digest: str) -> bool:
            return asker in self._keys.of(digest)

        known = {each[0]: each for each in self.witness.known(now, after, wanted)}
        mine = self._own(now)
        for digest in sorted(each for each in mine if each > after and wanted(each))[:LEARNT_AT_ONCE]:
            known[digest] = mine[digest]
        return [known[each] for each in sorted(known)[:LEARNT_AT_ONCE]]
