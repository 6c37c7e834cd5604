"""State of a gateway's pulls of revisions: whom to ask and when, pages received, and the startup phase."""

from __future__ import annotations

import random
from dataclasses import dataclass

from mintmast.decisions.gateways.history import MAX_DOCUMENT_BYTES
from mintmast.decisions.gateways.revision_types import Delta, PullSource, RevisionId, RevisionReply, digest_of

MS, SECOND = 1000, 1_000_000
# µs to wait for a reply: a hundred round trips in the region and a busy loop, and more from another region
REGION_TIMEOUT_US, REMOTE_TIMEOUT_US = 1 * SECOND, 3 * SECOND
# µs of backoff after a failed pull, doubled each time up to the second value and drawn from its upper half,
# so that gateways waiting for one sender do not retry in step
BACKOFF_US, MAX_BACKOFF_US = 50 * MS, 2 * SECOND
# µs from the rejection of a revision to the request for its sender's whole document, doubled each time up to
# the second value. A gateway of another program version must not fetch the document for each of 11,000
# changes a day, and still receives a correction within 18 s
REJECTED_BACKOFF_US, MAX_REJECTED_BACKOFF_US = 4 * SECOND, 16 * SECOND
# µs to wait for the deltas of a newer revision after a message that announced it, before they are requested:
# its sender learns from the answer that they are missing, and sends them within a round trip and a turn of
# a busy loop
DELTA_WAIT_US = 150 * MS
# how many senders of newer revisions are remembered, and for how many µs: each of them announces it again
# anyway
MAX_SENDERS, SENDER_TTL_US = 8, 10 * SECOND
# announcements of others after which a starting gateway knows that its own head is not old, and µs after
# which it goes on without them: three are not all behind one partition, and five seconds leave thirteen of
# the eighteen
ENOUGH_PEERS, SETTLE_TIMEOUT_US = 3, 5 * SECOND
# log lines remembered so that each is written once
MAX_LOGGED = 64
# doublings counted: beyond this every wait is at its maximum
MAX_DOUBLINGS = 8


@dataclass(slots=True)
class Pull:
    """A request that awaits its reply, and what has been received of the document it asks for."""

    call: int
    source: PullSource
    since: RevisionId
    deadline: int
    document_of: RevisionId = RevisionId()
    received: bytes = b""

    def add_page(self, reply: RevisionReply) -> str:
        """Add a page of a document; return the fault, "" for none. A page of another head starts over."""
        if self.document_of != reply.head:
            self.document_of, self.received = reply.head, b""
        if reply.offset != len(self.received) or len(self.received) + len(reply.page) > reply.size:
            return "bad reply"
        self.received += reply.page
        is_complete = len(self.received) == reply.size
        return "bad digest" if is_complete and digest_of(self.received) != reply.head.digest else ""


@dataclass(slots=True)
class PendingWrite:
    """A revision that becomes active once it is on disk; `continue_at` is a remote gateway with more."""

    number: int
    head: RevisionId
    document: bytes
    deltas: tuple[Delta, ...]
    publisher_term: int
    order: int | None = None
    continue_at: int | None = None


def is_well_formed(reply: RevisionReply) -> bool:
    """Return whether the fields of a reply are within their limits."""
    return reply.head.is_valid and 0 <= reply.size <= MAX_DOCUMENT_BYTES and reply.offset >= 0


