"""Terminates every session that a host may hold and no viewer wants, with retries until it is confirmed."""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.messages import EndEnded, SendEnd, Wake
from mintmast.decisions.sessions.sessions import Session

SECOND = 1_000_000
# µs between attempts to terminate a session at a host that does not confirm, until the lease has expired
END_AGAIN = SECOND // 2
# µs that one attempt waits for the host's confirmation before it counts as failed
END_TIME = 2 * SECOND


class Ends:
    """The pending terminations of one gateway; `lease` is the length of a lease in µs."""

    def __init__(self, lease: int, emit: Callable[[object], None]) -> None:
        self._lease, self._emit = lease, emit
        self._under_way: dict[tuple[int, bytes], tuple[int, int]] = {}  # epoch, latest expiry of the lease

    def end(self, now: int, session: Session, server: bytes, wait: int = END_TIME) -> None:
        """Terminate all epochs of a session at a host; the first attempt takes at most `timeout` µs."""
        over_at = session.lease.over_at if session.lease is not None else now
        self._under_way[session.number, server] = session.epoch, max(over_at, now + self._lease)
        self._emit(SendEnd(session.number, server, session.epoch, now + wait))

    def awaits(self, event: EndEnded) -> bool:
        """Return whether the termination that an attempt belongs to is still pending."""
        return (event.session, event.server) in self._under_way

    def tried(self, now: int, event: EndEnded) -> None:
        """Process the end of an attempt; schedule a retry unless it is confirmed or the lease has expired."""
        key = event.session, event.server
        held = self._under_way.get(key)
        if held is None:
            return
        if event.sure or now >= held[1]:
            del self._under_way[key]
        else:
            self._emit(Wake(now + END_AGAIN, ("end", *key)))

    def again(self, now: int, session: int, server: bytes) -> None:
        """Send the next attempt of a pending termination."""
        held = self._under_way.get((session, server))
        if held is not None:
            self._emit(SendEnd(session, server, held[0], now + END_TIME))
