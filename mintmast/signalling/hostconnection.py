"""One connection to a media host: it carries one set-up at a time, and what the host says of others."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mintmast.decisions.outcomes import Evidence
from mintmast.loop import CloseReason, Handler, Stream, Timer
from mintmast.signalling.messages import (
    Cause,
    Message,
    MessageKind,
    MessageReader,
    Param,
    encode,
    encode_health_check,
    encode_health_check_reply,
    encode_release,
)

if TYPE_CHECKING:
    from mintmast.signalling.hosts import HostPool

# µs without a word after which an idle connection is tested, and after which a test has failed: a machine
# that is cut off says nothing, and what stood there must be released within 8 s
HEALTH_CHECK_IDLE_US, HEALTH_CHECK_TIMEOUT_US = 1_000_000, 1_500_000
_EVIDENCE_BY_CAUSE = {
    Cause.NO_CIRCUIT_AVAILABLE: Evidence.FULL,
    Cause.RESOURCE_UNAVAILABLE: Evidence.HOST_ERROR,
    Cause.TIMER_EXPIRED: Evidence.MOOT,
}


@dataclass(slots=True)
class Attempt:
    """A set-up on its way to a host, to be connected by `connect_by`."""

    call_id: bytes
    frame: bytes
    connect_deadline: int
    connection: HostConnection | None = None
    timers: tuple[Timer, ...] = ()
    end_offset: int | None = (
        None  # what its connection will have handed over once it is whole; None: not written
    )


class HostConnection(Handler):
    """One connection to a host."""

    def __init__(self, pool: HostPool) -> None:
        self.pool = pool
        self.transport: Stream | None = None
        self.stream: Stream | None = None  # once it is connected
        self.bytes_written = 0
        self.attempt: Attempt | None = None
        self.was_open = self.is_closing = False
        self.is_stale = False  # it leads to an address that is not the host's any more
        now = pool.hosts.loop.now()
        self.created_at = self.last_received_at = self.last_used_at = now
        self.health_check_sent_at: int | None = None  # when the test that is out was written
        self._recent_releases: deque[tuple[int, bytes]] = deque()  # since the host's last word, and when
        self._reader = MessageReader()
        self._has_protocol_error = False
        self._abort_reason: CloseReason | None = None

    @property
    def is_idle(self) -> bool:
        """Tell whether it can take a set-up at once, or be given back."""
        return self.stream is not None and self.attempt is None and not (self.is_closing or self.is_stale)

    def carry(self, attempt: Attempt) -> None:
        """Carry a set-up, once a test has passed."""
        self.attempt, attempt.connection = attempt, self
        self.last_used_at = self.pool.hosts.loop.now()
        if self.stream is not None:
            self._send_health_check()

    def write(self, data: bytes) -> None:
        """Write, where it is open."""
        if self.stream is not None and not self.is_closing:
            self.bytes_written += len(data)
            self.stream.write(data)

    def release_session(self, call_id: bytes) -> None:
        """Release a session at the host, and keep that until the host says something afterwards."""
        self._recent_releases.append((self.pool.hosts.loop.now(), call_id))
        self.write(encode_release(call_id, Cause.NORMAL_CLEARING))

    def unconfirmed_releases(self) -> list[bytes]:
        """Give the sessions whose release the host may not have heard: no word of it came since.

        Danger: the connection breaks under a release, and the session plays on for nobody. Told again on the
        next connection; a host passes over what it does not hold.
        """
        return [call_id for sent_at, call_id in self._recent_releases if sent_at >= self.last_received_at]

    def _send_health_check(self) -> None:
        if self.health_check_sent_at is None:
            self.health_check_sent_at = self.pool.hosts.loop.now()
            self.write(encode_health_check(bytes(8)))

    def check_timeouts(self, now: int) -> None:
        """See to its tests and to the time it has for coming up."""
        if self.stream is None:
            if now - self.created_at >= self.pool.hosts.limits.connect_timeout:
                self.abort(CloseReason.UNREACHABLE)
        elif self.health_check_sent_at is not None:
            if now - self.health_check_sent_at >= HEALTH_CHECK_TIMEOUT_US:
                self.abort(CloseReason.UNREACHABLE)
        elif now - self.last_received_at >= HEALTH_CHECK_IDLE_US:
            self._send_health_check()

    def abort(self, reason: CloseReason) -> None:
        """End it from this side for a reason of the other's."""
        self._abort_reason = reason
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Send what is queued and close."""
        if not self.is_closing:
            self.is_closing = True
            if self.stream is not None:
                self.stream.close()

    def opened(self, stream: Stream) -> None:
        """Take it that the connection stands."""
        self.stream, self.was_open = stream, True
        self.last_received_at = self.pool.hosts.loop.now()
        self.pool.handle_opened(self)
        if self.attempt is not None:
            self._send_health_check()

    def received(self, data: bytes) -> None:
        """Take bytes; with what cannot be read the connection is of no more use."""
        self.last_received_at = self.pool.hosts.loop.now()
        while self._recent_releases and self._recent_releases[0][0] < self.last_received_at:
            self._recent_releases.popleft()
        for message in self._reader.feed(data):
            if message.fault is not None:
                self._has_protocol_error = True
                break
            self._handle_message(message)
        if (self._has_protocol_error or self._reader.is_broken) and self.stream is not None:
            self._has_protocol_error = True
            self.stream.abort()

    def _handle_message(self, message: Message) -> None:
        kind, call_id, attempt = message.kind, message.call_id, self.attempt
        events, host = self.pool.hosts.events, self.pool.host
        if kind == MessageKind.HEALTH_CHECK_REPLY:
            self.health_check_sent_at = None
            if attempt is not None and attempt.end_offset is None:
                self.write(attempt.frame)
                attempt.end_offset = self.bytes_written
        elif kind == MessageKind.HEALTH_CHECK:
            self.write(encode_health_check_reply(call_id, True))
        elif kind == MessageKind.NOTE:
            events.handle_note(
                host, call_id, message.text(Param.NOTE_NAME) or "", message.text(Param.NOTE_VALUE) or ""
            )
        elif kind == MessageKind.ANSWER:
            if attempt is not None and attempt.call_id == call_id and attempt.end_offset is not None:
                description = message.params.get(Param.DESCRIPTION)
                self.attempt = None
                if description is None:
                    self.pool.end_attempt(attempt, Evidence.BAD_REPLY)
                    self.pool.release_session(call_id)
                else:
                    self.pool.remove_attempt(attempt)
                    events.handle_answer(host, call_id, description)
        elif kind == MessageKind.RELEASE:
            load = message.text(Param.LOAD) or ""
            if attempt is not None and attempt.call_id == call_id and attempt.end_offset is not None:
                self.attempt = None
                self.pool.end_attempt(attempt, _EVIDENCE_BY_CAUSE.get(message.cause, Evidence.CUT), load)
            else:
                events.handle_release(host, call_id, message.cause or 0, load)
                self.write(encode(MessageKind.RELEASE_COMPLETE, call_id))

    def closed(self, reason: CloseReason) -> None:
        """Take the end of the connection."""
        reason, self.is_closing = self._abort_reason or reason, True
        attempt, self.attempt = self.attempt, None
        stream, self.stream = self.stream, None
        pool = self.pool
        if attempt is not None:
            self._report_broken_attempt(attempt, stream, reason)
        pool.handle_closed(self, reason)

    def _report_broken_attempt(self, attempt: Attempt, stream: Stream | None, reason: CloseReason) -> None:
        """Say what the end of the connection proves of its set-up."""
        pool = self.pool
        if attempt.end_offset is None:
            # nothing was sent: another connection may carry it while there is time to connect
            if reason is CloseReason.REFUSED:
                pool.end_attempt(attempt, Evidence.REFUSED)
            elif self.was_open and pool.hosts.loop.now() < attempt.connect_deadline:
                attempt.connection = None
                pool.assign(attempt)
            else:
                pool.end_attempt(attempt, Evidence.NOT_CONNECTED)
        elif stream is not None and stream.bytes_sent < attempt.end_offset:
            pool.end_attempt(attempt, Evidence.CUT_UNSENT)
        else:
            pool.end_attempt(attempt, Evidence.BAD_REPLY if self._has_protocol_error else Evidence.CUT)
            pool.release_session(attempt.call_id)
