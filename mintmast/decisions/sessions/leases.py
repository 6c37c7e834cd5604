"""The leases of all sessions: readings of hosts' clocks, calls that grant leases, and renewals.

`lease.py` has the arithmetic. This part numbers the calls, so that a host can ignore outdated ones, and
schedules the renewals of each host.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from mintmast.decisions.messages import Renewed, SendRenew, Wake
from mintmast.decisions.sessions.lease import HostClock, Lease, renew_every
from mintmast.decisions.sessions.sessions import Session

# Sessions in one renewal: about 20 kB, well below the body size that a host accepts, and short to process on
# both sides
RENEWED_AT_ONCE = 200


class Leases:
    """The leases of one gateway; `length` in µs."""

    def __init__(self, length: int, emit: Callable[[object], None]) -> None:
        self.length, self._emit = length, emit
        self._every = renew_every(length)
        self._clocks: dict[bytes, HostClock] = {}
        self._calls = 0
        self._renewing: set[bytes] = set()

    def heard(self, server: bytes, reading: int, now: int, asked: int | None) -> None:
        """Record a reading of a host's clock, in reply to a call sent at `sent_at` or (None) unsolicited."""
        if reading >= 0:
            clock = self._clocks.get(server)
            if clock is None:
                clock = self._clocks[server] = HostClock()
            clock.heard(reading, now, asked)

    def reading(self, server: bytes) -> int:
        """Return the last reading of a host's clock in µs, -1 for none."""
        clock = self._clocks.get(server)
        return clock.reading if clock is not None else -1

    def ask(self, now: int, server: bytes, sessions: list[Session]) -> tuple[int, int]:
        """Record a query that grants leases to playing sessions; return its call number and clock reading."""
        return self._call(now, server, sessions, self.length)

    def begin(self, now: int, server: bytes, session: Session) -> tuple[int, int]:
        """Record the set-up of a session; return its call number and clock reading."""
        session.lease = Lease()
        return self._call(now, server, [session], self.length)

    def _call(self, now: int, server: bytes, sessions: list[Session], length: int) -> tuple[int, int]:
        self._calls += 1
        clock = self._clocks.get(server)
        for session in sessions:
            if session.lease is not None:
                session.lease.asked(self._calls, now, length, clock)
        return self._calls, self.reading(server)

    def started(self, now: int, server: bytes, session: Session) -> None:
        """Record that a host runs a session, and schedule the host's renewals."""
        lease = session.lease
        if lease is not None:
            lease.answered(lease.calls[-1].number)
        if server not in self._renewing:
            self._renewing.add(server)
            self._emit(Wake(now + self._every, ("renew", server)))
        if lease is not None and lease.sure_until - now < 2 * self._every:
            # the reading was old when the set-up was sent; the reply has brought a newer one
            self.restore(now, server, session)

    def restore(self, now: int, server: bytes, session: Session) -> None:
        """Renew one session's lease for the usual length at once."""
        self.renew(now, server, [session], now + self._every, self.length)

    def renew(self, now: int, server: bytes, sessions: list[Session], until: int, length: int) -> int:
        """Renew the leases of these sessions at a host for `length` µs; return the call's number."""
        number, clock = self._call(now, server, sessions, length)
        told = tuple((each.number, each.epoch, each.rung) for each in sessions)
        self._emit(SendRenew(server, told, until, number, clock, length))
        return number

    def over(self, now: int, sessions: Iterable[Session]) -> list[Session]:
        """Return the sessions whose lease has expired because their host was unreachable for longer."""
        return [each for each in sessions if each.lease is not None and now >= each.lease.over_at]

    def renew_all(self, now: int, server: bytes, sessions: Iterable[Session]) -> None:
        """Renew the leases of a host's sessions that are not moving, and schedule the next renewal.

        A host whose replies are lost may still process renewals, so that its leases would never expire. A
        lease that the host may no longer hold is therefore not renewed and left to expire. The cost: if a
        host is silent for the length of a lease and then recovers, its sessions have ended.
        """
        held = [each for each in sessions if each.lease is not None and now < each.lease.sure_until]
        for first in range(0, len(held), RENEWED_AT_ONCE):
            some = held[first : first + RENEWED_AT_ONCE]
            self.renew(now, server, some, now + self._every, self.length)
        self._emit(Wake(now + self._every, ("renew", server)))

    def rest(self, server: bytes) -> None:
        """Stop the renewals of a host that has no playing sessions."""
        self._renewing.discard(server)

    def renewed(self, session: Session, event: Renewed) -> None:
        """Record the result of a renewal for a session that the host did not report as unknown."""
        if session.lease is None:
            return
        if event.answered:
            session.lease.answered(event.number)
        elif not event.arrived:
            session.lease.never_came(event.number)
