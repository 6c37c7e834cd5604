"""Replication of the shared configuration: who numbers revisions, and how they reach every gateway.

An epidemic protocol (Demers and others, PODC 1987): membership messages announce the sender's head, and a
gateway that learns of a newer one pulls what it lacks from that sender. One publisher at a time numbers
revisions, in a term of its own.

Pure: `handle(now, event)` returns commands, `answer(request)` the reply to another gateway. Times are in µs;
the random generator is passed in. `docs/design/configuration.md` has the failure modes and alternatives.
"""

from __future__ import annotations

import random

from mintmast.decisions.gateways.history import History, chain, checked
from mintmast.decisions.gateways.publisher import MOST_ORDERS, Order, Publisher
from mintmast.decisions.gateways.pulls import (
    FAR_TIME,
    MS,
    NEAR_TIME,
    Keeping,
    Pull,
    Said,
    Senders,
    Start,
    shaped,
)
from mintmast.decisions.gateways.revising import (
    MOST,
    NOTHING,
    AskRevisions,
    Check,
    Command,
    Delta,
    Event,
    Head,
    HeadHeard,
    InForce,
    Keep,
    Kept,
    Ordered,
    Pulled,
    PullFailed,
    Question,
    Reply,
    Say,
    Source,
    Stored,
    Tick,
    Wake,
    digest_of,
)

# µs between the requests of a region to other regions, whatever its size: two a second, also while they fail
ABROAD_EVERY = 500 * MS


