"""Viewers' pending requests: each one gets exactly one answer, and requests of one key share a session."""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.messages import Ask, Give, Verdict, Wake
from mintmast.decisions.sessions.sessions import Session


class Asks:
    """The unanswered requests of one gateway."""

    def __init__(self, emit: Callable[[object], None]) -> None:
        self._emit = emit
        self._session: dict[int, Session] = {}

    def wait(self, now: int, session: Session, ask: Ask) -> None:
        """Add a request to a session; a request that joins an existing session has its own deadline."""
        until = now + ask.budget
        session.waiting[ask.ask] = until
        self._session[ask.ask] = session
        if ask is not session.ask:
            self._emit(Wake(until, ("ask", ask.ask)))

    def gone(self, ask: int) -> Session | None:
        """Remove a request without an answer; return its session if no request waits for it any more."""
        session = self._session.pop(ask, None)
        if session is None:
            return None
        session.waiting.pop(ask, None)
        return None if session.waiting else session

    def late(self, ask: int) -> Session | None:
        """Answer a request that timed out; return its session if no request waits for it any more."""
        session = self._session.get(ask)
        if session is None:
            return None
        self.give(ask, session, Verdict.FAILED, reason="time is up")
        return None if session.waiting else session

    def give(
        self,
        ask: int,
        session: Session,
        verdict: Verdict,
        advice: int = 0,
        reason: str = "",
        elsewhere: bool = False,
    ) -> None:
        """Answer a request; `retry_after` in µs."""
        self._session.pop(ask, None)
        session.waiting.pop(ask, None)
        server = session.server or b""
        about = session.number, server, session.rung, session.epoch
        self._emit(Give(ask, verdict, *about, advice, reason, elsewhere))

    def give_all(
        self,
        session: Session,
        verdict: Verdict,
        advice: int = 0,
        reason: str = "",
        elsewhere: bool = False,
    ) -> None:
        """Answer all requests that wait for a session."""
        for ask in list(session.waiting):
            self.give(ask, session, verdict, advice, reason, elsewhere)
