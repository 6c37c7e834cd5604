"""The leases of all sessions: readings of hosts' clocks, calls that grant leases, and renewals.

`lease.py` has the arithmetic. This part numbers the calls, so that a host can ignore outdated ones, and
schedules the renewals of each host.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from mintmast.decisions.messages import RenewalEnded, ScheduleTimer, SendRenewal
from mintmast.decisions.sessions.lease import HostClock, Lease, renewal_interval
from mintmast.decisions.sessions.sessions import Session

# Sessions in one renewal: about 20 kB, well below the body size that a host accepts, and short to process on
# both sides
MAX_SESSIONS_PER_RENEWAL = 200


class Leases:
    """The leases of one gateway; `length` in µs."""

    def __init__(self, length: int, emit: Callable[[object], None]) -> None:
        self.length, self._emit = length, emit
        self._interval = renewal_interval(length)
        self._clocks: dict[bytes, HostClock] = {}
        self._last_call = 0
        self._renewed_hosts: set[bytes] = set()

    def record_reading(self, server: bytes, reading: int, now: int, sent_at: int | None) -> None:
        """Record a reading of a host's clock, in reply to a call sent at `sent_at` or (None) unsolicited."""
        if reading >= 0:
            clock = self._clocks.get(server)
            if clock is None:
                clock = self._clocks[server] = HostClock()
            clock.record_reading(reading, now, sent_at)

    def last_reading(self, server: bytes) -> int:
        """Return the last reading of a host's clock in µs, -1 for none."""
        clock = self._clocks.get(server)
        return clock.reading if clock is not None else -1

    def begin_reconciliation(self, now: int, server: bytes, sessions: list[Session]) -> tuple[int, int]:
        """Record a query that grants leases to playing sessions; return its call number and clock reading."""
        return self._record_call(now, server, sessions, self.length)

    def begin_set_up(self, now: int, server: bytes, session: Session) -> tuple[int, int]:
        """Record the set-up of a session; return its call number and clock reading."""
        session.lease = Lease()
        return self._record_call(now, server, [session], self.length)

    def _record_call(self, now: int, server: bytes, sessions: list[Session], length: int) -> tuple[int, int]:
        self._last_call += 1
        clock = self._clocks.get(server)
        for session in sessions:
            if session.lease is not None:
                session.lease.record_call(self._last_call, now, length, clock)
        return self._last_call, self.last_reading(server)

    def record_started(self, now: int, server: bytes, session: Session) -> None:
        """Record that a host runs a session, and schedule the host's renewals."""
        lease = session.lease
        if lease is not None:
            lease.record_answer(lease.calls[-1].number)
        if server not in self._renewed_hosts:
            self._renewed_hosts.add(server)
            self._emit(ScheduleTimer(now + self._interval, ("renew", server)))
        if lease is not None and lease.held_until - now < 2 * self._interval:
            # the reading was old when the set-up was sent; the reply has brought a newer one
            self.restore(now, server, session)

    def restore(self, now: int, server: bytes, session: Session) -> None:
        """Renew one session's lease for the usual length at once."""
        self.renew(now, server, [session], now + self._interval, self.length)

    def renew(self, now: int, server: bytes, sessions: list[Session], until: int, length: int) -> int:
        """Renew the leases of these sessions at a host for `length` µs; return the call's number."""
        number, clock = self._record_call(now, server, sessions, length)
        renewed = tuple((each.number, each.epoch, each.rung) for each in sessions)
        self._emit(SendRenewal(server, renewed, until, number, clock, length))
        return number

    def expired(self, now: int, sessions: Iterable[Session]) -> list[Session]:
        """Return the sessions whose lease has expired because their host was unreachable for longer."""
        return [each for each in sessions if each.lease is not None and now >= each.lease.expires_at]

    def renew_all(self, now: int, server: bytes, sessions: Iterable[Session]) -> None:
        """Renew the leases of a host's sessions that are not moving, and schedule the next renewal.

        A host whose replies are lost may still process renewals, so that its leases would never expire. A
        lease that the host may no longer hold is therefore not renewed and left to expire. The cost: if a
        host is silent for the length of a lease and then recovers, its sessions have ended.
        """
        held_sessions = [each for each in sessions if each.lease is not None and now < each.lease.held_until]
        for first in range(0, len(held_sessions), MAX_SESSIONS_PER_RENEWAL):
            batch = held_sessions[first : first + MAX_SESSIONS_PER_RENEWAL]
            self.renew(now, server, batch, now + self._interval, self.length)
        self._emit(ScheduleTimer(now + self._interval, ("renew", server)))

    def stop_renewing(self, server: bytes) -> None:
        """Stop the renewals of a host that has no playing sessions."""
        self._renewed_hosts.discard(server)

    def record_renewal(self, session: Session, event: RenewalEnded) -> None:
        """Record the result of a renewal for a session that the host did not report as unknown."""
        if session.lease is None:
            return
        if event.answered:
            session.lease.record_answer(event.call_number)
        elif not event.arrived:
            session.lease.discard_call(event.call_number)
