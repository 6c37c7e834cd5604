"""Active moves: the polls that wait for them, and the execution of the state machine's actions.

`moves.py` has the state machine and the planner. A move owns its state: the old and the new session, how long
the player's buffer lasts, and the waiting polls. Sessions hold no state of their moves.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from mintmast import interface as api
from mintmast.decisions.messages import AnswerPoll, LogEvent, Poll, RenewalEnded, ScheduleTimer
from mintmast.decisions.sessions import moves
from mintmast.decisions.sessions.budget import RetryBudget
from mintmast.decisions.sessions.leases import Leases
from mintmast.decisions.sessions.moves import FINAL_STAGES, Action, MovePlanner, Signal, Stage
from mintmast.decisions.sessions.sessions import Session, Sessions
from mintmast.decisions.sessions.terminations import Terminations
from mintmast.interface import Effect, Outcome

SECOND = 1_000_000


@dataclass(slots=True, eq=False)
class Move:
    """One active move."""

    old: Session
    buffer_until: int  # when the player's buffer runs out, as reported by the player (µs)
    began_at: int
    stage: Stage = Stage.PLAYS
    polls: set[int] = field(default_factory=set)
    short_lease_call: int = 0  # call number of the renewal that shortens the lease
    new_number: int = 0
    held_place: tuple[bytes, int] | None = None  # host and timeout of the new session until it is sent


class MoveCallbacks(Protocol):
    """The book's operations that moves call."""

    def dispatch(self, now: int, event: api.Event) -> None:
        """Pass an event to the module and execute its actions."""

    def request_placement(self, now: int, session: Session) -> None:
        """Request a host for the session from the module."""

    def close(self, now: int, session: Session) -> None:
        """Close a session that has no attempt under way, without an answer."""

    def send_moved(self, now: int, session: Session, server: bytes, timeout_at: int, moved_from: int) -> None:
        """Send a moved session's set-up to the host where a place was held for it."""


