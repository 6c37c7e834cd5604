"""State of a gateway's pulls of revisions: whom to ask and when, pages received, and the startup phase."""

from __future__ import annotations

import random
from dataclasses import dataclass

from mintmast.decisions.gateways.history import DOCUMENT_BYTES
from mintmast.decisions.gateways.revising import Delta, Head, Reply, Source, digest_of

MS, SECOND = 1000, 1_000_000
# µs to wait for a reply: a hundred round trips in the region and a busy loop, and more from another region
NEAR_TIME, FAR_TIME = 1 * SECOND, 3 * SECOND
# µs of backoff after a failed pull, doubled each time up to the second value and drawn from its upper half,
# so that gateways waiting for one sender do not retry in step
BACK_OFF, LONGEST_OFF = 50 * MS, 2 * SECOND
# µs from the rejection of a revision to the request for its sender's whole document, doubled each time up to
# the second value. A gateway of another program version must not fetch the document for each of 11,000
# changes a day, and still receives a correction within 18 s
REFUSED_OFF, LONGEST_REFUSED = 4 * SECOND, 16 * SECOND
# µs to wait for the deltas of a newer revision after a message that announced it, before they are requested:
# its sender learns from the answer that they are missing, and sends them within a round trip and a turn of
# a busy loop
BRING_TIME = 150 * MS
# how many senders of newer revisions are remembered, and for how many µs: each of them announces it again
# anyway
SENDERS, SENDER_TIME = 8, 10 * SECOND
# announcements of others after which a starting gateway knows that its own head is not old, and µs after
# which it goes on without them: three are not all behind one partition, and five seconds leave thirteen of
# the eighteen
HEARD_ENOUGH, SETTLE_TIME = 3, 5 * SECOND
# log lines remembered so that each is written once
MOST_SAID = 64
# doublings counted: beyond this every wait is at its maximum
MOST_DOUBLED = 8


@dataclass(slots=True)
class Pull:
    """A request that awaits its reply, and what has been received of the document it asks for."""

    call: int
    source: Source
    since: Head
    until: int
    of: Head = Head()
    got: bytes = b""

    def piece(self, reply: Reply) -> str:
        """Add a page of a document; return the fault, "" for none. A page of another head starts over."""
        if self.of != reply.head:
            self.of, self.got = reply.head, b""
        if reply.offset != len(self.got) or len(self.got) + len(reply.page) > reply.size:
            return "bad reply"
        self.got += reply.page
        whole = len(self.got) == reply.size
        return "bad digest" if whole and digest_of(self.got) != reply.head.digest else ""


@dataclass(slots=True)
class Keeping:
    """A revision that becomes active once it is on disk; `continue_at` is a remote gateway with more."""

    number: int
    head: Head
    document: bytes
    deltas: tuple[Delta, ...]
    leads: int
    order: int | None = None
    on: int | None = None


def shaped(reply: Reply) -> bool:
    """Return whether the fields of a reply are within their limits."""
    return reply.head.good and 0 <= reply.size <= DOCUMENT_BYTES and reply.offset >= 0


class Senders:
    """The gateways that announced a newer revision recently, and when the next one may be asked."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._told: dict[str, tuple[tuple[int, int], int]] = {}
        self.after = 0  # µs before which nobody is asked
        self._brought_by = 0  # µs before which nobody is asked because deltas may arrive unrequested
        self._fails = self._refusals = 0

    def __bool__(self) -> bool:
        """Return whether any gateway is known to have a newer revision."""
        return bool(self._told)

    @property
    def ask_at(self) -> int:
        """Return the time (µs) from which one of them may be asked."""
        return max(self.after, self._brought_by)

    def told(self, name: str, key: tuple[int, int], now: int, asked: bool = False) -> None:
        """Remember a sender, which replaces the oldest; `wants_answer` as in `RevisionAnnounced`.

        Only the first message that wants an answer delays the request. If each one did, messages that keep
        arriving while their answers are lost would put it off for ever.
        """
        if not asked:
            self._brought_by = 0
        elif not self._told:
            self._brought_by = now + BRING_TIME
        self._told.pop(name, None)
        if len(self._told) >= SENDERS:
            del self._told[next(iter(self._told))]
        self._told[name] = key, now

    def drop(self, name: str) -> None:
        """Remove a sender until it announces a newer revision again."""
        self._told.pop(name, None)

    def best(self, own: tuple[int, int], now: int) -> str | None:
        """Return the latest sender of the newest revision; None if nobody announced a newer one lately."""
        for name, (key, at) in list(self._told.items()):
            if key <= own or now - at > SENDER_TIME:
                del self._told[name]
        return max(self._told, key=self._told.__getitem__) if self._told else None

    def failed(self, name: str, now: int) -> None:
        """Back off briefly, then ask another sender."""
        self.drop(name)
        off = min(LONGEST_OFF, BACK_OFF << min(self._fails, MOST_DOUBLED))
        self._fails += 1
        self.after = max(self.after, now + self._random.randint(off // 2, off))

    def refused(self, now: int) -> None:
        """Back off for longer, because what the senders have is not valid here."""
        self.after = now + min(LONGEST_REFUSED, REFUSED_OFF << min(self._refusals, MOST_DOUBLED))
        self._refusals += 1

    def well(self) -> None:
        """Reset the backoff, because a newer revision is active."""
        self._fails = self._refusals = self.after = 0


class Start:
    """The time after a start during which a gateway does not know whether its head is out of date.

    A gateway whose file was restored from a backup or lost must not number revisions or set viewers up by
    outdated settings.
    """

    def __init__(self, others: int, abroad: int) -> None:
        self.over = not (others or abroad)
        self.by = 0
        self.any = not (others or abroad)  # whether any gateway was heard, if there are others
        self._enough = min(HEARD_ENOUGH, others)
        self._heard: set[str] = set()

    def begin(self, now: int) -> None:
        """Start the timeout."""
        self.by = now + SETTLE_TIME

    def heard(self, name: str) -> None:
        """Record that a gateway announced its head."""
        self.any = True
        if not self.over and len(self._heard) < HEARD_ENOUGH:
            self._heard.add(name)

    def fault(self, head: Head) -> str:
        """Return why orders are refused at this head, "" if they are not.

        A gateway that lost its file and hears nobody could otherwise start a term that others have already.
        """
        if not self.over:
            return "this gateway has just started and does not know the revisions of the others yet"
        if head.key == (0, 0) and not self.any:
            return "this gateway has no revision and no other gateway has announced one"
        return ""

    def look(self, now: int, behind: bool) -> None:
        """Check whether the phase is over; `is_behind` if a newer revision is known but not active yet."""
        enough = 0 < self._enough <= len(self._heard)
        self.over = self.over or now >= self.by or (enough and not behind)


class Said:
    """Log lines already written."""

    def __init__(self) -> None:
        self._all: dict[tuple[str, str], None] = {}

    def new(self, what: str, once: str) -> bool:
        """Record a line; return False if it was written before."""
        if (what, once) in self._all:
            return False
        if len(self._all) >= MOST_SAID:
            del self._all[next(iter(self._all))]
        self._all[what, once] = None
        return True
