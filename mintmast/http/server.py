"""HTTP server: parse requests with httptools, pass each to a handler as an `Exchange`, answer in order.

Pipelined requests are answered in the order in which they were received (RFC 9112, 9.3).

`ServerLimits` bounds each connection. Malformed, oversized and slow requests get an error status, and the
connection is closed. A peer that closes its side before it has its answer counts as disconnected: players
do not half-close.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qsl, unquote

import httptools

from mintmast.loop import Close, Handler, Loop, Stream, Timer

Headers = list[tuple[str, str]]
# header fields of one request; browsers send about twenty
MOST_FIELDS = 100


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """Limits of a server and its connections in bytes, counts and microseconds."""

    header_bytes: int = 16_384
    body_bytes: int = 65_536
    connections: int = 20_000
    pipelined: int = 16
    header_time: int = 5_000_000
    idle_time: int = 30_000_000


DEFAULT = ServerLimits()


class Exchange:
    """A request and its single response; further responses are ignored."""

    __slots__ = (
        "_parts",
        "body",
        "connection",
        "done",
        "headers",
        "keep",
        "method",
        "on_gone",
        "path",
        "query",
        "streaming",
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
        self.keep = True
        self.done = self.streaming = False
        self.on_gone: Callable[[], None] | None = None
        self._parts: list[bytes] = []

    def respond(self, status: int, headers: Headers | None = None, body: bytes = b"") -> None:
        """Send the response."""
        if self.done:
            return
        self.done = True
        self._parts.append(self._head(status, headers or [], len(body)))
        if self.method != "HEAD" and status != 304:
            self._parts.append(body)
        self.connection.flush()

    def problem(self, status: int, title: str, detail: str = "", headers: Headers | None = None) -> None:
        """Send a response with problem details (RFC 9457)."""
        told = {"type": "about:blank", "status": status, "title": title}
        if detail:
            told["detail"] = detail
        body = json.dumps(told).encode()
        self.respond(status, [("Content-Type", "application/problem+json"), *(headers or [])], body)

    def start(self, status: int, headers: Headers) -> None:
        """Start a chunked response of unknown length; `send` and `finish` follow."""
        self.streaming = True
        self._parts.append(self._head(status, headers, None))
        self.connection.flush()

    def send(self, data: bytes) -> bool:
        """Send a chunk; return False if the peer reads too slowly."""
        if self.done or not data:
            return True
        self._parts.append(b"%x\r\n%b\r\n" % (len(data), data))
        return self.connection.flush()

    def finish(self) -> None:
        """End a chunked response."""
        if not self.done:
            self.done = True
            self._parts.append(b"0\r\n\r\n")
            self.connection.flush()

    def cut(self) -> None:
        """Break the connection without a response."""
        self.done = True
        self.connection.abort()

    def _head(self, status: int, headers: Headers, length: int | None) -> bytes:
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
        if not self.keep:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")

    def take_parts(self) -> bytes:
        """Return and clear the output that is ready to be written."""
        data, self._parts = b"".join(self._parts), []
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
        limits: ServerLimits = DEFAULT,
    ) -> None:
        self.loop, self.handle, self.limits = loop, handle, limits
        self.connections: dict[_Connection, None] = {}
        self._listener = loop.listen(host, port, lambda: _Connection(self))
        self.port = self._listener.port

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
        self._now: Exchange | None = None  # the request being parsed
        self._seen = self._size = self._head_lines = self._head_size = 0
        self._url = b""
        self._closing = self._over = False
        self._timer: Timer | None = None
        self._fields: dict[str, str] = {}
        self._body: list[bytes] = []

    # Callbacks of the loop

    def opened(self, stream: Stream) -> None:
        self._stream = stream
        if len(self._server.connections) >= self._server.limits.connections:
            stream.abort()
            return
        self._server.connections[self] = None
        self._wait(self._server.limits.header_time)

    def received(self, data: bytes) -> None:
        if self._closing:
            return
        self._seen += len(data)
        try:
            self._parser.feed_data(data)
            if self._seen > self._server.limits.header_bytes and self._now is None:
                raise _BadRequestError(431, "request header too large")
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrade is not offered")
        except _BadRequestError as bad:
            self._refuse(bad.status, bad.reason)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__ or error.__cause__
            if isinstance(cause, _BadRequestError):
                self._refuse(cause.status, cause.reason)
            else:
                raise
        except httptools.HttpParserError:
            self._refuse(400, "malformed request")

    def drained(self) -> None:
        self.flush()

    def closed(self, reason: Close) -> None:
        self._over = True
        self._server.connections.pop(self, None)
        self._wait(None)
        for exchange in self._queue:
            if not exchange.done:
                exchange.done = True
                if exchange.on_gone is not None:
                    exchange.on_gone()
        self._queue.clear()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        self._fields, self._body, self._size, self._url = {}, [], 0, b""
        self._head_lines = self._head_size = 0

    def on_url(self, url: bytes) -> None:
        self._url += url
        if len(self._url) > self._server.limits.header_bytes:
            raise _BadRequestError(414, "target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_lines += 1
        self._head_size += len(name) + len(value)
        if self._head_lines > MOST_FIELDS or self._head_size > self._server.limits.header_bytes:
            raise _BadRequestError(431, "request header too large")
        key = name.decode("latin-1").lower()
        if key == "host" and key in self._fields:  # RFC 9112, 3.2
            raise _BadRequestError(400, "more than one Host field")
        told = value.decode("latin-1")
        self._fields[key] = f"{self._fields[key]}, {told}" if key in self._fields else told

    def on_headers_complete(self) -> None:
        length = self._fields.get("content-length", "0")
        if not length.isdigit() or int(length) > self._server.limits.body_bytes:
            raise _BadRequestError(413, "body too large")
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            raise _BadRequestError(505, "HTTP/1.1 is spoken here")
        if self._parser.get_http_version() == "1.1" and "host" not in self._fields:
            raise _BadRequestError(400, "no Host field")
        try:
            target = self._url.decode("ascii")
        except UnicodeDecodeError:
            raise _BadRequestError(400, "target is not ASCII") from None
        try:
            self._now = Exchange(self, self._parser.get_method().decode("ascii"), target)
        except ValueError:
            raise _BadRequestError(400, "too many query fields") from None
        if self._fields.get("expect", "").lower() == "100-continue" and self._stream is not None:
            self._stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > self._server.limits.body_bytes:
            raise _BadRequestError(413, "body too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        exchange, self._now = self._now, None
        self._seen = 0
        if exchange is None or self._closing:
            return
        exchange.headers, exchange.body = self._fields, b"".join(self._body)
        exchange.keep = bool(self._parser.should_keep_alive())
        self._queue.append(exchange)
        self._wait(None)
        if len(self._queue) >= self._server.limits.pipelined and self._stream is not None:
            self._stream.pause()
        self._server.handle(exchange)

    # Responses

    def flush(self) -> bool:
        """Write responses in order as far as they are ready; return False if the peer reads too slowly."""
        if self._over or self._stream is None:
            return False
        ready = True
        while self._queue and not self._over:
            first = self._queue[0]
            ready = self._stream.write(first.take_parts())
            if not first.done:
                return ready
            self._queue.popleft()
            if not first.keep:
                self._closing = True
                self._stream.close()
                return ready
        if len(self._queue) < self._server.limits.pipelined:
            self._stream.resume()
        if not self._queue:
            self._wait(self._server.limits.idle_time)
        return ready

    def abort(self) -> None:
        """Break the connection."""
        if self._stream is not None:
            self._stream.abort()

    def _refuse(self, status: int, reason: str) -> None:
        self._closing = True
        exchange = Exchange(self, "GET", "/")
        exchange.keep = False
        self._queue.append(exchange)
        exchange.problem(status, reason)

    def _wait(self, span: int | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = self._server.loop
        self._timer = None if span is None else loop.call_at(loop.now() + span, self._late)

    def _late(self) -> None:
        if self._seen and not self._queue:
            self._refuse(408, "request not complete in time")
        elif not self._queue:
            self.abort()
