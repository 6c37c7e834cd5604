"""Types of the shared configuration: revisions, messages between gateways, events and commands.

A *document* is the shared part of the settings as canonical JSON bytes, a *patch* a JSON Merge Patch
(RFC 7396) as canonical JSON bytes. A *revision* is one change numbered by a publisher: term, number, the
digest of the document after it, and its patch. A gateway's *head* is its newest revision. Times are whole
microseconds. The design is in `docs/design/configuration.md`.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable

import msgspec

# highest term and number that are accepted; a sender with a higher one is faulty. 11,000 changes a day reach
# it in a hundred million years, and one term a second in a hundred thousand
MAX_NUMBER = (1 << 42) - 1
# the patch that changes nothing: used by a take-over, and to validate a whole document
EMPTY_PATCH = b"{}"

# (document, patch) -> (patched document, "") or (None, reason). Pure: the same input gives the same output at
# every gateway of one program version. The whole document after the patch is validated, so that with
# `EMPTY_PATCH` a valid canonical document is returned unchanged, byte by byte.
PatchValidator = Callable[[bytes, bytes], tuple[bytes | None, str]]

# where a request goes: a gateway of the region by its name, or an index into `configuration.abroad`
PullSource = str | int


def digest_of(document: bytes) -> str:
    """Return the digest of a canonical document: 16 hex digits of BLAKE2b."""
    return hashlib.blake2b(document, digest_size=8).hexdigest()


class RevisionId(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Identifies a revision, ordered by (term, number); (0, 0) is the settings file before any revision."""

    term: int = 0
    number: int = 0
    digest: str = ""

    @property
    def key(self) -> tuple[int, int]:
        """Return the key by which revisions are ordered."""
        return self.term, self.number

    @property
    def digest_prefix(self) -> int:
        """Return the first four bytes of the digest, as membership messages carry them."""
        return int(self.digest[:8] or "0", 16)

    @property
    def is_valid(self) -> bool:
        """Return whether the fields are within their limits."""
        digits = len(self.digest) == 16 and set(self.digest) <= set("0123456789abcdef")
        return digits and 0 <= self.term <= MAX_NUMBER and 0 <= self.number <= MAX_NUMBER

    def __str__(self) -> str:
        """Return the form shown to operators."""
        return f"{self.term}.{self.number}/{self.digest}"


class Delta(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A revision and its patch, which applies to the document of the revision before it."""

    revision: RevisionId
    patch: bytes


class Stored(msgspec.Struct, frozen=True, gc=False):
    """What a gateway starts with: from its file, or revision (0, 0) and the document of its settings.

    `leads` is the term in which it is the publisher, 0 for none. `history` has the latest revisions, the
    first of them after `base`; both may be left out (the history then starts at `head`).
    """

    head: RevisionId
    document: bytes
    leads: int = 0
    base: RevisionId = RevisionId()
    history: tuple[Delta, ...] = ()


# Messages between gateways


class RevisionRequest(msgspec.Struct, frozen=True, omit_defaults=True, gc=False):
    """Requests the revisions after one, or with `of` the page at `offset` of the document of that digest.

    `whole` requests the whole document even if deltas would do, because they were not valid here.
    """

    term: int
    number: int
    digest: str
    offset: int = 0
    of: str = ""
    whole: bool = False


class RevisionReply(msgspec.Struct, frozen=True, omit_defaults=True, gc=False):
    """The reply of another gateway: its head with deltas in order, or with a page of its document, or alone.

    `size` is the length of the whole document if `page` is a part of it at `offset`. `fork` says that the
    requester's head has another digest here.
    """

    head: RevisionId
    deltas: tuple[Delta, ...] = ()
    page: bytes = b""
    offset: int = 0
    size: int = 0
    fork: bool = False


# Events


class RevisionAnnounced(msgspec.Struct, frozen=True, gc=False):
    """From membership: a gateway of the region announced this revision; `digest_prefix` as in `RevisionId`.

    `deltas` are revisions that this gateway lacks, as far as the message had room. `wants_answer` says that
    the message is answered: its sender then sees what is missing here, and sends it.
    """

    peer: str
    term: int
    number: int
    digest_prefix: int
    deltas: tuple[Delta, ...] = ()
    wants_answer: bool = False


class PullSucceeded(msgspec.Struct, frozen=True, gc=False):
    """From a transport: the reply to `PullRevisions` number `call`."""

    call: int
    reply: RevisionReply


class PullFailed(msgspec.Struct, frozen=True, gc=False):
    """From a transport: no valid reply to `PullRevisions` number `call` arrived in time."""

    call: int


class Publish(msgspec.Struct, frozen=True, gc=False):
    """From an operator: publish a change; answered once by `OrderAnswered` with the same `order`."""

    order: int
    patch: bytes


class TakeOver(msgspec.Struct, frozen=True, gc=False):
    """From an operator: make this gateway the publisher; answered once by `OrderAnswered`, same `order`."""

    order: int


class WriteFinished(msgspec.Struct, frozen=True, gc=False):
    """From the file: the write `number` is durable, or (if not `is_durable`) may or may not be on disk."""

    number: int
    is_durable: bool = True


class TimerFired(msgspec.Struct, frozen=True, gc=False):
    """A timer has fired; `scheduled_at` is when it was due (µs)."""

    scheduled_at: int


Event = RevisionAnnounced | PullSucceeded | PullFailed | Publish | TakeOver | WriteFinished | TimerFired


# Commands


class PullRevisions(msgspec.Struct, frozen=True, gc=False):
    """To a transport: send a request; `PullSucceeded` or `PullFailed` answers `call` by `deadline` (µs)."""

    call: int
    source: PullSource
    request: RevisionRequest
    deadline: int


class WriteRevision(msgspec.Struct, frozen=True, gc=False):
    """To the file: write a revision durably; `WriteFinished` answers `number`, after `handle` has returned.

    One write is pending at a time; on a disk that hangs it ends as not durable within seconds. `deltas` lead
    from the previous document to this one; without any, the document came as a whole and the stored history
    is of no use. `publisher_term` as `leads` in `Stored`. A gateway without a file answers as if it had one.
    """

    number: int
    head: RevisionId
    document: bytes
    deltas: tuple[Delta, ...] = ()
    publisher_term: int = 0


class ActiveRevision(msgspec.Struct, frozen=True, gc=False):
    """Activate this validated document; `head` is announced in membership messages."""

    head: RevisionId
    document: bytes


class OrderAnswered(msgspec.Struct, frozen=True, gc=False):
    """The answer to an operator: `head` is the new revision's if `is_accepted`, else the active one's."""

    order: int
    is_accepted: bool
    reason: str
    head: RevisionId


class LogEvent(msgspec.Struct, frozen=True, gc=False):
    """A log line for operators, written once for each cause and not for each repetition."""

    what: str
    about: str = ""


class ScheduleTimer(msgspec.Struct, frozen=True, gc=False):
    """Send a `TimerFired` at this time (µs); an earlier timer may still fire and is then ignored."""

    at: int


Command = PullRevisions | WriteRevision | ActiveRevision | OrderAnswered | LogEvent | ScheduleTimer
