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
from mintmast.decisions.messages import Poll, Renewed, Say, Steer, Wake
from mintmast.decisions.sessions import moves
from mintmast.decisions.sessions.budget import Budget
from mintmast.decisions.sessions.ends import Ends
from mintmast.decisions.sessions.leases import Leases
from mintmast.decisions.sessions.moves import FINAL, Act, MovePlanner, Signal, Stage
from mintmast.decisions.sessions.sessions import Session, Sessions
from mintmast.interface import Effect, Outcome

SECOND = 1_000_000


@dataclass(slots=True, eq=False)
class Move:
    """One active move."""

    old: Session
    buffer_until: int  # when the player's buffer runs out, as reported by the player (µs)
    began: int
    stage: Stage = Stage.PLAYS
    polls: set[int] = field(default_factory=set)
    call: int = 0  # call number of the renewal that shortens the lease
    new: int = 0
    held: tuple[bytes, int] | None = None  # host and timeout of the new session until it is sent


class Desk(Protocol):
    """The book's operations that moves call."""

    def feed(self, now: int, event: api.Event) -> None:
        """Pass an event to the module and execute its actions."""

    def place(self, now: int, session: Session) -> None:
        """Request a host for the session from the module."""

    def close(self, now: int, session: Session) -> None:
        """Close a session that has no attempt under way, without an answer."""

    def send_moved(self, now: int, session: Session, server: bytes, timeout_at: int, moved_from: int) -> None:
        """Send a moved session's set-up to the host where a place was held for it."""


