"""Event loop on `selectors` and real sockets."""

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
# Thresholds of the cyclic garbage collector, as for `gc.set_threshold`. Reference counting frees the loop's
# objects, and a full collection of a gateway's heap stops the loop for 50 to 100 ms.
GC_THRESHOLDS = (20_000, 20, 1000)

# µs; a longer iteration, or a wait that overruns by more, counts as a stall of this process
STALL_THRESHOLD_US = 250_000
# µs; after a wait that overruns by more, the sockets are polled once more before timers run
LATE_WAIT_US = 20_000


def tune_garbage_collector() -> None:
    """Exclude all present objects from garbage collection and make collections rare.

    Full collections stop the loop for all connections. Drawback: if a library creates many reference
    cycles, memory grows until the next collection.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


class SelectorLoop:
    """A loop with one thread and one selector; `run` ends after `stop`.

    `on_error` is called with the traceback of an exception raised by a callback; the stream that raised it
    is aborted and the loop continues, so that one faulty peer cannot end the program.
    """

    def __init__(self, on_error: Callable[[str], None] | None = None) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers = Timers()
        self._stopping = False
        self._on_error = on_error or (lambda text: None)
        self.longest_turn = 0  # µs
        self.turns = 0
        self.on_turn: Callable[[int], None] | None = None
        # called with the duration of an iteration or the overrun of a wait if above `STALL_THRESHOLD_US`
        self.on_stall: Callable[[int], None] | None = None
        self._wakeup: tuple[int, int] | None = None
        self.wall_shift = 0.0  # s; for tests of machines with a wrong clock

    def now(self) -> int:
        """Return the time of the monotonic clock in microseconds."""
        return time.monotonic_ns() // 1000

    def wall(self) -> float:
        """Return the wall clock in seconds since 1970."""
        return time.time() + self.wall_shift

    def call_at(self, when: int, callback: Callable[..., Any], *args: Any) -> Timer:
        """Call `callback(*args)` at `when`."""
        return self._timers.add(when, callback, args)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> Timer:
        """Call `callback(*args)` in the next iteration."""
        return self._timers.add(0, callback, args)

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
        """Start connecting."""
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
        """Adopt a connected socket, such as one of a pair; `opened` is called in the next iteration."""
        sock.setblocking(False)
        stream = SocketStream(self, sock, handler, limits, ("", 0), connecting=False)
        stream.watch()
        self.call_soon(handler.opened, stream)
        return stream

    def open_datagrams(
        self, host: str, port: int, on_datagram: Callable[[bytes, tuple[str, int]], Any]
    ) -> DatagramSocket:
        """Open a datagram socket on an address. Raises OSError."""
        return DatagramSocket(self, host, port, on_datagram)

    def stop(self) -> None:
        """End `run` after this iteration."""
        self._stopping = True

    def on_signal(self, callback: Callable[[], Any], *signals: signal.Signals) -> None:
        """Call `callback` in the loop's next iteration when one of these signals arrives."""
        if self._wakeup is None:
            ours, theirs = self._wakeup = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
            signal.set_wakeup_fd(theirs)
            self._selector.register(ours, selectors.EVENT_READ, lambda mask: os.read(ours, 64))
        for each in signals:
            signal.signal(each, lambda *_: self.call_soon(callback))

    def run(self, until: int | None = None) -> None:
        """Run iterations until `stop`, or until the clock reads `until`."""
        self._stopping = False
        while not self._stopping and (until is None or self.now() < until):
            self.turn(until)

    def turn(self, until: int | None = None) -> None:
        """Run one iteration: wait for the next event or timer and run all callbacks that are ready."""
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
        if not ready and late > LATE_WAIT_US:
            self._read_after_pause()
        self._run_timers(begin)
        took = self.now() - begin
        self.turns += 1
        self.longest_turn = max(self.longest_turn, took)
        if self.on_turn is not None:
            self.on_turn(took)
        if self.on_stall is not None and max(late, took) > STALL_THRESHOLD_US:
            self.on_stall(max(late, took))

    def _run_timers(self, due: int) -> None:
        """Run the timers due at `due`."""
        pause_at = due + STALL_THRESHOLD_US
        while (timer := self._timers.pop(due)) is not None:
            if timer.callback is not None and self.now() > pause_at:
                self._read_after_pause()
                pause_at = self.now() + STALL_THRESHOLD_US
            if timer.callback is not None:
                self.call_safely(timer.callback, *timer.args)

    def _read_after_pause(self) -> None:
        """Read what has arrived while the process stood still.

        A timer that stands for silence must not fire before that; a wait that a pause outlasts ends without
        events.
        """
        for key, mask in self._selector.select(0):
            self.call_safely(key.data, mask)

    def call_safely(self, callback: Callable[..., Any], *args: Any) -> None:
        """Run a callback and report any exception to `on_error`."""
        try:
            callback(*args)
        except Exception:  # noqa: BLE001 - the loop must outlive any callback
            self._on_error(traceback.format_exc())
            owner = getattr(callback, "__self__", None)
            if isinstance(owner, SocketStream):
                owner.abort()

    def close(self) -> None:
        """Close the selector."""
        self._selector.close()
