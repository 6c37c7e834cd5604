"""A gateway's part as a witness of paid keys: it votes, learns, lets others learn, and keeps what it must.

`witness.py` has one key's machine, `covers.py` says on which keys it may vote, `records.py` what is on disk
before a word leaves; here they come together.
"""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.gateways.claim_messages import (
    ExclusionsAcknowledged,
    KnownClaim,
    LearnReply,
    PeerCall,
    PeerReply,
    PeerStatusChanged,
    ProcessDisqualified,
    Vote,
)
from mintmast.decisions.gateways.exclusions import Exclusions
from mintmast.decisions.gateways.records import Grant, RecordKind, RecordWriter, RecoveredState
from mintmast.decisions.gateways.witness import RECORDS_PER_PAGE, WitnessRecords, WitnessSelector
from mintmast.decisions.messages import LogEvent, ScheduleTimer

SECOND = 1_000_000
# µs in which a vote counts: some round trips within a region and a turn of a busy loop; a viewer of a paid
# title waits seconds. All that a starting witness must wait for
CLAIM_TIMEOUT_US = SECOND // 4
# µs between looks at what is to be asked of others and told to them
REVIEW_INTERVAL_US = SECOND
# µs between looks for each two other gateways, where there are more than so many: a look goes over all pairs,
# some 1 µs each, and words of hundreds that start together would each bring one
REVIEW_US_PER_PAIR, MAX_UNPACED_MEMBERS = 4, 32

Names = tuple[str, ...]


