"""Calls that are over and must not be set up again under the same call reference.

A viewer that leaves may send its set-up once more on another connection. A host may have begun the first one
before it heard of the cancel, so the second would set up a paid call twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# µs for which a call is kept, longer than any viewer waits for an answer
PAST_CALL_TTL_US = 10_000_000
# calls kept; beyond it the oldest is dropped
MAX_PAST_CALLS = 8192


@dataclass(slots=True)
class PastCalls:
    """The call references of recent calls that may have run, with the times of their ends in µs."""

    _ended_at: dict[bytes, int] = field(default_factory=dict)  # oldest first

    def __len__(self) -> int:
        """Return the number of calls that are kept."""
        return len(self._ended_at)

    def record(self, now: int, call_id: bytes) -> None:
        """Record the end of a call."""
        self._drop_expired(now)
        if len(self._ended_at) >= MAX_PAST_CALLS:
            del self._ended_at[next(iter(self._ended_at))]
        self._ended_at.pop(call_id, None)
        self._ended_at[call_id] = now

    def may_have_run(self, now: int, call_id: bytes) -> bool:
        """Return whether a call with this reference ended recently."""
        ended_at = self._ended_at.get(call_id)
        return ended_at is not None and now - ended_at < PAST_CALL_TTL_US

    def _drop_expired(self, now: int) -> None:
        while self._ended_at:
            oldest = next(iter(self._ended_at))
            if now - self._ended_at[oldest] < PAST_CALL_TTL_US:
                return
            del self._ended_at[oldest]
