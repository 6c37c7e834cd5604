"""Moves under way: the polls that wait for them, and what each step of the table does.

The table and the planner stand in `moves.py`. A move owns what is known of it: which session goes where, how
long the player's buffer lasts, which polls wait. Sessions do not know that they move.
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
    """A move under way."""

    old: Session
    buffer_until: int  # until when the player's buffer lasts, by its own word (µs)
    began_at: int
    stage: Stage = Stage.PLAYS
    polls: set[int] = field(default_factory=set)
    short_lease_call: int = 0  # number of the call that makes the lease short
    new_number: int = 0
    held_place: tuple[bytes, int] | None = (
        None  # where the module wants the new session, until it is sent there
    )


class MoveCallbacks(Protocol):
    """What moves ask of the book."""

    def dispatch(self, now: int, event: api.Event) -> None:
        """Hand an event to the module and carry out its actions."""

    def request_placement(self, now: int, session: Session) -> None:
        """Ask the module where the session plays."""

    def close(self, now: int, session: Session) -> None:
        """End a session that is not out, without an answer."""

    def send_moved(self, now: int, session: Session, server: bytes, timeout_at: int, moved_from: int) -> None:
        """Send a moved session to the host that was held for it."""


class ActiveMoves:
    """The moves of one gateway."""

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
        self.stay_reasons: dict[
            int, str
        ] = {}  # of sessions on hosts to be left that stay: why, at their last poll
        self._by_old: dict[int, Move] = {}  # by the session that moves
        self._by_new: dict[int, Move] = {}  # by the session that it becomes
        self._successors: dict[int, int] = {}  # moved session: the one that it became
        self._polls: dict[int, Move] = {}

    def apply_settings(self, settings: api.Settings) -> None:
        """Go on with these settings; moves under way end as they began."""
        self._settings = self.planner.settings = settings

    # What others ask

    def is_moving(self, session: int) -> bool:
        """Tell whether a session is on the move off its host."""
        return session in self._by_old

    def is_move_target(self, session: int) -> bool:
        """Tell whether a session stands for one that was moved."""
        return session in self._by_new

    def stage_of(self, session: int) -> Stage | None:
        """Give where a session's move off its host stands."""
        move = self._by_old.get(session)
        return None if move is None else move.stage

    def hold_place(self, session: int, server: bytes, timeout_at: int) -> bool:
        """Keep the place that the module gave to a moved session until the old one is surely over.

        False where the session may be sent at once. Raises AssertionError where the old one may still play.
        """
        move = self._by_new.get(session)
        if move is None or move.stage is Stage.SETTING_UP:
            return False
        if move.stage not in (Stage.PLACING, Stage.REPLACING):
            raise AssertionError("a moved session sent while the old one may play")
        move.held_place = server, timeout_at
        return True

    def moved_from(self, session: int) -> int:
        """Give the session that this one takes the place of, 0 for none."""
        move = self._by_new.get(session)
        return 0 if move is None else move.old.number

    # What happens

    def handle_poll(self, now: int, event: Poll, must_leave: Callable[[bytes], bool]) -> None:
        """Answer a player's poll: at once, or when the move that it begins or joins is through.

        `leave` tells whether a host is to be left.
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
        """Answer a poll no more."""
        move = self._polls.pop(poll_id, None)
        if move is not None:
            move.polls.discard(poll_id)

    def expire_poll(self, poll_id: int) -> None:
        """Answer a poll that waits no longer: play on."""
        move = self._polls.get(poll_id)
        if move is not None:
            self._answer_poll(poll_id, move.old)

    def signal(self, now: int, session: int, signal: Signal) -> None:
        """Tell the move of a session off its host, if there is one, what happened."""
        move = self._by_old.get(session)
        if move is not None:
            self._apply_signal(now, move, signal)

    def handle_playing(self, now: int, session: int) -> None:
        """Take note that a moved session plays at its new host."""
        move = self._by_new.get(session)
        if move is not None:
            self._apply_signal(now, move, Signal.UP)

    def handle_renewal(self, now: int, session: Session, event: RenewalEnded) -> None:
        """Take a renewal's answer: it may be the call that made the lease short."""
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
        """Take note that a session is over, before its move or the module hear more of it."""
        self.stay_reasons.pop(session.number, None)
        move = self._by_new.get(session.number)
        if move is not None and move.new_number == session.number and move.stage is Stage.SETTING_UP:
            self._apply_signal(now, move, Signal.DOWN)

    def handle_session_over(self, now: int, session: int, signal: Signal) -> None:
        """Take note that a playing session is over; nobody asks for what it once was any more."""
        move = self._by_old.get(session)
        if move is not None:
            self._apply_signal(now, move, signal)
            if move.stage in FINAL_STAGES:
                self._by_old.pop(session, None)
        arrival = self._by_new.pop(session, None)
        while arrival is not None:
            self._successors.pop(arrival.old.number, None)
            arrival = self._by_new.pop(arrival.old.number, None)

    # Steps

    def _hold_poll(self, now: int, move: Move, event: Poll) -> None:
        """Hold a poll until the move is through, but not beyond what the player waits."""
        move.polls.add(event.poll_id)
        self._polls[event.poll_id] = move
        self._emit(ScheduleTimer(now + event.timeout, ("poll", event.poll_id)))

    def _answer_poll(self, poll_id: int, session: Session, moved: bool = False) -> None:
        self.cancel_poll(poll_id)
        request, server = session.request, session.server or b""
        place = session.number, server, session.rung, session.epoch
        self._emit(AnswerPoll(poll_id, *place, request.title, request.service, request.best_rung, moved))

    def _apply_signal(self, now: int, move: Move, signal: Signal) -> None:
        """Follow the table; what an act causes at once is followed too."""
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
        """Give a session that stays its usual lease again."""
        if session.server is not None and session.number in self._sessions.playing_at(session.server):
            self._leases.restore(now, session.server, session)

    def _request_place(self, now: int, move: Move) -> Signal:
        """Ask the module for a place; nothing is sent yet."""
        if move.stage is Stage.REPLACING:
            self._close_old(now, move)
        elif not self._retry_budget.allows(
            now
        ):  # spent since the move began: nothing is ended yet, so it stays
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
            self._retry_budget.record_attempt(now)  # with the module, which counts it from the same moment
        else:
            self._by_new.pop(new.number, None)
        return Signal.PLACED if move.held_place is not None else Signal.NO_ROOM

    def _close_old(self, now: int, move: Move) -> None:
        """Take the old session off the module's and the book's account: it is surely over."""
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
