"""Ends of sessions that were reported before the sessions were handed over to this gateway.

After a restart, hosts report ends on any connection, so the end of a session can arrive before its handover
is read. Without a record of it the session would count as playing for ever.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mintmast.interface import Outcome

# µs after the first passed health check in which playing sessions may be handed over; the platform hands over
# those of a restart at once
HANDOVER_WINDOW_US = 10_000_000
# ends kept in that time
MAX_EARLY_ENDS = 4096
# in place of a host: the viewer ended the session, wherever it plays
_ANY_HOST = b""


@dataclass(slots=True)
class EarlyEnds:
    """The window for handovers, and the ends that were reported in it.

    An end concerns the session at the host that reported it: another host may repeat the release of an
    earlier attempt for the same call, while the session plays elsewhere.
    """

    handover_until: int | None = None  # None until a health check has passed
    _outcomes: dict[tuple[bytes, bytes], Outcome] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of recorded ends."""
        return len(self._outcomes)

    def open_window(self, now: int) -> int | None:
        """Open the window for handovers, once; return its end if it was opened now, else None."""
        if self.handover_until is not None:
            return None
        self.handover_until = now + HANDOVER_WINDOW_US
        return self.handover_until

    def may_hand_over(self, now: int) -> bool:
        """Return whether sessions may be handed over now."""
        return self.handover_until is None or now <= self.handover_until

    def record_host_end(self, now: int, call_id: bytes, host: bytes, outcome: Outcome) -> None:
        """Record an end that a host reported."""
        self._record(now, (call_id, host), outcome)

    def record_viewer_end(self, now: int, call_id: bytes) -> None:
        """Record that the viewer ended the session."""
        self._record(now, (call_id, _ANY_HOST), Outcome.CANCELLED)

    def find(self, call_id: bytes, host: bytes) -> Outcome | None:
        """Return how the session at `host` ended, CANCELLED if by its viewer, or None if no end is known."""
        by_host = self._outcomes.get((call_id, host))
        return self._outcomes.get((call_id, _ANY_HOST), by_host)

    def clear(self) -> None:
        """Forget all ends."""
        self._outcomes.clear()

    def _record(self, now: int, key: tuple[bytes, bytes], outcome: Outcome) -> None:
        if self.may_hand_over(now) and len(self._outcomes) < MAX_EARLY_ENDS:
            self._outcomes[key] = outcome
