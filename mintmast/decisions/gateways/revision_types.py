"""Configuration in force, as heads, events and commands: types and nothing else.

A *document* is the shared part of the settings as canonical JSON bytes, a *patch* a JSON Merge Patch
(RFC 7396) as canonical JSON bytes. A *revision* is what a publisher numbered: term, number, the digest of the
document after it, and its patch. Times are whole microseconds. `docs/design/configuration.md` has it all.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable

import msgspec

# the highest term and number that are taken; beyond is a broken sender's. 11,000 changes a day reach it in
# a hundred million years, and one term a second in a hundred thousand
MAX_NUMBER = (1 << 42) - 1
# the patch that changes nothing: a take-over's, and with it the check tells whether a whole document is good
EMPTY_PATCH = b"{}"

# (document, patch) -> the document after it, "", or None and the fault. Pure: the same bytes in give the same
# out at every gateway of one program version. The whole document after the patch is checked, so that
# check(document, NOTHING) gives a good canonical document back unchanged, byte by byte.
PatchValidator = Callable[[bytes, bytes], tuple[bytes | None, str]]

# where a question goes: a gateway of the region by its name, or place in `configuration.abroad`
PullSource = str | int


def digest_of(document: bytes) -> str:
    """Give the digest of a canonical document: 16 hex digits of BLAKE2b."""
    return hashlib.blake2b(document, digest_size=8).hexdigest()


class RevisionId(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A revision's name. Order is (term, number); (0, 0) is what the settings say before any revision."""

    term: int = 0
    number: int = 0
    digest: str = ""

    @property
    def key(self) -> tuple[int, int]:
        """Give what is compared."""
        return self.term, self.number

    @property
    def digest_prefix(self) -> int:
        """Give the first four bytes of the digest, as words carry them."""
        return int(self.digest[:8] or "0", 16)

    @property
    def is_valid(self) -> bool:
        """Tell whether it can be a head at all."""
        digits = len(self.digest) == 16 and set(self.digest) <= set("0123456789abcdef")
        return digits and 0 <= self.term <= MAX_NUMBER and 0 <= self.number <= MAX_NUMBER

    def __str__(self) -> str:
        """Give it as operators read it."""
        return f"{self.term}.{self.number}/{self.digest}"


class Delta(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A revision with its patch, which is for the document of the revision before it."""

    revision: RevisionId
    patch: bytes


class Stored(msgspec.Struct, frozen=True, gc=False):
    """What a gateway begins with: from its file, or (0, 0) and the document of its settings.

    `leads` is the term in which it is the publisher, 0 for none. `history` are the last revisions, the first
    of them after `base`; both may be left out (the history then begins at `head`).
    """

    head: RevisionId
    document: bytes
    leads: int = 0
    base: RevisionId = RevisionId()
    history: tuple[Delta, ...] = ()


# Between gateways


class RevisionRequest(msgspec.Struct, frozen=True, omit_defaults=True, gc=False):
    """Ask for what is after a head; with `of`, for the piece at `offset` of the document of that digest.

    `whole` asks for the whole document though deltas would do: they did not fit here.
    """

    term: int
    number: int
    digest: str
    offset: int = 0
    of: str = ""
    whole: bool = False


class RevisionReply(msgspec.Struct, frozen=True, omit_defaults=True, gc=False):
    """What another gateway says: its head, and deltas in order, or a piece of its document, or neither.

    `size` is the length of the whole document where `page` is a piece of it at `offset`. `fork` says
    that the asker's head has another digest there.
    """

    head: RevisionId
    deltas: tuple[Delta, ...] = ()
    page: bytes = b""
    offset: int = 0
    size: int = 0
    fork: bool = False


# In


class RevisionAnnounced(msgspec.Struct, frozen=True, gc=False):
    """Membership: a word of a gateway of the region told this head; `mark` as in `Head`.

    `deltas` are the revisions that this gateway lacks, as far as the word had room for them. `asked` says
    that the word wants an answer: its sender sees by that what is missing here, and sends it.
    """

    peer: str
    term: int
    number: int
    digest_prefix: int
    deltas: tuple[Delta, ...] = ()
    wants_answer: bool = False


class PullSucceeded(msgspec.Struct, frozen=True, gc=False):
    """A peer adapter: the answer to `AskRevisions` number `call`."""

    call: int
    reply: RevisionReply


class PullFailed(msgspec.Struct, frozen=True, gc=False):
    """A peer adapter: no answer to `AskRevisions` number `call` came in time, or none that is one."""

    call: int


class Publish(msgspec.Struct, frozen=True, gc=False):
    """An operator's change; `Ordered` with the same `order` answers it, once."""

    order: int
    patch: bytes


class TakeOver(msgspec.Struct, frozen=True, gc=False):
    """An operator makes this gateway the publisher; `Ordered` with the same `order` answers it, once."""

    order: int


class WriteFinished(msgspec.Struct, frozen=True, gc=False):
    """The file: what `Keep` number `number` wanted is on disk, or (not `good`) may or may not be there."""

    number: int
    is_durable: bool = True


class TimerFired(msgspec.Struct, frozen=True, gc=False):
    """The time of a wake has come; `due` is when it should have."""

    scheduled_at: int


Event = RevisionAnnounced | PullSucceeded | PullFailed | Publish | TakeOver | WriteFinished | TimerFired


# Out


class PullRevisions(msgspec.Struct, frozen=True, gc=False):
    """To a peer adapter: ask `source`; `Pulled` or `PullFailed` with this `call`, by `until` (µs)."""

    call: int
    source: PullSource
    request: RevisionRequest
    deadline: int


class WriteRevision(msgspec.Struct, frozen=True, gc=False):
    """To the file: write this, durably; `Kept` with this `number` answers, never before `take` returned.

    One is out at a time; a disk that stands still is answered, not good, within seconds. `deltas` lead from
    the document of before to this one; without any the document came whole, and what was kept before it is
    of no use. `leads` as in `Stored`. A gateway without a file answers `Kept` as if it had one.
    """

    number: int
    head: RevisionId
    document: bytes
    deltas: tuple[Delta, ...] = ()
    publisher_term: int = 0


class ActiveRevision(msgspec.Struct, frozen=True, gc=False):
    """Put this document in force; it was checked. `head` goes into the words of membership."""

    head: RevisionId
    document: bytes


class OrderAnswered(msgspec.Struct, frozen=True, gc=False):
    """The answer to an operator: `head` is the new revision's where `good`, else the one in force."""

    order: int
    is_accepted: bool
    reason: str
    head: RevisionId


class LogEvent(msgspec.Struct, frozen=True, gc=False):
    """A log line for operators; said once for each cause, not at each repetition."""

    what: str
    about: str = ""


class ScheduleTimer(msgspec.Struct, frozen=True, gc=False):
    """Call back with `Tick(at)`; an earlier wake that was asked for may still come and does nothing."""

    at: int


Command = PullRevisions | WriteRevision | ActiveRevision | OrderAnswered | LogEvent | ScheduleTimer
