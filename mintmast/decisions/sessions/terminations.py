"""Terminates every session that a host may hold and no viewer wants, with retries until it is confirmed."""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.messages import ScheduleTimer, SendTermination, TerminationAttemptEnded
from mintmast.decisions.sessions.sessions import Session

SECOND = 1_000_000
# µs between attempts to terminate a session at a host that does not confirm, until the lease has expired
RETRY_INTERVAL_US = SECOND // 2
# µs that one attempt waits for the host's confirmation before it counts as failed
ATTEMPT_TIMEOUT_US = 2 * SECOND


class Terminations:
    """The pending terminations of one gateway; `lease` is the length of a lease in µs."""

    def __init__(self, lease: int, emit: Callable[[object], None]) -> None:
        self._lease, self._emit = lease, emit
        self._pending: dict[tuple[int, bytes], tuple[int, int]] = {}  # epoch, latest expiry of the lease

    def start(self, now: int, session: Session, server: bytes, timeout: int = ATTEMPT_TIMEOUT_US) -> None:
        """Terminate all epochs of a session at a host; the first attempt takes at most `timeout` µs."""
        expires_at = session.lease.expires_at if session.lease is not None else now
        self._pending[session.number, server] = session.epoch, max(expires_at, now + self._lease)
        self._emit(SendTermination(session.number, server, session.epoch, now + timeout))

    def is_pending(self, event: TerminationAttemptEnded) -> bool:
        """Return whether the termination that an attempt belongs to is still pending."""
        return (event.session, event.server) in self._pending

    def handle_attempt_ended(self, now: int, event: TerminationAttemptEnded) -> None:
        """Process the end of an attempt; schedule a retry unless it is confirmed or the lease has expired."""
        key = event.session, event.server
        pending = self._pending.get(key)
        if pending is None:
            return
        if event.is_confirmed or now >= pending[1]:
            del self._pending[key]
        else:
            self._emit(ScheduleTimer(now + RETRY_INTERVAL_US, ("end", *key)))

    def retry(self, now: int, session: int, server: bytes) -> None:
        """Send the next attempt of a pending termination."""
        pending = self._pending.get((session, server))
        if pending is not None:
            self._emit(SendTermination(session, server, pending[0], now + ATTEMPT_TIMEOUT_US))
