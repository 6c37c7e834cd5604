"""Ends: every session that a host may hold and nobody wants is ended there until that is sure."""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.messages import EndEnded, SendEnd, Wake
from mintmast.decisions.sessions.sessions import Session

SECOND = 1_000_000
# µs between tries to end a session at a host that does not confirm, until its lease has run out anyway
END_AGAIN = SECOND // 2
# µs for one try: a host that cannot say yes in this time is asked again
END_TIME = 2 * SECOND


class Ends:
    """The ends under way of one gateway; `lease` is the length of a lease in µs."""

    def __init__(self, lease: int, emit: Callable[[object], None]) -> None:
        self._lease, self._emit = lease, emit
        self._under_way: dict[tuple[int, bytes], tuple[int, int]] = {}  # epoch, when its lease is surely over

    def end(self, now: int, session: Session, server: bytes, wait: int = END_TIME) -> None:
        """End all epochs of a session at a host; one try takes `wait` µs."""
        over_at = session.lease.over_at if session.lease is not None else now
        self._under_way[session.number, server] = session.epoch, max(over_at, now + self._lease)
        self._emit(SendEnd(session.number, server, session.epoch, now + wait))

    def awaits(self, event: EndEnded) -> bool:
        """Tell whether a try's end is still of use."""
        return (event.session, event.server) in self._under_way

    def tried(self, now: int, event: EndEnded) -> None:
        """Take the end of a try: sure, or tried again until the lease is over."""
        key = event.session, event.server
        held = self._under_way.get(key)
        if held is None:
            return
        if event.sure or now >= held[1]:
            del self._under_way[key]
        else:
            self._emit(Wake(now + END_AGAIN, ("end", *key)))

    def again(self, now: int, session: int, server: bytes) -> None:
        """Try once more."""
        held = self._under_way.get((session, server))
        if held is not None:
            self._emit(SendEnd(session, server, held[0], now + END_TIME))
