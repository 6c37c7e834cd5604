"""Keys of viewers' wishes: which session stands for one now, and which must not be set up again.

The danger is a second charge: a viewer who comes again with the key of a paid session that may have run. A
key that is spent is kept after its session's end for as long as a second try may come. It also guards against
a copy of the ask that arrives late. It may hurt a viewer whose session never came through though it may have
run: he needs a new key, that is a new wish. `intents.py` keeps it over a death.
"""

from __future__ import annotations

from collections import deque

SECOND = 1_000_000
# µs for which the key of a paid session that may have run is kept: past any viewer's second try, within what
# a gateway can hold (a day at 6 a second is 500,000 keys; an hour is 20,000)
KEY_RETENTION_US = 3600 * SECOND


class Keys:
    """The keys of one gateway. The empty key stands for none and is never held."""

    def __init__(self) -> None:
        self._holders: dict[str, int] = {}
        self._used_until: dict[str, int] = {}  # until when
        self._expiries: deque[tuple[int, str]] = deque()

    def holder(self, key: str) -> int:
        """Give the session under way or playing for a key, 0 for none."""
        return self._holders.get(key, 0)

    def is_used(self, now: int, key: str) -> bool:
        """Tell whether a key must not be set up again."""
        return self._used_until.get(key, now) > now

    def mark_used(self, now: int, key: str, duration: int) -> None:
        """Take it from the records that a key is spent, still to be kept for so many µs."""
        self._used_until[key] = now + duration
        self._expiries.append((now + duration, key))

    def hold(self, key: str, session: int) -> None:
        """Let a session stand for a key."""
        if key:
            self._holders[key] = session

    def release(self, now: int, key: str, session: int, mark_used: bool) -> None:
        """Let a session stand for its key no more; with `spend` nobody may for `KEY_KEPT`."""
        if key and self._holders.get(key) == session:
            del self._holders[key]
            if mark_used:
                self._used_until[key] = now + KEY_RETENTION_US
                self._expiries.append((now + KEY_RETENTION_US, key))
        while self._expiries and self._expiries[0][0] <= now:
            until, key = self._expiries.popleft()
            if self._used_until.get(key) == until:
                del self._used_until[key]
