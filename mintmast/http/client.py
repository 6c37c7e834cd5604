"""HTTP client with connection pooling: one call at a time per connection, each with exactly one result.

A failed call reports how far it got (`CallFailure`), because a caller that pays for the call must know
whether the server may have received it. A connection closed by the peer while idle is removed from the pool.
Calls are never retried here.
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
    """The reason why a call has no complete reply."""

    REFUSED = "refused"  # the peer refused the connection
    NOT_CONNECTED = "not connected"  # the connection attempt failed or timed out; nothing sent
    CUT_UNSENT = "cut unsent"  # connection lost before any byte of the call was sent
    CUT = "cut"  # connection lost after bytes were sent, before any byte of a reply
    CUT_REPLY = "cut reply"  # connection lost within the reply
    SILENT = "silent"  # bytes were sent, and the deadline passed
    LATE_UNSENT = "late unsent"  # the deadline passed before any byte was sent
    MALFORMED = "malformed"  # the reply is not HTTP, or exceeds the limits
    CALLED_OFF = "called off"  # cancelled by this side after bytes were sent
    CALLED_OFF_UNSENT = "called off unsent"


@dataclass(slots=True)
class Reply:
    """A complete reply; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Limits of the client in counts, bytes and microseconds."""

    idle_per_address: int = 8  # idle connections kept per address
    idle_time: int = 15_000_000
    connect_time: int = 250_000
    header_bytes: int = 16_384
    body_bytes: int = 8 << 20


DEFAULT_LIMITS = ClientLimits()


@dataclass(slots=True)
class Call:
    """A pending call; `on_done` is called once with its result."""

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
        """Report the result, once."""
        if self.is_finished:
            return
        self.is_finished = True
        for timer in self.timers:
            timer.cancel()
        self.on_done(result)

    @property
    def is_connected(self) -> bool:
        """Return whether the call's connection has come up."""
        return self.connection is not None and self.connection.is_open

    @property
    def was_sent(self) -> bool:
        """Return whether any byte of the call was passed to the network."""
        return self.connection is not None and self.connection.has_sent()

    def cancel(self) -> None:
        """Cancel the call: break its connection and report the result before returning."""
        self.fail(CallFailure.CALLED_OFF if self.was_sent else CallFailure.CALLED_OFF_UNSENT)

    def fail(self, failure: CallFailure) -> None:
        """End the call with a failure and break its connection."""
        if not self.is_finished:
            connection = self.connection
            if connection is not None:
                connection.call = None
            self.finish(failure)
            if connection is not None:
                connection.abort()


class HttpClient:
    """An HTTP client that keeps idle connections per address for reuse."""

    def __init__(self, loop: Loop, limits: ClientLimits = DEFAULT_LIMITS, agent: str = "mintmast") -> None:
        self.loop, self.limits, self.agent = loop, limits, agent
        self._idle: dict[Address, list[_Connection]] = {}
        self.unsolicited = 0  # times that a peer sent bytes while no call was pending

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
        """Send a request; `deadline` is a time of the loop's clock, None means no deadline."""
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
            idle.pop().start_call(call)
        else:
            connection = _Connection(self, call)
            call.connection = connection
            connect_by = self.loop.now() + self.limits.connect_time
            call.timers.append(self.loop.call_at(connect_by, self._fail_if_unconnected, call))
            connection.attach(self.loop.connect(*address, connection))
        return call

    def close_idle(self, address: Address | None = None) -> None:
        """Close the idle connections to an address, or all idle connections."""
        for each in [address] if address is not None else list(self._idle):
            for connection in self._idle.pop(each, []):
                connection.abort()

    def _fail_at_deadline(self, call: Call) -> None:
        call.fail(CallFailure.SILENT if call.was_sent else CallFailure.LATE_UNSENT)

    def _fail_if_unconnected(self, call: Call) -> None:
        if not call.is_connected:
            call.fail(CallFailure.NOT_CONNECTED)

    def keep_idle(self, connection: _Connection) -> bool:
        """Return a connection to the pool; return False if the pool is full."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= self.limits.idle_per_address:
            return False
        idle.append(connection)
        return True

    def remove_idle(self, connection: _Connection) -> None:
        """Remove a closed connection from the pool."""
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
        self._idle_timer: Timer | None = None
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._body_size = self._received_bytes = 0
        self._is_complete = self._keep_alive = False

    def attach(self, stream: Stream) -> None:
        """Own the stream from the connection attempt on, so that `abort` frees its descriptor at any time."""
        self._stream = stream

    def start_call(self, call: Call) -> None:
        """Send a further call on this connection."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._reset()
        self.call, call.connection = call, self
        if self._stream is not None:
            self._sent_before = self._stream.bytes_sent
            self._stream.write(call.data)

    def has_sent(self) -> bool:
        """Return whether bytes of the current call were passed to the network."""
        return self._stream is not None and self._stream.bytes_sent > self._sent_before

    def abort(self) -> None:
        """Break the connection, or give up the attempt to connect."""
        if self._stream is not None:
            self._stream.abort()

    def opened(self, stream: Stream) -> None:
        self.is_open = True
        if self.call is not None:
            stream.write(self.call.data)

    def received(self, data: bytes) -> None:
        if self.call is None:  # a peer that sends unsolicited bytes is not trusted
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
            self._keep_alive = bool(self._parser.should_keep_alive())  # only valid inside this callback

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
