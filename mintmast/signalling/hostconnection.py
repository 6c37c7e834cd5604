"""One TCP connection to a media host: carries one set-up at a time, and messages about other sessions."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mintmast.decisions.outcomes import Evidence
from mintmast.loop import Close, Handler, Stream, Timer
from mintmast.signalling.messages import Cause, Kind, Message, Param, Reader, encode, release, test, tested

if TYPE_CHECKING:
    from mintmast.signalling.hosts import Pool

# µs without a received byte after which a health check is sent, and after which the check has failed. A host
# that is cut off from the network sends nothing, and the platform requires its sessions to be released
# within 8 s.
QUIET, DEAF = 1_000_000, 1_500_000
_EVIDENCE = {
    Cause.NO_CIRCUIT_AVAILABLE: Evidence.FULL,
    Cause.RESOURCE_UNAVAILABLE: Evidence.HOST_ERROR,
    Cause.TIMER_EXPIRED: Evidence.MOOT,
}


@dataclass(slots=True)
class Attempt:
    """A set-up in progress at a host; it needs a working connection by `connect_by`."""

    call: bytes
    frame: bytes
    connect_by: int
    connection: HostConnection | None = None
    timers: tuple[Timer, ...] = ()
    # bytes that the connection has handed to the network once the set-up is fully sent; None: not written yet
    end: int | None = None


class HostConnection(Handler):
    """A connection to a host."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.raw: Stream | None = None  # from the connection attempt on
        self.stream: Stream | None = None  # only while connected
        self.written = 0
        self.attempt: Attempt | None = None
        self.was_open = self.over = False
        self.stale = False  # connected to an address that the host has left
        now = pool.hosts.loop.now()
        self.began = self.heard = self.used = now
        self.tested: int | None = None  # when the unanswered health check was sent
        # time and call reference of each release sent since the host's last message
        self._released: deque[tuple[int, bytes]] = deque()
        self._reader = Reader()
        self._fault = False
        self._reason: Close | None = None

    @property
    def idle(self) -> bool:
        """Return whether the connection can carry a set-up at once, or be closed as spare."""
        return self.stream is not None and self.attempt is None and not (self.over or self.stale)

    def take(self, attempt: Attempt) -> None:
        """Carry a set-up: it is written once a health check has passed."""
        self.attempt, attempt.connection = attempt, self
        self.used = self.pool.hosts.loop.now()
        if self.stream is not None:
            self._test()

    def write(self, data: bytes) -> None:
        """Write if the connection is open."""
        if self.stream is not None and not self.over:
            self.written += len(data)
            self.stream.write(data)

    def release(self, call: bytes) -> None:
        """Release a session at the host, and keep the release until the host sends something afterwards."""
        self._released.append((self.pool.hosts.loop.now(), call))
        self.write(release(call, Cause.NORMAL_CLEARING))

    def unheard(self) -> list[bytes]:
        """Return the sessions whose release the host may not have received: it has sent nothing since.

        If the connection broke before the release arrived, the session would play on without a viewer. So the
        release is repeated on the next connection; a host ignores a release for a session it does not hold.
        """
        return [call for when, call in self._released if when >= self.heard]

    def _test(self) -> None:
        if self.tested is None:
            self.tested = self.pool.hosts.loop.now()
            self.write(test(bytes(8)))

    def look(self, now: int) -> None:
        """Send health checks, and abort after a connect or health check timeout."""
        if self.stream is None:
            if now - self.began >= self.pool.hosts.limits.connect_time:
                self.fail(Close.UNREACHABLE)
        elif self.tested is not None:
            if now - self.tested >= DEAF:
                self.fail(Close.UNREACHABLE)
        elif now - self.heard >= QUIET:
            self._test()

    def fail(self, reason: Close) -> None:
        """Abort the connection and report `reason` as the cause of its end."""
        self._reason = reason
        if self.raw is not None:
            self.raw.abort()

    def close(self) -> None:
        """Flush queued data and close."""
        if not self.over:
            self.over = True
            if self.stream is not None:
                self.stream.close()

    def opened(self, stream: Stream) -> None:
        """Start using the connection."""
        self.stream, self.was_open = stream, True
        self.heard = self.pool.hosts.loop.now()
        self.pool.opened(self)
        if self.attempt is not None:
            self._test()

    def received(self, data: bytes) -> None:
        """Parse received bytes and process the messages; abort the connection on a protocol error."""
        self.heard = self.pool.hosts.loop.now()
        while self._released and self._released[0][0] < self.heard:
            self._released.popleft()
        for message in self._reader.feed(data):
            if message.fault is not None:
                self._fault = True
                break
            self._message(message)
        if (self._fault or self._reader.broken) and self.stream is not None:
            self._fault = True
            self.stream.abort()

    def _message(self, message: Message) -> None:
        kind, call, attempt = message.kind, message.call, self.attempt
        events, host = self.pool.hosts.events, self.pool.host
        if kind == Kind.TESTED:
            self.tested = None
            if attempt is not None and attempt.end is None:
                self.write(attempt.frame)
                attempt.end = self.written
        elif kind == Kind.TEST:
            self.write(tested(call, True))
        elif kind == Kind.NOTE:
            events.noted(host, call, message.text(Param.NOTE) or "", message.text(Param.FIGURE) or "")
        elif kind == Kind.ANSWER:
            if attempt is not None and attempt.call == call and attempt.end is not None:
                description = message.params.get(Param.DESCRIPTION)
                self.attempt = None
                if description is None:
                    self.pool.finish(attempt, Evidence.BAD_REPLY)
                    self.pool.cut(call)
                else:
                    self.pool.forget(attempt)
                    events.started(host, call, description)
        elif kind == Kind.RELEASE:
            load = message.text(Param.LOAD) or ""
            if attempt is not None and attempt.call == call and attempt.end is not None:
                self.attempt = None
                self.pool.finish(attempt, _EVIDENCE.get(message.cause, Evidence.CUT), load)
            else:
                events.over(host, call, message.cause or 0, load)
                self.write(encode(Kind.HEARD, call))

    def closed(self, reason: Close) -> None:
        """Report the end of the connection and of the set-up on it."""
        reason, self.over = self._reason or reason, True
        attempt, self.attempt = self.attempt, None
        stream, self.stream = self.stream, None
        pool = self.pool
        if attempt is not None:
            self._broken(attempt, stream, reason)
        pool.ended(self, reason)

    def _broken(self, attempt: Attempt, stream: Stream | None, reason: Close) -> None:
        """Report the evidence that the end of the connection gives about its set-up."""
        pool = self.pool
        if attempt.end is None:
            # nothing was sent: another connection can carry the set-up while there is time to connect
            if reason is Close.REFUSED:
                pool.finish(attempt, Evidence.REFUSED)
            elif self.was_open and pool.hosts.loop.now() < attempt.connect_by:
                attempt.connection = None
                pool.assign(attempt)
            else:
                pool.finish(attempt, Evidence.NOT_CONNECTED)
        elif stream is not None and stream.handed_over < attempt.end:
            pool.finish(attempt, Evidence.CUT_UNSENT)
        else:
            pool.finish(attempt, Evidence.BAD_REPLY if self._fault else Evidence.CUT)
            pool.cut(attempt.call)