class WitnessService:
    """One gateway's part. `own(now)` gives the keys that it owns itself, `emit` takes commands."""

    def __init__(
        self,
        gateway: str,
        generation: int,
        selector: WitnessSelector,
        emit: Callable[[object], None],
        owned_claims: Callable[[int], dict[str, KnownClaim]],
    ) -> None:
        self._gateway, self._generation, self._selector = gateway, generation, selector
        members = self._members = selector.members
        self._emit, self._owned_claims = emit, owned_claims
        self.records = WitnessRecords()
        self.record_writer = RecordWriter(emit)
        self.exclusions = Exclusions(gateway, members, emit, self._save_exclusions)
        self.disqualified_reason = ""
        self._marked_complete = False  # the records are known to be whole on disk
        self._timer_at = self._next_review_at = 0
        few = len(members) <= MAX_UNPACED_MEMBERS
        self._review_interval = 0 if few else REVIEW_US_PER_PAIR * len(members) ** 2  # µs between looks
        self._claims_settle_at = (
            0  # µs; until then claims of a life that the records do not know may be under way
        )
        self._logged_state: tuple[bool, list[str]] | None = None

    @property
    def is_voting(self) -> bool:
        """Tell whether this gateway votes on all keys that can be decided."""
        return self.exclusions.is_voting and not self.disqualified_reason

    def state(self) -> dict[str, object]:
        """Tell operators what this gateway does as a witness."""
        return {"votes": self.is_voting, "records": len(self.records), **self.exclusions.state()}

    def vote(
        self,
        now: int,
        digest: str,
        owner: str,
        number: int,
        keep: int,
        then: Callable[[int, Vote, Names], None],
    ) -> None:
        """Vote on a claim; `then(now, vote, without whom)` hears of it once it is durable."""
        witnesses = self._selector.select(digest)
        others = tuple(each for each in witnesses if each != self._gateway)
        if (
            self.disqualified_reason
            or self._gateway not in witnesses
            or not self.exclusions.may_vote_with(others)
        ):
            then(now, Vote.NONE, ())
            return
        without = self.exclusions.excluded_among(others)
        told = self.records.vote(now, digest, owner, number, keep)
        if told is not Vote.GRANTED:
            then(now, told, ())
            return
        self._save(now, digest, lambda at, good: then(at, told if good else Vote.NONE, without))

    def release(self, now: int, digest: str, owner: str, number: int) -> None:
        """Take a release."""
        self.records.release(now, digest, owner, number)
        self._save(now, digest)

    def start(self, now: int, kept: RecoveredState | None = None) -> None:
        """Start, with what was kept of earlier lives; without a store nothing is known of them."""
        if kept is not None:
            self.record_writer.start(now, kept.runtime)
        if not self._members:
            return
        wait = 2 * CLAIM_TIMEOUT_US
        if kept is not None:
            for name, (start, _) in kept.members.items():
                if name in self.exclusions.peers:
                    self.exclusions.note_generation(name, start)
            for digest, (record, keep) in kept.grants.items():
                self.records.restore(now, digest, record, keep)
            if kept.is_complete:
                self.exclusions.restore(kept.generation, kept.exclusions)
                self._marked_complete, wait = True, 0
            for fault in kept.faults[:10]:
                self._emit(LogEvent("record_doubtful", (("fault", fault),)))
            told = (("life", kept.generation), ("records", len(kept.grants)), ("whole", kept.is_complete))
            self._emit(LogEvent("recovered", told))
        self._emit(ScheduleTimer(now + wait, ("learn",)))

    def _save(self, now: int, digest: str, then: Callable[[int, bool], None] | None = None) -> None:
        """Write what the witness remembers of a key, and take out what it has forgotten."""
        gone, self.records.expired = self.records.expired, []
        for each in gone:
            self.record_writer.save(now, RecordKind.GRANT, each, None)
        record, until = self.records.get(digest)
        if self.record_writer.enabled:
            until += self.record_writer.runtime(now) - now
        value = Grant(record.owner, record.number, until, record.released)
        self.record_writer.save(now, RecordKind.GRANT, digest, value, then)

    def _save_exclusions(
        self, now: int, name: str, names: frozenset[str], then: Callable[[int, bool], None]
    ) -> None:
        self.record_writer.save(now, RecordKind.EXCLUSIONS, name, tuple(sorted(names)), then)

    def handle_review_timer(self, now: int) -> None:
        """Take it that the time of a look has come: the first one after what was under way is over."""
        self._timer_at = 0
        if now >= self._claims_settle_at:
            self.exclusions.earlier_claims_settled = True
            self._review(now)

    def _review(self, now: int) -> None:
        """Ask and tell the others what is due. Danger: a question is lost, and never asked again."""
        if not self.exclusions.earlier_claims_settled:
            return
        if now < self._next_review_at and not self.exclusions.records_are_stale:
            self._schedule_review(self._next_review_at)
            return
        self._next_review_at = now + self._review_interval
        if self.exclusions.records_are_stale:
            self.exclusions.records_are_stale = False
            self.exclusions.distrust_records()
            self._marked_complete = False
            self.record_writer.save(now, RecordKind.COMPLETE, "", None)
            self._emit(
                LogEvent("records_old", (("why", "another gateway knows of a later life than they do"),))
            )
            self._claims_settle_at = now + 2 * CLAIM_TIMEOUT_US
            self._emit(ScheduleTimer(self._claims_settle_at, ("learn",)))
            return
        if self.exclusions.send_pending(now):
            self._schedule_review(now + REVIEW_INTERVAL_US)
        told = self.exclusions.is_voting, self.exclusions.awaited_peers()
        if not self._marked_complete and self.exclusions.knows_all_grants:
            self._marked_complete = True
            self.record_writer.save(now, RecordKind.COMPLETE, "", self._generation)
        if told != self._logged_state:
            self._logged_state = told
            name = "witness_votes" if told[0] else "witness_waits"
            self._emit(LogEvent(name, (("records", len(self.records)), ("waits_for", told[1]))))

    def _schedule_review(self, at: int) -> None:
        """Look again at a time, or before."""
        if not self._timer_at or at < self._timer_at:
            self._timer_at = at
            self._emit(ScheduleTimer(at, ("learn",)))

    def handle_learn_reply(self, now: int, event: LearnReply) -> None:
        """Take what another gateway knows."""
        for digest, owner, number, keep in event.records:
            if self._gateway in self._selector.select(digest):
                self.records.merge_known(now, digest, owner, number, keep)
                self._save(now, digest)
        self.exclusions.handle_learn_reply(now, event)
        self._review(now)

    def handle_exclusions_acknowledged(self, now: int, event: ExclusionsAcknowledged) -> None:
        """Take note that another gateway has booked who is held aside, or has not."""
        self.exclusions.handle_acknowledgement(now, event)
        self._review(now)

    def handle_peer_status(self, now: int, event: PeerStatusChanged) -> None:
        """Take how another gateway stands."""
        if event.peer in self.exclusions.peers:
            self.exclusions.update_peer(event.peer, event.liveness, event.generation)
            self._review(now)

    def disqualify(self, now: int, event: ProcessDisqualified) -> None:
        """Take it that another process has this name, or that this one is held for dead.

        Danger: two processes of one name are one witness with two memories. So this one neither votes nor
        claims, and tells nobody what it knows: it would pass for what the other knows.
        """
        self.disqualified_reason = event.reason

    def handle_call(self, now: int, event: PeerCall) -> None:
        """Answer another gateway."""
        name, _, start = event.owner.partition("/")
        if self.disqualified_reason and not event.release:
            self._emit(PeerReply(event.call_id, answered=False))
        elif event.learn_after is not None or event.excluded is not None:
            self._emit(self._answer_peer(now, event, name, start))
        elif event.release:
            self.release(now, event.digest, event.owner, event.number)
            self._emit(PeerReply(event.call_id))
        else:

            def told(at: int, vote: Vote, without: Names) -> None:
                self._emit(PeerReply(event.call_id, vote, excluded=without))

            self.vote(now, event.digest, event.owner, event.number, event.retention, told)

    def _answer_peer(self, now: int, event: PeerCall, name: str, start: str) -> PeerReply:
        try:
            number = int(start, 16)
        except ValueError:
            return PeerReply(event.call_id)
        if name not in self.exclusions.peers:
            return PeerReply(event.call_id)
        self.exclusions.note_generation(name, number)
        if event.excluded is not None:
            mine = event.to_generation == self._generation
            booked = (
                self.exclusions.record_exclusions(name, number, event.version, event.excluded) if mine else -1
            )
            self._review(now)
            return PeerReply(event.call_id, version=booked)
        records = self._list_known_claims(now, name, event.learn_after or "")
        unready, covered = self.exclusions.describe_for(name)
        more = len(records) >= RECORDS_PER_PAGE
        self._review(now)
        before = self.exclusions.peers[name].previous_generation
        return PeerReply(event.call_id, Vote.NONE, tuple(records), more, (), unready, covered, -1, before)

    def _list_known_claims(self, now: int, asker: str, after: str) -> list[KnownClaim]:
        """Give what this gateway owns or has granted of the asker's keys, in one order over all calls."""

        def wanted(digest: str) -> bool:
            return asker in self._selector.select(digest)

        known = {each[0]: each for each in self.records.list_grants(now, after, wanted)}
        mine = self._owned_claims(now)
        for digest in sorted(each for each in mine if each > after and wanted(each))[:RECORDS_PER_PAGE]:
            known[digest] = mine[digest]
        return [known[each] for each in sorted(known)[:RECORDS_PER_PAGE]]
