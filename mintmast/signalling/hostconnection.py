"""One TCP connection to a media host: carries one set-up at a time, and messages about other sessions."""

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
    from mintmast.signalling.hostpool import HostPool

# µs without a received byte after which a health check is sent, and after which the check has failed. A host
# that is cut off from the network sends nothing, and the platform requires its sessions to be released
# within 8 s.
HEALTH_CHECK_IDLE_US, HEALTH_CHECK_TIMEOUT_US = 1_000_000, 1_500_000
_EVIDENCE_BY_CAUSE = {
    Cause.NO_CIRCUIT_AVAILABLE: Evidence.FULL,
    Cause.RESOURCE_UNAVAILABLE: Evidence.HOST_ERROR,
    Cause.TIMER_EXPIRED: Evidence.MOOT,
}


@dataclass(slots=True)
class Attempt:
    """A set-up in progress at a host; it needs a working connection by `connect_deadline`."""

    call_id: bytes
    frame: bytes
    connect_deadline: int
    connection: HostConnection | None = None
    timers: tuple[Timer, ...] = ()
    # bytes that the connection has handed to the network once the set-up is fully sent; None: not written yet
    end_offset: int | None = None


class HostConnection(Handler):
    """A connection to a host."""

    def __init__(self, pool: HostPool) -> None:
        self.pool = pool
        self.transport: Stream | None = None  # from the connection attempt on
        self.stream: Stream | None = None  # only while connected
        self.bytes_written = 0
        self.attempt: Attempt | None = None
        self.was_open = self.is_closing = False
        self.was_heard = False  # the host has sent something, so it has accepted the connection
        self.is_silent = False  # a health check is overdue; kept open for what the host may send
        self.is_stale = False  # connected to an address that the host has left
        now = pool.hosts.loop.now()
        self.created_at = self.last_received_at = self.last_used_at = now
        self.health_check_sent_at: int | None = None  # when the unanswered health check was sent
        # time and call reference of each release sent since the host's last message
        self._recent_releases: deque[tuple[int, bytes]] = deque()
        self._reader = MessageReader()
        self._has_protocol_error = False
        self._abort_reason: CloseReason | None = None

    @property
    def is_usable(self) -> bool:
        """Return whether messages may be written here: the host is connected and not known to be silent."""
        return self.stream is not None and not (self.is_closing or self.is_stale or self.is_silent)

    @property
    def is_idle(self) -> bool:
        """Return whether the connection can carry a set-up at once, or be closed as spare."""
        return self.is_usable and self.attempt is None

    def carry(self, attempt: Attempt) -> None:
        """Carry a set-up: it is written once a health check has passed."""
        self.attempt, attempt.connection = attempt, self
        self.last_used_at = self.pool.hosts.loop.now()
        if self.stream is not None:
            self._send_health_check()

    def write(self, data: bytes) -> None:
        """Write if the connection is open."""
        if self.stream is not None and not self.is_closing:
            self.bytes_written += len(data)
            self.stream.write(data)

    def release_session(self, call_id: bytes) -> None:
        """Release a session at the host, and keep the release until the host sends something afterwards."""
        self._recent_releases.append((self.pool.hosts.loop.now(), call_id))
        self.write(encode_release(call_id, Cause.NORMAL_CLEARING))

    def unconfirmed_releases(self) -> list[bytes]:
        """Return the sessions whose release the host may not have received: it has sent nothing since.

        If the connection broke before the release arrived, the session would play on without a viewer. So the
        release is repeated on the next connection; a host ignores a release for a session it does not hold.
        """
        return [call_id for sent_at, call_id in self._recent_releases if sent_at >= self.last_received_at]

    def keep_silent(self) -> None:
        """Keep the connection for what the host may still send, but write nothing to it any more.

        Releases that the host may not have received are repeated on another connection.
        """
        self.is_silent = True
        releases = self.unconfirmed_releases()
        self._recent_releases.clear()
        for call_id in releases:
            self.pool.release_session(call_id)

    def _send_health_check(self) -> None:
        if self.health_check_sent_at is None:
            self.health_check_sent_at = self.pool.hosts.loop.now()
            self.write(encode_health_check(bytes(8)))

    def _send_attempt(self) -> None:
        """Write the set-up that waits for the health check that has passed, if it still does."""
        attempt = self.attempt
        if attempt is not None and attempt.end_offset is None and self.health_check_sent_at is None:
            self.write(attempt.frame)
            attempt.end_offset = self.bytes_written

    def check_timeouts(self, now: int) -> None:
        """Send health checks, and abort after a connect or health check timeout."""
        if self.stream is None:
            if now - self.created_at >= self.pool.hosts.limits.connect_timeout:
                self.abort(CloseReason.UNREACHABLE)
        elif self.is_silent:
            if not self.pool.must_keep_silent(self):
                self.abort(CloseReason.UNREACHABLE)
        elif self.health_check_sent_at is not None:
            if now - self.health_check_sent_at >= HEALTH_CHECK_TIMEOUT_US:
                self.pool.handle_silence(self)
        elif now - self.last_received_at >= HEALTH_CHECK_IDLE_US:
            self._send_health_check()

    def abort(self, reason: CloseReason) -> None:
        """Abort the connection and report `reason` as the cause of its end."""
        self._abort_reason = reason
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Flush queued data and close."""
        if not self.is_closing:
            self.is_closing = True
            if self.stream is not None:
                self.stream.close()

    def opened(self, stream: Stream) -> None:
        """Start using the connection."""
        self.stream, self.was_open = stream, True
        self.last_received_at = self.pool.hosts.loop.now()
        self.pool.handle_opened(self)
        if self.attempt is not None:
            self._send_health_check()

    def received(self, data: bytes) -> None:
        """Parse received bytes and process the messages; abort the connection on a protocol error."""
        self.last_received_at = self.pool.hosts.loop.now()
        self.was_heard = True
        if self.is_silent:
            self.is_silent = False
            self.pool.handle_heard_again()
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
            # sent once all that has arrived is read: the list may tell that the host drains
            self.pool.hosts.loop.call_soon(self._send_attempt)
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
        """Report the end of the connection and of the set-up on it."""
        reason, self.is_closing = self._abort_reason or reason, True
        attempt, self.attempt = self.attempt, None
        stream, self.stream = self.stream, None
        pool = self.pool
        call_id = attempt.call_id if attempt is not None else None
        pool.hosts.events.handle_connection_closed(pool.host, reason.value, call_id)
        if attempt is not None:
            self._report_broken_attempt(attempt, stream, reason)
        pool.handle_closed(self, reason)

    def _report_broken_attempt(self, attempt: Attempt, stream: Stream | None, reason: CloseReason) -> None:
        """Report the evidence that the end of the connection gives about its set-up."""
        pool = self.pool
        if attempt.end_offset is None:
            # nothing was sent: another connection can carry the set-up while there is time to connect
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
