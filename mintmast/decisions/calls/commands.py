"""A viewer's request as the calls of the platform get it, and the commands that they return."""

from __future__ import annotations

from dataclasses import dataclass

from mintmast.decisions.outcomes import Evidence


@dataclass(slots=True, frozen=True)
class ViewerRequest:
    """A viewer's parsed set-up. Hosts get the class, title and description in `forwarded` unchanged.

    `budget` is the time for the answer and `length_hint` the likely length of the session, in µs.
    """

    call_id: bytes
    service: int
    tenant: int
    title: int
    budget: int
    home_cell: int
    copies: int
    best_rung: int
    length_hint: int = 0
    is_retry: bool = False
    moved: bool = False
    forwarded: tuple[bytes, ...] = ()


@dataclass(slots=True, frozen=True)
class SendSetUp:
    """Send a set-up to `host`, to be answered by `deadline`. `forwarded` is sent on unchanged."""

    call_id: bytes
    host: bytes
    attempt: int
    rung: int
    deadline: int
    forwarded: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class CancelSetUp:
    """Cancel the attempt in progress. No result of it is reported."""

    call_id: bytes
    host: bytes


@dataclass(slots=True, frozen=True)
class ReleaseToHost:
    """Release a session at its host."""

    call_id: bytes
    host: bytes


@dataclass(slots=True, frozen=True)
class SendRung:
    """Send the host a new rung for a playing session."""

    call_id: bytes
    host: bytes
    rung: int


@dataclass(slots=True, frozen=True)
class AnswerRequest:
    """Answer the viewer: the session is established, with the host's description of it."""

    call_id: bytes
    viewer: int
    description: bytes


@dataclass(slots=True, frozen=True)
class RefuseRequest:
    """Refuse the viewer's request, with advice to retry after `retry_after` µs.

    `attempts` were made, and `evidence` is of the last one: None if the request was never sent to a host.
    """

    call_id: bytes
    viewer: int
    retry_after: int
    attempts: int
    evidence: Evidence | None


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Report to the viewer that the set-up failed after `attempts`, the last of which gave `evidence`."""

    call_id: bytes
    viewer: int
    attempts: int
    evidence: Evidence | None


@dataclass(slots=True, frozen=True)
class ReleaseToViewer:
    """Release the session to the viewer."""

    call_id: bytes
    viewer: int
    played_to_end: bool


@dataclass(slots=True, frozen=True)
class ForgetSession:
    """Forget the session's viewer without a message: the viewer ended the session."""

    call_id: bytes
    viewer: int


@dataclass(slots=True, frozen=True)
class MoveViewer:
    """Ask the viewer to move: the session ends here and the viewer sets it up again."""

    call_id: bytes
    viewer: int


@dataclass(slots=True, frozen=True)
class ScheduleTimer:
    """Start a timer that fires with `token` after `delay` µs."""

    delay: int
    token: int


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Write a message of the controller to the log."""

    text: str


Command = (
    SendSetUp
    | CancelSetUp
    | ReleaseToHost
    | SendRung
    | AnswerRequest
    | RefuseRequest
    | FailRequest
    | ReleaseToViewer
    | ForgetSession
    | MoveViewer
    | ScheduleTimer
    | LogEvent
)
