"""Messages of the membership protocol, one datagram each, and a window that rejects replayed ones."""

from __future__ import annotations

import hashlib
from enum import IntEnum

import msgspec

from mintmast.decisions.gateways.revising import Delta
from mintmast.decisions.gateways.standing import Standing, State

# updates in one message: with names of 64 bytes it fits a datagram of 1,200 bytes, which every path carries
MOST_NEWS = 11
# how far messages of one sender may be reordered; older ones are dropped
REORDERED = 64


class Kind(IntEnum):
    """Purpose of a message, as in SWIM."""

    PING = 0  # to be answered by an ACK with the same probe number
    ACK = 1
    ASK = 2  # asks the receiver to ping `subject`; answered by an ACK or a NACK
    NACK = 3  # the requested indirect ping has had no answer so far
    LEAVE = 4  # the sender is shutting down


class News(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A member's status as `observer` reports it, needed for suspicions; `address` as in `GossipMessage`."""

    name: str
    start: int
    incarnation: int
    state: int
    by: str = ""
    place: str = ""

    def standing(self) -> Standing:
        """Return it as a status for merging. Raises ValueError for an unknown state."""
        return Standing(self.start, self.incarnation, State(self.state))


class Word(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One datagram. `sequence` counts the messages of the sender's generation.

    `address` is HOST:PORT of this generation of the sender, "" for the address in the settings. `subject` is
    the member that a PING_REQUEST, its answer, or a PING on behalf of another gateway is about. In an answer
    `heard_ms_ago` says how long ago the sender last heard `subject` itself, in ms, -1 for never: it tells the
    two ends which direction of their path is broken.
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
    """A message that announces its sender's active revision: term, number and digest prefix of `RevisionId`.

    Only gateways with a `configuration` section send it. A message without these fields decodes with term -1,
    and versions of the program that do not know the fields decode this one as a `GossipMessage`.
    """

    term: int = -1
    revision: int = 0
    mark: int = 0

    @property
    def head(self) -> tuple[int, int, int] | None:
        """Return term, number and digest prefix of the announced revision, None without one."""
        return None if self.term == -1 else (self.term, self.revision, self.mark)


class BringingWord(HeadedWord, frozen=True, array_like=True, gc=False):
    """A message that carries the revisions its receiver lacks, starting after the receiver's head."""

    deltas: tuple[Delta, ...] = ()


class TabledWord(BringingWord, frozen=True, array_like=True, gc=False):
    """The type that gateways send: all of the above, and an anti-entropy digest of the membership.

    `membership_digest` is the exclusive or of `hash_status` over all members, the sender included. Gateways
    with equal digests need not exchange updates. Versions of the program without the field decode to -1; they
    send updates all the time, and decode this message as one of theirs.
    """

    table: int = -1


def mark_of(name: str, standing: Standing) -> int:
    """Return a 32-bit hash of a member's status; 0 for a member without a known generation."""
    if not standing.start:
        return 0
    told = f"{name} {standing.start} {standing.incarnation} {int(standing.state)}".encode()
    return int.from_bytes(hashlib.blake2b(told, digest_size=4).digest(), "big")


def head_of(word: Word | None) -> tuple[int, int, int] | None:
    """Return the summary of the revision that a message announces, None without one."""
    return word.head if isinstance(word, HeadedWord) else None


class Window:
    """Sliding window over one sender's sequence numbers: the highest, and one bit for each of those below it.

    It prevents a recorded datagram that is sent again from making a dead gateway look alive.
    """

    __slots__ = ("bits", "high", "start")

    def __init__(self) -> None:
        self.start = self.high = self.bits = 0

    def take(self, start: int, seq: int) -> bool:
        """Record a message; return False for a duplicate or too old one. A later generation resets it."""
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
