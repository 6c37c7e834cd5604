"""The loop on `selectors` and real sockets."""

from __future__ import annotations

import errno
import gc
import os
import selectors
import signal
import socket
import time
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

from mintmast.loop.base import DEFAULT, Close, Handler, Limits, Timer, Timers

_IN_PROGRESS = {errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EAGAIN}
# accepts of one listener in one turn: enough to empty a burst soon, few enough to let others run
_ACCEPTS = 64
# datagrams of one port in one turn, and bytes of one at the most: longer ones are cut and then not understood
_DATAGRAMS, _DATAGRAM = 64, 2048
# allocations between looks for garbage in rings: the youngest generation, then how many of each before the
# next. The loop's objects are freed by their counts; a full look over a gateway's heap stops the loop for 50
# to 100 ms
GARBAGE = (20_000, 20, 1000)


def settle_memory() -> None:
    """Take what the program is made of out of the garbage collector's sight, and let it look seldom.

    Danger: full collections stop the loop for all. May hurt where a library makes rings in quantity: memory
    grows until the next look.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GARBAGE)


class SelectorLoop:
    """One thread, one selector; `run` ends after `stop`.

    `on_error` hears the text of an exception that a callback let out: the stream it came from is aborted and
    the loop goes on, so that one bad peer cannot end the program.
    """

    def __init__(self, on_error: Callable[[str], None] | None = None) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers = Timers()
        self._stopping = False
        self._on_error = on_error or (lambda text: None)
        self.longest_turn = 0  # µs
        self.turns = 0
        self.on_turn: Callable[[int], None] | None = None
        self._wakeup: tuple[int, int] | None = None
        self.wall_shift = 0.0  # s; for tests of a machine whose clock is wrong

    def now(self) -> int:
        """Give the microseconds of the monotonic clock."""
        return time.monotonic_ns() // 1000

    def wall(self) -> float:
        """Give the seconds since 1970."""
        return time.time() + self.wall_shift

    def call_at(self, when: int, do: Callable[..., Any], *args: Any) -> Timer:
        """Call `do(*args)` at `when`."""
        return self._timers.add(when, do, args)

    def call_soon(self, do: Callable[..., Any], *args: Any) -> Timer:
        """Call `do(*args)` in the next turn."""
        return self._timers.add(0, do, args)

    def listen(
        self,
        host: str,
        port: int,
        accept: Callable[[], Handler],
        backlog: int = 512,
        limits: Limits = DEFAULT,
    ) -> _Listener:
        """Accept connections on an address. Raises OSError."""
        return _Listener(self, host, port, accept, backlog, limits)

    def connect(self, host: str, port: int, handler: Handler, limits: Limits = DEFAULT) -> _Stream:
        """Begin to connect."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        stream = _Stream(self, sock, handler, limits, (host, port), connecting=True)
        try:
            code = sock.connect_ex((host, port))
        except OSError:
            code = errno.EHOSTUNREACH
        if code and code not in _IN_PROGRESS:
            reason = Close.REFUSED if code == errno.ECONNREFUSED else Close.UNREACHABLE
            self.call_soon(stream.end, reason)
        else:
            stream.watch()
        return stream

    def adopt(self, sock: socket.socket, handler: Handler, limits: Limits = DEFAULT) -> _Stream:
        """Take over a connected socket, as one of a pair; `handler` hears `opened` in the next turn."""
        sock.setblocking(False)
        stream = _Stream(self, sock, handler, limits, ("", 0), connecting=False)
        stream.watch()
        self.call_soon(handler.opened, stream)
        return stream

    def datagrams(self, host: str, port: int, take: Callable[[bytes, tuple[str, int]], Any]) -> _Port:
        """Take and send datagrams at an address. Raises OSError."""
        return _Port(self, host, port, take)

    def stop(self) -> None:
        """End `run` after this turn."""
        self._stopping = True

    def on_signal(self, do: Callable[[], Any], *signals: signal.Signals) -> None:
        """Call `do` in the loop's next turn when one of these signals comes."""
        if self._wakeup is None:
            ours, theirs = self._wakeup = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
            signal.set_wakeup_fd(theirs)
            self._selector.register(ours, selectors.EVENT_READ, lambda mask: os.read(ours, 64))
        for each in signals:
            signal.signal(each, lambda *_: self.call_soon(do))

    def run(self, until: int | None = None) -> None:
        """Turn until `stop`, or until the clock reads `until`."""
        self._stopping = False
        while not self._stopping and (until is None or self.now() < until):
            self.turn(until)

    def turn(self, until: int | None = None) -> None:
        """Wait for the next thing to do, and do all that is ready."""
        due = self._timers.next()
        if until is not None:
            due = until if due is None else min(due, until)
        wait = None if due is None else max(0.0, (due - self.now()) / 1e6)
        ready = self._selector.select(wait)
        begin = self.now()
        for key, mask in ready:
            self.guard(key.data, mask)
        while (timer := self._timers.pop(begin)) is not None:
            if timer.do is not None:
                self.guard(timer.do, *timer.args)
        took = self.now() - begin
        self.turns += 1
        self.longest_turn = max(self.longest_turn, took)
        if self.on_turn is not None:
            self.on_turn(took)

    def guard(self, do: Callable[..., Any], *args: Any) -> None:
        """Call, and turn an exception into a line."""
        try:
            do(*args)
        except Exception:  # noqa: BLE001 - the loop must outlive any callback
            self._on_error(traceback.format_exc())
            owner = getattr(do, "__self__", None)
            if isinstance(owner, _Stream):
                owner.abort()

    def close(self) -> None:
        """Give back the selector."""
        self._selector.close()


