"""HTTP server: parse requests with httptools, pass each to a handler as an `Exchange`, answer in order.

Pipelined requests are answered in the order in which they were received (RFC 9112, 9.3).

`ServerLimits` bounds each connection. A few bytes of each are parsed in turn, so that none holds up the
others, and nothing more is read from one whose bytes wait, or whose peer does not take its responses.
Malformed, oversized and slow requests get an error status, and the connection is closed. A peer that closes
its side before it has its answer counts as disconnected: players do not half-close.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qsl, unquote

import httptools

from mintmast.loop import CloseReason, Handler, Loop, Stream, StreamLimits, Timer
from mintmast.loop.round_robin import RoundRobin

Headers = list[tuple[str, str]]
# header fields of one request; browsers send about twenty
MAX_HEADER_FIELDS = 100
# bytes of one connection that are parsed before others get their turn, more than a head with a token has, and
# such steps of all connections in one turn of the loop
PIECE_BYTES, PIECES_PER_TURN = 1024, 4
# bytes of one read, and bytes of responses that a peer may not have taken before its requests wait
STREAM_LIMITS = StreamLimits(drained_below=1 << 14, read_size=1 << 14)
# µs between looks at the connections of a draining server, and µs in which a peer may close after this side
DRAIN_POLL_US, PEER_CLOSE_TIME_US = 50_000, 500_000


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """Limits of a server and its connections in bytes, counts and microseconds."""

    header_bytes: int = 16_384
    body_bytes: int = 65_536
    connections: int = 20_000
    pipelined: int = 16
    header_time: int = 5_000_000
    idle_time: int = 30_000_000


DEFAULT_LIMITS = ServerLimits()


class Exchange:
    """A request and its single response; further responses are ignored."""

    __slots__ = (
        "_output",
        "body",
        "connection",
        "is_answered",
        "headers",
        "keep_alive",
        "method",
        "on_disconnect",
        "path",
        "query",
        "is_streaming",
        "target",
    )

    def __init__(self, connection: _Connection, method: str, target: str) -> None:
        self.connection = connection
        self.method, self.target = method, target
        path, _, query = target.partition("?")
        self.path = unquote(path)
        self.query: dict[str, str] = dict(parse_qsl(query, max_num_fields=32)) if query else {}
        self.headers: dict[str, str] = {}
        self.body = b""
        self.keep_alive = True
        self.is_answered = self.is_streaming = False
        self.on_disconnect: Callable[[], None] | None = None
        self._output: list[bytes] = []

    def respond(self, status: int, headers: Headers | None = None, body: bytes = b"") -> None:
        """Send the response."""
        if self.is_answered:
            return
        self.is_answered = True
        self._output.append(self._format_head(status, headers or [], len(body)))
        if self.method != "HEAD" and status != 304:
            self._output.append(body)
        self.connection.flush()

    def respond_problem(
        self, status: int, title: str, detail: str = "", headers: Headers | None = None
    ) -> None:
        """Send a response with problem details (RFC 9457)."""
        details = {"type": "about:blank", "status": status, "title": title}
        if detail:
            details["detail"] = detail
        body = json.dumps(details).encode()
        self.respond(status, [("Content-Type", "application/problem+json"), *(headers or [])], body)

    def start_stream(self, status: int, headers: Headers) -> None:
        """Start a chunked response of unknown length; `send_chunk` and `finish_stream` follow."""
        self.is_streaming = True
        self._output.append(self._format_head(status, headers, None))
        self.connection.flush()

    def send_chunk(self, data: bytes) -> bool:
        """Send a chunk; return False if the peer reads too slowly."""
        if self.is_answered or not data:
            return True
        self._output.append(b"%x\r\n%b\r\n" % (len(data), data))
        return self.connection.flush()

    def finish_stream(self) -> None:
        """End a chunked response."""
        if not self.is_answered:
            self.is_answered = True
            self._output.append(b"0\r\n\r\n")
            self.connection.flush()

    def abort(self) -> None:
        """Break the connection without a response."""
        self.is_answered = True
        self.connection.abort()

    def _format_head(self, status: int, headers: Headers, length: int | None) -> bytes:
        try:
            reason = HTTPStatus(status).phrase
        except ValueError:
            reason = ""
        lines = [f"HTTP/1.1 {status} {reason}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if length is None:
            lines.append("Transfer-Encoding: chunked")
        elif status not in (204, 304):
            lines.append(f"Content-Length: {length}")
        if not self.keep_alive:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")

    def take_output(self) -> bytes:
        """Return and clear the output that is ready to be written."""
        data, self._output = b"".join(self._output), []
        return data


class _BadRequestError(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class HttpServer:
    """An HTTP server that listens on an address and calls `handle` with each exchange."""

    def __init__(
        self,
        loop: Loop,
        host: str,
        port: int,
        handle: Callable[[Exchange], None],
        limits: ServerLimits = DEFAULT_LIMITS,
    ) -> None:
        self.loop, self.handle, self.limits = loop, handle, limits
        self.connections: dict[_Connection, None] = {}
        self.input = RoundRobin(loop, PIECES_PER_TURN)
        self._listener = loop.listen(host, port, lambda: _Connection(self), limits=STREAM_LIMITS)
        self.port = self._listener.port

    def drain(self, deadline: int, on_drained: Callable[[], None]) -> None:
        """Stop accepting, answer the requests that come in whole, and close each connection after that.

        `on_drained` is called once no connection is left, or at `deadline` (µs).
        """
        self._listener.finish()
        self._close_idle_connections(deadline, on_drained)

    def _close_idle_connections(self, deadline: int, on_drained: Callable[[], None]) -> None:
        for connection in list(self.connections):
            connection.close_if_idle()
        now = self.loop.now()
        if self.connections and now < deadline:
            self.loop.call_at(
                min(now + DRAIN_POLL_US, deadline), self._close_idle_connections, deadline, on_drained
            )
        else:
            on_drained()

    def close(self) -> None:
        """Stop accepting and break all open connections."""
        self._listener.close()
        for connection in list(self.connections):
            connection.abort()


class _Connection(Handler):
    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._stream: Stream | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[Exchange] = deque()
        self._parsing: Exchange | None = None  # the request being parsed
        self._received_bytes = self._body_size = self._header_count = self._header_size = 0
        self._bytes_since_body = 0  # of the request being parsed, apart from its body
        self._pending, self._parsed = b"", 0  # received bytes, and how many of them are parsed
        self._is_paused = self._is_blocked = False  # nothing is read; the peer does not take its responses
        self._url = b""
        self._is_closing = self._is_closed = False
        self._is_receiving = False  # a request has begun and is not complete
        self._timer: Timer | None = None
        self._timeout_at: int | None = None
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []

    # Callbacks of the loop

    def opened(self, stream: Stream) -> None:
        self._stream = stream
        if len(self._server.connections) >= self._server.limits.connections:
            stream.abort()
            return
        self._server.connections[self] = None
        self._set_timeout(self._server.limits.header_time)

    def received(self, data: bytes) -> None:
        if self._is_closing:
            return
        self._pending, self._parsed = self._pending[self._parsed :] + data, 0
        self._server.input.run_or_add(self._parse_piece)
        self._update_reading()

    def drained(self) -> None:
        self._is_blocked = False
        self.flush()

    @property
    def _has_pending(self) -> bool:
        return self._parsed < len(self._pending)

    @property
    def _must_wait(self) -> bool:
        """Return whether no request may be parsed until responses are sent."""
        return self._is_blocked or len(self._queue) >= self._server.limits.pipelined

    def _parse_piece(self) -> bool:
        """Parse a few bytes; return whether more can be parsed now."""
        if self._is_closing or self._is_closed:
            self._pending, self._parsed = b"", 0
        elif self._has_pending and not self._must_wait:
            piece = self._pending[self._parsed : self._parsed + PIECE_BYTES]
            self._parsed += len(piece)
            self._parse(piece)
            if not self._has_pending:
                self._pending, self._parsed = b"", 0
                self._update_reading()
        return self._has_pending and not self._must_wait

    def _update_reading(self) -> None:
        """Read only while all received bytes are parsed; parse on where nothing is to be waited for."""
        if self._stream is None or self._is_closing or self._is_closed:
            return
        if self._has_pending and not self._must_wait:
            self._server.input.add(self._parse_piece)
        must_pause = self._has_pending or self._must_wait
        if must_pause and not self._is_paused:
            self._stream.pause()
        elif self._is_paused and not must_pause:
            self._stream.resume()
        self._is_paused = must_pause

    def _parse(self, data: bytes) -> None:
        limit = self._server.limits.header_bytes
        self._received_bytes += len(data)
        self._bytes_since_body += len(data)
        try:
            self._parser.feed_data(data)
            if self._received_bytes > limit and self._parsing is None:
                raise _BadRequestError(431, "request header too large")
            if self._bytes_since_body > limit and self._parsing is not None:
                raise _BadRequestError(431, "request trailer too large")
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrade is not offered")
        except _BadRequestError as bad:
            self._reject(bad.status, bad.reason)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__ or error.__cause__
            if isinstance(cause, _BadRequestError):
                self._reject(cause.status, cause.reason)
            else:
                raise
        except httptools.HttpParserError:
            self._reject(400, "malformed request")

    def closed(self, reason: CloseReason) -> None:
        self._is_closed = True
        self._server.input.remove(self._parse_piece)
        self._server.connections.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()
        for exchange in self._queue:
            if not exchange.is_answered:
                exchange.is_answered = True
                if exchange.on_disconnect is not None:
                    exchange.on_disconnect()
        self._queue.clear()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        self._is_receiving = True
        self._bytes_since_body = 0
        if not self._queue:
            self._set_timeout(self._server.limits.header_time)
        self._headers, self._body, self._body_size, self._url = {}, [], 0, b""
        self._header_count = self._header_size = 0

    def on_url(self, url: bytes) -> None:
        self._url += url
        if len(self._url) > self._server.limits.header_bytes:
            raise _BadRequestError(414, "target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_count += 1
        self._header_size += len(name) + len(value)
        if self._header_count > MAX_HEADER_FIELDS or self._header_size > self._server.limits.header_bytes:
            raise _BadRequestError(431, "request header too large")
        key = name.decode("latin-1").lower()
        if key == "host" and key in self._headers:  # RFC 9112, 3.2
            raise _BadRequestError(400, "more than one Host field")
        text = value.decode("latin-1")
        self._headers[key] = f"{self._headers[key]}, {text}" if key in self._headers else text

    def on_headers_complete(self) -> None:
        length = self._headers.get("content-length", "0")
        if not length.isdigit() or int(length) > self._server.limits.body_bytes:
            raise _BadRequestError(413, "body too large")
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            raise _BadRequestError(505, "HTTP/1.1 is spoken here")
        if self._parser.get_http_version() == "1.1" and "host" not in self._headers:
            raise _BadRequestError(400, "no Host field")
        try:
            target = self._url.decode("ascii")
        except UnicodeDecodeError:
            raise _BadRequestError(400, "target is not ASCII") from None
        try:
            self._parsing = Exchange(self, self._parser.get_method().decode("ascii"), target)
        except ValueError:
            raise _BadRequestError(400, "too many query fields") from None
        if self._headers.get("expect", "").lower() == "100-continue" and self._stream is not None:
            self._stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body_size += len(body)
        self._bytes_since_body = 0
        if self._body_size > self._server.limits.body_bytes:
            raise _BadRequestError(413, "body too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        exchange, self._parsing = self._parsing, None
        self._received_bytes, self._is_receiving = 0, False
        if exchange is None or self._is_closing:
            return
        exchange.headers, exchange.body = self._headers, b"".join(self._body)
        exchange.keep_alive = bool(self._parser.should_keep_alive())
        self._queue.append(exchange)
        self._set_timeout(None)
        self._server.handle(exchange)

    # Responses

    def flush(self) -> bool:
        """Write responses in order as far as they are ready; return False if the peer reads too slowly."""
        if self._is_closed or self._stream is None:
            return False
        ready = True
        while self._queue and not self._is_closed:
            first = self._queue[0]
            ready = self._stream.write(first.take_output())
            self._is_blocked = not ready
            if not first.is_answered:
                return ready
            self._queue.popleft()
            if not first.keep_alive:
                self._is_closing = True
                self._stream.close()
                return ready
        self._update_reading()
        if not self._queue:
            limits = self._server.limits
            self._set_timeout(limits.header_time if self._is_receiving else limits.idle_time)
        return ready

    def close_if_idle(self) -> None:
        """Close the connection, if it is open and no request is unanswered or arriving on it."""
        if self._is_closing or self._stream is None or self._queue or self._is_receiving or self._has_pending:
            return
        if not self._stream.has_unread():
            self._is_closing = True
            self._stream.finish()
            loop = self._server.loop
            self._set_timeout(None)
            loop.call_at(loop.now() + PEER_CLOSE_TIME_US, self.abort)

    def abort(self) -> None:
        """Break the connection."""
        if self._stream is not None:
            self._stream.abort()

    def _reject(self, status: int, reason: str) -> None:
        self._is_closing = True
        exchange = Exchange(self, "GET", "/")
        exchange.keep_alive = False
        self._queue.append(exchange)
        exchange.respond_problem(status, reason)

    def _set_timeout(self, span: int | None) -> None:
        """Set the time after which the connection is ended, in µs from now, or None for no such time.

        A timer that is due earlier stays and is set anew when it fires: a timer for each request would have
        to be kept until its time, long after the request.
        """
        loop = self._server.loop
        self._timeout_at = None if span is None else loop.now() + span
        if self._timeout_at is None or (self._timer is not None and self._timer.when <= self._timeout_at):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_at(self._timeout_at, self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer = None
        if self._timeout_at is None or self._is_closed:
            return
        if self._server.loop.now() < self._timeout_at:
            self._set_timeout(self._timeout_at - self._server.loop.now())
        elif (self._received_bytes or self._has_pending) and not self._queue:
            self._reject(408, "request not complete in time")
        elif not self._queue:
            self.abort()
