"""Connections to media hosts: pools by the host's id, set-ups with one truthful result, tests, cuts.

A connection carries one set-up at a time, so that an answer that cannot be read takes no other with it.
Before a set-up is written the connection is tested: on one that has silently died a paid set-up could not be
proved unsent any more. Nothing here chooses a host or tries another.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from mintmast.decisions.outcomes import Evidence
from mintmast.loop import CloseReason, Loop, StreamLimits
from mintmast.signalling.hostconnection import Attempt, HostConnection
from mintmast.signalling.messages import Cause, MessageKind, Param, encode, encode_release

Address = tuple[str, int]
# µs between looks at connections
CHECK_PERIOD_US = 250_000
# µs after which an idle connection beyond the first is given back
SPARE_IDLE_US = 4_000_000
# part of the connections in use from which spare ones are given back also where sessions stand
SCARCE_SHARE = 0.75
# bytes that may wait for one host; sessions to be released at a host that cannot be reached just now
STREAM_LIMITS, MAX_PENDING_RELEASES = StreamLimits(max_unsent=1 << 18, read_size=1 << 15), 1024


class HostEvents(Protocol):
    """What is told of hosts."""

    def handle_answer(self, host: bytes, call_id: bytes, description: bytes) -> None:
        """Take an answer."""

    def handle_attempt_end(self, host: bytes, call_id: bytes, evidence: Evidence, load: str) -> None:
        """Take the end of an attempt without an answer."""

    def handle_release(self, host: bytes, call_id: bytes, cause: int, load: str) -> None:
        """Take a release of what is no attempt that is out."""

    def handle_note(self, host: bytes, call_id: bytes, name: str, text: str) -> None:
        """Take a note."""

    def handle_host_death(self, host: bytes, when: int, why: str) -> None:
        """Take it that the host's process was gone at `when`, and what stood there with it."""

    def has_sessions(self, host: bytes) -> bool:
        """Tell whether sessions stand at the host, so that a connection to it is to be kept."""


@dataclass(slots=True)
class HostLimits:
    """Bounds, in microseconds and connections; all from the settings."""

    connect_timeout: int
    idle_timeout: int
    max_connections: int


class MediaHosts:
    """All pools. `events` hears what hosts say and what is seen of them, never before a call returns."""

    def __init__(self, loop: Loop, events: HostEvents, limits: HostLimits) -> None:
        self.loop, self.events, self.limits = loop, events, limits
        self.pools: dict[bytes, HostPool] = {}
        self.connections_in_use = 0
        self.address_changes = 0  # times that a host came to an address
        loop.call_at(loop.now() + CHECK_PERIOD_US, self._check_pools)

    def update_host(self, host: bytes, address: Address, is_gone: bool, is_new_process: bool = False) -> None:
        """Take what the list says of a host; `anew`: its process is another than before."""
        pool = self.pools.get(host)
        if pool is None:
            if is_gone:
                return
            pool = self.pools[host] = HostPool(self, host, address)
        elif pool.address != address and address[0]:
            pool.change_address(address)
        elif is_new_process:
            pool.record_arrival()
        pool.left_list = is_gone
        pools_at_address = [
            pool_at_address
            for pool_at_address in self.pools.values()
            if pool_at_address.address == pool.address
        ]
        for pool_at_address in pools_at_address:
            if any(other.replaces(pool_at_address) for other in pools_at_address):
                pool_at_address.mark_replaced()
            else:
                pool_at_address.is_replaced = pool_at_address.is_replaced and pool_at_address.left_list

    def send_set_up(self, host: bytes, call_id: bytes, frame: bytes, deadline: int) -> None:
        """Send a set-up; one of `started` and `ended` follows."""
        pool = self.pools.get(host)
        if pool is None or pool.is_replaced:
            self.loop.call_soon(self.events.handle_attempt_end, host, call_id, Evidence.NOT_CONNECTED, "")
            return
        now = self.loop.now()
        attempt = Attempt(call_id, frame, min(deadline, now + self.limits.connect_timeout))
        attempt.timers = (
            self.loop.call_at(deadline, pool.handle_deadline, attempt),
            self.loop.call_at(attempt.connect_deadline, pool.handle_connect_timeout, attempt),
        )
        pool.attempts[call_id] = attempt
        pool.assign(attempt)

    def cancel_set_up(self, host: bytes, call_id: bytes) -> None:
        """Give up a set-up; nothing more is told of it."""
        pool = self.pools.get(host)
        attempt = pool.attempts.get(call_id) if pool is not None else None
        if pool is not None and attempt is not None:
            pool.cancel_attempt(attempt)

    def withdraw_unsent(self, host: bytes, call_id: bytes) -> bool:
        """Give up a set-up that was not written yet; False where there is none, and nothing changes."""
        pool = self.pools.get(host)
        attempt = pool.attempts.get(call_id) if pool is not None else None
        if pool is None or attempt is None or attempt.end_offset is not None:
            return False
        pool.cancel_attempt(attempt)
        return True

    def release_session(self, host: bytes, call_id: bytes) -> None:
        """End a session, at once or with the next connection."""
        pool = self.pools.get(host)
        if pool is not None:
            pool.release_session(call_id)

    def send_rung(self, host: bytes, call_id: bytes, rung: int) -> None:
        """Tell a new rung, where a connection is open."""
        pool = self.pools.get(host)
        connection = pool.latest_connection() if pool is not None else None
        if connection is not None:
            connection.write(encode(MessageKind.RUNG, call_id, [(Param.RUNG, b"%d" % rung)]))

    def has_capacity(self) -> bool:
        """Tell whether there may be one more connection; a spare one goes for it, the one unused for longest.

        Danger: spare connections to hosts that are not chosen any more would keep all others out.
        """
        if self.connections_in_use >= self.limits.max_connections:
            spare = [connection for pool in self.pools.values() for connection in pool.spare_connections()]
            if spare:
                min(spare, key=lambda connection: connection.last_used_at).abort(CloseReason.LOCAL)
        return self.connections_in_use < self.limits.max_connections

    def _check_pools(self) -> None:
        self.loop.call_at(self.loop.now() + CHECK_PERIOD_US, self._check_pools)
        for host, pool in list(self.pools.items()):
            pool.check_connections()
            if (
                pool.left_list
                and not pool.connections
                and not pool.attempts
                and not self.events.has_sessions(host)
            ):
                del self.pools[host]


