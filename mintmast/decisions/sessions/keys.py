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
KEY_KEPT = 3600 * SECOND


class Keys:
    """The keys of one gateway. The empty key stands for none and is never held."""

    def __init__(self) -> None:
        self._held: dict[str, int] = {}
        self._spent: dict[str, int] = {}  # until when
        self._order: deque[tuple[int, str]] = deque()

    def holder(self, key: str) -> int:
        """Give the session under way or playing for a key, 0 for none."""
        return self._held.get(key, 0)

    def spent(self, now: int, key: str) -> bool:
        """Tell whether a key must not be set up again."""
        return self._spent.get(key, now) > now

    def spend(self, now: int, key: str, keep: int) -> None:
        """Take it from the records that a key is spent, still to be kept for so many µs."""
        self._spent[key] = now + keep
        self._order.append((now + keep, key))

    def take(self, key: str, session: int) -> None:
        """Let a session stand for a key."""
        if key:
            self._held[key] = session

    def release(self, now: int, key: str, session: int, spend: bool) -> None:
        """Let a session stand for its key no more; with `spend` nobody may for `KEY_KEPT`."""
        if key and self._held.get(key) == session:
            del self._held[key]
            if spend:
                self._spent[key] = now + KEY_KEPT
                self._order.append((now + KEY_KEPT, key))
        while self._order and self._order[0][0] <= now:
            until, key = self._order.popleft()
            if self._spent.get(key) == until:
                del self._spent[key]
