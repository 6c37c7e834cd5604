"""The connections to one media host: one result for each set-up, health checks, releases.

A connection carries one set-up at a time, so that a malformed answer fails no other set-up with it. A set-up
is written only after a health check has passed: on a connection that died silently it could not be proved
that a paid set-up was never sent.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from mintmast.decisions.outcomes import Evidence
from mintmast.loop import CloseReason, StreamLimits
from mintmast.signalling.hostconnection import HEALTH_CHECK_TIMEOUT_US, Attempt, HostConnection
from mintmast.signalling.messages import Cause, encode_release

if TYPE_CHECKING:
    from mintmast.signalling.hosts import MediaHosts

Address = tuple[str, int]
# µs of idleness after which a connection beyond the first is closed
SPARE_IDLE_US = 4_000_000
# µs between connection attempts to a host that is only needed for releases that wait for it
RELEASE_RETRY_US = 1_000_000
# share of the connections in use above which spare ones are closed even to hosts with sessions
SCARCE_SHARE = 0.75
# bounds of a host's stream in bytes, and of the releases queued for a host that cannot be reached
STREAM_LIMITS, MAX_PENDING_RELEASES = StreamLimits(max_unsent=1 << 18, read_size=1 << 15), 1024


class HostPool:
    """All connections to one host. Pools are keyed by id, as another host may take over its address."""

    def __init__(self, hosts: MediaHosts, host: bytes, address: Address) -> None:
        self.hosts, self.host, self.address = hosts, host, address
        self.left_list = False
        self.connections: list[HostConnection] = []
        self.attempts: dict[bytes, Attempt] = {}
        self.pending_releases: deque[bytes] = deque(maxlen=MAX_PENDING_RELEASES)
        self.connect_failures = 0
        self._release_retry_at = 0  # when to connect next for waiting releases alone
        self.is_replaced = False
        # a connection was closed while the host was silent, which may write to it before it reads the close
        self._closed_while_silent = False
        self._arrival_number = 0
        self.record_arrival()

    def record_arrival(self) -> None:
        """Record that the host has just arrived at its address."""
        self.hosts.address_changes += 1
        self._arrival_number = self.hosts.address_changes

    def change_address(self, address: Address) -> None:
        """Use another address, also for the set-ups that were not written yet.

        The old address may be another host's by now, and a set-up written there would run at a host that its
        session may not use.
        """
        self.address = address
        self.record_arrival()
        unsent = []
        for connection in list(self.connections):
            if connection.attempt is None or connection.attempt.end_offset is None:
                if connection.attempt is not None:
                    unsent.append(connection.attempt)
                    connection.attempt.connection = connection.attempt = None
                connection.abort(CloseReason.LOCAL)
            else:
                connection.is_stale = True
        for attempt in unsent:
            self.assign(attempt)

    def replaces(self, other: HostPool) -> bool:
        """Return whether this host took over the other's address; the other is not reachable there."""
        return (
            self is not other
            and not self.left_list
            and (other.left_list or self._arrival_number > other._arrival_number)
        )

    def spare_connections(self) -> list[HostConnection]:
        """Return the connections that may be closed: idle ones to a host without sessions."""
        if self.pending_releases or self.hosts.events.has_sessions(self.host):
            return []
        return [connection for connection in self.connections if connection.is_idle]

    # Set-ups

    def assign(self, attempt: Attempt) -> None:
        """Assign a set-up to the idle connection that received last, or to a new one."""
        idle = [connection for connection in self.connections if connection.is_idle]
        if idle:
            max(idle, key=lambda connection: connection.last_received_at).carry(attempt)
        elif not self.is_replaced and self.hosts.has_capacity():
            self.connect().carry(attempt)
        else:
            self.end_attempt(attempt, Evidence.NOT_CONNECTED)

    def connect(self) -> HostConnection:
        """Open a new connection."""
        connection = HostConnection(self)
        self.connections.append(connection)
        self.hosts.connections_in_use += 1
        connection.transport = self.hosts.loop.connect(*self.address, connection, STREAM_LIMITS)
        return connection

    def handle_connect_timeout(self, attempt: Attempt) -> None:
        """End an attempt that got no working connection in time, and give up the one it waited for."""
        connection = attempt.connection
        if attempt.end_offset is None:
            self.end_attempt(attempt, Evidence.NOT_CONNECTED)
            if connection is not None:
                connection.attempt = None
                self.handle_silence(connection)

    def handle_deadline(self, attempt: Attempt) -> None:
        """End an attempt at its deadline."""
        was_sent = attempt.end_offset is not None
        self.cancel_attempt(attempt)
        self._report_end(attempt, Evidence.SILENT if was_sent else Evidence.LATE_UNSENT)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt, also at the host if the set-up may have reached it."""
        connection = attempt.connection
        self.remove_attempt(attempt)
        if connection is None:
            return
        connection.attempt = None
        if attempt.end_offset is None:
            return
        # the host did not answer on this connection, so it may not process the release there either: the
        # connection is closed, and the release is repeated on another one
        connection.write(encode_release(attempt.call_id, Cause.NORMAL_CLEARING))
        connection.close()
        self.release_session(attempt.call_id)

    def end_attempt(self, attempt: Attempt, evidence: Evidence, load: str = "") -> None:
        """End an attempt and report its evidence."""
        self.remove_attempt(attempt)
        self._report_end(attempt, evidence, load)

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt and its timers without a report."""
        self.attempts.pop(attempt.call_id, None)
        for timer in attempt.timers:
            timer.cancel()

    def _report_end(self, attempt: Attempt, evidence: Evidence, load: str = "") -> None:
        self.hosts.loop.call_soon(
            self.hosts.events.handle_attempt_end, self.host, attempt.call_id, evidence, load
        )

    # Releases

    def latest_connection(self) -> HostConnection | None:
        """Return the open connection that received last, if any."""
        connections = [connection for connection in self.connections if connection.is_usable]
        return max(connections, key=lambda connection: connection.last_received_at) if connections else None

    def release_session(self, call_id: bytes) -> None:
        """Release a session that the host may hold, now or on the next connection."""
        connection = self.latest_connection()
        if connection is not None:
            connection.release_session(call_id)
        elif not self.is_replaced:
            self.pending_releases.append(call_id)

    # Connections

    def handle_opened(self, connection: HostConnection) -> None:
        """Send the queued releases on a new connection."""
        self.connect_failures = 0
        self._send_pending_releases(connection)

    def _send_pending_releases(self, connection: HostConnection) -> None:
        while self.pending_releases:
            connection.release_session(self.pending_releases.popleft())

    def handle_closed(self, connection: HostConnection, reason: CloseReason) -> None:
        """Process the end of a connection; if none is left and none can be opened, report the host dead."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.hosts.connections_in_use -= 1
        for call_id in connection.unconfirmed_releases():
            self.release_session(call_id)
        if connection.was_open and not connection.is_stale and self._has_silent_connection():
            self._closed_while_silent = True
        if connection.was_open and self._reopen_connection():
            return
        if any(each.stream is not None and not each.is_silent for each in self.connections):
            return
        if reason is CloseReason.EXHAUSTED or connection.is_stale:
            return  # no evidence about the host; the next periodic check reconnects
        if reason is CloseReason.REFUSED:
            self._report_dead("refused")
        elif not connection.was_open and reason is not CloseReason.LOCAL:
            self.connect_failures += 1
            if self.connect_failures >= 2:
                self._report_dead("unreachable", may_return=True)
        if not self.is_replaced and not self._has_working_connection() and self._must_connect():
            self.connect()

    def _must_connect(self) -> bool:
        """Return whether a connection must be opened now, for sessions or for releases that wait."""
        if self.hosts.events.has_sessions(self.host):
            return True
        now = self.hosts.loop.now()
        if not self.pending_releases or now < self._release_retry_at:
            return False
        self._release_retry_at = now + RELEASE_RETRY_US
        return True

    def _reopen_connection(self) -> bool:
        """Open a connection in place of one that ended, if sessions play there. Return False if not needed.

        A message of the host about a session's end may have crossed the close of the old connection. The host
        repeats it on the next connection that opens, so a gateway that only kept its other connections would
        never receive it.
        """
        if self.is_replaced or not self.hosts.events.has_sessions(self.host):
            return False
        if self.hosts.connections_in_use < self.hosts.limits.max_connections and all(
            each.stream for each in self.connections
        ):
            self.connect()
        return True

    # Silent connections

    def handle_silence(self, connection: HostConnection) -> None:
        """Process a connection on which the host does not answer a health check.

        A host that stands still, or is cut off for a while, may go on. The connection is kept for its
        messages while sessions play there, and another one shows whether the host can be reached at all.
        """
        attempt = connection.attempt
        was_sent = attempt is not None and attempt.end_offset is not None
        is_open = connection.stream is not None and not connection.is_closing
        if not is_open or was_sent or not self._may_keep(connection) or not self._may_probe(connection):
            connection.abort(CloseReason.UNREACHABLE)
            return
        connection.keep_silent()
        if attempt is not None:
            attempt.connection = connection.attempt = None
            self.assign(attempt)
        if not self._has_working_connection():
            self._reopen_connection()

    def must_keep_silent(self, connection: HostConnection) -> bool:
        """Return whether a silent connection must stay open, as a host that goes on may write to it.

        It need not once the host has answered on another connection for longer than a health check may take.
        """
        last_heard_at = max(
            (each.last_received_at for each in self.connections if each.is_usable and each.was_heard),
            default=connection.last_received_at,
        )
        answers_elsewhere = last_heard_at - connection.last_received_at > HEALTH_CHECK_TIMEOUT_US
        return self._may_keep(connection) and not answers_elsewhere

    def _may_keep(self, connection: HostConnection) -> bool:
        """Return whether a connection that fell silent is worth its descriptor.

        Of those that the host may not have accepted yet, only the oldest is: it is the one on which a host
        that goes on repeats its releases.
        """
        if connection.is_stale or self.is_replaced or not self.hosts.events.has_sessions(self.host):
            return False
        if connection.was_heard:
            return True
        unheard = [each for each in self.connections if each.stream is not None and not each.was_heard]
        return unheard[0] is connection

    def _may_probe(self, silent: HostConnection) -> bool:
        """Return whether another connection than a silent one can show that the host is reached."""
        has_other = any(each is not silent and not each.is_silent for each in self.connections)
        return has_other or self.hosts.has_capacity()

    def handle_heard_again(self) -> None:
        """Process the first message on a connection that was silent."""
        connection = self.latest_connection()
        if connection is not None:
            self._send_pending_releases(connection)
        if self._closed_while_silent:
            self._closed_while_silent = False
            self._reopen_connection()

    def _has_silent_connection(self) -> bool:
        return any(each.is_silent for each in self.connections)

    def _has_working_connection(self) -> bool:
        """Return whether a connection is open and not silent, or is being opened."""
        return any(not each.is_silent for each in self.connections)

    def mark_replaced(self) -> None:
        """Report the host dead: another host has its address, so this one is not reachable there."""
        if not self.is_replaced:
            self.is_replaced = True
            for connection in list(self.connections):
                connection.abort(CloseReason.RESET)
            self._report_dead("replaced")

    def _report_dead(self, reason: str, may_return: bool = False) -> None:
        """Report the host dead; one that is only unreachable `may_return` with its sessions."""
        if not may_return:
            self.pending_releases.clear()
        self.hosts.loop.call_soon(
            self.hosts.events.handle_host_death, self.host, self.hosts.loop.now(), reason, may_return
        )

    def check_connections(self) -> None:
        """Check the host's connections: health checks, timeouts, spare ones, and one to keep for sessions."""
        now = self.hosts.loop.now()
        is_needed = bool(self.pending_releases) or self.hosts.events.has_sessions(self.host)
        for connection in list(self.connections):
            connection.check_timeouts(now)
            if connection.is_stale and connection.attempt is None:
                connection.close()
        idle = sorted(
            (connection for connection in self.connections if connection.is_idle),
            key=lambda connection: connection.last_received_at,
        )
        is_scarce = self.hosts.connections_in_use > self.hosts.limits.max_connections * SCARCE_SHARE
        for connection in idle[:-1]:
            if (is_scarce or not is_needed) and now - connection.last_used_at > SPARE_IDLE_US:
                connection.close()
        if not is_needed and len(self.connections) == 1 and idle:
            if self.left_list or now - idle[-1].last_used_at > self.hosts.limits.idle_timeout // 2:
                idle[-1].close()
        if is_needed and not self._has_working_connection():
            if self.is_replaced:
                self._report_dead("replaced")
            elif self.hosts.connections_in_use < self.hosts.limits.max_connections and self._must_connect():
                self.connect()
