"""Replication of the shared configuration: who numbers revisions, and how they reach every gateway.

An epidemic protocol (Demers and others, PODC 1987): membership messages announce the sender's head, and a
gateway that learns of a newer one pulls what it lacks from that sender. One publisher at a time numbers
revisions, in a term of its own.

Pure: `handle(now, event)` returns commands, `answer(request)` the reply to another gateway. Times are in µs;
the random generator is passed in. `docs/design/configuration.md` has the failure modes and alternatives.
"""

from __future__ import annotations

import random

from mintmast.decisions.gateways.history import History, apply_deltas, validate_patch
from mintmast.decisions.gateways.publisher import MAX_PENDING_ORDERS, Order, Publisher
from mintmast.decisions.gateways.pulls import (
    MS,
    REGION_TIMEOUT_US,
    REMOTE_TIMEOUT_US,
    LoggedOnce,
    PendingWrite,
    Pull,
    Senders,
    StartupPhase,
    is_well_formed,
)
from mintmast.decisions.gateways.revision_types import (
    EMPTY_PATCH,
    MAX_NUMBER,
    ActiveRevision,
    Command,
    Delta,
    Event,
    LogEvent,
    OrderAnswered,
    PatchValidator,
    PullFailed,
    PullRevisions,
    PullSource,
    PullSucceeded,
    RevisionAnnounced,
    RevisionId,
    RevisionReply,
    RevisionRequest,
    ScheduleTimer,
    Stored,
    TimerFired,
    WriteFinished,
    WriteRevision,
    digest_of,
)

# µs between the requests of a region to other regions, whatever its size: two a second, also while they fail
REMOTE_PULL_PERIOD_US = 500 * MS


