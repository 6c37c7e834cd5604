"""Recent revisions kept for other gateways, replies to requests for them, and validation of revisions."""

from __future__ import annotations

from bisect import bisect_left

from mintmast.decisions.gateways.revision_types import (
    Delta,
    PatchValidator,
    RevisionId,
    RevisionReply,
    RevisionRequest,
    Stored,
    digest_of,
)

# size limits of documents and patches: the shared settings of 3,400 gateways fit with room to spare, and so
# does a change that a person or a tool writes in one piece
MAX_DOCUMENT_BYTES, MAX_PATCH_BYTES = 1 << 20, 64 << 10
# revisions kept for other gateways: four hours at 11,000 a day, so that a restart, a partition of a region
# and a long pause are made up by deltas; in bytes a two-hundredth of a gateway's 64 MB for control
MAX_HISTORY_REVISIONS, MAX_HISTORY_BYTES = 2048, 320 << 10
# revisions and patch bytes in one reply: each revision takes a validation of a whole document, all of them in
# one turn of the loop
MAX_REPLY_DELTAS, MAX_REPLY_BYTES = 16, 64 << 10
# bytes of a delta beside its patch, in a membership message
REVISION_ID_BYTES = 32
# bytes of a document in one reply: base64 makes this 64 kB, a fifteenth of the limit of a connection
PAGE_BYTES = 48 << 10


class History:
    """The most recent revisions of one gateway, gapless, up to its head."""

    def __init__(self, stored: Stored) -> None:
        self.base, self.deltas, self.patch_bytes = stored.head, [], 0
        self._keys: list[tuple[int, int]] = []
        if stored.history and stored.history[-1].revision == stored.head:
            self.base = stored.base
            self._add(stored.history)

    def extend(self, head: RevisionId, deltas: tuple[Delta, ...]) -> None:
        """Advance to a new head; without deltas the earlier revisions are dropped, as the chain is broken."""
        if deltas:
            self._add(deltas)
        else:
            self.base, self.deltas, self._keys, self.patch_bytes = head, [], [], 0

    def _add(self, deltas: tuple[Delta, ...]) -> None:
        self.deltas.extend(deltas)
        self._keys.extend(each.revision.key for each in deltas)
        self.patch_bytes += sum(len(each.patch) for each in deltas)
        if len(self.deltas) <= MAX_HISTORY_REVISIONS and self.patch_bytes <= MAX_HISTORY_BYTES:
            return
        # removes an eighth more than needed, so that not every revision causes a removal
        removed = 0
        while (
            len(self.deltas) - removed > MAX_HISTORY_REVISIONS * 7 // 8
            or self.patch_bytes > MAX_HISTORY_BYTES * 7 // 8
        ):
            self.patch_bytes -= len(self.deltas[removed].patch)
            removed += 1
        self.base = self.deltas[removed - 1].revision
        del self.deltas[:removed], self._keys[:removed]

    def answer(self, head: RevisionId, document: bytes, request: RevisionRequest) -> RevisionReply | None:
        """Return the reply to a request at this head; None if the request is invalid.

        It has deltas if the requester's head is in the history and they are smaller than the document.
        """
        since = RevisionId(request.term, request.number, request.digest)
        if not since.is_valid or not 0 <= request.offset <= MAX_DOCUMENT_BYTES or len(request.of) > 16:
            return None
        index, fork = self._find(since)
        if since.key >= head.key:
            return RevisionReply(head, fork=fork)
        if index is not None and not request.whole and self._deltas_suffice(index, len(document)):
            deltas, size = [], 0
            for delta in self.deltas[index : index + MAX_REPLY_DELTAS]:
                size += len(delta.patch)
                if deltas and size > MAX_REPLY_BYTES:
                    break
                deltas.append(delta)
            return RevisionReply(head, tuple(deltas))
        offset = request.offset if request.of == head.digest else 0
        page = document[offset : offset + PAGE_BYTES]
        return RevisionReply(head, (), page, offset, len(document), fork)

    def deltas_after(self, summary: tuple[int, int, int], max_bytes: int) -> tuple[Delta, ...]:
        """Return the first deltas after a revision summary, up to `max_bytes`.

        Empty if the history does not have that revision, or has another one under its number.
        """
        found = self._position_of(summary[:2])
        if found is None or found[1].digest_prefix != summary[2]:
            return ()
        index, chosen, size = found[0], [], 0
        for delta in self.deltas[index : index + MAX_REPLY_DELTAS]:
            size += len(delta.patch) + REVISION_ID_BYTES
            if size > max_bytes:
                break
            chosen.append(delta)
        return tuple(chosen)

    def _deltas_suffice(self, index: int, document_size: int) -> bool:
        """Return whether the deltas fit into one reply or are smaller than a document of this size."""
        remaining = self.deltas[index:]
        return (
            len(remaining) <= MAX_REPLY_DELTAS or sum(len(each.patch) for each in remaining) <= document_size
        )

    def _find(self, since: RevisionId) -> tuple[int | None, bool]:
        """Return the index of the first delta after a head, and if its number has another digest here."""
        found = self._position_of(since.key)
        if found is None:
            return None, False
        index, head = found
        return (index, False) if head.digest == since.digest else (None, True)

    def _position_of(self, key: tuple[int, int]) -> tuple[int, RevisionId] | None:
        """Return the index of the first delta after this key and the revision of the key; None if unknown."""
        if key == self.base.key:
            return 0, self.base
        index = bisect_left(self._keys, key)
        if index == len(self._keys) or self._keys[index] != key:
            return None
        return index + 1, self.deltas[index].revision


def validate_patch(validate: PatchValidator, document: bytes, patch: bytes) -> tuple[bytes | None, str]:
    """Validate a patch on a document; return the patched document, or None and the reason.

    Exceptions are caught because a validator that raises on one odd input would crash all gateways at once.
    """
    if len(patch) > MAX_PATCH_BYTES:
        return None, f"the patch is larger than {MAX_PATCH_BYTES} bytes"
    try:
        patched, reason = validate(document, patch)
    except (ValueError, TypeError, LookupError, ArithmeticError, RecursionError) as error:
        return None, f"validation raised an error: {error}"[:300]
    if patched is not None and len(patched) > MAX_DOCUMENT_BYTES:
        return None, f"the document would be larger than {MAX_DOCUMENT_BYTES} bytes"
    return patched, reason


def apply_deltas(
    validate: PatchValidator, head: RevisionId, document: bytes, reply: RevisionReply
) -> tuple[RevisionId, bytes, tuple[Delta, ...], str, str]:
    """Apply the deltas of a reply in order, up to the first invalid one.

    Returns the head and document reached, the deltas applied, the kind of fault of the invalid one ("bad
    reply", "refused", "bad digest", "" for none), and the reason if it was refused.
    """
    applied: list[Delta] = []
    for delta in reply.deltas[:MAX_REPLY_DELTAS]:
        if not delta.revision.is_valid or not head.key < delta.revision.key <= reply.head.key:
            return head, document, tuple(applied), "bad reply", ""
        patched, reason = validate_patch(validate, document, delta.patch)
        if patched is None:
            return head, document, tuple(applied), "refused", reason
        if digest_of(patched) != delta.revision.digest:
            return head, document, tuple(applied), "bad digest", ""
        head, document = delta.revision, patched
        applied.append(delta)
    return head, document, tuple(applied), "", ""
