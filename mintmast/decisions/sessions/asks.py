"""Who waits for an answer: each ask gets exactly one, and those of one key share a session."""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.messages import Ask, Give, Verdict, Wake
from mintmast.decisions.sessions.sessions import Session


class Asks:
    """The asks of one gateway that have no answer yet."""

    def __init__(self, emit: Callable[[object], None]) -> None:
        self._emit = emit
        self._session: dict[int, Session] = {}

    def wait(self, now: int, session: Session, ask: Ask) -> None:
        """Let an ask wait for a session; one that joins has a deadline of its own."""
        until = now + ask.budget
        session.waiting[ask.ask] = until
        self._session[ask.ask] = session
        if ask is not session.ask:
            self._emit(Wake(until, ("ask", ask.ask)))

    def gone(self, ask: int) -> Session | None:
        """Let an ask wait no more, without an answer; give its session where nobody waits for it now."""
        session = self._session.pop(ask, None)
        if session is None:
            return None
        session.waiting.pop(ask, None)
        return None if session.waiting else session

    def late(self, ask: int) -> Session | None:
        """Answer an ask whose time is up; give its session where nobody waits for it now."""
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
        """Answer an ask; `advice` in µs."""
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
        """Answer all who wait for a session."""
        for ask in list(session.waiting):
            self.give(ask, session, verdict, advice, reason, elsewhere)
