"""The gateway's side of the media host protocol: HTTP calls to hosts, and their event streams."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import msgspec

from mintmast.core.ports import HostEvents, SetUpRequest
from mintmast.decisions.messages import NO_STATUS, HostStatus
from mintmast.decisions.outcomes import Evidence, HostReport, may_have_run
from mintmast.hosts.notes import NoteStream
from mintmast.hosts.protocol import CLOCK, LOAD, NEVER_RAN, parse_clock, parse_load, parse_server_address
from mintmast.http.client import DEFAULT_LIMITS, Call, CallFailure, ClientLimits, HttpClient, Reply
from mintmast.http.server import Headers
from mintmast.loop import Loop

_EVIDENCE = {
    CallFailure.REFUSED: Evidence.REFUSED,
    CallFailure.NOT_CONNECTED: Evidence.NOT_CONNECTED,
    CallFailure.CUT_UNSENT: Evidence.CUT_UNSENT,
    CallFailure.CUT: Evidence.CUT,
    CallFailure.CUT_REPLY: Evidence.CUT_REPLY,
    CallFailure.SILENT: Evidence.SILENT,
    CallFailure.LATE_UNSENT: Evidence.LATE_UNSENT,
    CallFailure.MALFORMED: Evidence.BAD_REPLY,
    CallFailure.CALLED_OFF: Evidence.CALLED_OFF,
    CallFailure.CALLED_OFF_UNSENT: Evidence.CALLED_OFF_UNSENT,
}
SESSIONS_PATH = "/v1/sessions/"
LEASES_PATH = "/v1/leases"
RECONCILE_PATH = "/v1/settle"
NOTES_PATH = "/v1/notes"
# rungs are below this
MAX_RUNGS = 256


def evidence_of(reply: Reply | CallFailure) -> Evidence:
    """Return what a set-up's call shows; see `decisions/outcomes.py` for the meaning of each."""
    if isinstance(reply, CallFailure):
        return _EVIDENCE[reply]
    mark = reply.headers.get(NEVER_RAN.lower())
    if reply.status in (200, 201):
        return Evidence.STARTED
    if mark in ("full", "draining") and reply.status == 503:
        return Evidence.FULL
    if mark == "fenced" and reply.status == 409:
        return Evidence.FENCED
    return Evidence.HOST_ERROR


