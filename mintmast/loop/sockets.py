"""Listeners, streams and datagram sockets of the selector loop."""

from __future__ import annotations

import errno
import selectors
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from mintmast.loop.base import CloseReason, Handler, StreamLimits

if TYPE_CHECKING:
    from mintmast.loop.real import SelectorLoop

# errors of a process or machine that has no descriptor, local port or memory left
_EXHAUSTED = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
# µs until a listener accepts again after such an error: the selector would report the same connection
# without end
_ACCEPT_RETRY_US = 50_000
# accepts of one listener per iteration: enough to handle a burst soon, few enough to let others run
_ACCEPTS_PER_TURN = 16
# bytes up to which queued writes are joined
_JOINED_BYTES = 4096
# datagrams of one socket per iteration, and maximum bytes of one: longer ones are truncated and then rejected
_DATAGRAMS_PER_TURN, _MAX_DATAGRAM_BYTES = 64, 2048


def connect_failure_reason(code: int) -> CloseReason:
    """Return the reason for the error code of a failed connection attempt."""
    if code in _EXHAUSTED:
        return CloseReason.EXHAUSTED
    return CloseReason.REFUSED if code == errno.ECONNREFUSED else CloseReason.UNREACHABLE


class SocketListener:
    """A listening socket."""

    def __init__(
        self,
        loop: SelectorLoop,
        host: str,
        port: int,
        accept: Callable[[], Handler],
        backlog: int,
        limits: StreamLimits,
    ) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._loop, self._accept, self._limits, self._backlog = loop, accept, limits, backlog
        self._is_suspended = False
        self._sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind((host, port))
            self._sock.listen(backlog)
        except OSError:
            self._sock.close()
            raise
        self._sock.setblocking(False)
        self.port: int = self._sock.getsockname()[1]
        loop._selector.register(self._sock, selectors.EVENT_READ, self._ready)

    def _ready(self, mask: int) -> None:
        for _ in range(_ACCEPTS_PER_TURN):
            try:
                sock, peer = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in _EXHAUSTED:  # the remaining connections wait in the backlog
                    self._suspend_accepting()
                    return
                continue  # the connection broke before it was accepted
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handler = self._accept()
            stream = SocketStream(self._loop, sock, handler, self._limits, peer[:2], connecting=False)
            stream.watch()
            self._loop.call_safely(handler.opened, stream)

    def _suspend_accepting(self) -> None:
        if not self._is_suspended:
            self._is_suspended = True
            self._loop._selector.unregister(self._sock)
            self._loop.call_at(self._loop.now() + _ACCEPT_RETRY_US, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._sock.fileno() >= 0:
            self._is_suspended = False
            self._loop._selector.register(self._sock, selectors.EVENT_READ, self._ready)

    def finish(self) -> None:
        """Accept all waiting connections, then stop."""
        for _ in range(self._backlog // _ACCEPTS_PER_TURN + 1):
            self._ready(selectors.EVENT_READ)
        self.close()

    def close(self) -> None:
        """Stop accepting connections."""
        if self._sock.fileno() >= 0:
            if not self._is_suspended:
                self._loop._selector.unregister(self._sock)
            self._sock.close()


class DatagramSocket:
    """A datagram socket."""

    def __init__(
        self, loop: SelectorLoop, host: str, port: int, on_datagram: Callable[[bytes, tuple[str, int]], Any]
    ) -> None:
        self._loop, self._take = loop, on_datagram
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._sock.bind((host, port))
        except OSError:
            self._sock.close()
            raise
        self._sock.setblocking(False)
        self.port: int = self._sock.getsockname()[1]
        loop._selector.register(self._sock, selectors.EVENT_READ, self._ready)

    def send(self, data: bytes, to: tuple[str, int]) -> None:
        """Send a datagram."""
        try:
            self._sock.sendto(data, to)
        except OSError:  # buffer full or port unreachable: same as a lost datagram
            pass

    def _ready(self, mask: int) -> None:
        for _ in range(_DATAGRAMS_PER_TURN):
            try:
                data, peer = self._sock.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:  # error of an earlier datagram that could not be delivered; try the next
                continue
            self._loop.call_safely(self._take, data, peer[:2])

    def close(self) -> None:
        """Stop sending and receiving."""
        if self._sock.fileno() >= 0:
            self._loop._selector.unregister(self._sock)
            self._sock.close()


class SocketStream:
    """A connection."""

    def __init__(
        self,
        loop: SelectorLoop,
        sock: socket.socket | None,  # None: no descriptor was available
        handler: Handler,
        limits: StreamLimits,
        peer: tuple[str, int],
        connecting: bool,
    ) -> None:
        self._loop, self._sock, self._handler, self._limits = loop, sock, handler, limits
        self.peer = peer
        self.bytes_sent = 0
        self._output: deque[bytes | bytearray | memoryview] = deque()
        self._unsent = 0
        self._backlog = self._paused = self._closing = self._finishing = self._is_closed = False
        self._connecting = connecting
        self._mask = 0

    def watch(self) -> None:
        """Register the events that the stream needs now with the selector."""
        if self._is_closed or self._sock is None:
            return
        mask = 0 if self._paused or self._connecting else selectors.EVENT_READ
        if self._connecting or self._output:
            mask |= selectors.EVENT_WRITE
        if mask != self._mask:
            if not self._mask:
                self._loop._selector.register(self._sock, mask, self._ready)
            elif not mask:
                self._loop._selector.unregister(self._sock)
            else:
                self._loop._selector.modify(self._sock, mask, self._ready)
            self._mask = mask

    def write(self, data: bytes) -> bool:
        """Queue bytes; return False if there is a backlog."""
        if self._is_closed or self._closing or not data:
            return not self._backlog
        if not self._output and not self._connecting:
            sent = self._send(data)
            if sent == len(data) or self._is_closed:
                return True
            data = memoryview(data)[sent:]
        self._queue(data)
        if self._unsent > self._limits.max_unsent:
            self._loop.call_soon(self.end, CloseReason.OVERFLOW)
            return False
        self._backlog = self._backlog or self._unsent > self._limits.drained_below
        self.watch()
        return not self._backlog

    def _queue(self, data: bytes | memoryview) -> None:
        """Queue bytes, small ones joined: an object for each would take several times their memory."""
        self._unsent += len(data)
        last = self._output[-1] if self._output else None
        if isinstance(last, bytearray) and len(last) < _JOINED_BYTES:
            last += data
        else:
            self._output.append(bytearray(data) if len(data) < _JOINED_BYTES else data)

    def _send(self, data: bytes | bytearray | memoryview) -> int:
        try:
            sent = self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            self._loop.call_soon(self.end, CloseReason.RESET)
            return 0
        self.bytes_sent += sent
        return sent

    def pause(self) -> None:
        """Stop reading until `resume`."""
        self._paused = True
        self.watch()

    def resume(self) -> None:
        """Continue reading."""
        self._paused = False
        self.watch()

    def close(self) -> None:
        """Close after sending all queued bytes."""
        self._closing = True
        if not self._output and not self._connecting:
            self._loop.call_soon(self.end, CloseReason.LOCAL)

    def has_unread(self) -> bool:
        """Return whether bytes from the peer, or its end of stream, have not been read yet."""
        if self._is_closed or self._connecting:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            pass
        return True

    def finish(self) -> None:
        """Send all queued bytes and an end of stream, then wait for the peer's end of stream."""
        if self._is_closed:
            return
        self._closing = self._finishing = True
        self._paused = False
        self.watch()
        if not self._output and not self._connecting:
            self._end_of_stream()

    def _end_of_stream(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._loop.call_soon(self.end, CloseReason.RESET)

    def abort(self) -> None:
        """Close at once."""
        self.end(CloseReason.LOCAL)

    def end(self, reason: CloseReason) -> None:
        """Close the stream and report the reason to the handler, once."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._mask:
            self._loop._selector.unregister(self._sock)
        if reason is not CloseReason.EOF and self._unsent and self._sock is not None:
            try:  # queued bytes are dropped: signal this to the peer by a reset
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            except OSError:
                pass
        if self._sock is not None:
            self._sock.close()
        self._output.clear()
        self._loop.call_safely(self._handler.closed, reason)

    def _ready(self, mask: int) -> None:
        if self._is_closed:
            return
        if self._connecting:
            self._connected()
            return
        if mask & selectors.EVENT_WRITE:
            self._flush()
        if mask & selectors.EVENT_READ and not self._is_closed and not self._paused:
            try:
                data = self._sock.recv(self._limits.read_size)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.end(CloseReason.RESET)
                return
            if self._finishing:
                if not data:
                    self.end(CloseReason.EOF)
            elif data:
                self._handler.received(data)
            else:
                self._paused = True
                self.watch()
                self._handler.finished()
                if not self._closing:
                    self.end(CloseReason.EOF)

    def _connected(self) -> None:
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.end(connect_failure_reason(code))
            return
        self._connecting = False
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._handler.opened(self)
        self._flush()

    def _flush(self) -> None:
        while self._output and not self._is_closed:
            data = self._output[0]
            sent = self._send(data)
            self._unsent -= sent
            if sent < len(data):
                self._output[0] = memoryview(data)[sent:]
                break
            self._output.popleft()
        self.watch()
        if not self._output and self._finishing:
            self._end_of_stream()
        elif not self._output and self._closing:
            self.end(CloseReason.LOCAL)
        elif self._backlog and self._unsent <= self._limits.drained_below:
            self._backlog = False
            self._handler.drained()
