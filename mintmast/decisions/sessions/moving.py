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
    """A move under way."""

    old: Session
    buffer_until: int  # until when the player's buffer lasts, by its own word (µs)
    began: int
    stage: Stage = Stage.PLAYS
    polls: set[int] = field(default_factory=set)
    call: int = 0  # number of the call that makes the lease short
    new: int = 0
    held: tuple[bytes, int] | None = None  # where the module wants the new session, until it is sent there


class Desk(Protocol):
    """What moves ask of the book."""

    def feed(self, now: int, event: api.Event) -> None:
        """Hand an event to the module and carry out its actions."""

    def place(self, now: int, session: Session) -> None:
        """Ask the module where the session plays."""

    def close(self, now: int, session: Session) -> None:
        """End a session that is not out, without an answer."""

    def send_moved(self, now: int, session: Session, server: bytes, timeout_at: int, moved_from: int) -> None:
        """Send a moved session to the host that was held for it."""


class Moves:
    """The moves of one gateway."""

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
        self.reasons: dict[
            int, str
        ] = {}  # of sessions on hosts to be left that stay: why, at their last poll
        self._off: dict[int, Move] = {}  # by the session that moves
        self._onto: dict[int, Move] = {}  # by the session that it becomes
        self._next: dict[int, int] = {}  # moved session: the one that it became
        self._polls: dict[int, Move] = {}

    def adopt(self, settings: api.Settings) -> None:
        """Go on with these settings; moves under way end as they began."""
        self._settings = self.planner.settings = settings

    # What others ask

    def moving(self, session: int) -> bool:
        """Tell whether a session is on the move off its host."""
        return session in self._off

    def came(self, session: int) -> bool:
        """Tell whether a session stands for one that was moved."""
        return session in self._onto

    def stage(self, session: int) -> Stage | None:
        """Give where a session's move off its host stands."""
        move = self._off.get(session)
        return None if move is None else move.stage

    def hold(self, session: int, server: bytes, timeout_at: int) -> bool:
        """Keep the place that the module gave to a moved session until the old one is surely over.

        False where the session may be sent at once. Raises AssertionError where the old one may still play.
        """
        move = self._onto.get(session)
        if move is None or move.stage is Stage.SETTING_UP:
            return False
        if move.stage not in (Stage.PLACING, Stage.REPLACING):
            raise AssertionError("a moved session sent while the old one may play")
        move.held = server, timeout_at
        return True

    def moved_from(self, session: int) -> int:
        """Give the session that this one takes the place of, 0 for none."""
        move = self._onto.get(session)
        return 0 if move is None else move.old.number

    # What happens

    def poll(self, now: int, event: Poll, leave: Callable[[bytes], bool]) -> None:
        """Answer a player's poll: at once, or when the move that it begins or joins is through.

        `leave` tells whether a host is to be left.
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
        """Answer a poll no more."""
        move = self._polls.pop(poll, None)
        if move is not None:
            move.polls.discard(poll)

    def poll_due(self, poll: int) -> None:
        """Answer a poll that waits no longer: play on."""
        move = self._polls.get(poll)
        if move is not None:
            self._steer(poll, move.old)

    def signal(self, now: int, session: int, signal: Signal) -> None:
        """Tell the move of a session off its host, if there is one, what happened."""
        move = self._off.get(session)
        if move is not None:
            self._signal(now, move, signal)

    def arrived(self, now: int, session: int) -> None:
        """Take note that a moved session plays at its new host."""
        move = self._onto.get(session)
        if move is not None:
            self._signal(now, move, Signal.UP)

    def renewed(self, now: int, session: Session, event: Renewed) -> None:
        """Take a renewal's answer: it may be the call that made the lease short."""
        move = self._off.get(session.number)
        if move is None or move.call != event.number or not event.answered:
            return
        lease = move.old.lease
        if move.stage is Stage.PREPARING and lease is not None:
            good = lease.proven and moves.bridges(move.buffer_until - now, lease.over_at - now)
            self._signal(now, move, Signal.SHORT if good else Signal.NOT_SHORT)

    def closed(self, now: int, session: Session) -> None:
        """Take note that a session is over, before its move or the module hear more of it."""
        self.reasons.pop(session.number, None)
        move = self._onto.get(session.number)
        if move is not None and move.new == session.number and move.stage is Stage.SETTING_UP:
            self._signal(now, move, Signal.DOWN)

    def left(self, now: int, session: int, signal: Signal) -> None:
        """Take note that a playing session is over; nobody asks for what it once was any more."""
        move = self._off.get(session)
        if move is not None:
            self._signal(now, move, signal)
            if move.stage in FINAL:
                self._off.pop(session, None)
        came = self._onto.pop(session, None)
        while came is not None:
            self._next.pop(came.old.number, None)
            came = self._onto.pop(came.old.number, None)

    # Steps

    def _join(self, now: int, move: Move, event: Poll) -> None:
        """Hold a poll until the move is through, but not beyond what the player waits."""
        move.polls.add(event.poll)
        self._polls[event.poll] = move
        self._emit(Wake(now + event.budget, ("poll", event.poll)))

    def _steer(self, poll: int, session: Session, moved: bool = False) -> None:
        self.poll_gone(poll)
        ask, server = session.ask, session.server or b""
        place = session.number, server, session.rung, session.epoch
        self._emit(Steer(poll, *place, ask.title, ask.service, ask.best_rung, moved))

    def _signal(self, now: int, move: Move, signal: Signal) -> None:
        """Follow the table; what an act causes at once is followed too."""
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
        """Give a session that stays its usual lease again."""
        if session.server is not None and session.number in self._sessions.at(session.server):
            self._leases.restore(now, session.server, session)

    def _place(self, now: int, move: Move) -> Signal:
        """Ask the module for a place; nothing is sent yet."""
        if move.stage is Stage.REPLACING:
            self._old_over(now, move)
        elif not self._budget.allows(now):  # spent since the move began: nothing is ended yet, so it stays
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
            self._budget.spend(now)  # with the module, which counts it from the same moment
        else:
            self._onto.pop(new.number, None)
        return Signal.PLACED if move.held is not None else Signal.NO_ROOM

    def _old_over(self, now: int, move: Move) -> None:
        """Take the old session off the module's and the book's account: it is surely over."""
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
