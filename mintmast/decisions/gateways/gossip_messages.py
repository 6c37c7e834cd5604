"""What gateways say to each other about who is there: one datagram a word, and a window against replays."""

from __future__ import annotations

import hashlib
from enum import IntEnum

import msgspec

from mintmast.decisions.gateways.member_status import MemberState, MemberStatus
from mintmast.decisions.gateways.revision_types import Delta

# news in one word: with names of 64 bytes still one datagram of 1,200, which every path takes whole
MAX_UPDATES = 11
# words of one sender that may overtake each other; what is older is dropped
REPLAY_WINDOW = 64


class GossipKind(IntEnum):
    """What a word wants."""

    PING = 0  # to be answered by an ACK under the same number
    ACK = 1
    PING_REQUEST = 2  # to ping `about` in the sender's place; answered by an ACK or a NACK
    NACK = 3  # asked, and heard nothing either
    LEAVE = 4  # the sender ends


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """How a gateway stands, as `by` tells, which matters where it is suspected; `place` is as in `Word`."""

    name: str
    generation: int
    incarnation: int
    state: int
    observer: str = ""
    address: str = ""

    def status(self) -> MemberStatus:
        """Give it for merging. Raises ValueError for a state that there is not."""
        return MemberStatus(self.generation, self.incarnation, MemberState(self.state))


class GossipMessage(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One datagram. `seq` counts the sender's words of this start; `number` is that of the probe.

    `place` is where this start of the sender is reached, HOST:PORT, "" for where settings have it. `about` is
    whom an ASK, its answer, or a PING in another's place is for. `gap` in an answer is how many ms ago its
    writer last heard `about` itself, -1 for never: so two learn which way their path is broken.
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
    """A word that tells its sender's configuration in force: `revising.Head`'s term, number and mark.

    Only gateways with a `configuration` section send it; a word without decodes as term -1, and a gateway of
    before reads this one as a `Word`.
    """

    term: int = -1
    revision_number: int = 0
    digest_prefix: int = 0

    @property
    def revision_summary(self) -> tuple[int, int, int] | None:
        """Give the head that it tells, None for none."""
        return None if self.term == -1 else (self.term, self.revision_number, self.digest_prefix)


class GossipWithDeltas(GossipWithRevision, frozen=True, array_like=True, gc=False):
    """One that brings the revisions that its reader lacks, from the one after its reader's head on."""

    deltas: tuple[Delta, ...] = ()


class GossipWithDigest(GossipWithDeltas, frozen=True, array_like=True, gc=False):
    """What gateways say: any of the above, with a digest of how its sender holds all of the region to stand.

    `table` is `mark_of` all standings, its own among them, by exclusive or. Two who tell the same need pass
    nothing on. -1 is told by gateways of before, which pass on all the time, and read these words as theirs.
    """

    membership_digest: int = -1


def hash_status(name: str, status: MemberStatus) -> int:
    """Give 32 bits for a gateway's standing; 0 for one of which nothing was heard."""
    if not status.generation:
        return 0
    data = f"{name} {status.generation} {status.incarnation} {int(status.state)}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=4).digest(), "big")


def revision_summary_of(message: GossipMessage | None) -> tuple[int, int, int] | None:
    """Give the head that a word tells, None where it tells none."""
    return message.revision_summary if isinstance(message, GossipWithRevision) else None


class ReplayWindow:
    """Which words of a sender came already: the highest number, and a bit for each of those under it.

    Danger: whoever records datagrams could make a gateway that has died look alive by sending them again.
    """

    __slots__ = ("bits", "highest", "generation")

    def __init__(self) -> None:
        self.generation = self.highest = self.bits = 0

    def accept(self, generation: int, sequence: int) -> bool:
        """Book a word; False for one that came before, or is too old to tell. A later start begins anew."""
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
