"""What a loop, a stream and a timer are, whichever network lies under them.

Times are whole microseconds of one clock that only goes forward. All callbacks run on the loop, one at a
time; a callback may close any stream, its own included.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol


class CloseReason(Enum):
    """Why a stream is over."""

    EOF = "eof"  # the peer finished and nothing of ours was left to send
    RESET = "reset"  # the peer or the network broke it
    REFUSED = "refused"  # never connected: the peer said no
    UNREACHABLE = "unreachable"  # never connected: nobody said anything, or no path
    LOCAL = "local"  # closed from this side
    OVERFLOW = "overflow"  # the peer read too slowly for what was to be sent
    EXHAUSTED = "exhausted"  # never connected: this process had no descriptor, port or memory left for it


@dataclass(slots=True, frozen=True)
class StreamLimits:
    """Bounds of one stream, in bytes."""

    max_unsent: int = 1 << 20  # written by us, not yet taken by the network; past it the stream ends
    drained_below: int = 1 << 16  # at or under it `drained` is called, after `write` has told of a backlog
    read_size: int = 1 << 16  # read from the network at once


DEFAULT_LIMITS = StreamLimits()


class Handler:
    """Callbacks of one stream; the default does nothing."""

    def opened(self, stream: Stream) -> None:
        """Take note that the stream is connected."""

    def received(self, data: bytes) -> None:
        """Take bytes from the peer."""

    def finished(self) -> None:
        """Take note that the peer sends nothing more; the default closes the stream."""

    def drained(self) -> None:
        """Go on writing: the backlog has shrunk."""

    def closed(self, reason: CloseReason) -> None:
        """Take note that the stream is over; called once, and nothing is called after it."""


class Stream(Protocol):
    """A connection. `handed_over` counts the bytes that this side has given to the network."""

    bytes_sent: int
    peer: tuple[str, int]

    def write(self, data: bytes) -> bool:
        """Queue bytes; False where a backlog stands and the caller had better wait for `drained`."""

    def pause(self) -> None:
        """Read no more until `resume`."""

    def resume(self) -> None:
        """Read again."""

    def has_unread(self) -> bool:
        """Tell whether bytes of the peer, or its end of stream, wait to be read."""

    def close(self) -> None:
        """Send what is queued, then close."""

    def finish(self) -> None:
        """Send what is queued and an end of stream, read no more, and close once the peer has closed.

        Danger: a socket closed with bytes unread, or to which bytes still come, answers with a reset, and
        what lies at the peer unread is lost with it, the last answers too.
        """

    def abort(self) -> None:
        """Close at once, dropping what is queued."""


class Listener(Protocol):
    """A listening address; `port` is the real one where 0 was asked."""

    port: int

    def close(self) -> None:
        """Accept no more."""

    def finish(self) -> None:
        """Accept what has come so far, then no more: closing alone resets what waits to be accepted."""


class Datagrams(Protocol):
    """A port for datagrams, which may be lost, doubled, late and out of order."""

    def send(self, data: bytes, to: tuple[str, int]) -> None:
        """Send one; nothing is told of its fate."""

    def close(self) -> None:
        """Send and take no more."""


class Loop(Protocol):
    """Clock, timers and network as handed to every part."""

    def now(self) -> int:
        """Give the microseconds of the clock."""

    def wall(self) -> float:
        """Give the seconds since 1970 as this machine believes them."""

    def call_at(self, when: int, do: Callable[..., Any], *args: Any) -> Timer:
        """Call `do(*args)` at `when`, or in the next turn where that is past."""

    def call_soon(self, do: Callable[..., Any], *args: Any) -> Timer:
        """Call `do(*args)` in the next turn."""

    def listen(
        self,
        host: str,
        port: int,
        accept: Callable[[], Handler],
        backlog: int = 512,
        limits: StreamLimits = ...,
    ) -> Listener:
        """Accept connections; `accept` makes the handler of each. Raises OSError."""

    def connect(self, host: str, port: int, handler: Handler, limits: StreamLimits = ...) -> Stream:
        """Begin to connect; `handler` hears `opened` or `closed`, never before this returns."""

    def open_datagrams(
        self, host: str, port: int, take: Callable[[bytes, tuple[str, int]], Any]
    ) -> Datagrams:
        """Take and send datagrams at an address; `take` hears each with its sender. Raises OSError."""


class Timer:
    """A call to come; `cancel` may be called at any time."""

    __slots__ = ("args", "callback", "when")

    def __init__(self, when: int, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.when = when
        self.callback: Callable[..., Any] | None = callback
        self.args = args

    def cancel(self) -> None:
        """Call it off."""
        self.callback, self.args = None, ()


class Timers:
    """Timers in order of their time, those of equal time in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = itertools.count()
        self._dead = 0

    def add(self, when: int, do: Callable[..., Any], args: tuple[Any, ...]) -> Timer:
        """Set one."""
        timer = Timer(when, do, args)
        heapq.heappush(self._heap, (when, next(self._count), timer))
        return timer

    def next(self) -> int | None:
        """Give the time of the first that is still wanted."""
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop(self, now: int) -> Timer | None:
        """Take out the first that is due."""
        when = self.next()
        return heapq.heappop(self._heap)[2] if when is not None and when <= now else None
