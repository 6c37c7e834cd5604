"""What gateways say to each other about who is there: one datagram a word, and a window against replays."""

from __future__ import annotations

import hashlib
from enum import IntEnum

import msgspec

from mintmast.decisions.gateways.revising import Delta
from mintmast.decisions.gateways.standing import Standing, State

# news in one word: with names of 64 bytes still one datagram of 1,200, which every path takes whole
MOST_NEWS = 11
# words of one sender that may overtake each other; what is older is dropped
REORDERED = 64


class Kind(IntEnum):
    """What a word wants."""

    PING = 0  # to be answered by an ACK under the same number
    ACK = 1
    ASK = 2  # to ping `about` in the sender's place; answered by an ACK or a NACK
    NACK = 3  # asked, and heard nothing either
    LEAVE = 4  # the sender ends


class News(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """How a gateway stands, as `by` tells, which matters where it is suspected; `place` is as in `Word`."""

    name: str
    start: int
    incarnation: int
    state: int
    by: str = ""
    place: str = ""

    def standing(self) -> Standing:
        """Give it for merging. Raises ValueError for a state that there is not."""
        return Standing(self.start, self.incarnation, State(self.state))


class Word(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One datagram. `seq` counts the sender's words of this start; `number` is that of the probe.

    `place` is where this start of the sender is reached, HOST:PORT, "" for where settings have it. `about` is
    whom an ASK, its answer, or a PING in another's place is for. `gap` in an answer is how many ms ago its
    writer last heard `about` itself, -1 for never: so two learn which way their path is broken.
    """

    kind: int
    sender: str
    start: int
    incarnation: int
    seq: int
    number: int
    about: str = ""
    gap: int = -1
    news: tuple[News, ...] = ()
    place: str = ""


class HeadedWord(Word, frozen=True, array_like=True, gc=False):
    """A word that tells its sender's configuration in force: `revising.Head`'s term, number and mark.

    Only gateways with a `configuration` section send it; a word without decodes as term -1, and a gateway of
    before reads this one as a `Word`.
    """

    term: int = -1
    revision: int = 0
    mark: int = 0

    @property
    def head(self) -> tuple[int, int, int] | None:
        """Give the head that it tells, None for none."""
        return None if self.term == -1 else (self.term, self.revision, self.mark)


class BringingWord(HeadedWord, frozen=True, array_like=True, gc=False):
    """One that brings the revisions that its reader lacks, from the one after its reader's head on."""

    deltas: tuple[Delta, ...] = ()


class TabledWord(BringingWord, frozen=True, array_like=True, gc=False):
    """What gateways say: any of the above, with a digest of how its sender holds all of the region to stand.

    `table` is `mark_of` all standings, its own among them, by exclusive or. Two who tell the same need pass
    nothing on. -1 is told by gateways of before, which pass on all the time, and read these words as theirs.
    """

    table: int = -1


def mark_of(name: str, standing: Standing) -> int:
    """Give 32 bits for a gateway's standing; 0 for one of which nothing was heard."""
    if not standing.start:
        return 0
    told = f"{name} {standing.start} {standing.incarnation} {int(standing.state)}".encode()
    return int.from_bytes(hashlib.blake2b(told, digest_size=4).digest(), "big")


def head_of(word: Word | None) -> tuple[int, int, int] | None:
    """Give the head that a word tells, None where it tells none."""
    return word.head if isinstance(word, HeadedWord) else None


class Window:
    """Which words of a sender came already: the highest number, and a bit for each of those under it.

    Danger: whoever records datagrams could make a gateway that has died look alive by sending them again.
    """

    __slots__ = ("bits", "high", "start")

    def __init__(self) -> None:
        self.start = self.high = self.bits = 0

    def take(self, start: int, seq: int) -> bool:
        """Book a word; False for one that came before, or is too old to tell. A later start begins anew."""
        if start < self.start or seq <= 0:
            return False
        if start > self.start:
            self.start, self.high, self.bits = start, 0, 0
        ahead = seq - self.high
        if ahead > 0:
            self.bits = (self.bits << min(ahead, REORDERED) | 1) & ((1 << REORDERED) - 1)
            self.high = seq
            return True
        bit = 1 << -ahead
        if -ahead >= REORDERED or self.bits & bit:
            return False
        self.bits |= bit
        return True
