"""Viewers' pending requests: each one gets exactly one answer, and requests of one key share a session."""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.messages import AnswerRequest, ScheduleTimer, Verdict, ViewerRequest
from mintmast.decisions.sessions.sessions import Session


class PendingRequests:
    """The unanswered requests of one gateway."""

    def __init__(self, emit: Callable[[object], None]) -> None:
        self._emit = emit
        self._session_by_request: dict[int, Session] = {}

    def add(self, now: int, session: Session, request: ViewerRequest) -> None:
        """Add a request to a session; a request that joins an existing session has its own deadline."""
        deadline = now + request.timeout
        session.waiting_requests[request.request_id] = deadline
        self._session_by_request[request.request_id] = session
        if request is not session.request:
            self._emit(ScheduleTimer(deadline, ("ask", request.request_id)))

    def cancel(self, request_id: int) -> Session | None:
        """Remove a request without an answer; return its session if no request waits for it any more."""
        session = self._session_by_request.pop(request_id, None)
        if session is None:
            return None
        session.waiting_requests.pop(request_id, None)
        return None if session.waiting_requests else session

    def expire(self, request_id: int) -> Session | None:
        """Answer a request that timed out; return its session if no request waits for it any more."""
        session = self._session_by_request.get(request_id)
        if session is None:
            return None
        self.answer(request_id, session, Verdict.FAILED, reason="time is up")
        return None if session.waiting_requests else session

    def answer(
        self,
        request_id: int,
        session: Session,
        verdict: Verdict,
        retry_after: int = 0,
        reason: str = "",
        try_elsewhere: bool = False,
    ) -> None:
        """Answer a request; `retry_after` in µs."""
        self._session_by_request.pop(request_id, None)
        session.waiting_requests.pop(request_id, None)
        server = session.server or b""
        placement = session.number, server, session.rung, session.epoch
        self._emit(AnswerRequest(request_id, verdict, *placement, retry_after, reason, try_elsewhere))

    def answer_all(
        self,
        session: Session,
        verdict: Verdict,
        retry_after: int = 0,
        reason: str = "",
        try_elsewhere: bool = False,
    ) -> None:
        """Answer all requests that wait for a session."""
        for request_id in list(session.waiting_requests):
            self.answer(request_id, session, verdict, retry_after, reason, try_elsewhere)
