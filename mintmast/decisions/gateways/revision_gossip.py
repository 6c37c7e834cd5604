"""Which membership messages announce the active revision, and which carry the deltas that the receiver lacks.

Rumour mongering backed by anti-entropy, both push and pull (Demers and others, PODC 1987). Announcing the
revision in every message would cost 13 bytes up to thirteen times a second, though one changes only every
eight seconds; requesting each change over HTTP, on a connection of its own, costs a kilobyte more. So probes
announce the revision twice a second and right after a change, and an answer announces it if the request did.
A gateway that sees that another is behind sends the deltas along if they are small. HTTP serves the rest.

Pure: times are passed in, in µs.
"""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.gateways.revision_types import Delta

RevisionSummary = tuple[int, int, int]  # term, number and digest prefix of a `RevisionId`

# probes that announce a revision after it changed: three doublings of the gateways that know it, within a
# second while probes go fast; and µs after which any probe announces it, which is all there is while they go
# slowly
ANNOUNCEMENTS, REANNOUNCE_US = 6, 450_000
# µs before the same deltas are sent to a gateway again: they were lost, or rejected there, and in that case
# sending them with each message would be too much
RESEND_US = 1_000_000
# bytes of deltas in one message, patches and ids: what fits into a datagram of 1,200 beside names of 64 bytes
MAX_DELTA_BYTES = 700


class RevisionGossip:
    """Revision gossip of one gateway. `deltas_after` returns those after a revision, up to a size."""

    def __init__(self, deltas_after: Callable[[RevisionSummary, int], tuple[Delta, ...]]) -> None:
        self.head: RevisionSummary | None = None
        self._deltas_after = deltas_after
        self._announcements_left = self._next_announcement_at = 0
        self._sent_at: dict[str, int] = {}  # when deltas were sent to a gateway since the last change

    def set_head(self, head: RevisionSummary) -> None:
        """Set the active revision."""
        if head != self.head:
            self.head, self._announcements_left = head, ANNOUNCEMENTS
            self._sent_at.clear()

    def should_announce(self, now: int) -> bool:
        """Return whether a probe sent now announces the active revision, and count it if so."""
        if not self._announcements_left and now < self._next_announcement_at:
            return False
        self._announcements_left = max(0, self._announcements_left - 1)
        self._next_announcement_at = now + REANNOUNCE_US
        return True

    def should_send_deltas(self, now: int, to: str, summary: RevisionSummary | None) -> bool:
        """Return whether a gateway is behind and was not sent the deltas recently."""
        if summary is None or self.head is None or summary[:2] >= self.head[:2]:
            return False
        return now - self._sent_at.get(to, now - RESEND_US) >= RESEND_US

    def deltas_for(self, now: int, to: str, summary: RevisionSummary) -> tuple[Delta, ...]:
        """Return the deltas that a gateway with this revision lacks, as far as they fit into a message."""
        if not self.should_send_deltas(now, to, summary):
            return ()
        self._sent_at[to] = now
        return self._deltas_after(summary, MAX_DELTA_BYTES)
