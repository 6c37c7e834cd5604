"""Messages of the membership protocol, one datagram each, and a window that rejects replayed ones."""

from __future__ import annotations

import hashlib
from enum import IntEnum

import msgspec

from mintmast.decisions.gateways.member_status import MemberState, MemberStatus
from mintmast.decisions.gateways.revision_types import Delta

# updates in one message: with names of 64 bytes it fits a datagram of 1,200 bytes, which every path carries
MAX_UPDATES = 11
# how far messages of one sender may be reordered; older ones are dropped
REPLAY_WINDOW = 64


class GossipKind(IntEnum):
    """Purpose of a message, as in SWIM."""

    PING = 0  # to be answered by an ACK with the same probe number
    ACK = 1
    PING_REQUEST = 2  # asks the receiver to ping `subject`; answered by an ACK or a NACK
    NACK = 3  # the requested indirect ping has had no answer so far
    LEAVE = 4  # the sender is shutting down


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A member's status as `observer` reports it, needed for suspicions; `address` as in `GossipMessage`."""

    name: str
    generation: int
    incarnation: int
    state: int
    observer: str = ""
    address: str = ""

    def status(self) -> MemberStatus:
        """Return it as a status for merging. Raises ValueError for an unknown state."""
        return MemberStatus(self.generation, self.incarnation, MemberState(self.state))


class GossipMessage(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One datagram. `sequence` counts the messages of the sender's generation.

    `address` is HOST:PORT of this generation of the sender, "" for the address in the settings. `subject` is
    the member that a PING_REQUEST, its answer, or a PING on behalf of another gateway is about. In an answer
    `heard_ms_ago` says how long ago the sender last heard `subject` itself, in ms, -1 for never: it tells the
    two ends which direction of their path is broken.
    """

    kind: int
    sender: str
    generation: int
    incarnation: int
    sequence: int
    probe_number: int
    subject: str = ""
    heard_ms_ago: int = -1
    updates: tuple[MemberUpdate, ...] = ()
    address: str = ""


class GossipWithRevision(GossipMessage, frozen=True, array_like=True, gc=False):
    """A message that announces its sender's active revision: term, number and digest prefix of `RevisionId`.

    Only gateways with a `configuration` section send it. A message without these fields decodes with term -1,
    and versions of the program that do not know the fields decode this one as a `GossipMessage`.
    """

    term: int = -1
    revision_number: int = 0
    digest_prefix: int = 0

    @property
    def revision_summary(self) -> tuple[int, int, int] | None:
        """Return term, number and digest prefix of the announced revision, None without one."""
        return None if self.term == -1 else (self.term, self.revision_number, self.digest_prefix)


class GossipWithDeltas(GossipWithRevision, frozen=True, array_like=True, gc=False):
    """A message that carries the revisions its receiver lacks, starting after the receiver's head."""

    deltas: tuple[Delta, ...] = ()


class GossipWithDigest(GossipWithDeltas, frozen=True, array_like=True, gc=False):
    """The type that gateways send: all of the above, and an anti-entropy digest of the membership.

    `membership_digest` is the exclusive or of `hash_status` over all members, the sender included. Gateways
    with equal digests need not exchange updates. Versions of the program without the field decode to -1; they
    send updates all the time, and decode this message as one of theirs.
    """

    membership_digest: int = -1


def hash_status(name: str, status: MemberStatus) -> int:
    """Return a 32-bit hash of a member's status; 0 for a member without a known generation."""
    if not status.generation:
        return 0
    data = f"{name} {status.generation} {status.incarnation} {int(status.state)}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=4).digest(), "big")


def revision_summary_of(message: GossipMessage | None) -> tuple[int, int, int] | None:
    """Return the summary of the revision that a message announces, None without one."""
    return message.revision_summary if isinstance(message, GossipWithRevision) else None


class ReplayWindow:
    """Sliding window over one sender's sequence numbers: the highest, and one bit for each of those below it.

    It prevents a recorded datagram that is sent again from making a dead gateway look alive.
    """

    __slots__ = ("bits", "highest", "generation")

    def __init__(self) -> None:
        self.generation = self.highest = self.bits = 0

    def accept(self, generation: int, sequence: int) -> bool:
        """Record a message; return False for a duplicate or too old one. A later generation resets it."""
        if generation < self.generation or sequence <= 0:
            return False
        if generation > self.generation:
            self.generation, self.highest, self.bits = generation, 0, 0
        ahead = sequence - self.highest
        if ahead > 0:
            self.bits = (self.bits << min(ahead, REPLAY_WINDOW) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= REPLAY_WINDOW or self.bits & bit:
            return False
        self.bits |= bit
        return True