class Revisions:
    """Replica of one gateway. `others` counts its region's other gateways, `remote` addresses elsewhere."""

    def __init__(
        self, stored: Stored, validate: PatchValidator, rng: random.Random, others: int = 0, remote: int = 0
    ) -> None:
        self.head, self.document = stored.head, stored.document
        self.publisher = Publisher(stored.leads, stored.head.term, rng)
        self.rejected, self.rejection_reason = RevisionId(), ""  # last revision not valid here, and why
        self.forks = 0
        kinds = ("bad head", "bad question", "bad reply", "late reply", "bad digest", "refused")
        self.dropped = dict.fromkeys(kinds, 0)
        self.pull_counts = dict.fromkeys(("asked", "failed", "answered", "pages", "brought"), 0)
        self._validate, self._random = validate, rng
        self._others, self._remote = others, remote
        self.history = History(stored)
        self._region_pull: Pull | None = None
        self._remote_pull: Pull | None = None
        self._pull_number = self._write_number = self._next_remote_pull_at = self._timer_at = 0
        self._senders = Senders(rng)
        self._startup = StartupPhase(others, remote)
        self._needs_document = False
        self._pending_write: PendingWrite | None = None
        self._logged = LoggedOnce()
        self._commands: list[Command] = []

    @property
    def is_settled(self) -> bool:
        """Return whether the head is known to be current, or the startup phase has timed out."""
        return self._startup.is_over

    # Events

    def begin(self, now: int) -> list[Command]:
        """Activate the document that the gateway starts with."""
        self._startup.begin(now)
        self._schedule_remote_pull(now)
        self._commands.append(ActiveRevision(self.head, self.document))
        return self._take_commands(now)

    def handle(self, now: int, event: Event) -> list[Command]:
        """Handle an event and return the commands that follow."""
        if isinstance(event, RevisionAnnounced):
            self._revision_announced(now, event)
        elif isinstance(event, PullSucceeded):
            self._pull_succeeded(now, event)
        elif isinstance(event, PullFailed):
            self._pull_failed(now, self._finish_pull(event.call))
        elif isinstance(event, WriteFinished):
            self._write_finished(now, event)
        elif isinstance(event, TimerFired):
            if event.scheduled_at == self._timer_at:
                self._timer_at = 0
                self._timer_fired(now)
        elif len(self.publisher.orders) >= MAX_PENDING_ORDERS:
            self._refuse_order(event.order, "too many orders are waiting")
        else:
            self.publisher.orders.append(event)
        self._proceed(now)
        return self._take_commands(now)

    def _take_commands(self, now: int) -> list[Command]:
        region, remote, pull_at = self._region_pull, self._remote_pull, self._senders.pull_at
        retry_at = pull_at if self._senders and region is None and pull_at > now else 0
        startup_ends_at = 0 if self._startup.is_over else self._startup.deadline
        times = (
            region.deadline if region else 0,
            remote.deadline if remote else self._next_remote_pull_at,
            startup_ends_at,
            retry_at,
        )
        next_at = min((at for at in times if at), default=0)
        if next_at and next_at != self._timer_at:
            self._timer_at = next_at
            self._commands.append(ScheduleTimer(next_at))
        commands, self._commands = self._commands, []
        return commands

    def _timer_fired(self, now: int) -> None:
        """Do what is due. Pulls past their deadline end here, so one lost reply does not block the next."""
        for pull in (self._region_pull, self._remote_pull):
            if pull is not None and now >= pull.deadline:
                self._pull_failed(now, self._finish_pull(pull.call))
        if self._next_remote_pull_at and now >= self._next_remote_pull_at and self._remote_pull is None:
            self._schedule_remote_pull(now)
            if not self.rejection_reason or now >= self._senders.backoff_until:
                self._send_pull(now, self._random.randrange(self._remote))

    def _schedule_remote_pull(self, now: int) -> None:
        """Schedule a pull from another region; the mean interval grows with the region's size."""
        if self._remote:
            mean = REMOTE_PULL_PERIOD_US * (self._others + 1)
            self._next_remote_pull_at = now + 1 + min(10 * mean, int(self._random.expovariate(1 / mean)))

    def _proceed(self, now: int) -> None:
        """Process waiting orders, then start a pull, then check whether the startup phase is over."""
        while self.publisher.orders and self._pending_write is None:
            self._execute_order(now, self.publisher.orders.popleft())
        if (
            self._senders
            and self._pending_write is None
            and self._region_pull is None
            and now >= self._senders.pull_at
        ):
            source = self._senders.best(self.head.key, now)
            if source is not None:
                self._send_pull(now, source)
        if not self._startup.is_over:
            self._startup.update(now, bool(self._region_pull or self._pending_write or self._senders))

    # Announcements

    def _revision_announced(self, now: int, event: RevisionAnnounced) -> None:
        key, own = (event.term, event.number), self.head.key
        if not (
            0 <= event.term <= MAX_NUMBER
            and 0 <= event.number <= MAX_NUMBER
            and 0 <= event.digest_prefix < 1 << 32
        ):
            self.dropped["bad head"] += 1
            return
        self._startup.peer_announced(event.peer)
        if key <= own:
            self._senders.forget(event.peer)
            if key == own and event.digest_prefix != self.head.digest_prefix:
                about = f"{event.peer} has {event.term}.{event.number} with digest {event.digest_prefix:08x}"
                self._record_fork(about, event.digest_prefix)
            return
        self.publisher.observe_term(event.term)
        self._step_down(event.term)
        self._senders.announced(event.peer, key, now, event.wants_answer)
        self._apply_announced_deltas(now, event)

    def _apply_announced_deltas(self, now: int, event: RevisionAnnounced) -> None:
        """Apply deltas that came with an announcement, validated like requested ones.

        After an invalid one only a whole document is accepted: it would come again with every other message,
        and each validation processes the whole document. Deltas that are late or follow a gap are ignored; a
        request fetches what is missing.
        """
        own = self.head
        deltas = tuple(each for each in event.deltas if each.revision.key > own.key)
        if not deltas or deltas[0].revision.number != own.number + 1 or self._needs_document:
            return
        if self._pending_write is None and self._region_pull is None:
            self.pull_counts["brought"] += 1
            self._apply_deltas(now, Pull(0, event.peer, own, now), RevisionReply(deltas[-1].revision, deltas))

    def _record_fork(self, about: str, digest_prefix: int) -> None:
        """Record that one number stands for two documents, and replace neither of them.

        Otherwise two gateways could replace each other's document for ever, unnoticed by operators.
        """
        self._step_down(self.head.term)
        self.forks += self._log("fork", about, f"{self.head}, {digest_prefix:08x}")

    def _step_down(self, term: int) -> None:
        """Stop publishing if a later term is announced, or a revision of this term that is not from here."""
        was_publisher, pending = self.publisher.step_down(term), self._pending_write
        if pending is not None and 0 < pending.publisher_term <= term:
            pending.publisher_term, was_publisher = 0, True
        if was_publisher:
            self._log("publisher_no_more", f"another gateway publishes in term {term}")

    def _log(self, what: str, about: str, once: str = "") -> bool:
        """Log an event once for each `once`; return whether it was logged now."""
        if not self._logged.is_new(what, once or about):
            return False
        self._commands.append(LogEvent(what, about))
        return True

    # Pulls

    def _send_pull(self, now: int, source: PullSource, continued: Pull | None = None) -> None:
        """Request what follows the head, or the next page of a document."""
        self._pull_number += 1
        self.pull_counts["asked"] += 1
        in_region, head = isinstance(source, str), self.head
        pull = Pull(
            self._pull_number, source, head, now + (REGION_TIMEOUT_US if in_region else REMOTE_TIMEOUT_US)
        )
        whole_document = self._needs_document and now >= self._senders.backoff_until
        request = RevisionRequest(head.term, head.number, head.digest, whole=whole_document)
        if continued is not None:
            pull.document_of, pull.received = continued.document_of, continued.received
            request = RevisionRequest(
                head.term,
                head.number,
                head.digest,
                len(continued.received),
                continued.document_of.digest,
                True,
            )
        if in_region:
            self._region_pull = pull
        else:
            self._remote_pull = pull
        self._commands.append(PullRevisions(pull.call, source, request, pull.deadline))

    def _finish_pull(self, call: int) -> Pull | None:
        """Remove the pull of this number and return it; None if it has already ended."""
        for pull in (self._region_pull, self._remote_pull):
            if pull is not None and pull.call == call:
                if pull is self._region_pull:
                    self._region_pull = None
                else:
                    self._remote_pull = None
                return pull
        self.dropped["late reply"] += 1
        return None

    def _pull_failed(self, now: int, pull: Pull | None) -> None:
        """Back off from the source of a pull that failed."""
        if pull is not None:
            self.pull_counts["failed"] += 1
            if isinstance(pull.source, str):
                self._senders.pull_failed(pull.source, now)

    def _pull_succeeded(self, now: int, event: PullSucceeded) -> None:
        pull = self._finish_pull(event.call)
        if pull is None:
            return
        reply, self._startup.heard_any = event.reply, True
        if not is_well_formed(reply):
            self._reject_reply(now, pull, "bad reply")
        elif reply.head.key <= self.head.key:
            if reply.head.key == self.head.key and reply.head.digest != self.head.digest:
                self._record_fork(f"{pull.source} has revision {reply.head}", reply.head.digest_prefix)
            if isinstance(pull.source, str) and reply.head.key <= pull.since.key:
                self._pull_failed(now, pull)  # it announced a newer head and does not have it
        elif self._pending_write is not None or pull.since != self.head:
            return  # another pull was faster: what is still missing is requested again
        else:
            self.publisher.observe_term(reply.head.term)
            self._step_down(reply.head.term)
            if reply.fork:
                self._record_fork(f"{pull.source} has another document for revision {self.head}", 0)
            if reply.deltas:
                self._apply_deltas(now, pull, reply)
            elif reply.size and reply.page:
                self._add_page(now, pull, reply)
            else:
                self._reject_reply(now, pull, "bad reply")

    def _reject_reply(self, now: int, pull: Pull, fault: str) -> None:
        self.dropped[fault] += 1
        self._log("bad_reply", f"{fault} from {pull.source}")
        self._pull_failed(now, pull)

    def _apply_deltas(self, now: int, pull: Pull, reply: RevisionReply) -> None:
        """Apply the deltas of a reply; each is validated here too and must give the digest it names."""
        head, document, applied, fault, reason = apply_deltas(self._validate, self.head, self.document, reply)
        if fault == "refused":
            self._reject_revision(now, reply.deltas[len(applied)].revision, reason)
        if applied:
            self._write(head, document, applied)
            if isinstance(pull.source, int) and not fault and head != reply.head and self._pending_write:
                self._pending_write.continue_at = pull.source
        if fault == "refused":
            self._pull_failed(now, pull)
        elif fault:
            self._needs_document = self._needs_document or fault == "bad digest"
            self._reject_reply(now, pull, fault)

    def _add_page(self, now: int, pull: Pull, reply: RevisionReply) -> None:
        """Add a page of a document, and apply the document when it is complete."""
        fault = pull.add_page(reply)
        if fault:
            self._reject_reply(now, pull, fault)
            return
        if len(pull.received) < reply.size:
            self._send_pull(now, pull.source, pull)
            return
        validated, reason = validate_patch(self._validate, pull.received, EMPTY_PATCH)
        if validated != pull.received:
            self._reject_revision(now, reply.head, reason or "the document is not canonical")
            self._pull_failed(now, pull)
            return
        self._write(reply.head, pull.received, ())

    def _reject_revision(self, now: int, head: RevisionId, reason: str) -> None:
        """Keep the active revision, and request a whole document, which may be valid, after a while."""
        self.rejected, self._needs_document = head, True
        self.rejection_reason = reason[:300] or "the revision is not valid"
        self.dropped["refused"] += 1
        self._senders.revision_rejected(now)
        self._log("refused", f"{head}: {self.rejection_reason}")

    # Activation

    def _write(
        self,
        head: RevisionId,
        document: bytes,
        deltas: tuple[Delta, ...],
        publisher_term: int = 0,
        order: int | None = None,
    ) -> None:
        """Write a revision to disk; it is activated and announced only after that.

        Otherwise a gateway could crash and return with an older revision, and a publisher could reuse a
        number that others have already received for another change.
        """
        self._write_number += 1
        self._pending_write = PendingWrite(self._write_number, head, document, deltas, publisher_term, order)
        self._commands.append(WriteRevision(self._write_number, head, document, deltas, publisher_term))

    def _write_finished(self, now: int, event: WriteFinished) -> None:
        written = self._pending_write
        if written is None or written.number != event.number:
            return
        self._pending_write = None
        if not event.is_durable and written.order is not None:
            # it may be on disk, so its number must never be used for another change
            self.publisher.observe_term(written.head.term)
            self.publisher.term = 0
            self._log("publisher_no_more", f"revision {written.head} could not be written")
            self._refuse_order(written.order, "the revision could not be written; take over again")
            return
        if not event.is_durable:
            self._log("not_kept", "the file was not written; a restart begins with an older revision")
        self._activate(now, written)

    def _activate(self, now: int, written: PendingWrite) -> None:
        self.head, self.document = written.head, written.document
        self.publisher.observe_term(written.head.term)
        if written.order is None:
            self._step_down(written.head.term)
        else:
            self.publisher.term = written.publisher_term
        self.history.extend(written.head, written.deltas)
        if self.rejected.key <= self.head.key:
            self._senders.reset()
            self.rejected, self.rejection_reason, self._needs_document = RevisionId(), "", False
        self._commands.append(ActiveRevision(self.head, self.document))
        if written.continue_at is not None and self._remote_pull is None:
            self._send_pull(now, written.continue_at)
        if written.order is not None:
            self._commands.append(OrderAnswered(written.order, True, "", self.head))

    # Orders

    def _execute_order(self, now: int, event: Order) -> None:
        """Assign a number to a valid change; an invalid one gets no number and is never sent."""
        is_behind = self._senders.best(self.head.key, now) is not None
        refusal = self.publisher.refusal(event, self.head.number, self._startup.refusal(self.head), is_behind)
        if refusal:
            self._refuse_order(event.order, refusal)
            return
        term, patch = self.publisher.term_and_patch(event)
        patched, reason = validate_patch(self._validate, self.document, patch)
        if patched is None:
            self._refuse_order(event.order, reason)
            return
        head = RevisionId(term, self.head.number + 1, digest_of(patched))
        self._write(head, patched, (Delta(head, patch),), term, event.order)

    def _refuse_order(self, order: int, reason: str) -> None:
        self._commands.append(OrderAnswered(order, False, reason, self.head))

    def answer(self, request: RevisionRequest) -> RevisionReply | None:
        """Return the reply to another gateway's request; None, counted, if it is invalid."""
        reply = self.history.answer(self.head, self.document, request)
        if reply is None:
            self.dropped["bad question"] += 1
            return None
        self.pull_counts["answered"] += 1
        self.pull_counts["pages"] += reply.size > 0
        return reply
