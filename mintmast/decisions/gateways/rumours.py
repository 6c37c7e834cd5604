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

from mintmast.decisions.gateways.revising import Delta

Told = tuple[int, int, int]  # term, number and mark of a head, as `words.HeadedWord` has them

# probes that tell a head after it has changed: three doublings of those who know, within a second where
# probes go fast; and µs after which any probe does, which where they go slowly are all
FRESH, AGAIN_TOLD = 6, 450_000
# µs after which a gateway is sent the same revisions again: they were lost, or refused there, and then a word
# each time would be too much
AGAIN = 1_000_000
# bytes of revisions in one word, patches and names: what a datagram of 1,200 has room for beside names of 64
ROOM = 700


class Rumour:
    """One gateway's part. `after` gives the revisions after a head, at most so many bytes of them."""

    def __init__(self, after: Callable[[Told, int], tuple[Delta, ...]]) -> None:
        self.head: Told | None = None
        self._after = after
        self._fresh = self._next = 0
        self._brought: dict[str, int] = {}  # to whom what is missing was sent since the last change, and when

    def changed(self, head: Told) -> None:
        """Take what is in force now."""
        if head != self.head:
            self.head, self._fresh = head, FRESH
            self._brought.clear()

    def first(self, now: int) -> bool:
        """Tell whether a probe that goes now tells the head."""
        if not self._fresh and now < self._next:
            return False
        self._fresh, self._next = max(0, self._fresh - 1), now + AGAIN_TOLD
        return True

    def owes(self, now: int, to: str, told: Told | None) -> bool:
        """Tell whether a gateway that told this is behind, and was not sent what it lacks just now."""
        if told is None or self.head is None or told[:2] >= self.head[:2]:
            return False
        return now - self._brought.get(to, now - AGAIN) >= AGAIN

    def bring(self, now: int, to: str, told: Told) -> tuple[Delta, ...]:
        """Give what a gateway lacks that told this, as far as a word has room for it."""
        if not self.owes(now, to, told):
            return ()
        self._brought[to] = now
        return self._after(told, ROOM)
