"""The pooled client: one call at a time on a connection, each with a deadline and one truthful result.

A call that fails tells how far it had come (`Fault`), as whoever pays for the call must know whether the
other side can have seen it. A connection that the peer closed while idle leaves the pool; a call is never
repeated here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import httptools

from mintmast.http.server import Headers
from mintmast.loop import CloseReason, Handler, Loop, Stream, Timer

Address = tuple[str, int]


class CallFailure(Enum):
    """Why a call brought no whole reply."""

    REFUSED = "refused"  # the peer took no connection
    NOT_CONNECTED = "not connected"  # no connection within its time, nothing sent
    CUT_UNSENT = "cut unsent"  # broken before a byte of the call went out
    CUT = "cut"  # broken after bytes went out, before any byte of a reply
    CUT_REPLY = "cut reply"  # broken within the reply
    SILENT = "silent"  # bytes went out, the deadline passed
    LATE_UNSENT = "late unsent"  # the deadline passed before a byte went out
    MALFORMED = "malformed"  # the reply is no HTTP, or past its bounds
    CALLED_OFF = "called off"  # by this side, after bytes went out
    CALLED_OFF_UNSENT = "called off unsent"


@dataclass(slots=True)
class Reply:
    """A whole reply; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Bounds of the client: counts, bytes, microseconds."""

    idle_per_address: int = 8  # idle connections kept for an address
    idle_time: int = 15_000_000
    connect_time: int = 250_000
    header_bytes: int = 16_384
    body_bytes: int = 8 << 20


DEFAULT_LIMITS = ClientLimits()


@dataclass(slots=True)
class Call:
    """A call under way; `done` hears its one result."""

    address: Address
    data: bytes
    on_done: Callable[[Reply | CallFailure], None]
    on_chunk: Callable[[bytes], None] | None = None
    on_headers: Callable[[int, dict[str, str]], None] | None = None
    is_head_request: bool = False
    connection: _Connection | None = None
    timers: list[Timer] = field(default_factory=list)
    is_finished: bool = False

    def finish(self, result: Reply | CallFailure) -> None:
        """Give the result, once."""
        if self.is_finished:
            return
        self.is_finished = True
        for timer in self.timers:
            timer.cancel()
        self.on_done(result)

    @property
    def was_sent(self) -> bool:
        """Tell whether any byte of the call was handed to the network."""
        return self.connection is not None and self.connection.has_sent()

    def cancel(self) -> None:
        """Call it off: the connection breaks, the result is told before this returns."""
        self.fail(CallFailure.CALLED_OFF if self.was_sent else CallFailure.CALLED_OFF_UNSENT)

    def fail(self, fault: CallFailure) -> None:
        """End it with a fault and break its connection."""
        if not self.is_finished:
            connection = self.connection
            if connection is not None:
                connection.call = None
            self.finish(fault)
            if connection is not None:
                connection.abort()


class HttpClient:
    """Calls by address, with idle connections kept for reuse."""

    def __init__(self, loop: Loop, limits: ClientLimits = DEFAULT_LIMITS, agent: str = "mintmast") -> None:
        self.loop, self.limits, self.agent = loop, limits, agent
        self._idle: dict[Address, list[_Connection]] = {}
        self.unsolicited = 0  # times that a peer sent bytes while no call was under way

    def call(
        self,
        address: Address,
        method: str,
        target: str,
        on_done: Callable[[Reply | CallFailure], None],
        headers: Headers | None = None,
        body: bytes = b"",
        deadline: int | None = None,
        on_headers: Callable[[int, dict[str, str]], None] | None = None,
        on_chunk: Callable[[bytes], None] | None = None,
    ) -> Call:
        """Send a request; `deadline` is a time of the loop's clock, with None the call may last for ever."""
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {address[0]}:{address[1]}",
            f"User-Agent: {self.agent}",
        ]
        lines += [f"{name}: {value}" for name, value in headers or []]
        if body or method in ("PUT", "POST", "PATCH"):
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
        call = Call(address, data, on_done, on_chunk, on_headers, method == "HEAD")
        if deadline is not None:
            call.timers.append(self.loop.call_at(deadline, self._fail_at_deadline, call))
        idle = self._idle.get(address)
        if idle:
            idle.pop().take(call)
        else:
            connection = _Connection(self, call)
            call.connection = connection
            connect_by = self.loop.now() + self.limits.connect_time
            call.timers.append(self.loop.call_at(connect_by, self._fail_if_unconnected, call))
            self.loop.connect(*address, connection)
        return call

    def close_idle(self, address: Address | None = None) -> None:
        """Close what carries nothing now."""
        for each in [address] if address is not None else list(self._idle):
            for connection in self._idle.pop(each, []):
                connection.abort()

    def _fail_at_deadline(self, call: Call) -> None:
        call.fail(CallFailure.SILENT if call.was_sent else CallFailure.LATE_UNSENT)

    def _fail_if_unconnected(self, call: Call) -> None:
        if call.connection is not None and not call.connection.is_open:
            call.fail(CallFailure.NOT_CONNECTED)

    def keep_idle(self, connection: _Connection) -> bool:
        """Take a connection back, if there is room."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= self.limits.idle_per_address:
            return False
        idle.append(connection)
        return True

    def remove_idle(self, connection: _Connection) -> None:
        """Drop a connection that is over."""
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(connection.address, None)


class _Connection(Handler):
    def __init__(self, client: HttpClient, call: Call) -> None:
        self._client = client
        self.address = call.address
        self.call: Call | None = call
        self.is_open = False
        self._stream: Stream | None = None
        self._sent_before = 0
        self._is_aborted = False
        self._idle_timer: Timer | None = None
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._body_size = self._received_bytes = 0
        self._is_complete = self._keep_alive = False

    def take(self, call: Call) -> None:
        """Carry a further call."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._reset()
        self.call, call.connection = call, self
        if self._stream is not None:
            self._sent_before = self._stream.bytes_sent
            self._stream.write(call.data)

    def has_sent(self) -> bool:
        """Tell whether bytes of the present call were handed to the network."""
        return self._stream is not None and self._stream.bytes_sent > self._sent_before

    def abort(self) -> None:
        """Break it, now or as soon as it is connected."""
        self._is_aborted = True
        if self._stream is not None:
            self._stream.abort()

    def opened(self, stream: Stream) -> None:
        self.is_open, self._stream = True, stream
        if self._is_aborted or self.call is None:
            stream.abort()
            return
        stream.write(self.call.data)

    def received(self, data: bytes) -> None:
        if self.call is None:  # a peer that talks unasked is not to be trusted
            self._client.unsolicited += 1
            self.abort()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if not self._headers and self._received_bytes > self._client.limits.header_bytes:
                raise ValueError("header too large")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError):
            if self.call is not None:
                self.call.fail(CallFailure.MALFORMED)
            return
        if self._is_complete:
            self._deliver()

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self._headers) >= 100:
            raise ValueError("too many fields")
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.call is not None and self.call.on_headers is not None:
            self.call.on_headers(self._parser.get_status_code(), self._headers)

    def on_body(self, body: bytes) -> None:
        if self.call is not None and self.call.on_chunk is not None:
            self.call.on_chunk(body)
            return
        self._body_size += len(body)
        if self._body_size > self._client.limits.body_bytes:
            raise ValueError("body too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() >= 200:
            self._is_complete = True
            self._keep_alive = bool(self._parser.should_keep_alive())  # asked later it no longer knows

    def _deliver(self) -> None:
        call, self.call = self.call, None
        if call is None:
            return
        reply = Reply(self._parser.get_status_code(), self._headers, b"".join(self._body))
        if self._keep_alive and self._client.keep_idle(self):
            when = self._client.loop.now() + self._client.limits.idle_time
            self._idle_timer = self._client.loop.call_at(when, self.abort)
        else:
            self.abort()
        call.finish(reply)

    def closed(self, reason: CloseReason) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._client.remove_idle(self)
        call, self.call = self.call, None
        if call is None:
            return
        if not self.is_open:
            call.finish(CallFailure.REFUSED if reason is CloseReason.REFUSED else CallFailure.NOT_CONNECTED)
        elif not self.has_sent():
            call.finish(CallFailure.CUT_UNSENT)
        else:
            call.finish(CallFailure.CUT_REPLY if self._received_bytes else CallFailure.CUT)