class _Listener:
    def __init__(
        self,
        loop: SelectorLoop,
        host: str,
        port: int,
        accept: Callable[[], Handler],
        backlog: int,
        limits: Limits,
    ) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._loop, self._accept, self._limits = loop, accept, limits
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
        for _ in range(_ACCEPTS):
            try:
                sock, peer = self._sock.accept()
            except OSError:  # nothing left, or no descriptors: the rest waits in the backlog
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handler = self._accept()
            stream = _Stream(self._loop, sock, handler, self._limits, peer[:2], connecting=False)
            stream.watch()
            self._loop.guard(handler.opened, stream)

    def close(self) -> None:
        if self._sock.fileno() >= 0:
            self._loop._selector.unregister(self._sock)
            self._sock.close()


class _Port:
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
        try:
            self._sock.sendto(data, to)
        except OSError:  # full, or nobody there: the same as lost
            pass

    def _ready(self, mask: int) -> None:
        for _ in range(_DATAGRAMS):
            try:
                data, peer = self._sock.recvfrom(_DATAGRAM)
            except BlockingIOError:
                return
            except OSError:  # told of an earlier one that found nobody; the next may be good
                continue
            self._loop.guard(self._take, data, peer[:2])

    def close(self) -> None:
        if self._sock.fileno() >= 0:
            self._loop._selector.unregister(self._sock)
            self._sock.close()


class _Stream:
    def __init__(
        self,
        loop: SelectorLoop,
        sock: socket.socket,
        handler: Handler,
        limits: Limits,
        peer: tuple[str, int],
        connecting: bool,
    ) -> None:
        self._loop, self._sock, self._handler, self._limits = loop, sock, handler, limits
        self.peer = peer
        self.handed_over = 0
        self._out: deque[bytes | memoryview] = deque()
        self._unsent = 0
        self._backlog = self._paused = self._closing = self._over = False
        self._connecting = connecting
        self._mask = 0

    def watch(self) -> None:
        if self._over:
            return
        mask = 0 if self._paused or self._connecting else selectors.EVENT_READ
        if self._connecting or self._out:
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
        if self._over or self._closing or not data:
            return not self._backlog
        if not self._out and not self._connecting:
            sent = self._send(data)
            if sent == len(data) or self._over:
                return True
            data = memoryview(data)[sent:]
        self._out.append(data)
        self._unsent += len(data)
        if self._unsent > self._limits.unsent:
            self._loop.call_soon(self.end, Close.OVERFLOW)
            return False
        self._backlog = self._backlog or self._unsent > self._limits.resume
        self.watch()
        return not self._backlog

    def _send(self, data: bytes | memoryview) -> int:
        try:
            sent = self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            self._loop.call_soon(self.end, Close.RESET)
            return 0
        self.handed_over += sent
        return sent

    def pause(self) -> None:
        self._paused = True
        self.watch()

    def resume(self) -> None:
        self._paused = False
        self.watch()

    def close(self) -> None:
        self._closing = True
        if not self._out and not self._connecting:
            self._loop.call_soon(self.end, Close.LOCAL)

    def abort(self) -> None:
        self.end(Close.LOCAL)

    def end(self, reason: Close) -> None:
        if self._over:
            return
        self._over = True
        if self._mask:
            self._loop._selector.unregister(self._sock)
        if reason is not Close.EOF and self._unsent:
            try:  # what is queued is dropped: say so to the peer by a reset
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            except OSError:
                pass
        self._sock.close()
        self._out.clear()
        self._loop.guard(self._handler.closed, reason)

    def _ready(self, mask: int) -> None:
        if self._over:
            return
        if self._connecting:
            self._connected()
            return
        if mask & selectors.EVENT_WRITE:
            self._flush()
        if mask & selectors.EVENT_READ and not self._over and not self._paused:
            try:
                data = self._sock.recv(self._limits.chunk)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.end(Close.RESET)
                return
            if data:
                self._handler.received(data)
            else:
                self._paused = True
                self.watch()
                self._handler.finished()
                if not self._closing:
                    self.end(Close.EOF)

    def _connected(self) -> None:
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.end(Close.REFUSED if code == errno.ECONNREFUSED else Close.UNREACHABLE)
            return
        self._connecting = False
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._handler.opened(self)
        self._flush()

    def _flush(self) -> None:
        while self._out and not self._over:
            data = self._out[0]
            sent = self._send(data)
            self._unsent -= sent
            if sent < len(data):
                self._out[0] = memoryview(data)[sent:]
                break
            self._out.popleft()
        self.watch()
        if not self._out and self._closing:
            self.end(Close.LOCAL)
        elif self._backlog and self._unsent <= self._limits.resume:
            self._backlog = False
            self._handler.drained()
