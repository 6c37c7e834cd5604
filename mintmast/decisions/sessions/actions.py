"""Executes the placement module's actions: each one becomes a transition of a session or a command."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from mintmast import interface as api
from mintmast.decisions.messages import FetchServerList, LogEvent, ScheduleTimer, SendRung, Verdict
from mintmast.decisions.sessions import moves
from mintmast.decisions.sessions.active_moves import ActiveMoves
from mintmast.decisions.sessions.sessions import Session, Sessions, Signal, Stage
from mintmast.decisions.sessions.setups import SetUps
from mintmast.interface import Outcome


class SessionCallbacks(Protocol):
    """The book's operations that the module's actions trigger."""

    def send_set_up(self, now: int, session: Session, server: bytes, timeout_at: int) -> None:
        """Send a session's set-up to the host that the module has chosen."""

    def close(
        self,
        now: int,
        session: Session,
        verdict: Verdict | None = None,
        retry_after: int = 0,
        reason: str = "",
    ) -> None:
        """Close a session and answer its pending requests."""


class ActionExecutor:
    """Connects the book with the module; `emit` receives commands.

    `handle_module_event` is the module's `handle`.
    """

    def __init__(
        self,
        handle_module_event: Callable[[int, api.Event], list[api.Action]],
        callbacks: SessionCallbacks,
        sessions: Sessions,
        set_ups: SetUps,
        active_moves: ActiveMoves,
        emit: Callable[[object], None],
    ) -> None:
        self._handle_module_event, self._callbacks, self._emit = handle_module_event, callbacks, emit
        self._sessions, self._set_ups, self._moves = sessions, set_ups, active_moves

    def dispatch(self, now: int, event: api.Event) -> None:
        """Pass an event to the module and execute its actions, then do the same for the events they cause."""
        events = deque([event])
        while events:
            for action in self._handle_module_event(now, events.popleft()):
                next_event = self._execute(now, action)
                if next_event is not None:
                    events.append(next_event)

    def _execute(self, now: int, action: api.Action) -> api.Event | None:
        match action:
            case api.SetUp(request, server, timeout_at):
                self._callbacks.send_set_up(now, self._sessions.by_number[request], server, timeout_at)
            case api.SetRung(request, rung):
                session = self._sessions.get(request)
                if session is not None:
                    session.rung = rung
                    if session.is_playing and session.server is not None:
                        self._emit(SendRung(request, session.server, rung, session.epoch))
            case api.Refuse(request, retry_after):
                session = self._sessions.get(request)
                if session is not None:  # a session that may have run is never reported as refused
                    reason = session.refusal_reason or "no room"
                    may_have_run = session.stage is Stage.SPENT
                    self._callbacks.close(
                        now, session, Verdict.FAILED if may_have_run else Verdict.REFUSED, retry_after, reason
                    )
            case api.Fail(request):
                session = self._sessions.get(request)
                if session is not None:
                    self._callbacks.close(now, session, Verdict.FAILED, reason="may have run")
            case api.Cancel(request, attempt):
                return self._cancel_attempt(now, request, attempt)
            case api.Move(request):
                return self._take_off_host(now, request)
            case api.SetTimer(delay, token):
                self._emit(ScheduleTimer(now + delay, ("module", token)))
            case api.Subscribe(on):
                if on:
                    self._emit(FetchServerList(subscribe=True))
            case api.FetchList():
                self._emit(FetchServerList())
            case api.Probe(server):  # probes are not supported; the settings say so
                return api.ProbeResult(server, Outcome.NOT_SENT, 0)
            case api.Log(text):
                self._emit(LogEvent("module", (("text", text),)))
            case _:  # CloseIdle: idle connections close by themselves. SendToPeers: not supported
                pass
        return None

    def _cancel_attempt(self, now: int, request: int, attempt: int) -> api.Event | None:
        session = self._sessions.get(request)
        if (
            session is None
            or not session.has_attempt_out
            or session.attempts - 1 != attempt
            or session.server is None
        ):
            return None
        server, duration = session.server, now - session.sent_at
        self._set_ups.give_up(now, session, Signal.CALLED_OFF)
        self._callbacks.close(now, session)
        return api.AttemptEnd(request, attempt, server, Outcome.CANCELLED, duration, True)

    def _take_off_host(self, now: int, request: int) -> api.Event | None:
        session = self._sessions.get(request)
        if session is None or not session.is_playing or session.server is None:
            return None
        server = session.server
        self._set_ups.give_up(now, session, Signal.TAKEN_OFF)
        self._callbacks.close(now, session)
        self._moves.handle_session_over(now, request, moves.Signal.LEFT)
        return api.AttemptEnd(request, session.attempts - 1, server, Outcome.CANCELLED, 0, True)