class HostPool:
    """All connections to one host, keyed by its id: another host may come to its address."""

    def __init__(self, hosts: MediaHosts, host: bytes, address: Address) -> None:
        self.hosts, self.host, self.address = hosts, host, address
        self.left_list = False
        self.connections: list[HostConnection] = []
        self.attempts: dict[bytes, Attempt] = {}
        self.pending_releases: deque[bytes] = deque(maxlen=MAX_PENDING_RELEASES)
        self.connect_failures = 0
        self.is_replaced = False
        self._arrival_number = 0
        self.record_arrival()

    def record_arrival(self) -> None:
        """Take it that the host has just come to its address."""
        self.hosts.address_changes += 1
        self._arrival_number = self.hosts.address_changes

    def change_address(self, address: Address) -> None:
        """Take another address; set-ups not written yet go there, and so does what comes later.

        Danger: the old address may be another host's by now, and a set-up written there would run at a host
        that its session may not go to.
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
        """Tell whether this host came to the other's address later: the other is not reached there now."""
        return (
            self is not other
            and not self.left_list
            and (other.left_list or self._arrival_number > other._arrival_number)
        )

    def spare_connections(self) -> list[HostConnection]:
        """Give connections that can go: idle ones to a host where no session stands."""
        if self.pending_releases or self.hosts.events.has_sessions(self.host):
            return []
        return [connection for connection in self.connections if connection.is_idle]

    # Set-ups

    def assign(self, attempt: Attempt) -> None:
        """Put a set-up on an idle connection, the one last heard, or on a new one."""
        idle = [connection for connection in self.connections if connection.is_idle]
        if idle:
            max(idle, key=lambda connection: connection.last_received_at).carry(attempt)
        elif not self.is_replaced and self.hosts.has_capacity():
            self.connect().carry(attempt)
        else:
            self.end_attempt(attempt, Evidence.NOT_CONNECTED)

    def connect(self) -> HostConnection:
        """Begin a new connection."""
        connection = HostConnection(self)
        self.connections.append(connection)
        self.hosts.connections_in_use += 1
        connection.transport = self.hosts.loop.connect(*self.address, connection, STREAM_LIMITS)
        return connection

    def handle_connect_timeout(self, attempt: Attempt) -> None:
        """End an attempt that found no connection that works in the time for it, and that connection."""
        connection = attempt.connection
        if attempt.end_offset is None:
            self.end_attempt(attempt, Evidence.NOT_CONNECTED)
            if connection is not None:
                connection.attempt = None
                connection.abort(CloseReason.UNREACHABLE)

    def handle_deadline(self, attempt: Attempt) -> None:
        """Give up an attempt whose time has run out."""
        was_sent = attempt.end_offset is not None
        self.cancel_attempt(attempt)
        self._report_end(attempt, Evidence.SILENT if was_sent else Evidence.LATE_UNSENT)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Forget an attempt; the host hears that it is given up where it may have heard of it."""
        connection = attempt.connection
        self.remove_attempt(attempt)
        if connection is None:
            return
        connection.attempt = None
        if attempt.end_offset is None:
            return
        # no answer came on this connection: nothing that stands on it can be trusted to come either
        connection.write(encode_release(attempt.call_id, Cause.NORMAL_CLEARING))
        connection.close()
        self.release_session(attempt.call_id)

    def end_attempt(self, attempt: Attempt, evidence: Evidence, load: str = "") -> None:
        """Tell the end of an attempt."""
        self.remove_attempt(attempt)
        self._report_end(attempt, evidence, load)

    def remove_attempt(self, attempt: Attempt) -> None:
        """Drop an attempt and its timers; nothing is told."""
        self.attempts.pop(attempt.call_id, None)
        for timer in attempt.timers:
            timer.cancel()

    def _report_end(self, attempt: Attempt, evidence: Evidence, load: str = "") -> None:
        self.hosts.loop.call_soon(
            self.hosts.events.handle_attempt_end, self.host, attempt.call_id, evidence, load
        )

    # Cuts

    def latest_connection(self) -> HostConnection | None:
        """Give an open connection, the one last heard."""
        connections = [
            connection
            for connection in self.connections
            if connection.stream is not None and not (connection.is_closing or connection.is_stale)
        ]
        return max(connections, key=lambda connection: connection.last_received_at) if connections else None

    def release_session(self, call_id: bytes) -> None:
        """Release what may stand there, now or with the next connection."""
        connection = self.latest_connection()
        if connection is not None:
            connection.release_session(call_id)
        elif not self.is_replaced:
            self.pending_releases.append(call_id)

    # Connections

    def handle_opened(self, connection: HostConnection) -> None:
        """Take a new connection, and send what waited for one."""
        self.connect_failures = 0
        while self.pending_releases:
            connection.release_session(self.pending_releases.popleft())

    def handle_closed(self, connection: HostConnection, reason: CloseReason) -> None:
        """Take the end of a connection; without any left, and none to be had, the process is gone."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.hosts.connections_in_use -= 1
        for call_id in connection.unconfirmed_releases():
            self.release_session(call_id)
        if connection.was_open and self._reopen_connection():
            return
        if any(each.stream is not None for each in self.connections):
            return
        if reason is CloseReason.EXHAUSTED or connection.is_stale:
            return  # it says nothing of the host; tried again at the next look
        if reason is CloseReason.REFUSED:
            self._report_dead("refused")
        elif not connection.was_open and reason is not CloseReason.LOCAL:
            self.connect_failures += 1
            if self.connect_failures >= 2:
                self._report_dead("unreachable")
        if (
            not self.is_replaced
            and not self.connections
            and (self.pending_releases or self.hosts.events.has_sessions(self.host))
        ):
            self.connect()

    def _reopen_connection(self) -> bool:
        """Open a connection in place of one that ended, where sessions stand; False where none is needed.

        Danger: what the host told on the old one may have crossed its end. It tells ends once more, on the
        next connection that is opened, and would never be heard by a gateway that keeps to the others.
        """
        if self.is_replaced or not self.hosts.events.has_sessions(self.host):
            return False
        if self.hosts.connections_in_use < self.hosts.limits.max_connections and all(
            each.stream for each in self.connections
        ):
            self.connect()
        return True

    def mark_replaced(self) -> None:
        """Take it that another host has the address: what is reached there is no longer this one."""
        if not self.is_replaced:
            self.is_replaced = True
            for connection in list(self.connections):
                connection.abort(CloseReason.RESET)
            self._report_dead("replaced")

    def _report_dead(self, why: str) -> None:
        self.pending_releases.clear()
        self.hosts.loop.call_soon(self.hosts.events.handle_host_death, self.host, self.hosts.loop.now(), why)

    def check_connections(self) -> None:
        """Test quiet connections, end deaf ones, give back spare ones, keep one where sessions stand."""
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
        if is_needed and not self.connections:
            if self.is_replaced:
                self._report_dead("replaced")
            elif self.hosts.connections_in_use < self.hosts.limits.max_connections:
                self.connect()
