"""The gateway's side of the media host protocol: HTTP calls and the line of notes from each host."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import msgspec

from mintmast.core.ports import HostEvents, SetUpRequest
from mintmast.decisions.messages import NO_STATUS, HostStatus
from mintmast.decisions.outcomes import Evidence, HostReport, may_have_run
from mintmast.hosts.protocol import CLOCK, LOAD, NEVER_RAN, read_load
from mintmast.http.client import DEFAULT_LIMITS, Address, Call, CallFailure, ClientLimits, HttpClient, Reply
from mintmast.http.events import EventReader
from mintmast.http.server import Headers
from mintmast.interface import NoteKind
from mintmast.loop import Loop, Timer

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
_NOTES = {"delivered": NoteKind.DELIVERED, "link": NoteKind.LINK, "uplink": NoteKind.UPLINK}


def address_of(server: bytes) -> Address:
    """Give host and port of a server's id."""
    host, _, port = server.decode().rpartition(":")
    return host, int(port)


def evidence_of(reply: Reply | CallFailure) -> Evidence:
    """Tell what a set-up's call showed; see `decisions/outcomes.py` for what each means."""
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
    """Speaks to media hosts for the core.

    `gateway` and `start` name this life of the gateway; `fields` are the loads that answers carry; a line
    that is silent for `silent` microseconds counts as broken.
    """

    def __init__(
        self,
        loop: Loop,
        gateway: str,
        start: int,
        fields: tuple[str, ...],
        limits: ClientLimits = DEFAULT_LIMITS,
        silent: int = 3_000_000,
    ) -> None:
        self.loop, self.fields, self.silent = loop, fields, silent
        self.client = HttpClient(loop, limits, f"mintmast/{gateway}")
        self._who = f"gateway={quote(gateway)}&start={start}"
        self._events: HostEvents | None = None
        self._out: dict[tuple[str, int], Call] = {}
        self._lines: dict[bytes, _Line] = {}

    def attach(self, events: HostEvents) -> None:
        """Tell who hears what hosts say."""
        self._events = events

    def set_up(self, order: SetUpRequest, done: Callable[[Evidence, HostStatus], None]) -> None:
        """Ask a host for a session."""
        body = {
            "title": order.title,
            "rung": order.rung,
            "best_rung": order.best_rung,
            "kb": order.rate_kb,
            "epoch": order.epoch,
            "lease_ms": order.lease // 1000,
            "paid": order.paid,
            "key": order.key,
            "who": self._who,
            "call": order.call_number,
            "from": order.moved_from,
            "clock": order.clock,
        }
        key = order.session, order.attempt

        def ended(reply: Reply | CallFailure) -> None:
            self._out.pop(key, None)
            done(evidence_of(reply), self._told(reply))

        headers = [("Idempotency-Key", f'"{order.session}/{order.epoch}"')]
        self._out[key] = self._call(order.server, "PUT", order.session, ended, order.until, body, headers)

    def cancel_set_up(self, session: str, attempt: int) -> None:
        """Break off a set-up."""
        call = self._out.pop((session, attempt), None)
        if call is not None:
            call.cancel()

    def set_rung(self, server: bytes, session: str, epoch: int, rung: int, kb: float) -> None:
        """Tell a host the rung of a session; a lost one is mended by the next."""
        body = {"epoch": epoch, "rung": rung, "kb": kb}
        self._call(server, "PATCH", session, lambda reply: None, self.loop.now() + self.silent, body)

    def end_session(
        self, server: bytes, session: str, epoch: int, until: int, done: Callable[[bool], None]
    ) -> None:
        """End a session's epochs up to this one."""

        def ended(reply: Reply | CallFailure) -> None:
            done(isinstance(reply, Reply) and reply.status in (200, 204))

        self._call(server, "DELETE", f"{session}?epoch={epoch}", ended, until)

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
        """Renew leases."""

        def ended(reply: Reply | CallFailure) -> None:
            answered = isinstance(reply, Reply) and reply.status == 200
            unknown: tuple[str, ...] = ()
            if isinstance(reply, Reply) and answered:
                told = _read(reply.body).get("unknown", [])
                unknown = (
                    tuple(each for each in told if isinstance(each, str)) if isinstance(told, list) else ()
                )
            arrived = isinstance(reply, Reply) or may_have_run(_EVIDENCE[reply])
            done(answered, arrived, unknown, self._told(reply))

        told = {name: {"epoch": epoch, "rung": rung, "kb": kb} for name, epoch, rung, kb in sessions}
        body = {"lease_ms": lease // 1000, "call": number, "clock": clock, "sessions": told, "who": self._who}
        self._call(server, "POST", "", ended, until, body, path="/v1/leases")

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
        """Ask after sessions of earlier lives, and take over those which play."""

        def ended(reply: Reply | CallFailure) -> None:
            if isinstance(reply, CallFailure) or reply.status != 200:
                done(-1, (), self._told(reply))
                return
            told = _read(reply.body)
            about = told.get("sessions")
            words = [(name, _word(each)) for name, each in about.items()] if isinstance(about, dict) else []
            since = _reading(told.get("since", ""))
            said = tuple((name, *word) for name, word in words if word is not None)
            done(since, said, self._told(reply))

        asked = {name: {"epoch": epoch} for name, epoch in sessions.items()}
        body = {"who": self._who, "lease_ms": lease // 1000, "call": number, "clock": clock}
        self._call(server, "POST", "", ended, until, {**body, "sessions": asked}, path="/v1/settle")

    def watch(self, server: bytes) -> None:
        """Open the line on which a host tells what happens."""
        if server not in self._lines and self._events is not None:
            self._lines[server] = _Line(self, server, self._events, f"/v1/notes?{self._who}")

    def unwatch(self, server: bytes) -> None:
        """Close that line."""
        line = self._lines.pop(server, None)
        if line is not None:
            line.close()

    def line_over(self, line: _Line) -> None:
        """Forget a line that broke."""
        if self._lines.get(line.server) is line:
            del self._lines[line.server]

    def _told(self, reply: Reply | CallFailure) -> HostStatus:
        if isinstance(reply, CallFailure):
            return NO_STATUS
        load = read_load(reply.headers.get(LOAD, ""), self.fields)
        return HostStatus(load, _reading(reply.headers.get(CLOCK.lower(), "")))

    def _call(
        self,
        server: bytes,
        method: str,
        target: str,
        done: Callable[[Reply | CallFailure], None],
        until: int,
        body: dict[str, Any] | None = None,
        headers: Headers | None = None,
        path: str = "/v1/sessions/",
    ) -> Call:
        data = b""
        headers = headers or []
        if body is not None:
            data = msgspec.json.encode(body)
            headers = [*headers, ("Content-Type", "application/json")]
        return self.client.call(address_of(server), method, path + target, done, headers, data, until)


def _reading(told: object) -> int:
    """Give a clock's reading in µs, -1 for what is none."""
    text = str(told)
    return int(text) if text.isascii() and text.isdigit() and len(text) < 19 else -1


def _word(told: object) -> tuple[HostReport, int] | None:
    """Give what a host tells of one session, and its rung; None for what is none."""
    if not isinstance(told, dict):
        return None
    try:
        word = HostReport(told.get("state"))
    except ValueError:
        return None
    rung = told.get("rung", 0)
    good = isinstance(rung, int) and not isinstance(rung, bool) and 0 <= rung < 256
    return (word, rung) if good else None


def _read(body: bytes) -> dict[str, Any]:
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return {}
    return value if isinstance(value, dict) else {}


class _Line:
    """The standing call on which a host tells what happens."""

    def __init__(self, hosts: MediaHosts, server: bytes, events: HostEvents, target: str) -> None:
        self.server, self._hosts, self._events = server, hosts, events
        self._reader = EventReader(self._told)
        self._said_hello = False
        self._over = False
        self._timer: Timer | None = None
        self._call: Call | None = None
        self._call = hosts.client.call(
            address_of(server),
            "GET",
            target,
            self._ended,
            [("Accept", "text/event-stream")],
            on_headers=self._head,
            on_chunk=self._chunk,
        )
        self._heard()

    def _heard(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._hosts.loop.call_at(self._hosts.loop.now() + self._hosts.silent, self._silent)

    def _silent(self) -> None:
        if self._call is not None:
            self._call.fail(CallFailure.SILENT)

    def _head(self, status: int, headers: dict[str, str]) -> None:
        if status != 200:
            self._hosts.loop.call_soon(self._silent)

    def _chunk(self, data: bytes) -> None:
        self._heard()
        if not self._reader.feed(data):
            self._hosts.loop.call_soon(self._silent)

    def _told(self, kind: str, fields: dict[str, Any]) -> None:
        if self._over:
            return
        if kind == "hello":
            age = fields.get("age_ms")
            known = isinstance(age, int | float) and not isinstance(age, bool) and 0 <= age < 1e15
            self._said_hello = True
            process = str(fields.get("process", ""))[:100]
            age_us = int(age * 1000) if known else None
            clock = _reading(fields.get("clock", ""))
            self._events.host_connected(self.server, process, age_us, fields.get("drains") is True, clock)
        elif not self._said_hello:
            return
        elif kind == "tick":
            self._events.host_heartbeat(self.server, _reading(fields.get("clock", "")))
        elif kind == "drain":
            self._events.host_drain_changed(self.server, fields.get("drains") is True)
        elif kind == "ended":
            self._events.session_ended(self.server, str(fields.get("session", "")))
        elif kind in _NOTES:
            value = fields.get("value")
            if isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value):
                self._events.host_measured(self.server, _NOTES[kind], float(value))

    def _ended(self, reply: Reply | CallFailure) -> None:
        if self._over:
            return
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        self._hosts.line_over(self)
        self._events.host_disconnected(self.server, reply is CallFailure.REFUSED)

    def close(self) -> None:
        """Close it without a word to the core."""
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        if self._call is not None:
            self._call.cancel()
