"""What one gateway holds while revisions come: whom to ask, when again, pieces, and its own start."""

from __future__ import annotations

import random
from dataclasses import dataclass

from mintmast.decisions.gateways.history import MAX_DOCUMENT_BYTES
from mintmast.decisions.gateways.revision_types import Delta, PullSource, RevisionId, RevisionReply, digest_of

MS, SECOND = 1000, 1_000_000
# µs for an answer: of the region, a hundred round trips and a busy loop; of another region, some more
REGION_TIMEOUT_US, REMOTE_TIMEOUT_US = 1 * SECOND, 3 * SECOND
# µs after a pull that failed, doubled each time up to the second, and drawn between half of it and all: so
# that those who wait for one sender do not come back in step
BACKOFF_US, MAX_BACKOFF_US = 50 * MS, 2 * SECOND
# µs after a revision was refused until its sender's whole document is asked for, doubled each time up to the
# second: one of another program version must not fetch each of 11,000 a day whole, and has a mend in 18 s
REJECTED_BACKOFF_US, MAX_REJECTED_BACKOFF_US = 4 * SECOND, 16 * SECOND
# µs for which a newer head's revisions are waited for after a word that told it, before they are asked for:
# its sender has the answer, and sends them, within a round trip and a turn of a busy loop
DELTA_WAIT_US = 150 * MS
# senders of a newer head that are remembered, and for how many µs: a word of each comes again anyway
MAX_SENDERS, SENDER_TTL_US = 8, 10 * SECOND
# others that must have told their head before a start knows that its own is not old, and µs after which it
# goes on without: three share no cut, and five seconds leave thirteen of the eighteen
ENOUGH_PEERS, SETTLE_TIMEOUT_US = 3, 5 * SECOND
# log lines that are remembered, so that each is said once
MAX_LOGGED = 64
# doublings that are counted: beyond, every wait is at its longest
MAX_DOUBLINGS = 8


@dataclass(slots=True)
class Pull:
    """A question that is out, and what has come of the document that it is about."""

    call: int
    source: PullSource
    since: RevisionId
    deadline: int
    document_of: RevisionId = RevisionId()
    received: bytes = b""

    def add_page(self, reply: RevisionReply) -> str:
        """Take a piece of a document; "" where it fits. Another head's first piece begins anew."""
        if self.document_of != reply.head:
            self.document_of, self.received = reply.head, b""
        if reply.offset != len(self.received) or len(self.received) + len(reply.page) > reply.size:
            return "bad reply"
        self.received += reply.page
        whole = len(self.received) == reply.size
        return "bad digest" if whole and digest_of(self.received) != reply.head.digest else ""


@dataclass(slots=True)
class PendingWrite:
    """What becomes in force when it is on disk; `on` is the other region's gateway that has more."""

    number: int
    head: RevisionId
    document: bytes
    deltas: tuple[Delta, ...]
    publisher_term: int
    order: int | None = None
    continue_at: int | None = None


def is_well_formed(reply: RevisionReply) -> bool:
    """Tell whether a reply can be one at all."""
    return reply.head.is_valid and 0 <= reply.size <= MAX_DOCUMENT_BYTES and reply.offset >= 0


class Senders:
    """Who told a newer head lately, and from when on one of them may be asked."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._announced: dict[str, tuple[tuple[int, int], int]] = {}
        self.backoff_until = 0  # µs before which nobody is asked
        self._deltas_expected_by = 0  # µs before which nobody is asked as it may come by itself
        self._failures = self._rejections = 0

    def __bool__(self) -> bool:
        """Tell whether there is anybody to be asked."""
        return bool(self._announced)

    @property
    def pull_at(self) -> int:
        """Give the µs from which on one of them may be asked."""
        return max(self.backoff_until, self._deltas_expected_by)

    def announced(self, name: str, key: tuple[int, int], now: int, wants_answer: bool = False) -> None:
        """Remember a sender, the last one in place of the first; `asked`: see `revising.HeadHeard`.

        Danger: were each word that wants an answer waited for, those that come meanwhile, and whose answers
        are lost, would put off the question for ever. Only the first is.
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
        """Forget a sender until it tells a newer head again."""
        self._announced.pop(name, None)

    def best(self, own: tuple[int, int], now: int) -> str | None:
        """Give the latest of those who told the newest head; None where nobody told a newer one lately."""
        for name, (key, at) in list(self._announced.items()):
            if key <= own or now - at > SENDER_TTL_US:
                del self._announced[name]
        return max(self._announced, key=self._announced.__getitem__) if self._announced else None

    def pull_failed(self, name: str, now: int) -> None:
        """Wait a little, then ask another one."""
        self.forget(name)
        off = min(MAX_BACKOFF_US, BACKOFF_US << min(self._failures, MAX_DOUBLINGS))
        self._failures += 1
        self.backoff_until = max(self.backoff_until, now + self._random.randint(off // 2, off))

    def revision_rejected(self, now: int) -> None:
        """Wait longer: what they have does not check here."""
        self.backoff_until = now + min(
            MAX_REJECTED_BACKOFF_US, REJECTED_BACKOFF_US << min(self._rejections, MAX_DOUBLINGS)
        )
        self._rejections += 1

    def reset(self) -> None:
        """Begin anew: something newer is in force."""
        self._failures = self._rejections = self.backoff_until = 0


class StartupPhase:
    """The time in which a gateway does not know yet whether the head that it begins with is old.

    Danger: one whose file was put back, or is gone, would number, or set viewers up, by what is over.
    """

    def __init__(self, others: int, remote: int) -> None:
        self.is_over = not (others or remote)
        self.deadline = 0
        self.heard_any = not (others or remote)  # whether anybody was heard, if there is anybody
        self._enough = min(ENOUGH_PEERS, others)
        self._announcing: set[str] = set()

    def begin(self, now: int) -> None:
        """Take the time."""
        self.deadline = now + SETTLE_TIMEOUT_US

    def peer_announced(self, name: str) -> None:
        """Book that a gateway told its head."""
        self.heard_any = True
        if not self.is_over and len(self._announcing) < ENOUGH_PEERS:
            self._announcing.add(name)

    def refusal(self, head: RevisionId) -> str:
        """Tell what hinders orders at this head, "" for nothing.

        Danger: one that has lost its file and hears nobody would begin a term that others have already.
        """
        if not self.is_over:
            return "this gateway has just started and does not know the others' revisions yet"
        if head.key == (0, 0) and not self.heard_any:
            return "this gateway has no revision and has heard no other one"
        return ""

    def update(self, now: int, is_behind: bool) -> None:
        """See whether it is over; `behind` where a newer head is known that is not in force yet."""
        enough = 0 < self._enough <= len(self._announcing)
        self.is_over = self.is_over or now >= self.deadline or (enough and not is_behind)


class LoggedOnce:
    """What operators were told already."""

    def __init__(self) -> None:
        self._all: dict[tuple[str, str], None] = {}

    def is_new(self, what: str, once: str) -> bool:
        """Book it; False where it was said before."""
        if (what, once) in self._all:
            return False
        if len(self._all) >= MAX_LOGGED:
            del self._all[next(iter(self._all))]
        self._all[what, once] = None
        return True
