"""Real sockets on the selector loop: listeners, streams and ports for datagrams."""

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

# what a call fails with when this process or machine has no descriptor, local port or memory left
_EXHAUSTED = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
# µs that a listener rests after such a failure: the selector tells of the same connection at once, for ever
_ACCEPT_RETRY_US = 50_000
# accepts of one listener in one turn: enough to empty a burst soon, few enough to let others run
_ACCEPTS_PER_TURN = 64
# datagrams of one port in one turn, and bytes of one at the most: longer ones are cut and then not understood
_DATAGRAMS_PER_TURN, _MAX_DATAGRAM_BYTES = 64, 2048


def connect_failure_reason(code: int) -> CloseReason:
    """Tell what the error of a connection that did not come up means."""
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
                if error.errno in _EXHAUSTED:  # the rest waits in the backlog
                    self._suspend_accepting()
                    return
                continue  # a connection that broke before it was accepted
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
        """Accept what has come so far, then no more."""
        for _ in range(self._backlog // _ACCEPTS_PER_TURN + 1):
            self._ready(selectors.EVENT_READ)
        self.close()

    def close(self) -> None:
        """Accept no more."""
        if self._sock.fileno() >= 0:
            if not self._is_suspended:
                self._loop._selector.unregister(self._sock)
            self._sock.close()


class DatagramSocket:
    """A port for datagrams."""

    def __init__(
        self, loop: SelectorLoop, host: str, port: int, take: Callable[[bytes, tuple[str, int]], Any]
    ) -> None:
        self._loop, self._take = loop, take
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
        except OSError:  # full, or nobody there: the same as lost
            pass

    def _ready(self, mask: int) -> None:
        for _ in range(_DATAGRAMS_PER_TURN):
            try:
                data, peer = self._sock.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:  # told of an earlier one that found nobody; the next may be good
                continue
            self._loop.call_safely(self._take, data, peer[:2])

    def close(self) -> None:
        """Send and take no more."""
        if self._sock.fileno() >= 0:
            self._loop._selector.unregister(self._sock)
            self._sock.close()


class SocketStream:
    """A connection."""

    def __init__(
        self,
        loop: SelectorLoop,
        sock: socket.socket | None,  # None: there was no descriptor for it
        handler: Handler,
        limits: StreamLimits,
        peer: tuple[str, int],
        connecting: bool,
    ) -> None:
        self._loop, self._sock, self._handler, self._limits = loop, sock, handler, limits
        self.peer = peer
        self.bytes_sent = 0
        self._output: deque[bytes | memoryview] = deque()
        self._unsent = 0
        self._backlog = self._paused = self._closing = self._finishing = self._is_closed = False
        self._connecting = connecting
        self._mask = 0

    def watch(self) -> None:
        """Ask the selector for what is of use now."""
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
        """Queue bytes; False where a backlog stands."""
        if self._is_closed or self._closing or not data:
            return not self._backlog
        if not self._output and not self._connecting:
            sent = self._send(data)
            if sent == len(data) or self._is_closed:
                return True
            data = memoryview(data)[sent:]
        self._output.append(data)
        self._unsent += len(data)
        if self._unsent > self._limits.max_unsent:
            self._loop.call_soon(self.end, CloseReason.OVERFLOW)
            return False
        self._backlog = self._backlog or self._unsent > self._limits.drained_below
        self.watch()
        return not self._backlog

    def _send(self, data: bytes | memoryview) -> int:
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
        """Read no more until `resume`."""
        self._paused = True
        self.watch()

    def resume(self) -> None:
        """Read again."""
        self._paused = False
        self.watch()

    def close(self) -> None:
        """Send what is queued, then close."""
        self._closing = True
        if not self._output and not self._connecting:
            self._loop.call_soon(self.end, CloseReason.LOCAL)

    def has_unread(self) -> bool:
        """Tell whether bytes of the peer, or its end of stream, wait to be read."""
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
        """Send what is queued and an end of stream, then wait for that of the peer."""
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
        """Close, once, and say why."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._mask:
            self._loop._selector.unregister(self._sock)
        if reason is not CloseReason.EOF and self._unsent and self._sock is not None:
            try:  # what is queued is dropped: say so to the peer by a reset
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
