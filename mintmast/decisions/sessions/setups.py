"""Set-up attempts: at most one under way for a session, numbered by increasing epochs, and their results."""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.messages import CancelSetUp, SendSetUp, SetUpEnded
from mintmast.decisions.outcomes import OUTCOME_TABLE, Evidence, OutcomeRow, may_have_run
from mintmast.decisions.sessions.leases import Leases
from mintmast.decisions.sessions.sessions import Action, Session, Signal
from mintmast.decisions.sessions.terminations import Terminations

# (now, session, reading of the host's clock, on_recorded): must call `on_recorded(now, is_durable)` once the
# set-up may be sent or must be dropped
RecordBeforeSetUp = Callable[[int, Session, int, Callable[[int, bool], None]], None]


class SetUps:
    """The set-up attempts of one gateway.

    `last_epoch` is the highest epoch ever used; drills replace `outcome_table`. `record_before` records
    an attempt and then lets it be sent, or not; `on_unrecorded` receives the end of one that may not be sent.
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
        self.late_starts = 0  # sessions that started after their attempt had been abandoned

    def send(self, now: int, session: Session, server: bytes, timeout_at: int, moved_from: int) -> None:
        """Send an attempt. Raises TransitionError if one is under way or the session must not run again."""
        session.apply_signal(Signal.SENT)
        self._last_epoch += 1
        session.server, session.epoch, session.sent_at = server, self._last_epoch, now
        session.attempts += 1
        session.awaits_record, session.lease = True, None
        epoch = self._last_epoch
        until = min(timeout_at or session.deadline, session.deadline)

        def send_if_recorded(at: int, is_durable: bool) -> None:
            if not session.awaits_record or session.epoch != epoch:
                return  # abandoned meanwhile, with nothing sent
            attempt = session.attempts - 1
            if not is_durable:
                self._on_unrecorded(at, SetUpEnded(session.number, attempt, Evidence.UNRECORDED))
                return
            session.awaits_record, session.sent_at = False, at
            number, clock = self._leases.begin_set_up(at, server, session)
            set_up = session.number, attempt, server, session.rung, epoch
            self._emit(SendSetUp(*set_up, until, session.request, number, clock, moved_from))

        self._record_before(now, session, self._leases.last_reading(server), send_if_recorded)

    def record_end(self, now: int, session: Session | None, event: SetUpEnded) -> OutcomeRow | None:
        """Process the end of an attempt and return its outcome row; None if it had been abandoned.

        The termination of an abandoned attempt was started when it was abandoned. Any other attempt that the
        host may hold is terminated here.
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
            if may_have_run(event.evidence):  # by the real table, even if a drill has replaced the outcomes
                self._terminations.start(now, session, session.server)
        return row

    def give_up(self, now: int, session: Session, signal: Signal) -> None:
        """Cancel an attempt, or terminate a session that has no viewer."""
        if session.awaits_record:
            session.awaits_record = False
            session.apply_signal(Signal.NEVER_RAN)
            return
        actions = session.apply_signal(signal)
        if Action.CALL_OFF in actions:
            self._emit(CancelSetUp(session.number, session.attempts - 1))
        if Action.END in actions and session.server is not None:
            self._terminations.start(now, session, session.server)
