"""Executes the placement module's actions: each one becomes a transition of a session or a command."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from mintmast import interface as api
from mintmast.decisions.messages import AskList, Say, SendRung, Verdict, Wake
from mintmast.decisions.sessions import moves
from mintmast.decisions.sessions.moving import Moves
from mintmast.decisions.sessions.sessions import Session, Sessions, Signal, Stage
from mintmast.decisions.sessions.setups import SetUps
from mintmast.interface import Outcome


class Desk(Protocol):
    """The book's operations that the module's actions trigger."""

    def send(self, now: int, session: Session, server: bytes, timeout_at: int) -> None:
        """Send a session's set-up to the host that the module has chosen."""

    def close(
        self, now: int, session: Session, verdict: Verdict | None = None, advice: int = 0, reason: str = ""
    ) -> None:
        """Close a session and answer its pending requests."""


class Acts:
    """Connects the book with the module; `emit` receives commands.

    `handle_module_event` is the module's `handle`.
    """

    def __init__(
        self,
        decide: Callable[[int, api.Event], list[api.Action]],
        desk: Desk,
        sessions: Sessions,
        set_ups: SetUps,
        moving: Moves,
        emit: Callable[[object], None],
    ) -> None:
        self._decide, self._desk, self._emit = decide, desk, emit
        self._sessions, self._set_ups, self._moves = sessions, set_ups, moving

    def feed(self, now: int, event: api.Event) -> None:
        """Pass an event to the module and execute its actions, then do the same for the events they cause."""
        events = deque([event])
        while events:
            for action in self._decide(now, events.popleft()):
                more = self._act(now, action)
                if more is not None:
                    events.append(more)

    def _act(self, now: int, action: api.Action) -> api.Event | None:
        match action:
            case api.SetUp(request, server, timeout_at):
                self._desk.send(now, self._sessions.by_number[request], server, timeout_at)
            case api.SetRung(request, rung):
                session = self._sessions.get(request)
                if session is not None:
                    session.rung = rung
                    if session.playing and session.server is not None:
                        self._emit(SendRung(request, session.server, rung, session.epoch))
            case api.Refuse(request, advice):
                session = self._sessions.get(request)
                if session is not None:  # a session that may have run is never reported as refused
                    why = session.why or "no room"
                    spent = session.stage is Stage.SPENT
                    self._desk.close(now, session, Verdict.FAILED if spent else Verdict.REFUSED, advice, why)
            case api.Fail(request):
                session = self._sessions.get(request)
                if session is not None:
                    self._desk.close(now, session, Verdict.FAILED, reason="may have run")
            case api.Cancel(request, attempt):
                return self._cancel(now, request, attempt)
            case api.Move(request):
                return self._take_off(now, request)
            case api.SetTimer(delay, token):
                self._emit(Wake(now + delay, ("module", token)))
            case api.Subscribe(on):
                if on:
                    self._emit(AskList(standing=True))
            case api.FetchList():
                self._emit(AskList())
            case api.Probe(server):  # probes are not supported; the settings say so
                return api.ProbeResult(server, Outcome.NOT_SENT, 0)
            case api.Log(text):
                self._emit(Say("module", (("text", text),)))
            case _:  # CloseIdle: idle connections close by themselves. TellPeers: not supported
                pass
        return None

    def _cancel(self, now: int, request: int, attempt: int) -> api.Event | None:
        session = self._sessions.get(request)
        if session is None or not session.out or session.attempts - 1 != attempt or session.server is None:
            return None
        server, took = session.server, now - session.sent_at
        self._set_ups.give_up(now, session, Signal.CALLED_OFF)
        self._desk.close(now, session)
        return api.AttemptEnd(request, attempt, server, Outcome.CANCELLED, took, True)

    def _take_off(self, now: int, request: int) -> api.Event | None:
        session = self._sessions.get(request)
        if session is None or not session.playing or session.server is None:
            return None
        server = session.server
        self._set_ups.give_up(now, session, Signal.TAKEN_OFF)
        self._desk.close(now, session)
        self._moves.left(now, request, moves.Signal.LEFT)
        return api.AttemptEnd(request, session.attempts - 1, server, Outcome.CANCELLED, 0, True)