class ActiveMoves:
    """The active moves of one gateway."""

    def __init__(
        self,
        settings: api.Settings,
        callbacks: MoveCallbacks,
        sessions: Sessions,
        leases: Leases,
        terminations: Terminations,
        retry_budget: RetryBudget,
        emit: Callable[[object], None],
    ) -> None:
        self._settings, self._callbacks, self._emit = settings, callbacks, emit
        self._sessions, self._leases, self._terminations = sessions, leases, terminations
        self._retry_budget = retry_budget
        self.planner = MovePlanner(settings, retry_budget)
        self.counts = {"moved": 0, "lost": 0, "stayed": 0, "over": 0}
        self.stay_reasons: dict[int, str] = {}  # why a session stays on a draining host, as of its last poll
        self._by_old: dict[int, Move] = {}  # by the old session
        self._by_new: dict[int, Move] = {}  # by the new session
        self._successors: dict[int, int] = {}  # old session: new session
        self._polls: dict[int, Move] = {}

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings; active moves keep the limits that they started with."""
        self._settings = self.planner.settings = settings

    # Queries

    def is_moving(self, session: int) -> bool:
        """Return whether a session is being moved off its host."""
        return session in self._by_old

    def is_move_target(self, session: int) -> bool:
        """Return whether a session replaces one that was moved."""
        return session in self._by_new

    def stage_of(self, session: int) -> Stage | None:
        """Return the stage of a session's move off its host, None if it is not moving."""
        move = self._by_old.get(session)
        return None if move is None else move.stage

    def hold_place(self, session: int, server: bytes, timeout_at: int) -> bool:
        """Hold the place that the module chose for a moved session until the old one has certainly ended.

        Returns False if the session may be sent at once. Raises AssertionError if the old session may still
        play.
        """
        move = self._by_new.get(session)
        if move is None or move.stage is Stage.SETTING_UP:
            return False
        if move.stage not in (Stage.PLACING, Stage.REPLACING):
            raise AssertionError("set-up of a moved session requested while the old session may still play")
        move.held_place = server, timeout_at
        return True

    def moved_from(self, session: int) -> int:
        """Return the session that this one replaces, 0 for none."""
        move = self._by_new.get(session)
        return 0 if move is None else move.old.number

    # Events

    def handle_poll(self, now: int, event: Poll, must_leave: Callable[[bytes], bool]) -> None:
        """Answer a player's poll at once, or when the move that it starts or joins has ended.

        `must_leave` returns whether sessions are to leave a host.
        """
        number = event.session
        while number in self._successors:
            number = self._successors[number]
        session = self._sessions.get(number)
        if session is None or session.server is None:
            self._emit(AnswerPoll(event.poll_id, is_closed=True))
            return
        move = self._by_old.get(number) or (None if session.is_playing else self._by_new.get(number))
        if move is not None and move.stage not in FINAL_STAGES:
            self._hold_poll(now, move, event)
            return
        moved = number != event.session
        if not session.is_playing or not must_leave(session.server):
            self._answer_poll(event.poll_id, session, moved)
            return
        service = self._settings.classes[session.request.service]
        length = session.request.length
        remaining = session.first_played_at + length - now if length else None
        reason = self.planner.reason_to_stay(now, session.server, number, service, remaining, event.buffer)
        if reason:
            self.stay_reasons[number] = reason
            self._answer_poll(event.poll_id, session, moved)
            return
        self.planner.begin_move(now, session.server, number)
        move = self._by_old[number] = Move(session, now + event.buffer, now)
        self._hold_poll(now, move, event)
        self._apply_signal(now, move, Signal.GRANTED)

    def cancel_poll(self, poll_id: int) -> None:
        """Cancel a waiting poll without an answer."""
        move = self._polls.pop(poll_id, None)
        if move is not None:
            move.polls.discard(poll_id)

    def expire_poll(self, poll_id: int) -> None:
        """Answer a poll that timed out with the session's present host."""
        move = self._polls.get(poll_id)
        if move is not None:
            self._answer_poll(poll_id, move.old)

    def signal(self, now: int, session: int, signal: Signal) -> None:
        """Apply a signal to the move of a session off its host, if there is one."""
        move = self._by_old.get(session)
        if move is not None:
            self._apply_signal(now, move, signal)

    def handle_playing(self, now: int, session: int) -> None:
        """Complete the move of a session that now plays at its new host."""
        move = self._by_new.get(session)
        if move is not None:
            self._apply_signal(now, move, Signal.UP)

    def handle_renewal(self, now: int, session: Session, event: RenewalEnded) -> None:
        """Process a renewal's result, which may be that of the call that shortens the lease."""
        move = self._by_old.get(session.number)
        if move is None or move.short_lease_call != event.call_number or not event.answered:
            return
        lease = move.old.lease
        if move.stage is Stage.PREPARING and lease is not None:
            is_short = lease.rests_on_readings and moves.buffer_covers_move(
                move.buffer_until - now, lease.expires_at - now
            )
            self._apply_signal(now, move, Signal.SHORT if is_short else Signal.NOT_SHORT)

    def handle_closed(self, now: int, session: Session) -> None:
        """Process the closing of a session before its move or the module receive further events of it."""
        self.stay_reasons.pop(session.number, None)
        move = self._by_new.get(session.number)
        if move is not None and move.new_number == session.number and move.stage is Stage.SETTING_UP:
            self._apply_signal(now, move, Signal.DOWN)

    def handle_session_over(self, now: int, session: int, signal: Signal) -> None:
        """Process the end of a playing session and forget the sessions that it replaced."""
        move = self._by_old.get(session)
        if move is not None:
            self._apply_signal(now, move, signal)
            if move.stage in FINAL_STAGES:
                self._by_old.pop(session, None)
        arrival = self._by_new.pop(session, None)
        while arrival is not None:
            self._successors.pop(arrival.old.number, None)
            arrival = self._by_new.pop(arrival.old.number, None)

    # Transitions

    def _hold_poll(self, now: int, move: Move, event: Poll) -> None:
        """Hold a poll until the move has ended or the player's timeout expires."""
        move.polls.add(event.poll_id)
        self._polls[event.poll_id] = move
        self._emit(ScheduleTimer(now + event.timeout, ("poll", event.poll_id)))

    def _answer_poll(self, poll_id: int, session: Session, moved: bool = False) -> None:
        self.cancel_poll(poll_id)
        request, server = session.request, session.server or b""
        placement = session.number, server, session.rung, session.epoch
        self._emit(AnswerPoll(poll_id, *placement, request.title, request.service, request.best_rung, moved))

    def _apply_signal(self, now: int, move: Move, signal: Signal) -> None:
        """Apply a signal and execute the transition's actions, then any signal that an action causes."""
        stage, actions = moves.transition_for(move.stage, signal)
        if (stage, actions) == (move.stage, ()):
            return
        before, move.stage = move.stage, stage
        old = move.old
        if stage is Stage.PLAYS or stage in FINAL_STAGES:
            self.planner.end_move(now, old.server or b"", old.number, signal)
            outcome = {Stage.PLAYS: "stayed", Stage.MOVED: "moved", Stage.LOST: "lost", Stage.OVER: "over"}
            self.counts[outcome[stage]] += 1
            duration_ms = (now - move.began_at) // 1000
            fields = (
                ("session", old.number),
                ("from", old.server),
                ("after", before.value),
                ("by", signal.value),
            )
            self._emit(LogEvent("move_" + outcome[stage], (*fields, ("took_ms", duration_ms))))
        if stage is Stage.PLAYS:
            self._by_old.pop(old.number, None)
            self._restore_lease(now, old)
        for action in actions:
            next_signal = self._execute(now, move, action)
            if next_signal is not None:
                self._apply_signal(now, move, next_signal)
        if move.stage in FINAL_STAGES and self._sessions.get(old.number) is None:
            self._by_old.pop(old.number, None)

    def _execute(self, now: int, move: Move, action: Action) -> Signal | None:
        old, server = move.old, move.old.server or b""
        match action:
            case Action.SHORTEN:
                until = now + moves.PREPARE_TIMEOUT_US
                move.short_lease_call = self._leases.renew(now, server, [old], until, moves.SHORT_LEASE_US)
                self._emit(ScheduleTimer(until, ("move", old.number, Signal.NOT_SHORT)))
            case Action.PLACE:
                return self._request_place(now, move)
            case Action.END:
                self._terminations.start(now, old, server, moves.MOVE_TERMINATION_TIMEOUT_US)
                expires_at = old.lease.expires_at if old.lease is not None else now
                self._emit(
                    ScheduleTimer(
                        now + moves.MOVE_TERMINATION_TIMEOUT_US, ("move", old.number, Signal.OVERDUE)
                    )
                )
                self._emit(ScheduleTimer(expires_at, ("move", old.number, Signal.LEASE_OVER)))
            case Action.RELEASE:
                new = self._sessions.get(move.new_number)
                held_place, move.held_place = move.held_place, None
                if new is not None and held_place is not None:
                    self._callbacks.dispatch(
                        now, api.AttemptEnd(new.number, 0, held_place[0], Outcome.NOT_SENT, 0, True)
                    )
                    self._callbacks.close(now, new)
                self._by_new.pop(move.new_number, None)
            case Action.SET_UP:
                return self._send_set_up(now, move)
            case Action.LEAD:
                new = self._sessions.get(move.new_number)
                for poll_id in list(move.polls):
                    if new is not None:
                        self._answer_poll(poll_id, new, moved=True)
            case Action.STAY:
                for poll_id in list(move.polls):
                    self._answer_poll(poll_id, old)
            case Action.TELL_LOST:
                self._answer_closed(move)
                self._close_old(now, move)
                self._successors.pop(old.number, None)
                self._by_new.pop(move.new_number, None)
            case Action.CALL_OFF:
                new = self._sessions.get(move.new_number)
                if new is not None and new.has_attempt_out:
                    self._callbacks.dispatch(now, api.ViewerGone(new.number))
            case Action.FORGET:
                self._answer_closed(move)
        return None

    def _answer_closed(self, move: Move) -> None:
        for poll_id in list(move.polls):
            self._polls.pop(poll_id, None)
            self._emit(AnswerPoll(poll_id, is_closed=True))
        move.polls.clear()

    def _restore_lease(self, now: int, session: Session) -> None:
        """Restore the usual lease of a session that stays at its host."""
        if session.server is not None and session.number in self._sessions.playing_at(session.server):
            self._leases.restore(now, session.server, session)

    def _request_place(self, now: int, move: Move) -> Signal:
        """Request a place from the module; the set-up is sent later."""
        if move.stage is Stage.REPLACING:
            self._close_old(now, move)
        elif not self._retry_budget.allows(now):
            # used up since the move began; nothing has been terminated yet
            return Signal.NO_ROOM
        request = move.old.request
        remaining = max(SECOND, move.old.first_played_at + request.length - now) if request.length else 0
        deadline = now + self._settings.classes[request.service].deadline
        request = msgspec.structs.replace(request, request_id=0, length=remaining, moved=True, is_retry=True)
        new = self._sessions.open(request, deadline, Effect(move.old.effect))
        new.first_played_at, move.new_number = move.old.first_played_at, new.number
        self._by_new[new.number] = move
        self._callbacks.request_placement(now, new)
        if move.held_place is not None:
            self._retry_budget.record_attempt(now)  # now, because the module counts it from the same moment
        else:
            self._by_new.pop(new.number, None)
        return Signal.PLACED if move.held_place is not None else Signal.NO_ROOM

    def _close_old(self, now: int, move: Move) -> None:
        """Close the old session, which has certainly ended, in the book and the module."""
        old = move.old
        self._successors[old.number] = move.new_number
        if self._sessions.get(old.number) is not None:
            server, attempt = old.server or b"", old.attempts - 1
            self._callbacks.close(now, old)
            self._callbacks.dispatch(
                now, api.AttemptEnd(old.number, attempt, server, Outcome.CANCELLED, 0, True)
            )

    def _send_set_up(self, now: int, move: Move) -> Signal | None:
        self._close_old(now, move)
        new, held_place, move.held_place = self._sessions.get(move.new_number), move.held_place, None
        if new is None or held_place is None:
            return Signal.DOWN
        self._callbacks.send_moved(now, new, held_place[0], held_place[1], move.old.number)
        return None
