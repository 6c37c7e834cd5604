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
from collections.abc import Callable
from typing import Any

from mintmast.loop.base import DEFAULT_LIMITS, Handler, StreamLimits, Timer, Timers
from mintmast.loop.sockets import DatagramSocket, SocketListener, SocketStream, connect_failure_reason

_IN_PROGRESS = {errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EAGAIN}
# allocations between looks for garbage in rings: the youngest generation, then how many of each before the
# next. The loop's objects are freed by their counts; a full look over a gateway's heap stops the loop for 50
# to 100 ms
GC_THRESHOLDS = (20_000, 20, 1000)

# µs that a turn may take, or a wait longer than it was to; beyond, this process stood still
STALL_THRESHOLD_US = 250_000


def tune_garbage_collector() -> None:
    """Take what the program is made of out of the garbage collector's sight, and let it look seldom.

    Danger: full collections stop the loop for all. May hurt where a library makes rings in quantity: memory
    grows until the next look.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


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
        # hears how long a turn took, or by how much a wait was too long, where that is over `STILL` (µs)
        self.on_stall: Callable[[int], None] | None = None
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
        limits: StreamLimits = DEFAULT_LIMITS,
    ) -> SocketListener:
        """Accept connections on an address. Raises OSError."""
        return SocketListener(self, host, port, accept, backlog, limits)

    def connect(
        self, host: str, port: int, handler: Handler, limits: StreamLimits = DEFAULT_LIMITS
    ) -> SocketStream:
        """Begin to connect."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = None
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
            sock.setblocking(False)
            code = sock.connect_ex((host, port))
        except OSError as error:
            code = error.errno or errno.EHOSTUNREACH
        stream = SocketStream(self, sock, handler, limits, (host, port), connecting=True)
        if code and code not in _IN_PROGRESS:
            self.call_soon(stream.end, connect_failure_reason(code))
        else:
            stream.watch()
        return stream

    def adopt(
        self, sock: socket.socket, handler: Handler, limits: StreamLimits = DEFAULT_LIMITS
    ) -> SocketStream:
        """Take over a connected socket, as one of a pair; `handler` hears `opened` in the next turn."""
        sock.setblocking(False)
        stream = SocketStream(self, sock, handler, limits, ("", 0), connecting=False)
        stream.watch()
        self.call_soon(handler.opened, stream)
        return stream

    def open_datagrams(
        self, host: str, port: int, take: Callable[[bytes, tuple[str, int]], Any]
    ) -> DatagramSocket:
        """Take and send datagrams at an address. Raises OSError."""
        return DatagramSocket(self, host, port, take)

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
        before = self.now()
        wait = None if due is None else max(0.0, (due - before) / 1e6)
        ready = self._selector.select(wait)
        begin = self.now()
        late = begin - max(due, before) if due is not None else 0
        for key, mask in ready:
            self.call_safely(key.data, mask)
        while (timer := self._timers.pop(begin)) is not None:
            if timer.callback is not None:
                self.call_safely(timer.callback, *timer.args)
        took = self.now() - begin
        self.turns += 1
        self.longest_turn = max(self.longest_turn, took)
        if self.on_turn is not None:
            self.on_turn(took)
        if self.on_stall is not None and max(late, took) > STALL_THRESHOLD_US:
            self.on_stall(max(late, took))

    def call_safely(self, do: Callable[..., Any], *args: Any) -> None:
        """Call, and turn an exception into a line."""
        try:
            do(*args)
        except Exception:  # noqa: BLE001 - the loop must outlive any callback
            self._on_error(traceback.format_exc())
            owner = getattr(do, "__self__", None)
            if isinstance(owner, SocketStream):
                owner.abort()

    def close(self) -> None:
        """Give back the selector."""
        self._selector.close()
