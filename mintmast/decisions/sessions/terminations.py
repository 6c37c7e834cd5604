"""Ends: every session that a host may hold and nobody wants is ended there until that is sure."""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.messages import ScheduleTimer, SendTermination, TerminationAttemptEnded
from mintmast.decisions.sessions.sessions import Session

SECOND = 1_000_000
# µs between tries to end a session at a host that does not confirm, until its lease has run out anyway
RETRY_INTERVAL_US = SECOND // 2
# µs for one try: a host that cannot say yes in this time is asked again
ATTEMPT_TIMEOUT_US = 2 * SECOND


class Terminations:
    """The ends under way of one gateway; `lease` is the length of a lease in µs."""

    def __init__(self, lease: int, emit: Callable[[object], None]) -> None:
        self._lease, self._emit = lease, emit
        self._pending: dict[tuple[int, bytes], tuple[int, int]] = {}  # epoch, when its lease is surely over

    def start(self, now: int, session: Session, server: bytes, timeout: int = ATTEMPT_TIMEOUT_US) -> None:
        """End all epochs of a session at a host; one try takes `wait` µs."""
        expires_at = session.lease.expires_at if session.lease is not None else now
        self._pending[session.number, server] = session.epoch, max(expires_at, now + self._lease)
        self._emit(SendTermination(session.number, server, session.epoch, now + timeout))

    def is_pending(self, event: TerminationAttemptEnded) -> bool:
        """Tell whether a try's end is still of use."""
        return (event.session, event.server) in self._pending

    def handle_attempt_ended(self, now: int, event: TerminationAttemptEnded) -> None:
        """Take the end of a try: sure, or tried again until the lease is over."""
        key = event.session, event.server
        pending = self._pending.get(key)
        if pending is None:
            return
        if event.is_confirmed or now >= pending[1]:
            del self._pending[key]
        else:
            self._emit(ScheduleTimer(now + RETRY_INTERVAL_US, ("end", *key)))

    def retry(self, now: int, session: int, server: bytes) -> None:
        """Try once more."""
        pending = self._pending.get((session, server))
        if pending is not None:
            self._emit(SendTermination(session, server, pending[0], now + ATTEMPT_TIMEOUT_US))
