"""A host's event stream: server-sent events on a long-lived call, from one gateway to one media host."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from mintmast.core.ports import HostEvents
from mintmast.hosts.protocol import parse_clock, parse_server_address
from mintmast.http.client import Call, CallFailure, HttpClient, Reply
from mintmast.http.events import EventReader
from mintmast.interface import NoteKind
from mintmast.loop import Loop, Timer

_NOTE_KINDS = {"delivered": NoteKind.DELIVERED, "link": NoteKind.LINK, "uplink": NoteKind.UPLINK}
MAX_PROCESS_NAME_LENGTH = 100


class NoteStream:
    """The event stream of one host.

    Events count from the host's `hello` on. The stream ends if nothing arrives for `silence_timeout` µs, if
    the host does not accept it, or if an event cannot be read; `on_end` is then called once, before the end
    is reported to `events`.
    """

    def __init__(
        self,
        loop: Loop,
        client: HttpClient,
        server: bytes,
        target: str,
        silence_timeout: int,
        events: HostEvents,
        on_end: Callable[[NoteStream], None],
    ) -> None:
        self.server = server
        self._loop, self._silence_timeout = loop, silence_timeout
        self._events, self._on_end = events, on_end
        self._reader = EventReader(self._handle_event)
        self._has_hello = False
        self._is_over = False
        self._timer: Timer | None = None
        self._call: Call | None = None
        self._call = client.call(
            parse_server_address(server),
            "GET",
            target,
            self._handle_end,
            [("Accept", "text/event-stream")],
            on_headers=self._handle_headers,
            on_chunk=self._handle_chunk,
        )
        self._restart_timer()

    def close(self) -> None:
        """Close the stream without reporting its end."""
        self._is_over = True
        if self._timer is not None:
            self._timer.cancel()
        if self._call is not None:
            self._call.cancel()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self._loop.now() + self._silence_timeout, self._fail)

    def _fail(self) -> None:
        if self._call is not None:
            self._call.fail(CallFailure.SILENT)

    def _handle_headers(self, status: int, headers: dict[str, str]) -> None:
        if status != 200:
            self._loop.call_soon(self._fail)

    def _handle_chunk(self, data: bytes) -> None:
        self._restart_timer()
        if not self._reader.feed(data):
            self._loop.call_soon(self._fail)

    def _handle_event(self, kind: str, fields: dict[str, Any]) -> None:
        if self._is_over:
            return
        if kind == "hello":
            self._handle_hello(fields)
        elif not self._has_hello:
            return
        elif kind == "tick":
            self._events.host_heartbeat(self.server, parse_clock(fields.get("clock", "")))
        elif kind == "drain":
            self._events.host_drain_changed(self.server, fields.get("drains") is True)
        elif kind == "ended":
            self._events.session_ended(self.server, str(fields.get("session", "")))
        elif kind in _NOTE_KINDS:
            self._handle_measurement(_NOTE_KINDS[kind], fields.get("value"))

    def _handle_hello(self, fields: dict[str, Any]) -> None:
        self._has_hello = True
        age_ms = fields.get("age_ms")
        is_age = isinstance(age_ms, int | float) and not isinstance(age_ms, bool) and 0 <= age_ms < 1e15
        uptime = int(age_ms * 1000) if is_age else None
        process = str(fields.get("process", ""))[:MAX_PROCESS_NAME_LENGTH]
        is_draining = fields.get("drains") is True
        clock = parse_clock(fields.get("clock", ""))
        self._events.host_connected(self.server, process, uptime, is_draining, clock)

    def _handle_measurement(self, kind: NoteKind, value: object) -> None:
        if isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value):
            self._events.host_measured(self.server, kind, float(value))

    def _handle_end(self, reply: Reply | CallFailure) -> None:
        if self._is_over:
            return
        self._is_over = True
        if self._timer is not None:
            self._timer.cancel()
        self._on_end(self)
        self._events.host_disconnected(self.server, reply is CallFailure.REFUSED)