class MediaHosts:
    """The adapter to media hosts, as `core.ports.HostPort` describes it.

    `gateway` and `generation` identify this process to the hosts; `load_fields` are the loads that replies
    carry; an event stream that is silent for `silence_timeout` µs counts as broken.
    """

    def __init__(
        self,
        loop: Loop,
        gateway: str,
        generation: int,
        load_fields: tuple[str, ...],
        limits: ClientLimits = DEFAULT_LIMITS,
        silence_timeout: int = 3_000_000,
    ) -> None:
        self._loop, self._load_fields, self._silence_timeout = loop, load_fields, silence_timeout
        self._client = HttpClient(loop, limits, f"mintmast/{gateway}")
        self._identity = f"gateway={quote(gateway)}&start={generation}"
        self._events: HostEvents | None = None
        self._set_ups: dict[tuple[str, int], Call] = {}  # in progress, by session and attempt
        self._note_streams: dict[bytes, NoteStream] = {}

    def attach(self, events: HostEvents) -> None:
        """Set the receiver of the hosts' events."""
        self._events = events

    def set_up(self, request: SetUpRequest, done: Callable[[Evidence, HostStatus], None]) -> None:
        """Request a session from a host."""
        body = {
            "title": request.title,
            "rung": request.rung,
            "best_rung": request.best_rung,
            "kb": request.rate_kb,
            "epoch": request.epoch,
            "lease_ms": request.lease // 1000,
            "paid": request.paid,
            "key": request.key,
            "who": self._identity,
            "call": request.call_number,
            "from": request.moved_from,
            "clock": request.clock,
        }
        key = request.session, request.attempt

        def finish(reply: Reply | CallFailure) -> None:
            self._set_ups.pop(key, None)
            done(evidence_of(reply), self._parse_status(reply))

        target = SESSIONS_PATH + request.session
        headers = [("Idempotency-Key", f'"{request.session}/{request.epoch}"')]
        self._set_ups[key] = self._call(request.server, "PUT", target, finish, request.until, body, headers)

    def cancel_set_up(self, session: str, attempt: int) -> None:
        """Cancel a set-up."""
        call = self._set_ups.pop((session, attempt), None)
        if call is not None:
            call.cancel()

    def set_rung(self, server: bytes, session: str, epoch: int, rung: int, rate_kb: float) -> None:
        """Set the rung of a session; the next renewal of its lease repeats it if this call is lost."""
        body = {"epoch": epoch, "rung": rung, "kb": rate_kb}
        deadline = self._loop.now() + self._silence_timeout
        self._call(server, "PATCH", SESSIONS_PATH + session, lambda reply: None, deadline, body)

    def end_session(
        self, server: bytes, session: str, epoch: int, until: int, done: Callable[[bool], None]
    ) -> None:
        """Terminate a session's epochs up to this one."""

        def finish(reply: Reply | CallFailure) -> None:
            done(isinstance(reply, Reply) and reply.status in (200, 204))

        self._call(server, "DELETE", f"{SESSIONS_PATH}{session}?epoch={epoch}", finish, until)

    def renew_leases(
        self,
        server: bytes,
        sessions: tuple[tuple[str, int, int, float], ...],
        lease: int,
        until: int,
        number: int,
        clock: int,
        done: Callable[[bool, bool, tuple[str, ...], HostStatus], None],
    ) -> None:
        """Renew leases of (session, epoch, rung, kB a second)."""

        def finish(reply: Reply | CallFailure) -> None:
            if isinstance(reply, CallFailure):
                done(False, may_have_run(_EVIDENCE[reply]), (), NO_STATUS)
                return
            is_renewed = reply.status == 200
            unknown = _parse_unknown_sessions(reply.body) if is_renewed else ()
            done(is_renewed, True, unknown, self._parse_status(reply))

        renewed = {name: {"epoch": epoch, "rung": rung, "kb": kb} for name, epoch, rung, kb in sessions}
        body = self._lease_body(lease, number, clock) | {"sessions": renewed}
        self._call(server, "POST", LEASES_PATH, finish, until, body)

    def reconcile_sessions(
        self,
        server: bytes,
        sessions: dict[str, int],
        lease: int,
        until: int,
        number: int,
        clock: int,
        done: Callable[[int, tuple[tuple[str, HostReport, int], ...], HostStatus], None],
    ) -> None:
        """Query sessions of earlier generations, and take over those that play."""

        def finish(reply: Reply | CallFailure) -> None:
            if isinstance(reply, CallFailure) or reply.status != 200:
                done(-1, (), self._parse_status(reply))
                return
            body = _decode_object(reply.body)
            since = parse_clock(body.get("since", ""))
            done(since, _parse_reports(body.get("sessions")), self._parse_status(reply))

        queried = {name: {"epoch": epoch} for name, epoch in sessions.items()}
        body = self._lease_body(lease, number, clock) | {"sessions": queried}
        self._call(server, "POST", RECONCILE_PATH, finish, until, body)

    def _lease_body(self, lease: int, number: int, clock: int) -> dict[str, Any]:
        return {"who": self._identity, "lease_ms": lease // 1000, "call": number, "clock": clock}

    def watch(self, server: bytes) -> None:
        """Open a host's event stream."""
        if server not in self._note_streams and self._events is not None:
            self._note_streams[server] = NoteStream(
                self._loop,
                self._client,
                server,
                f"{NOTES_PATH}?{self._identity}",
                self._silence_timeout,
                self._events,
                self._remove_note_stream,
            )

    def unwatch(self, server: bytes) -> None:
        """Close a host's event stream without a further event."""
        stream = self._note_streams.pop(server, None)
        if stream is not None:
            stream.close()

    def _remove_note_stream(self, stream: NoteStream) -> None:
        if self._note_streams.get(stream.server) is stream:
            del self._note_streams[stream.server]

    def _parse_status(self, reply: Reply | CallFailure) -> HostStatus:
        if isinstance(reply, CallFailure):
            return NO_STATUS
        load = parse_load(reply.headers.get(LOAD, ""), self._load_fields)
        return HostStatus(load, parse_clock(reply.headers.get(CLOCK.lower(), "")))

    def _call(
        self,
        server: bytes,
        method: str,
        target: str,
        done: Callable[[Reply | CallFailure], None],
        until: int,
        body: dict[str, Any] | None = None,
        headers: Headers | None = None,
    ) -> Call:
        data = b""
        headers = headers or []
        if body is not None:
            data = msgspec.json.encode(body)
            headers = [*headers, ("Content-Type", "application/json")]
        return self._client.call(parse_server_address(server), method, target, done, headers, data, until)


def _parse_unknown_sessions(body: bytes) -> tuple[str, ...]:
    """Return the names of the sessions that a host does not know."""
    names = _decode_object(body).get("unknown", [])
    return tuple(name for name in names if isinstance(name, str)) if isinstance(names, list) else ()


def _parse_reports(sessions: object) -> tuple[tuple[str, HostReport, int], ...]:
    """Return the name, report and rung of each session; those that cannot be read are left out."""
    if not isinstance(sessions, dict):
        return ()
    reports = ((name, _parse_report(fields)) for name, fields in sessions.items())
    return tuple((name, *report) for name, report in reports if report is not None)


def _parse_report(fields: object) -> tuple[HostReport, int] | None:
    """Return what a host reports of one session, and its rung; None if it cannot be read."""
    if not isinstance(fields, dict):
        return None
    try:
        report = HostReport(fields.get("state"))
    except ValueError:
        return None
    rung = fields.get("rung", 0)
    is_rung = isinstance(rung, int) and not isinstance(rung, bool) and 0 <= rung < MAX_RUNGS
    return (report, rung) if is_rung else None


def _decode_object(body: bytes) -> dict[str, Any]:
    """Return a JSON object, empty if the body is not one."""
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return {}
    return value if isinstance(value, dict) else {}
