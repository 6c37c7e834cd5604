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
MOST = (1 << 42) - 1
# the patch that changes nothing: used by a take-over, and to validate a whole document
NOTHING = b"{}"

# (document, patch) -> (patched document, "") or (None, reason). Pure: the same input gives the same output at
# every gateway of one program version. The whole document after the patch is validated, so that with
# `EMPTY_PATCH` a valid canonical document is returned unchanged, byte by byte.
Check = Callable[[bytes, bytes], tuple[bytes | None, str]]

# where a request goes: a gateway of the region by its name, or an index into `configuration.abroad`
Source = str | int


def digest_of(document: bytes) -> str:
    """Return the digest of a canonical document: 16 hex digits of BLAKE2b."""
    return hashlib.blake2b(document, digest_size=8).hexdigest()


class Head(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Identifies a revision, ordered by (term, number); (0, 0) is the settings file before any revision."""

    term: int = 0
    number: int = 0
    digest: str = ""

    @property
    def key(self) -> tuple[int, int]:
        """Return the key by which revisions are ordered."""
        return self.term, self.number

    @property
    def mark(self) -> int:
        """Return the first four bytes of the digest, as membership messages carry them."""
        return int(self.digest[:8] or "0", 16)

    @property
    def good(self) -> bool:
        """Return whether the fields are within their limits."""
        digits = len(self.digest) == 16 and set(self.digest) <= set("0123456789abcdef")
        return digits and 0 <= self.term <= MOST and 0 <= self.number <= MOST

    def __str__(self) -> str:
        """Return the form shown to operators."""
        return f"{self.term}.{self.number}/{self.digest}"


class Delta(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A revision and its patch, which applies to the document of the revision before it."""

    head: Head
    patch: bytes


class Stored(msgspec.Struct, frozen=True, gc=False):
    """What a gateway starts with: from its file, or revision (0, 0) and the document of its settings.

    `leads` is the term in which it is the publisher, 0 for none. `history` has the latest revisions, the
    first of them after `base`; both may be left out (the history then starts at `head`).
    """

    head: Head
    document: bytes
    leads: int = 0
    base: Head = Head()
    history: tuple[Delta, ...] = ()


# Messages between gateways


class Question(msgspec.Struct, frozen=True, omit_defaults=True, gc=False):
    """Requests the revisions after one, or with `of` the page at `offset` of the document of that digest.

    `whole` requests the whole document even if deltas would do, because they were not valid here.
    """

    term: int
    number: int
    digest: str
    offset: int = 0
    of: str = ""
    whole: bool = False


class Reply(msgspec.Struct, frozen=True, omit_defaults=True, gc=False):
    """The reply of another gateway: its head with deltas in order, or with a page of its document, or alone.

    `size` is the length of the whole document if `page` is a part of it at `offset`. `fork` says that the
    requester's head has another digest here.
    """

    head: Head
    deltas: tuple[Delta, ...] = ()
    page: bytes = b""
    offset: int = 0
    size: int = 0
    fork: bool = False


# Events


class HeadHeard(msgspec.Struct, frozen=True, gc=False):
    """From membership: a gateway of the region announced this revision; `digest_prefix` as in `RevisionId`.

    `deltas` are revisions that this gateway lacks, as far as the message had room. `wants_answer` says that
    the message is answered: its sender then sees what is missing here, and sends it.
    """

    peer: str
    term: int
    number: int
    mark: int
    deltas: tuple[Delta, ...] = ()
    asked: bool = False


class Pulled(msgspec.Struct, frozen=True, gc=False):
    """From a transport: the reply to `PullRevisions` number `call`."""

    call: int
    reply: Reply


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


class Kept(msgspec.Struct, frozen=True, gc=False):
    """From the file: the write `number` is durable, or (if not `is_durable`) may or may not be on disk."""

    number: int
    good: bool = True


class Tick(msgspec.Struct, frozen=True, gc=False):
    """A timer has fired; `scheduled_at` is when it was due (µs)."""

    due: int


Event = HeadHeard | Pulled | PullFailed | Publish | TakeOver | Kept | Tick


# Commands


class AskRevisions(msgspec.Struct, frozen=True, gc=False):
    """To a transport: send a request; `PullSucceeded` or `PullFailed` answers `call` by `deadline` (µs)."""

    call: int
    source: Source
    question: Question
    until: int


class Keep(msgspec.Struct, frozen=True, gc=False):
    """To the file: write a revision durably; `WriteFinished` answers `number`, after `handle` has returned.

    One write is pending at a time; on a disk that hangs it ends as not durable within seconds. `deltas` lead
    from the previous document to this one; without any, the document came as a whole and the stored history
    is of no use. `publisher_term` as `leads` in `Stored`. A gateway without a file answers as if it had one.
    """

    number: int
    head: Head
    document: bytes
    deltas: tuple[Delta, ...] = ()
    leads: int = 0


class InForce(msgspec.Struct, frozen=True, gc=False):
    """Activate this validated document; `head` is announced in membership messages."""

    head: Head
    document: bytes


class Ordered(msgspec.Struct, frozen=True, gc=False):
    """The answer to an operator: `head` is the new revision's if `is_accepted`, else the active one's."""

    order: int
    good: bool
    reason: str
    head: Head


class Say(msgspec.Struct, frozen=True, gc=False):
    """A log line for operators, written once for each cause and not for each repetition."""

    what: str
    about: str = ""


class Wake(msgspec.Struct, frozen=True, gc=False):
    """Send a `TimerFired` at this time (µs); an earlier timer may still fire and is then ignored."""

    at: int


Command = AskRevisions | Keep | InForce | Ordered | Say | Wake
