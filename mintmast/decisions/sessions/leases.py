"""Leases of all sessions: readings of hosts' clocks, the calls that give leases, renewals.

The arithmetic stands in `lease.py`; this part numbers the calls, so that a host can pass over old ones, and
knows when which host is asked again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from mintmast.decisions.messages import RenewalEnded, ScheduleTimer, SendRenewal
from mintmast.decisions.sessions.lease import HostClock, Lease, renewal_interval
from mintmast.decisions.sessions.sessions import Session

# sessions in one renewal: some 20 kB, well under what a host takes as a body, and no long turn for either
# side
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
        """Take a reading of a host's clock, in answer to a call sent at `asked` or (None) by itself."""
        if reading >= 0:
            clock = self._clocks.get(server)
            if clock is None:
                clock = self._clocks[server] = HostClock()
            clock.record_reading(reading, now, sent_at)

    def last_reading(self, server: bytes) -> int:
        """Give the last reading of a host's clock in µs, -1 for none."""
        clock = self._clocks.get(server)
        return clock.reading if clock is not None else -1

    def begin_reconciliation(self, now: int, server: bytes, sessions: list[Session]) -> tuple[int, int]:
        """Book a question that gives leases to those which play; give its number and the reading it names."""
        return self._record_call(now, server, sessions, self.length)

    def begin_set_up(self, now: int, server: bytes, session: Session) -> tuple[int, int]:
        """Book the set-up of a session; give the call's number and the reading that it names."""
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
        """Book that a host runs a session, and see to its renewals."""
        lease = session.lease
        if lease is not None:
            lease.record_answer(lease.calls[-1].number)
        if server not in self._renewed_hosts:
            self._renewed_hosts.add(server)
            self._emit(ScheduleTimer(now + self._interval, ("renew", server)))
        if lease is not None and lease.held_until - now < 2 * self._interval:
            # the reading was old when the set-up was sent; the reply brought a fresh one
            self.restore(now, server, session)

    def restore(self, now: int, server: bytes, session: Session) -> None:
        """Give one session its usual lease (again)."""
        self.renew(now, server, [session], now + self._interval, self.length)

    def renew(self, now: int, server: bytes, sessions: list[Session], until: int, length: int) -> int:
        """Renew these sessions' leases at a host for `length`; give the call's number."""
        number, clock = self._record_call(now, server, sessions, length)
        renewed = tuple((each.number, each.epoch, each.rung) for each in sessions)
        self._emit(SendRenewal(server, renewed, until, number, clock, length))
        return number

    def expired(self, now: int, sessions: Iterable[Session]) -> list[Session]:
        """Give those of a host's sessions whose lease is over: unreachable for longer than it lasts."""
        return [each for each in sessions if each.lease is not None and now >= each.lease.expires_at]

    def renew_all(self, now: int, server: bytes, sessions: Iterable[Session]) -> None:
        """Renew what plays at a host and is not on the move, and wake again.

        Danger: a host that answers nothing may still take renewals, so its leases would never be over. Also
        guards against answers lost on the way. A lease not surely held any more is left to run out. May hurt
        when a host is silent for a lease and then goes on: its sessions have ended.
        """
        held_sessions = [each for each in sessions if each.lease is not None and now < each.lease.held_until]
        for first in range(0, len(held_sessions), MAX_SESSIONS_PER_RENEWAL):
            batch = held_sessions[first : first + MAX_SESSIONS_PER_RENEWAL]
            self.renew(now, server, batch, now + self._interval, self.length)
        self._emit(ScheduleTimer(now + self._interval, ("renew", server)))

    def stop_renewing(self, server: bytes) -> None:
        """Wake no more for a host where nothing plays."""
        self._renewed_hosts.discard(server)

    def record_renewal(self, session: Session, event: RenewalEnded) -> None:
        """Book what became of a renewal for a session that the host did not call unknown."""
        if session.lease is None:
            return
        if event.answered:
            session.lease.record_answer(event.call_number)
        elif not event.arrived:
            session.lease.discard_call(event.call_number)
