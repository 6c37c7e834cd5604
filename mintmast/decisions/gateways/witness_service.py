"""A gateway's service as a witness of paid keys: voting, learning, answering other gateways, durable records.

It combines `witness.py` (the state machine of one key), `exclusions.py` (the keys on which the gateway may
vote) and `records.py` (what must be on disk before a message is sent).
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
# µs within which a vote counts: several round trips within a region plus one turn of a busy event loop, while
# the viewer of a paid title waits for seconds. A starting witness waits for nothing longer than this
CLAIM_TIMEOUT_US = SECOND // 4
# µs between reviews of the pending messages to other gateways
REVIEW_INTERVAL_US = SECOND
# above MAX_UNPACED_MEMBERS reviews are paced, with REVIEW_US_PER_PAIR µs for each pair of gateways: a review
# goes over all pairs at about 1 µs each, and hundreds of gateways that start together trigger one per message
REVIEW_US_PER_PAIR, MAX_UNPACED_MEMBERS = 4, 32

Names = tuple[str, ...]


class WitnessService:
    """Witness service of one gateway.

    `owned_claims(now)` returns the keys that the gateway owns itself; `emit` receives commands.
    """

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
        self._marked_complete = False  # the records on disk are marked as complete
        self._timer_at = self._next_review_at = 0
        is_unpaced = len(members) <= MAX_UNPACED_MEMBERS
        self._review_interval = 0 if is_unpaced else REVIEW_US_PER_PAIR * len(members) ** 2  # µs
        # µs; until then claims of a generation missing from the records may be pending
        self._claims_settle_at = 0
        self._logged_state: tuple[bool, list[str]] | None = None

    @property
    def is_voting(self) -> bool:
        """Return whether this gateway votes on all keys that can be decided."""
        return self.exclusions.is_voting and not self.disqualified_reason

    def state(self) -> dict[str, object]:
        """Return the state of this witness for operators."""
        return {"votes": self.is_voting, "records": len(self.records), **self.exclusions.state()}

    def vote(
        self,
        now: int,
        digest: str,
        owner: str,
        number: int,
        retention: int,
        on_done: Callable[[int, Vote, Names], None],
    ) -> None:
        """Vote on a claim; `on_done(now, vote, excluded witnesses)` is called once the vote is durable."""
        witnesses = self._selector.select(digest)
        co_witnesses = tuple(each for each in witnesses if each != self._gateway)
        if (
            self.disqualified_reason
            or self._gateway not in witnesses
            or not self.exclusions.may_vote_with(co_witnesses)
        ):
            on_done(now, Vote.NONE, ())
            return
        excluded = self.exclusions.excluded_among(co_witnesses)
        vote = self.records.vote(now, digest, owner, number, retention)
        if vote is not Vote.GRANTED:
            on_done(now, vote, ())
            return
        self._save(
            now, digest, lambda at, is_durable: on_done(at, vote if is_durable else Vote.NONE, excluded)
        )

    def release(self, now: int, digest: str, owner: str, number: int) -> None:
        """Record a release."""
        self.records.release(now, digest, owner, number)
        self._save(now, digest)

    def start(self, now: int, recovered: RecoveredState | None = None) -> None:
        """Start with the records of earlier generations, or without any if there is no store."""
        if recovered is not None:
            self.record_writer.start(now, recovered.runtime)
        if not self._members:
            return
        wait = 2 * CLAIM_TIMEOUT_US
        if recovered is not None:
            for name, (generation, _) in recovered.members.items():
                if name in self.exclusions.peers:
                    self.exclusions.note_generation(name, generation)
            for digest, (record, retention) in recovered.grants.items():
                self.records.restore(now, digest, record, retention)
            if recovered.is_complete:
                self.exclusions.restore(recovered.generation, recovered.exclusions)
                self._marked_complete, wait = True, 0
            for fault in recovered.faults[:10]:
                self._emit(LogEvent("record_doubtful", (("fault", fault),)))
            fields = (
                ("life", recovered.generation),
                ("records", len(recovered.grants)),
                ("whole", recovered.is_complete),
            )
            self._emit(LogEvent("recovered", fields))
        self._emit(ScheduleTimer(now + wait, ("learn",)))

    def _save(self, now: int, digest: str, on_done: Callable[[int, bool], None] | None = None) -> None:
        """Save the witness's record of a key and delete those that expired."""
        expired, self.records.expired = self.records.expired, []
        for each in expired:
            self.record_writer.save(now, RecordKind.GRANT, each, None)
        record, expires_at = self.records.get(digest)
        if self.record_writer.enabled:
            expires_at += self.record_writer.runtime(now) - now
        value = Grant(record.owner, record.number, expires_at, record.released)
        self.record_writer.save(now, RecordKind.GRANT, digest, value, on_done)

    def _save_exclusions(
        self, now: int, name: str, excluded: frozenset[str], on_done: Callable[[int, bool], None]
    ) -> None:
        self.record_writer.save(now, RecordKind.EXCLUSIONS, name, tuple(sorted(excluded)), on_done)

    def handle_review_timer(self, now: int) -> None:
        """Run a scheduled review, the first one once claims pending at the start are decided."""
        self._timer_at = 0
        if now >= self._claims_settle_at:
            self.exclusions.earlier_claims_settled = True
            self._review(now)

    def _review(self, now: int) -> None:
        """Send what is due to other gateways, so that a request that was lost is sent again."""
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
            self._emit(LogEvent("records_old", (("why", "another gateway has seen a later generation"),)))
            self._claims_settle_at = now + 2 * CLAIM_TIMEOUT_US
            self._emit(ScheduleTimer(self._claims_settle_at, ("learn",)))
            return
        if self.exclusions.send_pending(now):
            self._schedule_review(now + REVIEW_INTERVAL_US)
        state = self.exclusions.is_voting, self.exclusions.awaited_peers()
        if not self._marked_complete and self.exclusions.knows_all_grants:
            self._marked_complete = True
            self.record_writer.save(now, RecordKind.COMPLETE, "", self._generation)
        if state != self._logged_state:
            self._logged_state = state
            event = "witness_votes" if state[0] else "witness_waits"
            self._emit(LogEvent(event, (("records", len(self.records)), ("waits_for", state[1]))))

    def _schedule_review(self, at: int) -> None:
        """Schedule a review for `at` (µs) or earlier."""
        if not self._timer_at or at < self._timer_at:
            self._timer_at = at
            self._emit(ScheduleTimer(at, ("learn",)))

    def handle_learn_reply(self, now: int, event: LearnReply) -> None:
        """Merge the claims that another gateway reported."""
        for digest, owner, number, retention in event.records:
            if self._gateway in self._selector.select(digest):
                self.records.merge_known(now, digest, owner, number, retention)
                self._save(now, digest)
        self.exclusions.handle_learn_reply(now, event)
        self._review(now)

    def handle_exclusions_acknowledged(self, now: int, event: ExclusionsAcknowledged) -> None:
        """Handle another gateway's acknowledgement of exclusions, or its absence."""
        self.exclusions.handle_acknowledgement(now, event)
        self._review(now)

    def handle_peer_status(self, now: int, event: PeerStatusChanged) -> None:
        """Handle a change of another gateway's liveness or generation."""
        if event.peer in self.exclusions.peers:
            self.exclusions.update_peer(event.peer, event.liveness, event.generation)
            self._review(now)

    def disqualify(self, now: int, event: ProcessDisqualified) -> None:
        """Stop acting as a witness: another process has this name, or the region holds this one for dead.

        Two processes of one name would be one witness with two memories. So this one neither votes nor
        claims, nor reports what it knows, which would be taken for what the other process knows.
        """
        self.disqualified_reason = event.reason

    def handle_call(self, now: int, event: PeerCall) -> None:
        """Answer a call of another gateway."""
        name, _, generation = event.owner.partition("/")
        if self.disqualified_reason and not event.release:
            self._emit(PeerReply(event.call_id, answered=False))
        elif event.learn_after is not None or event.excluded is not None:
            self._emit(self._answer_peer(now, event, name, generation))
        elif event.release:
            self.release(now, event.digest, event.owner, event.number)
            self._emit(PeerReply(event.call_id))
        else:

            def reply(at: int, vote: Vote, excluded: Names) -> None:
                self._emit(PeerReply(event.call_id, vote, excluded=excluded))

            self.vote(now, event.digest, event.owner, event.number, event.retention, reply)

    def _answer_peer(self, now: int, event: PeerCall, name: str, generation_text: str) -> PeerReply:
        try:
            generation = int(generation_text, 16)
        except ValueError:
            return PeerReply(event.call_id)
        if name not in self.exclusions.peers:
            return PeerReply(event.call_id)
        self.exclusions.note_generation(name, generation)
        if event.excluded is not None:
            is_for_this_process = event.to_generation == self._generation
            recorded_version = (
                self.exclusions.record_exclusions(name, generation, event.version, event.excluded)
                if is_for_this_process
                else -1
            )
            self._review(now)
            return PeerReply(event.call_id, version=recorded_version)
        records = self._list_known_claims(now, name, event.learn_after or "")
        not_voting_with, vouched_for = self.exclusions.describe_for(name)
        more = len(records) >= RECORDS_PER_PAGE
        self._review(now)
        previous_generation = self.exclusions.peers[name].previous_generation
        return PeerReply(
            event.call_id,
            Vote.NONE,
            tuple(records),
            more,
            (),
            not_voting_with,
            vouched_for,
            -1,
            previous_generation,
        )

    def _list_known_claims(self, now: int, asker: str, after: str) -> list[KnownClaim]:
        """Return claims owned or granted by this gateway on keys the asker witnesses, ordered by digest."""

        def is_wanted(digest: str) -> bool:
            return asker in self._selector.select(digest)

        known = {each[0]: each for each in self.records.list_grants(now, after, is_wanted)}
        owned = self._owned_claims(now)
        for digest in sorted(each for each in owned if each > after and is_wanted(each))[:RECORDS_PER_PAGE]:
            known[digest] = owned[digest]
        return [known[each] for each in sorted(known)[:RECORDS_PER_PAGE]]
