"""Set-up attempts: at most one under way for a session, numbered by increasing epochs, and their results."""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.messages import CallOff, SendSetUp, SetUpEnded
from mintmast.decisions.outcomes import TABLE, Evidence, Row, may_have_run
from mintmast.decisions.sessions.ends import Ends
from mintmast.decisions.sessions.leases import Leases
from mintmast.decisions.sessions.sessions import Act, Session, Signal

# (now, session, reading of the host's clock, on_recorded): must call `on_recorded(now, is_durable)` once the
# set-up may be sent or must be dropped
Before = Callable[[int, Session, int, Callable[[int, bool], None]], None]


class SetUps:
    """The set-up attempts of one gateway.

    `last_epoch` is the highest epoch ever used; drills replace `outcome_table`. `record_before` decides
    whether a recorded attempt may be sent; `on_unrecorded` is called with the end of one that may not.
    """

    def __init__(
        self,
        leases: Leases,
        ends: Ends,
        emit: Callable[[object], None],
        epoch: int,
        table: dict[Evidence, Row] | None,
        before: Before,
        unrecorded: Callable[[int, SetUpEnded], None],
    ) -> None:
        self._before, self._unrecorded = before, unrecorded
        self._leases, self._ends, self._emit = leases, ends, emit
        self._epoch, self._table = epoch, table or TABLE
        self.late = 0  # sessions that started after their attempt had been abandoned

    def send(self, now: int, session: Session, server: bytes, timeout_at: int, moved_from: int) -> None:
        """Send an attempt. Raises TransitionError if one is under way or the session must not run again."""
        session.take(Signal.SENT)
        self._epoch += 1
        session.server, session.epoch, session.sent_at = server, self._epoch, now
        session.attempts += 1
        session.held_back, session.lease = True, None
        epoch = self._epoch
        until = min(timeout_at or session.deadline, session.deadline)

        def leave(at: int, good: bool) -> None:
            if not session.held_back or session.epoch != epoch:
                return  # abandoned meanwhile, with nothing sent
            attempt = session.attempts - 1
            if not good:
                self._unrecorded(at, SetUpEnded(session.number, attempt, Evidence.UNRECORDED))
                return
            session.held_back, session.sent_at = False, at
            number, clock = self._leases.begin(at, server, session)
            what = session.number, attempt, server, session.rung, epoch
            self._emit(SendSetUp(*what, until, session.ask, number, clock, moved_from))

        self._before(now, session, self._leases.reading(server), leave)

    def ended(self, now: int, session: Session | None, event: SetUpEnded) -> Row | None:
        """Process the end of an attempt and return its outcome row; None if it had been abandoned.

        The termination of an abandoned attempt was started when it was abandoned. Any other attempt that the
        host may hold is terminated here.
        """
        if session is not None and session.server is not None:
            self._leases.heard(session.server, event.told.clock, now, session.sent_at)
        if session is None or not session.out or session.attempts - 1 != event.attempt:
            self.late += event.evidence is Evidence.STARTED
            return None
        row = self._table[event.evidence]
        session.held_back = False
        if row.outcome is not None and session.server is not None:
            session.take(Signal.NEVER_RAN if row.never_ran else Signal.MAY_HAVE_RUN)
            if may_have_run(event.evidence):  # by the real table, even if a drill has replaced the outcomes
                self._ends.end(now, session, session.server)
        return row

    def give_up(self, now: int, session: Session, signal: Signal) -> None:
        """Cancel an attempt, or terminate a session that has no viewer."""
        if session.held_back:
            session.held_back = False
            session.take(Signal.NEVER_RAN)
            return
        acts = session.take(signal)
        if Act.CALL_OFF in acts:
            self._emit(CallOff(session.number, session.attempts - 1))
        if Act.END in acts and session.server is not None:
            self._ends.end(now, session, session.server)
