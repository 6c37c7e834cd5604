"""HTTP client with connection pooling: one call at a time per connection, each with exactly one result.

A failed call reports how far it got (`Fault`), because a caller that pays for the call must know whether the
server may have received it. A connection closed by the peer while idle is removed from the pool. Calls are
never retried here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import httptools

from mintmast.http.server import Headers
from mintmast.loop import Close, Handler, Loop, Stream, Timer

Address = tuple[str, int]


class Fault(Enum):
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

    idle_each: int = 8  # idle connections kept per address
    idle_time: int = 15_000_000
    connect_time: int = 250_000
    header_bytes: int = 16_384
    body_bytes: int = 8 << 20


DEFAULT = ClientLimits()


@dataclass(slots=True)
class Call:
    """A pending call; `done` is called once with its result."""

    address: Address
    data: bytes
    done: Callable[[Reply | Fault], None]
    on_chunk: Callable[[bytes], None] | None = None
    on_head: Callable[[int, dict[str, str]], None] | None = None
    head_only: bool = False
    connection: _Connection | None = None
    timers: list[Timer] = field(default_factory=list)
    over: bool = False

    def finish(self, result: Reply | Fault) -> None:
        """Report the result, once."""
        if self.over:
            return
        self.over = True
        for timer in self.timers:
            timer.cancel()
        self.done(result)

    @property
    def sent(self) -> bool:
        """Return whether any byte of the call was passed to the network."""
        return self.connection is not None and self.connection.sent_any()

    def cancel(self) -> None:
        """Cancel the call: break its connection and report the result before returning."""
        self.stop(Fault.CALLED_OFF if self.sent else Fault.CALLED_OFF_UNSENT)

    def stop(self, fault: Fault) -> None:
        """End the call with a failure and break its connection."""
        if not self.over:
            connection = self.connection
            if connection is not None:
                connection.call = None
            self.finish(fault)
            if connection is not None:
                connection.abort()


class HttpClient:
    """An HTTP client that keeps idle connections per address for reuse."""

    def __init__(self, loop: Loop, limits: ClientLimits = DEFAULT, agent: str = "mintmast") -> None:
        self.loop, self.limits, self.agent = loop, limits, agent
        self._idle: dict[Address, list[_Connection]] = {}
        self.unasked = 0  # times that a peer sent bytes while no call was pending

    def call(
        self,
        address: Address,
        method: str,
        target: str,
        done: Callable[[Reply | Fault], None],
        headers: Headers | None = None,
        body: bytes = b"",
        deadline: int | None = None,
        on_head: Callable[[int, dict[str, str]], None] | None = None,
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
        call = Call(address, data, done, on_chunk, on_head, method == "HEAD")
        if deadline is not None:
            call.timers.append(self.loop.call_at(deadline, self._late, call))
        idle = self._idle.get(address)
        if idle:
            idle.pop().take(call)
        else:
            connection = _Connection(self, call)
            call.connection = connection
            connect_by = self.loop.now() + self.limits.connect_time
            call.timers.append(self.loop.call_at(connect_by, self._unconnected, call))
            self.loop.connect(*address, connection)
        return call

    def close_idle(self, address: Address | None = None) -> None:
        """Close the idle connections to an address, or all idle connections."""
        for each in [address] if address is not None else list(self._idle):
            for connection in self._idle.pop(each, []):
                connection.abort()

    def _late(self, call: Call) -> None:
        call.stop(Fault.SILENT if call.sent else Fault.LATE_UNSENT)

    def _unconnected(self, call: Call) -> None:
        if call.connection is not None and not call.connection.is_open:
            call.stop(Fault.NOT_CONNECTED)

    def keep(self, connection: _Connection) -> bool:
        """Return a connection to the pool; return False if the pool is full."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= self.limits.idle_each:
            return False
        idle.append(connection)
        return True

    def forget(self, connection: _Connection) -> None:
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
        self._before = 0
        self._aborted = False
        self._idle: Timer | None = None
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._fields: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = self._seen = 0
        self._complete = self._keep = False

    def take(self, call: Call) -> None:
        """Send a further call on this connection."""
        if self._idle is not None:
            self._idle.cancel()
        self._reset()
        self.call, call.connection = call, self
        if self._stream is not None:
            self._before = self._stream.handed_over
            self._stream.write(call.data)

    def sent_any(self) -> bool:
        """Return whether bytes of the current call were passed to the network."""
        return self._stream is not None and self._stream.handed_over > self._before

    def abort(self) -> None:
        """Break the connection, now or as soon as it is established."""
        self._aborted = True
        if self._stream is not None:
            self._stream.abort()

    def opened(self, stream: Stream) -> None:
        self.is_open, self._stream = True, stream
        if self._aborted or self.call is None:
            stream.abort()
            return
        stream.write(self.call.data)

    def received(self, data: bytes) -> None:
        if self.call is None:  # bytes without a pending call would be taken for the next call's reply
            self._client.unasked += 1
            self.abort()
            return
        self._seen += len(data)
        try:
            self._parser.feed_data(data)
            if not self._fields and self._seen > self._client.limits.header_bytes:
                raise ValueError("header too large")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError):
            if self.call is not None:
                self.call.stop(Fault.MALFORMED)
            return
        if self._complete:
            self._deliver()

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self._fields) >= 100:
            raise ValueError("too many fields")
        self._fields[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.call is not None and self.call.on_head is not None:
            self.call.on_head(self._parser.get_status_code(), self._fields)

    def on_body(self, body: bytes) -> None:
        if self.call is not None and self.call.on_chunk is not None:
            self.call.on_chunk(body)
            return
        self._size += len(body)
        if self._size > self._client.limits.body_bytes:
            raise ValueError("body too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() >= 200:
            self._complete = True
            self._keep = bool(self._parser.should_keep_alive())  # only valid inside this callback

    def _deliver(self) -> None:
        call, self.call = self.call, None
        if call is None:
            return
        reply = Reply(self._parser.get_status_code(), self._fields, b"".join(self._body))
        if self._keep and self._client.keep(self):
            when = self._client.loop.now() + self._client.limits.idle_time
            self._idle = self._client.loop.call_at(when, self.abort)
        else:
            self.abort()
        call.finish(reply)

    def closed(self, reason: Close) -> None:
        if self._idle is not None:
            self._idle.cancel()
        self._client.forget(self)
        call, self.call = self.call, None
        if call is None:
            return
        if not self.is_open:
            call.finish(Fault.REFUSED if reason is Close.REFUSED else Fault.NOT_CONNECTED)
        elif not self.sent_any():
            call.finish(Fault.CUT_UNSENT)
        else:
            call.finish(Fault.CUT_REPLY if self._seen else Fault.CUT)
