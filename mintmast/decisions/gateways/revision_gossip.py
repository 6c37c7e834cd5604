"""Which words of membership tell the configuration in force, and which bring another what it is missing.

Rumour mongering with anti-entropy behind it (Demers and others, PODC 1987, both push and pull). A head in
every word costs 13 bytes up to thirteen times a second, though one changes each eight seconds; and a question
over HTTP for each change, on a connection of its own, a kilobyte more. So the head goes with a probe twice a
second and with the first ones after a change, an answer tells one where the question did, and who sees by it
that another is behind sends along what it lacks, where that is small. HTTP is for the rest.

Pure: time is handed in, µs.
"""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.gateways.revision_types import Delta

RevisionSummary = tuple[int, int, int]  # term, number and mark of a head, as `words.HeadedWord` has them

# probes that tell a head after it has changed: three doublings of those who know, within a second where
# probes go fast; and µs after which any probe does, which where they go slowly are all
ANNOUNCEMENTS, REANNOUNCE_US = 6, 450_000
# µs after which a gateway is sent the same revisions again: they were lost, or refused there, and then a word
# each time would be too much
RESEND_US = 1_000_000
# bytes of revisions in one word, patches and names: what a datagram of 1,200 has room for beside names of 64
MAX_DELTA_BYTES = 700


class RevisionGossip:
    """One gateway's part. `after` gives the revisions after a head, at most so many bytes of them."""

    def __init__(self, deltas_after: Callable[[RevisionSummary, int], tuple[Delta, ...]]) -> None:
        self.head: RevisionSummary | None = None
        self._deltas_after = deltas_after
        self._announcements_left = self._next_announcement_at = 0
        self._sent_at: dict[str, int] = {}  # to whom what is missing was sent since the last change, and when

    def set_head(self, head: RevisionSummary) -> None:
        """Take what is in force now."""
        if head != self.head:
            self.head, self._announcements_left = head, ANNOUNCEMENTS
            self._sent_at.clear()

    def should_announce(self, now: int) -> bool:
        """Tell whether a probe that goes now tells the head."""
        if not self._announcements_left and now < self._next_announcement_at:
            return False
        self._announcements_left, self._next_announcement_at = (
            max(0, self._announcements_left - 1),
            now + REANNOUNCE_US,
        )
        return True

    def should_send_deltas(self, now: int, to: str, summary: RevisionSummary | None) -> bool:
        """Tell whether a gateway that told this is behind, and was not sent what it lacks just now."""
        if summary is None or self.head is None or summary[:2] >= self.head[:2]:
            return False
        return now - self._sent_at.get(to, now - RESEND_US) >= RESEND_US

    def deltas_for(self, now: int, to: str, summary: RevisionSummary) -> tuple[Delta, ...]:
        """Give what a gateway lacks that told this, as far as a word has room for it."""
        if not self.should_send_deltas(now, to, summary):
            return ()
        self._sent_at[to] = now
        return self._deltas_after(summary, MAX_DELTA_BYTES)
