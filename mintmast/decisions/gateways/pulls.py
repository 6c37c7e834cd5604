"""What one gateway holds while revisions come: whom to ask, when again, pieces, and its own start."""

from __future__ import annotations

import random
from dataclasses import dataclass

from mintmast.decisions.gateways.history import DOCUMENT_BYTES
from mintmast.decisions.gateways.revising import Delta, Head, Reply, Source, digest_of

MS, SECOND = 1000, 1_000_000
# µs for an answer: of the region, a hundred round trips and a busy loop; of another region, some more
NEAR_TIME, FAR_TIME = 1 * SECOND, 3 * SECOND
# µs after a pull that failed, doubled each time up to the second, and drawn between half of it and all: so
# that those who wait for one sender do not come back in step
BACK_OFF, LONGEST_OFF = 50 * MS, 2 * SECOND
# µs after a revision was refused until its sender's whole document is asked for, doubled each time up to the
# second: one of another program version must not fetch each of 11,000 a day whole, and has a mend in 18 s
REFUSED_OFF, LONGEST_REFUSED = 4 * SECOND, 16 * SECOND
# µs for which a newer head's revisions are waited for after a word that told it, before they are asked for:
# its sender has the answer, and sends them, within a round trip and a turn of a busy loop
BRING_TIME = 150 * MS
# senders of a newer head that are remembered, and for how many µs: a word of each comes again anyway
SENDERS, SENDER_TIME = 8, 10 * SECOND
# others that must have told their head before a start knows that its own is not old, and µs after which it
# goes on without: three share no cut, and five seconds leave thirteen of the eighteen
HEARD_ENOUGH, SETTLE_TIME = 3, 5 * SECOND
# log lines that are remembered, so that each is said once
MOST_SAID = 64
# doublings that are counted: beyond, every wait is at its longest
MOST_DOUBLED = 8


@dataclass(slots=True)
class Pull:
    """A question that is out, and what has come of the document that it is about."""

    call: int
    source: Source
    since: Head
    until: int
    of: Head = Head()
    got: bytes = b""

    def piece(self, reply: Reply) -> str:
        """Take a piece of a document; "" where it fits. Another head's first piece begins anew."""
        if self.of != reply.head:
            self.of, self.got = reply.head, b""
        if reply.offset != len(self.got) or len(self.got) + len(reply.page) > reply.size:
            return "bad reply"
        self.got += reply.page
        whole = len(self.got) == reply.size
        return "bad digest" if whole and digest_of(self.got) != reply.head.digest else ""


@dataclass(slots=True)
class Keeping:
    """What becomes in force when it is on disk; `on` is the other region's gateway that has more."""

    number: int
    head: Head
    document: bytes
    deltas: tuple[Delta, ...]
    leads: int
    order: int | None = None
    on: int | None = None


def shaped(reply: Reply) -> bool:
    """Tell whether a reply can be one at all."""
    return reply.head.good and 0 <= reply.size <= DOCUMENT_BYTES and reply.offset >= 0


class Senders:
    """Who told a newer head lately, and from when on one of them may be asked."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._told: dict[str, tuple[tuple[int, int], int]] = {}
        self.after = 0  # µs before which nobody is asked
        self._brought_by = 0  # µs before which nobody is asked as it may come by itself
        self._fails = self._refusals = 0

    def __bool__(self) -> bool:
        """Tell whether there is anybody to be asked."""
        return bool(self._told)

    @property
    def ask_at(self) -> int:
        """Give the µs from which on one of them may be asked."""
        return max(self.after, self._brought_by)

    def told(self, name: str, key: tuple[int, int], now: int, asked: bool = False) -> None:
        """Remember a sender, the last one in place of the first; `asked`: see `revising.HeadHeard`.

        Danger: were each word that wants an answer waited for, those that come meanwhile, and whose answers
        are lost, would put off the question for ever. Only the first is.
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
        """Forget a sender until it tells a newer head again."""
        self._told.pop(name, None)

    def best(self, own: tuple[int, int], now: int) -> str | None:
        """Give the latest of those who told the newest head; None where nobody told a newer one lately."""
        for name, (key, at) in list(self._told.items()):
            if key <= own or now - at > SENDER_TIME:
                del self._told[name]
        return max(self._told, key=self._told.__getitem__) if self._told else None

    def failed(self, name: str, now: int) -> None:
        """Wait a little, then ask another one."""
        self.drop(name)
        off = min(LONGEST_OFF, BACK_OFF << min(self._fails, MOST_DOUBLED))
        self._fails += 1
        self.after = max(self.after, now + self._random.randint(off // 2, off))

    def refused(self, now: int) -> None:
        """Wait longer: what they have does not check here."""
        self.after = now + min(LONGEST_REFUSED, REFUSED_OFF << min(self._refusals, MOST_DOUBLED))
        self._refusals += 1

    def well(self) -> None:
        """Begin anew: something newer is in force."""
        self._fails = self._refusals = self.after = 0


class Start:
    """The time in which a gateway does not know yet whether the head that it begins with is old.

    Danger: one whose file was put back, or is gone, would number, or set viewers up, by what is over.
    """

    def __init__(self, others: int, abroad: int) -> None:
        self.over = not (others or abroad)
        self.by = 0
        self.any = not (others or abroad)  # whether anybody was heard, if there is anybody
        self._enough = min(HEARD_ENOUGH, others)
        self._heard: set[str] = set()

    def begin(self, now: int) -> None:
        """Take the time."""
        self.by = now + SETTLE_TIME

    def heard(self, name: str) -> None:
        """Book that a gateway told its head."""
        self.any = True
        if not self.over and len(self._heard) < HEARD_ENOUGH:
            self._heard.add(name)

    def fault(self, head: Head) -> str:
        """Tell what hinders orders at this head, "" for nothing.

        Danger: one that has lost its file and hears nobody would begin a term that others have already.
        """
        if not self.over:
            return "this gateway has just started and does not know the others' revisions yet"
        if head.key == (0, 0) and not self.any:
            return "this gateway has no revision and has heard no other one"
        return ""

    def look(self, now: int, behind: bool) -> None:
        """See whether it is over; `behind` where a newer head is known that is not in force yet."""
        enough = 0 < self._enough <= len(self._heard)
        self.over = self.over or now >= self.by or (enough and not behind)


class Said:
    """What operators were told already."""

    def __init__(self) -> None:
        self._all: dict[tuple[str, str], None] = {}

    def new(self, what: str, once: str) -> bool:
        """Book it; False where it was said before."""
        if (what, once) in self._all:
            return False
        if len(self._all) >= MOST_SAID:
            del self._all[next(iter(self._all))]
        self._all[what, once] = None
        return True