class Senders:
    """The gateways that announced a newer revision recently, and when the next one may be asked."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._announced: dict[str, tuple[tuple[int, int], int]] = {}
        self.backoff_until = 0  # µs before which nobody is asked
        self._deltas_expected_by = 0  # µs before which nobody is asked because deltas may arrive unrequested
        self._failures = self._rejections = 0

    def __bool__(self) -> bool:
        """Return whether any gateway is known to have a newer revision."""
        return bool(self._announced)

    @property
    def pull_at(self) -> int:
        """Return the time (µs) from which one of them may be asked."""
        return max(self.backoff_until, self._deltas_expected_by)

    def announced(self, name: str, key: tuple[int, int], now: int, wants_answer: bool = False) -> None:
        """Remember a sender, which replaces the oldest; `wants_answer` as in `RevisionAnnounced`.

        Only the first message that wants an answer delays the request. If each one did, messages that keep
        arriving while their answers are lost would put it off for ever.
        """
        if not wants_answer:
            self._deltas_expected_by = 0
        elif not self._announced:
            self._deltas_expected_by = now + DELTA_WAIT_US
        self._announced.pop(name, None)
        if len(self._announced) >= MAX_SENDERS:
            del self._announced[next(iter(self._announced))]
        self._announced[name] = key, now

    def forget(self, name: str) -> None:
        """Remove a sender until it announces a newer revision again."""
        self._announced.pop(name, None)

    def best(self, own: tuple[int, int], now: int) -> str | None:
        """Return the latest sender of the newest revision; None if nobody announced a newer one lately."""
        for name, (key, at) in list(self._announced.items()):
            if key <= own or now - at > SENDER_TTL_US:
                del self._announced[name]
        return max(self._announced, key=self._announced.__getitem__) if self._announced else None

    def pull_failed(self, name: str, now: int) -> None:
        """Back off briefly, then ask another sender."""
        self.forget(name)
        backoff = min(MAX_BACKOFF_US, BACKOFF_US << min(self._failures, MAX_DOUBLINGS))
        self._failures += 1
        self.backoff_until = max(self.backoff_until, now + self._random.randint(backoff // 2, backoff))

    def revision_rejected(self, now: int) -> None:
        """Back off for longer, because what the senders have is not valid here."""
        self.backoff_until = now + min(
            MAX_REJECTED_BACKOFF_US, REJECTED_BACKOFF_US << min(self._rejections, MAX_DOUBLINGS)
        )
        self._rejections += 1

    def reset(self) -> None:
        """Reset the backoff, because a newer revision is active."""
        self._failures = self._rejections = self.backoff_until = 0


class StartupPhase:
    """The time after a start during which a gateway does not know whether its head is out of date.

    A gateway whose file was restored from a backup or lost must not number revisions or set viewers up by
    outdated settings.
    """

    def __init__(self, others: int, remote: int) -> None:
        self.is_over = not (others or remote)
        self.deadline = 0
        self.heard_any = not (others or remote)  # whether any gateway was heard, if there are others
        self._enough = min(ENOUGH_PEERS, others)
        self._announcing: set[str] = set()

    def begin(self, now: int) -> None:
        """Start the timeout."""
        self.deadline = now + SETTLE_TIMEOUT_US

    def peer_announced(self, name: str) -> None:
        """Record that a gateway announced its head."""
        self.heard_any = True
        if not self.is_over and len(self._announcing) < ENOUGH_PEERS:
            self._announcing.add(name)

    def refusal(self, head: RevisionId) -> str:
        """Return why orders are refused at this head, "" if they are not.

        A gateway that lost its file and hears nobody could otherwise start a term that others have already.
        """
        if not self.is_over:
            return "this gateway has just started and does not know the revisions of the others yet"
        if head.key == (0, 0) and not self.heard_any:
            return "this gateway has no revision and no other gateway has announced one"
        return ""

    def update(self, now: int, is_behind: bool) -> None:
        """Check whether the phase is over; `is_behind` if a newer revision is known but not active yet."""
        enough = 0 < self._enough <= len(self._announcing)
        self.is_over = self.is_over or now >= self.deadline or (enough and not is_behind)


class LoggedOnce:
    """Log lines already written."""

    def __init__(self) -> None:
        self._all: dict[tuple[str, str], None] = {}

    def is_new(self, what: str, once: str) -> bool:
        """Record a line; return False if it was written before."""
        if (what, once) in self._all:
            return False
        if len(self._all) >= MAX_LOGGED:
            del self._all[next(iter(self._all))]
        self._all[what, once] = None
        return True