class Revisions:
    """Replica of one gateway. `others` counts its region's other gateways, `remote` addresses elsewhere."""

    def __init__(
        self, stored: Stored, check: Check, rng: random.Random, others: int = 0, abroad: int = 0
    ) -> None:
        self.head, self.document = stored.head, stored.document
        self.publisher = Publisher(stored.leads, stored.head.term, rng)
        self.refused, self.fault = Head(), ""  # the last revision that was not valid here, and why
        self.forks = 0
        kinds = ("bad head", "bad question", "bad reply", "late reply", "bad digest", "refused")
        self.dropped = dict.fromkeys(kinds, 0)
        self.pulls = dict.fromkeys(("asked", "failed", "answered", "pages", "brought"), 0)
        self._check, self._random = check, rng
        self._others, self._abroad = others, abroad
        self.history = History(stored)
        self._near: Pull | None = None
        self._far: Pull | None = None
        self._calls = self._keeps = self._far_at = self._due = 0
        self._senders = Senders(rng)
        self._start = Start(others, abroad)
        self._whole = False
        self._keeping: Keeping | None = None
        self._said = Said()
        self._out: list[Command] = []

    @property
    def settled(self) -> bool:
        """Return whether the head is known to be current, or the startup phase has timed out."""
        return self._start.over

    # Events

    def begin(self, now: int) -> list[Command]:
        """Activate the document that the gateway starts with."""
        self._start.begin(now)
        self._far_next(now)
        self._out.append(InForce(self.head, self.document))
        return self._take_out(now)

    def take(self, now: int, event: Event) -> list[Command]:
        """Handle an event and return the commands that follow."""
        if isinstance(event, HeadHeard):
            self._head_heard(now, event)
        elif isinstance(event, Pulled):
            self._pulled(now, event)
        elif isinstance(event, PullFailed):
            self._fail(now, self._ended(event.call))
        elif isinstance(event, Kept):
            self._kept(now, event)
        elif isinstance(event, Tick):
            if event.due == self._due:
                self._due = 0
                self._tick(now)
        elif len(self.publisher.orders) >= MOST_ORDERS:
            self._ordered(event.order, "too many orders are waiting")
        else:
            self.publisher.orders.append(event)
        self._go_on(now)
        return self._take_out(now)

    def _take_out(self, now: int) -> list[Command]:
        near, far, after = self._near, self._far, self._senders.ask_at
        again = after if self._senders and near is None and after > now else 0
        start = 0 if self._start.over else self._start.by
        times = (near.until if near else 0, far.until if far else self._far_at, start, again)
        due = min((at for at in times if at), default=0)
        if due and due != self._due:
            self._due = due
            self._out.append(Wake(due))
        out, self._out = self._out, []
        return out

    def _tick(self, now: int) -> None:
        """Do what is due. Pulls past their deadline end here, so one lost reply does not block the next."""
        for pull in (self._near, self._far):
            if pull is not None and now >= pull.until:
                self._fail(now, self._ended(pull.call))
        if self._far_at and now >= self._far_at and self._far is None:
            self._far_next(now)
            if not self.fault or now >= self._senders.after:
                self._ask(now, self._random.randrange(self._abroad))

    def _far_next(self, now: int) -> None:
        """Schedule a pull from another region; the mean interval grows with the region's size."""
        if self._abroad:
            mean = ABROAD_EVERY * (self._others + 1)
            self._far_at = now + 1 + min(10 * mean, int(self._random.expovariate(1 / mean)))

    def _go_on(self, now: int) -> None:
        """Process waiting orders, then start a pull, then check whether the startup phase is over."""
        while self.publisher.orders and self._keeping is None:
            self._order(now, self.publisher.orders.popleft())
        if self._senders and self._keeping is None and self._near is None and now >= self._senders.ask_at:
            best = self._senders.best(self.head.key, now)
            if best is not None:
                self._ask(now, best)
        if not self._start.over:
            self._start.look(now, bool(self._near or self._keeping or self._senders))

    # Announcements

    def _head_heard(self, now: int, event: HeadHeard) -> None:
        key, own = (event.term, event.number), self.head.key
        if not (0 <= event.term <= MOST and 0 <= event.number <= MOST and 0 <= event.mark < 1 << 32):
            self.dropped["bad head"] += 1
            return
        self._start.heard(event.peer)
        if key <= own:
            self._senders.drop(event.peer)
            if key == own and event.mark != self.head.mark:
                about = f"{event.peer} has digest {event.mark:08x} for revision {event.term}.{event.number}"
                self._forked(about, event.mark)
            return
        self.publisher.heard(event.term)
        self._resign(event.term)
        self._senders.told(event.peer, key, now, event.asked)
        self._brought(now, event)

    def _brought(self, now: int, event: HeadHeard) -> None:
        """Apply deltas that came with an announcement, validated like requested ones.

        After an invalid one only a whole document is accepted: it would come again with every other message,
        and each validation processes the whole document. Deltas that are late or follow a gap are ignored; a
        request fetches what is missing.
        """
        own = self.head
        deltas = tuple(each for each in event.deltas if each.head.key > own.key)
        if not deltas or deltas[0].head.number != own.number + 1 or self._whole:
            return
        if self._keeping is None and self._near is None:
            self.pulls["brought"] += 1
            self._deltas(now, Pull(0, event.peer, own, now), Reply(deltas[-1].head, deltas))

    def _forked(self, about: str, mark: int) -> None:
        """Record that one number stands for two documents, and replace neither of them.

        Otherwise two gateways could replace each other's document for ever, unnoticed by operators.
        """
        self._resign(self.head.term)
        self.forks += self._say("fork", about, f"{self.head}, {mark:08x}")

    def _resign(self, term: int) -> None:
        """Stop publishing if a later term is announced, or a revision of this term that is not from here."""
        lost, keeping = self.publisher.lose(term), self._keeping
        if keeping is not None and 0 < keeping.leads <= term:
            keeping.leads, lost = 0, True
        if lost:
            self._say("publisher_no_more", f"another gateway publishes in term {term}")

    def _say(self, what: str, about: str, once: str = "") -> bool:
        """Log an event once for each `once`; return whether it was logged now."""
        if not self._said.new(what, once or about):
            return False
        self._out.append(Say(what, about))
        return True

    # Pulls

    def _ask(self, now: int, source: Source, on: Pull | None = None) -> None:
        """Request what follows the head, or the next page of a document."""
        self._calls += 1
        self.pulls["asked"] += 1
        near, head = isinstance(source, str), self.head
        pull = Pull(self._calls, source, head, now + (NEAR_TIME if near else FAR_TIME))
        whole = self._whole and now >= self._senders.after
        question = Question(head.term, head.number, head.digest, whole=whole)
        if on is not None:
            pull.of, pull.got = on.of, on.got
            question = Question(head.term, head.number, head.digest, len(on.got), on.of.digest, True)
        if near:
            self._near = pull
        else:
            self._far = pull
        self._out.append(AskRevisions(pull.call, source, question, pull.until))

    def _ended(self, call: int) -> Pull | None:
        """Remove the pull of this number and return it; None if it has already ended."""
        for pull in (self._near, self._far):
            if pull is not None and pull.call == call:
                if pull is self._near:
                    self._near = None
                else:
                    self._far = None
                return pull
        self.dropped["late reply"] += 1
        return None

    def _fail(self, now: int, pull: Pull | None) -> None:
        """Back off from the source of a pull that failed."""
        if pull is not None:
            self.pulls["failed"] += 1
            if isinstance(pull.source, str):
                self._senders.failed(pull.source, now)

    def _pulled(self, now: int, event: Pulled) -> None:
        pull = self._ended(event.call)
        if pull is None:
            return
        reply, self._start.any = event.reply, True
        if not shaped(reply):
            self._bad(now, pull, "bad reply")
        elif reply.head.key <= self.head.key:
            if reply.head.key == self.head.key and reply.head.digest != self.head.digest:
                self._forked(f"{pull.source} has revision {reply.head}", reply.head.mark)
            if isinstance(pull.source, str) and reply.head.key <= pull.since.key:
                self._fail(now, pull)  # it announced a newer head and does not have it
        elif self._keeping is not None or pull.since != self.head:
            return  # another pull was faster: what is still missing is requested again
        else:
            self.publisher.heard(reply.head.term)
            self._resign(reply.head.term)
            if reply.fork:
                self._forked(f"{pull.source} has another document for revision {self.head}", 0)
            if reply.deltas:
                self._deltas(now, pull, reply)
            elif reply.size and reply.page:
                self._page(now, pull, reply)
            else:
                self._bad(now, pull, "bad reply")

    def _bad(self, now: int, pull: Pull, why: str) -> None:
        self.dropped[why] += 1
        self._say("bad_reply", f"{why} from {pull.source}")
        self._fail(now, pull)

    def _deltas(self, now: int, pull: Pull, reply: Reply) -> None:
        """Apply the deltas of a reply; each is validated here too and must give the digest it names."""
        head, document, good, fault, why = chain(self._check, self.head, self.document, reply)
        if fault == "refused":
            self._refuse(now, reply.deltas[len(good)].head, why)
        if good:
            self._keep(head, document, good)
            if isinstance(pull.source, int) and not fault and head != reply.head and self._keeping:
                self._keeping.on = pull.source
        if fault == "refused":
            self._fail(now, pull)
        elif fault:
            self._whole = self._whole or fault == "bad digest"
            self._bad(now, pull, fault)

    def _page(self, now: int, pull: Pull, reply: Reply) -> None:
        """Add a page of a document, and apply the document when it is complete."""
        fault = pull.piece(reply)
        if fault:
            self._bad(now, pull, fault)
            return
        if len(pull.got) < reply.size:
            self._ask(now, pull.source, pull)
            return
        after, why = checked(self._check, pull.got, NOTHING)
        if after != pull.got:
            self._refuse(now, reply.head, why or "the document is not canonical")
            self._fail(now, pull)
            return
        self._keep(reply.head, pull.got, ())

    def _refuse(self, now: int, head: Head, why: str) -> None:
        """Keep the active revision, and request a whole document, which may be valid, after a while."""
        self.refused, self.fault, self._whole = head, why[:300] or "the revision is not valid", True
        self.dropped["refused"] += 1
        self._senders.refused(now)
        self._say("refused", f"{head}: {self.fault}")

    # Activation

    def _keep(
        self, head: Head, document: bytes, deltas: tuple[Delta, ...], leads: int = 0, order: int | None = None
    ) -> None:
        """Write a revision to disk; it is activated and announced only after that.

        Otherwise a gateway could crash and return with an older revision, and a publisher could reuse a
        number that others have already received for another change.
        """
        self._keeps += 1
        self._keeping = Keeping(self._keeps, head, document, deltas, leads, order)
        self._out.append(Keep(self._keeps, head, document, deltas, leads))

    def _kept(self, now: int, event: Kept) -> None:
        kept = self._keeping
        if kept is None or kept.number != event.number:
            return
        self._keeping = None
        if not event.good and kept.order is not None:
            # it may be on disk, so its number must never be used for another change
            self.publisher.heard(kept.head.term)
            self.publisher.leads = 0
            self._say("publisher_no_more", f"revision {kept.head} could not be written")
            self._ordered(kept.order, "the revision could not be written; take over again")
            return
        if not event.good:
            self._say("not_kept", "the file was not written; a restart begins with an older revision")
        self._in_force(now, kept)

    def _in_force(self, now: int, kept: Keeping) -> None:
        self.head, self.document = kept.head, kept.document
        self.publisher.heard(kept.head.term)
        if kept.order is None:
            self._resign(kept.head.term)
        else:
            self.publisher.leads = kept.leads
        self.history.extend(kept.head, kept.deltas)
        if self.refused.key <= self.head.key:
            self._senders.well()
            self.refused, self.fault, self._whole = Head(), "", False
        self._out.append(InForce(self.head, self.document))
        if kept.on is not None and self._far is None:
            self._ask(now, kept.on)
        if kept.order is not None:
            self._out.append(Ordered(kept.order, True, "", self.head))

    # Orders

    def _order(self, now: int, event: Order) -> None:
        """Assign a number to a valid change; an invalid one gets no number and is never sent."""
        behind = self._senders.best(self.head.key, now) is not None
        fault = self.publisher.fault(event, self.head.number, self._start.fault(self.head), behind)
        if fault:
            self._ordered(event.order, fault)
            return
        term, patch = self.publisher.numbers(event)
        after, why = checked(self._check, self.document, patch)
        if after is None:
            self._ordered(event.order, why)
            return
        head = Head(term, self.head.number + 1, digest_of(after))
        self._keep(head, after, (Delta(head, patch),), term, event.order)

    def _ordered(self, order: int, reason: str) -> None:
        self._out.append(Ordered(order, False, reason, self.head))

    def answer(self, question: Question) -> Reply | None:
        """Return the reply to another gateway's request; None, counted, if it is invalid."""
        reply = self.history.answer(self.head, self.document, question)
        if reply is None:
            self.dropped["bad question"] += 1
            return None
        self.pulls["answered"] += 1
        self.pulls["pages"] += reply.size > 0
        return reply
