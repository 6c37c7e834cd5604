"""Set-ups: one attempt out for a session, numbered by epochs that only grow, and what became of each."""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.messages import CancelSetUp, SendSetUp, SetUpEnded
from mintmast.decisions.outcomes import OUTCOME_TABLE, Evidence, OutcomeRow, may_have_run
from mintmast.decisions.sessions.leases import Leases
from mintmast.decisions.sessions.sessions import Action, Session, Signal
from mintmast.decisions.sessions.terminations import Terminations

# what must be done before a session leaves, with the reading of its host's clock; `then(now, good)` lets it
RecordBeforeSetUp = Callable[[int, Session, int, Callable[[int, bool], None]], None]


class SetUps:
    """The set-ups of one gateway; `epoch` is the highest ever given, `table` the outcomes (for drills).

    `before` lets an attempt leave, or says that it may not: `unrecorded` hears of that one's end.
    """

    def __init__(
        self,
        leases: Leases,
        terminations: Terminations,
        emit: Callable[[object], None],
        last_epoch: int,
        outcome_table: dict[Evidence, OutcomeRow] | None,
        record_before: RecordBeforeSetUp,
        on_unrecorded: Callable[[int, SetUpEnded], None],
    ) -> None:
        self._record_before, self._on_unrecorded = record_before, on_unrecorded
        self._leases, self._terminations, self._emit = leases, terminations, emit
        self._last_epoch, self._outcome_table = last_epoch, outcome_table or OUTCOME_TABLE
        self.late_starts = 0  # sessions found running after their attempt was given up

    def send(self, now: int, session: Session, server: bytes, timeout_at: int, moved_from: int) -> None:
        """Send an attempt. Raises StepError where one is out, or where the session may not run again."""
        session.apply_signal(Signal.SENT)
        self._last_epoch += 1
        session.server, session.epoch, session.sent_at = server, self._last_epoch, now
        session.attempts += 1
        session.awaits_record, session.lease = True, None
        epoch = self._last_epoch
        until = min(timeout_at or session.deadline, session.deadline)

        def leave(at: int, good: bool) -> None:
            if not session.awaits_record or session.epoch != epoch:
                return  # given up meanwhile, and sure that nothing left
            attempt = session.attempts - 1
            if not good:
                self._on_unrecorded(at, SetUpEnded(session.number, attempt, Evidence.UNRECORDED))
                return
            session.awaits_record, session.sent_at = False, at
            number, clock = self._leases.begin_set_up(at, server, session)
            what = session.number, attempt, server, session.rung, epoch
            self._emit(SendSetUp(*what, until, session.request, number, clock, moved_from))

        self._record_before(now, session, self._leases.last_reading(server), leave)

    def record_end(self, now: int, session: Session | None, event: SetUpEnded) -> OutcomeRow | None:
        """Take what was seen of an attempt; None where it had been given up before.

        That one's end at the host is under way since then. One that may hold it is ended here.
        """
        if session is not None and session.server is not None:
            self._leases.record_reading(session.server, event.status.clock, now, session.sent_at)
        if session is None or not session.has_attempt_out or session.attempts - 1 != event.attempt:
            self.late_starts += event.evidence is Evidence.STARTED
            return None
        row = self._outcome_table[event.evidence]
        session.awaits_record = False
        if row.outcome is not None and session.server is not None:
            session.apply_signal(Signal.NEVER_RAN if row.never_ran else Signal.MAY_HAVE_RUN)
            if may_have_run(event.evidence):  # by what was seen, whatever a drill's table makes of it
                self._terminations.start(now, session, session.server)
        return row

    def give_up(self, now: int, session: Session, signal: Signal) -> None:
        """Call an attempt off, or end what nobody watches."""
        if session.awaits_record:
            session.awaits_record = False
            session.apply_signal(Signal.NEVER_RAN)
            return
        actions = session.apply_signal(signal)
        if Action.CALL_OFF in actions:
            self._emit(CancelSetUp(session.number, session.attempts - 1))
        if Action.END in actions and session.server is not None:
            self._terminations.start(now, session, session.server)
