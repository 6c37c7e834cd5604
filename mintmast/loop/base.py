"""Interfaces of loop, stream and timer, shared by the real network and the one in memory.

Times are integer microseconds of one monotonic clock. All callbacks run on the loop, one at a time; a
callback may close any stream, including its own.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol


class CloseReason(Enum):
    """The reason why a stream was closed."""

    EOF = "eof"  # the peer finished and this side had nothing left to send
    RESET = "reset"  # the peer or the network broke the connection
    REFUSED = "refused"  # never connected: the peer refused the connection
    UNREACHABLE = "unreachable"  # never connected: no answer or no route
    LOCAL = "local"  # closed by this side
    OVERFLOW = "overflow"  # the peer read too slowly and the send buffer exceeded its limit
    EXHAUSTED = "exhausted"  # never connected: no descriptor, port or memory left in this process or machine


@dataclass(slots=True, frozen=True)
class StreamLimits:
    """Limits of one stream, in bytes."""

    max_unsent: int = 1 << 20  # send buffer; the stream is closed beyond it
    drained_below: int = 1 << 16  # `drained` is called at or below this, after `write` returned False
    read_size: int = 1 << 16  # maximum of one read


DEFAULT_LIMITS = StreamLimits()


class Handler:
    """Callbacks of one stream; the defaults do nothing."""

    def opened(self, stream: Stream) -> None:
        """Handle the completed connection."""

    def received(self, data: bytes) -> None:
        """Handle bytes from the peer."""

    def finished(self) -> None:
        """Handle the peer's end of stream; the stream closes afterwards unless it is closing already."""

    def drained(self) -> None:
        """Continue writing: the backlog has shrunk."""

    def closed(self, reason: CloseReason) -> None:
        """Handle the end of the stream; called once, and no callback follows."""


class Stream(Protocol):
    """A connection. `bytes_sent` counts the bytes that were passed to the network."""

    bytes_sent: int
    peer: tuple[str, int]

    def write(self, data: bytes) -> bool:
        """Queue bytes; return False if there is a backlog and the caller should wait for `drained`."""

    def pause(self) -> None:
        """Stop reading until `resume`."""

    def resume(self) -> None:
        """Continue reading."""

    def has_unread(self) -> bool:
        """Return whether bytes from the peer, or its end of stream, have not been read yet."""

    def close(self) -> None:
        """Close after sending all queued bytes."""

    def finish(self) -> None:
        """Send all queued bytes and an end of stream, discard input, and close once the peer has closed.

        A socket that is closed with unread bytes, or that receives bytes afterwards, sends a reset, and the
        peer loses whatever it has not read yet, including the last answers.
        """

    def abort(self) -> None:
        """Close at once and drop all queued bytes."""


class Listener(Protocol):
    """A listening address; `port` is the assigned one if 0 was requested."""

    port: int

    def close(self) -> None:
        """Stop accepting connections."""

    def finish(self) -> None:
        """Accept all waiting connections, then stop: `close` alone would reset those in the backlog."""


class Datagrams(Protocol):
    """A datagram socket; datagrams may be lost, duplicated, delayed and reordered."""

    def send(self, data: bytes, to: tuple[str, int]) -> None:
        """Send a datagram; failures are not reported."""

    def close(self) -> None:
        """Stop sending and receiving."""


class Loop(Protocol):
    """The clock, timers and network that every component uses."""

    def now(self) -> int:
        """Return the time of the monotonic clock in microseconds."""

    def wall(self) -> float:
        """Return this machine's wall clock in seconds since 1970."""

    def call_at(self, when: int, callback: Callable[..., Any], *args: Any) -> Timer:
        """Call `callback(*args)` at `when`, or in the next iteration if that is past."""

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> Timer:
        """Call `callback(*args)` in the next iteration of the loop."""

    def listen(
        self,
        host: str,
        port: int,
        accept: Callable[[], Handler],
        backlog: int = 512,
        limits: StreamLimits = ...,
    ) -> Listener:
        """Accept connections; `accept` returns the handler for each. Raises OSError."""

    def connect(self, host: str, port: int, handler: Handler, limits: StreamLimits = ...) -> Stream:
        """Start connecting; `opened` or `closed` of `handler` is called, never before this returns."""

    def open_datagrams(
        self, host: str, port: int, on_datagram: Callable[[bytes, tuple[str, int]], Any]
    ) -> Datagrams:
        """Open a datagram socket; `on_datagram` gets each datagram and its sender. Raises OSError."""


class Timer:
    """A scheduled callback; `cancel` may be called at any time."""

    __slots__ = ("args", "callback", "when")

    def __init__(self, when: int, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.when = when
        self.callback: Callable[..., Any] | None = callback
        self.args = args

    def cancel(self) -> None:
        """Cancel the callback."""
        self.callback, self.args = None, ()


class Timers:
    """Timers in order of their time; those of equal time in the order in which they were added."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = itertools.count()
        self._dead = 0

    def add(self, when: int, callback: Callable[..., Any], args: tuple[Any, ...]) -> Timer:
        """Add a timer."""
        timer = Timer(when, callback, args)
        heapq.heappush(self._heap, (when, next(self._count), timer))
        return timer

    def next(self) -> int | None:
        """Return the time of the first timer that is not cancelled."""
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop(self, now: int) -> Timer | None:
        """Remove and return the first timer that has expired."""
        when = self.next()
        return heapq.heappop(self._heap)[2] if when is not None and when <= now else None
