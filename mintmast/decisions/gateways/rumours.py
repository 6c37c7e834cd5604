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

from mintmast.decisions.gateways.revising import Delta

Told = tuple[int, int, int]  # term, number and digest prefix of a `RevisionId`

# probes that announce a revision after it changed: three doublings of the gateways that know it, within a
# second while probes go fast; and µs after which any probe announces it, which is all there is while they go
# slowly
FRESH, AGAIN_TOLD = 6, 450_000
# µs before the same deltas are sent to a gateway again: they were lost, or rejected there, and in that case
# sending them with each message would be too much
AGAIN = 1_000_000
# bytes of deltas in one message, patches and ids: what fits into a datagram of 1,200 beside names of 64 bytes
ROOM = 700


class Rumour:
    """Revision gossip of one gateway. `deltas_after` returns those after a revision, up to a size."""

    def __init__(self, after: Callable[[Told, int], tuple[Delta, ...]]) -> None:
        self.head: Told | None = None
        self._after = after
        self._fresh = self._next = 0
        self._brought: dict[str, int] = {}  # when deltas were sent to a gateway since the last change

    def changed(self, head: Told) -> None:
        """Set the active revision."""
        if head != self.head:
            self.head, self._fresh = head, FRESH
            self._brought.clear()

    def first(self, now: int) -> bool:
        """Return whether a probe sent now announces the active revision, and count it if so."""
        if not self._fresh and now < self._next:
            return False
        self._fresh, self._next = max(0, self._fresh - 1), now + AGAIN_TOLD
        return True

    def owes(self, now: int, to: str, told: Told | None) -> bool:
        """Return whether a gateway is behind and was not sent the deltas recently."""
        if told is None or self.head is None or told[:2] >= self.head[:2]:
            return False
        return now - self._brought.get(to, now - AGAIN) >= AGAIN

    def bring(self, now: int, to: str, told: Told) -> tuple[Delta, ...]:
        """Return the deltas that a gateway with this revision lacks, as far as they fit into a message."""
        if not self.owes(now, to, told):
            return ()
        self._brought[to] = now
        return self._after(told, ROOM)
