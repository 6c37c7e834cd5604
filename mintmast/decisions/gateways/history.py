"""Recent revisions kept for other gateways, replies to requests for them, and validation of revisions."""

from __future__ import annotations

from bisect import bisect_left

from mintmast.decisions.gateways.revising import Check, Delta, Head, Question, Reply, Stored, digest_of

# size limits of documents and patches: the shared settings of 3,400 gateways fit with room to spare, and so
# does a change that a person or a tool writes in one piece
DOCUMENT_BYTES, PATCH_BYTES = 1 << 20, 64 << 10
# revisions kept for other gateways: four hours at 11,000 a day, so that a restart, a partition of a region
# and a long pause are made up by deltas; in bytes a two-hundredth of a gateway's 64 MB for control
HISTORY, HISTORY_BYTES = 2048, 320 << 10
# revisions and patch bytes in one reply: each revision takes a validation of a whole document, all of them in
# one turn of the loop
REPLY_DELTAS, REPLY_BYTES = 16, 64 << 10
# bytes of a delta beside its patch, in a membership message
NAME_BYTES = 32
# bytes of a document in one reply: base64 makes this 64 kB, a fifteenth of the limit of a connection
PAGE_BYTES = 48 << 10


class History:
    """The most recent revisions of one gateway, gapless, up to its head."""

    def __init__(self, stored: Stored) -> None:
        self.base, self.deltas, self.bytes = stored.head, [], 0
        self._keys: list[tuple[int, int]] = []
        if stored.history and stored.history[-1].head == stored.head:
            self.base = stored.base
            self._add(stored.history)

    def extend(self, head: Head, deltas: tuple[Delta, ...]) -> None:
        """Advance to a new head; without deltas the earlier revisions are dropped, as the chain is broken."""
        if deltas:
            self._add(deltas)
        else:
            self.base, self.deltas, self._keys, self.bytes = head, [], [], 0

    def _add(self, deltas: tuple[Delta, ...]) -> None:
        self.deltas.extend(deltas)
        self._keys.extend(each.head.key for each in deltas)
        self.bytes += sum(len(each.patch) for each in deltas)
        if len(self.deltas) <= HISTORY and self.bytes <= HISTORY_BYTES:
            return
        # removes an eighth more than needed, so that not every revision causes a removal
        cut = 0
        while len(self.deltas) - cut > HISTORY * 7 // 8 or self.bytes > HISTORY_BYTES * 7 // 8:
            self.bytes -= len(self.deltas[cut].patch)
            cut += 1
        self.base = self.deltas[cut - 1].head
        del self.deltas[:cut], self._keys[:cut]

    def answer(self, head: Head, document: bytes, question: Question) -> Reply | None:
        """Return the reply to a request at this head; None if the request is invalid.

        It has deltas if the requester's head is in the history and they are smaller than the document.
        """
        since = Head(question.term, question.number, question.digest)
        if not since.good or not 0 <= question.offset <= DOCUMENT_BYTES or len(question.of) > 16:
            return None
        at, fork = self._place(since)
        if since.key >= head.key:
            return Reply(head, fork=fork)
        if at is not None and not question.whole and self._short(at, len(document)):
            deltas, size = [], 0
            for delta in self.deltas[at : at + REPLY_DELTAS]:
                size += len(delta.patch)
                if deltas and size > REPLY_BYTES:
                    break
                deltas.append(delta)
            return Reply(head, tuple(deltas))
        offset = question.offset if question.of == head.digest else 0
        page = document[offset : offset + PAGE_BYTES]
        return Reply(head, (), page, offset, len(document), fork)

    def after(self, told: tuple[int, int, int], room: int) -> tuple[Delta, ...]:
        """Return the first deltas after a revision summary, up to `max_bytes`.

        Empty if the history does not have that revision, or has another one under its number.
        """
        found = self._at(told[:2])
        if found is None or found[1].mark != told[2]:
            return ()
        at, given, size = found[0], [], 0
        for delta in self.deltas[at : at + REPLY_DELTAS]:
            size += len(delta.patch) + NAME_BYTES
            if size > room:
                break
            given.append(delta)
        return tuple(given)

    def _short(self, at: int, size: int) -> bool:
        """Return whether the deltas fit into one reply or are smaller than a document of this size."""
        left = self.deltas[at:]
        return len(left) <= REPLY_DELTAS or sum(len(each.patch) for each in left) <= size

    def _place(self, since: Head) -> tuple[int | None, bool]:
        """Return the index of the first delta after a head, and if its number has another digest here."""
        found = self._at(since.key)
        if found is None:
            return None, False
        at, head = found
        return (at, False) if head.digest == since.digest else (None, True)

    def _at(self, key: tuple[int, int]) -> tuple[int, Head] | None:
        """Return the index of the first delta after this key and the revision of the key; None if unknown."""
        if key == self.base.key:
            return 0, self.base
        at = bisect_left(self._keys, key)
        if at == len(self._keys) or self._keys[at] != key:
            return None
        return at + 1, self.deltas[at].head


def checked(check: Check, document: bytes, patch: bytes) -> tuple[bytes | None, str]:
    """Validate a patch on a document; return the patched document, or None and the reason.

    Exceptions are caught because a validator that raises on one odd input would crash all gateways at once.
    """
    if len(patch) > PATCH_BYTES:
        return None, f"the patch is larger than {PATCH_BYTES} bytes"
    try:
        after, why = check(document, patch)
    except (ValueError, TypeError, LookupError, ArithmeticError, RecursionError) as error:
        return None, f"validation raised an error: {error}"[:300]
    if after is not None and len(after) > DOCUMENT_BYTES:
        return None, f"the document would be larger than {DOCUMENT_BYTES} bytes"
    return after, why


def chain(
    check: Check, head: Head, document: bytes, reply: Reply
) -> tuple[Head, bytes, tuple[Delta, ...], str, str]:
    """Apply the deltas of a reply in order, up to the first invalid one.

    Returns the head and document reached, the deltas applied, the kind of fault of the invalid one ("bad
    reply", "refused", "bad digest", "" for none), and the reason if it was refused.
    """
    good: list[Delta] = []
    for delta in reply.deltas[:REPLY_DELTAS]:
        if not delta.head.good or not head.key < delta.head.key <= reply.head.key:
            return head, document, tuple(good), "bad reply", ""
        after, why = checked(check, document, delta.patch)
        if after is None:
            return head, document, tuple(good), "refused", why
        if digest_of(after) != delta.head.digest:
            return head, document, tuple(good), "bad digest", ""
        head, document = delta.head, after
        good.append(delta)
    return head, document, tuple(good), "", ""
