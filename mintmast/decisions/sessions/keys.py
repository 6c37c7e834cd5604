"""Idempotency keys of viewers' requests: the session that holds each key, and the keys that are used up.

A viewer who retries with the key of a paid session that may have run must not be charged a second time. A
used key is therefore retained after its session's end for as long as a retry may come, which also covers a
duplicate of the request that arrives late. The cost falls on a viewer whose session never played although it
may have run: that viewer must send a new request with a new key. `intents.py` retains used keys over a crash.
"""

from __future__ import annotations

from collections import deque

SECOND = 1_000_000
# µs for which the key of a paid session that may have run is retained: longer than any viewer retries, and
# within a gateway's memory (at 6 keys a second a day is 500,000 keys, an hour 20,000)
KEY_RETENTION_US = 3600 * SECOND


class Keys:
    """The keys of one gateway. The empty key means no key and is never held."""

    def __init__(self) -> None:
        self._holders: dict[str, int] = {}
        self._used_until: dict[str, int] = {}  # until when
        self._expiries: deque[tuple[int, str]] = deque()

    def holder(self, key: str) -> int:
        """Return the session that is being set up or plays for a key, 0 for none."""
        return self._holders.get(key, 0)

    def is_used(self, now: int, key: str) -> bool:
        """Return whether a key is used up, so that no session may be set up for it."""
        return self._used_until.get(key, now) > now

    def mark_used(self, now: int, key: str, duration: int) -> None:
        """Mark a key that was recovered from the records as used for `duration` µs."""
        self._used_until[key] = now + duration
        self._expiries.append((now + duration, key))

    def hold(self, key: str, session: int) -> None:
        """Make a session the holder of a key."""
        if key:
            self._holders[key] = session

    def release(self, now: int, key: str, session: int, mark_used: bool) -> None:
        """Release a session's key; with `mark_used` the key stays unusable for `KEY_RETENTION_US`."""
        if key and self._holders.get(key) == session:
            del self._holders[key]
            if mark_used:
                self._used_until[key] = now + KEY_RETENTION_US
                self._expiries.append((now + KEY_RETENTION_US, key))
        while self._expiries and self._expiries[0][0] <= now:
            until, key = self._expiries.popleft()
            if self._used_until.get(key) == until:
                del self._used_until[key]
