"""Leases of all sessions: readings of hosts' clocks, the calls that give leases, renewals.

The arithmetic stands in `lease.py`; this part numbers the calls, so that a host can pass over old ones, and
knows when which host is asked again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from mintmast.decisions.messages import Renewed, SendRenew, Wake
from mintmast.decisions.sessions.lease import HostClock, Lease, renew_every
from mintmast.decisions.sessions.sessions import Session

# sessions in one renewal: some 20 kB, well under what a host takes as a body, and no long turn for either
# side
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
        """Take a reading of a host's clock, in answer to a call sent at `asked` or (None) by itself."""
        if reading >= 0:
            clock = self._clocks.get(server)
            if clock is None:
                clock = self._clocks[server] = HostClock()
            clock.heard(reading, now, asked)

    def reading(self, server: bytes) -> int:
        """Give the last reading of a host's clock in µs, -1 for none."""
        clock = self._clocks.get(server)
        return clock.reading if clock is not None else -1

    def ask(self, now: int, server: bytes, sessions: list[Session]) -> tuple[int, int]:
        """Book a question that gives leases to those which play; give its number and the reading it names."""
        return self._call(now, server, sessions, self.length)

    def begin(self, now: int, server: bytes, session: Session) -> tuple[int, int]:
        """Book the set-up of a session; give the call's number and the reading that it names."""
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
        """Book that a host runs a session, and see to its renewals."""
        lease = session.lease
        if lease is not None:
            lease.answered(lease.calls[-1].number)
        if server not in self._renewing:
            self._renewing.add(server)
            self._emit(Wake(now + self._every, ("renew", server)))
        if lease is not None and lease.sure_until - now < 2 * self._every:
            # the reading was old when the set-up was sent; the reply brought a fresh one
            self.restore(now, server, session)

    def restore(self, now: int, server: bytes, session: Session) -> None:
        """Give one session its usual lease (again)."""
        self.renew(now, server, [session], now + self._every, self.length)

    def renew(self, now: int, server: bytes, sessions: list[Session], until: int, length: int) -> int:
        """Renew these sessions' leases at a host for `length`; give the call's number."""
        number, clock = self._call(now, server, sessions, length)
        told = tuple((each.number, each.epoch, each.rung) for each in sessions)
        self._emit(SendRenew(server, told, until, number, clock, length))
        return number

    def over(self, now: int, sessions: Iterable[Session]) -> list[Session]:
        """Give those of a host's sessions whose lease is over: unreachable for longer than it lasts."""
        return [each for each in sessions if each.lease is not None and now >= each.lease.over_at]

    def renew_all(self, now: int, server: bytes, sessions: Iterable[Session]) -> None:
        """Renew what plays at a host and is not on the move, and wake again.

        Danger: a host that answers nothing may still take renewals, so its leases would never be over. Also
        guards against answers lost on the way. A lease not surely held any more is left to run out. May hurt
        when a host is silent for a lease and then goes on: its sessions have ended.
        """
        held = [each for each in sessions if each.lease is not None and now < each.lease.sure_until]
        for first in range(0, len(held), RENEWED_AT_ONCE):
            some = held[first : first + RENEWED_AT_ONCE]
            self.renew(now, server, some, now + self._every, self.length)
        self._emit(Wake(now + self._every, ("renew", server)))

    def rest(self, server: bytes) -> None:
        """Wake no more for a host where nothing plays."""
        self._renewing.discard(server)

    def renewed(self, session: Session, event: Renewed) -> None:
        """Book what became of a renewal for a session that the host did not call unknown."""
        if session.lease is None:
            return
        if event.answered:
            session.lease.answered(event.number)
        elif not event.arrived:
            session.lease.never_came(event.number)