class Moves:
    """The active moves of one gateway."""

    def __init__(
        self,
        settings: api.Settings,
        desk: Desk,
        sessions: Sessions,
        leases: Leases,
        ends: Ends,
        budget: Budget,
        emit: Callable[[object], None],
    ) -> None:
        self._settings, self._desk, self._emit = settings, desk, emit
        self._sessions, self._leases, self._ends = sessions, leases, ends
        self._budget = budget
        self.planner = MovePlanner(settings, budget)
        self.counts = {"moved": 0, "lost": 0, "stayed": 0, "over": 0}
        self.reasons: dict[int, str] = {}  # why a session stays on a draining host, as of its last poll
        self._off: dict[int, Move] = {}  # by the old session
        self._onto: dict[int, Move] = {}  # by the new session
        self._next: dict[int, int] = {}  # old session: the new one
        self._polls: dict[int, Move] = {}

    def adopt(self, settings: api.Settings) -> None:
        """Apply new settings; active moves keep the limits that they started with."""
        self._settings = self.planner.settings = settings

    # Queries

    def moving(self, session: int) -> bool:
        """Return whether a session is being moved off its host."""
        return session in self._off

    def came(self, session: int) -> bool:
        """Return whether a session replaces one that was moved."""
        return session in self._onto

    def stage(self, session: int) -> Stage | None:
        """Return the stage of a session's move off its host, None if it is not moving."""
        move = self._off.get(session)
        return None if move is None else move.stage

    def hold(self, session: int, server: bytes, timeout_at: int) -> bool:
        """Hold the place that the module chose for a moved session until the old one has certainly ended.

        Returns False if the session may be sent at once. Raises AssertionError if the old session may still
        play.
        """
        move = self._onto.get(session)
        if move is None or move.stage is Stage.SETTING_UP:
            return False
        if move.stage not in (Stage.PLACING, Stage.REPLACING):
            raise AssertionError("set-up of a moved session requested while the old session may still play")
        move.held = server, timeout_at
        return True

    def moved_from(self, session: int) -> int:
        """Return the session that this one replaces, 0 for none."""
        move = self._onto.get(session)
        return 0 if move is None else move.old.number

    # Events

    def poll(self, now: int, event: Poll, leave: Callable[[bytes], bool]) -> None:
        """Answer a player's poll at once, or when the move that it starts or joins has ended.

        `must_leave` returns whether sessions are to leave a host.
        """
        number = event.session
        while number in self._next:
            number = self._next[number]
        session = self._sessions.get(number)
        if session is None or session.server is None:
            self._emit(Steer(event.poll, over=True))
            return
        move = self._off.get(number) or (None if session.playing else self._onto.get(number))
        if move is not None and move.stage not in FINAL:
            self._join(now, move, event)
            return
        moved = number != event.session
        if not session.playing or not leave(session.server):
            self._steer(event.poll, session, moved)
            return
        service = self._settings.classes[session.ask.service]
        length = session.ask.length
        left = session.started + length - now if length else None
        why = self.planner.why_not(now, session.server, number, service, left, event.buffer)
        if why:
            self.reasons[number] = why
            self._steer(event.poll, session, moved)
            return
        self.planner.begin(now, session.server, number)
        move = self._off[number] = Move(session, now + event.buffer, now)
        self._join(now, move, event)
        self._signal(now, move, Signal.GRANTED)

    def poll_gone(self, poll: int) -> None:
        """Cancel a waiting poll without an answer."""
        move = self._polls.pop(poll, None)
        if move is not None:
            move.polls.discard(poll)

    def poll_due(self, poll: int) -> None:
        """Answer a poll that timed out with the session's present host."""
        move = self._polls.get(poll)
        if move is not None:
            self._steer(poll, move.old)

    def signal(self, now: int, session: int, signal: Signal) -> None:
        """Apply a signal to the move of a session off its host, if there is one."""
        move = self._off.get(session)
        if move is not None:
            self._signal(now, move, signal)

    def arrived(self, now: int, session: int) -> None:
        """Complete the move of a session that now plays at its new host."""
        move = self._onto.get(session)
        if move is not None:
            self._signal(now, move, Signal.UP)

    def renewed(self, now: int, session: Session, event: Renewed) -> None:
        """Process a renewal's result, which may be that of the call that shortens the lease."""
        move = self._off.get(session.number)
        if move is None or move.call != event.number or not event.answered:
            return
        lease = move.old.lease
        if move.stage is Stage.PREPARING and lease is not None:
            good = lease.proven and moves.bridges(move.buffer_until - now, lease.over_at - now)
            self._signal(now, move, Signal.SHORT if good else Signal.NOT_SHORT)

    def closed(self, now: int, session: Session) -> None:
        """Process the closing of a session before its move or the module receive further events of it."""
        self.reasons.pop(session.number, None)
        move = self._onto.get(session.number)
        if move is not None and move.new == session.number and move.stage is Stage.SETTING_UP:
            self._signal(now, move, Signal.DOWN)

    def left(self, now: int, session: int, signal: Signal) -> None:
        """Process the end of a playing session and forget the sessions that it replaced."""
        move = self._off.get(session)
        if move is not None:
            self._signal(now, move, signal)
            if move.stage in FINAL:
                self._off.pop(session, None)
        came = self._onto.pop(session, None)
        while came is not None:
            self._next.pop(came.old.number, None)
            came = self._onto.pop(came.old.number, None)

    # Transitions

    def _join(self, now: int, move: Move, event: Poll) -> None:
        """Hold a poll until the move has ended or the player's timeout expires."""
        move.polls.add(event.poll)
        self._polls[event.poll] = move
        self._emit(Wake(now + event.budget, ("poll", event.poll)))

    def _steer(self, poll: int, session: Session, moved: bool = False) -> None:
        self.poll_gone(poll)
        ask, server = session.ask, session.server or b""
        place = session.number, server, session.rung, session.epoch
        self._emit(Steer(poll, *place, ask.title, ask.service, ask.best_rung, moved))

    def _signal(self, now: int, move: Move, signal: Signal) -> None:
        """Apply a signal and execute the transition's actions, then any signal that an action causes."""
        stage, acts = moves.step(move.stage, signal)
        if (stage, acts) == (move.stage, ()):
            return
        before, move.stage = move.stage, stage
        old = move.old
        if stage is Stage.PLAYS or stage in FINAL:
            self.planner.end(now, old.server or b"", old.number, signal)
            outcome = {Stage.PLAYS: "stayed", Stage.MOVED: "moved", Stage.LOST: "lost", Stage.OVER: "over"}
            self.counts[outcome[stage]] += 1
            took = (now - move.began) // 1000
            fields = (
                ("session", old.number),
                ("from", old.server),
                ("after", before.value),
                ("by", signal.value),
            )
            self._emit(Say("move_" + outcome[stage], (*fields, ("took_ms", took))))
        if stage is Stage.PLAYS:
            self._off.pop(old.number, None)
            self._restore(now, old)
        for act in acts:
            follows = self._act(now, move, act)
            if follows is not None:
                self._signal(now, move, follows)
        if move.stage in FINAL and self._sessions.get(old.number) is None:
            self._off.pop(old.number, None)

    def _act(self, now: int, move: Move, act: Act) -> Signal | None:
        old, server = move.old, move.old.server or b""
        match act:
            case Act.SHORTEN:
                until = now + moves.PREPARE_TIME
                move.call = self._leases.renew(now, server, [old], until, moves.SHORT_LEASE)
                self._emit(Wake(until, ("move", old.number, Signal.NOT_SHORT)))
            case Act.PLACE:
                return self._place(now, move)
            case Act.END:
                self._ends.end(now, old, server, moves.END_QUICK)
                over_at = old.lease.over_at if old.lease is not None else now
                self._emit(Wake(now + moves.END_QUICK, ("move", old.number, Signal.OVERDUE)))
                self._emit(Wake(over_at, ("move", old.number, Signal.LEASE_OVER)))
            case Act.RELEASE:
                new = self._sessions.get(move.new)
                held, move.held = move.held, None
                if new is not None and held is not None:
                    self._desk.feed(now, api.AttemptEnd(new.number, 0, held[0], Outcome.NOT_SENT, 0, True))
                    self._desk.close(now, new)
                self._onto.pop(move.new, None)
            case Act.SET_UP:
                return self._set_up(now, move)
            case Act.LEAD:
                new = self._sessions.get(move.new)
                for poll in list(move.polls):
                    if new is not None:
                        self._steer(poll, new, moved=True)
            case Act.STAY:
                for poll in list(move.polls):
                    self._steer(poll, old)
            case Act.TELL_LOST:
                self._tell_over(move)
                self._old_over(now, move)
                self._next.pop(old.number, None)
                self._onto.pop(move.new, None)
            case Act.CALL_OFF:
                new = self._sessions.get(move.new)
                if new is not None and new.out:
                    self._desk.feed(now, api.ViewerGone(new.number))
            case Act.FORGET:
                self._tell_over(move)
        return None

    def _tell_over(self, move: Move) -> None:
        for poll in list(move.polls):
            self._polls.pop(poll, None)
            self._emit(Steer(poll, over=True))
        move.polls.clear()

    def _restore(self, now: int, session: Session) -> None:
        """Restore the usual lease of a session that stays at its host."""
        if session.server is not None and session.number in self._sessions.at(session.server):
            self._leases.restore(now, session.server, session)

    def _place(self, now: int, move: Move) -> Signal:
        """Request a place from the module; the set-up is sent later."""
        if move.stage is Stage.REPLACING:
            self._old_over(now, move)
        elif not self._budget.allows(now):  # used up since the move began; nothing has been terminated yet
            return Signal.NO_ROOM
        ask = move.old.ask
        left = max(SECOND, move.old.started + ask.length - now) if ask.length else 0
        deadline = now + self._settings.classes[ask.service].deadline
        ask = msgspec.structs.replace(ask, ask=0, length=left, moved=True, again=True)
        new = self._sessions.open(ask, deadline, Effect(move.old.effect))
        new.started, move.new = move.old.started, new.number
        self._onto[new.number] = move
        self._desk.place(now, new)
        if move.held is not None:
            self._budget.spend(now)  # now, because the module counts it from the same moment
        else:
            self._onto.pop(new.number, None)
        return Signal.PLACED if move.held is not None else Signal.NO_ROOM

    def _old_over(self, now: int, move: Move) -> None:
        """Close the old session, which has certainly ended, in the book and the module."""
        old = move.old
        self._next[old.number] = move.new
        if self._sessions.get(old.number) is not None:
            server, attempt = old.server or b"", old.attempts - 1
            self._desk.close(now, old)
            self._desk.feed(now, api.AttemptEnd(old.number, attempt, server, Outcome.CANCELLED, 0, True))

    def _set_up(self, now: int, move: Move) -> Signal | None:
        self._old_over(now, move)
        new, held, move.held = self._sessions.get(move.new), move.held, None
        if new is None or held is None:
            return Signal.DOWN
        self._desk.send_moved(now, new, held[0], held[1], move.old.number)
        return None
